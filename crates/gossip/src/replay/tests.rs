use super::*;

#[test]
fn each_sequence_number_is_accepted_once_in_any_order() {
    let mut filter = ReplayFilter::default();
    for n in [10, 12, 11, 9, 200, 73] {
        assert!(filter.record_if_new(5, 1, n, 0.0), "sequence number {n} is new");
        assert!(!filter.record_if_new(5, 1, n, 0.0), "sequence number {n} is accepted only once");
    }
    assert!(!filter.record_if_new(5, 1, 72, 0.0), "sequence numbers below the window are rejected");
    assert!(filter.record_if_new(5, 2, 1, 0.0), "a restarted sender starts a new epoch");
    assert!(!filter.record_if_new(5, 1, 201, 0.0), "datagrams of an earlier epoch are rejected");
    assert!(filter.record_if_new(5, 2, u32::MAX, 0.0));
}

#[test]
fn the_number_of_senders_is_bounded() {
    let mut filter = ReplayFilter::default();
    for n in 0..10_000 {
        assert!(filter.record_if_new(n, 1, 1, f64::from(n)));
    }
    assert_eq!(filter.0.len(), MAX_SENDERS);
}
