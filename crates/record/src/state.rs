//! The replicated state that the committed log entries amount to, and a hash chain over them: two fronts with the same
//! chain hash have applied the same entries.

use crate::rules::{Answer, Command, Rules};
use crate::texts::{Digest, TextRef};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A voter: a front's name and the disk that its votes are on. One that lost its disk is another voter.
pub type VoterId = u64;

/// A committed log entry, as voters retain it and fronts replicate it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Its index in the log.
    pub index: u64,
    /// The kind of its command. One that this program does not know stays in the voters' logs and is not applied.
    pub kind: u8,
    /// The command, encoded by `postcard`.
    pub body: Vec<u8>,
}

/// No command: a new leader's first entry, or a membership change that had no effect.
pub const KIND_NOOP: u8 = 0;
/// A [`Command`].
pub const KIND_RULES: u8 = 1;
/// The voters, with the names of their fronts.
pub const KIND_VOTERS: u8 = 2;

/// A log entry that this program can't apply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnsupportedEntry {
    /// Its index in the log.
    pub index: u64,
    /// Its kind.
    pub kind: u8,
}

/// An answer to a command, for the front where it was proposed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyedAnswer {
    /// The command's key.
    pub key: String,
    /// The answer.
    pub answer: Answer,
}

/// The state after the committed log entries up to an index. Its `postcard` encoding is the snapshot.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordState {
    /// Which record it is, drawn at the bootstrap; 0: none yet.
    pub record_id: u64,
    /// Index of the last applied entry.
    pub applied_index: u64,
    /// Hash of all entries up to it.
    pub chain_hash: u64,
    /// The routing rules.
    pub rules: Rules,
    /// The voters, with the names of their fronts.
    pub voters: BTreeMap<VoterId, String>,
    /// The first entry that this program can't apply, if there is one. Nothing after it is applied.
    pub unsupported: Option<UnsupportedEntry>,
}

impl RecordState {
    /// The state of a record that has just been bootstrapped.
    pub fn bootstrapped(record_id: u64, voters: BTreeMap<VoterId, String>) -> RecordState {
        // One entry counts as applied, so that a voter that comes later gets a snapshot and not entries from the first on.
        RecordState { record_id, applied_index: 1, chain_hash: record_id, voters, ..RecordState::default() }
    }

    /// Applies the next entry; returns the answer to a command on the rules. What is not the next changes nothing.
    pub fn apply(&mut self, entry: &LogEntry) -> Option<KeyedAnswer> {
        if entry.index != self.applied_index + 1 || self.unsupported.is_some() {
            return None;
        }
        let mut answered = None;
        let is_supported = match entry.kind {
            KIND_NOOP => true,
            KIND_RULES => match postcard::from_bytes::<Command>(&entry.body) {
                Ok(command) => {
                    let answer = self.rules.apply(&command);
                    answered = Some(KeyedAnswer { key: command.key, answer });
                    true
                }
                Err(_) => false,
            },
            KIND_VOTERS => match postcard::from_bytes(&entry.body) {
                Ok(voters) => {
                    self.voters = voters;
                    true
                }
                Err(_) => false,
            },
            _ => false,
        };
        if !is_supported {
            self.unsupported = Some(UnsupportedEntry { index: entry.index, kind: entry.kind });
            return None;
        }
        self.applied_index = entry.index;
        self.chain_hash = extend_chain(self.chain_hash, entry);
        answered
    }

    /// The snapshot: its encoding, for a front that is far behind.
    pub fn to_bytes(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes a snapshot; `None` if it is malformed.
    pub fn from_bytes(bytes: &[u8]) -> Option<RecordState> {
        postcard::from_bytes(bytes).ok()
    }

    /// The texts of the known versions, the oldest first.
    pub fn texts(&self) -> impl Iterator<Item = TextRef> + '_ {
        self.rules.versions().map(|v| TextRef { digest: v.digest, bytes: v.bytes })
    }
}

/// The chain hash after one more entry.
pub fn extend_chain(chain_hash: u64, entry: &LogEntry) -> u64 {
    let mut hashed = chain_hash.to_be_bytes().to_vec();
    hashed.extend(entry.index.to_be_bytes());
    hashed.push(entry.kind);
    hashed.extend(&entry.body);
    Digest::of(&hashed).prefix_u64()
}

#[cfg(test)]
mod tests;
