//! The configuration of a front's view.

use std::net::SocketAddr;

/// The name of a front and one of its addresses: either the view's or the gossip address.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerAddress {
    /// The name of the front.
    pub name: String,
    /// The UDP address at which the front receives datagrams.
    pub addr: SocketAddr,
}

/// The configuration of one front's view.
#[derive(Clone, Debug)]
pub struct Config {
    /// The name of this front, unique in the fleet.
    pub name: String,
    /// The UDP address at which the other fronts reach this one.
    pub addr: SocketAddr,
    /// The UDP address at which this front receives gossip on suspicions, announced to the others; `None` if
    /// it receives none.
    pub gossip: Option<SocketAddr>,
    /// The name of the location that this front runs in; may be empty.
    pub location: String,
    /// The version of the program that this front runs.
    pub program: String,
    /// A hash of this front's configuration, announced to the others.
    pub configuration: u32,
    /// Addresses that this front polls in order to join the fleet.
    pub seeds: Vec<SocketAddr>,
    /// Fronts that this one knew when it last ran, with their addresses at that time. They are polled in
    /// addition to the seeds; one address that is still valid is enough to bring the whole fleet together.
    pub remembered: Vec<PeerAddress>,
    /// The number of other fronts that watch each front.
    pub watchers: usize,
    /// The upper limit of bytes sent per second, under all circumstances.
    pub bytes_per_s: u64,
    /// The largest unused send budget that may accumulate, in bytes.
    pub burst_bytes: u64,
}

impl Default for Config {
    /// Default limits. With seven watchers, nearly every front keeps two of them when a third of the fleet
    /// crashes at once. A budget of 32 KiB per second suffices: when a hundred fronts join at once, each
    /// forwards about 60 KiB in total; when they are partitioned in halves, each sends about 20 KiB per
    /// second until both halves have settled; in steady state each sends about 1 KiB per second.
    fn default() -> Config {
        Config {
            name: "front".into(),
            addr: SocketAddr::from(([127, 0, 0, 1], 0)),
            gossip: None,
            location: String::new(),
            program: env!("CARGO_PKG_VERSION").into(),
            configuration: 0,
            seeds: Vec::new(),
            remembered: Vec::new(),
            watchers: 7,
            bytes_per_s: 32_768,
            burst_bytes: 131_072,
        }
    }
}

impl Config {
    /// The addresses polled before any member is known: the seeds, and the addresses that other fronts had
    /// when this front last ran.
    pub(crate) fn initial_contacts(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.seeds.iter().copied().chain(self.remembered.iter().map(|r| r.addr))
    }
}
