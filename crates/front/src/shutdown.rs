//! The plan of a graceful shutdown after SIGTERM, from the platform's times and the longest deadline of the settings.

use crate::listen::Origin;
use std::time::Duration;

/// After SIGTERM new work may come for so long, and is taken: the platform sends new connections for 0.4 s at the
/// longest, and calls on open ones for 0.2 s more.
const ACCEPTING_FOR: Duration = Duration::from_millis(650);
/// The platform kills the process that much after SIGTERM and the longest deadline, which counts as `MIN_LONGEST_DEADLINE_MS`
/// where it is shorter.
const KILLED_AFTER: Duration = Duration::from_millis(700);
const MIN_LONGEST_DEADLINE_MS: f64 = 3000.0;
/// Of that time, reserved for closing connections gracefully once all is answered.
const GRACEFUL_CLOSES: Duration = Duration::from_millis(450);
/// A margin, for the delivery of the signal and a machine that is busy.
const MARGIN: Duration = Duration::from_millis(20);

/// Times after SIGTERM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownPlan {
    /// Work is accepted up to then, and rejected at once afterwards.
    pub accepting_for: Duration,
    /// All that was accepted is answered by then, be it with an error.
    pub answered_by: Duration,
    /// The process has exited by then.
    pub exit_by: Duration,
    /// Another process accepts on the clients' socket: what this one does not accept is accepted there, and not rejected.
    pub hands_over: bool,
}

impl ShutdownPlan {
    /// Where the longest that a client waits is so many milliseconds. A handed socket is served by the process that
    /// replaces this one: nothing more is accepted here.
    pub fn of(longest_ms: f64, origin: Origin) -> ShutdownPlan {
        let kill = Duration::from_secs_f64(longest_ms.max(MIN_LONGEST_DEADLINE_MS) / 1000.0) + KILLED_AFTER;
        let accepting_for = if origin == Origin::Passed { Duration::ZERO } else { ACCEPTING_FOR };
        let exit_by = kill - MARGIN;
        ShutdownPlan {
            accepting_for,
            answered_by: exit_by - GRACEFUL_CLOSES,
            exit_by,
            hands_over: origin == Origin::Passed,
        }
    }
}

#[cfg(test)]
#[path = "shutdown/tests.rs"]
mod tests;
