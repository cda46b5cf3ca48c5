//! The decision crate in blocking style: [`Dispatcher::pick`], [`Dispatcher::report`], [`Dispatcher::tick`].
//!
//! A front hands a request to `pick`, which returns what to do with it; it reports how each attempt ended, which
//! returns what to do next. Events and actions stay in here. There are no sockets, threads or clocks: time is passed in,
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
//!     started_ms: 0.0,
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
//! assert!(matches!(decision, Decision::Finished)); // served: no answer is due any more
//! dispatcher.tick(now);
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod answers;
mod host;
mod state;

pub use answers::{Attempt, AttemptResult, Decision, EndpointCounts};
pub use host::{Host, Waiter};

use crate::api::*;
use crate::manual_exclusion::Inclusion;
use crate::policy::Router;
use state::{HostCall, NextTimer, OpenRequest, State};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// The decisions of one router, for callers that wait for them.
pub struct Dispatcher<H: Host> {
    state: Mutex<State>,
    host: H,
}

impl<H: Host> Dispatcher<H> {
    /// A dispatcher that knows no caches yet.
    ///
    /// # Errors
    /// A setting is impossible.
    pub fn new(settings: Settings, seed: u64, host: H) -> Result<Self, SettingsError> {
        let router = Router::new(settings, seed)?;
        Ok(Dispatcher { state: Mutex::new(State::new(router)), host })
    }

    /// The front that hosts it.
    pub fn host(&self) -> &H {
        &self.host
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes a request and decides what to do with it; waits until the router has decided.
    pub fn pick(&self, now_ms: f64, request: Request) -> Decision {
        let id = request.id;
        let calls = {
            let mut state = self.lock();
            // An id that is open already names another request: this one can't be distinguished from it. Guards against
            // a client that reuses ids; without it the first would lose its answer.
            if state.open.contains_key(&id) {
                return Decision::Reject { retry_after_ms: 0.0 };
            }
            state.open.insert(id, OpenRequest::new(&request));
            state.handle(now_ms, Event::Request(request))
        };
        self.carry_out(calls);
        self.decided(id)
    }

    /// Takes how an attempt ended and decides what to do with its request now; waits until the router has decided.
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
        let calls = {
            let mut state = self.lock();
            let Some(open) = state.open.get_mut(&id) else { return Decision::Finished };
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
            state.handle(now_ms, Event::Outcome(outcome))
        };
        self.carry_out(calls);
        self.decided(id)
    }

