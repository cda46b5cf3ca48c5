//! Protection against replayed datagrams: a sliding window of sequence numbers per sender.

use std::collections::HashMap;
use std::hash::Hash;

/// Sequence numbers up to this far behind the highest are still accepted, each once.
const WINDOW: u32 = 128;
/// Senders whose windows are held; more than any fleet has, so only forgeries under a valid key reach the bound.
const MAX_SENDERS: usize = 4096;

struct Window {
    epoch_ms: u64,
    highest: u32,
    /// Bit `n`: the sequence number `highest - n` was received.
    seen: u128,
    last_seen_ms: f64,
}

/// What was received from each sender, so that a datagram counts once.
pub struct ReplayFilter<K>(HashMap<K, Window>);

impl<K> Default for ReplayFilter<K> {
    fn default() -> Self {
        ReplayFilter(HashMap::new())
    }
}

impl<K: Copy + Eq + Hash> ReplayFilter<K> {
    /// Notes a datagram whose tag was verified; whether it is new. A sender that restarts begins a new epoch, and
    /// datagrams of its earlier ones are rejected from then on.
    ///
    /// `epoch_ms`: when the sender started, in Unix milliseconds; 0 where the sender's key `K` already tells that.
    pub fn accept(&mut self, sender: K, epoch_ms: u64, sequence: u32, now_ms: f64) -> bool {
        if !self.0.contains_key(&sender) && self.0.len() >= MAX_SENDERS {
            let oldest = self.0.iter().min_by(|a, b| a.1.last_seen_ms.total_cmp(&b.1.last_seen_ms));
            oldest.map(|w| *w.0).and_then(|id| self.0.remove(&id));
        }
        let fresh = Window { epoch_ms, highest: sequence, seen: 0, last_seen_ms: now_ms };
        let window = self.0.entry(sender).or_insert(fresh);
        if epoch_ms < window.epoch_ms {
            return false;
        }
        if epoch_ms > window.epoch_ms {
            *window = Window { epoch_ms, highest: sequence, seen: 0, last_seen_ms: now_ms };
        }
        window.last_seen_ms = now_ms;
        if sequence > window.highest {
            let advance = sequence - window.highest;
            window.seen = if advance < WINDOW { window.seen << advance } else { 0 };
            window.highest = sequence;
        }
        let behind = window.highest - sequence;
        if behind >= WINDOW || window.seen & (1 << behind) != 0 {
            return false;
        }
        window.seen |= 1 << behind;
        true
    }
}

#[cfg(test)]
mod tests;
