//! Decides whether an attempt may still be sent, and encodes its request.
//!
//! This is the only guard for sending. It checks the attempt when its first byte is about to be written,
//! however long after the decision.

use crate::call::CallFields;
use crate::clock::Clock;
use crate::invariants::{Invariant, Invariants, MAX_CLIENT_TIME_OVERRUN_MS, MAX_SEND_AFTER_DISCONNECT_MS};
use crate::upstream::caller::Caller;
use crate::upstream::dispatch_queue::DispatchQueue;
use crate::upstream::pending_attempt::{AttemptTimes, Denied, PendingAttempt};
use crate::upstream::resp;
use fernslip::facade::Attempt;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// An attempt that the decision module has chosen, with everything that can still prevent it from being
/// sent.
pub struct SendGuard {
    queue: Arc<DispatchQueue>,
    caller: Arc<Caller>,
    call: Arc<CallFields>,
    attempt: Attempt,
    times: AttemptTimes,
    /// When the client stops waiting for the answer.
    client_deadline: Instant,
}

impl SendGuard {
    /// Creates the guard of one attempt at the request `call` from `caller`. The client waits until
    /// `client_deadline`.
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

    /// Checks, after the attempt was sent, that when its first byte was written its client was still waiting,
    /// the client's deadline had not passed, and the attempt's node and source were in service.
    /// `drain_grace_ms` is how long after the start of a drain an attempt may still be sent.
    pub fn verify_sent_attempt(
        &self,
        invariants: &Invariants,
        clock: &Clock,
        first_byte_at: Instant,
        drain_grace_ms: f64,
    ) {
        let id =
            || format!("trace={} n={} node={}", self.call.trace, self.attempt.number, self.attempt.cache.0);
        let ms_since = |at: Instant| first_byte_at.saturating_duration_since(at).as_secs_f64() * 1000.0;
        let disconnected_ms = self.caller.disconnected_at().map_or(0.0, ms_since);
        invariants.check(
            Invariant::SendForWaitingClient,
            disconnected_ms <= MAX_SEND_AFTER_DISCONNECT_MS,
            || format!("{} first byte written {disconnected_ms:.0} ms after the client disconnected", id()),
        );
        let overrun_ms = ms_since(self.client_deadline);
        invariants.check(Invariant::SendWithinClientTime, overrun_ms <= MAX_CLIENT_TIME_OVERRUN_MS, || {
            format!("{} first byte written {overrun_ms:.0} ms after the client's deadline", id())
        });
        if self.queue.has_pool() {
            return;
        }
        let nodes = [Some(&self.attempt.cache), self.attempt.source.as_ref()].into_iter().flatten();
        let out_since_ms = nodes.filter_map(|node| self.queue.dispatcher.out_of_service_since(node));
        let drained_ms =
            out_since_ms.map(|since_ms| clock.clock_time_at(first_byte_at) - since_ms).fold(0.0, f64::max);
        invariants.check(Invariant::SendToServingNode, drained_ms <= drain_grace_ms, || {
            format!("{} first byte written {drained_ms:.0} ms after its node or source began to drain", id())
        });
    }
}

impl PendingAttempt for SendGuard {
    fn check_may_send(&self, now: Instant) -> Result<(), Denied> {
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
        // A pool also takes a member out of service when the member is at the pool's own limits; the
        // attempt that reaches such a limit is still sent there.
        let in_service = self.queue.has_pool() || dispatcher.is_in_service(&self.attempt);
        match in_service && dispatcher.is_wanted(&self.attempt) {
            true => Ok(()),
            false => Err(Denied::Outdated),
        }
    }

    fn encode(&self, now: Instant) -> Vec<u8> {
        let remaining = self.times.deadline.saturating_duration_since(now);
        resp::encode_request(
            &self.call.trace,
            &request_fields(&self.call, &self.attempt, remaining),
            &self.call.body,
        )
    }
}

/// Encodes the fields of a request to a cache node, which has the time `remaining` to answer.
fn request_fields(call: &CallFields, attempt: &Attempt, remaining: Duration) -> String {
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
    // Rounded down: a copy that is even a fraction of a millisecond older than allowed is too old.
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
