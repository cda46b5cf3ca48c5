//! The other routers of the location, as known from their messages, and for how long this router has been
//! learning.

use crate::rendezvous::mix_bits;
use std::collections::BTreeSet;

/// Known routers of the location, and the length of time over which the router's state was learned, including
/// adopted state.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    /// Numbers of the known routers.
    known: BTreeSet<u32>,
    /// Time of this router's first event.
    pub first_event_ms: Option<f64>,
    /// Time by which state adopted from a peer is older than this router's first event, in milliseconds.
    adopted_ms: f64,
}

impl Peers {
    /// Records that an event arrived at time `now`.
    pub fn record_event(&mut self, now: f64) {
        self.first_event_ms.get_or_insert(now);
    }

    /// Records a message of router `from`, which is known from then on if it serves this location and
    /// forgotten otherwise.
    pub fn record_message(&mut self, from: u32, same_location: bool) {
        if same_location {
            self.known.insert(from);
        } else {
            self.known.remove(&from);
        }
    }

    /// Numbers of the known routers, in ascending order.
    pub fn known_routers(&self) -> impl Iterator<Item = u32> + '_ {
        self.known.iter().copied()
    }

    /// Whether all `routers` of the location are known, including this one.
    pub fn all_known(&self, routers: u32) -> bool {
        self.known.len() + 1 >= routers as usize
    }

    /// Index of this router in the location, by ascending number; a pseudo-random number while some of the
    /// routers are unknown.
    pub fn index_in_location(&self, own: u32, routers: u32) -> u32 {
        if !self.all_known(routers) {
            return mix_bits(own.into()) as u32;
        }
        self.known.iter().filter(|&&number| number < own).count() as u32
    }

    /// Whether this router is the successor of `other` in cyclic ascending order of numbers.
    pub fn is_successor_of(&self, own: u32, other: u32) -> bool {
        let distance = |number: u32| number.wrapping_sub(other);
        self.known.iter().all(|&number| number == other || distance(own) < distance(number))
    }

    /// Length of time over which the router's state was learned, in milliseconds.
    pub fn known_ms(&self, now: f64) -> f64 {
        self.first_event_ms.map_or(0.0, |first| now - first) + self.adopted_ms
    }

    /// Adopts `known_ms`, the learning time of a peer's state, if it exceeds this router's own learning time.
    /// Returns whether it does.
    pub fn adopt_learning_time(&mut self, now: f64, known_ms: f64) -> bool {
        let more = known_ms - self.known_ms(now);
        self.adopted_ms += more.max(0.0);
        more > 0.0
    }
}

#[cfg(test)]
mod tests;
