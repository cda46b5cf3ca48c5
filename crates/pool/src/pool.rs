//! One pool as a state machine that takes events and the time and returns actions.
//!
//! The module `members` handles health, capacity and published endpoints; `requests` handles admission, the
//! queue and the retry budget.

mod members;
mod requests;

use crate::health::Health;
use crate::message::{Action, Endpoint, Event, ListedState, PoolCounts};
use crate::queue::Queue;
use crate::spec::PoolSpec;
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

/// The state of one member of the pool.
#[derive(Clone, Debug)]
struct MemberState {
    health: Health,
    /// The member's state in the last report of the endpoint list.
    listed_state: ListedState,
    /// When the member last started, in milliseconds on the caller's clock; 0 means long ago.
    started_ms: f64,
    /// The number of attempts sent to the member that have not ended.
    in_flight: u64,
    /// Whether the member reached its in-flight limit and has not freed enough of it since (hysteresis).
    at_capacity: bool,
    /// The member's endpoint as last published; `None` before the first publication.
    published: Option<Endpoint>,
}

/// A request that was admitted and has not finished.
#[derive(Clone, Debug, Default)]
struct AdmittedRequest {
    /// The number of attempts sent so far.
    attempts: u64,
}

/// The numbers of admitted and of queued requests in a pool at one time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Occupancy {
    /// Requests admitted and not finished.
    pub in_flight: usize,
    /// Requests that wait in the queue.
    pub queued: usize,
}

/// The state of one pool.
#[derive(Clone, Debug)]
pub struct Pool {
    spec: PoolSpec,
    /// Differs from front to front, so that the fronts probe one member at different times.
    seed: u64,
    /// The assumed state of a member that the endpoint list has not reported yet.
    default_listed_state: ListedState,
    /// The time of the latest event, in milliseconds on the caller's clock.
    now_ms: f64,
    by_id: HashMap<Arc<str>, usize>,
    /// Member states in the order of `spec.members`; `by_id` maps ids to the index.
    members: Vec<MemberState>,
    /// The number of attempts in flight at members that were removed from the pool, by id; an entry that
    /// reaches 0 is removed.
    departed_in_flight: HashMap<Arc<str>, u64>,
    admitted: HashMap<u64, AdmittedRequest>,
    queue: Queue,
    /// The number of retries that the retry budget allows now; fractions accumulate.
    retry_tokens: f64,
    /// The half-open probes that are not due yet, as (due time in microseconds, member index).
    probes_due: BTreeSet<(u64, usize)>,
    /// The number of members published as serving.
    serving_count: usize,
    /// The number of further requests that the serving members have capacity for; `None` if one of them has
    /// no limit.
    serving_capacity: Option<u64>,
    /// The number of admitted requests whose first attempt has not been sent; each will take capacity.
    admitted_unsent: u64,
    counts: PoolCounts,
    /// Whether the pool has handled an event; members added after its first event join a pool in service.
    in_service: bool,
    /// Whether the endpoints may differ from the published ones.
    endpoints_changed: bool,
}

/// Converts milliseconds to whole microseconds, which can be ordered.
fn to_micros(ms: f64) -> u64 {
    (ms.max(0.0) * 1000.0) as u64
}

impl Pool {
    /// Creates a pool whose members are assumed to run until the endpoint list reports otherwise. `seed`
    /// differs from front to front, so that they probe one member at different times. The first event
    /// publishes all members.
    pub fn new(spec: PoolSpec, seed: u64) -> Pool {
        Pool::with_default_listed_state(spec, seed, ListedState::Up)
    }

    /// Creates a pool whose members are out of service until [`Event::EndpointReported`] reports them.
    pub fn awaiting_endpoint_list(spec: PoolSpec, seed: u64) -> Pool {
        Pool::with_default_listed_state(spec, seed, ListedState::Removed)
    }

    fn with_default_listed_state(spec: PoolSpec, seed: u64, default_listed_state: ListedState) -> Pool {
        let retry_tokens = spec.retry_burst;
        let mut pool = Pool {
            spec: PoolSpec { members: Vec::new(), ..spec.clone() },
            seed,
            default_listed_state,
            now_ms: 0.0,
            by_id: HashMap::new(),
            members: Vec::new(),
            departed_in_flight: HashMap::new(),
            admitted: HashMap::new(),
            queue: Queue::default(),
            retry_tokens,
            probes_due: BTreeSet::new(),
            serving_count: 0,
            serving_capacity: None,
            admitted_unsent: 0,
            counts: PoolCounts::default(),
            in_service: false,
            endpoints_changed: true,
        };
        pool.apply_spec(spec, &mut Vec::new());
        pool
    }

    /// The pool's current specification.
    pub fn spec(&self) -> &PoolSpec {
        &self.spec
    }

    /// The pool's counters since it was created.
    pub fn counts(&self) -> PoolCounts {
        self.counts
    }

    /// The number of requests in the pool now.
    pub fn occupancy(&self) -> Occupancy {
        Occupancy { in_flight: self.admitted.len(), queued: self.queue.len() }
    }

    /// When the next [`Event::Tick`] is due, in milliseconds on the caller's clock; `None` if none is needed.
    pub fn next_tick_ms(&self) -> Option<f64> {
        let probe = self.probes_due.first().map(|(due_us, _)| *due_us as f64 / 1000.0 + 0.001);
        [probe, self.queue.next_deadline_ms()].into_iter().flatten().reduce(f64::min)
    }

    /// Handles one event at the time `now_ms` (milliseconds) and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now_ms: f64, event: Event, actions: &mut Vec<Action>) {
        if now_ms.is_finite() {
            self.now_ms = self.now_ms.max(now_ms);
        }
        self.in_service = true;
        self.half_open_due_members();
        match event {
            Event::Reconfigured(spec) => self.apply_spec(spec, actions),
            Event::EndpointReported { id, state, started_ms } => {
                self.on_endpoint_reported(&id, state, started_ms);
            }
            Event::Arrived { request, wait_until_ms } => {
                self.publish_endpoints(actions);
                self.on_arrived(request, wait_until_ms, actions);
            }
            Event::Finished { request } => self.on_finished(request),
            Event::AttemptSent { request, id } => self.on_attempt_sent(request, &id),
            Event::AttemptEnded { request, id, outcome } => self.on_attempt_ended(request, &id, outcome),
            Event::RetryRequested { request } => self.on_retry_requested(request, actions),
            Event::Tick => {}
        }
        self.publish_endpoints(actions);
        self.admit_queued(actions);
    }
}
