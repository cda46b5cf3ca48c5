//! The discovery watch: a connection to the event bus, which sends endpoint-list updates and purges as numbered events.

use super::node_starts::NodeStarts;
use super::watch_event::{ListedNode, WatchEvent};
use crate::buffer::Buffer;
use crate::clock::Clock;
use crate::failure::Failure;
use crate::link::Link;
use crate::log::Reason;
use crate::reason_counts::Kind;
use crate::shared::Shared;
use crate::sync::lock;
use crate::watch_history::{History, Line};
use fernslip::{CacheId, ObjectId, Phase};
use may::net::TcpStream;
use rand::{Rng, SeedableRng};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// A connection without a line for so long is dead: the bus sends one each second, and two may be late. What a bus that
/// stops would have reported counts as reported after 4 s, so that a new connection must be up well before.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2500);
/// Longest silence timeout, which grows over connections on which no line came at all.
const MAX_SILENCE_TIMEOUT: Duration = Duration::from_millis(5000);
/// Mean time between the end of a connection and the next; spread by half either way.
const RECONNECT_DELAY: Duration = Duration::from_millis(200);
/// Longest line accepted, in bytes; the complete list of the largest deployment is a small part of it.
const MAX_LINE_BYTES: usize = 4 << 20;

/// The delay before reconnection number `attempt`. It differs from front to front, so that the fronts of a fleet, which
/// all lose the bus in the same moment, don't all come back in the same moment each time.
fn reconnect_delay(seed: u64, attempt: u64) -> Duration {
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed.wrapping_add(attempt));
    RECONNECT_DELAY.mul_f64(rng.random_range(0.5..1.5))
}

/// Applies an event to the dispatchers and the upstream connections. `since`: module time in milliseconds of the last line
/// before it, after which it was reported; `None` where no line came yet.
pub fn apply(front: &Shared, event: WatchEvent, since: Option<f64>) {
    match event {
        WatchEvent::Unknown => {}
        WatchEvent::Purge { object, group, unix_ms } => apply_purge(front, object, group, unix_ms, since),
        // The site document has the members.
        WatchEvent::EndpointList { .. } if front.queues.members_from_file() => {}
        WatchEvent::EndpointList { full, nodes } => apply_endpoint_list(front, full, nodes, since),
    }
}

fn apply_purge(front: &Shared, object: Option<ObjectId>, group: u64, unix_ms: f64, since: Option<f64>) {
    let now = front.clock.now();
    // Before the first line nothing bounds the date: the conservative answer is now.
    let at = front.wall_clock.when(unix_ms, since.unwrap_or(now));
    for queue in front.queues.all() {
        queue.dispatcher.purged(now, object, group, now - at);
    }
}

fn apply_endpoint_list(front: &Shared, full: bool, nodes: Vec<ListedNode>, since: Option<f64>) {
    if let Some(gossip) = &front.gossip {
        // Starts in Unix time: all fronts must name a node by the same start.
        let starts = nodes.iter().map(|ListedNode { entry, .. }| {
            (entry.cache.clone(), Some(entry.started_ms).filter(|_| entry.phase != Phase::Out))
        });
        gossip.update_nodes(front.queues.all(), full, starts.collect());
    }
    let mut entries = Vec::new();
    for ListedNode { mut entry, addr } in nodes {
        entry.started_ms =
            front.bus.starts.module_time(&front.wall_clock, &entry.cache, entry.started_ms, since);
        match (entry.phase, addr) {
            (Phase::Out, _) => front.upstream.remove_node(&entry.cache),
            (_, Some(addr)) => front.upstream.add_node(entry.cache.clone(), addr, entry.started_ms),
            (_, None) => tracing::warn!("bus: {} has no address", entry.cache.0),
        }
        entries.push(entry);
    }
    if full {
        let ids: Vec<CacheId> = entries.iter().map(|e| e.cache.clone()).collect();
        front.upstream.retain_nodes(&ids);
    }
    front.queues.apply_endpoint_list(&front.clock, full, entries);
    let queues = front.queues.all();
    front.bus.starts.limit(|id| queues.iter().any(|queue| queue.dispatcher.is_listed(id)));
    if full {
        front.endpoints_listed.store(true, Ordering::Release);
    }
}

/// Takes one line of the bus and applies its event.
///
/// # Errors
/// As [`History::receive`].
fn receive_line(front: &Shared, history: &mut History, line: &[u8]) -> Result<(), Reason> {
    match history.receive(line, &front.names)? {
        Line::NothingNew => {}
        Line::Event(offset, event) => {
            apply(front, event, front.bus.last_line(&front.clock));
            tracing::info!("bus offset={offset}");
        }
        Line::Unreadable(offset, e) => {
            front.bus.unusable.fetch_add(1, Ordering::Relaxed);
            tracing::warn!("bus: event {offset}: {e}");
        }
    }
    Ok(())
}

/// Takes the complete lines out of the buffer, whose first `scanned` bytes have no line end. Returns whether one of them
/// shows that the bus is alive, which neither a partial line nor blank ones do.
///
/// # Errors
/// As [`History::receive`]; [`Reason::Malformed`] for a line over [`MAX_LINE_BYTES`].
fn receive_lines(
    front: &Shared,
    buffer: &mut Buffer,
    history: &mut History,
    scanned: &mut usize,
) -> Result<bool, Reason> {
    let mut proves_liveness = false;
    while let Some(at) = buffer.data()[*scanned..].iter().position(|b| *b == b'\n') {
        let end = *scanned + at;
        receive_line(front, history, &buffer.data()[..end])?;
        proves_liveness |= !buffer.data()[..end].iter().all(u8::is_ascii_whitespace);
        buffer.consume(end + 1);
        *scanned = 0;
    }
    *scanned = buffer.data().len();
    if *scanned > MAX_LINE_BYTES {
        return Err(Reason::Malformed);
    }
    Ok(proves_liveness)
}

