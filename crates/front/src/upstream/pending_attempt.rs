//! An attempt that has been decided on and has not begun, as its connection sees it: may it begin, and with which bytes.

use fernslip::Ending;
use std::time::Instant;

/// When an attempt ends and, where that matters, has to begin.
#[derive(Clone, Copy, Debug)]
pub struct AttemptTimes {
    /// Without a result by then it has timed out.
    pub deadline: Instant,
    /// Its first byte is written by then, or it is retracted; `None`: it begins whenever its connection is up.
    pub begin_by: Option<Instant>,
}

/// Why an attempt may not begin any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denied {
    /// The decision module cancelled it.
    Cancelled,
    /// Its client has disconnected or cancelled.
    ClientDisconnected,
    /// Since it was decided on, its node or its source drains, or what it requests was purged.
    Outdated,
    /// The time by which it had to begin, or its deadline, is over.
    TooLate,
}

impl Denied {
    /// Its reason in the metrics.
    pub fn name(self) -> &'static str {
        match self {
            Denied::Cancelled => "called_off",
            Denied::ClientDisconnected => "client_left",
            Denied::Outdated => "outdated",
            Denied::TooLate => "too_late",
        }
    }

    /// The ending that is reported of the attempt: nothing of it ran.
    pub fn ending(self) -> Ending {
        match self {
            Denied::Cancelled => Ending::Cancelled,
            Denied::ClientDisconnected => Ending::Superseded,
            Denied::Outdated | Denied::TooLate => Ending::Retracted,
        }
    }
}

/// An attempt that has been decided on and has not begun.
///
/// Called when its first byte is about to be written, with the connection's write queue locked: implementations neither
/// yield nor call back into the connection.
pub trait PendingAttempt: Send + Sync {
    /// Whether it may begin at that moment.
    ///
    /// # Errors
    /// Why it may not.
    fn check(&self, now: Instant) -> Result<(), Denied>;

    /// The request's bytes, which name the time that remains at that moment.
    fn bytes(&self, now: Instant) -> Vec<u8>;
}
