//! Set-up shared by the tests and benches: a router at a location of three caches, with two parents, an
//! origin and one cache of another location.
#![allow(dead_code, reason = "each test or bench uses only some of these items")]
use fernslip::*;

/// An idempotent class of cacheable reads.
pub fn class() -> Class {
    Class {
        name: "chunk".into(),
        objective_ms: 400.0,
        objective_stretch: 2.0,
        deadline_ms: 6000.0,
        priority_weight: 1.0,
        late_weight: 0.15,
        effect: Effect::Idempotent,
        scope: DedupScope::All,
        repeat_window_ms: 3000.0,
        write: false,
        fresh_ms: 0.0,
        grace_ms: 0.0,
    }
}

/// Settings of the first of two routers, at the location `edge-1`.
pub fn settings() -> Settings {
    Settings {
        zones: vec!["hub".into(), "edge-1".into(), "edge-2".into()],
        zone: 1,
        zone_routers: vec![0, 1, 1],
        link_in_kb_per_s: vec![0.0; 3],
        kinds: 3,
        parent_kind: Some(1),
        origin_kind: Some(2),
        slot: 0,
        routers: 2,
        classes: vec![class()],
        direct_to_source: false,
        join_fills: true,
        neighbours: Neighbours::Location,
        detail_level: DetailLevel::All,
        stream_kb_per_s: 1000.0,
        max_attempts: 6,
        max_in_flight: 1000,
        parallel: false,
        cancel: true,
        peers: true,
        max_retry_after_ms: 1000.0,
        lists_on_request: false,
        tick_ms: 2.0,
        drain_grace_ms: 1000.0,
        slow_start_from: 0.2,
        slow_start_ms: 10_000.0,
        slow_start_multiple: 4.0,
        slow_start_window_ms: 1000.0,
        parent_slow_start_from: 0.1,
        parent_slow_start_ms: 10_000.0,
        parent_slow_start_multiple: 2.0,
        purge_slack_ms: 300.0,
        purge_done_ms: 6000.0,
    }
}

/// An endpoint list entry of weight 10 that is in service and started long ago.
pub fn entry(name: &str, zone: usize, kind: usize) -> Entry {
    Entry {
        cache: name.into(),
        weight: 10.0,
        zone: Some(zone),
        kind: Some(kind),
        cell: zone as i64,
        started_ms: 0.0,
        phase: Phase::In,
    }
}

/// The complete endpoint list; `far:1` is the cache of the other location.
pub fn endpoints() -> Vec<Entry> {
    let mut all: Vec<Entry> = ["c1:1", "c2:1", "c3:1"].iter().map(|n| entry(n, 1, 0)).collect();
    all.extend(["p1:1", "p2:1"].iter().map(|n| entry(n, 0, 1)));
    all.push(entry("o1:1", 0, 2));
    all.push(entry("far:1", 2, 0));
    all
}

/// A router under test, with its clock and the next request id.
pub struct Rig {
    pub router: Router,
    /// The router's clock, in milliseconds.
    pub now: f64,
    /// Load report of each outcome: requests in flight at the cache; `None`: no report.
    pub reported_in_flight: Option<f64>,
    next: u64,
}

/// An attempt that the router forwarded.
#[derive(Clone, Debug)]
pub struct SentAttempt {
    pub id: RequestId,
    pub cache: String,
    pub source: String,
    pub rank: u8,
    pub age_ms: f64,
    pub join: bool,
    pub until_ms: f64,
}

/// The first attempt that the actions forward, if any.
pub fn first_sent_attempt(actions: &[Action]) -> Option<SentAttempt> {
    actions.iter().find_map(|a| match a {
        Action::Forward { id, cache, source, until_ms, rank, age_ms, join, .. } => Some(SentAttempt {
            id: *id,
            cache: cache.0.to_string(),
            source: source.0.to_string(),
            rank: *rank,
            age_ms: *age_ms,
            join: *join,
            until_ms: *until_ms,
        }),
        _ => None,
    })
}

pub fn contains_rejection(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { .. }))
}

pub fn contains_failure(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail { .. }))
}

