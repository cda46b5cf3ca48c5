//! An attempt from its admission to a connection until its result is known.
//!
//! The attempt's coroutine parks on [`InFlightAttempt::blocker`]. The connection's coroutine, the periodic
//! sweep and the facade's callbacks wake it. Locks are held for single assignments only, never across a
//! yield.

use crate::link::{SendGate, WriteDecision};
use crate::sync::lock;
use crate::upstream::completed_attempt::CompletedAttempt;
use crate::upstream::pending_attempt::{Denied, PendingAttempt};
use fernslip::facade::Attempt;
use fernslip::CacheId;
use may::sync::Blocker;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A request that was queued for less than this is sent as it was encoded: the remaining time that it names
/// is accurate to within this value. A request that was queued for longer is encoded again.
const MAX_ENCODED_AGE: Duration = Duration::from_millis(10);

/// An attempt that was admitted to a connection.
pub(super) struct InFlightAttempt {
    /// The attempt's coroutine waits here for its result.
    pub blocker: Arc<Blocker>,
    result: Mutex<Option<CompletedAttempt>>,
    /// When the attempt was created, which is before it is sent.
    pub started: Instant,
    /// Tag of the client's own copy, if the client sent one.
    pub client_tag: Option<String>,
    /// The node that the attempt is sent to.
    pub cache: CacheId,
    /// The node from which a miss is filled, if any.
    pub source: Option<CacheId>,
    /// Number of the attempt in its request, from 0.
    pub number: u32,
    withdrawn: AtomicBool,
    /// Checked right before the first byte: whether the attempt may still be sent, and with which bytes.
    pub pending: Arc<dyn PendingAttempt>,
    progress: Mutex<WriteProgress>,
}

/// How much of an attempt's request was written.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct WriteProgress {
    /// Why the request was not sent; `None` if it was not denied.
    pub denied: Option<Denied>,
    /// When the request's first byte was written; `None` before that.
    pub first_byte_at: Option<Instant>,
    /// Whether the request's last byte was written.
    pub fully_written: bool,
}

impl InFlightAttempt {
    /// Creates an attempt for the calling coroutine or thread, which must be the one that waits for the
    /// result.
    pub fn new(
        attempt: &Attempt,
        client_tag: Option<String>,
        pending: Arc<dyn PendingAttempt>,
    ) -> InFlightAttempt {
        InFlightAttempt {
            blocker: Blocker::current(),
            result: Mutex::new(None),
            started: Instant::now(),
            client_tag,
            cache: attempt.cache.clone(),
            source: attempt.source.clone(),
            number: attempt.number,
            withdrawn: AtomicBool::new(false),
            pending,
            progress: Mutex::default(),
        }
    }

    /// Withdraws the attempt, unless its first byte was already written, and wakes its coroutine.
    pub fn withdraw(&self) {
        self.withdrawn.store(true, Ordering::Release);
        self.blocker.unpark();
    }

    /// Whether [`InFlightAttempt::withdraw`] was called since the last call of this function.
    pub fn take_withdrawal(&self) -> bool {
        self.withdrawn.swap(false, Ordering::AcqRel)
    }

    /// Stores the result, unless one is stored already, and wakes the attempt's coroutine.
    pub fn complete(&self, result: CompletedAttempt) {
        lock(&self.result).get_or_insert(result);
        self.blocker.unpark();
    }

    /// Takes the result out; `None` if there is none yet.
    pub fn take_result(&self) -> Option<CompletedAttempt> {
        lock(&self.result).take()
    }

    /// How much of the request was written so far.
    pub fn progress(&self) -> WriteProgress {
        *lock(&self.progress)
    }
}

impl SendGate for InFlightAttempt {
    fn before_first_byte(&self, queued_at: Instant) -> WriteDecision {
        let now = Instant::now();
        let withdrawn = self.withdrawn.load(Ordering::Acquire);
        let allowed = if withdrawn { Err(Denied::Outdated) } else { self.pending.check_may_send(now) };
        if let Err(denied) = allowed {
            lock(&self.progress).denied = Some(denied);
            self.blocker.unpark();
            return WriteDecision::Drop;
        }
        match now.saturating_duration_since(queued_at) < MAX_ENCODED_AGE {
            true => WriteDecision::AsQueued,
            false => WriteDecision::Replace(self.pending.encode(now)),
        }
    }

    fn first_byte_written(&self) {
        lock(&self.progress).first_byte_at = Some(Instant::now());
    }

    fn last_byte_written(&self) {
        lock(&self.progress).fully_written = true;
    }
}
