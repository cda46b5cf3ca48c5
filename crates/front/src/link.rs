//! A connection: its socket, what waits to be written, and the loop that reads and writes.
//!
//! One coroutine runs the loop ([`Link::run`]); any other may send. Bytes are written at once where the socket takes them,
//! by whoever sends; the remainder goes out as the socket drains, so that a slow reader stops nobody else. A may socket
//! wakes one waiting coroutine only, so reading and writing share the one wait.
//!
//! Only [`Link::run`] yields. No lock is held across a yield; the socket's lock is released before the queue's is taken.

mod stream;
mod write_queue;

pub use stream::Stream;
pub use write_queue::{SendGate, WriteDecision};

use crate::buffer::Buffer;
use crate::failure::Failure;
use crate::log::Reason;
use crate::sleep;
use crate::sync::lock;
use may::io::WaitIoWaker;
use std::io::{self, ErrorKind, Read};
use std::net::Shutdown;
use std::sync::atomic::AtomicUsize;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use write_queue::{Close, Flush, WriteQueue};

/// Bytes read from one connection before other coroutines run.
const READ_QUANTUM: usize = 256 * 1024;
/// A graceful close reads on for so long at the most: many times the way there and back, and the 50 ms in which a
/// request may cross a close.
const LINGER: Duration = Duration::from_millis(400);
/// The bytes that it reads and drops at the most: guards against those who go on sending.
const LINGER_BYTES: usize = 128 * 1024;
/// Where the machine has no buffers for a moment, what is to be read or written is tried again after this.
const STARVATION_BACKOFF: Duration = Duration::from_millis(2);

struct Socket {
    stream: Stream,
    waker: WaitIoWaker,
}

/// A connection, from before it has come up until after it has ended.
#[derive(Default)]
pub struct Link {
    /// Dropped as soon as the connection has ended: who still refers to the link holds no descriptor.
    socket: Mutex<Option<Arc<Socket>>>,
    queue: Mutex<WriteQueue>,
}

impl Link {
    /// A link whose unwritten bytes count in a sum over several.
    pub fn counted(total_bytes: Arc<AtomicUsize>) -> Link {
        Link { queue: Mutex::new(WriteQueue::counted(total_bytes)), ..Link::default() }
    }

    fn socket(&self) -> Option<Arc<Socket>> {
        lock(&self.socket).clone()
    }

    /// Wakes the connection's coroutine, if the connection is up.
    fn wake(&self) {
        if let Some(socket) = self.socket() {
            socket.waker.wakeup();
        }
    }

    /// Gives the link its socket and writes what has waited for it.
    pub fn attach(&self, stream: impl Into<Stream>) {
        let stream = stream.into();
        let _ = stream.inner().set_nodelay(true);
        let waker = stream.waker();
        *lock(&self.socket) = Some(Arc::new(Socket { stream, waker }));
        self.flush();
    }

    /// Sends; `tag` names the message for [`Link::retract`]. How many bytes are unwritten now; `None`: the link takes nothing
    /// any more.
    pub fn send(&self, bytes: Vec<u8>, tag: Option<u64>) -> Option<usize> {
        self.enqueue(bytes, tag, None)
    }

    /// Sends a message that the gate is asked about when its first byte is about to be written. Otherwise as
    /// [`Link::send`].
    pub fn send_gated(&self, bytes: Vec<u8>, tag: u64, gate: Arc<dyn SendGate>) -> Option<usize> {
        self.enqueue(bytes, Some(tag), Some(gate))
    }

    fn enqueue(&self, bytes: Vec<u8>, tag: Option<u64>, gate: Option<Arc<dyn SendGate>>) -> Option<usize> {
        if !lock(&self.queue).push(bytes, tag, gate) {
            return None;
        }
        self.flush();
        Some(lock(&self.queue).bytes())
    }

    /// Retracts the message with that tag if not a byte of it was written; whether that was so.
    pub fn retract(&self, tag: u64) -> bool {
        lock(&self.queue).retract(tag)
    }

    /// Retracts all messages that have a tag, were queued before then and have not begun; their tags.
    pub fn retract_queued_before(&self, before: Instant) -> Vec<u64> {
        lock(&self.queue).retract_queued_before(before)
    }

    /// Ends the connection at once, for that reason.
    pub fn close(&self, reason: Reason) {
        lock(&self.queue).request_close(Close { reason, graceful: false });
        self.wake();
    }

    /// Ends the connection gracefully: what is queued goes out, however long the other side takes, and what comes meanwhile is
    /// received; then the sending half is shut, and the remainder is read and dropped within a bound. Guards the last answer: a
    /// close over unread bytes resets the connection, and what the other side has not read yet is lost with it.
    pub fn close_gracefully(&self, reason: Reason) {
        lock(&self.queue).request_close(Close { reason, graceful: true });
        self.wake();
    }

    /// Whether the connection is to end or has ended.
    pub fn is_closing(&self) -> bool {
        lock(&self.queue).is_closing()
    }

    /// Whether the socket failed, or the connection is to end at once or was ended by the other side: what is sent is lost.
    pub fn is_broken(&self) -> bool {
        lock(&self.queue).is_broken() || self.socket().is_none()
    }

    /// Whether nothing is left to be written.
    pub fn is_drained(&self) -> bool {
        self.unwritten_bytes() == 0
    }

    /// Bytes that wait to be written.
    pub fn unwritten_bytes(&self) -> usize {
        lock(&self.queue).bytes()
    }

