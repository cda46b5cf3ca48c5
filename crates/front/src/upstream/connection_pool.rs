//! The connections to cache nodes, parents and the origin: a few for each node, each shared by many
//! attempts.
//!
//! An attempt's coroutine sends it with [`ConnectionPool::execute`] and waits there for its result; each
//! connection has a coroutine of its own (`dialer.rs`). Only `execute` yields, and no lock is held across a
//! yield. Locks are taken in this order: nodes, connection state, link.

use crate::invariants::{Invariant, Invariants};
use crate::log::Reason;
use crate::reason_counts::{EventKind, ReasonCounts};
use crate::sleep;
use crate::sync::lock;
use crate::upstream::completed_attempt::CompletedAttempt;
use crate::upstream::connection::{Connection, ConnectionLoad};
use crate::upstream::dialer::Dialer;
use crate::upstream::in_flight_attempt::InFlightAttempt;
use crate::upstream::pending_attempt::{AttemptTimes, PendingAttempt};
use crate::upstream::upstream_memory::UpstreamMemory;
use fernslip::facade::Attempt;
use fernslip::{CacheId, Ending, RequestId};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The front closes an idle connection after this fraction of the time after which the node closes it, so
/// that no request is sent while the node closes the connection.
const IDLE_CLOSE_FRACTION: f64 = 0.6;
/// Number of attempts that share a connection before another connection is opened, as long as more are
/// allowed: a connection that fails ends all attempts that share it.
const PREFERRED_ATTEMPTS_PER_CONNECTION: usize = 2;

/// Connection limits of the deployment.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// Maximum number of attempts in flight on one connection.
    pub streams: usize,
    /// A connection that is not established within this time counts as refused.
    pub connect_timeout: Duration,
    /// How long a connection may be idle before the nodes close it.
    pub idle: Duration,
    /// Maximum number of connections to all nodes together.
    pub connections: usize,
}

/// Timeouts of a single node; `None`: the deployment's value applies.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct NodeTimeouts {
    /// A connection that is not established within this time counts as refused.
    pub connect: Option<Duration>,
    /// How long a connection may be idle before the node closes it.
    pub idle: Option<Duration>,
}

/// A node and the connections to it.
struct NodeConnections {
    addr: SocketAddr,
    /// When the node's process started, as clock time in milliseconds.
    started_ms: f64,
    connections: Vec<Arc<Connection>>,
    timeouts: NodeTimeouts,
}

/// All connections to cache nodes, parents and the origin.
pub struct ConnectionPool {
    limits: ConnectionLimits,
    nodes: Mutex<HashMap<CacheId, NodeConnections>>,
    /// Connections to nodes that were removed or replaced. Each is closed once no attempt is in flight on
    /// it.
    retired: Mutex<Vec<Arc<Connection>>>,
    /// The attempt in flight of each request; a request has only one at a time.
    attempts: Mutex<HashMap<RequestId, Arc<InFlightAttempt>>>,
    open_connections: Arc<AtomicUsize>,
    memory: UpstreamMemory,
    invariants: Arc<Invariants>,
    reason_counts: Arc<ReasonCounts>,
}

impl ConnectionPool {
    /// Creates a pool that knows no nodes yet.
    pub fn new(
        limits: ConnectionLimits,
        memory: UpstreamMemory,
        invariants: Arc<Invariants>,
        reason_counts: Arc<ReasonCounts>,
    ) -> ConnectionPool {
        ConnectionPool {
            limits,
            nodes: Mutex::default(),
            retired: Mutex::default(),
            attempts: Mutex::default(),
            open_connections: Arc::default(),
            memory,
            invariants,
            reason_counts,
        }
    }

