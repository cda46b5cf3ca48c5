//! Random sequences of events that follow the contract of a pool; its invariants are checked after each
//! event.

use fernslip_pool::*;
use fernslip_site::State;
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

/// A step of a random sequence. Indices are taken modulo the number of candidates.
#[derive(Clone, Debug)]
enum Step {
    /// Lets this many milliseconds pass.
    PassTime(f64),
    /// A new request arrives.
    Arrive,
    /// A queued request, or an admitted one without an attempt in flight, finishes.
    Finish(usize),
    /// An attempt of an admitted request (first index) is sent to a serving member (second index).
    Send(usize, usize),
    /// The attempt of a request ends with the outcome of this index in `OUTCOMES`.
    EndAttempt(usize, u8),
    /// An admitted request without an attempt in flight asks for a retry.
    Retry(usize),
    /// The specification gives a member the state of this index in `STATES`.
    SetState(usize, u8),
    /// The specification no longer contains this member.
    Remove(usize),
    /// The specification contains this member again.
    Add(usize),
    /// The endpoint list reports a member with the state of this index in `LISTED_STATES`.
    Notify(usize, u8),
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0.0..400.0f64).prop_map(Step::PassTime),
        6 => Just(Step::Arrive),
        2 => (0usize..64).prop_map(Step::Finish),
        8 => (0usize..64, 0usize..8).prop_map(|(r, m)| Step::Send(r, m)),
        6 => (0usize..64, 0u8..4).prop_map(|(r, e)| Step::EndAttempt(r, e)),
        2 => (0usize..64).prop_map(Step::Retry),
        1 => (0usize..6, 0u8..5).prop_map(|(m, s)| Step::SetState(m, s)),
        1 => (0usize..6).prop_map(Step::Remove),
        1 => (0usize..6).prop_map(Step::Add),
        1 => (0usize..6, 0u8..3).prop_map(|(m, t)| Step::Notify(m, t)),
    ]
}

const STATES: [State; 5] = [State::Ready, State::Draining, State::Stopped, State::Standby, State::Spare];
const LISTED_STATES: [ListedState; 3] = [ListedState::Up, ListedState::Draining, ListedState::Removed];
const OUTCOMES: [AttemptOutcome; 4] = [
    AttemptOutcome::Success,
    AttemptOutcome::ConnectionRefused,
    AttemptOutcome::Failure,
    AttemptOutcome::Inconclusive,
];

fn member_id(index: usize) -> Arc<str> {
    format!("m{index}").into()
}

fn member_spec(index: usize, limit: Option<u64>) -> MemberSpec {
    MemberSpec {
        id: member_id(index),
        weight: 1.0 + index as f64,
        state: STATES[[0, 0, 0, 4, 3, 0][index]],
        tier: (index / 3) as u64,
        group: Some(["x", "y"][index % 2].into()),
        instead: (index == 0).then(|| member_id(4)),
        in_flight: limit,
    }
}

/// A caller that follows the contract and knows only the actions that the pool returns.
struct Caller {
    pool: Pool,
    spec: PoolSpec,
    now_ms: f64,
    last_request: u64,
    endpoints: BTreeMap<Arc<str>, Endpoint>,
    listed_states: HashMap<Arc<str>, ListedState>,
    /// The deadline of each queued request, in milliseconds.
    queued: BTreeMap<u64, f64>,
    /// The member at which each admitted request has an attempt in flight, if any.
    admitted: BTreeMap<u64, Option<Arc<str>>>,
    /// The number of attempts sent for each request.
    attempts: HashMap<u64, u64>,
    retry_requested: BTreeSet<u64>,
    in_flight: HashMap<Arc<str>, u64>,
    arrivals: u64,
    retries: u64,
    log: Vec<String>,
}

