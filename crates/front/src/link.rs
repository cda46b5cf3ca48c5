//! A connection: its socket, the queue of messages to write, and the loop that reads and writes.
//!
//! One coroutine runs the loop ([`Link::run`]); any other may send. The sender writes at once as many bytes
//! as the socket takes; the remainder is written as the socket becomes writable, so that a slow reader
//! blocks nobody else. A socket of the `may` crate wakes only one waiting coroutine, so reading and writing
//! share one wait.
//!
//! Only [`Link::run`] yields, also to the other sockets after each quantum of input. No lock is held across a
//! yield; the socket's lock is released before the queue's is taken.

mod delivery;
mod stream;
mod write_queue;

pub use stream::Stream;
pub use write_queue::{SendGate, WriteDecision};

use crate::buffer::{Buffer, MAX_READ_BYTES};
use crate::event_loop::{self, Quantum};
use crate::failure::Failure;
use crate::log::Reason;
use crate::memory::MemoryAccount;
use crate::sleep;
use crate::sync::lock;
use delivery::Delivery;
use may::io::WaitIoWaker;
use std::io::{self, ErrorKind, Read};
use std::net::Shutdown;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use write_queue::{Close, Flush, WriteQueue};

/// Longest time for which a graceful close reads on: many round trips, and the 50 ms within which a
/// request that the other side sent before it noticed the close may still arrive.
const LINGER_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum number of bytes that a graceful close reads and drops, in case the other side goes on sending.
const MAX_LINGER_BYTES: usize = 128 * 1024;
/// Wait before a read or write is repeated when the machine temporarily has no buffers.
const STARVATION_BACKOFF: Duration = Duration::from_millis(2);

struct Socket {
    stream: Stream,
    waker: WaitIoWaker,
}

/// A connection, from before it is established until after it has ended.
#[derive(Default)]
pub struct Link {
    /// Dropped as soon as the connection has ended, so that other references to the link do not hold its
    /// descriptor.
    socket: Mutex<Option<Arc<Socket>>>,
    queue: Mutex<WriteQueue>,
    input: InputSettings,
}

/// Settings of a link's receive buffer.
#[derive(Clone)]
pub struct InputSettings {
    /// The memory of the receive buffer counts towards this account.
    pub account: Arc<MemoryAccount>,
    /// The fewest bytes that a read asks for.
    pub min_read_bytes: usize,
}

impl Default for InputSettings {
    fn default() -> InputSettings {
        InputSettings { account: Arc::default(), min_read_bytes: MAX_READ_BYTES }
    }
}

impl Link {
    /// Creates a link with these settings of its receive buffer. The memory of its unwritten messages counts
    /// towards the account `output`.
    pub fn with_accounts(input: InputSettings, output: Arc<MemoryAccount>) -> Link {
        Link { queue: Mutex::new(WriteQueue::with_account(output)), input, ..Link::default() }
    }

    fn socket(&self) -> Option<Arc<Socket>> {
        lock(&self.socket).clone()
    }

    /// Wakes the coroutine of the connection, if the connection is established.
    fn wake(&self) {
        if let Some(socket) = self.socket() {
            socket.waker.wakeup();
        }
    }

    /// Sets the socket of the link and writes the messages that were queued before.
    pub fn attach(&self, stream: impl Into<Stream>) {
        let stream = stream.into();
        let _ = stream.inner().set_nodelay(true);
        let waker = stream.waker();
        *lock(&self.socket) = Some(Arc::new(Socket { stream, waker }));
        self.flush();
    }

    /// Queues a message and writes as much as the socket takes; `tag` identifies the message for
    /// [`Link::retract`]. Returns the number of unwritten bytes, or `None` if the link no longer accepts
    /// messages.
    pub fn send(&self, bytes: Vec<u8>, tag: Option<u64>) -> Option<usize> {
        self.enqueue(bytes, tag, None)
    }

    /// Like [`Link::send`], but asks `gate` whether the message may go out when its first byte is about to
    /// be written.
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

    /// Removes the message with this tag if none of its bytes was written; returns whether it was removed.
    pub fn retract(&self, tag: u64) -> bool {
        lock(&self.queue).retract(tag)
    }

    /// Removes all tagged messages that were queued before this time and of which no byte was written;
    /// returns their tags.
    pub fn retract_queued_before(&self, before: Instant) -> Vec<u64> {
        lock(&self.queue).retract_queued_before(before)
    }

    /// Ends the connection at once, for this reason.
    pub fn close(&self, reason: Reason) {
        lock(&self.queue).request_close(Close { reason, graceful: false });
        self.wake();
    }

