//! What an attempt asks of whoever decided on it, up to its first byte: may it begin, and with which bytes.

use fernslip::Ending;
use std::time::Instant;

/// When an attempt ends and, where that matters, has begun.
#[derive(Clone, Copy, Debug)]
pub struct AttemptTimes {
    /// It ends by then.
    pub deadline: Instant,
    /// Its first byte is written by then, or it is taken back; `None`: whenever its connection is up.
    pub begin_by: Option<Instant>,
}

/// Why an attempt is not to begin any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denied {
    /// The module called it off.
    Cancelled,
    /// Its client has disconnected or cancelled.
    ClientDisconnected,
    /// Its node or its source drains, or what it asks for was purged, since it was decided on.
    Outdated,
    /// It had to begin by a time that is over.
    TooLate,
}

impl Denied {
    /// Its name in figures.
    pub fn name(self) -> &'static str {
        match self {
            Denied::Cancelled => "called_off",
            Denied::ClientDisconnected => "client_left",
            Denied::Outdated => "outdated",
            Denied::TooLate => "too_late",
        }
    }

    /// What is reported of the attempt: nothing of it ran.
    pub fn ending(self) -> Ending {
        match self {
            Denied::Cancelled => Ending::Cancelled,
            Denied::ClientDisconnected => Ending::Superseded,
            Denied::Outdated | Denied::TooLate => Ending::Retracted,
        }
    }
}

/// An attempt that has been decided on and has not begun.
pub trait PendingAttempt: Send + Sync {
    /// Whether it may begin at that moment.
    ///
    /// # Errors
    /// Why it may not.
    fn check(&self, now: Instant) -> Result<(), Denied>;

    /// The request's bytes, with the time that is left at that moment.
    fn bytes(&self, now: Instant) -> Vec<u8>;
}
