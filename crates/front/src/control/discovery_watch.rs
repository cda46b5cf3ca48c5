//! The event bus: the list of machines and purges, as numbered events.

use crate::buffer::Buffer;
use crate::clock::Clock;
use crate::failure::Failure;
use crate::link::{lock, Link};
use crate::log::Reason;
use crate::reason_counts::Kind;
use crate::wall_clock::WallClock;
use crate::watch_history::{History, Line};
use crate::Shared;
use fernslip::json::{self, JsonError, Names};
use fernslip::{CacheId, Entry, ObjectId, Phase};
use may::net::TcpStream;
use rand::{Rng, SeedableRng};
use serde_json::Value;
use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const CONNECT: Duration = Duration::from_millis(500);
/// A line comes each second; without one for so long the connection is dead. Two lines may be late; what a bus
/// that stops would have told counts as told after 4 s, so that a new one must be asked well before.
const SILENCE: Duration = Duration::from_millis(2500);
/// The longest that a connection may say nothing after others that said nothing at all.
const MOST_SILENCE: Duration = Duration::from_millis(5000);
/// What the bus has to tell is told that long after it happened at the latest, by the protocol.
const TOLD_WITHIN_MS: f64 = 7_000.0;
/// Starts of nodes that are remembered: more than the largest fleet has at once.
const MOST_STARTS: usize = 8192;
/// Between the end of a connection and the next, on average; each front's own times are spread by half.
const RETRY: Duration = Duration::from_millis(200);
/// The whole list of the largest deployment is a small part of this.
const MOST_LINE: usize = 4 << 20;

/// How long to wait before attempt number `n` to come back. Guards the bus against all fronts of a fleet, which find it
/// gone in the same moment and would come back in the same, each time.
fn retry_after(seed: u64, n: u64) -> Duration {
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed.wrapping_add(n));
    RETRY.mul_f64(rng.random_range(0.5..1.5))
}

/// One event, read.
#[derive(Debug)]
pub enum Event {
    /// The machines that changed, with their addresses, or all of them.
    List {
        /// All of them.
        full: bool,
        /// The machines; an address that is none stands for an entry that can't be used.
        servers: Vec<(Entry, Option<SocketAddr>)>,
    },
    /// A purge, of an object or with `None` of a group.
    Purge {
        /// The object.
        object: Option<ObjectId>,
        /// The group.
        group: u64,
        /// Unix time of it.
        unix_ms: f64,
    },
    /// Of a kind that this front doesn't know.
    Other,
}

fn server(v: &Value, names: &Names) -> Result<(Entry, Option<SocketAddr>), JsonError> {
    let place = |all: &[String], v: &Value| v.as_str().and_then(|n| all.iter().position(|x| x == n));
    let entry = Entry {
        cache: CacheId::from(json::text(v, "id")?),
        weight: json::opt(v, "weight")?,
        zone: place(&names.zones, &v["zone"]),
        kind: place(&names.kinds, &v["kind"]),
        cell: v["cell"].as_i64().unwrap_or(0),
        born_ms: json::opt(v, "started_ms")?,
        phase: match json::text(v, "state")? {
            "Ready" => Phase::In,
            "Terminating" => Phase::Draining,
            "Gone" => Phase::Out,
            other => return Err(json::unknown("state", other)),
        },
    };
    Ok((entry, v["addr"].as_str().and_then(|a| a.parse().ok())))
}

/// Reads an event; `born_ms` of its entries is still Unix time.
pub fn event(v: &Value, names: &Names) -> Result<Event, JsonError> {
    let (list, ban) = (&v["topology"], &v["ban"]);
    if list.is_object() {
        let servers =
            json::list(list, "servers")?.iter().map(|s| server(s, names)).collect::<Result<_, _>>()?;
        return Ok(Event::List { full: list["full"].as_bool().unwrap_or(false), servers });
    }
    if ban.is_object() {
        let object = match &ban["url"] {
            Value::Null => None,
            _ => Some(ObjectId(json::hex(ban, "url")?)),
        };
        let group = if object.is_some() { json::opt(ban, "tag")? } else { json::num(ban, "tag")? };
        return Ok(Event::Purge { object, group: group as u64, unix_ms: json::num(ban, "ts")? });
    }
    Ok(Event::Other)
}

/// When nodes started, in module time, beside the Unix time that the bus tells: the same number stays the same start,
/// whatever becomes of the wall clock.
#[derive(Default)]
pub struct Starts(Mutex<HashMap<CacheId, (f64, f64)>>);

