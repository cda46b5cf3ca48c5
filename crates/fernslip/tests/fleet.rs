//! What no single router can see: the sums over a hundred of them, each told its own events only. The world is the
//! simplest that shows it: boxes answer in their sending time, the lost say nothing, messages are late or lost.
mod common;
use common::*;
use fernslip::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

const ZONES: usize = 10;
const PER_ZONE: u32 = 10;
const CACHES: usize = 5;
const SIZES_KB: [f64; 2] = [40.0, 360.0]; // by class; a KB is a millisecond of sending
const WINDOW_MS: f64 = 1_500.0;
const WEIGHT: f64 = 4.0; // of a box, and of a parent: answers at full pace
const PARENT: f64 = 20.0;
/// Of the rule's grace for boxes that drain, what the routers may use of it here: they are told at once.
const DRAIN_MS: f64 = 500.0;

fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

enum Due {
    Arrival(u32),
    End {
        to: u32,
        id: RequestId,
        attempt: u32,
    },
    Timer(u32, u64),
    Message {
        to: u32,
        from: u32,
        data: Vec<u8>,
    },
    Notify(u32, Event),
    /// A box falls silent, or speaks again.
    Silent(String, bool),
}

#[derive(Clone)]
struct Open {
    cache: String,
    ending: Ending,
    detail: u8,
    sent: f64,
}

/// A send: when, and its work in milliseconds.
type Sends = BTreeMap<String, Vec<(f64, f64)>>;

#[derive(Default)]
struct World {
    routers: Vec<Router>,
    now: f64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    dues: BTreeMap<u64, Due>,
    next: u64,
    ids: u64,
    open: BTreeMap<(RequestId, u32), Open>,
    attempts: BTreeMap<RequestId, u32>,
    out_now: BTreeSet<RequestId>,
    class_of: BTreeMap<RequestId, usize>,
    cached: BTreeMap<(String, u64), f64>,
    object_of: BTreeMap<RequestId, u64>,
    silent: BTreeSet<String>,
    /// To boxes, and to parents and the origin as sources of fills.
    sends: Sends,
    answered: BTreeMap<RequestId, u32>,
    served: usize,
    rejected: usize,
    messages: Vec<(f64, u32, usize)>,
    most_out: BTreeMap<String, (usize, usize)>,
    end_of_requests: f64,
}

fn fleet_settings(zone: usize, slot: u32) -> Settings {
    let small = Class { priority_weight: 1.0, ..class() };
    let mut zones = vec!["hub".to_string()];
    zones.extend((1..=ZONES).map(|z| format!("edge-{z}")));
    let mut zone_routers = vec![PER_ZONE; ZONES + 1];
    zone_routers[0] = 0;
    Settings {
        link_in_kb_per_s: vec![0.0; zones.len()],
        zones,
        zone,
        zone_routers,
        slot,
        routers: ZONES as u32 * PER_ZONE,
        classes: vec![small, class()],
        notes: NoteLevel::Hit,
        slow_start_from: 0.25,
        slow_start_ms: 12_000.0,
        slow_start_multiple: 2.0,
        slow_start_window_ms: WINDOW_MS,
        parent_slow_start_from: 0.1,
        parent_slow_start_ms: 15_000.0,
        parent_slow_start_multiple: 2.0,
        ..settings()
    }
}

fn zone_of(slot: u32) -> usize {
    // Not in the order of their numbers: a router's neighbours are others.
    1 + (slot as usize * 7 + 3) % ZONES
}

fn cache_entry(zone: usize, n: usize) -> Entry {
    Entry { weight: WEIGHT, ..entry(&format!("z{zone}b{n}:1"), zone, 0) }
}

impl World {
    fn new() -> World {
        World::with_peers(true)
    }

    fn with_peers(peers: bool) -> World {
        let router = |slot| {
            let set = Settings { peers, ..fleet_settings(zone_of(slot), slot) };
            Router::new(set, u64::from(slot) + 1).expect("sound")
        };
        let routers: Vec<Router> = (0..ZONES as u32 * PER_ZONE).map(router).collect();
        let n = routers.len() as u32;
        let mut w = World { routers, now: 100_000.0, ..World::default() };
        let mut all = Vec::new();
        for z in 1..=ZONES {
            all.extend((0..CACHES).map(|b| cache_entry(z, b)));
        }
        all.extend(["p1:1", "p2:1", "p3:1"].map(|p| Entry { weight: PARENT, ..entry(p, 0, 1) }));
        all.push(Entry { weight: 60.0, ..entry("o1:1", 0, 2) });
        for r in 0..n {
            w.handle(r, Event::Endpoints { kind: ListKind::Full, entries: all.clone() });
            w.at(100_000.0 + f64::from(r), Due::Arrival(r));
        }
        w
    }

