//! Tests of applying log entries to the replicated state.

use super::*;

#[test]
fn an_entry_of_an_unknown_kind_is_reported_and_nothing_after_it_is_applied() {
    let mut state = RecordState::bootstrapped(7, [(1, "n1".to_string())].into());
    assert_eq!(state.apply_entry(&LogEntry { index: 2, kind: ENTRY_KIND_NOOP, body: vec![] }), None);
    let before = state.clone();
    assert_eq!(state.apply_entry(&LogEntry { index: 4, kind: ENTRY_KIND_NOOP, body: vec![] }), None);
    assert_eq!(state, before, "an entry that is not the next in the log changes nothing");
    state.apply_entry(&LogEntry { index: 3, kind: 99, body: vec![1, 2] });
    state.apply_entry(&LogEntry { index: 3, kind: ENTRY_KIND_NOOP, body: vec![] });
    assert_eq!((state.applied_index, state.unsupported), (2, Some(UnsupportedEntry { index: 3, kind: 99 })));
    assert_eq!(RecordState::from_bytes(&state.to_bytes()), Some(state));
}
