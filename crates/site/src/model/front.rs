//! A front's own settings, and how fronts talk to each other.

use super::keyword::GossipPeers;
use serde::Serialize;

/// One front's own settings.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Front {
    /// Its name.
    pub name: String,
    /// Where clients connect: an IP address and a port.
    pub listen: String,
    /// Its zone.
    pub zone: Option<String>,
    /// Memory limit, MB.
    pub memory_mb: Option<u64>,
    /// Limit of open descriptors.
    pub sockets: Option<u64>,
    /// Pace at which one response is sent, KB a second.
    pub stream_kb_per_s: Option<f64>,
}

/// Gossip among fronts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Gossip {
    /// Where datagrams come in, and come from: an IP address and a port.
    pub listen: String,
    /// The file with the keys.
    pub key_file: String,
    /// The local socket for `fernslip gossip status`.
    pub control: Option<String>,
    /// Fronts to join through: IP addresses and ports.
    pub seeds: Vec<String>,
    /// Names of all fronts that may take part; empty: whoever has the key.
    pub fronts: Vec<String>,
    /// Rate limit of datagrams, bytes a second.
    pub bytes_per_s: Option<u64>,
    /// Burst of its token bucket, bytes.
    pub burst_bytes: Option<u64>,
    /// Greatest accepted difference between clocks, ms.
    pub skew_ms: Option<u64>,
    /// Where its peers come from.
    pub peers: Option<GossipPeers>,
    /// The address that it advertises and sends from; `None`: where it listens.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub advertise: Option<String>,
}

/// The view that fronts keep of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct FleetView {
    /// Where datagrams come in: an IP address and a port.
    pub listen: String,
    /// The address that it advertises and sends from; `None`: where it listens.
    pub advertise: Option<String>,
    /// The file with the keys.
    pub key_file: String,
    /// The local socket for `fernslip fleet`.
    pub control: Option<String>,
    /// The file of its durable state; `None`: nothing outlives a restart.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub store: Option<String>,
    /// Fronts to join through: IP addresses and ports.
    pub seeds: Vec<String>,
    /// How many fronts watch each one.
    pub watchers: Option<u64>,
    /// Rate limit of datagrams, bytes a second.
    pub bytes_per_s: Option<u64>,
    /// Burst of its token bucket, bytes.
    pub burst_bytes: Option<u64>,
}
