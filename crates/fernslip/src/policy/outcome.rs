//! End of an attempt: updates the nodes' slowdown and bandwidth and the fill limits, and retries or rejects
//! the request.

use super::Router;
use super::{FILL_OVERHEAD_MS, HIT_OVERHEAD_MS, MAX_LOCAL_REJECTION_MS, UNRESPONSIVE_EVIDENCE_STRENGTH};
use crate::api::*;
use crate::state::{AttemptKind, PendingRequest, RejectReason, Role};

/// Summary of an ended attempt, computed before the router's state changes.
struct EndedAttempt {
    target: CacheId,
    source: CacheId,
    kind: AttemptKind,
    /// See [`crate::state::Attempt::in_flight_integrals`].
    in_flight_integrals: [f64; 2],
    /// Whether the attempt was recorded as late while it was still open.
    was_late: bool,
    /// Whether the attempt ended within the request's latency objective.
    in_time: bool,
    /// Whether the attempt timed out after its latency objective. An earlier timeout shows only that its
    /// client's deadline was short, and nothing about a node.
    timed_out_late: bool,
    /// Whether the attempt was served from a copy that the target had.
    hit: bool,
    /// Whether the target is far slower than its peers.
    target_slow: bool,
    /// Whether the target's own link is the congested one.
    target_congested: bool,
    /// Whether the target or the source is slow or congested by itself, so that the duration says nothing
    /// about the location's links.
    slow_node: bool,
}

impl Router {
    /// Processes the end of an attempt: learns from it, and then retries or answers its request.
    pub(super) fn handle_outcome(&mut self, outcome: Outcome, out: &mut Vec<Action>) {
        let Some(mut req) = self.requests.remove(&outcome.id) else { return };
        let index = outcome.attempt as usize;
        let Some(attempt) = req.attempts.get_mut(index).filter(|a| a.open) else {
            self.requests.insert(outcome.id, req);
            return;
        };
        attempt.open = false;
        attempt.ending = Some(outcome.ending);
        let ended = self.summarize_attempt(&req, &outcome);
        let slow_evidence = if ended.target_slow { UNRESPONSIVE_EVIDENCE_STRENGTH } else { 0.0 };
        self.report_evidence(&ended.target, Sign::Crawling, slow_evidence, out);
        self.learn_slowdown_and_bandwidth(&req, &outcome, &ended);
        self.learn_fill_limits(&outcome, &ended);
        self.adjust_in_flight(&ended.target, -1.0);
        if ended.kind == AttemptKind::Fill {
            self.adjust_in_flight(&ended.source, -1.0);
        }
        self.learn_liveness(&outcome, &ended.target);
        self.learn_from_outcome(&mut req, &outcome, ended.target_slow, out);
        req.finished |= outcome.over;
        self.retry_or_reject(req, &outcome, ended.kind, out);
    }

    fn summarize_attempt(&self, req: &PendingRequest, outcome: &Outcome) -> EndedAttempt {
        let attempt = &req.attempts[outcome.attempt as usize];
        let kind = attempt.kind;
        let in_time = outcome.elapsed_ms <= req.objective_ms;
        // A fill through a cache node that is slow or congested itself says nothing about its source or the
        // links.
        let target = self.nodes.get(&attempt.cache);
        let target_slow = target.is_some_and(|node| self.is_slow(node));
        let fill_slowdown = outcome.elapsed_ms / (req.work_ms + FILL_OVERHEAD_MS);
        let target_congested = target.is_some_and(|node| self.has_congested_link(node, fill_slowdown));
        let source_slow = || self.nodes.get(&attempt.source).is_some_and(|node| self.is_slow(node));
        let hit_expected = matches!(kind, AttemptKind::ExpectedHit | AttemptKind::LookupOnly);
        let said_hit = outcome.detail == 1 || outcome.detail == 0 && hit_expected;
        EndedAttempt {
            target: attempt.cache.clone(),
            source: attempt.source.clone(),
            kind,
            in_flight_integrals: attempt.in_flight_integrals,
            was_late: attempt.late,
            in_time,
            timed_out_late: outcome.ending == Ending::TimedOut && !in_time,
            hit: outcome.ending == Ending::Completed && said_hit,
            target_slow,
            target_congested,
            slow_node: target_slow || target_congested || source_slow(),
        }
    }

