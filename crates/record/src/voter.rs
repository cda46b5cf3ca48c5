//! A Raft voter: the `raft` crate's state machine over a log that can be compacted. Each step separates what
//! must be durable first from the messages that may be sent afterwards.

mod log;

use crate::state::{LogEntry, RecordState, VoterId, ENTRY_KIND_NOOP, ENTRY_KIND_VOTERS};
use crate::storage::{StorageKey, StoredValue, Write, WriteBatch};
use crate::texts::{Digest, TextRef};
use log::{RestoredLog, VoterLog};
use protobuf::Message as _;
use raft::eraftpb::{
    ConfChange, ConfChangeType, Entry as RaftEntry, EntryType, HardState, Message, Snapshot,
};
use raft::{Config, RawNode, StateRole, Storage};
use std::collections::BTreeMap;

/// The shortest election timeout in ticks. Each voter adds an offset of its own, so that two seldom campaign
/// at the same time.
const ELECTION_TICKS: usize = 10;
/// Number of ticks between two heartbeats of a leader.
const HEARTBEAT_TICKS: usize = 3;
/// Maximum size of the entries in one Raft message, in bytes; the message must fit into a datagram.
const MAX_MESSAGE_BYTES: u64 = 600;
/// Maximum number of unacknowledged Raft messages to one voter.
const MAX_UNACKNOWLEDGED_MESSAGES: usize = 16;
/// Number of applied entries that are retained for voters and followers that are a few entries behind.
pub(crate) const RETAINED_ENTRIES: u64 = 256;

/// A Raft message to another voter.
#[derive(Debug)]
pub(crate) struct OutgoingMessage {
    pub(crate) to: VoterId,
    /// The protobuf encoding of the `raft` crate's `Message`.
    pub(crate) message: Vec<u8>,
}

/// A snapshot that the voter has accepted from the leader.
#[derive(Debug)]
pub(crate) struct AcceptedSnapshot {
    /// The encoded reference to the snapshot's state, see [`decode_snapshot_ref`].
    pub(crate) snapshot_ref: Vec<u8>,
    /// Raft term of the last entry that the snapshot covers.
    pub(crate) term: u64,
}

/// The results of one step of a voter; the fields are carried out in their order.
#[derive(Debug, Default)]
pub(crate) struct VoterStep {
    /// The leader's snapshot, which replaces the state.
    pub(crate) snapshot: Option<AcceptedSnapshot>,
    /// Writes that must be durable before any message is sent.
    pub(crate) writes: WriteBatch,
    pub(crate) messages: Vec<OutgoingMessage>,
    /// Newly committed entries, in log order.
    pub(crate) committed: Vec<LogEntry>,
}

impl VoterStep {
    pub(crate) fn is_empty(&self) -> bool {
        self.writes.is_empty()
            && self.messages.is_empty()
            && self.committed.is_empty()
            && self.snapshot.is_none()
    }

    fn push_messages(&mut self, messages: Vec<Message>) {
        self.messages.extend(
            messages
                .into_iter()
                .map(|m| OutgoingMessage { to: m.get_to(), message: m.write_to_bytes().unwrap_or_default() }),
        );
    }

    fn write_hard_state(&mut self, hard_state: &HardState) {
        let bytes = hard_state.write_to_bytes().unwrap_or_default();
        self.writes.push(Write::put(StorageKey::HardState, StoredValue::HardState(bytes)));
    }
}

/// A change of the set of voters; the log holds at most one uncommitted change at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MembershipChange {
    Add,
    Remove,
}

/// Error for a dropped message whose snapshot refers to a state that is not on this front. The caller is to
/// fetch the state; the leader sends the message again.
#[derive(Debug)]
pub(crate) struct SnapshotMissing {
    /// The encoded reference to the missing state, see [`decode_snapshot_ref`].
    pub(crate) snapshot_ref: Vec<u8>,
}

/// A voter restored from disk, and the state that it starts from.
pub(crate) struct RestoredVoter {
    pub(crate) voter: Voter,
    pub(crate) state: RecordState,
}

/// The Raft state machine of one voter and its log.
pub(crate) struct Voter {
    id: VoterId,
    node: RawNode<VoterLog>,
    log: VoterLog,
    /// Index of the first entry that is retained in memory.
    first_retained: u64,
}

