//! Classifies failures of system calls: those of this machine, which are retried, and those of the other
//! side. Only the latter count against the other side.

use crate::sleep;
use std::io;
use std::time::{Duration, Instant};

/// The cause of a failed system call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No descriptor is left to the process.
    Descriptors,
    /// This machine lacks a resource, perhaps only briefly: system-wide descriptors, ports, buffers, memory
    /// or a network route.
    Local,
    /// The call was interrupted or would have blocked, and is to be made again.
    Interrupted,
    /// The other side or the network path to it failed.
    Remote,
}

// Error numbers of Linux, as in `errno(3)` and `asm-generic/errno.h`.
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

/// First and longest wait between two attempts of a call for which this machine lacks a resource.
const RETRY_BACKOFF: [Duration; 2] = [Duration::from_millis(1), Duration::from_millis(40)];

impl Failure {
    /// Classifies an error of a system call on a socket.
    pub fn classify(error: &io::Error) -> Failure {
        match error.raw_os_error() {
            Some(EMFILE) => Failure::Descriptors,
            Some(EINTR | EAGAIN) => Failure::Interrupted,
            // `ENOSPC` is the limit on watched descriptors, see `epoll_ctl(2)`.
            Some(
                ENFILE | ENOMEM | ENOBUFS | ENOSPC | EADDRINUSE | EADDRNOTAVAIL | ENETDOWN | ENETUNREACH
                | ECONNABORTED,
            ) => Failure::Local,
            _ => Failure::Remote,
        }
    }

    /// Whether the call may succeed shortly, whatever the other side does.
    pub fn is_transient(self) -> bool {
        matches!(self, Failure::Local | Failure::Interrupted)
    }
}

/// Repeats a call with increasing waits for as long as `again` accepts its error and `within` has not
/// passed. `attempt` is given the remaining time.
///
/// # Errors
/// The error of the last attempt.
pub fn retry_with_backoff<T, E>(
    within: Duration,
    again: impl Fn(&E) -> bool,
    mut attempt: impl FnMut(Duration) -> Result<T, E>,
) -> Result<T, E> {
    let until = Instant::now() + within;
    let mut pause = RETRY_BACKOFF[0];
    loop {
        match attempt(until.saturating_duration_since(Instant::now())) {
            Err(e) if again(&e) && Instant::now() + pause < until => {
                sleep::sleep(pause);
                pause = (pause * 2).min(RETRY_BACKOFF[1]);
            }
            other => return other,
        }
    }
}

#[cfg(test)]
#[path = "failure/tests.rs"]
mod tests;
