//! Who waits for the answer to a request.

use crate::sync::lock;
use may::sync::Blocker;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// The client's side of one request: whether its answer is still waited for. Shared by the client's connection and the
/// coroutine that serves the request; nothing here yields.
#[derive(Default)]
pub struct Caller {
    disconnected: AtomicBool,
    /// When the disconnect was noticed.
    disconnected_at: Mutex<Option<Instant>>,
    /// Where the request waits for a permit of its dispatch queue.
    queued_on: Mutex<Option<Arc<Blocker>>>,
}

impl Caller {
    /// The client has disconnected or cancelled the request; a wait for a permit ends at once.
    pub fn disconnect(&self) {
        lock(&self.disconnected_at).get_or_insert_with(Instant::now);
        self.disconnected.store(true, Ordering::Release);
        if let Some(blocker) = lock(&self.queued_on).take() {
            blocker.unpark();
        }
    }

    /// Whether the answer is not waited for any more.
    pub fn is_disconnected(&self) -> bool {
        self.disconnected.load(Ordering::Acquire)
    }

    /// When it was noticed that the answer is not waited for; `None`: it is.
    pub fn disconnected_at(&self) -> Option<Instant> {
        *lock(&self.disconnected_at)
    }

    /// [`Caller::disconnect`] wakes `blocker` from now on.
    pub(super) fn set_queued_on(&self, blocker: Arc<Blocker>) {
        *lock(&self.queued_on) = Some(blocker);
    }
}
