//! A pool under any events that keep its contract: the invariants are checked after every one of them.

use fernslip_pool::*;
use fernslip_site::State;
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

#[derive(Clone, Debug)]
enum Step {
    PassTime(f64),
    Arrive,
    Finish(usize),
    Send(usize, usize),
    EndAttempt(usize, u8),
    Retry(usize),
    SetState(usize, u8),
    Remove(usize),
    Add(usize),
    Notify(usize, u8),
}

fn step() -> impl Strategy<Value = Step> {
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
const NOTIFICATIONS: [Notified; 3] = [Notified::Up, Notified::Draining, Notified::Removed];
const OUTCOMES: [AttemptOutcome; 4] = [
    AttemptOutcome::Success,
    AttemptOutcome::ConnectionRefused,
    AttemptOutcome::Failure,
    AttemptOutcome::Inconclusive,
];

fn id(n: usize) -> Arc<str> {
    format!("m{n}").into()
}

fn member(n: usize, limit: Option<u64>) -> MemberSpec {
    MemberSpec {
        id: id(n),
        weight: 1.0 + n as f64,
        state: STATES[[0, 0, 0, 4, 3, 0][n]],
        tier: (n / 3) as u64,
        group: Some(["x", "y"][n % 2].into()),
        instead: (n == 0).then(|| id(4)),
        in_flight: limit,
    }
}

/// A caller that keeps the contract and knows nothing but the actions.
struct Caller {
    pool: Pool,
    spec: Spec,
    now: f64,
    next: u64,
    endpoints: BTreeMap<Arc<str>, Endpoint>,
    notified: HashMap<Arc<str>, Notified>,
    queued: BTreeMap<u64, f64>,
    admitted: BTreeMap<u64, Option<Arc<str>>>,
    attempts: HashMap<u64, u64>,
    retry_requested: BTreeSet<u64>,
    in_flight: HashMap<Arc<str>, u64>,
    arrivals: u64,
    retries: u64,
    log: Vec<String>,
}

impl Caller {
    fn new(spec: Spec) -> Caller {
        let notified = spec.members.iter().map(|p| (p.id.clone(), Notified::Up)).collect();
        let mut caller = Caller {
            pool: Pool::new(spec.clone(), 5),
            spec,
            now: 0.0,
            next: 0,
            endpoints: BTreeMap::new(),
            notified,
            queued: BTreeMap::new(),
            admitted: BTreeMap::new(),
            attempts: HashMap::new(),
            retry_requested: BTreeSet::new(),
            in_flight: HashMap::new(),
            arrivals: 0,
            retries: 0,
            log: Vec::new(),
        };
        caller.feed(Event::Tick);
        caller
    }

    fn feed(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.log.push(format!("{:.3} {event:?}", self.now));
        self.pool.handle(self.now, event, &mut actions);
        for a in &actions {
            self.log.push(format!("  {a:?}"));
        }
        for a in actions {
            match a {
                Action::Endpoints(all) => self.endpoints.extend(all.into_iter().map(|m| (m.id.clone(), m))),
                Action::Admit { request } => {
                    assert!(
                        self.will_have_capacity(),
                        "admitted for capacity that others will take: {:?}",
                        self.log
                    );
                    assert!(self.queued.remove(&request).is_some(), "admitted once, and while it waits");
                    self.admitted.insert(request, None);
                }
                Action::Reject { request, .. } => {
                    assert!(self.queued.remove(&request).is_some(), "rejected once, and while it waits");
                }
                Action::Retry { request } => {
                    self.retries += 1;
                    assert!(self.retry_requested.remove(&request));
                }
                Action::RetryDenied { request } => assert!(self.retry_requested.remove(&request)),
            }
        }
        self.check();
    }

    /// Whether the serving endpoints have capacity for one more beside all admitted requests that were not sent yet.
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

    fn check(&self) {
        for p in &self.spec.members {
            let Some(m) = self.endpoints.get(&p.id) else { continue };
            if m.phase == Phase::Serving {
                assert!(!matches!(p.state, State::Draining | State::Stopped), "{}: {:?}", p.id, self.log);
                assert_eq!(self.notified[&p.id], Notified::Up, "{}", p.id);
            }
            assert_eq!(
                p.state == State::Stopped || self.notified[&p.id] == Notified::Removed,
                m.phase == Phase::OutOfService
            );
            if let Some(limit) = p.in_flight {
                assert!(self.in_flight.get(&p.id).copied().unwrap_or(0) <= limit, "{}: over its limit", p.id);
            }
        }
        for (id, m) in &self.endpoints {
            let here = self.spec.members.iter().any(|p| p.id == *id);
            assert!(here || m.phase == Phase::OutOfService, "{id} departed and may still be picked");
        }
        assert!(self.spec.in_flight.is_none_or(|n| self.admitted.len() as u64 <= n));
        assert!(self.queued.len() <= self.spec.max_queued);
        assert!(
            self.queued.values().all(|until| self.now <= *until + 0.01),
            "nobody waits beyond their time"
        );
        let earned = self.spec.retry_burst + self.spec.retry_budget * self.arrivals as f64;
        assert!(self.retries as f64 <= earned + 1e-6, "the retry budget holds");
        let occupancy = Occupancy { in_flight: self.admitted.len(), queued: self.queued.len() };
        assert_eq!(self.pool.occupancy(), occupancy);
    }

    fn pass_time(&mut self, ms: f64) {
        let end = self.now + ms;
        while let Some(at) = self.pool.wake_at().filter(|at| *at <= end) {
            assert!(at >= self.now - 0.01, "no tick is due in the past");
            self.now = self.now.max(at);
            self.feed(Event::Tick);
        }
        self.now = end;
        self.feed(Event::Tick);
    }

    fn nth(&self, n: usize, out: bool) -> Option<(u64, Option<Arc<str>>)> {
        let all: Vec<_> = self.admitted.iter().filter(|(_, at)| at.is_some() == out).collect();
        (!all.is_empty()).then(|| (*all[n % all.len()].0, all[n % all.len()].1.clone()))
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::PassTime(ms) => self.pass_time(ms),
            Step::Arrive => {
                self.next += 1;
                self.arrivals += 1;
                self.queued.insert(self.next, self.now + self.spec.max_queue_wait_ms);
                self.feed(Event::Arrived { request: self.next, wait_until_ms: self.now + 1000.0 });
            }
            Step::Finish(n) => {
                // A client leaves while it waits, or a request without an attempt out is over.
                let waits = self.queued.keys().nth(n % (self.queued.len() + 1)).copied();
                let request = waits.or_else(|| self.nth(n, false).map(|r| r.0));
                if let Some(request) = request {
                    self.queued.remove(&request);
                    self.admitted.remove(&request);
                    self.feed(Event::Finished { request });
                }
            }
            Step::Send(r, m) => {
                let open: Vec<_> = self.endpoints.values().filter(|m| m.phase == Phase::Serving).collect();
                if let (Some((request, _)), false) = (self.nth(r, false), open.is_empty()) {
                    let id = open[m % open.len()].id.clone();
                    *self.in_flight.entry(id.clone()).or_default() += 1;
                    *self.attempts.entry(request).or_default() += 1;
                    self.admitted.insert(request, Some(id.clone()));
                    self.feed(Event::AttemptSent { request, id });
                }
            }
            Step::EndAttempt(r, end) => {
                if let Some((request, Some(id))) = self.nth(r, true) {
                    *self.in_flight.entry(id.clone()).or_default() -= 1;
                    self.admitted.insert(request, None);
                    self.feed(Event::AttemptEnded { request, id, outcome: OUTCOMES[usize::from(end)] });
                }
            }
            Step::Retry(r) => {
                if let Some((request, _)) = self.nth(r, false) {
                    self.retry_requested.insert(request);
                    let before = self.retries;
                    self.feed(Event::RetryRequested { request });
                    let made = self.attempts.get(&request).copied().unwrap_or(0);
                    assert!(self.retries == before || made < self.spec.max_attempts, "attempts are bounded");
                    assert!(self.retry_requested.is_empty(), "answered at once");
                }
            }
            Step::SetState(m, s) => {
                if let Some(p) = self.spec.members.iter_mut().find(|p| p.id == id(m)) {
                    p.state = STATES[usize::from(s)];
                }
                self.feed(Event::Reconfigured(self.spec.clone()));
            }
            Step::Remove(m) => {
                self.spec.members.retain(|p| p.id != id(m));
                self.feed(Event::Reconfigured(self.spec.clone()));
            }
            Step::Add(m) => {
                if !self.spec.members.iter().any(|p| p.id == id(m)) {
                    self.spec.members.push(member(m, self.spec.members.first().and_then(|p| p.in_flight)));
                    self.notified.insert(id(m), Notified::Up);
                }
                self.feed(Event::Reconfigured(self.spec.clone()));
            }
            Step::Notify(m, t) => {
                if self.spec.members.iter().any(|p| p.id == id(m)) {
                    let notified = NOTIFICATIONS[usize::from(t)];
                    self.notified.insert(id(m), notified);
                    self.feed(Event::Notified { id: id(m), state: notified, started_ms: 0.0 });
                }
            }
        }
    }
}

