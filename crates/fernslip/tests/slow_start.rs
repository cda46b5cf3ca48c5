//! What all routers together send to a machine that has just started, by size of the fleet: the distribution over seeds of
//! the heaviest window against a budget of N calls, beyond which 2·√N + 2 are put down to chance. Routers are unequal in
//! traffic, a fifth of them has just started, a third says and hears nothing, some attempts are turned away and made again
//! elsewhere, and fills count at parents. A whole location and all parents start cold at once, so that all that its clients ask
//! for presses on them. `cargo test --release -p fernslip --test cold -- --nocapture` prints the figures.
mod common;
use common::*;
use fernslip::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

const WINDOW_MS: f64 = 1_500.0;
/// By class; a KB is a millisecond of sending.
const SIZES_KB: [f64; 2] = [40.0, 360.0];
const MEAN_MS: f64 = (SIZES_KB[0] + SIZES_KB[1]) / 2.0;
const CACHES: usize = 5;
/// Answers at full pace: of a box, and of a parent for each location.
const WEIGHT: f64 = 6.0;
const PARENT: f64 = 14.0;
/// Part of a location's capacity that is asked for.
const LOAD: f64 = 0.6;
const START: f64 = 100_000.0;
const STARTED_MS: f64 = START + 6_000.0;
const SLOW_START_MS: f64 = 10_000.0;

struct World {
    rng: ChaCha8Rng,
    routers: Vec<Router>,
    zone_of: Vec<usize>,
    rates: Vec<f64>,
    silent: Vec<bool>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    dues: BTreeMap<u64, (u32, Event)>,
    requests: BTreeMap<u64, u32>,
    next: u64,
    class_of: BTreeMap<RequestId, usize>,
    attempts: BTreeMap<RequestId, u32>,
    /// Sends of mean work to the cold box of the first location, and to the cold parent.
    sends: [Vec<(f64, f64)>; 2],
}

fn fleet(zones: usize, per_zone: u32, slot: u32) -> Settings {
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
        notes: NoteLevel::Hit,
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
    Entry { weight: WEIGHT, ..entry(&format!("z{zone}b{n}:1"), zone, 0) }
}

/// The machines; where weights are not told each is listed with 1.
fn list(zones: usize, listed: bool, started: bool) -> Vec<Entry> {
    let started_ms = if started { STARTED_MS } else { 0.0 };
    let mut all = Vec::new();
    for z in 1..=zones {
        all.extend(
            (0..CACHES)
                .map(|b| Entry { started_ms: if z == 1 { started_ms } else { 0.0 }, ..cache_entry(z, b) }),
        );
    }
    let parent = Entry { weight: PARENT * zones as f64, ..entry("p1:1", 0, 1) };
    all.push(Entry { started_ms, ..parent.clone() });
    all.extend(["p2:1", "p3:1"].map(|p| Entry { cache: p.into(), started_ms, ..parent.clone() }));
    all.push(Entry { weight: 60.0 * zones as f64, ..entry("o1:1", 0, 2) });
    if !listed {
        all.iter_mut().for_each(|e| e.weight = 1.0);
    }
    all
}

