//! Messages that a connection has yet to write, and how the connection is to end.

use super::delivery::Delivery;
use crate::failure::Failure;
use crate::log::Reason;
use crate::memory::{block_memory, MemoryAccount, Reservation};
use std::collections::VecDeque;
use std::io::{ErrorKind, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Instant;

/// A message of which at least this many bytes and half of its length are written is moved to a smaller block.
const MIN_RELEASED_BYTES: usize = 16 * 1024;
/// A queue whose capacity is more than this many times its length is reduced to twice its length.
const MAX_SPARE_CAPACITY: usize = 4;
/// The capacity, in messages, below which a queue is not reduced.
const MIN_REDUCED_CAPACITY: usize = 32;

/// What to do with a message whose first byte is about to be written.
pub enum WriteDecision {
    /// Write the message as it was queued.
    AsQueued,
    /// Write these bytes instead of the message.
    Replace(Vec<u8>),
    /// Do not write the message.
    Drop,
}

/// Decides immediately before writing whether a queued message may go out, and is notified of its progress.
///
/// Called with the queue's lock held: it must neither yield nor call back into the link.
pub trait SendGate: Send + Sync {
    /// Called when the first byte is about to be written; the message was queued at `queued_at`.
    fn before_first_byte(&self, queued_at: Instant) -> WriteDecision;
    /// Called when the first byte has been written.
    fn first_byte_written(&self);
    /// Called when the last byte has been written.
    fn last_byte_written(&self);
}

/// A queued message that is not completely written.
struct QueuedMessage {
    bytes: Vec<u8>,
    written: usize,
    tag: Option<u64>,
    queued_at: Instant,
    gate: Option<Arc<dyn SendGate>>,
}

impl QueuedMessage {
    /// Memory of the message's bytes.
    fn memory(&self) -> usize {
        block_memory(self.bytes.capacity())
    }

    /// Releases the memory of the bytes that are written, if they are most of the message. Messages that can
    /// be retracted, or that a gate is notified of, stay as they are.
    fn release_written(&mut self) {
        let is_most = self.written >= MIN_RELEASED_BYTES && self.written >= self.bytes.len() / 2;
        if is_most && self.tag.is_none() && self.gate.is_none() {
            self.bytes = self.bytes.split_off(self.written);
            self.written = 0;
        }
    }
}

/// The reason for which a connection is to end, and whether gracefully.
#[derive(Clone, Copy)]
pub(super) struct Close {
    pub reason: Reason,
    /// Whether queued messages are still written.
    pub graceful: bool,
}

/// Result of [`WriteQueue::write_to`].
pub(super) enum Flush {
    /// Everything queued was written.
    Drained,
    /// The socket takes no more bytes for now.
    Blocked,
    /// The socket failed, or the machine has no buffers; the connection's coroutine must handle it.
    Failed,
}

/// Messages that wait to be written on one connection.
pub(super) struct WriteQueue {
    messages: VecDeque<QueuedMessage>,
    /// Unwritten bytes of all queued messages.
    bytes: usize,
    /// Bytes written so far.
    written_bytes: u64,
    /// Whether bytes were written of which it is not known that the system has sent them.
    unconfirmed: bool,
    /// Bytes that the other side's system had acknowledged when that was last looked at.
    acknowledged_bytes: u64,
    /// Memory of the bytes of all queued messages.
    message_memory: usize,
    /// Memory of the queue.
    reservation: Reservation,
    /// How the connection is to end, once a close was requested.
    closing: Option<Close>,
    /// Whether no further message is accepted.
    closed: bool,
    /// Whether the socket failed, so that queued messages can't be written.
    broken: bool,
    /// Whether a write failed because the machine had no buffers.
    starved: bool,
    /// When bytes were last written or seen to be acknowledged, or a message was added although nothing was
    /// undelivered.
    last_progress: Instant,
    /// Time by which a graceful close that has shut down the sending half ends.
    pub linger_until: Option<Instant>,
}

impl Default for WriteQueue {
    fn default() -> WriteQueue {
        WriteQueue::with_account(Arc::default())
    }
}

impl WriteQueue {
    /// Creates a queue whose memory counts towards this account.
    pub fn with_account(account: Arc<MemoryAccount>) -> WriteQueue {
        WriteQueue {
            messages: VecDeque::new(),
            bytes: 0,
            written_bytes: 0,
            unconfirmed: false,
            acknowledged_bytes: 0,
            message_memory: 0,
            reservation: Reservation::new(account),
            closing: None,
            closed: false,
            broken: false,
            starved: false,
            last_progress: Instant::now(),
            linger_until: None,
        }
    }

    /// Queues a message; returns whether it was accepted. After a request for a graceful close messages are
    /// still accepted; after one for an immediate close they are not.
    pub fn push(&mut self, bytes: Vec<u8>, tag: Option<u64>, gate: Option<Arc<dyn SendGate>>) -> bool {
        if self.closed || self.is_broken() {
            return false;
        }
        if self.messages.is_empty() && !self.unconfirmed {
            self.last_progress = Instant::now();
        }
        self.bytes += bytes.len();
        let message = QueuedMessage { bytes, written: 0, tag, queued_at: Instant::now(), gate };
        self.message_memory += message.memory();
        self.messages.push_back(message);
        self.update_reservation();
        true
    }

    /// Removes the message with this tag if none of its bytes was written; returns whether it was removed.
    pub fn retract(&mut self, tag: u64) -> bool {
        let at = self.messages.iter().position(|m| m.tag == Some(tag) && m.written == 0);
        let retracted = at.and_then(|at| self.messages.remove(at));
        if let Some(message) = &retracted {
            self.account_for_removed(message);
        }
        retracted.is_some()
    }

    /// Removes all tagged messages that were queued before this time and of which no byte was written;
    /// returns their tags.
    pub fn retract_queued_before(&mut self, before: Instant) -> Vec<u64> {
        let is_due = |m: &QueuedMessage| m.tag.is_some() && m.written == 0 && m.queued_at < before;
        let tags: Vec<u64> = self.messages.iter().filter(|m| is_due(m)).filter_map(|m| m.tag).collect();
        tags.iter().for_each(|tag| {
            self.retract(*tag);
        });
        tags
    }

    /// Writes as many queued bytes as the socket takes.
    pub fn write_to(&mut self, mut socket: &TcpStream) -> Flush {
        while self.admit_first() {
            let Some(message) = self.messages.front() else { break };
            match socket.write(&message.bytes[message.written..]) {
                Ok(n) => self.record_written(n),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    self.release_written();
                    return Flush::Blocked;
                }
                Err(e) => {
                    // If the machine has no buffers, the connection's coroutine tries again.
                    self.starved = Failure::classify(&e).is_transient();
                    self.broken = !self.starved;
                    return Flush::Failed;
                }
            }
        }
        Flush::Drained
    }

    /// Asks the gates of queued messages, and drops messages until one may be written; returns whether there
    /// is one.
    fn admit_first(&mut self) -> bool {
        while let Some(message) = self.messages.front_mut() {
            let gate = message.gate.as_ref().filter(|_| message.written == 0);
            match gate.map(|g| g.before_first_byte(message.queued_at)) {
                None | Some(WriteDecision::AsQueued) => return true,
                Some(WriteDecision::Replace(bytes)) => {
                    self.bytes = self.bytes - message.bytes.len() + bytes.len();
                    self.message_memory -= message.memory();
                    message.bytes = bytes;
                    self.message_memory += message.memory();
                    self.update_reservation();
                    return true;
                }
                Some(WriteDecision::Drop) => self.remove_first(),
            }
        }
        false
    }

    /// Accounts for `count` written bytes of the first message.
    fn record_written(&mut self, count: usize) {
        let Some(message) = self.messages.front_mut() else { return };
        let gate = message.gate.as_ref();
        if let Some(gate) = gate.filter(|_| message.written == 0 && count > 0) {
            gate.first_byte_written();
        }
        message.written += count;
        let complete = message.written == message.bytes.len();
        if let Some(gate) = gate.filter(|_| complete) {
            gate.last_byte_written();
        }
        self.last_progress = Instant::now();
        self.written_bytes += count as u64;
        self.unconfirmed = true;
        self.bytes -= count;
        self.update_reservation();
        if complete {
            self.remove_first();
        }
    }

    /// Removes the first message, written or not.
    fn remove_first(&mut self) {
        if let Some(message) = self.messages.pop_front() {
            self.account_for_removed(&message);
        }
    }

    /// Releases what is written of the first message.
    fn release_written(&mut self) {
        let Some(message) = self.messages.front_mut() else { return };
        self.message_memory -= message.memory();
        message.release_written();
        self.message_memory += message.memory();
        self.update_reservation();
    }

    /// Requests a close. An immediate close overrides a graceful one that was requested before.
    pub fn request_close(&mut self, close: Close) {
        if self.closing.is_none_or(|c| c.graceful && !close.graceful) {
            self.closing = Some(close);
        }
    }

    /// The reason for a graceful close, if one was requested.
    ///
    /// # Errors
    /// The connection is to end at once, for this reason.
    pub fn close_due(&self) -> Result<Option<Reason>, Reason> {
        match self.closing {
            Some(close) if !close.graceful => Err(close.reason),
            _ if self.broken => Err(Reason::Reset),
            closing => Ok(closing.map(|close| close.reason)),
        }
    }

    /// The reason for an immediate close, if one was requested.
    pub fn immediate_close(&self) -> Option<Reason> {
        self.closing.filter(|c| !c.graceful).map(|c| c.reason)
    }

    /// Whether a close has been requested.
    pub fn has_close_requested(&self) -> bool {
        self.closing.is_some()
    }

    /// Whether a graceful close waits until everything is delivered.
    pub fn close_awaits_delivery(&self) -> bool {
        !self.closed && self.closing.is_some_and(|c| c.graceful)
    }

    /// Cancels a graceful close that was requested.
    pub fn cancel_graceful_close(&mut self) {
        self.closing = self.closing.filter(|c| !c.graceful);
    }

    /// Closes the queue to further messages if everything is delivered; returns whether it is closed.
    pub fn close_if_delivered(&mut self) -> bool {
        self.closed |= self.is_delivered();
        self.closed
    }

    /// Records how far the system has delivered what was written by `now`. `None`: the system does not report
    /// it; then what was written counts as delivered.
    pub fn record_delivery(&mut self, delivery: Option<Delivery>, now: Instant) {
        let acknowledged_bytes = delivery.map_or(self.acknowledged_bytes, |d| d.acknowledged_bytes);
        if acknowledged_bytes != self.acknowledged_bytes {
            self.acknowledged_bytes = acknowledged_bytes;
            self.last_progress = now;
        }
        self.unconfirmed = delivery.is_some_and(|d| !d.complete);
    }

    /// Whether bytes were written of which it is not known that the system has sent them.
    pub fn is_unconfirmed(&self) -> bool {
        self.unconfirmed
    }

    /// Whether everything that was queued is written and sent to the other side's receive buffer.
    pub fn is_delivered(&self) -> bool {
        self.bytes == 0 && !self.unconfirmed
    }

    /// When bytes were last written or seen to be acknowledged.
    pub fn last_progress(&self) -> Instant {
        self.last_progress
    }

    /// Closes and empties the queue; returns the tags of the messages that were not completely written.
    pub fn terminate(&mut self) -> Vec<u64> {
        self.closed = true;
        (self.bytes, self.message_memory) = (0, 0);
        let messages = std::mem::take(&mut self.messages);
        self.update_reservation();
        messages.into_iter().filter_map(|m| m.tag).collect()
    }

    /// Whether a write failed for lack of buffers since the last call of this function.
    pub fn take_starved(&mut self) -> bool {
        std::mem::take(&mut self.starved)
    }

    /// Whether the connection is to end or has ended.
    pub fn is_closing(&self) -> bool {
        self.closed || self.broken || self.closing.is_some()
    }

    /// Whether the socket failed or the connection is to end at once: nothing more is written.
    pub fn is_broken(&self) -> bool {
        self.broken || self.closing.is_some_and(|c| !c.graceful)
    }

    /// Number of messages that are not completely written.
    pub fn len(&self) -> usize {
        self.messages.len()
    }

    /// Number of unwritten bytes of all queued messages.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Number of bytes written so far.
    pub fn written_bytes(&self) -> u64 {
        self.written_bytes
    }

    /// When bytes were last written or seen to be acknowledged; `None` if everything is delivered.
    pub fn stalled_since(&self) -> Option<Instant> {
        (!self.is_delivered()).then_some(self.last_progress)
    }

    /// Memory of the queue and its messages, in bytes.
    pub fn memory(&self) -> usize {
        self.reservation.bytes()
    }

    /// Accounts for a message that was removed from the queue.
    fn account_for_removed(&mut self, message: &QueuedMessage) {
        self.bytes -= message.bytes.len() - message.written;
        self.message_memory -= message.memory();
        let (len, capacity) = (self.messages.len(), self.messages.capacity());
        if len == 0 || capacity >= MIN_REDUCED_CAPACITY && capacity > len * MAX_SPARE_CAPACITY {
            self.messages.shrink_to(len * 2);
        }
        self.update_reservation();
    }

    fn update_reservation(&mut self) {
        let queue = block_memory(self.messages.capacity() * size_of::<QueuedMessage>());
        self.reservation.resize(self.message_memory + queue);
    }
}

#[cfg(test)]
mod tests;
