//! One pool: events and the time in, actions out.

use crate::health::{AttemptOutcome, Health};
use crate::message::{Action, Counts, Endpoint, Event, Notified, Phase, RejectReason};
use crate::queue::Queue;
use crate::select::{select_endpoints, MemberStatus};
use crate::spec::Spec;
use fernslip_site::State;
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

/// Fraction of a member's in-flight limit: a member at capacity serves again only when this much is free, so that it
/// does not flap between serving and draining with each request (hysteresis).
const CAPACITY_HYSTERESIS_FRACTION: f64 = 0.1;
/// A half-open probe waits up to this fraction longer than its backoff, by member and front (jitter).
const PROBE_JITTER_FRACTION: f64 = 0.25;

#[derive(Clone, Debug)]
struct MemberState {
    health: Health,
    notified: Notified,
    started_ms: f64,
    in_flight: u64,
    /// At its limit, and not free enough since.
    at_capacity: bool,
    published: Option<Endpoint>,
}

#[derive(Clone, Debug, Default)]
struct AdmittedRequest {
    attempts: u64,
}

/// One pool's state.
#[derive(Clone, Debug)]
pub struct Pool {
    spec: Spec,
    seed: u64,
    /// What holds of a member that no notification was received for.
    default_notified: Notified,
    now: f64,
    by_id: HashMap<Arc<str>, usize>,
    /// As `spec.parts`.
    members: Vec<MemberState>,
    /// Members removed from the pool that still have attempts in flight, by id: their ends are still to come.
    removed_in_flight: HashMap<Arc<str>, u64>,
    admitted: HashMap<u64, AdmittedRequest>,
    queue: Queue,
    retries: f64,
    /// Half-open probes to come: (due time in microseconds, member index).
    probes_due: BTreeSet<(u64, usize)>,
    /// Members published as serving.
    serving_count: usize,
    /// Requests that the serving members have capacity for; `None`: one of them has no limit.
    serving_capacity: Option<u64>,
    /// Admitted requests whose first attempt has not been sent: each will take capacity.
    admitted_unsent: u64,
    counts: Counts,
    started: bool,
    dirty: bool,
}

fn micros(ms: f64) -> u64 {
    (ms.max(0.0) * 1000.0) as u64
}

impl Pool {
    /// A pool whose members all run, as far as is known. `seed` differs from front to front and spreads their
    /// trials. The first event hands out all members.
    pub fn new(spec: Spec, seed: u64) -> Pool {
        Pool::with(spec, seed, Notified::Up)
    }

    /// A pool whose members run when [`Event::Notified`] says so, and not before.
    pub fn awaiting_endpoint_list(spec: Spec, seed: u64) -> Pool {
        Pool::with(spec, seed, Notified::Removed)
    }

    fn with(spec: Spec, seed: u64, default_notified: Notified) -> Pool {
        let retries = spec.retry_burst;
        let mut pool = Pool {
            spec: Spec { parts: Vec::new(), ..spec.clone() },
            seed,
            default_notified,
            now: 0.0,
            by_id: HashMap::new(),
            members: Vec::new(),
            removed_in_flight: HashMap::new(),
            admitted: HashMap::new(),
            queue: Queue::default(),
            retries,
            probes_due: BTreeSet::new(),
            serving_count: 0,
            serving_capacity: None,
            admitted_unsent: 0,
            counts: Counts::default(),
            started: false,
            dirty: true,
        };
        pool.apply_spec(spec, &mut Vec::new());
        pool
    }

    /// Its description.
    pub fn spec(&self) -> &Spec {
        &self.spec
    }

    /// What it has done.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Requests in it, and requests that wait.
    pub fn in_flight_and_queued(&self) -> (usize, usize) {
        (self.admitted.len(), self.queue.len())
    }

    /// When the next [`Event::Tick`] is due, on the caller's clock.
    pub fn wake_at(&self) -> Option<f64> {
        let trial = self.probes_due.first().map(|(at, _)| *at as f64 / 1000.0 + 0.001);
        [trial, self.queue.due()].into_iter().flatten().reduce(f64::min)
    }

