//! The connections to cache nodes, parents and the origin: few for each, many attempts on one.
//!
//! An attempt's coroutine makes it with [`ConnectionPool::execute`] and waits there for its result; each connection has a
//! coroutine of its own (`dialer.rs`). Only `execute` yields, and no lock is held across that. Locks are taken in the
//! order nodes, connection state, link.

use crate::invariants::{Invariant, Invariants};
use crate::log::Reason;
use crate::reason_counts::{Kind, ReasonCounts};
use crate::sleep;
use crate::sync::lock;
use crate::upstream::completed_attempt::CompletedAttempt;
use crate::upstream::connection::{Connection, Load};
use crate::upstream::dialer::Dialer;
use crate::upstream::in_flight_attempt::InFlightAttempt;
use crate::upstream::pending_attempt::{AttemptTimes, PendingAttempt};
use fernslip::facade::Attempt;
use fernslip::{CacheId, Ending, RequestId};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Part of the time after which a node closes an idle connection: closed by the front before that, no request crosses the
/// close.
const IDLE_FRACTION: f64 = 0.6;
/// A connection takes so many attempts before another is made, while there may be more connections: a connection that
/// fails ends all attempts that share it.
const PREFERRED_STREAMS: usize = 2;

/// Limits of the deployment.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// Attempts in flight on one connection.
    pub streams: usize,
    /// A connection that is not up by then was refused.
    pub connect_timeout: Duration,
    /// Nodes close a connection that is idle for so long.
    pub idle: Duration,
    /// Connections to all nodes together.
    pub connections: usize,
}

/// A node's own time-outs; `None`: those of the deployment.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Timeouts {
    /// A connection that is not up by then was refused.
    pub connect: Option<Duration>,
    /// The node closes a connection that is idle for so long.
    pub idle: Option<Duration>,
}

/// A node and the connections to it.
struct NodeConnections {
    addr: SocketAddr,
    /// When the node's process started, in milliseconds of the module's clock.
    started_ms: f64,
    connections: Vec<Arc<Connection>>,
    timeouts: Timeouts,
}

/// All connections to cache nodes, parents and the origin.
pub struct ConnectionPool {
    limits: ConnectionLimits,
    nodes: Mutex<HashMap<CacheId, NodeConnections>>,
    /// Connections to nodes that were removed or replaced; closed once nothing is in flight on them.
    retired: Mutex<Vec<Arc<Connection>>>,
    /// By the request: it has one attempt in flight at a time.
    attempts: Mutex<HashMap<RequestId, Arc<InFlightAttempt>>>,
    open_connections: Arc<AtomicUsize>,
    invariants: Arc<Invariants>,
    reason_counts: Arc<ReasonCounts>,
}

impl ConnectionPool {
    /// A pool that knows no node yet.
    pub fn new(
        limits: ConnectionLimits,
        invariants: Arc<Invariants>,
        reason_counts: Arc<ReasonCounts>,
    ) -> ConnectionPool {
        ConnectionPool {
            limits,
            nodes: Mutex::default(),
            retired: Mutex::default(),
            attempts: Mutex::default(),
            open_connections: Arc::default(),
            invariants,
            reason_counts,
        }
    }

    /// A node is at that address. A new address or start is a new process: the old connections are not used again.
    pub fn add_node(&self, id: CacheId, addr: SocketAddr, started_ms: f64) {
        let replaced = {
            let mut nodes = lock(&self.nodes);
            match nodes.get(&id) {
                Some(n) if n.addr == addr && n.started_ms == started_ms => None,
                _ => {
                    let (connections, timeouts) = (Vec::new(), Timeouts::default());
                    nodes.insert(id, NodeConnections { addr, started_ms, connections, timeouts })
                }
            }
        };
        self.retire(replaced);
    }

    /// Sets a node's own time-outs, from its next connection on; does nothing for a node that is not known.
    pub fn set_timeouts(&self, id: &CacheId, timeouts: Timeouts) {
        if let Some(node) = lock(&self.nodes).get_mut(id) {
            node.timeouts = timeouts;
        }
    }

    /// A node has departed; its address may belong to another from now on.
    pub fn remove_node(&self, id: &CacheId) {
        let removed = lock(&self.nodes).remove(id);
        self.drain_nodes(std::slice::from_ref(id));
        self.retire(removed);
    }

    /// Removes all nodes but these.
    pub fn retain_nodes(&self, ids: &[CacheId]) {
        let departed: Vec<CacheId> = lock(&self.nodes).keys().filter(|k| !ids.contains(k)).cloned().collect();
        departed.iter().for_each(|id| self.remove_node(id));
    }