    /// Ends the connection gracefully, for this reason. What was sent is delivered first, however long the
    /// other side takes to read it, and messages that arrive meanwhile are received. Then the sending half is
    /// shut down, and further input is read and dropped within limits. This protects the last answer: closing a
    /// socket with unread input resets the connection, and answers that the other side has not read yet are
    /// lost.
    pub fn close_gracefully(&self, reason: Reason) {
        lock(&self.queue).request_close(Close { reason, graceful: true });
        self.wake();
    }

    /// Whether the connection is to end or has ended.
    pub fn is_closing(&self) -> bool {
        lock(&self.queue).is_closing()
    }

    /// Whether sent messages are lost: the socket failed, the connection is to end at once, or it has no
    /// socket.
    pub fn is_broken(&self) -> bool {
        lock(&self.queue).is_broken() || self.socket().is_none()
    }

    /// Whether all queued messages have been written.
    pub fn is_drained(&self) -> bool {
        self.unwritten_bytes() == 0
    }

    /// Whether the system has sent everything to the other side's receive buffer. Where the system does not
    /// report that, what was written counts as delivered.
    pub fn is_delivered(&self) -> bool {
        self.queue_with_delivery().is_delivered()
    }

    /// The queue, after how far the system has delivered was recorded in it.
    fn queue_with_delivery(&self) -> MutexGuard<'_, WriteQueue> {
        let socket = self.socket();
        let mut queue = lock(&self.queue);
        if let Some(socket) = socket.filter(|_| queue.is_unconfirmed()) {
            queue.record_delivery(Delivery::of_socket(socket.stream.inner()), Instant::now());
        }
        queue
    }

    /// Number of bytes that are queued and not yet written.
    pub fn unwritten_bytes(&self) -> usize {
        lock(&self.queue).bytes()
    }

    /// Number of messages that are queued and not yet written completely.
    pub fn unwritten_messages(&self) -> usize {
        lock(&self.queue).len()
    }

    /// Memory of the messages that are queued and not yet written, in bytes.
    pub fn unwritten_memory(&self) -> usize {
        lock(&self.queue).memory()
    }

    /// Number of bytes that the system has not delivered: zero if all were sent to the other side's receive
    /// buffer, otherwise all that are not acknowledged. The queued bytes if the system does not report it.
    pub fn undelivered_bytes(&self) -> u64 {
        let delivery = self.socket().and_then(|socket| Delivery::of_socket(socket.stream.inner()));
        let queue = lock(&self.queue);
        let unacknowledged = delivery
            .filter(|d| !d.complete)
            .map_or(0, |d| queue.written_bytes().saturating_sub(d.acknowledged_bytes));
        queue.bytes() as u64 + unacknowledged
    }

    /// How long bytes have been undelivered without any being written or acknowledged; `None` if everything
    /// is delivered.
    pub fn stalled_for(&self, now: Instant) -> Option<Duration> {
        let since = self.queue_with_delivery().stalled_since()?;
        Some(now.saturating_duration_since(since))
    }

    /// How long ago bytes were last written or seen to be acknowledged.
    pub fn time_since_progress(&self, now: Instant) -> Duration {
        now.saturating_duration_since(lock(&self.queue).last_progress())
    }

    /// Lets a graceful close go on that waits for its time limit or for the delivery of what was written, as
    /// the system announces neither. To be called periodically.
    pub fn sweep(&self, now: Instant) {
        let due = {
            let queue = lock(&self.queue);
            queue.linger_until.is_some_and(|at| now >= at) || queue.close_awaits_delivery()
        };
        if due {
            self.wake();
        }
    }

    /// Writes as many queued bytes as the socket takes. Does not yield.
    fn flush(&self) {
        let Some(socket) = self.socket() else { return };
        let mut queue = lock(&self.queue);
        let wake = match queue.write_to(socket.stream.inner()) {
            Flush::Blocked => false,
            Flush::Failed => true,
            // A graceful close waits until everything is written.
            Flush::Drained => queue.has_close_requested(),
        };
        if wake {
            socket.waker.wakeup();
        }
    }

    /// Repeats writes that failed because the machine had no buffers, after a short wait each. Yields.
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

    /// Reads and writes until the connection ends; returns the reason. `receive` is given the buffer
    /// whenever bytes arrived, and consumes the messages that it can decode until the quantum is used up.
    /// Before a graceful close, after everything that had arrived by then, `keeps_open` says whether the
    /// connection goes on after all. May only be called after [`Link::attach`]; the owner calls
    /// [`Link::terminate`] afterwards. Yields.
    pub fn run(
        &self,
        mut receive: impl FnMut(&mut Buffer, &mut Quantum) -> Result<(), Reason>,
        mut keeps_open: impl FnMut(Reason) -> bool,
    ) -> Reason {
        let Some(socket) = self.socket() else { return Reason::Reset };
        let mut buffer = Buffer::with_account(self.input.account.clone(), self.input.min_read_bytes);
        let mut input = Input::Exhausted;
        loop {
            self.flush();
            self.retry_starved_writes();
            let due = lock(&self.queue).close_due();
            let graceful_close = match due {
                Ok(graceful_close) => graceful_close,
                Err(reason) => return reason,
            };
            input = match receive_available(&socket, &mut buffer, input, &mut receive) {
                Ok(input) => input,
                // The front may have ended the connection before the other side did.
                Err(reason) => return lock(&self.queue).immediate_close().unwrap_or(reason),
            };
            buffer.store();
            if input == Input::MayRemain {
                event_loop::yield_to_sockets();
                continue;
            }
            match graceful_close {
                Some(reason) if keeps_open(reason) => lock(&self.queue).cancel_graceful_close(),
                Some(reason) if self.close_if_delivered() => {
                    drop(buffer);
                    self.linger(&socket);
                    return reason;
                }
                // What was sent is delivered before the close, and incoming messages are still received.
                Some(_) | None => socket.stream.wait_io(),
            }
        }
    }

    /// Stops accepting messages if everything is delivered; returns whether it has stopped. A socket that is
    /// closed while its system still holds bytes for the other side is reset by the other side's next message,
    /// and those bytes are lost.
    fn close_if_delivered(&self) -> bool {
        self.queue_with_delivery().close_if_delivered()
    }

    /// Shuts down the sending half, once everything is delivered, and reads and drops input within limits of
    /// time and bytes. Yields.
    fn linger(&self, socket: &Socket) {
        lock(&self.queue).linger_until = Some(Instant::now() + LINGER_TIMEOUT);
        let _ = socket.stream.inner().shutdown(Shutdown::Write);
        let mut dropped = [0; 4096];
        let mut remaining = MAX_LINGER_BYTES;
        while !self.linger_is_over() {
            match socket.stream.inner().read(&mut dropped) {
                Ok(0) => return,
                Ok(n) if n >= remaining => return,
                Ok(n) => remaining -= n,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => socket.stream.wait_io(),
                Err(e) if Failure::classify(&e).is_transient() => sleep::sleep(STARVATION_BACKOFF),
                Err(_) => return,
            }
        }
    }

    fn linger_is_over(&self) -> bool {
        let queue = lock(&self.queue);
        queue.linger_until.is_some_and(|at| Instant::now() >= at) || queue.is_broken()
    }

    /// Releases the descriptor and the queued messages of a connection that has ended; no message is
    /// accepted any more. Returns the tags of the messages that were not completely written.
    pub fn terminate(&self) -> Vec<u64> {
        let unwritten = lock(&self.queue).terminate();
        let socket = lock(&self.socket).take();
        if let Some(socket) = socket {
            let _ = socket.stream.inner().shutdown(Shutdown::Both);
        }
        unwritten
    }

    /// Shuts down both directions of the socket.
    ///
    /// # Errors
    /// The system call failed, for example because the socket is not connected any more.
    pub fn shutdown(&self) -> io::Result<()> {
        self.socket().map_or(Ok(()), |s| s.stream.inner().shutdown(Shutdown::Both))
    }
}

