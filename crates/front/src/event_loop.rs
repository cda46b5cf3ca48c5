//! Lets the worker poll all sockets while one socket has input without end.
//!
//! One worker thread runs all coroutines. It polls the sockets, and takes over the coroutines whose timers have
//! expired, only when no coroutine is ready (may 0.3.51, `scheduler.rs`, `run_queued_tasks`). A coroutine that
//! merely yields is ready again at once, so its yields let no socket and no timer in. [`yield_to_sockets`]
//! therefore suspends the coroutine until the worker has polled: it signals an event descriptor and waits until
//! the poll has reported that.
//!
//! Every loop that receives from a socket reads at most a [`Quantum`] before it yields so.

use crate::sleep;
use crate::sync::lock;
use may::io::{CoIo, WaitIo};
use may::sync::Blocker;
use nix::sys::eventfd::{EfdFlags, EventFd};
use std::io;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;

/// Number of messages that are handled from one socket before the others are polled.
const QUANTUM_MESSAGES: usize = 32;
/// Number of bytes that are read from one socket before the others are polled.
const QUANTUM_BYTES: usize = 256 * 1024;
/// Pause in place of a poll if the event descriptor cannot be used.
const FALLBACK_PAUSE: Duration = Duration::from_millis(1);

/// Number of calls of [`yield_to_sockets`] since the start of the process.
static YIELDS: AtomicU64 = AtomicU64::new(0);
static POLL_WAITERS: OnceLock<PollWaiters> = OnceLock::new();

/// What one coroutine may still receive before it yields to the other sockets.
pub struct Quantum {
    messages: usize,
    bytes: usize,
}

impl Default for Quantum {
    fn default() -> Quantum {
        Quantum { messages: QUANTUM_MESSAGES, bytes: QUANTUM_BYTES }
    }
}

impl Quantum {
    /// Counts a message that is about to be handled.
    pub fn count_message(&mut self) {
        self.messages = self.messages.saturating_sub(1);
    }

    /// Counts bytes that were read.
    pub fn count_bytes(&mut self, bytes: usize) {
        self.bytes = self.bytes.saturating_sub(bytes);
    }

    /// Whether no further message may be handled and no further byte read.
    pub fn is_used_up(&self) -> bool {
        self.messages == 0 || self.bytes == 0
    }

    /// Counts a message; if that uses up the quantum, yields to the other sockets and renews it. For loops
    /// that receive messages one by one.
    pub fn count_message_or_yield(&mut self) {
        self.count_message();
        if self.is_used_up() {
            yield_to_sockets();
            *self = Quantum::default();
        }
    }
}

/// The coroutines that wait until the worker has polled the sockets.
struct PollWaiters {
    event: CoIo<EventFd>,
    waiting: Mutex<Vec<Arc<Blocker>>>,
}

impl PollWaiters {
    fn new() -> io::Result<PollWaiters> {
        let event = EventFd::from_flags(EfdFlags::EFD_NONBLOCK | EfdFlags::EFD_CLOEXEC)?;
        Ok(PollWaiters { event: CoIo::new(event)?, waiting: Mutex::default() })
    }

    /// The process's instance; the first call creates it and starts the coroutine that wakes the waiters.
    fn instance() -> io::Result<&'static PollWaiters> {
        if let Some(waiters) = POLL_WAITERS.get() {
            return Ok(waiters);
        }
        if POLL_WAITERS.set(PollWaiters::new()?).is_ok() {
            crate::spawn::spawn(wake_after_polls);
        }
        POLL_WAITERS.get().ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    /// Suspends the running coroutine until the worker has polled the sockets.
    ///
    /// # Errors
    /// The event descriptor could not be signalled; the coroutine was not suspended.
    fn wait_for_poll(&self) -> io::Result<()> {
        let blocker = Blocker::current();
        lock(&self.waiting).push(blocker.clone());
        if let Err(e) = self.event.inner().write(1) {
            lock(&self.waiting).retain(|b| !Arc::ptr_eq(b, &blocker));
            return Err(e.into());
        }
        let _ = blocker.park(None);
        Ok(())
    }

    /// Wakes the coroutines that wait, each time the poll reports the event descriptor.
    fn run(&self) {
        loop {
            // Returns only after a poll: the descriptor's readiness is known from nowhere else.
            self.event.wait_io();
            let _ = self.event.inner().read();
            let waiting = std::mem::take(&mut *lock(&self.waiting));
            waiting.iter().for_each(|blocker| blocker.unpark());
        }
    }
}

fn wake_after_polls() {
    if let Some(waiters) = POLL_WAITERS.get() {
        waiters.run();
    }
}

/// Prepares [`yield_to_sockets`], so that no descriptor has to be opened for it while the front serves.
///
/// # Errors
/// The event descriptor cannot be opened or polled.
pub fn start() -> io::Result<()> {
    PollWaiters::instance().map(drop)
}

/// Suspends the running coroutine until the worker has polled all sockets, and every coroutine that became
/// ready by that has run.
pub fn yield_to_sockets() {
    YIELDS.fetch_add(1, Ordering::Relaxed);
    if PollWaiters::instance().and_then(PollWaiters::wait_for_poll).is_err() {
        sleep::sleep(FALLBACK_PAUSE);
    }
}

/// The metric of this module, as a line `name=value`.
pub fn metric_line() -> String {
    format!("relay.event_loop.yields={}\n", YIELDS.load(Ordering::Relaxed))
}
