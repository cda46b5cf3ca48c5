//! The monotonic clock whose time the decision crate is given, in milliseconds ("clock time"). For the wall
//! clock see [`crate::wall_clock`].

use std::time::{Duration, Instant};

/// Clock time at the start of the clock, in milliseconds. It is far above 0, so that events from before the
/// start have a time too; the decision crate takes 0 for 'long ago'.
const START_MS: f64 = 10_000_000.0;

/// A monotonic clock; its times are the milliseconds that the decision crate is given.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Creates a clock that starts now.
    pub fn start() -> Clock {
        Clock { start: Instant::now() }
    }

    /// The time since the clock was started.
    pub fn elapsed(&self) -> Duration {
        self.start.elapsed()
    }

    /// The current clock time, in milliseconds.
    pub fn now(&self) -> f64 {
        self.clock_time_at(Instant::now())
    }

    /// The clock time at `when`, in milliseconds; instants before the clock's start count as its start.
    pub fn clock_time_at(&self, when: Instant) -> f64 {
        START_MS + when.saturating_duration_since(self.start).as_secs_f64() * 1000.0
    }

    /// The time from now until the clock time `until_ms`: zero if that has passed, and at most one hour.
    pub fn time_until(&self, until_ms: f64) -> Duration {
        Duration::from_secs_f64(((until_ms - self.now()) / 1000.0).clamp(0.0, 3600.0))
    }
}

#[cfg(test)]
#[path = "clock/tests.rs"]
mod tests;