/// Connects to the bus.
///
/// # Errors
/// The log reason why there is no connection.
fn connect(addr: SocketAddr) -> Result<TcpStream, Reason> {
    TcpStream::connect_timeout(&addr, CONNECT_TIMEOUT).map_err(|e| match e.kind() {
        ErrorKind::TimedOut => Reason::ConnectTimeout,
        _ => match Failure::of(&e) {
            Failure::Descriptors => Reason::NoDescriptor,
            Failure::Machine | Failure::Again => Reason::NoRoute,
            Failure::Remote => Reason::Refused,
        },
    })
}

/// The discovery watch of a front: the bus's address, which may change while the front runs, and the current connection.
pub struct DiscoveryWatch {
    state: Mutex<State>,
    starts: NodeStarts,
    seed: u64,
    /// Lines and events that could not be used, since the start.
    unusable: AtomicU64,
}

struct State {
    addr: SocketAddr,
    link: Arc<Link>,
    /// When the current connection last received a line, or came up; `None` while there is none.
    last_received: Option<Instant>,
    /// When a line last came on any connection: every later event was reported after that.
    last_line: Option<Instant>,
    /// How long the current connection may stay silent.
    silence_timeout: Duration,
}

impl DiscoveryWatch {
    /// A watch on the bus at `addr`; `None`: there is no bus. `seed` spreads its reconnections.
    pub fn new(addr: Option<SocketAddr>, seed: u64) -> DiscoveryWatch {
        let addr = addr.unwrap_or(([0, 0, 0, 0], 0).into());
        DiscoveryWatch {
            state: Mutex::new(State {
                addr,
                link: Arc::default(),
                last_received: None,
                last_line: None,
                silence_timeout: SILENCE_TIMEOUT,
            }),
            starts: NodeStarts::default(),
            seed,
            unusable: AtomicU64::new(0),
        }
    }

    /// Changes the bus's address. The connection to the old one is closed at once, as the old bus may stay open and send
    /// nothing more. The offsets carry on.
    pub fn set_address(&self, addr: SocketAddr) {
        let mut state = lock(&self.state);
        if state.addr != addr {
            state.addr = addr;
            state.link.close(Reason::Moved);
        }
    }

    /// When a line last came, in module time.
    fn last_line(&self, clock: &Clock) -> Option<f64> {
        lock(&self.state).last_line.map(|at| clock.at(at))
    }

    /// Closes the connection if it is silent for too long; called periodically.
    pub fn sweep(&self) {
        let state = lock(&self.state);
        if state.last_received.is_some_and(|at| at.elapsed() > state.silence_timeout) {
            state.link.close(Reason::Silent);
        }
    }

    /// Connects once and receives events until the connection ends; returns the log reason of its end.
    fn watch_once(&self, front: &Shared, addr: SocketAddr, history: &mut History) -> Reason {
        let stream = match connect(addr) {
            Ok(stream) => stream,
            Err(reason) => return reason,
        };
        let link = Arc::new(Link::default());
        {
            let mut state = lock(&self.state);
            if state.addr != addr {
                return Reason::Moved;
            }
            (state.link, state.last_received) = (link.clone(), Some(Instant::now()));
        }
        link.attach(stream);
        link.send(format!("from {}\n", history.offset()).into_bytes(), None);
        let (mut scanned, mut has_received) = (0, false);
        let receive = |buffer: &mut Buffer| {
            if receive_lines(front, buffer, history, &mut scanned)? {
                let mut state = lock(&self.state);
                (state.last_received, state.last_line) = (Some(Instant::now()), Some(Instant::now()));
                state.silence_timeout = SILENCE_TIMEOUT;
                has_received = true;
            }
            Ok(())
        };
        let reason = link.run(receive, |_| false);
        link.terminate();
        let mut state = lock(&self.state);
        state.last_received = None;
        // An overloaded bus may need longer for its first line: it must not be abandoned each time just before it.
        if reason == Reason::Silent && !has_received {
            state.silence_timeout = (state.silence_timeout * 2).min(MAX_SILENCE_TIMEOUT);
        }
        reason
    }

    /// Watches the bus for the life of the process, from where `history` ends.
    pub fn run(&self, front: &Shared, mut history: History) {
        for attempt in 0.. {
            let addr = lock(&self.state).addr;
            // A defect costs this connection, not the watch: without one the front would learn of no change any more.
            let ended = catch_unwind(AssertUnwindSafe(|| self.watch_once(front, addr, &mut history)));
            let reason = ended.unwrap_or_else(|_| {
                lock(&self.state).link.terminate();
                Reason::Defect
            });
            let offset = history.offset();
            front.reason_counts.add(Kind::BusClosed, reason.code());
            let malformed = u64::from(reason == Reason::Malformed);
            let unusable = self.unusable.fetch_add(malformed, Ordering::Relaxed) + malformed;
            tracing::info!(kind = %"bus", %addr, reason = %reason.code(), offset, odd = unusable, "end");
            if reason != Reason::Moved {
                crate::sleep::sleep(reconnect_delay(self.seed, attempt));
            }
        }
    }
}

#[cfg(test)]
mod tests;
