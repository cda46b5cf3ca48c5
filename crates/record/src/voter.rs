//! A voter: the `raft` crate's state machine with a log that can be cut, and its steps put into what is to be made
//! durable before what is to be said.

use crate::agreed::{Agreed, Entry, VoterId, KIND_NONE, KIND_VOTERS};
use crate::rules::Digest;
use protobuf::Message as _;
use raft::eraftpb::{
    ConfChange, ConfChangeType, ConfState, Entry as RaftEntry, EntryType, HardState, Message, Snapshot,
};
use raft::storage::MemStorage;
use raft::{Config, GetEntriesContext, RaftState, RawNode, StateRole, Storage};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Ticks without a leader until one offers itself, at the least; each voter has a number of its own above it, so that
/// two seldom offer themselves at once.
const ELECTION_TICKS: usize = 10;
/// Ticks between a leader's words.
const HEARTBEAT_TICKS: usize = 3;
/// Bytes of commands in a message of voters: it must fit into a datagram.
const MOST_SENT: u64 = 600;
/// Messages to one voter that may be under way.
const IN_FLIGHT: usize = 16;
/// Commands that are kept behind the state, for those who are a little behind.
pub const KEPT: u64 = 256;

/// What is on disk of a voter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Saved {
    /// Its term, its vote and what it knows to be agreed, as bytes of the library's.
    Hard(Vec<u8>),
    /// A command, as bytes of the library's.
    Entry(Vec<u8>),
    /// A text.
    Text(Vec<u8>),
    /// The state up to a command, that command's term, and the voters by the library.
    State {
        /// [`Agreed::to_bytes`].
        agreed: Vec<u8>,
        /// Term of its last command.
        term: u64,
        /// Voters.
        voters: Vec<VoterId>,
    },
}

/// A place on disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Place {
    /// [`Saved::State`].
    State,
    /// [`Saved::Hard`].
    Hard,
    /// [`Saved::Entry`] of that index.
    Entry(u64),
    /// [`Saved::Text`] of that digest.
    Text(Digest),
}

/// What is to be written; `None`: what was there is to go. All of it together or nothing.
pub type Writes = Vec<(Place, Option<Saved>)>;

/// The log in memory, as the library sees it; a state for one who is far behind is its digest.
#[derive(Clone)]
pub(crate) struct Log {
    mem: MemStorage,
    state: std::sync::Arc<std::sync::Mutex<Vec<u8>>>,
}

impl Log {
    fn state(&self) -> std::sync::MutexGuard<'_, Vec<u8>> {
        self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

impl Storage for Log {
    fn initial_state(&self) -> raft::Result<RaftState> {
        self.mem.initial_state()
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        most: impl Into<Option<u64>>,
        context: GetEntriesContext,
    ) -> raft::Result<Vec<RaftEntry>> {
        self.mem.entries(low, high, most, context)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        self.mem.term(index)
    }

    fn first_index(&self) -> raft::Result<u64> {
        self.mem.first_index()
    }

    fn last_index(&self) -> raft::Result<u64> {
        self.mem.last_index()
    }

