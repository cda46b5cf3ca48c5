//! What clients may know of a front's process: whether it takes connections and requests, and which losses are excused.

use crate::sync::lock;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Clients go on sending requests for so long after SIGTERM.
const REQUESTS_AFTER_TERM: Duration = Duration::from_millis(600);
/// Clients go on making connections for so long after SIGTERM.
const CONNECTIONS_AFTER_TERM: Duration = Duration::from_millis(300);
/// Requests that were sent later than this after SIGTERM are excused.
const ACCOUNTABLE_AFTER_TERM: Duration = Duration::from_millis(700);

#[derive(Default)]
struct State {
    generation: u64,
    ready: bool,
    killed: bool,
    term_at: Option<Instant>,
}

/// The availability of one front, shared between its process and its clients.
#[derive(Default)]
pub struct FrontAvailability(Mutex<State>);

impl FrontAvailability {
    /// A new process was started; it is not ready yet.
    pub fn process_started(&self) {
        let mut state = lock(&self.0);
        *state = State { generation: state.generation + 1, ..State::default() };
    }

    /// Whether the process takes requests, or no longer does.
    pub fn set_ready(&self, ready: bool) {
        lock(&self.0).ready = ready;
    }

    /// The process is being killed.
    pub fn process_killed(&self) {
        let mut state = lock(&self.0);
        (state.killed, state.ready) = (true, false);
    }

    /// The process is being sent SIGTERM.
    pub fn term_sent(&self) {
        lock(&self.0).term_at = Some(Instant::now());
    }

    /// The number of the front's process, counted from its first start.
    pub fn generation(&self) -> u64 {
        lock(&self.0).generation
    }

    /// Whether clients make new connections.
    pub fn accepts_connections(&self) -> bool {
        let state = lock(&self.0);
        state.ready && state.term_at.is_none_or(|at| at.elapsed() < CONNECTIONS_AFTER_TERM)
    }

    /// Whether clients send requests over connections to that process.
    pub fn accepts_requests(&self, generation: u64) -> bool {
        let state = lock(&self.0);
        state.ready
            && state.generation == generation
            && state.term_at.is_none_or(|at| at.elapsed() < REQUESTS_AFTER_TERM)
    }

    /// Why an unanswered request, sent at that moment to that process, does not count against it; `None` where it does.
    /// The text is the name under which it is counted.
    pub fn excuse(&self, generation: u64, sent_at: Instant) -> Option<&'static str> {
        let state = lock(&self.0);
        if state.generation != generation {
            return Some("lost to an earlier process");
        }
        if state.killed {
            return Some("lost to a kill");
        }
        let late = state.term_at.is_some_and(|term_at| sent_at > term_at + ACCOUNTABLE_AFTER_TERM);
        late.then_some("asked after the end")
    }
}
