//! Tests of the rules' versions on the state machine alone, without fronts.

use super::*;

fn apply_operation(rules: &mut Rules, key: &str, operation: Operation) -> Answer {
    let (author, reason) = ("ops".to_string(), "test".to_string());
    rules.apply_command(&Command { key: key.into(), author, reason, at_unix_ms: 1, operation })
}

fn apply_edit(rules: &mut Rules, key: &str, base: u64, text: &str) -> Answer {
    apply_operation(
        rules,
        key,
        Operation::Edit { base, digest: Digest::of(text.as_bytes()), bytes: text.len() as u32 },
    )
}

fn apply_undo(rules: &mut Rules, key: &str, base: u64, to: u64, acknowledged: &[u64]) -> Answer {
    apply_operation(rules, key, Operation::Undo { base, to, acknowledged: acknowledged.to_vec() })
}

#[test]
fn an_undo_is_a_new_version_that_restores_the_old_rules() {
    let mut rules = Rules::default();
    assert_eq!(apply_edit(&mut rules, "a", 0, "one"), Ok(1));
    assert_eq!(apply_edit(&mut rules, "b", 1, "two"), Ok(2));
    assert_eq!(apply_undo(&mut rules, "c", 2, 1, &[]), Ok(3));
    let restored = rules.version(3).expect("version 3 is retained");
    assert_eq!((restored.digest, restored.restores, restored.parent), (Digest::of(b"one"), Some(1), 2));
    assert_eq!(rules.current(), 3);
    assert_eq!(apply_undo(&mut rules, "d", 3, 2, &[]), Ok(4), "an undo can itself be undone");
    assert_eq!(apply_undo(&mut rules, "e", 4, 2, &[]), Err(Rejection::Unchanged));
}

#[test]
fn an_undo_never_reverts_unacknowledged_edits() {
    let mut rules = Rules::default();
    for (n, text) in ["one", "two", "three", "four"].iter().enumerate() {
        assert_eq!(apply_edit(&mut rules, &format!("k{n}"), n as u64, text), Ok(n as u64 + 1));
    }
    assert_eq!(
        apply_undo(&mut rules, "u1", 4, 1, &[]),
        Err(Rejection::Unacknowledged { versions: vec![2, 3] })
    );
    assert_eq!(apply_undo(&mut rules, "u2", 3, 2, &[]), Err(Rejection::Conflict { current: 4 }));
    assert_eq!(apply_undo(&mut rules, "u3", 4, 1, &[2, 3]), Ok(5));
    assert_eq!(apply_undo(&mut rules, "u4", 5, 9, &[]), Err(Rejection::UnknownVersion { version: 9 }));
    assert_eq!(
        apply_edit(&mut rules, "e5", 4, "edit of the undone version"),
        Err(Rejection::Conflict { current: 5 })
    );
    // The edits that the undo reverted are no longer in effect: going back further reverts none of them
    // again.
    assert_eq!(apply_edit(&mut rules, "e6", 5, "six"), Ok(6));
    assert_eq!(rules.edits_reverted_by_undo(1), Vec::<u64>::new());
    // Regression test for a fault found by the model check: an undo across an earlier undo used to miss the
    // edits that the earlier one had restored.
    assert_eq!(apply_undo(&mut rules, "u7", 6, 4, &[]), Ok(7));
    assert_eq!(apply_edit(&mut rules, "e8", 7, "eight"), Ok(8));
    assert_eq!(
        apply_undo(&mut rules, "u9", 8, 5, &[]),
        Err(Rejection::Unacknowledged { versions: vec![2, 3, 4] })
    );
}

#[test]
fn a_repeated_command_gets_the_first_answer_and_changes_nothing() {
    let mut rules = Rules::default();
    assert_eq!(apply_edit(&mut rules, "a", 0, "one"), Ok(1));
    assert_eq!(apply_edit(&mut rules, "b", 1, "two"), Ok(2));
    let before = rules.clone();
    assert_eq!(apply_edit(&mut rules, "a", 0, "one"), Ok(1));
    assert_eq!(rules, before);
    assert_eq!(apply_edit(&mut rules, "", 2, "x"), Err(Rejection::InvalidLength));
    assert_eq!(apply_edit(&mut rules, &"k".repeat(65), 2, "x"), Err(Rejection::InvalidLength));
}

#[test]
fn retained_versions_stay_bounded_and_their_numbers_are_never_reused() {
    let mut rules = Rules::default();
    for n in 0..3 * MAX_RETAINED_VERSIONS as u64 {
        let text = format!("text {n}");
        assert_eq!(apply_edit(&mut rules, &format!("k{n}"), n, &text), Ok(n + 1));
    }
    assert_eq!(rules.versions().count(), MAX_RETAINED_VERSIONS);
    assert!(rules.answers.len() <= MAX_RETAINED_ANSWERS);
    let current = rules.current();
    assert_eq!(apply_undo(&mut rules, "old", current, 3, &[]), Err(Rejection::UnknownVersion { version: 3 }));
}
