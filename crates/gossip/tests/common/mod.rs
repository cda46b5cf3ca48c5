//! A deterministic simulation of gossip instances on a network with loss, delay, duplication, reordering,
//! partitions, clock skew and stalled fronts. Equal seeds give equal runs. Invariants are checked at every
//! step.
#![allow(dead_code, reason = "each test and example uses only some of the items")]

use fernslip_gossip::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::net::SocketAddr;

/// Unix time at the start of every simulation, in milliseconds.
pub const START_UNIX_MS: f64 = 1.8e12;

/// The faults and delays of the simulated network; `loss` and `duplicated` are probabilities from 0 to 1.
#[derive(Clone, Copy, Debug)]
pub struct Network {
    pub loss: f64,
    pub duplicated: f64,
    /// The least and the greatest delay of a datagram, in milliseconds. Random delays make datagrams overtake
    /// each other.
    pub delay_ms: (f64, f64),
}

impl Network {
    pub fn with_loss(loss: f64) -> Network {
        Network { loss, duplicated: 0.02, delay_ms: (1.0, 30.0) }
    }
}

/// A front of the simulation. `gossip` is `None` while the front is down.
pub struct Front {
    pub gossip: Option<Gossip>,
    pub addr: SocketAddr,
    /// The difference of the front's Unix clock from the simulated time, in milliseconds.
    pub skew_ms: f64,
    /// The front processes nothing until this simulated time; datagrams for it are queued.
    pub stalled_until_ms: f64,
    pub peer_scores: BTreeMap<CacheNodeKey, f64>,
    pub max_peer_score: f64,
    sent: VecDeque<(f64, usize)>,
    bytes_in_window: usize,
    pub max_bytes_per_s: usize,
}

/// The simulated fleet and its network.
pub struct Simulation {
    pub now: f64,
    pub net: Network,
    pub fronts: Vec<Front>,
    pub keys: Keyring,
    /// The partition of each front. Fronts in different partitions do not reach each other.
    pub partition: Vec<u32>,
    rng: ChaCha8Rng,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    in_flight: BTreeMap<u64, (SocketAddr, SocketAddr, Vec<u8>)>,
    next_datagram: u64,
    /// All datagrams sent, as sender, destination and bytes, while recording is on.
    pub recorded: Option<Vec<(SocketAddr, SocketAddr, Vec<u8>)>>,
    /// A hash of all datagrams sent, in their order. Equal simulations have equal hashes.
    pub hash: u64,
    pub config: Config,
    index_by_addr: BTreeMap<SocketAddr, usize>,
}

pub fn is_present(state: MemberState) -> bool {
    matches!(state, MemberState::Alive | MemberState::Suspect)
}

pub fn front_addr(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 1, (index >> 8) as u8, (index & 255) as u8], 7946))
}

pub fn cache_nodes(count: usize) -> Vec<CacheNodeKey> {
    (0..count).map(|i| CacheNodeKey::new(&format!("box-{i}"), 0)).collect()
}

impl Simulation {
    /// Creates a simulation of `fronts` fronts that all have the first two as seeds.
    pub fn new(fronts: usize, net: Network, seed: u64) -> Simulation {
        Simulation::with_config(fronts, net, seed, Config::default())
    }

    pub fn with_config(fronts: usize, net: Network, seed: u64, config: Config) -> Simulation {
        let mut sim = Simulation {
            now: 0.0,
            net,
            fronts: Vec::new(),
            keys: Keyring::new(Key::new(1, [7; 32])),
            partition: vec![0; fronts],
            rng: ChaCha8Rng::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            in_flight: BTreeMap::new(),
            next_datagram: 0,
            recorded: None,
            hash: 0,
            config,
            index_by_addr: (0..fronts).map(|index| (front_addr(index), index)).collect(),
        };
        for index in 0..fronts {
            sim.fronts.push(Front {
                gossip: None,
                addr: front_addr(index),
                skew_ms: 0.0,
                stalled_until_ms: 0.0,
                peer_scores: BTreeMap::new(),
                max_peer_score: 0.0,
                sent: VecDeque::new(),
                bytes_in_window: 0,
                max_bytes_per_s: 0,
            });
            sim.start_front(index, seed ^ (index as u64) << 8);
        }
        sim
    }

    /// Starts or restarts a front.
    pub fn start_front(&mut self, index: usize, seed: u64) {
        let config = Config {
            name: format!("n{index}"),
            addr: front_addr(index),
            seeds: vec![front_addr(0), front_addr(1)],
            ..self.config.clone()
        };
        let now = self.clock(index);
        self.fronts[index].gossip = Some(Gossip::new(config, self.keys.clone(), seed, now));
        self.fronts[index].peer_scores.clear();
    }

    pub fn clock(&self, index: usize) -> Now {
        Now { mono_ms: self.now, unix_ms: START_UNIX_MS + self.now + self.fronts[index].skew_ms }
    }

    pub fn gossip(&self, index: usize) -> &Gossip {
        self.fronts[index].gossip.as_ref().expect("the front is running")
    }

    pub fn handle_event(&mut self, index: usize, event: Event) {
        let now = self.clock(index);
        let Some(g) = &mut self.fronts[index].gossip else { return };
        let mut actions = Vec::new();
        g.handle(now, event, &mut actions);
        let bound = |len: usize, max: usize, table: &str| {
            assert!(len <= max, "the table of {table} has {len} entries, more than {max}");
        };
        let TableSizes { members, suspicions, own_reports, deliveries } = g.table_sizes();
        bound(members, 2048, "members");
        bound(suspicions, 16_384, "suspicions");
        bound(own_reports, 10_000, "own reports");
        bound(deliveries, members * 256, "deliveries");
        for action in actions {
            match action {
                Action::Send { to, bytes } => self.record_sent(index, to, bytes),
                Action::PeerScore { node, score } => {
                    assert!(score.abs() <= aggregate::MAX_SCORE, "a score is within the cap");
                    self.fronts[index].peer_scores.insert(node, score);
                    self.fronts[index].max_peer_score = self.fronts[index].max_peer_score.max(score);
                }
                Action::Member { .. } => {}
            }
        }
    }

