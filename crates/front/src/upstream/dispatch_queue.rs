//! The dispatch queue of one pool: the pool, the decision module behind it, and the endpoint list that the
//! pool passes on to the module. A front without a site document has a single queue without a pool.

use crate::clock::Clock;
use crate::dispatch_host::DispatchHost;
use crate::plan::AnswerTimeouts;
use crate::sleep;
use crate::sync::lock;
use crate::upstream::caller::Caller;
use arc_swap::ArcSwap;
use fernslip::facade::{Attempt, Dispatcher};
use fernslip::{Ending, ListKind};
use fernslip_pool::{Action, AttemptOutcome, Endpoint, Event, Phase, Pool, PoolSpec};
use may::sync::Blocker;
use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How often a queued request checks for a verdict, in case a wake-up was lost.
const QUEUE_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// The pool's decision on a queued request.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Verdict {
    Admitted,
    Rejected,
}

/// A request that waits for a permit.
struct QueuedRequest {
    blocker: Arc<Blocker>,
    verdict: Mutex<Option<Verdict>>,
}

/// A pool, and what its queue has published to the decision module.
struct PoolState {
    pool: Pool,
    /// Endpoints as they were published last, by id.
    endpoints: BTreeMap<Arc<str>, Endpoint>,
    /// Mean weight of the pool's members: pool weights are relative, the decision module's weights are link
    /// bandwidths.
    mean_weight: f64,
    /// Requests without a verdict, by request number.
    queued: HashMap<u64, Arc<QueuedRequest>>,
}

/// The dispatch queue of one pool.
pub struct DispatchQueue {
    /// The pool's name; empty if the front has no pools.
    pub name: String,
    /// Decides where the queue's requests are sent.
    pub dispatcher: Dispatcher<DispatchHost>,
    /// State of the pool; `None` if the front has no pools. The lock is held until the decision module has
    /// the pool's endpoints, so that two changes reach it in their order; it is never held across a yield.
    state: Option<Mutex<PoolState>>,
    answer_timeouts: ArcSwap<AnswerTimeouts>,
}

impl DispatchQueue {
    /// Creates the queue of the pool that `make_pool` creates from this specification.
    pub(super) fn with_pool(
        spec: PoolSpec,
        make_pool: impl FnOnce(PoolSpec) -> Pool,
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

    /// Creates the only queue of a front without pools.
    pub(super) fn without_pool(dispatcher: Dispatcher<DispatchHost>) -> DispatchQueue {
        DispatchQueue { name: String::new(), dispatcher, state: None, answer_timeouts: ArcSwap::default() }
    }

    /// Whether the queue has a pool.
    pub fn has_pool(&self) -> bool {
        self.state.is_some()
    }

    /// Passes an event to the pool, if there is one, and carries out the pool's actions. Returns those that
    /// answer a retry request, which the caller has to handle. Does not yield.
    pub(super) fn handle_event(&self, clock: &Clock, event: Event) -> Vec<Action> {
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
                state.set_verdict(*request, Verdict::Admitted);
                false
            }
            Action::Reject { request, .. } => {
                state.set_verdict(*request, Verdict::Rejected);
                false
            }
            Action::Retry { .. } | Action::RetryDenied { .. } => true,
        });
        actions
    }

    /// Passes changed endpoints on to the decision module.
    fn publish(&self, clock: &Clock, state: &mut PoolState, changed: &[Endpoint]) {
        let entries = changed
            .iter()
            .map(|e| self.dispatcher.host().endpoint_list_entry(e, state.mean_weight))
            .collect();
        self.dispatcher.update_endpoints(clock.now(), ListKind::Delta, entries);
        for endpoint in changed {
            state.endpoints.insert(endpoint.id.clone(), endpoint.clone());
        }
        state.endpoints.retain(|_, e| e.phase != Phase::OutOfService);
    }

    /// Applies a changed specification of the pool and its answer timeouts.
    pub(super) fn reconfigure(&self, clock: &Clock, spec: PoolSpec, answer_timeouts: AnswerTimeouts) {
        self.answer_timeouts.store(Arc::new(answer_timeouts));
        let Some(state) = &self.state else { return };
        let mean_weight = mean_weight(&spec);
        let mean_changed = {
            let mut state = lock(state);
            let changed = state.mean_weight != mean_weight;
            state.mean_weight = mean_weight;
            changed
        };
        self.handle_event(clock, Event::Reconfigured(spec));
        if mean_changed {
            // All published weights depend on the mean weight, including those of members that did not
            // change.
            let mut state = lock(state);
            let all: Vec<Endpoint> = state.endpoints.values().cloned().collect();
            self.publish(clock, &mut state, &all);
        }
    }

    /// Takes a permit from the pool. If the pool queues the request, waits for the permit until
    /// the clock time `wait_until_ms`. Returns `None` if the request is rejected or its client has
    /// disconnected. Yields.
    pub fn acquire(
        self: &Arc<DispatchQueue>,
        clock: &Clock,
        wait_until_ms: f64,
        caller: &Caller,
    ) -> Option<Permit> {
        static NEXT_REQUEST_NUMBER: AtomicU64 = AtomicU64::new(0);
        let number = NEXT_REQUEST_NUMBER.fetch_add(1, Ordering::Relaxed);
        let permit = Permit { queue: self.clone(), number, clock: *clock };
        let Some(state) = &self.state else { return Some(permit) };
        let request = Arc::new(QueuedRequest { blocker: Blocker::current(), verdict: Mutex::default() });
        lock(state).queued.insert(number, request.clone());
        caller.set_queue_blocker(request.blocker.clone());
        self.handle_event(clock, Event::Arrived { request: number, wait_until_ms });
        loop {
            // Dropping the permit frees the position in the queue: otherwise others would wait behind a
            // request that no client waits for.
            if caller.is_disconnected() {
                lock(state).queued.remove(&number);
                return None;
            }
            let verdict = *lock(&request.verdict);
            if let Some(verdict) = verdict {
                return (verdict == Verdict::Admitted).then_some(permit);
            }
            sleep::park_step(&request.blocker, QUEUE_POLL_INTERVAL);
        }
    }

    /// Number of requests that wait for a permit.
    pub fn queued_requests(&self) -> usize {
        self.state.as_ref().map_or(0, |state| lock(state).queued.len())
    }

    /// Runs the due timers of the pool and of the decision module. Returns when the next timer is due, as
    /// clock time in milliseconds; `None` if there is none.
    pub fn tick(&self, clock: &Clock) -> Option<f64> {
        let pool_wake_ms = self.state.as_ref().and_then(|state| {
            let due = lock(state).pool.next_tick_ms();
            if due.is_some_and(|at| at <= clock.now()) {
                self.handle_event(clock, Event::Tick);
            }
            lock(state).pool.next_tick_ms()
        });
        [self.dispatcher.tick(clock.now()), pool_wake_ms].into_iter().flatten().reduce(f64::min)
    }
}

