//! Unit tests of ejection, backoff, half-open probes and recovery of a member.

use super::*;

fn ejecting_spec() -> PoolSpec {
    PoolSpec {
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
    let (spec, mut health) = (ejecting_spec(), Health::HEALTHY);
    health.on_attempt_ended(0.0, 1, AttemptOutcome::Failure, &spec, 1.0);
    health.on_attempt_ended(1.0, 2, AttemptOutcome::Success, &spec, 1.0);
    health.on_attempt_ended(2.0, 3, AttemptOutcome::Failure, &spec, 1.0);
    assert!(health.is_healthy(), "failures that are not consecutive must not eject the member");
    health.on_attempt_ended(3.0, 4, AttemptOutcome::Failure, &spec, 1.0);
    let mut now = 3.0;
    for (n, wait) in [100.0, 200.0, 350.0, 350.0].into_iter().enumerate() {
        assert_eq!(health.probe_due_ms(), Some(now + wait));
        health.half_open_if_due(now + wait - 0.1);
        assert!(!health.accepts_requests());
        now += wait;
        health.half_open_if_due(now);
        assert!(health.accepts_requests() && !health.is_healthy());
        let probe = 10 + n as u64;
        health.on_attempt_sent(probe);
        assert!(!health.accepts_requests(), "a second request must not be sent while a probe is in flight");
        health.on_attempt_sent(99);
        health.on_attempt_ended(now, 99, AttemptOutcome::Success, &spec, 1.0);
        assert!(
            !health.is_healthy(),
            "the success of a request that is not the probe must not end the ejection"
        );
        health.on_attempt_ended(now, probe, AttemptOutcome::Failure, &spec, 1.0);
    }
    health.half_open_if_due(now + 1000.0);
    health.on_attempt_sent(50);
    health.on_attempt_ended(now + 1000.0, 50, AttemptOutcome::Inconclusive, &spec, 1.0);
    assert!(health.accepts_requests(), "after an inconclusive probe another one may be sent");
    health.on_attempt_sent(51);
    assert_eq!(
        health.on_attempt_ended(now + 1000.0, 51, AttemptOutcome::Success, &spec, 1.0),
        Some(Recovery::SameProcess)
    );
    assert_eq!(health, Health::HEALTHY);
}

#[test]
fn an_endpoint_ejected_after_a_refused_connection_recovers_as_just_started() {
    let (spec, mut health) = (PoolSpec { eject_after_failures: 1, ..ejecting_spec() }, Health::HEALTHY);
    health.on_attempt_ended(0.0, 1, AttemptOutcome::ConnectionRefused, &spec, 1.25);
    assert_eq!(health.probe_due_ms(), Some(125.0));
    health.half_open_if_due(125.0);
    health.on_attempt_sent(2);
    health.on_attempt_ended(130.0, 2, AttemptOutcome::Failure, &spec, 1.0);
    health.half_open_if_due(1000.0);
    health.on_attempt_sent(3);
    assert_eq!(
        health.on_attempt_ended(1000.0, 3, AttemptOutcome::Success, &spec, 1.0),
        Some(Recovery::JustStarted)
    );
}
