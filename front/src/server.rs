//! Clients: their connections, and what they ask.

use crate::buffer::Buffer;
use crate::link::{lock, Link};
use crate::log::Reason;
use crate::msgpack_rpc::{self as rpc, Fields, Message};
use crate::relay::{self, Answer, Ask};
use crate::spawn::spawn;
use crate::Shared;
use fernslip::{ObjectId, Request, RequestId};
use may::net::{TcpListener, TcpStream};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Open requests on one connection; clients keep to 32.
const MOST_OPEN: usize = 64;
/// Answers of one connection that wait to be read: all that may be open, at the longest.
const MOST_WAITING: usize = MOST_OPEN * 256 * 1024 / 2;
/// Answers of all connections that wait: what memory has room for.
const MOST_WAITING_IN_ALL: usize = 64 << 20;
/// Bodies of open writes, all together; more is refused before it is a request.
const MOST_BODIES: usize = 24 << 20;
/// When one that memory had no room for may come back, in milliseconds.
const NO_ROOM_PAUSE: f64 = 500.0;
/// An idle connection is closed; clients do so long before.
const IDLE: Duration = Duration::from_secs(60);
/// Of what a client waits, kept back for the way there and back.
const WAY_MS: f64 = 20.0;

#[derive(Default)]
struct Open {
    /// By the call's number on this connection.
    calls: HashMap<u32, RequestId>,
    idle_since: Option<Instant>,
    waiting: usize,
    taken: u64,
}

/// One client's connection.
#[derive(Default)]
struct Client {
    link: Link,
    open: Mutex<Open>,
}

/// All clients' connections.
#[derive(Default)]
pub struct Server {
    clients: Mutex<HashMap<u64, Arc<Client>>>,
    next: AtomicUsize,
    waiting: AtomicUsize,
    bodies: AtomicUsize,
    closed: AtomicBool,
}

/// Reads what a call asks for.
fn request(
    front: &Shared,
    method: &str,
    fields: Fields,
    body: Vec<u8>,
) -> Result<(Request, Ask), &'static str> {
    let mut by_name: HashMap<String, String> = fields.into_iter().collect();
    let mut text = |name: &'static str| by_name.remove(name).ok_or(name);
    let (trace, item, chunk) = (text("trace")?, text("entity")?, text("slice")?);
    let hex = |v: &str, name| {
        let digits = v.len() == 16 && v.bytes().all(|b| b.is_ascii_hexdigit());
        u64::from_str_radix(v, 16).ok().filter(|_| digits).ok_or(name)
    };
    let number = |v: String, name| v.parse::<f64>().ok().filter(|n| n.is_finite() && *n >= 0.0).ok_or(name);
    let request = Request {
        id: RequestId(hex(&trace, "trace")?),
        object: ObjectId(hex(&item, "entity")?),
        part: chunk.parse().map_err(|_| "slice")?,
        class: front.names.classes.iter().position(|c| c == method).ok_or("class")?,
        size_kb: text("size").map_or(Ok(0.0), |v| number(v, "size"))?,
        budget_ms: (number(text("patience")?, "patience")? - WAY_MS).max(0.0),
        group: text("set").map_or(Ok(0), |v| v.parse().map_err(|_| "set"))?,
    };
    let known = text("seen").ok();
    // Passed on inside a list of fields: what would end a field there can't be meant.
    if known.as_ref().is_some_and(|k| !k.bytes().all(|b| b.is_ascii_alphanumeric())) {
        return Err("seen");
    }
    Ok((request, Ask { trace, class: method.to_string(), item, chunk, known, body }))
}

impl Client {
    fn send(&self, front: &Shared, bytes: Vec<u8>) {
        if let Some(waiting) = self.link.send(bytes, None) {
            let before = std::mem::replace(&mut lock(&self.open).waiting, waiting);
            let all = &front.server.waiting;
            let total = all.fetch_add(waiting, Ordering::Relaxed) + waiting;
            all.fetch_sub(before, Ordering::Relaxed);
            // A client that does not read must not cost the others their memory.
            if waiting > MOST_WAITING || waiting > 0 && total - before > MOST_WAITING_IN_ALL {
                self.link.close(Reason::SlowReader);
            }
        }
    }

    /// Answers a call unless the client has forgotten it.
    fn answer(&self, front: &Shared, call: u32, answer: Answer) {
        {
            let mut open = lock(&self.open);
            if open.calls.remove(&call).is_none() {
                return;
            }
            if open.calls.is_empty() {
                open.idle_since = Some(Instant::now());
            }
        }
        let bytes = match answer {
            Answer::Served(r) if r.current => rpc::served(call, &[], &[("current", "1")]),
            Answer::Served(r) => rpc::served(call, &r.body, &[]),
            Answer::Refused(pause) if pause >= 1.0 => {
                rpc::error(call, "Shed", &[("pause", &(pause as u64).to_string())])
            }
            Answer::Refused(_) => rpc::error(call, "Shed", &[]),
            Answer::Failed => rpc::error(call, "Fault", &[]),
            Answer::None => return,
        };
        self.send(front, bytes);
    }

