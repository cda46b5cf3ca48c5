use super::*;

#[test]
fn fronts_that_lost_the_bus_together_come_back_apart() {
    for n in 0..20 {
        let mut waits: Vec<_> = (0..100).map(|seed| retry_after(seed * 7919, n)).collect();
        waits.sort();
        assert!(waits[0] >= RETRY / 2 && waits[99] <= RETRY * 3 / 2);
        // In no tenth of the time are there more than a quarter of them.
        let tenth = RETRY / 10;
        let most = waits.iter().map(|w| waits.iter().filter(|o| **o >= *w && **o < *w + tenth).count());
        assert!(most.max().is_some_and(|m| m <= 25), "{waits:?}");
    }
    assert_eq!(retry_after(1, 2), retry_after(1, 2));
}

/// 0 is 'long ago', the same number is the same start, and one long before this front is a time of its own.
#[test]
fn starts_of_nodes_keep_their_time() {
    let (wall, starts) = (WallClock::start(Clock::start()), Starts::default());
    let learn = |unix_ms| starts.learn(&wall, &"n-1".into(), unix_ms, None);
    assert_eq!(learn(0.0), 0.0);
    let long_ago = learn(1.0);
    assert!(long_ago > 0.0, "not 'none'");
    assert_eq!(learn(1.0), long_ago);
}
