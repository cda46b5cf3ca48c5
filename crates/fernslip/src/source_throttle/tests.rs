use super::*;

/// A source past its limit is asked for little more than it takes; a few refusals hold nothing back.
#[test]
fn fills_that_sources_reject_are_throttled() {
    let mut t = AdaptiveThrottle::default();
    t.record_end(0.0, false);
    assert_eq!(t.throttled_fraction(0.0), 0.0, "one says nothing");
    // Fifty a second are wanted; the source takes ten.
    let (mut requested, mut accepted) = (0, 0);
    for n in 0..1_000u64 {
        let now = 20.0 * n as f64;
        if t.should_throttle(now, crate::rendezvous::mix(n)) {
            t.record_throttled(now, true);
        } else {
            let accepts = accepted as f64 <= now / 100.0;
            t.record_end(now, accepts);
            (requested, accepted) = (requested + 1, accepted + u32::from(accepts));
        }
    }
    assert!(requested < 2 * accepted && accepted > 190, "{requested} asked, {accepted} taken");
    assert_eq!(t.throttled_fraction(60_000.0), 0.0, "it is forgotten");
}
