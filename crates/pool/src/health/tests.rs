//! Unit tests of the private items of `health`.

use super::*;

fn spec() -> Spec {
    Spec {
        name: "p".into(),
        members: Vec::new(),
        in_flight: None,
        max_queue_wait_ms: 0.0,
        max_queued: 0,
        max_attempts: 1,
        retry_budget: 0.0,
        retry_burst: 0.0,
        eject_after_failures: 2,
        first_backoff_ms: 100.0,
        max_backoff_ms: 350.0,
    }
}

#[test]
fn backoff_doubles_up_to_the_maximum_and_one_half_open_probe_is_in_flight_at_a_time() {
    let (spec, mut h) = (spec(), Health::HEALTHY);
    h.on_ended(0.0, 1, AttemptOutcome::Failure, &spec, 1.0);
    h.on_ended(1.0, 2, AttemptOutcome::Success, &spec, 1.0);
    h.on_ended(2.0, 3, AttemptOutcome::Failure, &spec, 1.0);
    assert!(h.is_healthy(), "not in a row");
    h.on_ended(3.0, 4, AttemptOutcome::Failure, &spec, 1.0);
    let mut now = 3.0;
    for (n, wait) in [100.0, 200.0, 350.0, 350.0].into_iter().enumerate() {
        assert_eq!(h.probe_due_ms(), Some(now + wait));
        h.tick(now + wait - 0.1);
        assert!(!h.accepts_requests());
        now += wait;
        h.tick(now);
        assert!(h.accepts_requests() && !h.is_healthy());
        let probe = 10 + n as u64;
        h.on_sent(probe);
        assert!(!h.accepts_requests(), "one at a time");
        h.on_sent(99);
        h.on_ended(now, 99, AttemptOutcome::Success, &spec, 1.0);
        assert!(!h.is_healthy(), "another request's answer does not count");
        h.on_ended(now, probe, AttemptOutcome::Failure, &spec, 1.0);
    }
    h.tick(now + 1000.0);
    h.on_sent(50);
    h.on_ended(now + 1000.0, 50, AttemptOutcome::Inconclusive, &spec, 1.0);
    assert!(h.accepts_requests(), "an inconclusive probe is made again");
    h.on_sent(51);
    assert_eq!(
        h.on_ended(now + 1000.0, 51, AttemptOutcome::Success, &spec, 1.0),
        Some(Recovery::SameProcess)
    );
    assert_eq!(h, Health::HEALTHY);
}

#[test]
fn an_endpoint_ejected_after_a_refused_connection_recovers_as_just_started() {
    let (spec, mut h) = (Spec { eject_after_failures: 1, ..spec() }, Health::HEALTHY);
    h.on_ended(0.0, 1, AttemptOutcome::ConnectionRefused, &spec, 1.25);
    assert_eq!(h.probe_due_ms(), Some(125.0));
    h.tick(125.0);
    h.on_sent(2);
    h.on_ended(130.0, 2, AttemptOutcome::Failure, &spec, 1.0);
    h.tick(1000.0);
    h.on_sent(3);
    assert_eq!(h.on_ended(1000.0, 3, AttemptOutcome::Success, &spec, 1.0), Some(Recovery::JustStarted));
}
