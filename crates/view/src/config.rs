//! What a front's view is configured with.

use std::net::SocketAddr;

/// A front's name and an address of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerAddress {
    /// The front's name.
    pub name: String,
    /// The address.
    pub addr: SocketAddr,
}

/// The configuration of one front's view.
#[derive(Clone, Debug)]
pub struct Config {
    /// The front's name, unique in the fleet.
    pub name: String,
    /// Where others reach it.
    pub addr: SocketAddr,
    /// Where it receives gossip on suspicions, if it does; announced to the others.
    pub gossip: Option<SocketAddr>,
    /// Its location.
    pub location: String,
    /// Its program's version.
    pub program: String,
    /// A hash of its configuration.
    pub configuration: u32,
    /// Fronts to join by.
    pub seeds: Vec<SocketAddr>,
    /// Fronts that this one knew when it last ran, with their addresses then: polled beside the seeds. One address that is
    /// still valid is enough to bring all together.
    pub remembered: Vec<PeerAddress>,
    /// Number of watchers of each front.
    pub watchers: usize,
    /// Bytes of datagrams sent per second, at most, whatever happens.
    pub bytes_per_s: u64,
    /// Bytes of unused budget that may accumulate.
    pub burst_bytes: u64,
}

impl Default for Config {
    /// Seven watchers: where a third of all crashes at once, nearly each front keeps two. 32 KiB per second: where a hundred
    /// join at once each forwards some 60 KiB in all, and where they are partitioned in halves each sends some 20 KiB per
    /// second until both have settled; in steady state it is about 1 KiB per second.
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
    /// The addresses polled before any member is known: the seeds, and where others were when this front last ran.
    pub(crate) fn initial_contacts(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.seeds.iter().copied().chain(self.remembered.iter().map(|r| r.addr))
    }
}
