//! Gives other sockets a chance while one socket has input without end.
//!
//! One worker thread runs all coroutines and polls all sockets. A coroutine that reads from a socket reads at
//! most a quantum before it calls [`yield_to_sockets`].

use std::sync::atomic::{AtomicU64, Ordering};

/// Number of calls of [`yield_to_sockets`] since the start of the process.
static YIELDS: AtomicU64 = AtomicU64::new(0);

/// Suspends the running coroutine so that others run.
pub fn yield_to_sockets() {
    YIELDS.fetch_add(1, Ordering::Relaxed);
    may::coroutine::yield_now();
}

/// The metric of this module, as a line `name=value`.
pub fn metric_line() -> String {
    format!("relay.event_loop.yields={}\n", YIELDS.load(Ordering::Relaxed))
}
