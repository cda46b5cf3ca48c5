//! The wait that this front provides to the facade's blocking calls.

use fernslip::facade::Waiter;
use may::sync::Blocker;
use std::sync::Arc;

/// A waiter that parks the calling coroutine or thread until it is woken.
pub struct BlockerWaiter(pub Arc<Blocker>);

impl Waiter for BlockerWaiter {
    fn wait(&self) {
        let _ = self.0.park(None);
    }

    fn wake(&self) {
        self.0.unpark();
    }
}
