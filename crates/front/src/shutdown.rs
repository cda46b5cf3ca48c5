//! The plan of a front's end after SIGTERM, from the platform's figures and the longest deadline of the settings.

use crate::listen::Origin;
use std::time::Duration;

/// After SIGTERM new work may come for so long, and is taken: the platform sends new connections for 0.4 s at the
/// longest, and calls on open ones for 0.2 s more.
const STILL_COMING: Duration = Duration::from_millis(650);
/// The platform kills the process that much after SIGTERM and the longest deadline, which counts as `LEAST_LONGEST_MS`
/// where it is shorter.
const KILLED_AFTER: Duration = Duration::from_millis(700);
const LEAST_LONGEST_MS: f64 = 3000.0;
/// Of that time, kept for closing connections gracefully once all is answered.
const LAST_CLOSES: Duration = Duration::from_millis(450);
/// And left over, for the way of the signal and a machine that is busy.
const SPARE: Duration = Duration::from_millis(20);

/// Times after SIGTERM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownPlan {
    /// Work is taken up to then, and turned away at once afterwards.
    pub coming: Duration,
    /// All that was taken is answered by then, be it with an error.
    pub answered_by: Duration,
    /// The process has ended by then.
    pub over_by: Duration,
    /// Another process accepts on the clients' socket: what this one does not take is taken there, and not turned away.
    pub hands_over: bool,
}

impl ShutdownPlan {
    /// Where the longest that a client waits is so many milliseconds. A handed socket is served by the process that
    /// replaces this one: nothing more is taken here.
    pub fn of(longest_ms: f64, origin: Origin) -> ShutdownPlan {
        let kill = Duration::from_secs_f64(longest_ms.max(LEAST_LONGEST_MS) / 1000.0) + KILLED_AFTER;
        let coming = if origin == Origin::Passed { Duration::ZERO } else { STILL_COMING };
        let over_by = kill - SPARE;
        ShutdownPlan {
            coming,
            answered_by: over_by - LAST_CLOSES,
            over_by,
            hands_over: origin == Origin::Passed,
        }
    }
}

#[cfg(test)]
#[path = "shutdown/tests.rs"]
mod tests;
