//! The values that datagrams carry: ids, reports on cache nodes, and the items of a datagram.

use sha2::{Digest, Sha256};
use std::net::SocketAddr;

/// Buckets of a membership digest: in a fleet of 200 fronts a bucket's members fill about a datagram.
pub(crate) const DIGEST_BUCKETS: usize = 16;

/// A front, by the hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FrontId(pub u32);

impl FrontId {
    /// The id of the front with this name.
    pub fn from_name(name: &str) -> FrontId {
        let hash = Sha256::digest(name.as_bytes());
        FrontId(u32::from_be_bytes([hash[0], hash[1], hash[2], hash[3]]))
    }
}

/// A cache node: the hash of its id, and its start. A node that restarted has another key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CacheNodeKey {
    /// Hash of the id.
    pub id: u64,
    /// Low bits of its start in Unix milliseconds; 0: long ago.
    pub start: u32,
}

impl CacheNodeKey {
    /// The key of the cache node with this id that started at this time.
    pub fn new(id: &str, started_unix_ms: u64) -> CacheNodeKey {
        let hash = Sha256::digest(id.as_bytes());
        let mut first = [0; 8];
        first.copy_from_slice(&hash[..8]);
        CacheNodeKey { id: u64::from_be_bytes(first), start: started_unix_ms as u32 }
    }
}

/// What a front observed of a cache node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Observation {
    /// It refuses or breaks connections, or answers with errors.
    Failing,
    /// It does not answer.
    Unresponsive,
    /// It answers, far slower than its peers.
    Slow,
    /// It answers as it should, after it was accused.
    Healthy,
}

impl Observation {
    /// All observations, by their wire codes.
    pub(crate) const ALL: [Observation; 4] =
        [Observation::Failing, Observation::Unresponsive, Observation::Slow, Observation::Healthy];

    /// Its code on the wire.
    pub(crate) fn code(self) -> u8 {
        Observation::ALL.iter().position(|o| *o == self).unwrap_or(0) as u8
    }

    /// Whether it speaks against the cache node.
    pub fn is_accusation(self) -> bool {
        self != Observation::Healthy
    }

    /// Its label in the output of `fernslip gossip status`.
    pub fn label(self) -> &'static str {
        match self {
            Observation::Failing => "failing",
            Observation::Unresponsive => "silent",
            Observation::Slow => "crawling",
            Observation::Healthy => "well",
        }
    }
}

/// One witness's report on a cache node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HealthReport {
    /// The cache node.
    pub node: CacheNodeKey,
    /// What was observed.
    pub observation: Observation,
    /// How sure the witness is, from 0 to 1, in steps of 1/255 on the wire.
    pub strength: f64,
    /// Answers that the report rests on, up to 255.
    pub count: u8,
    /// How long ago it was observed, in milliseconds; on the wire in steps of 100 up to 6,553,500.
    pub age_ms: f64,
}

/// What a datagram carries.
#[derive(Clone, Debug, PartialEq)]
pub enum Item {
    /// Asks for an [`Item::Ack`] of the same number.
    Ping(u16),
    /// Answers a ping.
    Ack(u16),
    /// Asks the receiver to ping another front on the sender's behalf: an indirect probe.
    PingRequest {
        /// The front to ping.
        target: FrontId,
        /// The number of the sender's own ping, which the answer is to carry.
        number: u16,
    },
    /// A front is alive, under that address.
    Alive {
        /// Its id.
        id: FrontId,
        /// Its incarnation, which it raises to refute suspicions of it.
        incarnation: u32,
        /// Its address.
        addr: SocketAddr,
        /// Its name, perhaps truncated.
        name: String,
    },
    /// A front did not answer somebody.
    Suspect {
        /// Its id.
        id: FrontId,
        /// The incarnation that is suspected.
        incarnation: u32,
    },
    /// A front is declared dead.
    Dead {
        /// Its id.
        id: FrontId,
        /// The incarnation that is dead.
        incarnation: u32,
    },
    /// A front announced that it leaves.
    Departed {
        /// Its id.
        id: FrontId,
        /// Its last incarnation.
        incarnation: u32,
    },
    /// Hashes of the members that the sender knows, by bucket.
    Digest([u32; DIGEST_BUCKETS]),
    /// A witness's reports.
    Reports {
        /// The witness.
        witness: FrontId,
        /// Its reports.
        reports: Vec<HealthReport>,
    },
    /// A witness accuses more cache nodes than it reports one by one: how many of how many.
    Summary {
        /// The witness.
        witness: FrontId,
        /// What it observed of them.
        observation: Observation,
        /// Cache nodes that it observed this of.
        accused: u16,
        /// Cache nodes that it knows.
        known: u16,
        /// How long ago, in milliseconds.
        age_ms: f64,
    },
}

/// Who sent a datagram, and when.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Header {
    /// The number of the key that it is signed with.
    pub key: u8,
    /// The sender.
    pub sender: FrontId,
    /// When the sender started, in Unix milliseconds.
    pub epoch_ms: u64,
    /// The datagram's number since then.
    pub sequence: u32,
    /// The sender's clock, in Unix seconds.
    pub unix_s: u32,
}
