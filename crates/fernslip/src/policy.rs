//! The router: every decision of fernslip. Its interface (settings, events, actions) is `src/api.rs`;
//! [`Router::handle`] is the entry and reads as a table of contents. Each concern is a module of its own
//! under `src/policy/`: nodes, request, placement, sources, capacity, admission, health, retry, filters,
//! purges and peers; each adds methods to [`Router`].
//!
//! The constants below are the design's figures, shared by those modules.

use crate::api::*;
use crate::filter::Filter;
use crate::in_flight::{Gate, GivenUp, Turned};
use crate::message;
use crate::peers::Mates;
use crate::purges::Purges;
use crate::state::{Cache, Req};
use std::collections::BTreeMap;

mod admission;
mod capacity;
mod filters;
mod health;
mod nodes;
mod peers;
mod placement;
mod purges;
mod request;
mod retry;
mod sources;

// The design's own figures. Counters: some 16 for each key that a cache sees in a generation at 100/s.
const COUNTERS: usize = 16384;
const HASHES: usize = 4;
const GENERATION_MS: f64 = 10_000.0;
/// Requests of a whole location between two messages of one of its routers. 400 a router is the paper's; at
/// the few a second that one of many routers sees, that outlasts the generations.
const SYNC_REQUESTS: u32 = 100;
const MESSAGE_BYTES: usize = 256;
/// Who has learned for less has nothing to tell one that starts; messages with a cache's keys, at the most.
const WELCOME_FROM_MS: f64 = 2_000.0;
const WELCOME_PIECES: usize = 8;
/// Changes of a cache not yet told: beyond it they are not.
const MAX_NOTED: usize = 4096;

// Health: moving share of failures, ejection above the one bound, re-admission below the other.
const HEALTH_STEP: f64 = 0.15; // weight of one outcome
const EJECT_ABOVE: f64 = 0.35;
const READMIT_BELOW: f64 = 0.15;
/// An outlier fails this many times as often as its fellows do; when all fail, none is to blame.
const OUTLIER: f64 = 2.0;
const EJECT_PART: f64 = 0.4; // of a group at the most, lest the rest drown
const SAID_MOST: f64 = 0.8; // of its homes, what hearsay takes from a cache at the most
const SURE_FROM: f64 = 0.05; // share of failures, from which it is evidence for others
const SILENCE_BLAME: f64 = 2.5; // in failures: enough for trials only
const SILENCE_SURE: f64 = 0.8; // how sure silence is as evidence, and a crawl
const SAME_FAILURE_MS: f64 = 5.0; // a broken connection ends all attempts on it: one failure
const FIRST_TRIAL_MS: f64 = 600.0; // from ejection to the first trial
const TRIAL_GAP_MS: f64 = 250.0; // between trials: four a second
/// Turned away sooner than a source can be asked, it was the cache itself: it drains untold, or is full.
const UNSEEN_MS: f64 = 5.0;
/// Silence beyond twice the sending time of what was asked: longer than the stalls of a working cache.
const SILENT_MS: f64 = 800.0;
/// A trial of a silent cache gets this part of `SILENT_MS`, and its sending time.
const TRIAL_PART: f64 = 0.5;

// Load, in answers at full pace over the link that sends them.
const SPILL_GAIN: f64 = 0.6; // of home's load, where a second copy pays
const LATE_MARGIN: f64 = 1.6; // load rises while an answer is sent

// A machine's pace: how many times their sending time its fills (of a cache: its hits) take, a moving average
// that fades.
const PACE_SEEN_MS: f64 = 1_000.0; // until it counts by half at a cold box
const PACE_BASE_MS: f64 = 100.0; // what a fill takes besides its sending
const HIT_BASE_MS: f64 = 10.0; // what a hit takes besides its sending
const SLOW: f64 = 1.5; // times its fellows' pace, from which it is given less
const SLOW_PART: f64 = 0.5; // left to it, under which it alone is to blame for late fills

/// Fills under way at once, at the start, where the list tells what caches can send: a part of it.
const FILLS_PER_WEIGHT: f64 = 0.6;
/// Part of the cold budget that is used: weights are rough and the others' share is a guess.
const COLD_USE: f64 = 0.7;
/// The same where a router's part is less than a request, and the turns of two windows may meet in one.
const COLD_TURNS: f64 = 0.5;

