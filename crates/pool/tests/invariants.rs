//! A pool under any events that keep its contract: what must hold is checked after every one of them.

use fernslip_pool::*;
use fernslip_site::State;
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

#[derive(Clone, Debug)]
enum Step {
    Pass(f64),
    Arrive,
    Leave(usize),
    Send(usize, usize),
    AttemptOutcome(usize, u8),
    Again(usize),
    Restate(usize, u8),
    Remove(usize),
    Add(usize),
    Tell(usize, u8),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0.0..400.0f64).prop_map(Step::Pass),
        6 => Just(Step::Arrive),
        2 => (0usize..64).prop_map(Step::Leave),
        8 => (0usize..64, 0usize..8).prop_map(|(r, m)| Step::Send(r, m)),
        6 => (0usize..64, 0u8..4).prop_map(|(r, e)| Step::AttemptOutcome(r, e)),
        2 => (0usize..64).prop_map(Step::Again),
        1 => (0usize..6, 0u8..5).prop_map(|(m, s)| Step::Restate(m, s)),
        1 => (0usize..6).prop_map(Step::Remove),
        1 => (0usize..6).prop_map(Step::Add),
        1 => (0usize..6, 0u8..3).prop_map(|(m, t)| Step::Tell(m, t)),
    ]
}

const STATES: [State; 5] = [State::Ready, State::Draining, State::Stopped, State::Standby, State::Spare];
const TOLD: [Notified; 3] = [Notified::Up, Notified::Draining, Notified::Removed];
const ENDS: [AttemptOutcome; 4] = [
    AttemptOutcome::Success,
    AttemptOutcome::ConnectionRefused,
    AttemptOutcome::Failure,
    AttemptOutcome::Inconclusive,
];

fn id(n: usize) -> Arc<str> {
    format!("m{n}").into()
}

