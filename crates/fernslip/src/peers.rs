//! The location's other routers, by their messages, and since when this one learns.

use crate::rendezvous::mix;
use std::collections::BTreeSet;

/// The routers of the location that messages came from, and over how long things were learned, here or by one whose
/// knowledge was adopted.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    /// Their numbers.
    known: BTreeSet<u32>,
    /// When this router's first event came.
    pub first_event_ms: Option<f64>,
    /// For how much longer the router had learned whose knowledge was adopted, in milliseconds.
    adopted_ms: f64,
}

impl Peers {
    /// An event came at that time.
    pub fn record_event(&mut self, now: f64) {
        self.first_event_ms.get_or_insert(now);
    }

    /// A message came from a router, of this location or of another.
    pub fn record_message(&mut self, from: u32, same_location: bool) {
        if same_location {
            self.known.insert(from);
        } else {
            self.known.remove(&from);
        }
    }

    /// Their numbers.
    pub fn all(&self) -> impl Iterator<Item = u32> + '_ {
        self.known.iter().copied()
    }

    /// Whether all of a location of `routers` are known, this one included.
    pub fn all_known(&self, routers: u32) -> bool {
        self.known.len() + 1 >= routers as usize
    }

    /// This router's index among the location's: by the order of their numbers, and a random one while some are not known.
    pub fn index(&self, own: u32, routers: u32) -> u32 {
        if !self.all_known(routers) {
            return mix(own.into()) as u32;
        }
        self.known.iter().filter(|&&m| m < own).count() as u32
    }

    /// Whether this router is the one that comes after `other` in the order of numbers, round and round.
    pub fn comes_after(&self, own: u32, other: u32) -> bool {
        let after = |m: u32| m.wrapping_sub(other);
        self.known.iter().all(|&m| m == other || after(own) < after(m))
    }

    /// Over how long things were learned, in milliseconds.
    pub fn known_ms(&self, now: f64) -> f64 {
        self.first_event_ms.map_or(0.0, |b| now - b) + self.adopted_ms
    }

    /// Adopts knowledge of that many milliseconds if it is more than there is; whether it did.
    pub fn adopt(&mut self, now: f64, known_ms: f64) -> bool {
        let more = known_ms - self.known_ms(now);
        self.adopted_ms += more.max(0.0);
        more > 0.0
    }
}

#[cfg(test)]
mod tests;
