//! The facade in blocking style.
mod common;
use common::{fleet, settings};
use fernslip::facade::*;
use fernslip::*;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Condvar, Mutex};

#[derive(Default)]
struct Flag(Mutex<bool>, Condvar);

impl Waiter for Flag {
    fn wait(&self) {
        let _woken = self.1.wait_while(self.0.lock().unwrap(), |woken| !*woken).unwrap();
    }

    fn wake(&self) {
        *self.0.lock().unwrap() = true;
        self.1.notify_all();
    }
}

#[derive(Default)]
struct Notes(Mutex<Vec<String>>);

impl Host for Notes {
    fn waiter(&self) -> Arc<dyn Waiter> {
        Arc::new(Flag::default())
    }

    fn cancel(&self, id: RequestId, attempt: u32) {
        self.0.lock().unwrap().push(format!("cancel {} {attempt}", id.0));
    }

    fn send_to_peer(&self, to: u32, data: &[u8]) {
        self.0.lock().unwrap().push(format!("tell {to} {data:?}"));
    }

    fn send_to_all_peers(&self, data: &[u8]) {
        self.0.lock().unwrap().push(format!("tell all {data:?}"));
    }

    fn log(&self, _: &str) {}
}

fn ready() -> Dispatcher<Notes> {
    let d = Dispatcher::new(settings(), 7, Notes::default()).expect("settings are sound");
    d.update_endpoints(1000.0, ListKind::Full, fleet());
    d
}

fn request(id: u64) -> Request {
    let (object, budget_ms) = (ObjectId(9), 5000.0);
    Request { id: RequestId(id), object, part: 0, class: 0, size_kb: 100.0, budget_ms, group: 3 }
}

fn attempt(d: Decision) -> Attempt {
    match d {
        Decision::Forward(a) => a,
        other => panic!("{other:?}"),
    }
}

fn ended(a: &Attempt, ending: Ending) -> AttemptResult {
    let (id, attempt, cache) = (a.id, a.number, a.cache.clone());
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
fn a_request_is_picked_retried_and_finished() {
    let d = ready();
    let first = attempt(d.pick(1000.0, request(1)));
    assert!(first.source.is_some() && first.number == 0);
    let second = attempt(d.report(1050.0, ended(&first, Ending::Errored)));
    assert_eq!(second.number, 1);
    assert!(matches!(d.report(1100.0, ended(&second, Ending::Completed)), Decision::Finished));
    assert_eq!(d.open_requests(), 0, "nothing is kept of it");
    assert!(
        matches!(d.report(1101.0, ended(&second, Ending::Completed)), Decision::Finished),
        "late and harmless"
    );
}

#[test]
fn a_rejected_request_is_answered_at_once_with_a_retry_hint() {
    let d = ready();
    let a = attempt(d.pick(1000.0, request(1)));
    match d.report(5999.0, ended(&a, Ending::Errored)) {
        Decision::Reject { retry_after_ms } => assert!(retry_after_ms > 0.0),
        other => panic!("{other:?}"),
    }
    assert_eq!(d.open_requests(), 0);
}

#[test]
fn a_duplicate_id_is_rejected_and_the_first_request_keeps_its_answer() {
    let d = ready();
    let a = attempt(d.pick(1000.0, request(1)));
    assert!(matches!(d.pick(1001.0, request(1)), Decision::Reject { .. }));
    assert!(matches!(d.report(1050.0, ended(&a, Ending::Completed)), Decision::Finished));
}

#[test]
fn a_disconnected_clients_attempt_is_cancelled() {
    let d = ready();
    let a = attempt(d.pick(1000.0, request(1)));
    d.client_disconnected(1010.0, a.id);
    assert!(a.cancelled.load(Ordering::Acquire), "also where the front has not begun with it");
    assert!(d.host().0.lock().unwrap().contains(&"cancel 1 0".to_string()));
    assert!(matches!(d.report(1011.0, ended(&a, Ending::Cancelled)), Decision::Finished));
    assert_eq!(d.open_requests(), 0);
}

#[test]
fn timers_cancel_attempts_at_a_silent_cache() {
    let d = ready();
    let a = attempt(d.pick(1000.0, request(1)));
    let mut now = 1000.0;
    while !a.cancelled.load(Ordering::Acquire) {
        now = d.tick(now).expect("it looks for silent machines");
        assert!(now < 5000.0, "in time for another try");
    }
    let b = attempt(d.report(now, ended(&a, Ending::Cancelled)));
    assert_ne!(a.cache, b.cache);
}

#[test]
fn messages_to_and_from_peers_are_passed_on() {
    let d = ready();
    assert_eq!(d.host().0.lock().unwrap().len(), 0, "its location has no other router");
    d.peer_message(1000.0, 1, vec![2, 1, 1]);
    assert_eq!(*d.host().0.lock().unwrap(), ["tell 1 [2, 1, 0]"], "a greeting that asks is answered");
}

/// An attempt that was decided on and has not begun is told from one that may still begin: by a drain, a node out by hand, a
/// purge of what it asks for, and its client's leaving. The next attempt is decided with all of it known.
#[test]
fn an_attempt_outdated_by_a_purge_or_drain_is_not_begun() {
    let begins = |d: &Dispatcher<Notes>, a: &Attempt| d.is_in_service(a) && d.is_wanted(a);
    let d = ready();
    let first = attempt(d.pick(1000.0, request(1)));
    assert!(begins(&d, &first));
    d.purged(1001.0, Some(ObjectId(10)), 0, 1.0);
    assert!(begins(&d, &first), "another object");
    d.purged(1001.0, Some(ObjectId(9)), 0, 1.0);
    assert!(!begins(&d, &first), "purged");
    let second = attempt(d.report(1002.0, ended(&first, Ending::Retracted)));
    assert!(begins(&d, &second), "decided on with the purge in it");
    let mut draining = fleet();
    draining.iter_mut().filter(|e| e.cache == second.cache).for_each(|e| e.phase = Phase::Draining);
    d.update_endpoints(1003.0, ListKind::Delta, draining);
    assert!(!begins(&d, &second), "draining");
    assert_eq!(d.out_of_service_since(&second.cache), Some(1003.0));
    let third = attempt(d.report(1004.0, ended(&second, Ending::Retracted)));
    assert!(begins(&d, &third));
    assert!(d.exclude(1005.0, &third.cache));
    assert!(!begins(&d, &third), "out by hand");
    assert!(d.include(1006.0, &third.cache) && begins(&d, &third));
    d.client_disconnected(1007.0, RequestId(1));
    assert!(!begins(&d, &third), "its client has left");
}

/// Two threads, as the operators' and the watch's are: a node that is put back by hand while the list says that it drains is
/// never sent anything, whichever comes first.
#[test]
fn a_node_included_while_the_list_drains_it_is_not_used() {
    for round in 0..300 {
        let d = ready();
        let node = attempt(d.pick(1000.0, request(1))).cache;
        assert!(d.exclude(1001.0, &node));
        let mut drains = fleet();
        drains.retain(|e| e.cache == node);
        drains[0].phase = Phase::Draining;
        std::thread::scope(|threads| {
            threads.spawn(|| d.include(1002.0, &node));
            threads.spawn(|| d.update_endpoints(1002.0, ListKind::Delta, drains));
        });
        for n in 2..6 {
            let next = attempt(d.pick(1003.0, request(n)));
            assert_ne!(next.cache, node, "round {round}");
        }
    }
}
