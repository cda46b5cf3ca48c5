//! Dissemination of updates: gossip rounds in which updates about members are sent to a few random peers.

use super::*;

impl View {
    /// Returns the number of times that each update is sent. If many updates are pending, each is sent only a
    /// few times, so that the traffic grows no faster than their number; a front that misses some requests
    /// them when views are compared.
    pub(super) fn transmissions_per_update(&self) -> u32 {
        if self.updates.len() > MANY_UPDATES_THRESHOLD {
            return TRANSMISSIONS_UNDER_LOAD;
        }
        (TRANSMISSION_FACTOR * (self.table.live_count().max(2) as f64).log2()).ceil() as u32 + 1
    }

    /// Returns the interval between gossip rounds, in milliseconds; `None` if there is nothing to send.
    pub(super) fn gossip_interval_ms(&self) -> Option<f64> {
        if self.table.live_count() < 2 || !self.is_admitted {
            return None;
        }
        if !self.updates.is_empty()
            || self.deferred.values().any(|d| d.sent < self.transmissions_per_update())
        {
            return Some(GOSSIP_INTERVAL_MS);
        }
        // A member that is cut off keeps the view unsettled until it is reachable again or has failed.
        let is_recent = self.last_received_ms - self.settlement.view_since() < SLOW_GOSSIP_AFTER_MS;
        let is_unsettled = self.settlement.settled_since().is_none();
        is_unsettled.then_some(if is_recent { GOSSIP_INTERVAL_MS } else { SLOW_GOSSIP_INTERVAL_MS })
    }

    /// Sends the pending updates, and the known holders of this view, to a few random peers.
    pub(super) fn gossip_round(&mut self, now_ms: f64, actions: &mut Vec<Action>) {
        let transmissions = self.transmissions_per_update();
        for to in self.random_peers(GOSSIP_FANOUT) {
            if !self.has_spare_budget(now_ms) {
                return;
            }
            let mut items = Vec::new();
            let remaining = self.append_updates(transmissions, self.item_capacity(), &mut items);
            self.append_deferred_failures(transmissions, remaining, &mut items);
            self.send(now_ms, to, items, actions);
        }
    }

    /// Appends the least often sent updates that fit into `capacity` bytes; returns the remaining capacity.
    fn append_updates(&mut self, transmissions: u32, mut capacity: usize, items: &mut Vec<Item>) -> usize {
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
            if sent + 1 >= transmissions {
                self.updates.remove(&id);
            } else {
                self.updates.insert(id, PendingUpdate { sent: sent + 1, full });
            }
        }
        capacity
    }

    /// Appends the deferred failures that fit into `capacity` bytes. They are forwarded while deferred, so
    /// that all fronts defer them during the same period.
    fn append_deferred_failures(&mut self, transmissions: u32, mut capacity: usize, items: &mut Vec<Item>) {
        for (id, deferred) in self.deferred.iter_mut().filter(|(_, d)| d.sent < transmissions) {
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
