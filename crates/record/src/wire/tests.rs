//! Tests of encoding and decoding datagrams.

use super::*;
use crate::rules::{Operation, Rejection};
use fernslip_gossip::Key;
use proptest::prelude::*;

fn test_keyring() -> Keyring {
    Keyring::new(Key::new(1, [7; 32]))
}

#[test]
fn encoded_messages_are_decoded_and_additions_of_a_later_program_are_ignored() {
    let status = MessageItem::Status(Status {
        record_id: 3,
        applied_index: 9,
        chain_hash: 1,
        serving_version: 2,
        reply_wanted: true,
    });
    let items = vec![
        status.clone(),
        MessageItem::RequestParts { digest: Digest::of(b"x"), parts: vec![1, 2] },
        MessageItem::Raft { to: 7, message: vec![1; 700] },
    ];
    let bytes = encode_signed(&test_keyring(), "n1", &items);
    assert!(
        bytes.len() <= MAX_DATAGRAM_BYTES
            && items.iter().map(encoded_size).sum::<usize>() <= item_capacity("n1")
    );
    assert_eq!(decode_verified(&test_keyring(), &bytes), Ok(ReceivedMessage { from: "n1".into(), items }));
    // A message with an item of an unknown kind, and a known item with additional bytes after its fields.
    let mut longer = postcard::to_stdvec(&status).expect("the item can be encoded");
    longer.extend([1, 2, 3]);
    let framed = vec![(99u8, vec![1u8, 2]), (1, longer)];
    let mut bytes = vec![FORMAT_VERSION, 1];
    bytes.extend(postcard::to_stdvec(&("n1", framed)).expect("the item can be encoded"));
    test_keyring().sign(&mut bytes);
    assert_eq!(
        decode_verified(&test_keyring(), &bytes),
        Ok(ReceivedMessage { from: "n1".into(), items: vec![status] })
    );
    bytes[0] = FORMAT_VERSION + 1;
    assert_eq!(
        decode_verified(&test_keyring(), &bytes),
        Err(WireError::UnsupportedVersion(FORMAT_VERSION + 1))
    );
}

/// Guards fleets that run two versions of the program: names in the code may change, the bytes on the
/// network may not.
#[test]
fn a_message_with_every_item_has_unchanged_encoded_bytes() {
    let (digest, text) = (Digest::of(b"x"), TextRef { digest: Digest::of(b"y"), bytes: 300 });
    let (author, reason) = ("ops".to_string(), "why".to_string());
    let operation = Operation::Undo { base: 3, to: 1, acknowledged: vec![2] };
    let command = Command { key: "k".into(), author, reason, at_unix_ms: 5, operation };
    let items = [
        MessageItem::Status(Status {
            record_id: 3,
            applied_index: 9,
            chain_hash: 1,
            serving_version: 2,
            reply_wanted: true,
        }),
        MessageItem::Pull { record_id: 3, after_index: 400 },
        MessageItem::Entries { record_id: 3, entries: vec![LogEntry { index: 7, kind: 1, body: vec![8] }] },
        MessageItem::TextOffered { record_id: 3, text },
        MessageItem::RequestParts { digest, parts: vec![1, 2] },
        MessageItem::Part { digest, part: 1, bytes: vec![9] },
        MessageItem::Propose { command, hops: 2 },
        MessageItem::Answered {
            key: "k".into(),
            answer: Err(Rejection::Unacknowledged { versions: vec![2] }),
        },
        MessageItem::TextStored { digest, voter: 5 },
        MessageItem::VoterPresent { voter: 5, without_record: true },
        MessageItem::Bootstrapped { record_id: 3, voters: [(5, "n1".to_string())].into() },
        MessageItem::Raft { to: 5, message: vec![1, 2, 3] },
    ];
    let bytes = encode_signed(&test_keyring(), "n1", &items);
    assert_eq!(
        (bytes.len(), Digest::of(&bytes).to_string()),
        (182, "b5aeb70fe4aa43c0cc851efa4d525ca2".to_string())
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, rng_seed: proptest::test_runner::RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn arbitrary_signed_bytes_are_decoded_or_rejected_without_panic(
        body in proptest::collection::vec(any::<u8>(), 0..600)
    ) {
        let mut bytes = vec![FORMAT_VERSION, 1];
        bytes.extend(body);
        test_keyring().sign(&mut bytes);
        let _ = decode_verified(&test_keyring(), &bytes);
        bytes.truncate(bytes.len() / 2);
        prop_assert!(decode_verified(&test_keyring(), &bytes).is_err());
    }
}
