//! One front's gossip: events and the time in, datagrams and scores of cache nodes out.

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
use schedule::{Schedule, Task};
use std::collections::{BTreeMap, BTreeSet};

/// Between two digests to somebody, in milliseconds.
const DIGEST_PERIOD_MS: f64 = 3_000.0;
/// Between two contacts to a seed that is not known, or to a dead front, in milliseconds.
const CONTACT_PERIOD_MS: f64 = 5_000.0;
/// Between two rounds of expiry, in milliseconds.
const EXPIRY_PERIOD_MS: f64 = 500.0;

/// One front's part in the gossip: a state machine without sockets, threads or clocks of its own.
pub struct Gossip {
    config: Config,
    id: FrontId,
    roster: BTreeSet<FrontId>,
    keys: Keyring,
    rng: ChaCha8Rng,
    /// When this front started, in Unix milliseconds.
    epoch_ms: u64,
    /// The number of the last datagram sent.
    sequence: u32,
    incarnation: u32,
    has_departed: bool,
    members: MemberTable,
    suspicions: SuspicionTable,
    trust: TrustTable,
    replay_filter: ReplayFilter<FrontId>,
    send_budget: TokenBucket,
    /// Members to probe next, from the end.
    probe_order: Vec<FrontId>,
    /// The probe that waits for its ack.
    probe: Option<Probe>,
    /// The number of the last ping sent.
    ping_number: u16,
    /// Pings sent on behalf of others, by the pings' numbers.
    relayed_pings: BTreeMap<u16, RelayedPing>,
    /// Membership updates to disseminate, the latest of each member.
    updates: BTreeMap<FrontId, PendingUpdate>,
    own_reports: BTreeMap<CacheNodeKey, OwnReport>,
    /// When this front's own answers last showed a cache node healthy.
    last_healthy_ms: BTreeMap<CacheNodeKey, f64>,
    /// When the witnesses of a cache node were last compared with this front's own evidence.
    last_compared_ms: BTreeMap<CacheNodeKey, f64>,
    /// What was sent of the own reports, by peer.
    deliveries: BTreeMap<FrontId, BTreeMap<CacheNodeKey, Delivery>>,
    /// When a peer was last sent the summary of the own accusations.
    summary_sent_ms: BTreeMap<FrontId, f64>,
    /// The peer that the next round of reports begins with.
    next_recipient: Option<FrontId>,
    /// The scores of cache nodes that the host was given last, without those of 0.
    hearsay: BTreeMap<CacheNodeKey, f64>,
    /// How slow this front may be, by acks that it missed: it waits longer for others.
    missed_acks: u32,
    /// How slow it is, by its own ticks: its evidence on cache nodes weighs less. Missed acks don't count here: where a
    /// third of all datagrams is lost, every front would mute itself.
    tick_lag: u32,
    schedule: Schedule,
    counters: Counters,
}

impl Gossip {
    /// A front that knows no other yet. Two with the same configuration and seed behave the same.
    pub fn new(config: Config, keys: Keyring, seed: u64, now: Now) -> Gossip {
        Gossip {
            id: FrontId::from_name(&config.name),
            roster: config.roster.iter().map(|name| FrontId::from_name(name)).collect(),
            keys,
            rng: ChaCha8Rng::seed_from_u64(seed),
            epoch_ms: now.unix_ms.max(0.0) as u64,
            sequence: 0,
            // A front that restarts comes with a higher one than it had, unless its clock was set back.
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
            hearsay: BTreeMap::new(),
            missed_acks: 0,
            tick_lag: 0,
            schedule: Schedule::new(&config, seed, now.mono_ms),
            counters: Counters::default(),
            config,
        }
    }

    /// Handles one event and appends what is to be done to `actions`.
    pub fn handle(&mut self, now: Now, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Tick => self.tick(now, actions),
            Event::Datagram { from, bytes } => {
                if let Err(reason) = self.receive_datagram(now, from, &bytes, actions) {
                    *self.counters.rejected.entry(reason).or_default() += 1;
                }
            }
            Event::Evidence(evidence) => self.record_evidence(now, evidence, actions),
            Event::CacheNodes(nodes) => self.set_nodes(nodes, actions),
            Event::Keys(keys) => self.keys = keys,
            Event::Peers(peers) => self.set_listed_peers(now, peers, actions),
            Event::Leave => self.leave(now, actions),
        }
    }

    /// When the next [`Event::Tick`] is due, on the host's monotonic clock in milliseconds.
    pub fn wake_at(&self) -> f64 {
        self.schedule.earliest_ms().min(self.ack_deadline_ms().unwrap_or(f64::MAX))
    }

    fn tick(&mut self, now: Now, actions: &mut Vec<Action>) {
        let at = now.mono_ms;
        self.note_tick_lag(at);
        if self.has_departed {
            self.schedule.postpone_all(at + self.config.probe_period_ms);
            return;
        }
        self.request_indirect_probes(now, actions);
        if self.schedule.take_due(Task::Probe, self.config.probe_period_ms, at) {
            self.probe_next(now, actions);
        }
        if self.schedule.take_due(Task::Contact, CONTACT_PERIOD_MS, at) {
            self.contact_unknown(now, actions);
        }
        if self.schedule.take_due(Task::Expire, EXPIRY_PERIOD_MS, at) {
            self.expire(now, actions);
        }
        if self.schedule.take_due(Task::Disseminate, self.config.gossip_period_ms, at) {
            self.disseminate_updates(now, actions);
            self.disseminate_reports(now, actions);
        }
        if self.schedule.take_due(Task::Digest, DIGEST_PERIOD_MS, at) {
            self.send_digest(now, actions);
        }
    }

    /// Drops what has expired, and scores the cache nodes anew: reports lose weight as they age.
    fn expire(&mut self, now: Now, actions: &mut Vec<Action>) {
        self.expire_members(now, actions);
        self.expire_reports(now);
        let scored: BTreeSet<CacheNodeKey> =
            self.suspicions.reported_nodes().chain(self.hearsay.keys().copied()).collect();
        for node in scored {
            self.update_score(now, node, actions);
        }
    }
}
