//! Limits the memory of clients' answers before the answers are requested.
//!
//! A cache node sends an answer as fast as the front takes it, and the client may read it much slower. What the
//! client's system does not take stays in the front's memory, and nothing that has arrived can be refused any
//! more without losing it. A read therefore reserves the memory of its answer before its first attempt, by the
//! [estimate](super::answer_sizes) of its length. A call for which no memory is left waits until other answers
//! are read, and is rejected if that takes too long. Its connection, and what was requested on it before, stay
//! as they are.
//!
//! A connection may hold at most as much as is free beside it. So one client that reads slowly leaves half of
//! the memory to others, and several leave as much as each of them has. A call on a connection that holds
//! nothing is admitted as long as its answer fits at all.

use super::answer_sizes::AnswerSizes;
use crate::budget::Budget;
use crate::memory::{block_memory, MemoryAccount, Reservation};
use crate::sleep;
use crate::spawn::spawn;
use crate::sync::lock;
use crate::upstream::caller::Caller;
use may::sync::Blocker;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Bytes of an answer besides its body, at most.
const ENCODING_BYTES: usize = 64;
/// How often waiting calls are looked at while clients read their answers.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A connection's part in the memory of answers.
pub trait AnswerQueue: Send + Sync {
    /// Memory of the answers that are queued and not yet written, in bytes.
    fn queued_memory(&self) -> usize;
    /// Memory that is reserved for answers that were requested, in bytes.
    fn reserved_memory(&self) -> &AtomicUsize;
}

/// Memory of the answers on a connection, requested or queued, in bytes.
fn memory_of(connection: &dyn AnswerQueue) -> usize {
    connection.queued_memory() + connection.reserved_memory().load(Ordering::Relaxed)
}

/// Memory of an answer with a body of this length, in bytes.
fn answer_memory(body_bytes: usize) -> usize {
    block_memory(body_bytes + ENCODING_BYTES)
}

/// The memory of answers that clients have requested or not read yet.
pub struct AnswerMemory {
    /// Memory of answers, requested or queued.
    account: Arc<MemoryAccount>,
    /// Memory up to which calls are admitted, in bytes.
    admission_limit: usize,
    /// Memory up to which an answer is queued that is longer than it was estimated, in bytes.
    queue_limit: usize,
    /// Estimates the lengths of answers.
    pub sizes: AnswerSizes,
    waiting: Mutex<WaitingCalls>,
}

/// The calls that wait for memory.
#[derive(Default)]
struct WaitingCalls {
    /// In the order of their arrival.
    calls: Vec<Arc<WaitingCall>>,
    /// Whether a coroutine looks at the calls periodically.
    polled: bool,
}

/// A call that waits for the memory of its answer.
struct WaitingCall {
    connection: Arc<dyn AnswerQueue>,
    bytes: usize,
    blocker: Arc<Blocker>,
    granted: Mutex<Option<AnswerReservation>>,
}

/// Why a call got no memory for its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoAnswerMemory {
    /// The client disconnected or cancelled the call.
    Disconnected,
    /// Too little memory became free in time.
    TimedOut,
}

/// Memory that is reserved for the answer to one call. It is returned when this is dropped.
pub struct AnswerReservation {
    memory: Arc<AnswerMemory>,
    connection: Arc<dyn AnswerQueue>,
    reservation: Reservation,
}

impl AnswerMemory {
    /// Creates the limits of this budget. `account` counts the answers that are queued.
    pub fn new(budget: &Budget, account: Arc<MemoryAccount>) -> AnswerMemory {
        AnswerMemory {
            account,
            admission_limit: budget.answers,
            queue_limit: budget.answers.midpoint(budget.unread),
            sizes: AnswerSizes::default(),
            waiting: Mutex::default(),
        }
    }

