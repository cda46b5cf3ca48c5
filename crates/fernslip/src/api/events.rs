//! Events that the caller passes to the router.

use super::{CacheId, Entry, ListKind, ObjectId, RequestId};
use std::fmt;

/// Something that happened at a router, and that its decisions depend on.
#[derive(Clone, Debug)]
pub enum Event {
    /// The endpoint list, or changes of it.
    Endpoints {
        /// Whether the entries are a complete list or changes.
        kind: ListKind,
        /// Nodes of the list; empty for [`ListKind::Failed`].
        entries: Vec<Entry>,
    },
    /// A client's request arrived.
    Request(Request),
    /// An attempt's answer began to stream to the client, so the client is bound to this attempt.
    Opened {
        /// Id of the request.
        id: RequestId,
        /// Number of the attempt in its request, from 0.
        attempt: u32,
    },
    /// An attempt ended.
    Outcome(Outcome),
    /// The client disconnected, or an answer would be too late for it: the request needs no answer any more.
    Cancelled {
        /// Id of the request.
        id: RequestId,
    },
    /// A timer set by [`crate::Action::Timer`] expired.
    Timer {
        /// Token of the action that set the timer.
        token: u64,
    },
    /// A health check ended. The router requests no health checks and ignores their results.
    HealthChecked {
        /// The node that was checked.
        cache: CacheId,
        /// Result of the check.
        ending: Ending,
    },
    /// A message from another router arrived.
    PeerMessage {
        /// Number of the sending router.
        from: u32,
        /// Encoded message.
        data: Vec<u8>,
    },
    /// Gossip of other routers changed the suspicion of a node.
    PeerSuspicion {
        /// The node that the suspicion is about.
        cache: CacheId,
        /// Suspicion, from -1 (healthy) to 1 (failing); 0: no gossip about the node.
        amount: f64,
    },
    /// An object or a purge group was purged.
    Purged {
        /// The purged object; `None`: all objects of the group.
        object: Option<ObjectId>,
        /// Purge group of the object, or the group that was purged.
        group: u64,
        /// Time since the purge, in milliseconds.
        age_ms: f64,
    },
}

/// A request of a client.
#[derive(Clone, Debug)]
pub struct Request {
    /// Id of the request.
    pub id: RequestId,
    /// The requested object.
    pub object: ObjectId,
    /// Number of the requested part of the object.
    pub part: u32,
    /// Index of the request's class in [`crate::Settings::classes`].
    pub class: usize,
    /// Size of the part in KB; 0: unknown.
    pub size_kb: f64,
    /// Time that the client will wait for its answer, in milliseconds from the time of the event.
    pub budget_ms: f64,
    /// Purge group that the object belongs to.
    pub group: u64,
}

/// The end of an attempt, with the data that its answer gave.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Id of the request.
    pub id: RequestId,
    /// Number of the attempt in its request, from 0 in the order sent.
    pub attempt: u32,
    /// The node that the attempt was sent to.
    pub cache: CacheId,
    /// How the attempt ended.
    pub ending: Ending,
    /// Time from the send of the attempt to its end, in milliseconds.
    pub elapsed_ms: f64,
    /// Whether the request has finished and needs no further attempt.
    pub over: bool,
    /// How the node got the answer, or why it could not, as the code in the node's response; 0: not given.
    pub detail: u8,
    /// Time until the source's first byte or failure, in milliseconds; 0: not given.
    pub fill_wait_ms: f64,
    /// Load report of the cache node: the number of requests of all routers in flight at the node when it
    /// answered. It is out of date on arrival. `None`: its answer gave no report.
    pub reported_in_flight: Option<f64>,
}

/// How an attempt ended.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// The request was served.
    Completed,
    /// The node answered with an error. The request may have run.
    Errored,
    /// The node rejected the attempt before handling it, or the source rejected the fill or was not reached.
    Saturated,
    /// The attempt timed out. The request may have run.
    TimedOut,
    /// No connection to the node could be made. The request never ran.
    ConnectionRefused,
    /// The connection was lost during the attempt. The request may have run.
    ConnectionLost,
    /// The router cancelled the attempt. The request may have run.
    Cancelled,
    /// The node reports that the request is over: its client disconnected, its time expired, or its attempts
    /// are used up. The attempt never ran, and no further one will.
    Superseded,
    /// The front withdrew the attempt before its first byte was sent, because the node or the source drains,
    /// or the connection ended or was never established. The request may be sent to another node.
    Retracted,
    /// The node has no acceptable copy of the object.
    LookupMiss,
}

impl Ending {
    /// The name in log lines. It is stable, because operators' searches and alerts match it.
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

    /// Whether this ending proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        self.never_sent()
            || matches!(self, Ending::Saturated | Ending::ConnectionRefused | Ending::LookupMiss)
    }

    /// Whether the attempt was ended without any node being involved or at fault.
    pub fn never_sent(self) -> bool {
        matches!(self, Ending::Superseded | Ending::Retracted)
    }
}

impl fmt::Debug for Ending {
    /// Writes the stable log name, because log lines print endings in their `Debug` form.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.log_name())
    }
}
