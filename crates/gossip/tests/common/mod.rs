//! A network in memory, by seed: loss, delay, doubling, reordering, partitions, clocks that are off, fronts that stall,
//! with real gossip instances. What must hold is checked at every step.
#![allow(dead_code)] // each test and example uses a part

use fernslip_gossip::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::net::SocketAddr;

/// Unix time at the start of every play.
pub const UNIX_MS: f64 = 1.8e12;

/// What the network does.
#[derive(Clone, Copy, Debug)]
pub struct Net {
    pub loss: f64,
    pub doubled: f64,
    /// Delays from the first to the second, so that datagrams overtake each other.
    pub delay_ms: (f64, f64),
}

impl Net {
    pub fn losing(loss: f64) -> Net {
        Net { loss, doubled: 0.02, delay_ms: (1.0, 30.0) }
    }
}

/// A front in the play.
pub struct Front {
    pub gossip: Option<Gossip>,
    pub addr: SocketAddr,
    /// Its Unix clock is off by this.
    pub skew_ms: f64,
    /// It does nothing until then: what comes waits.
    pub stalled_until: f64,
    pub heard: BTreeMap<BoxKey, f64>,
    pub most_heard: f64,
    sent: VecDeque<(f64, usize)>,
    in_window: usize,
    pub most_bytes_per_s: usize,
}

/// The play.
pub struct World {
    pub now: f64,
    pub net: Net,
    pub fronts: Vec<Front>,
    pub keys: Keyring,
    /// Fronts of different parts don't hear each other.
    pub part: Vec<u32>,
    rng: ChaCha8Rng,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    flying: BTreeMap<u64, (SocketAddr, SocketAddr, Vec<u8>)>,
    next: u64,
    /// Every datagram is kept here, if wanted.
    pub record: Option<Vec<(SocketAddr, SocketAddr, Vec<u8>)>>,
    /// Of everything that was sent, in its order: equal plays give equal sums.
    pub hash: u64,
    pub config: Config,
    by_addr: BTreeMap<SocketAddr, usize>,
}

pub fn is_there(state: MemberState) -> bool {
    matches!(state, MemberState::Alive | MemberState::Suspect)
}

pub fn addr(n: usize) -> SocketAddr {
    SocketAddr::from(([127, 1, (n >> 8) as u8, (n & 255) as u8], 7946))
}

pub fn boxes(n: usize) -> Vec<BoxKey> {
    (0..n).map(|i| BoxKey::of(&format!("box-{i}"), 0)).collect()
}

impl World {
    /// So many fronts, each of which is told the first two as seeds.
    pub fn new(fronts: usize, net: Net, seed: u64) -> World {
        World::with(fronts, net, seed, Config::default())
    }

    pub fn with(fronts: usize, net: Net, seed: u64, config: Config) -> World {
        let mut w = World {
            now: 0.0,
            net,
            fronts: Vec::new(),
            keys: Keyring::new(Key::new(1, [7; 32])),
            part: vec![0; fronts],
            rng: ChaCha8Rng::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            flying: BTreeMap::new(),
            next: 0,
            record: None,
            hash: 0,
            config,
            by_addr: (0..fronts).map(|n| (addr(n), n)).collect(),
        };
        for n in 0..fronts {
            w.fronts.push(Front {
                gossip: None,
                addr: addr(n),
                skew_ms: 0.0,
                stalled_until: 0.0,
                heard: BTreeMap::new(),
                most_heard: 0.0,
                sent: VecDeque::new(),
                in_window: 0,
                most_bytes_per_s: 0,
            });
            w.start(n, seed ^ (n as u64) << 8);
        }
        w
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
        self.fronts[n].heard.clear();
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
        let bound = |held: usize, most: usize, what: &str| assert!(held <= most, "{held} {what}");
        let [members, words, own, told] = g.held();
        bound(members, 2048, "members");
        bound(words, 16_384, "words");
        bound(own, 10_000, "own words");
        bound(told, members * 256, "words told");
        for a in actions {
            match a {
                Action::Send { to, bytes } => self.sent(n, to, bytes),
                Action::Hearsay { of, amount } => {
                    assert!(amount.abs() <= weigh::CAP, "hearsay is capped");
                    self.fronts[n].heard.insert(of, amount);
                    self.fronts[n].most_heard = self.fronts[n].most_heard.max(amount);
                }
                Action::Member { .. } => {}
            }
        }
    }

