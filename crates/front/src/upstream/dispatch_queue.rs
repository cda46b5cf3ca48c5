//! A queue for each pool: the pool before the decision module, the module, and the one list that passes between them.
//! A front without a site document has a single queue without a pool.

use crate::clock::Clock;
use crate::dispatch_host::DispatchHost;
use crate::link::lock;
use crate::plan::{AnswerTimeouts, Plan, PlannedMember};
use crate::sleep;
use crate::upstream::connection_pool::ConnectionPool;
use arc_swap::ArcSwap;
use fernslip::facade::{Attempt, Dispatcher};
use fernslip::{CacheId, Ending, Entry, ListKind, RequestId, Settings, SettingsError};
use fernslip_pool::{Action, AttemptOutcome, Endpoint, Event, Notified, Phase, Pool, Routed, Routes, Spec};
use fernslip_site::State;
use may::sync::Blocker;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// When a request that a pool has no room for may come back, in milliseconds, where clients heed it: as the module's
/// own hints.
const PAUSE_MS: f64 = 400.0;
/// A waiting request looks again after so long, should a wake be lost.
const LOOK: Duration = Duration::from_millis(500);

/// Whoever asked for something, and whether they still wait for it.
#[derive(Default)]
pub struct Caller {
    disconnected: AtomicBool,
    /// When that was noticed.
    disconnected_at: Mutex<Option<Instant>>,
    /// Where the request waits for a place in its pool.
    waits: Mutex<Option<Arc<Blocker>>>,
}

impl Caller {
    /// They do not wait any more; a wait for a place ends at once.
    pub fn disconnect(&self) {
        lock(&self.disconnected_at).get_or_insert_with(Instant::now);
        self.disconnected.store(true, Ordering::Release);
        if let Some(blocker) = lock(&self.waits).take() {
            blocker.unpark();
        }
    }

    /// Whether they have left.
    pub fn is_disconnected(&self) -> bool {
        self.disconnected.load(Ordering::Acquire)
    }

    /// When it was noticed that they have left; `None`: they have not.
    pub fn disconnected_at(&self) -> Option<Instant> {
        *lock(&self.disconnected_at)
    }
}

/// Where a request waits for a place.
struct QueuedRequest {
    blocker: Arc<Blocker>,
    admitted: Mutex<Option<bool>>,
}

/// A pool and what the module was told of it.
struct PoolState {
    pool: Pool,
    /// What was handed out last, by id.
    endpoints: BTreeMap<Arc<str>, Endpoint>,
    /// The mean of the pool's weights: weights are relative, the module's are links.
    mean: f64,
    seats: HashMap<u64, Arc<QueuedRequest>>,
}

/// One pool's way through the front.
pub struct DispatchQueue {
    /// The pool's name; empty: there are no pools.
    pub name: String,
    /// The decisions.
    pub dispatcher: Dispatcher<DispatchHost>,
    held: Option<Mutex<PoolState>>,
    answers: ArcSwap<AnswerTimeouts>,
}

/// A request's place in a pool; it ends with this.
pub struct Permit {
    queue: Arc<DispatchQueue>,
    number: u64,
    clock: Clock,
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.queue.feed(&self.clock, Event::Finished { request: self.number });
    }
}

/// What the module is told of an attempt's end, as the pool sees it. A machine that is crowded, slow or in error is
/// the module's to judge, which compares it with its fellows; a pool acts on connections alone.
fn end(ending: Ending) -> AttemptOutcome {
    match ending {
        Ending::Completed | Ending::LookupMiss => AttemptOutcome::Success,
        Ending::ConnectionRefused => AttemptOutcome::ConnectionRefused,
        Ending::ConnectionLost => AttemptOutcome::Failure,
        _ => AttemptOutcome::Inconclusive,
    }
}

impl Permit {
    /// An attempt goes out.
    pub fn attempt_sent(&self, attempt: &Attempt) {
        let id = attempt.cache.0.clone();
        self.queue.feed(&self.clock, Event::AttemptSent { request: self.number, id });
    }

