//! A front's gossip settings, and the clocks that the host passes in.

use std::net::SocketAddr;

/// The time, by two clocks.
#[derive(Clone, Copy, Debug)]
pub struct Now {
    /// The host's monotonic clock, in milliseconds.
    pub mono_ms: f64,
    /// Unix time in milliseconds; may be wrong.
    pub unix_ms: f64,
}

impl Now {
    /// Unix time in seconds, as datagrams carry it.
    pub(crate) fn unix_s(self) -> u32 {
        (self.unix_ms / 1000.0).clamp(0.0, f64::from(u32::MAX)) as u32
    }
}

/// A front's gossip settings.
#[derive(Clone, Debug)]
pub struct Config {
    /// The front's name, unique in the fleet.
    pub name: String,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Where others see its datagrams come from, and send theirs; without it: where it listens.
    pub advertise: Option<SocketAddr>,
    /// Fronts to contact first.
    pub seeds: Vec<SocketAddr>,
    /// The names of all fronts that may take part; empty: whoever has the key.
    pub roster: Vec<String>,
    /// Between two probes of other fronts, in milliseconds.
    pub probe_period_ms: f64,
    /// Between two rounds of dissemination, in milliseconds.
    pub gossip_period_ms: f64,
    /// Fronts that membership updates go to in a round.
    pub fanout: usize,
    /// Bound on the bytes of datagrams sent a second.
    pub bytes_per_s: u64,
    /// Unused bytes of that bound that may be saved up for a burst.
    pub burst_bytes: u64,
    /// How far others' Unix clocks may be off, in milliseconds.
    pub skew_ms: f64,
}

impl Default for Config {
    /// 4,096 bytes a second: probes and acks take some 250 of them at any size of the fleet; a witness's report reaches
    /// 200 fronts within four seconds.
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
