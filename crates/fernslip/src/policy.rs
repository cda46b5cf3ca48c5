//! The router: every decision of fernslip. Its interface (settings, events, actions) is `src/api.rs`;
//! [`Router::handle`] is the entry and reads as a table of contents. Each concern is a module of its own
//! under `src/policy/`: nodes, request, placement, sources, capacity, admission, outcome, learning, health,
//! silence, retry, filters, purges and peers; each adds methods to [`Router`].
//!
//! The constants below are the design's figures, shared by those modules.

use crate::api::*;
use crate::fill_limiter::FillLimiter;
use crate::filter::Filter;
use crate::message;
use crate::peers::Peers;
use crate::purges::Purges;
use crate::rejection_counts::RejectionCounts;
use crate::source_throttle::AdaptiveThrottle;
use crate::state::{Node, PendingRequest};
use std::collections::BTreeMap;

mod admission;
mod capacity;
mod filters;
mod health;
mod learning;
mod nodes;
mod outcome;
mod peers;
mod placement;
mod purges;
mod request;
mod retry;
mod silence;
mod sources;

// The design's own figures; docs/design/constants.md has their sources.

// Counting Bloom filters of the keys that caches have.
/// Counters of a filter: some 16 for each key that a cache sees in a generation at 100/s.
const COUNTERS: usize = 16384;
const HASHES: usize = 4;
/// A filter has two generations, and begins a new one this often.
const GENERATION_MS: f64 = 10_000.0;

// Messages between routers.
/// Requests of a whole location between two messages of one of its routers. 400 a router is the paper's; at
/// the few a second that one of many routers sees, that outlasts the generations.
const SYNC_REQUESTS: u32 = 100;
/// Bytes of a message at the most.
const MESSAGE_BYTES: usize = 256;
/// A router that has learned for less has nothing to send to one that starts.
const BOOTSTRAP_FROM_MS: f64 = 2_000.0;
/// Messages with a cache's keys to a router that starts, at the most.
const BOOTSTRAP_MAX_MESSAGES: usize = 8;
/// Changes of a cache's filter that wait to be sent: beyond it they are dropped.
const MAX_PENDING_CHANGES: usize = 4096;

// Health: moving share of failures, ejection above the one bound, re-admission below the other.
/// Weight of one outcome in the failure rate.
const HEALTH_STEP: f64 = 0.15;
const EJECT_ABOVE: f64 = 0.35;
const READMIT_BELOW: f64 = 0.15;
/// An outlier fails this many times as often as its peers do; when all fail, none is to blame.
const OUTLIER: f64 = 2.0;
/// Share of the nodes of a role that may be ejected, lest the rest be overloaded.
const MAX_EJECTED_FRACTION: f64 = 0.4;
/// Share of its homes that gossip takes from a cache at the most.
const MAX_PEER_SUSPICION: f64 = 0.8;
/// Failure rate from which it is evidence for others.
const EVIDENCE_FROM: f64 = 0.05;
/// Blame for silence, in failures: enough for ejection.
const SILENCE_BLAME: f64 = 2.5;
/// How sure silence is as evidence, and a crawl.
const SILENCE_SURE: f64 = 0.8;
/// A lost connection ends all attempts on it within this time: one failure.
const SAME_FAILURE_MS: f64 = 5.0;
/// From ejection to the first half-open probe.
const FIRST_PROBE_MS: f64 = 600.0;
/// Between half-open probes: four a second.
const PROBE_INTERVAL_MS: f64 = 250.0;
/// Rejected sooner than a source can be asked, it was the cache itself: it drains, which is not known here
/// yet, or is full.
const LOCAL_REJECTION_MS: f64 = 5.0;
/// Silence beyond twice the sending time of the request: longer than the stalls of a working cache.
const SILENT_MS: f64 = 800.0;
/// A probe of a silent cache gets this part of `SILENT_MS`, and its sending time.
const PROBE_FRACTION: f64 = 0.5;