    /// Takes one event at the time `now_ms` and adds what is to be done to `actions`.
    pub fn handle(&mut self, now_ms: f64, event: Event, actions: &mut Vec<Action>) {
        if now_ms.is_finite() {
            self.now = self.now.max(now_ms);
        }
        self.started = true;
        self.start_due_probes();
        match event {
            Event::Reconfigured(spec) => self.apply_spec(spec, actions),
            Event::Notified { id, state, started_ms } => self.on_notified(&id, state, started_ms),
            Event::Arrived { request, wait_until } => {
                self.publish_endpoints(actions);
                self.on_arrived(request, wait_until, actions);
            }
            Event::Finished { request } => self.on_finished(request),
            Event::AttemptSent { request, id } => self.on_attempt_sent(request, &id),
            Event::AttemptEnded { request, id, outcome } => self.on_attempt_ended(request, &id, outcome),
            Event::RetryRequested { request } => self.on_retry_requested(request, actions),
            Event::Tick => {}
        }
        self.publish_endpoints(actions);
        self.admit_queued(actions);
    }

    // ---- members ----

    /// Takes a description up by its difference: who stays keeps what traffic showed of it.
    fn apply_spec(&mut self, spec: Spec, actions: &mut Vec<Action>) {
        let old_parts = std::mem::take(&mut self.spec.parts);
        let mut old: HashMap<Arc<str>, (State, MemberState)> = old_parts
            .into_iter()
            .zip(std::mem::take(&mut self.members))
            .map(|(p, m)| (p.id, (p.state, m)))
            .collect();
        for part in &spec.parts {
            let back = self.removed_in_flight.remove(&part.id);
            let member = match old.remove(&part.id) {
                Some((state, mut m)) => {
                    // Out of service it may have been restarted: it counts as just started. The other way round
                    // would let all fronts at a cold machine at once.
                    if state == State::Stopped && part.state != State::Stopped {
                        m.started_ms = self.now;
                        m.health = Health::HEALTHY;
                    }
                    m
                }
                None => MemberState {
                    health: Health::HEALTHY,
                    notified: self.default_notified,
                    // One that joins a pool in service may have been started for it; a list would tell.
                    started_ms: if self.started && self.default_notified == Notified::Up {
                        self.now
                    } else {
                        0.0
                    },
                    in_flight: back.unwrap_or(0),
                    at_capacity: false,
                    published: None,
                },
            };
            self.members.push(member);
        }
        let mut gone = Vec::new();
        for (id, (_, m)) in old {
            if m.in_flight > 0 {
                self.removed_in_flight.insert(id.clone(), m.in_flight);
            }
            if let Some(published) = m.published.filter(|g| g.phase != Phase::OutOfService) {
                gone.push(Endpoint { phase: Phase::OutOfService, ..published });
            }
        }
        if !gone.is_empty() {
            gone.sort_by(|a, b| a.id.cmp(&b.id));
            actions.push(Action::Endpoints(gone));
        }
        self.by_id = spec.parts.iter().enumerate().map(|(i, p)| (p.id.clone(), i)).collect();
        self.retries = self.retries.min(spec.retry_burst);
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
        self.dirty = true;
    }

    fn on_notified(&mut self, id: &str, told: Notified, started_ms: f64) {
        let Some(&i) = self.by_id.get(id) else { return };
        let m = &mut self.members[i];
        if told == Notified::Up && (started_ms > m.started_ms || m.notified == Notified::Removed) {
            m.started_ms = m.started_ms.max(started_ms);
            m.health = Health::HEALTHY;
            self.probes_due.retain(|d| d.1 != i);
        }
        self.members[i].notified = told;
        self.dirty = true;
    }

    /// Ejected members whose backoff is over get a half-open probe.
    fn start_due_probes(&mut self) {
        while let Some(&(at, i)) = self.probes_due.first().filter(|d| d.0 <= micros(self.now)) {
            self.probes_due.remove(&(at, i));
            self.members[i].health.tick(self.now.max(at as f64 / 1000.0 + 0.001));
            self.dirty = true;
        }
    }

