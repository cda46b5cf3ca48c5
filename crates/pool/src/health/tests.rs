//! Unit tests of the private items of `health`.

use super::*;

fn spec() -> Spec {
    Spec {
        name: "p".into(),
        parts: Vec::new(),
        in_flight: None,
        wait_ms: 0.0,
        waiting: 0,
        attempts: 1,
        retry_budget: 0.0,
        retry_burst: 0.0,
        failures: 2,
        first_backoff_ms: 100.0,
        max_backoff_ms: 350.0,
    }
}

#[test]
fn backoff_doubles_up_to_the_maximum_and_one_half_open_probe_is_in_flight_at_a_time() {
    let (spec, mut h) = (spec(), Health::HEALTHY);
    h.ended(0.0, 1, AttemptOutcome::Failure, &spec, 1.0);
    h.ended(1.0, 2, AttemptOutcome::Success, &spec, 1.0);
    h.ended(2.0, 3, AttemptOutcome::Failure, &spec, 1.0);
    assert!(h.is_healthy(), "not in a row");
    h.ended(3.0, 4, AttemptOutcome::Failure, &spec, 1.0);
    let mut now = 3.0;
    for (n, wait) in [100.0, 200.0, 350.0, 350.0].into_iter().enumerate() {
        assert_eq!(h.probe_due_ms(), Some(now + wait));
        h.tick(now + wait - 0.1);
        assert!(!h.may_be_sent());
        now += wait;
        h.tick(now);
        assert!(h.may_be_sent() && !h.is_healthy());
        let trial = 10 + n as u64;
        h.sent(trial);
        assert!(!h.may_be_sent(), "one at a time");
        h.sent(99);
        h.ended(now, 99, AttemptOutcome::Success, &spec, 1.0);
        assert!(!h.is_healthy(), "another's answer is no proof");
        h.ended(now, trial, AttemptOutcome::Failure, &spec, 1.0);
    }
    h.tick(now + 1000.0);
    h.sent(50);
    h.ended(now + 1000.0, 50, AttemptOutcome::Inconclusive, &spec, 1.0);
    assert!(h.may_be_sent(), "a trial that told nothing is made again");
    h.sent(51);
    assert_eq!(h.ended(now + 1000.0, 51, AttemptOutcome::Success, &spec, 1.0), Some(false));
    assert_eq!(h, Health::HEALTHY);
}

#[test]
fn an_endpoint_ejected_after_a_refused_connection_recovers_as_just_started() {
    let (spec, mut h) = (Spec { failures: 1, ..spec() }, Health::HEALTHY);
    h.ended(0.0, 1, AttemptOutcome::ConnectionRefused, &spec, 1.25);
    assert_eq!(h.probe_due_ms(), Some(125.0));
    h.tick(125.0);
    h.sent(2);
    h.ended(130.0, 2, AttemptOutcome::Failure, &spec, 1.0);
    h.tick(1000.0);
    h.sent(3);
    assert_eq!(h.ended(1000.0, 3, AttemptOutcome::Success, &spec, 1.0), Some(true));
}