    /// It ended.
    pub fn attempt_ended(&self, attempt: &Attempt, ending: Ending) {
        let id = attempt.cache.0.clone();
        self.queue.feed(&self.clock, Event::AttemptEnded { request: self.number, id, outcome: end(ending) });
    }

    /// When an attempt that begins now ends at the latest, by the pool's and the member's own limits.
    pub fn deadline(&self, attempt: &Attempt, now: Instant, by: Instant) -> Instant {
        let most = self.queue.answers.load().of_member_ms(&attempt.cache.0);
        most.map_or(by, |ms| by.min(now + Duration::from_millis(ms)))
    }

    /// Whether a further attempt may be made; if so, it is counted.
    pub fn try_retry(&self) -> bool {
        let left = self.queue.feed(&self.clock, Event::RetryRequested { request: self.number });
        self.queue.held.is_none() || left.iter().any(|a| matches!(a, Action::Retry { .. }))
    }
}

impl DispatchQueue {
    /// Whether a pool stands before the decisions.
    pub fn has_pool(&self) -> bool {
        self.held.is_some()
    }

    /// Feeds the pool and carries out what it says; what is the caller's to see comes back.
    fn feed(&self, clock: &Clock, event: Event) -> Vec<Action> {
        let Some(held) = &self.held else { return Vec::new() };
        // PoolState until the module has the list, so that two changes reach it in their order; nothing here yields.
        let mut held = lock(held);
        let held = &mut *held;
        let mut actions = Vec::new();
        held.pool.handle(clock.now(), event, &mut actions);
        actions.retain(|a| match a {
            Action::Endpoints(changed) => {
                self.hand_out(clock, held, changed);
                false
            }
            Action::Admit { request } | Action::Reject { request, .. } => {
                if let Some(seat) = held.seats.remove(request) {
                    *lock(&seat.admitted) = Some(matches!(a, Action::Admit { .. }));
                    seat.blocker.unpark();
                }
                false
            }
            Action::Retry { .. } | Action::RetryDenied { .. } => true,
        });
        actions
    }

    fn hand_out(&self, clock: &Clock, held: &mut PoolState, changed: &[Endpoint]) {
        let entries = changed.iter().map(|m| self.dispatcher.host().entry(m, held.mean)).collect();
        self.dispatcher.update_endpoints(clock.now(), ListKind::Delta, entries);
        for m in changed {
            held.endpoints.insert(m.id.clone(), m.clone());
        }
        held.endpoints.retain(|_, m| m.phase != Phase::OutOfService);
    }

    /// Takes a new description up.
    fn describe(&self, clock: &Clock, spec: Spec) {
        let Some(held) = &self.held else { return };
        let mean = mean(&spec);
        let again = {
            let mut held = lock(held);
            let changed = held.mean != mean;
            held.mean = mean;
            changed
        };
        self.feed(clock, Event::Reconfigured(spec));
        if again {
            // All shares are others now, also those of members that did not change.
            let mut held = lock(held);
            let all: Vec<Endpoint> = held.endpoints.values().cloned().collect();
            self.hand_out(clock, &mut held, &all);
        }
    }

    /// Takes a place in the pool, waiting for one if the pool lets it wait; `None`: it is turned away, or its caller left.
    pub fn acquire(
        self: &Arc<DispatchQueue>,
        clock: &Clock,
        wait_until: f64,
        caller: &Caller,
    ) -> Option<Permit> {
        static NUMBERS: AtomicU64 = AtomicU64::new(0);
        let number = NUMBERS.fetch_add(1, Ordering::Relaxed);
        let place = Permit { queue: self.clone(), number, clock: *clock };
        let Some(held) = &self.held else { return Some(place) };
        let seat = Arc::new(QueuedRequest { blocker: Blocker::current(), admitted: Mutex::default() });
        lock(held).seats.insert(number, seat.clone());
        *lock(&caller.waits) = Some(seat.blocker.clone());
        self.feed(clock, Event::Arrived { request: number, wait_until_ms: wait_until });
        loop {
            // Its place in the queue is free with that: others would wait behind a request that nobody wants.
            if caller.is_disconnected() {
                lock(held).seats.remove(&number);
                return None;
            }
            let admitted = *lock(&seat.admitted);
            if let Some(admitted) = admitted {
                return admitted.then_some(place);
            }
            sleep::park(&seat.blocker, LOOK);
        }
    }