    fn at(&mut self, when: f64, due: Due) {
        self.next += 1;
        self.queue.push(Reverse(((when * 1000.0) as u64, self.next)));
        self.dues.insert(self.next, due);
    }

    /// Tells every router, each in its own moment within `spread_ms`.
    fn notify_all(&mut self, when: f64, spread_ms: f64, event: impl Fn() -> Event) {
        for r in 0..self.routers.len() as u32 {
            let late = (mix(u64::from(r) ^ when.to_bits()) % 1000) as f64 / 1000.0 * spread_ms;
            self.at(when + late, Due::Notify(r, event()));
        }
    }

    fn update_endpoints(&mut self, when: f64, spread_ms: f64, entries: Vec<Entry>) {
        self.notify_all(when, spread_ms, || Event::Endpoints {
            kind: ListKind::Delta,
            entries: entries.clone(),
        });
    }

    fn send(&mut self, name: &str, class: usize) {
        self.sends.entry(name.into()).or_default().push((self.now, SIZES_KB[class]));
    }

    fn handle(&mut self, r: u32, event: Event) {
        let mut actions = Vec::new();
        self.routers[r as usize].handle(self.now, event, &mut actions);
        for a in actions {
            match a {
                Action::Forward { id, cache, source, until_ms, .. } => {
                    let attempt = self.attempts.entry(id).or_default();
                    let (number, class) = (*attempt, self.class_of[&id]);
                    *attempt += 1;
                    assert!(self.out_now.insert(id), "two attempts of {id:?} are out");
                    assert!(!self.answered.contains_key(&id), "an attempt after the answer");
                    let (name, object) = (cache.0.to_string(), self.object_of[&id]);
                    self.send(&name, class);
                    let hit = self.cached.contains_key(&(name.clone(), object));
                    let silent = self.silent.contains(&name);
                    if !hit && !silent && source != cache {
                        let from = source.0.to_string();
                        self.send(&from, class);
                    }
                    let took = SIZES_KB[class] + if hit { 5.0 } else { 60.0 };
                    let late = silent || self.now + took > until_ms;
                    let when = if late { until_ms } else { self.now + took };
                    let ending = if late { Ending::TimedOut } else { Ending::Completed };
                    let out = self.most_out.entry(name.clone()).or_default();
                    out.0 += 1;
                    out.1 = out.1.max(out.0);
                    let detail = if late { 0 } else { 2 - u8::from(hit) };
                    self.open.insert((id, number), Open { cache: name, ending, detail, sent: self.now });
                    self.at(when, Due::End { to: r, id, attempt: number });
                }
                Action::Cancel { id, attempt } => {
                    if let Some(o) = self.open.get_mut(&(id, attempt)) {
                        o.ending = Ending::Cancelled;
                        o.detail = 0;
                        self.at(self.now, Due::End { to: r, id, attempt });
                    }
                }
                Action::Reject { id, .. } | Action::Fail { id } => {
                    self.rejected += 1;
                    *self.answered.entry(id).or_default() += 1;
                }
                Action::Timer { delay_ms, token } => self.at(self.now + delay_ms, Due::Timer(r, token)),
                Action::SendToPeer { to, data } => self.post(r, to, data),
                Action::SendToAllPeers { data } => {
                    for to in (0..self.routers.len() as u32).filter(|to| *to != r) {
                        self.post(r, to, data.clone());
                    }
                }
                _ => {}
            }
        }
    }

    /// One message in ten is lost.
    fn post(&mut self, from: u32, to: u32, data: Vec<u8>) {
        assert!(data.len() <= 256);
        self.messages.push((self.now, from, data.len()));
        if mix(self.next ^ 0x5eed) % 10 > 0 {
            self.at(self.now + 5.0, Due::Message { to, from, data });
        }
    }

    fn ask(&mut self, r: u32) {
        self.ids += 1;
        let (id, dice) = (RequestId(self.ids), mix(self.ids ^ 0xa5));
        // Most ask for a few hundred objects, some for what nobody else wants.
        let object = if dice % 8 == 0 { 1_000_000 + self.ids } else { mix(dice) % 300 };
        let class = (object % 2) as usize;
        self.class_of.insert(id, class);
        self.object_of.insert(id, object);
        let size_kb = SIZES_KB[class];
        let group = object % 16;
        let ask = Request { id, object: ObjectId(object), part: 0, class, size_kb, budget_ms: 5000.0, group };
        self.handle(r, Event::Request(ask));
    }

