//! Placement: the home of a request among the location's cache nodes, in hash order, and who may serve it.

use super::Router;
use super::{LATE_MARGIN, MIN_ATTEMPT_MS, SPILL_GAIN};
use crate::api::*;
use crate::rendezvous::{key_number, mix, score};
use crate::state::{AttemptKind, Node, PendingRequest, Plan, RejectReason, Role};

type Candidate<'a> = (&'a CacheId, &'a Node);

impl Router {
    /// The next attempt of a request, or why there is none.
    pub(super) fn plan_attempt(&self, req: &PendingRequest) -> Result<Plan, RejectReason> {
        let remaining_ms = self.remaining_ms(req);
        if req.attempts.len() >= self.settings.max_attempts as usize || remaining_ms < MIN_ATTEMPT_MS {
            return Err(RejectReason::Exhausted);
        }
        let ranked = self.ranked_caches(req);
        let home = self.home(req, &ranked, remaining_ms)?;
        let parent = self.source(req, Role::Parent);
        let origin = self.source(req, Role::Origin);
        let late = |id: &CacheId| self.is_late(&self.nodes[id], req);
        let parent = parent.filter(|id| !late(id) || origin.is_none_or(late));
        if self.settings.classes[req.request.class].write {
            return Self::plan_write(req, home.0, parent, origin);
        }
        let draw = mix(req.request.id.0 ^ self.seed ^ req.attempts.len() as u64);
        let throttled = self.source_throttle.should_throttle(self.now_ms, draw);
        let source = parent.or(origin);
        if home.1.filter.contains(req.key) {
            return Ok(self.plan_expected_hit(req, home.0, source, throttled));
        }
        self.plan_fill(req, home.0, &ranked, source, throttled)
    }

    /// The location's cache nodes in service, in the key's hash order. A node's weight grows while it warms up: it
    /// takes only its part.
    fn ranked_caches(&self, req: &PendingRequest) -> Vec<Candidate<'_>> {
        let key = key_number(req.key);
        let weight = |node: &Node| self.effective_weight(node) * (1.0 - node.peer_suspicion.max(0.0));
        let in_service =
            self.nodes.iter().filter(|(_, node)| node.role == Role::Edge && node.phase == Phase::In);
        let mut scored: Vec<_> = in_service.map(|c| (score(c.1.tag, key, weight(c.1)), c)).collect();
        scored.sort_by(|a, b| b.0.total_cmp(&a.0));
        scored.into_iter().map(|(_, candidate)| candidate).collect()
    }

    /// The cache node that is to serve a request: the first in hash order, or where it would be late the next that
    /// would not be.
    ///
    /// Links are shared evenly, so a request takes its sending time times the load. With no node in time the
    /// request is rejected at once, the large first. Guards against hot objects, bursts, lost caches. Harm: second
    /// copies; what a late answer still earns. Nothing is faster than its sending time: what cannot end while
    /// the client waits only fills the links.
    fn home<'a>(
        &self,
        req: &PendingRequest,
        ranked: &[Candidate<'a>],
        remaining_ms: f64,
    ) -> Result<Candidate<'a>, RejectReason> {
        let allowed = ranked.iter().copied().filter(|(_, node)| self.may_attempt_at(req, node));
        let mut candidates: Vec<_> =
            allowed.clone().filter(|(id, node)| self.is_usable(id, node, req)).collect();
        if candidates.is_empty() {
            candidates = allowed.filter(|(_, node)| self.has_slow_start_capacity(node, req)).collect();
        }
        let &first = candidates.first().ok_or(RejectReason::NoTarget)?;
        let objective_ms = req.objective_ms.min(remaining_ms);
        let pace_alone = |node: &Node| match self.speed_factor(node) < 1.0 {
            true => node.pace_at(self.now_ms),
            false => 1.0,
        };
        let pace_loaded = |node: &Node| match node.link.bandwidth.saturated {
            true => self.load(node) * LATE_MARGIN,
            false => 0.0,
        };
        let in_time = |node: &Node| req.work_ms * pace_loaded(node).max(pace_alone(node)) <= objective_ms;
        if in_time(first.1) {
            return Ok(first);
        }
        let spill_gains =
            |node: &Node| self.is_slow(first.1) || self.load(node) < SPILL_GAIN * self.load(first.1);
        let spill = candidates[1..].iter().find(|(_, node)| in_time(node) && spill_gains(node));
        spill.copied().ok_or(RejectReason::CachesCrowded)
    }

    /// A write runs at the origin; a retry goes through a parent, and the next to the origin again.
    fn plan_write(
        req: &PendingRequest,
        home: &CacheId,
        parent: Option<&CacheId>,
        origin: Option<&CacheId>,
    ) -> Result<Plan, RejectReason> {
        let source = match req.attempts.len() % 2 {
            0 => origin.or(parent),
            _ => parent.or(origin),
        };
        let source = source.ok_or(RejectReason::NoSource)?;
        Ok(Plan { target: home.clone(), source: source.clone(), kind: AttemptKind::Write })
    }

    /// The home's filter shows the key. Where sources reject fills, a copy past its fresh time is better than none.
    fn plan_expected_hit(
        &self,
        req: &PendingRequest,
        home: &CacheId,
        source: Option<&CacheId>,
        throttled: bool,
    ) -> Plan {
        let class = &self.settings.classes[req.request.class];
        let rejected = req.attempts.last().is_some_and(|a| a.ending == Some(Ending::Saturated));
        if throttled || rejected && class.grace_ms > 0.0 {
            return Plan { target: home.clone(), source: home.clone(), kind: AttemptKind::LookupOnly };
        }
        let source = source.unwrap_or(home);
        Plan { target: home.clone(), source: source.clone(), kind: AttemptKind::ExpectedHit }
    }

    /// The home lacks the key: it is filled from a sibling that has it, else from a parent or the origin.
    ///
    /// Without capacity for another fill, a miss is rejected at once: it would only occupy a slot at the cache that
    /// what is cached there needs. Guards against a slow origin, crowded links, flushes and scans.
    fn plan_fill(
        &self,
        req: &PendingRequest,
        home: &CacheId,
        ranked: &[Candidate],
        source: Option<&CacheId>,
        throttled: bool,
    ) -> Result<Plan, RejectReason> {
        let has_copy = |id: &CacheId, node: &Node| {
            id != home
                && node.filter.contains(req.key)
                && self.is_usable(id, node, req)
                && !self.is_slow(node)
        };
        let siblings_allowed = self.settings.neighbours != Neighbours::None;
        let sibling = ranked.iter().find(|(id, node)| siblings_allowed && has_copy(id, node));
        let sibling = sibling.map(|(id, _)| *id);
        let source = sibling.or(source).ok_or(RejectReason::NoSource)?;
        if sibling.is_none() {
            if self.fill_limiter.is_full(self.now_ms, f64::from(self.settings.near_routers())) {
                return Err(RejectReason::FillLimit);
            }
            if throttled {
                return Err(RejectReason::SourcesReject);
            }
        }
        Ok(Plan { target: home.clone(), source: source.clone(), kind: AttemptKind::Fill })
    }

    /// Whether a node may be used for this request, as target or source.
    pub(super) fn is_usable(&self, id: &CacheId, node: &Node, req: &PendingRequest) -> bool {
        let out_of_use = node.ejected || node.is_silent(self.now_ms);
        let usable = !out_of_use || self.now_ms >= node.next_probe_ms;
        usable && !req.excluded.contains(id) && self.has_slow_start_capacity(node, req)
    }
}
