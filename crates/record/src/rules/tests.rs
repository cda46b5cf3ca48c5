//! Unit tests of the private items of `rules`.

use super::*;

fn ask(r: &mut Rules, key: &str, ask: Ask) -> Answer {
    let (author, reason) = ("ops".to_string(), "test".to_string());
    r.take(&Command { key: key.into(), author, reason, at_unix_ms: 1, ask })
}

fn edit(r: &mut Rules, key: &str, base: u64, text: &str) -> Answer {
    ask(r, key, Ask::Edit { base, digest: Digest::of(text.as_bytes()), bytes: text.len() as u32 })
}

fn undo(r: &mut Rules, key: &str, base: u64, to: u64, with: &[u64]) -> Answer {
    ask(r, key, Ask::Undo { base, to, with: with.to_vec() })
}

#[test]
fn an_undo_goes_forward_and_brings_the_old_rules_back() {
    let mut r = Rules::default();
    assert_eq!(edit(&mut r, "a", 0, "one"), Ok(1));
    assert_eq!(edit(&mut r, "b", 1, "two"), Ok(2));
    assert_eq!(undo(&mut r, "c", 2, 1, &[]), Ok(3));
    let v = r.version(3).expect("it");
    assert_eq!((v.digest, v.restores, v.parent), (Digest::of(b"one"), Some(1), 2));
    assert_eq!(r.current(), 3);
    assert_eq!(undo(&mut r, "d", 3, 2, &[]), Ok(4), "an undo can be undone");
    assert_eq!(undo(&mut r, "e", 4, 2, &[]), Err(Refusal::Same));
}

#[test]
fn later_edits_are_never_lost_unsaid() {
    let mut r = Rules::default();
    for (n, text) in ["one", "two", "three", "four"].iter().enumerate() {
        assert_eq!(edit(&mut r, &format!("k{n}"), n as u64, text), Ok(n as u64 + 1));
    }
    assert_eq!(undo(&mut r, "u1", 4, 1, &[]), Err(Refusal::WouldLose { versions: vec![2, 3] }));
    assert_eq!(undo(&mut r, "u2", 3, 2, &[]), Err(Refusal::Moved { current: 4 }));
    assert_eq!(undo(&mut r, "u3", 4, 1, &[2, 3]), Ok(5));
    assert_eq!(undo(&mut r, "u4", 5, 9, &[]), Err(Refusal::Unknown { version: 9 }));
    assert_eq!(edit(&mut r, "e5", 4, "made from the undone one"), Err(Refusal::Moved { current: 5 }));
    // What lies behind an undo is undone already: going further back loses nothing more of it.
    assert_eq!(edit(&mut r, "e6", 5, "six"), Ok(6));
    assert_eq!(r.lost(1), Vec::<u64>::new());
    // An undo that brought an edit back is no bridge over it: found by the model.
    assert_eq!(undo(&mut r, "u7", 6, 4, &[]), Ok(7));
    assert_eq!(edit(&mut r, "e8", 7, "eight"), Ok(8));
    assert_eq!(undo(&mut r, "u9", 8, 5, &[]), Err(Refusal::WouldLose { versions: vec![2, 3, 4] }));
}

#[test]
fn a_repeat_gets_the_first_answer_and_changes_nothing() {
    let mut r = Rules::default();
    assert_eq!(edit(&mut r, "a", 0, "one"), Ok(1));
    assert_eq!(edit(&mut r, "b", 1, "two"), Ok(2));
    let before = r.clone();
    assert_eq!(edit(&mut r, "a", 0, "one"), Ok(1));
    assert_eq!(r, before);
    assert_eq!(edit(&mut r, "", 2, "x"), Err(Refusal::Words));
    assert_eq!(edit(&mut r, &"k".repeat(65), 2, "x"), Err(Refusal::Words));
}

#[test]
fn thousands_of_edits_stay_bounded_and_numbers_never_come_again() {
    let mut r = Rules::default();
    for n in 0..3 * MOST_VERSIONS as u64 {
        let text = format!("text {n}");
        assert_eq!(edit(&mut r, &format!("k{n}"), n, &text), Ok(n + 1));
    }
    assert_eq!(r.versions().count(), MOST_VERSIONS);
    assert!(r.answers.len() <= MOST_KEYS);
    let current = r.current();
    assert_eq!(undo(&mut r, "old", current, 3, &[]), Err(Refusal::Unknown { version: 3 }));
}
