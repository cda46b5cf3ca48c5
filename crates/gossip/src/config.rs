//! The gossip settings of a front, and the clock readings that the host passes in.

use std::net::SocketAddr;

/// The current time on the host's two clocks.
#[derive(Clone, Copy, Debug)]
pub struct Now {
    /// Time on the host's monotonic clock, in milliseconds.
    pub mono_ms: f64,
    /// Unix time in milliseconds. It may be wrong.
    pub unix_ms: f64,
}

impl Now {
    /// Returns the Unix time in whole seconds, as it is sent in datagrams.
    pub(crate) fn unix_s(self) -> u32 {
        (self.unix_ms / 1000.0).clamp(0.0, f64::from(u32::MAX)) as u32
    }
}

/// The gossip settings of a front.
#[derive(Clone, Debug)]
pub struct Config {
    /// The front's name, which must be unique in the fleet.
    pub name: String,
    /// The address that the front listens on.
    pub addr: SocketAddr,
    /// The address that other fronts receive its datagrams from and send theirs to; `None` means `addr`.
    pub advertise: Option<SocketAddr>,
    /// Addresses of the fronts that are contacted first.
    pub seeds: Vec<SocketAddr>,
    /// The names of all fronts that may take part. If it is empty, every front with a valid key may.
    pub roster: Vec<String>,
    /// The interval between two probes of other fronts, in milliseconds.
    pub probe_period_ms: f64,
    /// The interval between two rounds of dissemination, in milliseconds.
    pub gossip_period_ms: f64,
    /// The number of fronts that receive membership updates in each round.
    pub fanout: usize,
    /// The greatest average number of datagram bytes sent per second.
    pub bytes_per_s: u64,
    /// The capacity of the token bucket in bytes: unused budget up to this much may be sent in a burst.
    pub burst_bytes: u64,
    /// The greatest accepted difference between a sender's Unix clock and this front's, in milliseconds.
    pub skew_ms: f64,
}

impl Default for Config {
    /// The default limit is 4,096 bytes per second. Probes and acks use about 250 of these bytes at any size
    /// of the fleet, and a witness's report reaches 200 fronts within four seconds.
    fn default() -> Config {
        Config {
            name: "front".into(),
            addr: SocketAddr::from(([127, 0, 0, 1], 0)),
            advertise: None,
            seeds: Vec::new(),
            roster: Vec::new(),
            probe_period_ms: 1000.0,
            gossip_period_ms: 200.0,
            fanout: 2,
            bytes_per_s: 4096,
            burst_bytes: 4096,
            skew_ms: 30_000.0,
        }
    }
}