// Load, in answers at full pace over the link that sends them.
/// Share of home's load below which another cache justifies a second copy.
const SPILL_GAIN: f64 = 0.6;
/// Load rises while an answer is sent.
const LATE_MARGIN: f64 = 1.6;

// A node's pace: how many times their sending time its fills (of a cache: its hits) take, a moving average
// that fades.
/// Until it counts by half at a cache in slow start.
const PACE_SEEN_MS: f64 = 1_000.0;
/// What a fill takes besides its sending.
const PACE_BASE_MS: f64 = 100.0;
/// What a hit takes besides its sending.
const HIT_BASE_MS: f64 = 10.0;
/// Times its peers' pace, from which a node is given less.
const SLOW: f64 = 1.5;
/// Share that remains to it, under which it alone is to blame for late fills.
const SLOW_FRACTION: f64 = 0.5;

/// Fills in flight at once, at the start, where the list says what caches can send: a part of it.
const FILLS_PER_WEIGHT: f64 = 0.6;
/// Part of the slow-start capacity that is used: weights are rough and the others' share is a guess.
const SLOW_START_USE: f64 = 0.7;
/// The same where a router's part is less than a request, and the tokens of two windows may meet in one.
const SLOW_START_TOKEN_USE: f64 = 0.5;

// Attempts at what is shown to be there. Long, since cutting a slow transfer short wastes it; a silent node
// is found by its silence instead.
/// Part of the remaining time that one may take.
const REMAINING_FRACTION: f64 = 0.8;
/// Its time, in latency objectives.
const OBJECTIVES: f64 = 1.8;
/// Between looks for silent nodes.
const WATCH_MS: f64 = 50.0;
/// Less time is not worth an attempt.
const MIN_ATTEMPT_MS: f64 = 30.0;
/// Retry budget, a token bucket: what each request adds.
const RETRIES_PER_REQUEST: f64 = 0.25;
/// Its size, for a sudden loss, over all routers of the location.
const RETRY_BUDGET_MAX: f64 = 20.0;
/// Retry-After hint, spread by half.
const RETRY_AFTER_MS: f64 = 400.0;
/// Copies must be younger than a purge by so much, besides the tick.
const PURGE_MARGIN_MS: f64 = 5.0;

// Ranks: keys counted this often lately are kept at the higher ranks.
const RANK2_FROM: u8 = 1;
const RANK3_FROM: u8 = 4;

/// Weight of one request in its class's mean sending time.
const MEAN_STEP: f64 = 0.02;
/// Sending time where the size is not known and none was seen, in latency objectives.
const UNKNOWN_SIZE_OBJECTIVES: f64 = 0.1;

/// The decisions of one router.
pub struct Router {
    settings: Settings,
    /// The clock of the events, in milliseconds; it never runs back.
    now_ms: f64,
    /// State of the random draws.
    seed: u64,
    /// Cache nodes of the location, parents and origins.
    nodes: BTreeMap<CacheId, Node>,
    requests: BTreeMap<RequestId, PendingRequest>,
    purges: Purges,
    /// How often keys were requested lately.
    demand: Filter,
    next_generation_ms: f64,
    /// A timer for the search for silent nodes is set.
    watch_timer_set: bool,
    /// By role, the mean of what nodes were seen to carry, in transfers at full pace.
    typical_bandwidth: [f64; 3],
    /// By role, the least that known links let expect; 0: none are known.
    expected_bandwidth: [f64; 3],
    fill_limiter: FillLimiter,
    source_throttle: AdaptiveThrottle,
    pub(crate) rejections: RejectionCounts,
    requests_since_sync: u32,
    peers: Peers,
    /// Tokens of the retry budget.
    retry_budget: f64,
    /// By class, the mean sending time of its requests.
    mean_work_ms: Vec<f64>,
    evidence_enabled: bool,
    malformed: u64,
}

/// How much a router retains: for watching memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Retained {
    /// Requests in flight, or finished with attempts still out.
    pub requests: usize,
    /// Purges that copies may still be older than.
    pub purges: usize,
    /// Filter changes that peers have not been sent.
    pub filter_changes: usize,
}

