//! One front's view of the fleet. It takes events and the time, and returns datagrams to send and changes to
//! report.

use crate::config::{Config, PeerAddress};
use crate::fact::{Fact, FrontProcess, FrontState, Id, Member, MemberTable, MergeOutcome, Rank};
use crate::failure_detector::{AnsweredPing, DueMessage, FailureDetector, Suspicion, Verdict};
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

/// An update about a member that is still to be sent to other fronts.
#[derive(Clone, Copy, Debug)]
struct PendingUpdate {
    /// The number of times that the update was sent.
    sent: u32,
    /// Whether the complete fact is sent, or only its rank.
    full: bool,
}

/// A reported failure that is not applied yet, so that the member concerned can refute it.
struct DeferredFailure {
    rank: Rank,
    from: Id,
    until_ms: f64,
    /// The number of times that the report was gossiped while it was deferred.
    sent: u32,
    /// The time at which the member concerned was last notified, in milliseconds.
    notified_ms: f64,
}

/// An unanswered ping that this front sent on behalf of another one.
struct ForwardedPing {
    origin: SocketAddr,
    /// The ping number under which `origin` expects the answer.
    number: u32,
    sent_ms: f64,
}

/// Another process that runs under this front's name.
#[derive(Clone, Copy)]
struct DuplicateProcess {
    addr: SocketAddr,
    reported_ms: f64,
    last_seen_ms: f64,
}

/// One front's view of the fleet: the known fronts, and whether all live fronts hold the same view.
pub struct View {
    config: Config,
    keys: Keyring,
    rng: ChaCha8Rng,
    own: Fact,
    table: MemberTable,
    rings: Rings,
    rings_built_ms: f64,
    /// The time at which the rings are to be recomputed, in milliseconds; `None` if the members have not
    /// changed.
    rings_due_ms: Option<f64>,
    detector: FailureDetector,
    settlement: Settlement,
    send_budget: TokenBucket,
    /// The ids of the live members, in order. Indices into this list are the positions used in
    /// [`Settlement`].
    live_ids: Vec<Id>,
    updates: BTreeMap<Id, PendingUpdate>,
    deferred: BTreeMap<Id, DeferredFailure>,
    /// Sequence numbers of the messages received from each process, for the rejection of replays.
    replays: ReplayFilter<u64>,
    /// Pings sent on behalf of other fronts, by the number that this front gave them.
    forwarded_pings: BTreeMap<u32, ForwardedPing>,
    history: BTreeMap<Id, VecDeque<HistoryEntry>>,
    duplicate: Option<DuplicateProcess>,
    ping_number: u32,
    sequence: u32,
    suspicion_number: u32,
    /// Whether another front is known to have admitted this one, or this front is the first of the fleet.
    is_admitted: bool,
    /// The time from which the remembered addresses are dropped, in milliseconds: after the same retention as
    /// departed members.
    remembered_until_ms: f64,
    /// Whether the table changed since the last call of [`View::refresh_derived_state`].
    members_changed: bool,
    reported_settled: bool,
    has_left: bool,
    last_event_ms: f64,
    last_received_ms: f64,
    last_gossip_ms: f64,
    /// The time at which a failure was last recorded that not all watchers could confirm, in milliseconds.
    last_unconfirmed_ms: f64,
    last_comparison_ms: f64,
    next_poll_ms: f64,
    next_expiry_ms: f64,
    counters: Counters,
}

