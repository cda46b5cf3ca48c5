use super::*;
use crate::upstream::connection_pool::{ConnectionLimits, ConnectionPool};
use fernslip::{Action, Ending, Event, ListKind, ObjectId, Phase, Request, Router};
use std::time::Duration;

fn base() -> (Settings, fernslip::json::Names) {
    let text = include_str!("../../../../../examples/config.json");
    let v: serde_json::Value = serde_json::from_str(text).expect("JSON");
    fernslip::json::settings(&v["settings"]).expect("settings")
}

fn entry(name: &str, zone: usize, kind: Option<usize>, started_ms: f64) -> Entry {
    let (zone, cell, weight, phase) = (Some(zone), 0, 20.0, Phase::In);
    Entry { cache: name.into(), weight, zone, kind, cell, started_ms, phase }
}

/// Guards a parent that warms up against the queues of one front: each has a module of its own, which knows of no other.
#[test]
fn queues_that_share_a_warming_up_parent_keep_to_its_budget_together() {
    let (base, _) = base();
    let base = Settings { routers: 2, ..base };
    let (queues, born) = (4, 50_000.0);
    let mut all = Vec::new();
    for front in 0..2 {
        for queue in 0..queues {
            let settings =
                queue_settings(&Settings { slot: front, ..base.clone() }, queues, queue, queues as u32);
            let mut r = Router::new(settings, 1 + u64::from(front)).expect("sound");
            let entries = vec![
                entry("cache-1", base.zone, Some(0), 0.0),
                entry("cache-2", base.zone, Some(0), 0.0),
                entry("parent-1", 0, base.parent_kind, born),
            ];
            r.handle(born, Event::Endpoints { kind: ListKind::Full, entries }, &mut Vec::new());
            all.push(r);
        }
    }
    // Work of 100 ms each, far more than a parent that warms up may be sent; all of it has to be filled.
    let size_kb = base.stream_kb_per_s / 10.0;
    let mut sends = Vec::new();
    for n in 0..8_000u64 {
        let now = born + n as f64;
        let request = Request {
            id: RequestId(n + 1),
            object: ObjectId(n),
            part: 0,
            class: 0,
            size_kb,
            budget_ms: 3000.0,
            group: 0,
        };
        let mut actions = Vec::new();
        let r = &mut all[n as usize % (2 * queues)];
        r.handle(now, Event::Request(request), &mut actions);
        for action in actions {
            if let Action::Forward { id, cache, source, .. } = action {
                if &*source.0 == "parent-1" {
                    sends.push(now);
                }
                let outcome = fernslip::Outcome {
                    id,
                    attempt: 0,
                    cache,
                    ending: Ending::Completed,
                    elapsed_ms: 120.0,
                    over: true,
                    detail: 2,
                    fill_wait_ms: 0.0,
                    reported_in_flight: None,
                };
                r.handle(now, Event::Outcome(outcome), &mut Vec::new());
            }
        }
    }
    assert!(sends.len() > 10, "{} sends", sends.len());
    let window = base.slow_start_window_ms;
    for (i, from) in sends.iter().enumerate() {
        let work = 100.0 * sends[i..].iter().filter(|t| **t < from + window).count() as f64;
        let rise = (from + window / 2.0 - born) / base.parent_slow_start_ms;
        let warmth = base.parent_slow_start_from + (1.0 - base.parent_slow_start_from) * rise;
        let budget = base.parent_slow_start_multiple * 20.0 * warmth * window;
        assert!(work <= budget, "{work} ms of {budget} at {}", from - born);
    }
}

/// Two queues of a front with those settings, by one module: only what the queues share matters.
fn queues(settings: &Settings) -> DispatchQueues {
    let limits = ConnectionLimits {
        streams: 32,
        connect_timeout: Duration::from_millis(400),
        idle: Duration::from_secs(9),
        connections: 4,
    };
    let registry = Arc::new(NodeRegistry::default());
    let host = || DispatchHost {
        upstream: Arc::new(ConnectionPool::new(limits, Arc::default(), Arc::default())),
        peers: None,
        registry: registry.clone(),
        effects: Arc::from([]),
        evidence: Default::default(),
        sources: [None, None],
    };
    let mut queues = DispatchQueues::new(settings, 1, None, registry.clone(), host).expect("sound");
    queues.queues.push(queues.queues[0].clone());
    queues
}

/// Guards the front's memory: each queue's module counts its own requests only.
#[test]
fn open_requests_are_limited_over_all_queues() {
    let queues = queues(&Settings { max_in_flight: 3, ..base().0 });
    let reservations: Vec<_> =
        (0..3).map(|n| queues.reserve(RequestId(n)).expect("below the limit")).collect();
    assert!(queues.reserve(RequestId(9)).is_none(), "a fourth");
    assert!(queues.reserve(RequestId(1)).is_none(), "an id that is open");
    drop(reservations);
    let again: Vec<_> = (0..3).map(|n| queues.reserve(RequestId(n))).collect();
    assert!(again.iter().all(Option::is_some), "reservations are given back");
}

/// Two customers' settings in one process: limits, pauses and open requests of the one are not the other's.
#[test]
fn queues_of_other_settings_share_nothing() {
    let (first, _) = base();
    let (a, b) =
        (queues(&first), queues(&Settings { max_in_flight: 1, max_retry_after_ms: 70.0, ..first.clone() }));
    assert_eq!((a.retry_after_ms(), b.retry_after_ms()), (400.0, 70.0));
    let reservations = b.reserve(RequestId(1)).expect("the first");
    assert!(b.reserve(RequestId(2)).is_none(), "no more");
    let others: Vec<_> = (1..9).map(|n| a.reserve(RequestId(n))).collect();
    assert!(others.iter().all(Option::is_some), "the same ids, and as many as its own settings allow");
    drop(reservations);
    assert!(b.reserve(RequestId(2)).is_some());
}
