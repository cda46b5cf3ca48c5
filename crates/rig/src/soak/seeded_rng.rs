//! Random draws by a seed.

use crate::sync::lock;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::ops::Range;
use std::sync::Mutex;

/// Multiplied with the stream's number, so that neighbouring streams get seeds that are far apart.
const STREAM_MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;

/// A generator that tasks share. Draws are repeatable as far as tasks come in the same order.
pub struct SeededRng(Mutex<ChaCha8Rng>);

impl SeededRng {
    /// The generator of a seed; `stream` sets the draws of one stand-in apart from another's.
    pub fn new(seed: u64, stream: u64) -> SeededRng {
        SeededRng(Mutex::new(ChaCha8Rng::seed_from_u64(seed ^ stream.wrapping_mul(STREAM_MULTIPLIER))))
    }

    /// A number from 0 to 1.
    pub fn fraction(&self) -> f64 {
        lock(&self.0).random()
    }

    /// True with that probability.
    pub fn chance(&self, probability: f64) -> bool {
        self.fraction() < probability
    }

    /// A number of that range.
    pub fn number(&self, range: Range<u64>) -> u64 {
        lock(&self.0).random_range(range)
    }

    /// One of the items.
    pub fn pick<'a, T>(&self, items: &'a [T]) -> &'a T {
        &items[self.number(0..items.len() as u64) as usize]
    }
}
