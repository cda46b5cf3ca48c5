//! Failures of system calls, sorted by whose they are: this machine's, to be tried again, or the other side's. Only the other
//! side's is held against it.

use crate::sleep;
use std::io;
use std::time::{Duration, Instant};

/// Whose a failure is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The process has no descriptor left.
    Descriptors,
    /// The machine wants for something: descriptors of all processes, ports, buffers, memory, a route. It may have it in a
    /// moment.
    Machine,
    /// Nothing failed: the call is to be made again.
    Again,
    /// The other side's, or the way's to it.
    Remote,
}

// Linux's numbers, as `errno(3)` and `asm-generic/errno.h` have them.
const EINTR: i32 = 4;
const EAGAIN: i32 = 11;
const ENOMEM: i32 = 12;
const ENFILE: i32 = 23;
const EMFILE: i32 = 24;
const ENOSPC: i32 = 28;
const EADDRINUSE: i32 = 98;
const EADDRNOTAVAIL: i32 = 99;
const ENETDOWN: i32 = 100;
const ENETUNREACH: i32 = 101;
const ECONNABORTED: i32 = 103;
const ENOBUFS: i32 = 105;

/// Between two tries of what the machine wants for: the first wait, and the longest.
const PAUSE: [Duration; 2] = [Duration::from_millis(1), Duration::from_millis(40)];

impl Failure {
    /// Sorts an error of a socket's call.
    pub fn of(e: &io::Error) -> Failure {
        match e.raw_os_error() {
            Some(EMFILE) => Failure::Descriptors,
            Some(EINTR | EAGAIN) => Failure::Again,
            // ENOSPC: the limit on watched descriptors, `epoll_ctl(2)`.
            Some(
                ENFILE | ENOMEM | ENOBUFS | ENOSPC | EADDRINUSE | EADDRNOTAVAIL | ENETDOWN | ENETUNREACH
                | ECONNABORTED,
            ) => Failure::Machine,
            _ => Failure::Remote,
        }
    }

    /// Whether the call may succeed in a moment, whatever the other side does.
    pub fn is_transient(self) -> bool {
        matches!(self, Failure::Machine | Failure::Again)
    }
}

/// Makes a call again, with growing waits, for as long as `again` says of its error and `within` allows. `attempt` is given
/// the time that is left.
///
/// # Errors
/// The last one.
pub fn retry_with_backoff<T, E>(
    within: Duration,
    again: impl Fn(&E) -> bool,
    mut attempt: impl FnMut(Duration) -> Result<T, E>,
) -> Result<T, E> {
    let until = Instant::now() + within;
    let mut pause = PAUSE[0];
    loop {
        match attempt(until.saturating_duration_since(Instant::now())) {
            Err(e) if again(&e) && Instant::now() + pause < until => {
                sleep::sleep(pause);
                pause = (pause * 2).min(PAUSE[1]);
            }
            other => return other,
        }
    }
}

#[cfg(test)]
#[path = "failure/tests.rs"]
mod tests;
