//! Relays the datagrams between fronts. Each ordered pair of fronts is a link, and faults are injected on
//! links.

use crate::addresses::LoopbackAddresses;
use crate::sync::lock;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::UdpSocket;

/// The number of datagrams that are recorded for replay.
const MAX_RECORDED: usize = 4096;
/// Once [`MAX_RECORDED`] datagrams are recorded, one in this many datagrams replaces a recorded one.
const RECORD_EVERY: u64 = 16;
/// The longest additional delay of a reordered datagram, in milliseconds.
const MAX_REORDERING_MS: f64 = 250.0;

/// A delay that is added to datagrams.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Delay {
    /// The constant part, in milliseconds.
    pub base_ms: f64,
    /// The upper bound of the random part, in milliseconds.
    pub jitter_ms: f64,
}

/// The faults on all links at one time. A front is identified by the index of its endpoint.
#[derive(Clone, Debug, Default)]
pub struct LinkFaults {
    /// The fraction of all datagrams that is lost.
    pub loss: f64,
    /// The fraction lost of the datagrams from and to each front.
    pub loss_by_front: BTreeMap<usize, f64>,
    /// The delay of the datagrams from and to each front.
    pub delays: BTreeMap<usize, Delay>,
    /// The fraction of datagrams that is delivered twice.
    pub duplicated: f64,
    /// The fraction of datagrams that is delayed by a random time, so that later datagrams overtake them.
    pub reordered: f64,
    /// The side of a partition that each front is on. A front without an entry is on side 0.
    pub sides: BTreeMap<usize, usize>,
    /// Links, as sender and receiver, that lose every datagram while the opposite direction works.
    pub one_way: BTreeSet<(usize, usize)>,
    /// The fronts to which no datagram is delivered.
    pub inbound_blocked: BTreeSet<usize>,
}

impl LinkFaults {
    /// Returns the side of a partition that a front is on.
    pub fn side_of(&self, front: usize) -> usize {
        self.sides.get(&front).copied().unwrap_or(0)
    }

    /// Returns whether the link loses every datagram.
    pub fn is_cut(&self, from: usize, to: usize) -> bool {
        self.side_of(from) != self.side_of(to)
            || self.inbound_blocked.contains(&to)
            || self.one_way.contains(&(from, to))
    }

    /// Chooses at random the delay of each copy of a datagram that is to be delivered. The result is empty if
    /// the datagram is lost.
    fn choose_delivery_delays(&self, from: usize, to: usize, rng: &mut ChaCha8Rng) -> Vec<Duration> {
        if self.is_cut(from, to) {
            return Vec::new();
        }
        let loss_of = |front| self.loss_by_front.get(&front).copied().unwrap_or(0.0);
        if [self.loss, loss_of(from), loss_of(to)].iter().any(|l| *l > 0.0 && rng.random::<f64>() < *l) {
            return Vec::new();
        }
        let mut ms = 0.0;
        for delay in [from, to].iter().filter_map(|front| self.delays.get(front)) {
            ms += delay.base_ms + delay.jitter_ms * rng.random::<f64>();
        }
        if self.reordered > 0.0 && rng.random::<f64>() < self.reordered {
            ms += MAX_REORDERING_MS * rng.random::<f64>();
        }
        let copies = if self.duplicated > 0.0 && rng.random::<f64>() < self.duplicated { 2 } else { 1 };
        vec![Duration::from_secs_f64(ms / 1000.0); copies]
    }
}

/// A datagram that the rig has relayed.
#[derive(Clone, Debug)]
pub struct Datagram {
    /// The front that sent it.
    pub from: usize,
    /// The front that it was sent to.
    pub to: usize,
    /// The payload of the datagram.
    pub bytes: Vec<u8>,
}

/// The relay for datagrams between all fronts.
pub struct Links {
    addresses: Arc<LoopbackAddresses>,
    faults: Mutex<LinkFaults>,
    rng: Mutex<ChaCha8Rng>,
    /// The socket on the advertised address of each front, by the index of its endpoint.
    sockets: Mutex<Vec<Arc<UdpSocket>>>,
    /// The front that sends from each address, by its gossip address.
    senders: Mutex<HashMap<SocketAddr, usize>>,
    /// The number of bytes that each front has sent, by the index of its endpoint.
    bytes_sent: Mutex<Vec<Arc<AtomicU64>>>,
    recorded: Mutex<Vec<Datagram>>,
    relayed: AtomicU64,
}

