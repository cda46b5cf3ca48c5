//! The send budget: packing items into datagrams and keeping all that is sent under the byte rate.

use super::*;

impl View {
    /// Sends items, in as many datagrams as they take, up to [`MOST_AT_ONCE`].
    pub(super) fn send(
        &mut self,
        at: f64,
        to: SocketAddr,
        items: Vec<Item>,
        actions: &mut Vec<Action>,
    ) -> bool {
        let room = MOST_BYTES.saturating_sub(TAG_BYTES + HEAD_BYTES + self.settle.bits().len());
        let mut parts: Vec<Vec<Item>> = vec![Vec::new()];
        let mut used = 0;
        for item in items {
            let size = size(&item);
            if used + size > room && used > 0 {
                parts.push(Vec::new());
                used = 0;
            }
            used += size;
            if let Some(part) = parts.last_mut() {
                part.push(item);
            }
        }
        for items in parts.into_iter().take(MOST_AT_ONCE) {
            let (digest, held) = (self.table.digest(), self.settle.bits().to_vec());
            let (key, sequence) = (self.keys.signs(), self.sequence + 1);
            let mut message = Message::new(key, self.id(), self.own.birth, sequence, digest, held);
            message.items = items;
            let bytes = message.seal(&self.keys);
            if bytes.len() > MOST_BYTES || !self.bucket.take(at, bytes.len()) {
                self.counts.held_back += 1;
                return false;
            }
            self.sequence += 1;
            self.counts.sent += 1;
            self.counts.sent_bytes += bytes.len() as u64;
            actions.push(Action::Send { to, bytes });
        }
        true
    }

    /// Whether there is room for what can wait: pings, answers and words against a front go before it.
    pub(super) fn budget_has_room(&mut self, at: f64) -> bool {
        self.bucket.left(at) as u64 > self.config.burst_bytes / 8
    }

    pub(super) fn next_probe_number(&mut self) -> u32 {
        self.number = self.number.wrapping_add(1);
        self.number
    }

    pub(super) fn random_peers(&mut self, many: usize) -> Vec<SocketAddr> {
        let all: Vec<SocketAddr> = self.counted_peers().map(|(_, h)| h.fact.addr).collect();
        all.choose_multiple(&mut self.rng, many).copied().collect()
    }
}
