//! Unit tests of the private items of `texts`.

use super::*;

#[test]
fn parts_in_any_order_make_up_the_text_and_corrupt_ones_do_not() {
    let text: Vec<u8> = (0..5000u32).map(|n| (n % 251) as u8).collect();
    let (mut from, mut to) = (TextStore::default(), TextStore::default());
    let d = from.insert(text.clone()).expect("short");
    let text_ref = TextRef { digest: d, bytes: text.len() as u32 };
    assert!(!to.add_part(d, 0, &[0; PART_BYTES]), "not requested");
    let missing = to.missing_parts(text_ref);
    assert_eq!(missing.len(), 6);
    assert!(
        !to.add_part(d, 3, &[0; PART_BYTES])
            && !to.add_part(d, 9, &[0; PART_BYTES])
            && !to.add_part(d, 5, &[0; PART_BYTES])
    );
    for p in missing.iter().rev().chain(&missing) {
        let part = from.part(&d, *p).expect("complete").to_vec();
        if *p != 3 {
            to.add_part(d, *p, &part);
        }
    }
    assert_eq!(to.get(&d), None, "part 3 was corrupt: all are requested again");
    for p in to.missing_parts(text_ref) {
        to.add_part(d, p, from.part(&d, p).expect("complete"));
    }
    assert_eq!(to.get(&d), Some(&text[..]));
    to.retain(&BTreeSet::new());
    assert_eq!(to.bytes(), 0);
    assert_eq!(to.insert(vec![0; MAX_TEXT_BYTES + 1]), None);
}