    fn run(&mut self, until: f64) {
        self.end_of_requests = until;
        while let Some(Reverse((at, n))) = self.queue.pop() {
            let Some(due) = self.dues.remove(&n) else { continue };
            self.now = self.now.max(at as f64 / 1000.0);
            match due {
                Due::Arrival(r) if self.now < self.end_of_requests => {
                    self.ask(r);
                    self.at(self.now + 90.0 + (mix(n) % 60) as f64, Due::Arrival(r));
                }
                Due::Arrival(_) => {}
                Due::End { to, id, attempt } => {
                    let Some(o) = self.open.remove(&(id, attempt)) else { continue };
                    self.out_now.remove(&id);
                    if let Some(out) = self.most_out.get_mut(&o.cache) {
                        out.0 -= 1;
                    }
                    let over = o.ending == Ending::Completed;
                    if over {
                        self.served += 1;
                        *self.answered.entry(id).or_default() += 1;
                        self.cached.insert((o.cache.clone(), self.object_of[&id]), self.now);
                    }
                    let outcome = Outcome {
                        id,
                        attempt,
                        cache: o.cache.as_str().into(),
                        ending: o.ending,
                        elapsed_ms: self.now - o.sent,
                        over,
                        detail: o.detail,
                        fill_wait_ms: 0.0,
                        reported_in_flight: None,
                    };
                    self.handle(to, Event::Outcome(outcome));
                }
                // Timers go on for good while something is open; after the last answer nobody needs them.
                Due::Timer(r, token) => self.handle(r, Event::Timer { token }),
                Due::Message { to, from, data } => self.handle(to, Event::PeerMessage { from, data }),
                Due::Notify(r, event) => self.handle(r, event),
                Due::Silent(name, silent) => {
                    if silent {
                        self.silent.insert(name);
                    } else {
                        self.silent.remove(&name);
                        self.cached.retain(|(n, _), _| *n != name);
                    }
                }
            }
        }
    }

    /// In every window that begins with a send to it, a machine that started cold got no more than its budget; how
    /// much of the budget of all the time that it was cold was used.
    fn slow_start_use(&self, name: &str, started: f64, set: &Settings, parent: bool) -> f64 {
        let (from, ms, weight) = match parent {
            true => (set.parent_slow_start_from, set.parent_slow_start_ms, PARENT),
            false => (set.slow_start_from, set.slow_start_ms, WEIGHT),
        };
        let multiple = if parent { set.parent_slow_start_multiple } else { set.slow_start_multiple };
        let capacity_fraction = |at: f64| (from + (1.0 - from) * (at - started) / ms).min(1.0);
        let sends: Vec<_> =
            self.sends[name].iter().filter(|s| s.0 >= started && s.0 < started + ms).collect();
        for (i, s) in sends.iter().enumerate() {
            let work: f64 = sends[i..].iter().take_while(|t| t.0 < s.0 + WINDOW_MS).map(|t| t.1).sum();
            let budget = multiple * weight * WINDOW_MS * capacity_fraction(s.0 + WINDOW_MS / 2.0);
            assert!(work <= budget, "{name}: {work} ms of {budget} at {} ms", s.0 - started);
        }
        let last = self.end_of_requests.min(started + ms);
        let whole =
            multiple * weight * (last - started) * (capacity_fraction(started) + capacity_fraction(last))
                / 2.0;
        sends.iter().map(|s| s.1).sum::<f64>() / whole
    }

    /// Everything that was asked has one answer, and nothing is out any more.
    fn all_answered(&self) {
        assert!(self.out_now.is_empty() && self.open.is_empty());
        assert_eq!(self.answered.len(), self.class_of.len());
        assert!(self.answered.values().all(|n| *n == 1), "one answer each");
    }

    /// Most bytes of messages that one router sent in a second.
    fn most_bytes(&self, after: f64) -> usize {
        let mut by: BTreeMap<(u32, u64), usize> = BTreeMap::new();
        for (at, from, len) in self.messages.iter().filter(|m| m.0 >= after) {
            *by.entry((*from, (at / 1000.0) as u64)).or_default() += len;
        }
        by.into_values().max().unwrap_or(0)
    }

