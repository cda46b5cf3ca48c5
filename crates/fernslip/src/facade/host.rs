//! What the dispatcher needs of the front that embeds it.

#[cfg(doc)]
use super::{Attempt, Dispatcher};
use crate::api::*;
use std::sync::Arc;

/// What the dispatcher requests of the front that hosts it. It holds no lock while it calls these, but for `waiter`.
pub trait Host: Send + Sync {
    /// What the caller of `pick` or `report` waits on while its request has no decision.
    fn waiter(&self) -> Arc<dyn Waiter>;
    /// Cancels an attempt; its end is still to be reported. [`Attempt::cancelled`] is set already.
    fn cancel(&self, id: RequestId, attempt: u32);
    /// Sends a message to one peer; it may be lost.
    fn send_to_peer(&self, to: u32, data: &[u8]);
    /// Sends a message to all peers; it may be lost.
    fn send_to_all_peers(&self, data: &[u8]);
    /// A line for the operators.
    fn log(&self, line: &str);
    /// These caches drain or are removed from now on: an attempt to one of them, or filled from one, that has not begun is
    /// withdrawn and reported as [`Ending::Retracted`]. The rule on drains counts to the first byte that is sent, and
    /// a connection may come up long after its attempt was decided on.
    fn draining(&self, _caches: &[CacheId]) {}
    /// The objects of these open requests were purged: an attempt that has not begun is withdrawn, reported as
    /// [`Ending::Retracted`], and decided on anew. It names the oldest copy that will do as that was before the purge, and
    /// the rule on purges, too, counts to the first byte.
    fn purged(&self, _requests: &[RequestId]) {}
    /// What this front's own answers show of a node, for other fronts; after [`Dispatcher::enable_evidence`].
    fn evidence(&self, _cache: &CacheId, _sign: Sign, _strength: f64) {}
}

/// A one-shot wait, of the front's own kind of thread.
pub trait Waiter: Send + Sync {
    /// Returns once [`Waiter::wake`] was called, be it before; it may also return early.
    fn wait(&self);
    /// Ends the wait.
    fn wake(&self);
}