    /// Requests that wait for a place in the pool.
    pub fn waiting(&self) -> usize {
        self.held.as_ref().map_or(0, |held| lock(held).seats.len())
    }

    /// Runs what is due; when the next is, if any.
    pub fn tick(&self, clock: &Clock) -> Option<f64> {
        let pool = self.held.as_ref().and_then(|held| {
            let due = lock(held).pool.wake_at();
            if due.is_some_and(|at| at <= clock.now()) {
                self.feed(clock, Event::Tick);
            }
            lock(held).pool.wake_at()
        });
        [self.dispatcher.tick(clock.now()), pool].into_iter().flatten().reduce(f64::min)
    }
}

fn mean(spec: &Spec) -> f64 {
    let n = spec.members.len().max(1) as f64;
    spec.members.iter().map(|p| p.weight).sum::<f64>() / n
}

/// What is known of the machines that pools name, beside what pools know.
#[derive(Default)]
pub struct NodeRegistry {
    /// By id.
    all: Mutex<HashMap<Arc<str>, NodeAttributes>>,
}

#[derive(Clone)]
struct NodeAttributes {
    zone: Option<usize>,
    kind: Option<usize>,
    cell: i64,
    link: f64,
}

impl NodeRegistry {
    /// A pool's machine as the module's list has it; `mean` is that of the pool's weights.
    pub fn entry(&self, m: &Endpoint, mean: f64) -> Entry {
        let all = lock(&self.all);
        let f = all.get(&m.id);
        Entry {
            cache: CacheId(m.id.clone()),
            weight: f.map_or(1.0, |f| f.link) * m.weight / if mean > 0.0 { mean } else { 1.0 },
            zone: f.and_then(|f| f.zone),
            kind: f.and_then(|f| f.kind),
            cell: f.map_or(0, |f| f.cell),
            born_ms: m.started_ms,
            phase: match m.phase {
                Phase::Serving => fernslip::Phase::In,
                Phase::Draining => fernslip::Phase::Draining,
                Phase::OutOfService => fernslip::Phase::Out,
            },
        }
    }
}

/// All queues of a front.
pub struct DispatchQueues {
    queues: Vec<Arc<DispatchQueue>>,
    /// Routes, and the queue of each of their pools.
    table: ArcSwap<(Routes, Vec<usize>)>,
    registry: Arc<NodeRegistry>,
    /// The document's members, where they are served from.
    file: Option<Mutex<BTreeMap<Arc<str>, PlannedMember>>>,
    /// What the bus has listed, for pools.
    listed: Mutex<HashMap<CacheId, Entry>>,
    /// Requests open in any queue: an id may be open once.
    ids: Mutex<HashSet<RequestId>>,
    open: AtomicUsize,
    most_open: usize,
    shared: u32,
    longest_pause: f64,
}

/// A request's id, which no other has as long as this lives.
pub struct Id<'l>(&'l DispatchQueues, RequestId);

