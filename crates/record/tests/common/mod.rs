//! A simulated fleet in memory: records over a network with loss, delay and partitions, on disks that are
//! preserved, lost, or restored from an old copy.
#![allow(dead_code, reason = "each test file uses only some of these items")]

use fernslip_gossip::{Key, Keyring};
use fernslip_record::rules::{Answer, Command, Operation};
use fernslip_record::texts::Digest;
use fernslip_record::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};

/// The keys and values that a simulated front has written.
pub type DiskContents = BTreeMap<StorageKey, StoredValue>;

/// A front with its disk and the answers that it has received; `record` is `None` while the front is
/// stopped.
pub struct SimulatedFront {
    pub record: Option<Record>,
    pub disk: DiskContents,
    pub disk_id: u64,
    pub answers: BTreeMap<String, Answer>,
    pub writes_fail: bool,
}

/// A datagram on the simulated network.
#[derive(Clone)]
struct InFlightDatagram {
    at_ms: f64,
    to: usize,
    bytes: Vec<u8>,
}

/// The progress of a front in the log, printed by failed assertions.
#[derive(Debug, PartialEq)]
pub struct FrontProgress {
    pub applied_index: u64,
    pub version: u64,
    pub is_voter: bool,
}

/// Simulated fronts, the network between them and the invariants observed during the run.
pub struct Fleet {
    pub fronts: Vec<SimulatedFront>,
    pub voters: Vec<String>,
    pub now: f64,
    pub loss: f64,
    /// Network partition of each front by its index, 0 if absent; fronts of different partitions can't reach
    /// each other.
    pub partition: BTreeMap<usize, usize>,
    rng: ChaCha8Rng,
    in_flight: Vec<InFlightDatagram>,
    /// Chain hashes seen on any front during the whole run, by record and log index; two hashes at one index
    /// mean that two different entries were committed.
    pub chain_hashes: BTreeMap<(u64, u64), u64>,
    /// Text digests seen on any front during the whole run, by record and version number.
    pub versions: BTreeMap<(u64, u64), Digest>,
    pub sent_bytes: u64,
    next_seed: u64,
}

pub fn front_name(front: usize) -> String {
    format!("f{front}")
}

pub fn test_keyring() -> Keyring {
    Keyring::new(Key::new(1, [9; 32]))
}

impl Fleet {
    pub fn new(fronts: usize, voters: usize, seed: u64) -> Fleet {
        let mut f = Fleet {
            fronts: Vec::new(),
            voters: (0..voters).map(front_name).collect(),
            now: 0.0,
            loss: 0.0,
            partition: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            in_flight: Vec::new(),
            chain_hashes: BTreeMap::new(),
            versions: BTreeMap::new(),
            sent_bytes: 0,
            next_seed: seed * 1000,
        };
        for n in 0..fronts {
            let disk_id = f.rng.random();
            f.fronts.push(SimulatedFront {
                record: None,
                disk: DiskContents::new(),
                disk_id,
                answers: BTreeMap::new(),
                writes_fail: false,
            });
            f.start_front(n);
        }
        f
    }

    /// Starts a front on the present contents of its disk.
    pub fn start_front(&mut self, front: usize) {
        self.next_seed += 1;
        let config = Config {
            name: front_name(front),
            disk_id: self.fronts[front].disk_id,
            voters: self.voters.clone(),
        };
        let record =
            Record::new(config, test_keyring(), self.fronts[front].disk.clone(), self.next_seed, self.now);
        self.fronts[front].record = Some(record);
        self.update_peers();
    }

    /// Stops a front at once, as a crash does; its disk is preserved.
    pub fn stop_front(&mut self, front: usize) {
        self.fronts[front].record = None;
        self.update_peers();
    }

    /// Empties a front's disk and gives it a new id, as if the disk was lost or nothing on it is trusted.
    pub fn lose_disk(&mut self, front: usize) {
        self.fronts[front].disk.clear();
        self.fronts[front].disk_id = self.rng.random();
    }

    fn update_peers(&mut self) {
        let up: Vec<String> =
            (0..self.fronts.len()).filter(|n| self.fronts[*n].record.is_some()).map(front_name).collect();
        for n in 0..self.fronts.len() {
            self.deliver_event(n, Event::Peers(up.clone()));
        }
    }

    pub fn are_partitioned(&self, first: usize, second: usize) -> bool {
        let partition = |n: usize| self.partition.get(&n).copied().unwrap_or(0);
        partition(first) != partition(second)
    }

