use super::*;

#[test]
fn clock_time_advances_with_the_monotonic_clock() {
    let clock = Clock::start();
    let (before, at) = (clock.now(), Instant::now());
    assert!(before >= START_MS, "the clock starts at START_MS, so that earlier events have a time above 0");
    assert!(
        (clock.clock_time_at(at + Duration::from_millis(250)) - clock.clock_time_at(at) - 250.0).abs() < 1e-6
    );
    assert!(clock.time_until(clock.now() + 5_000.0) > Duration::from_secs(4));
    assert_eq!(clock.time_until(before - 1.0), Duration::ZERO);
}