    /// Reserves memory for the answer to a read of this stated size. If there is none, waits for it until
    /// `deadline`. Yields.
    ///
    /// # Errors
    /// No memory was reserved.
    pub fn acquire(
        self: &Arc<AnswerMemory>,
        connection: &Arc<dyn AnswerQueue>,
        size_kb: f64,
        caller: &Caller,
        deadline: Instant,
    ) -> Result<AnswerReservation, NoAnswerMemory> {
        let bytes = answer_memory(self.sizes.estimate(size_kb)).min(self.admission_limit);
        let call = {
            let mut waiting = lock(&self.waiting);
            if waiting.calls.is_empty() && self.admits(&**connection, bytes) {
                return Ok(self.reserve(connection, bytes));
            }
            let call = Arc::new(WaitingCall {
                connection: connection.clone(),
                bytes,
                blocker: Blocker::current(),
                granted: Mutex::default(),
            });
            waiting.calls.push(call.clone());
            self.grant(&mut waiting);
            if !std::mem::replace(&mut waiting.polled, true) {
                let memory = self.clone();
                spawn(move || memory.poll_waiting_calls());
            }
            call
        };
        caller.set_queue_blocker(call.blocker.clone());
        let refused = loop {
            let granted = lock(&call.granted).take();
            if let Some(reservation) = granted {
                return Ok(reservation);
            }
            if caller.is_disconnected() {
                break NoAnswerMemory::Disconnected;
            }
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                break NoAnswerMemory::TimedOut;
            }
            sleep::park_step(&call.blocker, remaining);
        };
        lock(&self.waiting).calls.retain(|waiting| !Arc::ptr_eq(waiting, &call));
        // The memory may have been granted since; dropping it lets the next call in.
        let granted = lock(&call.granted).take();
        match granted.filter(|_| refused == NoAnswerMemory::TimedOut) {
            Some(reservation) => Ok(reservation),
            None => Err(refused),
        }
    }

    /// Whether a call on a connection that holds nothing waits for memory.
    pub fn has_starved_call(&self) -> bool {
        lock(&self.waiting).calls.iter().any(|call| memory_of(&*call.connection) == 0)
    }

    /// Whether a connection may hold this many more bytes.
    fn admits(&self, connection: &dyn AnswerQueue, bytes: usize) -> bool {
        let free = self.admission_limit.saturating_sub(self.account.used());
        let used = memory_of(connection);
        bytes <= free && (used == 0 || used + bytes <= free)
    }

    fn reserve(
        self: &Arc<AnswerMemory>,
        connection: &Arc<dyn AnswerQueue>,
        bytes: usize,
    ) -> AnswerReservation {
        let mut answer = AnswerReservation {
            memory: self.clone(),
            connection: connection.clone(),
            reservation: Reservation::new(self.account.clone()),
        };
        answer.resize(bytes);
        answer
    }

    /// Grants memory to waiting calls: first to those whose connections hold least, then in the order of
    /// arrival. A call that does not fit at all lets no later one pass.
    fn grant(self: &Arc<AnswerMemory>, waiting: &mut WaitingCalls) {
        let mut in_order: Vec<(usize, &Arc<WaitingCall>)> =
            waiting.calls.iter().map(|call| (memory_of(&*call.connection), call)).collect();
        in_order.sort_by_key(|(used, _)| *used);
        let mut granted: Vec<Arc<WaitingCall>> = Vec::new();
        for (_, call) in in_order {
            if !self.account_has_left(call.bytes) {
                break;
            }
            if self.admits(&*call.connection, call.bytes) {
                *lock(&call.granted) = Some(self.reserve(&call.connection, call.bytes));
                granted.push(call.clone());
            }
        }
        // A call that is woken may take its memory at once on another worker, so it must not be looked up by
        // that memory, nor be in the list any more.
        waiting.calls.retain(|call| !granted.iter().any(|other| Arc::ptr_eq(call, other)));
        for call in granted {
            call.blocker.unpark();
        }
    }

    fn account_has_left(&self, bytes: usize) -> bool {
        self.account.used().saturating_add(bytes) <= self.admission_limit
    }

    /// Grants the memory that clients release by reading, as long as calls wait. Yields.
    fn poll_waiting_calls(self: &Arc<AnswerMemory>) {
        loop {
            sleep::sleep(POLL_INTERVAL);
            let mut waiting = lock(&self.waiting);
            self.grant(&mut waiting);
            if waiting.calls.is_empty() {
                waiting.polled = false;
                return;
            }
        }
    }

    fn grant_released(self: &Arc<AnswerMemory>) {
        let mut waiting = lock(&self.waiting);
        if !waiting.calls.is_empty() {
            self.grant(&mut waiting);
        }
    }
}

impl AnswerReservation {
    /// Adapts the reservation to the answer's body, which has arrived. Returns whether the answer may be queued:
    /// one that is longer than its estimate may not if memory is short.
    pub fn fits(&mut self, body_bytes: usize) -> bool {
        let bytes = answer_memory(body_bytes);
        let others = self.memory.account.used().saturating_sub(self.reservation.bytes());
        let fits = bytes <= self.reservation.bytes() || others + bytes <= self.memory.queue_limit;
        if fits {
            self.resize(bytes);
        }
        fits
    }

    fn resize(&mut self, bytes: usize) {
        let reserved = self.connection.reserved_memory();
        reserved.fetch_sub(self.reservation.bytes(), Ordering::Relaxed);
        reserved.fetch_add(bytes, Ordering::Relaxed);
        self.reservation.resize(bytes);
    }
}

impl Drop for AnswerReservation {
    fn drop(&mut self) {
        self.resize(0);
        self.memory.grant_released();
    }
}

#[cfg(test)]
#[path = "answer_memory/tests.rs"]
mod tests;
