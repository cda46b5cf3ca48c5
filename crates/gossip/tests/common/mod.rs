//! A simulated network, by seed: loss, delay, duplication, reordering, partitions, clocks that are off and fronts that
//! stall, with real gossip instances. Invariants are checked at every step.
#![allow(dead_code, reason = "each test and example uses a part")]

use fernslip_gossip::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::net::SocketAddr;

/// Unix time at the start of every simulation.
pub const UNIX_MS: f64 = 1.8e12;

/// What the network does.
#[derive(Clone, Copy, Debug)]
pub struct Network {
    pub loss: f64,
    pub duplicated: f64,
    /// Delays from the first to the second, so that datagrams overtake each other.
    pub delay_ms: (f64, f64),
}

impl Network {
    pub fn with_loss(loss: f64) -> Network {
        Network { loss, duplicated: 0.02, delay_ms: (1.0, 30.0) }
    }
}

/// A front of the simulation.
pub struct Front {
    pub gossip: Option<Gossip>,
    pub addr: SocketAddr,
    /// Its Unix clock is off by this.
    pub skew_ms: f64,
    /// It does nothing until then: what is received waits.
    pub stalled_until_ms: f64,
    pub hearsay: BTreeMap<CacheNodeKey, f64>,
    pub max_hearsay: f64,
    sent: VecDeque<(f64, usize)>,
    in_window: usize,
    pub max_bytes_per_s: usize,
}

/// The simulation.
pub struct Simulation {
    pub now: f64,
    pub net: Network,
    pub fronts: Vec<Front>,
    pub keys: Keyring,
    /// Fronts of different partitions don't reach each other.
    pub partition: Vec<u32>,
    rng: ChaCha8Rng,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    in_flight: BTreeMap<u64, (SocketAddr, SocketAddr, Vec<u8>)>,
    next: u64,
    /// Every datagram sent, if it is to be recorded.
    pub record: Option<Vec<(SocketAddr, SocketAddr, Vec<u8>)>>,
    /// Of everything that was sent, in its order: equal simulations have equal hashes.
    pub hash: u64,
    pub config: Config,
    by_addr: BTreeMap<SocketAddr, usize>,
}

pub fn is_present(state: MemberState) -> bool {
    matches!(state, MemberState::Alive | MemberState::Suspect)
}

pub fn addr(n: usize) -> SocketAddr {
    SocketAddr::from(([127, 1, (n >> 8) as u8, (n & 255) as u8], 7946))
}

pub fn cache_nodes(n: usize) -> Vec<CacheNodeKey> {
    (0..n).map(|i| CacheNodeKey::new(&format!("box-{i}"), 0)).collect()
}

impl Simulation {
    /// A simulation of `fronts` fronts, each of which has the first two as seeds.
    pub fn new(fronts: usize, net: Network, seed: u64) -> Simulation {
        Simulation::with(fronts, net, seed, Config::default())
    }

    pub fn with(fronts: usize, net: Network, seed: u64, config: Config) -> Simulation {
        let mut sim = Simulation {
            now: 0.0,
            net,
            fronts: Vec::new(),
            keys: Keyring::new(Key::new(1, [7; 32])),
            partition: vec![0; fronts],
            rng: ChaCha8Rng::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            in_flight: BTreeMap::new(),
            next: 0,
            record: None,
            hash: 0,
            config,
            by_addr: (0..fronts).map(|n| (addr(n), n)).collect(),
        };
        for n in 0..fronts {
            sim.fronts.push(Front {
                gossip: None,
                addr: addr(n),
                skew_ms: 0.0,
                stalled_until_ms: 0.0,
                hearsay: BTreeMap::new(),
                max_hearsay: 0.0,
                sent: VecDeque::new(),
                in_window: 0,
                max_bytes_per_s: 0,
            });
            sim.start(n, seed ^ (n as u64) << 8);
        }
        sim
    }

    /// Starts a front, anew if it was there.
    pub fn start(&mut self, n: usize, seed: u64) {
        let config = Config {
            name: format!("n{n}"),
            addr: addr(n),
            seeds: vec![addr(0), addr(1)],
            ..self.config.clone()
        };
        let now = self.clock(n);
        self.fronts[n].gossip = Some(Gossip::new(config, self.keys.clone(), seed, now));
        self.fronts[n].hearsay.clear();
    }

    pub fn clock(&self, n: usize) -> Now {
        Now { mono_ms: self.now, unix_ms: UNIX_MS + self.now + self.fronts[n].skew_ms }
    }

    pub fn gossip(&self, n: usize) -> &Gossip {
        self.fronts[n].gossip.as_ref().expect("it runs")
    }

    pub fn feed(&mut self, n: usize, event: Event) {
        let now = self.clock(n);
        let Some(g) = &mut self.fronts[n].gossip else { return };
        let mut actions = Vec::new();
        g.handle(now, event, &mut actions);
        let bound = |len: usize, max: usize, table: &str| assert!(len <= max, "{len} {table}");
        let TableSizes { members, suspicions, own_reports, deliveries } = g.table_sizes();
        bound(members, 2048, "members");
        bound(suspicions, 16_384, "suspicions");
        bound(own_reports, 10_000, "own reports");
        bound(deliveries, members * 256, "deliveries");
        for action in actions {
            match action {
                Action::Send { to, bytes } => self.sent(n, to, bytes),
                Action::Hearsay { node, score } => {
                    assert!(score.abs() <= aggregate::MAX_SCORE, "hearsay is capped");
                    self.fronts[n].hearsay.insert(node, score);
                    self.fronts[n].max_hearsay = self.fronts[n].max_hearsay.max(score);
                }
                Action::Member { .. } => {}
            }
        }
    }

