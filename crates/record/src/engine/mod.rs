//! One front's part: events and the time in, what is to be written, sent and told out.

use crate::agreed::{Agreed, Entry, VoterId};
use crate::bootstrap::Bootstrap;
use crate::events::{Action, Config, Counts, Event};
use crate::proposals::Proposals;
use crate::replication::Replication;
use crate::rules::{Answer, Command, Digest, Refusal};
use crate::texts::Texts;
use crate::voter::{read_state_words, Place, Saved, Voter, Writes, KEPT};
use crate::wire::{open, room, seal, size, Item, WireError};
use fernslip_gossip::Keyring;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

mod bootstrapping;
mod proposing;
mod replicating;

/// Between two ticks of the voters, in milliseconds.
pub(crate) const TICK_MS: f64 = 100.0;

/// One front's part.
pub struct Record {
    pub(crate) config: Config,
    keys: Keyring,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) agreed: Agreed,
    pub(crate) voter: Option<Voter>,
    /// Commands that were taken last, for those who are a little behind.
    pub(crate) recent: VecDeque<Entry>,
    pub(crate) texts: Texts,
    pub(crate) bootstrap: Bootstrap,
    pub(crate) proposals: Proposals,
    pub(crate) replication: Replication,
    pub(crate) counts: Counts,
    next_tick: f64,
    disk_failed: bool,
}

impl Record {
    /// A front with what was found on its disk; nothing, where that is empty or not believed.
    pub fn new(
        config: Config,
        keys: Keyring,
        saved: BTreeMap<Place, Saved>,
        seed: u64,
        now_ms: f64,
    ) -> Record {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let mut texts = Texts::default();
        for s in saved.values() {
            if let Saved::Text(t) = s {
                texts.put(t.clone());
            }
        }
        let mut record = Record {
            rng,
            agreed: Agreed::default(),
            voter: None,
            recent: VecDeque::new(),
            texts,
            bootstrap: Bootstrap::default(),
            proposals: Proposals::default(),
            replication: Replication::new(now_ms),
            counts: Counts::default(),
            next_tick: now_ms + TICK_MS,
            disk_failed: false,
            config,
            keys,
        };
        if let Some(Saved::State { agreed, .. }) = saved.get(&Place::State) {
            record.agreed = Agreed::from_bytes(agreed).unwrap_or_default();
        }
        let own = record.config.voter();
        let ours = |a: &Agreed| a.voters.contains_key(&own);
        // A voter by its disk: one that has a log, or is named in the state that it has.
        if saved.contains_key(&Place::Hard) || ours(&record.agreed) {
            if let Some((voter, state)) = Voter::new(own, record.patience(), &saved) {
                (record.voter, record.agreed) = (Some(voter), state);
            }
        }
        record
    }

    /// Ticks that this voter waits longer than others until it offers itself.
    pub(crate) fn patience(&self) -> usize {
        let place = self.config.voters.iter().position(|v| *v == self.config.name).unwrap_or(0);
        2 * place
    }

    /// What is agreed, as far as is known here.
    pub fn agreed(&self) -> &Agreed {
        &self.agreed
    }

    /// The text of a version, where it is held.
    pub fn text(&self, version: u64) -> Option<&[u8]> {
        self.texts.get(&self.agreed.rules.version(version)?.digest)
    }

    /// Whether this front votes.
    pub fn votes(&self) -> bool {
        self.voter.is_some()
    }

    /// Whether it leads, as far as it knows.
    pub fn leads(&self) -> bool {
        self.voter.as_ref().is_some_and(Voter::leads)
    }

    /// The name of the front that leads, as far as is known.
    pub fn leader(&self) -> Option<&str> {
        let id = self.voter.as_ref()?.leader()?;
        self.agreed.voters.get(&id).map(String::as_str)
    }

    /// Whether a write has failed here.
    pub fn has_failed_disk(&self) -> bool {
        self.disk_failed
    }

    /// What was done.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// Which version each other front said last that it serves by.
    pub fn in_force(&self) -> impl Iterator<Item = (&str, u64)> {
        self.replication.said()
    }

