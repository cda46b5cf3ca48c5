//! The wall clock, which may be stepped at any time. A Unix time from another machine is converted to the
//! time of the monotonic clock ([`Clock`]) once, when it arrives.
//!
//! A step is detected by comparing the wall clock with the monotonic clock, at each use and every 100 ms.
//! After a step no Unix time can be trusted: it may be from before the step, or from a machine whose clock
//! was not stepped. A dated event is then taken to have happened now, which is the safe assumption for purges
//! and for starts of nodes. The same holds for an event dated in the future, and for one dated before the
//! previous message of the discovery watch although it arrived after that message: in both cases the clocks
//! of the two machines differ.

use crate::clock::Clock;
use crate::sync::lock;
use std::sync::Mutex;
use std::time::{SystemTime, UNIX_EPOCH};

/// A change of the offset between the clocks beyond this, in milliseconds, counts as a step. Between two
/// readings the clocks drift apart by far less.
const STEP_THRESHOLD_MS: f64 = 50.0;

/// The longest time that reading both clocks may take, in milliseconds. If it takes longer, the process was
/// delayed between the readings and they cannot show a step.
const MAX_READING_MS: f64 = 5.0;
/// How many times the two clocks are read at most until a reading is quick enough.
const READING_ATTEMPTS: usize = 4;

/// The current time of the wall clock, in Unix milliseconds.
fn unix_ms() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64() * 1000.0
}

struct State {
    /// Unix time minus the monotonic clock's time at the last reading, in milliseconds.
    offset_ms: f64,
    /// The number of steps detected so far.
    steps: u64,
}

/// The wall clock, compared with the monotonic clock to detect steps.
pub struct WallClock {
    clock: Clock,
    state: Mutex<State>,
}

impl WallClock {
    /// Creates a wall clock that is compared with `clock` from now on.
    pub fn start(clock: Clock) -> WallClock {
        // The quickest of several readings is used: after a delay between the two clocks, the next reading
        // would look like a step.
        let read = || (clock.now(), unix_ms(), clock.now());
        let close = (0..READING_ATTEMPTS).map(|_| read()).min_by(|a, b| (a.2 - a.0).total_cmp(&(b.2 - b.0)));
        let offset_ms = close.map_or(0.0, |(_, unix, after)| unix - after);
        WallClock { clock, state: Mutex::new(State { offset_ms, steps: 0 }) }
    }

    /// Checks for a step of the wall clock; to be called periodically. Returns the number of steps since the
    /// start.
    pub fn check_for_step(&self) -> u64 {
        self.read_and_compare(unix_ms).1
    }

    /// Reads the wall clock, and compares it with the monotonic clock if the process was not delayed between
    /// the readings. Returns the time in Unix milliseconds and the number of steps since the start.
    fn read_and_compare(&self, read_wall: impl Fn() -> f64) -> (f64, u64) {
        let mut wall_ms = read_wall();
        for _ in 0..READING_ATTEMPTS {
            let before = self.clock.now();
            wall_ms = read_wall();
            let after = self.clock.now();
            if after - before <= MAX_READING_MS {
                return (wall_ms, self.detect_step(wall_ms, after));
            }
        }
        (wall_ms, lock(&self.state).steps)
    }

    fn detect_step(&self, unix_ms: f64, now: f64) -> u64 {
        let mut state = lock(&self.state);
        let offset_ms = unix_ms - now;
        let stepped_ms = offset_ms - state.offset_ms;
        // Slewing changes the offset slowly, so each reading becomes the new reference.
        state.offset_ms = offset_ms;
        if stepped_ms.abs() > STEP_THRESHOLD_MS {
            state.steps += 1;
            tracing::warn!(by_ms = stepped_ms as i64, "the wall clock was stepped");
        }
        state.steps
    }

    /// Converts `unix_ms`, the date of an event that arrives now, to clock time in milliseconds. The event is
    /// known not to have happened before the clock time `not_before`; an earlier date comes from a wall clock
    /// that differs from this one and counts as now.
    pub fn to_clock_time(&self, unix_ms: f64, not_before: f64) -> f64 {
        self.to_clock_time_with(unix_ms, not_before, self::unix_ms)
    }

    fn to_clock_time_with(&self, unix_ms: f64, not_before: f64, read_wall: impl Fn() -> f64) -> f64 {
        let (wall_ms, steps) = self.read_and_compare(read_wall);
        let (stepped, now) = (steps > 0, self.clock.now());
        let dated = now - (wall_ms - unix_ms).max(0.0);
        if stepped || dated < not_before {
            now
        } else {
            dated
        }
    }
}

#[cfg(test)]
#[path = "wall_clock/tests.rs"]
mod tests;
