use super::*;

/// A gap shows in the metrics while it lasts and afterwards; an operator who looks during a stall would
/// otherwise see the figures from before it.
#[test]
fn a_gap_is_shown_while_it_lasts_and_afterwards() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let passes = PassTimes::new(start);
    passes.record_pass(at(100));
    let during = passes.metric_lines(at(900));
    assert_eq!(during, "relay.main_loop.since_last_pass_ms=800\nrelay.main_loop.longest_gap_ms=800\n");
    passes.record_pass(at(950));
    passes.record_pass(at(1000));
    let after = passes.metric_lines(at(1010));
    assert_eq!(after, "relay.main_loop.since_last_pass_ms=10\nrelay.main_loop.longest_gap_ms=850\n");
}
