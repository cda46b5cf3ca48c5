//! What all routers together send to a node that has just started, by number of routers: for each seed, the
//! work sent in the heaviest window is compared with a budget of N calls, where an excess of up to 2·√N + 2
//! calls is attributed to chance. Routers differ in traffic, a fifth of them has just started, a third
//! neither sends nor receives peer messages, some attempts are rejected and retried elsewhere, and fills
//! count at parents. All caches of one location and all parents start at the same time, so the location's
//! whole traffic falls on them.
//!
//!     cargo test --release -p fernslip --test slow_start -- --nocapture    # prints the measurements
mod common;
use common::*;
use fernslip::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// Length of the slow-start window, in milliseconds.
const WINDOW_MS: f64 = 1_500.0;
/// Size of a request by class; a KB takes a millisecond to send.
const SIZES_KB: [f64; 2] = [40.0, 360.0];
/// Mean sending time of a request, in milliseconds.
const MEAN_WORK_MS: f64 = (SIZES_KB[0] + SIZES_KB[1]) / 2.0;
/// Number of caches at each location.
const CACHES_PER_ZONE: usize = 5;
/// Number of concurrent answers that a cache sends at full speed.
const CACHE_WEIGHT: f64 = 6.0;
/// Like `CACHE_WEIGHT`, but for a parent and for each location that the parent serves.
const PARENT_WEIGHT: f64 = 14.0;
/// Fraction of a location's capacity that its clients request.
const LOAD_FRACTION: f64 = 0.6;
/// When the simulation begins, on the routers' clock.
const BEGIN_MS: f64 = 100_000.0;
/// When the nodes in slow start started, on the routers' clock.
const STARTED_MS: f64 = BEGIN_MS + 6_000.0;
/// How long the slow start of a node lasts, in milliseconds.
const SLOW_START_MS: f64 = 10_000.0;

struct Simulation {
    rng: ChaCha8Rng,
    routers: Vec<Router>,
    zone_of: Vec<usize>,
    /// By router: requests per millisecond.
    rates: Vec<f64>,
    /// By router: whether it neither sends nor receives peer messages.
    silent: Vec<bool>,
    /// Time in microseconds and number of each entry of `scheduled` and `requests`.
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    /// The router and the event of each scheduled event.
    scheduled: BTreeMap<u64, (u32, Event)>,
    /// The router of each scheduled request.
    requests: BTreeMap<u64, u32>,
    next: u64,
    class_of: BTreeMap<RequestId, usize>,
    attempts: BTreeMap<RequestId, u32>,
    /// Time and work of each send to the first cache in slow start, and of each fill from the first parent,
    /// both in milliseconds.
    sends: [Vec<(f64, f64)>; 2],
}

fn router_settings(zones: usize, per_zone: u32, slot: u32) -> Settings {
    let mut names = vec!["hub".to_string()];
    names.extend((1..=zones).map(|z| format!("edge-{z}")));
    let mut zone_routers = vec![per_zone; zones + 1];
    zone_routers[0] = 0;
    Settings {
        link_in_kb_per_s: vec![0.0; names.len()],
        zones: names,
        zone: 1 + slot as usize % zones,
        zone_routers,
        slot,
        routers: zones as u32 * per_zone,
        classes: vec![class(), class()],
        detail_level: DetailLevel::Hit,
        slow_start_from: 0.23,
        slow_start_ms: SLOW_START_MS,
        slow_start_multiple: 2.0,
        slow_start_window_ms: WINDOW_MS,
        parent_slow_start_from: 0.065,
        parent_slow_start_ms: SLOW_START_MS,
        parent_slow_start_multiple: 2.0,
        ..settings()
    }
}

fn cache_entry(zone: usize, n: usize) -> Entry {
    Entry { weight: CACHE_WEIGHT, ..entry(&format!("z{zone}b{n}:1"), zone, 0) }
}

