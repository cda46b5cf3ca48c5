//! Timed waits of coroutines. They resume on the worker thread and use only a small set of timer lengths.
//!
//! The `may` runtime resumes a coroutine whose timer has expired on its timer thread, outside the worker (may
//! 0.3.51, `scheduler.rs`, `timer_event_handler`). The front relies on a single thread for all coroutines:
//! code that does not yield is not interrupted. A coroutine therefore returns to the worker's queue first
//! when its timer expires.
//!
//! `may` has a timer list for each length that was ever requested. Beyond 1,024 lists it frees a list as soon
//! as the list is empty, together with the timer that expired last, which the woken coroutine still refers to
//! (may 0.3.51, `timeout_list.rs`; may_queue 0.1.24, `Drop` of `mpsc_list_v1::Queue`). This use after free
//! ends the process sooner or later. A wait of any length is therefore split into steps of few lengths.

use may::sync::Blocker;
use std::time::{Duration, Instant};

/// Up to this length, in milliseconds, a step may have any whole number of milliseconds; above it, steps are
/// rounded.
const FINE_STEP_MS: u64 = 16;

/// Returns the length of the next step of a wait: one of a few lengths, and at most `remaining` rounded up to
/// a millisecond. Steps are whole milliseconds, because `may` truncates a wait to them and takes 0 as 'for
/// ever'; above 16 ms only the leading four bits are used.
fn step_length(remaining: Duration) -> Duration {
    let ms = remaining.as_micros().div_ceil(1000).clamp(1, 1 << 31) as u64;
    let cut = if ms <= FINE_STEP_MS { 0 } else { 60 - ms.leading_zeros() };
    Duration::from_millis(ms >> cut << cut)
}

/// Parks the coroutine until it is woken or a part of `remaining` has passed. The caller checks its condition
/// and the time, and calls again.
pub fn park_step(blocker: &Blocker, remaining: Duration) {
    if blocker.park(Some(step_length(remaining))).is_err() {
        requeue_on_worker();
    }
}

/// Suspends the running coroutine for `duration`; it resumes on the worker thread.
pub fn sleep(duration: Duration) {
    sleep_in_steps(duration, requeue_on_worker);
}

/// Suspends the running coroutine for `duration`; it resumes on the timer thread of `may`, which saves the
/// worker a wake-up for each step. Only for coroutines whose data is guarded by locks.
pub fn sleep_off_the_worker(duration: Duration) {
    sleep_in_steps(duration, || {});
}

fn sleep_in_steps(duration: Duration, after_each_step: impl Fn()) {
    let until = Instant::now() + duration;
    loop {
        let remaining = until.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return;
        }
        #[expect(
            clippy::disallowed_methods,
            reason = "the only caller of `may`'s sleep; it limits the number of timer lengths"
        )]
        may::coroutine::sleep(step_length(remaining));
        after_each_step();
    }
}

/// Puts the running coroutine into the worker's queue; an ordinary thread only yields.
fn requeue_on_worker() {
    #[expect(
        clippy::disallowed_methods,
        reason = "called once for each timer that expires, so no coroutine stays ready by it"
    )]
    may::coroutine::yield_now();
}

#[cfg(test)]
#[path = "sleep/tests.rs"]
mod tests;