    /// Whether a member is at its limit, with the step back that keeps it from coming and going.
    fn update_at_capacity(&mut self, i: usize) {
        let limit = self.spec.parts[i].in_flight;
        let m = &mut self.members[i];
        let was = m.at_capacity;
        m.at_capacity = match limit {
            None => false,
            Some(limit) if m.in_flight >= limit => true,
            Some(limit) => {
                let free = limit - m.in_flight;
                was && (free as f64) < (limit as f64 * CAPACITY_HYSTERESIS_FRACTION).max(1.0)
            }
        };
        self.dirty |= m.at_capacity != was;
    }

    /// A place of a member was taken or given back.
    fn adjust_serving_capacity(&mut self, i: usize, by: i64) {
        let open = self.members[i].published.as_ref().is_some_and(|g| g.phase == Phase::Serving);
        if let (true, Some(_), Some(places)) =
            (open, self.spec.parts[i].in_flight, &mut self.serving_capacity)
        {
            *places = places.saturating_add_signed(by);
        }
    }

    fn on_attempt_sent(&mut self, request: u64, id: &str) {
        if let Some(inside) = self.admitted.get_mut(&request) {
            self.admitted_unsent -= u64::from(inside.attempts == 0);
            inside.attempts += 1;
        }
        let Some(&i) = self.by_id.get(id) else {
            // It left the pool between the choice and the send.
            *self.removed_in_flight.entry(id.into()).or_default() += 1;
            return;
        };
        let m = &mut self.members[i];
        m.in_flight += 1;
        let before = m.health;
        m.health.sent(request);
        self.dirty |= m.health != before;
        self.update_at_capacity(i);
        self.adjust_serving_capacity(i, -1);
    }

    fn on_attempt_ended(&mut self, request: u64, id: &str, end: AttemptOutcome) {
        let Some(&i) = self.by_id.get(id) else {
            if let Some(n) = self.removed_in_flight.get_mut(id) {
                *n -= 1;
                if *n == 0 {
                    self.removed_in_flight.remove(id);
                }
            }
            return;
        };
        let spread = self.probe_jitter(id);
        let m = &mut self.members[i];
        m.in_flight = m.in_flight.saturating_sub(1);
        let before = m.health;
        let back = m.health.ended(self.now, request, end, &self.spec, spread);
        if back == Some(true) {
            // No process was there: the one that answers now has just started.
            m.started_ms = self.now;
        }
        self.counts.recoveries += u64::from(back.is_some());
        if m.health != before {
            self.counts.ejections += u64::from(before.is_healthy() && !m.health.is_healthy());
            if let Some(due) = m.health.probe_due_ms() {
                self.probes_due.insert((micros(due), i));
            }
            self.dirty = true;
        }
        self.update_at_capacity(i);
        self.adjust_serving_capacity(i, 1);
    }

