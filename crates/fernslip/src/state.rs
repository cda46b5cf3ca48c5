//! State that a router keeps for each node and each request in flight, and queries on a single node or
//! request.

use crate::api::*;
use crate::bandwidth::{DeliveryRate, Link};
use crate::filter::{CounterChange, Filter, KeyHashes};
use crate::in_flight::InFlight;
use std::collections::{BTreeSet, VecDeque};

/// Time constant with which a node's slowdown decays to 1, in milliseconds.
const SLOWDOWN_DECAY_MS: f64 = 10_000.0;

/// Weight of one answer in the moving average of a node's slowdown. It is large because one of many routers
/// receives few fills from each node.
const SLOWDOWN_SMOOTHING: f64 = 0.4;
/// Weight of an answer that raises a node's low slowdown. An answer that lowers it has the larger weight
/// `SLOWDOWN_SMOOTHING`, so about a fifth of all answers are faster than the low slowdown.
const LOW_SLOWDOWN_RISE_SMOOTHING: f64 = 0.2;

/// Role of a node. The discriminants index arrays that hold one value per role.
#[derive(Clone, Copy, PartialEq, Default)]
pub enum Role {
    /// A cache node of the location, to which requests are sent.
    #[default]
    Edge,
    /// A cache outside the location, from which its nodes are filled.
    Parent,
    /// The origin of the objects.
    Origin,
}

/// One piece of work that was sent to a node.
#[derive(Clone, Copy)]
struct SentWork {
    sent_ms: f64,
    /// Transfer time of the work at the full stream rate, in milliseconds.
    work_ms: f64,
}

/// State of a cache node, parent or origin.
#[derive(Default)]
pub struct Node {
    pub role: Role,
    pub zone: Option<usize>,
    pub cell: i64,
    pub phase: Phase,
    /// Weight from the endpoint list, above 0; 1 if the list gives none.
    pub listed_weight: f64,
    /// Bandwidth of the node's link, as measured from its answers.
    pub link: Link,
    /// Time of the node's last start, in milliseconds; 0 means long ago.
    pub started_ms: f64,
    /// Hash of the node's address, which identifies it in messages and in rendezvous hashing.
    pub tag: u64,
    /// Keys that the node is known to hold.
    pub filter: Filter,
    /// Filter changes that have not been sent to peers yet.
    pub changes: Vec<CounterChange>,
    /// Moving average of the node's failures, from 0 to 1.
    pub failure_rate: f64,
    /// Suspicion from other routers' gossip: below 0 if they find the node healthy, above 0 if failing.
    pub peer_suspicion: f64,
    pub ejected: bool,
    /// Earliest time of the next probe while the node is ejected or silent.
    pub next_probe_ms: f64,
    pub in_flight: InFlight,
    /// Slowdown of the node: moving average, at time `slowdown_updated_ms`, of the duration of its answers
    /// divided by their duration at the full stream rate.
    pub slowdown: f64,
    /// Low quantile of the slowdown of the node's answers: about a fifth of them are faster.
    pub low_slowdown: f64,
    /// Time of the last update of `slowdown` and `low_slowdown`, in milliseconds.
    pub slowdown_updated_ms: f64,
    /// Time after which the node counts as silent unless it answers. The first attempt after an answer sets
    /// this time.
    pub silent_after: Option<f64>,
    /// Time at which anything was last received from the node.
    pub last_seen: f64,
    /// Time of the last failure that was counted.
    pub last_failure: f64,
    sent_work: VecDeque<SentWork>,
}

/// One attempt to serve a request.
pub struct Attempt {
    pub cache: CacheId,
    /// Node from which a miss is filled; equal to `cache` if the attempt has no source.
    pub source: CacheId,
    /// Time at which the attempt was sent.
    pub sent: f64,
    /// Values of [`InFlight::integral_until`] for the target and the source when the attempt was sent.
    pub in_flight_integrals: [f64; 2],
    pub kind: AttemptKind,
    /// Whether the attempt is a fill that exceeded the latency objective while still open.
    pub late: bool,
    /// Whether the outcome of the attempt is still to come.
    pub open: bool,
    /// Whether the attempt was cancelled because its target fell silent.
    pub cancelled: bool,
    pub ending: Option<Ending>,
}