impl Rig {
    pub fn with_settings(settings: Settings) -> Rig {
        Rig {
            router: Router::new(settings, 7).expect("the test settings are valid"),
            now: 100_000.0,
            reported_in_flight: None,
            next: 1,
        }
    }

    pub fn new() -> Rig {
        let mut rig = Rig::with_settings(settings());
        rig.update_endpoints(endpoints());
        rig
    }

    /// Feeds the router one event and returns its actions.
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.router.handle(self.now, event, &mut out);
        out
    }

    /// Replaces the endpoint list.
    pub fn update_endpoints(&mut self, entries: Vec<Entry>) -> Vec<Action> {
        self.handle(Event::Endpoints { kind: ListKind::Full, entries })
    }

    /// Changes one entry of the endpoint list.
    pub fn update_endpoint(&mut self, entry: Entry) -> Vec<Action> {
        self.handle(Event::Endpoints { kind: ListKind::Delta, entries: vec![entry] })
    }

    /// Feeds the router a new request; the client waits for 5 s.
    pub fn request_with(&mut self, object: u64, class: usize, size_kb: f64) -> Vec<Action> {
        let id = RequestId(self.next);
        self.next += 1;
        self.handle(Event::Request(Request {
            id,
            object: ObjectId(object),
            part: 0,
            class,
            size_kb,
            budget_ms: 5000.0,
            group: 3,
        }))
    }

    /// Feeds the router a request of 100 KB in class 0.
    pub fn request(&mut self, object: u64) -> Vec<Action> {
        self.request_with(object, 0, 100.0)
    }

    /// Ends an attempt with an ending and a detail, as if `elapsed_ms` had passed since it was sent, without
    /// advancing the clock.
    pub fn end_attempt_after(
        &mut self,
        sent: &SentAttempt,
        attempt: u32,
        how: (Ending, u8),
        elapsed_ms: f64,
    ) -> Vec<Action> {
        self.handle(Event::Outcome(Outcome {
            id: sent.id,
            attempt,
            cache: sent.cache.as_str().into(),
            ending: how.0,
            elapsed_ms,
            over: how.0 == Ending::Completed,
            detail: how.1,
            fill_wait_ms: 0.0,
            reported_in_flight: self.reported_in_flight,
        }))
    }

    /// Ends an attempt as if 50 ms had passed since it was sent, without advancing the clock.
    pub fn end_attempt(
        &mut self,
        sent: &SentAttempt,
        attempt: u32,
        ending: Ending,
        detail: u8,
    ) -> Vec<Action> {
        self.end_attempt_after(sent, attempt, (ending, detail), 50.0)
    }

    /// Advances the clock until the router cancels an attempt; returns whether a cancellation came within
    /// three seconds.
    pub fn wait_until_cancelled(&mut self) -> bool {
        (0..60).any(|_| {
            self.now += 50.0;
            let out = self.handle(Event::Timer { token: 0 });
            out.iter().any(|a| matches!(a, Action::Cancel { .. }))
        })
    }

    /// Feeds a request and completes its first attempt with the given detail 50 ms later; returns the
    /// attempt.
    pub fn serve(&mut self, object: u64, detail: u8) -> SentAttempt {
        let first = first_sent_attempt(&self.request(object)).expect("the request is sent");
        self.now += 50.0;
        let after = self.end_attempt(&first, 0, Ending::Completed, detail);
        assert!(first_sent_attempt(&after).is_none(), "nothing is forwarded after the final answer");
        first
    }
}

/// An endpoint list of `caches` caches at the location, of which the first `in_slow_start` started at
/// `started_ms`, two parents and an origin.
pub fn wide_fleet(caches: usize, in_slow_start: usize, started_ms: f64) -> Vec<Entry> {
    let mut all: Vec<Entry> = (0..caches).map(|i| entry(&format!("c{i}:1"), 1, 0)).collect();
    all.iter_mut().take(in_slow_start).for_each(|e| e.started_ms = started_ms);
    all.extend(["p1:1", "p2:1"].iter().map(|n| entry(n, 0, 1)));
    all.push(entry("o1:1", 0, 2));
    all
}
