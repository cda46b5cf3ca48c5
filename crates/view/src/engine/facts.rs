//! Taking in facts on members: merging them into the table, and holding back a report of an end until the member
//! concerned could answer.

use super::*;

impl View {
    pub(super) fn record_history(&mut self, id: Id, at_ms: f64, what: String, by: String) {
        let tales = self.tales.entry(id).or_default();
        if tales.len() >= TALES {
            tales.pop_front();
        }
        tales.push_back(Tale { at_ms, what, by });
    }

    pub(super) fn apply_merged(
        &mut self,
        at: f64,
        id: Id,
        merged: Merged,
        by: Option<Id>,
        whole: bool,
        actions: &mut Vec<Action>,
    ) {
        let Merged::New(was) = merged else { return };
        let Some(h) = self.table.get(id) else { return };
        let (is, name, rank) = (h.fact.stand, h.fact.name.clone(), h.rank);
        let whole = whole || self.news.get(&id).is_some_and(|n| n.1);
        self.news.insert(id, (0, whole));
        self.waiting.remove(&id);
        self.stale = true;
        let by = by.map(|b| self.name(b));
        let mut what =
            format!("{} (generation {}, incarnation {})", is.name(), rank.generation, rank.incarnation);
        if is == Stand::Gone {
            what = format!("{what}, found by {}", self.name(rank.by));
        }
        self.record_history(id, at, what, by.clone().unwrap_or_default());
        if is == Stand::Gone && !rank.sure {
            self.unsure_ms = at;
        }
        // Who had ended before it was ever counted on here is no news.
        if was != Some(is) && (was.is_some() || is.counts()) {
            self.counts.changes += 1;
            actions.push(Action::Changed { name, was, is, by });
        }
    }

    /// Whether a word that a front is gone is to wait for that front's own answer: some who watch it were out of reach
    /// too, so that it may be of another side of a partition; or it comes from one that this front itself did not
    /// count on until lately, as after one.
    pub(super) fn defer_until_answered(&mut self, at: f64, id: Id, rank: &Rank, from: Id) -> bool {
        let held = self.table.get(id).filter(|h| h.fact.stand.counts() && h.rank < *rank);
        if !held.is_some_and(|h| rank.stand == Stand::Gone && h.rank.birth == rank.birth) {
            return false;
        }
        let lately = |h: &Held| !h.fact.stand.counts() || h.back_ms.is_some_and(|b| at - b < LATELY_MS);
        if rank.sure && (rank.by == self.id() || !self.table.get(rank.by).is_none_or(lately)) {
            return false;
        }
        let until_ms = at + self.answer_wait_ms();
        self.waiting.entry(id).or_insert(Waiting { rank: *rank, from, until_ms, told: 0, warned_ms: at });
        true
    }

    /// A fact came: what is to be told the one it concerns, where it is taken for gone.
    pub(super) fn receive_fact(&mut self, at: f64, fact: &Fact, from: Id, actions: &mut Vec<Action>) {
        let id = fact.id();
        if !fact.is_sound() {
            return;
        }
        if id == self.id() {
            self.resolve_own_name(at, fact, actions);
        } else if self.defer_until_answered(at, id, &fact.rank(), from) {
            return self.notify_suspected(at, id, fact.rank(), actions);
        }
        let merged = self.table.merge(fact, at);
        self.apply_merged(at, id, merged, Some(from), true, actions);
    }

    /// The same for a rank alone; whether the texts are lacking.
    pub(super) fn receive_rank(
        &mut self,
        at: f64,
        id: Id,
        rank: Rank,
        from: Id,
        actions: &mut Vec<Action>,
    ) -> bool {
        if id == self.id() && rank.birth == self.own.birth {
            let Rank { generation, incarnation, stand, sure, by, .. } = rank;
            let fact = Fact { generation, incarnation, stand, sure, by, ..self.own.clone() };
            if fact.is_sound() {
                self.resolve_own_name(at, &fact, actions);
            }
            return false;
        }
        if id == self.id() {
            // Another process's texts come with a whole fact.
            return rank > self.own.rank();
        }
        if self.defer_until_answered(at, id, &rank, from) {
            self.notify_suspected(at, id, rank, actions);
            return false;
        }
        let merged = self.table.merge_rank(id, rank, at);
        self.apply_merged(at, id, merged, Some(from), false, actions);
        merged == Merged::Lacks
    }

    /// How long a word of an end waits for an answer: longer where answers usually take long.
    pub(super) fn answer_wait_ms(&self) -> f64 {
        HEAR_OUT_MS + 2.0 * self.watch.usual_ms()
    }

    /// Tells a front that it is taken for gone, so that it can answer.
    pub(super) fn notify_suspected(&mut self, at: f64, id: Id, rank: Rank, actions: &mut Vec<Action>) {
        if let Some(to) = self.table.get(id).map(|h| h.fact.addr) {
            self.send(at, to, vec![Item::Short(id, rank)], actions);
        }
    }
}