    /// Most connections that all routers need at one box at once, at two requests a connection and one at the least.
    fn most_connections(&self) -> usize {
        self.most_out.values().map(|o| o.1.div_ceil(2)).max().unwrap_or(0)
    }
}

/// A location falls silent, its routers live on; it comes back cold and empty.
#[test]
fn a_lost_location_comes_back_within_its_budget() {
    let mut w = World::new();
    let names: Vec<String> = (0..CACHES).map(|b| cache_entry(3, b).cache.0.to_string()).collect();
    for n in &names {
        w.at(104_000.0, Due::Silent(n.clone(), true));
        w.at(109_000.0, Due::Silent(n.clone(), false));
    }
    let all = |phase: Phase, started_ms: f64| -> Vec<Entry> {
        (0..CACHES).map(|b| Entry { phase, started_ms, ..cache_entry(3, b) }).collect()
    };
    w.update_endpoints(107_000.0, 800.0, all(Phase::Out, 0.0));
    w.update_endpoints(109_000.0, 800.0, all(Phase::In, 109_000.0));
    w.run(121_000.0);
    w.all_answered();
    let set = fleet_settings(3, 0);
    let used: f64 =
        names.iter().map(|n| w.slow_start_use(n, 109_000.0, &set, false)).sum::<f64>() / CACHES as f64;
    assert!(used > 0.15, "what comes back is used: {used}");
}

/// A box says nothing any more and stays on the list: all routers of its location find out, and each soon.
#[test]
fn a_silent_cache_gets_probes_only_from_all_routers_together() {
    let mut w = World::new();
    let name = cache_entry(3, 1).cache.0.to_string();
    w.at(104_000.0, Due::Silent(name.clone(), true));
    w.run(110_000.0);
    w.all_answered();
    let sent = |from: f64, to: f64| w.sends[&name].iter().filter(|s| s.0 >= from && s.0 < to).count();
    let (before, after) = (sent(101_000.0, 104_000.0), sent(107_000.0, 110_000.0));
    assert!(before > 30, "{before}");
    assert!(after * 2 < before, "{after} in the silence, {before} before it, in three seconds each");
}

/// Six in ten boxes of all locations and a parent are replaced at once, by cold ones.
#[test]
fn a_mass_replacement_keeps_to_every_budget() {
    let mut w = World::new();
    let (old, new) = (0..3, CACHES..CACHES + 3);
    for z in 1..=ZONES {
        w.update_endpoints(
            105_000.0,
            500.0,
            new.clone().map(|b| Entry { started_ms: 105_000.0, ..cache_entry(z, b) }).collect(),
        );
        w.update_endpoints(
            106_000.0,
            0.0,
            old.clone().map(|b| Entry { phase: Phase::Draining, ..cache_entry(z, b) }).collect(),
        );
    }
    let parent = |name: &str, phase: Phase, started_ms: f64| Entry {
        weight: PARENT,
        phase,
        started_ms,
        ..entry(name, 0, 1)
    };
    w.update_endpoints(
        105_000.0,
        500.0,
        vec![parent("p4:1", Phase::In, 105_000.0), parent("p1:1", Phase::Draining, 0.0)],
    );
    w.run(119_000.0);
    w.all_answered();
    let set = fleet_settings(1, 0);
    let mut used = 0.0;
    for z in 1..=ZONES {
        for b in new.clone() {
            used += w.slow_start_use(&cache_entry(z, b).cache.0, 105_000.0, &set, false) / (3 * ZONES) as f64;
        }
        for b in old.clone() {
            let last = w.sends[&*cache_entry(z, b).cache.0].iter().map(|s| s.0).fold(0.0, f64::max);
            assert!(last <= 106_000.0 + DRAIN_MS, "sent to a draining box at {last}");
        }
    }
    assert!(used > 0.15, "{used}");
    let parent_used = w.slow_start_use("p4:1", 105_000.0, &set, true);
    assert!(parent_used > 0.05, "the new parent is asked: {parent_used}");
    let total = (w.served + w.rejected) as f64;
    assert!(w.served as f64 > 0.8 * total, "{} of {total} served", w.served);
}

