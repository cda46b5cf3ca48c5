//! This front's own fact, and the duplicate-name case: another process that runs under this front's name.

use super::*;

impl View {
    /// Raises this front's incarnation and publishes what changed of it.
    pub(super) fn bump_incarnation(&mut self, now_ms: f64, actions: &mut Vec<Action>) {
        self.own.incarnation += 1;
        self.publish_own_fact(now_ms, actions);
    }

    pub(super) fn publish_own_fact(&mut self, now_ms: f64, actions: &mut Vec<Action>) {
        let (id, fact) = (self.id(), self.own.clone());
        let merged = self.table.merge(&fact, now_ms);
        self.apply_merged(now_ms, id, merged, None, true, actions);
    }

    /// Handles a fact on this front's own name.
    pub(super) fn resolve_own_name(&mut self, now_ms: f64, other: &Fact, actions: &mut Vec<Action>) {
        if other.process_id == self.own.process_id {
            if other.rank() > self.own.rank() && !self.has_left {
                self.refute(now_ms, other.incarnation, actions);
            }
            return;
        }
        if !other.state.is_live() || other.addr == self.own.addr {
            // An earlier process that has ended; its clock may have been ahead. The address is this process's now.
            if other.rank() >= self.own.rank() {
                self.own.generation = other.generation + 1;
            }
            if self.duplicate.take().is_some() || !self.is_admitted {
                self.next_poll_ms = now_ms;
            }
            self.publish_own_fact(now_ms, actions);
            return;
        }
        // A lower fact may be of a process that has ended since; only its own messages show that it runs.
        if other.rank() > self.own.rank() || !self.is_admitted {
            self.note_duplicate(now_ms, other.addr, true, actions);
        }
    }

    /// Refutes this process's failure, which others reported at that incarnation, by a higher one.
    fn refute(&mut self, now_ms: f64, incarnation: u32, actions: &mut Vec<Action>) {
        self.own.incarnation = incarnation + 1;
        self.counters.refuted += 1;
        self.publish_own_fact(now_ms, actions);
        // At once, and from the budget reserved for answers: others wait for it.
        for to in self.random_peers(2 * FANOUT) {
            self.send(now_ms, to, vec![Item::FullFact(self.own.clone())], actions);
        }
    }

    /// Notes another process of this front's name, and reports it now and then.
    pub(super) fn note_duplicate(
        &mut self,
        now_ms: f64,
        addr: SocketAddr,
        other_is_suspended: bool,
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
                actions.push(Action::DuplicateName { addr, other_is_suspended });
            }
        }
    }
}
