//! The end of an attempt: what it tells of paces, links and limits, and whether its request goes on.

use super::Router;
use super::{HIT_BASE_MS, LOCAL_REJECTION_MS, PACE_BASE_MS, SILENCE_SURE};
use crate::api::*;
use crate::state::{AttemptKind, PendingRequest, RejectReason, Role};

/// An attempt that has ended, as its router sees it before it learns from it.
struct EndedAttempt {
    target: CacheId,
    source: CacheId,
    kind: AttemptKind,
    /// See [`crate::state::Attempt::in_flight_totals`].
    in_flight_totals: [f64; 2],
    /// It counted as late while it was still open.
    was_late: bool,
    /// It ended within its request's latency objective.
    in_time: bool,
    /// It timed out after its latency objective. Before it, its client had no patience: that tells nothing of anybody.
    timed_out_late: bool,
    /// It was served from what the target had.
    hit: bool,
    /// The target is far slower than its peers.
    target_slow: bool,
    /// The target's own link is the congested one.
    target_congested: bool,
    /// Target or source is slow or congested by itself, so that the time tells nothing of the location's links.
    slow_node: bool,
}

impl Router {
    /// Takes the end of an attempt in: learns from it, and retries or answers its request.
    pub(super) fn outcome(&mut self, outcome: Outcome, out: &mut Vec<Action>) {
        let Some(mut req) = self.requests.remove(&outcome.id) else { return };
        let index = outcome.attempt as usize;
        let Some(attempt) = req.attempts.get_mut(index).filter(|a| a.open) else {
            self.requests.insert(outcome.id, req);
            return;
        };
        attempt.open = false;
        attempt.ending = Some(outcome.ending);
        let ended = self.ended_attempt(&req, &outcome);
        let crawling = if ended.target_slow { SILENCE_SURE } else { 0.0 };
        self.report_evidence(&ended.target, Sign::Crawling, crawling, out);
        self.learn_pace(&req, &outcome, &ended);
        self.learn_fill_limits(&outcome, &ended);
        self.count_in_flight(&ended.target, -1.0);
        if ended.kind == AttemptKind::Fill {
            self.count_in_flight(&ended.source, -1.0);
        }
        self.learn_liveness(&outcome, &ended.target);
        self.learn_from(&mut req, &outcome, ended.target_slow, out);
        req.finished |= outcome.over;
        self.retry_or_reject(req, &outcome, ended.kind, out);
    }

    fn ended_attempt(&self, req: &PendingRequest, outcome: &Outcome) -> EndedAttempt {
        let attempt = &req.attempts[outcome.attempt as usize];
        let kind = attempt.kind;
        let in_time = outcome.elapsed_ms <= req.objective_ms;
        // A fill through a cache that crawls or is itself congested tells nothing of its source or the links.
        let target = self.nodes.get(&attempt.cache);
        let target_slow = target.is_some_and(|node| self.is_slow(node));
        let fill_pace = outcome.elapsed_ms / (req.work_ms + PACE_BASE_MS);
        let target_congested = target.is_some_and(|node| self.is_congested(node, fill_pace));
        let source_slow = || self.nodes.get(&attempt.source).is_some_and(|node| self.is_slow(node));
        let hit_expected = matches!(kind, AttemptKind::ExpectedHit | AttemptKind::LookupOnly);
        let said_hit = outcome.detail == 1 || outcome.detail == 0 && hit_expected;
        EndedAttempt {
            target: attempt.cache.clone(),
            source: attempt.source.clone(),
            kind,
            in_flight_totals: attempt.in_flight_totals,
            was_late: attempt.late,
            in_time,
            timed_out_late: outcome.ending == Ending::TimedOut && !in_time,
            hit: outcome.ending == Ending::Completed && said_hit,
            target_slow,
            target_congested,
            slow_node: target_slow || target_congested || source_slow(),
        }
    }

    /// A hit shows the pace and the link of its target, a fill those of its source.
    fn learn_pace(&mut self, req: &PendingRequest, outcome: &Outcome, ended: &EndedAttempt) {
        let hit = ended.hit;
        let completed = outcome.ending == Ending::Completed;
        let fill = ended.kind == AttemptKind::Fill && (completed || ended.timed_out_late);
        if !(hit || fill) {
            return;
        }
        let (id, base_ms) = if hit { (&ended.target, HIT_BASE_MS) } else { (&ended.source, PACE_BASE_MS) };
        let pace = outcome.elapsed_ms / (req.work_ms + base_ms);
        let telling = hit || !ended.target_slow && !ended.target_congested;
        let now = self.now_ms;
        let node = self.nodes.get_mut(id).filter(|node| hit == (node.role == Role::Edge) && telling);
        if let Some(node) = node {
            node.record_pace(now, pace);
            let total_when_sent = ended.in_flight_totals[usize::from(!hit)];
            self.measure(id, req.work_ms, outcome.elapsed_ms, base_ms, total_when_sent);
        }
    }

    /// What sources accept and reject, and whether the location's fills come late.
    fn learn_fill_limits(&mut self, outcome: &Outcome, ended: &EndedAttempt) {
        let now = self.now_ms;
        let completed = outcome.ending == Ending::Completed;
        let rejected_by_source =
            outcome.ending == Ending::Saturated && outcome.elapsed_ms >= LOCAL_REJECTION_MS;
        let accepted_by_source = !ended.hit && completed && ended.kind != AttemptKind::Write;
        if rejected_by_source || accepted_by_source {
            self.source_throttle.record_end(now, !rejected_by_source);
        }
        let late_or_rejected = match outcome.ending {
            _ if ended.slow_node => false,
            Ending::Completed => !ended.in_time,
            // A lost connection or an error is the cache's or one connection's: it tells nothing of links and sources.
            Ending::Saturated => rejected_by_source,
            _ => ended.timed_out_late,
        };
        if ended.kind == AttemptKind::Fill {
            let routers = f64::from(self.settings.near_routers());
            let crowded = late_or_rejected && !ended.was_late;
            self.fill_limiter.record_end(now, routers, crowded, completed && !late_or_rejected);
        }
    }

    /// The target's load report, and whether anything was received from it.
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

    /// Waits for the request's other attempts, or dispatches it again within the retry budget, or answers it.
    fn retry_or_reject(
        &mut self,
        req: PendingRequest,
        outcome: &Outcome,
        kind: AttemptKind,
        out: &mut Vec<Action>,
    ) {
        // A lookup that found nothing cost nobody anything, nor did what was never sent.
        let lookup_missed = kind == AttemptKind::LookupOnly && outcome.ending == Ending::LookupMiss;
        let free = outcome.ending.never_sent() || lookup_missed;
        let cost = f64::from(u8::from(!free));
        let errors = req.attempts.iter().filter(|a| a.ending == Some(Ending::Errored)).count();
        let reason = match outcome.ending {
            // The node knew first that its client has disconnected or its time is over: so will the next.
            Ending::Superseded => Some(RejectReason::Superseded),
            _ if self.retry_budget < cost => Some(RejectReason::RetryBudget),
            // Two nodes found an error in it: it is the request's own, and would be the next one's too.
            _ if errors > 1 => Some(RejectReason::Errors),
            _ => None,
        };
        if req.is_open() {
            self.requests.insert(outcome.id, req);
        } else if !req.finished {
            match reason {
                Some(reason) => self.reject(req, reason, out),
                None => {
                    self.retry_budget -= cost;
                    self.dispatch(req, out);
                }
            }
        }
    }
}
