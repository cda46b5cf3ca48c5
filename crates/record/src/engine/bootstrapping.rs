//! How a record is bootstrapped, and how a voter that lost its disk becomes one again.
//!
//! The bootstrap takes all configured voters, each without a record: a majority of them would not do, since one that lost
//! its disk and one that never had a record look alike, and two of three could bootstrap a second record beside the first.

use super::Record;
use crate::events::Action;
use crate::state::{RecordState, VoterId};
use crate::storage::{StorageKey, StoredValue, Write};
use crate::voter::{MembershipChange, Voter};
use crate::wire::Item;
use rand::Rng;
use std::collections::BTreeMap;

/// Between two announcements of a front that is configured as voter and is none, in milliseconds.
const ANNOUNCEMENT_MS: f64 = 500.0;
/// Term of the state that a record begins with.
const FIRST_TERM: u64 = 1;

impl Record {
    fn is_configured_voter(&self) -> bool {
        self.config.voters.contains(&self.config.name)
    }

    /// A front that is configured as voter and is none announces itself to the others.
    pub(super) fn bootstrap_tick(&mut self, now_ms: f64, actions: &mut Vec<Action>) {
        if !self.is_configured_voter()
            || self.voter.is_some()
            || self.has_failed_disk()
            || now_ms < self.bootstrap.next_announcement_ms
        {
            return;
        }
        self.bootstrap.next_announcement_ms = now_ms + ANNOUNCEMENT_MS;
        let item =
            Item::VoterPresent { voter: self.config.voter_id(), without_record: self.state.record_id == 0 };
        self.send_to_configured_voters(&item, actions);
    }

    fn send_to_configured_voters(&mut self, item: &Item, actions: &mut Vec<Action>) {
        for to in self.config.voters.clone() {
            self.send(&to, vec![item.clone()], actions);
        }
    }

    /// A front announces that it is configured as voter, and none with its present disk.
    pub(super) fn on_voter_present(
        &mut self,
        from: &str,
        voter: VoterId,
        without_record: bool,
        actions: &mut Vec<Action>,
    ) {
        if !self.config.voters.iter().any(|name| name == from) {
            return;
        }
        if self.state.record_id != 0 {
            self.readmit(from, voter, without_record, actions);
        } else if without_record {
            self.bootstrap.without_record.insert(from.into(), voter);
            self.bootstrap_if_complete(actions);
        }
    }

    /// There is a record: the front gets to know it, or the leader makes it a voter of it.
    fn readmit(&mut self, from: &str, voter: VoterId, without_record: bool, actions: &mut Vec<Action>) {
        if !self.state.voters.contains_key(&voter) {
            if self.is_leader() {
                self.propose_readmission(from, voter);
            }
        } else if without_record && self.state.applied_index <= 1 {
            // It was named at the bootstrap and has not learned of it, or waits for the leader's first snapshot.
            let item =
                Item::Bootstrapped { record_id: self.state.record_id, voters: self.state.voters.clone() };
            self.send(from, vec![item], actions);
        }
    }

    /// The first in the order of names bootstraps the record once all configured voters are present without one; the
    /// others wait for its message.
    fn bootstrap_if_complete(&mut self, actions: &mut Vec<Action>) {
        let own_name = &self.config.name;
        let is_first = self.config.voters.iter().min() == Some(own_name);
        let present = |name: &String| name == own_name || self.bootstrap.without_record.contains_key(name);
        let are_all_present = self.config.voters.iter().all(present);
        if !is_first || !are_all_present || self.voter.is_some() || self.has_failed_disk() {
            return;
        }
        let id_of = |name: &String| self.bootstrap.without_record.get(name).map(|id| (*id, name.clone()));
        let mut voters: BTreeMap<VoterId, String> = self.config.voters.iter().filter_map(id_of).collect();
        voters.insert(self.config.voter_id(), self.config.name.clone());
        let record_id = self.rng.random::<u64>().max(1);
        self.on_bootstrapped(record_id, voters.clone(), actions);
        self.send_to_configured_voters(&Item::Bootstrapped { record_id, voters }, actions);
    }

    /// The record was bootstrapped; this front votes if its present disk is named in it.
    pub(super) fn on_bootstrapped(
        &mut self,
        record_id: u64,
        voters: BTreeMap<VoterId, String>,
        actions: &mut Vec<Action>,
    ) {
        let own_id = self.config.voter_id();
        if self.state.record_id != 0
            || record_id == 0
            || self.has_failed_disk()
            || !voters.contains_key(&own_id)
        {
            return;
        }
        let state = RecordState::bootstrapped(record_id, voters);
        let snapshot = StoredValue::snapshot(&state, FIRST_TERM);
        let stored = [(StorageKey::Snapshot, snapshot.clone())].into();
        self.voter = Voter::restore(own_id, self.extra_election_ticks(), &stored).map(|r| r.voter);
        self.state = state;
        actions.push(Action::Write(vec![Write::put(StorageKey::Snapshot, snapshot)]));
        actions.push(Action::StateChanged);
    }

    /// A front came back with another disk: the voter that it was is removed first, then the one that it is is added. One
    /// change at a time; the front announces itself until both are committed.
    fn propose_readmission(&mut self, name: &str, id: VoterId) {
        let old_id = self.state.voters.iter().find(|(_, n)| n.as_str() == name).map(|(id, _)| *id);
        if let Some(voter) = &mut self.voter {
            match old_id {
                Some(old_id) => voter.propose_membership(old_id, MembershipChange::Remove, name),
                None => voter.propose_membership(id, MembershipChange::Add, name),
            }
        }
    }
}