fn spec(limit: Option<u64>, in_flight: Option<u64>) -> Spec {
    Spec {
        name: "p".into(),
        members: (0..6).map(|n| member(n, limit)).collect(),
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
        steps in proptest::collection::vec(step(), 0..200),
        limit in proptest::option::of(1u64..4),
        in_flight in proptest::option::of(1u64..6),
    ) {
        let run = || {
            let mut caller = Caller::new(spec(limit, in_flight));
            steps.iter().for_each(|s| caller.apply(s.clone()));
            // In the end the queue is empty, and ejected members were probed.
            caller.pass_time(10_000.0);
            assert!(caller.queued.is_empty());
            caller.log
        };
        prop_assert_eq!(run(), run(), "equal inputs give equal outputs");
    }
}

fn phases(caller: &Caller) -> String {
    let letter = |m: &Endpoint| match m.phase {
        Phase::Serving => 'i',
        Phase::Draining => 'd',
        Phase::OutOfService => 'o',
    };
    caller.endpoints.values().map(letter).collect()
}

/// Guards against sends to a member long after it was set to draining: each way back into use is tried meanwhile.
#[test]
fn a_draining_member_is_published_as_serving_by_no_path() {
    let mut caller =
        Caller::new(Spec { members: (0..3).map(|n| member(n, None)).collect(), ..spec(None, None) });
    caller.spec.members[2].state = State::Standby;
    caller.spec.members[0].instead = Some(id(2));
    caller.feed(Event::Reconfigured(caller.spec.clone()));
    assert_eq!(phases(&caller), "iid");
    for request in 1..=2 {
        caller.apply(Step::Arrive);
        *caller.in_flight.entry(id(0)).or_default() += 1;
        caller.admitted.insert(request, Some(id(0)));
        caller.feed(Event::AttemptSent { request, id: id(0) });
    }
    for _ in 0..2 {
        caller.apply(Step::EndAttempt(0, 2));
    }
    assert_eq!(phases(&caller), "dii", "m0 has failed, m2 stands in for it");
    // All three drain: neither the probe that is due, nor the standby, nor the stand-in is published as serving.
    caller.spec.members.iter_mut().for_each(|p| p.state = State::Draining);
    caller.feed(Event::Reconfigured(caller.spec.clone()));
    assert_eq!(phases(&caller), "ddd");
    caller.pass_time(5_000.0);
    assert_eq!(phases(&caller), "ddd");
    caller.spec.members[0].state = State::Ready;
    caller.feed(Event::Reconfigured(caller.spec.clone()));
    assert_eq!(phases(&caller), "idd", "back: its probe was due long ago");
    assert_eq!(
        caller.endpoints[&id(0)].started_ms,
        0.0,
        "draining is not out of service: it ran all the while"
    );
}

