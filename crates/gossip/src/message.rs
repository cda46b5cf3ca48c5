//! The values that datagrams carry: ids, reports on cache nodes, and other items.

use sha2::{Digest, Sha256};
use std::net::SocketAddr;

/// The number of buckets of a membership digest. In a fleet of 200 fronts, the members of one bucket fill
/// about one datagram.
pub(crate) const DIGEST_BUCKETS: usize = 16;

/// The id of a front: a hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FrontId(pub u32);

impl FrontId {
    /// Returns the id of the front with this name.
    pub fn from_name(name: &str) -> FrontId {
        let hash = Sha256::digest(name.as_bytes());
        FrontId(u32::from_be_bytes([hash[0], hash[1], hash[2], hash[3]]))
    }
}

/// Identifies a run of a cache node by a hash of the node's id and by its start. A restarted node has a new
/// key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CacheNodeKey {
    /// Hash of the cache node's id.
    pub id: u64,
    /// The low 32 bits of the node's start in Unix milliseconds; 0 means that it started long ago.
    pub start: u32,
}

impl CacheNodeKey {
    /// Returns the key of the cache node with this id that started at this time.
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
    /// The node refuses or breaks connections, or answers with errors.
    Failing,
    /// The node does not answer.
    Unresponsive,
    /// The node answers, but far more slowly than its peers.
    Slow,
    /// The node answers normally, after it was accused.
    Healthy,
}

impl Observation {
    /// All observations, in the order of their wire codes.
    pub(crate) const ALL: [Observation; 4] =
        [Observation::Failing, Observation::Unresponsive, Observation::Slow, Observation::Healthy];

    /// Returns the observation's code on the wire.
    pub(crate) fn code(self) -> u8 {
        Observation::ALL.iter().position(|o| *o == self).unwrap_or(0) as u8
    }

    /// Returns whether the observation counts against the cache node.
    pub fn is_accusation(self) -> bool {
        self != Observation::Healthy
    }

    /// Returns the observation's label in the output of `fernslip gossip status`.
    pub fn label(self) -> &'static str {
        match self {
            Observation::Failing => "failing",
            Observation::Unresponsive => "silent",
            Observation::Slow => "crawling",
            Observation::Healthy => "well",
        }
    }
}

/// A witness's report on a cache node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HealthReport {
    /// The cache node that is reported on.
    pub node: CacheNodeKey,
    /// What the witness observed.
    pub observation: Observation,
    /// The witness's confidence, from 0 to 1. The wire has it in steps of 1/255.
    pub strength: f64,
    /// The number of answers that the report is based on; at most 255.
    pub count: u8,
    /// The time since the observation, in milliseconds. The wire has it in steps of 100 up to 6,553,500.
    pub age_ms: f64,
}

/// One item of a datagram.
#[derive(Clone, Debug, PartialEq)]
pub enum Item {
    /// Requests an [`Item::Ack`] with the same number.
    Ping(u16),
    /// Answers the ping with this number.
    Ack(u16),
    /// Asks the receiver to ping another front on the sender's behalf, as an indirect probe.
    PingRequest {
        /// The front to ping.
        target: FrontId,
        /// The number of the sender's own ping, which the ack is to carry.
        number: u16,
    },
    /// Announces that a front is alive at the given address.
    Alive {
        /// The id of the front that is alive.
        id: FrontId,
        /// The front's incarnation, which it raises to refute suspicions.
        incarnation: u32,
        /// The front's gossip address.
        addr: SocketAddr,
        /// The front's name, which may be truncated.
        name: String,
    },
    /// Reports that a front did not answer a probe.
    Suspect {
        /// The id of the suspected front.
        id: FrontId,
        /// The incarnation that is suspected.
        incarnation: u32,
    },
    /// Reports that a front was declared dead.
    Dead {
        /// The id of the dead front.
        id: FrontId,
        /// The incarnation that was declared dead.
        incarnation: u32,
    },
    /// Announces that a front leaves.
    Departed {
        /// The id of the departing front.
        id: FrontId,
        /// The front's last incarnation.
        incarnation: u32,
    },
    /// A hash of the members in each bucket, as the sender knows them.
    Digest([u32; DIGEST_BUCKETS]),
    /// The individual reports of a witness.
    Reports {
        /// The front that made the reports.
        witness: FrontId,
        /// The reports, each on a different cache node.
        reports: Vec<HealthReport>,
    },
    /// The number of cache nodes that a witness accuses, if they are too many to report individually.
    Summary {
        /// The front that accuses the nodes.
        witness: FrontId,
        /// What the witness observed of the accused nodes.
        observation: Observation,
        /// The number of cache nodes that the witness accuses.
        accused: u16,
        /// The number of cache nodes that the witness knows.
        known: u16,
        /// The age of the summary, in milliseconds.
        age_ms: f64,
    },
}

/// The header of a datagram: its sender, its key and its time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Header {
    /// The number of the key that signs the datagram.
    pub key: u8,
    /// The id of the front that sent the datagram.
    pub sender: FrontId,
    /// When the sender started, in Unix milliseconds.
    pub epoch_ms: u64,
    /// The datagram's sequence number since the sender started.
    pub sequence: u32,
    /// The sender's clock, in Unix seconds.
    pub unix_s: u32,
}
