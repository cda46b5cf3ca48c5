//! Unit tests of the discovery watch's reconnection.

use super::*;

#[test]
fn fronts_that_lost_the_bus_together_reconnect_at_different_times() {
    for attempt in 0..20 {
        let mut delays: Vec<_> = (0..100).map(|seed| reconnect_delay(seed * 7919, attempt)).collect();
        delays.sort();
        assert!(delays[0] >= RECONNECT_DELAY / 2 && delays[99] <= RECONNECT_DELAY * 3 / 2);
        // No interval as long as a tenth of the mean delay contains more than a quarter of the delays.
        let tenth = RECONNECT_DELAY / 10;
        let counts = delays
            .iter()
            .map(|delay| delays.iter().filter(|other| **other >= *delay && **other < *delay + tenth).count());
        assert!(
            counts.max().is_some_and(|m| m <= 25),
            "at most 25 of the 100 delays lie within a tenth of the mean delay, got {delays:?}"
        );
    }
    assert_eq!(reconnect_delay(1, 2), reconnect_delay(1, 2));
}
