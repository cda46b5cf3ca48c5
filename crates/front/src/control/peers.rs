//! Datagrams between the fronts of a tier: short messages of the dispatchers to their peers.

use may::io::{CoIo, WaitIo};
use socket2::{Domain, Protocol, Socket, Type};
use std::io::ErrorKind;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Longest datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 256;
/// Pause after a receive error.
const ERROR_PAUSE: Duration = Duration::from_millis(5);

/// This front's socket to its peers.
pub struct Peers {
    socket: CoIo<UdpSocket>,
    /// Reaches all peers at once.
    broadcast_addr: Option<SocketAddr>,
    /// The peers by slot.
    addrs: Vec<SocketAddr>,
    /// Datagrams dropped: not from a peer, or too long.
    foreign: AtomicU64,
}

impl Peers {
    /// Binds the listen address for peers' datagrams. It is shared with a process that replaces this one while both
    /// run (`SO_REUSEPORT`): the kernel gives each peer's datagrams to one of them, and all to the one that stays.
    ///
    /// # Errors
    /// The address can't be bound.
    pub fn bind(
        at: SocketAddr,
        addrs: Vec<SocketAddr>,
        broadcast_addr: Option<SocketAddr>,
    ) -> std::io::Result<Peers> {
        let socket = Socket::new(Domain::for_address(at), Type::DGRAM, Some(Protocol::UDP))?;
        socket.set_reuse_address(true)?;
        socket.set_reuse_port(true)?;
        socket.bind(&at.into())?;
        let socket = CoIo::new(UdpSocket::from(socket)).map_err(std::io::Error::from)?;
        Ok(Peers { socket, broadcast_addr, addrs, foreign: AtomicU64::new(0) })
    }

    /// The next datagram, waiting in the coroutine for one.
    fn receive(&self, data: &mut [u8]) -> std::io::Result<(usize, SocketAddr)> {
        loop {
            match self.socket.inner().recv_from(data) {
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    self.socket.wait_io();
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                other => return other,
            }
        }
    }

    fn send(&self, to: Option<&SocketAddr>, data: &[u8]) {
        // Straight to the socket, which never blocks: a datagram for which the kernel has no buffer is lost, as any may be.
        if let Some(to) = to.filter(|_| data.len() <= MAX_DATAGRAM_BYTES) {
            let _ = self.socket.inner().send_to(data, to);
        }
    }

    /// Sends a message to the peer in slot `to`; it may be lost.
    pub fn send_to(&self, to: u32, data: &[u8]) {
        self.send(self.addrs.get(to as usize), data);
    }

    /// Sends a message to all peers; it may be lost.
    pub fn broadcast(&self, data: &[u8]) {
        self.send(self.broadcast_addr.as_ref(), data);
    }

    /// Passes received messages to `deliver`, with the slot of the peer that sent them, for the life of the process;
    /// counts and drops what no peer sent.
    pub fn run(&self, deliver: impl Fn(u32, &[u8])) {
        let mut data = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            let Ok((n, from)) = self.receive(&mut data) else {
                // An error of one datagram, such as a port that nobody has: the next may be fine.
                crate::sleep::sleep(ERROR_PAUSE);
                continue;
            };
            let sender = self.addrs.iter().position(|p| *p == from);
            if let Some(slot) = sender.filter(|_| n <= MAX_DATAGRAM_BYTES) {
                deliver(slot as u32, &data[..n]);
            } else {
                self.foreign.fetch_add(1, Ordering::Relaxed);
            }
        }
    }

    /// Number of datagrams dropped since the start: from no peer's address, or too long.
    pub fn foreign(&self) -> u64 {
        self.foreign.load(Ordering::Relaxed)
    }
}
