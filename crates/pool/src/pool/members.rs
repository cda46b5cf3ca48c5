//! A pool's members: their specification, health and capacity, and the endpoints that are published of them.

use super::{micros, MemberState, Pool};
use crate::health::{AttemptOutcome, Health, Recovery};
use crate::message::{Action, Endpoint, Notified, Phase};
use crate::select::{select_endpoints, MemberStatus};
use crate::spec::{MemberSpec, Spec};
use fernslip_site::State;
use std::collections::HashMap;
use std::sync::Arc;

/// Fraction of a member's in-flight limit: a member at capacity serves again only when this much is free, so that it
/// does not flap between serving and draining with each request (hysteresis).
const CAPACITY_HYSTERESIS_FRACTION: f64 = 0.1;
/// A half-open probe waits up to this fraction longer than its backoff, by member and front (jitter).
const PROBE_JITTER_FRACTION: f64 = 0.25;

impl Pool {
    /// Replaces the specification; members that stay keep what traffic showed of them.
    pub(super) fn apply_spec(&mut self, spec: Spec, actions: &mut Vec<Action>) {
        let old_members = std::mem::take(&mut self.spec.members);
        let mut old: HashMap<Arc<str>, (State, MemberState)> = old_members
            .into_iter()
            .zip(std::mem::take(&mut self.members))
            .map(|(spec, member)| (spec.id, (spec.state, member)))
            .collect();
        for member_spec in &spec.members {
            let in_flight = self.departed_in_flight.remove(&member_spec.id);
            let member = match old.remove(&member_spec.id) {
                Some((old_state, member)) => self.retained_member(member, old_state, member_spec.state),
                None => self.new_member(in_flight.unwrap_or(0)),
            };
            self.members.push(member);
        }
        self.remove_departed(old, actions);
        self.by_id = spec.members.iter().enumerate().map(|(i, m)| (m.id.clone(), i)).collect();
        self.retry_tokens = self.retry_tokens.min(spec.retry_burst);
        self.spec = spec;
        self.probes_due = self
            .members
            .iter()
            .enumerate()
            .filter_map(|(i, m)| Some((micros(m.health.probe_due_ms()?), i)))
            .collect();
        for i in 0..self.members.len() {
            self.update_at_capacity(i);
        }
        self.endpoints_changed = true;
    }

    /// A member that stays in the pool. Out of service it may have been restarted: it counts as just started. The
    /// other way round would let all fronts at a cold cache node at once.
    fn retained_member(&self, mut member: MemberState, old_state: State, state: State) -> MemberState {
        if old_state == State::Stopped && state != State::Stopped {
            member.started_ms = self.now_ms;
            member.health = Health::HEALTHY;
        }
        member
    }

    fn new_member(&self, in_flight: u64) -> MemberState {
        // One that joins a pool in service may have been started for it; an endpoint list would report its start.
        let just_started = self.started && self.default_notified == Notified::Up;
        MemberState {
            health: Health::HEALTHY,
            notified: self.default_notified,
            started_ms: if just_started { self.now_ms } else { 0.0 },
            in_flight,
            at_capacity: false,
            published: None,
        }
    }

    /// Publishes the members that are no longer in the pool as out of service, and keeps count of what they still
    /// have in flight.
    fn remove_departed(
        &mut self,
        departed: HashMap<Arc<str>, (State, MemberState)>,
        actions: &mut Vec<Action>,
    ) {
        let mut endpoints = Vec::new();
        for (id, (_, member)) in departed {
            if member.in_flight > 0 {
                self.departed_in_flight.insert(id.clone(), member.in_flight);
            }
            if let Some(published) = member.published.filter(|e| e.phase != Phase::OutOfService) {
                endpoints.push(Endpoint { phase: Phase::OutOfService, ..published });
            }
        }
        if !endpoints.is_empty() {
            endpoints.sort_by(|a, b| a.id.cmp(&b.id));
            actions.push(Action::Endpoints(endpoints));
        }
    }

    /// The endpoint list reports a member.
    pub(super) fn on_notified(&mut self, id: &str, notified: Notified, started_ms: f64) {
        let Some(&i) = self.by_id.get(id) else { return };
        let m = &mut self.members[i];
        if notified == Notified::Up && (started_ms > m.started_ms || m.notified == Notified::Removed) {
            m.started_ms = m.started_ms.max(started_ms);
            m.health = Health::HEALTHY;
            self.probes_due.retain(|d| d.1 != i);
        }
        self.members[i].notified = notified;
        self.endpoints_changed = true;
    }

    /// Ejected members whose backoff is over become half-open.
    pub(super) fn start_due_probes(&mut self) {
        while let Some(&(due_us, i)) = self.probes_due.first().filter(|d| d.0 <= micros(self.now_ms)) {
            self.probes_due.remove(&(due_us, i));
            self.members[i].health.tick(self.now_ms.max(due_us as f64 / 1000.0 + 0.001));
            self.endpoints_changed = true;
        }
    }