    /// Takes a node's connections out of use: each is closed once nothing is in flight on it.
    fn retire(&self, node: Option<NodeConnections>) {
        let connections: Vec<Arc<Connection>> = node.into_iter().flat_map(|n| n.connections).collect();
        // What waits there for its connection would come to whoever has the address by then.
        for connection in &connections {
            connection.withdraw_all();
        }
        lock(&self.retired).extend(connections);
    }

    /// Those nodes drain: attempts that are to go there, or to be filled from there, and have not begun are withdrawn.
    /// Guards the grace for draining nodes, which counts to a request's first byte, against connections that come up late.
    pub fn drain_nodes(&self, ids: &[CacheId]) {
        for attempt in lock(&self.attempts).values() {
            if ids.iter().any(|id| *id == attempt.cache || Some(id) == attempt.source.as_ref()) {
                attempt.withdraw();
            }
        }
    }

    /// Withdraws the request's attempt if it has not begun: nobody waits for it any more, or it was decided on before a
    /// purge of what it requests. One that has begun is the module's to cancel.
    pub fn withdraw(&self, id: RequestId) {
        if let Some(attempt) = lock(&self.attempts).get(&id) {
            attempt.withdraw();
        }
    }

    /// Wakes an attempt that was cancelled.
    pub fn cancel(&self, id: RequestId, number: u32) {
        if let Some(attempt) = lock(&self.attempts).get(&id).filter(|a| a.number == number) {
            attempt.blocker.unpark();
        }
    }

    /// Attempts in flight.
    pub fn attempts_in_flight(&self) -> usize {
        lock(&self.attempts).len()
    }

    /// Makes an attempt and waits for its result, within `times`; `trace` names its request at the node, `client_tag` the
    /// client's own copy. An attempt that still waits, and may not begin any more when it could, is not made. Yields.
    pub fn execute(
        &self,
        attempt: &Attempt,
        trace: &str,
        client_tag: Option<String>,
        times: AttemptTimes,
        pending: Arc<dyn PendingAttempt>,
    ) -> CompletedAttempt {
        let in_flight = Arc::new(InFlightAttempt::new(attempt, client_tag, pending));
        let other = lock(&self.attempts).insert(attempt.id, in_flight.clone());
        self.invariants.check(Invariant::OneAttempt, other.is_none(), || {
            format!("trace={trace} n={} while another is out", attempt.number)
        });
        let result = self.send_and_wait(attempt, &in_flight, trace, times);
        lock(&self.attempts).remove(&attempt.id);
        let progress = in_flight.progress();
        CompletedAttempt {
            first_byte_at: progress.first_byte_at,
            fully_written: progress.fully_written,
            ..result
        }
    }

    /// Sends the attempt over a connection, if it may still begin, and waits for its result. Yields.
    fn send_and_wait(
        &self,
        attempt: &Attempt,
        in_flight: &Arc<InFlightAttempt>,
        trace: &str,
        mut times: AttemptTimes,
    ) -> CompletedAttempt {
        let now = Instant::now();
        if let Err(denied) = in_flight.pending.check(now) {
            self.reason_counts.add(Kind::Denied, denied.name());
            return CompletedAttempt::without_answer(denied.ending());
        }
        let connection = match self.checkout(attempt, in_flight) {
            Ok(connection) => connection,
            Err(ending) => return CompletedAttempt::without_answer(ending),
        };
        let bytes = in_flight.pending.bytes(now);
        if connection.link.send_gated(bytes, attempt.id.0, in_flight.clone()).is_none() {
            connection.complete(attempt.id, CompletedAttempt::without_answer(Ending::Retracted));
        }
        loop {
            if let Some(result) = in_flight.take_result() {
                return result;
            }
            self.advance(attempt, in_flight, &connection, trace, &mut times);
        }
    }

    /// One step of an attempt that has no result: ends it if it was denied, withdrawn, cancelled or has timed out, or waits
    /// until it is woken or the next of these is due.
    fn advance(
        &self,
        attempt: &Attempt,
        in_flight: &InFlightAttempt,
        connection: &Connection,
        trace: &str,
        times: &mut AttemptTimes,
    ) {
        if let Some(denied) = in_flight.progress().denied {
            self.reason_counts.add(Kind::Denied, denied.name());
            connection.complete(attempt.id, CompletedAttempt::without_answer(denied.ending()));
            return;
        }
        let now = Instant::now();
        let remaining = times.deadline.saturating_duration_since(now);
        // Whether it has begun is looked at once: what has begun goes on.
        let begins_late = times.begin_by.take_if(|by| now >= *by).is_some();
        let withdrawn = in_flight.take_withdrawal();
        if (withdrawn || begins_late) && connection.retract(attempt.id) {
            return;
        }
        let ending = if attempt.cancelled.load(Ordering::Acquire) {
            Ending::Cancelled
        } else if remaining.is_zero() {
            Ending::TimedOut
        } else {
            let begin = times.begin_by.map_or(remaining, |by| by.saturating_duration_since(now));
            sleep::park(&in_flight.blocker, remaining.min(begin));
            return;
        };
        if let Some(delay) = connection.cancel(attempt.id, trace, ending) {
            sleep::sleep(delay);
        }
    }