/// The endpoint list; if `listed` is false, each weight is 1.
fn endpoint_list(zones: usize, listed: bool, started: bool) -> Vec<Entry> {
    let started_ms = if started { STARTED_MS } else { 0.0 };
    let mut all = Vec::new();
    for z in 1..=zones {
        all.extend(
            (0..CACHES_PER_ZONE)
                .map(|b| Entry { started_ms: if z == 1 { started_ms } else { 0.0 }, ..cache_entry(z, b) }),
        );
    }
    let parent = Entry { weight: PARENT_WEIGHT * zones as f64, ..entry("p1:1", 0, 1) };
    all.push(Entry { started_ms, ..parent.clone() });
    all.extend(["p2:1", "p3:1"].map(|p| Entry { cache: p.into(), started_ms, ..parent.clone() }));
    all.push(Entry { weight: 60.0 * zones as f64, ..entry("o1:1", 0, 2) });
    if !listed {
        all.iter_mut().for_each(|e| e.weight = 1.0);
    }
    all
}

impl Simulation {
    fn new(zones: usize, per_zone: u32, listed: bool, seed: u64) -> Simulation {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let n = zones as u32 * per_zone;
        let silent: Vec<bool> = (0..n).map(|_| rng.random_bool(0.33)).collect();
        let router = |slot: u32| {
            let set = Settings { peers: !silent[slot as usize], ..router_settings(zones, per_zone, slot) };
            Router::new(set, seed ^ u64::from(slot)).expect("the test settings are valid")
        };
        let routers: Vec<Router> = (0..n).map(router).collect();
        // About one router in seven has several times the mean traffic.
        let traffic: Vec<f64> =
            (0..n).map(|_| if rng.random_bool(0.15) { 4.0 } else { rng.random_range(0.3..1.0) }).collect();
        let all = zones as f64 * CACHES_PER_ZONE as f64 * CACHE_WEIGHT * LOAD_FRACTION / MEAN_WORK_MS;
        let sum: f64 = traffic.iter().sum();
        let mut simulation = Simulation {
            rng,
            routers,
            zone_of: (0..n as usize).map(|s| 1 + s % zones).collect(),
            rates: traffic.iter().map(|s| s / sum * all).collect(),
            silent,
            queue: BinaryHeap::new(),
            scheduled: BTreeMap::new(),
            requests: BTreeMap::new(),
            next: 0,
            class_of: BTreeMap::new(),
            attempts: BTreeMap::new(),
            sends: Default::default(),
        };
        for r in 0..n {
            simulation.schedule(
                BEGIN_MS,
                r,
                Event::Endpoints { kind: ListKind::Full, entries: endpoint_list(zones, listed, false) },
            );
            simulation.schedule_request(BEGIN_MS + 1.0, r);
            // Routers are notified of the nodes' starts within a second; the first list of a restarted router
            // contains them.
            let when = STARTED_MS + simulation.rng.random_range(0.0..1_000.0);
            simulation.schedule(
                when,
                r,
                Event::Endpoints { kind: ListKind::Full, entries: endpoint_list(zones, listed, true) },
            );
        }
        simulation
    }

    fn schedule(&mut self, at: f64, router: u32, event: Event) {
        self.next += 1;
        self.queue.push(Reverse(((at * 1000.0) as u64, self.next)));
        self.scheduled.insert(self.next, (router, event));
    }

    /// Schedules the next request of a router after an exponentially distributed interval.
    fn schedule_request(&mut self, after: f64, router: u32) {
        let gap = -f64::ln(1.0 - self.rng.random::<f64>()) / self.rates[router as usize];
        self.next += 1;
        self.queue.push(Reverse((((after + gap) * 1000.0) as u64, self.next)));
        self.requests.insert(self.next, router);
    }

