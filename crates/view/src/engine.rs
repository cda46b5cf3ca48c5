//! One front's view of the fleet: takes events and the time, returns datagrams to send and changes to report.

use crate::config::{Config, PeerAddress};
use crate::fact::{Fact, FrontProcess, FrontState, Id, Member, MemberTable, MergeOutcome, Rank};
use crate::failure_detector::{Answered, Due, FailureDetector, Suspicion, Verdict};
use crate::interface::{Action, Counters, Event, HistoryEntry, MemberStatus, Now};
use crate::ring::Rings;
use crate::settlement::Settlement;
use crate::wire::{encoded_len, Item, Message, MAX_DATAGRAM_BYTES, TAG_BYTES};
use constants::*;
use fernslip_gossip::{Keyring, ReplayFilter, TokenBucket};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

mod budget;
mod comparison;
mod constants;
mod dissemination;
mod duplicate_name;
mod facts;
mod failure_detection;
mod joining;
mod receive;
mod rejoin;
#[cfg(test)]
mod tests;
mod tick;

/// An update on a member that is still to be sent.
#[derive(Clone, Copy, Debug)]
struct PendingUpdate {
    /// How often it was sent.
    sent: u32,
    /// Whether the complete fact is to be sent, or its rank alone.
    full: bool,
}

/// A reported failure that is deferred while the member concerned may refute it.
struct DeferredFailure {
    rank: Rank,
    from: Id,
    until_ms: f64,
    /// How often it was gossiped meanwhile.
    sent: u32,
    /// When the member concerned was last notified.
    notified_ms: f64,
}

/// A ping made for another front, whose answer is outstanding.
struct ForwardedPing {
    origin: SocketAddr,
    /// The number under which `origin` expects the answer.
    number: u32,
    sent_ms: f64,
}

/// Another process under this front's name.
#[derive(Clone, Copy)]
struct DuplicateProcess {
    addr: SocketAddr,
    reported_ms: f64,
    last_seen_ms: f64,
}

/// One front's view of the fleet.
pub struct View {
    config: Config,
    keys: Keyring,
    rng: ChaCha8Rng,
    own: Fact,
    table: MemberTable,
    rings: Rings,
    rings_drawn_ms: f64,
    /// When the rings are to be redrawn, if the members have changed.
    rings_due_ms: Option<f64>,
    detector: FailureDetector,
    settlement: Settlement,
    send_budget: TokenBucket,
    /// The ids of the live members, in order: the positions in [`Settlement`].
    live_ids: Vec<Id>,
    updates: BTreeMap<Id, PendingUpdate>,
    deferred: BTreeMap<Id, DeferredFailure>,
    /// The messages received, by process.
    replays: ReplayFilter<u64>,
    /// Pings made for other fronts, by this front's ping number.
    forwarded_pings: BTreeMap<u32, ForwardedPing>,
    history: BTreeMap<Id, VecDeque<HistoryEntry>>,
    duplicate: Option<DuplicateProcess>,
    ping_number: u32,
    sequence: u32,
    suspicion_number: u32,
    /// Whether others are known to have admitted this front, or it is the first.
    is_admitted: bool,
    /// When the remembered addresses are dropped, as departed members are.
    remembered_until_ms: f64,
    /// Whether the table changed since the last [`View::refresh`].
    members_changed: bool,
    reported_settled: bool,
    has_left: bool,
    last_event_ms: f64,
    last_received_ms: f64,
    last_gossip_ms: f64,
    /// When a failure was last taken over that not all watchers could confirm.
    last_unconfirmed_ms: f64,
    last_comparison_ms: f64,
    next_poll_ms: f64,
    next_expiry_ms: f64,
    counters: Counters,
}