    /// Adds a node at this address. A new address or start time means a new process: the old connections
    /// are not used again.
    pub fn add_node(&self, id: CacheId, addr: SocketAddr, started_ms: f64) {
        let replaced = {
            let mut nodes = lock(&self.nodes);
            match nodes.get(&id) {
                Some(n) if n.addr == addr && n.started_ms == started_ms => None,
                _ => {
                    let (connections, timeouts) = (Vec::new(), NodeTimeouts::default());
                    nodes.insert(id, NodeConnections { addr, started_ms, connections, timeouts })
                }
            }
        };
        self.retire(replaced);
    }

    /// Sets a node's own timeouts. The connect timeout applies from the node's next connection on. Does
    /// nothing if the node is not known.
    pub fn set_timeouts(&self, id: &CacheId, timeouts: NodeTimeouts) {
        if let Some(node) = lock(&self.nodes).get_mut(id) {
            node.timeouts = timeouts;
        }
    }

    /// Removes a node that has departed; another node may get its address from now on.
    pub fn remove_node(&self, id: &CacheId) {
        let removed = lock(&self.nodes).remove(id);
        self.withdraw_attempts_of_nodes(std::slice::from_ref(id));
        self.retire(removed);
    }

    /// Removes all nodes except those with these ids.
    pub fn retain_nodes(&self, ids: &[CacheId]) {
        let listed: HashSet<&CacheId> = ids.iter().collect();
        let departed: Vec<CacheId> =
            lock(&self.nodes).keys().filter(|id| !listed.contains(id)).cloned().collect();
        departed.iter().for_each(|id| self.remove_node(id));
    }

    /// Takes a node's connections out of use. Each is closed once no attempt is in flight on it.
    fn retire(&self, node: Option<NodeConnections>) {
        let connections: Vec<Arc<Connection>> = node.into_iter().flat_map(|n| n.connections).collect();
        // An attempt that still waits for its connection would reach whichever process has the address by
        // then.
        for connection in &connections {
            connection.withdraw_all();
        }
        lock(&self.retired).extend(connections);
    }

    /// Withdraws the attempts that go to these draining nodes, or are filled from them, and were not sent
    /// yet. An attempt's first byte must be written within the grace period of a draining node, but its
    /// connection may be established only after that period.
    pub fn withdraw_attempts_of_nodes(&self, ids: &[CacheId]) {
        for attempt in lock(&self.attempts).values() {
            if ids.iter().any(|id| *id == attempt.cache || Some(id) == attempt.source.as_ref()) {
                attempt.withdraw();
            }
        }
    }

    /// Withdraws the request's attempt if it was not sent yet, because no client waits for it any more or
    /// because what it requests was purged after the attempt was chosen. The decision module cancels an
    /// attempt that was sent.
    pub fn withdraw_attempt(&self, id: RequestId) {
        if let Some(attempt) = lock(&self.attempts).get(&id) {
            attempt.withdraw();
        }
    }

    /// Wakes the coroutine of a cancelled attempt, so that it notices the cancel; `number` is the attempt's
    /// number in its request.
    pub fn wake_cancelled(&self, id: RequestId, number: u32) {
        if let Some(attempt) = lock(&self.attempts).get(&id).filter(|a| a.number == number) {
            attempt.blocker.unpark();
        }
    }

    /// The memory that cache nodes make the front hold.
    pub fn memory(&self) -> &UpstreamMemory {
        &self.memory
    }

    /// Number of attempts in flight.
    pub fn attempts_in_flight(&self) -> usize {
        lock(&self.attempts).len()
    }

    /// Sends an attempt and waits for its result, within `times`. `trace` identifies its request at the
    /// node, and `client_tag` is the tag of the client's own copy. An attempt that is no longer allowed by
    /// the time it could be sent is not sent. Yields.
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
            format!("trace={trace} n={}: another attempt of the same request is in flight", attempt.number)
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