/// Guards members that were out of service against the load that warm ones get.
#[test]
fn a_member_that_was_out_of_service_comes_back_as_just_started() {
    let mut caller = Caller::new(spec(None, None));
    assert_eq!(caller.endpoints[&id(0)].started_ms, 0.0);
    caller.spec.members[0].state = State::Stopped;
    caller.feed(Event::Reconfigured(caller.spec.clone()));
    caller.pass_time(1000.0);
    caller.spec.members[0].state = State::Ready;
    caller.feed(Event::Reconfigured(caller.spec.clone()));
    assert_eq!(
        (caller.endpoints[&id(0)].started_ms, caller.endpoints[&id(0)].phase),
        (1000.0, Phase::Serving)
    );
    caller.spec.members.push(MemberSpec { id: "new".into(), ..member(0, None) });
    caller.notified.insert("new".into(), Notified::Up);
    caller.feed(Event::Reconfigured(caller.spec.clone()));
    assert_eq!(caller.endpoints["new"].started_ms, 1000.0, "it joined a pool in service");
}

#[test]
fn the_queue_is_first_in_first_out_and_bounded() {
    let mut caller = Caller::new(Spec { in_flight: Some(1), max_queued: 2, ..spec(None, None) });
    (0..5).for_each(|_| caller.apply(Step::Arrive));
    assert_eq!((caller.admitted.len(), caller.queued.len(), caller.pool.counts().queue_full), (1, 2, 2));
    caller.pass_time(60.0);
    caller.admitted.remove(&1);
    caller.feed(Event::Finished { request: 1 });
    assert_eq!(caller.admitted.keys().copied().collect::<Vec<_>>(), [2]);
    caller.pass_time(60.1);
    assert_eq!((caller.queued.len(), caller.pool.counts().timed_out), (0, 1));
}
