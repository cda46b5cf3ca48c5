//! Actions: what a router is to do.

use super::{CacheId, RequestId};

/// What a router's own answers show of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sign {
    /// It refuses connections, loses them or answers with errors.
    Failing,
    /// It answers nothing.
    Silent,
    /// It answers, far slower than its peers.
    Crawling,
    /// It answers as it should, after there was evidence against it.
    Well,
}

/// What the router is to do, in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to a cache node, which fills a miss from `source`.
    Forward {
        /// The request.
        id: RequestId,
        /// Where it goes.
        cache: CacheId,
        /// Where a miss is filled from; the cache itself: nowhere.
        source: CacheId,
        /// Clock time at which the attempt times out, in milliseconds.
        until_ms: f64,
        /// Clock time by which its first byte is written, or it is not made: after it a repeat would run anew. Infinite
        /// for all that may begin at any time.
        begin_by_ms: f64,
        /// 0: pass through; 1 to 3: keep at that rank.
        rank: u8,
        /// Age of the oldest copy that will do, in milliseconds; 0: the class's fresh time.
        age_ms: f64,
        /// Join a fill in flight, if what it brings is young enough for `age_ms`.
        join: bool,
        /// Renew an ageing copy behind the answer.
        renew: bool,
    },
    /// Cancel an attempt; its outcome still comes.
    Cancel {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Final answer: rejected; retrying is harmless.
    Reject {
        /// The request.
        id: RequestId,
        /// Retry-After hint in milliseconds; 0: none.
        retry_after_ms: f64,
    },
    /// Final answer: failed; promises nothing.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Send an [`crate::Event::Timer`] after `delay_ms`.
    Timer {
        /// From now, in milliseconds.
        delay_ms: f64,
        /// Comes back with the event.
        token: u64,
    },
    /// Send at most 256 bytes to one router.
    SendToPeer {
        /// Its number.
        to: u32,
        /// The bytes.
        data: Vec<u8>,
    },
    /// Send at most 256 bytes to every other router.
    SendToAllPeers {
        /// The bytes.
        data: Vec<u8>,
    },
    /// Subscribe to changes of the list.
    Subscribe,
    /// A line for the operators.
    Log(String),
    /// What this router's own answers show of a node, for the others; only after [`crate::Router::enable_evidence`].
    Evidence {
        /// The node.
        cache: CacheId,
        /// What they show.
        sign: Sign,
        /// How sure, from 0 to 1.
        strength: f64,
    },
}
