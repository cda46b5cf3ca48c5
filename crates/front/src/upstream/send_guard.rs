//! The one guard for sending: whether an attempt may begin, checked when its first byte is about to be written, however
//! long after the decision that is; and what the attempt then looks like on the wire.

use crate::call::CallFields;
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
    call: Arc<CallFields>,
    attempt: Attempt,
    times: AttemptTimes,
    /// The client waits until then.
    client_deadline: Instant,
}

impl SendGuard {
    /// The guard of an attempt of that caller's request.
    pub fn new(
        queue: &Arc<DispatchQueue>,
        caller: &Arc<Caller>,
        call: &Arc<CallFields>,
        attempt: &Attempt,
        times: AttemptTimes,
        client_deadline: Instant,
    ) -> SendGuard {
        SendGuard {
            queue: queue.clone(),
            caller: caller.clone(),
            call: call.clone(),
            attempt: attempt.clone(),
            times,
            client_deadline,
        }
    }

    /// Checks, after the fact, how the attempt began: for a client that waited, at a node in service, within the time that
    /// the client had. `drain_grace_ms` is how long after a drain an attempt may still begin.
    pub fn verify(&self, invariants: &Invariants, clock: &Clock, begun: Instant, drain_grace_ms: f64) {
        let id =
            || format!("trace={} n={} node={}", self.call.trace, self.attempt.number, self.attempt.cache.0);
        let ms_since = |at: Instant| begun.saturating_duration_since(at).as_secs_f64() * 1000.0;
        let disconnected_ms = self.caller.disconnected_at().map_or(0.0, ms_since);
        invariants.check(Invariant::SendForWaitingClient, disconnected_ms <= SEND_AFTER_LEAVING_MS, || {
            format!("{} begun {disconnected_ms:.0} ms after its client left", id())
        });
        let overrun_ms = ms_since(self.client_deadline);
        invariants.check(Invariant::SendWithinClientTime, overrun_ms <= LIMIT_SLACK_MS, || {
            format!("{} begun {overrun_ms:.0} ms after its client's time", id())
        });
        if self.queue.has_pool() {
            return;
        }
        let nodes = [Some(&self.attempt.cache), self.attempt.source.as_ref()].into_iter().flatten();
        let out_since_ms = nodes.filter_map(|node| self.queue.dispatcher.out_of_service_since(node));
        let drained_ms = out_since_ms.map(|since_ms| clock.at(begun) - since_ms).fold(0.0, f64::max);
        invariants.check(Invariant::SendToServingNode, drained_ms <= drain_grace_ms, || {
            format!("{} begun {drained_ms:.0} ms after a drain", id())
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
        let in_service = self.queue.has_pool() || dispatcher.is_in_service(&self.attempt);
        match in_service && dispatcher.is_wanted(&self.attempt) {
            true => Ok(()),
            false => Err(Denied::Outdated),
        }
    }

    fn bytes(&self, now: Instant) -> Vec<u8> {
        let remaining = self.times.deadline.saturating_duration_since(now);
        resp::request(&self.call.trace, &fields(&self.call, &self.attempt, remaining), &self.call.body)
    }
}

/// The fields of a request to a cache node, which has so long to answer.
fn fields(call: &CallFields, attempt: &Attempt, remaining: Duration) -> String {
    let mut fields = format!(
        "cls={},item={},chunk={},limit={}",
        call.class,
        call.object,
        call.part,
        (remaining.as_millis() as u64).max(1)
    );
    if let Some(source) = &attempt.source {
        fields += &format!(",via={}", source.0);
    }
    if attempt.rank > 0 {
        fields += &format!(",tier={}", attempt.rank);
    }
    // Cut, not rounded: a copy that is a part of a millisecond too old is too old.
    if attempt.age_ms > 0.0 {
        fields += &format!(",fresh={}", (attempt.age_ms.floor() as u64).max(1));
    }
    match (attempt.join, attempt.renew) {
        (true, true) => fields += ",opts=j+r",
        (true, false) => fields += ",opts=j",
        (false, true) => fields += ",opts=r",
        (false, false) => {}
    }
    if let Some(tag) = &call.known_tag {
        fields += &format!(",known={tag}");
    }
    fields
}
