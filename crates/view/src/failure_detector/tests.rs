//! Unit tests of the failure detector.

use super::*;

const OWN: Id = Id(1);
const SUBJECT: Id = Id(2);
const OTHER_WATCHERS: [Id; 2] = [Id(3), Id(4)];
const PROCESS: u64 = 7;

/// A detector that pinged its only subject at 0 and suspects it since `suspected_ms`.
fn suspecting() -> (FailureDetector, f64) {
    let mut detector = FailureDetector::default();
    detector.assign(&[FrontProcess { id: SUBJECT, process_id: PROCESS }], 0.0, 0.0);
    assert_eq!(detector.due(0.0), [Due::Ping { id: SUBJECT, indirect: false }]);
    detector.ping_sent(SUBJECT, 1, 0.0);
    let suspected_ms = PING_TIMEOUT_MS + 2.0 * INITIAL_ROUND_TRIP_MS;
    assert!(!detector.due(suspected_ms - 1.0).contains(&Due::Suspicion(SUBJECT)));
    assert!(detector.due(suspected_ms).contains(&Due::Suspicion(SUBJECT)));
    (detector, suspected_ms)
}

fn suspicion(number: u32, at_ms: f64, is_active: bool) -> Suspicion {
    Suspicion { number, at_ms, process_id: PROCESS, is_active, is_only_silent: true }
}

fn verdict(detector: &FailureDetector, member_count: usize, now_ms: f64) -> Option<Verdict> {
    let watchers = [OWN, OTHER_WATCHERS[0], OTHER_WATCHERS[1]];
    detector.verdict(SUBJECT, PROCESS, OWN, &watchers, member_count, now_ms)
}

#[test]
fn a_member_has_failed_once_most_watchers_in_reach_suspect_it() {
    let (mut detector, now_ms) = suspecting();
    assert!(detector.record(SUBJECT, OWN, suspicion(1, now_ms, true)));
    OTHER_WATCHERS.iter().for_each(|w| detector.received_from(*w, now_ms));
    assert_eq!(verdict(&detector, 9, now_ms), None, "one of three in reach");
    assert!(detector.record(SUBJECT, OTHER_WATCHERS[0], suspicion(1, now_ms, true)));
    assert_eq!(verdict(&detector, 9, now_ms), Some(Verdict { is_confirmed: true }));
    let silent_too = Suspicion { is_only_silent: false, ..suspicion(2, now_ms, true) };
    detector.record(SUBJECT, OTHER_WATCHERS[0], silent_too);
    assert_eq!(verdict(&detector, 9, now_ms), Some(Verdict { is_confirmed: false }), "links may be at fault");
}

#[test]
fn a_front_that_reaches_no_other_watcher_decides_alone_only_in_a_fleet_of_three() {
    let (mut detector, now_ms) = suspecting();
    detector.record(SUBJECT, OWN, suspicion(1, now_ms, true));
    assert_eq!(verdict(&detector, 3, now_ms), None, "the others may still answer");
    let later_ms = now_ms + OUT_OF_REACH_MS + INITIAL_ROUND_TRIP_MS;
    assert_eq!(verdict(&detector, 3, later_ms), Some(Verdict { is_confirmed: false }));
    assert_eq!(verdict(&detector, 4, later_ms), None);
}

#[test]
fn a_late_copy_of_a_suspicion_does_not_undo_its_withdrawal() {
    let (mut detector, now_ms) = suspecting();
    let watcher = OTHER_WATCHERS[0];
    assert!(detector.record(SUBJECT, watcher, suspicion(1, now_ms, true)));
    assert!(detector.record(SUBJECT, watcher, suspicion(2, now_ms, false)));
    assert!(!detector.record(SUBJECT, watcher, suspicion(1, now_ms, true)));
    assert!(detector.suspected_by(SUBJECT, PROCESS, now_ms).is_empty());
}

#[test]
fn an_answer_ends_a_suspicion_unless_another_process_gives_it() {
    let (mut detector, now_ms) = suspecting();
    let restarted = FrontProcess { id: SUBJECT, process_id: PROCESS + 1 };
    assert_eq!(detector.ping_answered(1, Some(restarted), now_ms), None);
    assert!(detector.suspects(SUBJECT));
    let answered = detector.ping_answered(1, None, now_ms);
    assert_eq!(answered, Some(Answered { id: SUBJECT, ends_suspicion: true }));
    assert!(!detector.suspects(SUBJECT));
}

#[test]
fn a_front_that_did_not_run_for_a_while_suspects_nobody_for_it() {
    let (mut detector, now_ms) = suspecting();
    detector.record(SUBJECT, OTHER_WATCHERS[0], suspicion(1, now_ms, true));
    detector.resume(2_000.0, now_ms + 2_000.0);
    assert!(!detector.suspects(SUBJECT));
    assert!(detector.suspected_by(SUBJECT, PROCESS, now_ms).is_empty());
}
