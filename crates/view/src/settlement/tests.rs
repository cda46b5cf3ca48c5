//! Unit tests of settlement tracking.

use super::*;

#[test]
fn a_view_is_settled_once_every_member_has_reported_holding_it_and_not_before() {
    let mut settlement = Settlement::default();
    settlement.set_view(7, 9, Some(3), 0.0);
    assert_eq!(settlement.settled_since(), None);
    assert!(settlement.merge_holders(7, &[0b1111_0000, 0], Some(0), 1.0));
    assert!(
        !settlement.merge_holders(8, &[0xff, 0xff], Some(1), 1.0),
        "holders of another digest's view are ignored"
    );
    assert!(!settlement.merge_holders(7, &[0xff], Some(1), 1.0), "holder bits of another length are ignored");
    assert_eq!(settlement.settled_since(), None);
    assert!(
        settlement.merge_holders(7, &[0xff, 0xfe], None, 2.0) && settlement.settled_since().is_none(),
        "bits beyond the last member count for no member"
    );
    assert!(settlement.merge_holders(7, &[0, 1], None, 3.0));
    assert_eq!(settlement.settled_since(), Some(3.0));
    settlement.set_view(7, 9, Some(3), 4.0);
    assert_eq!(settlement.settled_since(), Some(3.0), "the same view keeps its settlement time");
    settlement.set_view(9, 8, Some(3), 5.0);
    assert_eq!(settlement.settled_since(), None);
}

#[test]
fn a_view_of_a_single_member_is_settled_at_once() {
    let mut settlement = Settlement::default();
    settlement.set_view(1, 1, Some(0), 5.0);
    assert_eq!(settlement.settled_since(), Some(5.0));
}
