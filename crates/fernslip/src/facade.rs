//! A blocking interface to the decision logic: [`Dispatcher::pick`], [`Dispatcher::report`],
//! [`Dispatcher::tick`].
//!
//! A front passes a request to `pick`, which returns what to do with it. It then passes the end of each
//! attempt to `report`, which returns what to do next. The dispatcher handles the router's events and actions
//! internally. It uses no sockets, threads or clocks: the caller passes the time, and actions that cannot be
//! returned to the caller go to the front's [`Host`].
//!
//! ```
//! use fernslip::{facade::*, *};
//! use std::sync::Arc;
//!
//! /// A front with one thread, no peers and no log.
//! struct SingleThreadedFront;
//! impl Waiter for SingleThreadedFront {
//!     fn wait(&self) {}
//!     fn wake(&self) {}
//! }
//! impl Host for SingleThreadedFront {
//!     fn waiter(&self) -> Arc<dyn Waiter> {
//!         Arc::new(SingleThreadedFront)
//!     }
//!     fn cancel(&self, _: RequestId, _: u32) {}
//!     fn send_to_peer(&self, _: u32, _: &[u8]) {}
//!     fn send_to_all_peers(&self, _: &[u8]) {}
//!     fn log(&self, _: &str) {}
//! }
//!
//! let config: serde_json::Value =
//!     serde_json::from_str(&std::fs::read_to_string("../../examples/config.json")?)?;
//! let (settings, names) = json::parse_settings(&config["settings"])?;
//! let dispatcher = Dispatcher::new(settings, 42, SingleThreadedFront)?;
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
//! let mut decision = dispatcher.pick(now, request, CallerId(1));
//! while let Decision::Forward(a) = decision {
//!     // Here a front sends the request to `a.cache`, which fills a miss from `a.source`. The attempt times
//!     // out at `a.until_ms`.
//!     now += 20.0;
//!     let (id, attempt, cache) = (a.id, a.number, a.cache);
//!     let ending = Ending::Completed;
//!     let ended = AttemptResult {
//!         id,
//!         attempt,
//!         cache,
//!         ending,
//!         elapsed_ms: 20.0,
//!         detail: 2,
//!         fill_wait_ms: 0.0,
//!         reported_in_flight: None,
//!     };
//!     decision = dispatcher.report(now, ended);
//! }
//! // The request was served, so it needs no further answer.
//! assert!(matches!(decision, Decision::Finished));
//! dispatcher.tick(now);
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod answers;
mod host;
mod state;

pub use answers::{Attempt, AttemptResult, CallerId, Decision, EndpointCounts};
pub use host::{Host, Waiter};

use crate::api::*;
use crate::manual_exclusion::Inclusion;
use crate::policy::Router;
use state::{HostCall, NextTimer, OpenRequest, State};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// A thread-safe router whose callers block until it has decided on their request.
pub struct Dispatcher<H: Host> {
    state: Mutex<State>,
    host: H,
}

impl<H: Host> Dispatcher<H> {
    /// Creates a dispatcher with an empty endpoint list.
    ///
    /// # Errors
    /// A setting is invalid.
    pub fn new(settings: Settings, seed: u64, host: H) -> Result<Self, SettingsError> {
        let router = Router::new(settings, seed)?;
        Ok(Dispatcher { state: Mutex::new(State::new(router)), host })
    }

    /// The front that embeds this dispatcher.
    pub fn host(&self) -> &H {
        &self.host
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Accepts a request of this caller, waits until the router has decided on it, and returns the decision.
    /// Until the request is finished, the caller is its owner: no other caller can cancel the request or take
    /// its id.
    pub fn pick(&self, now_ms: f64, request: Request, caller: CallerId) -> Decision {
        let id = request.id;
        let calls = {
            let mut state = self.lock();
            // A second request with the id of an open one is not accepted. The two could not be
            // distinguished, and the first request would lose its answer. A rejection says that a retry is
            // harmless, which is not so if the open request may have run and must run at most once.
            if let Some(open) = state.open.get(&id) {
                return match open.effect == Effect::AtMostOnce && open.attempts > 0 {
                    true => Decision::Fail,
                    false => Decision::Reject { retry_after_ms: 0.0 },
                };
            }
            let effect = state.router.effect(request.class);
            state.open.insert(id, OpenRequest::new(&request, caller, effect));
            state.handle(now_ms, Event::Request(request))
        };
        self.make_host_calls(calls);
        self.wait_for_decision(id)
    }

    /// Reports the end of an attempt, waits until the router has decided how its request continues, and
    /// returns the decision.
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
        self.make_host_calls(calls);
        self.wait_for_decision(id)
    }

