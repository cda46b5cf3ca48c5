//! Answering a greeting from a newcomer, and the digest difference by which two views are compared bucket by bucket.

use super::*;

impl View {
    /// A newcomer, or one that calls since it holds us for gone.
    pub(super) fn answer_greeting(
        &mut self,
        at: f64,
        fact: &Fact,
        m: &Message,
        reply: &mut Vec<Item>,
        actions: &mut Vec<Action>,
    ) {
        let id = fact.id();
        if id != m.from || fact.birth != m.birth || !fact.is_sound() {
            return;
        }
        let held = self.table.get(id).map(|h| h.fact.clone());
        let other = held.filter(|h| h.birth != fact.birth);
        if let Some(h) = other {
            let replaces = !h.stand.counts() || h.addr == fact.addr;
            if !replaces || h.rank() >= fact.rank() {
                // It hears whom we hold: it waits, or comes again with a higher generation.
                if id == self.id() {
                    self.resolve_own_name(at, fact, actions);
                } else if h.stand.counts() {
                    // The one that is held hears of it too: the other does not know it.
                    self.send(at, h.addr, vec![Item::Namesake(fact.addr)], actions);
                }
                reply.push(Item::Whole(if id == self.id() { self.own.clone() } else { h }));
                return;
            }
        }
        self.receive_fact(at, fact, m.from, actions);
        if let Some(h) = self.table.get(id) {
            reply.push(Item::Short(id, h.rank));
        }
        if m.digest != self.table.digest() {
            reply.push(Item::Whole(self.own.clone()));
            // A few others, so that newcomers don't all turn to the seeds.
            let all: Vec<Item> = self.counted_peers().map(|(_, h)| Item::Whole(h.fact.clone())).collect();
            reply.extend(all.choose_multiple(&mut self.rng, 8).cloned());
        }
    }

    /// What is held in the buckets that differ, a datagram's worth after each list of them.
    pub(super) fn digest_difference(&mut self, theirs: &[u32], reply: &mut Vec<Item>) {
        let own = self.table.sums();
        // From another one on each time: where all differ, a few fit in an answer.
        let from = self.rng.random_range(0..own.len());
        let all = (0..own.len()).map(|b| (b + from) % own.len());
        for bucket in all.filter(|b| theirs.get(*b).is_some_and(|t| *t != own[*b])) {
            reply.push(Item::Differ(1 << bucket));
            let here = self.table.iter().filter(|(id, _)| Table::bucket(*id) == bucket);
            reply.extend(here.map(|(id, h)| Item::Short(id, h.rank)));
        }
    }

    /// What is held here in those buckets and was not among what follows, or is higher.
    pub(super) fn fill_difference(&self, bits: u32, follows: &[Item], reply: &mut Vec<Item>) {
        let theirs: BTreeMap<Id, Rank> = follows
            .iter()
            .take_while(|i| matches!(i, Item::Short(..)))
            .filter_map(|i| if let Item::Short(id, rank) = i { Some((*id, *rank)) } else { None })
            .collect();
        let here = self.table.iter().filter(|(id, _)| bits & (1 << Table::bucket(*id)) != 0);
        let higher = here.filter(|(id, h)| theirs.get(id).is_none_or(|t| *t < h.rank));
        reply.extend(higher.map(|(id, h)| Item::Short(id, h.rank)));
    }
}
