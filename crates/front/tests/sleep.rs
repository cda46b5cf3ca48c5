//! Checks on which thread a coroutine resumes after a wait, with one worker thread as in the program.

use fernslip_front::sleep::{park_step, sleep};
use may::sync::Blocker;
use std::time::Duration;

/// The front relies on a single thread for all its coroutines: code that does not yield must not be
/// interrupted.
#[test]
#[expect(clippy::disallowed_methods, reason = "each coroutine yields once, to begin on the worker")]
fn a_coroutine_resumes_on_the_worker_after_a_timed_wait() {
    may::config().set_workers(1);
    let thread = || std::thread::current().id();
    let slept = may::go!(move || {
        may::coroutine::yield_now();
        let worker = thread();
        sleep(Duration::from_millis(3));
        (worker, thread())
    });
    let parked = may::go!(move || {
        may::coroutine::yield_now();
        let worker = thread();
        park_step(&Blocker::current(), Duration::from_millis(3));
        (worker, thread())
    });
    for (what, ended) in [("sleep", slept.join()), ("park", parked.join())] {
        let (before, after) = ended.expect("the coroutine does not panic");
        assert_eq!(before, after, "after {what} the coroutine resumes on the worker thread");
    }
}
