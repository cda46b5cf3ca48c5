use super::*;

const HOUR_MS: f64 = 3_600_000.0;

fn about(a: f64, b: f64) -> bool {
    (a - b).abs() < 1000.0
}

#[test]
fn a_unix_time_becomes_a_span_on_arrival() {
    let clock = Clock::start();
    let wall = WallClock::start(clock);
    let now = unix_ms();
    assert!(about(wall.when(now - 5_000.0, f64::MIN), clock.now() - 5_000.0));
    assert!(about(wall.when(now + HOUR_MS, f64::MIN), clock.now()), "the future is now");
    let bound = clock.now() - 2_000.0;
    assert!(about(wall.when(now - 1_500.0, bound), clock.now() - 1_500.0));
    assert!(
        about(wall.when(now - 5_000.0, bound), clock.now()),
        "it can't have been then: the clocks differ"
    );
    assert_eq!(wall.observe(), 0);
}

/// A purge after a step of an hour was taken to be an hour old, and an older copy for good enough.
#[test]
fn after_a_step_what_is_dated_has_just_happened() {
    for step in [HOUR_MS, -HOUR_MS, 5_000.0, -5_000.0] {
        let clock = Clock::start();
        let wall = WallClock::start(clock);
        let stepped = unix_ms() + step;
        // Of a machine that was stepped too, and of one that was not.
        for dated in [stepped - 400.0, stepped - 400.0 - step] {
            let at = wall.when_at(dated, f64::MIN, || stepped);
            assert!(about(at, clock.now()) && at <= clock.now(), "{step} {dated}");
        }
    }
}

#[test]
fn slow_drift_is_no_step() {
    let wall = WallClock::start(Clock::start());
    let start = unix_ms();
    for n in 0..100 {
        assert_eq!(wall.compare(start + 10.0 * f64::from(n), wall.clock.now()), 0);
    }
    assert_eq!(wall.compare(start + 1_000.0 + 10.0 * STEP_MS, wall.clock.now()), 1);
}

/// A process that is held up between the readings of the two clocks has seen no step: with a small share of a core that
/// happened again and again, and every node that started since counted as cold.
#[test]
fn a_process_that_is_held_up_sees_no_step() {
    let wall = WallClock::start(Clock::start());
    let held_up = || {
        let read = unix_ms();
        std::thread::sleep(std::time::Duration::from_millis(80));
        read
    };
    assert_eq!(wall.look(held_up).1, 0);
    assert_eq!(wall.observe(), 0);
}
