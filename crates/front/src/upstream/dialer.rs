//! Brings a connection up on a coroutine of its own and serves it until it ends.

use crate::failure::{retry_with_backoff, Failure};
use crate::log::Reason;
use crate::reason_counts::{Kind, ReasonCounts};
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

/// A connection is given at least so long to come up.
const MIN_CONNECT_TIMEOUT: Duration = Duration::from_millis(1);

/// A connection that is to be dialled and served.
pub(super) struct Dialer {
    /// The node, for the log.
    pub node: CacheId,
    /// Where it is.
    pub addr: SocketAddr,
    /// The connection is up within this, or was refused.
    pub connect_timeout: Duration,
    /// The connection, which attempts may have been admitted to already.
    pub connection: Arc<Connection>,
    /// Connections in use; this one is given back when it has ended.
    pub open_connections: Arc<AtomicUsize>,
    /// Counts why it ended.
    pub reason_counts: Arc<ReasonCounts>,
}

/// Why a connection ended, and what becomes of an attempt on it that was not written completely.
struct ConnectionEnd {
    reason: Reason,
    unwritten_ending: Ending,
}

impl Dialer {
    /// Starts the connection's coroutine; does not yield.
    pub fn spawn(self) {
        spawn(move || self.run());
    }

    /// Dials and serves the connection. A defect costs this connection alone: its attempts end, and it no longer
    /// counts.
    fn run(&self) {
        let end = catch_unwind(AssertUnwindSafe(|| self.serve()));
        let defect = ConnectionEnd { reason: Reason::Defect, unwritten_ending: Ending::Retracted };
        let ConnectionEnd { reason, unwritten_ending } = end.unwrap_or(defect);
        self.connection.terminate(unwritten_ending);
        self.open_connections.fetch_sub(1, Ordering::Relaxed);
        self.reason_counts.add(Kind::UpstreamClosed, reason.code());
        let (node, addr, requests) = (&self.node.0, self.addr, self.connection.requests());
        tracing::info!(kind = %"upstream", %node, %addr, reason = %reason.code(), asked = requests, "end");
    }

    /// Brings the connection up and reads its answers until it ends.
    fn serve(&self) -> ConnectionEnd {
        let stream = match self.dial() {
            Ok(stream) => stream,
            Err(e) => return ConnectionEnd::of_dial_error(&e),
        };
        self.connection.link.attach(stream);
        let reason = self.connection.link.run(|buffer| self.connection.read_answers(buffer), |_| false);
        ConnectionEnd { reason, unwritten_ending: Ending::Retracted }
    }

    /// Connects, again for a while where this machine lacks something and an attempt still waits.
    fn dial(&self) -> io::Result<TcpStream> {
        let retry = |e: &io::Error| {
            let awaited = self.connection.is_awaited();
            e.kind() != ErrorKind::TimedOut && Failure::of(e).is_transient() && awaited
        };
        let (stream, handshake) = retry_with_backoff(self.connect_timeout, retry, |remaining| {
            let started = Instant::now();
            let stream = TcpStream::connect_timeout(&self.addr, remaining.max(MIN_CONNECT_TIMEOUT))?;
            Ok((stream, started.elapsed()))
        })?;
        self.connection.set_handshake(handshake);
        Ok(stream)
    }
}

impl ConnectionEnd {
    /// Where the connection did not come up. What this front lacks is not held against the node.
    fn of_dial_error(e: &io::Error) -> ConnectionEnd {
        if e.kind() == ErrorKind::TimedOut {
            return ConnectionEnd {
                reason: Reason::ConnectTimeout,
                unwritten_ending: Ending::ConnectionRefused,
            };
        }
        match Failure::of(e) {
            Failure::Descriptors => {
                ConnectionEnd { reason: Reason::NoDescriptor, unwritten_ending: Ending::Retracted }
            }
            Failure::Machine | Failure::Again => {
                ConnectionEnd { reason: Reason::NoRoute, unwritten_ending: Ending::Retracted }
            }
            Failure::Remote => {
                ConnectionEnd { reason: Reason::Refused, unwritten_ending: Ending::ConnectionRefused }
            }
        }
    }
}