    pub fn feed_all(&mut self, event: Event) {
        (0..self.fronts.len()).for_each(|n| self.feed(n, event.clone()));
    }

    fn sent(&mut self, n: usize, to: SocketAddr, bytes: Vec<u8>) {
        assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
        let (rate, burst) = (self.config.bytes_per_s as usize, self.config.burst_bytes as usize);
        let f = &mut self.fronts[n];
        f.sent.push_back((self.now, bytes.len()));
        f.in_window += bytes.len();
        while f.sent.front().is_some_and(|s| s.0 <= self.now - 1000.0) {
            f.in_window -= f.sent.pop_front().map_or(0, |s| s.1);
        }
        f.max_bytes_per_s = f.max_bytes_per_s.max(f.in_window);
        assert!(f.in_window <= rate + burst, "{} bytes in a second", f.in_window);
        for b in &bytes {
            self.hash = (self.hash ^ u64::from(*b)).wrapping_mul(0x0100_0000_01b3);
        }
        if let Some(r) = &mut self.record {
            r.push((addr(n), to, bytes.clone()));
        }
        self.inject(addr(n), to, bytes);
    }

    /// Puts a datagram on its way, as if that front had sent it.
    pub fn inject(&mut self, from: SocketAddr, to: SocketAddr, bytes: Vec<u8>) {
        let copies = 1 + usize::from(self.rng.random_bool(self.net.duplicated));
        for _ in 0..copies {
            if self.rng.random_bool(self.net.loss) {
                continue;
            }
            let at = self.now + self.rng.random_range(self.net.delay_ms.0..=self.net.delay_ms.1);
            self.next += 1;
            self.queue.push(Reverse(((at * 1000.0) as u64, self.next)));
            self.in_flight.insert(self.next, (from, to, bytes.clone()));
        }
    }

    /// Runs for some simulated time, every event in its order.
    pub fn run_for(&mut self, ms: f64) {
        let end = self.now + ms;
        loop {
            let datagram = self.queue.peek().map(|Reverse((at, _))| *at as f64 / 1000.0);
            let due = |f: &Front| f.gossip.as_ref().map(|g| g.wake_at().max(f.stalled_until_ms));
            let tick = (0..self.fronts.len())
                .filter_map(|n| Some((due(&self.fronts[n])?, n)))
                .min_by(|a, b| a.0.total_cmp(&b.0));
            let next = [datagram, tick.map(|t| t.0)].into_iter().flatten().fold(f64::MAX, f64::min);
            if next > end {
                break;
            }
            self.now = self.now.max(next);
            if datagram.is_some_and(|at| at <= next) {
                let Some(Reverse((_, key))) = self.queue.pop() else { continue };
                let Some((from, to, bytes)) = self.in_flight.remove(&key) else { continue };
                self.arrive(from, to, bytes);
            } else if let Some((_, n)) = tick {
                self.feed(n, Event::Tick);
            }
        }
        self.now = end;
    }

    fn arrive(&mut self, from: SocketAddr, to: SocketAddr, bytes: Vec<u8>) {
        let (Some(a), Some(b)) = (self.by_addr.get(&from).copied(), self.by_addr.get(&to).copied()) else {
            return;
        };
        if self.partition[a] != self.partition[b] {
            return;
        }
        if self.now < self.fronts[b].stalled_until_ms {
            // It waits in the socket.
            self.next += 1;
            self.queue.push(Reverse(((self.fronts[b].stalled_until_ms * 1000.0) as u64 + 1, self.next)));
            self.in_flight.insert(self.next, (from, to, bytes));
            return;
        }
        self.feed(b, Event::Datagram { from, bytes });
    }

    /// How many of the running fronts see all running fronts, and nobody else, as there, be it under suspicion: where
    /// half of all is lost somebody always is.
    pub fn agreeing(&self) -> usize {
        let running: Vec<FrontId> =
            self.fronts.iter().filter_map(|f| f.gossip.as_ref().map(Gossip::id)).collect();
        let sees = |g: &Gossip| {
            let mut seen: Vec<FrontId> = g.members().filter(|m| is_present(m.state)).map(|m| m.id).collect();
            seen.sort_unstable();
            seen
        };
        let mut all = running.clone();
        all.sort_unstable();
        self.fronts.iter().filter_map(|f| f.gossip.as_ref()).filter(|g| sees(g) == all).count()
    }

    /// Runs until all agree; how long that took, if it did.
    pub fn run_until_agreed(&mut self, max_ms: f64) -> Option<f64> {
        let start = self.now;
        let running = self.fronts.iter().filter(|f| f.gossip.is_some()).count();
        while self.agreeing() < running {
            if self.now - start > max_ms {
                return None;
            }
            self.run_for(250.0);
        }
        Some(self.now - start)
    }

    pub fn observe(&mut self, n: usize, node: CacheNodeKey, observation: Observation, strength: f64) {
        self.feed(n, Event::Evidence(Evidence { node, observation, strength, count: 5 }));
    }

    pub fn hearsay(&self, n: usize, node: CacheNodeKey) -> f64 {
        self.fronts[n].hearsay.get(&node).copied().unwrap_or(0.0)
    }

    pub fn rejected(&self, n: usize, reason: RejectReason) -> u64 {
        self.gossip(n).counters().rejected.get(&reason).copied().unwrap_or(0)
    }
}