    /// For how long bytes have waited and none were written; `None`: none wait.
    pub fn stalled_for(&self, now: Instant) -> Option<Duration> {
        let since = lock(&self.queue).stalled_since()?;
        Some(now.saturating_duration_since(since))
    }

    /// Periodically: ends a graceful close whose time is over.
    pub fn sweep(&self, now: Instant) {
        let expired = lock(&self.queue).linger_until.is_some_and(|at| now >= at);
        if expired {
            self.wake();
        }
    }

    /// Writes what the socket takes. Does not yield.
    fn flush(&self) {
        let Some(socket) = self.socket() else { return };
        let mut queue = lock(&self.queue);
        let wake = match queue.write_to(socket.stream.inner()) {
            Flush::Blocked => false,
            Flush::Failed => true,
            // A graceful close waits for this.
            Flush::Drained => queue.has_close_requested(),
        };
        if wake {
            socket.waker.wakeup();
        }
    }

    /// Where the machine had no buffers for what is to be written, waits a moment and writes it. Yields.
    fn retry_starved_writes(&self) {
        loop {
            let starved = lock(&self.queue).take_starved();
            if !starved {
                return;
            }
            sleep::sleep(STARVATION_BACKOFF);
            self.flush();
        }
    }

    /// Reads and writes until the connection ends; `receive` is given the buffer whenever something came, and
    /// consumes what it can. Before a graceful close, and after all that had come by then, `keeps_open` says whether there is
    /// reason to go on after all. Only after [`Link::attach`]; the owner calls [`Link::terminate`] afterwards. Yields.
    pub fn run(
        &self,
        mut receive: impl FnMut(&mut Buffer) -> Result<(), Reason>,
        mut keeps_open: impl FnMut(Reason) -> bool,
    ) -> Reason {
        let Some(socket) = self.socket() else { return Reason::Reset };
        let mut buffer = Buffer::default();
        loop {
            self.flush();
            self.retry_starved_writes();
            let due = lock(&self.queue).close_due();
            let graceful_close = match due {
                Ok(graceful_close) => graceful_close,
                Err(reason) => return reason,
            };
            if let Err(reason) = read_available(&socket, &mut buffer, &mut receive) {
                return reason;
            }
            match graceful_close {
                Some(reason) if keeps_open(reason) => lock(&self.queue).cancel_graceful_close(),
                Some(reason) if self.close_if_drained() => {
                    drop(buffer);
                    self.linger(&socket);
                    return reason;
                }
                // What is queued goes out first, and what comes meanwhile is still received.
                Some(_) | None => socket.stream.wait_io(),
            }
        }
    }

    /// Queues nothing more if nothing is queued; whether that is so.
    fn close_if_drained(&self) -> bool {
        lock(&self.queue).close_if_drained()
    }

    /// Shuts the sending half, nothing being queued, and reads and drops what comes, within bounds. Yields.
    fn linger(&self, socket: &Socket) {
        lock(&self.queue).linger_until = Some(Instant::now() + LINGER);
        let _ = socket.stream.inner().shutdown(Shutdown::Write);
        let mut dropped = [0; 4096];
        let mut remaining = LINGER_BYTES;
        while !self.linger_is_over() {
            match socket.stream.inner().read(&mut dropped) {
                Ok(0) => return,
                Ok(n) if n >= remaining => return,
                Ok(n) => remaining -= n,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => socket.stream.wait_io(),
                Err(e) if Failure::of(&e).is_transient() => sleep::sleep(STARVATION_BACKOFF),
                Err(_) => return,
            }
        }
    }

    fn linger_is_over(&self) -> bool {
        let queue = lock(&self.queue);
        queue.linger_until.is_some_and(|at| Instant::now() >= at) || queue.is_broken()
    }

    /// The connection has ended: nothing is queued any more, and its descriptor and what is queued are released. The tags
    /// of the messages that were not written to their last byte.
    pub fn terminate(&self) -> Vec<u64> {
        let unwritten = lock(&self.queue).terminate();
        let socket = lock(&self.socket).take();
        if let Some(socket) = socket {
            let _ = socket.stream.inner().shutdown(Shutdown::Both);
        }
        unwritten
    }

    /// Shuts the socket for both directions.
    ///
    /// # Errors
    /// The system call failed, as on a socket that is not connected any more.
    pub fn shutdown(&self) -> io::Result<()> {
        self.socket().map_or(Ok(()), |s| s.stream.inner().shutdown(Shutdown::Both))
    }
}

/// Reads what has come and has it taken, until the socket has no more. Yields between portions of [`READ_QUANTUM`].
///
/// # Errors
/// Why the connection ends.
fn read_available(
    socket: &Socket,
    buffer: &mut Buffer,
    receive: &mut impl FnMut(&mut Buffer) -> Result<(), Reason>,
) -> Result<(), Reason> {
    let mut read_since_yield = 0;
    loop {
        match buffer.read_from(&mut socket.stream.inner()) {
            Ok(0) => return Err(Reason::PeerClosed),
            Ok(n) => {
                receive(buffer)?;
                read_since_yield += n;
                if read_since_yield > READ_QUANTUM {
                    read_since_yield = 0;
                    may::coroutine::yield_now();
                }
            }
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(()),
            Err(e) if Failure::of(&e).is_transient() => sleep::sleep(STARVATION_BACKOFF),
            Err(_) => return Err(Reason::Reset),
        }
    }
}

#[cfg(test)]
mod tests;
