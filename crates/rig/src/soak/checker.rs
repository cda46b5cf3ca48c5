//! The rules, checked from outside: what clients sent and received, what reached nodes, what the bus made known to whom.
//!
//! Every limit has the rules' own 50 ms of slack, and twice as much as this process itself was late lately, since a busy
//! machine is no fault of a front's. What a node could not read while it was blocked is not judged by when it was read.

mod attempts;

use crate::sync::lock;
use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// The rules' own slack.
const SLACK: Duration = Duration::from_millis(50);
/// An answer that is later than this is lost.
const ANSWER_LATENESS: Duration = Duration::from_millis(500);
/// A request that has ended is dropped after this time; whatever is late for it has arrived by then.
const RETENTION: Duration = Duration::from_secs(30);
/// A front is assumed to know an event of the bus after this time, connected or not.
pub const ASSUMED_KNOWN_AFTER: Duration = Duration::from_secs(7);
/// Breaches that are recorded with their text; further ones are only counted.
const MAX_BREACH_TEXTS: usize = 200;

/// A rule that was broken. The names stand in the rig's JSON output and in `docs/operate/rig.md`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// No final answer, or one that is too late.
    Lost,
    /// Two final answers, or one to no request.
    Second,
    /// An answer that no node made.
    Foreign,
    /// Two attempts of one request in flight at once.
    TwoOut,
    /// A request that may be executed once was executed again.
    RanAgain,
    /// An attempt at a node that drains.
    Drain,
    /// A copy from before a purge named as good enough.
    Purge,
    /// More time passed on to a node than the client had.
    Limit,
    /// An attempt for a client that had disconnected or cancelled.
    Nobody,
    /// A process that crashed, ended too late or with something open, or was not ready in time.
    Process,
    /// A violation that the front counted itself, or a panic.
    Counted,
}

/// How often requests of a class may be executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Any number of times.
    Idempotent,
    /// Once.
    Once,
}

/// A request as its client sent it.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// The front that it was sent to.
    pub front: usize,
    /// How often it may be executed.
    pub effect: Effect,
    /// The object.
    pub object: u64,
    /// When its last byte was written.
    pub sent_at: Instant,
    /// How long its client waits.
    pub patience: Duration,
}

/// An attempt of a request at a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// The node.
    pub node: usize,
    /// The connection, unique among those of all nodes.
    pub connection: u64,
    /// The request's trace.
    pub trace: u64,
}

/// What is known of a request.
struct RequestState {
    request: ClientRequest,
    /// When its client disconnected or cancelled.
    abandoned_at: Option<Instant>,
    ended_at: Option<Instant>,
    /// The attempts that are at a node now.
    in_flight: Vec<Attempt>,
    executions: u32,
}

#[derive(Clone, Copy)]
struct Purge {
    at: Instant,
    /// Since when the front knows it.
    known_at: Option<Instant>,
}

#[derive(Default)]
struct Observed {
    /// By trace.
    requests: HashMap<u64, RequestState>,
    /// By front and node: since when the front knows that the node drains.
    draining: HashMap<(usize, usize), Instant>,
    /// By front and node: since when the node is excluded by hand, which outlasts processes.
    excluded: HashMap<(usize, usize), Instant>,
    /// By front and object.
    purges: HashMap<(usize, u64), Purge>,
    verdict: Verdict,
}

/// What a run came to.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    /// How often each rule was broken.
    pub breaches: BTreeMap<Rule, u64>,
    /// The first breaches as text.
    pub texts: Vec<String>,
    /// What else was counted.
    pub counts: BTreeMap<&'static str, u64>,
}

/// The time limits that a deployment sets.
#[derive(Clone, Copy, Debug)]
pub struct Graces {
    /// New attempts may reach a draining node for so long after the front knows.
    pub drain: Duration,
    /// Copies from before a purge may be named as good enough for so long after the front knows.
    pub purge: Duration,
    /// So long after a purge, no copies from before it remain.
    pub purge_done: Duration,
}

/// The checker of one run.
pub struct RuleChecker {
    started: Instant,
    observed: Mutex<Observed>,
    /// How late this process was lately, in milliseconds.
    lateness_ms: AtomicU64,
    graces: Graces,
}

impl RuleChecker {
    /// A checker with the deployment's time limits.
    pub fn new(graces: Graces) -> RuleChecker {
        RuleChecker {
            started: Instant::now(),
            observed: Mutex::default(),
            lateness_ms: AtomicU64::new(0),
            graces,
        }
    }

    /// Records how late this process was just now. Larger values fade by a tenth with each call.
    pub fn note_lateness(&self, lateness: Duration) {
        let before = self.lateness_ms.load(Ordering::Relaxed);
        let now = (lateness.as_millis() as u64).max(before * 9 / 10);
        self.lateness_ms.store(now, Ordering::Relaxed);
    }

    fn slack(&self) -> Duration {
        SLACK + 2 * Duration::from_millis(self.lateness_ms.load(Ordering::Relaxed))
    }

