//! Checks the rules from outside: by what clients sent and received, by what reached the nodes, and by what
//! the bus published to each front.
//!
//! Every time limit is extended by 50 ms, and by twice the recent lateness of this process itself, since a
//! busy machine is not a fault of the front. Data that a node could not read while it was blocked is not
//! judged by its read time.

mod attempts;

use crate::sync::lock;
use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Tolerance that is added to every time limit of the rules.
const TIMING_SLACK: Duration = Duration::from_millis(50);
/// An answer that comes this long after its deadline counts as lost.
const MAX_ANSWER_LATENESS: Duration = Duration::from_millis(500);
/// Time for which a request that has ended is remembered. Late attempts and answers for it have arrived by
/// then.
const ENDED_REQUEST_RETENTION: Duration = Duration::from_secs(30);
/// Time after which a front is assumed to know an event of the bus, whether it is connected or not.
pub const EVENT_ASSUMED_KNOWN_AFTER: Duration = Duration::from_secs(7);
/// Maximum number of breaches that are recorded with their text; further ones are only counted.
const MAX_BREACH_TEXTS: usize = 200;

/// A rule that fronts have to follow. The variant names are keys in the rig's JSON output and are listed in
/// `docs/operate/rig.md`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Broken when a request gets no final answer, or one that is too late.
    Lost,
    /// Broken by a second final answer, or by an answer to a request that was not sent; not recorded at
    /// present.
    Second,
    /// Broken by an answer whose body no node sent, or by an invalid command to a node.
    Foreign,
    /// Broken when two attempts of one request are in flight at the same time.
    TwoOut,
    /// Broken when a request that may be executed only once is executed again.
    RanAgain,
    /// Broken by an attempt at a node that the front knows to be draining or excluded.
    Drain,
    /// Broken by an attempt that accepts a copy from before a purge.
    Purge,
    /// Broken by an attempt whose time limit is longer than the client's remaining time.
    Limit,
    /// Broken by an attempt for a client that had already disconnected or cancelled.
    Nobody,
    /// Broken by a front process that crashes, is not ready in time, ends too late, or ends with attempts or
    /// connections open.
    Process,
    /// Broken by a violation or a panic that the front logs.
    Counted,
}

/// Execution semantics of a request class: how often nodes may execute a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExecutionSemantics {
    /// A request may be executed any number of times.
    Idempotent,
    /// A request may be executed at most once.
    Once,
}

/// A request as sent by a client.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// Index of the front that the request was sent to.
    pub front: usize,
    /// Execution semantics of the request's class.
    pub effect: ExecutionSemantics,
    /// Number of the requested object.
    pub object: u64,
    /// Time at which the last byte of the request was written.
    pub sent_at: Instant,
    /// Time for which the client waits for the answer, from `sent_at` on.
    pub patience: Duration,
}

/// An attempt to have a request answered by a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// Index of the node.
    pub node: usize,
    /// Number of the connection, unique over all nodes.
    pub connection: u64,
    /// Trace id of the request.
    pub trace: u64,
}

/// State of a request as observed so far.
struct RequestState {
    request: ClientRequest,
    /// Time at which the client disconnected or cancelled.
    abandoned_at: Option<Instant>,
    ended_at: Option<Instant>,
    /// Attempts that have reached a node and have not ended.
    in_flight: Vec<Attempt>,
    executions: u32,
}

/// The latest purge of an object, as one front sees it.
#[derive(Clone, Copy)]
struct ObservedPurge {
    at: Instant,
    /// Time at which the front learned of the purge; `None` while that is not certain.
    known_at: Option<Instant>,
}

/// All that the checker has observed in a run.
#[derive(Default)]
struct Observations {
    /// Requests by trace id.
    requests: HashMap<u64, RequestState>,
    /// Time at which a front learned that a node is draining, by front and node.
    draining: HashMap<(usize, usize), Instant>,
    /// Time from which a node is excluded through the admin interface, by front and node. An exclusion
    /// outlasts the front's process.
    excluded: HashMap<(usize, usize), Instant>,
    /// Purges by front and object.
    purges: HashMap<(usize, u64), ObservedPurge>,
    verdict: SoakVerdict,
}

