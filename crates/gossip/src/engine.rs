//! The gossip state machine of one front: it turns events and the time into datagrams and scores of cache
//! nodes.

mod dissemination;
mod evidence;
mod failure_detection;
mod membership;
mod receive;
mod reports;
mod schedule;
mod send;
mod status;

use crate::budget::TokenBucket;
use crate::config::{Config, Now};
use crate::event::{Action, Counters, Event};
use crate::keys::Keyring;
use crate::member::MemberTable;
use crate::message::{CacheNodeKey, FrontId};
use crate::replay::ReplayFilter;
use crate::suspicion::SuspicionTable;
use crate::trust::TrustTable;
use dissemination::PendingUpdate;
use failure_detection::{Probe, RelayedPing};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use reports::{Delivery, OwnReport};
use schedule::{PeriodicTask, Schedule};
use std::collections::{BTreeMap, BTreeSet};

/// The interval between two membership digests, each sent to one random member, in milliseconds.
const DIGEST_PERIOD_MS: f64 = 3_000.0;
/// The interval between two contacts to a seed that is not a member or to a dead front, in milliseconds.
const CONTACT_PERIOD_MS: f64 = 5_000.0;
/// The interval between two removals of expired entries, in milliseconds.
const EXPIRY_PERIOD_MS: f64 = 500.0;

/// The gossip state machine of one front. It has no sockets, threads or clocks of its own.
pub struct Gossip {
    config: Config,
    id: FrontId,
    roster: BTreeSet<FrontId>,
    keys: Keyring,
    rng: ChaCha8Rng,
    /// When this front started, in Unix milliseconds.
    epoch_ms: u64,
    /// The sequence number of the last datagram sent.
    sequence: u32,
    incarnation: u32,
    has_departed: bool,
    members: MemberTable,
    suspicions: SuspicionTable,
    trust: TrustTable,
    replay_filter: ReplayFilter<FrontId>,
    send_budget: TokenBucket,
    /// The members still to be probed in this round; the last one is next.
    probe_order: Vec<FrontId>,
    /// The probe that awaits its ack.
    probe: Option<Probe>,
    /// The number of the last ping sent.
    ping_number: u16,
    /// Pings sent on behalf of other fronts, by the numbers of these pings.
    relayed_pings: BTreeMap<u16, RelayedPing>,
    /// The latest membership update of each member that is still being disseminated.
    updates: BTreeMap<FrontId, PendingUpdate>,
    own_reports: BTreeMap<CacheNodeKey, OwnReport>,
    /// When this front last observed each cache node as healthy, on the host's monotonic clock in
    /// milliseconds.
    last_healthy_ms: BTreeMap<CacheNodeKey, f64>,
    /// When other witnesses' reports on a cache node were last compared with this front's own evidence.
    last_compared_ms: BTreeMap<CacheNodeKey, f64>,
    /// The versions of this front's reports that each peer was sent.
    deliveries: BTreeMap<FrontId, BTreeMap<CacheNodeKey, Delivery>>,
    /// When each peer was last sent the summary of this front's accusations.
    summary_sent_ms: BTreeMap<FrontId, f64>,
    /// The peer that the next round of report dissemination starts with.
    next_recipient: Option<FrontId>,
    /// The scores of cache nodes as last given to the host; scores of 0 are not stored.
    peer_scores: BTreeMap<CacheNodeKey, f64>,
    /// An estimate of this front's own slowness from missed acks. It lengthens the ack timeout and the
    /// suspicion timeout.
    missed_acks: u32,
    /// An estimate of this front's own slowness from late ticks. It lowers the strength of the front's
    /// accusations of cache nodes. Missed acks do not raise this estimate: otherwise every front would weaken
    /// all its accusations where a third of all datagrams is lost.
    tick_lag: u32,
    schedule: Schedule,
    counters: Counters,
}

