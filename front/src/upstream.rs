//! Connections to cache nodes, parents and the origin: few for each, many requests on one.

use crate::link::{lock, Link};
use crate::log::{Log, Reason};
use crate::resp;
use crate::spawn::spawn;
use fernslip::facade::{Attempt, Waiter};
use fernslip::{CacheId, Ending, RequestId};
use may::net::TcpStream;
use may::sync::Blocker;
use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Notes in the order of the module's numbers, from 1.
const NOTES: [&str; 10] =
    ["warm", "fill", "deep_fill", "piggy", "aged", "bounced", "dropped", "lacking", "jammed", "backfire"];
/// Part of the time after which a node closes an idle connection: closed before by us, no request crosses it.
const IDLE_PART: f64 = 0.6;
/// For so long an answer may still come that was given up.
const LATE: Duration = Duration::from_secs(20);

/// What the deployment allows.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
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
    /// What came, where it was served.
    pub reply: Option<Reply>,
}

impl End {
    fn without_answer(ending: Ending) -> End {
        End { ending, detail: 0, fill_wait_ms: 0.0, reply: None }
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
        let note = a.field("tell").and_then(|t| NOTES.iter().position(|n| *n == t));
        let current = a.word == "still_good";
        let body = if current { Vec::new() } else { a.body.to_vec() };
        Some(End {
            ending,
            detail: note.map_or(0, |n| n as u8 + 1),
            fill_wait_ms: a.field("lag").and_then(|v| v.parse().ok()).unwrap_or(0.0),
            reply: (ending == Ending::Completed).then_some(Reply { current, body }),
        })
    }
}

/// Waits of this front: of a coroutine, or of a plain thread.
pub struct Wait(pub Arc<Blocker>);

impl Waiter for Wait {
    fn wait(&self) {
        let _ = self.0.park(None);
    }

    fn wake(&self) {
        self.0.unpark();
    }
}

/// Rounds up to whole milliseconds. May cuts a wait to whole milliseconds and takes 0 for 'for ever': the rest
/// of a wait that ended a little early would never end, and its request would get no answer.
fn whole_ms(d: Duration) -> Duration {
    Duration::from_millis(d.as_micros().div_ceil(1000).max(1) as u64)
}

/// Where the coroutine of an attempt waits for its end.
struct Slot {
    blocker: Arc<Blocker>,
    end: Mutex<Option<End>>,
}

impl Slot {
    fn put(&self, end: End) {
        lock(&self.end).get_or_insert(end);
        self.blocker.unpark();
    }
}

#[derive(Default)]
struct Open {
    slots: HashMap<RequestId, Arc<Slot>>,
    /// Given up on this connection: a late answer may still come, so the id is not used here again.
    quit: HashMap<RequestId, Instant>,
    idle_since: Option<Instant>,
    asked: u64,
    over: bool,
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
        let ok = !open.over
            && open.slots.len() < streams
            && !open.quit.contains_key(&id)
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
            slot
        };
        if let Some(slot) = slot {
            slot.put(end);
        }
    }

    /// Gives an attempt up: a request that was not begun is taken back, any other quits. An attempt that has
    /// just ended otherwise keeps that end.
    fn give_up(&self, id: RequestId, trace: &str, ending: Ending) {
        if !lock(&self.open).slots.contains_key(&id) {
            return;
        }
        if self.link.retract(id.0) {
            return self.end(id, End::without_answer(Ending::RefusedConn));
        }
        lock(&self.open).quit.insert(id, Instant::now());
        // An attempt is out until the node hears that it is given up. Where that can't be written now, ending
        // the connection says it: the next attempt must not be out beside this one.
        if self.link.send(resp::quit(trace), None).is_some_and(|waiting| waiting > 0) {
            let _ = self.link.shut();
            self.link.close(Reason::Stuck);
        }
        self.end(id, End::without_answer(ending));
    }

    fn answers(&self, buffer: &mut crate::buffer::Buffer) -> Result<(), Reason> {
        loop {
            let len = match resp::parse(buffer.data()) {
                Ok(None) => return Ok(()),
                Err(_) => return Err(Reason::Malformed),
                Ok(Some((len, answer))) => {
                    let id = u64::from_str_radix(answer.id, 16).map_err(|_| Reason::Malformed)?;
                    let end = End::of(&answer).ok_or(Reason::Malformed)?;
                    self.end(RequestId(id), end);
                    len
                }
            };
            buffer.consume(len);
        }
    }

    /// The connection ended: each attempt on it ends once. Only what was not begun is sure not to have run.
    fn lost(&self) {
        let unwritten = self.link.over();
        let slots = {
            let mut open = lock(&self.open);
            open.over = true;
            std::mem::take(&mut open.slots)
        };
        for (id, slot) in slots {
            let never = unwritten.contains(&id.0);
            slot.put(End::without_answer(if never { Ending::RefusedConn } else { Ending::Severed }));
        }
    }
}

