//! The model of members: the cache nodes, parents and origins that serve requests.

use super::keyword::{Kind, Protocol, State};
use serde::Serialize;

/// The limits and time-outs of a member. `None` means no limit, or the default time-out.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct MemberLimits {
    /// The greatest number of connections to the member.
    pub connections: Option<u64>,
    /// The greatest number of requests in flight at the member.
    pub in_flight: Option<u64>,
    /// The time-out for a connection to be established, in milliseconds.
    pub connect_ms: Option<u64>,
    /// The time-out for a complete response, in milliseconds.
    pub answer_ms: Option<u64>,
    /// The time after which an idle connection is closed, in milliseconds.
    pub idle_ms: Option<u64>,
}

impl MemberLimits {
    /// Whether the member has a limit, so that requests may have to wait for a permit.
    pub fn is_bounded(&self) -> bool {
        self.in_flight.is_some() || self.connections.is_some()
    }
}

/// A cache node, parent or origin (KDL node `member`).
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Member {
    /// The id of the member, unique in the site.
    pub id: String,
    /// The host and port of the member, as `host:port`; an IPv6 address is in brackets.
    pub address: String,
    /// The protocol in which the member accepts requests; the default is RESP.
    pub protocol: Option<Protocol>,
    /// The path prefix below which the member serves, for protocols that have paths.
    pub path: Option<String>,
    /// The role of the member; the default is a cache node.
    pub kind: Option<Kind>,
    /// The weight of the member relative to the other members; the default is 1.
    pub weight: Option<f64>,
    /// The administrative state of the member in all pools.
    pub state: State,
    /// The name of the zone that the member is in.
    pub zone: Option<String>,
    /// The bandwidth of the member's outgoing link, in KB per second. In a pool it is scaled by the ratio of
    /// the member's weight to the mean weight of the pool's members.
    pub link_kb_per_s: Option<f64>,
    /// The limits and time-outs of the member.
    pub limits: MemberLimits,
}