impl View {
    /// The view of a front that knows no other yet. Equal configurations, seeds and events give equal actions; the seed is
    /// to differ from process to process.
    pub fn new(config: Config, keys: Keyring, seed: u64, now: Now) -> View {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let own = Fact {
            name: config.name.clone(),
            addr: config.addr,
            gossip: config.gossip,
            location: config.location.clone(),
            program: config.program.clone(),
            configuration: config.configuration,
            process_id: rng.random(),
            generation: now.unix_ms.max(1.0) as u64,
            incarnation: 0,
            state: FrontState::Joining,
            confirmed: true,
            detected_by: Id(0),
        };
        let now_ms = now.mono_ms;
        let phase: f64 = rng.random();
        let is_admitted = config.initial_contacts().all(|s| s == config.addr);
        let mut view = View {
            send_budget: TokenBucket::new(config.bytes_per_s, config.burst_bytes, now_ms),
            keys,
            own,
            table: MemberTable::default(),
            rings: Rings::default(),
            rings_drawn_ms: now_ms,
            rings_due_ms: None,
            detector: FailureDetector::default(),
            settlement: Settlement::default(),
            live_ids: Vec::new(),
            updates: BTreeMap::new(),
            deferred: BTreeMap::new(),
            replays: ReplayFilter::default(),
            forwarded_pings: BTreeMap::new(),
            history: BTreeMap::new(),
            duplicate: None,
            ping_number: rng.random(),
            sequence: 0,
            suspicion_number: 0,
            is_admitted,
            remembered_until_ms: now_ms + RETENTION_MS,
            members_changed: true,
            reported_settled: false,
            has_left: false,
            last_event_ms: now_ms,
            last_received_ms: now_ms,
            last_comparison_ms: now_ms,
            last_unconfirmed_ms: f64::MIN,
            last_gossip_ms: now_ms - GOSSIP_INTERVAL_MS * phase,
            next_poll_ms: now_ms,
            next_expiry_ms: now_ms + EXPIRY_INTERVAL_MS * phase,
            counters: Counters::default(),
            rng,
            config,
        };
        view.table.merge(&view.own.clone(), now_ms);
        view.refresh(now_ms, &mut Vec::new());
        view
    }

    /// Its configuration.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Counts since the start.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// What this front announces of itself.
    pub fn own(&self) -> &Fact {
        &self.own
    }

    /// All fronts in the view, itself included, by id.
    pub fn members(&self, now_ms: f64) -> Vec<MemberStatus> {
        let status = |(id, member): (Id, &Member)| {
            let suspecting = self.detector.suspected_by(id, member.fact.process_id, now_ms);
            MemberStatus {
                fact: member.fact.clone(),
                since_ms: member.since_ms,
                suspected_by: suspecting.iter().map(|by| self.name(*by)).collect(),
            }
        };
        self.table.iter().map(status).collect()
    }

    /// Addresses of the other live members.
    pub fn peers(&self) -> Vec<SocketAddr> {
        self.live_peers().map(|(_, m)| m.fact.addr).collect()
    }

    /// Names and gossip addresses of the other live members that gossip.
    pub fn gossip_peers(&self) -> Vec<PeerAddress> {
        self.live_peers()
            .filter_map(|(_, m)| Some(PeerAddress { name: m.fact.name.clone(), addr: m.fact.gossip? }))
            .collect()
    }

    /// The view's digest: equal for all who hold the same view.
    pub fn digest(&self) -> u64 {
        self.table.digest()
    }

    /// Since when all live members are known to hold this view, in milliseconds; `None` where some are not, or where this
    /// front has reason to doubt it: it is cut off, or suspects a member.
    pub fn settled_since(&self, now_ms: f64) -> Option<f64> {
        // A front that is not admitted yet holds a view of itself alone, and the others may hold another one.
        let is_in_doubt = !self.is_admitted || self.detector.suspected().next().is_some();
        let is_cut_off = self.table.live_count() > 1 && now_ms - self.last_received_ms > CUT_OFF_AFTER_MS;
        self.settlement.settled_since().filter(|_| !is_in_doubt && !is_cut_off && self.duplicate.is_none())
    }

    /// Names of the live members that are not known to hold this view; before any has answered, of those that this front
    /// knew when it last ran.
    pub fn missing(&self) -> Vec<String> {
        if !self.is_admitted {
            return self.config.remembered.iter().map(|r| r.name.clone()).collect();
        }
        let live = self.table.live().enumerate();
        live.filter(|(i, _)| !self.settlement.is_holder(*i)).map(|(_, (_, m))| m.fact.name.clone()).collect()
    }

    /// The address of another process under this front's name, if there is one.
    pub fn duplicate_addr(&self) -> Option<SocketAddr> {
        self.duplicate.map(|d| d.addr)
    }

    /// The history of a front, oldest entry first.
    pub fn history(&self, name: &str) -> Vec<HistoryEntry> {
        self.history.get(&Id::of(name)).into_iter().flatten().cloned().collect()
    }

