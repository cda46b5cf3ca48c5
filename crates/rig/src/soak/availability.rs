//! Availability of a front as clients know it: whether it accepts connections and requests, and which
//! unanswered requests are excused.

use crate::sync::lock;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Time after SIGTERM during which clients still send requests.
const REQUEST_PERIOD_AFTER_SIGTERM: Duration = Duration::from_millis(600);
/// Time after SIGTERM during which clients still open connections.
const CONNECT_PERIOD_AFTER_SIGTERM: Duration = Duration::from_millis(300);
/// Time after SIGTERM during which requests have to be answered; those sent later are excused.
const ACCOUNTABLE_PERIOD_AFTER_SIGTERM: Duration = Duration::from_millis(700);

#[derive(Default)]
struct AvailabilityState {
    generation: u64,
    ready: bool,
    killed: bool,
    term_at: Option<Instant>,
}

/// Availability of one front, shared by its [`FrontProcess`](super::process::FrontProcess) and its clients.
#[derive(Default)]
pub struct FrontAvailability(Mutex<AvailabilityState>);

impl FrontAvailability {
    /// Records that a new process was started, which is not ready yet.
    pub fn on_process_started(&self) {
        let mut state = lock(&self.0);
        *state = AvailabilityState { generation: state.generation + 1, ..AvailabilityState::default() };
    }

    /// Sets whether the process accepts requests.
    pub fn set_ready(&self, ready: bool) {
        lock(&self.0).ready = ready;
    }

    /// Records that the process is about to be killed.
    pub fn on_process_killed(&self) {
        let mut state = lock(&self.0);
        (state.killed, state.ready) = (true, false);
    }

    /// Records that SIGTERM is about to be sent to the process.
    pub fn on_sigterm_sent(&self) {
        lock(&self.0).term_at = Some(Instant::now());
    }

    /// Returns the number of the front's current process, counted from 1.
    pub fn generation(&self) -> u64 {
        lock(&self.0).generation
    }

    /// Returns whether clients may open new connections.
    pub fn accepts_connections(&self) -> bool {
        let state = lock(&self.0);
        state.ready && state.term_at.is_none_or(|at| at.elapsed() < CONNECT_PERIOD_AFTER_SIGTERM)
    }

    /// Returns whether clients may send requests over connections to the process with the given number.
    pub fn accepts_requests(&self, generation: u64) -> bool {
        let state = lock(&self.0);
        state.ready
            && state.generation == generation
            && state.term_at.is_none_or(|at| at.elapsed() < REQUEST_PERIOD_AFTER_SIGTERM)
    }

    /// Returns the name under which an unanswered request is counted when it is excused, or `None` when it
    /// is a breach. `generation` is the process that the request was sent to, at `sent_at`.
    pub fn loss_excuse(&self, generation: u64, sent_at: Instant) -> Option<&'static str> {
        let state = lock(&self.0);
        if state.generation != generation {
            return Some("lost to an earlier process");
        }
        if state.killed {
            return Some("lost to a kill");
        }
        let late = state.term_at.is_some_and(|term_at| sent_at > term_at + ACCOUNTABLE_PERIOD_AFTER_SIGTERM);
        late.then_some("asked after the end")
    }
}