impl Caller {
    fn new(spec: PoolSpec) -> Caller {
        let listed_states = spec.members.iter().map(|p| (p.id.clone(), ListedState::Up)).collect();
        let mut caller = Caller {
            pool: Pool::new(spec.clone(), 5),
            spec,
            now_ms: 0.0,
            last_request: 0,
            endpoints: BTreeMap::new(),
            listed_states,
            queued: BTreeMap::new(),
            admitted: BTreeMap::new(),
            attempts: HashMap::new(),
            retry_requested: BTreeSet::new(),
            in_flight: HashMap::new(),
            arrivals: 0,
            retries: 0,
            log: Vec::new(),
        };
        caller.handle(Event::Tick);
        caller
    }

    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.log.push(format!("{:.3} {event:?}", self.now_ms));
        self.pool.handle(self.now_ms, event, &mut actions);
        for a in &actions {
            self.log.push(format!("  {a:?}"));
        }
        for a in actions {
            match a {
                Action::Endpoints(all) => self.endpoints.extend(all.into_iter().map(|m| (m.id.clone(), m))),
                Action::Admit { request } => {
                    assert!(
                        self.will_have_capacity(),
                        "request {request} was admitted for capacity that earlier ones will take: {:?}",
                        self.log
                    );
                    assert!(
                        self.queued.remove(&request).is_some(),
                        "request {request} must be admitted at most once, and only while it waits"
                    );
                    self.admitted.insert(request, None);
                }
                Action::Reject { request, .. } => {
                    assert!(
                        self.queued.remove(&request).is_some(),
                        "request {request} must be rejected at most once, and only while it waits"
                    );
                }
                Action::Retry { request } => {
                    self.retries += 1;
                    assert!(self.retry_requested.remove(&request));
                }
                Action::RetryDenied { request } => assert!(self.retry_requested.remove(&request)),
            }
        }
        self.check_invariants();
    }

    /// Whether the serving endpoints have capacity for one more request besides the admitted requests not
    /// sent yet; true if none is serving.
    fn will_have_capacity(&self) -> bool {
        let open: Vec<_> = self.endpoints.values().filter(|m| m.phase == Phase::Serving).collect();
        let limit = |m: &Endpoint| self.spec.members.iter().find(|p| p.id == m.id).and_then(|p| p.in_flight);
        let free = |m: &&Endpoint| {
            let used = self.in_flight.get(&m.id).copied().unwrap_or(0);
            limit(m).map_or(1000, |l| l.saturating_sub(used))
        };
        let unsent = self.admitted.keys().filter(|r| !self.attempts.contains_key(r)).count() as u64;
        open.is_empty() || unsent < open.iter().map(free).sum()
    }

    fn check_invariants(&self) {
        for p in &self.spec.members {
            let Some(m) = self.endpoints.get(&p.id) else { continue };
            if m.phase == Phase::Serving {
                assert!(
                    !matches!(p.state, State::Draining | State::Stopped),
                    "member {} is {:?} and must not be published as serving: {:?}",
                    p.id,
                    p.state,
                    self.log
                );
                assert_eq!(
                    self.listed_states[&p.id],
                    ListedState::Up,
                    "member {} is serving, so the endpoint list must list it as up",
                    p.id
                );
            }
            assert_eq!(
                p.state == State::Stopped || self.listed_states[&p.id] == ListedState::Removed,
                m.phase == Phase::OutOfService
            );
            if let Some(limit) = p.in_flight {
                assert!(
                    self.in_flight.get(&p.id).copied().unwrap_or(0) <= limit,
                    "member {} must not exceed its limit of {limit} requests in flight",
                    p.id
                );
            }
        }
        for (id, m) in &self.endpoints {
            let here = self.spec.members.iter().any(|p| p.id == *id);
            assert!(
                here || m.phase == Phase::OutOfService,
                "member {id} was removed from the pool and must be published as out of service"
            );
        }
        assert!(self.spec.in_flight.is_none_or(|n| self.admitted.len() as u64 <= n));
        assert!(self.queued.len() <= self.spec.max_queued);
        assert!(
            self.queued.values().all(|until| self.now_ms <= *until + 0.01),
            "no request may wait beyond its deadline"
        );
        let earned = self.spec.retry_burst + self.spec.retry_budget * self.arrivals as f64;
        assert!(self.retries as f64 <= earned + 1e-6, "the retries must stay within the retry budget");
        let occupancy = Occupancy { in_flight: self.admitted.len(), queued: self.queued.len() };
        assert_eq!(self.pool.occupancy(), occupancy);
    }

    fn pass_time(&mut self, ms: f64) {
        let end = self.now_ms + ms;
        while let Some(at) = self.pool.next_tick_ms().filter(|at| *at <= end) {
            assert!(at >= self.now_ms - 0.01, "the time of the next tick must not be in the past");
            self.now_ms = self.now_ms.max(at);
            self.handle(Event::Tick);
        }
        self.now_ms = end;
        self.handle(Event::Tick);
    }

    /// The admitted request of this index (modulo their number) among those with an attempt in flight
    /// (`in_flight`) or without, and the member of the attempt.
    fn nth_admitted(&self, index: usize, in_flight: bool) -> Option<(u64, Option<Arc<str>>)> {
        let all: Vec<_> = self.admitted.iter().filter(|(_, at)| at.is_some() == in_flight).collect();
        (!all.is_empty()).then(|| (*all[index % all.len()].0, all[index % all.len()].1.clone()))
    }

    fn apply_step(&mut self, step: Step) {
        match step {
            Step::PassTime(ms) => self.pass_time(ms),
            Step::Arrive => {
                self.last_request += 1;
                self.arrivals += 1;
                self.queued.insert(self.last_request, self.now_ms + self.spec.max_queue_wait_ms);
                self.handle(Event::Arrived {
                    request: self.last_request,
                    wait_until_ms: self.now_ms + 1000.0,
                });
            }
            Step::Finish(n) => {
                // The client of a queued request disconnects, or a request without an attempt in flight is
                // completed.
                let waits = self.queued.keys().nth(n % (self.queued.len() + 1)).copied();
                let request = waits.or_else(|| self.nth_admitted(n, false).map(|r| r.0));
                if let Some(request) = request {
                    self.queued.remove(&request);
                    self.admitted.remove(&request);
                    self.handle(Event::Finished { request });
                }
            }
            Step::Send(r, m) => {
                let open: Vec<_> = self.endpoints.values().filter(|m| m.phase == Phase::Serving).collect();
                if let (Some((request, _)), false) = (self.nth_admitted(r, false), open.is_empty()) {
                    let id = open[m % open.len()].id.clone();
                    *self.in_flight.entry(id.clone()).or_default() += 1;
                    *self.attempts.entry(request).or_default() += 1;
                    self.admitted.insert(request, Some(id.clone()));
                    self.handle(Event::AttemptSent { request, id });
                }
            }
            Step::EndAttempt(r, end) => {
                if let Some((request, Some(id))) = self.nth_admitted(r, true) {
                    *self.in_flight.entry(id.clone()).or_default() -= 1;
                    self.admitted.insert(request, None);
                    self.handle(Event::AttemptEnded { request, id, outcome: OUTCOMES[usize::from(end)] });
                }
            }
            Step::Retry(r) => {
                if let Some((request, _)) = self.nth_admitted(r, false) {
                    self.retry_requested.insert(request);
                    let before = self.retries;
                    self.handle(Event::RetryRequested { request });
                    let made = self.attempts.get(&request).copied().unwrap_or(0);
                    assert!(
                        self.retries == before || made < self.spec.max_attempts,
                        "request {request} must not be retried beyond the limit on attempts"
                    );
                    assert!(
                        self.retry_requested.is_empty(),
                        "a retry request must be answered while its event is handled"
                    );
                }
            }
            Step::SetState(m, s) => {
                if let Some(p) = self.spec.members.iter_mut().find(|p| p.id == member_id(m)) {
                    p.state = STATES[usize::from(s)];
                }
                self.handle(Event::Reconfigured(self.spec.clone()));
            }
            Step::Remove(m) => {
                self.spec.members.retain(|p| p.id != member_id(m));
                self.handle(Event::Reconfigured(self.spec.clone()));
            }
            Step::Add(m) => {
                if !self.spec.members.iter().any(|p| p.id == member_id(m)) {
                    self.spec
                        .members
                        .push(member_spec(m, self.spec.members.first().and_then(|p| p.in_flight)));
                    self.listed_states.insert(member_id(m), ListedState::Up);
                }
                self.handle(Event::Reconfigured(self.spec.clone()));
            }
            Step::Notify(m, t) => {
                if self.spec.members.iter().any(|p| p.id == member_id(m)) {
                    let state = LISTED_STATES[usize::from(t)];
                    self.listed_states.insert(member_id(m), state);
                    self.handle(Event::EndpointReported { id: member_id(m), state, started_ms: 0.0 });
                }
            }
        }
    }
}