    /// An attempt that [`Decision::Forward`] called for is not made, and no other is wanted: the front itself ends its
    /// request, for a limit of its own. No answer is due for it here any more.
    pub fn abandon(&self, now_ms: f64, attempt: &Attempt) {
        let Attempt { id, number, cache, .. } = attempt;
        let calls = {
            let mut state = self.lock();
            if state.open.remove(id).is_none() {
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
            state.handle(now_ms, Event::Outcome(outcome))
        };
        self.carry_out(calls);
    }

    /// The client of a request has disconnected: no answer is due.
    pub fn client_disconnected(&self, now_ms: f64, id: RequestId) {
        let (waiter, calls) = {
            let mut state = self.lock();
            let Some(open) = state.open.get_mut(&id).filter(|open| !open.over) else { return };
            open.over = true;
            open.decided = Some(Decision::Finished);
            let waiter = open.waiter.take();
            (waiter, state.handle(now_ms, Event::Cancelled { id }))
        };
        self.carry_out(calls);
        if let Some(w) = waiter {
            w.wake();
        }
    }

    /// Whether an attempt is still wanted: its request is open, and its object was not purged since it was
    /// decided on. To be checked again after the attempt is where [`Host::purged`] finds it, and when its first byte is about
    /// to be written.
    pub fn is_wanted(&self, attempt: &Attempt) -> bool {
        let state = self.lock();
        state.open.get(&attempt.id).is_some_and(|open| !open.over && !open.outdated)
    }

    /// Whether an attempt's cache and its source are in service; to be checked as [`Dispatcher::is_wanted`], for the sake of
    /// [`Host::draining`].
    pub fn is_in_service(&self, attempt: &Attempt) -> bool {
        let state = self.lock();
        let serves = |cache: &CacheId| state.exclusions.is_in_service(cache);
        serves(&attempt.cache) && attempt.source.as_ref().is_none_or(serves)
    }

    /// Since when a cache is not to be sent anything new, in the time of the events; `None`: it may be.
    pub fn out_of_service_since(&self, cache: &CacheId) -> Option<f64> {
        self.lock().exclusions.out_of_service_since(cache)
    }

    /// Runs the timers that are due; returns when the next one will be, in milliseconds, if any.
    pub fn tick(&self, now_ms: f64) -> Option<f64> {
        loop {
            let next = self.lock().next_timer(now_ms);
            match next {
                NextTimer::Due { token } => self.feed(now_ms, Event::Timer { token }),
                NextTimer::Later(due_ms) => return due_ms,
            }
        }
    }

    /// An endpoint list or a change of it. Nodes excluded manually are draining in it.
    pub fn update_endpoints(&self, now_ms: f64, kind: ListKind, mut entries: Vec<Entry>) {
        let (draining, calls) = {
            let mut state = self.lock();
            state.exclusions.rewrite(now_ms, kind, &mut entries);
            let drain = |e: &&Entry| e.phase != Phase::In;
            let draining: Vec<CacheId> = entries.iter().filter(drain).map(|e| e.cache.clone()).collect();
            (draining, state.handle(now_ms, Event::Endpoints { kind, entries }))
        };
        self.carry_out(calls);
        if !draining.is_empty() {
            self.host.draining(&draining);
        }
    }

    /// Excludes a listed node manually: from now on it is draining for this router, whatever the list says,
    /// until [`Dispatcher::include`]. Whether a cache of that id is listed; `false` changes nothing.
    pub fn exclude(&self, now_ms: f64, cache: &CacheId) -> bool {
        let calls = {
            let mut state = self.lock();
            let Some(entry) = state.exclusions.exclude(now_ms, cache) else { return false };
            state.handle(now_ms, Event::Endpoints { kind: ListKind::Delta, entries: vec![entry] })
        };
        self.carry_out(calls);
        self.host.draining(std::slice::from_ref(cache));
        true
    }

    /// Includes a manually excluded node again, as the list last gave it. Whether the id is listed or was excluded;
    /// `false` changes nothing.
    pub fn include(&self, now_ms: f64, cache: &CacheId) -> bool {
        let calls = {
            let mut state = self.lock();
            match state.exclusions.include(cache) {
                Inclusion::Unknown => return false,
                Inclusion::NotListed => Vec::new(),
                Inclusion::Listed(entry) => {
                    state.handle(now_ms, Event::Endpoints { kind: ListKind::Delta, entries: vec![entry] })
                }
            }
        };
        self.carry_out(calls);
        true
    }

    /// Whether a cache of that id is listed.
    pub fn is_listed(&self, cache: &CacheId) -> bool {
        self.lock().exclusions.is_listed(cache)
    }

    /// Excludes nodes before they are listed: the set that a front persisted across its restart.
    pub fn restore(&self, caches: impl IntoIterator<Item = CacheId>) {
        self.lock().exclusions.restore(caches);
    }

    /// The nodes excluded manually, in order.
    pub fn excluded(&self) -> Vec<CacheId> {
        self.lock().exclusions.excluded().cloned().collect()
    }

    /// How many nodes are listed, and how many of them get nothing new.
    pub fn endpoint_counts(&self) -> EndpointCounts {
        let state = self.lock();
        EndpointCounts { listed: state.exclusions.listed_count(), avoided: state.exclusions.avoided_count() }
    }

    /// An object, or with `None` a whole group, was purged so long ago.
    pub fn purged(&self, now_ms: f64, object: Option<ObjectId>, group: u64, age_ms: f64) {
        let (ids, calls) = {
            let mut state = self.lock();
            let concerns = |o: &OpenRequest| object.map_or(o.group == group, |object| o.object == object);
            let mut ids = Vec::new();
            for (id, open) in state.open.iter_mut().filter(|(_, open)| concerns(open)) {
                open.outdated = true;
                ids.push(*id);
            }
            ids.sort_unstable();
            (ids, state.handle(now_ms, Event::Purged { object, group, age_ms }))
        };
        self.carry_out(calls);
        if !ids.is_empty() {
            self.host.purged(&ids);
        }
    }

    /// What other fronts' gossip on a node amounts to, from -1 (well) to 1 (failing).
    pub fn peer_suspicion(&self, now_ms: f64, cache: CacheId, amount: f64) {
        self.feed(now_ms, Event::PeerSuspicion { cache, amount });
    }

    /// From now on the host is notified of what answers show of nodes.
    pub fn enable_evidence(&self) {
        self.lock().router.enable_evidence();
    }

    /// A message of a peer.
    pub fn peer_message(&self, now_ms: f64, from: u32, data: Vec<u8>) {
        self.feed(now_ms, Event::PeerMessage { from, data });
    }

    /// How many messages of peers were malformed or came from no router of the tier; they changed nothing.
    pub fn malformed_messages(&self) -> u64 {
        self.lock().router.malformed_messages()
    }

    /// Requests that got no further attempt since the start, by reason.
    pub fn given_up(&self) -> Vec<(&'static str, u64)> {
        self.lock().router.rejections.totals().iter().map(|(why, n)| (*why, *n)).collect()
    }

    /// How many requests are open.
    pub fn open_requests(&self) -> usize {
        self.lock().open.len()
    }

    fn feed(&self, now_ms: f64, event: Event) {
        let calls = self.lock().handle(now_ms, event);
        self.carry_out(calls);
    }

    /// Makes, without the lock, the calls to the host that the router's actions stand for.
    fn carry_out(&self, calls: Vec<HostCall>) {
        for call in calls {
            match call {
                HostCall::Wake(waiter) => waiter.wake(),
                HostCall::Cancel { id, attempt } => self.host.cancel(id, attempt),
                HostCall::SendToPeer { to, data } => self.host.send_to_peer(to, &data),
                HostCall::SendToAllPeers { data } => self.host.send_to_all_peers(&data),
                HostCall::Log(line) => self.host.log(&line),
                HostCall::Evidence { cache, sign, strength } => self.host.evidence(&cache, sign, strength),
            }
        }
    }

    /// Waits for the decision on a request.
    fn decided(&self, id: RequestId) -> Decision {
        loop {
            let waiter = {
                let mut state = self.lock();
                let Some(open) = state.open.get_mut(&id) else { return Decision::Finished };
                let done = if open.over { Some(Decision::Finished) } else { open.decided.take() };
                if let Some(d) = done {
                    if !matches!(d, Decision::Forward(_)) {
                        state.open.remove(&id);
                    }
                    return d;
                }
                open.waiter.get_or_insert_with(|| self.host.waiter()).clone()
            };
            waiter.wait();
        }
    }
}
