//! Clients: their connections, and what they ask.

use crate::budget::Budget;
use crate::buffer::Buffer;
use crate::call;
use crate::failure::Failure;
use crate::forward::{self, Answer};
use crate::invariants::Invariant;
use crate::link::Link;
use crate::link::Stream;
use crate::listen::{Listener, Origin};
use crate::log::Reason;
use crate::metrics::Outcome;
use crate::msgpack_rpc::{self as rpc, Fields, Message};
use crate::reason_counts::Kind;
use crate::shared::Shared;
use crate::spawn::spawn;
use crate::sync::lock;
use crate::upstream::caller::Caller;
use crate::upstream::dispatch_queue::DispatchQueue;
use fernslip::{Class, Request, RequestId};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Open requests on one connection: the protocol's own figure. More are refused, so that no client has the whole
/// front to itself.
const MOST_OPEN: usize = 32;
/// Answers of one connection that wait to be read: all that may be open, at the longest.
const MOST_UNREAD: usize = MOST_OPEN * 256 * 1024;
/// A client that has answers waiting and took no byte of them for so long reads no more.
const UNREAD: Duration = Duration::from_secs(5);
/// At the front's end the rest of a message that has begun is waited for so long.
const LAST_PART: Duration = Duration::from_millis(200);
/// Connections above the budget for clients that are just being closed; more wait to be accepted.
const CLOSING: usize = 4;
/// Between two tries to accept where no descriptor is left: the first, and the longest.
const NO_DESCRIPTOR: [Duration; 2] = [Duration::from_millis(5), Duration::from_millis(80)];
/// An idle connection is closed; clients close theirs after 4 s, but some keep it for good.
const IDLE: Duration = Duration::from_secs(5);
/// A client that has connected says something within this time, and what it has begun to say it ends. Guards the
/// places for others against those that connect and say nothing, or half of it.
const SPEAK: Duration = Duration::from_secs(2);
/// When a client that was turned away for the front's end may come back, in milliseconds: another process or front
/// takes it at once.
const ENDING_PAUSE: &str = "100";
/// Where all places are taken, a connection that has said nothing yet keeps its place for so long.
const FRESH: Duration = Duration::from_millis(200);

/// A call that is open.
struct Call {
    id: RequestId,
    queue: Arc<DispatchQueue>,
    /// Told when its client does not wait any more.
    caller: Arc<Caller>,
}

struct Open {
    /// By the call's number on this connection.
    calls: HashMap<u32, Call>,
    /// No call is open since then.
    idle_since: Option<Instant>,
    /// A message has come in part since then.
    partial_since: Option<Instant>,
    /// Bytes of that part.
    partial: usize,
    taken: u64,
    /// It was told to close, or closes: it counts among the clients no more.
    leaving: bool,
    /// A whole message came.
    spoke: bool,
    /// A request was served: this is a client as they should be.
    served: bool,
}

/// One client's connection.
struct Client {
    link: Link,
    open: Mutex<Open>,
}

/// All clients' connections.
pub struct Server {
    budget: Budget,
    classes: Vec<Class>,
    clients: Mutex<HashMap<u64, Arc<Client>>>,
    next: AtomicU64,
    /// Bytes of answers that wait to be read, over all connections.
    unread: Arc<AtomicUsize>,
    /// Descriptors that clients' connections hold.
    held: AtomicUsize,
    /// Of these, how many are being closed.
    leaving: AtomicUsize,
    bodies: AtomicUsize,
    partial: AtomicUsize,
    closed: AtomicBool,
    /// Since `evacuate`, until `activate`.
    evacuated: Mutex<Option<Instant>>,
    /// Connections are closed as they fall idle.
    ending: AtomicBool,
    /// When the process ends at the latest: what is taken from now on is to be answered well before.
    end_by: Mutex<Option<Instant>>,
}

/// What clients have under way and hold; all of it is 0 when nobody is there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Held {
    /// Descriptors of connections.
    pub connections: usize,
    /// Of these, those that are being closed.
    pub leaving: usize,
    /// Bytes of answers that wait to be read.
    pub unread: usize,
    /// Bytes of open writes' bodies.
    pub bodies: usize,
    /// Bytes of messages that have not come whole.
    pub partial: usize,
}

