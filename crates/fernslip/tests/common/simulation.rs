//! A deterministic simulation around the real router: one location of caches, with parents and an origin,
//! advanced in time steps. The transfers on a link share it evenly; a fill occupies every link on its path.
use super::deployment::{Deployment, RunKind, RunReport, SplitMix64};
use super::*;
use std::collections::{BTreeMap, BTreeSet};

const STEP_MS: f64 = 4.0;
/// Length of the warm-up before a run is measured, in milliseconds: caches fill and routers learn.
pub const WARM_UP_MS: f64 = 6_000.0;

/// An answer in transfer.
struct Flow {
    to: u32,
    id: RequestId,
    attempt: u32,
    cache: usize,
    /// Indices of the links that the transfer occupies; see [`Simulation::bandwidth`].
    links: Vec<usize>,
    starts: f64,
    remaining: f64,
    max_rate: f64,
    sent: f64,
    until: f64,
    detail: u8,
    /// When the copy in transfer was fetched from the origin.
    created: f64,
    cacheable: bool,
    parent: Option<usize>,
    cancelled: bool,
}

struct TrackedRequest {
    request: Request,
    due: f64,
    attempts: u32,
    out: bool,
    answers: u32,
    ran: u32,
}

enum Scheduled {
    Timer(u32, u64),
    Message {
        to: u32,
        from: u32,
        data: Vec<u8>,
    },
    Notify(u32, Box<Event>),
    Outcome(u32, Box<Outcome>),
    Stop(usize),
    Restart(usize),
    /// All nodes drop their copies of the object that were created before the given time.
    DropCopies(u64, f64),
}

/// Object id and part.
type ObjectPart = (u64, u32);

pub struct Simulation {
    d: Deployment,
    draw: SplitMix64,
    now: f64,
    start: f64,
    routers: Vec<Router>,
    /// The nodes: caches, then parents, then the origin.
    names: Vec<CacheId>,
    flows: Vec<Flow>,
    cached: Vec<BTreeMap<ObjectPart, f64>>,
    requests: BTreeMap<RequestId, TrackedRequest>,
    due: BTreeMap<(u64, u64), Scheduled>,
    serial: u64,
    /// By node: when it last restarted; 0 if it has not restarted.
    started: Vec<f64>,
    down: BTreeSet<usize>,
    /// By router and node: when the router was notified that the node drains or is removed.
    notified_out: BTreeMap<(u32, usize), f64>,
    /// By router and object: when the router was notified of a purge, and when the object was purged.
    notified_purge: BTreeMap<(u32, u64), (f64, f64)>,
    /// By node: time of each attempt sent to it and its work, in milliseconds.
    sends: Vec<Vec<(f64, f64)>>,
    ids: u64,
    report: RunReport,
}

impl Simulation {
    pub fn new(drawn: &Deployment) -> Simulation {
        let (caches, routers) = (drawn.bandwidths.len(), drawn.set.zone_routers[1]);
        let start = 100_000.0;
        let mut list = Vec::new();
        for (n, w) in drawn.bandwidths.iter().enumerate() {
            let weight = if drawn.weights { (w * 2.0).round() / 2.0 + 0.01 } else { 1.0 };
            list.push(Entry { weight, ..entry(&format!("c{n}:1"), 1, 0) });
        }
        let listed = |w: f64| if drawn.weights { w } else { 1.0 };
        (0..drawn.parents).for_each(|p| {
            list.push(Entry { weight: listed(drawn.parent_bandwidth), ..entry(&format!("p{p}:1"), 0, 1) });
        });
        list.push(Entry { weight: listed(drawn.origin_bandwidth), ..entry("o0:1", 0, 2) });
        let names: Vec<CacheId> = list.iter().map(|e| e.cache.clone()).collect();
        let new_router = |slot| {
            Router::new(Settings { slot, ..drawn.set.clone() }, drawn.seed ^ u64::from(slot))
                .expect("valid settings")
        };
        let mut simulation = Simulation {
            draw: SplitMix64(drawn.seed ^ 0x5eed),
            now: start,
            start,
            routers: (0..routers).map(new_router).collect(),
            cached: vec![BTreeMap::new(); names.len()],
            started: vec![0.0; names.len()],
            sends: vec![Vec::new(); names.len()],
            report: RunReport { used: vec![0.0; caches], ..RunReport::default() },
            d: drawn.clone(),
            names,
            flows: Vec::new(),
            requests: BTreeMap::new(),
            due: BTreeMap::new(),
            serial: 0,
            down: BTreeSet::new(),
            notified_out: BTreeMap::new(),
            notified_purge: BTreeMap::new(),
            ids: 0,
        };
        for r in 0..routers {
            simulation.handle(r, Event::Endpoints { kind: ListKind::Full, entries: list.clone() });
        }
        simulation
    }