    fn snapshot(&self, index: u64, to: u64) -> raft::Result<Snapshot> {
        let mut s = self.mem.snapshot(index, to)?;
        s.set_data(self.state().clone().into());
        Ok(s)
    }
}

/// What a step of a voter brings, in the order in which it is to be carried out.
#[derive(Debug, Default)]
pub(crate) struct Step {
    /// Durable first. Nothing of `say` may go out before.
    pub writes: Writes,
    /// Messages to other voters.
    pub say: Vec<(VoterId, Vec<u8>)>,
    /// Commands agreed, in order.
    pub agreed: Vec<Entry>,
    /// A state was taken over from the leader: its digest and length, as the leader words them.
    pub state: Option<(Vec<u8>, u64)>,
}

/// A voter's part.
pub(crate) struct Voter {
    pub id: VoterId,
    node: RawNode<Log>,
    log: Log,
    first_kept: u64,
}

fn to_entry(e: &RaftEntry, voters: impl FnOnce(&RaftEntry) -> Option<Vec<u8>>) -> Entry {
    let (index, data) = (e.get_index(), e.get_data());
    match e.get_entry_type() {
        EntryType::EntryNormal if data.is_empty() => Entry { index, kind: KIND_NONE, body: Vec::new() },
        EntryType::EntryNormal => Entry { index, kind: data[0], body: data[1..].to_vec() },
        _ => match voters(e) {
            Some(body) => Entry { index, kind: KIND_VOTERS, body },
            None => Entry { index, kind: KIND_NONE, body: Vec::new() },
        },
    }
}

impl Voter {
    /// A voter on what was found on its disk, which nobody knows to be behind; on nothing, one that was just taken in and
    /// gets its first state from the leader.
    pub fn new(id: VoterId, spread: usize, saved: &BTreeMap<Place, Saved>) -> Option<(Voter, Agreed)> {
        let log = Log { mem: MemStorage::new(), state: std::sync::Arc::default() };
        let (mut state, mut state_term) = (Agreed::default(), 0);
        {
            let mut w = log.mem.wl();
            if let Some(Saved::State { agreed, term, voters }) = saved.get(&Place::State) {
                (state, state_term) = (Agreed::from_bytes(agreed)?, *term);
                let mut s = Snapshot::default();
                s.mut_metadata().index = state.index;
                s.mut_metadata().term = *term;
                let conf = ConfState { voters: voters.clone(), ..ConfState::default() };
                *s.mut_metadata().mut_conf_state() = conf;
                w.apply_snapshot(s).ok()?;
            }
            let mut entries = Vec::new();
            for (place, e) in saved.range(Place::Entry(state.index + 1)..) {
                let (Place::Entry(_), Saved::Entry(bytes)) = (place, e) else { continue };
                entries.push(RaftEntry::parse_from_bytes(bytes).ok()?);
            }
            w.append(&entries).ok()?;
            if let Some(Saved::Hard(bytes)) = saved.get(&Place::Hard) {
                let mut hard = HardState::parse_from_bytes(bytes).ok()?;
                // The state may be further on than what was last said of it.
                hard.commit = hard.commit.max(state.index);
                hard.term = hard.term.max(state_term);
                w.set_hardstate(hard);
            }
        }
        *log.state() = state_words(&state);
        let ticks = ELECTION_TICKS + spread;
        let config = Config {
            id,
            election_tick: ELECTION_TICKS,
            // One length, so that equal seeds do the same.
            min_election_tick: ticks,
            max_election_tick: ticks + 1,
            heartbeat_tick: HEARTBEAT_TICKS,
            applied: state.index,
            max_size_per_msg: MOST_SENT,
            max_committed_size_per_ready: u64::MAX,
            max_inflight_msgs: IN_FLIGHT,
            check_quorum: true,
            pre_vote: true,
            ..Config::default()
        };
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let node = RawNode::new(&config, log.clone(), &logger).ok()?;
        let first_kept = state.index + 1;
        Some((Voter { id, node, log, first_kept }, state))
    }

    /// What a disk holds of a voter once the record up to that command of that term is on it, and nothing after it.
    pub fn saved(agreed: &Agreed, term: u64) -> (Place, Option<Saved>) {
        let voters = agreed.voters.keys().copied().collect();
        (Place::State, Some(Saved::State { agreed: agreed.to_bytes(), term, voters }))
    }

    /// Others that wait for a state which was sent to them: it may have been lost.
    pub fn lost_states(&mut self) {
        let waiting: Vec<VoterId> = self
            .node
            .raft
            .prs()
            .iter()
            .filter(|(_, p)| p.state == raft::ProgressState::Snapshot)
            .map(|(id, _)| *id)
            .collect();
        for id in waiting {
            self.node.report_snapshot(id, raft::SnapshotStatus::Failure);
        }
    }

    pub fn leads(&self) -> bool {
        self.node.raft.state == StateRole::Leader
    }

    /// Who leads, as far as is known.
    pub fn leader(&self) -> Option<VoterId> {
        Some(self.node.raft.leader_id).filter(|l| *l != 0)
    }

    pub fn tick(&mut self) {
        self.node.tick();
    }

    /// Another voter's message. `held`: whether a state that it brings is held here.
    pub fn hear(&mut self, bytes: &[u8], held: impl FnOnce(&[u8]) -> bool) -> Result<(), Vec<u8>> {
        let Ok(m) = Message::parse_from_bytes(bytes) else { return Ok(()) };
        if m.get_to() != self.id {
            return Ok(());
        }
        // A state comes as its digest: it is fetched first, and the leader says it again.
        if m.has_snapshot() && !m.get_snapshot().get_data().is_empty() && !held(m.get_snapshot().get_data()) {
            return Err(m.get_snapshot().get_data().to_vec());
        }
        let _ = self.node.step(m);
        Ok(())
    }

    /// Offers a command, if this voter leads.
    pub fn propose(&mut self, kind: u8, body: &[u8]) -> bool {
        self.leads() && self.node.propose(Vec::new(), [&[kind], body].concat()).is_ok()
    }