impl Open {
    /// Whether it may be closed where the front is ending: no call is open, and it has not just connected, as then it is
    /// about to ask.
    fn rests(&self, now: Instant) -> bool {
        self.idle_since.is_some_and(|at| self.spoke || now.duration_since(at) >= FRESH)
    }
}

impl Client {
    fn new(unread: Arc<AtomicUsize>) -> Client {
        let open = Open {
            calls: HashMap::new(),
            idle_since: Some(Instant::now()),
            partial_since: None,
            partial: 0,
            taken: 0,
            leaving: false,
            spoke: false,
            served: false,
        };
        Client { link: Link::counted(unread), open: Mutex::new(open) }
    }

    /// Queues an answer; whether the connection took it.
    fn send(&self, bytes: Vec<u8>) -> bool {
        let Some(unread) = self.link.send(bytes, None) else { return false };
        // A client that does not read must not cost the others their memory.
        if unread > MOST_UNREAD {
            self.link.close(Reason::SlowReader);
        }
        true
    }

    /// Answers a call unless the client has forgotten it.
    fn answer(&self, front: &Shared, call: u32, caller: &Arc<Caller>, class: Option<usize>, answer: Answer) {
        let outcome = match answer {
            Answer::Served(_) => Some(Outcome::Answered),
            Answer::Refused(_) => Some(Outcome::Deferred),
            Answer::Failed => Some(Outcome::Errored),
            Answer::None => None,
        };
        let served = matches!(answer, Answer::Served(_));
        let bytes = encode(call, answer);
        let idle = {
            // Held until the answer is queued: a close that finds no call open finds it owed.
            let mut open = lock(&self.open);
            // Another call may have its number by now, of a client that counts its own way.
            if open.calls.get(&call).is_none_or(|c| !Arc::ptr_eq(&c.caller, caller)) {
                front.metrics.ended(class, None);
                return;
            }
            let trace = open.calls.remove(&call).map_or(0, |c| c.id.0);
            tracing::debug!(trace = %format_args!("{trace:016x}"), ?outcome, "answered");
            if open.calls.is_empty() {
                open.idle_since = Some(Instant::now());
            }
            open.served |= served;
            if let Some(bytes) = bytes {
                let delivered = self.send(bytes) || self.link.is_broken();
                front.invariants.check(Invariant::AnswerDelivered, delivered, || {
                    format!("trace={trace:016x} answered on a connection that was closed")
                });
            }
            open.calls.is_empty()
        };
        front.metrics.ended(class, outcome);
        front.server.keep_room_for_answers();
        // The front is being emptied: a connection closes after its last answer, not only at the next sweep.
        if idle && front.server.ending.load(Ordering::Acquire) {
            self.finish(front, Reason::Shutdown);
        }
    }

    /// Closes it gracefully; from now on it is not counted among the clients.
    fn finish(&self, front: &Shared, why: Reason) {
        if !std::mem::replace(&mut lock(&self.open).leaving, true) {
            front.server.leaving.fetch_add(1, Ordering::Relaxed);
        }
        // Where many close at once the descriptors are worth more than the last bytes on the way.
        if front.server.leaving.load(Ordering::Relaxed) > front.server.budget.closing
            && why == Reason::TooMany
        {
            self.link.close(why);
        } else {
            self.link.close_gracefully(why);
        }
    }

    /// Whether it goes on although it was to be closed: something came in that very moment.
    fn stays(&self, front: &Shared, why: Reason) -> bool {
        let mut open = lock(&self.open);
        let ending = why == Reason::Shutdown;
        let begun =
            open.partial_since.is_some_and(|at| at.elapsed() < if ending { LAST_PART } else { SPEAK });
        let stays = !open.calls.is_empty() || begun && why != Reason::TooMany;
        if stays && std::mem::take(&mut open.leaving) {
            front.server.leaving.fetch_sub(1, Ordering::Relaxed);
        }
        stays
    }

