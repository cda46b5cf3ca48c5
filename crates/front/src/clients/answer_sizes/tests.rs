use super::*;

/// Before any answer, the estimate is what the protocol allows at most; then it follows the answers.
#[test]
fn the_estimate_follows_the_largest_proportion_of_recent_answers() {
    let sizes = AnswerSizes::default();
    assert_eq!([0.0, 10.0, 600.0].map(|kb| sizes.estimate(kb)), [1024, 10_240, 240_000]);
    (0..FIRST_GENERATION).for_each(|_| sizes.record(600.0, 6000));
    assert_eq!([600.0, 1000.0].map(|kb| sizes.estimate(kb)), [6000, 10_000]);
    // One longer answer counts at once, and for at least a whole generation.
    sizes.record(600.0, 240_000);
    assert_eq!(sizes.estimate(500.0), 200_000);
    (0..GENERATION).for_each(|_| sizes.record(600.0, 6000));
    assert_eq!(sizes.estimate(500.0), 200_000);
    (0..GENERATION).for_each(|_| sizes.record(600.0, 6000));
    assert_eq!(sizes.estimate(500.0), 5000);
}

/// A client that states next to nothing for a long object must not make all estimates too long.
#[test]
fn a_size_of_next_to_nothing_is_not_measured() {
    let sizes = AnswerSizes::default();
    (0..2 * GENERATION).for_each(|_| sizes.record(0.5, 240_000));
    assert_eq!(sizes.estimate(100.0), 102_400);
}
