use super::*;

const HOUR_MS: f64 = 3_600_000.0;

fn within_a_second(actual_ms: f64, expected_ms: f64) -> bool {
    (actual_ms - expected_ms).abs() < 1000.0
}

#[test]
fn a_unix_time_is_converted_to_clock_time_on_arrival() {
    let clock = Clock::start();
    let wall = WallClock::start(clock);
    let now = unix_ms();
    assert!(within_a_second(wall.to_clock_time(now - 5_000.0, f64::MIN), clock.now() - 5_000.0));
    assert!(
        within_a_second(wall.to_clock_time(now + HOUR_MS, f64::MIN), clock.now()),
        "a time in the future counts as now"
    );
    let bound = clock.now() - 2_000.0;
    assert!(within_a_second(wall.to_clock_time(now - 1_500.0, bound), clock.now() - 1_500.0));
    assert!(
        within_a_second(wall.to_clock_time(now - 5_000.0, bound), clock.now()),
        "a time before the lower bound counts as now, because the clocks differ"
    );
    assert_eq!(wall.check_for_step(), 0);
}

/// Regression test: a purge used to count as an hour old after the clock was stepped by an hour, and copies
/// older than the purge were accepted.
#[test]
fn after_a_step_a_dated_event_counts_as_having_happened_now() {
    for step in [HOUR_MS, -HOUR_MS, 5_000.0, -5_000.0] {
        let clock = Clock::start();
        let wall = WallClock::start(clock);
        let stepped = unix_ms() + step;
        // A time from a machine whose clock was stepped as well, and one from a machine whose clock was not.
        for dated in [stepped - 400.0, stepped - 400.0 - step] {
            let at = wall.to_clock_time_with(dated, f64::MIN, || stepped);
            assert!(
                within_a_second(at, clock.now()) && at <= clock.now(),
                "after a step of {step} ms a time of {dated} counts as {at}, not as now"
            );
        }
    }
}

#[test]
fn slow_drift_is_not_counted_as_a_step() {
    let wall = WallClock::start(Clock::start());
    let start = unix_ms();
    for n in 0..100 {
        assert_eq!(wall.detect_step(start + 10.0 * f64::from(n), wall.clock.now()), 0);
    }
    assert_eq!(wall.detect_step(start + 1_000.0 + 10.0 * STEP_THRESHOLD_MS, wall.clock.now()), 1);
}

/// Regression test: a process that was delayed between the readings of the two clocks used to report a step.
/// With a small CPU share that happened repeatedly, and every node that had started since counted as cold.
#[test]
fn a_delay_between_the_clock_readings_is_not_counted_as_a_step() {
    let wall = WallClock::start(Clock::start());
    let read_after_delay = || {
        let read = unix_ms();
        std::thread::sleep(std::time::Duration::from_millis(80));
        read
    };
    assert_eq!(wall.read_and_compare(read_after_delay).1, 0);
    assert_eq!(wall.check_for_step(), 0);
}