impl Starts {
    /// Module time of a node's start; 0 there and here is 'long ago'. `not_before` as in [`WallClock::when`].
    fn learn(&self, wall: &WallClock, id: &CacheId, unix_ms: f64, not_before: Option<f64>) -> f64 {
        if unix_ms <= 0.0 {
            return 0.0;
        }
        let mut all = lock(&self.0);
        match all.get(id) {
            Some((told, start)) if *told == unix_ms => *start,
            _ => {
                let start =
                    wall.when(unix_ms, not_before.map_or(f64::MIN, |at| at - TOLD_WITHIN_MS)).max(1.0);
                all.insert(id.clone(), (unix_ms, start));
                start
            }
        }
    }

    /// Where very many have come and gone, those that are not listed are forgotten. One that returns with the same number
    /// has not started since, so that it is remembered as long as there is room.
    fn bound(&self, is_listed: impl Fn(&CacheId) -> bool) {
        let mut all = lock(&self.0);
        if all.len() > MOST_STARTS {
            all.retain(|id, _| is_listed(id));
        }
    }
}

/// Hands an event to the module and to the connections. It is known to have been told after `since`, in module time: the
/// bus had said something before.
pub fn apply(front: &Shared, event: Event, since: Option<f64>) {
    let clock = &front.clock;
    match event {
        Event::Other => {}
        Event::Purge { object, group, unix_ms } => {
            // Before the bus has said anything nothing bounds the date: the careful answer is now.
            let now = clock.now();
            let at = front.wall.when(unix_ms, since.unwrap_or(now));
            for queue in front.queues.all() {
                queue.dispatcher.purged(now, object, group, now - at);
            }
        }
        // The site document has the members.
        Event::List { .. } if front.queues.members_from_file() => {}
        Event::List { full, servers } => {
            let mut entries = Vec::new();
            if let Some(talk) = &front.talk {
                // Starts in Unix time: all fronts must name a machine by the same.
                let news = servers
                    .iter()
                    .map(|(e, _)| (e.cache.clone(), Some(e.born_ms).filter(|_| e.phase != Phase::Out)));
                talk.news(front.queues.all(), full, news.collect());
            }
            for (mut e, addr) in servers {
                e.born_ms = front.bus.starts.learn(&front.wall, &e.cache, e.born_ms, since);
                match (e.phase, addr) {
                    (Phase::Out, _) => front.upstream.remove_node(&e.cache),
                    (_, Some(addr)) => front.upstream.add_node(e.cache.clone(), addr, e.born_ms),
                    (_, None) => tracing::warn!("bus: {} has no address", e.cache.0),
                }
                entries.push(e);
            }
            if full {
                let ids: Vec<CacheId> = entries.iter().map(|e| e.cache.clone()).collect();
                front.upstream.retain_nodes(&ids);
            }
            front.queues.apply_endpoint_list(clock, full, entries);
            let queues = front.queues.all();
            front.bus.starts.bound(|id| queues.iter().any(|l| l.dispatcher.is_listed(id)));
            if full {
                front.listed.store(true, std::sync::atomic::Ordering::Release);
            }
        }
    }
}

/// One line of the bus.
fn line(front: &Shared, history: &mut History, text: &[u8]) -> Result<(), Reason> {
    match history.line(text, &front.names)? {
        Line::Nothing => {}
        Line::Event(number, event) => {
            apply(front, event, front.bus.last_line(&front.clock));
            tracing::info!("bus offset={number}");
        }
        Line::Unread(number, e) => {
            front.bus.odd.fetch_add(1, Ordering::Relaxed);
            tracing::warn!("bus: event {number}: {e}");
        }
    }
    Ok(())
}

/// Takes the whole lines out of the buffer; `seen` bytes of it have no line end. Whether there was one that has a
/// meaning: neither half a line nor blank ones show that the bus is alive.
fn lines(
    front: &Shared,
    buffer: &mut Buffer,
    history: &mut History,
    seen: &mut usize,
) -> Result<bool, Reason> {
    let mut whole = false;
    while let Some(at) = buffer.data()[*seen..].iter().position(|b| *b == b'\n') {
        let end = *seen + at;
        line(front, history, &buffer.data()[..end])?;
        whole |= !buffer.data()[..end].iter().all(u8::is_ascii_whitespace);
        buffer.consume(end + 1);
        *seen = 0;
    }
    *seen = buffer.data().len();
    if *seen > MOST_LINE {
        return Err(Reason::Malformed);
    }
    Ok(whole)
}