    fn schedule(&mut self, when: f64, due: Scheduled) {
        self.serial += 1;
        self.due.insert(((when.max(0.0) * 1000.0) as u64, self.serial), due);
    }

    fn notify_all(&mut self, event: &Event, spread_ms: f64) {
        for r in 0..self.routers.len() as u32 {
            let when = self.now + self.draw.unit_interval() * spread_ms;
            self.schedule(when, Scheduled::Notify(r, Box::new(event.clone())));
        }
    }

    fn record_violation(&mut self, violation: String) {
        self.report.violations.push(format!("{:.0} ms: {violation}", self.now - self.start));
    }

    /// Current capacity in transfers of a node's link, or of the location's fill link, which has the last
    /// index.
    fn bandwidth(&self, link: usize) -> f64 {
        let (caches, n) = (self.d.bandwidths.len(), self.names.len());
        let full = match link {
            l if l < caches => self.d.bandwidths[l],
            l if l < n - 1 => self.d.parent_bandwidth,
            l if l == n - 1 => self.d.origin_bandwidth,
            _ => self.d.link_in,
        };
        let age = (self.now - self.started.get(link).copied().unwrap_or(0.0)) / self.d.set.slow_start_ms;
        let warming_up = link < caches && self.started[link] > 0.0 && age < 1.0;
        full * if warming_up {
            self.d.set.slow_start_from + (1.0 - self.d.set.slow_start_from) * age
        } else {
            1.0
        }
    }

    fn handle(&mut self, router: u32, event: Event) {
        let mut actions = Vec::new();
        self.routers[router as usize].handle(self.now, event, &mut actions);
        for a in actions {
            match a {
                Action::Forward { id, cache, source, until_ms, rank, age_ms, join, .. } => {
                    self.forward(router, id, &cache, &source, until_ms, rank > 0, age_ms, join);
                }
                Action::Cancel { id, attempt } => {
                    for f in self.flows.iter_mut().filter(|f| f.id == id && f.attempt == attempt) {
                        f.cancelled = true;
                    }
                }
                Action::Reject { id, .. } => self.record_answer(id, |d| d.rejected += 1),
                Action::Fail { id } => self.record_answer(id, |d| d.failed += 1),
                Action::Timer { delay_ms, token } => {
                    self.schedule(self.now + delay_ms, Scheduled::Timer(router, token));
                }
                Action::SendToPeer { to, data } => self.send_message(router, to, data),
                Action::SendToAllPeers { data } => {
                    (0..self.routers.len() as u32)
                        .filter(|&to| to != router)
                        .for_each(|to| self.send_message(router, to, data.clone()));
                }
                Action::Log(line) => {
                    self.report.log.push(format!("{:.0} [{router}] {line}", self.now - self.start));
                }
                _ => {}
            }
        }
    }

    /// Sends a message between routers; one in twenty is lost.
    fn send_message(&mut self, from: u32, to: u32, data: Vec<u8>) {
        let (late, lost) = (self.draw.uniform(1.0, 40.0), self.draw.next() % 20 == 0);
        if !self.d.set.peers || data.len() > 256 {
            self.record_violation(format!(
                "a peer message of {} bytes is sent; peer messages allowed: {}",
                data.len(),
                self.d.set.peers
            ));
        } else if !lost {
            self.schedule(self.now + late, Scheduled::Message { to, from, data });
        }
    }

