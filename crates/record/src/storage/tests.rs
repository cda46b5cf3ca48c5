//! Tests of the encoding of stored keys and values.

use super::*;
use crate::rules::{Command, Operation};
use crate::state::{LogEntry, ENTRY_KIND_RULES};

/// Guards disks written by another version of the program: names in the code may change, the stored bytes
/// may not.
#[test]
fn every_key_and_value_has_unchanged_stored_bytes() {
    let digest = Digest::of(b"x");
    let (author, reason) = ("ops".to_string(), "why".to_string());
    let operation = Operation::Edit { base: 0, digest, bytes: 300 };
    let command = Command { key: "k".into(), author, reason, at_unix_ms: 5, operation };
    let body = postcard::to_stdvec(&command).expect("the value can be encoded");
    let mut state = RecordState::bootstrapped(7, [(5, "n1".to_string())].into());
    state.apply_entry(&LogEntry { index: 2, kind: ENTRY_KIND_RULES, body }).expect("the command is answered");
    state.apply_entry(&LogEntry { index: 3, kind: 99, body: Vec::new() });
    let pairs = [
        (StorageKey::Snapshot, StoredValue::snapshot(&state, 3)),
        (StorageKey::HardState, StoredValue::HardState(vec![1])),
        (StorageKey::Entry(400), StoredValue::Entry(vec![2])),
        (StorageKey::Text(digest), StoredValue::Text(vec![3])),
    ];
    let bytes = postcard::to_stdvec(&pairs).expect("the value can be encoded");
    assert_eq!(
        (bytes.len(), Digest::of(&bytes).to_string()),
        (96, "5bf38ea515225faf88bc0275be63b016".to_string())
    );
}
