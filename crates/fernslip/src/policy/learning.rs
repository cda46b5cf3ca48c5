//! Learning from the end of an attempt: updates the filters of its target and source, records evidence on
//! their health, and excludes those at fault from further attempts of the request.

use super::Router;
use super::{MAX_LOCAL_REJECTION_MS, SILENCE_BLAME};
use crate::api::*;
use crate::state::{AttemptKind, PendingRequest, Role};

/// Values of [`Outcome::detail`], the code that tells how an attempt was answered or why it failed.
mod detail {
    /// Detail codes of answers that were filled from the source (2) or joined such a fill (3).
    pub const FILLED: std::ops::RangeInclusive<u8> = 2..=3;
    /// Detail codes of attempts whose source failed or could not be reached.
    pub const SOURCE_FAILED: std::ops::RangeInclusive<u8> = 6..=7;
    /// Detail codes of attempts that met a limit, for which no node is to blame.
    pub const NO_FAULT: std::ops::RangeInclusive<u8> = 8..=10;
}

/// Blame of each node for a failed attempt: 0 for none, 1 for one failure, above 1 for a failure that is
/// certainly its own.
#[derive(Clone, Copy)]
struct Blame {
    target: f64,
    source: f64,
}

impl Blame {
    const NONE: Blame = Blame { target: 0.0, source: 0.0 };
    const SOURCE_ONLY: Blame = Blame { target: 0.0, source: 1.0 };

    const fn target_only(target: f64) -> Blame {
        Blame { target, source: 0.0 }
    }
}

/// Nodes of an ended attempt, with the facts needed to assign blame.
struct Route<'a> {
    target: &'a CacheId,
    source: &'a CacheId,
    sent_ms: f64,
    /// Whether the target's filter contained the key.
    hit_expected: bool,
    /// Whether the target is far slower than its peers.
    target_slow: bool,
}

impl Router {
    /// Updates filters and health from the outcome of an attempt.
    pub(super) fn learn_from_outcome(
        &mut self,
        req: &mut PendingRequest,
        outcome: &Outcome,
        target_slow: bool,
        out: &mut Vec<Action>,
    ) {
        let attempt = &req.attempts[outcome.attempt as usize];
        let (target, source) = (attempt.cache.clone(), attempt.source.clone());
        let cancelled_for_silence = attempt.cancelled;
        let route = Route {
            target: &target,
            source: &source,
            sent_ms: attempt.sent,
            hit_expected: attempt.kind == AttemptKind::ExpectedHit,
            target_slow,
        };
        match outcome.ending {
            Ending::Completed => self.learn_from_answer(req, outcome, &route, out),
            Ending::LookupMiss => {
                self.update_filter(&target, |f| f.remove(req.key));
                if self.source_is_sibling(&route) {
                    self.update_filter(&source, |f| f.remove(req.key));
                    req.excluded.insert(source.clone());
                }
            }
            // The blame for silence is large enough that a node which answers only occasionally is not
            // readmitted after a single answer.
            Ending::Cancelled if cancelled_for_silence => self.record_evidence(&target, SILENCE_BLAME, out),
            Ending::Superseded | Ending::Retracted | Ending::Cancelled => {}
            _ => self.learn_from_failure(req, outcome, &route, out),
        }
    }

    /// Whether the source is another cache node of the location.
    fn source_is_sibling(&self, route: &Route) -> bool {
        let is_edge = |id: &CacheId| self.nodes.get(id).is_some_and(|node| node.role == Role::Edge);
        route.source != route.target && is_edge(route.source)
    }

    fn learn_from_answer(
        &mut self,
        req: &PendingRequest,
        outcome: &Outcome,
        route: &Route,
        out: &mut Vec<Action>,
    ) {
        let now = self.now_ms;
        let said_filled = detail::FILLED.contains(&outcome.detail);
        self.record_evidence(route.target, 0.0, out);
        // The data of a fill came over the source's link too, even for a request that joined the fill.
        let filled_from = Some(route.source).filter(|_| said_filled);
        for id in [Some(route.target), filled_from].into_iter().flatten() {
            let node = self.nodes.get_mut(id).filter(|node| route.sent_ms >= node.started_ms);
            if let Some(node) = node {
                node.link.delivery.record(now, req.work_ms, outcome.elapsed_ms);
            }
        }
        let filled = said_filled || (outcome.detail == 0 && !route.hit_expected);
        if filled && route.source != route.target {
            self.record_evidence(route.source, 0.0, out);
            self.nodes.entry(route.source.clone()).and_modify(|node| node.last_seen = now);
        }
        if !self.settings.classes[req.request.class].write {
            self.update_filter(route.target, |f| f.add(req.key));
        }
    }

