//! Format of the record's datagrams between fronts: each is one signed message, sent on the socket of the
//! membership view's gossip.
//!
//! A datagram consists of the format version, the key number, the `postcard` encoding of the sender's name
//! and a list of items (each with its kind and its bytes), and the signature tag. A datagram of another
//! format version is dropped. An item of an unknown kind is ignored, and so are bytes after an item's known
//! fields, so that later programs may add both. The encoding depends on the order of variants and fields.

use crate::rules::{Answer, Command};
use crate::state::{LogEntry, VoterId};
use crate::texts::{Digest, TextRef};
use fernslip_gossip::Keyring;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Maximum size of a datagram in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
/// Format version, the first byte of a datagram. It differs from all versions of the view's gossip, and
/// earlier programs drop datagrams whose version they don't know.
pub const FORMAT_VERSION: u8 = 0x81;
/// Size of the signature tag at the end of a datagram, in bytes.
const TAG_BYTES: usize = 16;
/// Maximum number of items in a message; a received message with more is malformed.
const MAX_ITEMS_PER_MESSAGE: usize = 64;
/// Upper bound on the encoded size of an item's kind and length prefix, in bytes.
const ITEM_FRAME_BYTES: usize = 4;
/// Upper bound on the size of the version, the key number and the length prefixes of the name and the list,
/// in bytes.
const HEADER_BYTES: usize = 8;

/// How far a front has replicated the record.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Id of the front's record; 0 if it has none yet.
    pub record_id: u64,
    /// Index of the last log entry that the front has applied.
    pub applied_index: u64,
    /// Chain hash of the entries up to the last applied one.
    pub chain_hash: u64,
    /// The rules version that the front serves by.
    pub serving_version: u64,
    /// Whether the receiver is to reply with its own status.
    pub reply_wanted: bool,
}

/// One item of a message between fronts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MessageItem {
    /// The sender's replication status.
    Status(Status),
    /// Requests log entries from a front that is ahead.
    Pull {
        /// Id of the sender's record; 0 if it has none yet.
        record_id: u64,
        /// Index of the last entry that the sender has applied.
        after_index: u64,
    },
    /// Log entries in reply to a pull.
    Entries {
        /// Id of the record that the entries belong to.
        record_id: u64,
        /// Entries with consecutive indices.
        entries: Vec<LogEntry>,
    },
    /// Offers a text for the receiver to fetch: a snapshot, in reply to a pull of entries that are no longer
    /// retained, or a proposed text that a voter is to validate.
    TextOffered {
        /// Id of the snapshot's record; 0 for a proposed text.
        record_id: u64,
        /// Digest and length of the offered text.
        text: TextRef,
    },
    /// Requests parts of a text.
    RequestParts {
        /// Digest of the requested text.
        digest: Digest,
        /// Indices of the requested parts.
        parts: Vec<u16>,
    },
    /// One part of a text, in reply to a request.
    Part {
        /// Digest of the text that the part belongs to.
        digest: Digest,
        /// Index of the part, from 0.
        part: u16,
        /// Content of the part.
        bytes: Vec<u8>,
    },
    /// Forwards a proposed command towards the leader.
    Propose {
        /// The proposed command.
        command: Command,
        /// How many more times a voter that is not the leader may forward the command.
        hops: u8,
    },
    /// The answer to a command, for the front that forwarded it.
    Answered {
        /// Key of the answered command.
        key: String,
        /// The new version's number, or the reason for the rejection.
        answer: Answer,
    },
    /// Reports that a voter has found a text valid and has it on disk.
    TextStored {
        /// Digest of the stored text.
        digest: Digest,
        /// Id of the voter that has the text.
        voter: VoterId,
    },
    /// Announces a front that is configured as a voter but is not one with its present disk.
    VoterPresent {
        /// Voter id that the front would have with its present disk.
        voter: VoterId,
        /// Whether the front has no record yet.
        without_record: bool,
    },
    /// Announces that the record was bootstrapped.
    Bootstrapped {
        /// Id of the new record.
        record_id: u64,
        /// The first voters of the record, each with the name of its front.
        voters: BTreeMap<VoterId, String>,
    },
    /// A Raft message between voters.
    Raft {
        /// Id of the voter that the message is for.
        to: VoterId,
        /// The protobuf encoding of the `raft` crate's `Message`.
        message: Vec<u8>,
    },
}