    /// By member and front, from 1 to 1 + [`PROBE_JITTER_FRACTION`].
    fn probe_jitter(&self, id: &str) -> f64 {
        // FNV-1a: any spread will do, but it must not change from run to run.
        let hash = id
            .bytes()
            .chain(self.seed.to_le_bytes())
            .fold(0xcbf2_9ce4_8422_2325u64, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3));
        1.0 + PROBE_JITTER_FRACTION * (hash >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Publishes the endpoints whose phase, weight or start time changed.
    fn publish_endpoints(&mut self, actions: &mut Vec<Action>) {
        if !std::mem::take(&mut self.dirty) {
            return;
        }
        let shown: Vec<MemberStatus> = self
            .members
            .iter()
            .map(|m| MemberStatus {
                listed: m.notified == Notified::Up,
                up: m.health.is_healthy(),
                trial: !m.health.is_healthy() && m.health.may_be_sent(),
            })
            .collect();
        let chosen = select_endpoints(&self.spec.parts, &shown);
        let mut changed = Vec::new();
        self.serving_count = 0;
        self.serving_capacity = Some(0);
        for ((part, m), chosen) in self.spec.parts.iter().zip(&mut self.members).zip(chosen) {
            let phase = match (part.state, m.notified) {
                (State::Stopped, _) | (_, Notified::Removed) => Phase::OutOfService,
                _ if chosen && !m.at_capacity => Phase::Serving,
                _ => Phase::Draining,
            };
            if phase == Phase::Serving {
                self.serving_count += 1;
                let free = part.in_flight.map(|limit| limit.saturating_sub(m.in_flight));
                self.serving_capacity =
                    self.serving_capacity.zip(free).map(|(places, free)| places.saturating_add(free));
            }
            let machine =
                Endpoint { id: part.id.clone(), phase, weight: part.weight, started_ms: m.started_ms };
            if m.published.as_ref() != Some(&machine) {
                changed.push(machine.clone());
                m.published = Some(machine);
            }
        }
        if !changed.is_empty() {
            actions.push(Action::Endpoints(changed));
        }
    }

    // ---- requests ----

    /// Whether one more may go to the decision module: the pool has a place, and a member will have one when it gets
    /// there. Guards those let in against finding every member full, which the module would refuse. Where no member
    /// can be used at all it may: what to turn away then is the module's to say, at once.
    fn has_capacity(&self) -> bool {
        if self.spec.in_flight.is_some_and(|n| self.admitted.len() as u64 >= n) {
            return false;
        }
        match self.serving_count {
            0 => !self.members.iter().any(|m| m.at_capacity && m.notified == Notified::Up),
            _ => self.serving_capacity.is_none_or(|places| self.admitted_unsent < places),
        }
    }

    fn on_arrived(&mut self, request: u64, wait_until: f64, actions: &mut Vec<Action>) {
        if self.admitted.contains_key(&request) || self.queue.contains(request) {
            // The caller's numbers are unique; one that is not can't be told from the other.
            return actions.push(Action::Reject { request, reason: RejectReason::QueueFull });
        }
        self.retries = (self.retries + self.spec.retry_budget).min(self.spec.retry_burst);
        if self.queue.len() == 0 && self.has_capacity() {
            return self.admit(request, actions);
        }
        let until = (self.now + self.spec.wait_ms).min(wait_until);
        if self.queue.len() >= self.spec.waiting || until <= self.now {
            self.counts.queue_full += 1;
            return actions.push(Action::Reject { request, reason: RejectReason::QueueFull });
        }
        self.counts.waited += 1;
        self.queue.push(request, until);
    }

    fn admit(&mut self, request: u64, actions: &mut Vec<Action>) {
        self.admitted.insert(request, AdmittedRequest::default());
        self.admitted_unsent += 1;
        self.counts.admitted += 1;
        actions.push(Action::Admit { request });
    }

    fn on_finished(&mut self, request: u64) {
        if !self.queue.remove(request) {
            let inside = self.admitted.remove(&request);
            self.admitted_unsent -= u64::from(inside.is_some_and(|i| i.attempts == 0));
        }
    }

    /// Turns away who waited too long, and lets in who came first while there is room.
    fn admit_queued(&mut self, actions: &mut Vec<Action>) {
        while let Some(request) = self.queue.expired(self.now) {
            self.counts.timed_out += 1;
            actions.push(Action::Reject { request, reason: RejectReason::QueueTimeout });
        }
        while self.queue.len() > 0 && self.has_capacity() {
            let Some(request) = self.queue.pop() else { return };
            self.admit(request, actions);
        }
    }

    fn on_retry_requested(&mut self, request: u64, actions: &mut Vec<Action>) {
        let attempts = self.admitted.get(&request).map_or(u64::MAX, |i| i.attempts);
        if attempts >= self.spec.attempts || self.retries < 1.0 {
            self.counts.retries_denied += 1;
            return actions.push(Action::RetryDenied { request });
        }
        self.retries -= 1.0;
        self.counts.retries += 1;
        actions.push(Action::Retry { request });
    }
}
