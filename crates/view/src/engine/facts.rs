//! Handling of facts about members: merges them into the table, and defers a reported failure so that the
//! member concerned can refute it.

use super::*;

impl View {
    pub(super) fn record_history(&mut self, id: Id, at_ms: f64, description: String, reported_by: String) {
        let entries = self.history.entry(id).or_default();
        if entries.len() >= MAX_HISTORY_ENTRIES {
            entries.pop_front();
        }
        entries.push_back(HistoryEntry { at_ms, description, reported_by });
    }

    /// Handles the result of a merge into the table: schedules the update for gossip, adds it to the history,
    /// and reports a changed state. `by` is the front whose message contained the fact, if any; `full` says
    /// whether the complete fact is gossiped.
    pub(super) fn handle_merge_outcome(
        &mut self,
        now_ms: f64,
        id: Id,
        merged: MergeOutcome,
        by: Option<Id>,
        full: bool,
        actions: &mut Vec<Action>,
    ) {
        let MergeOutcome::Updated(before) = merged else { return };
        let Some(member) = self.table.get(id) else { return };
        let (after, name, rank) = (member.fact.state, member.fact.name.clone(), member.rank);
        let full = full || self.updates.get(&id).is_some_and(|update| update.full);
        self.updates.insert(id, PendingUpdate { sent: 0, full });
        self.deferred.remove(&id);
        self.members_changed = true;
        let by = by.map(|b| self.front_name(b));
        let mut what =
            format!("{} (generation {}, incarnation {})", after.name(), rank.generation, rank.incarnation);
        if after == FrontState::Failed {
            what = format!("{what}, found by {}", self.front_name(rank.detected_by));
        }
        self.record_history(id, now_ms, what, by.clone().unwrap_or_default());
        if after == FrontState::Failed && !rank.confirmed {
            self.last_unconfirmed_ms = now_ms;
        }
        // A front that is already departed when this view first learns of it does not count as a state
        // change.
        if before != Some(after) && (before.is_some() || after.is_live()) {
            self.counters.changes += 1;
            actions.push(Action::Changed { name, before, after, reported_by: by });
        }
    }

    /// Defers a reported failure so that the member concerned can refute it. This happens if some of its
    /// watchers were out of reach (it may be on another side of a partition), or if the report comes from a
    /// front that returned recently, as after a partition. Returns whether the report is deferred.
    pub(super) fn defer_for_refutation(&mut self, now_ms: f64, id: Id, rank: &Rank, from: Id) -> bool {
        let member = self.table.get(id).filter(|m| m.fact.state.is_live() && m.rank < *rank);
        let is_failure =
            |m: &Member| rank.state == FrontState::Failed && m.rank.process_id == rank.process_id;
        if !member.is_some_and(is_failure) {
            return false;
        }
        let returned_recently = |m: &Member| {
            !m.fact.state.is_live() || m.returned_ms.is_some_and(|at| now_ms - at < RECENTLY_RETURNED_MS)
        };
        let by_own = rank.detected_by == self.own_id();
        if rank.confirmed && (by_own || !self.table.get(rank.detected_by).is_none_or(returned_recently)) {
            return false;
        }
        let until_ms = now_ms + self.refutation_wait_ms();
        self.deferred.entry(id).or_insert(DeferredFailure {
            rank: *rank,
            from,
            until_ms,
            sent: 0,
            notified_ms: now_ms,
        });
        true
    }

    /// Handles a received fact. If it reports a failure that is deferred, notifies the member concerned
    /// instead of merging it.
    pub(super) fn receive_fact(&mut self, now_ms: f64, fact: &Fact, from: Id, actions: &mut Vec<Action>) {
        let id = fact.id();
        if !fact.is_valid() {
            return;
        }
        if id == self.own_id() {
            self.resolve_own_name(now_ms, fact, actions);
        } else if self.defer_for_refutation(now_ms, id, &fact.rank(), from) {
            return self.notify_reported_member(now_ms, id, fact.rank(), actions);
        }
        let merged = self.table.merge(fact, now_ms);
        self.handle_merge_outcome(now_ms, id, merged, Some(from), true, actions);
    }

    /// Handles a received rank; returns whether the complete fact has to be requested.
    pub(super) fn receive_rank(
        &mut self,
        now_ms: f64,
        id: Id,
        rank: Rank,
        from: Id,
        actions: &mut Vec<Action>,
    ) -> bool {
        if id == self.own_id() && rank.process_id == self.own.process_id {
            let Rank { generation, incarnation, state, confirmed, detected_by, .. } = rank;
            let fact = Fact { generation, incarnation, state, confirmed, detected_by, ..self.own.clone() };
            if fact.is_valid() {
                self.resolve_own_name(now_ms, &fact, actions);
            }
            return false;
        }
        if id == self.own_id() {
            // The texts of another process under this front's name are only in the complete fact.
            return rank > self.own.rank();
        }
        if self.defer_for_refutation(now_ms, id, &rank, from) {
            self.notify_reported_member(now_ms, id, rank, actions);
            return false;
        }
        let merged = self.table.merge_rank(id, rank, now_ms);
        self.handle_merge_outcome(now_ms, id, merged, Some(from), false, actions);
        merged == MergeOutcome::MissingTexts
    }

    /// Returns the time for which a reported failure is deferred, in milliseconds; it grows with the typical
    /// round trip.
    pub(super) fn refutation_wait_ms(&self) -> f64 {
        REFUTATION_WAIT_MS + 2.0 * self.detector.typical_round_trip_ms()
    }

    /// Notifies a member that its failure was reported, so that it can refute the report.
    pub(super) fn notify_reported_member(
        &mut self,
        now_ms: f64,
        id: Id,
        rank: Rank,
        actions: &mut Vec<Action>,
    ) {
        if let Some(to) = self.table.get(id).map(|m| m.fact.addr) {
            self.send(now_ms, to, vec![Item::FactRank(id, rank)], actions);
        }
    }
}