fn part(n: usize, limit: Option<u64>) -> MemberSpec {
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
struct Play {
    pool: Pool,
    spec: Spec,
    now: f64,
    next: u64,
    machines: BTreeMap<Arc<str>, Endpoint>,
    told: HashMap<Arc<str>, Notified>,
    waiting: BTreeMap<u64, f64>,
    inside: BTreeMap<u64, Option<Arc<str>>>,
    attempts: HashMap<u64, u64>,
    asked: BTreeSet<u64>,
    in_flight: HashMap<Arc<str>, u64>,
    arrivals: u64,
    retries: u64,
    log: Vec<String>,
}

impl Play {
    fn new(spec: Spec) -> Play {
        let told = spec.parts.iter().map(|p| (p.id.clone(), Notified::Up)).collect();
        let mut play = Play {
            pool: Pool::new(spec.clone(), 5),
            spec,
            now: 0.0,
            next: 0,
            machines: BTreeMap::new(),
            told,
            waiting: BTreeMap::new(),
            inside: BTreeMap::new(),
            attempts: HashMap::new(),
            asked: BTreeSet::new(),
            in_flight: HashMap::new(),
            arrivals: 0,
            retries: 0,
            log: Vec::new(),
        };
        play.feed(Event::Tick);
        play
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
                Action::Endpoints(all) => self.machines.extend(all.into_iter().map(|m| (m.id.clone(), m))),
                Action::Admit { request } => {
                    assert!(
                        self.will_have_a_place(),
                        "let in for a place that others will take: {:?}",
                        self.log
                    );
                    assert!(self.waiting.remove(&request).is_some(), "admitted once, and while it waits");
                    self.inside.insert(request, None);
                }
                Action::Reject { request, .. } => {
                    assert!(self.waiting.remove(&request).is_some(), "turned away once, and while it waits");
                }
                Action::Retry { request } => {
                    self.retries += 1;
                    assert!(self.asked.remove(&request));
                }
                Action::RetryDenied { request } => assert!(self.asked.remove(&request)),
            }
        }
        self.check();
    }

    /// Whether the machines handed out have room for one more beside all those let in that were not sent yet.
    fn will_have_a_place(&self) -> bool {
        let open: Vec<_> = self.machines.values().filter(|m| m.phase == Phase::Serving).collect();
        let limit = |m: &Endpoint| self.spec.parts.iter().find(|p| p.id == m.id).and_then(|p| p.in_flight);
        let free = |m: &&Endpoint| {
            let used = self.in_flight.get(&m.id).copied().unwrap_or(0);
            limit(m).map_or(1000, |l| l.saturating_sub(used))
        };
        let unsent = self.inside.keys().filter(|r| !self.attempts.contains_key(r)).count() as u64;
        open.is_empty() || unsent < open.iter().map(free).sum()
    }

    fn check(&self) {
        for p in &self.spec.parts {
            let Some(m) = self.machines.get(&p.id) else { continue };
            if m.phase == Phase::Serving {
                assert!(!matches!(p.state, State::Draining | State::Stopped), "{}: {:?}", p.id, self.log);
                assert_eq!(self.told[&p.id], Notified::Up, "{}", p.id);
            }
            assert_eq!(
                p.state == State::Stopped || self.told[&p.id] == Notified::Removed,
                m.phase == Phase::OutOfService
            );
            if let Some(limit) = p.in_flight {
                assert!(self.in_flight.get(&p.id).copied().unwrap_or(0) <= limit, "{}: over its limit", p.id);
            }
        }
        for (id, m) in &self.machines {
            let here = self.spec.parts.iter().any(|p| p.id == *id);
            assert!(here || m.phase == Phase::OutOfService, "{id} left the pool and may still be picked");
        }
        assert!(self.spec.in_flight.is_none_or(|n| self.inside.len() as u64 <= n));
        assert!(self.waiting.len() <= self.spec.waiting);
        assert!(
            self.waiting.values().all(|until| self.now <= *until + 0.01),
            "nobody waits beyond their time"
        );
        let earned = self.spec.retry_burst + self.spec.retry_budget * self.arrivals as f64;
        assert!(self.retries as f64 <= earned + 1e-6, "the retry budget holds");
        assert_eq!(self.pool.in_flight_and_queued(), (self.inside.len(), self.waiting.len()));
    }

    fn pass(&mut self, ms: f64) {
        let end = self.now + ms;
        while let Some(at) = self.pool.wake_at().filter(|at| *at <= end) {
            assert!(at >= self.now - 0.01, "what is due is done");
            self.now = self.now.max(at);
            self.feed(Event::Tick);
        }
        self.now = end;
        self.feed(Event::Tick);
    }

    fn nth(&self, n: usize, out: bool) -> Option<(u64, Option<Arc<str>>)> {
        let all: Vec<_> = self.inside.iter().filter(|(_, at)| at.is_some() == out).collect();
        (!all.is_empty()).then(|| (*all[n % all.len()].0, all[n % all.len()].1.clone()))
    }

    fn play(&mut self, step: Step) {
        match step {
            Step::Pass(ms) => self.pass(ms),
            Step::Arrive => {
                self.next += 1;
                self.arrivals += 1;
                self.waiting.insert(self.next, self.now + self.spec.wait_ms);
                self.feed(Event::Arrived { request: self.next, wait_until: self.now + 1000.0 });
            }
            Step::Leave(n) => {
                // A client leaves while it waits, or a request without an attempt out is over.
                let waits = self.waiting.keys().nth(n % (self.waiting.len() + 1)).copied();
                let request = waits.or_else(|| self.nth(n, false).map(|r| r.0));
                if let Some(request) = request {
                    self.waiting.remove(&request);
                    self.inside.remove(&request);
                    self.feed(Event::Finished { request });
                }
            }
            Step::Send(r, m) => {
                let open: Vec<_> = self.machines.values().filter(|m| m.phase == Phase::Serving).collect();
                if let (Some((request, _)), false) = (self.nth(r, false), open.is_empty()) {
                    let id = open[m % open.len()].id.clone();
                    *self.in_flight.entry(id.clone()).or_default() += 1;
                    *self.attempts.entry(request).or_default() += 1;
                    self.inside.insert(request, Some(id.clone()));
                    self.feed(Event::AttemptSent { request, id });
                }
            }
            Step::AttemptOutcome(r, end) => {
                if let Some((request, Some(id))) = self.nth(r, true) {
                    *self.in_flight.entry(id.clone()).or_default() -= 1;
                    self.inside.insert(request, None);
                    self.feed(Event::AttemptEnded { request, id, outcome: ENDS[usize::from(end)] });
                }
            }
            Step::Again(r) => {
                if let Some((request, _)) = self.nth(r, false) {
                    self.asked.insert(request);
                    let before = self.retries;
                    self.feed(Event::RetryRequested { request });
                    let made = self.attempts.get(&request).copied().unwrap_or(0);
                    assert!(self.retries == before || made < self.spec.attempts, "attempts are bounded");
                    assert!(self.asked.is_empty(), "answered at once");
                }
            }
            Step::Restate(m, s) => {
                if let Some(p) = self.spec.parts.iter_mut().find(|p| p.id == id(m)) {
                    p.state = STATES[usize::from(s)];
                }
                self.feed(Event::Reconfigured(self.spec.clone()));
            }
            Step::Remove(m) => {
                self.spec.parts.retain(|p| p.id != id(m));
                self.feed(Event::Reconfigured(self.spec.clone()));
            }
            Step::Add(m) => {
                if !self.spec.parts.iter().any(|p| p.id == id(m)) {
                    self.spec.parts.push(part(m, self.spec.parts.first().and_then(|p| p.in_flight)));
                    self.told.insert(id(m), Notified::Up);
                }
                self.feed(Event::Reconfigured(self.spec.clone()));
            }
            Step::Tell(m, t) => {
                if self.spec.parts.iter().any(|p| p.id == id(m)) {
                    let told = TOLD[usize::from(t)];
                    self.told.insert(id(m), told);
                    self.feed(Event::Notified { id: id(m), state: told, started_ms: 0.0 });
                }
            }
        }
    }
}

