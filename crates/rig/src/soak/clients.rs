//! Clients of a front: open-loop, and checked by the rules. Some cancel requests, disconnect, keep idle connections or read
//! slowly.

use super::availability::FrontAvailability;
use super::checker::{ClientRequest, Effect, Rule, RuleChecker};
use super::nodes::object_body;
use super::seeded_rng::SeededRng;
use crate::client_protocol::{encode_cancellation, Call};
use crate::sync::lock;
use rmpv::Value;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

/// A call that crosses the close of an idle connection within this time is no lost request: a client would send it again.
const CROSSING: Duration = Duration::from_millis(50);
/// Requests in flight on one connection.
pub(super) const MAX_IN_FLIGHT: usize = 32;
/// Objects that are requested; the first ones most often.
pub(super) const OBJECTS: u64 = 400;
/// Wait before connecting again to a front that takes no connection.
const RECONNECT_DELAY: Duration = Duration::from_millis(50);
/// A connection attempt is given up after this time.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// The longest pause between two requests of a connection, in seconds.
const MAX_GAP_SECONDS: f64 = 6.0;
/// A connection that sends no more requests waits so long for its last answers, or idles so long.
const IDLE_TIMEOUT: Duration = Duration::from_secs(9);
/// A write's body is shorter than this, in bytes.
const MAX_BODY_LEN: u64 = 40_000;
/// How often an answer is waited for before the connection is looked at again.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Bytes that a client reads at once, and those that a slow client reads before each pause: some 1 MB a second.
const READ_LEN: usize = 65_536;
const SLOW_READ_LEN: usize = 8_000;
const SLOW_READ_PAUSE: Duration = Duration::from_millis(8);

/// A request class as clients know it.
#[derive(Clone, Debug)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// How often its requests may be executed.
    pub effect: Effect,
    /// Whether its requests write.
    pub writes: bool,
    /// How long clients wait at most, in milliseconds.
    pub deadline_ms: u64,
}

/// What all clients of a run share.
pub struct Clients {
    pub(super) classes: Vec<Class>,
    pub(super) rng: SeededRng,
    checker: Arc<RuleChecker>,
    stopped: AtomicBool,
}

/// The trace of the next request, over all clients.
pub(super) static NEXT_TRACE: AtomicU64 = AtomicU64::new(1);

/// Calls of one connection that have no answer yet, by number.
type PendingCalls = Arc<Mutex<HashMap<u32, PendingCall>>>;

#[derive(Clone, Copy)]
struct PendingCall {
    trace: u64,
    object: u64,
    part: u64,
    sent_at: Instant,
}

/// A call as the soak's clients send it: set and size are functions of the object.
pub(super) fn soak_call(class: &str, number: u32, trace: u64, object: u64) -> Call<'_> {
    Call {
        number,
        class,
        trace,
        object,
        part: 0,
        set: object % 256,
        size: 40,
        patience_ms: 2_000,
        body_len: 0,
    }
}

impl Clients {
    /// Clients that send requests of those classes.
    pub fn new(classes: Vec<Class>, seed: u64, checker: Arc<RuleChecker>) -> Arc<Clients> {
        let rng = SeededRng::new(seed, 4_000);
        Arc::new(Clients { classes, rng, checker, stopped: AtomicBool::new(false) })
    }

