//! Unit tests of settlement tracking.

use super::*;

#[test]
fn a_view_is_settled_once_every_member_has_reported_holding_it_and_not_before() {
    let mut s = Settle::default();
    s.view(7, 9, Some(3), 0.0);
    assert_eq!(s.since(), None);
    assert!(s.heard(7, &[0b1111_0000, 0], Some(0), 1.0));
    assert!(!s.heard(8, &[0xff, 0xff], Some(1), 1.0), "of another view");
    assert!(!s.heard(7, &[0xff], Some(1), 1.0), "of another length");
    assert_eq!(s.since(), None);
    assert!(s.heard(7, &[0xff, 0xfe], None, 2.0) && s.since().is_none(), "bits behind the last are nobody's");
    assert!(s.heard(7, &[0, 1], None, 3.0));
    assert_eq!(s.since(), Some(3.0));
    s.view(7, 9, Some(3), 4.0);
    assert_eq!(s.since(), Some(3.0), "the same view goes on");
    s.view(9, 8, Some(3), 5.0);
    assert_eq!(s.since(), None);
}

#[test]
fn a_view_of_a_single_member_is_settled_at_once() {
    let mut s = Settle::default();
    s.view(1, 1, Some(0), 5.0);
    assert_eq!(s.since(), Some(5.0));
}