    /// The version that this front said it serves by.
    pub fn own_in_force(&self) -> u64 {
        self.replication.in_force
    }

    /// When the next [`Event::Tick`] is due.
    pub fn wake_at(&self) -> f64 {
        self.next_tick
    }

    /// Takes one event and adds what is to be done to `actions`.
    pub fn handle(&mut self, now_ms: f64, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Tick => self.tick(now_ms, actions),
            Event::Datagram(bytes) => self.datagram(now_ms, &bytes, actions),
            Event::Peers(names) => {
                let own = &self.config.name;
                self.replication.peers = names.into_iter().filter(|n| n != own).collect();
            }
            Event::Ask { command, text } => self.ask(now_ms, command, text, actions),
            Event::Forget(key) => self.proposals.forget(&key),
            Event::Checked { digest, wrong } => self.checked(digest, wrong, actions),
            Event::InForce(version) => self.in_force_now(version, actions),
            Event::DiskFailed => {
                self.disk_failed = true;
                self.voter = None;
            }
        }
        self.advance(now_ms, actions);
    }

    fn tick(&mut self, now: f64, actions: &mut Vec<Action>) {
        if now < self.next_tick {
            return;
        }
        // A front that did not run for long does not make up for it: its voters' time is then late, not doubled.
        self.next_tick = (self.next_tick + TICK_MS).max(now);
        if let Some(v) = &mut self.voter {
            v.tick();
        }
        self.bootstrap_tick(now, actions);
        self.proposals_tick(now, actions);
        self.replication_tick(now, actions);
    }

    /// Carries a voter's steps out until there are none: what is written first, then what is said, then what is taken.
    fn advance(&mut self, now: f64, actions: &mut Vec<Action>) {
        while let Some(voter) = &mut self.voter {
            let mut voters = self.agreed.voters.clone();
            let mut step = voter.step(&mut voters);
            if step.writes.is_empty() && step.say.is_empty() && step.agreed.is_empty() && step.state.is_none()
            {
                return;
            }
            if let Some((words, term)) = step.state.take() {
                self.take_state(&words, term, &mut step.writes);
            }
            if !step.writes.is_empty() {
                actions.push(Action::Write(std::mem::take(&mut step.writes)));
            }
            for (to, bytes) in step.say {
                self.say(to, bytes, actions);
            }
            if !step.agreed.is_empty() {
                self.take_entries(now, step.agreed, actions);
            }
        }
    }

    /// The leader's state in place of commands that it no longer has.
    fn take_state(&mut self, words: &[u8], term: u64, writes: &mut Writes) {
        let held = read_state_words(words).and_then(|(d, _)| self.texts.get(&d)).and_then(Agreed::from_bytes);
        if let Some(state) = held {
            writes.push(Voter::saved(&state, term));
            self.agreed = state;
            self.recent.clear();
        }
    }

    /// Commands that are agreed, in order.
    pub(crate) fn take_entries(&mut self, now: f64, entries: Vec<Entry>, actions: &mut Vec<Action>) {
        let before = self.agreed.index;
        for e in entries {
            let at = self.agreed.index;
            if let Some((key, answer)) = self.agreed.take(&e) {
                self.proposals.taken(&key);
                self.answer(&key, answer, actions);
            }
            if self.agreed.index > at {
                self.recent.push_back(e);
            }
            if self.recent.len() as u64 > KEPT {
                self.recent.pop_front();
            }
        }
        if self.agreed.index == before {
            return;
        }
        let wanted: BTreeSet<Digest> = self
            .agreed
            .texts()
            .map(|t| t.0)
            .chain(self.proposals.texts())
            .chain(self.replication.states())
            .collect();
        self.texts.keep(&wanted);
        if let Some(v) = &mut self.voter {
            let writes = v.took(&self.agreed);
            if !writes.is_empty() {
                actions.push(Action::Write(writes));
            }
        }
        actions.push(Action::Changed);
        self.news(now, actions);
    }

    pub(crate) fn answer(&mut self, key: &str, answer: Answer, actions: &mut Vec<Action>) {
        if self.proposals.answered(key) {
            actions.push(Action::Answered { key: key.into(), answer: answer.clone() });
        }
        if let Some(to) = self.proposals.asker(key) {
            self.send(&to, vec![Item::Answered(key.into(), answer)], actions);
        }
    }

    /// A voter's message to another, by its front's name.
    fn say(&mut self, to: VoterId, bytes: Vec<u8>, actions: &mut Vec<Action>) {
        if let Some(name) = self.agreed.voters.get(&to).cloned() {
            self.send(&name, vec![Item::Raft(to, bytes)], actions);
        }
    }

    pub(crate) fn send(&mut self, to: &str, items: Vec<Item>, actions: &mut Vec<Action>) {
        if to == self.config.name {
            return;
        }
        let room = room(&self.config.name);
        let (mut part, mut used) = (Vec::new(), 0);
        let mut parts = Vec::new();
        for item in items {
            let bytes = size(&item);
            if used + bytes > room && !part.is_empty() {
                parts.push(std::mem::take(&mut part));
                used = 0;
            }
            used += bytes;
            part.push(item);
        }
        parts.push(part);
        for items in parts.into_iter().filter(|p| !p.is_empty()) {
            let bytes = seal(&self.keys, &self.config.name, &items);
            self.counts.sent += 1;
            self.counts.sent_bytes += bytes.len() as u64;
            actions.push(Action::Send { to: to.into(), bytes });
        }
    }

    fn datagram(&mut self, now: f64, bytes: &[u8], actions: &mut Vec<Action>) {
        let (from, items) = match open(&self.keys, bytes) {
            Ok(m) => m,
            Err(WireError::Version(n)) => {
                self.counts.other_version = (self.counts.other_version.0 + 1, n);
                return;
            }
            Err(WireError::Malformed) => {
                self.counts.malformed += 1;
                return;
            }
        };
        if from == self.config.name {
            return;
        }
        for item in items {
            match item {
                Item::Have(h) => self.heard_have(&from, h, actions),
                Item::Pull(birth, after) => self.pulled(&from, birth, after, actions),
                Item::Entries(birth, entries) => self.entries(now, birth, entries, actions),
                Item::Whole(birth, d, bytes) => self.whole(&from, birth, d, bytes, actions),
                Item::Want(d, parts) => self.wanted(&from, d, &parts, actions),
                Item::Part(d, part, bytes) => self.part(now, &from, d, part, &bytes, actions),
                Item::Propose(command, hops) => self.proposed(&from, command, hops, actions),
                Item::Answered(key, answer) => self.answer(&key, answer, actions),
                Item::Holds(d, voter) => self.holds(d, voter),
                Item::Ready(voter, empty) => self.ready(&from, voter, empty, actions),
                Item::Found(birth, voters) => self.found(birth, voters, actions),
                Item::Raft(to, bytes) => self.raft(&from, to, &bytes, actions),
            }
        }
    }

    fn raft(&mut self, from: &str, to: VoterId, bytes: &[u8], actions: &mut Vec<Action>) {
        let own = self.config.voter();
        if to != own || self.disk_failed {
            return;
        }
        let texts = &self.texts;
        let held = |words: &[u8]| read_state_words(words).is_some_and(|(d, _)| texts.get(&d).is_some());
        // One that was taken in hears of it by the leader's first message: its first state is to be fetched.
        let patience = self.patience();
        if self.voter.is_none() && self.agreed.voters.contains_key(&own) {
            self.voter = Voter::new(own, patience, &BTreeMap::new()).map(|v| v.0);
        }
        if let Some(Err(words)) = self.voter.as_mut().map(|v| v.hear(bytes, held)) {
            if let Some((d, bytes)) = read_state_words(&words) {
                self.fetch_state(from, d, bytes, actions);
            }
        }
    }

    pub(crate) fn refuse_words(&self, command: &Command) -> Option<Refusal> {
        use crate::rules::{MOST_KEY, MOST_WORDS};
        let c = command;
        let long = c.key.is_empty()
            || c.key.len() > MOST_KEY
            || c.author.is_empty()
            || c.author.len().max(c.reason.len()) > MOST_WORDS;
        long.then_some(Refusal::Words)
    }
}
