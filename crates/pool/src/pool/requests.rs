//! The requests of a pool: admission, the wait in the queue, and the retry budget.

use super::{AdmittedRequest, Pool};
use crate::message::{Action, ListedState, RejectReason};

impl Pool {
    /// Whether one more request may go to the decision module: the pool is below its limit, and the serving
    /// members have more capacity than the admitted requests not yet sent will take. The module would reject
    /// a request that finds every member at capacity. Where no member is usable, requests are admitted so
    /// that the module rejects them at once.
    fn has_capacity(&self) -> bool {
        if self.spec.in_flight.is_some_and(|n| self.admitted.len() as u64 >= n) {
            return false;
        }
        match self.serving_count {
            0 => !self.members.iter().any(|m| m.at_capacity && m.listed_state == ListedState::Up),
            _ => self.serving_capacity.is_none_or(|capacity| self.admitted_unsent < capacity),
        }
    }

    /// Admits, queues or rejects a request that arrives.
    pub(super) fn on_arrived(&mut self, request: u64, wait_until_ms: f64, actions: &mut Vec<Action>) {
        if self.admitted.contains_key(&request) || self.queue.contains(request) {
            // The caller must use unique numbers; two requests of one number can't be distinguished.
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

    /// Removes a request that was completed or whose client disconnected.
    pub(super) fn on_finished(&mut self, request: u64) {
        if !self.queue.remove(request) {
            let admitted = self.admitted.remove(&request);
            self.admitted_unsent -= u64::from(admitted.is_some_and(|a| a.attempts == 0));
        }
    }

    /// Counts an attempt that was sent for a request.
    pub(super) fn count_attempt(&mut self, request: u64) {
        if let Some(admitted) = self.admitted.get_mut(&request) {
            self.admitted_unsent -= u64::from(admitted.attempts == 0);
            admitted.attempts += 1;
        }
    }

    /// Rejects the queued requests whose deadline has passed, then admits others in order of arrival while
    /// there is capacity.
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

    /// Allows or denies a retry by the retry budget and the limit on attempts.
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
