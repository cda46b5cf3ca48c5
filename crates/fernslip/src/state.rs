//! What a router holds of each machine and of each request under way: data, and the questions one of them answers alone.

use crate::api::*;
use crate::bandwidth::{DeliveryRate, Link};
use crate::filter::{Change, Filter, Hashes};
use crate::in_flight::InFlight;
use std::collections::{BTreeSet, VecDeque};

/// A machine's pace is forgotten so fast, in milliseconds.
const PACE_FADES_MS: f64 = 10_000.0;

/// Weight of one answer in a pace: large, as one of many routers sees few fills of each.
const PACE_STEP: f64 = 0.4;
/// The same of a slow answer in the pace of the quicker ones: about a fifth of all are quicker than that.
const PACE_RISE: f64 = 0.2;

#[derive(Clone, Copy, PartialEq, Default)]
pub enum Role {
    #[default]
    Edge,
    Parent,
    Origin,
}

#[derive(Default)]
pub struct Node {
    pub role: Role,
    pub zone: Option<usize>,
    pub cell: i64,
    pub phase: Phase,
    /// As listed.
    pub listed_weight: f64,
    /// What its link carries, as answers showed.
    pub link: Link,
    pub started_ms: f64,
    pub tag: u64,
    pub filter: Filter,
    pub changes: Vec<Change>,
    pub failure_rate: f64,
    /// What others say of it: below 0 well, above 0 failing.
    pub peer_suspicion: f64,
    pub ejected: bool,
    pub next_probe_ms: f64,
    pub in_flight: InFlight,
    pub pace: f64,
    /// The pace of its quicker answers.
    pub quick_pace: f64,
    pub pace_updated: f64,
    /// When it is silent if nothing is heard before; set by the first attempt after the last sign of life.
    pub silent_after: Option<f64>,
    pub last_seen: f64,
    pub last_failure: f64,
    pub sent_work: VecDeque<(f64, f64)>,
}

pub struct Attempt {
    pub cache: CacheId,
    pub source: CacheId,
    pub sent: f64,
    /// What [`InFlight::seen`] was when it was sent, at the target and at the source.
    pub in_flight_totals: [f64; 2],
    pub kind: AttemptKind,
    /// A fill that took longer than was wanted, while it was still open.
    pub late: bool,
    pub open: bool,
    pub cancelled: bool,
    pub ending: Option<Ending>,
}

pub struct PendingRequest {
    pub request: Request,
    pub key: Hashes,
    pub deadline: f64,
    pub work_ms: f64,
    pub objective_ms: f64,
    pub attempts: Vec<Attempt>,
    /// Targets and sources that failed this request.
    pub excluded: BTreeSet<CacheId>,
    pub finished: bool,
}

#[derive(Clone, Copy, PartialEq, Debug)]
pub enum AttemptKind {
    /// The target's filter shows it.
    ExpectedHit,
    /// A sibling, a parent or the origin gives it.
    Fill,
    Write,
    /// Only what the target holds, however old it may be: there is no room for a fill.
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

/// The average of what machines of a role were seen to send; 0: none was.
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

    /// It is sent work that costs so much; what is older than `window` is not counted any more.
    pub fn record_sent(&mut self, now: f64, cost: f64, window: f64) {
        self.sent_work.push_back((now, cost));
        while self.sent_work.front().is_some_and(|s| s.0 < now - window) {
            self.sent_work.pop_front();
        }
    }

    /// The work that it was sent in the last `window`.
    pub fn sent_within(&self, now: f64, window: f64) -> f64 {
        self.sent_work.iter().filter(|s| s.0 >= now - window).map(|s| s.1).sum()
    }

    /// It has started anew: what was known of it is of the one before.
    pub fn reset(&mut self, started_ms: f64) {
        self.started_ms = self.started_ms.max(started_ms);
        self.filter.clear();
        self.changes.clear();
        (self.failure_rate, self.peer_suspicion, self.ejected, self.silent_after) = (0.0, 0.0, false, None);
        (self.pace, self.quick_pace) = (1.0, 1.0);
        self.link.delivery = DeliveryRate::default();
    }

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

    /// Nothing was heard of it when something should have been.
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
