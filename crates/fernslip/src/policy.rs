//! The router, which makes all decisions of fernslip. Its interface (settings, events and actions) is in
//! `src/api.rs`, and its entry point is [`Router::handle`]. The modules under `src/policy/` each add methods
//! to [`Router`] for one concern: nodes, request, placement, sources, capacity, admission, outcome, learning,
//! health, silence, retry, filters, purges and peers.
//!
//! This file also holds the constants that those modules share.

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

// The sources of these constants are listed in docs/design/constants.md.

// Counting Bloom filters of the keys that each cache node holds.
/// Counters in each generation of a Bloom filter: about 16 per key that a cache node receives in one
/// generation at 100 requests per second.
const FILTER_COUNTERS: usize = 16384;
const FILTER_HASHES: usize = 4;
/// Interval at which a filter starts a new generation and drops the older of its two, in milliseconds.
const FILTER_GENERATION_MS: f64 = 10_000.0;

// Messages between routers.
/// Number of requests to the location, over all its routers, after which a router sends its filter changes.
/// The published value of 400 requests per router (see `docs/design/constants.md`) is not used: one of many
/// routers receives only a few requests per second, so 400 would take longer than a filter generation lasts.
const REQUESTS_PER_SYNC: u32 = 100;
/// Maximum length of a message between routers, in bytes.
const MAX_MESSAGE_BYTES: usize = 256;
/// Minimum time for which a router must have been learning before it sends a bootstrap to a starting router,
/// in milliseconds.
const MIN_LEARNED_FOR_BOOTSTRAP_MS: f64 = 2_000.0;
/// Maximum number of messages with one cache node's keys that are sent to a starting router.
const MAX_BOOTSTRAP_KEY_MESSAGES: usize = 8;
/// Maximum number of unsent changes of a cache node's filter; further changes are dropped.
const MAX_PENDING_FILTER_CHANGES: usize = 4096;

// Health: a node is ejected when the moving average of its failures exceeds one bound, and readmitted when it
// falls below a lower one.
/// Weight of one outcome in the moving average of a node's failures.
const FAILURE_RATE_SMOOTHING: f64 = 0.15;
const EJECT_FAILURE_RATE: f64 = 0.35;
const READMIT_FAILURE_RATE: f64 = 0.15;
/// A node is ejected only if its failure rate exceeds this multiple of its peers' mean. When all nodes fail,
/// none is ejected.
const OUTLIER_FACTOR: f64 = 2.0;
/// Maximum fraction of a role's nodes that may be ejected, so that the remaining ones are not overloaded.
const MAX_EJECTED_FRACTION: f64 = 0.4;
/// Maximum suspicion that gossip may raise, as the fraction of a cache node's homes that it loses.
const MAX_PEER_SUSPICION: f64 = 0.8;
/// Minimum failure rate at which a node's failures are reported to other routers as evidence.
const MIN_EVIDENCE_FAILURE_RATE: f64 = 0.05;
/// Blame for a node that fell silent, in units of one failure. It is enough to eject the node.
const SILENCE_BLAME: f64 = 2.5;
/// Strength of the evidence that a node is silent or far slower than its peers, from 0 to 1.
const UNRESPONSIVE_EVIDENCE_STRENGTH: f64 = 0.8;
/// Failures of a node within this many milliseconds count as one, because a lost connection ends all its
/// attempts at once.
const SAME_FAILURE_WINDOW_MS: f64 = 5.0;
/// Time from a node's ejection to its first half-open probe, in milliseconds.
const FIRST_PROBE_DELAY_MS: f64 = 600.0;
/// Interval between half-open probes of a node, in milliseconds: four probes per second.
const PROBE_INTERVAL_MS: f64 = 250.0;
/// A rejection that comes sooner than this, in milliseconds, is the cache node's own, because its source
/// could not have answered so fast. The node is full, or is draining and the endpoint list does not show it
/// yet.
const MAX_LOCAL_REJECTION_MS: f64 = 5.0;
/// Time without an answer, beyond twice the request's transfer time, after which a node counts as silent, in
/// milliseconds. It is longer than the stalls of a working cache node.
const SILENCE_TIMEOUT_MS: f64 = 800.0;
/// Timeout of a probe of a silent node, as a fraction of `SILENCE_TIMEOUT_MS`; the request's transfer time is
/// added.
const PROBE_TIMEOUT_FRACTION: f64 = 0.5;

// Load: the number of answers in flight on a node's link, as a multiple of those that the link carries at the
// full stream rate.
/// A request whose home would be late may go to another cache node, which makes a second copy, if the load
/// there is below this fraction of the home's load.
const MAX_SPILL_LOAD_RATIO: f64 = 0.6;
/// Factor by which a node's load is expected to rise while an answer is being sent.
const LOAD_GROWTH_FACTOR: f64 = 1.6;