    /// Recalculates whether a member is at capacity, with hysteresis.
    fn update_at_capacity(&mut self, i: usize) {
        let limit = self.spec.members[i].in_flight;
        let m = &mut self.members[i];
        let was_at_capacity = m.at_capacity;
        m.at_capacity = match limit {
            None => false,
            Some(limit) if m.in_flight >= limit => true,
            Some(limit) => {
                let free = limit - m.in_flight;
                was_at_capacity && (free as f64) < (limit as f64 * CAPACITY_HYSTERESIS_FRACTION).max(1.0)
            }
        };
        self.endpoints_changed |= m.at_capacity != was_at_capacity;
    }

    /// A serving member's capacity changed by `change` requests.
    fn adjust_serving_capacity(&mut self, i: usize, change: i64) {
        let serving = self.members[i].published.as_ref().is_some_and(|e| e.phase == Phase::Serving);
        if let (true, Some(_), Some(capacity)) =
            (serving, self.spec.members[i].in_flight, &mut self.serving_capacity)
        {
            *capacity = capacity.saturating_add_signed(change);
        }
    }

    /// An attempt was sent to a member.
    pub(super) fn on_attempt_sent(&mut self, request: u64, id: &str) {
        self.count_attempt(request);
        let Some(&i) = self.by_id.get(id) else {
            // It departed between the decision and the send.
            *self.departed_in_flight.entry(id.into()).or_default() += 1;
            return;
        };
        let m = &mut self.members[i];
        m.in_flight += 1;
        let before = m.health;
        m.health.on_sent(request);
        self.endpoints_changed |= m.health != before;
        self.update_at_capacity(i);
        self.adjust_serving_capacity(i, -1);
    }

    /// An attempt at a member ended.
    pub(super) fn on_attempt_ended(&mut self, request: u64, id: &str, outcome: AttemptOutcome) {
        let Some(&i) = self.by_id.get(id) else {
            if let Some(in_flight) = self.departed_in_flight.get_mut(id) {
                *in_flight -= 1;
                if *in_flight == 0 {
                    self.departed_in_flight.remove(id);
                }
            }
            return;
        };
        let jitter = self.probe_jitter(id);
        let m = &mut self.members[i];
        m.in_flight = m.in_flight.saturating_sub(1);
        let before = m.health;
        let recovery = m.health.on_ended(self.now_ms, request, outcome, &self.spec, jitter);
        if recovery == Some(Recovery::JustStarted) {
            m.started_ms = self.now_ms;
        }
        self.counts.recoveries += u64::from(recovery.is_some());
        if m.health != before {
            self.counts.ejections += u64::from(before.is_healthy() && !m.health.is_healthy());
            if let Some(due_ms) = m.health.probe_due_ms() {
                self.probes_due.insert((micros(due_ms), i));
            }
            self.endpoints_changed = true;
        }
        self.update_at_capacity(i);
        self.adjust_serving_capacity(i, 1);
    }

    /// The factor on a member's backoff, by member and front: from 1 to 1 + [`PROBE_JITTER_FRACTION`].
    fn probe_jitter(&self, id: &str) -> f64 {
        // FNV-1a: any hash will do, but it must not change from run to run.
        let hash = id
            .bytes()
            .chain(self.seed.to_le_bytes())
            .fold(0xcbf2_9ce4_8422_2325u64, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3));
        1.0 + PROBE_JITTER_FRACTION * (hash >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Publishes the endpoints whose phase, weight or start time changed.
    pub(super) fn publish_endpoints(&mut self, actions: &mut Vec<Action>) {
        if !std::mem::take(&mut self.endpoints_changed) {
            return;
        }
        let status: Vec<MemberStatus> = self.members.iter().map(MemberState::status).collect();
        let selected = select_endpoints(&self.spec.members, &status);
        let mut changed = Vec::new();
        self.serving_count = 0;
        self.serving_capacity = Some(0);
        for ((spec, member), selected) in self.spec.members.iter().zip(&mut self.members).zip(selected) {
            let phase = member.phase(spec, selected);
            if phase == Phase::Serving {
                self.serving_count += 1;
                let free = spec.in_flight.map(|limit| limit.saturating_sub(member.in_flight));
                self.serving_capacity =
                    self.serving_capacity.zip(free).map(|(capacity, free)| capacity.saturating_add(free));
            }
            let endpoint =
                Endpoint { id: spec.id.clone(), phase, weight: spec.weight, started_ms: member.started_ms };
            if member.published.as_ref() != Some(&endpoint) {
                changed.push(endpoint.clone());
                member.published = Some(endpoint);
            }
        }
        if !changed.is_empty() {
            actions.push(Action::Endpoints(changed));
        }
    }
}

impl MemberState {
    fn status(&self) -> MemberStatus {
        MemberStatus {
            listed: self.notified == Notified::Up,
            healthy: self.health.is_healthy(),
            probe_due: !self.health.is_healthy() && self.health.accepts_requests(),
        }
    }

    /// Its phase for the decision module, given whether it was selected.
    fn phase(&self, spec: &MemberSpec, selected: bool) -> Phase {
        match (spec.state, self.notified) {
            (State::Stopped, _) | (_, Notified::Removed) => Phase::OutOfService,
            _ if selected && !self.at_capacity => Phase::Serving,
            _ => Phase::Draining,
        }
    }
}
