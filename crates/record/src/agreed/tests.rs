//! Unit tests of the private items of `agreed`.

use super::*;

#[test]
fn what_a_later_program_agreed_stops_here_and_is_named() {
    let mut a = Agreed::founded(7, [(1, "n1".to_string())].into());
    assert_eq!(a.take(&Entry { index: 2, kind: KIND_NONE, body: vec![] }), None);
    let before = a.clone();
    assert_eq!(a.take(&Entry { index: 4, kind: KIND_NONE, body: vec![] }), None);
    assert_eq!(a, before, "not the next");
    a.take(&Entry { index: 3, kind: 99, body: vec![1, 2] });
    a.take(&Entry { index: 3, kind: KIND_NONE, body: vec![] });
    assert_eq!((a.index, a.unread), (2, Some((3, 99))));
    assert_eq!(Agreed::from_bytes(&a.to_bytes()), Some(a));
}
