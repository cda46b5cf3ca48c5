//! What fronts send each other on the record: one message a datagram, signed, beside the view's.
//!
//! Bytes: version, key, then by `postcard` the sender's name and a list of items, each with its kind and its bytes. A kind
//! that this program does not know is passed over, so that a later program may say more; another version is refused.

use crate::agreed::{Entry, VoterId};
use crate::rules::{Answer, Command, Digest};
use fernslip_gossip::Keyring;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// No datagram is longer.
pub const MOST_BYTES: usize = 1200;
/// The first byte: not the view's, whose program before this one drops what it does not know.
pub const VERSION: u8 = 0x81;
const TAG_BYTES: usize = 16;
/// Items in a message, at the most.
const MOST_ITEMS: usize = 64;

/// Where a front is in the record.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Have {
    /// Which record; 0: none yet.
    pub birth: u64,
    /// The last command that it has taken.
    pub index: u64,
    /// The chain up to there.
    pub chain: u64,
    /// The version of the rules that it serves by.
    pub in_force: u64,
    /// Whether an answer is wanted.
    pub asks: bool,
}

/// A piece of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Item {
    /// Where the sender is.
    Have(Have),
    /// Commands after that one, please.
    Pull(u64, u64),
    /// Commands of that record, in order.
    Entries(u64, Vec<Entry>),
    /// The commands asked for are not kept: the whole state instead, as a text of that digest and length.
    Whole(u64, Digest, u32),
    /// These parts of a text, please.
    Want(Digest, Vec<u16>),
    /// A part of a text.
    Part(Digest, u16, Vec<u8>),
    /// A command, for whoever leads; passed on by voters so many times more.
    Propose(Command, u8),
    /// What became of the command of that key.
    Answered(String, Answer),
    /// A voter has that text durably.
    Holds(Digest, VoterId),
    /// A front that is named as voter, with its id; whether it has no record yet and gave no vote.
    Ready(VoterId, bool),
    /// The record was founded: its birth and its voters.
    Found(u64, BTreeMap<VoterId, String>),
    /// A voter's message to that voter.
    Raft(VoterId, Vec<u8>),
}

impl Item {
    fn kind(&self) -> u8 {
        match self {
            Item::Have(_) => 1,
            Item::Pull(..) => 2,
            Item::Entries(..) => 3,
            Item::Whole(..) => 4,
            Item::Want(..) => 5,
            Item::Part(..) => 6,
            Item::Propose(..) => 7,
            Item::Answered(..) => 8,
            Item::Holds(..) => 9,
            Item::Ready(..) => 10,
            Item::Found(..) => 11,
            Item::Raft(..) => 12,
        }
    }
}

/// The highest kind that this program knows.
const KINDS: u8 = 12;

/// Why a datagram is no message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WireError {
    /// Of another version: its number.
    Version(u8),
    /// Too long, cut, with a wrong tag, or it can't be read.
    Malformed,
}

/// A message's bytes, signed. Items that don't fit are for the caller to send in another.
pub fn seal(keys: &Keyring, from: &str, items: &[Item]) -> Vec<u8> {
    let framed: Vec<(u8, Vec<u8>)> =
        items.iter().map(|i| (i.kind(), postcard::to_stdvec(i).unwrap_or_default())).collect();
    let mut bytes = vec![VERSION, keys.signs()];
    bytes.extend(postcard::to_stdvec(&(from, framed)).unwrap_or_default());
    keys.sign(&mut bytes);
    bytes
}

/// Reads one: the sender's name and what it says.
///
/// # Errors
/// It is no message, or of another version.
pub fn open(keys: &Keyring, bytes: &[u8]) -> Result<(String, Vec<Item>), WireError> {
    let [version, key, ..] = bytes else { return Err(WireError::Malformed) };
    if *version != VERSION {
        return Err(WireError::Version(*version));
    }
    if bytes.len() > MOST_BYTES || bytes.len() < TAG_BYTES + 4 || !keys.is_good(*key, bytes) {
        return Err(WireError::Malformed);
    }
    let body = &bytes[2..bytes.len() - TAG_BYTES];
    let read = postcard::take_from_bytes::<(String, Vec<(u8, Vec<u8>)>)>(body);
    let ((from, framed), rest) = read.map_err(|_| WireError::Malformed)?;
    if !rest.is_empty() || framed.len() > MOST_ITEMS {
        return Err(WireError::Malformed);
    }
    let mut items = Vec::new();
    for (kind, bytes) in framed.iter().filter(|f| f.0 <= KINDS) {
        // What follows an item's known fields is of a later program.
        let (item, _) = postcard::take_from_bytes::<Item>(bytes).map_err(|_| WireError::Malformed)?;
        if item.kind() != *kind {
            return Err(WireError::Malformed);
        }
        items.push(item);
    }
    Ok((from, items))
}

/// Bytes that an item takes in a message.
pub fn size(item: &Item) -> usize {
    postcard::experimental::serialized_size(item).unwrap_or(MOST_BYTES) + 4
}

/// Bytes for items in a message from a front of that name.
pub fn room(from: &str) -> usize {
    MOST_BYTES - TAG_BYTES - 8 - from.len()
}

#[cfg(test)]
mod tests;