    /// Makes no more connections and sends no more requests.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
    }

    /// Keeps `connections` connections to a front in use, with `requests_per_second` on all of them together.
    pub fn add(
        self: &Arc<Clients>,
        front: usize,
        address: SocketAddr,
        availability: &Arc<FrontAvailability>,
        connections: usize,
        requests_per_second: f64,
    ) {
        for _ in 0..connections {
            let (clients, availability) = (self.clone(), availability.clone());
            let per_connection = requests_per_second / connections as f64;
            tokio::spawn(async move {
                while !clients.stopped.load(Ordering::Relaxed) {
                    if !availability.accepts_connections() {
                        sleep(RECONNECT_DELAY).await;
                        continue;
                    }
                    match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
                        Ok(Ok(stream)) => {
                            clients.run_connection(front, stream, &availability, per_connection).await;
                        }
                        _ => sleep(RECONNECT_DELAY).await,
                    }
                }
            });
        }
    }

    /// Uses one connection until its time is over or it breaks.
    async fn run_connection(
        &self,
        front: usize,
        stream: TcpStream,
        availability: &FrontAvailability,
        requests_per_second: f64,
    ) {
        let _ = stream.set_nodelay(self.rng.chance(0.7));
        let generation = availability.generation();
        let (read, write) = stream.into_split();
        let pending = PendingCalls::default();
        let slow = self.rng.chance(0.05);
        let reader = tokio::spawn(read_answers(read, pending.clone(), self.checker.clone(), slow));
        let lifetime = Duration::from_millis(self.rng.number(200..6_000));
        let abandons = self.rng.chance(0.1);
        let mut connection =
            Connection { clients: self, front, availability, generation, write, pending, reader };
        connection.send_requests(lifetime, requests_per_second).await;
        if abandons && !connection.reader.is_finished() {
            connection.abandon();
        } else {
            connection.finish().await;
        }
    }
}

/// A connection in use.
struct Connection<'a> {
    clients: &'a Clients,
    front: usize,
    availability: &'a FrontAvailability,
    /// The front's process when the connection was made.
    generation: u64,
    write: OwnedWriteHalf,
    pending: PendingCalls,
    reader: JoinHandle<()>,
}

impl Connection<'_> {
    async fn send_requests(&mut self, lifetime: Duration, requests_per_second: f64) {
        let rng = &self.clients.rng;
        let started = Instant::now();
        let mut number = 0;
        while started.elapsed() < lifetime
            && !self.reader.is_finished()
            && !self.clients.stopped.load(Ordering::Relaxed)
        {
            let gap = -(1.0 - rng.fraction()).ln() / requests_per_second;
            sleep(Duration::from_secs_f64(gap.min(MAX_GAP_SECONDS))).await;
            if lock(&self.pending).len() >= MAX_IN_FLIGHT
                || !self.availability.accepts_requests(self.generation)
            {
                continue;
            }
            number += 1;
            if self.send_request(number).await.is_err() {
                break;
            }
            if rng.chance(0.04) {
                sleep(Duration::from_millis(rng.number(0..40))).await;
                self.cancel(number).await;
            }
        }
    }

    async fn send_request(&mut self, number: u32) -> io::Result<()> {
        let (clients, rng) = (self.clients, &self.clients.rng);
        let class = rng.pick(&clients.classes);
        let trace = NEXT_TRACE.fetch_add(1, Ordering::Relaxed);
        let object = (rng.fraction().powi(3) * OBJECTS as f64) as u64;
        let part = rng.number(0..3);
        // Some clients have very little time.
        let min_patience_ms = if rng.chance(0.05) { 1 } else { 300 };
        let patience_ms = rng.number(min_patience_ms..class.deadline_ms);
        let body_len = if class.writes { rng.number(0..MAX_BODY_LEN) as usize } else { 0 };
        let call = Call { part, patience_ms, body_len, ..soak_call(&class.name, number, trace, object) };
        // Registered before its last byte is written, since it may be answered at once.
        let sent_at = Instant::now();
        let patience = Duration::from_millis(patience_ms);
        let request = ClientRequest { front: self.front, effect: class.effect, object, sent_at, patience };
        clients.checker.request_sent(trace, request);
        lock(&self.pending).insert(number, PendingCall { trace, object, part, sent_at });
        let bytes = call.encode();
        let remaining = self.write_first_piece(&bytes).await?;
        let written = self.write.write_all(remaining).await;
        // The client's patience counts from the last byte.
        let sent_at = Instant::now();
        if let Some(pending) = lock(&self.pending).get_mut(&number) {
            pending.sent_at = sent_at;
            clients.checker.request_written(trace, sent_at);
        }
        written
    }

    /// Writes the first piece of a tenth of all calls, and pauses; what remains to be written.
    async fn write_first_piece<'b>(&mut self, bytes: &'b [u8]) -> io::Result<&'b [u8]> {
        let rng = &self.clients.rng;
        if !rng.chance(0.1) || bytes.len() < 2 {
            return Ok(bytes);
        }
        let (first, remaining) = bytes.split_at(rng.number(1..bytes.len() as u64) as usize);
        self.write.write_all(first).await?;
        sleep(Duration::from_millis(rng.number(1..60))).await;
        Ok(remaining)
    }

    async fn cancel(&mut self, number: u32) {
        let removed = lock(&self.pending).remove(&number);
        let Some(call) = removed else { return };
        if self.write.write_all(&encode_cancellation(number)).await.is_ok() {
            self.clients.checker.request_abandoned(call.trace);
        } else {
            lock(&self.pending).insert(number, call);
        }
    }

    /// Disconnects without waiting for answers.
    fn abandon(self) {
        self.reader.abort();
        lock(&self.pending).drain().for_each(|(_, call)| self.clients.checker.request_abandoned(call.trace));
    }

    /// Waits for the last answers, or idles until the front closes the connection, and then disconnects.
    async fn finish(self) {
        let Connection { clients, availability, generation, write, pending, reader, .. } = self;
        let idles = clients.rng.chance(0.3);
        let until = Instant::now() + IDLE_TIMEOUT;
        while !reader.is_finished() && Instant::now() < until && (idles || !lock(&pending).is_empty()) {
            sleep(POLL_INTERVAL).await;
        }
        let ended = Instant::now();
        let closed_by_front = reader.is_finished();
        reader.abort();
        drop(write);
        let unanswered: Vec<PendingCall> = lock(&pending).drain().map(|(_, call)| call).collect();
        let crossing = closed_by_front
            && unanswered.iter().all(|call| ended.saturating_duration_since(call.sent_at) < CROSSING);
        let reason = if closed_by_front { "connection closed without its answer" } else { "no answer" };
        for call in unanswered {
            let excuse = availability.excuse(generation, call.sent_at).or(crossing.then_some("crossings"));
            clients.checker.request_unanswered(call.trace, excuse, reason);
        }
    }
}