    fn call(
        self: &Arc<Self>,
        front: &Arc<Shared>,
        number: u32,
        method: String,
        fields: Fields,
        body: Vec<u8>,
    ) -> Result<(), Reason> {
        if method == "isWell" {
            self.send(rpc::well(number, front.is_ready()));
            return Ok(());
        }
        let (request, ask) = match call::read(&front.server.classes, &method, fields, body) {
            Ok(r) => r,
            Err(why) => {
                self.send(rpc::error(number, "Fault", &[("field", why.field())]));
                return Ok(());
            }
        };
        let class = Some(request.class);
        let Some(queue) = front.queues.route(&ask.class, &ask.item).cloned() else {
            front.metrics.count(class, Outcome::Errored);
            self.send(rpc::error(number, "Fault", &[("route", "none")]));
            return Ok(());
        };
        let bytes = ask.body.len();
        // The front is ending or being emptied: a busy connection must fall idle and close before the process is
        // killed, so what comes on it now is turned away at once instead of being taken and lost with the process.
        if front.server.ending.load(Ordering::Acquire) {
            front.metrics.count(class, Outcome::Deferred);
            self.send(rpc::error(number, "Shed", &[("pause", ENDING_PAUSE)]));
            if lock(&self.open).calls.is_empty() {
                self.finish(front, Reason::Shutdown);
            }
            return Ok(());
        }
        let request = Request { budget_ms: request.budget_ms.min(front.server.time_left_ms()), ..request };
        let caller = Arc::new(Caller::default());
        {
            let mut open = lock(&self.open);
            if open.calls.contains_key(&number) {
                return Err(Reason::Malformed);
            }
            let bodies = &front.server.bodies;
            if open.calls.len() >= MOST_OPEN
                || bodies.load(Ordering::Relaxed) + bytes > front.server.budget.bodies
            {
                drop(open);
                front.metrics.count(class, Outcome::Deferred);
                let pause = (front.queues.retry_after_ms() as u64).to_string();
                self.send(rpc::error(number, "Shed", &[("pause", &pause)]));
                return Ok(());
            }
            bodies.fetch_add(bytes, Ordering::Relaxed);
            open.calls.insert(number, Call { id: request.id, queue: queue.clone(), caller: caller.clone() });
            open.idle_since = None;
            open.taken += 1;
        }
        front.metrics.taken();
        let (client, front, ask) = (self.clone(), front.clone(), Arc::new(ask));
        spawn(move || {
            // A defect costs its own request alone: it is answered, and what it took is given back.
            let served =
                catch_unwind(AssertUnwindSafe(|| forward::serve(&front, &queue, request, &ask, &caller)));
            let answer = served.unwrap_or(Answer::Failed);
            front.server.bodies.fetch_sub(bytes, Ordering::Relaxed);
            client.answer(&front, number, &caller, class, answer);
        });
        Ok(())
    }

    fn forget(&self, front: &Shared, call: u32) {
        let gone = {
            let mut open = lock(&self.open);
            let gone = open.calls.remove(&call);
            if gone.is_some() && open.calls.is_empty() {
                open.idle_since = Some(Instant::now());
            }
            gone
        };
        if let Some(call) = gone {
            call.gone(front);
        }
    }

    fn take(self: &Arc<Self>, front: &Arc<Shared>, buffer: &mut Buffer) -> Result<(), Reason> {
        let mut whole = false;
        while let Some((len, message)) = rpc::parse(buffer.data()).map_err(|_| Reason::Malformed)? {
            whole = true;
            buffer.consume(len);
            match message {
                Message::Call { id, method, fields, body } => self.call(front, id, method, fields, body)?,
                Message::Forget(call) => self.forget(front, call),
                Message::Other => {}
            }
        }
        let (mut open, now) = (lock(&self.open), Instant::now());
        if whole {
            open.spoke = true;
            open.partial_since = None;
            open.idle_since = open.idle_since.map(|_| now);
        }
        let left = buffer.data().len();
        open.partial_since = (left > 0).then(|| open.partial_since.unwrap_or(now));
        let total = moved(&front.server.partial, &mut open.partial, left);
        drop(open);
        // Clients that begin long messages and don't end them must not cost the others their memory.
        if left > 0 && total > front.server.budget.partial {
            front.server.relieve(Reason::NoRoom, Client::weight_of_parts);
        }
        Ok(())
    }

    /// How much of the room for parts of messages its end would free, and whether anybody would lose by that: one that
    /// waits for an answer is the last to go.
    fn weight_of_parts(&self, _: Instant) -> Option<(bool, Duration, usize)> {
        let open = lock(&self.open);
        (open.partial > 0).then_some((open.calls.is_empty(), Duration::ZERO, open.partial))
    }

    /// How much of the room for answers its end would free: one that has read nothing for longest goes first.
    fn weight_of_unread(&self, now: Instant) -> Option<(bool, Duration, usize)> {
        self.link.stalled_for(now).map(|stuck| (true, stuck, self.link.unwritten_bytes()))
    }

