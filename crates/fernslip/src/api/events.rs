//! Events: what the decision crate is notified of.

use super::{CacheId, Entry, ListKind, ObjectId, RequestId};
use std::fmt;

/// What has happened at a router.
#[derive(Clone, Debug)]
pub enum Event {
    /// A change of the endpoint list, or a complete list.
    Endpoints {
        /// What the entries are.
        kind: ListKind,
        /// The entries.
        entries: Vec<Entry>,
    },
    /// A client's request has come.
    Request(Request),
    /// A streamed answer has begun: the attempt belongs to the client now.
    Opened {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// An attempt ended.
    Outcome(Outcome),
    /// The client has disconnected, or the answer would be too late: no answer is due any more.
    Cancelled {
        /// The request.
        id: RequestId,
    },
    /// A timer has expired.
    Timer {
        /// The value given when it was set.
        token: u64,
    },
    /// A health check ended; the decision crate requests none and ignores it.
    HealthChecked {
        /// The cache.
        cache: CacheId,
        /// How it ended.
        ending: Ending,
    },
    /// A message of another router.
    PeerMessage {
        /// Number of the sender.
        from: u32,
        /// The bytes.
        data: Vec<u8>,
    },
    /// What other routers' gossip on a node amounts to now.
    PeerSuspicion {
        /// The node.
        cache: CacheId,
        /// Suspicion from -1 (well) to 1 (failing); 0: no gossip.
        amount: f64,
    },
    /// An object, or a whole group, was purged.
    Purged {
        /// The object; `None`: all of the group.
        object: Option<ObjectId>,
        /// The group.
        group: u64,
        /// How long ago, in milliseconds.
        age_ms: f64,
    },
}

/// A client's request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// The object it names.
    pub object: ObjectId,
    /// The part of it.
    pub part: u32,
    /// Index into [`crate::Settings::classes`].
    pub class: usize,
    /// Size of the part in KB; 0: not known.
    pub size_kb: f64,
    /// How long the client waits for this request from now, in milliseconds.
    pub budget_ms: f64,
    /// Purge group of the object.
    pub group: u64,
}

/// How an attempt ended, in full.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The request.
    pub id: RequestId,
    /// Number of the attempt, in the order sent, from 0.
    pub attempt: u32,
    /// The node that it was sent to.
    pub cache: CacheId,
    /// How it ended.
    pub ending: Ending,
    /// Time since it was sent, in milliseconds.
    pub elapsed_ms: f64,
    /// The request has finished: it needs no further attempt.
    pub over: bool,
    /// How it was filled or why not, by the number of the wire note; 0: not given.
    pub detail: u8,
    /// Time to the source's first byte or failure in milliseconds; 0: not given.
    pub fill_wait_ms: f64,
    /// Load report: requests of all routers in flight at the cache node, as its answer gives it; late and not exact.
    pub reported_in_flight: Option<f64>,
}

/// How an attempt ended.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// Served.
    Completed,
    /// An error; it may have run.
    Errored,
    /// Rejected before it was handled, or its source rejected it or was not reached.
    Saturated,
    /// It timed out; it may have run.
    TimedOut,
    /// No connection; it never ran.
    ConnectionRefused,
    /// The connection broke; it may have run.
    ConnectionLost,
    /// Cancelled; it may have run.
    Cancelled,
    /// The node says that the request is over: its client has
    /// disconnected, its time has expired, or it had all its attempts.
    /// It never ran, and no further attempt will.
    Superseded,
    /// The front withdrew it before its first byte: its node or source drains, or its connection ended or never was. It
    /// may go elsewhere.
    Retracted,
    /// The node has no suitable copy.
    LookupMiss,
}

impl Ending {
    /// The name in log lines, which is stable: it is the one that operators' searches and alerts know.
    fn log_name(self) -> &'static str {
        match self {
            Ending::Completed => "Completed",
            Ending::Errored => "Errored",
            Ending::Saturated => "Saturated",
            Ending::TimedOut => "Overdue",
            Ending::ConnectionRefused => "RefusedConn",
            Ending::ConnectionLost => "Severed",
            Ending::Cancelled => "Recalled",
            Ending::Superseded => "Superseded",
            Ending::Retracted => "Retracted",
            Ending::LookupMiss => "LookupMiss",
        }
    }

    /// Whether it proves that the request never ran.
    pub fn never_ran(self) -> bool {
        self.never_sent()
            || matches!(self, Ending::Saturated | Ending::ConnectionRefused | Ending::LookupMiss)
    }

    /// Whether no node has had anything to do with it, nor is one to blame.
    pub fn never_sent(self) -> bool {
        matches!(self, Ending::Superseded | Ending::Retracted)
    }
}

impl fmt::Debug for Ending {
    /// Log lines print an ending in this form, so it gives the stable name of one.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.log_name())
    }
}