impl Voter {
    /// Restores a voter from what was found on its disk, which must not be older than the voter's last vote.
    /// With nothing stored it is a newly added voter, which gets its first snapshot from the leader. `None`
    /// if the stored data can't be decoded.
    ///
    /// `extra_election_ticks` is added to [`ELECTION_TICKS`] to get this voter's election timeout.
    pub(crate) fn restore(
        id: VoterId,
        extra_election_ticks: usize,
        stored: &BTreeMap<StorageKey, StoredValue>,
    ) -> Option<RestoredVoter> {
        let RestoredLog { log, state } = VoterLog::restore(stored)?;
        log.set_snapshot_ref(encode_snapshot_ref(&state));
        let election_ticks = ELECTION_TICKS + extra_election_ticks;
        let config = Config {
            id,
            election_tick: ELECTION_TICKS,
            // The range holds one value only, so that equal seeds give equal runs.
            min_election_tick: election_ticks,
            max_election_tick: election_ticks + 1,
            heartbeat_tick: HEARTBEAT_TICKS,
            applied: state.applied_index,
            max_size_per_msg: MAX_MESSAGE_BYTES,
            max_committed_size_per_ready: u64::MAX,
            max_inflight_msgs: MAX_UNACKNOWLEDGED_MESSAGES,
            check_quorum: true,
            pre_vote: true,
            ..Config::default()
        };
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let node = RawNode::new(&config, log.clone(), &logger).ok()?;
        let first_retained = state.applied_index + 1;
        Some(RestoredVoter { voter: Voter { id, node, log, first_retained }, state })
    }

    /// Sends snapshots again to the voters that have not acknowledged theirs, since a message may have been
    /// lost.
    pub(crate) fn resend_snapshots(&mut self) {
        let waiting: Vec<VoterId> = self
            .node
            .raft
            .prs()
            .iter()
            .filter(|(_, progress)| progress.state == raft::ProgressState::Snapshot)
            .map(|(id, _)| *id)
            .collect();
        for id in waiting {
            self.node.report_snapshot(id, raft::SnapshotStatus::Failure);
        }
    }

    pub(crate) fn is_leader(&self) -> bool {
        self.node.raft.state == StateRole::Leader
    }

    /// Voter id of the leader; `None` if it is unknown.
    pub(crate) fn leader(&self) -> Option<VoterId> {
        Some(self.node.raft.leader_id).filter(|leader| *leader != 0)
    }

    pub(crate) fn tick(&mut self) {
        self.node.tick();
    }

    /// Processes another voter's message. `has_state` tells whether the state of an encoded snapshot
    /// reference is on this front.
    pub(crate) fn receive_message(
        &mut self,
        message: &[u8],
        has_state: impl FnOnce(&[u8]) -> bool,
    ) -> Result<(), SnapshotMissing> {
        let Ok(message) = Message::parse_from_bytes(message) else { return Ok(()) };
        if message.get_to() != self.id {
            return Ok(());
        }
        let snapshot_ref = message.get_snapshot().get_data();
        if message.has_snapshot() && !snapshot_ref.is_empty() && !has_state(snapshot_ref) {
            return Err(SnapshotMissing { snapshot_ref: snapshot_ref.to_vec() });
        }
        let _ = self.node.step(message);
        Ok(())
    }

    /// Proposes an entry; returns `false` if this voter is not the leader or the log rejects the entry.
    pub(crate) fn propose_entry(&mut self, kind: u8, body: &[u8]) -> bool {
        self.is_leader() && self.node.propose(Vec::new(), [&[kind], body].concat()).is_ok()
    }

    /// Proposes to add or remove the voter `id`; `name` is the name of its front.
    pub(crate) fn propose_membership(&mut self, id: VoterId, change: MembershipChange, name: &str) {
        let change_type = match change {
            MembershipChange::Add => ConfChangeType::AddNode,
            MembershipChange::Remove => ConfChangeType::RemoveNode,
        };
        let mut conf_change = ConfChange::default();
        conf_change.set_change_type(change_type);
        conf_change.node_id = id;
        if self.is_leader() {
            // A change rejected because another is in the log is proposed again on the front's next
            // announcement.
            let _ = self.node.propose_conf_change(name.as_bytes().to_vec(), conf_change);
        }
    }

    /// Collects all results of the events since the last step. `voters` are the current voters of the state;
    /// committed membership changes are applied to them.
    pub(crate) fn take_step(&mut self, voters: &mut BTreeMap<VoterId, String>) -> VoterStep {
        let mut step = VoterStep::default();
        while self.node.has_ready() {
            let mut ready = self.node.ready();
            step.push_messages(ready.take_messages());
            if !ready.snapshot().is_empty() {
                self.accept_snapshot(ready.snapshot().clone(), &mut step);
            }
            if !ready.entries().is_empty() {
                self.append_entries(ready.entries(), &mut step);
            }
            if let Some(hard_state) = ready.hs() {
                step.write_hard_state(hard_state);
                self.log.entries.wl().set_hardstate(hard_state.clone());
            }
            step.push_messages(ready.take_persisted_messages());
            let committed = ready.take_committed_entries();
            self.collect_committed(committed, voters, &mut step);
            let mut light_ready = self.node.advance(ready);
            if let Some(commit_index) = light_ready.commit_index() {
                let mut hard_state = self.log.entries.rl().hard_state().clone();
                hard_state.commit = commit_index;
                step.write_hard_state(&hard_state);
                self.log.entries.wl().mut_hard_state().commit = commit_index;
            }
            step.push_messages(light_ready.take_messages());
            let committed = light_ready.take_committed_entries();
            self.collect_committed(committed, voters, &mut step);
            self.node.advance_apply();
        }
        step
    }