/// A request in flight.
pub struct PendingRequest {
    pub request: Request,
    pub key: KeyHashes,
    /// Time until which the client waits.
    pub deadline: f64,
    /// Transfer time at the full stream rate, in milliseconds.
    pub work_ms: f64,
    /// Latency objective of each attempt, in milliseconds, including the allowance for the request's size.
    pub objective_ms: f64,
    pub attempts: Vec<Attempt>,
    /// Targets and sources that failed this request and are not used for it again.
    pub excluded: BTreeSet<CacheId>,
    /// Whether the request needs no further answer. Outcomes of its attempts may still come.
    pub finished: bool,
}

/// Expected handling of an attempt at its target.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum AttemptKind {
    /// The target's filter contains the key.
    ExpectedHit,
    /// The target lacks the object and is filled from a sibling, a parent or the origin.
    Fill,
    /// The request is a write, which runs at the origin.
    Write,
    /// The target may answer only from a copy that it has, even one past its fresh time, because sources have
    /// no capacity for a fill.
    LookupOnly,
}

/// A planned attempt that has not been sent yet.
pub struct Plan {
    /// Cache node to which the attempt is sent.
    pub target: CacheId,
    /// Node from which a miss is filled; equal to `target` if the attempt has no source.
    pub source: CacheId,
    /// Expected handling of the attempt.
    pub kind: AttemptKind,
}

/// Reason why a request gets no further attempt.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum RejectReason {
    /// The request's time or number of attempts is used up.
    Exhausted,
    /// No cache node is in service to which the request's class allows it to be sent.
    NoTarget,
    /// Every cache node would answer too late.
    CachesCrowded,
    /// No parent or origin is in service.
    NoSource,
    /// The location has as many fills in flight as its fill limit allows.
    FillLimit,
    /// Sources reject fills, so this router throttles its own.
    SourcesReject,
    /// A node reported that the request is over.
    Superseded,
    /// The retry budget is used up.
    RetryBudget,
    /// Two nodes answered the request with an error.
    Errors,
}

impl RejectReason {
    /// Stable name of the reason in log lines and metrics.
    pub fn name(self) -> &'static str {
        match self {
            RejectReason::Exhausted => "no time or attempts left",
            RejectReason::NoTarget => "no cache may be sent it",
            RejectReason::CachesCrowded => "caches are crowded",
            RejectReason::NoSource => "no source is up",
            RejectReason::FillLimit => "no room for fills",
            RejectReason::SourcesReject => "sources turn fills away",
            RejectReason::Superseded => "over already",
            RejectReason::RetryBudget => "too many retries",
            RejectReason::Errors => "errors",
        }
    }
}

/// Mean proven capacity of a role's nodes, in concurrent transfers at the full stream rate; 0 if none has
/// been measured.
pub fn mean_proven_capacity<'a>(all: impl Iterator<Item = &'a Node>, role: usize) -> f64 {
    let measured = all.filter(|c| c.role as usize == role && c.link.proven.capacity > 0.0);
    let (n, sum) = measured.fold((0.0, 0.0), |(n, sum), c| (n + 1.0, sum + c.link.proven.capacity));
    if n > 0.0 {
        sum / n
    } else {
        0.0
    }
}

impl Attempt {
    pub fn new(
        cache: CacheId,
        source: CacheId,
        sent: f64,
        in_flight_integrals: [f64; 2],
        kind: AttemptKind,
    ) -> Attempt {
        let (late, open, cancelled, ending) = (false, true, false, None);
        Attempt { cache, source, sent, in_flight_integrals, kind, late, open, cancelled, ending }
    }
}

