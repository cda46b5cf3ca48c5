//! The module in blocking style: [`Dispatcher::pick`], [`Dispatcher::report`], [`Dispatcher::tick`].
//!
//! A front hands a request to `pick` and is told what to do with it; it reports how each attempt ended and is told
//! what to do next. Events and actions stay in here. There are no sockets, threads or clocks: time is passed in,
//! and what cannot wait for a return value goes to the front's [`Host`].
//!
//! ```
//! use fernslip::{facade::*, *};
//! use std::sync::Arc;
//!
//! /// A front with one thread, no peers and no log.
//! struct Alone;
//! impl Waiter for Alone {
//!     fn wait(&self) {}
//!     fn wake(&self) {}
//! }
//! impl Host for Alone {
//!     fn waiter(&self) -> Arc<dyn Waiter> {
//!         Arc::new(Alone)
//!     }
//!     fn cancel(&self, _: RequestId, _: u32) {}
//!     fn send_to_peer(&self, _: u32, _: &[u8]) {}
//!     fn send_to_all_peers(&self, _: &[u8]) {}
//!     fn log(&self, _: &str) {}
//! }
//!
//! let config: serde_json::Value = serde_json::from_str(&std::fs::read_to_string("../../examples/config.json")?)?;
//! let (settings, names) = json::settings(&config["settings"])?;
//! let dispatcher = Dispatcher::new(settings, 42, Alone)?;
//! let entry = |name: &str, zone, kind| Entry {
//!     cache: name.into(),
//!     weight: 1.0,
//!     zone: names.zones.iter().position(|z| z == zone),
//!     kind: names.kinds.iter().position(|k| k == kind),
//!     cell: 0,
//!     born_ms: 0.0,
//!     phase: Phase::In,
//! };
//! let entries = vec![entry("cache-1", "edge-1", "standard"), entry("origin-1", "north", "origin")];
//! dispatcher.update_endpoints(0.0, ListKind::Full, entries);
//!
//! let request = Request {
//!     id: RequestId(1),
//!     object: ObjectId(7),
//!     part: 0,
//!     class: 0,
//!     size_kb: 40.0,
//!     budget_ms: 1500.0,
//!     group: 0,
//! };
//! let mut now = 5.0;
//! let mut decision = dispatcher.pick(now, request);
//! while let Decision::Forward(a) = decision {
//!     // Here a front asks `a.cache`, to fill a miss from `a.source`, until `a.until_ms` at the longest.
//!     now += 20.0;
//!     let (id, attempt, cache) = (a.id, a.number, a.cache);
//!     let ending = Ending::Completed;
//!     let ended = AttemptResult { id, attempt, cache, ending, elapsed_ms: 20.0, detail: 2, fill_wait_ms: 0.0, reported_in_flight: None };
//!     decision = dispatcher.report(now, ended);
//! }
//! assert!(matches!(decision, Decision::Finished)); // served: nothing more is owed
//! dispatcher.tick(now);
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

use crate::api::*;
use crate::manual_exclusion::ManualExclusions;
use crate::policy::Router;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// What the dispatcher asks of the front that hosts it. It holds no lock while it calls these, but for `waiter`.
pub trait Host: Send + Sync {
    /// A place to wait in, for the caller of `pick` or `report` whose request is held.
    fn waiter(&self) -> Arc<dyn Waiter>;
    /// Calls an attempt off; its end is still to be reported. [`Attempt::cancelled`] is set already.
    fn cancel(&self, id: RequestId, attempt: u32);
    /// Sends a message to one peer; it may be lost.
    fn send_to_peer(&self, to: u32, data: &[u8]);
    /// Sends a message to all peers; it may be lost.
    fn send_to_all_peers(&self, data: &[u8]);
    /// A line for the operators.
    fn log(&self, line: &str);
    /// These caches drain or are gone from now on: an attempt to one of them, or filled from one, that has not begun is
    /// taken back and reported as [`Ending::Retracted`]. The rule on drains counts to the first byte that is sent, and
    /// a connection may come up long after its attempt was decided on.
    fn draining(&self, _caches: &[CacheId]) {}
    /// What these open requests ask for was purged: an attempt that has not begun is taken back, reported as
    /// [`Ending::Retracted`], and decided on anew. It names the oldest copy that will do as that was before the purge, and
    /// the rule on purges, too, counts to the first byte.
    fn purged(&self, _requests: &[RequestId]) {}
    /// What this front's own answers show of a machine, for other fronts; after [`Dispatcher::enable_evidence`].
    fn evidence(&self, _cache: &CacheId, _sign: Sign, _strength: f64) {}
}