fn pool_spec(member_limit: Option<u64>, in_flight: Option<u64>) -> PoolSpec {
    PoolSpec {
        name: "p".into(),
        members: (0..6).map(|index| member_spec(index, member_limit)).collect(),
        in_flight,
        max_queue_wait_ms: 120.0,
        max_queued: 5,
        max_attempts: 3,
        retry_budget: 0.25,
        retry_burst: 3.0,
        eject_after_failures: 2,
        first_backoff_ms: 100.0,
        max_backoff_ms: 800.0,
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(300) })]

    #[test]
    fn the_invariants_hold_after_every_event(
        steps in proptest::collection::vec(any_step(), 0..200),
        limit in proptest::option::of(1u64..4),
        in_flight in proptest::option::of(1u64..6),
    ) {
        let run = || {
            let mut caller = Caller::new(pool_spec(limit, in_flight));
            steps.iter().for_each(|s| caller.apply_step(s.clone()));
            // After this time every queued request has left the queue and every half-open probe has become
            // due.
            caller.pass_time(10_000.0);
            assert!(caller.queued.is_empty());
            caller.log
        };
        prop_assert_eq!(run(), run(), "equal inputs must give equal outputs");
    }
}

/// The phases of the endpoints in the order of their ids: `i` serving, `d` draining, `o` out of service.
fn phase_letters(caller: &Caller) -> String {
    let letter = |m: &Endpoint| match m.phase {
        Phase::Serving => 'i',
        Phase::Draining => 'd',
        Phase::OutOfService => 'o',
    };
    caller.endpoints.values().map(letter).collect()
}

