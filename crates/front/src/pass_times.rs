//! Times between the passes of the main loop. The main loop runs on the worker thread like everything else,
//! so its passes show how long that thread keeps a coroutine waiting.

use crate::sync::lock;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// A longer time between two passes is logged: answers that wait this long past their deadline are lost.
const LATE_PASS: Duration = Duration::from_millis(500);

/// When the main loop last ran, and the longest time between two of its passes.
pub struct PassTimes(Mutex<State>);

struct State {
    last_pass: Instant,
    longest_gap: Duration,
}

impl PassTimes {
    /// Begins to measure at `now`.
    pub fn new(now: Instant) -> PassTimes {
        PassTimes(Mutex::new(State { last_pass: now, longest_gap: Duration::ZERO }))
    }

    /// Records a pass at `now`, and logs a warning if the one before was long ago.
    pub fn record_pass(&self, now: Instant) {
        let gap = {
            let mut state = lock(&self.0);
            let gap = now.saturating_duration_since(state.last_pass);
            state.last_pass = now;
            state.longest_gap = state.longest_gap.max(gap);
            gap
        };
        if gap > LATE_PASS {
            tracing::warn!(gap_ms = gap.as_millis() as u64, "the main loop was kept waiting");
        }
    }

    /// The metrics as `name=value` lines. A gap that has not ended counts as well.
    pub fn metric_lines(&self, now: Instant) -> String {
        let state = lock(&self.0);
        let since_last = now.saturating_duration_since(state.last_pass);
        format!(
            "relay.main_loop.since_last_pass_ms={}\nrelay.main_loop.longest_gap_ms={}\n",
            since_last.as_millis(),
            state.longest_gap.max(since_last).as_millis()
        )
    }
}

#[cfg(test)]
#[path = "pass_times/tests.rs"]
mod tests;
