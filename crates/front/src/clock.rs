//! The module's time: the monotonic clock in milliseconds. What the wall clock says is [`crate::wall_clock`]'s.

use std::time::{Duration, Instant};

/// Module time at the start. Above 0, so that what started a while before this front has a time too: the
/// module takes 0 for 'long ago'.
const BASE_MS: f64 = 10_000_000.0;

/// A clock that never runs back.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Clock {
        Clock { start: Instant::now() }
    }

    /// Time since the start.
    pub fn age(&self) -> Duration {
        self.start.elapsed()
    }

    /// Module time now.
    pub fn now(&self) -> f64 {
        self.at(Instant::now())
    }

    /// Module time at that instant.
    pub fn at(&self, when: Instant) -> f64 {
        BASE_MS + when.saturating_duration_since(self.start).as_secs_f64() * 1000.0
    }

    /// How long from now until that module time.
    pub fn until(&self, module_ms: f64) -> Duration {
        Duration::from_secs_f64(((module_ms - self.now()) / 1000.0).clamp(0.0, 3600.0))
    }
}

#[cfg(test)]
#[path = "clock/tests.rs"]
mod tests;
