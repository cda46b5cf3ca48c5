//! The inputs and outputs of [`Gossip`](crate::Gossip).

use crate::keys::Keyring;
use crate::member::{MembershipChange, PeerAddress};
use crate::message::{CacheNodeKey, FrontId, Observation};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// An observation that this front made of a cache node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Evidence {
    /// The cache node that was observed.
    pub node: CacheNodeKey,
    /// What was observed of the node.
    pub observation: Observation,
    /// The confidence in the observation, from 0 to 1.
    pub strength: f64,
    /// The number of answers that show the observation. It is added to the count of earlier evidence with the
    /// same observation.
    pub count: u8,
}

/// An input of [`Gossip::handle`](crate::Gossip::handle).
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed: periodic tasks that are due are run.
    Tick,
    /// A datagram was received.
    Datagram {
        /// The address that the datagram came from.
        from: SocketAddr,
        /// The datagram as it was received.
        bytes: Vec<u8>,
    },
    /// This front made an observation of a cache node.
    Evidence(Evidence),
    /// The complete set of cache nodes that exist.
    CacheNodes(Vec<CacheNodeKey>),
    /// Replaces the shared keys.
    Keys(Keyring),
    /// The complete set of other fronts in the fleet, from a membership view maintained outside the gossip.
    Peers(Vec<PeerAddress>),
    /// This front leaves the fleet.
    Leave,
}

/// An action that the host is to take.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a datagram. The network may lose it.
    Send {
        /// The destination address.
        to: SocketAddr,
        /// The complete, signed datagram.
        bytes: Vec<u8>,
    },
    /// The score of a cache node, aggregated from the fronts' reports, has changed.
    PeerScore {
        /// The cache node that the score is for.
        node: CacheNodeKey,
        /// The score from -[`crate::aggregate::MAX_SCORE`] (healthy) to [`crate::aggregate::MAX_SCORE`]
        /// (failing); 0 if there is no evidence either way.
        score: f64,
    },
    /// A front joined, died or departed.
    Member {
        /// The front whose membership changed.
        id: FrontId,
        /// How its membership changed.
        change: MembershipChange,
    },
}

/// The reason why a received datagram is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum RejectReason {
    /// The datagram cannot be decoded.
    Malformed,
    /// The key is unknown or the authentication tag is wrong.
    InvalidTag,
    /// The sender's Unix clock and this front's differ by more than the accepted skew.
    ClockSkew,
    /// The datagram was received before, or is older than the replay window.
    Replayed,
    /// The datagram names this front itself as its sender.
    OwnSender,
    /// The sender is not on the roster.
    NotOnRoster,
    /// The datagram did not come from its sender's address.
    AddressMismatch,
}

impl RejectReason {
    /// Returns the reason's label in the output of `fernslip gossip status`.
    pub fn label(self) -> &'static str {
        match self {
            RejectReason::Malformed => "malformed",
            RejectReason::InvalidTag => "tag",
            RejectReason::ClockSkew => "clock",
            RejectReason::Replayed => "replay",
            RejectReason::OwnSender => "own",
            RejectReason::NotOnRoster => "unknown",
            RejectReason::AddressMismatch => "address",
        }
    }
}

/// Counters since the start, for operators.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// The number of datagrams sent.
    pub sent: u64,
    /// The number of bytes sent.
    pub sent_bytes: u64,
    /// The number of datagrams that were not sent because the send budget was exhausted.
    pub over_budget: u64,
    /// The number of received datagrams that were accepted.
    pub accepted: u64,
    /// The number of received datagrams that were dropped, by reason.
    pub rejected: BTreeMap<RejectReason, u64>,
    /// The number of suspicions of this front that it refuted.
    pub refuted: u64,
}

/// The number of entries in each table, for memory monitoring.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TableSizes {
    /// The number of known fronts other than this one.
    pub members: usize,
    /// The number of stored reports by other fronts.
    pub suspicions: usize,
    /// The number of this front's own reports.
    pub own_reports: usize,
    /// The number of tracked deliveries of own reports, over all peers.
    pub deliveries: usize,
}
