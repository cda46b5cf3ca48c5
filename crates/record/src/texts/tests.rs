//! Tests of reassembling texts from their parts.

use super::*;

#[test]
fn a_text_is_reassembled_from_parts_in_any_order_but_not_from_corrupt_ones() {
    let text: Vec<u8> = (0..5000u32).map(|n| (n % 251) as u8).collect();
    let (mut sender, mut receiver) = (TextStore::default(), TextStore::default());
    let digest = sender.insert(text.clone()).expect("the text is not too long");
    let text_ref = TextRef { digest, bytes: text.len() as u32 };
    assert!(!receiver.add_part(digest, 0, &[0; PART_BYTES]), "a part that was not requested is ignored");
    let missing = receiver.missing_parts(text_ref);
    assert_eq!(missing.len(), 6);
    assert!(
        !receiver.add_part(digest, 3, &[0; PART_BYTES])
            && !receiver.add_part(digest, 9, &[0; PART_BYTES])
            && !receiver.add_part(digest, 5, &[0; PART_BYTES])
    );
    for p in missing.iter().rev().chain(&missing) {
        let part = sender.part_content(&digest, *p).expect("the sender has the complete text").to_vec();
        if *p != 3 {
            receiver.add_part(digest, *p, &part);
        }
    }
    assert_eq!(receiver.get(&digest), None, "a text with the corrupt part 3 must not be accepted");
    for p in receiver.missing_parts(text_ref) {
        receiver.add_part(
            digest,
            p,
            sender.part_content(&digest, p).expect("the sender has the complete text"),
        );
    }
    assert_eq!(receiver.get(&digest), Some(&text[..]));
    receiver.retain(&BTreeSet::new());
    assert_eq!(receiver.memory_bytes(), 0);
    assert_eq!(receiver.insert(vec![0; MAX_TEXT_BYTES + 1]), None);
}