// Attempts at what is shown to be there: the part of what is left that one may take, and its time in aims.
// Long, since cutting a slow transfer short wastes it; a silent machine is found by its silence instead.
const PART_OF_LEFT: f64 = 0.8;
const AIMS: f64 = 1.8;
const WATCH_MS: f64 = 50.0; // between looks for silent machines
const LEAST_TRY_MS: f64 = 30.0; // less is not worth an attempt
const RETRIES_PER_REQUEST: f64 = 0.25; // retry budget, a token bucket
const RETRIES_SAVED: f64 = 20.0; // its size, for a sudden loss, over all routers of the location
const RETRY_AFTER_MS: f64 = 400.0; // hint, spread by half
const PURGE_MARGIN_MS: f64 = 5.0; // copies must be younger than a purge by so much, besides the tick
const NO_SOURCE: &str = "no source is up";
const TURNED: &str = "sources turn fills away";
// Ranks: keys counted this often lately are kept at the higher ranks.
const RANK2_FROM: u8 = 1;
const RANK3_FROM: u8 = 4;
const MEAN_STEP: f64 = 0.02;
/// Sending time where no size is told and none was seen, in aims.
const UNTOLD: f64 = 0.1;

/// The decisions of one router.
pub struct Router {
    set: Settings,
    now: f64,
    seed: u64,
    caches: BTreeMap<CacheId, Cache>,
    reqs: BTreeMap<RequestId, Req>,
    purges: Purges,
    wanted: Filter,
    next_age: f64,
    watching: bool,
    /// By role, what machines were seen to carry, on average.
    typical: [f64; 3],
    /// By role, the least that told links let expect; 0: none are told.
    first: [f64; 3],
    fills: Gate,
    turned: Turned,
    pub(crate) given_up: GivenUp,
    since_sync: u32,
    mates: Mates,
    retries: f64,
    mean_ms: Vec<f64>,
    witness: bool,
    odd: u64,
}

impl Router {
    /// A router that knows nothing yet.
    pub fn new(settings: Settings, seed: u64) -> Result<Router, SettingsError> {
        settings.check()?;
        let n = settings.classes.len();
        Ok(Router {
            set: settings,
            now: 0.0,
            seed,
            caches: BTreeMap::new(),
            reqs: BTreeMap::new(),
            purges: Purges::default(),
            wanted: Filter::new(COUNTERS, HASHES),
            next_age: 0.0,
            watching: false,
            typical: [0.0; 3],
            first: [0.0; 3],
            fills: Gate::default(),
            turned: Turned::default(),
            given_up: GivenUp::default(),
            since_sync: 0,
            mates: Mates::default(),
            retries: RETRIES_SAVED,
            mean_ms: vec![0.0; n],
            witness: false,
            odd: 0,
        })
    }

    /// Takes one event at the time `now_ms` and adds what is to be done to `actions`.
    pub fn handle(&mut self, now_ms: f64, event: Event, actions: &mut Vec<Action>) {
        if now_ms.is_finite() {
            self.now = self.now.max(now_ms);
        }
        self.mates.event(self.now);
        self.age(actions);
        match event {
            Event::Endpoints { kind, entries } => self.fleet(kind, entries, actions),
            Event::Request(ask) => self.request(ask, actions),
            Event::Outcome(o) => self.outcome(o, actions),
            Event::Cancelled { id } => self.withdrawn(id, actions),
            Event::Purged { object, group, age_ms } => self.purged(object, group, age_ms),
            Event::PeerMessage { from, data } => self.heard(from, &data, actions),
            Event::PeerSuspicion { cache, amount } => self.hearsay(&cache, amount),
            Event::Timer { .. } => self.watch(actions),
            Event::Opened { .. } | Event::HealthChecked { .. } => {}
        }
    }

    /// Logs what was given up; begins a new generation and drops what has had its time.
    fn age(&mut self, out: &mut Vec<Action>) {
        let line = self.given_up.line(self.now);
        out.extend(line.map(|l| Action::Log(format!("{l}; fills: {:.1}", self.fills.limit))));
        if self.now < self.next_age {
            return;
        }
        self.next_age = self.now + GENERATION_MS;
        // Greets all when it starts, and once a generation while a router of the location was not heard of:
        // finds strangers, restarts and late joiners. Where one is gone for good it costs a few bytes.
        if self.set.peers && !self.mates.are_all(self.set.near_routers()) {
            out.push(Action::SendToAllPeers { data: message::greeting(self.set.zone as u8, true) });
        }
        self.caches.values_mut().for_each(|c| c.filter.age());
        self.wanted.age();
        self.caches.retain(|_, c| c.phase != Phase::Out || c.open.own.now > 0.0);
        let keep = self.set.purge_done_ms.max(2.0 * GENERATION_MS) + GENERATION_MS;
        self.purges.drop_before(self.now - keep);
    }

    /// From now on tells what its answers show of machines, for other routers.
    pub fn enable_evidence(&mut self) {
        self.witness = true;
    }

    /// How many messages made no sense or came from no router of the tier.
    pub fn malformed_messages(&self) -> u64 {
        self.odd
    }

    /// How many requests, purges and untold filter changes are held: for watching memory.
    pub fn held(&self) -> (usize, usize, usize) {
        (self.reqs.len(), self.purges.len(), self.caches.values().map(|c| c.changes.len()).sum())
    }
}
