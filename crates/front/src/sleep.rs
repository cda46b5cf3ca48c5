//! Waits of a coroutine, in few lengths, that end on the worker.
//!
//! May resumes a coroutine whose timer has ended on its timer thread (may 0.3.51, `scheduler.rs`, `timer_event_handler`),
//! beside the worker. The front rests on one thread for all coroutines: what does not yield is not interrupted. Whoever
//! comes out of a wait by its timer therefore goes back to the worker's queue first.
//!
//! May keeps a list of timers for each length of a wait that it was ever asked for. Past 1,024 of them it frees a list as
//! soon as that runs empty, and with it the timer that ended last, which the coroutine that it woke still refers to
//! (may 0.3.51, `timeout_list.rs`; may_queue 0.1.24, `Drop` of `mpsc_list_v1::Queue`): memory that was freed is read and
//! written, and the process ends sooner or later. A wait of any length is therefore made of steps of few lengths.

use may::sync::Blocker;
use std::time::{Duration, Instant};

/// The longest step that is taken at once, and up to which steps are whole milliseconds.
const FINE_STEP_MS: u64 = 16;

/// A wait that goes on for `remaining` at the most and a millisecond: one of few lengths. Whole milliseconds, as may cuts a wait
/// to them and takes 0 for 'for ever'; above 16 of them the leading four bits alone.
fn step(remaining: Duration) -> Duration {
    let ms = remaining.as_micros().div_ceil(1000).clamp(1, 1 << 31) as u64;
    let cut = if ms <= FINE_STEP_MS { 0 } else { 60 - ms.leading_zeros() };
    Duration::from_millis(ms >> cut << cut)
}

/// Waits to be woken, for a part of `remaining`: who calls it looks whether it is over and calls again.
pub fn park(blocker: &Blocker, remaining: Duration) {
    if blocker.park(Some(step(remaining))).is_err() {
        requeue_on_worker();
    }
}

/// Waits for that long.
pub fn sleep(long: Duration) {
    wait(long, requeue_on_worker);
}

/// Waits for that long, and goes on on may's timer thread, beside the worker. Only for what is guarded by locks alone: it
/// spares the worker a wake at each end.
pub fn sleep_beside_the_worker(long: Duration) {
    wait(long, || {});
}

fn wait(long: Duration, after_each_step: impl Fn()) {
    let until = Instant::now() + long;
    loop {
        let remaining = until.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return;
        }
        #[expect(clippy::disallowed_methods, reason = "the one place that knows of its lengths")]
        may::coroutine::sleep(step(remaining));
        after_each_step();
    }
}

/// Puts the running coroutine into the worker's queue; a plain thread just yields.
fn requeue_on_worker() {
    may::coroutine::yield_now();
}

#[cfg(test)]
#[path = "sleep/tests.rs"]
mod tests;
