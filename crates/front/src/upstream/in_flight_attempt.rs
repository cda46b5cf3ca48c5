//! One attempt between its admission to a connection and its result.
//!
//! The attempt's coroutine parks on [`InFlightAttempt::blocker`]; the connection's coroutine, the sweep and the facade's
//! callbacks wake it. Locks here are held for single assignments, never across a yield.

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

/// A request that was queued for less than this goes out as it was encoded: the remaining time that it names is right to
/// that much. One that waited longer is encoded again.
const ENCODED_VALID_FOR: Duration = Duration::from_millis(10);

/// An attempt in flight on a connection.
pub(super) struct InFlightAttempt {
    /// Where the attempt's coroutine waits for its result.
    pub blocker: Arc<Blocker>,
    result: Mutex<Option<CompletedAttempt>>,
    /// When the attempt was made.
    pub started: Instant,
    /// The tag of the client's own copy, if the client named one.
    pub client_tag: Option<String>,
    /// The node that the attempt goes to.
    pub cache: CacheId,
    /// Where a miss is filled from.
    pub source: Option<CacheId>,
    /// The attempt's number in its request.
    pub number: u32,
    withdrawn: AtomicBool,
    /// Whether it may still begin, asked right before its first byte.
    pub pending: Arc<dyn PendingAttempt>,
    progress: Mutex<WriteProgress>,
}

/// How far an attempt's request was written.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct WriteProgress {
    /// Why it was kept from beginning, if it was.
    pub denied: Option<Denied>,
    /// When its first byte was written.
    pub first_byte_at: Option<Instant>,
    /// Whether its last byte was written.
    pub fully_written: bool,
}

impl InFlightAttempt {
    /// The attempt of the calling coroutine or thread, which is the one that waits for its result.
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

    /// Keeps the attempt from beginning; one that has begun goes on.
    pub fn withdraw(&self) {
        self.withdrawn.store(true, Ordering::Release);
        self.blocker.unpark();
    }

    /// Whether [`InFlightAttempt::withdraw`] was called since this was last asked.
    pub fn take_withdrawal(&self) -> bool {
        self.withdrawn.swap(false, Ordering::AcqRel)
    }

    /// Sets the result, unless there is one already, and wakes the attempt.
    pub fn complete(&self, result: CompletedAttempt) {
        lock(&self.result).get_or_insert(result);
        self.blocker.unpark();
    }

    /// Takes the result, once there is one.
    pub fn take_result(&self) -> Option<CompletedAttempt> {
        lock(&self.result).take()
    }

    /// How far the request was written.
    pub fn progress(&self) -> WriteProgress {
        *lock(&self.progress)
    }
}

impl SendGate for InFlightAttempt {
    fn before_first_byte(&self, queued_at: Instant) -> WriteDecision {
        let now = Instant::now();
        let withdrawn = self.withdrawn.load(Ordering::Acquire);
        let allowed = if withdrawn { Err(Denied::Outdated) } else { self.pending.check(now) };
        if let Err(denied) = allowed {
            lock(&self.progress).denied = Some(denied);
            self.blocker.unpark();
            return WriteDecision::Drop;
        }
        match now.saturating_duration_since(queued_at) < ENCODED_VALID_FOR {
            true => WriteDecision::AsQueued,
            false => WriteDecision::Replace(self.pending.bytes(now)),
        }
    }

    fn first_byte_written(&self) {
        lock(&self.progress).first_byte_at = Some(Instant::now());
    }

    fn last_byte_written(&self) {
        lock(&self.progress).fully_written = true;
    }
}
