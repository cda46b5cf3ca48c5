//! Short messages between the fronts of a tier, as datagrams.

use crate::Shared;
use may::io::{CoIo, WaitIo};
use socket2::{Domain, Protocol, Socket, Type};
use std::io::ErrorKind;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// No message is longer.
const MOST_BYTES: usize = 256;
const AFTER_ERROR: Duration = Duration::from_millis(5);

/// This front's end of it.
pub struct Peers {
    socket: CoIo<UdpSocket>,
    all: Option<SocketAddr>,
    each: Vec<SocketAddr>,
    foreign: AtomicU64,
}

impl Peers {
    /// Takes the address where messages come in. It is shared with a process that replaces this one while both
    /// run (`SO_REUSEPORT`): the kernel gives each peer's datagrams to one of them, and all to the one that stays.
    pub fn bind(at: SocketAddr, each: Vec<SocketAddr>, all: Option<SocketAddr>) -> std::io::Result<Peers> {
        let socket = Socket::new(Domain::for_address(at), Type::DGRAM, Some(Protocol::UDP))?;
        socket.set_reuse_address(true)?;
        socket.set_reuse_port(true)?;
        socket.bind(&at.into())?;
        let socket = CoIo::new(UdpSocket::from(socket)).map_err(std::io::Error::from)?;
        Ok(Peers { socket, all, each, foreign: AtomicU64::new(0) })
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
        // Straight to the socket, which never blocks: a datagram that finds no room is lost, as any may be.
        if let Some(to) = to.filter(|_| data.len() <= MOST_BYTES) {
            let _ = self.socket.inner().send_to(data, to);
        }
    }

    /// To one of them.
    pub fn tell(&self, to: u32, data: &[u8]) {
        self.send(self.each.get(to as usize), data);
    }

    /// To all of them.
    pub fn tell_all(&self, data: &[u8]) {
        self.send(self.all.as_ref(), data);
    }

    /// Hands on what comes, for good. What no peer sent is passed over.
    pub fn run(&self, front: &Arc<Shared>) {
        let mut data = [0; MOST_BYTES + 1];
        loop {
            let Ok((n, from)) = self.receive(&mut data) else {
                // An error of one datagram, such as a port that nobody has: the next may be fine.
                crate::sleep::sleep(AFTER_ERROR);
                continue;
            };
            let sender = self.each.iter().position(|p| *p == from);
            if let Some(slot) = sender.filter(|_| n <= MOST_BYTES) {
                for queue in front.queues.all() {
                    queue.dispatcher.heard(front.clock.now(), slot as u32, data[..n].to_vec());
                }
            } else {
                self.foreign.fetch_add(1, Ordering::Relaxed);
            }
        }
    }

    /// How many datagrams came from no peer's address or were too long; they were dropped.
    pub fn foreign(&self) -> u64 {
        self.foreign.load(Ordering::Relaxed)
    }
}
