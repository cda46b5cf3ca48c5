//! Establishes a connection on its own coroutine and serves it until it ends.

use crate::failure::{retry_with_backoff, Failure};
use crate::log::Reason;
use crate::reason_counts::{EventKind, ReasonCounts};
use crate::spawn::spawn;
use crate::upstream::connection::Connection;
use fernslip::{CacheId, Ending};
use may::net::TcpStream;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Minimum timeout of a single connect call, however little of the connect timeout is left.
const MIN_CONNECT_TIMEOUT: Duration = Duration::from_millis(1);

/// A connection that is to be established and served.
pub(super) struct Dialer {
    /// The node's id, for the log.
    pub node: CacheId,
    /// The node's address.
    pub addr: SocketAddr,
    /// A connection that is not established within this time counts as refused.
    pub connect_timeout: Duration,
    /// The connection; attempts may have been admitted to it already.
    pub connection: Arc<Connection>,
    /// Number of connections in use, over all nodes; decremented when this connection has ended.
    pub open_connections: Arc<AtomicUsize>,
    /// Counts connections that ended, by reason.
    pub reason_counts: Arc<ReasonCounts>,
}

/// Why a connection ended, and how an attempt ends whose request was not written completely on it.
struct ConnectionEnd {
    reason: Reason,
    unwritten_ending: Ending,
}

impl Dialer {
    /// Starts the coroutine that serves the connection. Does not yield.
    pub fn spawn(self) {
        spawn(move || self.run());
    }

    /// Dials and serves the connection. A panic ends only this connection: its attempts end, and it no
    /// longer counts as open.
    fn run(&self) {
        let end = catch_unwind(AssertUnwindSafe(|| self.serve()));
        let panicked = ConnectionEnd { reason: Reason::Panicked, unwritten_ending: Ending::Retracted };
        let ConnectionEnd { reason, unwritten_ending } = end.unwrap_or(panicked);
        self.connection.terminate(unwritten_ending);
        self.open_connections.fetch_sub(1, Ordering::Relaxed);
        self.reason_counts.add(EventKind::UpstreamClosed, reason.code());
        let (node, addr, attempts) = (&self.node.0, self.addr, self.connection.attempts_admitted());
        tracing::info!(kind = %"upstream", %node, %addr, reason = %reason.code(), asked = attempts, "end");
    }

    /// Establishes the connection and reads answers from it until it ends.
    fn serve(&self) -> ConnectionEnd {
        let stream = match self.dial() {
            Ok(stream) => stream,
            Err(e) => return ConnectionEnd::from_dial_error(&e),
        };
        self.connection.link.attach(stream);
        let reason = self
            .connection
            .link
            .run(|buffer, quantum| self.connection.read_answers(buffer, quantum), |_| false);
        ConnectionEnd { reason, unwritten_ending: Ending::Retracted }
    }

    /// Connects to the node. Retries within the connect timeout while this machine lacks a resource and an
    /// attempt still waits.
    fn dial(&self) -> io::Result<TcpStream> {
        let retry = |e: &io::Error| {
            let awaited = self.connection.has_waiting_attempts();
            e.kind() != ErrorKind::TimedOut && Failure::classify(e).is_transient() && awaited
        };
        let (stream, handshake) = retry_with_backoff(self.connect_timeout, retry, |remaining| {
            let started = Instant::now();
            let stream = TcpStream::connect_timeout(&self.addr, remaining.max(MIN_CONNECT_TIMEOUT))?;
            Ok((stream, started.elapsed()))
        })?;
        self.connection.set_handshake_time(handshake);
        Ok(stream)
    }
}

impl ConnectionEnd {
    /// The end of a connection that could not be established. A resource that this front lacks does not
    /// count against the node.
    fn from_dial_error(e: &io::Error) -> ConnectionEnd {
        if e.kind() == ErrorKind::TimedOut {
            return ConnectionEnd {
                reason: Reason::ConnectTimeout,
                unwritten_ending: Ending::ConnectionRefused,
            };
        }
        match Failure::classify(e) {
            Failure::Descriptors => {
                ConnectionEnd { reason: Reason::NoDescriptor, unwritten_ending: Ending::Retracted }
            }
            Failure::Local | Failure::Interrupted => {
                ConnectionEnd { reason: Reason::NoRoute, unwritten_ending: Ending::Retracted }
            }
            Failure::Remote => {
                ConnectionEnd { reason: Reason::Refused, unwritten_ending: Ending::ConnectionRefused }
            }
        }
    }
}
