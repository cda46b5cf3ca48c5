use super::*;
use std::collections::BTreeSet;

/// Waits of attempts alone came to thousands of lengths: a front's heap was corrupted after a minute.
#[test]
fn all_waits_up_to_an_hour_have_few_lengths() {
    let lengths: BTreeSet<Duration> =
        (1..3_600_000).map(|us| step(Duration::from_micros(us * 1_000 - us % 997))).collect();
    assert!(lengths.len() < 200, "{} lengths; may stands 1,024", lengths.len());
}

#[test]
fn a_step_is_no_longer_than_what_is_left_and_most_of_it() {
    for us in (1..60_000_000u64).step_by(1_237) {
        let (left, step) = (Duration::from_micros(us), step(Duration::from_micros(us)));
        assert!(step >= Duration::from_millis(1) && step < left + Duration::from_millis(1));
        assert!(step * 9 > left * 8, "{left:?} in steps of {step:?}");
    }
}

#[test]
fn a_sleep_of_any_length_ends_in_its_time() {
    let began = Instant::now();
    let slept = may::go!(|| [1_u64, 17, 333, 2_500, 41_700].map(|us| sleep(Duration::from_micros(us))));
    assert!(slept.join().is_ok());
    assert!(began.elapsed() >= Duration::from_micros(44_551));
}