    pub fn everyone(&mut self, event: Event) {
        (0..self.fronts.len()).for_each(|n| self.feed(n, event.clone()));
    }

    fn sent(&mut self, n: usize, to: SocketAddr, bytes: Vec<u8>) {
        assert!(bytes.len() <= MOST_BYTES);
        let (rate, burst) = (self.config.bytes_per_s as usize, self.config.burst_bytes as usize);
        let f = &mut self.fronts[n];
        f.sent.push_back((self.now, bytes.len()));
        f.in_window += bytes.len();
        while f.sent.front().is_some_and(|s| s.0 <= self.now - 1000.0) {
            f.in_window -= f.sent.pop_front().map_or(0, |s| s.1);
        }
        f.most_bytes_per_s = f.most_bytes_per_s.max(f.in_window);
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
        let copies = 1 + usize::from(self.rng.random_bool(self.net.doubled));
        for _ in 0..copies {
            if self.rng.random_bool(self.net.loss) {
                continue;
            }
            let at = self.now + self.rng.random_range(self.net.delay_ms.0..=self.net.delay_ms.1);
            self.next += 1;
            self.queue.push(Reverse(((at * 1000.0) as u64, self.next)));
            self.flying.insert(self.next, (from, to, bytes.clone()));
        }
    }

    /// Lets time pass, every event in its order.
    pub fn pass(&mut self, ms: f64) {
        let end = self.now + ms;
        loop {
            let datagram = self.queue.peek().map(|Reverse((at, _))| *at as f64 / 1000.0);
            let due = |f: &Front| f.gossip.as_ref().map(|g| g.wake_at().max(f.stalled_until));
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
                let Some((from, to, bytes)) = self.flying.remove(&key) else { continue };
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
        if self.part[a] != self.part[b] {
            return;
        }
        if self.now < self.fronts[b].stalled_until {
            // It waits in the socket.
            self.next += 1;
            self.queue.push(Reverse(((self.fronts[b].stalled_until * 1000.0) as u64 + 1, self.next)));
            self.flying.insert(self.next, (from, to, bytes));
            return;
        }
        self.feed(b, Event::Datagram { from, bytes });
    }

    /// How many of the running fronts see all running fronts, and nobody else, as there, be it under suspicion: where
    /// half of all is lost somebody always is.
    pub fn agreed(&self) -> usize {
        let running: Vec<FrontId> =
            self.fronts.iter().filter_map(|f| f.gossip.as_ref().map(Gossip::id)).collect();
        let sees = |g: &Gossip| {
            let mut seen: Vec<FrontId> = g.members().filter(|m| is_there(m.state)).map(|m| m.id).collect();
            seen.sort_unstable();
            seen
        };
        let mut all = running.clone();
        all.sort_unstable();
        self.fronts.iter().filter_map(|f| f.gossip.as_ref()).filter(|g| sees(g) == all).count()
    }

    /// Lets time pass until all agree; how long that took, if it did.
    pub fn until_agreed(&mut self, most_ms: f64) -> Option<f64> {
        let start = self.now;
        let running = self.fronts.iter().filter(|f| f.gossip.is_some()).count();
        while self.agreed() < running {
            if self.now - start > most_ms {
                return None;
            }
            self.pass(250.0);
        }
        Some(self.now - start)
    }

    pub fn say(&mut self, n: usize, of: BoxKey, kind: Kind, strength: f64) {
        self.feed(n, Event::Evidence { of, kind, strength, count: 5 });
    }

    pub fn heard(&self, n: usize, of: BoxKey) -> f64 {
        self.fronts[n].heard.get(&of).copied().unwrap_or(0.0)
    }

    pub fn rejected(&self, n: usize, why: Rejected) -> u64 {
        self.gossip(n).counts().rejected.get(&why).copied().unwrap_or(0)
    }
}