/// Where routers may not talk they do not know their places at a box of their location, and still share its turns.
#[test]
fn without_messages_caches_in_slow_start_keep_to_their_budgets() {
    let mut w = World::with_peers(false);
    for z in 1..=ZONES {
        w.update_endpoints(
            103_000.0,
            500.0,
            (0..3).map(|b| Entry { started_ms: 103_000.0, ..cache_entry(z, b) }).collect(),
        );
    }
    w.run(112_000.0);
    w.all_answered();
    assert!(w.messages.is_empty());
    let set = fleet_settings(1, 0);
    let mut used = 0.0;
    for z in 1..=ZONES {
        for b in 0..3 {
            used += w.slow_start_use(&cache_entry(z, b).cache.0, 103_000.0, &set, false) / (3 * ZONES) as f64;
        }
    }
    assert!(used > 0.1, "{used}");
}

/// Every copy is void at once, at all routers in nearly the same moment, while a parent warms up.
#[test]
fn a_purge_of_everything_does_not_overload_a_parent_in_slow_start() {
    let mut w = World::new();
    let in_slow_start = Entry { weight: PARENT, started_ms: 104_500.0, ..entry("p2:1", 0, 1) };
    w.update_endpoints(104_500.0, 200.0, vec![in_slow_start]);
    for group in 0..16 {
        w.notify_all(105_000.0, 300.0, || Event::Purged { object: None, group, age_ms: 0.0 });
    }
    // The boxes drop their copies by themselves.
    for z in 1..=ZONES {
        for b in 0..CACHES {
            w.at(105_300.0, Due::Silent(cache_entry(z, b).cache.0.to_string(), false));
        }
    }
    w.run(114_000.0);
    w.all_answered();
    let used = w.slow_start_use("p2:1", 104_500.0, &fleet_settings(1, 0), true);
    assert!(used > 0.05, "{used}");
    assert!(w.served as f64 > 0.8 * (w.served + w.rejected) as f64, "{} refused", w.rejected);
    // After their greetings, messages cost each router less than 4 KB a second, at 8 requests a second and 9 mates.
    let bytes = w.most_bytes(101_000.0);
    assert!(bytes < 4_000, "{bytes} bytes in a second");
    let conns = w.most_connections();
    assert!(conns <= 2 * PER_ZONE as usize, "{conns} connections at one box");
}

/// Equal seeds, equal events, equal actions, also over all of them.
#[test]
fn the_same_fleet_does_the_same() {
    let run = || {
        let mut w = World::new();
        w.run(103_000.0);
        (w.served, w.rejected, w.messages.len(), w.sends.values().map(Vec::len).sum::<usize>())
    };
    assert_eq!(run(), run());
}

/// A restart of a part of all routers: one that starts knew no limit of fills, no width and no key, though its mates did,
/// and asked parents and the origin for what its location's caches hold.
#[test]
fn a_starting_router_gets_what_its_peers_have_learned() {
    let set = |slot| Settings { slot, peers: true, ..settings() };
    let start = |slot, now| {
        let mut r = Rig::with(Settings { zone_routers: vec![0, 3, 0], routers: 3, ..set(slot) });
        r.now = now;
        let greets = r.update_endpoints(fleet());
        (r, greets)
    };
    let (mut old, mut other) = (start(0, 100_000.0).0, start(1, 100_000.0).0);
    for o in 0..60 {
        old.now += 50.0;
        old.serve(o, 2);
    }
    other.now = old.now;
    // Mates know each other.
    other.event(Event::PeerMessage { from: 0, data: vec![2, 1, 0] });
    old.event(Event::PeerMessage { from: 1, data: vec![2, 1, 0] });
    let (mut new, greets) = start(2, old.now + 10.0);
    let greeting = greets.iter().find_map(|a| match a {
        Action::SendToAllPeers { data } => Some(data.clone()),
        _ => None,
    });
    let mut bytes = 0;
    for (from, r) in [(0, &mut old), (1, &mut other)] {
        for a in r.event(Event::PeerMessage { from: 2, data: greeting.clone().expect("it greets") }) {
            if let Action::SendToPeer { to: 2, data } = a {
                bytes += data.len();
                new.event(Event::PeerMessage { from, data });
            }
        }
    }
    assert!(bytes < 4_000, "{bytes} bytes");
    // What its mate's keys show is asked for as a hit: the attempt leaves time for another. A fill takes all there is.
    let is_hit = |r: &mut Rig, o: u64| sent(&r.request(o)).is_some_and(|s| s.until_ms - r.now < 4_000.0);
    let known = (0..60).filter(|o| is_hit(&mut new, *o)).count();
    assert!(!is_hit(&mut new, 10_000), "a key that nobody knows");
    assert!(known >= 55, "{known} of 60 keys are known");
    assert_eq!(new.router.malformed_messages(), 0);
}
