//! The time plan of a graceful shutdown after SIGTERM, computed from the platform's time limits and the
//! longest deadline in the settings.

use crate::listen::Origin;
use std::time::Duration;

/// How long after SIGTERM new calls are still accepted: the platform opens new connections for up to 0.4 s,
/// and sends calls on open ones for 0.2 s more.
const ACCEPT_PERIOD: Duration = Duration::from_millis(650);
/// The time between the end of the longest deadline, counted from SIGTERM, and the platform's kill. A longest
/// deadline below `MIN_LONGEST_DEADLINE_MS` counts as that value.
const KILL_DELAY: Duration = Duration::from_millis(700);
/// The shortest value, in milliseconds, that the platform assumes for the longest deadline.
const MIN_LONGEST_DEADLINE_MS: f64 = 3000.0;
/// The last part of the time before the kill, reserved for closing connections gracefully after the last
/// answer.
const GRACEFUL_CLOSE_PERIOD: Duration = Duration::from_millis(450);
/// A margin before the kill for signal delivery and a busy machine.
const EXIT_MARGIN: Duration = Duration::from_millis(20);

/// The time limits of a shutdown, each counted from SIGTERM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownPlan {
    /// How long new calls are accepted; later ones are rejected at once.
    pub accepting_for: Duration,
    /// Time by which every accepted call is answered, if need be with an error.
    pub answered_by: Duration,
    /// Time by which the process has exited.
    pub exit_by: Duration,
    /// Whether another process accepts on the same socket. If so, it accepts the connections that this
    /// process does not accept, and none is rejected.
    pub hands_over: bool,
}

impl ShutdownPlan {
    /// Computes the plan from the longest deadline of any class, in milliseconds. With an inherited socket
    /// this process accepts nothing after SIGTERM, because the process that replaces it serves the socket.
    pub fn new(longest_deadline_ms: f64, origin: Origin) -> ShutdownPlan {
        let kill =
            Duration::from_secs_f64(longest_deadline_ms.max(MIN_LONGEST_DEADLINE_MS) / 1000.0) + KILL_DELAY;
        let accepting_for = if origin == Origin::Inherited { Duration::ZERO } else { ACCEPT_PERIOD };
        let exit_by = kill - EXIT_MARGIN;
        ShutdownPlan {
            accepting_for,
            answered_by: exit_by - GRACEFUL_CLOSE_PERIOD,
            exit_by,
            hands_over: origin == Origin::Inherited,
        }
    }
}

#[cfg(test)]
#[path = "shutdown/tests.rs"]
mod tests;