// Slowdown of a node: the duration of its fills (for a cache node: of its hits) divided by their duration at
// the full stream rate. It is a moving average that decays to 1.
/// Half-life of the weight that a cache node's slowdown has in its load estimate during slow start, in
/// milliseconds.
const SLOW_START_SLOWDOWN_HALVING_MS: f64 = 1_000.0;
/// Duration of a fill besides its transfer time, in milliseconds.
const FILL_OVERHEAD_MS: f64 = 100.0;
/// Duration of a hit besides its transfer time, in milliseconds.
const HIT_OVERHEAD_MS: f64 = 10.0;
/// A node whose slowdown exceeds this multiple of its peers' mean slowdown receives less traffic. The same
/// factor decides whether a slow fill is explained by the cache node's own link.
const SLOWDOWN_OUTLIER_FACTOR: f64 = 1.5;
/// A node whose speed factor (see `Router::speed_factor`) is below this bound is considered the sole cause of
/// its late fills.
const SLOW_NODE_SPEED_FACTOR: f64 = 0.5;

/// Initial limit on fills in flight, as a fraction of the cache nodes' total listed weight.
const INITIAL_FILLS_PER_WEIGHT: f64 = 0.6;
/// Fraction of the slow-start capacity that is used, because weights are rough and the traffic of other
/// routers is an estimate.
const SLOW_START_UTILIZATION: f64 = 0.7;
/// Fraction of the slow-start capacity that is used if a router's part of it is less than one request. It is
/// lower because the tokens of two adjacent windows may be spent together.
const SLOW_START_TOKEN_UTILIZATION: f64 = 0.5;

// Timeouts of attempts at nodes that are expected to hold the object. They are long, because cutting a slow
// transfer short wastes it; unresponsive nodes are detected by their silence.
/// Maximum timeout of an attempt that is expected to be a hit, as a fraction of the request's remaining time.
const ATTEMPT_TIMEOUT_FRACTION: f64 = 0.8;
/// Timeout of an attempt that is expected to be a hit, as a multiple of the request's latency objective.
const ATTEMPT_TIMEOUT_OBJECTIVES: f64 = 1.8;
/// Interval between checks for silent nodes and late fills, in milliseconds.
const SILENCE_CHECK_INTERVAL_MS: f64 = 50.0;
/// Minimum remaining time for which an attempt is made, in milliseconds.
const MIN_ATTEMPT_MS: f64 = 30.0;
/// Tokens that each request adds to the retry budget, which is a token bucket.
const RETRY_TOKENS_PER_REQUEST: f64 = 0.25;
/// Capacity of the retry budget for the whole location, in tokens: it covers the sudden loss of a node.
const MAX_RETRY_TOKENS: f64 = 20.0;
/// Mean Retry-After hint, in milliseconds; the value sent varies by half of it in both directions.
const MEAN_RETRY_AFTER_MS: f64 = 400.0;
/// Safety margin by which a copy must be younger than a purge, in milliseconds; the tick length is added.
const PURGE_MARGIN_MS: f64 = 5.0;

// Ranks: a key with at least this many recent requests is cached at rank 2 or rank 3, otherwise at rank 1.
const RANK_2_MIN_REQUESTS: u8 = 1;
const RANK_3_MIN_REQUESTS: u8 = 4;

/// Weight of one request in the mean transfer time of its class.
const MEAN_WORK_SMOOTHING: f64 = 0.02;
/// Assumed transfer time of a request of unknown size when its class has no mean yet, as a fraction of its
/// latency objective.
const UNKNOWN_SIZE_OBJECTIVE_FRACTION: f64 = 0.1;

/// A request router, which decides where each request is sent.
pub struct Router {
    settings: Settings,
    /// Time of the latest event on the caller's clock, in milliseconds; it never decreases.
    now_ms: f64,
    /// State of the pseudo-random generator.
    seed: u64,
    /// Cache nodes of the location, parents and origins.
    nodes: BTreeMap<CacheId, Node>,
    requests: BTreeMap<RequestId, PendingRequest>,
    purges: Purges,
    /// Counts of recent requests per key.
    demand: Filter,
    next_generation_ms: f64,
    /// Whether the timer for the next check of the open attempts for silent nodes is set.
    silence_timer_set: bool,
    /// By role, the mean of the nodes' proven capacities, in concurrent transfers at the full stream rate; 0
    /// if none has been measured.
    typical_bandwidth: [f64; 3],
    /// By role, the lower bound on a node's bandwidth that the configured links imply, in concurrent
    /// transfers at the full stream rate; 0 if no link is known.
    expected_bandwidth: [f64; 3],
    fill_limiter: FillLimiter,
    source_throttle: AdaptiveThrottle,
    pub(crate) rejections: RejectionCounts,
    requests_since_sync: u32,
    peers: Peers,
    /// Tokens that remain in the retry budget.
    retry_budget: f64,
    /// By class, the mean transfer time of its requests at the full stream rate, in milliseconds; 0 before
    /// the first request.
    mean_work_ms: Vec<f64>,
    evidence_enabled: bool,
    malformed: u64,
}

