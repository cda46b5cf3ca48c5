//! The messages between fronts. Each datagram holds one message, encoded by `postcard` and followed by an
//! authentication tag.

use crate::fact::{Fact, Id, Rank, BUCKET_COUNT};
use fernslip_gossip::Keyring;
use serde::{Deserialize, Serialize};

/// The maximum length of a datagram, in bytes; datagrams of this length pass common networks unfragmented.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
/// The length of the authentication tag, in bytes.
pub(crate) const TAG_BYTES: usize = 16;
/// The version of the message format; datagrams of any other version are rejected.
const FORMAT_VERSION: u8 = 1;

/// A part of a message. The order of the variants and of their fields is the wire format.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Item {
    /// A ping with this number, to be answered with an [`Item::Ack`] of the same number.
    Ping(u32),
    /// The answer to the ping with this number, sent directly or forwarded for an [`Item::PingRequest`].
    Ack(u32),
    /// A request to ping a front: its id, its process id, and the ping number under which the recipient
    /// forwards the answer.
    PingRequest(Id, u64, u32),
    /// The own fact of a front that joins. The front is admitted unless another process of its name is live.
    Hello(Fact),
    /// Notice that another process with the recipient's name polls from this address.
    DuplicateName(std::net::SocketAddr),
    /// A complete fact about a front.
    FullFact(Fact),
    /// The rank of the fact about the front with this id, sent where the recipient should already have the
    /// texts.
    FactRank(Id, Rank),
    /// A request for the complete facts about these fronts.
    FactRequest(Vec<Id>),
    /// The sender's [`MemberTable::bucket_sums`](crate::MemberTable::bucket_sums).
    BucketSums([u32; BUCKET_COUNT]),
    /// The buckets in which the two views differ, as a bit mask. The sender's ranks in these buckets follow
    /// as [`Item::FactRank`]; the recipient answers with those of its ranks that are higher or missing there.
    DifferingBuckets(u32),
    /// The sender's suspicion of a front that it watches, or the withdrawal of that suspicion.
    Suspicion {
        /// The front that is or was suspected.
        of: Id,
        /// The process of the front that is or was suspected.
        process_id: u64,
        /// The incarnation of the suspected front in the sender's view.
        incarnation: u32,
        /// A number that the sender raises with each new suspicion item; a higher one supersedes a lower one.
        number: u32,
        /// The number of an outstanding ping that the suspected front can still answer; 0 if there is none.
        ping: u32,
        /// Whether the front is suspected; `false` withdraws an earlier suspicion.
        is_active: bool,
        /// Whether every other front that the sender watches answers its pings.
        is_only_silent: bool,
    },
}

/// A message between two fronts. The order of the fields is the wire format.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    version: u8,
    /// The number of the key that signs the message.
    pub key: u8,
    /// The id of the sending front.
    pub from: Id,
    /// The process id of the sender.
    pub process_id: u64,
    /// A number that the sender raises with each message, used to detect replays.
    pub sequence: u32,
    /// The digest of the sender's view, see [`MemberTable::digest`](crate::MemberTable::digest).
    pub digest: u64,
    /// The members that the sender knows to have held this view: one bit for each live member, in the order
    /// of ids.
    pub holders: Vec<u8>,
    /// The items of the message; may be empty.
    pub items: Vec<Item>,
}

impl Message {
    /// Creates a message without items.
    pub fn new(key: u8, from: Id, process_id: u64, sequence: u32, digest: u64, holders: Vec<u8>) -> Message {
        Message {
            version: FORMAT_VERSION,
            key,
            from,
            process_id,
            sequence,
            digest,
            holders,
            items: Vec::new(),
        }
    }

    /// Encodes the message and appends an authentication tag made with the signing key of `keys`.
    pub fn seal(&self, keys: &Keyring) -> Vec<u8> {
        let mut bytes = postcard::to_stdvec(self).unwrap_or_default();
        keys.sign(&mut bytes);
        bytes
    }

    /// Verifies and decodes a datagram; `None` if its tag is wrong, its key is unknown, or its bytes are no
    /// valid message.
    pub fn open(bytes: &[u8], keys: &Keyring) -> Option<Message> {
        if bytes.len() > MAX_DATAGRAM_BYTES || bytes.len() < TAG_BYTES + 2 {
            return None;
        }
        // The version and the key number are the first two bytes of every message.
        if bytes[0] != FORMAT_VERSION || !keys.verify(bytes[1], bytes) {
            return None;
        }
        let body = &bytes[..bytes.len() - TAG_BYTES];
        let (message, rest) = postcard::take_from_bytes::<Message>(body).ok()?;
        rest.is_empty().then_some(message)
    }
}

/// Returns the length of the encoded item, in bytes.
pub fn encoded_len(item: &Item) -> usize {
    postcard::experimental::serialized_size(item).unwrap_or(MAX_DATAGRAM_BYTES)
}
