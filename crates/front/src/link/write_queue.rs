//! What a connection has yet to write, and how it is to end.
//!
//! No method yields; gates are called with the queue's lock held, so they must not call back into the link.

use crate::failure::Failure;
use crate::log::Reason;
use std::collections::VecDeque;
use std::io::{ErrorKind, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Instant;

/// What becomes of a message whose first byte is about to be written.
pub enum WriteDecision {
    /// It goes out as it was queued.
    AsQueued,
    /// These bytes go out in its place.
    Replace(Vec<u8>),
    /// It does not go out.
    Drop,
}

/// Decides, last of all, whether a queued message may go out, and is notified of how far it was written.
///
/// Called with the queue's lock held: it neither yields nor calls back into the link.
pub trait SendGate: Send + Sync {
    /// The first byte is about to be written; the message was queued at `queued_at`.
    fn before_first_byte(&self, queued_at: Instant) -> WriteDecision;
    /// The first byte was written.
    fn first_byte_written(&self);
    /// The last byte was written.
    fn last_byte_written(&self);
}

/// A message that is not written completely.
struct QueuedMessage {
    bytes: Vec<u8>,
    written: usize,
    tag: Option<u64>,
    queued_at: Instant,
    gate: Option<Arc<dyn SendGate>>,
}

/// Why a connection is to end, and how.
#[derive(Clone, Copy)]
pub(super) struct Close {
    pub reason: Reason,
    /// What is queued still goes out.
    pub graceful: bool,
}

/// How far [`WriteQueue::write_to`] got.
pub(super) enum Flush {
    /// Nothing is left to be written.
    Drained,
    /// The socket takes no more for now.
    Blocked,
    /// The socket failed, or the machine has no buffers: the connection's coroutine is to look at it.
    Failed,
}

/// The messages that wait to be written on one connection.
pub(super) struct WriteQueue {
    messages: VecDeque<QueuedMessage>,
    /// Unwritten bytes of these messages.
    bytes: usize,
    /// Unwritten bytes on all links that share this count.
    total_bytes: Arc<AtomicUsize>,
    /// The connection is to end like this.
    closing: Option<Close>,
    /// Nothing is queued any more.
    closed: bool,
    /// The socket failed: what is queued can't be written.
    broken: bool,
    /// The machine had no buffers for what is queued.
    starved: bool,
    /// When bytes were written last, or the queue ceased to be empty.
    last_progress: Instant,
    /// A graceful close has shut the sending half, and ends by then.
    pub linger_until: Option<Instant>,
}

impl Default for WriteQueue {
    fn default() -> WriteQueue {
        WriteQueue::counted(Arc::default())
    }
}

impl WriteQueue {
    /// A queue whose unwritten bytes count in a sum over several.
    pub fn counted(total_bytes: Arc<AtomicUsize>) -> WriteQueue {
        WriteQueue {
            messages: VecDeque::new(),
            bytes: 0,
            total_bytes,
            closing: None,
            closed: false,
            broken: false,
            starved: false,
            last_progress: Instant::now(),
            linger_until: None,
        }
    }

    /// Queues a message; whether it was taken. A graceful close still sends what is owed; what ends at once takes nothing.
    pub fn push(&mut self, bytes: Vec<u8>, tag: Option<u64>, gate: Option<Arc<dyn SendGate>>) -> bool {
        if self.closed || self.is_broken() {
            return false;
        }
        self.add_bytes(bytes.len());
        if self.messages.is_empty() {
            self.last_progress = Instant::now();
        }
        self.messages.push_back(QueuedMessage { bytes, written: 0, tag, queued_at: Instant::now(), gate });
        true
    }

    /// Removes the message with that tag if not a byte of it was written; whether that was so.
    pub fn retract(&mut self, tag: u64) -> bool {
        let at = self.messages.iter().position(|m| m.tag == Some(tag) && m.written == 0);
        let retracted = at.and_then(|at| self.messages.remove(at));
        self.remove_bytes(retracted.as_ref().map_or(0, |m| m.bytes.len()));
        retracted.is_some()
    }

    /// Removes the messages that have a tag, were queued before then and have not begun; their tags.
    pub fn retract_queued_before(&mut self, before: Instant) -> Vec<u64> {
        let mut tags = Vec::new();
        let mut bytes = 0;
        self.messages.retain(|m| match m.tag {
            Some(tag) if m.written == 0 && m.queued_at < before => {
                tags.push(tag);
                bytes += m.bytes.len();
                false
            }
            _ => true,
        });
        self.remove_bytes(bytes);
        tags
    }

    /// Writes what the socket takes.
    pub fn write_to(&mut self, mut socket: &TcpStream) -> Flush {
        while self.admit_first() {
            let Some(message) = self.messages.front() else { break };
            match socket.write(&message.bytes[message.written..]) {
                Ok(n) => self.wrote(n),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Flush::Blocked,
                Err(e) => {
                    // Without buffers the connection's coroutine tries again.
                    self.starved = Failure::of(&e).is_transient();
                    self.broken = !self.starved;
                    return Flush::Failed;
                }
            }
        }
        Flush::Drained
    }

    /// Asks the gates of queued messages whether these go out, up to the first that does; whether there is one.
    fn admit_first(&mut self) -> bool {
        while let Some(message) = self.messages.front_mut() {
            let gate = message.gate.as_ref().filter(|_| message.written == 0);
            match gate.map(|g| g.before_first_byte(message.queued_at)) {
                None | Some(WriteDecision::AsQueued) => return true,
                Some(WriteDecision::Replace(bytes)) => {
                    let new_len = bytes.len();
                    let old_len = std::mem::replace(&mut message.bytes, bytes).len();
                    self.remove_bytes(old_len);
                    self.add_bytes(new_len);
                    return true;
                }
                Some(WriteDecision::Drop) => {
                    let len = message.bytes.len();
                    self.remove_bytes(len);
                    self.messages.pop_front();
                }
            }
        }
        false
    }

    /// So many bytes of the first message were written.
    fn wrote(&mut self, n: usize) {
        let Some(message) = self.messages.front_mut() else { return };
        let gate = message.gate.as_ref();
        if let Some(gate) = gate.filter(|_| message.written == 0 && n > 0) {
            gate.first_byte_written();
        }
        message.written += n;
        let complete = message.written == message.bytes.len();
        if let Some(gate) = gate.filter(|_| complete) {
            gate.last_byte_written();
        }
        self.last_progress = Instant::now();
        self.remove_bytes(n);
        if complete {
            self.messages.pop_front();
        }
    }

    /// The connection is to end like that. What must end at once is not held up by a graceful close that has begun.
    pub fn request_close(&mut self, close: Close) {
        if self.closing.is_none_or(|c| c.graceful && !close.graceful) {
            self.closing = Some(close);
        }
    }

    /// Why a graceful close is to be made, if one is.
    ///
    /// # Errors
    /// The connection is to end at once, for that reason.
    pub fn close_due(&self) -> Result<Option<Reason>, Reason> {
        match self.closing {
            Some(close) if !close.graceful => Err(close.reason),
            _ if self.broken => Err(Reason::Reset),
            closing => Ok(closing.map(|close| close.reason)),
        }
    }

    /// Whether a close has been requested.
    pub fn has_close_requested(&self) -> bool {
        self.closing.is_some()
    }

    /// Takes a graceful close back.
    pub fn cancel_graceful_close(&mut self) {
        self.closing = self.closing.filter(|c| !c.graceful);
    }

    /// Closes the queue if nothing is queued; whether it is closed.
    pub fn close_if_drained(&mut self) -> bool {
        self.closed |= self.bytes == 0;
        self.closed
    }

    /// Closes and empties the queue; the tags of the messages that were not written completely.
    pub fn terminate(&mut self) -> Vec<u64> {
        self.closed = true;
        self.remove_bytes(self.bytes);
        std::mem::take(&mut self.messages).into_iter().filter_map(|m| m.tag).collect()
    }

    /// Whether the machine had no buffers for what is queued since this was last asked.
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

    /// Unwritten bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// When bytes were written last; `None`: nothing is queued.
    pub fn stalled_since(&self) -> Option<Instant> {
        (self.bytes > 0).then_some(self.last_progress)
    }

    fn add_bytes(&mut self, n: usize) {
        self.bytes += n;
        self.total_bytes.fetch_add(n, Ordering::Relaxed);
    }

    fn remove_bytes(&mut self, n: usize) {
        self.bytes -= n;
        self.total_bytes.fetch_sub(n, Ordering::Relaxed);
    }
}

#[cfg(test)]
mod tests;
