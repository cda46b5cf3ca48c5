//! Connections to cache nodes, parents and the origin: few for each, many requests on one.

use crate::failure::{patiently, Failure};
use crate::invariants::{Invariant, Invariants};
use crate::link::{lock, Departure, Gate, Link};
use crate::log::Reason;
use crate::pending_attempt::{AttemptTimes, Denied, PendingAttempt};
use crate::reason_counts::{Kind, ReasonCounts};
use crate::resp;
use crate::sleep;
use crate::spawn::spawn;
use fernslip::facade::{Attempt, Waiter};
use fernslip::json::IN_FLIGHT_NAMES;
use fernslip::{CacheId, Ending, RequestId};
use may::net::TcpStream;
use may::sync::Blocker;
use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Notes in the order of the module's numbers, from 1.
const NOTES: [&str; 10] =
    ["warm", "fill", "deep_fill", "piggy", "aged", "bounced", "dropped", "lacking", "jammed", "backfire"];
/// Part of the time after which a node closes an idle connection: closed before by us, no request crosses it.
const IDLE_PART: f64 = 0.6;
/// For so long an answer may still come that was given up, or a second one to what was answered.
const LATE: Duration = Duration::from_secs(20);
/// A connection takes so many requests before another is made, while there are places: what is spoilt or stops
/// short ends all that share its connection.
const SHARED: usize = 2;
/// A connection where something is asked and nothing came for so long gets nothing new while there are others.
const QUIET: Duration = Duration::from_millis(150);
/// After a request was given up the next attempt begins no sooner than the word can be there: as long as the connection
/// took to come up, there and back, and between these.
const WORD: [Duration; 2] = [Duration::from_millis(1), Duration::from_millis(4)];
/// A request that waited less than this for its first byte goes out as it was queued: what it tells of the time left is
/// right to that much.
const FRESH: Duration = Duration::from_millis(10);
/// A connection is given at least so long to come up.
const LEAST_CONNECT: Duration = Duration::from_millis(1);
/// An answer that has begun and of which nothing more comes for so long never ends; longer than a lost
/// packet takes to be sent again.
const STALL: Duration = Duration::from_millis(250);

/// What the deployment allows.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// Requests open on one connection.
    pub streams: usize,
    /// A connection that is not up by then was refused.
    pub connect_timeout: Duration,
    /// Nodes close a connection idle for so long.
    pub idle: Duration,
    /// Connections in all.
    pub connections: usize,
}

/// What a node answered to a client's read or write.
#[derive(Debug, Default)]
pub struct Reply {
    /// The client's own copy is the one.
    pub current: bool,
    /// The bytes.
    pub body: Vec<u8>,
}

/// How an attempt ended, and with what.
#[derive(Debug)]
pub struct End {
    /// How.
    pub ending: Ending,
    /// The note's number; 0: none.
    pub detail: u8,
    /// Time to the source's first byte, where told.
    pub fill_wait_ms: f64,
    /// Requests that the node holds, where told.
    pub holds: Option<f64>,
    /// What came, where it was served.
    pub reply: Option<Reply>,
    /// When its first byte was written; `None`: it did not begin.
    pub begun: Option<Instant>,
    /// Its last byte was written.
    pub whole: bool,
}

impl End {
    fn without_answer(ending: Ending) -> End {
        let (detail, fill_wait_ms, holds, reply) = (0, 0.0, None, None);
        End { ending, detail, fill_wait_ms, holds, reply, begun: None, whole: false }
    }

    fn of(a: &resp::Answer<'_>) -> Option<End> {
        let ending = match a.word {
            "served" | "still_good" => Ending::Completed,
            "not_here" => Ending::LookupMiss,
            "overload" => Ending::Saturated,
            "crashed" => Ending::Errored,
            "nobody" => Ending::Superseded,
            _ => return None,
        };
        if !a.has_sound_fields() {
            return None;
        }
        let note = a.field("tell").and_then(|t| NOTES.iter().position(|n| *n == t));
        let current = a.word == "still_good";
        let body = if current { Vec::new() } else { a.body.to_vec() };
        Some(End {
            ending,
            detail: note.map_or(0, |n| n as u8 + 1),
            fill_wait_ms: a.field("lag").and_then(|v| v.parse().ok()).unwrap_or(0.0),
            holds: IN_FLIGHT_NAMES.iter().find_map(|name| a.report(name)),
            reply: (ending == Ending::Completed).then_some(Reply { current, body }),
            begun: None,
            whole: false,
        })
    }
}