    fn run(mut self, zones: usize, per_zone: u32, listed: bool) -> Simulation {
        // A fifth of the routers restarts at about the same time as the nodes, and then knows only the
        // endpoint list.
        let n = self.routers.len() as u32;
        let mut restarts: Vec<(f64, u32)> =
            (0..n).filter(|r| r % 5 == 0).map(|r| (STARTED_MS + 10.0 * f64::from(r % 50), r)).collect();
        restarts.sort_by(|a, b| b.0.total_cmp(&a.0));
        while let Some(Reverse((at, number))) = self.queue.pop() {
            let now = at as f64 / 1000.0;
            if now > STARTED_MS + SLOW_START_MS {
                break;
            }
            while restarts.last().is_some_and(|r| r.0 <= now) {
                let Some((_, r)) = restarts.pop() else { break };
                let set = Settings { peers: !self.silent[r as usize], ..router_settings(zones, per_zone, r) };
                self.routers[r as usize] =
                    Router::new(set, 77 + u64::from(r)).expect("the test settings are valid");
                self.handle(
                    now,
                    r,
                    Event::Endpoints { kind: ListKind::Full, entries: endpoint_list(zones, listed, true) },
                );
            }
            if let Some(r) = self.requests.remove(&number) {
                let class = usize::from(self.rng.random_bool(0.5));
                let id = RequestId(number);
                self.class_of.insert(id, class);
                // 400 popular objects, and objects that are requested only once.
                let object = if self.rng.random_bool(0.3) {
                    number + 1_000_000
                } else {
                    self.rng.random_range(0..400)
                };
                let (part, size_kb, group) = (0, SIZES_KB[class], object % 16);
                let request =
                    Request { id, object: ObjectId(object), part, class, size_kb, budget_ms: 6000.0, group };
                self.handle(now, r, Event::Request(request));
                self.schedule_request(now, r);
            } else if let Some((r, event)) = self.scheduled.remove(&number) {
                self.handle(now, r, event);
            }
        }
        self
    }

    fn handle(&mut self, now: f64, router: u32, event: Event) {
        let mut actions = Vec::new();
        self.routers[router as usize].handle(now, event, &mut actions);
        for a in actions {
            match a {
                Action::Forward { id, cache, source, .. } => {
                    let attempt = *self.attempts.entry(id).and_modify(|n| *n += 1).or_insert(0);
                    let class = self.class_of[&id];
                    let work = SIZES_KB[class];
                    // Half of the requests are hits, except at a cache that has just started.
                    let warming_up = now >= STARTED_MS && cache.0.starts_with("z1b");
                    let hit = !warming_up && self.rng.random_bool(0.5);
                    if warming_up && &*cache.0 == "z1b0:1" {
                        self.sends[0].push((now, work));
                    }
                    if now >= STARTED_MS && !hit && &*source.0 == "p1:1" {
                        self.sends[1].push((now, work));
                    }
                    let rejects = self.rng.random_bool(0.05);
                    let took = if rejects { 2.0 } else { work + if hit { 5.0 } else { 60.0 } };
                    let ending = if rejects { Ending::Saturated } else { Ending::Completed };
                    let detail = if rejects { 0 } else { 2 - u8::from(hit) };
                    let (elapsed_ms, over) = (took, !rejects);
                    let o = Outcome {
                        id,
                        attempt,
                        cache,
                        ending,
                        elapsed_ms,
                        over,
                        detail,
                        fill_wait_ms: 0.0,
                        reported_in_flight: None,
                    };
                    self.schedule(now + took, router, Event::Outcome(o));
                }
                Action::Timer { delay_ms, token } => {
                    self.schedule(now + delay_ms, router, Event::Timer { token });
                }
                Action::SendToPeer { to, data } => self.send_message(now, router, to, data),
                Action::SendToAllPeers { data } => {
                    let zone = self.zone_of[router as usize];
                    // Greetings from other locations change nothing, so for speed only those from the
                    // router's own location are delivered.
                    let is_peer = |t: &u32| *t != router && self.zone_of[*t as usize] == zone;
                    let peers: Vec<u32> = (0..self.routers.len() as u32).filter(is_peer).collect();
                    for to in peers {
                        self.send_message(now, router, to, data.clone());
                    }
                }
                _ => {}
            }
        }
    }

