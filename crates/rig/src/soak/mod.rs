//! A soak test: real fronts with the platform's configuration, real sockets, and two or three troubles at any time, drawn by a
//! seed. What happens is judged from outside by the rules, at clients, cache nodes and the discovery bus, and from inside by
//! the violations that the fronts count themselves.
//!
//! - [`judge`]: the rules, over what clients, nodes and the bus saw.
//! - [`plan`]: which trouble comes when, by the seed.
//! - [`bus`], [`nodes`], [`clients`], [`peers`]: the stand-ins round the fronts.
//! - [`process`]: one front's process: configuration, signals, its log.
//! - [`run`]: one seed from beginning to end.

pub mod bus;
pub mod clients;
pub mod judge;
pub mod nodes;
pub mod peers;
pub mod plan;
pub mod process;
pub mod run;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::ops::Range;
use std::sync::{Mutex, MutexGuard, PoisonError};

fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Draws by a seed, shared by tasks: each draw is repeatable as far as tasks come in the same order.
pub struct Dice(Mutex<ChaCha8Rng>);

impl Dice {
    /// Draws of that seed; `who` sets those of one stand-in apart from another's.
    pub fn new(seed: u64, who: u64) -> Dice {
        Dice(Mutex::new(ChaCha8Rng::seed_from_u64(seed ^ who.wrapping_mul(0x9E37_79B9_7F4A_7C15))))
    }

    /// From 0 to 1.
    pub fn part(&self) -> f64 {
        lock(&self.0).random()
    }

    /// Whether something of that likelihood happens.
    pub fn hits(&self, part: f64) -> bool {
        self.part() < part
    }

    /// A number of that range.
    pub fn number(&self, range: Range<u64>) -> u64 {
        lock(&self.0).random_range(range)
    }

    /// One of those.
    pub fn one<'a, T>(&self, of: &'a [T]) -> &'a T {
        &of[self.number(0..of.len() as u64) as usize]
    }
}