/// Reads answers until the connection ends.
async fn read_answers(mut read: OwnedReadHalf, pending: PendingCalls, checker: Arc<RuleChecker>, slow: bool) {
    let (mut buffer, mut chunk) = (Vec::new(), vec![0; if slow { SLOW_READ_LEN } else { READ_LEN }]);
    while let Ok(n @ 1..) = read.read(&mut chunk).await {
        buffer.extend_from_slice(&chunk[..n]);
        let mut used = 0;
        loop {
            let mut unread = &buffer[used..];
            let Ok(answer) = rmpv::decode::read_value(&mut unread) else { break };
            used = buffer.len() - unread.len();
            check_answer(&answer, &pending, &checker);
        }
        buffer.drain(..used);
        if slow {
            sleep(SLOW_READ_PAUSE).await;
        }
    }
}

fn check_answer(answer: &Value, pending: &PendingCalls, checker: &RuleChecker) {
    let number = answer[1].as_u64().and_then(|n| u32::try_from(n).ok());
    let Some(call) = number.and_then(|n| lock(pending).remove(&n)) else {
        // A request that was cancelled may still be answered, once.
        checker.count("answers to what was cancelled");
        return;
    };
    checker.request_answered(call.trace);
    let error = &answer[2];
    if !error.is_nil() {
        checker.count(if error[0].as_str() == Some("Shed") { "refused" } else { "failed" });
        return;
    }
    checker.count("served");
    let expected = object_body(&format!("{:016x}", call.object), &call.part.to_string());
    if answer[3][0].as_slice() != Some(&expected[..]) {
        checker.breach(Rule::Foreign, format!("{:016x} got what no node made for it", call.trace));
    }
}