/// Waits of this front: of a coroutine, or of a plain thread.
pub struct BlockerWaiter(pub Arc<Blocker>);

impl Waiter for BlockerWaiter {
    fn wait(&self) {
        let _ = self.0.park(None);
    }

    fn wake(&self) {
        self.0.unpark();
    }
}

/// Where the coroutine of an attempt waits for its end.
struct Slot {
    blocker: Arc<Blocker>,
    end: Mutex<Option<End>>,
    since: Instant,
    /// The tag of the client's copy, where it was named and may be the one.
    known: Option<String>,
    cache: CacheId,
    source: Option<CacheId>,
    number: u32,
    /// It is not to begin any more; what has begun goes on.
    withdrawn: AtomicBool,
    /// Whoever decided on it, asked before its first byte.
    sending: Arc<dyn PendingAttempt>,
    /// How far it went.
    progress: Mutex<Progress>,
}

/// How far an attempt went on its connection.
#[derive(Clone, Copy, Debug, Default)]
struct Progress {
    /// It was kept from beginning.
    denied: Option<Denied>,
    /// When its first byte was written.
    begun: Option<Instant>,
    /// Its last byte was written.
    whole: bool,
}

impl Gate for Slot {
    fn before_first_byte(&self, queued: Instant) -> Departure {
        let now = Instant::now();
        let withdrawn = self.withdrawn.load(Ordering::Acquire);
        let allowed = if withdrawn { Err(Denied::Outdated) } else { self.sending.check(now) };
        if let Err(why) = allowed {
            lock(&self.progress).denied = Some(why);
            self.blocker.unpark();
            return Departure::Never;
        }
        match now.saturating_duration_since(queued) < FRESH {
            true => Departure::AsQueued,
            false => Departure::Instead(self.sending.bytes(now)),
        }
    }

    fn begun(&self) {
        lock(&self.progress).begun = Some(Instant::now());
    }

    fn written(&self) {
        lock(&self.progress).whole = true;
    }
}

impl Slot {
    fn new(a: &Attempt, known: Option<String>, sending: Arc<dyn PendingAttempt>) -> Slot {
        Slot {
            blocker: Blocker::current(),
            end: Mutex::new(None),
            since: Instant::now(),
            known,
            cache: a.cache.clone(),
            source: a.source.clone(),
            number: a.number,
            withdrawn: AtomicBool::new(false),
            sending,
            progress: Mutex::default(),
        }
    }

    fn withdraw(&self) {
        self.withdrawn.store(true, Ordering::Release);
        self.blocker.unpark();
    }

    fn put(&self, end: End) {
        lock(&self.end).get_or_insert(end);
        self.blocker.unpark();
    }
}

#[derive(Default)]
struct Open {
    slots: HashMap<RequestId, Arc<Slot>>,
    /// Given up or answered on this connection: a late or second answer may still come, so the id is not used
    /// here again.
    spent: HashMap<RequestId, Instant>,
    idle_since: Option<Instant>,
    /// When a whole answer came last: bytes alone say nothing of the node.
    heard: Option<Instant>,
    /// An answer has come in part; when bytes came last.
    partial: Option<Instant>,
    /// An attempt ran out of time and nothing came all the while: nothing new goes here until something does.
    doubted: bool,
    asked: u64,
    over: bool,
    /// How long the connection took to come up.
    handshake: Duration,
}

#[derive(Default)]
struct Conn {
    link: Link,
    open: Mutex<Open>,
}

impl Conn {
    /// Takes an attempt in if there is a place for it.
    fn admit(&self, id: RequestId, slot: &Arc<Slot>, streams: usize) -> bool {
        let mut open = lock(&self.open);
        // What is told to end, or failed under a write, ends in a moment: nothing sent there would be heard.
        let ok = !open.over
            && !self.link.is_closing()
            && !open.doubted
            && open.slots.len() < streams
            && !open.spent.contains_key(&id)
            && !open.slots.contains_key(&id);
        if ok {
            open.slots.insert(id, slot.clone());
            open.idle_since = None;
            open.asked += 1;
        }
        ok
    }

    fn end(&self, id: RequestId, end: End) {
        let slot = {
            let mut open = lock(&self.open);
            let slot = open.slots.remove(&id);
            if open.slots.is_empty() {
                open.idle_since = Some(Instant::now());
            }
            // What was served is over, and of what was taken back nothing was written; anything else may be asked again,
            // and must not meet a second copy.
            if slot.is_some() && !matches!(end.ending, Ending::Completed | Ending::Retracted) {
                open.spent.insert(id, Instant::now());
            }
            slot
        };
        if let Some(slot) = slot {
            slot.put(end);
        }
    }