/// A place to wait in, of the front's own kind of thread.
pub trait Waiter: Send + Sync {
    /// Returns once [`Waiter::wake`] was called, be it before; it may also return early.
    fn wait(&self);
    /// Ends the wait.
    fn wake(&self);
}

/// One attempt that is to be made.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The request.
    pub id: RequestId,
    /// Number of the attempt in its request, from 0.
    pub number: u32,
    /// Where it goes.
    pub cache: CacheId,
    /// Where a miss is filled from; `None`: nowhere.
    pub source: Option<CacheId>,
    /// Time at which it is given up.
    pub until_ms: f64,
    /// Time by which its first byte is written, or it is taken back and reported as [`Ending::Retracted`]. Infinite
    /// where it may begin at any time.
    pub begin_by_ms: f64,
    /// 0: pass through; 1 to 3: keep at that rank.
    pub rank: u8,
    /// Oldest copy that will do; 0: the class's fresh time.
    pub age_ms: f64,
    /// Join a fill under way.
    pub join: bool,
    /// Renew an ageing copy behind the answer.
    pub renew: bool,
    /// Set once the attempt was called off, be it before the front has begun with it.
    pub cancelled: Arc<AtomicBool>,
}

/// What to do with a request now.
#[derive(Clone, Debug)]
pub enum Decision {
    /// Make this attempt and report its end.
    Forward(Attempt),
    /// Final answer: refused; trying again is harmless.
    Reject {
        /// When the client may come back; 0: no advice.
        retry_after_ms: f64,
    },
    /// Final answer: failed; promises nothing.
    Fail,
    /// Nothing is owed any more: it was served, or the client left.
    Finished,
}

/// How an attempt ended.
#[derive(Clone, Debug)]
pub struct AttemptResult {
    /// The request.
    pub id: RequestId,
    /// Number of the attempt.
    pub attempt: u32,
    /// Where it went.
    pub cache: CacheId,
    /// How it ended.
    pub ending: Ending,
    /// Time since it was sent.
    pub elapsed_ms: f64,
    /// How it was filled or why not; 0: not told.
    pub detail: u8,
    /// Time to the source's first byte or failure, where told.
    pub fill_wait_ms: f64,
    /// Requests of all fronts that the cache holds, where its answer reports them.
    pub reported_in_flight: Option<f64>,
}

struct Open {
    object: ObjectId,
    group: u64,
    sent: u32,
    over: bool,
    /// What it asks for was purged since its attempt was decided on.
    outdated: bool,
    decided: Option<Decision>,
    waiter: Option<Arc<dyn Waiter>>,
    cancelled: Option<Arc<AtomicBool>>,
}

impl Open {
    fn new(request: &Request) -> Open {
        let (object, group) = (request.object, request.group);
        Open {
            object,
            group,
            sent: 0,
            over: false,
            outdated: false,
            decided: None,
            waiter: None,
            cancelled: None,
        }
    }
}

struct Due(f64, u64);

impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}
impl Eq for Due {}
impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Due {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0).then(self.1.cmp(&other.1))
    }
}

struct Inner {
    router: Router,
    open: HashMap<RequestId, Open>,
    timers: BinaryHeap<Reverse<Due>>,
    exclusions: ManualExclusions,
}

enum Effect {
    Wake(Arc<dyn Waiter>),
    Cancel(RequestId, u32),
    SendToPeer(u32, Vec<u8>),
    SendToAllPeers(Vec<u8>),
    Log(String),
    Evidence(CacheId, Sign, f64),
}

/// The decisions of one router, for callers that wait for them.
pub struct Dispatcher<H: Host> {
    inner: Mutex<Inner>,
    host: H,
}

impl<H: Host> Dispatcher<H> {
    /// A dispatcher that knows no caches yet.
    pub fn new(settings: Settings, seed: u64, host: H) -> Result<Self, SettingsError> {
        let router = Router::new(settings, seed)?;
        let inner = Inner {
            router,
            open: HashMap::new(),
            timers: BinaryHeap::new(),
            exclusions: ManualExclusions::default(),
        };
        Ok(Dispatcher { inner: Mutex::new(inner), host })
    }