impl Attempt {
    /// Whether the attempt is a fill whose outcome is still to come.
    pub fn is_open_fill(&self) -> bool {
        self.open && self.kind == AttemptKind::Fill
    }

    /// Whether the attempt may have run the request: it is open, or its ending does not rule that out.
    pub fn may_have_run(&self) -> bool {
        !self.ending.is_some_and(Ending::never_ran)
    }
}

impl Node {
    pub fn new(tag: u64, started_ms: f64, phase: Phase, counters: usize, hashes: usize) -> Node {
        let filter = Filter::new(counters, hashes);
        Node { started_ms, tag, phase, slowdown: 1.0, low_slowdown: 1.0, filter, ..Node::default() }
    }

    /// Records `work_ms` of transfer time sent to the node at time `now`, and drops entries older than
    /// `window_ms`.
    pub fn record_sent_work(&mut self, now: f64, work_ms: f64, window_ms: f64) {
        self.sent_work.push_back(SentWork { sent_ms: now, work_ms });
        while self.sent_work.front().is_some_and(|s| s.sent_ms < now - window_ms) {
            self.sent_work.pop_front();
        }
    }

    /// Total transfer time of the work sent to the node within the last `window_ms`, in milliseconds.
    pub fn work_sent_within(&self, now: f64, window_ms: f64) -> f64 {
        self.sent_work.iter().filter(|s| s.sent_ms >= now - window_ms).map(|s| s.work_ms).sum()
    }

    /// Discards the learned state after a restart of the node, because it described the previous process.
    pub fn reset(&mut self, started_ms: f64) {
        self.started_ms = self.started_ms.max(started_ms);
        self.filter.clear();
        self.changes.clear();
        self.failure_rate = 0.0;
        self.peer_suspicion = 0.0;
        self.ejected = false;
        self.silent_after = None;
        self.slowdown = 1.0;
        self.low_slowdown = 1.0;
        self.link.delivery = DeliveryRate::default();
    }

    /// Slowdown of the node at time `now`, decayed towards 1, the value at the full stream rate.
    pub fn slowdown_at(&self, now: f64) -> f64 {
        1.0 + (self.slowdown - 1.0) * (-(now - self.slowdown_updated_ms) / SLOWDOWN_DECAY_MS).exp()
    }

    /// Low quantile of the slowdown of the node's answers (about a fifth of them are faster) at time `now`,
    /// decayed towards 1. For a parent it shows the parent's own speed, without waits for the origin behind
    /// it.
    pub fn low_slowdown_at(&self, now: f64) -> f64 {
        1.0 + (self.low_slowdown - 1.0) * (-(now - self.slowdown_updated_ms) / SLOWDOWN_DECAY_MS).exp()
    }

    /// Records an answer, finished or still open, whose duration is `slowdown` times its duration at the full
    /// stream rate.
    pub fn record_slowdown(&mut self, now: f64, slowdown: f64) {
        let (mean, low) = (self.slowdown_at(now), self.low_slowdown_at(now));
        self.slowdown = mean + SLOWDOWN_SMOOTHING * (slowdown - mean);
        self.low_slowdown = low
            + (slowdown - low)
                * if slowdown < low { SLOWDOWN_SMOOTHING } else { LOW_SLOWDOWN_RISE_SMOOTHING };
        self.slowdown_updated_ms = now;
    }

    /// Whether the node has sent nothing although an answer is due.
    pub fn is_silent(&self, now: f64) -> bool {
        self.silent_after.is_some_and(|deadline| now > deadline)
    }
}

impl PendingRequest {
    pub fn new(
        request: Request,
        key: KeyHashes,
        deadline: f64,
        work_ms: f64,
        objective_ms: f64,
    ) -> PendingRequest {
        let (attempts, excluded) = (Vec::new(), BTreeSet::new());
        PendingRequest { request, key, deadline, work_ms, objective_ms, attempts, excluded, finished: false }
    }

    pub fn has_open_attempt(&self) -> bool {
        self.attempts.iter().any(|a| a.open)
    }
}