    /// Gives an attempt up: a request that was not begun is taken back, any other quits. An attempt that has
    /// just ended otherwise keeps that end. Whether the node is told.
    fn give_up(&self, id: RequestId, trace: &str, ending: Ending) -> bool {
        let Some(since) = lock(&self.open).slots.get(&id).map(|s| s.since) else { return false };
        if self.link.retract(id.0) {
            self.end(id, End::without_answer(Ending::ConnectionRefused));
            return false;
        }
        {
            let mut open = lock(&self.open);
            open.doubted |= ending == Ending::TimedOut && open.heard.is_none_or(|at| at < since);
        }
        // An attempt is out until the node hears that it is given up. Where that can't be written now, ending
        // the connection says it: the next attempt must not be out beside this one.
        if self.link.send(resp::quit(trace), None).is_some_and(|waiting| waiting > 0) {
            let _ = self.link.shut();
            self.link.close(Reason::Stuck);
        }
        self.end(id, End::without_answer(ending));
        true
    }

    fn answers(&self, buffer: &mut crate::buffer::Buffer) -> Result<(), Reason> {
        let mut whole = false;
        while let Some((len, answer)) = resp::parse(buffer.data()).map_err(|_| Reason::Malformed)? {
            let id = RequestId(u64::from_str_radix(answer.id, 16).map_err(|_| Reason::Malformed)?);
            let end = End::of(&answer).ok_or(Reason::Malformed)?;
            // A client's copy is called current only where the node names that very copy: one that named none holds
            // none, and an answer with another tag is another's.
            let known = lock(&self.open).slots.get(&id).map(|s| s.known.clone());
            if end.reply.as_ref().is_some_and(|r| r.current)
                && known.is_some_and(|known| known.is_none() || known.as_deref() != answer.field("tag"))
            {
                return Err(Reason::Malformed);
            }
            self.end(id, end);
            buffer.consume(len);
            whole = true;
        }
        let (mut open, now) = (lock(&self.open), Instant::now());
        if whole {
            open.heard = Some(now);
            open.doubted = false;
        }
        open.partial = (!buffer.data().is_empty()).then_some(now);
        Ok(())
    }

    /// How it is to be preferred, the least first: quiet ones last, as what is asked there may never be answered;
    /// then by how many share it.
    fn load(&self, now: Instant) -> (bool, usize) {
        let open = lock(&self.open);
        let oldest = open.slots.values().map(|s| s.since).min();
        let since = oldest.map(|at| open.heard.map_or(at, |heard| heard.max(at)));
        (since.is_some_and(|at| now.duration_since(at) > QUIET), open.slots.len())
    }

    /// Why it is of no further use, if so.
    fn useless(&self, now: Instant, idle: Duration) -> Option<Reason> {
        let open = lock(&self.open);
        let over = |at: Option<Instant>, limit| at.is_some_and(|at| now.duration_since(at) > limit);
        match () {
            () if over(open.partial, STALL) => Some(Reason::Stalled),
            () if open.doubted && open.slots.is_empty() => Some(Reason::Silent),
            () if over(open.idle_since, idle) => Some(Reason::Idle),
            () => None,
        }
    }

    /// The connection ended: each attempt on it ends once. Only what was not written whole is sure not to have
    /// run; that is held against the machine only where the connection never came up.
    fn lost(&self, unwritten_ends: Ending) {
        let unwritten = self.link.end();
        let word = {
            let mut open = lock(&self.open);
            open.over = true;
            let out = !open.slots.is_empty() && !open.handshake.is_zero();
            out.then(|| open.handshake.clamp(WORD[0], WORD[1]))
        };
        // The node gives up what is open here when it hears of the end, be it of this close or of a reset on the way: the
        // next attempt, over another connection, must not be there before.
        if let Some(word) = word {
            sleep::sleep(word);
        }
        let slots = std::mem::take(&mut lock(&self.open).slots);
        for (id, slot) in slots {
            let never = unwritten.contains(&id.0);
            slot.put(End::without_answer(if never { unwritten_ends } else { Ending::ConnectionLost }));
        }
    }
}

struct Node {
    addr: SocketAddr,
    born_ms: f64,
    conns: Vec<Arc<Conn>>,
    timing: Timeouts,
}

