//! A voter: the `raft` crate's state machine on a log that can be compacted. Each of its steps is turned into what must
//! be durable before what may be sent.

mod log;

use crate::state::{LogEntry, RecordState, VoterId, KIND_NOOP, KIND_VOTERS};
use crate::storage::{StorageKey, StoredValue, Write, WriteBatch};
use crate::texts::{Digest, TextRef};
use log::{Log, RestoredLog};
use protobuf::Message as _;
use raft::eraftpb::{
    ConfChange, ConfChangeType, Entry as RaftEntry, EntryType, HardState, Message, Snapshot,
};
use raft::{Config, RawNode, StateRole, Storage};
use std::collections::BTreeMap;

/// The shortest election timeout, in ticks. Each voter has a number of its own above it, so that two seldom campaign at
/// once.
const ELECTION_TICKS: usize = 10;
/// Ticks between a leader's heartbeats.
const HEARTBEAT_TICKS: usize = 3;
/// Bytes of entries in a message between voters: it must fit into a datagram.
const MAX_MESSAGE_BYTES: u64 = 600;
/// Unacknowledged messages to one voter.
const MAX_IN_FLIGHT: usize = 16;
/// Entries that are retained below the applied index, for those that are a little behind.
pub(crate) const RETAINED_ENTRIES: u64 = 256;

/// A message to another voter.
#[derive(Debug)]
pub(crate) struct OutgoingMessage {
    pub(crate) to: VoterId,
    /// The protobuf encoding of the `raft` crate's `Message`.
    pub(crate) message: Vec<u8>,
}

/// A snapshot that was accepted from the leader.
#[derive(Debug)]
pub(crate) struct AcceptedSnapshot {
    /// The encoded reference to the state, see [`decode_snapshot_ref`].
    pub(crate) snapshot_ref: Vec<u8>,
    /// Term of the last entry that it contains.
    pub(crate) term: u64,
}

/// What a step of a voter results in, in the order in which it is to be carried out.
#[derive(Debug, Default)]
pub(crate) struct Step {
    /// The leader's snapshot replaces the state.
    pub(crate) snapshot: Option<AcceptedSnapshot>,
    /// To be durable before any message is sent.
    pub(crate) writes: WriteBatch,
    pub(crate) messages: Vec<OutgoingMessage>,
    /// Committed entries, in order.
    pub(crate) committed: Vec<LogEntry>,
}

impl Step {
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

/// A change of the voters, of which one at a time may be in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MembershipChange {
    Add,
    Remove,
}

/// A message was dropped since it brings a snapshot whose state is not here: it is to be fetched, and the leader sends
/// the message again.
#[derive(Debug)]
pub(crate) struct SnapshotMissing {
    /// The encoded reference to the state.
    pub(crate) snapshot_ref: Vec<u8>,
}

/// A voter and the state that it starts from.
pub(crate) struct RestoredVoter {
    pub(crate) voter: Voter,
    pub(crate) state: RecordState,
}

/// One voter.
pub(crate) struct Voter {
    id: VoterId,
    node: RawNode<Log>,
    log: Log,
    /// Index from which entries are retained in memory.
    first_retained: u64,
}

impl Voter {
    /// A voter on what was found on its disk, which must not be older than its last vote; on nothing, one that was just
    /// added and gets its first snapshot from the leader. `None`: what was found can't be decoded.
    ///
    /// `extra_election_ticks` is this voter's election timeout above [`ELECTION_TICKS`].
    pub(crate) fn restore(
        id: VoterId,
        extra_election_ticks: usize,
        stored: &BTreeMap<StorageKey, StoredValue>,
    ) -> Option<RestoredVoter> {
        let RestoredLog { log, state } = Log::restore(stored)?;
        log.set_snapshot_ref(encode_snapshot_ref(&state));
        let election_ticks = ELECTION_TICKS + extra_election_ticks;
        let config = Config {
            id,
            election_tick: ELECTION_TICKS,
            // A range of one, so that equal seeds do the same.
            min_election_tick: election_ticks,
            max_election_tick: election_ticks + 1,
            heartbeat_tick: HEARTBEAT_TICKS,
            applied: state.applied_index,
            max_size_per_msg: MAX_MESSAGE_BYTES,
            max_committed_size_per_ready: u64::MAX,
            max_inflight_msgs: MAX_IN_FLIGHT,
            check_quorum: true,
            pre_vote: true,
            ..Config::default()
        };
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let node = RawNode::new(&config, log.clone(), &logger).ok()?;
        let first_retained = state.applied_index + 1;
        Some(RestoredVoter { voter: Voter { id, node, log, first_retained }, state })
    }

    /// Voters that wait for a snapshot which was sent to them get it again: it may have been lost.
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

    /// The leader, as far as it is known.
    pub(crate) fn leader(&self) -> Option<VoterId> {
        Some(self.node.raft.leader_id).filter(|leader| *leader != 0)
    }

    pub(crate) fn tick(&mut self) {
        self.node.tick();
    }

