//! Random numbers that are repeatable by seed.

use crate::sync::lock;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::ops::Range;
use std::sync::Mutex;

/// Factor by which stream numbers are multiplied, so that the seeds of consecutive streams are far apart.
const STREAM_MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;

/// A random number generator shared by several tasks. Its numbers are repeatable as long as the tasks request
/// them in the same order.
pub struct SeededRng(Mutex<ChaCha8Rng>);

impl SeededRng {
    /// Creates a generator from the run's seed; each user passes its own `stream` to get independent numbers.
    pub fn new(seed: u64, stream: u64) -> SeededRng {
        SeededRng(Mutex::new(ChaCha8Rng::seed_from_u64(seed ^ stream.wrapping_mul(STREAM_MULTIPLIER))))
    }

    /// Returns a number from 0 (inclusive) to 1 (exclusive).
    pub fn random_fraction(&self) -> f64 {
        lock(&self.0).random()
    }

    /// Returns true with the given probability, from 0 to 1.
    pub fn random_bool(&self, probability: f64) -> bool {
        self.random_fraction() < probability
    }

    /// Returns a number in the given range, whose end is excluded.
    pub fn random_range(&self, range: Range<u64>) -> u64 {
        lock(&self.0).random_range(range)
    }

    /// Returns one of the items, each with equal probability. Panics if there are none.
    pub fn choose<'a, T>(&self, items: &'a [T]) -> &'a T {
        &items[self.random_range(0..items.len() as u64) as usize]
    }
}
