//! A voter's Raft log in memory, as storage for the `raft` crate.

use crate::state::RecordState;
use crate::storage::{StorageKey, StoredValue};
use protobuf::Message as _;
use raft::eraftpb::{ConfState, Entry, HardState, Snapshot};
use raft::storage::MemStorage;
use raft::{GetEntriesContext, RaftState, Storage};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The Raft log. A snapshot for a voter that is far behind contains only a reference to the state; the state
/// itself does not fit into a datagram and is fetched separately.
#[derive(Clone)]
pub(super) struct VoterLog {
    pub(super) entries: MemStorage,
    snapshot_ref: Arc<Mutex<Vec<u8>>>,
}

/// A log restored from disk, and the state of the snapshot that precedes its entries.
pub(super) struct RestoredLog {
    pub(super) log: VoterLog,
    pub(super) state: RecordState,
}

impl VoterLog {
    /// Restores the log found on disk, or an empty one if nothing was found. `None` if the stored data can't
    /// be decoded.
    pub(super) fn restore(stored: &BTreeMap<StorageKey, StoredValue>) -> Option<RestoredLog> {
        let (mut state, mut state_term) = (RecordState::default(), 0);
        let log = VoterLog { entries: MemStorage::new(), snapshot_ref: Arc::default() };
        let mut memory = log.entries.wl();
        if let Some(StoredValue::Snapshot { state: encoded, term, voters }) =
            stored.get(&StorageKey::Snapshot)
        {
            (state, state_term) = (RecordState::from_bytes(encoded)?, *term);
            let mut snapshot = Snapshot::default();
            snapshot.mut_metadata().index = state.applied_index;
            snapshot.mut_metadata().term = *term;
            let conf_state = ConfState { voters: voters.clone(), ..ConfState::default() };
            *snapshot.mut_metadata().mut_conf_state() = conf_state;
            memory.apply_snapshot(snapshot).ok()?;
        }
        let mut entries = Vec::new();
        for (key, value) in stored.range(StorageKey::Entry(state.applied_index + 1)..) {
            let (StorageKey::Entry(_), StoredValue::Entry(bytes)) = (key, value) else { continue };
            entries.push(Entry::parse_from_bytes(bytes).ok()?);
        }
        memory.append(&entries).ok()?;
        if let Some(StoredValue::HardState(bytes)) = stored.get(&StorageKey::HardState) {
            let mut hard_state = HardState::parse_from_bytes(bytes).ok()?;
            // The stored snapshot may be newer than the hard state that was last written.
            hard_state.commit = hard_state.commit.max(state.applied_index);
            hard_state.term = hard_state.term.max(state_term);
            memory.set_hardstate(hard_state);
        }
        drop(memory);
        Some(RestoredLog { log, state })
    }

    pub(super) fn set_snapshot_ref(&self, encoded: Vec<u8>) {
        *self.snapshot_ref() = encoded;
    }

    fn snapshot_ref(&self) -> MutexGuard<'_, Vec<u8>> {
        self.snapshot_ref.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Storage for VoterLog {
    fn initial_state(&self) -> raft::Result<RaftState> {
        self.entries.initial_state()
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        context: GetEntriesContext,
    ) -> raft::Result<Vec<Entry>> {
        self.entries.entries(low, high, max_size, context)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        self.entries.term(index)
    }

    fn first_index(&self) -> raft::Result<u64> {
        self.entries.first_index()
    }

    fn last_index(&self) -> raft::Result<u64> {
        self.entries.last_index()
    }

    fn snapshot(&self, request_index: u64, to: u64) -> raft::Result<Snapshot> {
        let mut snapshot = self.entries.snapshot(request_index, to)?;
        snapshot.set_data(self.snapshot_ref().clone().into());
        Ok(snapshot)
    }
}
