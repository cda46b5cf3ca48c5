//! How what is agreed reaches all fronts: each tells others where it is, and who is behind pulls.

use super::Record;
use crate::agreed::{Agreed, Entry};
use crate::events::Action;
use crate::rules::Digest;
use crate::texts::WINDOW;
use crate::wire::{room, size, Have, Item};
use rand::seq::IndexedRandom;

/// Between two words to a random other, in steady state, in milliseconds.
const TELL_MS: f64 = 1_000.0;
/// Others who are told of news at once.
const FANOUT: usize = 3;
/// Ticks of the voters over which news is told again: of those whom the first words missed nobody waits for a second.
const AGAIN: u32 = 4;
/// Between two times that missing texts and commands are asked for, in milliseconds.
const LACK_MS: f64 = 150.0;
/// Parts of a text in answer to one question.
const MOST_PARTS: usize = WINDOW;
/// Fronts whose words are remembered.
const MOST_SAID: usize = 4096;

impl Record {
    fn have(&self, asks: bool) -> Item {
        let Agreed { birth, index, chain, .. } = self.agreed;
        Item::Have(Have { birth, index, chain, in_force: self.replication.in_force, asks })
    }

    /// This front serves by that version: others who wait for it are told.
    pub(crate) fn in_force_now(&mut self, version: u64, actions: &mut Vec<Action>) {
        if std::mem::replace(&mut self.replication.in_force, version) != version {
            self.replication.again = self.replication.again.max(1);
            self.tell(FANOUT, actions);
        }
    }

    fn tell(&mut self, many: usize, actions: &mut Vec<Action>) {
        let to: Vec<String> = self.replication.peers.choose_multiple(&mut self.rng, many).cloned().collect();
        for to in to {
            let have = self.have(false);
            self.send(&to, vec![have], actions);
        }
    }

    /// What is agreed has changed.
    pub(crate) fn news(&mut self, now: f64, actions: &mut Vec<Action>) {
        self.replication.again = AGAIN;
        self.tell(FANOUT, actions);
        self.replication.next_lack = now;
        self.lack(now, actions);
    }

    pub(crate) fn replication_tick(&mut self, now: f64, actions: &mut Vec<Action>) {
        if now >= self.replication.next_tell {
            self.replication.next_tell = now + TELL_MS;
            self.tell(1, actions);
            if let Some(v) = &mut self.voter {
                v.lost_states();
            }
        }
        if self.replication.again > 0 {
            self.replication.again -= 1;
            self.tell(FANOUT, actions);
        }
        self.lack(now, actions);
    }

    /// Asks for texts that are lacking: of a state from who has it, of versions from anybody.
    fn lack(&mut self, now: f64, actions: &mut Vec<Action>) {
        if now < self.replication.next_lack {
            return;
        }
        self.replication.next_lack = now + LACK_MS;
        let states: Vec<_> = self.replication.states.iter().cloned().collect();
        for (d, bytes, of) in states {
            if let Some((_, from)) = of {
                self.fetch(&from, d, bytes, actions);
            }
        }
        // The current version first, then the latest.
        let current = self.agreed.rules.version(self.agreed.rules.current());
        let first = current.map(|v| (v.digest, v.bytes));
        let all: Vec<(Digest, u32)> = first.into_iter().chain(self.agreed.texts()).collect();
        let lacking: Vec<(Digest, u32)> =
            all.into_iter().filter(|(d, _)| self.texts.get(d).is_none()).take(2).collect();
        for (d, bytes) in lacking {
            let mut to: Vec<String> =
                self.replication.peers.choose_multiple(&mut self.rng, 1).cloned().collect();
            let voters: Vec<String> = self.agreed.voters.values().cloned().collect();
            to.extend(voters.choose(&mut self.rng).cloned());
            for to in to {
                self.fetch(&to, d, bytes, actions);
            }
        }
    }

    /// Asks one for parts of a text that is not held.
    pub(crate) fn fetch(&mut self, from: &str, d: Digest, bytes: u32, actions: &mut Vec<Action>) {
        let parts = self.texts.lacks(d, bytes as usize);
        if !parts.is_empty() {
            self.send(from, vec![Item::Want(d, parts)], actions);
        }
    }

    /// A state that the leader, or one further on, has.
    pub(crate) fn fetch_state(&mut self, from: &str, d: Digest, bytes: u32, actions: &mut Vec<Action>) {
        self.replication.hold(d, bytes, Some((0, from.into())));
        self.fetch(from, d, bytes, actions);
    }

