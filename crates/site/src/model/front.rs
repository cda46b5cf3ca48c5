//! The model of a front's own settings and of its communication with other fronts.

use super::keyword::GossipPeers;
use serde::Serialize;

/// The settings of the front itself (KDL node `front`).
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Front {
    /// The name of the front.
    pub name: String,
    /// The address at which the front listens for clients: an IP address and a port.
    pub listen: String,
    /// The name of the zone that the front is in.
    pub zone: Option<String>,
    /// The memory limit of the front, in MB.
    pub memory_mb: Option<u64>,
    /// The greatest number of open descriptors.
    pub sockets: Option<u64>,
    /// The rate at which one response is sent to a client, in KB per second.
    pub stream_kb_per_s: Option<f64>,
}

/// The settings of gossip among fronts (KDL node `gossip`).
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Gossip {
    /// The address at which datagrams are received, and from which they are sent unless `advertise` is set:
    /// an IP address and a port.
    pub listen: String,
    /// The path of the file with the keys for gossip datagrams.
    pub key_file: String,
    /// The path of the local socket for `fernslip gossip status`; `None` for no socket.
    pub control: Option<String>,
    /// The addresses of fronts to join gossip through, as IP addresses with ports.
    pub seeds: Vec<String>,
    /// The names of all fronts that may take part; if empty, any front with the key may.
    pub fronts: Vec<String>,
    /// The rate limit of sent gossip datagrams, in bytes per second.
    pub bytes_per_s: Option<u64>,
    /// The size of the rate limit's token bucket, in bytes.
    pub burst_bytes: Option<u64>,
    /// The greatest accepted difference between the clocks of two fronts, in milliseconds.
    pub skew_ms: Option<u64>,
    /// Where the list of gossip peers comes from.
    pub peers: Option<GossipPeers>,
    /// The address that the front advertises for gossip and sends from; `None` means the value of `listen`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub advertise: Option<String>,
}

/// The settings of the membership view that fronts maintain of all fronts (KDL node `view`).
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct FleetView {
    /// The address at which datagrams are received: an IP address and a port.
    pub listen: String,
    /// The address that the front advertises for the view and sends from; `None` means the value of `listen`.
    pub advertise: Option<String>,
    /// The path of the file with the keys for the datagrams of the view.
    pub key_file: String,
    /// The path of the local socket for `fernslip fleet`; `None` for no socket.
    pub control: Option<String>,
    /// The path of the file of the view's durable state; `None` means that no state survives a restart.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub store: Option<String>,
    /// The addresses of fronts to join the view through, as IP addresses with ports.
    pub seeds: Vec<String>,
    /// How many fronts watch each front for failures.
    pub watchers: Option<u64>,
    /// The rate limit of sent view datagrams, in bytes per second.
    pub bytes_per_s: Option<u64>,
    /// The size of the rate limit's token bucket, in bytes.
    pub burst_bytes: Option<u64>,
}