/// Numbers of items that a router retains, for monitoring its memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetainedCounts {
    /// Requests in flight, including finished ones whose attempts still have outcomes to come.
    pub requests: usize,
    /// Purges that are retained because older copies may still exist.
    pub purges: usize,
    /// Filter changes that have not been sent to peers yet.
    pub filter_changes: usize,
}

impl Router {
    /// Whether requests of this class may be repeated; those of an unknown class may not.
    pub fn effect(&self, class: usize) -> Effect {
        self.settings.classes.get(class).map_or(Effect::AtMostOnce, |c| c.effect)
    }

    /// Creates a router with no nodes and no learned state; `seed` starts its pseudo-random draws.
    ///
    /// # Errors
    /// Returns an error if a setting has an invalid value.
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
            demand: Filter::new(FILTER_COUNTERS, FILTER_HASHES),
            next_generation_ms: 0.0,
            silence_timer_set: false,
            typical_bandwidth: [0.0; 3],
            expected_bandwidth: [0.0; 3],
            fill_limiter: FillLimiter::default(),
            source_throttle: AdaptiveThrottle::default(),
            rejections: RejectionCounts::default(),
            requests_since_sync: 0,
            peers: Peers::default(),
            retry_budget: MAX_RETRY_TOKENS,
            mean_work_ms,
            evidence_enabled: false,
            malformed: 0,
        })
    }

    /// Processes one event at time `now_ms` and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now_ms: f64, event: Event, actions: &mut Vec<Action>) {
        if now_ms.is_finite() {
            self.now_ms = self.now_ms.max(now_ms);
        }
        self.peers.record_event(self.now_ms);
        self.run_periodic_work(actions);
        match event {
            Event::Endpoints { kind, entries } => self.update_endpoints(kind, entries, actions),
            Event::Request(request) => self.handle_request(request, actions),
            Event::Outcome(outcome) => self.handle_outcome(outcome, actions),
            Event::Cancelled { id } => self.handle_cancellation(id, actions),
            Event::Purged { object, group, age_ms } => self.handle_purge(object, group, age_ms),
            Event::PeerMessage { from, data } => self.handle_peer_message(from, &data, actions),
            Event::PeerSuspicion { cache, amount } => self.set_peer_suspicion(&cache, amount),
            Event::Timer { .. } => self.check_for_silent_nodes(actions),
            Event::Opened { .. } | Event::HealthChecked { .. } => {}
        }
    }

    /// Logs rejection counts when a line is due. Once per filter generation it also rotates the filters,
    /// sends greetings while a router of the location is unknown, and drops removed nodes and expired purges.
    fn run_periodic_work(&mut self, out: &mut Vec<Action>) {
        let line = self.rejections.due_log_line(self.now_ms);
        out.extend(line.map(|l| Action::Log(format!("{l}; fills: {:.1}", self.fill_limiter.limit))));
        if self.now_ms < self.next_generation_ms {
            return;
        }
        self.next_generation_ms = self.now_ms + FILTER_GENERATION_MS;
        // A greeting goes to all routers at the start, and then once per generation while a router of the
        // location is unknown, to find routers that restarted or started late. After a permanent removal of a
        // router the greetings continue, at a cost of a few bytes each.
        if self.settings.peers && !self.peers.all_known(self.settings.routers_in_location()) {
            out.push(Action::SendToAllPeers {
                data: message::encode_greeting(self.settings.zone as u8, true),
            });
        }
        self.nodes.values_mut().for_each(|node| node.filter.rotate());
        self.demand.rotate();
        self.nodes.retain(|_, node| node.phase != Phase::Out || node.in_flight.local.current > 0.0);
        self.purges.drop_before(self.now_ms - self.settings.purge_retention_ms());
    }

    /// Turns on [`Action::Evidence`], which reports to other routers what this router's answers show about
    /// nodes.
    pub fn enable_evidence(&mut self) {
        self.evidence_enabled = true;
    }

    /// Number of peer messages since the start that were malformed, or whose sender is not another router of
    /// this deployment.
    pub fn malformed_messages(&self) -> u64 {
        self.malformed
    }

    /// Returns the numbers of items that are retained now.
    pub fn retained(&self) -> RetainedCounts {
        RetainedCounts {
            requests: self.requests.len(),
            purges: self.purges.len(),
            filter_changes: self.nodes.values().map(|node| node.changes.len()).sum(),
        }
    }
}