    /// When the next [`Event::Tick`] is due, on the host's own clock.
    pub fn wake_at(&self) -> f64 {
        if self.has_left {
            return f64::MAX;
        }
        let deferred = self.deferred.values().map(|d| d.until_ms).fold(f64::MAX, f64::min);
        let gossip = self.gossip_interval_ms().map_or(f64::MAX, |interval| self.last_gossip_ms + interval);
        let rings = self.rings_due_ms.unwrap_or(f64::MAX);
        let own = self.next_poll_ms.min(self.next_expiry_ms);
        self.detector.wake_at().min(rings).min(gossip).min(own).min(deferred)
    }

    /// Handles one event and adds what is to be done to `actions`.
    pub fn handle(&mut self, now: Now, event: Event, actions: &mut Vec<Action>) {
        let now_ms = now.mono_ms;
        // Any event may be the first after a pause. What became due by an event was due then, not before it.
        let late_ms = now_ms - self.wake_at().max(self.last_event_ms);
        if late_ms > LATE_TICK_MS && !self.has_left {
            self.detector.resume(late_ms, now_ms);
        }
        self.last_event_ms = now_ms;
        match event {
            Event::Tick => self.tick(now_ms, actions),
            Event::Datagram { from, bytes } => self.receive_datagram(now_ms, from, &bytes, actions),
            Event::State(state) => {
                if self.own.state != state && !self.has_left {
                    self.own.state = state;
                    self.bump_incarnation(now_ms, actions);
                }
            }
            Event::Configuration(hash) => {
                if self.own.configuration != hash {
                    self.own.configuration = hash;
                    self.bump_incarnation(now_ms, actions);
                }
            }
            Event::Keys(keys) => self.keys = keys,
            Event::Leave => {
                self.own.state = FrontState::Left;
                self.bump_incarnation(now_ms, actions);
                for to in self.random_peers(DEPARTURE_FANOUT) {
                    self.send(now_ms, to, vec![Item::FullFact(self.own.clone())], actions);
                }
                self.has_left = true;
            }
        }
        self.refresh(now_ms, actions);
    }

    fn name(&self, id: Id) -> String {
        self.table.get(id).map_or_else(|| format!("{:016x}", id.0), |m| m.fact.name.clone())
    }

    fn id(&self) -> Id {
        self.own.id()
    }

    /// The other live members.
    fn live_peers(&self) -> impl Iterator<Item = (Id, &Member)> {
        let own = self.id();
        self.table.live().filter(move |(id, _)| *id != own)
    }

    /// After each event: redraws the rings where they are due, and reports whether the view is settled.
    fn refresh(&mut self, now_ms: f64, actions: &mut Vec<Action>) {
        let own = self.id();
        if std::mem::take(&mut self.members_changed) {
            self.live_ids = self.table.live().map(|(id, _)| id).collect();
            self.rings_due_ms = self.rings_due_ms.or(Some(
                now_ms.max(self.rings_drawn_ms + self.live_ids.len() as f64 * RING_REDRAW_MS_PER_MEMBER),
            ));
            let position = self.position(own, self.own.process_id);
            self.settlement.set_view(self.table.digest(), self.live_ids.len(), position, now_ms);
        }
        if self.rings_due_ms.is_some_and(|due| now_ms >= due) {
            (self.rings_due_ms, self.rings_drawn_ms) = (None, now_ms);
            self.rings = Rings::new(&self.live_ids, own, self.config.watchers);
            let process = |id: &Id| {
                self.table.get(*id).map(|m| FrontProcess { id: *id, process_id: m.fact.process_id })
            };
            let subjects: Vec<FrontProcess> = self.rings.subjects().iter().filter_map(process).collect();
            let offset: f64 = self.rng.random();
            self.detector.assign(&subjects, now_ms, offset);
        }
        let settled = self.settled_since(now_ms).is_some();
        if settled != self.reported_settled {
            self.reported_settled = settled;
            actions.push(Action::Settled(settled));
        }
    }

    /// A process's position among the live members; `None` where the view holds another process of its name, or none.
    fn position(&self, id: Id, process_id: u64) -> Option<usize> {
        self.table.get(id).filter(|m| m.fact.process_id == process_id)?;
        self.live_ids.binary_search(&id).ok()
    }
}