impl Router {
    /// A router that knows nothing yet.
    ///
    /// # Errors
    /// A setting is impossible.
    pub fn new(settings: Settings, seed: u64) -> Result<Router, SettingsError> {
        settings.check()?;
        let mean_work_ms = vec![0.0; settings.classes.len()];
        Ok(Router {
            settings,
            now_ms: 0.0,
            seed,
            nodes: BTreeMap::new(),
            requests: BTreeMap::new(),
            purges: Purges::default(),
            demand: Filter::new(COUNTERS, HASHES),
            next_generation_ms: 0.0,
            watch_timer_set: false,
            typical_bandwidth: [0.0; 3],
            expected_bandwidth: [0.0; 3],
            fill_limiter: FillLimiter::default(),
            source_throttle: AdaptiveThrottle::default(),
            rejections: RejectionCounts::default(),
            requests_since_sync: 0,
            peers: Peers::default(),
            retry_budget: RETRY_BUDGET_MAX,
            mean_work_ms,
            evidence_enabled: false,
            malformed: 0,
        })
    }

    /// Takes one event at the time `now_ms` and adds what is to be done to `actions`.
    pub fn handle(&mut self, now_ms: f64, event: Event, actions: &mut Vec<Action>) {
        if now_ms.is_finite() {
            self.now_ms = self.now_ms.max(now_ms);
        }
        self.peers.record_event(self.now_ms);
        self.run_periodic_work(actions);
        match event {
            Event::Endpoints { kind, entries } => self.update_endpoints(kind, entries, actions),
            Event::Request(request) => self.request(request, actions),
            Event::Outcome(outcome) => self.outcome(outcome, actions),
            Event::Cancelled { id } => self.cancelled(id, actions),
            Event::Purged { object, group, age_ms } => self.purged(object, group, age_ms),
            Event::PeerMessage { from, data } => self.peer_message(from, &data, actions),
            Event::PeerSuspicion { cache, amount } => self.peer_suspicion(&cache, amount),
            Event::Timer { .. } => self.find_silent_nodes(actions),
            Event::Opened { .. } | Event::HealthChecked { .. } => {}
        }
    }

    /// Logs what was rejected; begins a new generation and drops what has had its time.
    fn run_periodic_work(&mut self, out: &mut Vec<Action>) {
        let line = self.rejections.due_log_line(self.now_ms);
        out.extend(line.map(|l| Action::Log(format!("{l}; fills: {:.1}", self.fill_limiter.limit))));
        if self.now_ms < self.next_generation_ms {
            return;
        }
        self.next_generation_ms = self.now_ms + GENERATION_MS;
        // Greets all when it starts, and once a generation while a router of the location is unknown:
        // finds strangers, restarts and late joiners. Where one is removed for good it costs a few bytes.
        if self.settings.peers && !self.peers.all_known(self.settings.near_routers()) {
            out.push(Action::SendToAllPeers { data: message::greeting(self.settings.zone as u8, true) });
        }
        self.nodes.values_mut().for_each(|node| node.filter.rotate());
        self.demand.rotate();
        self.nodes.retain(|_, node| node.phase != Phase::Out || node.in_flight.local.current > 0.0);
        let retention_ms = self.settings.purge_done_ms.max(2.0 * GENERATION_MS) + GENERATION_MS;
        self.purges.drop_before(self.now_ms - retention_ms);
    }

    /// From now on hands out what its answers show of nodes, for other routers.
    pub fn enable_evidence(&mut self) {
        self.evidence_enabled = true;
    }

    /// How many messages were malformed or came from no router of the tier.
    pub fn malformed_messages(&self) -> u64 {
        self.malformed
    }

    /// How much is retained now.
    pub fn retained(&self) -> Retained {
        Retained {
            requests: self.requests.len(),
            purges: self.purges.len(),
            filter_changes: self.nodes.values().map(|node| node.changes.len()).sum(),
        }
    }
}