    pub(crate) fn heard_have(&mut self, from: &str, h: Have, actions: &mut Vec<Action>) {
        let (birth, index, asks) = (h.birth, h.index, h.asks);
        let other = birth != 0 && self.agreed.birth != 0 && birth != self.agreed.birth;
        if self.replication.said.len() < MOST_SAID || self.replication.said.contains_key(from) {
            self.replication.said.insert(from.into(), h);
        }
        if other {
            // Of a record that was founded beside this one: neither takes from the other.
            self.counts.other_record += 1;
            return;
        }
        let mut reply = Vec::new();
        if birth != 0 && index > self.agreed.index && self.voter.is_none() && self.agreed.unread.is_none() {
            reply.push(Item::Pull(self.agreed.birth, self.agreed.index));
        }
        if asks || (self.agreed.birth != 0 && index < self.agreed.index) {
            reply.push(self.have(false));
        }
        if !reply.is_empty() {
            self.send(from, reply, actions);
        }
    }

    /// One that is behind asks for what comes after a command.
    pub(crate) fn pulled(&mut self, from: &str, birth: u64, after: u64, actions: &mut Vec<Action>) {
        if self.agreed.birth == 0 || (birth != 0 && birth != self.agreed.birth) || after >= self.agreed.index
        {
            return;
        }
        let first = self.recent.front().map_or(u64::MAX, |e| e.index);
        if birth == 0 || after + 1 < first {
            let bytes = self.agreed.to_bytes();
            let (own, len) = (self.agreed.birth, bytes.len() as u32);
            if let Some(d) = self.texts.put(bytes) {
                self.replication.hold(d, len, None);
                self.send(from, vec![Item::Whole(own, d, len)], actions);
            }
            return;
        }
        // A few datagrams at once; who is still behind asks again.
        let (mut entries, mut bytes): (Vec<Entry>, usize) = Default::default();
        let most = room(&self.config.name) - 32;
        for e in self.recent.iter().filter(|e| e.index > after) {
            let more = size(&Item::Entries(0, vec![e.clone()]));
            if bytes + more > most {
                break;
            }
            bytes += more;
            entries.push(e.clone());
        }
        let more = entries.last().is_some_and(|e| e.index < self.agreed.index);
        let mut items = vec![Item::Entries(self.agreed.birth, entries)];
        if more {
            items.push(self.have(false));
        }
        self.send(from, items, actions);
    }

    pub(crate) fn entries(&mut self, now: f64, birth: u64, entries: Vec<Entry>, actions: &mut Vec<Action>) {
        // A voter takes what its own log tells it and nothing else.
        if birth != 0 && birth == self.agreed.birth && self.voter.is_none() {
            self.take_entries(now, entries, actions);
        }
    }

    /// The whole state of a record, or (of no record) a text that a leader wants to have checked.
    pub(crate) fn whole(&mut self, from: &str, birth: u64, d: Digest, bytes: u32, actions: &mut Vec<Action>) {
        if birth == 0 {
            match self.texts.get(&d).is_some() {
                true => self.check(d, actions),
                false => self.fetch(from, d, bytes, actions),
            }
        } else if self.voter.is_none() && (self.agreed.birth == 0 || self.agreed.birth == birth) {
            self.replication.hold(d, bytes, Some((birth, from.into())));
            self.fetch(from, d, bytes, actions);
        }
    }

    pub(crate) fn wanted(&mut self, from: &str, d: Digest, parts: &[u16], actions: &mut Vec<Action>) {
        let own = self.agreed.to_bytes();
        if self.texts.get(&d).is_none() && Digest::of(&own) == d {
            // The state as the library's messages name it.
            self.replication.hold(d, own.len() as u32, None);
            self.texts.put(own);
        }
        let items: Vec<Item> = parts
            .iter()
            .take(MOST_PARTS)
            .filter_map(|p| self.texts.part(&d, *p).map(|b| Item::Part(d, *p, b.to_vec())))
            .collect();
        if !items.is_empty() {
            self.send(from, items, actions);
        }
    }

    pub(crate) fn part(
        &mut self,
        now: f64,
        from: &str,
        d: Digest,
        part: u16,
        bytes: &[u8],
        actions: &mut Vec<Action>,
    ) {
        if !self.texts.take(d, part, bytes) {
            // The last of those asked for together: the next ones, without waiting for the timer.
            if usize::from(part) % WINDOW == WINDOW - 1 {
                if let Some(len) = self.texts.length(&d) {
                    self.fetch(from, d, len, actions);
                }
            }
            return;
        }
        let state = self.replication.states.iter().find(|s| s.0 == d).and_then(|s| s.2.clone());
        if let Some((birth, _)) = state {
            let read = self.texts.get(&d).and_then(Agreed::from_bytes);
            if let Some(a) = read.filter(|a| birth != 0 && a.birth == birth && self.voter.is_none()) {
                let newer = self.agreed.birth == 0 || a.index > self.agreed.index;
                if newer && (self.agreed.birth == 0 || self.agreed.birth == birth) {
                    self.agreed = a;
                    self.recent.clear();
                    actions.push(Action::Changed);
                    self.news(now, actions);
                }
            }
            return;
        }
        self.check(d, actions);
        self.look(actions);
        if self.agreed.texts().any(|t| t.0 == d) {
            actions.push(Action::Changed);
        }
        self.lack(now, actions);
    }
}
