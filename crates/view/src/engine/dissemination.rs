//! Dissemination: rounds in which news of members is spread to a few random peers.

use super::*;

impl View {
    /// How often a piece of news is told. Of many at once each is told a few times only: who misses some asks for them,
    /// as views are compared, and what all tell each other grows with their number and not faster.
    pub(super) fn retransmit_count(&self) -> u32 {
        if self.news.len() > MANY {
            return TIMES_OF_MANY;
        }
        (TIMES * (self.table.count().max(2) as f64).log2()).ceil() as u32 + 1
    }

    /// Between two rounds of news; `None` while there is nothing to tell.
    pub(super) fn gossip_interval_ms(&self) -> Option<f64> {
        if self.table.count() < 2 || !self.admitted {
            return None;
        }
        if !self.news.is_empty() || self.waiting.values().any(|w| w.told < self.retransmit_count()) {
            return Some(ROUND_MS);
        }
        // Somebody who is cut off keeps a view unsettled for as long as it lasts.
        let fresh = self.heard_ms - self.settle.begun() < PATIENT_MS;
        let open = self.settle.since().is_none();
        open.then_some(if fresh { ROUND_MS } else { SLOW_ROUND_MS })
    }

    /// Tells some others what is new, and who holds this view.
    pub(super) fn gossip_round(&mut self, at: f64, actions: &mut Vec<Action>) {
        let times = self.retransmit_count();
        for to in self.random_peers(FANOUT) {
            if !self.budget_has_room(at) {
                return;
            }
            let mut room = MOST_BYTES.saturating_sub(TAG_BYTES + HEAD_BYTES + self.settle.bits().len());
            let mut order: Vec<(u32, Id, bool)> = self.news.iter().map(|(id, n)| (n.0, *id, n.1)).collect();
            order.sort_unstable();
            let mut items = Vec::new();
            for (told, id, whole) in order {
                let Some(h) = self.table.get(id) else {
                    self.news.remove(&id);
                    continue;
                };
                let item = if whole { Item::Whole(h.fact.clone()) } else { Item::Short(id, h.rank) };
                let size = size(&item);
                if size > room {
                    break;
                }
                room -= size;
                items.push(item);
                if told + 1 >= times {
                    self.news.remove(&id);
                } else {
                    self.news.insert(id, (told + 1, whole));
                }
            }
            // A word that waits here is passed on meanwhile, so that it waits everywhere at the same time.
            for (id, w) in self.waiting.iter_mut().filter(|(_, w)| w.told < times) {
                let item = Item::Short(*id, w.rank);
                let size = size(&item);
                if size > room {
                    break;
                }
                room -= size;
                items.push(item);
                w.told += 1;
            }
            self.send(at, to, items, actions);
        }
    }
}