impl PoolState {
    /// Stores the verdict on a queued request and wakes the request.
    fn set_verdict(&mut self, number: u64, verdict: Verdict) {
        if let Some(request) = self.queued.remove(&number) {
            *lock(&request.verdict) = Some(verdict);
            request.blocker.unpark();
        }
    }
}

/// Mean weight of a pool's members; 0 if it has none.
fn mean_weight(spec: &PoolSpec) -> f64 {
    let n = spec.members.len().max(1) as f64;
    spec.members.iter().map(|m| m.weight).sum::<f64>() / n
}

/// A request's permit from its pool, which is returned when this is dropped. No method yields.
pub struct Permit {
    queue: Arc<DispatchQueue>,
    /// The request's number in the pool.
    number: u64,
    clock: Clock,
}

impl Permit {
    /// Notifies the pool that an attempt is about to be sent.
    pub fn attempt_sent(&self, attempt: &Attempt) {
        let id = attempt.cache.0.clone();
        self.queue.handle_event(&self.clock, Event::AttemptSent { request: self.number, id });
    }

    /// Notifies the pool that an attempt has ended.
    pub fn attempt_ended(&self, attempt: &Attempt, ending: Ending) {
        let (id, outcome) = (attempt.cache.0.clone(), pool_outcome(ending));
        self.queue.handle_event(&self.clock, Event::AttemptEnded { request: self.number, id, outcome });
    }

    /// When an attempt that starts at `now` times out: at `deadline`, or earlier if the pool or the member
    /// has an answer timeout.
    pub fn attempt_deadline(&self, attempt: &Attempt, now: Instant, deadline: Instant) -> Instant {
        let timeout_ms = self.queue.answer_timeouts.load().member_timeout_ms(&attempt.cache.0);
        timeout_ms.map_or(deadline, |ms| deadline.min(now + Duration::from_millis(ms)))
    }

    /// Takes a retry from the pool's retry budget; returns whether the budget had one left. Always true
    /// without a pool.
    pub fn try_retry(&self) -> bool {
        let actions = self.queue.handle_event(&self.clock, Event::RetryRequested { request: self.number });
        !self.queue.has_pool() || actions.iter().any(|a| matches!(a, Action::Retry { .. }))
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.queue.handle_event(&self.clock, Event::Finished { request: self.number });
    }
}

/// Converts an attempt's ending into the pool's terms. A pool acts on refused and lost connections alone;
/// whether a node is overloaded, slow or returns errors is judged by the decision module, which compares it
/// with other nodes.
fn pool_outcome(ending: Ending) -> AttemptOutcome {
    match ending {
        Ending::Completed | Ending::LookupMiss => AttemptOutcome::Success,
        Ending::ConnectionRefused => AttemptOutcome::ConnectionRefused,
        Ending::ConnectionLost => AttemptOutcome::Failure,
        _ => AttemptOutcome::Inconclusive,
    }
}