    /// The front that hosts it.
    pub fn host(&self) -> &H {
        &self.host
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes a request and tells what to do with it; waits where the module holds it.
    pub fn pick(&self, now_ms: f64, request: Request) -> Decision {
        let id = request.id;
        let effects = {
            let mut inner = self.lock();
            // An id that is open already names another request: this one can't be told from it. Guards against
            // a client that reuses ids; without it the first would lose its answer.
            if inner.open.contains_key(&id) {
                return Decision::Reject { retry_after_ms: 0.0 };
            }
            inner.open.insert(id, Open::new(&request));
            inner.handle(now_ms, Event::Request(request))
        };
        self.carry_out(effects);
        self.decided(id)
    }

    /// Tells how an attempt ended and what to do with its request now; waits where the module holds it.
    pub fn report(&self, now_ms: f64, ended: AttemptResult) -> Decision {
        let AttemptResult {
            id,
            attempt,
            cache,
            ending,
            elapsed_ms,
            detail,
            fill_wait_ms,
            reported_in_flight,
        } = ended;
        let effects = {
            let mut inner = self.lock();
            let Some(open) = inner.open.get_mut(&id) else { return Decision::Finished };
            open.over |= ending == Ending::Completed;
            open.cancelled = None;
            let over = open.over;
            let outcome = Outcome {
                id,
                attempt,
                cache,
                ending,
                elapsed_ms,
                over,
                detail,
                fill_wait_ms,
                reported_in_flight,
            };
            inner.handle(now_ms, Event::Outcome(outcome))
        };
        self.carry_out(effects);
        self.decided(id)
    }

    /// An attempt that [`Decision::Forward`] asked for is not made, and no other is wanted: the front itself ends its
    /// request, for a limit of its own. Nothing is owed for it here any more.
    pub fn abandon(&self, now_ms: f64, attempt: &Attempt) {
        let Attempt { id, number, cache, .. } = attempt;
        let effects = {
            let mut inner = self.lock();
            if inner.open.remove(id).is_none() {
                return;
            }
            let outcome = Outcome {
                id: *id,
                attempt: *number,
                cache: cache.clone(),
                ending: Ending::Retracted,
                elapsed_ms: 0.0,
                over: true,
                detail: 0,
                fill_wait_ms: 0.0,
                reported_in_flight: None,
            };
            inner.handle(now_ms, Event::Outcome(outcome))
        };
        self.carry_out(effects);
    }

    /// The client of a request left: nothing is owed for it.
    pub fn client_disconnected(&self, now_ms: f64, id: RequestId) {
        let (waiter, effects) = {
            let mut inner = self.lock();
            let Some(open) = inner.open.get_mut(&id).filter(|open| !open.over) else { return };
            open.over = true;
            open.decided = Some(Decision::Finished);
            let waiter = open.waiter.take();
            (waiter, inner.handle(now_ms, Event::Cancelled { id }))
        };
        self.carry_out(effects);
        if let Some(w) = waiter {
            w.wake();
        }
    }

    /// Whether an attempt is still wanted: its request is open, and nothing that it asks for was purged since it was
    /// decided on. To be asked again after the attempt is where [`Host::purged`] finds it, and when its first byte is about
    /// to be written.
    pub fn is_wanted(&self, attempt: &Attempt) -> bool {
        let inner = self.lock();
        inner.open.get(&attempt.id).is_some_and(|open| !open.over && !open.outdated)
    }

    /// Whether an attempt's cache and its source are in service; to be asked as [`Dispatcher::is_wanted`], for the sake of
    /// [`Host::draining`].
    pub fn is_in_service(&self, attempt: &Attempt) -> bool {
        let inner = self.lock();
        let serves = |cache: &CacheId| inner.exclusions.is_in_service(cache);
        serves(&attempt.cache) && attempt.source.as_ref().is_none_or(serves)
    }

    /// Since when a cache is not to be sent anything new, in the time of the events; `None`: it may be.
    pub fn out_of_service_since(&self, cache: &CacheId) -> Option<f64> {
        self.lock().exclusions.out_of_service_since(cache)
    }

    /// Runs what is due; when the next is, if any.
    pub fn tick(&self, now_ms: f64) -> Option<f64> {
        loop {
            let due = {
                let mut inner = self.lock();
                match inner.timers.peek() {
                    Some(Reverse(d)) if d.0 <= now_ms => inner.timers.pop().map(|d| d.0 .1),
                    other => return other.map(|d| d.0 .0),
                }
            };
            if let Some(token) = due {
                self.feed(now_ms, Event::Timer { token });
            }
        }
    }

    /// News of the caches. Those out by hand are draining in it.
    pub fn update_endpoints(&self, now_ms: f64, kind: ListKind, mut entries: Vec<Entry>) {
        let (draining, effects) = {
            let mut inner = self.lock();
            inner.exclusions.rewrite(now_ms, kind, &mut entries);
            let drain = |e: &&Entry| e.phase != Phase::In;
            let draining: Vec<CacheId> = entries.iter().filter(drain).map(|e| e.cache.clone()).collect();
            (draining, inner.handle(now_ms, Event::Endpoints { kind, entries }))
        };
        self.carry_out(effects);
        if !draining.is_empty() {
            self.host.draining(&draining);
        }
    }

    /// Takes a listed cache out by hand: from now on it is draining for this router, whatever the list says,
    /// until [`Dispatcher::include`]. Whether a cache of that id is listed; `false` changes nothing.
    pub fn exclude(&self, now_ms: f64, cache: &CacheId) -> bool {
        let effects = {
            let mut inner = self.lock();
            let Some(entry) = inner.exclusions.exclude(now_ms, cache) else { return false };
            inner.handle(now_ms, Event::Endpoints { kind: ListKind::Delta, entries: vec![entry] })
        };
        self.carry_out(effects);
        self.host.draining(std::slice::from_ref(cache));
        true
    }

    /// Puts a cache back that was out by hand, as the list last gave it. Whether the id is listed or was out;
    /// `false` changes nothing.
    pub fn include(&self, now_ms: f64, cache: &CacheId) -> bool {
        let effects = {
            let mut inner = self.lock();
            match inner.exclusions.include(cache) {
                None => return false,
                Some(None) => Vec::new(),
                Some(Some(entry)) => {
                    inner.handle(now_ms, Event::Endpoints { kind: ListKind::Delta, entries: vec![entry] })
                }
            }
        };
        self.carry_out(effects);
        true
    }

    /// Whether a cache of that id is listed.
    pub fn is_listed(&self, cache: &CacheId) -> bool {
        self.lock().exclusions.is_listed(cache)
    }

    /// Takes caches out by hand before they are listed: the set that a front kept across its restart.
    pub fn restore(&self, caches: impl IntoIterator<Item = CacheId>) {
        self.lock().exclusions.restore(caches);
    }

    /// The caches out by hand.
    pub fn excluded(&self) -> Vec<CacheId> {
        self.lock().exclusions.excluded().cloned().collect()
    }

    /// Caches listed, and of them those avoided: out by hand or draining.
    pub fn listed(&self) -> (usize, usize) {
        let inner = self.lock();
        (inner.exclusions.listed_count(), inner.exclusions.avoided_count())
    }

    /// An object, or with `None` a whole group, was purged so long ago.
    pub fn purged(&self, now_ms: f64, object: Option<ObjectId>, group: u64, age_ms: f64) {
        let (ids, effects) = {
            let mut inner = self.lock();
            let concerns = |o: &Open| object.map_or(o.group == group, |object| o.object == object);
            let mut ids = Vec::new();
            for (id, open) in inner.open.iter_mut().filter(|(_, open)| concerns(open)) {
                open.outdated = true;
                ids.push(*id);
            }
            ids.sort_unstable();
            (ids, inner.handle(now_ms, Event::Purged { object, group, age_ms }))
        };
        self.carry_out(effects);
        if !ids.is_empty() {
            self.host.purged(&ids);
        }
    }

    /// What other fronts' words on a machine amount to, from -1 (well) to 1 (failing).
    pub fn peer_suspicion(&self, now_ms: f64, cache: CacheId, amount: f64) {
        self.feed(now_ms, Event::PeerSuspicion { cache, amount });
    }

    /// From now on the host is told what answers show of machines.
    pub fn enable_evidence(&self) {
        self.lock().router.enable_evidence();
    }

    /// A message of a peer.
    pub fn peer_message(&self, now_ms: f64, from: u32, data: Vec<u8>) {
        self.feed(now_ms, Event::PeerMessage { from, data });
    }

    /// How many messages of peers made no sense or came from no router of the tier; they changed nothing.
    pub fn malformed_messages(&self) -> u64 {
        self.lock().router.malformed_messages()
    }

    /// What was given up since the start, by cause.
    pub fn given_up(&self) -> Vec<(&'static str, u64)> {
        self.lock().router.rejections.totals().iter().map(|(why, n)| (*why, *n)).collect()
    }

    /// How many requests are open.
    pub fn open_requests(&self) -> usize {
        self.lock().open.len()
    }

    fn feed(&self, now_ms: f64, event: Event) {
        let effects = self.lock().handle(now_ms, event);
        self.carry_out(effects);
    }

    /// Does, without the lock, what the module wants of the host.
    fn carry_out(&self, effects: Vec<Effect>) {
        for e in effects {
            match e {
                Effect::Wake(w) => w.wake(),
                Effect::Cancel(id, attempt) => self.host.cancel(id, attempt),
                Effect::SendToPeer(to, data) => self.host.send_to_peer(to, &data),
                Effect::SendToAllPeers(data) => self.host.send_to_all_peers(&data),
                Effect::Log(line) => self.host.log(&line),
                Effect::Evidence(cache, sign, strength) => self.host.evidence(&cache, sign, strength),
            }
        }
    }

    /// What was decided on a request; waits for it.
    fn decided(&self, id: RequestId) -> Decision {
        loop {
            let waiter = {
                let mut inner = self.lock();
                let Some(open) = inner.open.get_mut(&id) else { return Decision::Finished };
                let done = if open.over { Some(Decision::Finished) } else { open.decided.take() };
                if let Some(d) = done {
                    if !matches!(d, Decision::Forward(_)) {
                        inner.open.remove(&id);
                    }
                    return d;
                }
                open.waiter.get_or_insert_with(|| self.host.waiter()).clone()
            };
            waiter.wait();
        }
    }
}

impl Inner {
    /// Feeds an event to the module under the lock that the caller holds, so that nothing comes between what the caller
    /// noted and what the module decides; what is to be done without the lock.
    fn handle(&mut self, now_ms: f64, event: Event) -> Vec<Effect> {
        let (mut actions, mut effects) = (Vec::new(), Vec::new());
        self.router.handle(now_ms, event, &mut actions);
        for action in actions {
            self.carry_out(now_ms, action, &mut effects);
        }
        effects
    }

