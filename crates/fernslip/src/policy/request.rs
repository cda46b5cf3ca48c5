//! Handling of requests: admission, the start of attempts, rejection and cancellation. The end of an attempt
//! is handled in `outcome.rs`.

use super::Router;
use super::{
    ATTEMPT_TIMEOUT_FRACTION, ATTEMPT_TIMEOUT_OBJECTIVES, MAX_RETRY_TOKENS, MEAN_RETRY_AFTER_MS,
    MEAN_WORK_SMOOTHING, MIN_ATTEMPT_MS, REQUESTS_PER_SYNC, RETRY_TOKENS_PER_REQUEST,
    SILENCE_CHECK_INTERVAL_MS, SILENCE_TIMEOUT_MS, UNKNOWN_SIZE_OBJECTIVE_FRACTION,
};
use crate::api::*;
use crate::filter::hash_key;
use crate::state::{Attempt, AttemptKind, PendingRequest, Plan, RejectReason};

impl Router {
    /// Admits a client's request and makes its first attempt, or rejects it at once.
    pub(super) fn handle_request(&mut self, request: Request, out: &mut Vec<Action>) {
        let id = request.id;
        if request.class >= self.settings.classes.len() {
            return out.push(Action::Reject { id, retry_after_ms: 0.0 });
        }
        let full = self.requests.len() >= self.settings.max_in_flight as usize;
        if full || self.requests.contains_key(&id) {
            return out.push(Action::Reject { id, retry_after_ms: MEAN_RETRY_AFTER_MS });
        }
        let req = self.pending_request(request);
        self.refill_retry_budget();
        self.dispatch(req, out);
        let admitted = self.requests.get(&id);
        if let Some(r) = admitted.filter(|r| !self.settings.classes[r.request.class].write) {
            self.demand.increment(r.key);
        }
        self.requests_since_sync += 1;
        if self.requests_since_sync.saturating_mul(self.settings.routers_in_location()) >= REQUESTS_PER_SYNC {
            self.requests_since_sync = 0;
            self.send_filter_changes(out);
        }
    }

    /// Creates the pending request with its key, transfer time, deadline and latency objective, and updates
    /// the class's mean transfer time.
    fn pending_request(&mut self, request: Request) -> PendingRequest {
        let class = &self.settings.classes[request.class];
        let key = hash_key(&[request.object.0, u64::from(request.part)]);
        let mean_ms = &mut self.mean_work_ms[request.class];
        let work_ms = match request.size_kb > 0.0 && request.size_kb.is_finite() {
            true => request.size_kb / self.settings.stream_kb_per_s * 1000.0,
            false if *mean_ms > 0.0 => *mean_ms,
            false => class.objective_ms * UNKNOWN_SIZE_OBJECTIVE_FRACTION,
        };
        // The client states the size, which may be wrong, so the transfer time is capped at the class's
        // deadline before it enters the mean.
        let step = if *mean_ms == 0.0 { 1.0 } else { MEAN_WORK_SMOOTHING };
        *mean_ms += (work_ms.min(class.deadline_ms) - *mean_ms) * step;
        let budget_ms = match request.budget_ms.is_finite() {
            true => request.budget_ms.max(0.0),
            false => class.deadline_ms,
        };
        let deadline = self.now_ms + budget_ms;
        let objective_ms = (class.objective_ms + class.objective_stretch * work_ms).min(class.deadline_ms);
        PendingRequest::new(request, key, deadline, work_ms, objective_ms)
    }

    /// Adds one request's tokens to the retry budget, up to this router's part of the location's budget.
    fn refill_retry_budget(&mut self) {
        let most = (MAX_RETRY_TOKENS / f64::from(self.settings.routers_in_location())).max(1.0);
        self.retry_budget = (self.retry_budget + RETRY_TOKENS_PER_REQUEST).min(most);
    }

    /// Starts the next attempt of a request, or gives its final answer if there is none.
    pub(super) fn dispatch(&mut self, req: PendingRequest, out: &mut Vec<Action>) {
        let plan = self.plan_attempt(&req);
        let throttled = match &plan {
            Ok(plan) => plan.kind == AttemptKind::LookupOnly,
            Err(reason) => *reason == RejectReason::SourcesReject,
        };
        self.source_throttle.record_throttled(self.now_ms, throttled);
        match plan {
            Ok(plan) => self.begin_attempt(req, plan, out),
            Err(reason) => self.reject_or_fail(req, reason, out),
        }
    }

