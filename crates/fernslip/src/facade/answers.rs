//! Decisions that the dispatcher returns to a front, and the results that the front reports.

use crate::api::*;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;

/// Identifies the caller of a request. The front chooses a different number for each call of a client: the
/// id of a request comes from the client, so two callers may send the same one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct CallerId(pub u64);

/// An attempt that the front is to make.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Id of the request.
    pub id: RequestId,
    /// Number of the attempt in its request, from 0.
    pub number: u32,
    /// The cache node that the attempt is sent to.
    pub cache: CacheId,
    /// The node that a miss is filled from; `None`: a miss is not to be filled.
    pub source: Option<CacheId>,
    /// Time at which the attempt times out, in milliseconds on the events' clock.
    pub until_ms: f64,
    /// Time by which the attempt's first byte must be written; otherwise the front withdraws the attempt and
    /// reports [`Ending::Retracted`]. Infinite without such a limit.
    pub begin_by_ms: f64,
    /// Rank at which the cache stores the object, from 1 to 3; 0: the cache does not store it.
    pub rank: u8,
    /// Maximum age of an acceptable copy, in milliseconds; 0: the `fresh_ms` of the request's class.
    pub age_ms: f64,
    /// Whether the request may join a fill in flight.
    pub join: bool,
    /// Whether the cache refreshes an ageing copy in the background after it has answered.
    pub renew: bool,
    /// Set when the attempt is cancelled, which may happen before the front begins it.
    pub cancelled: Arc<AtomicBool>,
}

/// What the front is to do with a request next.
#[derive(Clone, Debug)]
pub enum Decision {
    /// The front makes this attempt and reports its end.
    Forward(Attempt),
    /// The front rejects the request, after which the client may safely retry.
    Reject {
        /// Retry-After hint for the client, in milliseconds; 0: no hint.
        retry_after_ms: f64,
    },
    /// The front answers with a failure. The request may have run, so a retry may run it twice.
    Fail,
    /// The request needs no answer any more: it was served, or its client disconnected.
    Finished,
}

/// The end of an attempt, as the front reports it.
#[derive(Clone, Debug)]
pub struct AttemptResult {
    /// Id of the request.
    pub id: RequestId,
    /// Number of the attempt in its request, from 0.
    pub attempt: u32,
    /// The cache node that the attempt was sent to.
    pub cache: CacheId,
    /// How the attempt ended.
    pub ending: Ending,
    /// Time from the send of the attempt to its end, in milliseconds.
    pub elapsed_ms: f64,
    /// How the node got the answer, or why it could not, as the code in the node's response; 0: not given.
    pub detail: u8,
    /// Time until the source's first byte or failure, in milliseconds; 0: not given.
    pub fill_wait_ms: f64,
    /// Load report of the cache node: requests of all fronts in flight there. `None`: its answer gave no
    /// report.
    pub reported_in_flight: Option<f64>,
}

/// Numbers of nodes in the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndpointCounts {
    /// Nodes that are in service or draining.
    pub listed: usize,
    /// Listed nodes that get no new attempts: excluded manually, or draining in the endpoint list.
    pub draining: usize,
}