impl Drop for Id<'_> {
    fn drop(&mut self) {
        lock(&self.0.ids).remove(&self.1);
        self.0.open.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Settings of one queue of several: what a machine can take is shared among all that send to it, so each queue counts
/// as a front of its own.
fn settings(base: &Settings, queues: usize, queue: usize, shared: u32) -> Settings {
    let mut s = base.clone();
    if queues > 1 {
        s.routers *= queues as u32;
        s.slot = s.slot * queues as u32 + queue as u32;
        s.zone_routers.iter_mut().for_each(|n| *n *= shared);
        // Peers of one front's queues can't be told apart by their address.
        s.peers = false;
    }
    s
}

impl DispatchQueues {
    /// The queues of a plan, or the one of a front without; `ways` makes a way out for each.
    pub fn new(
        base: &Settings,
        seed: u64,
        plan: Option<Plan>,
        registry: Arc<NodeRegistry>,
        ways: impl Fn() -> DispatchHost,
    ) -> Result<DispatchQueues, SettingsError> {
        let none = Plan {
            from_file: false,
            members: BTreeMap::new(),
            pools: Vec::new(),
            answers: Vec::new(),
            routes: Routes::of(&fernslip_site::Site::default()),
            max_pools_per_cache: 1,
        };
        let Plan { from_file, members, pools, answers, routes, max_pools_per_cache: shared } =
            plan.unwrap_or(none);
        let n = pools.len();
        let mut queues = Vec::new();
        for (i, (spec, answers)) in pools.into_iter().zip(answers).enumerate() {
            let dispatcher = Dispatcher::new(settings(base, n, i, shared), seed ^ i as u64, ways())?;
            let name = spec.name.clone();
            let mean = mean(&spec);
            let pool = match from_file {
                true => Pool::new(spec, seed),
                false => Pool::awaiting_endpoint_list(spec, seed),
            };
            let held = PoolState { pool, endpoints: BTreeMap::new(), mean, seats: HashMap::new() };
            let (held, answers) = (Some(Mutex::new(held)), ArcSwap::from_pointee(answers));
            queues.push(Arc::new(DispatchQueue { name, dispatcher, held, answers }));
        }
        if queues.is_empty() {
            let dispatcher = Dispatcher::new(base.clone(), seed, ways())?;
            let answers = ArcSwap::default();
            queues.push(Arc::new(DispatchQueue { name: String::new(), dispatcher, held: None, answers }));
        }
        Ok(DispatchQueues {
            table: ArcSwap::from_pointee((routes, (0..n).collect())),
            queues,
            registry,
            file: from_file.then(|| Mutex::new(members)),
            listed: Mutex::default(),
            ids: Mutex::default(),
            open: AtomicUsize::new(0),
            most_open: base.max_in_flight as usize,
            shared,
            longest_pause: base.max_retry_after_ms,
        })
    }

    /// Every queue.
    pub fn all(&self) -> &[Arc<DispatchQueue>] {
        &self.queues
    }

    /// The document's members, where they are served from.
    pub fn members(&self) -> Option<Vec<CacheId>> {
        self.file.as_ref().map(|f| lock(f).keys().map(|id| CacheId(id.clone())).collect())
    }

    /// Whether the members are the document's.
    pub fn members_from_file(&self) -> bool {
        self.file.is_some()
    }

    /// When a request that was turned away may come back.
    pub fn retry_after_ms(&self) -> f64 {
        PAUSE_MS.min(self.longest_pause)
    }

    /// The queue of a request of that class for that object; `None`: no route leads anywhere. A request of this
    /// protocol has no host and no path: its path is `/CLASS/OBJECT`.
    pub fn route(&self, class: &str, object: &str) -> Option<&Arc<DispatchQueue>> {
        let table = self.table.load();
        let (routes, pools) = &**table;
        if routes.is_empty() {
            return self.queues.first();
        }
        match routes.route("", &format!("/{class}/{object}")) {
            Routed::Pool(n) => pools.get(n).and_then(|queue| self.queues.get(*queue)),
            Routed::Excluded | Routed::Unrouted => None,
        }
    }

    /// Takes an id; `None`: it is open already, or too many are. One queue's module sees to both by itself.
    pub fn reserve(&self, id: RequestId) -> Option<Id<'_>> {
        let fresh = self.queues.len() == 1 || lock(&self.ids).insert(id);
        let open = self.open.fetch_add(1, Ordering::Relaxed);
        let taken = Id(self, id);
        if !fresh {
            // The other's stays.
            self.open.fetch_sub(1, Ordering::Relaxed);
            std::mem::forget(taken);
            return None;
        }
        (self.queues.len() == 1 || open < self.most_open).then_some(taken)
    }

    /// Begins to serve from the document's members: each queue's first list is a whole one.
    pub fn start(&self, clock: &Clock, upstream: &ConnectionPool) {
        let Some(file) = &self.file else {
            for queue in self.queues.iter().filter(|l| l.held.is_some()) {
                queue.dispatcher.update_endpoints(clock.now(), ListKind::Full, Vec::new());
            }
            return;
        };
        let members = lock(file).clone();
        self.learn(&members);
        for (id, k) in &members {
            upstream.add_node(CacheId(id.clone()), k.addr, 0.0);
            upstream.set_timeouts(&CacheId(id.clone()), k.timeouts);
        }
        let sources: Vec<Entry> =
            members.iter().filter(|(_, k)| k.is_source).map(|(id, k)| source(id, k, 0.0)).collect();
        for queue in &self.queues {
            queue.dispatcher.update_endpoints(clock.now(), ListKind::Full, sources.clone());
            queue.feed(clock, Event::Tick);
        }
    }

    fn learn(&self, members: &BTreeMap<Arc<str>, PlannedMember>) {
        let facts = |k: &PlannedMember| NodeAttributes { zone: k.zone, kind: k.kind, cell: 0, link: k.link };
        *lock(&self.registry.all) = members.iter().map(|(id, k)| (id.clone(), facts(k))).collect();
    }

    /// News of the bus. Pools are told of their members and have the last word; sources go to every queue.
    pub fn apply_endpoint_list(&self, clock: &Clock, full: bool, entries: Vec<Entry>) {
        if self.members_from_file() {
            return;
        }
        let kind = if full { ListKind::Full } else { ListKind::Delta };
        if let [queue] = &self.queues[..] {
            if queue.held.is_none() {
                return queue.dispatcher.update_endpoints(clock.now(), kind, entries);
            }
        }
        let mut news = entries;
        {
            let mut listed = lock(&self.listed);
            if full {
                let here: HashSet<CacheId> = news.iter().map(|e| e.cache.clone()).collect();
                let gone = listed.values().filter(|e| !here.contains(&e.cache)).cloned();
                let gone: Vec<Entry> = gone.map(|e| Entry { phase: fernslip::Phase::Out, ..e }).collect();
                news.extend(gone);
            }
            let mut all = lock(&self.registry.all);
            for e in &news {
                if e.phase == fernslip::Phase::Out {
                    listed.remove(&e.cache);
                } else {
                    listed.insert(e.cache.clone(), e.clone());
                }
                let facts = NodeAttributes { zone: e.zone, kind: e.kind, cell: e.cell, link: e.weight };
                all.insert(e.cache.0.clone(), facts);
            }
        }
        self.pass_on(clock, &news);
        // What has gone from the list is forgotten here too, once the queues know.
        let listed = lock(&self.listed);
        lock(&self.registry.all).retain(|id, _| listed.contains_key(&CacheId(id.clone())));
    }

    fn pass_on(&self, clock: &Clock, news: &[Entry]) {
        for queue in &self.queues {
            let host = queue.dispatcher.host();
            let sources = news.iter().filter(|e| host.is_source(e.kind)).cloned().collect::<Vec<_>>();
            if !sources.is_empty() {
                queue.dispatcher.update_endpoints(clock.now(), ListKind::Delta, sources);
            }
            for e in news.iter().filter(|e| !host.is_source(e.kind)) {
                let told = match e.phase {
                    fernslip::Phase::In => Notified::Up,
                    fernslip::Phase::Draining => Notified::Draining,
                    fernslip::Phase::Out => Notified::Removed,
                };
                queue.feed(
                    clock,
                    Event::Notified { id: e.cache.0.clone(), state: told, started_ms: e.born_ms },
                );
            }
        }
    }

    /// Takes a changed document up by its difference; what has changed, or why it can't be taken up.
    pub fn apply_plan(&self, clock: &Clock, upstream: &ConnectionPool, plan: Plan) -> Result<String, String> {
        if plan.from_file != self.members_from_file() {
            return Err("where the members come from takes a restart".into());
        }
        let queue = |name: &str| self.queues.iter().position(|l| l.name == name);
        let places: Option<Vec<usize>> = plan.pools.iter().map(|p| queue(&p.name)).collect();
        let Some(places) = places.filter(|p| p.len() == self.queues.len()) else {
            return Err("pools that come or go take a restart".into());
        };
        if plan.max_pools_per_cache > self.shared {
            return Err("a member that is in more pools than any was takes a restart".into());
        }
        let mut told = String::new();
        if let Some(file) = &self.file {
            told = self.members_change(clock, upstream, &mut lock(file), &plan.members);
        }
        for ((spec, answers), place) in plan.pools.into_iter().zip(plan.answers).zip(&places) {
            self.queues[*place].answers.store(Arc::new(answers));
            self.queues[*place].describe(clock, spec);
        }
        if let Some(file) = &self.file {
            // Only now is nothing sent there any more.
            let mut held = lock(file);
            for id in held.keys().filter(|id| !plan.members.contains_key(*id)) {
                upstream.remove_node(&CacheId(id.clone()));
            }
            *held = plan.members;
            self.learn(&held);
        } else {
            let listed: Vec<Entry> = lock(&self.listed).values().cloned().collect();
            self.pass_on(clock, &listed);
        }
        self.table.store(Arc::new((plan.routes, places)));
        Ok(told)
    }

    /// New members, other addresses, and sources; members of pools drain and go with their pools' descriptions.
    fn members_change(
        &self,
        clock: &Clock,
        upstream: &ConnectionPool,
        old: &mut BTreeMap<Arc<str>, PlannedMember>,
        new: &BTreeMap<Arc<str>, PlannedMember>,
    ) -> String {
        let now = clock.now();
        let (mut added, mut moved, mut changed) = (0, 0, 0);
        let mut sources = Vec::new();
        let mut facts = old.clone();
        facts.extend(new.iter().map(|(id, k)| (id.clone(), k.clone())));
        self.learn(&facts);
        for (id, k) in new {
            let cache = CacheId(id.clone());
            let before = old.get(id);
            if before == Some(k) {
                continue;
            }
            let elsewhere = before.is_some_and(|b| b.addr != k.addr);
            added += u32::from(before.is_none());
            moved += u32::from(elsewhere);
            changed += u32::from(before.is_some() && !elsewhere);
            let back = before.is_some_and(|b| b.state == State::Stopped);
            let fresh = before.is_none() || elsewhere || back;
            if before.is_none() || elsewhere {
                upstream.add_node(cache.clone(), k.addr, now);
            }
            upstream.set_timeouts(&cache, k.timeouts);
            if k.is_source {
                // One that comes, or comes back, may have just started.
                sources.push(source(id, k, if fresh { now } else { 0.0 }));
            } else if elsewhere {
                for queue in &self.queues {
                    queue.feed(
                        clock,
                        Event::Notified { id: id.clone(), state: Notified::Up, started_ms: now },
                    );
                }
            }
        }
        let gone = old.iter().filter(|(id, _)| !new.contains_key(*id));
        let mut lost = 0;
        for (id, k) in gone {
            lost += 1;
            if k.is_source {
                sources.push(Entry { phase: fernslip::Phase::Out, ..source(id, k, 0.0) });
            }
        }
        if !sources.is_empty() {
            for queue in &self.queues {
                queue.dispatcher.update_endpoints(now, ListKind::Delta, sources.clone());
            }
        }
        format!("members added={added} gone={lost} moved={moved} changed={changed}")
    }
}

/// A parent or the origin as the module's list has it.
fn source(id: &Arc<str>, k: &PlannedMember, born_ms: f64) -> Entry {
    Entry {
        cache: CacheId(id.clone()),
        weight: k.link,
        zone: k.zone,
        kind: k.kind,
        cell: 0,
        born_ms,
        phase: match k.state {
            State::Draining => fernslip::Phase::Draining,
            State::Stopped => fernslip::Phase::Out,
            _ => fernslip::Phase::In,
        },
    }
}

#[cfg(test)]
mod tests;