    /// Feeds an event to a front and carries out the resulting actions.
    pub fn deliver_event(&mut self, front: usize, event: Event) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            let Some(r) = &mut self.fronts[front].record else { return };
            let mut actions = Vec::new();
            r.handle_event(self.now, event, &mut actions);
            for a in actions {
                match a {
                    Action::Write(_) if self.fronts[front].writes_fail => {
                        events.push(Event::DiskFailed);
                        break;
                    }
                    Action::Write(writes) => {
                        for Write { key, value } in writes {
                            match value {
                                Some(value) => drop(self.fronts[front].disk.insert(key, value)),
                                None => drop(self.fronts[front].disk.remove(&key)),
                            }
                        }
                    }
                    Action::Send { to, bytes } => {
                        self.sent_bytes += bytes.len() as u64;
                        let to: usize =
                            to[1..].parse().expect("the receiver's name is `f` followed by its index");
                        if !self.are_partitioned(front, to) && self.rng.random::<f64>() >= self.loss {
                            let delay_ms = self.rng.random_range(1.0..12.0);
                            self.in_flight.push(InFlightDatagram { at_ms: self.now + delay_ms, to, bytes });
                        }
                    }
                    Action::Validate { digest, text } => {
                        let error =
                            text.starts_with(b"wrong").then(|| "the text begins with `wrong`".to_string());
                        events.push(Event::Validated { digest, error });
                    }
                    Action::Answered { key, answer } => {
                        let before = self.fronts[front].answers.insert(key, answer.clone());
                        assert!(
                            before.is_none_or(|b| b == answer),
                            "a command must not get two different answers"
                        );
                    }
                    Action::StateChanged => {}
                }
            }
            self.check_invariants(front);
        }
    }

    /// Asserts what must hold at every moment: all fronts follow one log, and a version has the same text at
    /// all fronts.
    fn check_invariants(&mut self, front: usize) {
        let Some(record) = &self.fronts[front].record else { return };
        let RecordState { record_id, applied_index, chain_hash, rules, .. } = record.state();
        if *record_id == 0 {
            return;
        }
        let known = *self.chain_hashes.entry((*record_id, *applied_index)).or_insert(*chain_hash);
        assert_eq!(
            known, *chain_hash,
            "front {front} has a different chain hash from the other fronts at index {applied_index}, \
             record {record_id:x}"
        );
        for v in rules.versions() {
            let known = *self.versions.entry((*record_id, v.number)).or_insert(v.digest);
            assert_eq!(known, v.digest, "version {} has two different texts", v.number);
        }
    }

    /// Runs the simulation for `ms` milliseconds, in steps of 5 ms.
    pub fn run_for(&mut self, ms: f64) {
        let end = self.now + ms;
        while self.now < end {
            self.now += 5.0;
            let now = self.now;
            let (mut due, in_flight): (Vec<InFlightDatagram>, Vec<InFlightDatagram>) =
                std::mem::take(&mut self.in_flight).into_iter().partition(|d| d.at_ms <= now);
            self.in_flight = in_flight;
            due.sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms));
            for InFlightDatagram { to, bytes, .. } in due {
                self.deliver_event(to, Event::Datagram(bytes));
            }
            for n in 0..self.fronts.len() {
                if self.fronts[n].record.as_ref().is_some_and(|r| r.next_tick_at_ms() <= now) {
                    self.deliver_event(n, Event::Tick);
                }
            }
        }
    }

    /// Runs until a condition holds and returns the time taken in milliseconds; panics after `max_ms`.
    /// `goal` names the condition in the panic text.
    pub fn run_until(&mut self, max_ms: f64, goal: &str, condition: impl Fn(&Fleet) -> bool) -> f64 {
        let start = self.now;
        while !condition(self) {
            assert!(
                self.now - start < max_ms,
                "timed out after {max_ms} ms before {goal}; progress of the fronts: {:?}",
                self.progress()
            );
            self.run_for(5.0);
        }
        self.now - start
    }

    /// The records of the fronts that are running.
    pub fn running_records(&self) -> impl Iterator<Item = &Record> {
        self.fronts.iter().filter_map(|f| f.record.as_ref())
    }

    pub fn progress(&self) -> Vec<FrontProgress> {
        let progress = |r: &Record| FrontProgress {
            applied_index: r.state().applied_index,
            version: r.state().rules.current(),
            is_voter: r.is_voter(),
        };
        self.running_records().map(progress).collect()
    }

    pub fn leader_index(&self) -> Option<usize> {
        (0..self.fronts.len()).find(|n| self.fronts[*n].record.as_ref().is_some_and(Record::is_leader))
    }

    /// Whether `version` is current on all running fronts and its text has arrived there.
    pub fn all_have_version(&self, version: u64) -> bool {
        let is_at = |r: &Record| {
            r.state().rules.current() == version && (version == 0 || r.version_text(version).is_some())
        };
        self.running_records().all(is_at)
    }

    pub fn new_command(&self, key: &str, operation: Operation) -> Command {
        let (author, reason) = ("ops".into(), "a test".into());
        Command { key: key.into(), author, reason, at_unix_ms: 1, operation }
    }

    pub fn propose_edit(&mut self, front: usize, key: &str, base: u64, text: &str) {
        let operation =
            Operation::Edit { base, digest: Digest::of(text.as_bytes()), bytes: text.len() as u32 };
        let command = self.new_command(key, operation);
        self.deliver_event(front, Event::Propose { command, text: Some(text.as_bytes().to_vec()) });
    }

    pub fn propose_undo(&mut self, front: usize, key: &str, base: u64, to: u64, acknowledged: &[u64]) {
        let acknowledged = acknowledged.to_vec();
        let command = self.new_command(key, Operation::Undo { base, to, acknowledged });
        self.deliver_event(front, Event::Propose { command, text: None });
    }

    pub fn answer_at(&self, front: usize, key: &str) -> Option<&Answer> {
        self.fronts[front].answers.get(key)
    }

    /// A fleet whose record is bootstrapped at all fronts and has a leader.
    pub fn new_bootstrapped(fronts: usize, voters: usize, seed: u64) -> Fleet {
        let mut f = Fleet::new(fronts, voters, seed);
        f.run_until(8_000.0, "the record was bootstrapped and had a leader", |f| {
            f.leader_index().is_some() && f.running_records().all(|r| r.state().record_id != 0)
        });
        f
    }

    pub fn random_below(&mut self, below: usize) -> usize {
        self.rng.random_range(0..below)
    }

    pub fn random_chance(&mut self, probability: f64) -> bool {
        self.rng.random::<f64>() < probability
    }

    pub fn record_ids(&self) -> BTreeSet<u64> {
        self.running_records().map(|r| r.state().record_id).collect()
    }
}
