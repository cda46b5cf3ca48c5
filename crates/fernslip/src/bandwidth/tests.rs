use super::*;

/// Records answers for `open` concurrent transfers over a link that carries `link_capacity` of them at the
/// full rate.
fn record_answers(estimate: &mut Bandwidth, link_capacity: f64, open: f64, answers: usize) {
    for n in 0..answers {
        let work_ms = 50.0 + 100.0 * (n % 5) as f64;
        estimate.record_answer(work_ms, work_ms * (open / link_capacity).max(1.0) + 8.0, 10.0, open);
    }
}

#[test]
fn the_bandwidth_of_a_saturated_link_is_learned() {
    for bandwidth in [1.0, 3.0, 9.0, 40.0] {
        let mut estimate = Bandwidth::default();
        record_answers(&mut estimate, bandwidth, 2.0 * bandwidth, 60);
        assert!(
            estimate.saturated && (estimate.capacity / bandwidth - 1.0).abs() < 0.1,
            "a saturated link with a bandwidth of {bandwidth} was estimated as {estimate:?}"
        );
    }
}

#[test]
fn an_underused_link_is_estimated_by_its_load_and_not_as_saturated() {
    let mut estimate = Bandwidth::default();
    record_answers(&mut estimate, 20.0, 5.0, 200);
    assert!(!estimate.saturated && estimate.capacity >= 5.0 && estimate.capacity <= 6.5, "{estimate:?}");
}

#[test]
fn the_estimate_follows_a_link_that_slows_and_recovers() {
    let mut estimate = Bandwidth::default();
    record_answers(&mut estimate, 12.0, 24.0, 60);
    record_answers(&mut estimate, 3.0, 12.0, 40);
    assert!(estimate.capacity < 4.0, "{estimate:?}");
    // The load follows the estimate, which must rise until it reaches the link's real capacity.
    (0..150).for_each(|_| {
        let open = 1.2 * estimate.capacity;
        record_answers(&mut estimate, 12.0, open, 1);
    });
    assert!(estimate.capacity > 10.0 && estimate.capacity < 14.0, "{estimate:?}");
}

#[test]
fn the_delivery_rate_matches_an_even_load_and_decays() {
    let mut delivery = DeliveryRate::default();
    (0..2_000).for_each(|n| delivery.record(10.0 * f64::from(n), 30.0, 40.0));
    assert!((delivery.rate(20_000.0) - 3.0).abs() < 0.05, "{delivery:?}");
    assert!(delivery.rate(30_000.0) < 0.05);
    // Ten simultaneous transfers over a link that carries two at the full rate end together, and show a rate
    // of two.
    let mut delivery = DeliveryRate::default();
    (0..10).for_each(|_| delivery.record(1_000.0, 200.0, 1_000.0));
    assert!((delivery.rate(1_000.0) - 2.0).abs() < 1e-9, "{delivery:?}");
}

#[test]
fn answers_with_invalid_measurements_are_ignored() {
    let mut estimate = Bandwidth::default();
    for (work, took, open) in
        [(0.0, 5.0, 1.0), (f64::NAN, 5.0, 1.0), (5.0, f64::INFINITY, 1.0), (5.0, 5.0, f64::NAN)]
    {
        estimate.record_answer(work, took, 0.0, open);
    }
    assert_eq!(estimate, Bandwidth::default());
}
