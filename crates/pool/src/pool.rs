//! One pool as a state machine: events and the time in, actions out.
//!
//! Its members (health, capacity, the endpoints published of them) are in `members`, its requests (admission, the
//! queue, the retry budget) in `requests`.

mod members;
mod requests;

use crate::health::Health;
use crate::message::{Action, Counts, Endpoint, Event, Notified};
use crate::queue::Queue;
use crate::spec::Spec;
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

/// One member's state.
#[derive(Clone, Debug)]
struct MemberState {
    health: Health,
    /// What the endpoint list last said of it.
    notified: Notified,
    /// When it last started, in milliseconds on the caller's clock; 0: long ago.
    started_ms: f64,
    /// Attempts sent to it that have not ended.
    in_flight: u64,
    /// At its limit, and not free enough since.
    at_capacity: bool,
    /// What was last published of it.
    published: Option<Endpoint>,
}

/// A request between its admission and its end.
#[derive(Clone, Debug, Default)]
struct AdmittedRequest {
    /// Attempts sent so far.
    attempts: u64,
}

/// How many requests a pool has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Occupancy {
    /// Admitted, and not finished.
    pub in_flight: usize,
    /// Waiting in the queue.
    pub queued: usize,
}

/// One pool's state.
#[derive(Clone, Debug)]
pub struct Pool {
    spec: Spec,
    /// Differs from front to front: spreads the probes of one member.
    seed: u64,
    /// What holds of a member that no notification was received for.
    default_notified: Notified,
    /// The latest time of an event, in milliseconds on the caller's clock.
    now_ms: f64,
    by_id: HashMap<Arc<str>, usize>,
    /// In the order of `spec.members`, whose ids `by_id` maps to their index.
    members: Vec<MemberState>,
    /// Members removed from the pool that still have attempts in flight, with the number of these.
    departed_in_flight: HashMap<Arc<str>, u64>,
    admitted: HashMap<u64, AdmittedRequest>,
    queue: Queue,
    /// Retries that the retry budget has saved up.
    retry_tokens: f64,
    /// Half-open probes to come: (due time in microseconds, member index).
    probes_due: BTreeSet<(u64, usize)>,
    /// Members published as serving.
    serving_count: usize,
    /// Requests that the serving members have capacity for; `None`: one of them has no limit.
    serving_capacity: Option<u64>,
    /// Admitted requests whose first attempt has not been sent: each will take capacity.
    admitted_unsent: u64,
    counts: Counts,
    /// An event was handled: members that come from now on join a pool in service.
    started: bool,
    /// The endpoints may differ from what was published.
    endpoints_changed: bool,
}

/// Milliseconds as whole microseconds, which are ordered.
fn micros(ms: f64) -> u64 {
    (ms.max(0.0) * 1000.0) as u64
}

impl Pool {
    /// A pool whose members all run, as far as is known. `seed` differs from front to front and spreads their
    /// half-open probes. The first event publishes all members.
    pub fn new(spec: Spec, seed: u64) -> Pool {
        Pool::with(spec, seed, Notified::Up)
    }

    /// A pool whose members are out of service until [`Event::Notified`] reports them.
    pub fn awaiting_endpoint_list(spec: Spec, seed: u64) -> Pool {
        Pool::with(spec, seed, Notified::Removed)
    }

    fn with(spec: Spec, seed: u64, default_notified: Notified) -> Pool {
        let retry_tokens = spec.retry_burst;
        let mut pool = Pool {
            spec: Spec { members: Vec::new(), ..spec.clone() },
            seed,
            default_notified,
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
            counts: Counts::default(),
            started: false,
            endpoints_changed: true,
        };
        pool.apply_spec(spec, &mut Vec::new());
        pool
    }

    /// Its specification.
    pub fn spec(&self) -> &Spec {
        &self.spec
    }

    /// What it has done so far.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// How many requests it has now.
    pub fn occupancy(&self) -> Occupancy {
        Occupancy { in_flight: self.admitted.len(), queued: self.queue.len() }
    }

    /// When the next [`Event::Tick`] is due, in milliseconds on the caller's clock.
    pub fn wake_at(&self) -> Option<f64> {
        let probe = self.probes_due.first().map(|(due_us, _)| *due_us as f64 / 1000.0 + 0.001);
        [probe, self.queue.next_deadline_ms()].into_iter().flatten().reduce(f64::min)
    }

    /// Takes one event at the time `now_ms` and adds what is to be done to `actions`.
    pub fn handle(&mut self, now_ms: f64, event: Event, actions: &mut Vec<Action>) {
        if now_ms.is_finite() {
            self.now_ms = self.now_ms.max(now_ms);
        }
        self.started = true;
        self.start_due_probes();
        match event {
            Event::Reconfigured(spec) => self.apply_spec(spec, actions),
            Event::Notified { id, state, started_ms } => self.on_notified(&id, state, started_ms),
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
