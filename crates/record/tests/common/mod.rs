//! A fleet in memory: records over a network that loses, delays and is cut, on disks that are kept, lost, or an hour old.
#![allow(dead_code)]

use fernslip_gossip::{Key, Keyring};
use fernslip_record::rules::{Answer, Ask, Command, Digest};
use fernslip_record::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};

pub type Disk = BTreeMap<Place, Saved>;

pub struct Front {
    pub record: Option<Record>,
    pub disk: Disk,
    pub disk_id: u64,
    pub answers: BTreeMap<String, Answer>,
    pub writes_fail: bool,
}

pub struct Fleet {
    pub fronts: Vec<Front>,
    pub voters: Vec<String>,
    pub now: f64,
    pub loss: f64,
    /// Fronts of one side don't reach those of another.
    pub side: BTreeMap<usize, usize>,
    rng: ChaCha8Rng,
    under_way: Vec<(f64, usize, Vec<u8>)>,
    /// Every chain that a front held at a command, over the whole run: two would be two records.
    pub chains: BTreeMap<(u64, u64), u64>,
    /// Versions that a front held as current, by number, and their texts' digests.
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
            side: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            under_way: Vec::new(),
            chains: BTreeMap::new(),
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
        let config = Config { name: name(n), disk: self.fronts[n].disk_id, voters: self.voters.clone() };
        let r = Record::new(config, keys(), self.fronts[n].disk.clone(), self.seeds, self.now);
        self.fronts[n].record = Some(r);
        self.tell_peers();
    }

    pub fn kill(&mut self, n: usize) {
        self.fronts[n].record = None;
        self.tell_peers();
    }

    /// The disk is gone, or nothing on it is believed: the front comes back on an empty one under a new id.
    pub fn lose_disk(&mut self, n: usize) {
        self.fronts[n].disk.clear();
        self.fronts[n].disk_id = self.rng.random();
    }

    fn tell_peers(&mut self) {
        let up: Vec<String> =
            (0..self.fronts.len()).filter(|n| self.fronts[*n].record.is_some()).map(name).collect();
        for n in 0..self.fronts.len() {
            self.feed(n, Event::Peers(up.clone()));
        }
    }

    pub fn cut(&mut self, a: usize, b: usize) -> bool {
        let side = |n: &usize| self.side.get(n).copied().unwrap_or(0);
        side(&a) != side(&b)
    }

    pub fn feed(&mut self, n: usize, event: Event) {
        let mut todo = vec![event];
        while let Some(event) = todo.pop() {
            let Some(r) = &mut self.fronts[n].record else { return };
            let mut actions = Vec::new();
            r.handle(self.now, event, &mut actions);
            for a in actions {
                match a {
                    Action::Write(_) if self.fronts[n].writes_fail => {
                        todo.push(Event::DiskFailed);
                        break;
                    }
                    Action::Write(writes) => {
                        for (place, saved) in writes {
                            match saved {
                                Some(s) => drop(self.fronts[n].disk.insert(place, s)),
                                None => drop(self.fronts[n].disk.remove(&place)),
                            }
                        }
                    }
                    Action::Send { to, bytes } => {
                        self.sent_bytes += bytes.len() as u64;
                        let to: usize = to[1..].parse().expect("a name");
                        if !self.cut(n, to) && self.rng.random::<f64>() >= self.loss {
                            let wait = self.rng.random_range(1.0..12.0);
                            self.under_way.push((self.now + wait, to, bytes));
                        }
                    }
                    Action::Check { digest, text } => {
                        let wrong = text.starts_with(b"wrong").then(|| "it is wrong".to_string());
                        todo.push(Event::Checked { digest, wrong });
                    }
                    Action::Answered { key, answer } => {
                        let before = self.fronts[n].answers.insert(key, answer.clone());
                        assert!(before.is_none_or(|b| b == answer), "two answers");
                    }
                    Action::Changed => {}
                }
            }
            self.look(n);
        }
    }

    /// What must hold at every moment: one record, and one meaning of each version.
    fn look(&mut self, n: usize) {
        let Some(r) = &self.fronts[n].record else { return };
        let a = r.agreed();
        if a.birth == 0 {
            return;
        }
        let chain = *self.chains.entry((a.birth, a.index)).or_insert(a.chain);
        assert_eq!(chain, a.chain, "front {n}: two records at {} of {:x}", a.index, a.birth);
        for v in a.rules.versions() {
            let held = *self.versions.entry((a.birth, v.number)).or_insert(v.digest);
            assert_eq!(held, v.digest, "version {} means two things", v.number);
        }
    }

    pub fn run(&mut self, ms: f64) {
        let end = self.now + ms;
        while self.now < end {
            self.now += 5.0;
            let mut due: Vec<(f64, usize, Vec<u8>)> = Vec::new();
            let now = self.now;
            self.under_way.retain(|m| {
                let is_due = m.0 <= now;
                if is_due {
                    due.push(m.clone());
                }
                !is_due
            });
            due.sort_by(|a, b| a.0.total_cmp(&b.0));
            for (_, to, bytes) in due {
                self.feed(to, Event::Datagram(bytes));
            }
            for n in 0..self.fronts.len() {
                if self.fronts[n].record.as_ref().is_some_and(|r| r.wake_at() <= now) {
                    self.feed(n, Event::Tick);
                }
            }
        }
    }

    /// Runs until that holds; how long it took.
    pub fn until(&mut self, most_ms: f64, what: &str, holds: impl Fn(&Fleet) -> bool) -> f64 {
        let begun = self.now;
        while !holds(self) {
            assert!(self.now - begun < most_ms, "not within {most_ms} ms: {what}; {:?}", self.indices());
            self.run(5.0);
        }
        self.now - begun
    }

    pub fn up(&self) -> impl Iterator<Item = &Record> {
        self.fronts.iter().filter_map(|f| f.record.as_ref())
    }

    pub fn indices(&self) -> Vec<(u64, u64, bool)> {
        self.up().map(|r| (r.agreed().index, r.agreed().rules.current(), r.votes())).collect()
    }

    pub fn leader(&self) -> Option<usize> {
        (0..self.fronts.len()).find(|n| self.fronts[*n].record.as_ref().is_some_and(Record::leads))
    }

    pub fn all_at(&self, version: u64) -> bool {
        let good =
            |r: &Record| r.agreed().rules.current() == version && (version == 0 || r.text(version).is_some());
        self.up().all(good)
    }

    pub fn command(&self, key: &str, ask: Ask) -> Command {
        let (author, reason) = ("ops".into(), "a test".into());
        Command { key: key.into(), author, reason, at_unix_ms: 1, ask }
    }

    pub fn edit(&mut self, n: usize, key: &str, base: u64, text: &str) {
        let ask = Ask::Edit { base, digest: Digest::of(text.as_bytes()), bytes: text.len() as u32 };
        let command = self.command(key, ask);
        self.feed(n, Event::Ask { command, text: Some(text.as_bytes().to_vec()) });
    }

    pub fn undo(&mut self, n: usize, key: &str, base: u64, to: u64, with: &[u64]) {
        let command = self.command(key, Ask::Undo { base, to, with: with.to_vec() });
        self.feed(n, Event::Ask { command, text: None });
    }

    pub fn answered(&self, n: usize, key: &str) -> Option<&Answer> {
        self.fronts[n].answers.get(key)
    }

    pub fn founded(fronts: usize, voters: usize, seed: u64) -> Fleet {
        let mut f = Fleet::new(fronts, voters, seed);
        f.until(8_000.0, "founded and led", |f| {
            f.leader().is_some() && f.up().all(|r| r.agreed().birth != 0)
        });
        f
    }

    pub fn random(&mut self, below: usize) -> usize {
        self.rng.random_range(0..below)
    }

    pub fn chance(&mut self, p: f64) -> bool {
        self.rng.random::<f64>() < p
    }

    pub fn births(&self) -> BTreeSet<u64> {
        self.up().map(|r| r.agreed().birth).collect()
    }
}
