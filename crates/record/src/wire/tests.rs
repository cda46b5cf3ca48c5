//! Unit tests of the private items of `wire`.

use super::*;
use crate::rules::{Operation, Rejection};
use fernslip_gossip::Key;
use proptest::prelude::*;

fn keys() -> Keyring {
    Keyring::new(Key::new(1, [7; 32]))
}

#[test]
fn sealed_messages_are_decoded_and_additions_of_a_later_program_are_ignored() {
    let status = Item::Status(Status {
        record_id: 3,
        applied_index: 9,
        chain_hash: 1,
        serving_version: 2,
        reply_wanted: true,
    });
    let items = vec![
        status.clone(),
        Item::RequestParts { digest: Digest::of(b"x"), parts: vec![1, 2] },
        Item::Raft { to: 7, message: vec![1; 700] },
    ];
    let bytes = seal(&keys(), "n1", &items);
    assert!(
        bytes.len() <= MAX_DATAGRAM_BYTES
            && items.iter().map(encoded_size).sum::<usize>() <= item_capacity("n1")
    );
    assert_eq!(open(&keys(), &bytes), Ok(Received { from: "n1".into(), items }));
    // An item of a kind to come, and a known one with a field to come.
    let mut longer = postcard::to_stdvec(&status).expect("encodable");
    longer.extend([1, 2, 3]);
    let framed = vec![(99u8, vec![1u8, 2]), (1, longer)];
    let mut bytes = vec![VERSION, 1];
    bytes.extend(postcard::to_stdvec(&("n1", framed)).expect("encodable"));
    keys().sign(&mut bytes);
    assert_eq!(open(&keys(), &bytes), Ok(Received { from: "n1".into(), items: vec![status] }));
    bytes[0] = VERSION + 1;
    assert_eq!(open(&keys(), &bytes), Err(WireError::UnsupportedVersion(VERSION + 1)));
}

/// Guards fronts of two programs in one fleet: names in the code may change, the bytes on the network may not.
#[test]
fn the_bytes_of_a_message_with_every_item_are_pinned() {
    let (digest, text) = (Digest::of(b"x"), TextRef { digest: Digest::of(b"y"), bytes: 300 });
    let (author, reason) = ("ops".to_string(), "why".to_string());
    let operation = Operation::Undo { base: 3, to: 1, acknowledged: vec![2] };
    let command = Command { key: "k".into(), author, reason, at_unix_ms: 5, operation };
    let items = [
        Item::Status(Status {
            record_id: 3,
            applied_index: 9,
            chain_hash: 1,
            serving_version: 2,
            reply_wanted: true,
        }),
        Item::Pull { record_id: 3, after_index: 400 },
        Item::Entries { record_id: 3, entries: vec![LogEntry { index: 7, kind: 1, body: vec![8] }] },
        Item::TextOffered { record_id: 3, text },
        Item::RequestParts { digest, parts: vec![1, 2] },
        Item::Part { digest, part: 1, bytes: vec![9] },
        Item::Propose { command, hops: 2 },
        Item::Answered { key: "k".into(), answer: Err(Rejection::Unacknowledged { versions: vec![2] }) },
        Item::TextStored { digest, voter: 5 },
        Item::VoterPresent { voter: 5, without_record: true },
        Item::Bootstrapped { record_id: 3, voters: [(5, "n1".to_string())].into() },
        Item::Raft { to: 5, message: vec![1, 2, 3] },
    ];
    let bytes = seal(&keys(), "n1", &items);
    assert_eq!(
        (bytes.len(), Digest::of(&bytes).to_string()),
        (182, "b5aeb70fe4aa43c0cc851efa4d525ca2".to_string())
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, rng_seed: proptest::test_runner::RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn any_signed_bytes_are_decoded_or_rejected(body in proptest::collection::vec(any::<u8>(), 0..600)) {
        let mut bytes = vec![VERSION, 1];
        bytes.extend(body);
        keys().sign(&mut bytes);
        let _ = open(&keys(), &bytes);
        bytes.truncate(bytes.len() / 2);
        prop_assert!(open(&keys(), &bytes).is_err());
    }
}
