//! How the facade's blocking calls wait in this front.

use fernslip::facade::Waiter;
use may::sync::Blocker;
use std::sync::Arc;

/// Parks the calling coroutine, or a plain thread.
pub struct BlockerWaiter(pub Arc<Blocker>);

impl Waiter for BlockerWaiter {
    fn wait(&self) {
        let _ = self.0.park(None);
    }

    fn wake(&self) {
        self.0.unpark();
    }
}
