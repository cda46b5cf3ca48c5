//! Dissemination: gossip rounds in which updates on members are sent to a few random peers.

use super::*;

impl View {
    /// How often an update is sent. Each of many is sent a few times only: whoever misses some requests them when views are
    /// compared, and the traffic grows with the number of updates and not faster.
    pub(super) fn retransmit_count(&self) -> u32 {
        if self.updates.len() > MANY_UPDATES {
            return RETRANSMITS_OF_MANY;
        }
        (RETRANSMIT_FACTOR * (self.table.live_count().max(2) as f64).log2()).ceil() as u32 + 1
    }

    /// The interval of gossip rounds in milliseconds; `None` while there is nothing to send.
    pub(super) fn gossip_interval_ms(&self) -> Option<f64> {
        if self.table.live_count() < 2 || !self.is_admitted {
            return None;
        }
        if !self.updates.is_empty() || self.deferred.values().any(|d| d.sent < self.retransmit_count()) {
            return Some(GOSSIP_INTERVAL_MS);
        }
        // A member that is cut off keeps a view unsettled for as long as that lasts.
        let is_recent = self.last_received_ms - self.settlement.view_since() < SLOW_GOSSIP_AFTER_MS;
        let is_unsettled = self.settlement.settled_since().is_none();
        is_unsettled.then_some(if is_recent { GOSSIP_INTERVAL_MS } else { SLOW_GOSSIP_INTERVAL_MS })
    }

    /// Sends pending updates, and who holds this view, to a few random peers.
    pub(super) fn gossip_round(&mut self, now_ms: f64, actions: &mut Vec<Action>) {
        let retransmits = self.retransmit_count();
        for to in self.random_peers(FANOUT) {
            if !self.has_spare_budget(now_ms) {
                return;
            }
            let mut items = Vec::new();
            let remaining = self.take_updates(retransmits, self.item_capacity(), &mut items);
            self.take_deferred(retransmits, remaining, &mut items);
            self.send(now_ms, to, items, actions);
        }
    }

    /// Adds the least sent updates that fit into `capacity` bytes; returns the remaining capacity.
    fn take_updates(&mut self, retransmits: u32, mut capacity: usize, items: &mut Vec<Item>) -> usize {
        let mut order: Vec<(u32, Id, bool)> =
            self.updates.iter().map(|(id, update)| (update.sent, *id, update.full)).collect();
        order.sort_unstable();
        for (sent, id, full) in order {
            let Some(member) = self.table.get(id) else {
                self.updates.remove(&id);
                continue;
            };
            let item =
                if full { Item::FullFact(member.fact.clone()) } else { Item::FactRank(id, member.rank) };
            let len = encoded_len(&item);
            if len > capacity {
                break;
            }
            capacity -= len;
            items.push(item);
            if sent + 1 >= retransmits {
                self.updates.remove(&id);
            } else {
                self.updates.insert(id, PendingUpdate { sent: sent + 1, full });
            }
        }
        capacity
    }

    /// Adds the deferred failures that fit into `capacity` bytes: forwarded meanwhile, they are deferred everywhere at the
    /// same time.
    fn take_deferred(&mut self, retransmits: u32, mut capacity: usize, items: &mut Vec<Item>) {
        for (id, deferred) in self.deferred.iter_mut().filter(|(_, d)| d.sent < retransmits) {
            let item = Item::FactRank(*id, deferred.rank);
            let len = encoded_len(&item);
            if len > capacity {
                break;
            }
            capacity -= len;
            items.push(item);
            deferred.sent += 1;
        }
    }
}