/// A machine's own time-outs; `None`: those of the deployment.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Timeouts {
    /// A connection that is not up by then was refused.
    pub connect: Option<Duration>,
    /// An idle connection is closed before this.
    pub idle: Option<Duration>,
}

/// Connects, again for a while where this machine wants for something and an attempt still waits; how long the connection
/// that came up took.
fn dial(addr: SocketAddr, timeout: Duration, conn: &Conn) -> std::io::Result<(TcpStream, Duration)> {
    let again = |e: &std::io::Error| {
        let waited_for = !lock(&conn.open).slots.is_empty() && !conn.link.is_closing();
        e.kind() != ErrorKind::TimedOut && Failure::of(e).is_for_a_moment() && waited_for
    };
    patiently(timeout, again, |left| {
        let began = Instant::now();
        let stream = TcpStream::connect_timeout(&addr, left.max(LEAST_CONNECT))?;
        Ok((stream, began.elapsed()))
    })
}

/// Brings a connection up and reads its answers until it ends: why that was, and what becomes of an attempt on it that was
/// not written whole.
fn serve(addr: SocketAddr, timeout: Duration, conn: &Conn) -> (Reason, Ending) {
    match dial(addr, timeout, conn) {
        Ok((stream, handshake)) => {
            lock(&conn.open).handshake = handshake;
            conn.link.up(stream);
            let why = conn.link.run(|b| conn.answers(b), |_| false);
            (why, Ending::Retracted)
        }
        Err(e) if e.kind() == ErrorKind::TimedOut => (Reason::ConnectTimeout, Ending::ConnectionRefused),
        // This front's own want: nothing to hold against the node.
        Err(e) => match Failure::of(&e) {
            Failure::Descriptors => (Reason::NoDescriptor, Ending::Retracted),
            Failure::Machine | Failure::Again => (Reason::NoRoute, Ending::Retracted),
            Failure::Remote => (Reason::Refused, Ending::ConnectionRefused),
        },
    }
}

/// Closes the connection that has been idle for longest, to make a place; whether there is one.
fn close_idlest(nodes: &HashMap<CacheId, Node>) -> bool {
    let all = nodes.values().flat_map(|node| &node.conns);
    let idle = all.filter_map(|conn| {
        let open = lock(&conn.open);
        open.idle_since.filter(|_| !open.over && open.slots.is_empty()).map(|since| (since, conn))
    });
    let idlest = idle.min_by_key(|(since, _)| *since);
    if let Some((_, conn)) = idlest {
        lock(&conn.open).over = true;
        conn.link.close(Reason::TooMany);
    }
    idlest.is_some()
}

/// All connections to the machines behind.
pub struct ConnectionPool {
    limits: ConnectionLimits,
    nodes: Mutex<HashMap<CacheId, Node>>,
    leaving: Mutex<Vec<Arc<Conn>>>,
    /// By the request: it has one attempt out at a time.
    attempts: Mutex<HashMap<RequestId, Arc<Slot>>>,
    connections: Arc<AtomicUsize>,
    invariants: Arc<Invariants>,
    reason_counts: Arc<ReasonCounts>,
}

impl ConnectionPool {
    /// No machine is known yet; what must hold is counted there.
    pub fn new(
        limits: ConnectionLimits,
        invariants: Arc<Invariants>,
        reason_counts: Arc<ReasonCounts>,
    ) -> ConnectionPool {
        ConnectionPool {
            limits,
            nodes: Mutex::default(),
            leaving: Mutex::default(),
            attempts: Mutex::default(),
            connections: Arc::default(),
            invariants,
            reason_counts,
        }
    }

    /// A machine is at that address. A new address or start is a new process: the old connections are not used again.
    pub fn add_node(&self, id: CacheId, addr: SocketAddr, born_ms: f64) {
        let old = {
            let mut nodes = lock(&self.nodes);
            match nodes.get(&id) {
                Some(n) if n.addr == addr && n.born_ms == born_ms => None,
                _ => nodes.insert(id, Node { addr, born_ms, conns: Vec::new(), timing: Timeouts::default() }),
            }
        };
        self.retire(old);
    }

    /// A machine's own time-outs, from its next connection on. One that is not known has none.
    pub fn set_timeouts(&self, id: &CacheId, timing: Timeouts) {
        if let Some(node) = lock(&self.nodes).get_mut(id) {
            node.timing = timing;
        }
    }

    /// A machine has gone; its address may belong to another from now on.
    pub fn remove_node(&self, id: &CacheId) {
        let old = lock(&self.nodes).remove(id);
        self.drain_nodes(std::slice::from_ref(id));
        self.retire(old);
    }

