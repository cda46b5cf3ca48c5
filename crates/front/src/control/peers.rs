//! The datagrams between the fronts of a tier: short messages that their dispatchers exchange.

use crate::event_loop::Quantum;
use may::io::{CoIo, WaitIo};
use socket2::{Domain, Protocol, Socket, Type};
use std::io::ErrorKind;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// The maximum length in bytes of a datagram that is sent or accepted.
const MAX_DATAGRAM_BYTES: usize = 256;
/// The pause after an error in receiving a datagram.
const RECEIVE_ERROR_PAUSE: Duration = Duration::from_millis(5);

/// The socket on which this front exchanges datagrams with its peers.
pub struct Peers {
    socket: CoIo<UdpSocket>,
    /// The address that reaches all peers at once. `None` if there is no such address.
    broadcast_addr: Option<SocketAddr>,
    /// The addresses of the peers, indexed by slot number.
    addrs: Vec<SocketAddr>,
    /// The number of datagrams dropped because no peer sent them or because they were too long.
    dropped_datagrams: AtomicU64,
}

impl Peers {
    /// Binds the socket for peers' datagrams to the address `at`. The address is shared with a process that
    /// replaces this one while both run (`SO_REUSEPORT`): the kernel delivers each peer's datagrams to one of
    /// them, and all datagrams to the remaining one after the other has ended.
    ///
    /// # Errors
    /// Returns an error if the address cannot be bound.
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
        Ok(Peers { socket, broadcast_addr, addrs, dropped_datagrams: AtomicU64::new(0) })
    }

    /// Receives the next datagram; the calling coroutine waits until one arrives.
    fn receive_datagram(&self, data: &mut [u8]) -> std::io::Result<(usize, SocketAddr)> {
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

    fn send_datagram(&self, to: Option<&SocketAddr>, data: &[u8]) {
        // Sent directly on the non-blocking socket. A datagram for which the kernel has no buffer space is
        // lost, which the protocol tolerates.
        if let Some(to) = to.filter(|_| data.len() <= MAX_DATAGRAM_BYTES) {
            let _ = self.socket.inner().send_to(data, to);
        }
    }

    /// Sends a message to the peer in slot `to`; delivery is not guaranteed.
    pub fn send_to(&self, to: u32, data: &[u8]) {
        self.send_datagram(self.addrs.get(to as usize), data);
    }

    /// Sends a message to all peers; delivery is not guaranteed.
    pub fn broadcast(&self, data: &[u8]) {
        self.send_datagram(self.broadcast_addr.as_ref(), data);
    }

    /// Passes each message received to `deliver` with the slot number of the peer that sent it, for as long
    /// as the process runs. Datagrams that no peer sent are counted and dropped.
    pub fn run(&self, deliver: impl Fn(u32, &[u8])) {
        let mut data = [0; MAX_DATAGRAM_BYTES + 1];
        let mut quantum = Quantum::default();
        loop {
            quantum.count_message_or_yield();
            let Ok((n, from)) = self.receive_datagram(&mut data) else {
                // The error concerns one datagram, for example an unreachable port; later ones may succeed.
                crate::sleep::sleep(RECEIVE_ERROR_PAUSE);
                continue;
            };
            let sender = self.addrs.iter().position(|p| *p == from);
            if let Some(slot) = sender.filter(|_| n <= MAX_DATAGRAM_BYTES) {
                deliver(slot as u32, &data[..n]);
            } else {
                self.dropped_datagrams.fetch_add(1, Ordering::Relaxed);
            }
        }
    }

    /// Returns the number of datagrams dropped since the start because no peer sent them or because they were
    /// too long.
    pub fn dropped_datagrams(&self) -> u64 {
        self.dropped_datagrams.load(Ordering::Relaxed)
    }
}
