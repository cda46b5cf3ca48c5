//! The replicated state that results from the committed log entries, and a hash chain over the entries: two
//! fronts with the same chain hash have applied the same entries.

use crate::rules::{Answer, Command, Rules};
use crate::texts::{Digest, TextRef};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Id of a Raft voter, derived from the front's name and its disk id: a front that lost its disk gets
/// another voter id.
pub type VoterId = u64;

/// A committed log entry, as voters retain it and fronts replicate it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Index of the entry in the log.
    pub index: u64,
    /// Kind of the entry's command. An entry of a kind unknown to this program stays in the voters' logs
    /// unapplied.
    pub kind: u8,
    /// The `postcard` encoding of the entry's command.
    pub body: Vec<u8>,
}

/// Kind of an entry without a command: a new leader's first one, or a membership change that had no effect.
pub const ENTRY_KIND_NOOP: u8 = 0;
/// Kind of an entry whose body is a [`Command`] on the routing rules.
pub const ENTRY_KIND_RULES: u8 = 1;
/// Kind of an entry whose body is the new set of voters, with the names of their fronts.
pub const ENTRY_KIND_VOTERS: u8 = 2;

/// A log entry that this program can't apply, since its kind or its body is unknown to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnsupportedEntry {
    /// Index of the unsupported entry in the log.
    pub index: u64,
    /// Kind of the unsupported entry.
    pub kind: u8,
}

/// The answer to an applied command, to be delivered to the front that proposed it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyedAnswer {
    /// Key of the command that is answered.
    pub key: String,
    /// The new version's number, or the reason for the rejection.
    pub answer: Answer,
}

/// The state after the committed log entries up to an index. Its `postcard` encoding is the snapshot.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordState {
    /// Random id of the record, drawn at its bootstrap; 0 on a front that has no record yet.
    pub record_id: u64,
    /// Index of the last applied log entry.
    pub applied_index: u64,
    /// Chain hash of all entries up to the last applied one, see [`extend_chain_hash`].
    pub chain_hash: u64,
    /// The versions of the routing rules and the answers to commands.
    pub rules: Rules,
    /// The current Raft voters, each with the name of its front.
    pub voters: BTreeMap<VoterId, String>,
    /// The first entry that this program can't apply, if there is one. Nothing after it is applied.
    pub unsupported: Option<UnsupportedEntry>,
}

impl RecordState {
    /// The state of a record that has just been bootstrapped.
    pub fn bootstrapped(record_id: u64, voters: BTreeMap<VoterId, String>) -> RecordState {
        // Entry 1 counts as applied, so that a voter added later is sent a snapshot and not all entries from
        // the first.
        RecordState { record_id, applied_index: 1, chain_hash: record_id, voters, ..RecordState::default() }
    }

    /// Applies the next log entry and returns the answer to a command on the rules. An entry that is not the
    /// next in the log changes nothing, and neither does any entry after an unsupported one.
    pub fn apply_entry(&mut self, entry: &LogEntry) -> Option<KeyedAnswer> {
        if entry.index != self.applied_index + 1 || self.unsupported.is_some() {
            return None;
        }
        let mut answered = None;
        let is_supported = match entry.kind {
            ENTRY_KIND_NOOP => true,
            ENTRY_KIND_RULES => match postcard::from_bytes::<Command>(&entry.body) {
                Ok(command) => {
                    let answer = self.rules.apply_command(&command);
                    answered = Some(KeyedAnswer { key: command.key, answer });
                    true
                }
                Err(_) => false,
            },
            ENTRY_KIND_VOTERS => match postcard::from_bytes(&entry.body) {
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
        self.chain_hash = extend_chain_hash(self.chain_hash, entry);
        answered
    }

    /// Encodes the state as a snapshot.
    pub fn to_bytes(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes a snapshot; `None` if it is malformed.
    pub fn from_bytes(bytes: &[u8]) -> Option<RecordState> {
        postcard::from_bytes(bytes).ok()
    }

    /// References to the texts of all retained versions, the oldest first.
    pub fn version_texts(&self) -> impl Iterator<Item = TextRef> + '_ {
        self.rules.versions().map(|v| TextRef { digest: v.digest, bytes: v.bytes })
    }
}

/// The chain hash after one more entry: a hash of the chain hash so far and the entry's fields.
pub fn extend_chain_hash(chain_hash: u64, entry: &LogEntry) -> u64 {
    let mut hashed = chain_hash.to_be_bytes().to_vec();
    hashed.extend(entry.index.to_be_bytes());
    hashed.push(entry.kind);
    hashed.extend(&entry.body);
    Digest::of(&hashed).prefix_u64()
}

#[cfg(test)]
mod tests;
