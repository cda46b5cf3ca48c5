//! The messages between fronts: one in each datagram, encoded by `postcard`, followed by an authentication tag.

use crate::fact::{Fact, Id, Rank, BUCKETS};
use fernslip_gossip::Keyring;
use serde::{Deserialize, Serialize};

/// Longest datagram, in bytes: it passes any network unfragmented.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
/// Length of the tag, in bytes.
pub(crate) const TAG_BYTES: usize = 16;
/// The version of the message format.
const VERSION: u8 = 1;

/// A part of a message. The order of the variants and of their fields is the wire format.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Item {
    /// Asks for an [`Item::Ack`] of that number.
    Ping(u32),
    /// Answers a ping of that number, or forwards the answer to a [`Item::PingRequest`].
    Ack(u32),
    /// Asks for an indirect ping of that front's process, to be answered under this number.
    PingRequest(Id, u64, u32),
    /// A newcomer announces itself: it is admitted unless another process of its name is live.
    Hello(Fact),
    /// Another process of the recipient's name polls from that address.
    DuplicateName(std::net::SocketAddr),
    /// A complete fact.
    FullFact(Fact),
    /// The rank of a fact whose texts are known already.
    FactRank(Id, Rank),
    /// Requests the complete facts of these fronts.
    FactRequest(Vec<Id>),
    /// The sender's [`MemberTable::sums`](crate::MemberTable::sums).
    BucketSums([u32; BUCKETS]),
    /// In these buckets (a bit each) the views differ. The ranks that the sender has there follow; the recipient answers
    /// with those that it has higher.
    DifferingBuckets(u32),
    /// The sender's suspicion of a front that it watches, or its withdrawal.
    Suspicion {
        /// The front.
        of: Id,
        /// Its process.
        process_id: u64,
        /// Its incarnation as the sender has it.
        incarnation: u32,
        /// The sender's count of such items.
        number: u32,
        /// An outstanding ping that the front may still answer; 0 where there is none.
        ping: u32,
        /// Whether the front is suspected; else the suspicion is withdrawn.
        is_active: bool,
        /// Whether no other front that the sender watches is silent.
        is_only_silent: bool,
    },
}

/// A message. The order of its fields is the wire format.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    version: u8,
    /// The number of the key that it is signed with.
    pub key: u8,
    /// The sender.
    pub from: Id,
    /// The sender's process.
    pub process_id: u64,
    /// The sender's count of messages.
    pub sequence: u32,
    /// The digest of the sender's view.
    pub digest: u64,
    /// Which members are known to have held this view: a bit for each live member, in the order of ids.
    pub holders: Vec<u8>,
    /// What it says.
    pub items: Vec<Item>,
}

impl Message {
    /// A message without items.
    pub fn new(key: u8, from: Id, process_id: u64, sequence: u32, digest: u64, holders: Vec<u8>) -> Message {
        Message { version: VERSION, key, from, process_id, sequence, digest, holders, items: Vec::new() }
    }

    /// Encodes and signs it.
    pub fn seal(&self, keys: &Keyring) -> Vec<u8> {
        let mut bytes = postcard::to_stdvec(self).unwrap_or_default();
        keys.sign(&mut bytes);
        bytes
    }

    /// Verifies and decodes a datagram; `None` where the tag is wrong or the bytes are no message.
    pub fn open(bytes: &[u8], keys: &Keyring) -> Option<Message> {
        if bytes.len() > MAX_DATAGRAM_BYTES || bytes.len() < TAG_BYTES + 2 {
            return None;
        }
        // The version and the key's number come first, a byte each.
        if bytes[0] != VERSION || !keys.verify(bytes[1], bytes) {
            return None;
        }
        let body = &bytes[..bytes.len() - TAG_BYTES];
        let (message, rest) = postcard::take_from_bytes::<Message>(body).ok()?;
        rest.is_empty().then_some(message)
    }
}

/// The encoded length of an item, in bytes.
pub fn encoded_len(item: &Item) -> usize {
    postcard::experimental::serialized_size(item).unwrap_or(MAX_DATAGRAM_BYTES)
}
