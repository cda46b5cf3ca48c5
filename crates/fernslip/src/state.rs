//! What a router knows of each node and of each request in flight: data, and the questions one of them answers alone.

use crate::api::*;
use crate::bandwidth::{DeliveryRate, Link};
use crate::filter::{Change, Filter, Hashes};
use crate::in_flight::InFlight;
use std::collections::{BTreeSet, VecDeque};

/// Time constant with which a node's pace is forgotten, in milliseconds.
const PACE_FADES_MS: f64 = 10_000.0;

/// Weight of one answer in a pace: large, as one of many routers sees few fills of each.
const PACE_STEP: f64 = 0.4;
/// The same of a slow answer in the pace of the quicker ones: about a fifth of all are quicker than that.
const PACE_RISE: f64 = 0.2;

/// What a node does. The numbers index figures kept by role.
#[derive(Clone, Copy, PartialEq, Default)]
pub enum Role {
    /// A cache node of the location: requests are sent to it.
    #[default]
    Edge,
    /// A cache that the location's fills come from.
    Parent,
    /// The origin.
    Origin,
}

/// Work that a node was sent.
#[derive(Clone, Copy)]
struct SentWork {
    sent_ms: f64,
    /// Its sending time, in milliseconds.
    work_ms: f64,
}

/// What is known of a cache node, parent or origin.
#[derive(Default)]
pub struct Node {
    pub role: Role,
    pub zone: Option<usize>,
    pub cell: i64,
    pub phase: Phase,
    /// Its weight as listed; above 0, 1 where none is known.
    pub listed_weight: f64,
    /// What its link carries, as answers showed.
    pub link: Link,
    /// When it last started; 0: long ago.
    pub started_ms: f64,
    /// Hash of its name.
    pub tag: u64,
    /// The keys that it is known to have.
    pub filter: Filter,
    /// Changes of the filter that peers have not been sent.
    pub changes: Vec<Change>,
    /// Moving share of failures, from 0 to 1.
    pub failure_rate: f64,
    /// Gossip of other routers: below 0 well, above 0 failing.
    pub peer_suspicion: f64,
    pub ejected: bool,
    /// When it may be probed while it is ejected or silent.
    pub next_probe_ms: f64,
    pub in_flight: InFlight,
    /// How many times their time at full pace its answers take, a moving average as of `pace_updated`.
    pub pace: f64,
    /// The pace of its quicker answers.
    pub quick_pace: f64,
    pub pace_updated: f64,
    /// When it counts as silent if nothing is received before; set by the first attempt after the last sign of life.
    pub silent_after: Option<f64>,
    /// When something was last received from it.
    pub last_seen: f64,
    /// When a failure was last counted.
    pub last_failure: f64,
    sent_work: VecDeque<SentWork>,
}

/// An attempt of a request.
pub struct Attempt {
    pub cache: CacheId,
    /// Where a miss is filled from; the cache itself: nowhere.
    pub source: CacheId,
    /// When it was sent.
    pub sent: f64,
    /// [`InFlight::total_over_time`] when it was sent, at the target and at the source.
    pub in_flight_totals: [f64; 2],
    pub kind: AttemptKind,
    /// A fill that took longer than was wanted, while it was still open.
    pub late: bool,
    /// Its outcome is still to come.
    pub open: bool,
    /// It was cancelled because its target fell silent.
    pub cancelled: bool,
    pub ending: Option<Ending>,
}

/// A request in flight.
pub struct PendingRequest {
    pub request: Request,
    pub key: Hashes,
    /// When its client waits no longer.
    pub deadline: f64,
    /// Its sending time at full pace.
    pub work_ms: f64,
    /// Latency objective of an attempt, with the stretch for its size.
    pub objective_ms: f64,
    pub attempts: Vec<Attempt>,
    /// Targets and sources that failed this request.
    pub excluded: BTreeSet<CacheId>,
    /// It needs no answer any more; outcomes of its attempts may still come.
    pub finished: bool,
}

/// What is expected of an attempt.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum AttemptKind {
    /// The target's filter shows it.
    ExpectedHit,
    /// A sibling, a parent or the origin gives it.
    Fill,
    /// It runs at the origin.
    Write,
    /// Only what the target has, however old it may be: there is no capacity for a fill.
    LookupOnly,
}

/// An attempt that is decided on.
pub struct Plan {
    /// Where it goes.
    pub target: CacheId,
    /// Where a miss is filled from; the target itself: nowhere.
    pub source: CacheId,
    /// What is expected of the two.
    pub kind: AttemptKind,
}