/// The way to the bus: its address, which may change while the front runs, and the present connection.
pub struct DiscoveryWatch {
    state: Mutex<State>,
    starts: Starts,
    seed: u64,
    odd: AtomicU64,
}

struct State {
    addr: SocketAddr,
    link: Arc<Link>,
    heard: Option<Instant>,
    /// When a line came last, on any connection: all that is told later happened after it was written.
    last_line: Option<Instant>,
    /// How long the present connection may say nothing.
    patience: Duration,
}

impl DiscoveryWatch {
    /// A bus at that address; `None`: there is none to follow. The seed spreads when it is asked again.
    pub fn new(addr: Option<SocketAddr>, seed: u64) -> DiscoveryWatch {
        let addr = addr.unwrap_or(([0, 0, 0, 0], 0).into());
        DiscoveryWatch {
            state: Mutex::new(State {
                addr,
                link: Arc::default(),
                heard: None,
                last_line: None,
                patience: SILENCE,
            }),
            starts: Starts::default(),
            seed,
            odd: AtomicU64::new(0),
        }
    }

    /// The bus has another address from now on. The connection to the old one ends at once: the old bus may stay
    /// open and say nothing more. The numbers carry on.
    pub fn move_to(&self, addr: SocketAddr) {
        let mut state = lock(&self.state);
        if state.addr != addr {
            state.addr = addr;
            state.link.close(Reason::Moved);
        }
    }

    /// When a line came last, in module time.
    fn last_line(&self, clock: &Clock) -> Option<f64> {
        lock(&self.state).last_line.map(|at| clock.at(at))
    }

    /// Now and then: ends a connection that says nothing.
    pub fn sweep(&self) {
        let state = lock(&self.state);
        if state.heard.is_some_and(|at| at.elapsed() > state.patience) {
            state.link.close(Reason::Silent);
        }
    }

    fn follow(&self, front: &Shared, addr: SocketAddr, history: &mut History) -> Reason {
        let stream = match TcpStream::connect_timeout(&addr, CONNECT) {
            Ok(s) => s,
            Err(e) if e.kind() == ErrorKind::TimedOut => return Reason::ConnectTimeout,
            Err(e) => {
                return match Failure::of(&e) {
                    Failure::Descriptors => Reason::NoDescriptor,
                    Failure::Machine | Failure::Again => Reason::NoRoute,
                    Failure::Remote => Reason::Refused,
                }
            }
        };
        let link = Arc::new(Link::default());
        {
            let mut state = lock(&self.state);
            if state.addr != addr {
                return Reason::Moved;
            }
            (state.link, state.heard) = (link.clone(), Some(Instant::now()));
        }
        link.up(stream);
        link.send(format!("from {}\n", history.offset()).into_bytes(), None);
        let (mut seen, mut spoke) = (0, false);
        let take = |buffer: &mut Buffer| {
            if lines(front, buffer, history, &mut seen)? {
                let mut state = lock(&self.state);
                (state.heard, state.last_line) = (Some(Instant::now()), Some(Instant::now()));
                state.patience = SILENCE;
                spoke = true;
            }
            Ok(())
        };
        let why = link.run(take, |_| false);
        link.end();
        let mut state = lock(&self.state);
        state.heard = None;
        // A bus that is crowded may need longer for its first line: it is not left again and again just before it.
        if why == Reason::Silent && !spoke {
            state.patience = (state.patience * 2).min(MOST_SILENCE);
        }
        why
    }

    /// Follows the bus for good, from where `history` ends.
    pub fn run(&self, front: &Shared, mut history: History) {
        for n in 0.. {
            let addr = lock(&self.state).addr;
            // A defect costs this connection, not the watch: without one the front would hear of no change any more.
            let followed = catch_unwind(AssertUnwindSafe(|| self.follow(front, addr, &mut history)));
            let why = followed.unwrap_or_else(|_| {
                lock(&self.state).link.end();
                Reason::Defect
            });
            let offset = history.offset();
            front.reason_counts.add(Kind::BusClosed, why.code());
            // Lines and events that could not be used, since the start.
            let malformed = u64::from(why == Reason::Malformed);
            let odd = self.odd.fetch_add(malformed, Ordering::Relaxed) + malformed;
            tracing::info!(kind = %"bus", %addr, reason = %why.code(), offset, odd, "end");
            if why != Reason::Moved {
                crate::sleep::sleep(retry_after(self.seed, n));
            }
        }
    }
}

#[cfg(test)]
#[path = "discovery_watch/tests.rs"]
mod tests;
