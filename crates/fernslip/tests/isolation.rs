//! Routers of two customers in one process: each acts as it would alone in the process, whatever the other's
//! settings and events are.
mod common;
use common::*;
use fernslip::*;

/// Settings of a deployment with other classes, limits and features.
fn other_settings() -> Settings {
    let classes = ["order", "preview"].map(|name| Class {
        name: name.into(),
        objective_ms: 90.0,
        deadline_ms: 400.0,
        priority_weight: 8.0,
        effect: Effect::AtMostOnce,
        write: name == "order",
        fresh_ms: if name == "order" { 0.0 } else { 500.0 },
        ..class()
    });
    Settings {
        classes: classes.to_vec(),
        stream_kb_per_s: 9_000.0,
        max_attempts: 2,
        max_in_flight: 3,
        max_retry_after_ms: 70.0,
        cancel: false,
        join_fills: false,
        neighbours: Neighbours::None,
        slow_start_multiple: 3.0,
        drain_grace_ms: 250.0,
        ..settings()
    }
}

/// A router and its own stream of requests, outcomes, cancellations and purges, fed a step at a time.
struct EventStream {
    router: Router,
    step: u64,
    class: usize,
    /// Debug form of the actions of each step.
    actions: Vec<String>,
}

impl EventStream {
    fn new(settings: Settings, class: usize) -> EventStream {
        let mut router = Router::new(settings, 5).expect("the test settings are valid");
        let mut out = Vec::new();
        router.handle(1_000.0, Event::Endpoints { kind: ListKind::Full, entries: endpoints() }, &mut out);
        EventStream { router, step: 0, class, actions: vec![format!("{out:?}")] }
    }

    fn step(&mut self) {
        self.step += 1;
        let (n, now) = (self.step, 1_000.0 + 7.0 * self.step as f64);
        let (id, object) = (RequestId(n), ObjectId(n % 11));
        let request =
            Request { id, object, part: 0, class: self.class, size_kb: 40.0, budget_ms: 300.0, group: 1 };
        let mut out = Vec::new();
        self.router.handle(now, Event::Request(request), &mut out);
        let sent: Vec<CacheId> = out
            .iter()
            .filter_map(|a| if let Action::Forward { cache, .. } = a { Some(cache.clone()) } else { None })
            .collect();
        for cache in sent {
            let ending = if n % 5 == 0 { Ending::Saturated } else { Ending::Completed };
            let (elapsed_ms, over) = (30.0, ending == Ending::Completed);
            let o = Outcome {
                id,
                attempt: 0,
                cache,
                ending,
                elapsed_ms,
                over,
                detail: 2,
                fill_wait_ms: 0.0,
                reported_in_flight: None,
            };
            self.router.handle(now + 3.0, Event::Outcome(o), &mut out);
        }
        if n % 9 == 0 {
            self.router.handle(now + 4.0, Event::Cancelled { id }, &mut out);
            self.router.handle(
                now + 4.0,
                Event::Purged { object: Some(object), group: 1, age_ms: 10.0 },
                &mut out,
            );
        }
        self.actions.push(format!("{out:?}"));
    }
}

#[test]
fn routers_with_different_settings_in_one_process_do_not_affect_each_other() {
    let alone = |settings: fn() -> Settings, class| {
        let mut s = EventStream::new(settings(), class);
        (0..400).for_each(|_| s.step());
        s.actions
    };
    let (first, second) = (alone(settings, 0), alone(other_settings, 1));
    assert_ne!(first, second, "other settings give other actions");
    let (mut a, mut b) = (EventStream::new(settings(), 0), EventStream::new(other_settings(), 1));
    for n in 0..800 {
        // The steps of both streams alternate irregularly.
        if (n * 7) % 3 == 0 || b.step == 400 {
            (a.step < 400).then(|| a.step());
        } else {
            b.step();
        }
    }
    (a.step..400).for_each(|_| a.step());
    assert_eq!(a.actions, first);
    assert_eq!(b.actions, second);
}
