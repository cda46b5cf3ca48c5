//! The duplicate-name case: another process that runs under this front's own name, and this front's own fact.

use super::*;

impl View {
    /// This front says something new of itself.
    pub(super) fn bump_incarnation(&mut self, at: f64, actions: &mut Vec<Action>) {
        self.own.incarnation += 1;
        self.publish_own_fact(at, actions);
    }

    pub(super) fn publish_own_fact(&mut self, at: f64, actions: &mut Vec<Action>) {
        let (id, fact) = (self.id(), self.own.clone());
        let merged = self.table.merge(&fact, at);
        self.apply_merged(at, id, merged, None, true, actions);
    }

    /// Another word on this front's own name.
    pub(super) fn resolve_own_name(&mut self, at: f64, other: &Fact, actions: &mut Vec<Action>) {
        if other.birth == self.own.birth {
            if other.rank() > self.own.rank() && !self.left {
                // Others took this process for gone: it answers with a higher incarnation.
                self.own.incarnation = other.incarnation + 1;
                self.counts.refuted += 1;
                self.publish_own_fact(at, actions);
                // At once, and from what the budget keeps for answers: others wait for it.
                for to in self.random_peers(2 * FANOUT) {
                    self.send(at, to, vec![Item::Whole(self.own.clone())], actions);
                }
            }
            return;
        }
        if !other.stand.counts() || other.addr == self.own.addr {
            // A process before this one, that has ended; its clock may have been ahead. The address is ours now.
            if other.rank() >= self.own.rank() {
                self.own.generation = other.generation + 1;
            }
            if self.twin.take().is_some() || !self.admitted {
                self.next_call = at;
            }
            self.publish_own_fact(at, actions);
            return;
        }
        // A lower fact may be of a process that has ended since; that it runs is told by its own messages alone.
        if other.rank() > self.own.rank() || !self.admitted {
            self.note_duplicate(at, other.addr, true, actions);
        }
    }

    pub(super) fn note_duplicate(
        &mut self,
        at: f64,
        addr: SocketAddr,
        other_is_held: bool,
        actions: &mut Vec<Action>,
    ) {
        match &mut self.twin {
            Some((known, told, seen)) if *known == addr && at - *told < TWIN_MS => *seen = at,
            twin => {
                *twin = Some((addr, at, at));
                actions.push(Action::Twin { addr, other_is_held });
            }
        }
    }
}
