//! State of the dispatcher: the router, open requests and their decisions, timers and manual exclusions.

use super::{Attempt, CallerId, Decision, Waiter};
use crate::api::*;
use crate::manual_exclusion::ManualExclusions;
use crate::policy::Router;
use std::cmp::{Ordering, Reverse};
use std::collections::{BinaryHeap, HashMap};
use std::sync::atomic::{AtomicBool, Ordering as MemoryOrdering};
use std::sync::Arc;

/// A request that was passed to the dispatcher and has no final answer yet.
pub(super) struct OpenRequest {
    /// Owner of the request.
    pub(super) caller: CallerId,
    /// Whether the request may be repeated.
    pub(super) effect: Effect,
    pub(super) object: ObjectId,
    /// Purge group that the object belongs to.
    pub(super) group: u64,
    /// Number of attempts decided on so far, which is the number of the next attempt.
    pub(super) attempts: u32,
    /// Whether the request was served or its client disconnected.
    pub(super) over: bool,
    /// Whether the object was purged since the decision on the latest attempt.
    pub(super) outdated: bool,
    /// The latest decision, until the caller that waits for it takes it.
    pub(super) decided: Option<Decision>,
    /// Object on which the caller waits for a decision; `None` if no caller waits.
    pub(super) waiter: Option<Arc<dyn Waiter>>,
    /// The [`Attempt::cancelled`] flag of the attempt in flight.
    pub(super) cancelled: Option<Arc<AtomicBool>>,
}

impl OpenRequest {
    pub(super) fn new(request: &Request, caller: CallerId, effect: Effect) -> OpenRequest {
        let (object, group) = (request.object, request.group);
        OpenRequest {
            caller,
            effect,
            object,
            group,
            attempts: 0,
            over: false,
            outdated: false,
            decided: None,
            waiter: None,
            cancelled: None,
        }
    }
}

/// A timer, ordered by its due time and then its token.
struct ScheduledTimer {
    due_ms: f64,
    token: u64,
}

impl PartialEq for ScheduledTimer {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}
impl Eq for ScheduledTimer {}
impl PartialOrd for ScheduledTimer {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for ScheduledTimer {
    fn cmp(&self, other: &Self) -> Ordering {
        self.due_ms.total_cmp(&other.due_ms).then(self.token.cmp(&other.token))
    }
}

/// State that the dispatcher's lock protects.
pub(super) struct State {
    pub(super) router: Router,
    pub(super) open: HashMap<RequestId, OpenRequest>,
    timers: BinaryHeap<Reverse<ScheduledTimer>>,
    pub(super) exclusions: ManualExclusions,
}

/// A call to the host or a waiter, made after the lock is released.
pub(super) enum HostCall {
    Wake(Arc<dyn Waiter>),
    Cancel { id: RequestId, attempt: u32 },
    SendToPeer { to: u32, data: Vec<u8> },
    SendToAllPeers { data: Vec<u8> },
    Log(String),
    Evidence { cache: CacheId, sign: Sign, strength: f64 },
}

/// Result of [`State::next_timer`].
pub(super) enum NextTimer {
    /// A timer is due and was removed from the queue.
    Due {
        /// Value that the timer's event carries.
        token: u64,
    },
    /// No timer is due. Holds the time at which the next one is due, if there is one.
    Later(Option<f64>),
}

impl State {
    pub(super) fn new(router: Router) -> State {
        State {
            router,
            open: HashMap::new(),
            timers: BinaryHeap::new(),
            exclusions: ManualExclusions::default(),
        }
    }

    /// Removes and returns the next timer that is due by `now_ms`, or returns when the next one is due.
    pub(super) fn next_timer(&mut self, now_ms: f64) -> NextTimer {
        match self.timers.peek() {
            Some(Reverse(timer)) if timer.due_ms <= now_ms => {
                let token = timer.token;
                self.timers.pop();
                NextTimer::Due { token }
            }
            next => NextTimer::Later(next.map(|Reverse(timer)| timer.due_ms)),
        }
    }

    /// Passes an event to the router, and returns the calls to make after the lock is released. The caller
    /// must hold the lock from its update of the state until this call, so that no other change comes before
    /// the router's decision.
    pub(super) fn handle(&mut self, now_ms: f64, event: Event) -> Vec<HostCall> {
        let (mut actions, mut calls) = (Vec::new(), Vec::new());
        self.router.handle(now_ms, event, &mut actions);
        for action in actions {
            self.apply_action(now_ms, action, &mut calls);
        }
        calls
    }

    /// Stores a decision and wakes the caller that waits for it, unless the request is over.
    fn deliver_decision(&mut self, id: RequestId, decision: Decision, calls: &mut Vec<HostCall>) {
        if let Some(open) = self.open.get_mut(&id).filter(|o| !o.over) {
            open.decided = Some(decision);
            calls.extend(open.waiter.take().map(HostCall::Wake));
        }
    }

    /// Applies an action to the state, and adds the calls to make after the lock is released.
    fn apply_action(&mut self, now_ms: f64, action: Action, calls: &mut Vec<HostCall>) {
        match action {
            Action::Forward { id, cache, source, until_ms, begin_by_ms, rank, age_ms, join, renew } => {
                let Some(open) = self.open.get_mut(&id) else { return };
                let number = open.attempts;
                open.attempts += 1;
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
                self.deliver_decision(id, Decision::Forward(attempt), calls);
            }
            Action::Reject { id, retry_after_ms } => {
                self.deliver_decision(id, Decision::Reject { retry_after_ms }, calls);
            }
            Action::Fail { id } => self.deliver_decision(id, Decision::Fail, calls),
            Action::Cancel { id, attempt } => {
                let flag = self.open.get(&id).filter(|o| o.attempts == attempt + 1);
                if let Some(flag) = flag.and_then(|o| o.cancelled.as_ref()) {
                    flag.store(true, MemoryOrdering::Release);
                    calls.push(HostCall::Cancel { id, attempt });
                }
            }
            Action::Timer { delay_ms, token } => {
                self.timers.push(Reverse(ScheduledTimer { due_ms: now_ms + delay_ms, token }));
            }
            Action::SendToPeer { to, data } => calls.push(HostCall::SendToPeer { to, data }),
            Action::SendToAllPeers { data } => calls.push(HostCall::SendToAllPeers { data }),
            Action::Log(line) => calls.push(HostCall::Log(line)),
            Action::Evidence { cache, sign, strength } => {
                calls.push(HostCall::Evidence { cache, sign, strength });
            }
            // Fronts that use this facade receive changes of the endpoint list without subscribing.
            Action::Subscribe => {}
        }
    }
}