    fn learn_from_failure(
        &mut self,
        req: &mut PendingRequest,
        outcome: &Outcome,
        route: &Route,
        out: &mut Vec<Action>,
    ) {
        let sibling = self.source_is_sibling(route);
        let reason_given = self.settings.detail_level == DetailLevel::All && outcome.detail != 0;
        let blame = self.assign_blame(req, outcome, route);
        for (id, strength) in [(route.target, blame.target), (route.source, blame.source)] {
            if strength > 0.0 {
                self.record_evidence(id, strength, out);
            }
        }
        if sibling {
            self.update_filter(route.source, |f| f.remove(req.key));
        }
        // A source that rejected a fill is not used again for this request: it rejects the fills of all
        // fronts and would reject a repeat too.
        let rejected = outcome.ending == Ending::Saturated && !reason_given && blame.target == 0.0;
        let source_at_fault = match reason_given {
            true => blame.target == 0.0,
            false => blame.source > blame.target,
        };
        if sibling || rejected || source_at_fault {
            req.excluded.insert(route.source.clone());
        }
        // After a lost connection the first retry may go to the same cache node: if its process has died, the
        // new connection is refused.
        let target_at_fault = blame.target > 0.0 && blame.target >= blame.source;
        if target_at_fault && (outcome.ending != Ending::ConnectionLost || req.attempts.len() > 1) {
            req.excluded.insert(route.target.clone());
        }
    }

    /// Splits the blame for a failed attempt between its target and its source.
    fn assign_blame(&self, req: &PendingRequest, outcome: &Outcome, route: &Route) -> Blame {
        // A timeout counts only against a node that has answered nothing since the attempt was sent. A slow
        // node is usually overloaded, and ejecting it would overload the others and move its keys to them.
        let answered_nothing_since =
            |id: &CacheId| self.nodes.get(id).is_some_and(|node| node.last_seen < route.sent_ms);
        let timed_out = outcome.ending == Ending::TimedOut;
        let explained_otherwise =
            || route.hit_expected || route.target_slow || !answered_nothing_since(route.source);
        let failures_have_detail = self.settings.detail_level == DetailLevel::All;
        match (outcome.ending, outcome.detail) {
            (Ending::Saturated, 0) if outcome.elapsed_ms < MAX_LOCAL_REJECTION_MS => Blame::target_only(1.0),
            (Ending::Saturated, 0) => Blame::NONE,
            (_, detail) if detail::NO_FAULT.contains(&detail) => Blame::NONE,
            _ if timed_out && outcome.elapsed_ms <= req.objective_ms => Blame::NONE,
            _ if timed_out && !answered_nothing_since(route.target) && explained_otherwise() => Blame::NONE,
            _ if timed_out && !answered_nothing_since(route.target) => Blame::SOURCE_ONLY,
            (_, detail) if detail::SOURCE_FAILED.contains(&detail) => Blame::SOURCE_ONLY,
            (Ending::ConnectionRefused, _) => Blame::target_only(1.5),
            (Ending::ConnectionLost, _) => Blame::target_only(1.0),
            _ if route.source == route.target || route.hit_expected || failures_have_detail => {
                Blame::target_only(1.0)
            }
            _ => self.blame_by_history(route),
        }
    }

    /// Splits the blame in proportion to the nodes' failure rates, for an outcome that gives no reason.
    fn blame_by_history(&self, route: &Route) -> Blame {
        let failure_weight = |id: &CacheId| self.nodes.get(id).map_or(0.0, |node| node.failure_rate) + 0.05;
        let target =
            failure_weight(route.target) / (failure_weight(route.target) + failure_weight(route.source));
        Blame { target, source: 1.0 - target }
    }
}
