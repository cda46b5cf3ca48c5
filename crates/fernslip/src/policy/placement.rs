//! Placement of a request: the choice of its home among the location's cache nodes in hash order, and of its
//! source.

use super::Router;
use super::{LOAD_GROWTH_FACTOR, MAX_SPILL_LOAD_RATIO, MIN_ATTEMPT_MS};
use crate::api::*;
use crate::rendezvous::{key_to_u64, mix_bits, rendezvous_score};
use crate::state::{AttemptKind, Node, PendingRequest, Plan, RejectReason, Role};

type Candidate<'a> = (&'a CacheId, &'a Node);

impl Router {
    /// Plans the next attempt of a request, or returns why there is none.
    pub(super) fn plan_attempt(&self, req: &PendingRequest) -> Result<Plan, RejectReason> {
        let remaining_ms = self.remaining_ms(req);
        if req.attempts.len() >= self.settings.max_attempts as usize || remaining_ms < MIN_ATTEMPT_MS {
            return Err(RejectReason::Exhausted);
        }
        let ranked = self.ranked_caches(req);
        let home = self.choose_home(req, &ranked, remaining_ms)?;
        let parent = self.choose_source(req, Role::Parent);
        let origin = self.choose_source(req, Role::Origin);
        let late = |id: &CacheId| self.would_fill_late(&self.nodes[id], req);
        let parent = parent.filter(|id| !late(id) || origin.is_none_or(late));
        if self.settings.classes[req.request.class].write {
            return Self::plan_write(req, home.0, parent, origin);
        }
        let draw = mix_bits(req.request.id.0 ^ self.seed ^ req.attempts.len() as u64);
        let throttled = self.source_throttle.should_throttle(self.now_ms, draw);
        let source = parent.or(origin);
        if home.1.filter.contains(req.key) {
            return Ok(self.plan_expected_hit(req, home.0, source, throttled));
        }
        self.plan_fill(req, home.0, &ranked, source, throttled)
    }

    /// Cache nodes of the location that are in service, in the key's hash order. The weight of a node in slow
    /// start grows with its capacity, so it receives only its part of the keys.
    fn ranked_caches(&self, req: &PendingRequest) -> Vec<Candidate<'_>> {
        let key = key_to_u64(req.key);
        let weight = |node: &Node| self.effective_weight(node) * (1.0 - node.peer_suspicion.max(0.0));
        let in_service =
            self.nodes.iter().filter(|(_, node)| node.role == Role::Edge && node.phase == Phase::In);
        let mut scored: Vec<_> =
            in_service.map(|c| (rendezvous_score(c.1.tag, key, weight(c.1)), c)).collect();
        scored.sort_by(|a, b| b.0.total_cmp(&a.0));
        scored.into_iter().map(|(_, candidate)| candidate).collect()
    }

    /// Chooses the cache node that is to serve a request: the first in hash order, or, if that one would be
    /// late, the next that would be in time.
    ///
    /// Links are divided evenly, so the expected duration is the transfer time multiplied by the load. If no
    /// node would be in time, the request is rejected at once, because a transfer that cannot finish while
    /// the client waits would only fill the links; large requests are rejected first. This handles hot
    /// objects, bursts and lost cache nodes, at the cost of second copies and of the value of late answers.
    /// No node is faster than the transfer time.
    fn choose_home<'a>(
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
        let measured_slowdown = |node: &Node| match self.speed_factor(node) < 1.0 {
            true => node.slowdown_at(self.now_ms),
            false => 1.0,
        };
        let slowdown_by_load = |node: &Node| match node.link.bandwidth.saturated {
            true => self.load(node) * LOAD_GROWTH_FACTOR,
            false => 0.0,
        };
        let in_time =
            |node: &Node| req.work_ms * slowdown_by_load(node).max(measured_slowdown(node)) <= objective_ms;
        if in_time(first.1) {
            return Ok(first);
        }
        let spill_gains = |node: &Node| {
            self.is_slow(first.1) || self.load(node) < MAX_SPILL_LOAD_RATIO * self.load(first.1)
        };
        let spill = candidates[1..].iter().find(|(_, node)| in_time(node) && spill_gains(node));
        spill.copied().ok_or(RejectReason::CachesCrowded)
    }

    /// Plans a write, which runs at the origin. Its attempts go to the origin directly and through a parent
    /// in turn, starting with the origin.
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

    /// Plans an attempt at a home whose filter contains the key. While sources reject fills, a copy past its
    /// fresh time is accepted.
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

    /// Plans a fill for a home that lacks the key: from a sibling that has it, otherwise from a parent or the
    /// origin.
    ///
    /// If there is no capacity for another fill, a miss is rejected at once, because it would occupy a slot
    /// at the cache node that hits need. This handles a slow origin, congested links, cache flushes and
    /// scans.
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
            if self.fill_limiter.is_full(self.now_ms, f64::from(self.settings.routers_in_location())) {
                return Err(RejectReason::FillLimit);
            }
            if throttled {
                return Err(RejectReason::SourcesReject);
            }
        }
        Ok(Plan { target: home.clone(), source: source.clone(), kind: AttemptKind::Fill })
    }

    /// Whether a node may be the target or the source of this request's next attempt.
    pub(super) fn is_usable(&self, id: &CacheId, node: &Node, req: &PendingRequest) -> bool {
        let out_of_use = node.ejected || node.is_silent(self.now_ms);
        let usable = !out_of_use || self.now_ms >= node.next_probe_ms;
        usable && !req.excluded.contains(id) && self.has_slow_start_capacity(node, req)
    }
}
