//! Carries out the voter's steps and applies committed entries to the state.

use super::Record;
use crate::events::Action;
use crate::rules::Answer;
use crate::state::{KeyedAnswer, LogEntry, RecordState, VoterId};
use crate::storage::{StorageKey, StoredValue, Write, WriteBatch};
use crate::texts::Digest;
use crate::voter::{
    decode_snapshot_ref, AcceptedSnapshot, OutgoingMessage, SnapshotMissing, Voter, RETAINED_ENTRIES,
};
use crate::wire::MessageItem;
use std::collections::{BTreeMap, BTreeSet};

impl Record {
    /// Carries out the voter's steps until none are left: in each, the writes first, then the messages, then
    /// the committed entries.
    pub(super) fn advance_voter(&mut self, now_ms: f64, actions: &mut Vec<Action>) {
        while let Some(voter) = &mut self.voter {
            let mut voters = self.state.voters.clone();
            let mut step = voter.take_step(&mut voters);
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
                    self.send_items(&name, vec![MessageItem::Raft { to, message }], actions);
                }
            }
            if !step.committed.is_empty() {
                self.apply_entries(now_ms, step.committed, actions);
            }
        }
    }

    /// Replaces the state by the leader's snapshot; sent where the leader no longer has the entries that
    /// this voter lacks.
    fn install_snapshot(&mut self, snapshot: &AcceptedSnapshot, writes: &mut WriteBatch) {
        let text = decode_snapshot_ref(&snapshot.snapshot_ref).and_then(|text| self.texts.get(&text.digest));
        if let Some(state) = text.and_then(RecordState::from_bytes) {
            writes.push(Write::put(StorageKey::Snapshot, StoredValue::snapshot(&state, snapshot.term)));
            self.state = state;
            self.recent_entries.clear();
        }
    }

    /// Applies committed entries in order; if any took effect, drops unneeded texts and announces the
    /// update.
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
            .version_texts()
            .map(|text| text.digest)
            .chain(self.proposals.uncommitted_texts())
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
        if let Some(KeyedAnswer { key, answer }) = self.state.apply_entry(&entry) {
            self.proposals.prune_texts();
            self.deliver_answer(&key, answer, actions);
        }
        if self.state.applied_index > applied_before {
            self.recent_entries.push_back(entry);
        }
        if self.recent_entries.len() as u64 > RETAINED_ENTRIES {
            self.recent_entries.pop_front();
        }
    }

    /// Delivers the answer to a command: to the caller if it was proposed here, and to the front that
    /// forwarded it.
    pub(super) fn deliver_answer(&mut self, key: &str, answer: Answer, actions: &mut Vec<Action>) {
        if self.proposals.remove_local(key) {
            actions.push(Action::Answered { key: key.into(), answer: answer.clone() });
        }
        if let Some(to) = self.proposals.take_proposer(key) {
            self.send_items(&to, vec![MessageItem::Answered { key: key.into(), answer }], actions);
        }
    }

    /// Handles a Raft message from another voter.
    pub(super) fn on_raft_message(
        &mut self,
        from: &str,
        to: VoterId,
        message: &[u8],
        actions: &mut Vec<Action>,
    ) {
        let own_id = self.config.voter_id();
        if to != own_id || self.disk_failed {
            return;
        }
        // A front that was added as a voter learns of it by the leader's first message, and fetches its
        // first snapshot.
        if self.voter.is_none() && self.state.voters.contains_key(&own_id) {
            let restored = Voter::restore(own_id, self.extra_election_ticks(), &BTreeMap::new());
            self.voter = restored.map(|r| r.voter);
        }
        let texts = &self.texts;
        let has_state = |snapshot_ref: &[u8]| {
            decode_snapshot_ref(snapshot_ref).is_some_and(|text| texts.get(&text.digest).is_some())
        };
        let Some(voter) = &mut self.voter else { return };
        if let Err(SnapshotMissing { snapshot_ref }) = voter.receive_message(message, has_state) {
            if let Some(text) = decode_snapshot_ref(&snapshot_ref) {
                self.fetch_leader_snapshot(from, text, actions);
            }
        }
    }
}