impl World {
    fn new(zones: usize, per_zone: u32, listed: bool, seed: u64) -> World {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let n = zones as u32 * per_zone;
        let silent: Vec<bool> = (0..n).map(|_| rng.random_bool(0.33)).collect();
        let router = |slot: u32| {
            let set = Settings { peers: !silent[slot as usize], ..fleet(zones, per_zone, slot) };
            Router::new(set, seed ^ u64::from(slot)).expect("sound")
        };
        let routers: Vec<Router> = (0..n).map(router).collect();
        // Some see several times the mean.
        let shares: Vec<f64> =
            (0..n).map(|_| if rng.random_bool(0.15) { 4.0 } else { rng.random_range(0.3..1.0) }).collect();
        let all = zones as f64 * CACHES as f64 * WEIGHT * LOAD / MEAN_MS;
        let sum: f64 = shares.iter().sum();
        let mut w = World {
            rng,
            routers,
            zone_of: (0..n as usize).map(|s| 1 + s % zones).collect(),
            rates: shares.iter().map(|s| s / sum * all).collect(),
            silent,
            queue: BinaryHeap::new(),
            dues: BTreeMap::new(),
            requests: BTreeMap::new(),
            next: 0,
            class_of: BTreeMap::new(),
            attempts: BTreeMap::new(),
            sends: Default::default(),
        };
        for r in 0..n {
            w.due(START, r, Event::Endpoints { kind: ListKind::Full, entries: list(zones, listed, false) });
            w.request(START + 1.0, r);
            // Told of the starts within a second, or born with them on the list.
            let when = STARTED_MS + w.rng.random_range(0.0..1_000.0);
            w.due(when, r, Event::Endpoints { kind: ListKind::Full, entries: list(zones, listed, true) });
        }
        w
    }

    fn due(&mut self, at: f64, r: u32, event: Event) {
        self.next += 1;
        self.queue.push(Reverse(((at * 1000.0) as u64, self.next)));
        self.dues.insert(self.next, (r, event));
    }

    /// The next request of a router, at random intervals.
    fn request(&mut self, after: f64, r: u32) {
        let gap = -f64::ln(1.0 - self.rng.random::<f64>()) / self.rates[r as usize];
        self.next += 1;
        self.queue.push(Reverse((((after + gap) * 1000.0) as u64, self.next)));
        self.requests.insert(self.next, r);
    }

    fn run(mut self, zones: usize, per_zone: u32, listed: bool) -> World {
        // A fifth starts anew in the moment in which the machines do, knowing the list alone.
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
                let set = Settings { peers: !self.silent[r as usize], ..fleet(zones, per_zone, r) };
                self.routers[r as usize] = Router::new(set, 77 + u64::from(r)).expect("sound");
                self.handle(
                    now,
                    r,
                    Event::Endpoints { kind: ListKind::Full, entries: list(zones, listed, true) },
                );
            }
            if let Some(r) = self.requests.remove(&number) {
                let class = usize::from(self.rng.random_bool(0.5));
                let id = RequestId(number);
                self.class_of.insert(id, class);
                // Some hundred objects, and what nobody asks for twice.
                let object = if self.rng.random_bool(0.3) {
                    number + 1_000_000
                } else {
                    self.rng.random_range(0..400)
                };
                let (part, size_kb, group) = (0, SIZES_KB[class], object % 16);
                let request =
                    Request { id, object: ObjectId(object), part, class, size_kb, budget_ms: 6000.0, group };
                self.handle(now, r, Event::Request(request));
                self.request(now, r);
            } else if let Some((r, event)) = self.dues.remove(&number) {
                self.handle(now, r, event);
            }
        }
        self
    }

    fn handle(&mut self, now: f64, r: u32, event: Event) {
        let mut actions = Vec::new();
        self.routers[r as usize].handle(now, event, &mut actions);
        for a in actions {
            match a {
                Action::Forward { id, cache, source, .. } => {
                    let attempt = *self.attempts.entry(id).and_modify(|n| *n += 1).or_insert(0);
                    let class = self.class_of[&id];
                    let work = SIZES_KB[class];
                    // Half of what is asked for is there, but for one that has just started.
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
                    self.due(now + took, r, Event::Outcome(o));
                }
                Action::Timer { delay_ms, token } => self.due(now + delay_ms, r, Event::Timer { token }),
                Action::SendToPeer { to, data } => self.post(now, r, to, data),
                Action::SendToAllPeers { data } => {
                    let zone = self.zone_of[r as usize];
                    // Others' greetings change nothing there: only those of the location are carried, for speed.
                    let is_peer = |t: &u32| *t != r && self.zone_of[*t as usize] == zone;
                    let peers: Vec<u32> = (0..self.routers.len() as u32).filter(is_peer).collect();
                    for to in peers {
                        self.post(now, r, to, data.clone());
                    }
                }
                _ => {}
            }
        }
    }

    /// One in ten is lost.
    fn post(&mut self, now: f64, from: u32, to: u32, data: Vec<u8>) {
        if !self.silent[from as usize] && !self.silent[to as usize] && self.rng.random_bool(0.9) {
            self.due(now + 5.0, to, Event::PeerMessage { from, data });
        }
    }

    /// The heaviest window at the box, and at the parent: calls of mean work beyond N, in parts of 2·√N + 2; and the part of
    /// all that it may be sent which was used.
    fn heaviest(&self, which: usize, set: &Settings, zones: usize) -> (f64, f64) {
        let (from, multiple, weight) = match which {
            0 => (set.slow_start_from, set.slow_start_multiple, WEIGHT),
            _ => (set.parent_slow_start_from, set.parent_slow_start_multiple, PARENT * zones as f64),
        };
        let calls = |at: f64, ms: f64| {
            let capacity_fraction = (from + (1.0 - from) * (at - STARTED_MS) / SLOW_START_MS).min(1.0);
            multiple * weight * capacity_fraction * ms / MEAN_MS
        };
        let sends = &self.sends[which];
        let mut worst = f64::MIN;
        for (i, s) in sends.iter().enumerate() {
            let in_window = sends[i..].iter().take_while(|t| t.0 < s.0 + WINDOW_MS);
            let calls_in_window = in_window.map(|t| t.1).sum::<f64>() / MEAN_MS;
            let n = calls(s.0 + WINDOW_MS / 2.0, WINDOW_MS);
            worst = worst.max((calls_in_window - n) / (2.0 * n.sqrt() + 2.0));
        }
        let all: f64 = sends.iter().map(|s| s.1).sum::<f64>() / MEAN_MS;
        (worst, all / calls(STARTED_MS + SLOW_START_MS / 2.0, SLOW_START_MS))
    }
}