/// What remains to be received from a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Input {
    /// Nothing, until the socket is ready again.
    Exhausted,
    /// The quantum was used up: messages may remain in the buffer or in the socket.
    MayRemain,
}

/// Reads until the socket has no more input or a quantum is used up, and passes the input to `receive`.
/// `before` says what the last call left. Yields only while the machine has no buffers.
///
/// # Errors
/// The reason for which the connection ends.
fn receive_available(
    socket: &Socket,
    buffer: &mut Buffer,
    before: Input,
    receive: &mut impl FnMut(&mut Buffer, &mut Quantum) -> Result<(), Reason>,
) -> Result<Input, Reason> {
    let mut quantum = Quantum::default();
    if before == Input::MayRemain {
        receive(buffer, &mut quantum)?;
    }
    while !quantum.is_used_up() {
        match buffer.read_from(&mut socket.stream.inner()) {
            Ok(0) => return Err(Reason::PeerClosed),
            Ok(n) => {
                quantum.count_bytes(n);
                receive(buffer, &mut quantum)?;
            }
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(Input::Exhausted),
            Err(e) if Failure::classify(&e).is_transient() => sleep::sleep(STARVATION_BACKOFF),
            Err(_) => return Err(Reason::Reset),
        }
    }
    Ok(Input::MayRemain)
}

#[cfg(test)]
mod tests;
