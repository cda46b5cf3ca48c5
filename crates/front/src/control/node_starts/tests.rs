//! Unit tests of the conversion of cache nodes' start times.

use super::*;
use crate::clock::Clock;

/// A reported start of 0 means 'long ago'; any other, even one long before this front started, gets its own
/// nonzero clock time and keeps it.
#[test]
fn a_nodes_reported_start_keeps_its_clock_time() {
    let (wall, starts) = (WallClock::start(Clock::start()), NodeStarts::default());
    let clock_time = |unix_ms| starts.clock_time(&wall, &"n-1".into(), unix_ms, None);
    assert_eq!(clock_time(0.0), 0.0);
    let long_ago = clock_time(1.0);
    assert!(long_ago > 0.0, "a start time of 1 ms is not converted to 0, which means 'long ago'");
    assert_eq!(clock_time(1.0), long_ago);
}