    /// Takes another voter's message. `has_state`: whether the state of an encoded snapshot reference is here.
    pub(crate) fn receive(
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

    /// Proposes a command; `false` if this voter is not the leader or the log does not take it.
    pub(crate) fn propose(&mut self, kind: u8, body: &[u8]) -> bool {
        self.is_leader() && self.node.propose(Vec::new(), [&[kind], body].concat()).is_ok()
    }

    /// Proposes to add or remove a voter, the one of the front of that name.
    pub(crate) fn propose_membership(&mut self, id: VoterId, change: MembershipChange, name: &str) {
        let change_type = match change {
            MembershipChange::Add => ConfChangeType::AddNode,
            MembershipChange::Remove => ConfChangeType::RemoveNode,
        };
        let mut conf_change = ConfChange::default();
        conf_change.set_change_type(change_type);
        conf_change.node_id = id;
        if self.is_leader() {
            // One that is refused since another is in the log is proposed again when the front announces itself again.
            let _ = self.node.propose_conf_change(name.as_bytes().to_vec(), conf_change);
        }
    }

    /// All that the last events result in. `voters` are the state's; committed membership changes are applied to them.
    pub(crate) fn step(&mut self, voters: &mut BTreeMap<VoterId, String>) -> Step {
        let mut step = Step::default();
        while self.node.has_ready() {
            let mut ready = self.node.ready();
            step.push_messages(ready.take_messages());
            if !ready.snapshot().is_empty() {
                self.accept_snapshot(ready.snapshot().clone(), &mut step);
            }
            if !ready.entries().is_empty() {
                self.append(ready.entries(), &mut step);
            }
            if let Some(hard_state) = ready.hs() {
                step.write_hard_state(hard_state);
                self.log.entries.wl().set_hardstate(hard_state.clone());
            }
            step.push_messages(ready.take_persisted_messages());
            let committed = ready.take_committed_entries();
            self.commit(committed, voters, &mut step);
            let mut light_ready = self.node.advance(ready);
            if let Some(commit_index) = light_ready.commit_index() {
                let mut hard_state = self.log.entries.rl().hard_state().clone();
                hard_state.commit = commit_index;
                step.write_hard_state(&hard_state);
                self.log.entries.wl().mut_hard_state().commit = commit_index;
            }
            step.push_messages(light_ready.take_messages());
            let committed = light_ready.take_committed_entries();
            self.commit(committed, voters, &mut step);
            self.node.advance_apply();
        }
        step
    }

    fn accept_snapshot(&mut self, snapshot: Snapshot, step: &mut Step) {
        let metadata = snapshot.get_metadata();
        step.snapshot =
            Some(AcceptedSnapshot { snapshot_ref: snapshot.get_data().to_vec(), term: metadata.term });
        self.first_retained = metadata.index + 1;
        let _ = self.log.entries.wl().apply_snapshot(snapshot);
    }

    fn append(&mut self, entries: &[RaftEntry], step: &mut Step) {
        let first = entries[0].get_index();
        let last_stored = self.log.entries.last_index().unwrap_or(0);
        // Entries of an earlier leader that these replace are deleted.
        step.writes.extend((first..=last_stored).map(|index| Write::delete(StorageKey::Entry(index))));
        for entry in entries {
            let bytes = entry.write_to_bytes().unwrap_or_default();
            step.writes.push(Write::put(StorageKey::Entry(entry.get_index()), StoredValue::Entry(bytes)));
        }
        let _ = self.log.entries.wl().append(entries);
    }

    fn commit(&mut self, entries: Vec<RaftEntry>, voters: &mut BTreeMap<VoterId, String>, step: &mut Step) {
        for entry in entries {
            let (index, data) = (entry.get_index(), entry.get_data());
            let (kind, body) = match entry.get_entry_type() {
                EntryType::EntryNormal if data.is_empty() => (KIND_NOOP, Vec::new()),
                EntryType::EntryNormal => (data[0], data[1..].to_vec()),
                _ => match self.apply_membership(&entry, voters) {
                    Some(body) => (KIND_VOTERS, body),
                    None => (KIND_NOOP, Vec::new()),
                },
            };
            step.committed.push(LogEntry { index, kind, body });
        }
    }

    /// Applies a committed membership change; the resulting voters, encoded.
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

    /// Entries were applied: the snapshot for others is the new state, and now and then the log is compacted.
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

/// A snapshot as the leader's message has it: the reference to the state's encoding.
fn encode_snapshot_ref(state: &RecordState) -> Vec<u8> {
    let bytes = state.to_bytes();
    let text = TextRef { digest: Digest::of(&bytes), bytes: bytes.len() as u32 };
    postcard::to_stdvec(&text).unwrap_or_default()
}

/// The reference in a snapshot of the leader's message; `None` if it is malformed.
pub(crate) fn decode_snapshot_ref(encoded: &[u8]) -> Option<TextRef> {
    postcard::from_bytes(encoded).ok()
}