    /// Sends a peer message; one in ten is lost.
    fn send_message(&mut self, now: f64, from: u32, to: u32, data: Vec<u8>) {
        if !self.silent[from as usize] && !self.silent[to as usize] && self.rng.random_bool(0.9) {
            self.schedule(now + 5.0, to, Event::PeerMessage { from, data });
        }
    }

    /// For the cache (0) or the parent (1): how far the heaviest window exceeds its budget of N calls of mean
    /// work, in units of 2·√N + 2; and the fraction used of the budget of the whole slow start.
    fn heaviest_window(&self, which: usize, set: &Settings, zones: usize) -> (f64, f64) {
        let (from, multiple, weight) = match which {
            0 => (set.slow_start_from, set.slow_start_multiple, CACHE_WEIGHT),
            _ => (set.parent_slow_start_from, set.parent_slow_start_multiple, PARENT_WEIGHT * zones as f64),
        };
        let calls = |at: f64, ms: f64| {
            let capacity_fraction = (from + (1.0 - from) * (at - STARTED_MS) / SLOW_START_MS).min(1.0);
            multiple * weight * capacity_fraction * ms / MEAN_WORK_MS
        };
        let sends = &self.sends[which];
        let mut worst = f64::MIN;
        for (i, s) in sends.iter().enumerate() {
            let in_window = sends[i..].iter().take_while(|t| t.0 < s.0 + WINDOW_MS);
            let calls_in_window = in_window.map(|t| t.1).sum::<f64>() / MEAN_WORK_MS;
            let n = calls(s.0 + WINDOW_MS / 2.0, WINDOW_MS);
            worst = worst.max((calls_in_window - n) / (2.0 * n.sqrt() + 2.0));
        }
        let all: f64 = sends.iter().map(|s| s.1).sum::<f64>() / MEAN_WORK_MS;
        (worst, all / calls(STARTED_MS + SLOW_START_MS / 2.0, SLOW_START_MS))
    }
}

/// No window exceeds the budget by more than is attributed to chance, and part of the budget is used.
#[test]
fn nodes_in_slow_start_are_not_overloaded_by_any_number_of_routers() {
    println!(
        "routers  weights  seeds  node     excess over N, in units of 2·√N + 2: median, most   used, median"
    );
    let sizes = [(1, 3, 20), (1, 10, 20), (1, 20, 12), (1, 30, 12), (10, 30, 3)];
    for (listed, (zones, per_zone, seeds)) in [true, false].into_iter().flat_map(|t| sizes.map(|s| (t, s))) {
        let set = router_settings(zones, per_zone, 0);
        let simulation =
            |s: u64| Simulation::new(zones, per_zone, listed, 9_000 + s).run(zones, per_zone, listed);
        let simulations: Vec<Simulation> = (0..seeds).map(simulation).collect();
        for (which, name) in [(0, "cache"), (1, "parent")] {
            let mut got: Vec<(f64, f64)> =
                simulations.iter().map(|w| w.heaviest_window(which, &set, zones)).collect();
            got.sort_by(|a, b| a.0.total_cmp(&b.0));
            let mut used: Vec<f64> = got.iter().map(|g| g.1).collect();
            used.sort_by(f64::total_cmp);
            let (median, most) = (got[got.len() / 2].0, got[got.len() - 1].0);
            let (routers, weights) = (zones as u32 * per_zone, if listed { "listed" } else { "all 1" });
            let used = used[used.len() / 2];
            println!("{routers:7}  {weights:7}  {seeds:5}  {name:7} {median:6.2} {most:6.2}   {used:.2}");
            assert!(
                most <= 1.0,
                "{routers} routers exceed a {name}'s budget by {most:.2} times what chance allows"
            );
            assert!(
                !listed || used > 0.05,
                "{routers} routers use too little of a {name}'s budget: {used:.2}"
            );
        }
    }
}
