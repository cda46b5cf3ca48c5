//! Unit tests of the discovery watch's reconnection.

use super::*;

#[test]
fn fronts_that_lost_the_bus_together_reconnect_at_different_times() {
    for n in 0..20 {
        let mut delays: Vec<_> = (0..100).map(|seed| reconnect_delay(seed * 7919, n)).collect();
        delays.sort();
        assert!(delays[0] >= RECONNECT_DELAY / 2 && delays[99] <= RECONNECT_DELAY * 3 / 2);
        // In no tenth of the time are there more than a quarter of them.
        let tenth = RECONNECT_DELAY / 10;
        let counts = delays
            .iter()
            .map(|delay| delays.iter().filter(|other| **other >= *delay && **other < *delay + tenth).count());
        assert!(counts.max().is_some_and(|m| m <= 25), "{delays:?}");
    }
    assert_eq!(reconnect_delay(1, 2), reconnect_delay(1, 2));
}
