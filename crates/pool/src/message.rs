//! The messages between a pool and its caller: the events it takes, the actions it returns, and the endpoints
//! and counters that these carry.

use crate::health::AttemptOutcome;
use crate::spec::Spec;
use std::sync::Arc;

/// A member's phase for the decision module.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// May be picked.
    Serving,
    /// Takes nothing new, be it by its administrative state, by what traffic shows, or because it is at capacity.
    Draining,
    /// Out of service.
    OutOfService,
}

/// What the endpoint list says of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Notified {
    /// It runs.
    Up,
    /// It drains.
    Draining,
    /// It was removed from the endpoint list, or was never on it.
    Removed,
}

/// A member as the decision module sees it: an endpoint it may pick, or may no longer pick.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Its id.
    pub id: Arc<str>,
    /// Its phase.
    pub phase: Phase,
    /// Its weight relative to the pool's other members.
    pub weight: f64,
    /// When it last started, in milliseconds on the caller's clock; 0: long ago.
    pub started_ms: f64,
}

/// Why a request is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// The queue is full: as many requests wait already as may.
    QueueFull,
    /// It waited in the queue as long as it may.
    QueueTimeout,
}

/// What happens to a pool.
#[derive(Clone, Debug)]
pub enum Event {
    /// The pool's specification changed.
    Reconfigured(Spec),
    /// The endpoint list reports a member.
    Notified {
        /// The member.
        id: Arc<str>,
        /// What the endpoint list says of it.
        state: Notified,
        /// When it last started, in milliseconds on the caller's clock; 0: long ago.
        started_ms: f64,
    },
    /// A request arrives.
    Arrived {
        /// Its number, unique among those in the pool.
        request: u64,
        /// The latest time it may wait until, whatever the pool allows; in milliseconds on the caller's clock.
        wait_until_ms: f64,
    },
    /// A request is over, or its client disconnected.
    Finished {
        /// Its number.
        request: u64,
    },
    /// An attempt goes out.
    AttemptSent {
        /// The request.
        request: u64,
        /// The member.
        id: Arc<str>,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The request.
        request: u64,
        /// The member.
        id: Arc<str>,
        /// How it ended.
        outcome: AttemptOutcome,
    },
    /// A request wants a retry.
    RetryRequested {
        /// Its number.
        request: u64,
    },
    /// Time went by.
    Tick,
}

/// What the caller is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// These endpoints have changed for the decision module.
    Endpoints(Vec<Endpoint>),
    /// The request goes to the decision module.
    Admit {
        /// Its number.
        request: u64,
    },
    /// The request is rejected.
    Reject {
        /// Its number.
        request: u64,
        /// Why it was rejected.
        reason: RejectReason,
    },
    /// The request may have a retry.
    Retry {
        /// Its number.
        request: u64,
    },
    /// It may not retry.
    RetryDenied {
        /// Its number.
        request: u64,
    },
}

/// What a pool has done, for the operators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests admitted.
    pub admitted: u64,
    /// Requests that waited first.
    pub waited: u64,
    /// Requests rejected since the queue was full.
    pub queue_full: u64,
    /// Requests rejected since they timed out in the queue.
    pub timed_out: u64,
    /// Retries allowed.
    pub retries: u64,
    /// Retries denied.
    pub retries_denied: u64,
    /// Members ejected after consecutive failures.
    pub ejections: u64,
    /// Ejected members that recovered.
    pub recoveries: u64,
}