    /// Why it is to be closed, if it is.
    fn overdue(&self, now: Instant) -> Option<Reason> {
        let open = lock(&self.open);
        let over = |at: Option<Instant>, limit| at.is_some_and(|at| now.duration_since(at) >= limit);
        match () {
            // Who waits for an answer gets it first.
            () if over(open.partial_since, SPEAK) && open.calls.is_empty() && self.link.is_drained() => {
                Some(Reason::Stalled)
            }
            () if !open.spoke && over(open.idle_since, SPEAK) => Some(Reason::NoRequest),
            // A part that has come is the beginning of a call.
            () if open.partial == 0 && over(open.idle_since, IDLE) && self.link.is_drained() => {
                Some(Reason::Idle)
            }
            () if self.link.stalled_for(now).is_some_and(|t| t >= UNREAD) => Some(Reason::SlowReader),
            () => None,
        }
    }

    /// How readily it gives its place to another: by kind, then by the time without an open call. `None`: it
    /// keeps it.
    fn spare(&self, now: Instant) -> Option<(u8, Duration)> {
        let open = lock(&self.open);
        if open.leaving || self.link.is_closing() {
            return None;
        }
        let idle = now.duration_since(open.idle_since?);
        match (open.served, open.spoke) {
            (true, _) if open.partial > 0 => None,
            (true, _) => Some((0, idle)),
            (false, true) => Some((1, idle)),
            (false, false) => Some((2, idle)).filter(|_| idle >= FRESH),
        }
        .filter(|_| self.link.is_drained())
    }
}

/// A connection whose end is settled when this is dropped, also where a defect unwinds its coroutine: a place that is never
/// given back is lost for good.
struct Ended<'a> {
    front: &'a Shared,
    number: u64,
    client: &'a Client,
    peer: SocketAddr,
    why: Reason,
}

impl Drop for Ended<'_> {
    fn drop(&mut self) {
        let Ended { front, number, client, peer, why } = self;
        let server = &front.server;
        client.link.terminate();
        lock(&server.clients).remove(number);
        let (left, taken, leaving) = {
            let mut open = lock(&client.open);
            let open = &mut *open;
            moved(&server.partial, &mut open.partial, 0);
            (std::mem::take(&mut open.calls), open.taken, std::mem::replace(&mut open.leaving, true))
        };
        if leaving {
            server.leaving.fetch_sub(1, Ordering::Relaxed);
        }
        server.held.fetch_sub(1, Ordering::Relaxed);
        let unanswered = left.len();
        front.reason_counts.add(Kind::ClientClosed, why.code());
        front.invariants.check(Invariant::CloseSettled, !why.is_own_choice() || unanswered == 0, || {
            format!("{peer} closed as {} with {unanswered} calls open", why.code())
        });
        tracing::info!(kind = %"client", %peer, reason = %why.code(), taken, unanswered, "end");
        for call in left.into_values() {
            call.gone(front);
        }
    }
}

impl Call {
    /// Its client does not wait any more: nothing is begun for it from now on, wherever it waits.
    fn gone(self, front: &Shared) {
        self.caller.disconnect();
        self.queue.dispatcher.client_disconnected(front.clock.now(), self.id);
        front.upstream.withdraw(self.id);
    }
}

/// The bytes of a final answer; `None`: none is owed.
fn encode(call: u32, answer: Answer) -> Option<Vec<u8>> {
    Some(match answer {
        Answer::Served(r) if r.current => rpc::served(call, &[], &[("current", "1")]),
        Answer::Served(r) => rpc::served(call, &r.body, &[]),
        Answer::Refused(pause) if pause >= 1.0 => {
            rpc::error(call, "Shed", &[("pause", &(pause as u64).to_string())])
        }
        Answer::Refused(_) => rpc::error(call, "Shed", &[]),
        Answer::Failed => rpc::error(call, "Fault", &[]),
        Answer::None => return None,
    })
}

/// Sets one connection's part of a count; the count.
fn moved(all: &AtomicUsize, part: &mut usize, now: usize) -> usize {
    let before = std::mem::replace(part, now);
    all.fetch_add(now, Ordering::Relaxed);
    all.fetch_sub(before, Ordering::Relaxed) - before
}

