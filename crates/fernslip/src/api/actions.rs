//! Actions that the caller executes for the router.

use super::{CacheId, RequestId};

/// A node's condition, judged by the attempts that this router made at it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sign {
    /// The node refuses connections, loses them or answers with errors.
    Failing,
    /// The node does not answer.
    Silent,
    /// The node answers far more slowly than its peers.
    Crawling,
    /// The node answers normally after earlier evidence against it.
    Well,
}

/// An instruction to the caller. The actions of one event are executed in the order returned.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sends an attempt of the request to a cache node, which fills a miss from `source`.
    Forward {
        /// Id of the request.
        id: RequestId,
        /// The cache node that the attempt is sent to.
        cache: CacheId,
        /// The node that a miss is filled from. Equal to `cache` if a miss is not to be filled.
        source: CacheId,
        /// Time at which the attempt times out, in milliseconds on the events' clock.
        until_ms: f64,
        /// Time by which the attempt's first byte must be written; otherwise the attempt is dropped, because
        /// the nodes would no longer recognise it as a repeat and would run it again. Infinite without such a
        /// limit.
        begin_by_ms: f64,
        /// Rank at which the cache stores the object, from 1 to 3; 0: the cache does not store it.
        rank: u8,
        /// Maximum age of an acceptable copy, in milliseconds; 0: the `fresh_ms` of the request's class.
        age_ms: f64,
        /// Whether the request may join a fill in flight whose copy will be young enough for `age_ms`.
        join: bool,
        /// Whether the cache refreshes an ageing copy in the background after it has answered.
        renew: bool,
    },
    /// Cancels an attempt. The caller still reports its outcome.
    Cancel {
        /// Id of the request.
        id: RequestId,
        /// Number of the attempt in its request, from 0.
        attempt: u32,
    },
    /// Ends the request with a rejection, after which the client may safely retry.
    Reject {
        /// Id of the request.
        id: RequestId,
        /// Retry-After hint for the client, in milliseconds; 0: no hint.
        retry_after_ms: f64,
    },
    /// Ends the request with a failure. The request may have run, so a retry may run it twice.
    Fail {
        /// Id of the request.
        id: RequestId,
    },
    /// Sets a timer: the caller passes one [`crate::Event::Timer`] after `delay_ms`.
    Timer {
        /// Delay from the time of the current event, in milliseconds.
        delay_ms: f64,
        /// Value that the timer's event carries.
        token: u64,
    },
    /// Sends a message of at most 256 bytes to one other router.
    SendToPeer {
        /// Number of the receiving router.
        to: u32,
        /// Encoded message.
        data: Vec<u8>,
    },
    /// Sends a message of at most 256 bytes to every other router.
    SendToAllPeers {
        /// Encoded message.
        data: Vec<u8>,
    },
    /// Subscribes to changes of the endpoint list.
    Subscribe,
    /// Writes a line to the operators' log.
    Log(String),
    /// Passes evidence on a node, from this router's own attempts, to the other routers. Returned only after
    /// [`crate::Router::enable_evidence`].
    Evidence {
        /// The node that the evidence is about.
        cache: CacheId,
        /// Condition that the node's answers show.
        sign: Sign,
        /// Confidence in the evidence, from 0 to 1.
        strength: f64,
    },
}