/// Guards against requests to a member after it was set to draining. Each way of being selected again is
/// tried: a probe, a standby and a replacement.
#[test]
fn a_draining_member_is_never_published_as_serving() {
    let mut caller = Caller::new(PoolSpec {
        members: (0..3).map(|n| member_spec(n, None)).collect(),
        ..pool_spec(None, None)
    });
    caller.spec.members[2].state = State::Standby;
    caller.spec.members[0].instead = Some(member_id(2));
    caller.handle(Event::Reconfigured(caller.spec.clone()));
    assert_eq!(phase_letters(&caller), "iid");
    for request in 1..=2 {
        caller.apply_step(Step::Arrive);
        *caller.in_flight.entry(member_id(0)).or_default() += 1;
        caller.admitted.insert(request, Some(member_id(0)));
        caller.handle(Event::AttemptSent { request, id: member_id(0) });
    }
    for _ in 0..2 {
        caller.apply_step(Step::EndAttempt(0, 2));
    }
    assert_eq!(phase_letters(&caller), "dii", "m0 is ejected and its replacement m2 must be serving");
    // All three members drain: none is published as serving for a probe, as a standby or as a replacement.
    caller.spec.members.iter_mut().for_each(|p| p.state = State::Draining);
    caller.handle(Event::Reconfigured(caller.spec.clone()));
    assert_eq!(phase_letters(&caller), "ddd");
    caller.pass_time(5_000.0);
    assert_eq!(phase_letters(&caller), "ddd");
    caller.spec.members[0].state = State::Ready;
    caller.handle(Event::Reconfigured(caller.spec.clone()));
    assert_eq!(
        phase_letters(&caller),
        "idd",
        "m0 is ready again and its probe is due, so it must be serving"
    );
    assert_eq!(
        caller.endpoints[&member_id(0)].started_ms,
        0.0,
        "a member that was only draining must not count as just started"
    );
}

/// Guards against full load on a member that was out of service and may have been restarted with an empty
/// cache.
#[test]
fn a_member_that_was_out_of_service_returns_as_just_started() {
    let mut caller = Caller::new(pool_spec(None, None));
    assert_eq!(caller.endpoints[&member_id(0)].started_ms, 0.0);
    caller.spec.members[0].state = State::Stopped;
    caller.handle(Event::Reconfigured(caller.spec.clone()));
    caller.pass_time(1000.0);
    caller.spec.members[0].state = State::Ready;
    caller.handle(Event::Reconfigured(caller.spec.clone()));
    assert_eq!(
        (caller.endpoints[&member_id(0)].started_ms, caller.endpoints[&member_id(0)].phase),
        (1000.0, Phase::Serving)
    );
    caller.spec.members.push(MemberSpec { id: "new".into(), ..member_spec(0, None) });
    caller.listed_states.insert("new".into(), ListedState::Up);
    caller.handle(Event::Reconfigured(caller.spec.clone()));
    assert_eq!(
        caller.endpoints["new"].started_ms, 1000.0,
        "a member added to a pool in service must count as just started"
    );
}

#[test]
fn the_queue_is_bounded_and_admits_requests_in_order_of_arrival() {
    let mut caller = Caller::new(PoolSpec { in_flight: Some(1), max_queued: 2, ..pool_spec(None, None) });
    (0..5).for_each(|_| caller.apply_step(Step::Arrive));
    assert_eq!((caller.admitted.len(), caller.queued.len(), caller.pool.counts().queue_full), (1, 2, 2));
    caller.pass_time(60.0);
    caller.admitted.remove(&1);
    caller.handle(Event::Finished { request: 1 });
    assert_eq!(caller.admitted.keys().copied().collect::<Vec<_>>(), [2]);
    caller.pass_time(60.1);
    assert_eq!((caller.queued.len(), caller.pool.counts().timed_out), (0, 1));
}
