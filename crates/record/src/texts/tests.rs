//! Unit tests of the private items of `texts`.

use super::*;

#[test]
fn parts_in_any_order_make_the_text_and_wrong_ones_don_t() {
    let text: Vec<u8> = (0..5000u32).map(|n| (n % 251) as u8).collect();
    let (mut from, mut to) = (Texts::default(), Texts::default());
    let d = from.put(text.clone()).expect("short");
    assert!(!to.take(d, 0, &[0; PART]), "not asked for");
    let asked = to.lacks(d, text.len());
    assert_eq!(asked.len(), 6);
    assert!(!to.take(d, 3, &[0; PART]) && !to.take(d, 9, &[0; PART]) && !to.take(d, 5, &[0; PART]));
    for p in asked.iter().rev().chain(&asked) {
        let part = from.part(&d, *p).expect("held").to_vec();
        if *p != 3 {
            to.take(d, *p, &part);
        }
    }
    assert_eq!(to.get(&d), None, "part 3 was wrong: all begins anew");
    for p in to.lacks(d, text.len()) {
        to.take(d, p, from.part(&d, p).expect("held"));
    }
    assert_eq!(to.get(&d), Some(&text[..]));
    to.keep(&BTreeSet::new());
    assert_eq!(to.bytes(), 0);
    assert_eq!(to.put(vec![0; MOST_TEXT + 1]), None);
}