fn spec(limit: Option<u64>, in_flight: Option<u64>) -> Spec {
    Spec {
        name: "p".into(),
        parts: (0..6).map(|n| part(n, limit)).collect(),
        in_flight,
        wait_ms: 120.0,
        waiting: 5,
        attempts: 3,
        retry_budget: 0.25,
        retry_burst: 3.0,
        failures: 2,
        first_backoff_ms: 100.0,
        max_backoff_ms: 800.0,
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(300) })]

    #[test]
    fn what_must_hold_holds_after_every_event(
        steps in proptest::collection::vec(step(), 0..200),
        limit in proptest::option::of(1u64..4),
        in_flight in proptest::option::of(1u64..6),
    ) {
        let run = || {
            let mut play = Play::new(spec(limit, in_flight));
            steps.iter().for_each(|s| play.play(s.clone()));
            // In the end nobody is left waiting, and what failed is tried again.
            play.pass(10_000.0);
            assert!(play.waiting.is_empty());
            play.log
        };
        prop_assert_eq!(run(), run(), "equal inputs give equal outputs");
    }
}

fn phases(play: &Play) -> String {
    let word = |m: &Endpoint| match m.phase {
        Phase::Serving => 'i',
        Phase::Draining => 'd',
        Phase::OutOfService => 'o',
    };
    play.machines.values().map(word).collect()
}

/// The one path in which a mistake would send to a draining machine long after the word: each way back into use is
/// tried while the word is draining.
#[test]
fn a_draining_member_comes_back_by_no_path() {
    let mut play = Play::new(Spec { parts: (0..3).map(|n| part(n, None)).collect(), ..spec(None, None) });
    play.spec.parts[2].state = State::Standby;
    play.spec.parts[0].instead = Some(id(2));
    play.feed(Event::Reconfigured(play.spec.clone()));
    assert_eq!(phases(&play), "iid");
    for request in 1..=2 {
        play.play(Step::Arrive);
        *play.in_flight.entry(id(0)).or_default() += 1;
        play.inside.insert(request, Some(id(0)));
        play.feed(Event::AttemptSent { request, id: id(0) });
    }
    for _ in 0..2 {
        play.play(Step::AttemptOutcome(0, 2));
    }
    assert_eq!(phases(&play), "dii", "m0 has failed, m2 stands in for it");
    // All three drain: neither the trial that is due, nor the standby, nor the stand-in is handed out.
    play.spec.parts.iter_mut().for_each(|p| p.state = State::Draining);
    play.feed(Event::Reconfigured(play.spec.clone()));
    assert_eq!(phases(&play), "ddd");
    play.pass(5_000.0);
    assert_eq!(phases(&play), "ddd");
    play.spec.parts[0].state = State::Ready;
    play.feed(Event::Reconfigured(play.spec.clone()));
    assert_eq!(phases(&play), "idd", "back: its trial was due long ago");
    assert_eq!(play.machines[&id(0)].started_ms, 0.0, "draining is not out: it ran all the while");
}

/// Guards machines that were out of service against all that is sent to warm ones.
#[test]
fn what_was_out_comes_back_as_just_started() {
    let mut play = Play::new(spec(None, None));
    assert_eq!(play.machines[&id(0)].started_ms, 0.0);
    play.spec.parts[0].state = State::Stopped;
    play.feed(Event::Reconfigured(play.spec.clone()));
    play.pass(1000.0);
    play.spec.parts[0].state = State::Ready;
    play.feed(Event::Reconfigured(play.spec.clone()));
    assert_eq!((play.machines[&id(0)].started_ms, play.machines[&id(0)].phase), (1000.0, Phase::Serving));
    play.spec.parts.push(MemberSpec { id: "new".into(), ..part(0, None) });
    play.told.insert("new".into(), Notified::Up);
    play.feed(Event::Reconfigured(play.spec.clone()));
    assert_eq!(play.machines["new"].started_ms, 1000.0, "it joined a pool in service");
}

#[test]
fn waiting_is_first_come_first_served_and_bounded() {
    let mut play = Play::new(Spec { in_flight: Some(1), waiting: 2, ..spec(None, None) });
    (0..5).for_each(|_| play.play(Step::Arrive));
    assert_eq!((play.inside.len(), play.waiting.len(), play.pool.counts().queue_full), (1, 2, 2));
    play.pass(60.0);
    play.inside.remove(&1);
    play.feed(Event::Finished { request: 1 });
    assert_eq!(play.inside.keys().copied().collect::<Vec<_>>(), [2]);
    play.pass(60.1);
    assert_eq!((play.waiting.len(), play.pool.counts().timed_out), (0, 1));
}
