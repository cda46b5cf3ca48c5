//! The voter's steps carried out, and committed entries applied to the state.

use super::Record;
use crate::events::Action;
use crate::rules::Answer;
use crate::state::{KeyedAnswer, LogEntry, RecordState, VoterId};
use crate::storage::{StorageKey, StoredValue, Write, WriteBatch};
use crate::texts::Digest;
use crate::voter::{
    decode_snapshot_ref, AcceptedSnapshot, OutgoingMessage, SnapshotMissing, Voter, RETAINED_ENTRIES,
};
use crate::wire::Item;
use std::collections::{BTreeMap, BTreeSet};

impl Record {
    /// Carries the voter's steps out until there are none: first the writes, then the messages, then committed entries.
    pub(super) fn advance_voter(&mut self, now_ms: f64, actions: &mut Vec<Action>) {
        while let Some(voter) = &mut self.voter {
            let mut voters = self.state.voters.clone();
            let mut step = voter.step(&mut voters);
            if step.is_empty() {
                return;
            }
            if let Some(snapshot) = step.snapshot {
                self.install_snapshot(&snapshot, &mut step.writes);
            }
            if !step.writes.is_empty() {
                actions.push(Action::Write(step.writes));
            }
            for OutgoingMessage { to, message } in step.messages {
                if let Some(name) = self.state.voters.get(&to).cloned() {
                    self.send(&name, vec![Item::Raft { to, message }], actions);
                }
            }
            if !step.committed.is_empty() {
                self.apply_entries(now_ms, step.committed, actions);
            }
        }
    }

    /// The leader's snapshot replaces the state, since the leader no longer has the entries before it.
    fn install_snapshot(&mut self, snapshot: &AcceptedSnapshot, writes: &mut WriteBatch) {
        let text = decode_snapshot_ref(&snapshot.snapshot_ref).and_then(|text| self.texts.get(&text.digest));
        if let Some(state) = text.and_then(RecordState::from_bytes) {
            writes.push(Write::put(StorageKey::Snapshot, StoredValue::snapshot(&state, snapshot.term)));
            self.state = state;
            self.recent_entries.clear();
        }
    }

    /// Applies committed entries, in order.
    pub(super) fn apply_entries(&mut self, now_ms: f64, entries: Vec<LogEntry>, actions: &mut Vec<Action>) {
        let applied_before = self.state.applied_index;
        for entry in entries {
            self.apply_entry(entry, actions);
        }
        if self.state.applied_index == applied_before {
            return;
        }
        let wanted: BTreeSet<Digest> = self
            .state
            .texts()
            .map(|text| text.digest)
            .chain(self.proposals.texts())
            .chain(self.replication.snapshot_digests())
            .collect();
        self.texts.retain(&wanted);
        if let Some(voter) = &mut self.voter {
            let writes = voter.on_applied(&self.state);
            if !writes.is_empty() {
                actions.push(Action::Write(writes));
            }
        }
        actions.push(Action::StateChanged);
        self.announce_update(now_ms, actions);
    }

    fn apply_entry(&mut self, entry: LogEntry, actions: &mut Vec<Action>) {
        let applied_before = self.state.applied_index;
        if let Some(KeyedAnswer { key, answer }) = self.state.apply(&entry) {
            self.proposals.prune_texts();
            self.answer(&key, answer, actions);
        }
        if self.state.applied_index > applied_before {
            self.recent_entries.push_back(entry);
        }
        if self.recent_entries.len() as u64 > RETAINED_ENTRIES {
            self.recent_entries.pop_front();
        }
    }

    /// Passes an answer on to who awaits it: here, or at the front that forwarded the proposal.
    pub(super) fn answer(&mut self, key: &str, answer: Answer, actions: &mut Vec<Action>) {
        if self.proposals.remove_local(key) {
            actions.push(Action::Answered { key: key.into(), answer: answer.clone() });
        }
        if let Some(to) = self.proposals.take_proposer(key) {
            self.send(&to, vec![Item::Answered { key: key.into(), answer }], actions);
        }
    }

    /// Another voter's Raft message.
    pub(super) fn on_raft(&mut self, from: &str, to: VoterId, message: &[u8], actions: &mut Vec<Action>) {
        let own_id = self.config.voter_id();
        if to != own_id || self.disk_failed {
            return;
        }
        // A front that was added as voter learns of it by the leader's first message, and fetches its first snapshot.
        if self.voter.is_none() && self.state.voters.contains_key(&own_id) {
            let restored = Voter::restore(own_id, self.extra_election_ticks(), &BTreeMap::new());
            self.voter = restored.map(|r| r.voter);
        }
        let texts = &self.texts;
        let has_state = |snapshot_ref: &[u8]| {
            decode_snapshot_ref(snapshot_ref).is_some_and(|text| texts.get(&text.digest).is_some())
        };
        let Some(voter) = &mut self.voter else { return };
        if let Err(SnapshotMissing { snapshot_ref }) = voter.receive(message, has_state) {
            if let Some(text) = decode_snapshot_ref(&snapshot_ref) {
                self.fetch_leader_snapshot(from, text, actions);
            }
        }
    }
}
