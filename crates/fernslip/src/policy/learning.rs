//! What the end of an attempt tells of its target and its source: the keys that their filters show, the evidence on
//! their health, and which of the two its request avoids from then on.

use super::Router;
use super::{LOCAL_REJECTION_MS, SILENCE_BLAME};
use crate::api::*;
use crate::state::{AttemptKind, PendingRequest, Role};

/// How an answer came about or why not, as [`Outcome::detail`] gives it.
mod detail {
    /// It was filled from the source, or joined such a fill.
    pub const FILLED: std::ops::RangeInclusive<u8> = 2..=3;
    /// The source failed or was not reached.
    pub const SOURCE_FAILED: std::ops::RangeInclusive<u8> = 6..=7;
    /// Nobody's fault: a limit was met on the way.
    pub const NO_FAULT: std::ops::RangeInclusive<u8> = 8..=10;
}

/// How much of a failure each node of an attempt is blamed for: 0 none, 1 a failure of its own, above 1 a sure one.
#[derive(Clone, Copy)]
struct Blame {
    target: f64,
    source: f64,
}

impl Blame {
    const NOBODY: Blame = Blame { target: 0.0, source: 0.0 };
    const SOURCE: Blame = Blame { target: 0.0, source: 1.0 };

    const fn target(target: f64) -> Blame {
        Blame { target, source: 0.0 }
    }
}

/// The nodes of an ended attempt.
struct Route<'a> {
    target: &'a CacheId,
    source: &'a CacheId,
    sent_ms: f64,
    /// The target's filter showed the key.
    hit_expected: bool,
    /// The target is far slower than its peers.
    target_slow: bool,
}

impl Router {
    /// Feeds filters and health from an outcome.
    pub(super) fn learn_from(
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
                self.record_change(&target, |f| f.remove(req.key));
                if self.is_sibling(&route) {
                    self.record_change(&source, |f| f.remove(req.key));
                    req.excluded.insert(source.clone());
                }
            }
            // One that answers now and then is not well again with one answer.
            Ending::Cancelled if cancelled_for_silence => self.record_evidence(&target, SILENCE_BLAME, out),
            Ending::Superseded | Ending::Retracted | Ending::Cancelled => {}
            _ => self.learn_from_failure(req, outcome, &route, out),
        }
    }

    /// Whether the source is another cache node of the location.
    fn is_sibling(&self, route: &Route) -> bool {
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
        // What joined a fill came over its source's link with that fill.
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
            self.record_change(route.target, |f| f.add(req.key));
        }
    }

    fn learn_from_failure(
        &mut self,
        req: &mut PendingRequest,
        outcome: &Outcome,
        route: &Route,
        out: &mut Vec<Action>,
    ) {
        let sibling = self.is_sibling(route);
        let reason_given = self.settings.notes == NoteLevel::All && outcome.detail != 0;
        let blame = self.blame(req, outcome, route);
        for (id, strength) in [(route.target, blame.target), (route.source, blame.source)] {
            if strength > 0.0 {
                self.record_evidence(id, strength, out);
            }
        }
        if sibling {
            self.record_change(route.source, |f| f.remove(req.key));
        }
        // A source that rejected it would do so again, to all fronts at once: another source is used.
        let rejected = outcome.ending == Ending::Saturated && !reason_given && blame.target == 0.0;
        let source_at_fault = match reason_given {
            true => blame.target == 0.0,
            false => blame.source > blame.target,
        };
        if sibling || rejected || source_at_fault {
            req.excluded.insert(route.source.clone());
        }
        // After a lost connection the same cache is attempted once more: if its process died, the connection is refused.
        let target_at_fault = blame.target > 0.0 && blame.target >= blame.source;
        if target_at_fault && (outcome.ending != Ending::ConnectionLost || req.attempts.len() > 1) {
            req.excluded.insert(route.target.clone());
        }
    }

    /// Who is to blame for a failed attempt.
    fn blame(&self, req: &PendingRequest, outcome: &Outcome, route: &Route) -> Blame {
        // A time-out counts only against a node that has answered nothing since: a slow one is crowded, and
        // ejecting it would crowd the rest and move its homes.
        let quiet = |id: &CacheId| self.nodes.get(id).is_some_and(|node| node.last_seen < route.sent_ms);
        let timed_out = outcome.ending == Ending::TimedOut;
        let others_explain = || route.hit_expected || route.target_slow || !quiet(route.source);
        let all_notes = self.settings.notes == NoteLevel::All;
        match (outcome.ending, outcome.detail) {
            (Ending::Saturated, 0) if outcome.elapsed_ms < LOCAL_REJECTION_MS => Blame::target(1.0),
            (Ending::Saturated, 0) => Blame::NOBODY,
            (_, detail) if detail::NO_FAULT.contains(&detail) => Blame::NOBODY,
            _ if timed_out && outcome.elapsed_ms <= req.objective_ms => Blame::NOBODY,
            _ if timed_out && !quiet(route.target) && others_explain() => Blame::NOBODY,
            _ if timed_out && !quiet(route.target) => Blame::SOURCE,
            (_, detail) if detail::SOURCE_FAILED.contains(&detail) => Blame::SOURCE,
            (Ending::ConnectionRefused, _) => Blame::target(1.5),
            (Ending::ConnectionLost, _) => Blame::target(1.0),
            _ if route.source == route.target || route.hit_expected || all_notes => Blame::target(1.0),
            _ => self.blame_by_history(route),
        }
    }

    /// Where no reason is given, blame goes by who has been failing with others.
    fn blame_by_history(&self, route: &Route) -> Blame {
        let suspicion = |id: &CacheId| self.nodes.get(id).map_or(0.0, |node| node.failure_rate) + 0.05;
        let target = suspicion(route.target) / (suspicion(route.target) + suspicion(route.source));
        Blame { target, source: 1.0 - target }
    }
}
