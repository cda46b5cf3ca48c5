//! Admission of joining fronts: answers their hellos.

use super::*;

impl View {
    /// Handles the hello of a newcomer, or of a front that polls this one because it lists this one as
    /// failed.
    pub(super) fn receive_hello(
        &mut self,
        now_ms: f64,
        fact: &Fact,
        message: &Message,
        reply: &mut Vec<Item>,
        actions: &mut Vec<Action>,
    ) {
        let id = fact.id();
        if id != message.from || fact.process_id != message.process_id || !fact.is_valid() {
            return;
        }
        let known = self.table.get(id).map(|known| known.fact.clone());
        let other = known.filter(|known| known.process_id != fact.process_id);
        if let Some(other) = other {
            let is_replaced = !other.state.is_live() || other.addr == fact.addr;
            if !is_replaced || other.rank() >= fact.rank() {
                // The reply says which process the view lists; the newcomer waits, or polls again with a
                // higher generation.
                if id == self.own_id() {
                    self.resolve_own_name(now_ms, fact, actions);
                } else if other.state.is_live() {
                    // The process that the view lists is notified too, because the newcomer does not know its
                    // address.
                    self.send(now_ms, other.addr, vec![Item::DuplicateName(fact.addr)], actions);
                }
                reply.push(Item::FullFact(if id == self.own_id() { self.own.clone() } else { other }));
                return;
            }
        }
        self.receive_fact(now_ms, fact, message.from, actions);
        if let Some(member) = self.table.get(id) {
            reply.push(Item::FactRank(id, member.rank));
        }
        if message.digest != self.table.digest() {
            reply.push(Item::FullFact(self.own.clone()));
            let all: Vec<Item> = self.live_peers().map(|(_, m)| Item::FullFact(m.fact.clone())).collect();
            reply.extend(all.choose_multiple(&mut self.rng, INTRODUCED_MEMBERS).cloned());
        }
    }
}