struct Node {
    addr: SocketAddr,
    born_ms: f64,
    conns: Vec<Arc<Conn>>,
}

/// All connections to the machines behind.
pub struct Upstream {
    limits: Limits,
    log: Log,
    nodes: Mutex<HashMap<CacheId, Node>>,
    leaving: Mutex<Vec<Arc<Conn>>>,
    attempts: Mutex<HashMap<(RequestId, u32), Arc<Slot>>>,
    connections: Arc<AtomicUsize>,
}

impl Upstream {
    /// No machine is known yet.
    pub fn new(limits: Limits, log: Log) -> Upstream {
        Upstream {
            limits,
            log,
            nodes: Mutex::default(),
            leaving: Mutex::default(),
            attempts: Mutex::default(),
            connections: Arc::default(),
        }
    }

    /// A machine is at that address. A new address or start is a new process: the old connections are not used again.
    pub fn know(&self, id: CacheId, addr: SocketAddr, born_ms: f64) {
        let old = {
            let mut nodes = lock(&self.nodes);
            match nodes.get(&id) {
                Some(n) if n.addr == addr && n.born_ms == born_ms => None,
                _ => nodes.insert(id, Node { addr, born_ms, conns: Vec::new() }),
            }
        };
        self.retire(old);
    }

    /// A machine has gone; its address may belong to another from now on.
    pub fn drop_node(&self, id: &CacheId) {
        let old = lock(&self.nodes).remove(id);
        self.retire(old);
    }

    /// Drops all machines but these.
    pub fn keep_only(&self, ids: &[CacheId]) {
        let gone: Vec<CacheId> = lock(&self.nodes).keys().filter(|k| !ids.contains(k)).cloned().collect();
        gone.iter().for_each(|id| self.drop_node(id));
    }

    fn retire(&self, node: Option<Node>) {
        lock(&self.leaving).extend(node.into_iter().flat_map(|n| n.conns));
    }

    /// Makes an attempt and waits for its end, until `deadline` at the latest.
    pub fn run(&self, attempt: &Attempt, trace: &str, fields: &str, body: &[u8], deadline: Instant) -> End {
        let slot = Arc::new(Slot { blocker: Blocker::current(), end: Mutex::new(None) });
        let key = (attempt.id, attempt.number);
        lock(&self.attempts).insert(key, slot.clone());
        let end = self.wait(attempt, &slot, trace, resp::ask(trace, fields, body), deadline);
        lock(&self.attempts).remove(&key);
        end
    }

