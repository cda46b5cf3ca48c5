//! The dispatcher's state: the router, the open requests and their decisions, timers and manual exclusions.

use super::{Attempt, Decision, Waiter};
use crate::api::*;
use crate::manual_exclusion::ManualExclusions;
use crate::policy::Router;
use std::cmp::{Ordering, Reverse};
use std::collections::{BinaryHeap, HashMap};
use std::sync::atomic::{AtomicBool, Ordering as MemoryOrdering};
use std::sync::Arc;

/// A request that the front has handed over and that has no final answer yet.
pub(super) struct OpenRequest {
    pub(super) object: ObjectId,
    /// Purge group of the object.
    pub(super) group: u64,
    /// How many attempts were decided on; the next one gets this number.
    pub(super) attempts: u32,
    /// It was served, or its client has disconnected.
    pub(super) over: bool,
    /// Its object was purged since its attempt was decided on.
    pub(super) outdated: bool,
    /// The decision that its caller has not taken yet.
    pub(super) decided: Option<Decision>,
    /// What its caller waits on.
    pub(super) waiter: Option<Arc<dyn Waiter>>,
    /// The flag of the attempt that is out: see [`Attempt::cancelled`].
    pub(super) cancelled: Option<Arc<AtomicBool>>,
}

impl OpenRequest {
    pub(super) fn new(request: &Request) -> OpenRequest {
        let (object, group) = (request.object, request.group);
        OpenRequest {
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
struct DueTimer {
    due_ms: f64,
    token: u64,
}

impl PartialEq for DueTimer {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}
impl Eq for DueTimer {}
impl PartialOrd for DueTimer {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for DueTimer {
    fn cmp(&self, other: &Self) -> Ordering {
        self.due_ms.total_cmp(&other.due_ms).then(self.token.cmp(&other.token))
    }
}

/// All that is behind the dispatcher's lock.
pub(super) struct State {
    pub(super) router: Router,
    pub(super) open: HashMap<RequestId, OpenRequest>,
    timers: BinaryHeap<Reverse<DueTimer>>,
    pub(super) exclusions: ManualExclusions,
}

/// What is to be done once the lock is released.
pub(super) enum HostCall {
    Wake(Arc<dyn Waiter>),
    Cancel { id: RequestId, attempt: u32 },
    SendToPeer { to: u32, data: Vec<u8> },
    SendToAllPeers { data: Vec<u8> },
    Log(String),
    Evidence { cache: CacheId, sign: Sign, strength: f64 },
}

/// What [`State::next_timer`] found.
pub(super) enum NextTimer {
    /// A timer is due; it is taken.
    Due {
        /// The value that comes back with its event.
        token: u64,
    },
    /// None is due; when the next will be, if any.
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

    /// Takes the next timer that is due by `now_ms`; otherwise when the next one will be, if any.
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

    /// Feeds an event to the router under the lock that the caller holds, so that nothing comes between what the caller
    /// noted and what the router decides. Returns what is to be done without the lock.
    pub(super) fn handle(&mut self, now_ms: f64, event: Event) -> Vec<HostCall> {
        let (mut actions, mut calls) = (Vec::new(), Vec::new());
        self.router.handle(now_ms, event, &mut actions);
        for action in actions {
            self.carry_out(now_ms, action, &mut calls);
        }
        calls
    }

    /// Hands a decision to the caller that waits for it, unless the request is over.
    fn decide(&mut self, id: RequestId, decision: Decision, calls: &mut Vec<HostCall>) {
        if let Some(open) = self.open.get_mut(&id).filter(|o| !o.over) {
            open.decided = Some(decision);
            calls.extend(open.waiter.take().map(HostCall::Wake));
        }
    }

    /// Carries an action out in the state, and adds what is to be done once the lock is released.
    fn carry_out(&mut self, now_ms: f64, action: Action, calls: &mut Vec<HostCall>) {
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
                self.decide(id, Decision::Forward(attempt), calls);
            }
            Action::Reject { id, retry_after_ms } => {
                self.decide(id, Decision::Reject { retry_after_ms }, calls);
            }
            Action::Fail { id } => self.decide(id, Decision::Fail, calls),
            Action::Cancel { id, attempt } => {
                let flag = self.open.get(&id).filter(|o| o.attempts == attempt + 1);
                if let Some(flag) = flag.and_then(|o| o.cancelled.as_ref()) {
                    flag.store(true, MemoryOrdering::Release);
                    calls.push(HostCall::Cancel { id, attempt });
                }
            }
            Action::Timer { delay_ms, token } => {
                self.timers.push(Reverse(DueTimer { due_ms: now_ms + delay_ms, token }));
            }
            Action::SendToPeer { to, data } => calls.push(HostCall::SendToPeer { to, data }),
            Action::SendToAllPeers { data } => calls.push(HostCall::SendToAllPeers { data }),
            Action::Log(line) => calls.push(HostCall::Log(line)),
            Action::Evidence { cache, sign, strength } => {
                calls.push(HostCall::Evidence { cache, sign, strength });
            }
            // Fronts that use this facade are sent the list's changes without subscribing.
            Action::Subscribe => {}
        }
    }
}
