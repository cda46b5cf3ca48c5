//! A small bench-free set-up: one location of three caches, two parents, one origin.
#![allow(dead_code, reason = "each test uses a part")]
use fernslip::*;

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
        straight: false,
        joins: true,
        neighbours: Neighbours::Location,
        notes: NoteLevel::All,
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

pub fn fleet() -> Vec<Entry> {
    let mut all: Vec<Entry> = ["c1:1", "c2:1", "c3:1"].iter().map(|n| entry(n, 1, 0)).collect();
    all.extend(["p1:1", "p2:1"].iter().map(|n| entry(n, 0, 1)));
    all.push(entry("o1:1", 0, 2));
    all.push(entry("far:1", 2, 0));
    all
}

/// A router with its clock and the ids it gave out.
pub struct Rig {
    pub router: Router,
    pub now: f64,
    /// What answers report that the cache holds.
    pub reported_in_flight: Option<f64>,
    next: u64,
}

#[derive(Clone, Debug)]
pub struct Sent {
    pub id: RequestId,
    pub cache: String,
    pub source: String,
    pub rank: u8,
    pub age_ms: f64,
    pub join: bool,
    pub until_ms: f64,
}

pub fn sent(actions: &[Action]) -> Option<Sent> {
    actions.iter().find_map(|a| match a {
        Action::Forward { id, cache, source, until_ms, rank, age_ms, join, .. } => Some(Sent {
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

pub fn rejected(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { .. }))
}

pub fn failed(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail { .. }))
}

impl Rig {
    pub fn with(settings: Settings) -> Rig {
        Rig {
            router: Router::new(settings, 7).expect("settings are sound"),
            now: 100_000.0,
            reported_in_flight: None,
            next: 1,
        }
    }

    pub fn new() -> Rig {
        let mut r = Rig::with(settings());
        r.update_endpoints(fleet());
        r
    }

    pub fn event(&mut self, e: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.router.handle(self.now, e, &mut out);
        out
    }

    pub fn update_endpoints(&mut self, entries: Vec<Entry>) -> Vec<Action> {
        self.event(Event::Endpoints { kind: ListKind::Full, entries })
    }

    pub fn delta(&mut self, e: Entry) -> Vec<Action> {
        self.event(Event::Endpoints { kind: ListKind::Delta, entries: vec![e] })
    }

    pub fn request_with(&mut self, object: u64, class: usize, size_kb: f64) -> Vec<Action> {
        let id = RequestId(self.next);
        self.next += 1;
        self.event(Event::Request(Request {
            id,
            object: ObjectId(object),
            part: 0,
            class,
            size_kb,
            budget_ms: 5000.0,
            group: 3,
        }))
    }

    pub fn request(&mut self, object: u64) -> Vec<Action> {
        self.request_with(object, 0, 100.0)
    }

    pub fn end_after(&mut self, s: &Sent, attempt: u32, how: (Ending, u8), elapsed_ms: f64) -> Vec<Action> {
        self.event(Event::Outcome(Outcome {
            id: s.id,
            attempt,
            cache: s.cache.as_str().into(),
            ending: how.0,
            elapsed_ms,
            over: how.0 == Ending::Completed,
            detail: how.1,
            fill_wait_ms: 0.0,
            reported_in_flight: self.reported_in_flight,
        }))
    }

    pub fn end(&mut self, s: &Sent, attempt: u32, ending: Ending, detail: u8) -> Vec<Action> {
        self.end_after(s, attempt, (ending, detail), 50.0)
    }

    /// Time passes until the module calls something off; whether it did within three seconds.
    pub fn wait_until_cancelled(&mut self) -> bool {
        (0..60).any(|_| {
            self.now += 50.0;
            let out = self.event(Event::Timer { token: 0 });
            out.iter().any(|a| matches!(a, Action::Cancel { .. }))
        })
    }

    /// Asks and has it served with that detail; what was sent.
    pub fn serve(&mut self, object: u64, detail: u8) -> Sent {
        let s = sent(&self.request(object)).expect("sent");
        self.now += 50.0;
        let after = self.end(&s, 0, Ending::Completed, detail);
        assert!(sent(&after).is_none(), "nothing more after the final answer");
        s
    }
}

/// `caches` caches of the location, the first `cold` of them started at `started_ms`, two parents and an origin.
pub fn wide_fleet(caches: usize, in_slow_start: usize, started_ms: f64) -> Vec<Entry> {
    let mut all: Vec<Entry> = (0..caches).map(|i| entry(&format!("c{i}:1"), 1, 0)).collect();
    all.iter_mut().take(in_slow_start).for_each(|e| e.started_ms = started_ms);
    all.extend(["p1:1", "p2:1"].iter().map(|n| entry(n, 0, 1)));
    all.push(entry("o1:1", 0, 2));
    all
}
