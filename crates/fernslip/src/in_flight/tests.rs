use super::*;

/// A late report in place of what a router alone at its boxes knows sent a sixth of a second's requests too many
/// there, and too few in the next.
#[test]
fn a_router_alone_goes_by_its_own_count() {
    let mut c = InFlight::default();
    (0..5).for_each(|n| c.local.step(f64::from(n), 1.0));
    c.record_report(10.0, 40.0);
    assert_eq!(c.estimate_all(10.0, 1.0), 5.0);
}

#[test]
fn a_load_report_counts_for_other_routers_and_fades() {
    let mut c = InFlight::default();
    c.local.step(0.0, 1.0);
    let guess = c.estimate_all(50_000.0, 10.0);
    c.record_report(50_000.0, 31.0);
    let (others, later) = (c.estimate_all(50_000.0, 10.0), c.estimate_all(56_000.0, 10.0));
    assert!((guess - 10.0).abs() < 0.1 && (others - 28.9).abs() < 0.1, "{guess} {others}");
    assert!((later - guess).abs() < 0.1, "{later}");
    c.record_report(56_000.0, f64::NAN);
    c.record_report(56_000.0, -3.0);
    assert!((c.estimate_all(56_000.0, 10.0) - later).abs() < 0.1, "what is no count is passed over");
}
