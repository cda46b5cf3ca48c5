//! Replay protection by a sliding window of sequence numbers for each sender.

use std::collections::HashMap;
use std::hash::Hash;

/// The number of sequence numbers, counted back from the highest, that are still accepted, each once.
const WINDOW_SIZE: u32 = 128;
/// The greatest number of senders with a stored window. It is more than any fleet has, so only forgeries
/// under a valid key reach it.
const MAX_SENDERS: usize = 4096;

struct SenderWindow {
    epoch_ms: u64,
    highest: u32,
    /// Bit `n` is set if the sequence number `highest - n` was received.
    received_bits: u128,
    last_seen_ms: f64,
}

/// The sequence numbers received from each sender, so that each datagram is accepted only once.
pub struct ReplayFilter<K>(HashMap<K, SenderWindow>);

impl<K> Default for ReplayFilter<K> {
    fn default() -> Self {
        ReplayFilter(HashMap::new())
    }
}

impl<K: Copy + Eq + Hash> ReplayFilter<K> {
    /// Records a datagram whose tag was verified, and returns whether it is new. A sender that restarts
    /// starts a new epoch, after which datagrams of its earlier epochs are rejected.
    ///
    /// `epoch_ms` is when the sender started, in Unix milliseconds, or 0 where the sender's key `K` already
    /// identifies its run.
    pub fn record_if_new(&mut self, sender: K, epoch_ms: u64, sequence: u32, now_ms: f64) -> bool {
        if !self.0.contains_key(&sender) && self.0.len() >= MAX_SENDERS {
            let oldest = self.0.iter().min_by(|a, b| a.1.last_seen_ms.total_cmp(&b.1.last_seen_ms));
            oldest.map(|w| *w.0).and_then(|id| self.0.remove(&id));
        }
        let fresh = SenderWindow { epoch_ms, highest: sequence, received_bits: 0, last_seen_ms: now_ms };
        let window = self.0.entry(sender).or_insert(fresh);
        if epoch_ms < window.epoch_ms {
            return false;
        }
        if epoch_ms > window.epoch_ms {
            *window = SenderWindow { epoch_ms, highest: sequence, received_bits: 0, last_seen_ms: now_ms };
        }
        window.last_seen_ms = now_ms;
        if sequence > window.highest {
            let advance = sequence - window.highest;
            window.received_bits = if advance < WINDOW_SIZE { window.received_bits << advance } else { 0 };
            window.highest = sequence;
        }
        let behind = window.highest - sequence;
        if behind >= WINDOW_SIZE || window.received_bits & (1 << behind) != 0 {
            return false;
        }
        window.received_bits |= 1 << behind;
        true
    }
}

#[cfg(test)]
mod tests;
