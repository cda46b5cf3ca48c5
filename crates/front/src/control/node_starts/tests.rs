//! Unit tests of the start times of cache nodes.

use super::*;
use crate::clock::Clock;

/// 0 is 'long ago', the same number is the same start, and one long before this front is a time of its own.
#[test]
fn a_nodes_reported_start_keeps_its_module_time() {
    let (wall, starts) = (WallClock::start(Clock::start()), NodeStarts::default());
    let module_time = |unix_ms| starts.module_time(&wall, &"n-1".into(), unix_ms, None);
    assert_eq!(module_time(0.0), 0.0);
    let long_ago = module_time(1.0);
    assert!(long_ago > 0.0, "not 'none'");
    assert_eq!(module_time(1.0), long_ago);
}
