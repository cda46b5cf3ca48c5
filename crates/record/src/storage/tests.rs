//! Unit tests of the private items of `storage`.

use super::*;
use crate::rules::{Command, Operation};
use crate::state::{LogEntry, KIND_RULES};

/// Guards disks that another program wrote: names in the code may change, the stored bytes may not.
#[test]
fn the_bytes_of_every_key_and_value_are_pinned() {
    let digest = Digest::of(b"x");
    let (author, reason) = ("ops".to_string(), "why".to_string());
    let operation = Operation::Edit { base: 0, digest, bytes: 300 };
    let command = Command { key: "k".into(), author, reason, at_unix_ms: 5, operation };
    let body = postcard::to_stdvec(&command).expect("encodable");
    let mut state = RecordState::bootstrapped(7, [(5, "n1".to_string())].into());
    state.apply(&LogEntry { index: 2, kind: KIND_RULES, body }).expect("an answer");
    state.apply(&LogEntry { index: 3, kind: 99, body: Vec::new() });
    let pairs = [
        (StorageKey::Snapshot, StoredValue::snapshot(&state, 3)),
        (StorageKey::HardState, StoredValue::HardState(vec![1])),
        (StorageKey::Entry(400), StoredValue::Entry(vec![2])),
        (StorageKey::Text(digest), StoredValue::Text(vec![3])),
    ];
    let bytes = postcard::to_stdvec(&pairs).expect("encodable");
    assert_eq!(
        (bytes.len(), Digest::of(&bytes).to_string()),
        (96, "5bf38ea515225faf88bc0275be63b016".to_string())
    );
}
