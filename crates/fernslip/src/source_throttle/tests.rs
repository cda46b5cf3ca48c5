use super::*;

/// An overloaded source must receive few more fills than it accepts, and a few rejections must not throttle
/// anything.
#[test]
fn fills_that_sources_reject_are_throttled() {
    let mut throttle = AdaptiveThrottle::default();
    throttle.record_fill(0.0, false);
    assert_eq!(throttle.throttled_fraction(0.0), 0.0, "a single rejection must not throttle fills");
    // Fifty fills per second are wanted, and the source accepts ten.
    let (mut requested, mut accepted) = (0, 0);
    for n in 0..1_000u64 {
        let now = 20.0 * n as f64;
        if throttle.should_throttle(now, crate::rendezvous::mix_bits(n)) {
            throttle.record_throttled(now, true);
        } else {
            let accepts = accepted as f64 <= now / 100.0;
            throttle.record_fill(now, accepts);
            (requested, accepted) = (requested + 1, accepted + u32::from(accepts));
        }
    }
    assert!(
        requested < 2 * accepted && accepted > 190,
        "only {accepted} of {requested} requested fills were accepted"
    );
    assert_eq!(throttle.throttled_fraction(60_000.0), 0.0, "old rejections must no longer throttle fills");
}