    /// Drops all machines but these.
    pub fn retain_nodes(&self, ids: &[CacheId]) {
        let gone: Vec<CacheId> = lock(&self.nodes).keys().filter(|k| !ids.contains(k)).cloned().collect();
        gone.iter().for_each(|id| self.remove_node(id));
    }

    fn retire(&self, node: Option<Node>) {
        let conns: Vec<Arc<Conn>> = node.into_iter().flat_map(|n| n.conns).collect();
        // What waits there for its connection would come to whoever has the address by then.
        for conn in &conns {
            lock(&conn.open).slots.values().for_each(|slot| slot.withdraw());
        }
        lock(&self.leaving).extend(conns);
    }

    /// Those machines drain: what is to go there, or to be filled from there, and was not begun, is taken back. Guards
    /// the grace for draining nodes, which counts to a send's first byte, against connections that come up late.
    pub fn drain_nodes(&self, ids: &[CacheId]) {
        for slot in lock(&self.attempts).values() {
            if ids.iter().any(|id| *id == slot.cache || Some(id) == slot.source.as_ref()) {
                slot.withdraw();
            }
        }
    }

    /// An attempt of that request is taken back if it was not begun: nobody waits for it any more, or it was decided on
    /// before a purge of what it asks for. One that was begun is the module's to call off.
    pub fn withdraw(&self, id: RequestId) {
        if let Some(slot) = lock(&self.attempts).get(&id) {
            slot.withdraw();
        }
    }

    /// Attempts in flight.
    pub fn attempts_in_flight(&self) -> usize {
        lock(&self.attempts).len()
    }

    /// Makes an attempt and waits for its end, within `times`; `trace` names its request at the node, `known` the client's
    /// own copy. An attempt that still waits, and may not begin any more when it could, is not made.
    pub fn execute(
        &self,
        a: &Attempt,
        trace: &str,
        known: Option<String>,
        times: AttemptTimes,
        sending: Arc<dyn PendingAttempt>,
    ) -> End {
        let slot = Arc::new(Slot::new(a, known, sending));
        let other = lock(&self.attempts).insert(a.id, slot.clone());
        self.invariants.check(Invariant::OneAttempt, other.is_none(), || {
            format!("trace={trace} n={} while another is out", a.number)
        });
        let end = self.wait(a, &slot, trace, times);
        lock(&self.attempts).remove(&a.id);
        let progress = *lock(&slot.progress);
        End { begun: progress.begun, whole: progress.whole, ..end }
    }

    fn wait(&self, a: &Attempt, slot: &Arc<Slot>, trace: &str, times: AttemptTimes) -> End {
        let mut times = times;
        let now = Instant::now();
        if let Err(why) = slot.sending.check(now) {
            self.reason_counts.add(Kind::Denied, why.name());
            return End::without_answer(why.ending());
        }
        let conn = match self.checkout(a, slot) {
            Ok(conn) => conn,
            Err(ending) => return End::without_answer(ending),
        };
        if conn.link.send_through(slot.sending.bytes(now), a.id.0, slot.clone()).is_none() {
            conn.end(a.id, End::without_answer(Ending::Retracted));
        }
        loop {
            if let Some(end) = lock(&slot.end).take() {
                return end;
            }
            let denied = lock(&slot.progress).denied;
            if let Some(why) = denied {
                self.reason_counts.add(Kind::Denied, why.name());
                conn.end(a.id, End::without_answer(why.ending()));
                continue;
            }
            let now = Instant::now();
            let left = times.deadline.saturating_duration_since(now);
            // Whether it has begun is asked once: what has begun goes on.
            let late = times.begin_by.take_if(|by| now >= *by).is_some();
            let withdrawn = slot.withdrawn.swap(false, Ordering::AcqRel);
            if (withdrawn || late) && conn.link.retract(a.id.0) {
                conn.end(a.id, End::without_answer(Ending::Retracted));
                continue;
            }
            let ending = if a.cancelled.load(Ordering::Acquire) {
                Ending::Cancelled
            } else if left.is_zero() {
                Ending::TimedOut
            } else {
                let begin = times.begin_by.map_or(left, |by| by.saturating_duration_since(now));
                sleep::park(&slot.blocker, left.min(begin));
                continue;
            };
            // The word that gives it up and the next attempt go over two connections, and the second may be there
            // first: for the node, or the next one, two attempts of one request are out.
            if conn.give_up(a.id, trace, ending) {
                // Read before the wait: a lock that is held across a yield stops the worker for good.
                let handshake = lock(&conn.open).handshake;
                sleep::sleep(handshake.clamp(WORD[0], WORD[1]));
            }
        }
    }