impl Server {
    /// No client yet; what they may hold, and the classes they ask for.
    pub fn new(budget: Budget, classes: Vec<Class>) -> Server {
        Server {
            budget,
            classes,
            clients: Mutex::default(),
            next: AtomicU64::new(0),
            unread: Arc::default(),
            held: AtomicUsize::new(0),
            leaving: AtomicUsize::new(0),
            bodies: AtomicUsize::new(0),
            partial: AtomicUsize::new(0),
            closed: AtomicBool::new(false),
            evacuated: Mutex::new(None),
            ending: AtomicBool::new(false),
            end_by: Mutex::new(None),
        }
    }

    /// What clients hold at this moment.
    pub fn held(&self) -> Held {
        Held {
            connections: self.held.load(Ordering::Relaxed),
            leaving: self.leaving.load(Ordering::Relaxed),
            unread: self.unread.load(Ordering::Relaxed),
            bodies: self.bodies.load(Ordering::Relaxed),
            partial: self.partial.load(Ordering::Relaxed),
        }
    }

    /// The process ends by then: what is taken from now on is answered before.
    pub fn end_by(&self, at: Instant) {
        *lock(&self.end_by) = Some(at);
    }

    /// What is left for a call that is taken now, in milliseconds.
    fn time_left_ms(&self) -> f64 {
        let left = |at: Instant| at.saturating_duration_since(Instant::now()).as_secs_f64() * 1000.0;
        lock(&self.end_by).map_or(f64::INFINITY, left)
    }

    /// Takes clients in until the front ends. A handed socket is then left to the other process; one of the front's own
    /// is read to its end first, so that whoever has connected gets an answer.
    pub fn run(&self, front: &Arc<Shared>, listener: Listener, origin: Origin) {
        let mut pause = NO_DESCRIPTOR[0];
        loop {
            // Those that were told to close must have given their descriptors back.
            while self.held.load(Ordering::Relaxed) >= self.budget.clients + self.budget.closing + CLOSING {
                crate::sleep::sleep(Duration::from_millis(1));
            }
            let accepted = match (self.closed.load(Ordering::Acquire), origin) {
                (true, Origin::Passed) => Ok(None),
                (true, Origin::Bound) => listener.accept_waiting(),
                (false, _) => listener.accept(&self.closed),
            };
            match accepted {
                Ok(None) if self.closed.load(Ordering::Acquire) => return,
                Ok(None) => {}
                Ok(Some((stream, peer))) => {
                    pause = NO_DESCRIPTOR[0];
                    self.held.fetch_add(1, Ordering::Relaxed);
                    if !self.make_place(front) {
                        drop(stream);
                        self.held.fetch_sub(1, Ordering::Relaxed);
                        front.reason_counts.add(Kind::ClientClosed, Reason::TooMany.code());
                        tracing::info!(kind = %"client", %peer, reason = %Reason::TooMany.code(), "end");
                        continue;
                    }
                    // Listed at once: the next one to come is counted against it.
                    let number = self.next.fetch_add(1, Ordering::Relaxed);
                    let client = Arc::new(Client::new(self.unread.clone()));
                    lock(&self.clients).insert(number, client.clone());
                    let front = front.clone();
                    spawn(move || front.server.serve(&front, number, &client, stream, peer));
                }
                // Out of descriptors, or a client that left at once: the next may be fine. An idle client gives its
                // descriptor back, and the wait grows: accept fails at once as long as none is free.
                Err(e) => {
                    if Failure::of(&e) == Failure::Descriptors {
                        tracing::warn!(held = self.held.load(Ordering::Relaxed), "accept: {e}");
                        self.evict(front);
                        crate::sleep::sleep(pause);
                        pause = (pause * 2).min(NO_DESCRIPTOR[1]);
                    } else {
                        crate::sleep::sleep(NO_DESCRIPTOR[0]);
                    }
                }
            }
        }
    }

    /// Ends, for that reason, the connection of the client that weighs most, where there is one: room is short, and whoever
    /// happens to need some next is not the one at fault.
    fn relieve(&self, why: Reason, weight: impl Fn(&Client, Instant) -> Option<(bool, Duration, usize)>) {
        let now = Instant::now();
        let clients = lock(&self.clients);
        let able = clients.values().filter(|c| !c.link.is_closing());
        let heaviest = able.filter_map(|c| weight(c, now).map(|w| (w, c))).max_by_key(|(w, _)| *w);
        if let Some((_, client)) = heaviest {
            client.link.close(why);
        }
    }

