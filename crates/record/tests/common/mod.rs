//! A fleet in memory: records over a network with loss, delay and partitions, on disks that are retained, lost, or an
//! hour old.
#![allow(dead_code, reason = "each test uses a part")]

use fernslip_gossip::{Key, Keyring};
use fernslip_record::rules::{Answer, Command, Operation};
use fernslip_record::texts::Digest;
use fernslip_record::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};

pub type Disk = BTreeMap<StorageKey, StoredValue>;

pub struct Front {
    pub record: Option<Record>,
    pub disk: Disk,
    pub disk_id: u64,
    pub answers: BTreeMap<String, Answer>,
    pub writes_fail: bool,
}

/// A datagram on the network.
#[derive(Clone)]
struct Delivery {
    at_ms: f64,
    to: usize,
    bytes: Vec<u8>,
}

/// A front's progress, for messages of failed assertions.
#[derive(Debug, PartialEq)]
pub struct Progress {
    pub applied_index: u64,
    pub version: u64,
    pub is_voter: bool,
}

pub struct Fleet {
    pub fronts: Vec<Front>,
    pub voters: Vec<String>,
    pub now: f64,
    pub loss: f64,
    /// The network partition of a front, 0 by default: fronts of one don't reach those of another.
    pub partition: BTreeMap<usize, usize>,
    rng: ChaCha8Rng,
    in_flight: Vec<Delivery>,
    /// The chain hash of any front at each (record, index), over the whole run: two would be two records.
    pub chain_hashes: BTreeMap<(u64, u64), u64>,
    /// The text of any front's version by (record, number).
    pub versions: BTreeMap<(u64, u64), Digest>,
    pub sent_bytes: u64,
    seeds: u64,
}

pub fn name(n: usize) -> String {
    format!("f{n}")
}

pub fn keys() -> Keyring {
    Keyring::new(Key::new(1, [9; 32]))
}

impl Fleet {
    pub fn new(fronts: usize, voters: usize, seed: u64) -> Fleet {
        let mut f = Fleet {
            fronts: Vec::new(),
            voters: (0..voters).map(name).collect(),
            now: 0.0,
            loss: 0.0,
            partition: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            in_flight: Vec::new(),
            chain_hashes: BTreeMap::new(),
            versions: BTreeMap::new(),
            sent_bytes: 0,
            seeds: seed * 1000,
        };
        for n in 0..fronts {
            let disk_id = f.rng.random();
            f.fronts.push(Front {
                record: None,
                disk: Disk::new(),
                disk_id,
                answers: BTreeMap::new(),
                writes_fail: false,
            });
            f.start(n);
        }
        f
    }

    pub fn start(&mut self, n: usize) {
        self.seeds += 1;
        let config = Config { name: name(n), disk_id: self.fronts[n].disk_id, voters: self.voters.clone() };
        let record = Record::new(config, keys(), self.fronts[n].disk.clone(), self.seeds, self.now);
        self.fronts[n].record = Some(record);
        self.update_peers();
    }

    pub fn kill(&mut self, n: usize) {
        self.fronts[n].record = None;
        self.update_peers();
    }

    /// The disk is lost, or nothing on it is trusted: the front comes back on an empty one under a new id.
    pub fn lose_disk(&mut self, n: usize) {
        self.fronts[n].disk.clear();
        self.fronts[n].disk_id = self.rng.random();
    }

    fn update_peers(&mut self) {
        let up: Vec<String> =
            (0..self.fronts.len()).filter(|n| self.fronts[*n].record.is_some()).map(name).collect();
        for n in 0..self.fronts.len() {
            self.feed(n, Event::Peers(up.clone()));
        }
    }

    pub fn are_partitioned(&self, a: usize, b: usize) -> bool {
        let partition = |n: usize| self.partition.get(&n).copied().unwrap_or(0);
        partition(a) != partition(b)
    }

