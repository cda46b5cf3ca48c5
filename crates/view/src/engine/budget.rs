//! Packs items into datagrams and limits everything sent to the configured byte rate.

use super::*;

impl View {
    /// Sends items in as many datagrams as they need, but at most [`MAX_DATAGRAMS_PER_SEND`]; returns whether
    /// the budget sufficed.
    pub(super) fn send(
        &mut self,
        now_ms: f64,
        to: SocketAddr,
        items: Vec<Item>,
        actions: &mut Vec<Action>,
    ) -> bool {
        for items in self.pack_items(items).into_iter().take(MAX_DATAGRAMS_PER_SEND) {
            let (digest, holders) = (self.table.digest(), self.settlement.holders().to_vec());
            let (key, sequence) = (self.keys.signing_key(), self.sequence + 1);
            let mut message =
                Message::new(key, self.own_id(), self.own.process_id, sequence, digest, holders);
            message.items = items;
            let bytes = message.seal(&self.keys);
            if bytes.len() > MAX_DATAGRAM_BYTES || !self.send_budget.try_take(now_ms, bytes.len()) {
                self.counters.over_budget += 1;
                return false;
            }
            self.sequence += 1;
            self.counters.sent += 1;
            self.counters.sent_bytes += bytes.len() as u64;
            actions.push(Action::Send { to, bytes });
        }
        true
    }

    /// Splits items into parts that each fit into one datagram; returns at least one part.
    fn pack_items(&self, items: Vec<Item>) -> Vec<Vec<Item>> {
        let capacity = self.item_capacity();
        let mut parts: Vec<Vec<Item>> = vec![Vec::new()];
        let mut used = 0;
        for item in items {
            let len = encoded_len(&item);
            if used + len > capacity && used > 0 {
                parts.push(Vec::new());
                used = 0;
            }
            used += len;
            if let Some(part) = parts.last_mut() {
                part.push(item);
            }
        }
        parts
    }

    /// Returns the number of item bytes that fit into one datagram.
    pub(super) fn item_capacity(&self) -> usize {
        MAX_DATAGRAM_BYTES.saturating_sub(TAG_BYTES + HEADER_BYTES + self.settlement.holders().len())
    }

    /// Whether more than an eighth of the burst budget is left. Traffic that can wait is sent only then;
    /// pings, answers and suspicions take precedence.
    pub(super) fn has_spare_budget(&mut self, now_ms: f64) -> bool {
        self.send_budget.available_bytes(now_ms) as u64 > self.config.burst_bytes / 8
    }

    pub(super) fn next_ping_number(&mut self) -> u32 {
        self.ping_number = self.ping_number.wrapping_add(1);
        self.ping_number
    }

    /// Returns the addresses of up to `count` randomly chosen other live members.
    pub(super) fn random_peers(&mut self, count: usize) -> Vec<SocketAddr> {
        let all = self.live_peer_addrs();
        all.choose_multiple(&mut self.rng, count).copied().collect()
    }
}
