//! What goes into and comes out of [`Gossip`](crate::Gossip).

use crate::keys::Keyring;
use crate::member::{MembershipChange, PeerAddress};
use crate::message::{CacheNodeKey, FrontId, Observation};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// What the front's own answers show of a cache node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Evidence {
    /// The cache node.
    pub node: CacheNodeKey,
    /// What was observed.
    pub observation: Observation,
    /// How sure, from 0 to 1.
    pub strength: f64,
    /// Answers that show it; those of the same observation before it are added.
    pub count: u8,
}

/// An input of [`Gossip::handle`](crate::Gossip::handle).
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed.
    Tick,
    /// A datagram was received.
    Datagram {
        /// Its source address.
        from: SocketAddr,
        /// Its bytes.
        bytes: Vec<u8>,
    },
    /// The front's own answers show something of a cache node.
    Evidence(Evidence),
    /// These are all cache nodes that exist.
    CacheNodes(Vec<CacheNodeKey>),
    /// The keys from now on.
    Keys(Keyring),
    /// By a view that the fleet maintains these fronts exist beside this one, and no others.
    Peers(Vec<PeerAddress>),
    /// This front leaves.
    Leave,
}

/// What the host is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a datagram; it may be lost.
    Send {
        /// Its destination.
        to: SocketAddr,
        /// Its bytes.
        bytes: Vec<u8>,
    },
    /// The score of a cache node by the other fronts' reports has changed.
    Hearsay {
        /// The cache node.
        node: CacheNodeKey,
        /// From -[`crate::aggregate::MAX_SCORE`] (healthy) to [`crate::aggregate::MAX_SCORE`] (failing); 0: no opinion.
        score: f64,
    },
    /// A front joined, died or departed.
    Member {
        /// Which.
        id: FrontId,
        /// How.
        change: MembershipChange,
    },
}

/// Why a received datagram is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum RejectReason {
    /// It can't be decoded.
    Malformed,
    /// Its key is not known, or its tag is wrong.
    Tag,
    /// Its sender's clock, or ours, is too far off.
    Clock,
    /// It came before, or is older than the replay window.
    Replay,
    /// It names this front itself as its sender.
    Own,
    /// Its sender is not on the roster.
    Unknown,
    /// It did not come from its sender's address.
    Address,
}

impl RejectReason {
    /// Its label in the output of `fernslip gossip status`.
    pub fn label(self) -> &'static str {
        match self {
            RejectReason::Malformed => "malformed",
            RejectReason::Tag => "tag",
            RejectReason::Clock => "clock",
            RejectReason::Replay => "replay",
            RejectReason::Own => "own",
            RejectReason::Unknown => "unknown",
            RejectReason::Address => "address",
        }
    }
}

/// Counters since the start, for the operators.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Datagrams sent.
    pub sent: u64,
    /// Their bytes.
    pub sent_bytes: u64,
    /// Datagrams that were not sent, as the send budget was exhausted.
    pub over_budget: u64,
    /// Datagrams accepted.
    pub accepted: u64,
    /// Datagrams dropped, by reason.
    pub rejected: BTreeMap<RejectReason, u64>,
    /// Suspicions of this front that it refuted.
    pub refuted: u64,
}

/// Sizes of the tables, for watching memory.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TableSizes {
    /// Members other than this front.
    pub members: usize,
    /// Other fronts' reports.
    pub suspicions: usize,
    /// This front's own reports.
    pub own_reports: usize,
    /// Deliveries of own reports that are tracked, over all peers.
    pub deliveries: usize,
}