    /// Sends a planned attempt and counts it as in flight at its target and its source.
    fn begin_attempt(&mut self, mut req: PendingRequest, plan: Plan, out: &mut Vec<Action>) {
        out.push(self.forward_action(&req, &plan));
        let Plan { target, source, kind } = plan;
        let now = self.now_ms;
        let cost_ms = self.mean_work_ms[req.request.class];
        for id in [&target, &source] {
            let window_ms = self.settings.slow_start_window_ms;
            let Some(node) = self.nodes.get_mut(id) else { continue };
            node.record_sent_work(now, cost_ms, window_ms);
            if node.ejected || node.is_silent(now) {
                self.schedule_probe(id);
            }
            if target == source {
                break;
            }
        }
        self.adjust_in_flight(&target, 1.0);
        if kind == AttemptKind::Fill {
            self.adjust_in_flight(&source, 1.0);
        }
        let in_flight_integrals = [&target, &source].map(|id| self.in_flight_integral(id));
        if let Some(node) = self.nodes.get_mut(&target) {
            node.silent_after.get_or_insert(now + (SILENCE_TIMEOUT_MS + 2.0 * req.work_ms));
        }
        if !self.silence_timer_set && self.settings.cancel {
            self.silence_timer_set = true;
            out.push(Action::Timer { delay_ms: SILENCE_CHECK_INTERVAL_MS, token: 0 });
        }
        if kind == AttemptKind::Fill {
            self.fill_limiter.in_flight.adjust(now, 1.0);
        }
        req.attempts.push(Attempt::new(target, source, now, in_flight_integrals, kind));
        self.requests.insert(req.request.id, req);
    }

    /// Builds the action that sends a planned attempt.
    fn forward_action(&self, req: &PendingRequest, plan: &Plan) -> Action {
        let class = &self.settings.classes[req.request.class];
        let lookup_only = plan.kind == AttemptKind::LookupOnly;
        let remaining_ms = self.remaining_ms(req);
        let may_retry = req.attempts.len() + 1 < self.settings.max_attempts as usize;
        let expected_there = lookup_only || plan.kind == AttemptKind::ExpectedHit;
        // The timeout of a fill is all of the client's remaining time, because an abandoned fill leaves no
        // copy and would be requested again.
        let time_ms = if may_retry && expected_there {
            (req.objective_ms * ATTEMPT_TIMEOUT_OBJECTIVES)
                .min(remaining_ms * ATTEMPT_TIMEOUT_FRACTION)
                .max(MIN_ATTEMPT_MS)
        } else {
            remaining_ms
        };
        Action::Forward {
            id: req.request.id,
            cache: plan.target.clone(),
            source: plan.source.clone(),
            until_ms: self.now_ms + time_ms.min(remaining_ms),
            begin_by_ms: self.retry_window_end_ms(req),
            rank: self.cache_rank(req),
            age_ms: self.max_copy_age_ms(req, lookup_only),
            join: self.settings.join_fills && !class.write,
            renew: class.fresh_ms > 0.0,
        }
    }

    /// Time left for the request's attempts, in milliseconds, with a margin for the final answer; negative if
    /// it is too late for one.
    pub(super) fn remaining_ms(&self, req: &PendingRequest) -> f64 {
        req.deadline - self.now_ms - 2.0 * self.settings.tick_ms
    }

    /// Gives the final answer of a request that gets no further attempt: a rejection if repeating the request
    /// is harmless by the rules of its class, otherwise a failure.
    pub(super) fn reject_or_fail(
        &mut self,
        req: PendingRequest,
        reason: RejectReason,
        out: &mut Vec<Action>,
    ) {
        self.rejections.record(reason.name());
        let retry_after_ms = self.retry_after_ms();
        let class = &self.settings.classes[req.request.class];
        let may_have_run = req.attempts.iter().any(Attempt::may_have_run);
        let harmless_to_repeat = match class.effect {
            Effect::Idempotent => true,
            Effect::Deduplicated => !may_have_run || class.scope == DedupScope::All,
            Effect::AtMostOnce => !may_have_run,
        };
        let id = req.request.id;
        out.push(match harmless_to_repeat {
            true => Action::Reject { id, retry_after_ms },
            false => Action::Fail { id },
        });
        self.finish_request(req);
    }

    /// Marks a request as finished, and retains it while outcomes of its attempts are still to come.
    fn finish_request(&mut self, mut req: PendingRequest) {
        req.finished = true;
        if req.has_open_attempt() {
            self.requests.insert(req.request.id, req);
        }
    }

    /// Cancels the open attempts of a request whose client has disconnected or whose answer would be too
    /// late.
    pub(super) fn handle_cancellation(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(req) = self.requests.remove(&id) else { return };
        for (n, attempt) in req.attempts.iter().enumerate() {
            if attempt.open && self.settings.cancel {
                out.push(Action::Cancel { id, attempt: n as u32 });
            }
        }
        self.finish_request(req);
    }
}
