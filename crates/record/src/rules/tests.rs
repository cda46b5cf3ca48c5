//! Unit tests of the private items of `rules`.

use super::*;

fn propose(r: &mut Rules, key: &str, operation: Operation) -> Answer {
    let (author, reason) = ("ops".to_string(), "test".to_string());
    r.apply(&Command { key: key.into(), author, reason, at_unix_ms: 1, operation })
}

fn edit(r: &mut Rules, key: &str, base: u64, text: &str) -> Answer {
    propose(r, key, Operation::Edit { base, digest: Digest::of(text.as_bytes()), bytes: text.len() as u32 })
}

fn undo(r: &mut Rules, key: &str, base: u64, to: u64, acknowledged: &[u64]) -> Answer {
    propose(r, key, Operation::Undo { base, to, acknowledged: acknowledged.to_vec() })
}

#[test]
fn an_undo_is_a_new_version_that_restores_the_old_rules() {
    let mut r = Rules::default();
    assert_eq!(edit(&mut r, "a", 0, "one"), Ok(1));
    assert_eq!(edit(&mut r, "b", 1, "two"), Ok(2));
    assert_eq!(undo(&mut r, "c", 2, 1, &[]), Ok(3));
    let v = r.version(3).expect("version 3");
    assert_eq!((v.digest, v.restores, v.parent), (Digest::of(b"one"), Some(1), 2));
    assert_eq!(r.current(), 3);
    assert_eq!(undo(&mut r, "d", 3, 2, &[]), Ok(4), "an undo can be undone");
    assert_eq!(undo(&mut r, "e", 4, 2, &[]), Err(Rejection::Unchanged));
}

#[test]
fn later_edits_are_never_lost_unacknowledged() {
    let mut r = Rules::default();
    for (n, text) in ["one", "two", "three", "four"].iter().enumerate() {
        assert_eq!(edit(&mut r, &format!("k{n}"), n as u64, text), Ok(n as u64 + 1));
    }
    assert_eq!(undo(&mut r, "u1", 4, 1, &[]), Err(Rejection::Unacknowledged { versions: vec![2, 3] }));
    assert_eq!(undo(&mut r, "u2", 3, 2, &[]), Err(Rejection::Conflict { current: 4 }));
    assert_eq!(undo(&mut r, "u3", 4, 1, &[2, 3]), Ok(5));
    assert_eq!(undo(&mut r, "u4", 5, 9, &[]), Err(Rejection::UnknownVersion { version: 9 }));
    assert_eq!(edit(&mut r, "e5", 4, "made from the undone one"), Err(Rejection::Conflict { current: 5 }));
    // What an undo reverted is undone already: going further back loses nothing more of it.
    assert_eq!(edit(&mut r, "e6", 5, "six"), Ok(6));
    assert_eq!(r.lost_edits(1), Vec::<u64>::new());
    // An undo that restored an edit does not hide it: found by the model.
    assert_eq!(undo(&mut r, "u7", 6, 4, &[]), Ok(7));
    assert_eq!(edit(&mut r, "e8", 7, "eight"), Ok(8));
    assert_eq!(undo(&mut r, "u9", 8, 5, &[]), Err(Rejection::Unacknowledged { versions: vec![2, 3, 4] }));
}

#[test]
fn a_repeated_command_gets_the_first_answer_and_changes_nothing() {
    let mut r = Rules::default();
    assert_eq!(edit(&mut r, "a", 0, "one"), Ok(1));
    assert_eq!(edit(&mut r, "b", 1, "two"), Ok(2));
    let before = r.clone();
    assert_eq!(edit(&mut r, "a", 0, "one"), Ok(1));
    assert_eq!(r, before);
    assert_eq!(edit(&mut r, "", 2, "x"), Err(Rejection::InvalidLength));
    assert_eq!(edit(&mut r, &"k".repeat(65), 2, "x"), Err(Rejection::InvalidLength));
}

#[test]
fn many_edits_stay_bounded_and_version_numbers_are_never_reused() {
    let mut r = Rules::default();
    for n in 0..3 * MAX_VERSIONS as u64 {
        let text = format!("text {n}");
        assert_eq!(edit(&mut r, &format!("k{n}"), n, &text), Ok(n + 1));
    }
    assert_eq!(r.versions().count(), MAX_VERSIONS);
    assert!(r.answers.len() <= MAX_ANSWERS);
    let current = r.current();
    assert_eq!(undo(&mut r, "old", current, 3, &[]), Err(Rejection::UnknownVersion { version: 3 }));
}