impl View {
    /// Creates the view of a front that knows no other front yet. Equal configurations, seeds and events give
    /// equal actions; the seed has to differ from process to process.
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
            rings_built_ms: now_ms,
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
        view.refresh_derived_state(now_ms, &mut Vec::new());
        view
    }

    /// Returns the configuration of this view. Seeds may have been added, and remembered addresses dropped,
    /// since the start.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Returns the counters since the start.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Returns the fact that this front announces about itself.
    pub fn own_fact(&self) -> &Fact {
        &self.own
    }

    /// Returns all fronts in the view, this one and departed ones included, in the order of their ids.
    pub fn members(&self, now_ms: f64) -> Vec<MemberStatus> {
        let status = |(id, member): (Id, &Member)| {
            let suspecting = self.detector.suspecting_watchers(id, member.fact.process_id, now_ms);
            MemberStatus {
                fact: member.fact.clone(),
                since_ms: member.since_ms,
                suspected_by: suspecting.iter().map(|by| self.front_name(*by)).collect(),
            }
        };
        self.table.iter().map(status).collect()
    }

    /// Returns the addresses of the other live members.
    pub fn live_peer_addrs(&self) -> Vec<SocketAddr> {
        self.live_peers().map(|(_, m)| m.fact.addr).collect()
    }

    /// Returns the names and gossip addresses of the other live members that have a gossip address.
    pub fn gossip_peers(&self) -> Vec<PeerAddress> {
        self.live_peers()
            .filter_map(|(_, m)| Some(PeerAddress { name: m.fact.name.clone(), addr: m.fact.gossip? }))
            .collect()
    }

    /// Returns the digest of the view, which is equal for all fronts that hold the same view.
    pub fn digest(&self) -> u64 {
        self.table.digest()
    }

    /// Returns the time since which all live members are known to hold this view, in milliseconds. `None` if
    /// some are not, or if this front has reason to doubt it: it is not admitted, is cut off, suspects a
    /// member or shares its name with another process.
    pub fn settled_since(&self, now_ms: f64) -> Option<f64> {
        // A front that is not admitted yet lists only itself in its view, and the others may hold another
        // view.
        let is_in_doubt = !self.is_admitted || self.detector.suspected_members().next().is_some();
        let is_cut_off = self.table.live_count() > 1 && now_ms - self.last_received_ms > CUT_OFF_AFTER_MS;
        self.settlement.settled_since().filter(|_| !is_in_doubt && !is_cut_off && self.duplicate.is_none())
    }

    /// Returns the names of the live members that are not known to hold this view. Before this front is
    /// admitted, returns the names of the fronts that it knew when it last ran.
    pub fn unsettled_members(&self) -> Vec<String> {
        if !self.is_admitted {
            return self.config.remembered.iter().map(|r| r.name.clone()).collect();
        }
        let live = self.table.live_members().enumerate();
        live.filter(|(i, _)| !self.settlement.is_holder(*i)).map(|(_, (_, m))| m.fact.name.clone()).collect()
    }

    /// Returns the address of another process that runs under this front's name, if there is one.
    pub fn duplicate_addr(&self) -> Option<SocketAddr> {
        self.duplicate.map(|d| d.addr)
    }

    /// Returns the latest history entries of the named front, oldest first.
    pub fn history(&self, name: &str) -> Vec<HistoryEntry> {
        self.history.get(&Id::from_name(name)).into_iter().flatten().cloned().collect()
    }

    /// Returns the time at which the next [`Event::Tick`] is due, by the host's monotonic clock in
    /// milliseconds; `f64::MAX` after this front left.
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

    /// Handles one event and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: Now, event: Event, actions: &mut Vec<Action>) {
        let now_ms = now.mono_ms;
        // Any event may be the first one after a pause of this process. Work that an event makes due counts
        // as due from the time of that event, hence the maximum with the last event.
        let late_ms = now_ms - self.wake_at().max(self.last_event_ms);
        if late_ms > LATE_TICK_MS && !self.has_left {
            self.detector.reset_after_pause(late_ms, now_ms);
        }
        self.last_event_ms = now_ms;
        match event {
            Event::Tick => self.tick(now_ms, actions),
            Event::Datagram { from, bytes } => self.receive_datagram(now_ms, from, &bytes, actions),
            Event::State(state) => {
                if self.own.state != state && !self.has_left {
                    self.own.state = state;
                    self.raise_incarnation(now_ms, actions);
                }
            }
            Event::Configuration(hash) => {
                if self.own.configuration != hash {
                    self.own.configuration = hash;
                    self.raise_incarnation(now_ms, actions);
                }
            }
            Event::Keys(keys) => self.keys = keys,
            Event::Leave => {
                self.own.state = FrontState::Left;
                self.raise_incarnation(now_ms, actions);
                for to in self.random_peers(DEPARTURE_FANOUT) {
                    self.send(now_ms, to, vec![Item::FullFact(self.own.clone())], actions);
                }
                self.has_left = true;
            }
        }
        self.refresh_derived_state(now_ms, actions);
    }

    fn front_name(&self, id: Id) -> String {
        self.table.get(id).map_or_else(|| format!("{:016x}", id.0), |m| m.fact.name.clone())
    }

    fn own_id(&self) -> Id {
        self.own.id()
    }

    /// Iterates over the other live members.
    fn live_peers(&self) -> impl Iterator<Item = (Id, &Member)> {
        let own = self.own_id();
        self.table.live_members().filter(move |(id, _)| *id != own)
    }

    /// Updates what follows from the member table after each event: recomputes the rings if they are due, and
    /// reports whether the view is settled if that changed.
    fn refresh_derived_state(&mut self, now_ms: f64, actions: &mut Vec<Action>) {
        let own = self.own_id();
        if std::mem::take(&mut self.members_changed) {
            self.live_ids = self.table.live_members().map(|(id, _)| id).collect();
            self.rings_due_ms = self.rings_due_ms.or(Some(
                now_ms.max(self.rings_built_ms + self.live_ids.len() as f64 * RING_REBUILD_MS_PER_MEMBER),
            ));
            let position = self.live_position(own, self.own.process_id);
            self.settlement.set_view(self.table.digest(), self.live_ids.len(), position, now_ms);
        }
        if self.rings_due_ms.is_some_and(|due| now_ms >= due) {
            (self.rings_due_ms, self.rings_built_ms) = (None, now_ms);
            self.rings = Rings::new(&self.live_ids, own, self.config.watchers);
            let process = |id: &Id| {
                self.table.get(*id).map(|m| FrontProcess { id: *id, process_id: m.fact.process_id })
            };
            let subjects: Vec<FrontProcess> = self.rings.subjects().iter().filter_map(process).collect();
            let offset: f64 = self.rng.random();
            self.detector.set_subjects(&subjects, now_ms, offset);
        }
        let settled = self.settled_since(now_ms).is_some();
        if settled != self.reported_settled {
            self.reported_settled = settled;
            actions.push(Action::Settled(settled));
        }
    }

    /// Returns the position of a process among the live members; `None` if the view lists another process of
    /// its name, or none.
    fn live_position(&self, id: Id, process_id: u64) -> Option<usize> {
        self.table.get(id).filter(|m| m.fact.process_id == process_id)?;
        self.live_ids.binary_search(&id).ok()
    }
}
