use super::*;
use std::collections::BTreeSet;

/// Regression test: the waits of attempts alone used to have thousands of lengths, for which `may` corrupted
/// a front's heap after a minute.
#[test]
fn waits_of_up_to_an_hour_use_few_step_lengths() {
    let lengths: BTreeSet<Duration> =
        (1..3_600_000).map(|us| step_length(Duration::from_micros(us * 1_000 - us % 997))).collect();
    assert!(lengths.len() < 200, "{} step lengths are used; `may` is safe up to 1,024", lengths.len());
}

#[test]
fn a_step_covers_most_of_the_remaining_time_and_no_more() {
    for us in (1..60_000_000u64).step_by(1_237) {
        let (left, step) = (Duration::from_micros(us), step_length(Duration::from_micros(us)));
        assert!(step >= Duration::from_millis(1) && step < left + Duration::from_millis(1));
        assert!(step * 9 > left * 8, "a step of {step:?} covers too little of the remaining {left:?}");
    }
}

#[test]
fn a_sleep_of_any_length_lasts_at_least_that_long() {
    let began = Instant::now();
    let slept = may::go!(|| [1_u64, 17, 333, 2_500, 41_700].map(|us| sleep(Duration::from_micros(us))));
    assert!(slept.join().is_ok());
    assert!(began.elapsed() >= Duration::from_micros(44_551));
}
