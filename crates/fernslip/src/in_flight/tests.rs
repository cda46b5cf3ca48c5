use super::*;

/// Regression test: the only router of a location used to replace its exact count by a load report, which
/// arrives late. It then sent a node the requests of a sixth of a second too many, and later too few.
#[test]
fn a_router_alone_in_its_location_ignores_load_reports() {
    let mut in_flight = InFlight::default();
    (0..5).for_each(|n| in_flight.local.adjust(f64::from(n), 1.0));
    in_flight.record_report(10.0, 40.0);
    assert_eq!(in_flight.estimate_all_routers(10.0, 1.0), 5.0);
}

#[test]
fn a_load_report_replaces_the_estimate_for_other_routers_and_decays() {
    let mut in_flight = InFlight::default();
    in_flight.local.adjust(0.0, 1.0);
    let guess = in_flight.estimate_all_routers(50_000.0, 10.0);
    in_flight.record_report(50_000.0, 31.0);
    let (others, later) =
        (in_flight.estimate_all_routers(50_000.0, 10.0), in_flight.estimate_all_routers(56_000.0, 10.0));
    assert!(
        (guess - 10.0).abs() < 0.1 && (others - 28.9).abs() < 0.1,
        "the estimate must be 10 without a report and 28.9 with one, but is {guess} and {others}"
    );
    assert!(
        (later - guess).abs() < 0.1,
        "the estimate must return to {guess} once the report has expired, but is {later}"
    );
    in_flight.record_report(56_000.0, f64::NAN);
    in_flight.record_report(56_000.0, -3.0);
    assert!(
        (in_flight.estimate_all_routers(56_000.0, 10.0) - later).abs() < 0.1,
        "invalid load reports must be ignored"
    );
}
