//! Dissemination of membership updates, which are piggybacked on pings and acks and sent to a few random
//! peers each round.

use super::Gossip;
use crate::codec::{encoded_len, total_encoded_len, ITEM_CAPACITY, MAX_DATAGRAM_BYTES};
use crate::config::Now;
use crate::event::Action;
use crate::message::{FrontId, Item};
use rand::seq::IndexedRandom;
use std::net::SocketAddr;

/// Each update is sent this many times the binary logarithm of the fleet's size.
const RETRANSMIT_FACTOR: f64 = 3.0;
/// Bytes of the send budget that dissemination leaves for pings and acks.
pub(super) const PROBE_RESERVED_BYTES: usize = 512;
/// Bytes of the send budget that the dissemination of reports leaves unused. It is one datagram more than
/// [`PROBE_RESERVED_BYTES`], so membership updates take precedence.
pub(super) const REPORTS_RESERVED_BYTES: usize = PROBE_RESERVED_BYTES + MAX_DATAGRAM_BYTES;

/// A membership update that is still being disseminated.
pub(super) struct PendingUpdate {
    /// How many times the update was sent.
    sends: u32,
    item: Item,
}

impl Gossip {
    /// Starts to disseminate a membership update; it replaces an older one about the same member.
    pub(super) fn disseminate(&mut self, update: Option<Item>) {
        let Some(item) = update else { return };
        let id = match &item {
            Item::Alive { id, .. }
            | Item::Suspect { id, .. }
            | Item::Dead { id, .. }
            | Item::Departed { id, .. } => *id,
            _ => return,
        };
        self.updates.insert(id, PendingUpdate { sends: 0, item });
    }

    /// Fills the remaining capacity of a datagram that holds `items` with membership updates, the least often
    /// sent first.
    pub(super) fn piggyback_updates(&mut self, items: &mut Vec<Item>) {
        let fleet = (self.members.present().count() + 2) as f64;
        let max_sends = (RETRANSMIT_FACTOR * fleet.log2()).ceil() as u32;
        let mut capacity = ITEM_CAPACITY.saturating_sub(total_encoded_len(items));
        let mut order: Vec<(u32, FrontId)> = self.updates.iter().map(|(id, u)| (u.sends, *id)).collect();
        order.sort_unstable();
        for (_, id) in order {
            let Some(update) = self.updates.get_mut(&id) else { continue };
            let len = encoded_len(&update.item);
            if len > capacity {
                break;
            }
            capacity -= len;
            items.push(update.item.clone());
            update.sends += 1;
            if update.sends >= max_sends {
                self.updates.remove(&id);
            }
        }
    }

    /// Sends membership updates to [`Config::fanout`](crate::Config::fanout) random peers.
    pub(super) fn disseminate_updates(&mut self, now: Now, actions: &mut Vec<Action>) {
        if self.updates.is_empty() {
            return;
        }
        for to in self.random_peers(self.config.fanout) {
            if self.send_budget.available_bytes(now.mono_ms) < PROBE_RESERVED_BYTES {
                return;
            }
            let mut items = Vec::new();
            self.piggyback_updates(&mut items);
            if items.is_empty() {
                return;
            }
            // A peer that does not know this front yet accepts its updates only with this announcement.
            let own = self.own_alive_item();
            if total_encoded_len(&items) + encoded_len(&own) <= ITEM_CAPACITY {
                items.push(own);
            }
            self.send(now, to, &items, actions);
        }
    }

    /// Returns the addresses of up to `count` random members that are present.
    pub(super) fn random_peers(&mut self, count: usize) -> Vec<SocketAddr> {
        self.members.present_addrs().choose_multiple(&mut self.rng, count).copied().collect()
    }
}
