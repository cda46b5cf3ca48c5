//! Real processes of the program on loopback, with faults on every link between them.
//!
//! - [`scenario`]: what is to happen and what must hold, a KDL document.
//! - [`links`]: datagrams between fronts pass here, each ordered pair a link of its own.
//! - [`boxes`]: stand-ins for cache nodes and the origin, which check the rules from outside.
//! - [`load`]: clients, open-loop.
//! - [`fronts`]: the processes: started, stopped, killed, watched.
//! - [`play`]: one scenario with one seed; [`suite`]: many, as rows.
//! - [`shim`]: faults of the machine under a process: failing system calls, a stepped wall clock.
//! - [`soak`]: fronts of the platform's configuration under overlapping troubles, judged by the rules.
//! - [`picture`]: what each front saw over time.
//!
//! Front `i` listens on 127.10.x.y and tells others 127.20.x.y, which is the rig's: a datagram to it is sent on to the
//! front from its sender's own 127.20 address, unless a fault says otherwise. For each front each box has an address of
//! its own, so that these links are apart too.

pub mod boxes;
pub mod fronts;
pub mod links;
pub mod load;
pub mod pairs;
pub mod picture;
pub mod play;
pub mod scenario;
pub mod shim;
pub mod soak;
pub mod suite;

use std::io;
use std::net::{SocketAddr, UdpSocket};

/// Addresses of a block: as many as one byte of an address tells apart, without its ends.
const A_BLOCK: usize = 250;
/// Blocks.
const BLOCKS: usize = 255;

/// Addresses on loopback that are this run's alone: other runs at the same time have others.
#[derive(Debug)]
pub struct Ground {
    first: usize,
    /// Held for as long as the addresses are: a port of each block.
    _held: Vec<UdpSocket>,
}

impl Ground {
    /// Addresses for so many fronts, restarts at other addresses among them.
    ///
    /// # Errors
    /// So many blocks in a row are not free.
    pub fn take(fronts: usize) -> io::Result<Ground> {
        let blocks = fronts.div_ceil(A_BLOCK).max(1);
        let hold = |block: usize| UdpSocket::bind(SocketAddr::from(([127, 9, 0, block as u8], 7099)));
        for first in 0..=BLOCKS.saturating_sub(blocks) {
            if let Ok(held) = (first..first + blocks).map(hold).collect::<io::Result<Vec<_>>>() {
                return Ok(Ground { first: first * A_BLOCK, _held: held });
            }
        }
        Err(io::Error::new(
            io::ErrorKind::AddrInUse,
            format!("no {blocks} blocks of addresses in a row are free"),
        ))
    }

    fn at(&self, net: u8, i: usize, port: u16) -> SocketAddr {
        let (x, y) = ((self.first + i) / A_BLOCK, (self.first + i) % A_BLOCK + 1);
        SocketAddr::from(([127, net, x as u8, y as u8], port))
    }

    /// Where front `i` listens for other fronts.
    pub fn own(&self, i: usize) -> SocketAddr {
        self.at(10, i, 7100)
    }

    /// Where others are told to reach front `i`: the rig's.
    pub fn told(&self, i: usize) -> SocketAddr {
        self.at(20, i, 7100)
    }

    /// Where clients reach front `i`.
    pub fn clients(&self, i: usize) -> SocketAddr {
        self.at(10, i, 4100)
    }

    /// Where front `i` reaches box `b`.
    pub fn at_box(&self, i: usize, b: usize) -> SocketAddr {
        self.at(40 + b as u8, i, 6000)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn runs_at_the_same_time_have_addresses_of_their_own() {
        let (a, b) = (Ground::take(300).expect("free"), Ground::take(1).expect("free"));
        let all = |g: &Ground, n| {
            (0..n).flat_map(|i| [g.own(i), g.told(i), g.clients(i), g.at_box(i, 3)]).collect::<Vec<_>>()
        };
        let (of_a, of_b) = (all(&a, 300), all(&b, 1));
        assert!(of_b.iter().all(|x| !of_a.contains(x)));
        let mut sorted = of_a.clone();
        sorted.sort();
        sorted.dedup();
        assert_eq!(sorted.len(), of_a.len(), "no address twice");
    }
}