/// Result of checking one run.
#[derive(Clone, Debug, Default)]
pub struct SoakVerdict {
    /// Number of breaches of each rule.
    pub breaches: BTreeMap<Rule, u64>,
    /// Descriptions of the first breaches.
    pub texts: Vec<String>,
    /// Number of occurrences of each other event, by event name.
    pub counts: BTreeMap<&'static str, u64>,
}

/// Grace periods that the deployment's settings define.
#[derive(Clone, Copy, Debug)]
pub struct GracePeriods {
    /// Time after a front learns that a node is draining during which new attempts may still reach the node.
    pub drain: Duration,
    /// Time after a front learns of a purge during which its attempts may still accept copies from before
    /// the purge.
    pub purge: Duration,
    /// Time after a purge at which no copies from before it remain.
    pub purge_done: Duration,
}

/// Checks the rules during one run.
pub struct RuleChecker {
    started: Instant,
    observed: Mutex<Observations>,
    /// Recent lateness of this process itself, in milliseconds.
    lateness_ms: AtomicU64,
    graces: GracePeriods,
}

impl RuleChecker {
    /// Creates a checker with the deployment's grace periods.
    pub fn new(graces: GracePeriods) -> RuleChecker {
        RuleChecker {
            started: Instant::now(),
            observed: Mutex::default(),
            lateness_ms: AtomicU64::new(0),
            graces,
        }
    }

    /// Records the lateness of this process. An earlier, larger value decreases by a tenth with each call.
    pub fn record_lateness(&self, lateness: Duration) {
        let before = self.lateness_ms.load(Ordering::Relaxed);
        let now = (lateness.as_millis() as u64).max(before * 9 / 10);
        self.lateness_ms.store(now, Ordering::Relaxed);
    }

    /// Returns the tolerance that is added to time limits at present, which includes the recent lateness.
    fn current_slack(&self) -> Duration {
        TIMING_SLACK + 2 * Duration::from_millis(self.lateness_ms.load(Ordering::Relaxed))
    }

    /// Records a breach of a rule with a description.
    pub fn record_breach(&self, rule: Rule, text: String) {
        let at = self.started.elapsed().as_millis();
        let mut observed = lock(&self.observed);
        let verdict = &mut observed.verdict;
        *verdict.breaches.entry(rule).or_default() += 1;
        if verdict.texts.len() < MAX_BREACH_TEXTS {
            verdict.texts.push(format!("{at} ms after the start, rule {rule:?}: {text}"));
        }
    }

    /// Counts an event that is not a breach, under the given name.
    pub fn increment_count(&self, name: &'static str) {
        *lock(&self.observed).verdict.counts.entry(name).or_default() += 1;
    }

    /// Returns the result of the checks so far.
    pub fn verdict(&self) -> SoakVerdict {
        lock(&self.observed).verdict.clone()
    }

    /// Records that a client begins to send a request.
    pub fn on_request_sent(&self, trace: u64, request: ClientRequest) {
        let state = RequestState {
            request,
            abandoned_at: None,
            ended_at: None,
            in_flight: Vec::new(),
            executions: 0,
        };
        lock(&self.observed).requests.insert(trace, state);
    }

    /// Records when the last byte of a request was written. The client's waiting time counts from then.
    pub fn on_request_written(&self, trace: u64, at: Instant) {
        if let Some(state) = lock(&self.observed).requests.get_mut(&trace) {
            state.request.sent_at = at;
        }
    }

    /// Records that the client has cancelled the request or disconnected, so that no answer is required any
    /// more.
    pub fn on_request_abandoned(&self, trace: u64) {
        if let Some(state) = lock(&self.observed).requests.get_mut(&trace) {
            state.abandoned_at.get_or_insert_with(Instant::now);
            state.ended_at.get_or_insert_with(Instant::now);
        }
    }

