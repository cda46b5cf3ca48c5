//! Bootstrapping a record, and readmitting a voter that lost its disk.
//!
//! A bootstrap requires all configured voters, each without a record. A majority would not be enough: a
//! voter that lost its disk looks like one that never had a record, so two of three could bootstrap a second
//! record beside the first.

use super::Record;
use crate::events::Action;
use crate::state::{RecordState, VoterId};
use crate::storage::{StorageKey, StoredValue, Write};
use crate::voter::{MembershipChange, Voter};
use crate::wire::MessageItem;
use rand::Rng;
use std::collections::BTreeMap;

/// Interval between two announcements of a front that is configured as a voter but is not one, in
/// milliseconds.
const ANNOUNCEMENT_INTERVAL_MS: f64 = 500.0;
/// Raft term of the snapshot that a record begins with.
const BOOTSTRAP_TERM: u64 = 1;

impl Record {
    fn is_configured_voter(&self) -> bool {
        self.config.voters.contains(&self.config.name)
    }

    /// Announces this front to the configured voters if it is configured as one but is not a voter of the
    /// record.
    pub(super) fn tick_bootstrap(&mut self, now_ms: f64, actions: &mut Vec<Action>) {
        if !self.is_configured_voter()
            || self.voter.is_some()
            || self.has_failed_disk()
            || now_ms < self.bootstrap.next_announcement_ms
        {
            return;
        }
        self.bootstrap.next_announcement_ms = now_ms + ANNOUNCEMENT_INTERVAL_MS;
        let item = MessageItem::VoterPresent {
            voter: self.config.voter_id(),
            without_record: self.state.record_id == 0,
        };
        self.send_to_configured_voters(&item, actions);
    }

    fn send_to_configured_voters(&mut self, item: &MessageItem, actions: &mut Vec<Action>) {
        for to in self.config.voters.clone() {
            self.send_items(&to, vec![item.clone()], actions);
        }
    }

    /// Handles the announcement of a front that is configured as a voter but is not one with its present
    /// disk.
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
            self.admit_present_voter(from, voter, without_record, actions);
        } else if without_record {
            self.bootstrap.without_record.insert(from.into(), voter);
            self.bootstrap_if_complete(actions);
        }
    }

    /// Handles an announcement at a front that has a record: the leader adds an unknown voter, and a voter
    /// that has not learned of the bootstrap is told of it.
    fn admit_present_voter(
        &mut self,
        from: &str,
        voter: VoterId,
        without_record: bool,
        actions: &mut Vec<Action>,
    ) {
        if !self.state.voters.contains_key(&voter) {
            if self.is_leader() {
                self.propose_readmission(from, voter);
            }
        } else if without_record && self.state.applied_index <= 1 {
            // This voter was named at the bootstrap and has not learned of it, or awaits its first snapshot
            // from the leader.
            let item = MessageItem::Bootstrapped {
                record_id: self.state.record_id,
                voters: self.state.voters.clone(),
            };
            self.send_items(from, vec![item], actions);
        }
    }

    /// Bootstraps the record once all configured voters are present without one. Only the first voter by
    /// name does so; the others wait for its message.
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
        self.send_to_configured_voters(&MessageItem::Bootstrapped { record_id, voters }, actions);
    }

    /// Starts a newly bootstrapped record; this front becomes a voter if the id of its present disk is
    /// listed.
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
        let snapshot = StoredValue::snapshot(&state, BOOTSTRAP_TERM);
        let stored = [(StorageKey::Snapshot, snapshot.clone())].into();
        self.voter = Voter::restore(own_id, self.extra_election_ticks(), &stored).map(|r| r.voter);
        self.state = state;
        actions.push(Action::Write(vec![Write::put(StorageKey::Snapshot, snapshot)]));
        actions.push(Action::StateChanged);
    }

    /// Proposes the membership changes for a front that came back with another disk: its old voter id is
    /// removed first, then the new one is added. Each call proposes one change; the front's repeated
    /// announcements lead to the next.
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
