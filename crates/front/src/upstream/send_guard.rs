//! The one guard for sending: whether an attempt may begin, asked when its first byte is about to be written, however long
//! after the decision that is; and what the attempt then looks like on the wire.

use crate::call::Ask;
use crate::clock::Clock;
use crate::invariants::{Invariant, Invariants, LIMIT_SLACK_MS, SEND_AFTER_LEAVING_MS};
use crate::upstream::caller::Caller;
use crate::upstream::dispatch_queue::DispatchQueue;
use crate::upstream::pending_attempt::{AttemptTimes, Denied, PendingAttempt};
use crate::upstream::resp;
use fernslip::facade::Attempt;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// An attempt that has been decided on, and all that can still forbid it.
pub struct SendGuard {
    queue: Arc<DispatchQueue>,
    caller: Arc<Caller>,
    ask: Arc<Ask>,
    /// The attempt.
    pub attempt: Attempt,
    /// Its times.
    pub times: AttemptTimes,
    /// The client waits until then.
    client_until: Instant,
}

impl SendGuard {
    /// For an attempt of that caller's request.
    pub fn new(
        queue: &Arc<DispatchQueue>,
        caller: &Arc<Caller>,
        ask: &Arc<Ask>,
        attempt: &Attempt,
        times: AttemptTimes,
        client_until: Instant,
    ) -> SendGuard {
        SendGuard {
            queue: queue.clone(),
            caller: caller.clone(),
            ask: ask.clone(),
            attempt: attempt.clone(),
            times,
            client_until,
        }
    }

    /// Looks, after the fact, at how the attempt began: for a client that waited, at a node that served, within the time
    /// that the client had.
    pub fn verify(&self, invariants: &Invariants, clock: &Clock, begun: Instant, grace_ms: f64) {
        let id =
            || format!("trace={} n={} node={}", self.ask.trace, self.attempt.number, self.attempt.cache.0);
        let since = |at: Instant| begun.saturating_duration_since(at).as_secs_f64() * 1000.0;
        let left = self.caller.disconnected_at().map_or(0.0, since);
        invariants.check(Invariant::SendForWaitingClient, left <= SEND_AFTER_LEAVING_MS, || {
            format!("{} begun {left:.0} ms after its client left", id())
        });
        let over = since(self.client_until);
        invariants.check(Invariant::SendWithinClientTime, over <= LIMIT_SLACK_MS, || {
            format!("{} begun {over:.0} ms after its client's time", id())
        });
        if self.queue.has_pool() {
            return;
        }
        let nodes = [Some(&self.attempt.cache), self.attempt.source.as_ref()];
        let out = nodes.into_iter().flatten().filter_map(|n| self.queue.dispatcher.out_of_service_since(n));
        let late = out.map(|since| clock.at(begun) - since).fold(0.0, f64::max);
        invariants.check(Invariant::SendToServingNode, late <= grace_ms, || {
            format!("{} begun {late:.0} ms after a drain", id())
        });
    }
}

impl PendingAttempt for SendGuard {
    fn check(&self, now: Instant) -> Result<(), Denied> {
        if self.attempt.cancelled.load(Ordering::Acquire) {
            return Err(Denied::Cancelled);
        }
        if self.caller.is_disconnected() {
            return Err(Denied::ClientDisconnected);
        }
        if self.times.begin_by.is_some_and(|by| now >= by) || now >= self.times.deadline {
            return Err(Denied::TooLate);
        }
        let dispatcher = &self.queue.dispatcher;
        // A pool takes a member out of service for its own limits too, and the attempt that reaches them still goes there.
        let served = self.queue.has_pool() || dispatcher.is_in_service(&self.attempt);
        match served && dispatcher.is_wanted(&self.attempt) {
            true => Ok(()),
            false => Err(Denied::Outdated),
        }
    }

    fn bytes(&self, now: Instant) -> Vec<u8> {
        let left = self.times.deadline.saturating_duration_since(now);
        resp::request(&self.ask.trace, &fields(&self.ask, &self.attempt, left), &self.ask.body)
    }
}

/// The fields of a request to a cache node, which has so long.
fn fields(ask: &Ask, a: &Attempt, left: Duration) -> String {
    let mut f = format!(
        "cls={},item={},chunk={},limit={}",
        ask.class,
        ask.item,
        ask.chunk,
        (left.as_millis() as u64).max(1)
    );
    if let Some(source) = &a.source {
        f += &format!(",via={}", source.0);
    }
    if a.rank > 0 {
        f += &format!(",tier={}", a.rank);
    }
    // Cut, not rounded: a copy that is a part of a millisecond too old is too old.
    if a.age_ms > 0.0 {
        f += &format!(",fresh={}", (a.age_ms.floor() as u64).max(1));
    }
    match (a.join, a.renew) {
        (true, true) => f += ",opts=j+r",
        (true, false) => f += ",opts=j",
        (false, true) => f += ",opts=r",
        (false, false) => {}
    }
    if let Some(tag) = &ask.known {
        f += &format!(",known={tag}");
    }
    f
}