impl Links {
    /// Creates a relay without fronts. `seed` determines which datagrams are lost, delayed and duplicated.
    pub fn new(addresses: Arc<LoopbackAddresses>, seed: u64) -> Arc<Links> {
        Arc::new(Links {
            addresses,
            faults: Mutex::default(),
            rng: Mutex::new(ChaCha8Rng::seed_from_u64(seed)),
            sockets: Mutex::default(),
            senders: Mutex::default(),
            bytes_sent: Mutex::default(),
            recorded: Mutex::default(),
            relayed: AtomicU64::new(0),
        })
    }

    /// Adds the endpoint of one more front, relays the datagrams sent to it, and returns its index. Endpoints
    /// are numbered in the order in which they are added.
    ///
    /// # Errors
    /// The advertised address can't be bound.
    pub async fn add_endpoint(self: &Arc<Links>) -> std::io::Result<usize> {
        let to = lock(&self.sockets).len();
        let socket = Arc::new(UdpSocket::bind(self.addresses.advertised_gossip_address(to)).await?);
        lock(&self.sockets).push(socket.clone());
        lock(&self.senders).insert(self.addresses.gossip_listen_address(to), to);
        lock(&self.bytes_sent).push(Arc::default());
        let links = self.clone();
        tokio::spawn(async move {
            let mut data = vec![0; 65_536];
            loop {
                // A receive error concerns a datagram that was sent earlier to a front that does not run.
                let Ok((n, sender)) = socket.recv_from(&mut data).await else { continue };
                let Some(from) = lock(&links.senders).get(&sender).copied() else { continue };
                links.relay_datagram(from, to, &data[..n]);
            }
        });
        Ok(to)
    }

    fn relay_datagram(self: &Arc<Links>, from: usize, to: usize, bytes: &[u8]) {
        if let Some(sent) = lock(&self.bytes_sent).get(from) {
            sent.fetch_add(bytes.len() as u64, Ordering::Relaxed);
        }
        // The sample covers the entire run, since old datagrams are replayed later.
        let relayed = self.relayed.fetch_add(1, Ordering::Relaxed);
        let mut recorded = lock(&self.recorded);
        if recorded.len() < MAX_RECORDED {
            recorded.push(Datagram { from, to, bytes: bytes.to_vec() });
        } else if relayed % RECORD_EVERY == 0 {
            recorded[(relayed / RECORD_EVERY) as usize % MAX_RECORDED] =
                Datagram { from, to, bytes: bytes.to_vec() };
        }
        drop(recorded);
        let deliveries = lock(&self.faults).choose_delivery_delays(from, to, &mut lock(&self.rng));
        for delay in deliveries {
            self.deliver_datagram(from, to, bytes.to_vec(), delay);
        }
    }

    /// Delivers a datagram to front `to` after a delay, from the advertised address of front `from`.
    pub fn deliver_datagram(self: &Arc<Links>, from: usize, to: usize, bytes: Vec<u8>, delay: Duration) {
        let Some(socket) = lock(&self.sockets).get(from).cloned() else { return };
        let to = self.addresses.gossip_listen_address(to);
        if delay.is_zero() {
            let _ = socket.try_send_to(&bytes, to);
            return;
        }
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            let _ = socket.send_to(&bytes, to).await;
        });
    }

    /// Returns the current faults.
    pub fn faults(&self) -> LinkFaults {
        lock(&self.faults).clone()
    }

    /// Changes the faults for all datagrams relayed from now on.
    pub fn update_faults(&self, update: impl FnOnce(&mut LinkFaults)) {
        update(&mut lock(&self.faults));
    }

    /// Returns the number of bytes that each front has sent, by the index of its endpoint.
    pub fn bytes_sent(&self) -> Vec<u64> {
        lock(&self.bytes_sent).iter().map(|bytes| bytes.load(Ordering::Relaxed)).collect()
    }

    /// Returns a sample of the datagrams that were relayed.
    pub fn recorded_datagrams(&self) -> Vec<Datagram> {
        lock(&self.recorded).clone()
    }
}

#[cfg(test)]
mod tests;