    /// Reports that the front did not make the attempt of a [`Decision::Forward`] and ends the request
    /// itself, because of a limit of its own. The dispatcher makes no further decision on the request.
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
        self.make_host_calls(calls);
    }

    /// Reports that a caller disconnected or cancelled its request, so that the request needs no answer.
    /// Returns whether the caller owned an open request with this id. If not, nothing changes: the request
    /// belongs to another caller that sent the same id, and that caller still waits.
    pub fn client_disconnected(&self, now_ms: f64, id: RequestId, caller: CallerId) -> bool {
        let (waiter, calls) = {
            let mut state = self.lock();
            let owned = state.open.get_mut(&id).filter(|open| open.caller == caller && !open.over);
            let Some(open) = owned else { return false };
            open.over = true;
            open.decided = Some(Decision::Finished);
            let waiter = open.waiter.take();
            (waiter, state.handle(now_ms, Event::Cancelled { id }))
        };
        self.make_host_calls(calls);
        if let Some(waiter) = waiter {
            waiter.wake();
        }
        true
    }

    /// Whether an attempt is still to be made: its request is open, and its object was not purged since the
    /// decision. The front checks this once the attempt is where [`Host::purged`] can find it, and again
    /// right before it writes the first byte.
    pub fn is_wanted(&self, attempt: &Attempt) -> bool {
        let state = self.lock();
        state.open.get(&attempt.id).is_some_and(|open| !open.over && !open.outdated)
    }

    /// Whether an attempt's cache and source are in service. The front checks this once the attempt is where
    /// [`Host::draining`] can find it, and again right before it writes the first byte.
    pub fn is_in_service(&self, attempt: &Attempt) -> bool {
        let state = self.lock();
        let serves = |cache: &CacheId| state.exclusions.is_in_service(cache);
        serves(&attempt.cache) && attempt.source.as_ref().is_none_or(serves)
    }

    /// When a cache left service, in milliseconds on the events' clock. `None`: it is in service, was never
    /// listed, or left service more than an hour ago.
    pub fn out_of_service_since(&self, cache: &CacheId) -> Option<f64> {
        self.lock().exclusions.out_of_service_since(cache)
    }

    /// Runs the timers that are due, and returns when the next one is due, in milliseconds on the events'
    /// clock, if there is one.
    pub fn tick(&self, now_ms: f64) -> Option<f64> {
        loop {
            let next = self.lock().next_timer(now_ms);
            match next {
                NextTimer::Due { token } => self.handle_event(now_ms, Event::Timer { token }),
                NextTimer::Later(due_ms) => return due_ms,
            }
        }
    }

    /// Applies an endpoint list or a change of it. Manually excluded nodes count as draining.
    pub fn update_endpoints(&self, now_ms: f64, kind: ListKind, mut entries: Vec<Entry>) {
        let (draining, calls) = {
            let mut state = self.lock();
            state.exclusions.apply_to_list(now_ms, kind, &mut entries);
            let is_draining = |e: &&Entry| e.phase != Phase::In;
            let draining: Vec<CacheId> =
                entries.iter().filter(is_draining).map(|e| e.cache.clone()).collect();
            (draining, state.handle(now_ms, Event::Endpoints { kind, entries }))
        };
        self.make_host_calls(calls);
        if !draining.is_empty() {
            self.host.draining(&draining);
        }
    }

    /// Excludes a listed node manually: it counts as draining for this router, whatever the endpoint list
    /// says, until [`Dispatcher::include`]. Returns `false` and changes nothing if no node with that id is
    /// listed.
    pub fn exclude(&self, now_ms: f64, cache: &CacheId) -> bool {
        let calls = {
            let mut state = self.lock();
            let Some(entry) = state.exclusions.exclude(now_ms, cache) else { return false };
            state.handle(now_ms, Event::Endpoints { kind: ListKind::Delta, entries: vec![entry] })
        };
        self.make_host_calls(calls);
        self.host.draining(std::slice::from_ref(cache));
        true
    }

    /// Ends the manual exclusion of a node, which then has the state of the endpoint list again. Returns
    /// `false` and changes nothing if the node is neither listed nor excluded.
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
        self.make_host_calls(calls);
        true
    }

    /// Whether a node with that id is in the endpoint list.
    pub fn is_listed(&self, cache: &CacheId) -> bool {
        self.lock().exclusions.is_listed(cache)
    }

    /// Excludes nodes that need not be listed yet: the set that a front persisted across its restart.
    pub fn restore(&self, caches: impl IntoIterator<Item = CacheId>) {
        self.lock().exclusions.restore(caches);
    }

    /// The manually excluded nodes, in ascending order of their ids.
    pub fn excluded(&self) -> Vec<CacheId> {
        self.lock().exclusions.excluded().cloned().collect()
    }

    /// Counts the listed nodes, and those of them that get no new attempts.
    pub fn endpoint_counts(&self) -> EndpointCounts {
        let state = self.lock();
        EndpointCounts {
            listed: state.exclusions.listed_count(),
            draining: state.exclusions.draining_count(),
        }
    }

    /// Reports that an object, or with `None` a whole purge group, was purged `age_ms` milliseconds ago.
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
        self.make_host_calls(calls);
        if !ids.is_empty() {
            self.host.purged(&ids);
        }
    }

    /// Sets the suspicion that other fronts' gossip raises against a node, from -1 (healthy) to 1 (failing).
    pub fn peer_suspicion(&self, now_ms: f64, cache: CacheId, amount: f64) {
        self.handle_event(now_ms, Event::PeerSuspicion { cache, amount });
    }

    /// Enables calls of [`Host::report_evidence`], which are off at first.
    pub fn enable_evidence(&self) {
        self.lock().router.enable_evidence();
    }

    /// Handles a message from the peer with the number `from`.
    pub fn peer_message(&self, now_ms: f64, from: u32, data: Vec<u8>) {
        self.handle_event(now_ms, Event::PeerMessage { from, data });
    }

    /// Number of peer messages that were ignored because they were malformed or came from an unknown router.
    pub fn malformed_messages(&self) -> u64 {
        self.lock().router.malformed_messages()
    }

    /// Number of requests since the start that got no further attempt, by reason.
    pub fn rejection_counts(&self) -> Vec<(&'static str, u64)> {
        self.lock().router.rejections.totals().iter().map(|(reason, count)| (*reason, *count)).collect()
    }

    /// Number of requests that have no final answer yet.
    pub fn open_requests(&self) -> usize {
        self.lock().open.len()
    }

    fn handle_event(&self, now_ms: f64, event: Event) {
        let calls = self.lock().handle(now_ms, event);
        self.make_host_calls(calls);
    }

    /// Makes the host calls that result from the router's actions. The caller must not hold the lock.
    fn make_host_calls(&self, calls: Vec<HostCall>) {
        for call in calls {
            match call {
                HostCall::Wake(waiter) => waiter.wake(),
                HostCall::Cancel { id, attempt } => self.host.cancel(id, attempt),
                HostCall::SendToPeer { to, data } => self.host.send_to_peer(to, &data),
                HostCall::SendToAllPeers { data } => self.host.send_to_all_peers(&data),
                HostCall::Log(line) => self.host.log(&line),
                HostCall::Evidence { cache, sign, strength } => {
                    self.host.report_evidence(&cache, sign, strength);
                }
            }
        }
    }

    /// Waits until there is a decision on a request, and returns it.
    fn wait_for_decision(&self, id: RequestId) -> Decision {
        loop {
            let waiter = {
                let mut state = self.lock();
                let Some(open) = state.open.get_mut(&id) else { return Decision::Finished };
                let decision = if open.over { Some(Decision::Finished) } else { open.decided.take() };
                if let Some(decision) = decision {
                    if !matches!(decision, Decision::Forward(_)) {
                        state.open.remove(&id);
                    }
                    return decision;
                }
                open.waiter.get_or_insert_with(|| self.host.waiter()).clone()
            };
            waiter.wait();
        }
    }
}
