//! Datagrams between fronts: each ordered pair is a link, and faults stand on links.

use crate::Ground;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::UdpSocket;

/// Datagrams kept for sending them again one day.
const MOST_KEPT: usize = 4096;

/// What is wrong with the links now.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Part of all datagrams lost.
    pub loss: f64,
    /// Part lost of what a front sends and of what is sent to it.
    pub loses: BTreeMap<usize, f64>,
    /// Delay and jitter, milliseconds, of what a front sends and is sent.
    pub delays: BTreeMap<usize, (f64, f64)>,
    /// Part that comes twice.
    pub doubled: f64,
    /// Part that comes up to a quarter of a second late, behind later ones.
    pub late: f64,
    /// Sides of a partition.
    pub sides: BTreeMap<usize, usize>,
    /// Nothing passes from the first to the second.
    pub one_way: BTreeSet<(usize, usize)>,
    /// Nothing reaches these.
    pub deaf: BTreeSet<usize>,
}

impl Faults {
    /// The side of a partition that a front is on.
    pub fn side(&self, i: usize) -> usize {
        self.sides.get(&i).copied().unwrap_or(0)
    }

    /// Whether the links of that pair lose all.
    pub fn is_cut(&self, from: usize, to: usize) -> bool {
        self.side(from) != self.side(to) || self.deaf.contains(&to) || self.one_way.contains(&(from, to))
    }

    /// When the copies of a datagram come, if any do.
    fn passes(&self, from: usize, to: usize, rng: &mut ChaCha8Rng) -> Vec<Duration> {
        if self.is_cut(from, to) {
            return Vec::new();
        }
        let each = |i| self.loses.get(&i).copied().unwrap_or(0.0);
        if [self.loss, each(from), each(to)].iter().any(|l| *l > 0.0 && rng.random::<f64>() < *l) {
            return Vec::new();
        }
        let mut ms = 0.0;
        for (base, jitter) in [from, to].iter().filter_map(|i| self.delays.get(i)) {
            ms += base + jitter * rng.random::<f64>();
        }
        if self.late > 0.0 && rng.random::<f64>() < self.late {
            ms += 250.0 * rng.random::<f64>();
        }
        let copies = if self.doubled > 0.0 && rng.random::<f64>() < self.doubled { 2 } else { 1 };
        vec![Duration::from_secs_f64(ms / 1000.0); copies]
    }
}

fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A datagram as it passed: from, to, bytes.
pub type Kept = (usize, usize, Vec<u8>);

/// All links between fronts.
pub struct Links {
    ground: Arc<Ground>,
    faults: Mutex<Faults>,
    rng: Mutex<ChaCha8Rng>,
    sockets: Mutex<Vec<Arc<UdpSocket>>>,
    fronts: Mutex<HashMap<SocketAddr, usize>>,
    sent: Mutex<Vec<Arc<[AtomicU64; 2]>>>,
    kept: Mutex<Vec<Kept>>,
    passed: AtomicU64,
}

impl Links {
    /// No links yet.
    pub fn new(ground: Arc<Ground>, seed: u64) -> Arc<Links> {
        Arc::new(Links {
            ground,
            faults: Mutex::default(),
            rng: Mutex::new(ChaCha8Rng::seed_from_u64(seed)),
            sockets: Mutex::default(),
            fronts: Mutex::default(),
            sent: Mutex::default(),
            kept: Mutex::default(),
            passed: AtomicU64::new(0),
        })
    }

