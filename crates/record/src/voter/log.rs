//! A voter's log in memory, as the `raft` crate reads it.

use raft::eraftpb::{Entry, Snapshot};
use raft::storage::MemStorage;
use raft::{GetEntriesContext, RaftState, Storage};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The log. A snapshot for a voter that is far behind contains only a reference to the state, which is fetched apart
/// since it doesn't fit into a datagram.
#[derive(Clone)]
pub(super) struct Log {
    pub(super) entries: MemStorage,
    snapshot_ref: Arc<Mutex<Vec<u8>>>,
}

impl Log {
    pub(super) fn new() -> Log {
        Log { entries: MemStorage::new(), snapshot_ref: Arc::default() }
    }

    pub(super) fn set_snapshot_ref(&self, encoded: Vec<u8>) {
        *self.snapshot_ref() = encoded;
    }

    fn snapshot_ref(&self) -> MutexGuard<'_, Vec<u8>> {
        self.snapshot_ref.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Storage for Log {
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