    fn decide(&mut self, id: RequestId, decision: Decision, effects: &mut Vec<Effect>) {
        if let Some(open) = self.open.get_mut(&id).filter(|o| !o.over) {
            open.decided = Some(decision);
            effects.extend(open.waiter.take().map(Effect::Wake));
        }
    }

    fn carry_out(&mut self, now_ms: f64, action: Action, effects: &mut Vec<Effect>) {
        match action {
            Action::Forward { id, cache, source, until_ms, begin_by_ms, rank, age_ms, join, renew } => {
                let Some(open) = self.open.get_mut(&id) else { return };
                let number = open.sent;
                open.sent += 1;
                open.outdated = false;
                let cancelled = Arc::new(AtomicBool::new(false));
                open.cancelled = Some(cancelled.clone());
                let source = Some(source).filter(|s| *s != cache);
                let attempt = Attempt {
                    id,
                    number,
                    cache,
                    source,
                    until_ms,
                    begin_by_ms,
                    rank,
                    age_ms,
                    join,
                    renew,
                    cancelled,
                };
                self.decide(id, Decision::Forward(attempt), effects);
            }
            Action::Reject { id, retry_after_ms } => {
                self.decide(id, Decision::Reject { retry_after_ms }, effects)
            }
            Action::Fail { id } => self.decide(id, Decision::Fail, effects),
            Action::Cancel { id, attempt } => {
                let flag = self.open.get(&id).filter(|o| o.sent == attempt + 1);
                if let Some(flag) = flag.and_then(|o| o.cancelled.as_ref()) {
                    flag.store(true, Ordering::Release);
                    effects.push(Effect::Cancel(id, attempt));
                }
            }
            Action::Timer { delay_ms, token } => self.timers.push(Reverse(Due(now_ms + delay_ms, token))),
            Action::SendToPeer { to, data } => effects.push(Effect::SendToPeer(to, data)),
            Action::SendToAllPeers { data } => effects.push(Effect::SendToAllPeers(data)),
            Action::Log(line) => effects.push(Effect::Log(line)),
            Action::Evidence { cache, sign, strength } => {
                effects.push(Effect::Evidence(cache, sign, strength))
            }
            // Fronts that use this facade are sent the list's changes without asking.
            Action::Subscribe => {}
        }
    }
}