/// Why a request gets no further attempt.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum RejectReason {
    /// Its time or its attempts are used up.
    Exhausted,
    /// No cache node is up that its class lets it be sent to.
    NoTarget,
    /// Each cache node would answer too late.
    CachesCrowded,
    /// Neither a parent nor the origin is up.
    NoSource,
    /// The location has as many fills in flight as come in time.
    FillLimit,
    /// Sources reject fills: it is throttled here.
    SourcesReject,
    /// A node said that the request is over.
    Superseded,
    /// The retry budget is used up.
    RetryBudget,
    /// Two nodes answered it with an error.
    Errors,
}

impl RejectReason {
    /// Its name in log lines and figures, which is stable.
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

/// The mean of what nodes of a role were seen to send, in transfers at full pace; 0: none was seen.
pub fn mean_proven_capacity<'a>(all: impl Iterator<Item = &'a Node>, role: usize) -> f64 {
    let like = all.filter(|c| c.role as usize == role && c.link.proven.capacity > 0.0);
    let (n, sum) = like.fold((0.0, 0.0), |(n, sum), c| (n + 1.0, sum + c.link.proven.capacity));
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
        in_flight_totals: [f64; 2],
        kind: AttemptKind,
    ) -> Attempt {
        let (late, open, cancelled, ending) = (false, true, false, None);
        Attempt { cache, source, sent, in_flight_totals, kind, late, open, cancelled, ending }
    }
}

impl Attempt {
    /// Whether it is a fill whose outcome is still to come.
    pub fn is_open_fill(&self) -> bool {
        self.open && self.kind == AttemptKind::Fill
    }

    /// Whether the request may have run by it, as far as is known: it is open, or did not end in a way that excludes it.
    pub fn may_have_run(&self) -> bool {
        !self.ending.is_some_and(Ending::never_ran)
    }
}

impl Node {
    pub fn new(tag: u64, started_ms: f64, phase: Phase, counters: usize, hashes: usize) -> Node {
        let filter = Filter::new(counters, hashes);
        Node { started_ms, tag, phase, pace: 1.0, quick_pace: 1.0, filter, ..Node::default() }
    }

    /// It is sent work that costs so much; what is older than `window` is dropped.
    pub fn record_sent(&mut self, now: f64, cost: f64, window: f64) {
        self.sent_work.push_back(SentWork { sent_ms: now, work_ms: cost });
        while self.sent_work.front().is_some_and(|s| s.sent_ms < now - window) {
            self.sent_work.pop_front();
        }
    }

    /// The work that it was sent in the last `window`.
    pub fn sent_within(&self, now: f64, window: f64) -> f64 {
        self.sent_work.iter().filter(|s| s.sent_ms >= now - window).map(|s| s.work_ms).sum()
    }

    /// It has started anew: what was known is of its process before.
    pub fn reset(&mut self, started_ms: f64) {
        self.started_ms = self.started_ms.max(started_ms);
        self.filter.clear();
        self.changes.clear();
        self.failure_rate = 0.0;
        self.peer_suspicion = 0.0;
        self.ejected = false;
        self.silent_after = None;
        self.pace = 1.0;
        self.quick_pace = 1.0;
        self.link.delivery = DeliveryRate::default();
    }

    /// Its pace at the time `now`: 1 is full pace, to which it fades.
    pub fn pace_at(&self, now: f64) -> f64 {
        1.0 + (self.pace - 1.0) * (-(now - self.pace_updated) / PACE_FADES_MS).exp()
    }

    /// The pace of its quicker answers alone: that of a parent is its own, not that of the origin behind it.
    pub fn quick_pace_at(&self, now: f64) -> f64 {
        1.0 + (self.quick_pace - 1.0) * (-(now - self.pace_updated) / PACE_FADES_MS).exp()
    }

    /// An answer, or one that is still to come, took `pace` times what it takes at full pace.
    pub fn record_pace(&mut self, now: f64, pace: f64) {
        let (mean, quick) = (self.pace_at(now), self.quick_pace_at(now));
        self.pace = mean + PACE_STEP * (pace - mean);
        self.quick_pace = quick + (pace - quick) * if pace < quick { PACE_STEP } else { PACE_RISE };
        self.pace_updated = now;
    }

    /// Nothing was received from it when something should have been.
    pub fn is_silent(&self, now: f64) -> bool {
        self.silent_after.is_some_and(|q| now > q)
    }
}

impl PendingRequest {
    pub fn new(
        request: Request,
        key: Hashes,
        deadline: f64,
        work_ms: f64,
        objective_ms: f64,
    ) -> PendingRequest {
        let (attempts, excluded) = (Vec::new(), BTreeSet::new());
        PendingRequest { request, key, deadline, work_ms, objective_ms, attempts, excluded, finished: false }
    }

    pub fn is_open(&self) -> bool {
        self.attempts.iter().any(|a| a.open)
    }
}
