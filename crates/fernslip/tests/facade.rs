//! The dispatcher facade, used by blocking threads.
mod common;
use common::{endpoints, settings};
use fernslip::facade::*;
use fernslip::*;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Condvar, Mutex};

/// A waiter that blocks its thread until it is woken.
#[derive(Default)]
struct BlockingWaiter(Mutex<bool>, Condvar);

impl Waiter for BlockingWaiter {
    fn wait(&self) {
        let _woken = self.1.wait_while(self.0.lock().unwrap(), |woken| !*woken).unwrap();
    }

    fn wake(&self) {
        *self.0.lock().unwrap() = true;
        self.1.notify_all();
    }
}

/// A host that records cancellations and peer messages as text.
#[derive(Default)]
struct RecordingHost(Mutex<Vec<String>>);

impl Host for RecordingHost {
    fn waiter(&self) -> Arc<dyn Waiter> {
        Arc::new(BlockingWaiter::default())
    }

    fn cancel(&self, id: RequestId, attempt: u32) {
        self.0.lock().unwrap().push(format!("cancel {} {attempt}", id.0));
    }

    fn send_to_peer(&self, to: u32, data: &[u8]) {
        self.0.lock().unwrap().push(format!("to peer {to}: {data:?}"));
    }

    fn send_to_all_peers(&self, data: &[u8]) {
        self.0.lock().unwrap().push(format!("to all peers: {data:?}"));
    }

    fn log(&self, _: &str) {}
}

/// The caller of the tests' requests, and another caller that sends an id of theirs.
const OWNER: CallerId = CallerId(1);
const OTHER: CallerId = CallerId(2);

/// A dispatcher that has its endpoint list.
fn new_dispatcher() -> Dispatcher<RecordingHost> {
    let d = Dispatcher::new(settings(), 7, RecordingHost::default()).expect("the test settings are valid");
    d.update_endpoints(1000.0, ListKind::Full, endpoints());
    d
}

fn new_request(id: u64) -> Request {
    let (object, budget_ms) = (ObjectId(9), 5000.0);
    Request { id: RequestId(id), object, part: 0, class: 0, size_kb: 100.0, budget_ms, group: 3 }
}

fn expect_attempt(decision: Decision) -> Attempt {
    match decision {
        Decision::Forward(attempt) => attempt,
        other => panic!("expected an attempt, got {other:?}"),
    }
}

fn result_of(attempt: &Attempt, ending: Ending) -> AttemptResult {
    let (id, attempt, cache) = (attempt.id, attempt.number, attempt.cache.clone());
    AttemptResult {
        id,
        attempt,
        cache,
        ending,
        elapsed_ms: 50.0,
        detail: 0,
        fill_wait_ms: 0.0,
        reported_in_flight: None,
    }
}

#[test]
fn a_failed_request_is_retried_and_then_finished() {
    let d = new_dispatcher();
    let first = expect_attempt(d.pick(1000.0, new_request(1), OWNER));
    assert!(first.source.is_some() && first.number == 0);
    let second = expect_attempt(d.report(1050.0, result_of(&first, Ending::Errored)));
    assert_eq!(second.number, 1);
    assert!(matches!(d.report(1100.0, result_of(&second, Ending::Completed)), Decision::Finished));
    assert_eq!(d.open_requests(), 0, "a finished request is removed");
    assert!(
        matches!(d.report(1101.0, result_of(&second, Ending::Completed)), Decision::Finished),
        "a result that comes late changes nothing"
    );
}

#[test]
fn a_rejected_request_is_answered_at_once_with_a_retry_hint() {
    let d = new_dispatcher();
    let a = expect_attempt(d.pick(1000.0, new_request(1), OWNER));
    match d.report(5999.0, result_of(&a, Ending::Errored)) {
        Decision::Reject { retry_after_ms } => assert!(retry_after_ms > 0.0),
        other => panic!("expected a rejection, got {other:?}"),
    }
    assert_eq!(d.open_requests(), 0);
}

#[test]
fn a_duplicate_id_is_rejected_and_the_first_request_keeps_its_answer() {
    let d = new_dispatcher();
    let a = expect_attempt(d.pick(1000.0, new_request(1), OWNER));
    assert!(matches!(d.pick(1001.0, new_request(1), OTHER), Decision::Reject { .. }));
    assert!(matches!(d.report(1050.0, result_of(&a, Ending::Completed)), Decision::Finished));
}

#[test]
fn a_disconnected_clients_attempt_is_cancelled() {
    let d = new_dispatcher();
    let a = expect_attempt(d.pick(1000.0, new_request(1), OWNER));
    assert!(d.client_disconnected(1010.0, a.id, OWNER));
    assert!(
        a.cancelled.load(Ordering::Acquire),
        "the attempt is marked as cancelled even if the front has not begun it"
    );
    assert!(d.host().0.lock().unwrap().contains(&"cancel 1 0".to_string()));
    assert!(matches!(d.report(1011.0, result_of(&a, Ending::Cancelled)), Decision::Finished));
    assert_eq!(d.open_requests(), 0);
}

/// The id of a write comes again while its attempt is in flight, although its client has left: the second request
/// fails instead of being rejected, because a rejection says that nothing ran.
#[test]
fn the_id_of_a_write_in_flight_fails() {
    let mut settings = settings();
    settings.classes[0].effect = Effect::AtMostOnce;
    let d = Dispatcher::new(settings, 7, RecordingHost::default()).expect("the test settings are valid");
    d.update_endpoints(1000.0, ListKind::Full, endpoints());
    let write = expect_attempt(d.pick(1000.0, new_request(1), OWNER));
    assert!(matches!(d.pick(1001.0, new_request(1), OTHER), Decision::Fail));
    assert!(d.client_disconnected(1002.0, write.id, OWNER));
    assert!(matches!(d.pick(1003.0, new_request(1), OTHER), Decision::Fail));
    assert!(matches!(d.report(1004.0, result_of(&write, Ending::Cancelled)), Decision::Finished));
}

