//! Unit tests of the failure detector.

use super::*;

const OWN_ID: Id = Id(1);
const SUBJECT_ID: Id = Id(2);
const OTHER_WATCHER_IDS: [Id; 2] = [Id(3), Id(4)];
const PROCESS_ID: u64 = 7;

/// Returns a detector that pinged its only subject at time 0 and now suspects it, and the time of that
/// suspicion in milliseconds.
fn suspecting_detector() -> (FailureDetector, f64) {
    let mut detector = FailureDetector::default();
    detector.set_subjects(&[FrontProcess { id: SUBJECT_ID, process_id: PROCESS_ID }], 0.0, 0.0);
    assert_eq!(detector.due_messages(0.0), [DueMessage::Ping { id: SUBJECT_ID, indirect: false }]);
    detector.ping_sent(SUBJECT_ID, 1, 0.0);
    let suspected_ms = PING_TIMEOUT_MS + 2.0 * INITIAL_ROUND_TRIP_MS;
    assert!(!detector.due_messages(suspected_ms - 1.0).contains(&DueMessage::Suspicion(SUBJECT_ID)));
    assert!(detector.due_messages(suspected_ms).contains(&DueMessage::Suspicion(SUBJECT_ID)));
    (detector, suspected_ms)
}

fn new_suspicion(number: u32, at_ms: f64, is_active: bool) -> Suspicion {
    Suspicion { number, at_ms, process_id: PROCESS_ID, is_active, is_only_silent: true }
}

fn verdict_on_subject(detector: &FailureDetector, member_count: usize, now_ms: f64) -> Option<Verdict> {
    let watchers = [OWN_ID, OTHER_WATCHER_IDS[0], OTHER_WATCHER_IDS[1]];
    detector.verdict(SUBJECT_ID, PROCESS_ID, OWN_ID, &watchers, member_count, now_ms)
}

#[test]
fn a_member_has_failed_once_most_watchers_in_reach_suspect_it() {
    let (mut detector, now_ms) = suspecting_detector();
    assert!(detector.record_suspicion(SUBJECT_ID, OWN_ID, new_suspicion(1, now_ms, true)));
    OTHER_WATCHER_IDS.iter().for_each(|w| detector.received_from(*w, now_ms));
    assert_eq!(verdict_on_subject(&detector, 9, now_ms), None, "one vote of three watchers is too few");
    assert!(detector.record_suspicion(SUBJECT_ID, OTHER_WATCHER_IDS[0], new_suspicion(1, now_ms, true)));
    assert_eq!(verdict_on_subject(&detector, 9, now_ms), Some(Verdict { is_confirmed: true }));
    let silent_too = Suspicion { is_only_silent: false, ..new_suspicion(2, now_ms, true) };
    detector.record_suspicion(SUBJECT_ID, OTHER_WATCHER_IDS[0], silent_too);
    assert_eq!(
        verdict_on_subject(&detector, 9, now_ms),
        Some(Verdict { is_confirmed: false }),
        "a watcher that suspects the member has another silent subject"
    );
}

#[test]
fn a_front_that_reaches_no_other_watcher_decides_alone_only_in_a_fleet_of_up_to_three() {
    let (mut detector, now_ms) = suspecting_detector();
    detector.record_suspicion(SUBJECT_ID, OWN_ID, new_suspicion(1, now_ms, true));
    assert_eq!(verdict_on_subject(&detector, 3, now_ms), None, "the other watchers may still answer");
    let later_ms = now_ms + OUT_OF_REACH_AFTER_MS + INITIAL_ROUND_TRIP_MS;
    assert_eq!(verdict_on_subject(&detector, 3, later_ms), Some(Verdict { is_confirmed: false }));
    assert_eq!(verdict_on_subject(&detector, 4, later_ms), None);
}

#[test]
fn a_late_copy_of_a_suspicion_does_not_undo_its_withdrawal() {
    let (mut detector, now_ms) = suspecting_detector();
    let watcher = OTHER_WATCHER_IDS[0];
    assert!(detector.record_suspicion(SUBJECT_ID, watcher, new_suspicion(1, now_ms, true)));
    assert!(detector.record_suspicion(SUBJECT_ID, watcher, new_suspicion(2, now_ms, false)));
    assert!(!detector.record_suspicion(SUBJECT_ID, watcher, new_suspicion(1, now_ms, true)));
    assert!(detector.suspecting_watchers(SUBJECT_ID, PROCESS_ID, now_ms).is_empty());
}

#[test]
fn an_answer_ends_a_suspicion_unless_another_process_sent_it() {
    let (mut detector, now_ms) = suspecting_detector();
    let restarted = FrontProcess { id: SUBJECT_ID, process_id: PROCESS_ID + 1 };
    assert_eq!(detector.ping_answered(1, Some(restarted), now_ms), None);
    assert!(detector.suspects(SUBJECT_ID));
    let answered = detector.ping_answered(1, None, now_ms);
    assert_eq!(answered, Some(AnsweredPing { id: SUBJECT_ID, ends_suspicion: true }));
    assert!(!detector.suspects(SUBJECT_ID));
}

#[test]
fn a_front_that_did_not_run_for_a_while_discards_all_suspicions() {
    let (mut detector, now_ms) = suspecting_detector();
    detector.record_suspicion(SUBJECT_ID, OTHER_WATCHER_IDS[0], new_suspicion(1, now_ms, true));
    detector.reset_after_pause(2_000.0, now_ms + 2_000.0);
    assert!(!detector.suspects(SUBJECT_ID));
    assert!(detector.suspecting_watchers(SUBJECT_ID, PROCESS_ID, now_ms).is_empty());
}