    fn accept_snapshot(&mut self, snapshot: Snapshot, step: &mut VoterStep) {
        let metadata = snapshot.get_metadata();
        step.snapshot =
            Some(AcceptedSnapshot { snapshot_ref: snapshot.get_data().to_vec(), term: metadata.term });
        self.first_retained = metadata.index + 1;
        let _ = self.log.entries.wl().apply_snapshot(snapshot);
    }

    fn append_entries(&mut self, entries: &[RaftEntry], step: &mut VoterStep) {
        let first = entries[0].get_index();
        let last_stored = self.log.entries.last_index().unwrap_or(0);
        // Entries of an earlier leader that the new ones replace are deleted from disk.
        step.writes.extend((first..=last_stored).map(|index| Write::delete(StorageKey::Entry(index))));
        for entry in entries {
            let bytes = entry.write_to_bytes().unwrap_or_default();
            step.writes.push(Write::put(StorageKey::Entry(entry.get_index()), StoredValue::Entry(bytes)));
        }
        let _ = self.log.entries.wl().append(entries);
    }

    fn collect_committed(
        &mut self,
        entries: Vec<RaftEntry>,
        voters: &mut BTreeMap<VoterId, String>,
        step: &mut VoterStep,
    ) {
        for entry in entries {
            let (index, data) = (entry.get_index(), entry.get_data());
            let (kind, body) = match entry.get_entry_type() {
                EntryType::EntryNormal if data.is_empty() => (ENTRY_KIND_NOOP, Vec::new()),
                EntryType::EntryNormal => (data[0], data[1..].to_vec()),
                _ => match self.apply_membership(&entry, voters) {
                    Some(body) => (ENTRY_KIND_VOTERS, body),
                    None => (ENTRY_KIND_NOOP, Vec::new()),
                },
            };
            step.committed.push(LogEntry { index, kind, body });
        }
    }

    /// Applies a committed membership change; returns the encoding of the resulting voters, or `None` if the
    /// change had no effect.
    fn apply_membership(
        &mut self,
        entry: &RaftEntry,
        voters: &mut BTreeMap<VoterId, String>,
    ) -> Option<Vec<u8>> {
        let change = ConfChange::parse_from_bytes(entry.get_data()).ok()?;
        let conf_state = self.node.apply_conf_change(&change).ok()?;
        self.log.entries.wl().set_conf_state(conf_state);
        match change.get_change_type() {
            ConfChangeType::AddNode => {
                let name = String::from_utf8_lossy(entry.get_context()).into_owned();
                voters.insert(change.node_id, name);
            }
            _ => drop(voters.remove(&change.node_id)),
        }
        postcard::to_stdvec(voters).ok()
    }

    /// Updates the snapshot reference after entries were applied, and compacts the log once enough have
    /// accumulated; returns the writes that this needs.
    pub(crate) fn on_applied(&mut self, state: &RecordState) -> WriteBatch {
        self.log.set_snapshot_ref(encode_snapshot_ref(state));
        let applied = state.applied_index;
        if applied < self.first_retained + 2 * RETAINED_ENTRIES {
            return Vec::new();
        }
        let compact_to = applied - RETAINED_ENTRIES;
        let Ok(term) = self.log.entries.term(applied) else { return Vec::new() };
        let mut writes: WriteBatch =
            (self.first_retained..=applied).map(|index| Write::delete(StorageKey::Entry(index))).collect();
        writes.push(Write::put(StorageKey::Snapshot, StoredValue::snapshot(state, term)));
        let _ = self.log.entries.wl().compact(compact_to);
        self.first_retained = compact_to;
        writes
    }
}

/// Encodes the reference to a state that Raft snapshots contain in place of the state itself.
fn encode_snapshot_ref(state: &RecordState) -> Vec<u8> {
    let bytes = state.to_bytes();
    let text = TextRef { digest: Digest::of(&bytes), bytes: bytes.len() as u32 };
    postcard::to_stdvec(&text).unwrap_or_default()
}

/// Decodes the reference to a state in a Raft snapshot; `None` if it is malformed.
pub(crate) fn decode_snapshot_ref(encoded: &[u8]) -> Option<TextRef> {
    postcard::from_bytes(encoded).ok()
}
