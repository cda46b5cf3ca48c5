//! Keys, values and writes of the part of the record that a front stores on disk.
//!
//! The host stores keys and values in their `postcard` encoding, which depends on the order of variants and
//! fields.

use crate::state::{RecordState, VoterId};
use crate::texts::Digest;
use serde::{Deserialize, Serialize};

/// A value of the record on disk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoredValue {
    /// Raft term, vote and commit index: the protobuf encoding of the `raft` crate's `HardState`.
    HardState(Vec<u8>),
    /// A Raft log entry: the protobuf encoding of the `raft` crate's `Entry`.
    Entry(Vec<u8>),
    /// A rules text that this voter has found valid.
    Text(Vec<u8>),
    /// A snapshot of the replicated state.
    Snapshot {
        /// The encoded state, see [`RecordState::to_bytes`].
        state: Vec<u8>,
        /// Raft term of the last log entry that the snapshot covers.
        term: u64,
        /// Ids of the voters after the last log entry that the snapshot covers.
        voters: Vec<VoterId>,
    },
}

/// A key of the record on disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum StorageKey {
    /// Key of the only [`StoredValue::Snapshot`].
    Snapshot,
    /// Key of the only [`StoredValue::HardState`].
    HardState,
    /// Key of the [`StoredValue::Entry`] with this index in the log.
    Entry(u64),
    /// Key of the [`StoredValue::Text`] with this digest.
    Text(Digest),
}

/// One change of a key on disk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// The key whose value is changed.
    pub key: StorageKey,
    /// The new value of the key; `None` deletes the key.
    pub value: Option<StoredValue>,
}

impl Write {
    pub(crate) fn put(key: StorageKey, value: StoredValue) -> Write {
        Write { key, value: Some(value) }
    }

    pub(crate) fn delete(key: StorageKey) -> Write {
        Write { key, value: None }
    }
}

/// Writes that become durable together or not at all.
pub type WriteBatch = Vec<Write>;

impl StoredValue {
    /// The stored form of a state whose last applied entry is of the Raft term `term`.
    pub(crate) fn snapshot(state: &RecordState, term: u64) -> StoredValue {
        let voters = state.voters.keys().copied().collect();
        StoredValue::Snapshot { state: state.to_bytes(), term, voters }
    }
}

#[cfg(test)]
mod tests;