    /// Admits the attempt to a connection, be it one that is still coming up: one that few share and that is responsive, or
    /// a new one while there may be more, or the one that fewest share.
    ///
    /// # Errors
    /// How the attempt ends: its node is not known, or no connection can be had.
    fn checkout(
        &self,
        attempt: &Attempt,
        in_flight: &Arc<InFlightAttempt>,
    ) -> Result<Arc<Connection>, Ending> {
        let mut nodes = lock(&self.nodes);
        let nodes_in_use = nodes.values().filter(|n| !n.connections.is_empty()).count();
        let fair_quota = (self.limits.connections / (nodes_in_use + 1)).max(1);
        let node = nodes.get_mut(&attempt.cache).ok_or(Ending::ConnectionRefused)?;
        node.connections.retain(|c| !c.is_closed());
        let now = Instant::now();
        let mut by_load: Vec<(Load, &Arc<Connection>)> =
            node.connections.iter().map(|c| (c.load(now), c)).collect();
        let preferred = by_load.iter().find(|(load, c)| {
            !load.unresponsive
                && load.in_flight < PREFERRED_STREAMS
                && c.admit(attempt.id, in_flight, PREFERRED_STREAMS)
        });
        if let Some((_, connection)) = preferred {
            return Ok((*connection).clone());
        }
        let full = self.open_connections.load(Ordering::Relaxed) >= self.limits.connections;
        if full || by_load.len() >= fair_quota {
            by_load.sort_by_key(|(load, _)| *load);
            let least = by_load.iter().find(|(_, c)| c.admit(attempt.id, in_flight, self.limits.streams));
            if let Some((_, connection)) = least {
                return Ok((*connection).clone());
            }
        }
        if full && !close_longest_idle(&nodes) {
            // The front's own limit: nothing to hold against the node.
            return Err(Ending::Retracted);
        }
        let node = nodes.get_mut(&attempt.cache).ok_or(Ending::ConnectionRefused)?;
        Ok(self.open_connection(node, attempt, in_flight))
    }

    /// A new connection to the node, which is dialled beside the caller, with the attempt admitted.
    fn open_connection(
        &self,
        node: &mut NodeConnections,
        attempt: &Attempt,
        in_flight: &Arc<InFlightAttempt>,
    ) -> Arc<Connection> {
        self.open_connections.fetch_add(1, Ordering::Relaxed);
        let connection = Arc::new(Connection::default());
        connection.admit(attempt.id, in_flight, self.limits.streams);
        node.connections.push(connection.clone());
        let dialer = Dialer {
            node: attempt.cache.clone(),
            addr: node.addr,
            connect_timeout: node.timeouts.connect.unwrap_or(self.limits.connect_timeout),
            connection: connection.clone(),
            open_connections: self.open_connections.clone(),
            reason_counts: self.reason_counts.clone(),
        };
        dialer.spawn();
        connection
    }

    /// Periodically: closes connections that are idle, of no further use or retired, and ends attempts that a stuck
    /// connection has not begun to write in the time that a new one may take. Guards the grace for draining nodes, which
    /// counts to a request's first byte.
    pub fn sweep(&self) {
        let now = Instant::now();
        let idle_timeout =
            |n: &NodeConnections| n.timeouts.idle.unwrap_or(self.limits.idle).mul_f64(IDLE_FRACTION);
        let connections: Vec<(Arc<Connection>, Duration)> = lock(&self.nodes)
            .values()
            .flat_map(|n| n.connections.iter().map(move |c| (c.clone(), idle_timeout(n))))
            .collect();
        for (connection, idle_timeout) in connections {
            connection.sweep(now, self.limits.connect_timeout, idle_timeout);
        }
        lock(&self.retired).retain(|connection| {
            let unused = connection.is_unused();
            if unused {
                connection.close(Reason::Retired);
            }
            !unused
        });
    }
}

/// Closes the connection that has been idle for longest, so that another may be made; whether there is one.
fn close_longest_idle(nodes: &HashMap<CacheId, NodeConnections>) -> bool {
    let connections = nodes.values().flat_map(|node| &node.connections);
    let idle = connections.filter_map(|c| c.closable_since().map(|since| (since, c)));
    let longest_idle = idle.min_by_key(|(since, _)| *since);
    if let Some((_, connection)) = longest_idle {
        connection.close(Reason::TooMany);
    }
    longest_idle.is_some()
}

#[cfg(test)]
mod tests;
