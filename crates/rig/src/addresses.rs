//! The loopback addresses of one run, reserved so that runs at the same time don't collide.
//!
//! Front `i` listens for gossip on 127.10.x.y and advertises 127.20.x.y, which the rig binds: a datagram to the advertised
//! address is forwarded to the front from its sender's own 127.20 address, unless an injected fault says otherwise. Every
//! front reaches every cache node at an address of its own (127.40.x.y and up), so that these links are separate too.

use std::io;
use std::net::{SocketAddr, UdpSocket};

/// Addresses of a block: as many as the last byte of an address tells apart, without its ends.
const ADDRESSES_PER_BLOCK: usize = 250;
/// Blocks: one for each value of the address's third byte but the last.
const BLOCK_COUNT: usize = 255;

/// Loopback addresses that belong to this run alone for as long as the value lives.
#[derive(Debug)]
pub struct LoopbackAddresses {
    first: usize,
    /// A socket on the lock address of each block; another run that finds the port in use takes other blocks.
    _reservations: Vec<UdpSocket>,
}

impl LoopbackAddresses {
    /// Reserves addresses for `fronts` fronts; a front that restarts at another address counts again.
    ///
    /// # Errors
    /// Not enough consecutive blocks are free.
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
            format!("no {blocks} blocks of addresses in a row are free"),
        ))
    }

    fn address(&self, network: u8, i: usize, port: u16) -> SocketAddr {
        let (x, y) = ((self.first + i) / ADDRESSES_PER_BLOCK, (self.first + i) % ADDRESSES_PER_BLOCK + 1);
        SocketAddr::from(([127, network, x as u8, y as u8], port))
    }

    /// Where front `i` listens for other fronts.
    pub fn gossip_listen(&self, i: usize) -> SocketAddr {
        self.address(10, i, 7100)
    }

    /// Where front `i` tells other fronts to reach it: an address of the rig's.
    pub fn gossip_advertised(&self, i: usize) -> SocketAddr {
        self.address(20, i, 7100)
    }

    /// Where clients reach front `i`.
    pub fn client_listen(&self, i: usize) -> SocketAddr {
        self.address(10, i, 4100)
    }

    /// Where front `i` reaches cache node `node`.
    pub fn cache_node(&self, i: usize, node: usize) -> SocketAddr {
        self.address(40 + node as u8, i, 6000)
    }
}

#[cfg(test)]
mod tests;
