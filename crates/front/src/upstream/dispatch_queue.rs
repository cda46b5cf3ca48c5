//! One pool's way through the front: the pool, the decision module behind it, and the endpoint list that the pool passes
//! on to the module. A front without a site document has a single queue without a pool.

use crate::clock::Clock;
use crate::dispatch_host::DispatchHost;
use crate::plan::AnswerTimeouts;
use crate::sleep;
use crate::sync::lock;
use crate::upstream::caller::Caller;
use arc_swap::ArcSwap;
use fernslip::facade::{Attempt, Dispatcher};
use fernslip::{Ending, ListKind};
use fernslip_pool::{Action, AttemptOutcome, Endpoint, Event, Phase, Pool, Spec};
use may::sync::Blocker;
use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A queued request looks again after so long, should a wake be lost.
const QUEUE_POLL: Duration = Duration::from_millis(500);

/// What the pool decided on a queued request.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Verdict {
    Admitted,
    Rejected,
}

/// Where a request waits for a permit.
struct QueuedRequest {
    blocker: Arc<Blocker>,
    verdict: Mutex<Option<Verdict>>,
}

/// A pool and what the decision module was notified of it.
struct PoolState {
    pool: Pool,
    /// What was published last, by id.
    endpoints: BTreeMap<Arc<str>, Endpoint>,
    /// The mean of the pool's weights: weights are relative, the module's are links.
    mean_weight: f64,
    /// Requests without a verdict, by number.
    queued: HashMap<u64, Arc<QueuedRequest>>,
}

/// One pool's way through the front.
pub struct DispatchQueue {
    /// The pool's name; empty: there are no pools.
    pub name: String,
    /// The decisions.
    pub dispatcher: Dispatcher<DispatchHost>,
    /// `None`: there are no pools. The lock is held until the module has the pool's endpoints, so that two changes reach it
    /// in their order; never across a yield.
    state: Option<Mutex<PoolState>>,
    answer_timeouts: ArcSwap<AnswerTimeouts>,
}

impl DispatchQueue {
    /// The queue of the pool that `make_pool` makes of this specification.
    pub(super) fn with_pool(
        spec: Spec,
        make_pool: impl FnOnce(Spec) -> Pool,
        answer_timeouts: AnswerTimeouts,
        dispatcher: Dispatcher<DispatchHost>,
    ) -> DispatchQueue {
        let name = spec.name.clone();
        let mean_weight = mean_weight(&spec);
        let (endpoints, queued) = (BTreeMap::new(), HashMap::new());
        let state = PoolState { pool: make_pool(spec), endpoints, mean_weight, queued };
        DispatchQueue {
            name,
            dispatcher,
            state: Some(Mutex::new(state)),
            answer_timeouts: ArcSwap::from_pointee(answer_timeouts),
        }
    }

    /// The only queue of a front without pools.
    pub(super) fn without_pool(dispatcher: Dispatcher<DispatchHost>) -> DispatchQueue {
        DispatchQueue { name: String::new(), dispatcher, state: None, answer_timeouts: ArcSwap::default() }
    }

    /// Whether a pool stands before the decisions.
    pub fn has_pool(&self) -> bool {
        self.state.is_some()
    }

    /// Feeds the pool, if there is one, and carries out its actions; those that are the caller's to see are returned. Does
    /// not yield.
    pub(super) fn feed(&self, clock: &Clock, event: Event) -> Vec<Action> {
        let Some(state) = &self.state else { return Vec::new() };
        let mut state = lock(state);
        let state = &mut *state;
        let mut actions = Vec::new();
        state.pool.handle(clock.now(), event, &mut actions);
        actions.retain(|action| match action {
            Action::Endpoints(changed) => {
                self.publish(clock, state, changed);
                false
            }
            Action::Admit { request } => {
                state.decide(*request, Verdict::Admitted);
                false
            }
            Action::Reject { request, .. } => {
                state.decide(*request, Verdict::Rejected);
                false
            }
            Action::Retry { .. } | Action::RetryDenied { .. } => true,
        });
        actions
    }

    /// Passes changed endpoints on to the decision module.
    fn publish(&self, clock: &Clock, state: &mut PoolState, changed: &[Endpoint]) {
        let entries = changed.iter().map(|e| self.dispatcher.host().entry(e, state.mean_weight)).collect();
        self.dispatcher.update_endpoints(clock.now(), ListKind::Delta, entries);
        for endpoint in changed {
            state.endpoints.insert(endpoint.id.clone(), endpoint.clone());
        }
        state.endpoints.retain(|_, e| e.phase != Phase::OutOfService);
    }

    /// Applies a changed specification of the pool.
    pub(super) fn reconfigure(&self, clock: &Clock, spec: Spec, answer_timeouts: AnswerTimeouts) {
        self.answer_timeouts.store(Arc::new(answer_timeouts));
        let Some(state) = &self.state else { return };
        let mean_weight = mean_weight(&spec);
        let mean_changed = {
            let mut state = lock(state);
            let changed = state.mean_weight != mean_weight;
            state.mean_weight = mean_weight;
            changed
        };
        self.feed(clock, Event::Reconfigured(spec));
        if mean_changed {
            // All links are others now, also those of members that did not change.
            let mut state = lock(state);
            let all: Vec<Endpoint> = state.endpoints.values().cloned().collect();
            self.publish(clock, &mut state, &all);
        }
    }

