//! This front's own fact, and the case that another process runs under this front's name.

use super::*;

impl View {
    /// Raises this front's incarnation and publishes its changed fact.
    pub(super) fn raise_incarnation(&mut self, now_ms: f64, actions: &mut Vec<Action>) {
        self.own.incarnation += 1;
        self.publish_own_fact(now_ms, actions);
    }

    pub(super) fn publish_own_fact(&mut self, now_ms: f64, actions: &mut Vec<Action>) {
        let (id, fact) = (self.own_id(), self.own.clone());
        let merged = self.table.merge(&fact, now_ms);
        self.handle_merge_outcome(now_ms, id, merged, None, true, actions);
    }

    /// Handles a received fact about this front's own name.
    pub(super) fn resolve_own_name(&mut self, now_ms: f64, other: &Fact, actions: &mut Vec<Action>) {
        if other.process_id == self.own.process_id {
            if other.rank() > self.own.rank() && !self.has_left {
                self.refute_failure(now_ms, other.incarnation, actions);
            }
            return;
        }
        if !other.state.is_live() || other.addr == self.own.addr {
            // The fact is about an earlier process that has ended: it departed, or its address now
            // belongs to this process. The clock of the earlier process may have been ahead, so this process
            // takes a higher generation.
            if other.rank() >= self.own.rank() {
                self.own.generation = other.generation + 1;
            }
            if self.duplicate.take().is_some() || !self.is_admitted {
                self.next_poll_ms = now_ms;
            }
            self.publish_own_fact(now_ms, actions);
            return;
        }
        // A fact of lower rank may be about a process that has ended since; only messages from that process
        // itself show that it runs.
        if other.rank() > self.own.rank() || !self.is_admitted {
            self.record_duplicate(now_ms, other.addr, true, actions);
        }
    }

    /// Refutes a failure of this process that others reported at `incarnation`, by announcing a higher
    /// incarnation.
    fn refute_failure(&mut self, now_ms: f64, incarnation: u32, actions: &mut Vec<Action>) {
        self.own.incarnation = incarnation + 1;
        self.counters.refuted += 1;
        self.publish_own_fact(now_ms, actions);
        // The refutation is sent at once, and even without spare budget, because others wait for it.
        for to in self.random_peers(2 * GOSSIP_FANOUT) {
            self.send(now_ms, to, vec![Item::FullFact(self.own.clone())], actions);
        }
    }

    /// Records another process under this front's name, and reports it at most once in
    /// [`DUPLICATE_REPORT_INTERVAL_MS`] for each address.
    pub(super) fn record_duplicate(
        &mut self,
        now_ms: f64,
        addr: SocketAddr,
        other_is_listed: bool,
        actions: &mut Vec<Action>,
    ) {
        match &mut self.duplicate {
            Some(known)
                if known.addr == addr && now_ms - known.reported_ms < DUPLICATE_REPORT_INTERVAL_MS =>
            {
                known.last_seen_ms = now_ms;
            }
            duplicate => {
                *duplicate = Some(DuplicateProcess { addr, reported_ms: now_ms, last_seen_ms: now_ms });
                actions.push(Action::DuplicateName { addr, other_is_listed });
            }
        }
    }
}
