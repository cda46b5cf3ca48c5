//! What a router holds of each machine and of each request under way: data, and the questions one of them answers alone.

use crate::api::*;
use crate::bandwidth::{Delivered, Link};
use crate::filter::{Change, Filter, Hashes};
use crate::in_flight::Crowd;
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
pub struct Cache {
    pub role: Role,
    pub zone: Option<usize>,
    pub cell: i64,
    pub phase: Phase,
    /// As listed.
    pub told: f64,
    /// What its link carries, as answers showed.
    pub link: Link,
    pub born: f64,
    pub tag: u64,
    pub filter: Filter,
    pub changes: Vec<Change>,
    pub bad: f64,
    /// What others say of it: below 0 well, above 0 failing.
    pub said: f64,
    pub ejected: bool,
    pub next_trial: f64,
    pub open: Crowd,
    pub pace: f64,
    /// The pace of its quicker answers.
    pub quick: f64,
    pub paced: f64,
    /// When it is silent if nothing is heard before; set by the first attempt after the last sign of life.
    pub quiet_by: Option<f64>,
    pub heard: f64,
    pub blamed: f64,
    pub sent: VecDeque<(f64, f64)>,
}

pub struct Attempt {
    pub cache: CacheId,
    pub source: CacheId,
    pub sent: f64,
    /// What [`Crowd::seen`] was when it was sent, at the target and at the source.
    pub seen: [f64; 2],
    pub way: Way,
    /// A fill that took longer than was wanted, while it was still open.
    pub late: bool,
    pub open: bool,
    pub called_off: bool,
    pub ending: Option<Ending>,
}

pub struct Req {
    pub ask: Request,
    pub key: Hashes,
    pub deadline: f64,
    pub work_ms: f64,
    pub objective_ms: f64,
    pub attempts: Vec<Attempt>,
    /// Targets and sources that failed this request.
    pub failed: BTreeSet<CacheId>,
    pub done: bool,
}

#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Way {
    /// The target's filter shows it.
    Hit,
    /// A sibling, a parent or the origin gives it.
    Fill,
    Write,
    /// Only what the target holds, however old it may be: there is no room for a fill.
    Look,
}

/// Target, source, and what is expected of them.
pub type Plan = (CacheId, CacheId, Way);

/// The average of what machines of a role were seen to send; 0: none was.
pub fn mean_proven<'a>(all: impl Iterator<Item = &'a Cache>, role: usize) -> f64 {
    let like = all.filter(|c| c.role as usize == role && c.link.proven.carries > 0.0);
    let (n, sum) = like.fold((0.0, 0.0), |(n, sum), c| (n + 1.0, sum + c.link.proven.carries));
    if n > 0.0 {
        sum / n
    } else {
        0.0
    }
}

impl Attempt {
    pub fn new(cache: CacheId, source: CacheId, sent: f64, seen: [f64; 2], way: Way) -> Attempt {
        let (late, open, called_off, ending) = (false, true, false, None);
        Attempt { cache, source, sent, seen, way, late, open, called_off, ending }
    }
}

impl Cache {
    pub fn new(tag: u64, born: f64, phase: Phase, counters: usize, hashes: usize) -> Cache {
        let filter = Filter::new(counters, hashes);
        Cache { born, tag, phase, pace: 1.0, quick: 1.0, filter, ..Cache::default() }
    }

    /// It is sent work that costs so much; what is older than `window` is not counted any more.
    pub fn sends(&mut self, now: f64, cost: f64, window: f64) {
        self.sent.push_back((now, cost));
        while self.sent.front().is_some_and(|s| s.0 < now - window) {
            self.sent.pop_front();
        }
    }

    /// The work that it was sent in the last `window`.
    pub fn spent(&self, now: f64, window: f64) -> f64 {
        self.sent.iter().filter(|s| s.0 >= now - window).map(|s| s.1).sum()
    }

    /// It has started anew: what was known of it is of the one before.
    pub fn begin_again(&mut self, born: f64) {
        self.born = self.born.max(born);
        self.filter.clear();
        self.changes.clear();
        (self.bad, self.said, self.ejected, self.quiet_by) = (0.0, 0.0, false, None);
        (self.pace, self.quick) = (1.0, 1.0);
        self.link.lately = Delivered::default();
    }

    pub fn pace_at(&self, now: f64) -> f64 {
        1.0 + (self.pace - 1.0) * (-(now - self.paced) / PACE_FADES_MS).exp()
    }

    /// The pace of its quicker answers alone: that of a parent is its own, not that of the origin behind it.
    pub fn pace_of_quick(&self, now: f64) -> f64 {
        1.0 + (self.quick - 1.0) * (-(now - self.paced) / PACE_FADES_MS).exp()
    }

    /// An answer, or one that is still to come, took `pace` times what it takes at full pace.
    pub fn paced(&mut self, now: f64, pace: f64) {
        let (mean, quick) = (self.pace_at(now), self.pace_of_quick(now));
        self.pace = mean + PACE_STEP * (pace - mean);
        self.quick = quick + (pace - quick) * if pace < quick { PACE_STEP } else { PACE_RISE };
        self.paced = now;
    }

    /// Nothing was heard of it when something should have been.
    pub fn silent(&self, now: f64) -> bool {
        self.quiet_by.is_some_and(|q| now > q)
    }
}

impl Req {
    pub fn new(ask: Request, key: Hashes, deadline: f64, work_ms: f64, objective_ms: f64) -> Req {
        let (attempts, failed) = (Vec::new(), BTreeSet::new());
        Req { ask, key, deadline, work_ms, objective_ms, attempts, failed, done: false }
    }

    pub fn is_open(&self) -> bool {
        self.attempts.iter().any(|a| a.open)
    }
}