    /// Sends the attempt over a connection, if it may still be sent, and waits for its result. Yields.
    fn send_and_wait(
        &self,
        attempt: &Attempt,
        in_flight: &Arc<InFlightAttempt>,
        trace: &str,
        mut times: AttemptTimes,
    ) -> CompletedAttempt {
        let now = Instant::now();
        if let Err(denied) = in_flight.pending.check_may_send(now) {
            self.reason_counts.add(EventKind::Denied, denied.name());
            return CompletedAttempt::without_answer(denied.ending());
        }
        let connection = match self.checkout(attempt, in_flight) {
            Ok(connection) => connection,
            Err(ending) => return CompletedAttempt::without_answer(ending),
        };
        let bytes = in_flight.pending.encode(now);
        if connection.link.send_gated(bytes, attempt.id.0, in_flight.clone()).is_none() {
            connection.complete(attempt.id, CompletedAttempt::without_answer(Ending::Retracted));
        }
        loop {
            if let Some(result) = in_flight.take_result() {
                return result;
            }
            self.end_or_wait(attempt, in_flight, &connection, trace, &mut times);
        }
    }

    /// One step of an attempt that has no result yet. Ends the attempt if it was denied, withdrawn or
    /// cancelled or has timed out; otherwise waits until it is woken or the next of its times is reached.
    /// Yields.
    fn end_or_wait(
        &self,
        attempt: &Attempt,
        in_flight: &InFlightAttempt,
        connection: &Connection,
        trace: &str,
        times: &mut AttemptTimes,
    ) {
        if let Some(denied) = in_flight.progress().denied {
            self.reason_counts.add(EventKind::Denied, denied.name());
            connection.complete(attempt.id, CompletedAttempt::without_answer(denied.ending()));
            return;
        }
        let now = Instant::now();
        let remaining = times.deadline.saturating_duration_since(now);
        // Whether the attempt begins too late is checked only once: one whose first byte was written by
        // then continues.
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
            sleep::park_step(&in_flight.blocker, remaining.min(begin));
            return;
        };
        if let Some(delay) = connection.cancel(attempt.id, trace, ending) {
            sleep::sleep(delay);
        }
    }

    /// Admits the attempt to a connection, which may still have to be established. Prefers a responsive
    /// connection with few attempts, then a new connection as long as more are allowed, then the connection
    /// with the fewest attempts.
    ///
    /// # Errors
    /// How the attempt ends: its node is not known, or no connection is available.
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
        let mut by_load: Vec<(ConnectionLoad, &Arc<Connection>)> =
            node.connections.iter().map(|c| (c.load(now), c)).collect();
        let preferred = by_load.iter().find(|(load, c)| {
            !load.unresponsive
                && load.in_flight < PREFERRED_ATTEMPTS_PER_CONNECTION
                && c.admit(attempt.id, in_flight, PREFERRED_ATTEMPTS_PER_CONNECTION)
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
            // The front's own limit is reached, which does not count against the node.
            return Err(Ending::Retracted);
        }
        let node = nodes.get_mut(&attempt.cache).ok_or(Ending::ConnectionRefused)?;
        Ok(self.open_connection(node, attempt, in_flight))
    }

    /// Creates a connection to the node with the attempt admitted, and dials it on a coroutine of its own.
    fn open_connection(
        &self,
        node: &mut NodeConnections,
        attempt: &Attempt,
        in_flight: &Arc<InFlightAttempt>,
    ) -> Arc<Connection> {
        self.open_connections.fetch_add(1, Ordering::Relaxed);
        let connection = Arc::new(Connection::with_memory(&self.memory));
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

    /// Called periodically. Closes connections that are idle, of no further use or retired, and ends
    /// attempts of whose request a stuck connection has written no byte within the connect timeout.
    /// Otherwise the first byte of such a request could be written after the grace period of a draining
    /// node.
    pub fn sweep(&self) {
        let now = Instant::now();
        let idle_timeout =
            |n: &NodeConnections| n.timeouts.idle.unwrap_or(self.limits.idle).mul_f64(IDLE_CLOSE_FRACTION);
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
                connection.close(Reason::NodeRemoved);
            }
            !unused
        });
    }
}

/// Closes the connection that has been idle longest, so that another may be opened; returns whether there
/// was one.
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
