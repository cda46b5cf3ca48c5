//! The wall clock, which may be stepped at any time: a Unix time from outside becomes a span of real time once, on its arrival.
//!
//! A step is noticed by comparing the wall clock with the monotonic one, at each use and every 100 ms. Once there was one, no
//! Unix time can be trusted: it may be from before the step, or from a machine that was not stepped. What it dates is then
//! taken to have happened in this moment, which is the careful answer for purges and for starts of nodes alike. So is what
//! lies in the future, and what is dated before the discovery watch last said something, after which it was told: there the
//! clocks of the two machines differ.

use crate::clock::Clock;
use crate::sync::lock;
use std::sync::Mutex;
use std::time::{SystemTime, UNIX_EPOCH};

/// Between two looks the two clocks drift apart by far less, in milliseconds; a step is more.
const STEP_MS: f64 = 50.0;

/// Both clocks are read within this, or the process was held up between them and the reading says nothing of a step.
const CLOSE_MS: f64 = 5.0;
/// So many readings are tried.
const READINGS: usize = 4;

/// The wall clock's reading now, in Unix milliseconds.
fn unix_ms() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64() * 1000.0
}

struct State {
    /// Unix time less module time.
    offset_ms: f64,
    steps: u64,
}

/// The wall clock beside the monotonic one.
pub struct WallClock {
    clock: Clock,
    state: Mutex<State>,
}

impl WallClock {
    /// Compared with that clock from now on.
    pub fn start(clock: Clock) -> WallClock {
        // Held up between the two, a reading would look like a step at the next.
        let read = || (clock.now(), unix_ms(), clock.now());
        let close = (0..READINGS).map(|_| read()).min_by(|a, b| (a.2 - a.0).total_cmp(&(b.2 - b.0)));
        let offset_ms = close.map_or(0.0, |(_, unix, after)| unix - after);
        WallClock { clock, state: Mutex::new(State { offset_ms, steps: 0 }) }
    }

    /// Looks whether the wall clock was stepped, now and then; how often it was since the start.
    pub fn observe(&self) -> u64 {
        self.look(unix_ms).1
    }

    /// Reads the wall clock, and compares it where nothing came between the readings; the reading, and how often the clock
    /// was stepped.
    fn look(&self, read_wall: impl Fn() -> f64) -> (f64, u64) {
        let mut wall_ms = read_wall();
        for _ in 0..READINGS {
            let before = self.clock.now();
            wall_ms = read_wall();
            let after = self.clock.now();
            if after - before <= CLOSE_MS {
                return (wall_ms, self.compare(wall_ms, after));
            }
        }
        (wall_ms, lock(&self.state).steps)
    }

    fn compare(&self, unix_ms: f64, now: f64) -> u64 {
        let mut state = lock(&self.state);
        let offset_ms = unix_ms - now;
        let stepped_ms = offset_ms - state.offset_ms;
        // Slewing moves the offset slowly: it is followed.
        state.offset_ms = offset_ms;
        if stepped_ms.abs() > STEP_MS {
            state.steps += 1;
            tracing::warn!(by_ms = stepped_ms as i64, "the wall clock was stepped");
        }
        state.steps
    }

    /// When, in module time, something happened that is dated `unix_ms` and arrives now. It is known not to have happened
    /// before `not_before`, in module time: a date that says otherwise is of a clock that differs from this one.
    pub fn when(&self, unix_ms: f64, not_before: f64) -> f64 {
        self.when_at(unix_ms, not_before, self::unix_ms)
    }

    fn when_at(&self, unix_ms: f64, not_before: f64, read_wall: impl Fn() -> f64) -> f64 {
        let (wall_ms, steps) = self.look(read_wall);
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