impl MessageItem {
    fn kind(&self) -> u8 {
        match self {
            MessageItem::Status(_) => 1,
            MessageItem::Pull { .. } => 2,
            MessageItem::Entries { .. } => 3,
            MessageItem::TextOffered { .. } => 4,
            MessageItem::RequestParts { .. } => 5,
            MessageItem::Part { .. } => 6,
            MessageItem::Propose { .. } => 7,
            MessageItem::Answered { .. } => 8,
            MessageItem::TextStored { .. } => 9,
            MessageItem::VoterPresent { .. } => 10,
            MessageItem::Bootstrapped { .. } => 11,
            MessageItem::Raft { .. } => 12,
        }
    }
}

/// The highest item kind that this program knows.
const HIGHEST_ITEM_KIND: u8 = 12;

/// Why a received datagram was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum WireError {
    /// The datagram has a format version that is not supported; the value is that version.
    #[error("datagram format version {0:#04x} is not supported; expected {FORMAT_VERSION:#04x}")]
    UnsupportedVersion(u8),
    /// The datagram is too long, truncated, wrongly signed or undecodable.
    #[error("datagram is too long, truncated, wrongly signed or undecodable")]
    Malformed,
}

/// A decoded message with the name of its sender.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedMessage {
    /// Name of the sending front.
    pub from: String,
    /// The message's items, without those of unknown kinds.
    pub items: Vec<MessageItem>,
}

/// Encodes and signs a message. The caller ensures that the items fit into a datagram, see
/// [`item_capacity`].
pub fn encode_signed(keys: &Keyring, from: &str, items: &[MessageItem]) -> Vec<u8> {
    let framed: Vec<(u8, Vec<u8>)> =
        items.iter().map(|i| (i.kind(), postcard::to_stdvec(i).unwrap_or_default())).collect();
    let mut bytes = vec![FORMAT_VERSION, keys.signing_key()];
    bytes.extend(postcard::to_stdvec(&(from, framed)).unwrap_or_default());
    keys.sign(&mut bytes);
    bytes
}

/// Verifies and decodes a datagram.
///
/// # Errors
/// The datagram is malformed, not signed by a key of the keyring, or of another format version.
pub fn decode_verified(keys: &Keyring, bytes: &[u8]) -> Result<ReceivedMessage, WireError> {
    let [version, key, ..] = bytes else { return Err(WireError::Malformed) };
    if *version != FORMAT_VERSION {
        return Err(WireError::UnsupportedVersion(*version));
    }
    if bytes.len() > MAX_DATAGRAM_BYTES || bytes.len() < TAG_BYTES + 4 || !keys.verify(*key, bytes) {
        return Err(WireError::Malformed);
    }
    let body = &bytes[2..bytes.len() - TAG_BYTES];
    let decoded = postcard::take_from_bytes::<(String, Vec<(u8, Vec<u8>)>)>(body);
    let ((from, framed), rest) = decoded.map_err(|_| WireError::Malformed)?;
    if !rest.is_empty() || framed.len() > MAX_ITEMS_PER_MESSAGE {
        return Err(WireError::Malformed);
    }
    let mut items = Vec::new();
    for (kind, bytes) in framed.iter().filter(|f| f.0 <= HIGHEST_ITEM_KIND) {
        // Bytes after an item's known fields were added by a later program, and are ignored.
        let (item, _) = postcard::take_from_bytes::<MessageItem>(bytes).map_err(|_| WireError::Malformed)?;
        if item.kind() != *kind {
            return Err(WireError::Malformed);
        }
        items.push(item);
    }
    Ok(ReceivedMessage { from, items })
}

/// Upper bound on the bytes that an item takes in a message.
pub fn encoded_size(item: &MessageItem) -> usize {
    postcard::experimental::serialized_size(item).unwrap_or(MAX_DATAGRAM_BYTES) + ITEM_FRAME_BYTES
}

/// Number of bytes available for items in one message from a front of the name `from`.
pub fn item_capacity(from: &str) -> usize {
    MAX_DATAGRAM_BYTES - TAG_BYTES - HEADER_BYTES - from.len()
}

#[cfg(test)]
mod tests;