    /// Records that the client received the final answer, and checks that it is not too late.
    pub fn on_request_answered(&self, trace: u64) {
        let (lateness, request) = {
            let mut observed = lock(&self.observed);
            let Some(state) = observed.requests.get_mut(&trace) else { return };
            state.ended_at = Some(Instant::now());
            let request = &state.request;
            (request.sent_at.elapsed().saturating_sub(request.patience), request.clone())
        };
        if lateness > MAX_ANSWER_LATENESS + self.current_slack() {
            let text =
                format!("request {trace:016x} was answered {lateness:?} after its deadline: {request:?}");
            self.record_breach(Rule::Lost, text);
        }
    }

    /// Records that a request was not answered. That is a breach, unless there is an `excuse`: it is then
    /// counted under that name.
    pub fn on_request_unanswered(&self, trace: u64, excuse: Option<&'static str>, reason: &str) {
        let request = {
            let mut observed = lock(&self.observed);
            let Some(state) = observed.requests.get_mut(&trace) else { return };
            state.abandoned_at.get_or_insert_with(Instant::now);
            state.ended_at = Some(Instant::now());
            state.request.clone()
        };
        match excuse {
            Some(name) => self.increment_count(name),
            None => {
                let elapsed = request.sent_at.elapsed();
                let text = format!(
                    "request {trace:016x} has no answer after {elapsed:?} because {reason}: {request:?}"
                );
                self.record_breach(Rule::Lost, text);
            }
        }
    }

    /// Records that a front has known since `at` that a node is draining. An earlier recorded time is not
    /// replaced.
    pub fn on_drain_known(&self, front: usize, node: usize, at: Instant) {
        lock(&self.observed).draining.entry((front, node)).or_insert(at);
    }

    /// Records that a node no longer counts as draining at a front.
    pub fn on_node_restored(&self, front: usize, node: usize) {
        lock(&self.observed).draining.remove(&(front, node));
    }

    /// Records that a front has promised to send no new attempts to a node after `from`. An earlier recorded
    /// time is not replaced.
    pub fn on_exclusion_promised(&self, front: usize, node: usize, from: Instant) {
        lock(&self.observed).excluded.entry((front, node)).or_insert(from);
    }

    /// Records that the exclusion of a node at a front is about to be revoked.
    pub fn on_exclusion_revoked(&self, front: usize, node: usize) {
        lock(&self.observed).excluded.remove(&(front, node));
    }

    /// Records that an object was purged at `at`, and when the front learned of it (`None`: not certain yet).
    pub fn on_object_purged(&self, front: usize, object: u64, at: Instant, known_at: Option<Instant>) {
        lock(&self.observed).purges.insert((front, object), ObservedPurge { at, known_at });
    }

    /// Records that a front starts as a new process, which knows only what its configuration holds.
    pub fn on_front_started(&self, front: usize) {
        let mut observed = lock(&self.observed);
        observed.draining.retain(|(f, _), _| *f != front);
        observed.purges.retain(|(f, _), _| *f != front);
    }

    /// Records a breach for each request that was never answered, and removes requests that ended long ago.
    /// To be called periodically.
    pub fn check_unanswered_requests(&self) {
        let slack = self.current_slack();
        let mut lost = Vec::new();
        {
            let mut observed = lock(&self.observed);
            for (trace, state) in observed.requests.iter_mut().filter(|(_, state)| state.ended_at.is_none()) {
                let request = &state.request;
                if request.sent_at.elapsed() > request.patience + 2 * MAX_ANSWER_LATENESS + slack {
                    lost.push(format!("request {trace:016x} was never answered: {request:?}"));
                    state.ended_at = Some(Instant::now());
                }
            }
            observed
                .requests
                .retain(|_, state| state.ended_at.is_none_or(|at| at.elapsed() < ENDED_REQUEST_RETENTION));
        }
        lost.into_iter().for_each(|text| self.record_breach(Rule::Lost, text));
    }
}

#[cfg(test)]
mod tests;
