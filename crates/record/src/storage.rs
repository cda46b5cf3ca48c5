//! What a front keeps on disk of the record: keys, values and the writes that change them.
//!
//! The host stores keys and values by their `postcard` encoding, which goes by the order of variants and fields.

use crate::state::{RecordState, VoterId};
use crate::texts::Digest;
use serde::{Deserialize, Serialize};

/// A value on disk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoredValue {
    /// Term, vote and commit index: the protobuf encoding of the `raft` crate's `HardState`.
    HardState(Vec<u8>),
    /// A log entry: the protobuf encoding of the `raft` crate's `Entry`.
    Entry(Vec<u8>),
    /// A text.
    Text(Vec<u8>),
    /// A snapshot.
    Snapshot {
        /// [`RecordState::to_bytes`].
        state: Vec<u8>,
        /// Term of the last entry that it contains.
        term: u64,
        /// The voters as of that entry.
        voters: Vec<VoterId>,
    },
}

/// A key on disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum StorageKey {
    /// [`StoredValue::Snapshot`].
    Snapshot,
    /// [`StoredValue::HardState`].
    HardState,
    /// [`StoredValue::Entry`] of that index.
    Entry(u64),
    /// [`StoredValue::Text`] of that digest.
    Text(Digest),
}

/// One change of what is on disk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// The key.
    pub key: StorageKey,
    /// Its new value; `None` deletes it.
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
    /// The snapshot of a state whose last entry is of that term.
    pub(crate) fn snapshot(state: &RecordState, term: u64) -> StoredValue {
        let voters = state.voters.keys().copied().collect();
        StoredValue::Snapshot { state: state.to_bytes(), term, voters }
    }
}

#[cfg(test)]
mod tests;
