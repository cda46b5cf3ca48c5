//! Totals over a hundred routers, each of which gets its own events only. In the simulation caches answer
//! within their sending time, silent caches do not answer, and peer messages are late or lost.
mod common;
use common::*;
use fernslip::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

/// Number of locations.
const ZONES: usize = 10;
/// Number of routers at each location.
const ROUTERS_PER_ZONE: u32 = 10;
/// Number of caches at each location.
const CACHES_PER_ZONE: usize = 5;
/// Size of a request by class; a KB takes a millisecond to send.
const SIZES_KB: [f64; 2] = [40.0, 360.0];
/// Length of the slow-start window, in milliseconds.
const WINDOW_MS: f64 = 1_500.0;
/// Number of concurrent answers that a cache sends at full speed.
const CACHE_WEIGHT: f64 = 4.0;
/// Like `CACHE_WEIGHT`, but for a parent.
const PARENT_WEIGHT: f64 = 20.0;
/// How long after the notification caches may still be sent requests while they drain, in milliseconds: less
/// than the settings' grace period, since all routers are notified at once.
const DRAIN_GRACE_MS: f64 = 500.0;

/// A 64-bit hash, in place of random numbers.
fn hash64(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// What happens at a scheduled time.
enum Scheduled {
    /// A request arrives at the router.
    Arrival(u32),
    /// An attempt of the router `to` ends.
    AttemptEnd { to: u32, id: RequestId, attempt: u32 },
    /// A timer of the router expires, with its token.
    Timer(u32, u64),
    /// A peer message reaches the router `to`.
    Message { to: u32, from: u32, data: Vec<u8> },
    /// The router is notified of an event.
    Notify(u32, Event),
    /// A cache becomes silent (true), or answers again with no copies (false).
    Silent(String, bool),
}

/// An attempt that has not ended, and how it will end.
#[derive(Clone)]
struct OpenAttempt {
    cache: String,
    ending: Ending,
    detail: u8,
    sent: f64,
}

/// By node: the time of each send and its work, in milliseconds.
type Sends = BTreeMap<String, Vec<(f64, f64)>>;

#[derive(Default)]
struct Simulation {
    routers: Vec<Router>,
    now: f64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    scheduled: BTreeMap<u64, Scheduled>,
    next: u64,
    ids: u64,
    open: BTreeMap<(RequestId, u32), OpenAttempt>,
    attempts: BTreeMap<RequestId, u32>,
    requests_in_flight: BTreeSet<RequestId>,
    class_of: BTreeMap<RequestId, usize>,
    cached: BTreeMap<(String, u64), f64>,
    object_of: BTreeMap<RequestId, u64>,
    silent: BTreeSet<String>,
    /// Attempts sent to caches, and fills from parents and the origin.
    sends: Sends,
    answered: BTreeMap<RequestId, u32>,
    served: usize,
    rejected: usize,
    /// Time, sender and length of each peer message.
    messages: Vec<(f64, u32, usize)>,
    /// By cache: the number of attempts in flight now, and the highest number so far.
    in_flight: BTreeMap<String, (usize, usize)>,
    end_of_requests: f64,
}

fn router_settings(zone: usize, slot: u32) -> Settings {
    let small = Class { priority_weight: 1.0, ..class() };
    let mut zones = vec!["hub".to_string()];
    zones.extend((1..=ZONES).map(|z| format!("edge-{z}")));
    let mut zone_routers = vec![ROUTERS_PER_ZONE; ZONES + 1];
    zone_routers[0] = 0;
    Settings {
        link_in_kb_per_s: vec![0.0; zones.len()],
        zones,
        zone,
        zone_routers,
        slot,
        routers: ZONES as u32 * ROUTERS_PER_ZONE,
        classes: vec![small, class()],
        detail_level: DetailLevel::Hit,
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
    // Routers with successive numbers are at different locations.
    1 + (slot as usize * 7 + 3) % ZONES
}

fn cache_entry(zone: usize, n: usize) -> Entry {
    Entry { weight: CACHE_WEIGHT, ..entry(&format!("z{zone}b{n}:1"), zone, 0) }
}

impl Simulation {
    fn new() -> Simulation {
        Simulation::with_peers(true)
    }

    fn with_peers(peers: bool) -> Simulation {
        let new_router = |slot| {
            let set = Settings { peers, ..router_settings(zone_of(slot), slot) };
            Router::new(set, u64::from(slot) + 1).expect("the test settings are valid")
        };
        let routers: Vec<Router> = (0..ZONES as u32 * ROUTERS_PER_ZONE).map(new_router).collect();
        let n = routers.len() as u32;
        let mut simulation = Simulation { routers, now: 100_000.0, ..Simulation::default() };
        let mut all = Vec::new();
        for z in 1..=ZONES {
            all.extend((0..CACHES_PER_ZONE).map(|b| cache_entry(z, b)));
        }
        all.extend(["p1:1", "p2:1", "p3:1"].map(|p| Entry { weight: PARENT_WEIGHT, ..entry(p, 0, 1) }));
        all.push(Entry { weight: 60.0, ..entry("o1:1", 0, 2) });
        for r in 0..n {
            simulation.handle(r, Event::Endpoints { kind: ListKind::Full, entries: all.clone() });
            simulation.schedule(100_000.0 + f64::from(r), Scheduled::Arrival(r));
        }
        simulation
    }

    fn schedule(&mut self, when: f64, due: Scheduled) {
        self.next += 1;
        self.queue.push(Reverse(((when * 1000.0) as u64, self.next)));
        self.scheduled.insert(self.next, due);
    }

    /// Notifies every router, each at its own time within `spread_ms`.
    fn notify_all(&mut self, when: f64, spread_ms: f64, event: impl Fn() -> Event) {
        for r in 0..self.routers.len() as u32 {
            let late = (hash64(u64::from(r) ^ when.to_bits()) % 1000) as f64 / 1000.0 * spread_ms;
            self.schedule(when + late, Scheduled::Notify(r, event()));
        }
    }

    fn update_endpoints(&mut self, when: f64, spread_ms: f64, entries: Vec<Entry>) {
        self.notify_all(when, spread_ms, || Event::Endpoints {
            kind: ListKind::Delta,
            entries: entries.clone(),
        });
    }

    fn record_send(&mut self, name: &str, class: usize) {
        self.sends.entry(name.into()).or_default().push((self.now, SIZES_KB[class]));
    }

    fn handle(&mut self, router: u32, event: Event) {
        let mut actions = Vec::new();
        self.routers[router as usize].handle(self.now, event, &mut actions);
        for a in actions {
            match a {
                Action::Forward { id, cache, source, until_ms, .. } => {
                    let attempt = self.attempts.entry(id).or_default();
                    let (number, class) = (*attempt, self.class_of[&id]);
                    *attempt += 1;
                    assert!(
                        self.requests_in_flight.insert(id),
                        "no attempt of {id:?} is sent while another is in flight"
                    );
                    assert!(!self.answered.contains_key(&id), "no attempt is sent after the final answer");
                    let (name, object) = (cache.0.to_string(), self.object_of[&id]);
                    self.record_send(&name, class);
                    let hit = self.cached.contains_key(&(name.clone(), object));
                    let silent = self.silent.contains(&name);
                    if !hit && !silent && source != cache {
                        let from = source.0.to_string();
                        self.record_send(&from, class);
                    }
                    let took = SIZES_KB[class] + if hit { 5.0 } else { 60.0 };
                    let late = silent || self.now + took > until_ms;
                    let when = if late { until_ms } else { self.now + took };
                    let ending = if late { Ending::TimedOut } else { Ending::Completed };
                    let out = self.in_flight.entry(name.clone()).or_default();
                    out.0 += 1;
                    out.1 = out.1.max(out.0);
                    let detail = if late { 0 } else { 2 - u8::from(hit) };
                    self.open
                        .insert((id, number), OpenAttempt { cache: name, ending, detail, sent: self.now });
                    self.schedule(when, Scheduled::AttemptEnd { to: router, id, attempt: number });
                }
                Action::Cancel { id, attempt } => {
                    if let Some(o) = self.open.get_mut(&(id, attempt)) {
                        o.ending = Ending::Cancelled;
                        o.detail = 0;
                        self.schedule(self.now, Scheduled::AttemptEnd { to: router, id, attempt });
                    }
                }
                Action::Reject { id, .. } | Action::Fail { id } => {
                    self.rejected += 1;
                    *self.answered.entry(id).or_default() += 1;
                }
                Action::Timer { delay_ms, token } => {
                    self.schedule(self.now + delay_ms, Scheduled::Timer(router, token));
                }
                Action::SendToPeer { to, data } => self.send_message(router, to, data),
                Action::SendToAllPeers { data } => {
                    for to in (0..self.routers.len() as u32).filter(|to| *to != router) {
                        self.send_message(router, to, data.clone());
                    }
                }
                _ => {}
            }
        }
    }

    /// Sends a peer message; one in ten is lost.
    fn send_message(&mut self, from: u32, to: u32, data: Vec<u8>) {
        assert!(data.len() <= 256, "a peer message has at most 256 bytes");
        self.messages.push((self.now, from, data.len()));
        if hash64(self.next ^ 0x5eed) % 10 > 0 {
            self.schedule(self.now + 5.0, Scheduled::Message { to, from, data });
        }
    }

    fn send_request(&mut self, router: u32) {
        self.ids += 1;
        let (id, dice) = (RequestId(self.ids), hash64(self.ids ^ 0xa5));
        // Most requests are for 300 popular objects, some for an object that is requested only once.
        let object = if dice % 8 == 0 { 1_000_000 + self.ids } else { hash64(dice) % 300 };
        let class = (object % 2) as usize;
        self.class_of.insert(id, class);
        self.object_of.insert(id, object);
        let size_kb = SIZES_KB[class];
        let group = object % 16;
        let request =
            Request { id, object: ObjectId(object), part: 0, class, size_kb, budget_ms: 5000.0, group };
        self.handle(router, Event::Request(request));
    }

    fn run(&mut self, until: f64) {
        self.end_of_requests = until;
        while let Some(Reverse((at, n))) = self.queue.pop() {
            let Some(due) = self.scheduled.remove(&n) else { continue };
            self.now = self.now.max(at as f64 / 1000.0);
            match due {
                Scheduled::Arrival(r) if self.now < self.end_of_requests => {
                    self.send_request(r);
                    self.schedule(self.now + 90.0 + (hash64(n) % 60) as f64, Scheduled::Arrival(r));
                }
                Scheduled::Arrival(_) => {}
                Scheduled::AttemptEnd { to, id, attempt } => {
                    let Some(o) = self.open.remove(&(id, attempt)) else { continue };
                    self.requests_in_flight.remove(&id);
                    if let Some(out) = self.in_flight.get_mut(&o.cache) {
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
                // Routers renew their timers only while requests are open, so the queue becomes empty.
                Scheduled::Timer(r, token) => self.handle(r, Event::Timer { token }),
                Scheduled::Message { to, from, data } => self.handle(to, Event::PeerMessage { from, data }),
                Scheduled::Notify(r, event) => self.handle(r, event),
                Scheduled::Silent(name, silent) => {
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

    /// Asserts that each window that begins with a send to a restarted node keeps to the node's budget;
    /// returns the fraction used of the budget of the whole slow start.
    fn budget_use_in_slow_start(&self, name: &str, started: f64, set: &Settings, parent: bool) -> f64 {
        let (from, ms, weight) = match parent {
            true => (set.parent_slow_start_from, set.parent_slow_start_ms, PARENT_WEIGHT),
            false => (set.slow_start_from, set.slow_start_ms, CACHE_WEIGHT),
        };
        let multiple = if parent { set.parent_slow_start_multiple } else { set.slow_start_multiple };
        let capacity_fraction = |at: f64| (from + (1.0 - from) * (at - started) / ms).min(1.0);
        let sends: Vec<_> =
            self.sends[name].iter().filter(|s| s.0 >= started && s.0 < started + ms).collect();
        for (i, s) in sends.iter().enumerate() {
            let work: f64 = sends[i..].iter().take_while(|t| t.0 < s.0 + WINDOW_MS).map(|t| t.1).sum();
            let budget = multiple * weight * WINDOW_MS * capacity_fraction(s.0 + WINDOW_MS / 2.0);
            assert!(
                work <= budget,
                "{name} is sent {work} ms of work, at most {budget} ms allowed, {} ms after its start",
                s.0 - started
            );
        }
        let last = self.end_of_requests.min(started + ms);
        let whole_budget =
            multiple * weight * (last - started) * (capacity_fraction(started) + capacity_fraction(last))
                / 2.0;
        sends.iter().map(|s| s.1).sum::<f64>() / whole_budget
    }

    fn assert_each_request_is_answered_once(&self) {
        assert!(self.requests_in_flight.is_empty() && self.open.is_empty(), "no attempt is still in flight");
        assert_eq!(self.answered.len(), self.class_of.len(), "every request is answered");
        assert!(self.answered.values().all(|n| *n == 1), "each request has exactly one answer");
    }

    /// The most bytes of peer messages that one router sent in one second.
    fn max_message_bytes_per_second(&self, after: f64) -> usize {
        let mut by: BTreeMap<(u32, u64), usize> = BTreeMap::new();
        for (at, from, len) in self.messages.iter().filter(|m| m.0 >= after) {
            *by.entry((*from, (at / 1000.0) as u64)).or_default() += len;
        }
        by.into_values().max().unwrap_or(0)
    }

    /// The most connections that all routers need at one cache at once, with two requests per connection
    /// and at least one connection.
    fn max_connections_per_cache(&self) -> usize {
        self.in_flight.values().map(|o| o.1.div_ceil(2)).max().unwrap_or(0)
    }
}

/// All caches of a location become silent and return in slow start with no copies; its routers keep running.
#[test]
fn a_location_that_returns_is_sent_no_more_than_its_budget() {
    let mut simulation = Simulation::new();
    let names: Vec<String> = (0..CACHES_PER_ZONE).map(|b| cache_entry(3, b).cache.0.to_string()).collect();
    for n in &names {
        simulation.schedule(104_000.0, Scheduled::Silent(n.clone(), true));
        simulation.schedule(109_000.0, Scheduled::Silent(n.clone(), false));
    }
    let all = |phase: Phase, started_ms: f64| -> Vec<Entry> {
        (0..CACHES_PER_ZONE).map(|b| Entry { phase, started_ms, ..cache_entry(3, b) }).collect()
    };
    simulation.update_endpoints(107_000.0, 800.0, all(Phase::Out, 0.0));
    simulation.update_endpoints(109_000.0, 800.0, all(Phase::In, 109_000.0));
    simulation.run(121_000.0);
    simulation.assert_each_request_is_answered_once();
    let set = router_settings(3, 0);
    let used: f64 =
        names.iter().map(|n| simulation.budget_use_in_slow_start(n, 109_000.0, &set, false)).sum::<f64>()
            / CACHES_PER_ZONE as f64;
    assert!(used > 0.15, "more than 0.15 of the returned caches' budget is used: {used}");
}

/// A cache stops answering and stays on the list: every router of its location soon notices it by itself.
#[test]
fn all_routers_together_send_a_silent_cache_few_requests() {
    let mut simulation = Simulation::new();
    let name = cache_entry(3, 1).cache.0.to_string();
    simulation.schedule(104_000.0, Scheduled::Silent(name.clone(), true));
    simulation.run(110_000.0);
    simulation.assert_each_request_is_answered_once();
    let sent =
        |from: f64, to: f64| simulation.sends[&name].iter().filter(|s| s.0 >= from && s.0 < to).count();
    let (before, after) = (sent(101_000.0, 104_000.0), sent(107_000.0, 110_000.0));
    assert!(before > 30, "the cache got {before} requests before the silence, more than 30 expected");
    assert!(
        after * 2 < before,
        "the cache got {after} requests while silent and {before} before, in three seconds each"
    );
}

/// Three of the five caches of each location, and a parent, are replaced at once by newly started nodes.
#[test]
fn a_mass_replacement_keeps_to_every_slow_start_budget() {
    let mut simulation = Simulation::new();
    let (old, new) = (0..3, CACHES_PER_ZONE..CACHES_PER_ZONE + 3);
    for z in 1..=ZONES {
        simulation.update_endpoints(
            105_000.0,
            500.0,
            new.clone().map(|b| Entry { started_ms: 105_000.0, ..cache_entry(z, b) }).collect(),
        );
        simulation.update_endpoints(
            106_000.0,
            0.0,
            old.clone().map(|b| Entry { phase: Phase::Draining, ..cache_entry(z, b) }).collect(),
        );
    }
    let parent = |name: &str, phase: Phase, started_ms: f64| Entry {
        weight: PARENT_WEIGHT,
        phase,
        started_ms,
        ..entry(name, 0, 1)
    };
    simulation.update_endpoints(
        105_000.0,
        500.0,
        vec![parent("p4:1", Phase::In, 105_000.0), parent("p1:1", Phase::Draining, 0.0)],
    );
    simulation.run(119_000.0);
    simulation.assert_each_request_is_answered_once();
    let set = router_settings(1, 0);
    let mut used = 0.0;
    for z in 1..=ZONES {
        for b in new.clone() {
            used += simulation.budget_use_in_slow_start(&cache_entry(z, b).cache.0, 105_000.0, &set, false)
                / (3 * ZONES) as f64;
        }
        for b in old.clone() {
            let last = simulation.sends[&*cache_entry(z, b).cache.0].iter().map(|s| s.0).fold(0.0, f64::max);
            assert!(
                last <= 106_000.0 + DRAIN_GRACE_MS,
                "a draining cache was sent a request at {last}, after its grace period"
            );
        }
    }
    assert!(used > 0.15, "more than 0.15 of the new caches' budget is used: {used}");
    let parent_used = simulation.budget_use_in_slow_start("p4:1", 105_000.0, &set, true);
    assert!(parent_used > 0.05, "more than 0.05 of the new parent's budget is used: {parent_used}");
    let total = (simulation.served + simulation.rejected) as f64;
    assert!(
        simulation.served as f64 > 0.8 * total,
        "more than 0.8 of the requests are served: {} of {total}",
        simulation.served
    );
}

/// Without peer messages a router does not know its position among the routers that share a cache's budget;
/// the routers together still keep to the budget.
#[test]
fn without_messages_caches_in_slow_start_keep_to_their_budgets() {
    let mut simulation = Simulation::with_peers(false);
    for z in 1..=ZONES {
        simulation.update_endpoints(
            103_000.0,
            500.0,
            (0..3).map(|b| Entry { started_ms: 103_000.0, ..cache_entry(z, b) }).collect(),
        );
    }
    simulation.run(112_000.0);
    simulation.assert_each_request_is_answered_once();
    assert!(simulation.messages.is_empty(), "no peer message is sent where they are not allowed");
    let set = router_settings(1, 0);
    let mut used = 0.0;
    for z in 1..=ZONES {
        for b in 0..3 {
            used += simulation.budget_use_in_slow_start(&cache_entry(z, b).cache.0, 103_000.0, &set, false)
                / (3 * ZONES) as f64;
        }
    }
    assert!(used > 0.1, "more than 0.1 of the caches' budget is used: {used}");
}

/// All groups are purged, at all routers within 300 ms, while a parent warms up.
#[test]
fn a_purge_of_everything_does_not_overload_a_parent_in_slow_start() {
    let mut simulation = Simulation::new();
    let in_slow_start = Entry { weight: PARENT_WEIGHT, started_ms: 104_500.0, ..entry("p2:1", 0, 1) };
    simulation.update_endpoints(104_500.0, 200.0, vec![in_slow_start]);
    for group in 0..16 {
        simulation.notify_all(105_000.0, 300.0, || Event::Purged { object: None, group, age_ms: 0.0 });
    }
    // The caches drop their copies without the routers' help.
    for z in 1..=ZONES {
        for b in 0..CACHES_PER_ZONE {
            simulation.schedule(105_300.0, Scheduled::Silent(cache_entry(z, b).cache.0.to_string(), false));
        }
    }
    simulation.run(114_000.0);
    simulation.assert_each_request_is_answered_once();
    let used = simulation.budget_use_in_slow_start("p2:1", 104_500.0, &router_settings(1, 0), true);
    assert!(used > 0.05, "more than 0.05 of the parent's budget is used: {used}");
    assert!(
        simulation.served as f64 > 0.8 * (simulation.served + simulation.rejected) as f64,
        "more than 0.8 of the requests are served: {} are rejected",
        simulation.rejected
    );
    // After the greetings a router sends less than 4 KB of messages a second, at 8 requests a second and 9
    // peers.
    let bytes = simulation.max_message_bytes_per_second(101_000.0);
    assert!(bytes < 4_000, "a router sent {bytes} bytes of messages in a second, fewer than 4000 expected");
    let conns = simulation.max_connections_per_cache();
    assert!(
        conns <= 2 * ROUTERS_PER_ZONE as usize,
        "{conns} connections are needed at one cache, at most two per router expected"
    );
}

/// Equal seeds and events give equal actions, also summed over all routers.
#[test]
fn two_equal_runs_give_equal_totals() {
    let run = || {
        let mut simulation = Simulation::new();
        simulation.run(103_000.0);
        (
            simulation.served,
            simulation.rejected,
            simulation.messages.len(),
            simulation.sends.values().map(Vec::len).sum::<usize>(),
        )
    };
    assert_eq!(run(), run());
}

/// Regression test: a router that restarted while its peers ran used to know neither the fill limit, nor link
/// capacities, nor keys, so it filled from parents and the origin what its location's caches already had.
#[test]
fn a_starting_router_receives_what_its_peers_have_learned() {
    let set = |slot| Settings { slot, peers: true, ..settings() };
    let start = |slot, now| {
        let mut r = Rig::with_settings(Settings { zone_routers: vec![0, 3, 0], routers: 3, ..set(slot) });
        r.now = now;
        let greets = r.update_endpoints(endpoints());
        (r, greets)
    };
    let (mut old, mut other) = (start(0, 100_000.0).0, start(1, 100_000.0).0);
    for o in 0..60 {
        old.now += 50.0;
        old.serve(o, 2);
    }
    other.now = old.now;
    // The two peers have greeted each other.
    other.handle(Event::PeerMessage { from: 0, data: vec![2, 1, 0] });
    old.handle(Event::PeerMessage { from: 1, data: vec![2, 1, 0] });
    let (mut new, greets) = start(2, old.now + 10.0);
    let greeting = greets.iter().find_map(|a| match a {
        Action::SendToAllPeers { data } => Some(data.clone()),
        _ => None,
    });
    let mut bytes = 0;
    for (from, r) in [(0, &mut old), (1, &mut other)] {
        for a in r.handle(Event::PeerMessage {
            from: 2,
            data: greeting.clone().expect("the new router greets its peers"),
        }) {
            if let Action::SendToPeer { to: 2, data } = a {
                bytes += data.len();
                new.handle(Event::PeerMessage { from, data });
            }
        }
    }
    assert!(bytes < 4_000, "the peers sent {bytes} bytes, fewer than 4000 expected");
    // A request for a key that the peers reported is sent as a hit: its attempt leaves time for a retry,
    // which the attempt of a fill does not.
    let is_hit =
        |r: &mut Rig, o: u64| first_sent_attempt(&r.request(o)).is_some_and(|s| s.until_ms - r.now < 4_000.0);
    let known = (0..60).filter(|o| is_hit(&mut new, *o)).count();
    assert!(!is_hit(&mut new, 10_000), "a key that no peer reported is not taken for a hit");
    assert!(known >= 55, "{known} of 60 keys are taken for hits, at least 55 expected");
    assert_eq!(new.router.malformed_messages(), 0, "no message is malformed");
}
