//! The members of a pool: their specification, health and capacity, and the endpoints published for them.

use super::{to_micros, MemberState, Pool};
use crate::health::{AttemptOutcome, Health, Recovery};
use crate::message::{Action, Endpoint, ListedState, Phase};
use crate::select::{select_endpoints, MemberStatus};
use crate::spec::{MemberSpec, PoolSpec};
use fernslip_site::State;
use std::collections::HashMap;
use std::sync::Arc;

/// The fraction of its in-flight limit that a member at capacity must have free before it serves again
/// (hysteresis), so that it does not flap between serving and draining with each request.
const CAPACITY_HYSTERESIS_FRACTION: f64 = 0.1;
/// The fraction by which the wait for a half-open probe may exceed its backoff; it varies by member and front
/// (jitter).
const MAX_PROBE_JITTER_FRACTION: f64 = 0.25;

impl Pool {
    /// Replaces the specification; members that stay in the pool retain their health, counts and start time.
    pub(super) fn apply_spec(&mut self, spec: PoolSpec, actions: &mut Vec<Action>) {
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
        self.remove_departed_members(old, actions);
        self.by_id = spec.members.iter().enumerate().map(|(i, m)| (m.id.clone(), i)).collect();
        self.retry_tokens = self.retry_tokens.min(spec.retry_burst);
        self.spec = spec;
        self.probes_due = self
            .members
            .iter()
            .enumerate()
            .filter_map(|(i, m)| Some((to_micros(m.health.probe_due_ms()?), i)))
            .collect();
        for i in 0..self.members.len() {
            self.update_at_capacity(i);
        }
        self.endpoints_changed = true;
    }

    /// The state of a member that stays in the pool. A stopped member may have been restarted, so it counts
    /// as just started when it returns; otherwise all fronts would send to an empty cache node at full rate
    /// at once.
    fn retained_member(&self, mut member: MemberState, old_state: State, state: State) -> MemberState {
        if old_state == State::Stopped && state != State::Stopped {
            member.started_ms = self.now_ms;
            member.health = Health::HEALTHY;
        }
        member
    }

    /// The state of a member that joins the pool with `in_flight` attempts from an earlier membership.
    fn new_member(&self, in_flight: u64) -> MemberState {
        // A member that joins a pool in service may have been started for that purpose. Where there is an
        // endpoint list, it reports the start time instead.
        let just_started = self.in_service && self.default_listed_state == ListedState::Up;
        MemberState {
            health: Health::HEALTHY,
            listed_state: self.default_listed_state,
            started_ms: if just_started { self.now_ms } else { 0.0 },
            in_flight,
            at_capacity: false,
            published: None,
        }
    }

    /// Publishes members that are no longer in the pool as out of service, and continues to count their
    /// attempts in flight.
    fn remove_departed_members(
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

    /// Handles a report of the endpoint list about a member.
    pub(super) fn on_endpoint_reported(&mut self, id: &str, listed_state: ListedState, started_ms: f64) {
        let Some(&i) = self.by_id.get(id) else { return };
        let m = &mut self.members[i];
        if listed_state == ListedState::Up
            && (started_ms > m.started_ms || m.listed_state == ListedState::Removed)
        {
            m.started_ms = m.started_ms.max(started_ms);
            m.health = Health::HEALTHY;
            self.probes_due.retain(|d| d.1 != i);
        }
        self.members[i].listed_state = listed_state;
        self.endpoints_changed = true;
    }

    /// Makes ejected members half-open whose backoff is over.
    pub(super) fn half_open_due_members(&mut self) {
        while let Some(&(due_us, i)) = self.probes_due.first().filter(|d| d.0 <= to_micros(self.now_ms)) {
            self.probes_due.remove(&(due_us, i));
            self.members[i].health.half_open_if_due(self.now_ms.max(due_us as f64 / 1000.0 + 0.001));
            self.endpoints_changed = true;
        }
    }

    /// Recalculates whether the member of index `i` is at capacity, with hysteresis.
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

    /// Changes the serving capacity by `change` requests if the member of index `i` is serving and has a
    /// limit.
    fn adjust_serving_capacity(&mut self, i: usize, change: i64) {
        let serving = self.members[i].published.as_ref().is_some_and(|e| e.phase == Phase::Serving);
        if let (true, Some(_), Some(capacity)) =
            (serving, self.spec.members[i].in_flight, &mut self.serving_capacity)
        {
            *capacity = capacity.saturating_add_signed(change);
        }
    }

    /// Records that an attempt of a request was sent to a member.
    pub(super) fn on_attempt_sent(&mut self, request: u64, id: &str) {
        self.count_attempt(request);
        let Some(&i) = self.by_id.get(id) else {
            // The member was removed from the pool between the decision and the send.
            *self.departed_in_flight.entry(id.into()).or_default() += 1;
            return;
        };
        let m = &mut self.members[i];
        m.in_flight += 1;
        let before = m.health;
        m.health.on_attempt_sent(request);
        self.endpoints_changed |= m.health != before;
        self.update_at_capacity(i);
        self.adjust_serving_capacity(i, -1);
    }

    /// Records that an attempt of a request at a member ended.
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
        let recovery = m.health.on_attempt_ended(self.now_ms, request, outcome, &self.spec, jitter);
        if recovery == Some(Recovery::JustStarted) {
            m.started_ms = self.now_ms;
        }
        self.counts.recoveries += u64::from(recovery.is_some());
        if m.health != before {
            self.counts.ejections += u64::from(before.is_healthy() && !m.health.is_healthy());
            if let Some(due_ms) = m.health.probe_due_ms() {
                self.probes_due.insert((to_micros(due_ms), i));
            }
            self.endpoints_changed = true;
        }
        self.update_at_capacity(i);
        self.adjust_serving_capacity(i, 1);
    }

    /// The factor applied to a member's backoff, from 1 to 1 + [`MAX_PROBE_JITTER_FRACTION`]; it depends on
    /// the member's id and the front's seed.
    fn probe_jitter(&self, id: &str) -> f64 {
        // FNV-1a. Any hash would do that gives the same value in every run.
        let hash = id
            .bytes()
            .chain(self.seed.to_le_bytes())
            .fold(0xcbf2_9ce4_8422_2325u64, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3));
        1.0 + MAX_PROBE_JITTER_FRACTION * (hash >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Publishes the endpoints whose phase, weight or start time changed.
    pub(super) fn publish_endpoints(&mut self, actions: &mut Vec<Action>) {
        if !std::mem::take(&mut self.endpoints_changed) {
            return;
        }
        let status: Vec<MemberStatus> = self.members.iter().map(MemberState::selection_status).collect();
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
    fn selection_status(&self) -> MemberStatus {
        MemberStatus {
            listed: self.listed_state == ListedState::Up,
            healthy: self.health.is_healthy(),
            probe_due: !self.health.is_healthy() && self.health.accepts_requests(),
        }
    }

    /// The phase to publish for the member, given whether it was selected.
    fn phase(&self, spec: &MemberSpec, selected: bool) -> Phase {
        match (spec.state, self.listed_state) {
            (State::Stopped, _) | (_, ListedState::Removed) => Phase::OutOfService,
            _ if selected && !self.at_capacity => Phase::Serving,
            _ => Phase::Draining,
        }
    }
}