    pub fn feed(&mut self, n: usize, event: Event) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            let Some(r) = &mut self.fronts[n].record else { return };
            let mut actions = Vec::new();
            r.handle(self.now, event, &mut actions);
            for a in actions {
                match a {
                    Action::Write(_) if self.fronts[n].writes_fail => {
                        events.push(Event::DiskFailed);
                        break;
                    }
                    Action::Write(writes) => {
                        for Write { key, value } in writes {
                            match value {
                                Some(value) => drop(self.fronts[n].disk.insert(key, value)),
                                None => drop(self.fronts[n].disk.remove(&key)),
                            }
                        }
                    }
                    Action::Send { to, bytes } => {
                        self.sent_bytes += bytes.len() as u64;
                        let to: usize = to[1..].parse().expect("a front's name");
                        if !self.are_partitioned(n, to) && self.rng.random::<f64>() >= self.loss {
                            let delay_ms = self.rng.random_range(1.0..12.0);
                            self.in_flight.push(Delivery { at_ms: self.now + delay_ms, to, bytes });
                        }
                    }
                    Action::Validate { digest, text } => {
                        let error = text.starts_with(b"wrong").then(|| "it is wrong".to_string());
                        events.push(Event::Validated { digest, error });
                    }
                    Action::Answered { key, answer } => {
                        let before = self.fronts[n].answers.insert(key, answer.clone());
                        assert!(before.is_none_or(|b| b == answer), "two answers");
                    }
                    Action::StateChanged => {}
                }
            }
            self.check_invariants(n);
        }
    }

    /// What must hold at every moment: one record, and one meaning of each version.
    fn check_invariants(&mut self, n: usize) {
        let Some(record) = &self.fronts[n].record else { return };
        let RecordState { record_id, applied_index, chain_hash, rules, .. } = record.state();
        if *record_id == 0 {
            return;
        }
        let known = *self.chain_hashes.entry((*record_id, *applied_index)).or_insert(*chain_hash);
        assert_eq!(known, *chain_hash, "front {n}: two records at {applied_index} of {record_id:x}");
        for v in rules.versions() {
            let known = *self.versions.entry((*record_id, v.number)).or_insert(v.digest);
            assert_eq!(known, v.digest, "version {} means two things", v.number);
        }
    }

    pub fn run(&mut self, ms: f64) {
        let end = self.now + ms;
        while self.now < end {
            self.now += 5.0;
            let now = self.now;
            let (mut due, in_flight): (Vec<Delivery>, Vec<Delivery>) =
                std::mem::take(&mut self.in_flight).into_iter().partition(|d| d.at_ms <= now);
            self.in_flight = in_flight;
            due.sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms));
            for Delivery { to, bytes, .. } in due {
                self.feed(to, Event::Datagram(bytes));
            }
            for n in 0..self.fronts.len() {
                if self.fronts[n].record.as_ref().is_some_and(|r| r.wake_at() <= now) {
                    self.feed(n, Event::Tick);
                }
            }
        }
    }

    /// Runs until a condition holds; how long it took, in milliseconds.
    pub fn run_until(&mut self, max_ms: f64, what: &str, condition: impl Fn(&Fleet) -> bool) -> f64 {
        let start = self.now;
        while !condition(self) {
            assert!(self.now - start < max_ms, "not within {max_ms} ms: {what}; {:?}", self.progress());
            self.run(5.0);
        }
        self.now - start
    }

    /// The fronts that run.
    pub fn running(&self) -> impl Iterator<Item = &Record> {
        self.fronts.iter().filter_map(|f| f.record.as_ref())
    }

    pub fn progress(&self) -> Vec<Progress> {
        let progress = |r: &Record| Progress {
            applied_index: r.state().applied_index,
            version: r.state().rules.current(),
            is_voter: r.is_voter(),
        };
        self.running().map(progress).collect()
    }

    pub fn leader(&self) -> Option<usize> {
        (0..self.fronts.len()).find(|n| self.fronts[*n].record.as_ref().is_some_and(Record::is_leader))
    }

    /// Whether that version is current on all fronts that run, and its text is there.
    pub fn all_at(&self, version: u64) -> bool {
        let is_at =
            |r: &Record| r.state().rules.current() == version && (version == 0 || r.text(version).is_some());
        self.running().all(is_at)
    }

    pub fn command(&self, key: &str, operation: Operation) -> Command {
        let (author, reason) = ("ops".into(), "a test".into());
        Command { key: key.into(), author, reason, at_unix_ms: 1, operation }
    }

    pub fn edit(&mut self, n: usize, key: &str, base: u64, text: &str) {
        let operation =
            Operation::Edit { base, digest: Digest::of(text.as_bytes()), bytes: text.len() as u32 };
        let command = self.command(key, operation);
        self.feed(n, Event::Propose { command, text: Some(text.as_bytes().to_vec()) });
    }

    pub fn undo(&mut self, n: usize, key: &str, base: u64, to: u64, acknowledged: &[u64]) {
        let acknowledged = acknowledged.to_vec();
        let command = self.command(key, Operation::Undo { base, to, acknowledged });
        self.feed(n, Event::Propose { command, text: None });
    }

    pub fn answer(&self, n: usize, key: &str) -> Option<&Answer> {
        self.fronts[n].answers.get(key)
    }

    /// A fleet whose record is bootstrapped and has a leader.
    pub fn bootstrapped(fronts: usize, voters: usize, seed: u64) -> Fleet {
        let mut f = Fleet::new(fronts, voters, seed);
        f.run_until(8_000.0, "bootstrapped and led", |f| {
            f.leader().is_some() && f.running().all(|r| r.state().record_id != 0)
        });
        f
    }

    pub fn random(&mut self, below: usize) -> usize {
        self.rng.random_range(0..below)
    }

    pub fn chance(&mut self, p: f64) -> bool {
        self.rng.random::<f64>() < p
    }

    pub fn record_ids(&self) -> BTreeSet<u64> {
        self.running().map(|r| r.state().record_id).collect()
    }
}