    /// Where answers that wait to be read take more than their room, the client that reads least goes.
    fn keep_room_for_answers(&self) {
        if self.unread.load(Ordering::Relaxed) > self.budget.unread {
            self.relieve(Reason::SlowReader, Client::weight_of_unread);
        }
    }

    /// Whether there is a place for one more that is held already, be it that of the connection that needs it least.
    /// Guards the clients that come against those that asked once and stay.
    fn make_place(&self, front: &Shared) -> bool {
        let staying = self.held.load(Ordering::Relaxed).saturating_sub(self.leaving.load(Ordering::Relaxed));
        staying <= self.budget.clients || self.evict(front)
    }

    /// Closes the connection that needs its place least: one that never said a thing, was never served, or is unused
    /// for longest. Whether there was one.
    fn evict(&self, front: &Shared) -> bool {
        let now = Instant::now();
        let spare = {
            let clients = lock(&self.clients);
            let spare = clients.iter().filter_map(|(n, c)| c.spare(now).map(|s| (s, *n))).max();
            spare.and_then(|(_, number)| clients.get(&number).cloned())
        };
        match spare {
            Some(client) => {
                client.finish(front, Reason::TooMany);
                true
            }
            None => false,
        }
    }

    fn serve(
        &self,
        front: &Arc<Shared>,
        number: u64,
        client: &Arc<Client>,
        stream: may::io::CoIo<std::net::TcpStream>,
        peer: SocketAddr,
    ) {
        let mut ended = Ended { front, number, client, peer, why: Reason::Defect };
        client.link.attach(Stream::Std(stream));
        ended.why = client.link.run(|buffer| client.take(front, buffer), |why| client.stays(front, why));
    }

    /// Closes connections that nobody uses; all that are idle where the front is ending.
    pub fn sweep(&self, front: &Shared, ending: bool) {
        self.ending.store(ending, Ordering::Release);
        let now = Instant::now();
        let all: Vec<Arc<Client>> = lock(&self.clients).values().cloned().collect();
        for c in all {
            c.link.sweep(now);
            let idle = || lock(&c.open).rests(now) && c.link.is_drained();
            match c.overdue(now).or_else(|| (ending && idle()).then_some(Reason::Shutdown)) {
                Some(why @ (Reason::Idle | Reason::Shutdown | Reason::NoRequest)) => c.finish(front, why),
                Some(why) => c.link.close(why),
                None => {}
            }
        }
    }

    /// Empties the front, or ends that: readiness is no meanwhile, and connections close as they fall idle.
    pub fn evacuate(&self, on: bool) {
        let mut evacuated = lock(&self.evacuated);
        *evacuated = if on { Some(evacuated.unwrap_or_else(Instant::now)) } else { None };
        if !on {
            self.ending.store(false, Ordering::Release);
        }
    }

    /// Whether the front is being emptied.
    pub fn is_evacuated(&self) -> bool {
        lock(&self.evacuated).is_some()
    }

    /// How long the front has been emptied for.
    pub fn evacuated_for(&self) -> Option<Duration> {
        lock(&self.evacuated).map(|at| at.elapsed())
    }

    /// No client is taken in any more.
    pub fn close(&self) {
        self.closed.store(true, Ordering::Release);
    }

    /// Every answer has been written, and no call is open.
    pub fn is_done(&self) -> bool {
        lock(&self.clients).values().all(|c| lock(&c.open).calls.is_empty() && c.link.is_drained())
    }

    /// The process ends: what is still open is answered with an error that promises nothing, and called off. Guards the
    /// calls of clients that wait longer than their class allows: they would be lost with the process.
    pub fn give_up(&self, front: &Shared) {
        let all: Vec<Arc<Client>> = lock(&self.clients).values().cloned().collect();
        for client in all {
            let calls = {
                // Held until the answers are queued, as in `Client::answer`.
                let mut open = lock(&client.open);
                open.idle_since.get_or_insert_with(Instant::now);
                let calls = std::mem::take(&mut open.calls);
                for number in calls.keys() {
                    client.send(rpc::error(*number, "Fault", &[]));
                }
                calls
            };
            for call in calls.into_values() {
                call.gone(front);
            }
        }
    }

    /// No connection is left.
    pub fn is_empty(&self) -> bool {
        self.held.load(Ordering::Relaxed) == 0
    }
}

#[cfg(test)]
#[path = "server/tests.rs"]
mod tests;