    /// One more front: takes its address that others are told. Fronts are added in order.
    ///
    /// # Errors
    /// The address can't be had.
    pub async fn add(self: &Arc<Links>) -> std::io::Result<usize> {
        let i = lock(&self.sockets).len();
        let socket = Arc::new(UdpSocket::bind(self.ground.told(i)).await?);
        lock(&self.sockets).push(socket.clone());
        lock(&self.fronts).insert(self.ground.own(i), i);
        lock(&self.sent).push(Arc::default());
        let links = self.clone();
        tokio::spawn(async move {
            let mut data = vec![0; 65_536];
            loop {
                // An error is one of a datagram sent before, to a front that does not run.
                let Ok((n, from)) = socket.recv_from(&mut data).await else { continue };
                let Some(from) = lock(&links.fronts).get(&from).copied() else { continue };
                links.pass(from, i, &data[..n]);
            }
        });
        Ok(i)
    }

    fn pass(self: &Arc<Links>, from: usize, to: usize, bytes: &[u8]) {
        if let Some(sent) = lock(&self.sent).get(from) {
            sent[0].fetch_add(1, Ordering::Relaxed);
            sent[1].fetch_add(bytes.len() as u64, Ordering::Relaxed);
        }
        // One in a few is kept, over the whole run.
        let passed = self.passed.fetch_add(1, Ordering::Relaxed);
        let mut kept = lock(&self.kept);
        if kept.len() < MOST_KEPT {
            kept.push((from, to, bytes.to_vec()));
        } else if passed % 16 == 0 {
            kept[(passed / 16) as usize % MOST_KEPT] = (from, to, bytes.to_vec());
        }
        drop(kept);
        let copies = lock(&self.faults).passes(from, to, &mut lock(&self.rng));
        for wait in copies {
            self.deliver(from, to, bytes.to_vec(), wait);
        }
    }

    /// Gives a front a datagram as if that other one had sent it, after a wait.
    pub fn deliver(self: &Arc<Links>, from: usize, to: usize, bytes: Vec<u8>, wait: Duration) {
        let Some(socket) = lock(&self.sockets).get(from).cloned() else { return };
        let to = self.ground.own(to);
        if wait.is_zero() {
            let _ = socket.try_send_to(&bytes, to);
            return;
        }
        tokio::spawn(async move {
            tokio::time::sleep(wait).await;
            let _ = socket.send_to(&bytes, to).await;
        });
    }

    /// What is wrong now.
    pub fn faults(&self) -> Faults {
        lock(&self.faults).clone()
    }

    /// Changes what is wrong.
    pub fn change(&self, f: impl FnOnce(&mut Faults)) {
        f(&mut lock(&self.faults));
    }

    /// Datagrams and bytes that each front has sent.
    pub fn sent(&self) -> Vec<(u64, u64)> {
        let read = |s: &Arc<[AtomicU64; 2]>| (s[0].load(Ordering::Relaxed), s[1].load(Ordering::Relaxed));
        lock(&self.sent).iter().map(read).collect()
    }

    /// Some datagrams that passed.
    pub fn kept(&self) -> Vec<Kept> {
        lock(&self.kept).clone()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn faults_stand_on_the_links_they_name() {
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        let mut f = Faults { one_way: [(1, 2)].into(), deaf: [3].into(), ..Faults::default() };
        let mut passes = |f: &Faults, from, to| f.passes(from, to, &mut rng).len();
        assert_eq!([passes(&f, 1, 2), passes(&f, 2, 1), passes(&f, 0, 3), passes(&f, 3, 0)], [0, 1, 0, 1]);
        f = Faults { sides: [(4, 1)].into(), ..Faults::default() };
        assert_eq!([passes(&f, 4, 0), passes(&f, 0, 4), passes(&f, 0, 1)], [0, 0, 1]);
        f = Faults { loses: [(5, 1.0)].into(), doubled: 1.0, ..Faults::default() };
        assert_eq!([passes(&f, 5, 0), passes(&f, 0, 5), passes(&f, 0, 1)], [0, 0, 2]);
        f = Faults { loss: 0.3, ..Faults::default() };
        let delivered: usize = (0..10_000).map(|_| passes(&f, 0, 1)).sum();
        assert!((6_800..7_200).contains(&delivered), "{delivered}");
    }
}
