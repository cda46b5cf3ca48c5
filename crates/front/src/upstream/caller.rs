//! The client's side of a request: whether the client still waits for the answer.

use crate::sync::lock;
use fernslip::facade::CallerId;
use may::sync::Blocker;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Whether the client of one request still waits for its answer. Shared by the client's connection and the
/// coroutine that serves the request; no method yields.
pub struct Caller {
    id: CallerId,
    disconnected: AtomicBool,
    /// When the front noticed that the client had disconnected or cancelled; `None` before that.
    disconnected_at: Mutex<Option<Instant>>,
    /// Where the request waits for a permit from its dispatch queue, or for the memory of its answer.
    queue_blocker: Mutex<Option<Arc<Blocker>>>,
}

impl Default for Caller {
    /// Creates a caller whose id no other caller of this process has.
    fn default() -> Caller {
        static NEXT_ID: AtomicU64 = AtomicU64::new(0);
        Caller {
            id: CallerId(NEXT_ID.fetch_add(1, Ordering::Relaxed)),
            disconnected: AtomicBool::new(false),
            disconnected_at: Mutex::default(),
            queue_blocker: Mutex::default(),
        }
    }
}

impl Caller {
    /// Identifies this caller to the decision module as the owner of its request.
    pub fn id(&self) -> CallerId {
        self.id
    }

    /// Records that the client disconnected or cancelled the request, and ends its wait in a queue at once.
    pub fn disconnect(&self) {
        lock(&self.disconnected_at).get_or_insert_with(Instant::now);
        self.disconnected.store(true, Ordering::Release);
        if let Some(blocker) = lock(&self.queue_blocker).take() {
            blocker.unpark();
        }
    }

    /// Whether the client has disconnected or cancelled the request.
    pub fn is_disconnected(&self) -> bool {
        self.disconnected.load(Ordering::Acquire)
    }

    /// When the front noticed that the client had disconnected or cancelled; `None` while the client waits.
    pub fn disconnected_at(&self) -> Option<Instant> {
        *lock(&self.disconnected_at)
    }

    /// Sets the blocker that [`Caller::disconnect`] wakes.
    pub(crate) fn set_queue_blocker(&self, blocker: Arc<Blocker>) {
        *lock(&self.queue_blocker) = Some(blocker);
    }
}
