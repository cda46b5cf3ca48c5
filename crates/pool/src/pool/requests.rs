//! A pool's requests: admission, the wait in the queue, and the retry budget.

use super::{AdmittedRequest, Pool};
use crate::message::{Action, Notified, RejectReason};

impl Pool {
    /// Whether one more request may go to the decision module: the pool has capacity, and a member will have some when
    /// the request gets there. Guards admitted requests against finding every member at capacity, which the module
    /// would reject. Where no member is usable at all it may: what to reject then is the module's decision, at once.
    fn has_capacity(&self) -> bool {
        if self.spec.in_flight.is_some_and(|n| self.admitted.len() as u64 >= n) {
            return false;
        }
        match self.serving_count {
            0 => !self.members.iter().any(|m| m.at_capacity && m.notified == Notified::Up),
            _ => self.serving_capacity.is_none_or(|capacity| self.admitted_unsent < capacity),
        }
    }

    /// A request arrives: it is admitted, queued or rejected.
    pub(super) fn on_arrived(&mut self, request: u64, wait_until_ms: f64, actions: &mut Vec<Action>) {
        if self.admitted.contains_key(&request) || self.queue.contains(request) {
            // The caller's numbers are unique; one that is not can't be told from the other.
            return actions.push(Action::Reject { request, reason: RejectReason::QueueFull });
        }
        self.retry_tokens = (self.retry_tokens + self.spec.retry_budget).min(self.spec.retry_burst);
        if self.queue.len() == 0 && self.has_capacity() {
            return self.admit(request, actions);
        }
        let deadline_ms = (self.now_ms + self.spec.max_queue_wait_ms).min(wait_until_ms);
        if self.queue.len() >= self.spec.max_queued || deadline_ms <= self.now_ms {
            self.counts.queue_full += 1;
            return actions.push(Action::Reject { request, reason: RejectReason::QueueFull });
        }
        self.counts.waited += 1;
        self.queue.push(request, deadline_ms);
    }

    fn admit(&mut self, request: u64, actions: &mut Vec<Action>) {
        self.admitted.insert(request, AdmittedRequest::default());
        self.admitted_unsent += 1;
        self.counts.admitted += 1;
        actions.push(Action::Admit { request });
    }

    /// A request is over, or its client disconnected.
    pub(super) fn on_finished(&mut self, request: u64) {
        if !self.queue.remove(request) {
            let admitted = self.admitted.remove(&request);
            self.admitted_unsent -= u64::from(admitted.is_some_and(|a| a.attempts == 0));
        }
    }

    /// An attempt of a request was sent.
    pub(super) fn count_attempt(&mut self, request: u64) {
        if let Some(admitted) = self.admitted.get_mut(&request) {
            self.admitted_unsent -= u64::from(admitted.attempts == 0);
            admitted.attempts += 1;
        }
    }

    /// Rejects the queued requests that timed out, and admits the first of the others while there is capacity.
    pub(super) fn admit_queued(&mut self, actions: &mut Vec<Action>) {
        while let Some(request) = self.queue.pop_expired(self.now_ms) {
            self.counts.timed_out += 1;
            actions.push(Action::Reject { request, reason: RejectReason::QueueTimeout });
        }
        while self.queue.len() > 0 && self.has_capacity() {
            let Some(request) = self.queue.pop() else { return };
            self.admit(request, actions);
        }
    }

    /// A request wants a retry: the budget and the limit on attempts decide.
    pub(super) fn on_retry_requested(&mut self, request: u64, actions: &mut Vec<Action>) {
        let attempts = self.admitted.get(&request).map_or(u64::MAX, |a| a.attempts);
        if attempts >= self.spec.max_attempts || self.retry_tokens < 1.0 {
            self.counts.retries_denied += 1;
            return actions.push(Action::RetryDenied { request });
        }
        self.retry_tokens -= 1.0;
        self.counts.retries += 1;
        actions.push(Action::Retry { request });
    }
}
