//! One front's part in the record as a state machine: events and the time in, actions out.
//!
//! What it does is in files by concern: `bootstrapping` (how a record begins, and how a voter without its disk comes
//! back), `proposing` (commands until they are committed), `applying` (the voter's steps and committed entries),
//! `replicating` (how entries, snapshots and texts reach all fronts) and `messaging` (datagrams).

mod applying;
mod bootstrapping;
mod messaging;
mod proposing;
mod replicating;

use crate::bootstrap::Bootstrap;
use crate::events::{Action, Config, Counts, Event};
use crate::proposals::Proposals;
use crate::replication::Replication;
use crate::state::{LogEntry, RecordState};
use crate::storage::{StorageKey, StoredValue};
use crate::texts::TextStore;
use crate::voter::{RestoredVoter, Voter};
use fernslip_gossip::Keyring;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, VecDeque};

/// Between two ticks of the voters, in milliseconds.
const TICK_MS: f64 = 100.0;

/// One front's part in the record.
pub struct Record {
    config: Config,
    keys: Keyring,
    rng: ChaCha8Rng,
    state: RecordState,
    /// `None`: a follower that does not vote (a learner).
    voter: Option<Voter>,
    /// The last applied entries, for followers that are a little behind.
    recent_entries: VecDeque<LogEntry>,
    texts: TextStore,
    bootstrap: Bootstrap,
    proposals: Proposals,
    replication: Replication,
    counts: Counts,
    next_tick_ms: f64,
    disk_failed: bool,
}

impl Record {
    /// A front with what was found on its disk; nothing, where that is empty or not trusted. `seed` seeds its random
    /// choices; `now_ms` is the caller's clock.
    pub fn new(
        config: Config,
        keys: Keyring,
        stored: BTreeMap<StorageKey, StoredValue>,
        seed: u64,
        now_ms: f64,
    ) -> Record {
        let mut texts = TextStore::default();
        for value in stored.values() {
            if let StoredValue::Text(text) = value {
                texts.insert(text.clone());
            }
        }
        let mut record = Record {
            rng: ChaCha8Rng::seed_from_u64(seed),
            state: RecordState::default(),
            voter: None,
            recent_entries: VecDeque::new(),
            texts,
            bootstrap: Bootstrap::default(),
            proposals: Proposals::default(),
            replication: Replication::new(now_ms),
            counts: Counts::default(),
            next_tick_ms: now_ms + TICK_MS,
            disk_failed: false,
            config,
            keys,
        };
        if let Some(StoredValue::Snapshot { state, .. }) = stored.get(&StorageKey::Snapshot) {
            record.state = RecordState::from_bytes(state).unwrap_or_default();
        }
        let own_id = record.config.voter_id();
        // A disk makes a voter if it has a hard state, or a snapshot that names it as one.
        if stored.contains_key(&StorageKey::HardState) || record.state.voters.contains_key(&own_id) {
            let restored = Voter::restore(own_id, record.extra_election_ticks(), &stored);
            if let Some(RestoredVoter { voter, state }) = restored {
                (record.voter, record.state) = (Some(voter), state);
            }
        }
        record
    }

    /// What this voter's election timeout has above the shortest one: two ticks by its position among the voters.
    fn extra_election_ticks(&self) -> usize {
        let position = self.config.voters.iter().position(|v| *v == self.config.name).unwrap_or(0);
        2 * position
    }

    /// The replicated state, as far as it is applied here.
    pub fn state(&self) -> &RecordState {
        &self.state
    }

    /// The text of a version, if it is here.
    pub fn text(&self, version: u64) -> Option<&[u8]> {
        self.texts.get(&self.state.rules.version(version)?.digest)
    }

    /// Whether this front votes; otherwise it only follows.
    pub fn is_voter(&self) -> bool {
        self.voter.is_some()
    }

    /// Whether it is the leader, as far as it knows.
    pub fn is_leader(&self) -> bool {
        self.voter.as_ref().is_some_and(Voter::is_leader)
    }

    /// The name of the leader's front, as far as it is known.
    pub fn leader(&self) -> Option<&str> {
        let id = self.voter.as_ref()?.leader()?;
        self.state.voters.get(&id).map(String::as_str)
    }

    /// Whether a write has failed here.
    pub fn has_failed_disk(&self) -> bool {
        self.disk_failed
    }

    /// What it has sent and dropped.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// The version that each other front serves by, as it last reported.
    pub fn peer_serving_versions(&self) -> impl Iterator<Item = (&str, u64)> {
        self.replication.peer_status.iter().map(|(name, status)| (name.as_str(), status.serving_version))
    }

    /// The version that this front serves by, as its last [`Event::Serving`] had it.
    pub fn serving_version(&self) -> u64 {
        self.replication.serving_version
    }

    /// Why this front can't use a text, where it was validated here and found invalid.
    pub fn validation_error(&self, digest: &crate::texts::Digest) -> Option<&str> {
        self.proposals.validated.get(digest)?.as_deref()
    }

    /// When the next [`Event::Tick`] is due, in milliseconds on the caller's clock.
    pub fn wake_at(&self) -> f64 {
        self.next_tick_ms
    }

    /// Takes one event at the time `now_ms` and adds what is to be done to `actions`.
    pub fn handle(&mut self, now_ms: f64, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Tick => self.tick(now_ms, actions),
            Event::Datagram(bytes) => self.on_datagram(now_ms, &bytes, actions),
            Event::Peers(names) => {
                let own_name = &self.config.name;
                self.replication.peers = names.into_iter().filter(|name| name != own_name).collect();
            }
            Event::Propose { command, text } => self.propose(now_ms, command, text, actions),
            Event::Abandoned(key) => drop(self.proposals.remove_local(&key)),
            Event::Validated { digest, error } => self.on_validated(digest, error, actions),
            Event::Serving(version) => self.set_serving_version(version, actions),
            Event::DiskFailed => {
                self.disk_failed = true;
                self.voter = None;
            }
        }
        self.advance_voter(now_ms, actions);
    }

    fn tick(&mut self, now_ms: f64, actions: &mut Vec<Action>) {
        if now_ms < self.next_tick_ms {
            return;
        }
        // A front that did not run for long does not make up for it: its voter's ticks are then late, not doubled.
        self.next_tick_ms = (self.next_tick_ms + TICK_MS).max(now_ms);
        if let Some(voter) = &mut self.voter {
            voter.tick();
        }
        self.bootstrap_tick(now_ms, actions);
        self.proposals_tick(now_ms, actions);
        self.replication_tick(now_ms, actions);
    }
}
