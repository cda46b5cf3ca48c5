//! The loopback addresses of one run, reserved so that concurrent runs don't use the same ones.
//!
//! Front `endpoint` listens for gossip on 127.10.x.y and advertises 127.20.x.y, which the rig binds. The rig
//! forwards a datagram sent to the advertised address to the front, from the 127.20 address of the sender,
//! unless an injected fault prevents it. Each pair of front and cache node has a separate address (127.40.x.y
//! and up), so that these links are separate too.

use std::io;
use std::net::{SocketAddr, UdpSocket};

/// Number of addresses in a block; their last bytes are 1 to 250.
const ADDRESSES_PER_BLOCK: usize = 250;
/// Number of blocks: one for each value from 0 to 254 of the third byte of an address.
const BLOCK_COUNT: usize = 255;

/// Loopback addresses that are reserved for one run until this value is dropped.
#[derive(Debug)]
pub struct LoopbackAddresses {
    first: usize,
    /// Sockets bound to the lock address of each block; a run that finds such a port in use takes other
    /// blocks.
    _reservations: Vec<UdpSocket>,
}

impl LoopbackAddresses {
    /// Reserves addresses for `fronts` fronts. A front that restarts at another address counts twice.
    ///
    /// # Errors
    /// There are not enough consecutive free blocks.
    pub fn reserve(fronts: usize) -> io::Result<LoopbackAddresses> {
        let blocks = fronts.div_ceil(ADDRESSES_PER_BLOCK).max(1);
        let reserve = |block: usize| UdpSocket::bind(SocketAddr::from(([127, 9, 0, block as u8], 7099)));
        for first in 0..=BLOCK_COUNT.saturating_sub(blocks) {
            if let Ok(sockets) = (first..first + blocks).map(reserve).collect::<io::Result<Vec<_>>>() {
                return Ok(LoopbackAddresses { first: first * ADDRESSES_PER_BLOCK, _reservations: sockets });
            }
        }
        Err(io::Error::new(
            io::ErrorKind::AddrInUse,
            format!("no {blocks} consecutive blocks of loopback addresses are free"),
        ))
    }

    fn address_in_network(&self, network: u8, endpoint: usize, port: u16) -> SocketAddr {
        let (x, y) = (
            (self.first + endpoint) / ADDRESSES_PER_BLOCK,
            (self.first + endpoint) % ADDRESSES_PER_BLOCK + 1,
        );
        SocketAddr::from(([127, network, x as u8, y as u8], port))
    }

    /// The address at which front `endpoint` listens for gossip.
    pub fn gossip_listen_address(&self, endpoint: usize) -> SocketAddr {
        self.address_in_network(10, endpoint, 7100)
    }

    /// The gossip address that front `endpoint` advertises to other fronts; the rig binds it.
    pub fn advertised_gossip_address(&self, endpoint: usize) -> SocketAddr {
        self.address_in_network(20, endpoint, 7100)
    }

    /// The address at which front `endpoint` listens for clients.
    pub fn client_listen_address(&self, endpoint: usize) -> SocketAddr {
        self.address_in_network(10, endpoint, 4100)
    }

    /// The address at which front `endpoint` connects to cache node `node`.
    pub fn cache_node(&self, endpoint: usize, node: usize) -> SocketAddr {
        self.address_in_network(40 + node as u8, endpoint, 6000)
    }
}

#[cfg(test)]
mod tests;