    /// Offers to take a voter in or out; one change at a time.
    pub fn change(&mut self, id: VoterId, takes_in: bool, name: &str) -> bool {
        let how = if takes_in { ConfChangeType::AddNode } else { ConfChangeType::RemoveNode };
        let mut change = ConfChange::default();
        change.set_change_type(how);
        change.node_id = id;
        self.leads() && self.node.propose_conf_change(name.as_bytes().to_vec(), change).is_ok()
    }

    /// All that the last events bring. `voters` is the state's, to which changes apply.
    pub fn step(&mut self, voters: &mut BTreeMap<VoterId, String>) -> Step {
        let mut out = Step::default();
        while self.node.has_ready() {
            let mut ready = self.node.ready();
            push(&mut out.say, ready.take_messages());
            if !ready.snapshot().is_empty() {
                let s = ready.snapshot().clone();
                let index = s.get_metadata().index;
                out.state = Some((s.get_data().to_vec(), s.get_metadata().term));
                let _ = self.log.mem.wl().apply_snapshot(s);
                self.first_kept = index + 1;
            }
            if !ready.entries().is_empty() {
                let last = self.log.mem.last_index().unwrap_or(0);
                let from = ready.entries()[0].get_index();
                // What another leader's commands replace goes.
                out.writes.extend((from..=last).map(|i| (Place::Entry(i), None)));
                for e in ready.entries() {
                    let bytes = e.write_to_bytes().unwrap_or_default();
                    out.writes.push((Place::Entry(e.get_index()), Some(Saved::Entry(bytes))));
                }
                let _ = self.log.mem.wl().append(ready.entries());
            }
            if let Some(hard) = ready.hs() {
                let bytes = hard.write_to_bytes().unwrap_or_default();
                out.writes.push((Place::Hard, Some(Saved::Hard(bytes))));
                self.log.mem.wl().set_hardstate(hard.clone());
            }
            push(&mut out.say, ready.take_persisted_messages());
            let committed = ready.take_committed_entries();
            self.commit(committed, voters, &mut out);
            let mut light = self.node.advance(ready);
            if let Some(commit) = light.commit_index() {
                let mut hard = self.log.mem.rl().hard_state().clone();
                hard.commit = commit;
                let bytes = hard.write_to_bytes().unwrap_or_default();
                out.writes.push((Place::Hard, Some(Saved::Hard(bytes))));
                self.log.mem.wl().mut_hard_state().commit = commit;
            }
            push(&mut out.say, light.take_messages());
            let committed = light.take_committed_entries();
            self.commit(committed, voters, &mut out);
            self.node.advance_apply();
        }
        out
    }

    fn commit(&mut self, all: Vec<RaftEntry>, voters: &mut BTreeMap<VoterId, String>, out: &mut Step) {
        for e in all {
            let entry = to_entry(&e, |e| {
                let change = ConfChange::parse_from_bytes(e.get_data()).ok()?;
                let conf = self.node.apply_conf_change(&change).ok()?;
                self.log.mem.wl().set_conf_state(conf);
                match change.get_change_type() {
                    ConfChangeType::AddNode => {
                        let name = String::from_utf8_lossy(e.get_context()).into_owned();
                        voters.insert(change.node_id, name);
                    }
                    _ => drop(voters.remove(&change.node_id)),
                }
                postcard::to_stdvec(voters).ok()
            });
            out.agreed.push(entry);
        }
    }

    /// After commands were taken: the state as it is to be handed on, and, now and then, a shorter log.
    pub fn took(&mut self, agreed: &Agreed) -> Writes {
        *self.log.state() = state_words(agreed);
        if agreed.index < self.first_kept + 2 * KEPT {
            return Vec::new();
        }
        let cut = agreed.index - KEPT;
        let Ok(term) = self.log.mem.term(agreed.index) else { return Vec::new() };
        let mut writes: Writes = (self.first_kept..=agreed.index).map(|i| (Place::Entry(i), None)).collect();
        writes.push(Voter::saved(agreed, term));
        let _ = self.log.mem.wl().compact(cut);
        self.first_kept = cut;
        writes
    }
}

/// A state in the words of a leader to one who is far behind: its digest and its length.
fn state_words(agreed: &Agreed) -> Vec<u8> {
    let bytes = agreed.to_bytes();
    postcard::to_stdvec(&(Digest::of(&bytes), bytes.len() as u32)).unwrap_or_default()
}

/// Reads them.
pub(crate) fn read_state_words(words: &[u8]) -> Option<(Digest, u32)> {
    postcard::from_bytes(words).ok()
}

fn push(say: &mut Vec<(VoterId, Vec<u8>)>, messages: Vec<Message>) {
    say.extend(messages.into_iter().map(|m| (m.get_to(), m.write_to_bytes().unwrap_or_default())));
}