    /// Wakes an attempt that was called off.
    pub fn cancel(&self, id: RequestId, attempt: u32) {
        if let Some(slot) = lock(&self.attempts).get(&id).filter(|s| s.number == attempt) {
            slot.blocker.unpark();
        }
    }

    /// A connection with a place for the attempt, be it one that is still coming up: one that few share and that
    /// is not quiet, or a new one while there are places, or the one that fewest share.
    fn checkout(&self, a: &Attempt, slot: &Arc<Slot>) -> Result<Arc<Conn>, Ending> {
        let mut nodes = lock(&self.nodes);
        let used = nodes.values().filter(|n| !n.conns.is_empty()).count();
        let fair = (self.limits.connections / (used + 1)).max(1);
        let node = nodes.get_mut(&a.cache).ok_or(Ending::ConnectionRefused)?;
        node.conns.retain(|c| !lock(&c.open).over);
        let now = Instant::now();
        let mut by_load: Vec<_> = node.conns.iter().map(|c| (c.load(now), c)).collect();
        if let Some((_, c)) =
            by_load.iter().find(|((quiet, n), c)| !quiet && *n < SHARED && c.admit(a.id, slot, SHARED))
        {
            return Ok((*c).clone());
        }
        let full = self.connections.load(Ordering::Relaxed) >= self.limits.connections;
        if full || by_load.len() >= fair {
            by_load.sort_by_key(|(load, _)| *load);
            if let Some((_, c)) = by_load.iter().find(|(_, c)| c.admit(a.id, slot, self.limits.streams)) {
                return Ok((*c).clone());
            }
        }
        if full && !close_idlest(&nodes) {
            // The front's own limit: nothing to hold against the node.
            return Err(Ending::Retracted);
        }
        let Some(node) = nodes.get_mut(&a.cache) else { return Err(Ending::ConnectionRefused) };
        self.connections.fetch_add(1, Ordering::Relaxed);
        let conn = Arc::new(Conn::default());
        conn.admit(a.id, slot, self.limits.streams);
        node.conns.push(conn.clone());
        let timeout = node.timing.connect.unwrap_or(self.limits.connect_timeout);
        let (dialled, addr) = (conn.clone(), node.addr);
        let (name, count, reason_counts) =
            (a.cache.clone(), self.connections.clone(), self.reason_counts.clone());
        spawn(move || {
            // A defect costs this connection: its attempts end, and its place is given back.
            let ended = catch_unwind(AssertUnwindSafe(|| serve(addr, timeout, &dialled)));
            let (why, unwritten) = ended.unwrap_or((Reason::Defect, Ending::Retracted));
            dialled.lost(unwritten);
            count.fetch_sub(1, Ordering::Relaxed);
            let asked = lock(&dialled.open).asked;
            reason_counts.add(Kind::UpstreamClosed, why.code());
            tracing::info!(kind = %"upstream", node = %name.0, %addr, reason = %why.code(), asked, "end");
        });
        Ok(conn)
    }

    /// Now and then: closes what is idle, of no further use or has left the list, and takes back what a stuck connection has not
    /// begun to send in the time a new one may take. Guards the grace for draining nodes, which counts to a
    /// send's first byte.
    pub fn sweep(&self) {
        let now = Instant::now();
        let idle = |n: &Node| n.timing.idle.unwrap_or(self.limits.idle).mul_f64(IDLE_PART);
        let conns: Vec<_> = lock(&self.nodes)
            .values()
            .flat_map(|n| n.conns.iter().map(move |c| (c.clone(), idle(n))))
            .collect();
        for (c, idle) in conns {
            for tag in
                now.checked_sub(self.limits.connect_timeout).map_or(vec![], |t| c.link.retract_older(t))
            {
                c.end(RequestId(tag), End::without_answer(Ending::ConnectionRefused));
            }
            lock(&c.open).spent.retain(|_, at| now.duration_since(*at) < LATE);
            if let Some(why) = c.useless(now, idle) {
                lock(&c.open).over = true;
                c.link.close(why);
            }
        }
        lock(&self.leaving).retain(|c| {
            let done = lock(&c.open).slots.is_empty();
            if done {
                lock(&c.open).over = true;
                c.link.close(Reason::Retired);
            }
            !done
        });
    }
}

#[cfg(test)]
mod tests;
