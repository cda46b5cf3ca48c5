//! How a record is founded, and how a voter that lost its disk is taken in again.
//!
//! Founding takes all that are named, each without a record: a majority of them would not do, since one that lost its
//! disk and one that never had a record look alike, and two of three could found a second record beside the first.

use super::Record;
use crate::agreed::{Agreed, VoterId};
use crate::events::Action;
use crate::voter::{Voter, Writes};
use crate::wire::Item;
use rand::Rng;
use std::collections::BTreeMap;

/// Between two words of a front that is named as voter and is none.
const READY_MS: f64 = 500.0;

impl Record {
    fn is_named(&self) -> bool {
        self.config.voters.contains(&self.config.name)
    }

    pub(crate) fn bootstrap_tick(&mut self, now: f64, actions: &mut Vec<Action>) {
        if !self.is_named() || self.voter.is_some() || self.has_failed_disk() || now < self.bootstrap.next_ms
        {
            return;
        }
        self.bootstrap.next_ms = now + READY_MS;
        let item = Item::Ready(self.config.voter(), self.agreed.birth == 0);
        for to in self.config.voters.clone() {
            self.send(&to, vec![item.clone()], actions);
        }
    }

    /// A front that is named is there, and is no voter with its present disk.
    pub(crate) fn ready(&mut self, from: &str, id: VoterId, empty: bool, actions: &mut Vec<Action>) {
        if !self.config.voters.iter().any(|v| v == from) {
            return;
        }
        if self.agreed.birth != 0 {
            let found = Item::Found(self.agreed.birth, self.agreed.voters.clone());
            if self.agreed.voters.contains_key(&id) {
                // It was named in the founding and has not heard of it, or waits for the leader's first state.
                if empty && self.agreed.index <= 1 {
                    self.send(from, vec![found], actions);
                }
            } else if self.leads() {
                self.take_in(from, id);
            }
            return;
        }
        if !empty {
            return;
        }
        self.bootstrap.empty.insert(from.into(), id);
        // The first in the order of names founds; the others wait for its word.
        let first = self.config.voters.iter().min() == Some(&self.config.name);
        let all =
            self.config.voters.iter().all(|v| *v == self.config.name || self.bootstrap.empty.contains_key(v));
        if first && all && self.voter.is_none() && !self.has_failed_disk() {
            let named = |v: &String| self.bootstrap.empty.get(v).map(|id| (*id, v.clone()));
            let mut voters: BTreeMap<VoterId, String> = self.config.voters.iter().filter_map(named).collect();
            voters.insert(self.config.voter(), self.config.name.clone());
            let birth = self.rng.random::<u64>().max(1);
            self.found(birth, voters.clone(), actions);
            for to in self.config.voters.clone() {
                self.send(&to, vec![Item::Found(birth, voters.clone())], actions);
            }
        }
    }

    /// The record was founded, and this front's present disk is named in it.
    pub(crate) fn found(&mut self, birth: u64, voters: BTreeMap<VoterId, String>, actions: &mut Vec<Action>) {
        let own = self.config.voter();
        if self.agreed.birth != 0 || birth == 0 || self.has_failed_disk() || !voters.contains_key(&own) {
            return;
        }
        let agreed = Agreed::founded(birth, voters);
        let (place, saved) = Voter::saved(&agreed, 1);
        let writes: Writes = vec![(place, saved.clone())];
        let on_disk = saved.map(|s| (place, s)).into_iter().collect();
        self.voter = Voter::new(own, self.patience(), &on_disk).map(|v| v.0);
        self.agreed = agreed;
        actions.push(Action::Write(writes));
        actions.push(Action::Changed);
    }

    /// A front came back with another disk: the voter that it was goes first, then the one that it is comes. One change
    /// at a time; the front asks again until both are done.
    fn take_in(&mut self, name: &str, id: VoterId) {
        let old = self.agreed.voters.iter().find(|(_, n)| n.as_str() == name).map(|(id, _)| *id);
        if let Some(v) = &mut self.voter {
            match old {
                Some(old) => v.change(old, false, name),
                None => v.change(id, true, name),
            };
        }
    }
}
