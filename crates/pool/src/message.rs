//! The messages between a pool and its caller: the events that a pool takes, the actions that it returns, and
//! the endpoints and counters that these carry.

use crate::health::AttemptOutcome;
use crate::spec::PoolSpec;
use std::sync::Arc;

/// Whether the decision module may send requests to a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The member may be picked for requests.
    Serving,
    /// The member receives no new requests: its administrative state forbids it, it is not selected, or it is
    /// at its in-flight limit.
    Draining,
    /// The member is stopped, is not on the endpoint list, or was removed from the pool.
    OutOfService,
}

/// The state of a member according to the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedState {
    /// The member is running.
    Up,
    /// The member is draining.
    Draining,
    /// The member was removed from the endpoint list, or was never on it.
    Removed,
}

/// A member as it is published to the decision module, whether or not it may be picked now.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// The member's id.
    pub id: Arc<str>,
    /// Whether the member may be picked.
    pub phase: Phase,
    /// The member's weight relative to the pool's other members, without a unit.
    pub weight: f64,
    /// When the member last started, in milliseconds on the caller's clock; 0 means long ago.
    pub started_ms: f64,
}

/// Why a pool rejects a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// The request could not be queued: the queue is full, the request may not wait, or its number is in use.
    QueueFull,
    /// The request reached its deadline in the queue before the pool had capacity for it.
    QueueTimeout,
}

/// An input of a pool.
#[derive(Clone, Debug)]
pub enum Event {
    /// The pool's specification was replaced by this one.
    Reconfigured(PoolSpec),
    /// The endpoint list reports the state of a member.
    EndpointReported {
        /// The member's id.
        id: Arc<str>,
        /// The member's state according to the endpoint list.
        state: ListedState,
        /// When the member last started, in milliseconds on the caller's clock; 0 means long ago.
        started_ms: f64,
    },
    /// A request arrived.
    Arrived {
        /// The request's number, unique among the requests in the pool.
        request: u64,
        /// The time in milliseconds on the caller's clock after which the request may not wait, even where
        /// the pool's own limit is longer.
        wait_until_ms: f64,
    },
    /// A request was completed, or its client disconnected.
    Finished {
        /// The request's number.
        request: u64,
    },
    /// An attempt of a request is being sent to a member.
    AttemptSent {
        /// The request's number.
        request: u64,
        /// The id of the member that the attempt is sent to.
        id: Arc<str>,
    },
    /// An attempt of a request at a member ended.
    AttemptEnded {
        /// The request's number.
        request: u64,
        /// The id of the member that the attempt was sent to.
        id: Arc<str>,
        /// How the attempt ended.
        outcome: AttemptOutcome,
    },
    /// The caller asks whether a request may be retried.
    RetryRequested {
        /// The request's number.
        request: u64,
    },
    /// Time has passed and nothing else has happened.
    Tick,
}

/// An output of a pool: what the caller is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Pass these endpoints, whose phase, weight or start time has changed, to the decision module.
    Endpoints(Vec<Endpoint>),
    /// Hand the request to the decision module.
    Admit {
        /// The request's number.
        request: u64,
    },
    /// Reject the request.
    Reject {
        /// The request's number.
        request: u64,
        /// Why the request is rejected.
        reason: RejectReason,
    },
    /// Retry the request.
    Retry {
        /// The request's number.
        request: u64,
    },
    /// Do not retry the request.
    RetryDenied {
        /// The request's number.
        request: u64,
    },
}

/// Counters of a pool since it was created, for operators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolCounts {
    /// Requests admitted, at once or from the queue.
    pub admitted: u64,
    /// Requests that were put into the queue.
    pub waited: u64,
    /// Requests rejected because the queue was full or because they were not allowed to wait.
    pub queue_full: u64,
    /// Requests rejected because they reached their deadline in the queue.
    pub timed_out: u64,
    /// Retries allowed.
    pub retries: u64,
    /// Retries denied.
    pub retries_denied: u64,
    /// Times that a healthy member was ejected after consecutive failures.
    pub ejections: u64,
    /// Times that an ejected member recovered through a half-open probe.
    pub recoveries: u64,
}
