//! Module time, the time that the decision crate is given: a monotonic clock in milliseconds. For the wall
//! clock see [`crate::wall_clock`].

use std::time::{Duration, Instant};

/// Module time at the start of the clock, in milliseconds. It is far above 0, so that events from before the
/// start have a time too; the decision crate takes 0 for 'long ago'.
const START_MS: f64 = 10_000_000.0;

/// A monotonic clock that gives module time.
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

    /// The current module time, in milliseconds.
    pub fn now(&self) -> f64 {
        self.module_time_at(Instant::now())
    }

    /// The module time at `when`, in milliseconds; instants before the start count as the start.
    pub fn module_time_at(&self, when: Instant) -> f64 {
        START_MS + when.saturating_duration_since(self.start).as_secs_f64() * 1000.0
    }

    /// The time from now until `module_ms`: zero if it has passed, and at most one hour.
    pub fn time_until(&self, module_ms: f64) -> Duration {
        Duration::from_secs_f64(((module_ms - self.now()) / 1000.0).clamp(0.0, 3600.0))
    }
}

#[cfg(test)]
#[path = "clock/tests.rs"]
mod tests;
