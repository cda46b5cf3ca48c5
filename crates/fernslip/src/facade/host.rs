//! Callbacks that the front which embeds the dispatcher provides.

#[cfg(doc)]
use super::{Attempt, Dispatcher};
use crate::api::*;
use std::sync::Arc;

/// Callbacks to the front that embeds the dispatcher. The dispatcher holds its lock only while it calls
/// `waiter`.
pub trait Host: Send + Sync {
    /// Creates the object on which a caller of `pick` or `report` waits until its request has a decision.
    fn waiter(&self) -> Arc<dyn Waiter>;
    /// Cancels an attempt, whose end the front still reports. [`Attempt::cancelled`] is set before this call.
    fn cancel(&self, id: RequestId, attempt: u32);
    /// Sends a message to one peer. The message may be lost.
    fn send_to_peer(&self, to: u32, data: &[u8]);
    /// Sends a message to all peers. The message may be lost at some of them.
    fn send_to_all_peers(&self, data: &[u8]);
    /// Writes a line to the operators' log.
    fn log(&self, line: &str);
    /// Announces that caches now drain or are removed. The front withdraws each attempt at one of them, or
    /// with one as its source, whose first byte was not sent, and reports it as [`Ending::Retracted`]: an
    /// attempt whose first byte was not sent must not begin at a draining cache, and its connection may be
    /// established long after the decision.
    fn draining(&self, _caches: &[CacheId]) {}
    /// Announces that the objects of these open requests were purged. The front withdraws each of their
    /// attempts whose first byte was not sent and reports it as [`Ending::Retracted`], upon which the
    /// dispatcher decides again. The maximum age of a copy in these attempts was computed before the
    /// purge, which applies to every attempt whose first byte was not sent.
    fn purged(&self, _requests: &[RequestId]) {}
    /// Passes evidence on a node, from this front's own attempts, for other fronts; `strength` is the
    /// confidence, from 0 to 1. Called only after [`Dispatcher::enable_evidence`].
    fn report_evidence(&self, _cache: &CacheId, _sign: Sign, _strength: f64) {}
}

/// A one-shot wait, implemented for the kind of threads that the front uses.
pub trait Waiter: Send + Sync {
    /// Blocks until [`Waiter::wake`] is called, or returns at once if it already was. May also return early.
    fn wait(&self);
    /// Ends the present or next [`Waiter::wait`].
    fn wake(&self);
}