/// Another client sends the id of an open request and disconnects, before its own call is decided on or after
/// that was rejected: the open request must not be cancelled, whichever attempt it is at.
#[test]
fn only_the_owner_of_a_request_can_cancel_it() {
    let d = new_dispatcher();
    let first = expect_attempt(d.pick(1000.0, new_request(1), OWNER));
    assert!(!d.client_disconnected(1001.0, first.id, OTHER));
    assert!(matches!(d.pick(1002.0, new_request(1), OTHER), Decision::Reject { .. }));
    assert!(!d.client_disconnected(1003.0, first.id, OTHER));
    assert!(d.is_wanted(&first) && !first.cancelled.load(Ordering::Acquire));
    let second = expect_attempt(d.report(1050.0, result_of(&first, Ending::Errored)));
    assert!(!d.client_disconnected(1051.0, second.id, OTHER) && d.is_wanted(&second));
    assert!(d.host().0.lock().unwrap().is_empty(), "nothing is cancelled");
    assert!(matches!(d.report(1100.0, result_of(&second, Ending::Completed)), Decision::Finished));
    // A caller that has left owns nothing of the next request with its id.
    let next = expect_attempt(d.pick(1200.0, new_request(1), OTHER));
    assert!(!d.client_disconnected(1201.0, next.id, OWNER) && d.is_wanted(&next));
}

#[test]
fn timers_cancel_attempts_at_a_silent_cache() {
    let d = new_dispatcher();
    let a = expect_attempt(d.pick(1000.0, new_request(1), OWNER));
    let mut now = 1000.0;
    while !a.cancelled.load(Ordering::Acquire) {
        now = d.tick(now).expect("a timer to find silent nodes is set");
        assert!(now < 5000.0, "the attempt is cancelled in time for a retry");
    }
    let b = expect_attempt(d.report(now, result_of(&a, Ending::Cancelled)));
    assert_ne!(a.cache, b.cache);
}

#[test]
fn messages_to_and_from_peers_are_passed_on() {
    let d = new_dispatcher();
    assert_eq!(d.host().0.lock().unwrap().len(), 0, "nothing is sent where the location has no other router");
    d.peer_message(1000.0, 1, vec![2, 1, 1]);
    assert_eq!(
        *d.host().0.lock().unwrap(),
        ["to peer 1: [2, 1, 0]"],
        "a greeting that requests an answer gets one"
    );
}

/// An attempt not begun yet must not begin after its node drains or is excluded manually, its object is
/// purged or its client disconnects. The next attempt is decided with these changes known.
#[test]
fn an_attempt_outdated_by_a_purge_or_drain_is_not_begun() {
    let may_begin = |d: &Dispatcher<RecordingHost>, a: &Attempt| d.is_in_service(a) && d.is_wanted(a);
    let d = new_dispatcher();
    let first = expect_attempt(d.pick(1000.0, new_request(1), OWNER));
    assert!(may_begin(&d, &first));
    d.purged(1001.0, Some(ObjectId(10)), 0, 1.0);
    assert!(may_begin(&d, &first), "a purge of another object does not affect the attempt");
    d.purged(1001.0, Some(ObjectId(9)), 0, 1.0);
    assert!(!may_begin(&d, &first), "the object was purged");
    let second = expect_attempt(d.report(1002.0, result_of(&first, Ending::Retracted)));
    assert!(may_begin(&d, &second), "the second attempt was decided after the purge");
    let mut draining = endpoints();
    draining.iter_mut().filter(|e| e.cache == second.cache).for_each(|e| e.phase = Phase::Draining);
    d.update_endpoints(1003.0, ListKind::Delta, draining);
    assert!(!may_begin(&d, &second), "the node is draining");
    assert_eq!(d.out_of_service_since(&second.cache), Some(1003.0));
    let third = expect_attempt(d.report(1004.0, result_of(&second, Ending::Retracted)));
    assert!(may_begin(&d, &third));
    assert!(d.exclude(1005.0, &third.cache));
    assert!(!may_begin(&d, &third), "the node is excluded manually");
    assert!(d.include(1006.0, &third.cache) && may_begin(&d, &third));
    assert!(d.client_disconnected(1007.0, RequestId(1), OWNER));
    assert!(!may_begin(&d, &third), "the client has disconnected");
}

/// An operator's thread includes a node manually while the discovery watch's thread lists it as draining:
/// whichever comes first, the node gets no request.
#[test]
fn a_node_included_while_the_list_drains_it_is_not_used() {
    for round in 0..300 {
        let d = new_dispatcher();
        let node = expect_attempt(d.pick(1000.0, new_request(1), OWNER)).cache;
        assert!(d.exclude(1001.0, &node));
        let mut drains = endpoints();
        drains.retain(|e| e.cache == node);
        drains[0].phase = Phase::Draining;
        std::thread::scope(|threads| {
            threads.spawn(|| d.include(1002.0, &node));
            threads.spawn(|| d.update_endpoints(1002.0, ListKind::Delta, drains));
        });
        for n in 2..6 {
            let next = expect_attempt(d.pick(1003.0, new_request(n), OWNER));
            assert_ne!(next.cache, node, "round {round}: a draining node gets no request");
        }
    }
}
