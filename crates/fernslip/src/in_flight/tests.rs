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

/// A source past its limit is asked for little more than it takes; a few refusals hold nothing back.
#[test]
fn what_sources_turn_away_is_held_back() {
    let mut t = AdaptiveThrottle::default();
    t.record_end(0.0, false);
    assert_eq!(t.throttled_fraction(0.0), 0.0, "one says nothing");
    // Fifty a second are wanted; the source takes ten.
    let (mut asked, mut taken) = (0, 0);
    for n in 0..1_000u64 {
        let now = 20.0 * n as f64;
        if t.should_throttle(now, crate::rendezvous::mix(n)) {
            t.record_throttled(now, true);
        } else {
            let takes = taken as f64 <= now / 100.0;
            t.record_end(now, takes);
            (asked, taken) = (asked + 1, taken + u32::from(takes));
        }
    }
    assert!(asked < 2 * taken && taken > 190, "{asked} asked, {taken} taken");
    assert_eq!(t.throttled_fraction(60_000.0), 0.0, "it is forgotten");
}

#[test]
fn a_report_counts_for_the_others_and_wears_out() {
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
