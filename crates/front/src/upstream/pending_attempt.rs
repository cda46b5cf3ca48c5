//! An attempt that was chosen but not yet sent, as its connection sees it: whether it may be sent, and with
//! which bytes.

use fernslip::Ending;
use std::time::Instant;

/// When an attempt times out, and by when it must be sent.
#[derive(Clone, Copy, Debug)]
pub struct AttemptTimes {
    /// An attempt without a result at this time has timed out.
    pub deadline: Instant,
    /// The attempt is retracted unless its first byte is written by this time; `None`: it may be sent
    /// whenever its connection comes up.
    pub begin_by: Option<Instant>,
}

/// Why an attempt may no longer be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denied {
    /// The decision module cancelled the attempt.
    Cancelled,
    /// The client disconnected or cancelled the request.
    ClientDisconnected,
    /// After the attempt was chosen, its node or source began to drain, or the requested object was purged.
    Outdated,
    /// The attempt's deadline, or the time by which it had to be sent, has passed.
    TooLate,
}

impl Denied {
    /// The reason's name in the metrics.
    pub fn name(self) -> &'static str {
        match self {
            Denied::Cancelled => "called_off",
            Denied::ClientDisconnected => "client_left",
            Denied::Outdated => "outdated",
            Denied::TooLate => "too_late",
        }
    }

    /// The ending that is reported for the denied attempt. The request did not run at the node.
    pub fn ending(self) -> Ending {
        match self {
            Denied::Cancelled => Ending::Cancelled,
            Denied::ClientDisconnected => Ending::Superseded,
            Denied::Outdated | Denied::TooLate => Ending::Retracted,
        }
    }
}

/// An attempt that was chosen but not yet sent.
///
/// The methods are called when the first byte is about to be written, while the connection's write queue is
/// locked. Implementations must neither yield nor call back into the connection.
pub trait PendingAttempt: Send + Sync {
    /// Checks whether the attempt may be sent at the time `now`.
    ///
    /// # Errors
    /// Why the attempt may not be sent.
    fn check_may_send(&self, now: Instant) -> Result<(), Denied>;

    /// Encodes the request, which names the time that remains at `now`.
    fn encode(&self, now: Instant) -> Vec<u8>;
}