    /// Records that a rule was broken, and what was seen.
    pub fn breach(&self, rule: Rule, text: String) {
        let at = self.started.elapsed().as_millis();
        let mut observed = lock(&self.observed);
        let verdict = &mut observed.verdict;
        *verdict.breaches.entry(rule).or_default() += 1;
        if verdict.texts.len() < MAX_BREACH_TEXTS {
            verdict.texts.push(format!("{at} ms {rule:?}: {text}"));
        }
    }

    /// Counts something that is no breach.
    pub fn count(&self, name: &'static str) {
        *lock(&self.observed).verdict.counts.entry(name).or_default() += 1;
    }

    /// What the run came to so far.
    pub fn verdict(&self) -> Verdict {
        lock(&self.observed).verdict.clone()
    }

    /// A client is sending a request.
    pub fn request_sent(&self, trace: u64, request: ClientRequest) {
        let state = RequestState {
            request,
            abandoned_at: None,
            ended_at: None,
            in_flight: Vec::new(),
            executions: 0,
        };
        lock(&self.observed).requests.insert(trace, state);
    }

    /// The last byte of a request was written at that moment, from which its patience counts.
    pub fn request_written(&self, trace: u64, at: Instant) {
        if let Some(state) = lock(&self.observed).requests.get_mut(&trace) {
            state.request.sent_at = at;
        }
    }

    /// The client has cancelled or disconnected: no answer is owed any more.
    pub fn request_abandoned(&self, trace: u64) {
        if let Some(state) = lock(&self.observed).requests.get_mut(&trace) {
            state.abandoned_at.get_or_insert_with(Instant::now);
            state.ended_at.get_or_insert_with(Instant::now);
        }
    }

    /// A final answer was received.
    pub fn request_answered(&self, trace: u64) {
        let (lateness, request) = {
            let mut observed = lock(&self.observed);
            let Some(state) = observed.requests.get_mut(&trace) else { return };
            state.ended_at = Some(Instant::now());
            let request = &state.request;
            (request.sent_at.elapsed().saturating_sub(request.patience), request.clone())
        };
        if lateness > ANSWER_LATENESS + self.slack() {
            let text = format!("{trace:016x} answered {lateness:?} after its time, {request:?}");
            self.breach(Rule::Lost, text);
        }
    }

    /// The connection ended without an answer, or none came. With an `excuse` that does not count against the front, but
    /// under that name.
    pub fn request_unanswered(&self, trace: u64, excuse: Option<&'static str>, reason: &str) {
        let request = {
            let mut observed = lock(&self.observed);
            let Some(state) = observed.requests.get_mut(&trace) else { return };
            state.abandoned_at.get_or_insert_with(Instant::now);
            state.ended_at = Some(Instant::now());
            state.request.clone()
        };
        match excuse {
            Some(name) => self.count(name),
            None => {
                let elapsed = request.sent_at.elapsed();
                let text = format!("{trace:016x} {reason}, {elapsed:?} after it was asked, {request:?}");
                self.breach(Rule::Lost, text);
            }
        }
    }

    /// A front knows since that moment that a node drains; an earlier moment stays.
    pub fn drain_known(&self, front: usize, node: usize, at: Instant) {
        lock(&self.observed).draining.entry((front, node)).or_insert(at);
    }

    /// A node no longer drains, as far as a front is concerned.
    pub fn restored(&self, front: usize, node: usize) {
        lock(&self.observed).draining.remove(&(front, node));
    }

    /// A front has promised that nothing new goes to a node from that moment on; an earlier moment stays.
    pub fn exclusion_promised(&self, front: usize, node: usize, from: Instant) {
        lock(&self.observed).excluded.entry((front, node)).or_insert(from);
    }

    /// A node's exclusion is being revoked.
    pub fn exclusion_revoked(&self, front: usize, node: usize) {
        lock(&self.observed).excluded.remove(&(front, node));
    }

    /// An object was purged; since when that front knows, if it does.
    pub fn object_purged(&self, front: usize, object: u64, at: Instant, known_at: Option<Instant>) {
        lock(&self.observed).purges.insert((front, object), Purge { at, known_at });
    }

    /// A front starts anew: what it knows is in its configuration.
    pub fn front_started(&self, front: usize) {
        let mut observed = lock(&self.observed);
        observed.draining.retain(|(f, _), _| *f != front);
        observed.purges.retain(|(f, _), _| *f != front);
    }

    /// To be called now and then: reports requests that were never answered, and drops those that ended long ago.
    pub fn sweep(&self) {
        let slack = self.slack();
        let mut lost = Vec::new();
        {
            let mut observed = lock(&self.observed);
            for (trace, state) in observed.requests.iter_mut().filter(|(_, state)| state.ended_at.is_none()) {
                let request = &state.request;
                if request.sent_at.elapsed() > request.patience + 2 * ANSWER_LATENESS + slack {
                    lost.push(format!("{trace:016x} never answered, {request:?}"));
                    state.ended_at = Some(Instant::now());
                }
            }
            observed.requests.retain(|_, state| state.ended_at.is_none_or(|at| at.elapsed() < RETENTION));
        }
        lost.into_iter().for_each(|text| self.breach(Rule::Lost, text));
    }
}

#[cfg(test)]
mod tests;