    fn call(
        self: &Arc<Self>,
        front: &Arc<Shared>,
        call: u32,
        method: String,
        fields: Fields,
        body: Vec<u8>,
    ) -> Result<(), Reason> {
        if method == "isWell" {
            self.send(front, rpc::well(call, front.is_well()));
            return Ok(());
        }
        let (request, ask) = match request(front, &method, fields, body) {
            Ok(r) => r,
            Err(field) => {
                self.send(front, rpc::error(call, "Fault", &[("field", field)]));
                return Ok(());
            }
        };
        {
            let mut open = lock(&self.open);
            if open.calls.len() >= MOST_OPEN || open.calls.insert(call, request.id).is_some() {
                return Err(Reason::Malformed);
            }
            open.idle_since = None;
            open.taken += 1;
        }
        let bytes = ask.body.len();
        if front.server.bodies.fetch_add(bytes, Ordering::Relaxed) + bytes > MOST_BODIES {
            front.server.bodies.fetch_sub(bytes, Ordering::Relaxed);
            self.answer(front, call, Answer::Refused(NO_ROOM_PAUSE));
            return Ok(());
        }
        let (client, front) = (self.clone(), front.clone());
        spawn(move || {
            let answer = relay::serve(&front.dispatcher, &front.upstream, &front.clock, request, &ask);
            front.server.bodies.fetch_sub(bytes, Ordering::Relaxed);
            client.answer(&front, call, answer);
        });
        Ok(())
    }

    fn forget(&self, front: &Shared, call: u32) {
        let id = {
            let mut open = lock(&self.open);
            let id = open.calls.remove(&call);
            if open.calls.is_empty() {
                open.idle_since = Some(Instant::now());
            }
            id
        };
        if let Some(id) = id {
            front.dispatcher.gone(front.clock.now(), id);
        }
    }

    fn take(self: &Arc<Self>, front: &Arc<Shared>, buffer: &mut Buffer) -> Result<(), Reason> {
        loop {
            let Some((len, message)) = rpc::parse(buffer.data()).map_err(|_| Reason::Malformed)? else {
                return Ok(());
            };
            buffer.consume(len);
            match message {
                Message::Call { id, method, fields, body } => self.call(front, id, method, fields, body)?,
                Message::Forget(call) => self.forget(front, call),
                Message::Other => {}
            }
        }
    }
}

impl Server {
    /// Takes clients in until the front ends.
    pub fn run(&self, front: &Arc<Shared>, listener: &TcpListener, most: usize) {
        loop {
            match listener.accept() {
                Ok((stream, _)) if self.closed.load(Ordering::Acquire) => drop(stream),
                Ok((stream, peer)) => {
                    if lock(&self.clients).len() >= most {
                        front
                            .log
                            .line(format!("end kind=client peer={peer} reason={}", Reason::TooMany.code()));
                        continue;
                    }
                    let front = front.clone();
                    spawn(move || front.server.serve(&front, stream, peer));
                }
                // Out of descriptors, or a client that left at once: the next may be fine.
                Err(_) => may::coroutine::sleep(Duration::from_millis(5)),
            }
        }
    }

    fn serve(&self, front: &Arc<Shared>, stream: TcpStream, peer: SocketAddr) {
        let number = self.next.fetch_add(1, Ordering::Relaxed) as u64;
        let client = Arc::new(Client::default());
        lock(&client.open).idle_since = Some(Instant::now());
        lock(&self.clients).insert(number, client.clone());
        client.link.up(stream);
        let why = client.link.run(|buffer| client.take(front, buffer));
        let _ = client.link.shut();
        lock(&self.clients).remove(&number);
        let (left, waiting, taken) = {
            let mut open = lock(&client.open);
            (std::mem::take(&mut open.calls), std::mem::take(&mut open.waiting), open.taken)
        };
        self.waiting.fetch_sub(waiting, Ordering::Relaxed);
        front.log.line(format!(
            "end kind=client peer={peer} reason={} taken={taken} unanswered={}",
            why.code(),
            left.len()
        ));
        for id in left.into_values() {
            front.dispatcher.gone(front.clock.now(), id);
        }
    }

    /// Closes connections that nobody uses.
    pub fn sweep(&self, ending: bool) {
        let now = Instant::now();
        let limit = if ending { Duration::ZERO } else { IDLE };
        for c in lock(&self.clients).values() {
            let idle = lock(&c.open).idle_since.is_some_and(|at| now.duration_since(at) >= limit);
            if idle && c.link.is_drained() {
                c.link.close(if ending { Reason::Shutdown } else { Reason::Idle });
            }
        }
    }

    /// No client is taken in any more.
    pub fn close(&self) {
        self.closed.store(true, Ordering::Release);
    }

    /// Every answer has been written, and no call is open.
    pub fn is_done(&self) -> bool {
        lock(&self.clients).values().all(|c| lock(&c.open).calls.is_empty() && c.link.is_drained())
    }
}
