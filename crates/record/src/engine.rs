//! One front's part in the record as a state machine: it takes events and the time and returns actions.
//!
//! The steps are split into files: `bootstrapping` (starts a record and readmits a voter that lost its
//! disk), `proposing` (commands until they are committed), `applying` (the voter's steps and committed
//! entries), `replicating` (how entries, snapshots and texts reach all fronts) and `messaging` (datagrams).

mod applying;
mod bootstrapping;
mod messaging;
mod proposing;
mod replicating;

use crate::bootstrap::BootstrapState;
use crate::events::{Action, Config, DatagramCounts, Event};
use crate::proposals::Proposals;
use crate::replication::ReplicationState;
use crate::state::{LogEntry, RecordState};
use crate::storage::{StorageKey, StoredValue};
use crate::texts::TextStore;
use crate::voter::{RestoredVoter, Voter};
use fernslip_gossip::Keyring;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, VecDeque};

/// Interval between two ticks of the Raft timers, in milliseconds.
const TICK_INTERVAL_MS: f64 = 100.0;

/// One front's replica of the record, as a state machine without sockets, threads, clocks or disks.
pub struct Record {
    config: Config,
    keys: Keyring,
    rng: ChaCha8Rng,
    state: RecordState,
    /// The Raft voter of this front; `None` for a follower, which does not vote (a Raft learner).
    voter: Option<Voter>,
    /// The last applied log entries, for followers that are a few entries behind.
    recent_entries: VecDeque<LogEntry>,
    texts: TextStore,
    bootstrap: BootstrapState,
    proposals: Proposals,
    replication: ReplicationState,
    counts: DatagramCounts,
    next_tick_ms: f64,
    disk_failed: bool,
}

impl Record {
    /// Creates a front's replica from what was found on its disk; `stored` is empty where the disk is empty
    /// or not trusted. `seed` seeds the random choices; `now_ms` is the time in milliseconds on the caller's
    /// clock.
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
            bootstrap: BootstrapState::default(),
            proposals: Proposals::default(),
            replication: ReplicationState::new(now_ms),
            counts: DatagramCounts::default(),
            next_tick_ms: now_ms + TICK_INTERVAL_MS,
            disk_failed: false,
            config,
            keys,
        };
        if let Some(StoredValue::Snapshot { state, .. }) = stored.get(&StorageKey::Snapshot) {
            record.state = RecordState::from_bytes(state).unwrap_or_default();
        }
        let own_id = record.config.voter_id();
        // A disk belongs to a voter if it holds a hard state, or a snapshot that lists this disk's id as a
        // voter.
        if stored.contains_key(&StorageKey::HardState) || record.state.voters.contains_key(&own_id) {
            let restored = Voter::restore(own_id, record.extra_election_ticks(), &stored);
            if let Some(RestoredVoter { voter, state }) = restored {
                (record.voter, record.state) = (Some(voter), state);
            }
        }
        record
    }

    /// Ticks by which this voter's election timeout exceeds the shortest one: two for each voter configured
    /// before it.
    fn extra_election_ticks(&self) -> usize {
        let position = self.config.voters.iter().position(|v| *v == self.config.name).unwrap_or(0);
        2 * position
    }

    /// The replicated state after the log entries applied at this front so far.
    pub fn state(&self) -> &RecordState {
        &self.state
    }

    /// The rules text of a version; `None` if the version is unknown or its text has not been received.
    pub fn version_text(&self, version: u64) -> Option<&[u8]> {
        self.texts.get(&self.state.rules.version(version)?.digest)
    }

    /// Whether this front is a Raft voter at present; otherwise it is a follower.
    pub fn is_voter(&self) -> bool {
        self.voter.is_some()
    }

    /// Whether this front believes itself to be the Raft leader.
    pub fn is_leader(&self) -> bool {
        self.voter.as_ref().is_some_and(Voter::is_leader)
    }

    /// Name of the leader's front; `None` if the leader is unknown or this front is not a voter.
    pub fn leader(&self) -> Option<&str> {
        let id = self.voter.as_ref()?.leader()?;
        self.state.voters.get(&id).map(String::as_str)
    }

    /// Whether [`Event::DiskFailed`] was reported to this front.
    pub fn has_failed_disk(&self) -> bool {
        self.disk_failed
    }

    /// Counts of the datagrams that this front has sent and dropped.
    pub fn datagram_counts(&self) -> &DatagramCounts {
        &self.counts
    }

    /// The rules version that each other front last reported to serve by, with the front's name.
    pub fn peer_serving_versions(&self) -> impl Iterator<Item = (&str, u64)> {
        self.replication.peer_status.iter().map(|(name, status)| (name.as_str(), status.serving_version))
    }

    /// The rules version of this front's last [`Event::Serving`]; 0 before the first.
    pub fn serving_version(&self) -> u64 {
        self.replication.serving_version
    }

    /// Why this front found a text invalid; `None` if the text is valid or was not validated here.
    pub fn validation_error(&self, digest: &crate::texts::Digest) -> Option<&str> {
        self.proposals.validated.get(digest)?.as_deref()
    }

    /// Time at which the next [`Event::Tick`] is due, in milliseconds on the caller's clock.
    pub fn next_tick_at_ms(&self) -> f64 {
        self.next_tick_ms
    }

    /// Processes one event at the time `now_ms` and appends the resulting actions to `actions`.
    pub fn handle_event(&mut self, now_ms: f64, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Tick => self.tick(now_ms, actions),
            Event::Datagram(bytes) => self.on_datagram(now_ms, &bytes, actions),
            Event::Peers(names) => {
                let own_name = &self.config.name;
                self.replication.peers = names.into_iter().filter(|name| name != own_name).collect();
            }
            Event::Propose { command, text } => self.propose_local(now_ms, command, text, actions),
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
        // After a long pause the missed ticks are not made up for: Raft timeouts then expire late, not in a
        // burst.
        self.next_tick_ms = (self.next_tick_ms + TICK_INTERVAL_MS).max(now_ms);
        if let Some(voter) = &mut self.voter {
            voter.tick();
        }
        self.tick_bootstrap(now_ms, actions);
        self.tick_proposals(now_ms, actions);
        self.tick_replication(now_ms, actions);
    }
}
