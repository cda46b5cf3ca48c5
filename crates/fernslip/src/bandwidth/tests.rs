use super::*;

/// `open` transfers of `work_ms` at a time over a link that carries `width`.
fn record_answers(w: &mut Bandwidth, bandwidth: f64, open: f64, answers: usize) {
    for n in 0..answers {
        let work = 50.0 + 100.0 * (n % 5) as f64;
        w.record_answer(work, work * (open / bandwidth).max(1.0) + 8.0, 10.0, open);
    }
}

#[test]
fn a_saturated_link_shows_its_bandwidth() {
    for bandwidth in [1.0, 3.0, 9.0, 40.0] {
        let mut w = Bandwidth::default();
        record_answers(&mut w, bandwidth, 2.0 * bandwidth, 60);
        assert!(w.saturated && (w.capacity / bandwidth - 1.0).abs() < 0.1, "{bandwidth}: {w:?}");
    }
}

#[test]
fn a_quiet_link_shows_no_more_than_it_carried_and_is_not_full() {
    let mut w = Bandwidth::default();
    record_answers(&mut w, 20.0, 5.0, 200);
    assert!(!w.saturated && w.capacity >= 5.0 && w.capacity <= 6.5, "{w:?}");
}

#[test]
fn a_link_that_slows_and_recovers_is_followed() {
    let mut w = Bandwidth::default();
    record_answers(&mut w, 12.0, 24.0, 60);
    record_answers(&mut w, 3.0, 12.0, 40);
    assert!(w.capacity < 4.0, "{w:?}");
    // It is given what it is taken to carry, and is found to carry more.
    (0..150).for_each(|_| {
        let open = 1.2 * w.capacity;
        record_answers(&mut w, 12.0, open, 1);
    });
    assert!(w.capacity > 10.0 && w.capacity < 14.0, "{w:?}");
}

#[test]
fn what_is_delivered_evenly_is_the_rate_and_fades() {
    let mut d = DeliveryRate::default();
    (0..2_000).for_each(|n| d.record(10.0 * f64::from(n), 30.0, 40.0));
    assert!((d.rate(20_000.0) - 3.0).abs() < 0.05, "{d:?}");
    assert!(d.rate(30_000.0) < 0.05);
    // Ten at once over a link that carries two of them at a time: they end together, and show two and no more.
    let mut d = DeliveryRate::default();
    (0..10).for_each(|_| d.record(1_000.0, 200.0, 1_000.0));
    assert!((d.rate(1_000.0) - 2.0).abs() < 1e-9, "{d:?}");
}

#[test]
fn invalid_times_change_nothing() {
    let mut w = Bandwidth::default();
    for (work, took, open) in
        [(0.0, 5.0, 1.0), (f64::NAN, 5.0, 1.0), (5.0, f64::INFINITY, 1.0), (5.0, 5.0, f64::NAN)]
    {
        w.record_answer(work, took, 0.0, open);
    }
    assert_eq!(w, Bandwidth::default());
}