    fn record_answer(&mut self, id: RequestId, count: impl Fn(&mut RunReport)) {
        let counts = id.0 > 0 && self.now >= self.start + WARM_UP_MS;
        let a = self.requests.get_mut(&id).expect("the request is known");
        a.answers += 1;
        if a.answers > 1 {
            self.record_violation(format!("{id:?} is answered twice"));
        } else if counts {
            count(&mut self.report);
        }
    }

    #[allow(
        clippy::too_many_arguments,
        clippy::too_many_lines,
        clippy::many_single_char_names,
        reason = "one check per rule, in the order in which an attempt can break them"
    )]
    fn forward(
        &mut self,
        to: u32,
        id: RequestId,
        cache: &CacheId,
        source: &CacheId,
        until: f64,
        cacheable: bool,
        age: f64,
        join: bool,
    ) {
        let at = |c: &CacheId| self.names.iter().position(|n| n == c).expect("the node is listed");
        let (c, s) = (at(cache), at(source));
        let (caches, n) = (self.d.bandwidths.len(), self.names.len());
        let a = self.requests.get_mut(&id).expect("the request is known");
        let (attempt, key, class, work) =
            (a.attempts, (a.request.object.0, a.request.part), a.request.class, a.request.size_kb);
        let work = work / self.d.set.stream_kb_per_s * 1000.0;
        let (was_out, answered) = (std::mem::replace(&mut a.out, true), a.answers);
        a.attempts += 1;
        let write = self.d.set.classes[class].write;
        if was_out || answered > 0 || attempt >= self.d.set.max_attempts {
            self.record_violation(format!(
                "attempt {attempt} of {id:?} is sent; another is open: {was_out}, answers: {answered}"
            ));
        }
        if c >= caches || s < caches && s != c && self.d.set.neighbours == Neighbours::None {
            self.record_violation(format!("an attempt at {cache:?} with source {source:?} is not allowed"));
        }
        for m in [c, s] {
            if self.notified_out.get(&(to, m)).is_some_and(|t| self.now > t + self.d.set.drain_grace_ms) {
                self.record_violation(format!("{} is used after the drain grace period", self.names[m].0));
            }
        }
        self.sends[c].push((self.now, work));
        let purged = self
            .notified_purge
            .get(&(to, key.0))
            .filter(|p| self.now > p.0 + self.d.set.purge_slack_ms)
            .map(|p| p.1);
        let fresh = self.d.set.classes[class].fresh_ms;
        let age = if age > 0.0 {
            age
        } else if fresh > 0.0 {
            fresh
        } else {
            f64::INFINITY
        };
        let good = |cached: Option<&f64>| cached.filter(|m| self.now - **m <= age).copied();
        let mut flow = Flow {
            to,
            id,
            attempt,
            cache: c,
            links: vec![c],
            starts: self.now + 1.0,
            remaining: work,
            max_rate: 1.0,
            sent: self.now,
            until,
            detail: 1,
            created: 0.0,
            cacheable: cacheable && !write,
            parent: None,
            cancelled: false,
        };
        let open = self.flows.iter().filter(|f| f.cache == c).count() as f64;
        let soon = |ending| Outcome {
            id,
            attempt,
            cache: cache.clone(),
            ending,
            elapsed_ms: 1.0,
            over: false,
            detail: 0,
            fill_wait_ms: 0.0,
            reported_in_flight: None,
        };
        if self.down.contains(&c) {
            return self
                .schedule(self.now + 1.0, Scheduled::Outcome(to, Box::new(soon(Ending::ConnectionRefused))));
        }
        if open > 20.0 + 8.0 * self.bandwidth(c) {
            return self.schedule(self.now + 1.0, Scheduled::Outcome(to, Box::new(soon(Ending::Saturated))));
        }
        let joins = join && self.d.set.join_fills;
        let under_way =
            |f: &&Flow| f.cache == c && f.links.len() > 1 && self.requests[&f.id].request.object.0 == key.0;
        if let Some(created) = good(self.cached[c].get(&key)).filter(|_| !write) {
            flow.created = created;
        } else if let Some(f) =
            self.flows.iter().find(under_way).filter(|f| joins && !write && good(Some(&f.created)).is_some())
        {
            (flow.created, flow.detail, flow.starts) = (f.created, 4, f.starts);
        } else if s == c || s < caches && good(self.cached[s].get(&key)).is_none() {
            return self.schedule(self.now + 2.0, Scheduled::Outcome(to, Box::new(soon(Ending::LookupMiss))));
        } else if s < caches {
            flow.created = self.cached[s][&key];
            (flow.detail, flow.starts) = (2, self.now + 3.0);
            flow.links.push(s);
        } else {
            (flow.detail, flow.starts, flow.created) = (2, self.now + 15.0, self.now);
            flow.links.extend([n, s]);
            if s < n - 1 && !write {
                match good(self.cached[s].get(&key)) {
                    Some(m) => flow.created = m,
                    None => {
                        (flow.detail, flow.parent) = (3, Some(s));
                        flow.starts += 40.0;
                        flow.links.push(n - 1);
                    }
                }
            }
        }
        if purged.is_some_and(|p| flow.created < p) {
            self.record_violation(format!("{id:?} gets a copy of object {:x} from before its purge", key.0));
        }
        if write {
            let a = self.requests.get_mut(&id).expect("the request is known");
            a.ran += 1;
            if a.ran > 1 {
                self.record_violation(format!("the write {id:?} runs twice"));
            }
        }
        self.flows.push(flow);
    }

    fn send_request(&mut self, router: u32) {
        self.ids += 1;
        let (id, dice) = (RequestId(self.ids), self.draw.unit_interval());
        // Roughly Zipf's law: as many requests for objects 1 to 4 as for objects 4 to 16.
        let object =
            if dice < self.d.once { 1_000_000 + self.ids } else { self.draw.log_uniform(1.0, 600.0) as u64 };
        let write = self.draw.unit_interval() < 0.02;
        let class = if write { 2 } else { (object % 2) as usize };
        // An object's size is an eighth to three times a base size; the sizes of class 1 are a third of those
        // of class 0.
        let size = SplitMix64(object ^ self.d.seed).log_uniform(0.125, 3.0) * 0.9 * [1.5, 0.5, 0.2][class];
        let size_kb = size * self.d.work_ms / 1000.0 * self.d.set.stream_kb_per_s;
        let budget_ms = self.d.set.classes[class].deadline_ms;
        let request =
            Request { id, object: ObjectId(object), part: 0, class, size_kb, budget_ms, group: object % 32 };
        let due = self.now + budget_ms;
        self.requests.insert(
            id,
            TrackedRequest { request: request.clone(), due, attempts: 0, out: false, answers: 0, ran: 0 },
        );
        self.report.requests += u32::from(self.now >= self.start + WARM_UP_MS);
        self.handle(router, Event::Request(request));
    }

    fn run_due_events(&mut self) {
        while let Some(first) = self.due.first_entry().filter(|e| e.key().0 as f64 / 1000.0 <= self.now) {
            match first.remove() {
                Scheduled::Timer(r, token) => self.handle(r, Event::Timer { token }),
                Scheduled::Message { to, from, data } => self.handle(to, Event::PeerMessage { from, data }),
                Scheduled::Outcome(r, o) => {
                    self.requests.get_mut(&o.id).expect("the request is known").out = false;
                    self.handle(r, Event::Outcome(*o));
                }
                Scheduled::Notify(r, event) => {
                    match &*event {
                        Event::Endpoints { entries, .. } => {
                            for e in entries {
                                let m = self.names.iter().position(|n| *n == e.cache).expect("a listed node");
                                match e.phase {
                                    Phase::In => self.notified_out.remove(&(r, m)),
                                    _ => self.notified_out.insert((r, m), self.now),
                                };
                            }
                        }
                        Event::Purged { object: Some(o), age_ms, .. } => {
                            self.notified_purge.insert((r, o.0), (self.now, self.now - age_ms));
                        }
                        _ => {}
                    }
                    self.handle(r, *event);
                }
                Scheduled::Stop(c) => {
                    self.down.insert(c);
                    self.cached[c].clear();
                    for f in self.flows.iter_mut().filter(|f| f.cache == c) {
                        f.until = f64::NEG_INFINITY;
                    }
                }
                Scheduled::Restart(c) => {
                    self.down.remove(&c);
                    self.started[c] = self.now;
                    self.sends[c].clear();
                }
                Scheduled::DropCopies(object, before) => {
                    self.cached.iter_mut().for_each(|h| h.retain(|k, m| k.0 != object || *m >= before));
                }
            }
        }
    }

    /// Advances all transfers by one step and ends those that are complete, cancelled or timed out.
    fn advance_flows(&mut self) {
        let n = self.names.len();
        let bandwidths: Vec<f64> = (0..=n).map(|l| self.bandwidth(l)).collect();
        let mut load = vec![0.0; n + 1];
        let active = |f: &&Flow| f.starts <= self.now;
        self.flows.iter().filter(active).for_each(|f| f.links.iter().for_each(|&l| load[l] += 1.0));
        let counts = self.now >= self.start + WARM_UP_MS;
        let mut ended = Vec::new();
        for (i, f) in self.flows.iter_mut().enumerate() {
            if f.starts <= self.now {
                let share = f.links.iter().map(|&l| bandwidths[l] / load[l]).fold(f.max_rate, f64::min);
                let sent = (share * STEP_MS).min(f.remaining);
                f.remaining -= sent;
                if counts {
                    self.report.used[f.cache] += sent / bandwidths[f.cache];
                }
            }
            if f.remaining <= 1e-9 || self.now >= f.until || f.cancelled {
                ended.push(i);
            }
        }
        for i in ended.into_iter().rev() {
            let f = self.flows.swap_remove(i);
            let a = self.requests.get_mut(&f.id).expect("the request is known");
            a.out = false;
            let ending = match () {
                () if f.until == f64::NEG_INFINITY => Ending::ConnectionLost,
                () if f.cancelled => Ending::Cancelled,
                () if f.remaining > 1e-9 => Ending::TimedOut,
                () => Ending::Completed,
            };
            let (over, key, size, class) =
                (ending == Ending::Completed, (a.request.object.0, 0), a.request.size_kb, a.request.class);
            if over {
                let work = size / self.d.set.stream_kb_per_s * 1000.0;
                self.record_answer(f.id, |d| d.served_ms += work);
                if f.cacheable && !self.down.contains(&f.cache) {
                    self.cached[f.cache].insert(key, f.created);
                }
                if let Some(p) = f.parent.filter(|_| !self.d.set.classes[class].write) {
                    self.cached[p].insert(key, f.created);
                }
            }
            let detail = match self.d.set.detail_level {
                DetailLevel::All => f.detail,
                DetailLevel::Hit => {
                    if f.detail == 3 {
                        2
                    } else {
                        f.detail
                    }
                }
                DetailLevel::None => 0,
            };
            let reported_in_flight =
                self.d.reports.then(|| self.flows.iter().filter(|o| o.cache == f.cache).count() as f64);
            let outcome = Outcome {
                id: f.id,
                attempt: f.attempt,
                cache: self.names[f.cache].clone(),
                ending,
                elapsed_ms: self.now - f.sent,
                over,
                detail: if over { detail } else { 0 },
                fill_wait_ms: 0.0,
                reported_in_flight,
            };
            self.handle(f.to, Event::Outcome(outcome));
        }
    }

    fn inject_faults(&mut self, ms: f64) {
        let caches = self.d.bandwidths.len();
        let change = |c: usize, phase, started_ms| {
            let entries = vec![Entry { phase, started_ms, weight: 1.0, ..entry(&format!("c{c}:1"), 1, 0) }];
            Event::Endpoints { kind: ListKind::Delta, entries }
        };
        let at = self.now - self.start - WARM_UP_MS;
        let when = |share: f64| at >= share * ms && at < share * ms + STEP_MS;
        if when(0.2) && caches > 2 {
            self.notify_all(&change(0, Phase::Draining, 0.0), 300.0);
        }
        if when(0.3) && caches > 1 {
            self.schedule(self.now, Scheduled::Stop(caches - 1));
            self.schedule(self.now + 2_000.0, Scheduled::Restart(caches - 1));
            self.notify_all(&change(caches - 1, Phase::Out, 0.0), 400.0);
        }
        if when(0.3 + 2_400.0 / ms) && caches > 1 {
            let started = self.started[caches - 1];
            self.notify_all(&change(caches - 1, Phase::In, started), 400.0);
        }
        if (at / STEP_MS) as u64 % 60 == 0 {
            let object = self.draw.log_uniform(1.0, 600.0) as u64;
            self.schedule(self.now + self.d.set.purge_done_ms, Scheduled::DropCopies(object, self.now));
            for r in 0..self.routers.len() as u32 {
                let late = self.draw.uniform(20.0, 400.0);
                let event =
                    Event::Purged { object: Some(ObjectId(object)), group: object % 32, age_ms: late };
                self.schedule(self.now + late, Scheduled::Notify(r, Box::new(event)));
            }
        }
    }

    /// Runs for `ms` milliseconds after the warm-up, at `load` times the total capacity of the caches' links.
    pub fn run(mut self, load: f64, ms: f64, kind: RunKind) -> RunReport {
        let total: f64 = self.d.bandwidths.iter().sum();
        // Mean work of a request, estimated from both read classes; writes are rare.
        let mean = (0..4_000)
            .map(|o| SplitMix64(o ^ self.d.seed).log_uniform(0.125, 3.0) * 0.9 * [1.5, 0.5][o as usize % 2])
            .sum::<f64>()
            / 4_000.0
            * self.d.work_ms;
        let end = self.start + WARM_UP_MS + ms;
        let mut next = self.now;
        while self.now < end || self.requests.values().any(|a| a.answers == 0) {
            let warm = self.now < self.start + WARM_UP_MS;
            let rate = total / mean * if warm { load.min(0.4) } else { load };
            while next <= self.now && self.now < end {
                next += -(1.0 - self.draw.unit_interval()).ln() / rate;
                let r = self.draw.next() % self.routers.len() as u64;
                self.send_request(r as u32);
            }
            if kind == RunKind::Faults && !warm {
                self.inject_faults(ms);
            }
            self.advance_flows();
            self.now += STEP_MS;
            self.run_due_events();
            let late: Vec<RequestId> = self
                .requests
                .iter()
                .filter(|(_, a)| a.answers == 0 && self.now > a.due + 50.0)
                .map(|a| *a.0)
                .collect();
            for id in late {
                self.record_violation(format!("{id:?} is not answered within its deadline"));
                self.requests.get_mut(&id).expect("the request is known").answers = 1;
            }
            if self.now < end {
                self.requests.retain(|_, a| a.answers == 0 || a.out);
            }
        }
        self.report.used.iter_mut().for_each(|u| *u /= ms);
        self.check_slow_start();
        self.report
    }

    /// Checks that no window that begins with a send to a restarted cache exceeds the slow-start budget.
    fn check_slow_start(&mut self) {
        let set = self.d.set.clone();
        for c in (0..self.d.bandwidths.len()).filter(|&c| self.started[c] > 0.0) {
            let capacity_fraction = |at: f64| {
                (set.slow_start_from
                    + (1.0 - set.slow_start_from) * (at - self.started[c]) / set.slow_start_ms)
                    .min(1.0)
            };
            for (i, s) in
                self.sends[c].iter().enumerate().filter(|s| s.1 .0 < self.started[c] + set.slow_start_ms)
            {
                let window = self.sends[c][i..].iter().take_while(|e| e.0 < s.0 + set.slow_start_window_ms);
                let work: f64 = window.map(|e| e.1).sum();
                let budget = set.slow_start_multiple
                    * self.d.bandwidths[c]
                    * capacity_fraction(s.0 + set.slow_start_window_ms)
                    * set.slow_start_window_ms;
                // The work of four mean requests is always allowed: a large request may fall into a window by
                // chance.
                if work > budget.max(4.0 * self.d.work_ms) {
                    let name = &self.names[c].0;
                    self.report
                        .violations
                        .push(format!("{name} exceeds its slow-start budget: {work:.0} of {budget:.0} ms"));
                    break;
                }
            }
        }
    }
}