impl Gossip {
    /// Creates a front that knows no other front yet. Equal configurations, seeds and inputs give equal
    /// outputs.
    pub fn new(config: Config, keys: Keyring, seed: u64, now: Now) -> Gossip {
        Gossip {
            id: FrontId::from_name(&config.name),
            roster: config.roster.iter().map(|name| FrontId::from_name(name)).collect(),
            keys,
            rng: ChaCha8Rng::seed_from_u64(seed),
            epoch_ms: now.unix_ms.max(0.0) as u64,
            sequence: 0,
            // After a restart the incarnation is higher than before, unless the clock was set back.
            incarnation: now.unix_s(),
            has_departed: false,
            members: MemberTable::default(),
            suspicions: SuspicionTable::default(),
            trust: TrustTable::default(),
            replay_filter: ReplayFilter::default(),
            send_budget: TokenBucket::new(config.bytes_per_s, config.burst_bytes, now.mono_ms),
            probe_order: Vec::new(),
            probe: None,
            ping_number: 0,
            relayed_pings: BTreeMap::new(),
            updates: BTreeMap::new(),
            own_reports: BTreeMap::new(),
            last_healthy_ms: BTreeMap::new(),
            last_compared_ms: BTreeMap::new(),
            deliveries: BTreeMap::new(),
            summary_sent_ms: BTreeMap::new(),
            next_recipient: None,
            peer_scores: BTreeMap::new(),
            missed_acks: 0,
            tick_lag: 0,
            schedule: Schedule::new(&config, seed, now.mono_ms),
            counters: Counters::default(),
            config,
        }
    }

    /// Handles one event and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: Now, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Tick => self.run_due_tasks(now, actions),
            Event::Datagram { from, bytes } => {
                if let Err(reason) = self.receive_datagram(now, from, &bytes, actions) {
                    *self.counters.rejected.entry(reason).or_default() += 1;
                }
            }
            Event::Evidence(evidence) => self.record_evidence(now, evidence, actions),
            Event::CacheNodes(nodes) => self.set_cache_nodes(nodes, actions),
            Event::Keys(keys) => self.keys = keys,
            Event::Peers(peers) => self.apply_peer_list(now, peers, actions),
            Event::Leave => self.leave(now, actions),
        }
    }

    /// Returns when the next [`Event::Tick`] is due, on the host's monotonic clock in milliseconds.
    pub fn wake_at(&self) -> f64 {
        self.schedule.earliest_ms().min(self.ack_deadline_ms().unwrap_or(f64::MAX))
    }

    fn run_due_tasks(&mut self, now: Now, actions: &mut Vec<Action>) {
        let at = now.mono_ms;
        self.update_tick_lag(at);
        if self.has_departed {
            self.schedule.postpone_all(at + self.config.probe_period_ms);
            return;
        }
        self.request_indirect_probes(now, actions);
        if self.schedule.take_due_task(PeriodicTask::Probe, self.config.probe_period_ms, at) {
            self.probe_next(now, actions);
        }
        if self.schedule.take_due_task(PeriodicTask::Contact, CONTACT_PERIOD_MS, at) {
            self.contact_absent_front(now, actions);
        }
        if self.schedule.take_due_task(PeriodicTask::Expire, EXPIRY_PERIOD_MS, at) {
            self.expire_and_rescore(now, actions);
        }
        if self.schedule.take_due_task(PeriodicTask::Disseminate, self.config.gossip_period_ms, at) {
            self.disseminate_updates(now, actions);
            self.disseminate_reports(now, actions);
        }
        if self.schedule.take_due_task(PeriodicTask::Digest, DIGEST_PERIOD_MS, at) {
            self.send_digest(now, actions);
        }
    }

    /// Removes expired entries and updates all scores, because reports lose weight as they age.
    fn expire_and_rescore(&mut self, now: Now, actions: &mut Vec<Action>) {
        self.expire_members(now, actions);
        self.expire_reports(now);
        let scored: BTreeSet<CacheNodeKey> =
            self.suspicions.reported_nodes().chain(self.peer_scores.keys().copied()).collect();
        for node in scored {
            self.update_score(now, node, actions);
        }
    }
}