    pub fn handle_event_on_all(&mut self, event: Event) {
        (0..self.fronts.len()).for_each(|index| self.handle_event(index, event.clone()));
    }

    fn record_sent(&mut self, index: usize, to: SocketAddr, bytes: Vec<u8>) {
        assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
        let (rate, burst) = (self.config.bytes_per_s as usize, self.config.burst_bytes as usize);
        let f = &mut self.fronts[index];
        f.sent.push_back((self.now, bytes.len()));
        f.bytes_in_window += bytes.len();
        while f.sent.front().is_some_and(|s| s.0 <= self.now - 1000.0) {
            f.bytes_in_window -= f.sent.pop_front().map_or(0, |s| s.1);
        }
        f.max_bytes_per_s = f.max_bytes_per_s.max(f.bytes_in_window);
        assert!(f.bytes_in_window <= rate + burst, "{} bytes were sent within one second", f.bytes_in_window);
        for b in &bytes {
            self.hash = (self.hash ^ u64::from(*b)).wrapping_mul(0x0100_0000_01b3);
        }
        if let Some(r) = &mut self.recorded {
            r.push((front_addr(index), to, bytes.clone()));
        }
        self.send_datagram(front_addr(index), to, bytes);
    }

    /// Sends a datagram through the simulated network as if it came from `from`.
    pub fn send_datagram(&mut self, from: SocketAddr, to: SocketAddr, bytes: Vec<u8>) {
        let copies = 1 + usize::from(self.rng.random_bool(self.net.duplicated));
        for _ in 0..copies {
            if self.rng.random_bool(self.net.loss) {
                continue;
            }
            let at = self.now + self.rng.random_range(self.net.delay_ms.0..=self.net.delay_ms.1);
            self.next_datagram += 1;
            self.queue.push(Reverse(((at * 1000.0) as u64, self.next_datagram)));
            self.in_flight.insert(self.next_datagram, (from, to, bytes.clone()));
        }
    }

    /// Advances the simulated time by `ms` milliseconds, handling all events in their order.
    pub fn run_for_ms(&mut self, ms: f64) {
        let end = self.now + ms;
        loop {
            let datagram = self.queue.peek().map(|Reverse((at, _))| *at as f64 / 1000.0);
            let due = |f: &Front| f.gossip.as_ref().map(|g| g.wake_at().max(f.stalled_until_ms));
            let tick = (0..self.fronts.len())
                .filter_map(|index| Some((due(&self.fronts[index])?, index)))
                .min_by(|a, b| a.0.total_cmp(&b.0));
            let next = [datagram, tick.map(|t| t.0)].into_iter().flatten().fold(f64::MAX, f64::min);
            if next > end {
                break;
            }
            self.now = self.now.max(next);
            if datagram.is_some_and(|at| at <= next) {
                let Some(Reverse((_, key))) = self.queue.pop() else { continue };
                let Some((from, to, bytes)) = self.in_flight.remove(&key) else { continue };
                self.deliver(from, to, bytes);
            } else if let Some((_, index)) = tick {
                self.handle_event(index, Event::Tick);
            }
        }
        self.now = end;
    }

    fn deliver(&mut self, from: SocketAddr, to: SocketAddr, bytes: Vec<u8>) {
        let (Some(a), Some(b)) =
            (self.index_by_addr.get(&from).copied(), self.index_by_addr.get(&to).copied())
        else {
            return;
        };
        if self.partition[a] != self.partition[b] {
            return;
        }
        if self.now < self.fronts[b].stalled_until_ms {
            // The datagram waits in the socket buffer of the stalled front.
            self.next_datagram += 1;
            self.queue
                .push(Reverse(((self.fronts[b].stalled_until_ms * 1000.0) as u64 + 1, self.next_datagram)));
            self.in_flight.insert(self.next_datagram, (from, to, bytes));
            return;
        }
        self.handle_event(b, Event::Datagram { from, bytes });
    }

    /// Returns how many of the running fronts see exactly the running fronts as present. Suspected ones count
    /// as present, because where half of all datagrams is lost some front is always suspected.
    pub fn agreeing_fronts(&self) -> usize {
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

    /// Runs until the membership views of all running fronts agree. Returns the simulated time that it took
    /// in milliseconds, or `None` if it took more than `max_ms`.
    pub fn run_until_agreement(&mut self, max_ms: f64) -> Option<f64> {
        let start = self.now;
        let running = self.fronts.iter().filter(|f| f.gossip.is_some()).count();
        while self.agreeing_fronts() < running {
            if self.now - start > max_ms {
                return None;
            }
            self.run_for_ms(250.0);
        }
        Some(self.now - start)
    }

    pub fn observe_node(
        &mut self,
        index: usize,
        node: CacheNodeKey,
        observation: Observation,
        strength: f64,
    ) {
        self.handle_event(index, Event::Evidence(Evidence { node, observation, strength, count: 5 }));
    }

    pub fn peer_score(&self, index: usize, node: CacheNodeKey) -> f64 {
        self.fronts[index].peer_scores.get(&node).copied().unwrap_or(0.0)
    }

    pub fn rejected_count(&self, index: usize, reason: RejectReason) -> u64 {
        self.gossip(index).counters().rejected.get(&reason).copied().unwrap_or(0)
    }
}
