use super::*;
use crate::upstream::connection_pool::{ConnectionLimits, ConnectionPool};
use crate::upstream::upstream_memory::UpstreamMemory;
use fernslip::{Action, Ending, Event, ListKind, ObjectId, Phase, Request, Router};
use std::time::Duration;

fn example_settings() -> (Settings, fernslip::json::Names) {
    let text = include_str!("../../../../../examples/config.json");
    let config: serde_json::Value =
        serde_json::from_str(text).expect("the example configuration is valid JSON");
    fernslip::json::parse_settings(&config["settings"]).expect("the example settings are valid")
}

fn serving_entry(name: &str, zone: usize, kind: Option<usize>, started_ms: f64) -> Entry {
    let (zone, cell, weight, phase) = (Some(zone), 0, 20.0, Phase::In);
    Entry { cache: name.into(), weight, zone, kind, cell, started_ms, phase }
}

/// Each queue of a front has its own decision module, which does not know of the others. Together they must
/// not send a parent that is warming up more than its budget.
#[test]
fn queues_with_a_common_warming_up_parent_stay_within_its_budget() {
    let (base, _) = example_settings();
    let base = Settings { routers: 2, ..base };
    let (queues, born) = (4, 50_000.0);
    let mut routers = Vec::new();
    for front in 0..2 {
        for queue in 0..queues {
            let settings =
                queue_settings(&Settings { slot: front, ..base.clone() }, queues, queue, queues as u32);
            let mut router = Router::new(settings, 1 + u64::from(front)).expect("the settings are valid");
            let entries = vec![
                serving_entry("cache-1", base.zone, Some(0), 0.0),
                serving_entry("cache-2", base.zone, Some(0), 0.0),
                serving_entry("parent-1", 0, base.parent_kind, born),
            ];
            router.handle(born, Event::Endpoints { kind: ListKind::Full, entries }, &mut Vec::new());
            routers.push(router);
        }
    }
    // Each request is 100 ms of work, and together they are far more than a parent that is warming up may
    // be sent. Every request has to be filled.
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
        let router = &mut routers[n as usize % (2 * queues)];
        router.handle(now, Event::Request(request), &mut actions);
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
                router.handle(now, Event::Outcome(outcome), &mut Vec::new());
            }
        }
    }
    assert!(sends.len() > 10, "expected more than 10 sends to the parent, got {}", sends.len());
    let window = base.slow_start_window_ms;
    for (i, from) in sends.iter().enumerate() {
        let work = 100.0 * sends[i..].iter().filter(|t| **t < from + window).count() as f64;
        let elapsed_fraction = (from + window / 2.0 - born) / base.parent_slow_start_ms;
        let allowed_fraction =
            base.parent_slow_start_from + (1.0 - base.parent_slow_start_from) * elapsed_fraction;
        let budget = base.parent_slow_start_multiple * 20.0 * allowed_fraction * window;
        assert!(
            work <= budget,
            "the {work} ms of work in the window {} ms after the start exceed the budget of {budget} ms",
            from - born
        );
    }
}

/// Two queues with these settings that use one dispatcher, because only what the queues have in common is
/// tested.
fn two_queues(settings: &Settings) -> DispatchQueues {
    let limits = ConnectionLimits {
        streams: 32,
        connect_timeout: Duration::from_millis(400),
        idle: Duration::from_secs(9),
        connections: 4,
    };
    let registry = Arc::new(NodeRegistry::default());
    let host = || DispatchHost {
        upstream: Arc::new(ConnectionPool::new(
            limits,
            UpstreamMemory::default(),
            Arc::default(),
            Arc::default(),
        )),
        peers: None,
        registry: registry.clone(),
        effects: Arc::from([]),
        evidence: Default::default(),
        sources: [None, None],
    };
    let mut queues =
        DispatchQueues::new(settings, 1, None, registry.clone(), host).expect("the settings are valid");
    queues.queues.push(queues.queues[0].clone());
    queues
}

/// The limit on open requests applies to all queues together, which protects the front's memory: each queue's
/// decision module counts only its own requests.
#[test]
fn open_requests_are_limited_over_all_queues() {
    let queues = two_queues(&Settings { max_in_flight: 3, ..example_settings().0 });
    let reservations: Vec<_> =
        (0..3).map(|n| queues.reserve(RequestId(n)).expect("the request is below the limit of 3")).collect();
    assert!(queues.reserve(RequestId(9)).is_none(), "a fourth request exceeds the limit of 3");
    assert!(queues.reserve(RequestId(1)).is_none(), "an id that is open already is not reserved again");
    drop(reservations);
    let again: Vec<_> = (0..3).map(|n| queues.reserve(RequestId(n))).collect();
    assert!(again.iter().all(Option::is_some), "dropped reservations are available again");
}

/// One process runs the settings of two customers: the limits, retry hints and open requests of one must
/// not affect the other.
#[test]
fn fronts_with_different_settings_have_separate_limits() {
    let (first, _) = example_settings();
    let (first_queues, second_queues) = (
        two_queues(&first),
        two_queues(&Settings { max_in_flight: 1, max_retry_after_ms: 70.0, ..first.clone() }),
    );
    assert_eq!((first_queues.retry_after_ms(), second_queues.retry_after_ms()), (400.0, 70.0));
    let reservations =
        second_queues.reserve(RequestId(1)).expect("the first request is within the limit of 1");
    assert!(second_queues.reserve(RequestId(2)).is_none(), "a second request exceeds the limit of 1");
    let others: Vec<_> = (1..9).map(|n| first_queues.reserve(RequestId(n))).collect();
    assert!(
        others.iter().all(Option::is_some),
        "the other queues accept the same ids, up to their own limit"
    );
    drop(reservations);
    assert!(second_queues.reserve(RequestId(2)).is_some());
}