/// In no window of any seed do all routers together go beyond what is put down to chance; what may be sent is used.
#[test]
fn nodes_in_slow_start_stand_what_all_routers_send_at_every_fleet_size() {
    println!("routers  weights  seeds  at       heaviest window beyond N, in parts of 2·√N + 2: median, most   used, median");
    let sizes = [(1, 3, 20), (1, 10, 20), (1, 20, 12), (1, 30, 12), (10, 30, 3)];
    for (listed, (zones, per_zone, seeds)) in [true, false].into_iter().flat_map(|t| sizes.map(|s| (t, s))) {
        let set = fleet(zones, per_zone, 0);
        let world = |s: u64| World::new(zones, per_zone, listed, 9_000 + s).run(zones, per_zone, listed);
        let worlds: Vec<World> = (0..seeds).map(world).collect();
        for (which, name) in [(0, "box"), (1, "parent")] {
            let mut got: Vec<(f64, f64)> = worlds.iter().map(|w| w.heaviest(which, &set, zones)).collect();
            got.sort_by(|a, b| a.0.total_cmp(&b.0));
            let mut used: Vec<f64> = got.iter().map(|g| g.1).collect();
            used.sort_by(f64::total_cmp);
            let (median, most) = (got[got.len() / 2].0, got[got.len() - 1].0);
            let (routers, weights) = (zones as u32 * per_zone, if listed { "told" } else { "untold" });
            let used = used[used.len() / 2];
            println!("{routers:7}  {weights:7}  {seeds:5}  {name:7} {median:6.2} {most:6.2}   {used:.2}");
            assert!(most <= 1.0, "{routers} routers at a cold {name}: {most:.2} times what chance allows");
            assert!(!listed || used > 0.05, "{routers} routers leave a cold {name} alone");
        }
    }
}