    fn wait(&self, a: &Attempt, slot: &Arc<Slot>, trace: &str, ask: Vec<u8>, deadline: Instant) -> End {
        if a.called_off.load(Ordering::Acquire) {
            return End::without_answer(Ending::Recalled);
        }
        let Some(conn) = self.checkout(a, slot) else { return End::without_answer(Ending::RefusedConn) };
        if conn.link.send(ask, Some(a.id.0)).is_none() {
            conn.end(a.id, End::without_answer(Ending::RefusedConn));
        }
        loop {
            if let Some(end) = lock(&slot.end).take() {
                return end;
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if a.called_off.load(Ordering::Acquire) {
                conn.give_up(a.id, trace, Ending::Recalled);
            } else if left.is_zero() {
                conn.give_up(a.id, trace, Ending::Overdue);
            } else {
                let _ = slot.blocker.park(Some(whole_ms(left)));
                continue;
            }
        }
    }

    /// Wakes an attempt that was called off.
    pub fn cancel(&self, id: RequestId, attempt: u32) {
        if let Some(slot) = lock(&self.attempts).get(&(id, attempt)) {
            slot.blocker.unpark();
        }
    }

    /// A connection with a place for the attempt, be it one that is still coming up.
    fn checkout(&self, a: &Attempt, slot: &Arc<Slot>) -> Option<Arc<Conn>> {
        let mut nodes = lock(&self.nodes);
        let node = nodes.get_mut(&a.cache)?;
        node.conns.retain(|c| !lock(&c.open).over);
        if let Some(c) = node.conns.iter().find(|c| c.admit(a.id, slot, self.limits.streams)) {
            return Some(c.clone());
        }
        if self.connections.load(Ordering::Relaxed) >= self.limits.connections {
            return None;
        }
        self.connections.fetch_add(1, Ordering::Relaxed);
        let conn = Arc::new(Conn::default());
        conn.admit(a.id, slot, self.limits.streams);
        node.conns.push(conn.clone());
        let (dialled, addr, timeout) = (conn.clone(), node.addr, self.limits.connect_timeout);
        let (name, log, count) = (a.cache.clone(), self.log.clone(), self.connections.clone());
        spawn(move || {
            let why = match TcpStream::connect_timeout(&addr, timeout) {
                Ok(stream) => {
                    dialled.link.up(stream);
                    let why = dialled.link.run(|b| dialled.answers(b));
                    let _ = dialled.link.shut();
                    why
                }
                Err(e) if e.kind() == ErrorKind::TimedOut => Reason::ConnectTimeout,
                Err(_) => Reason::Refused,
            };
            dialled.lost();
            count.fetch_sub(1, Ordering::Relaxed);
            let asked = lock(&dialled.open).asked;
            log.line(format!(
                "end kind=upstream node={} addr={addr} reason={} asked={asked}",
                name.0,
                why.code()
            ));
        });
        Some(conn)
    }

    /// Now and then: closes what is idle or has left the list, and takes back what a stuck connection has not
    /// begun to send in the time a new one may take. Guards the grace for draining nodes, which counts to a
    /// send's first byte.
    pub fn sweep(&self) {
        let now = Instant::now();
        let idle = self.limits.idle.mul_f64(IDLE_PART);
        let conns: Vec<_> = lock(&self.nodes).values().flat_map(|n| n.conns.clone()).collect();
        for c in conns {
            for tag in
                now.checked_sub(self.limits.connect_timeout).map_or(vec![], |t| c.link.retract_older(t))
            {
                c.end(RequestId(tag), End::without_answer(Ending::RefusedConn));
            }
            let mut open = lock(&c.open);
            open.quit.retain(|_, at| now.duration_since(*at) < LATE);
            if open.idle_since.is_some_and(|at| now.duration_since(at) > idle) {
                open.over = true;
                c.link.close(Reason::Idle);
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
mod tests {
    use super::*;

    #[test]
    fn a_wait_shorter_than_a_millisecond_ends() {
        assert_eq!(whole_ms(Duration::from_micros(1)), Duration::from_millis(1));
        assert_eq!(whole_ms(Duration::from_micros(7001)), Duration::from_millis(8));
        let limits = Limits {
            streams: 1,
            connect_timeout: Duration::from_millis(400),
            idle: Duration::from_secs(9),
            connections: 4,
        };
        let upstream = Arc::new(Upstream::new(limits, Log::start()));
        // A machine that takes connections and says nothing.
        let silent = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        upstream.know("s-1".into(), silent.local_addr().expect("bound"), 0.0);
        let ends: Vec<_> = (0..20u64)
            .map(|i| {
                let upstream = upstream.clone();
                may::go!(move || {
                    let a = Attempt {
                        id: RequestId(i),
                        number: 0,
                        cache: "s-1".into(),
                        source: None,
                        until_ms: 0.0,
                        rank: 0,
                        age_ms: 0.0,
                        join: false,
                        renew: false,
                        called_off: Arc::default(),
                    };
                    let deadline = Instant::now() + Duration::from_micros(30_000 + 137 * i);
                    upstream.run(&a, &format!("{i:016x}"), "cls=x", b"", deadline).ending
                })
            })
            .collect();
        for e in ends {
            assert!(matches!(e.join(), Ok(Ending::Overdue | Ending::RefusedConn)));
        }
    }
}
