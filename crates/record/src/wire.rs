//! The datagrams that fronts exchange on the record: one signed message each, on the socket of the view's gossip.
//!
//! Format: version, key number, then by `postcard` the sender's name and a list of items, each with its kind and its
//! bytes, then the tag. An item of a kind that this program does not know is ignored, and so is what follows an item's
//! known fields, so that a later program may add to both; another version is dropped. The encoding goes by the order of
//! variants and fields.

use crate::rules::{Answer, Command};
use crate::state::{LogEntry, VoterId};
use crate::texts::{Digest, TextRef};
use fernslip_gossip::Keyring;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The most bytes of a datagram.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
/// The first byte. It is not one of the view's, whose earlier programs drop what they don't know.
pub const VERSION: u8 = 0x81;
const TAG_BYTES: usize = 16;
/// The most items in a message.
const MAX_ITEMS: usize = 64;
/// Bytes that the frame of an item (its kind and length) takes at the most.
const ITEM_FRAME_BYTES: usize = 4;
/// Bytes that version, key number and the length prefixes of name and list take at the most.
const HEADER_BYTES: usize = 8;

/// How far a front has replicated the record.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Which record; 0: none yet.
    pub record_id: u64,
    /// Index of the last applied entry.
    pub applied_index: u64,
    /// The chain hash up to there.
    pub chain_hash: u64,
    /// The version of the rules that the front serves by.
    pub serving_version: u64,
    /// Whether the receiver's status is wanted in reply.
    pub reply_wanted: bool,
}

/// An item of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Item {
    /// The sender's status.
    Status(Status),
    /// Requests entries from a front that is ahead.
    Pull {
        /// The sender's record; 0: none yet.
        record_id: u64,
        /// The last entry that it has.
        after_index: u64,
    },
    /// Entries in reply to a pull.
    Entries {
        /// Their record.
        record_id: u64,
        /// Consecutive entries.
        entries: Vec<LogEntry>,
    },
    /// A text that the receiver is to fetch: a snapshot, in reply to a pull of entries that are no longer retained, or
    /// a proposed text that a voter is to validate.
    TextOffered {
        /// The snapshot's record; 0: a proposed text.
        record_id: u64,
        /// The text.
        text: TextRef,
    },
    /// Requests parts of a text.
    RequestParts {
        /// The text.
        digest: Digest,
        /// Indices of the parts.
        parts: Vec<u16>,
    },
    /// A part of a text.
    Part {
        /// The text.
        digest: Digest,
        /// Index of the part.
        part: u16,
        /// Its bytes.
        bytes: Vec<u8>,
    },
    /// A proposal for the leader.
    Propose {
        /// The command.
        command: Command,
        /// How many more times a voter that is not the leader may forward it.
        hops: u8,
    },
    /// The answer to a proposal.
    Answered {
        /// The command's key.
        key: String,
        /// The answer.
        answer: Answer,
    },
    /// A voter has a text durably, and found it valid.
    TextStored {
        /// The text.
        digest: Digest,
        /// The voter.
        voter: VoterId,
    },
    /// A front that is configured as voter is present, and is none with its present disk.
    VoterPresent {
        /// The voter that it would be.
        voter: VoterId,
        /// Whether it has no record yet.
        without_record: bool,
    },
    /// The record was bootstrapped.
    Bootstrapped {
        /// Its id.
        record_id: u64,
        /// Its first voters.
        voters: BTreeMap<VoterId, String>,
    },
    /// A Raft message.
    Raft {
        /// The voter that it is for.
        to: VoterId,
        /// The protobuf encoding of the `raft` crate's `Message`.
        message: Vec<u8>,
    },
}

impl Item {
    fn kind(&self) -> u8 {
        match self {
            Item::Status(_) => 1,
            Item::Pull { .. } => 2,
            Item::Entries { .. } => 3,
            Item::TextOffered { .. } => 4,
            Item::RequestParts { .. } => 5,
            Item::Part { .. } => 6,
            Item::Propose { .. } => 7,
            Item::Answered { .. } => 8,
            Item::TextStored { .. } => 9,
            Item::VoterPresent { .. } => 10,
            Item::Bootstrapped { .. } => 11,
            Item::Raft { .. } => 12,
        }
    }
}

/// The highest kind that this program knows.
const HIGHEST_KIND: u8 = 12;

/// Why a datagram is no message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum WireError {
    /// Of another format version: its number.
    #[error("the format version {0:#04x} is not supported")]
    UnsupportedVersion(u8),
    /// Too long, truncated, with a wrong tag, or it can't be decoded.
    #[error("the datagram is malformed")]
    Malformed,
}

/// A message and its sender.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Received {
    /// The sender's name.
    pub from: String,
    /// What it sent, without items of unknown kinds.
    pub items: Vec<Item>,
}

/// Encodes and signs a message. Whether the items fit is the caller's to see to.
pub fn seal(keys: &Keyring, from: &str, items: &[Item]) -> Vec<u8> {
    let framed: Vec<(u8, Vec<u8>)> =
        items.iter().map(|i| (i.kind(), postcard::to_stdvec(i).unwrap_or_default())).collect();
    let mut bytes = vec![VERSION, keys.signing_key()];
    bytes.extend(postcard::to_stdvec(&(from, framed)).unwrap_or_default());
    keys.sign(&mut bytes);
    bytes
}

/// Verifies and decodes a datagram.
///
/// # Errors
/// [`WireError`]: it is malformed, not signed by a key of the ring, or of another version.
pub fn open(keys: &Keyring, bytes: &[u8]) -> Result<Received, WireError> {
    let [version, key, ..] = bytes else { return Err(WireError::Malformed) };
    if *version != VERSION {
        return Err(WireError::UnsupportedVersion(*version));
    }
    if bytes.len() > MAX_DATAGRAM_BYTES || bytes.len() < TAG_BYTES + 4 || !keys.verify(*key, bytes) {
        return Err(WireError::Malformed);
    }
    let body = &bytes[2..bytes.len() - TAG_BYTES];
    let decoded = postcard::take_from_bytes::<(String, Vec<(u8, Vec<u8>)>)>(body);
    let ((from, framed), rest) = decoded.map_err(|_| WireError::Malformed)?;
    if !rest.is_empty() || framed.len() > MAX_ITEMS {
        return Err(WireError::Malformed);
    }
    let mut items = Vec::new();
    for (kind, bytes) in framed.iter().filter(|f| f.0 <= HIGHEST_KIND) {
        // What follows an item's known fields was added by a later program.
        let (item, _) = postcard::take_from_bytes::<Item>(bytes).map_err(|_| WireError::Malformed)?;
        if item.kind() != *kind {
            return Err(WireError::Malformed);
        }
        items.push(item);
    }
    Ok(Received { from, items })
}

/// The most bytes that an item takes in a message.
pub fn encoded_size(item: &Item) -> usize {
    postcard::experimental::serialized_size(item).unwrap_or(MAX_DATAGRAM_BYTES) + ITEM_FRAME_BYTES
}

/// Bytes for items in a message from a front of that name.
pub fn item_capacity(from: &str) -> usize {
    MAX_DATAGRAM_BYTES - TAG_BYTES - HEADER_BYTES - from.len()
}

#[cfg(test)]
mod tests;
