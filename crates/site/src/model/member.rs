//! Members: the cache nodes, parents and origins that serve requests.

use super::keyword::{Kind, Protocol, State};
use serde::Serialize;

/// Limits and time-outs of a member; `None`: no limit, or the default time-out.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct MemberLimits {
    /// Connections to it.
    pub connections: Option<u64>,
    /// Requests in flight to it.
    pub in_flight: Option<u64>,
    /// Connect time-out.
    pub connect_ms: Option<u64>,
    /// Time-out of a complete response.
    pub answer_ms: Option<u64>,
    /// An idle connection is closed after this long.
    pub idle_ms: Option<u64>,
}

impl MemberLimits {
    /// Whether its capacity is limited, so that requests may have to wait for it.
    pub fn is_bounded(&self) -> bool {
        self.in_flight.is_some() || self.connections.is_some()
    }
}

/// A cache node, parent or origin.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Member {
    /// Its id, unique in the site.
    pub id: String,
    /// Host and port; an IPv6 address in brackets.
    pub address: String,
    /// The protocol it speaks; default: RESP.
    pub protocol: Option<Protocol>,
    /// The path prefix below which it serves, for protocols with paths.
    pub path: Option<String>,
    /// Its role; default: a cache.
    pub kind: Option<Kind>,
    /// Its weight, relative to the others'; default: 1.
    pub weight: Option<f64>,
    /// Its administrative state.
    pub state: State,
    /// Its zone.
    pub zone: Option<String>,
    /// Bandwidth of its link out, KB a second. A pool's weights divide the mean of its members' links.
    pub link_kb_per_s: Option<f64>,
    /// Its limits.
    pub limits: MemberLimits,
}