    /// Takes a permit of the pool, waiting for one if the pool queues the request, until `wait_until_ms` of the module's
    /// clock; `None`: it is rejected, or its caller has disconnected. Yields.
    pub fn acquire(
        self: &Arc<DispatchQueue>,
        clock: &Clock,
        wait_until_ms: f64,
        caller: &Caller,
    ) -> Option<Permit> {
        static NUMBERS: AtomicU64 = AtomicU64::new(0);
        let number = NUMBERS.fetch_add(1, Ordering::Relaxed);
        let permit = Permit { queue: self.clone(), number, clock: *clock };
        let Some(state) = &self.state else { return Some(permit) };
        let request = Arc::new(QueuedRequest { blocker: Blocker::current(), verdict: Mutex::default() });
        lock(state).queued.insert(number, request.clone());
        caller.set_queued_on(request.blocker.clone());
        self.feed(clock, Event::Arrived { request: number, wait_until_ms });
        loop {
            // Its position in the queue is free with that: others would wait behind a request that nobody waits for.
            if caller.is_disconnected() {
                lock(state).queued.remove(&number);
                return None;
            }
            let verdict = *lock(&request.verdict);
            if let Some(verdict) = verdict {
                return (verdict == Verdict::Admitted).then_some(permit);
            }
            sleep::park(&request.blocker, QUEUE_POLL);
        }
    }

    /// Requests that wait for a permit.
    pub fn queued_requests(&self) -> usize {
        self.state.as_ref().map_or(0, |state| lock(state).queued.len())
    }

    /// Runs the timers that are due, of the pool and of the decisions; when the next is, if any, on the module's clock.
    pub fn tick(&self, clock: &Clock) -> Option<f64> {
        let pool_wake_ms = self.state.as_ref().and_then(|state| {
            let due = lock(state).pool.wake_at();
            if due.is_some_and(|at| at <= clock.now()) {
                self.feed(clock, Event::Tick);
            }
            lock(state).pool.wake_at()
        });
        [self.dispatcher.tick(clock.now()), pool_wake_ms].into_iter().flatten().reduce(f64::min)
    }
}

impl PoolState {
    /// Gives a queued request its verdict and wakes it.
    fn decide(&mut self, number: u64, verdict: Verdict) {
        if let Some(request) = self.queued.remove(&number) {
            *lock(&request.verdict) = Some(verdict);
            request.blocker.unpark();
        }
    }
}

/// The mean weight of a pool's members; 0: it has none.
fn mean_weight(spec: &Spec) -> f64 {
    let n = spec.members.len().max(1) as f64;
    spec.members.iter().map(|m| m.weight).sum::<f64>() / n
}

/// A request's permit of its pool, which is given back when this is dropped. Its methods do not yield.
pub struct Permit {
    queue: Arc<DispatchQueue>,
    /// The request's number in the pool.
    number: u64,
    clock: Clock,
}

impl Permit {
    /// An attempt goes out.
    pub fn attempt_sent(&self, attempt: &Attempt) {
        let id = attempt.cache.0.clone();
        self.queue.feed(&self.clock, Event::AttemptSent { request: self.number, id });
    }

    /// It ended.
    pub fn attempt_ended(&self, attempt: &Attempt, ending: Ending) {
        let (id, outcome) = (attempt.cache.0.clone(), outcome(ending));
        self.queue.feed(&self.clock, Event::AttemptEnded { request: self.number, id, outcome });
    }

    /// When an attempt that begins now ends at the latest: by `deadline` and by the pool's and the member's own limits.
    pub fn deadline(&self, attempt: &Attempt, now: Instant, deadline: Instant) -> Instant {
        let timeout_ms = self.queue.answer_timeouts.load().of_member_ms(&attempt.cache.0);
        timeout_ms.map_or(deadline, |ms| deadline.min(now + Duration::from_millis(ms)))
    }

    /// Whether the pool's retry budget has a retry for this request; if so, it is taken.
    pub fn try_retry(&self) -> bool {
        let actions = self.queue.feed(&self.clock, Event::RetryRequested { request: self.number });
        !self.queue.has_pool() || actions.iter().any(|a| matches!(a, Action::Retry { .. }))
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.queue.feed(&self.clock, Event::Finished { request: self.number });
    }
}

/// An attempt's end as the pool sees it. A node that is overloaded, slow or in error is the decision module's to judge,
/// which compares it with others; a pool acts on connections alone.
fn outcome(ending: Ending) -> AttemptOutcome {
    match ending {
        Ending::Completed | Ending::LookupMiss => AttemptOutcome::Success,
        Ending::ConnectionRefused => AttemptOutcome::ConnectionRefused,
        Ending::ConnectionLost => AttemptOutcome::Failure,
        _ => AttemptOutcome::Inconclusive,
    }
}
