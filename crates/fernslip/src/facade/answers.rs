//! What a front is to do with a request, and what it reports back.

use crate::api::*;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;

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
    /// Time at which it times out, in milliseconds on the events' clock.
    pub until_ms: f64,
    /// Time by which its first byte is written, or it is withdrawn and reported as [`Ending::Retracted`]. Infinite
    /// where it may begin at any time.
    pub begin_by_ms: f64,
    /// 0: pass through; 1 to 3: keep at that rank.
    pub rank: u8,
    /// Age of the oldest copy that will do, in milliseconds; 0: the class's fresh time.
    pub age_ms: f64,
    /// Join a fill in flight.
    pub join: bool,
    /// Renew an ageing copy behind the answer.
    pub renew: bool,
    /// Set once the attempt was cancelled, be it before the front has begun with it.
    pub cancelled: Arc<AtomicBool>,
}

/// What to do with a request now.
#[derive(Clone, Debug)]
pub enum Decision {
    /// Make this attempt and report its end.
    Forward(Attempt),
    /// Final answer: rejected; retrying is harmless.
    Reject {
        /// Retry-After hint in milliseconds; 0: none.
        retry_after_ms: f64,
    },
    /// Final answer: failed; promises nothing.
    Fail,
    /// No answer is due any more: it was served, or the client has disconnected.
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
    /// Time since it was sent, in milliseconds.
    pub elapsed_ms: f64,
    /// How it was filled or why not, by the number of the wire note; 0: not given.
    pub detail: u8,
    /// Time to the source's first byte or failure in milliseconds; 0: not given.
    pub fill_wait_ms: f64,
    /// Load report: requests of all fronts in flight at the cache node, where its answer gives it.
    pub reported_in_flight: Option<f64>,
}

/// Nodes of the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndpointCounts {
    /// In service or draining.
    pub listed: usize,
    /// Of those, the ones that get nothing new: excluded manually, or draining by the list.
    pub avoided: usize,
}