    /// Updates the slowdown and the bandwidth estimates of the target after a hit, and of the source after a
    /// fill.
    fn learn_slowdown_and_bandwidth(
        &mut self,
        req: &PendingRequest,
        outcome: &Outcome,
        ended: &EndedAttempt,
    ) {
        let hit = ended.hit;
        let completed = outcome.ending == Ending::Completed;
        let fill = ended.kind == AttemptKind::Fill && (completed || ended.timed_out_late);
        if !(hit || fill) {
            return;
        }
        let (id, overhead_ms) =
            if hit { (&ended.target, HIT_OVERHEAD_MS) } else { (&ended.source, FILL_OVERHEAD_MS) };
        let slowdown = outcome.elapsed_ms / (req.work_ms + overhead_ms);
        let conclusive = hit || !ended.target_slow && !ended.target_congested;
        let now = self.now_ms;
        let node = self.nodes.get_mut(id).filter(|node| hit == (node.role == Role::Edge) && conclusive);
        if let Some(node) = node {
            node.record_slowdown(now, slowdown);
            let integral_when_sent = ended.in_flight_integrals[usize::from(!hit)];
            self.record_link_answer(id, req.work_ms, outcome.elapsed_ms, overhead_ms, integral_when_sent);
        }
    }

    /// Updates the source throttle and the location's fill limit.
    fn learn_fill_limits(&mut self, outcome: &Outcome, ended: &EndedAttempt) {
        let now = self.now_ms;
        let completed = outcome.ending == Ending::Completed;
        let rejected_by_source =
            outcome.ending == Ending::Saturated && outcome.elapsed_ms >= MAX_LOCAL_REJECTION_MS;
        let accepted_by_source = !ended.hit && completed && ended.kind != AttemptKind::Write;
        if rejected_by_source || accepted_by_source {
            self.source_throttle.record_fill(now, !rejected_by_source);
        }
        let late_or_rejected = match outcome.ending {
            _ if ended.slow_node => false,
            Ending::Completed => !ended.in_time,
            // Lost connections and errors are faults of the cache node or of one connection, and say nothing
            // about links and sources.
            Ending::Saturated => rejected_by_source,
            _ => ended.timed_out_late,
        };
        if ended.kind == AttemptKind::Fill {
            let routers = f64::from(self.settings.routers_in_location());
            let newly_late = late_or_rejected && !ended.was_late;
            self.fill_limiter.record_fill_end(now, routers, newly_late, completed && !late_or_rejected);
        }
    }

    /// Records the target's load report if there is one, and that the target is not silent if the ending
    /// shows that it answered.
    fn learn_liveness(&mut self, outcome: &Outcome, target: &CacheId) {
        let now = self.now_ms;
        let silent = outcome.ending.never_sent()
            || matches!(outcome.ending, Ending::TimedOut | Ending::Cancelled | Ending::ConnectionRefused);
        let Some(node) = self.nodes.get_mut(target) else { return };
        if let Some(reported) = outcome.reported_in_flight {
            node.in_flight.record_report(now, reported);
        }
        if !silent {
            node.silent_after = None;
            node.last_seen = now;
        }
    }

    /// Waits for the request's other attempts; if there are none, retries it within the retry budget or
    /// rejects it.
    fn retry_or_reject(
        &mut self,
        req: PendingRequest,
        outcome: &Outcome,
        kind: AttemptKind,
        out: &mut Vec<Action>,
    ) {
        // A lookup that found no copy and an attempt that was never sent do not count against the retry
        // budget, because they cost the nodes nothing.
        let lookup_missed = kind == AttemptKind::LookupOnly && outcome.ending == Ending::LookupMiss;
        let free = outcome.ending.never_sent() || lookup_missed;
        let cost = f64::from(u8::from(!free));
        let errors = req.attempts.iter().filter(|a| a.ending == Some(Ending::Errored)).count();
        let reason = match outcome.ending {
            // The node knows that the client has disconnected or the request has expired, so another node
            // would refuse the request too.
            Ending::Superseded => Some(RejectReason::Superseded),
            _ if self.retry_budget < cost => Some(RejectReason::RetryBudget),
            // After errors from two nodes the request itself is at fault, and the next node would fail too.
            _ if errors > 1 => Some(RejectReason::Errors),
            _ => None,
        };
        if req.has_open_attempt() {
            self.requests.insert(outcome.id, req);
        } else if !req.finished {
            match reason {
                Some(reason) => self.reject_or_fail(req, reason, out),
                None => {
                    self.retry_budget -= cost;
                    self.dispatch(req, out);
                }
            }
        }
    }
}
