//! Simulated clients of the fronts. They send requests at a rate that does not depend on the answers, and
//! the checker observes them. Some cancel requests, disconnect early, hold idle connections or read slowly.

use super::availability::FrontAvailability;
use super::checker::{ClientRequest, ExecutionSemantics, Rule, RuleChecker};
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

/// A call that a client sends within this time before the front closes an idle connection does not count as
/// lost: neither side knew of the other's action yet, and a real client would send the call again.
const CLOSE_RACE_PERIOD: Duration = Duration::from_millis(50);
/// Maximum number of requests in flight on one connection.
pub(super) const MAX_IN_FLIGHT: usize = 32;
/// Number of objects that are requested; those with low numbers are requested most often.
pub(super) const OBJECT_COUNT: u64 = 400;
/// Time before the next attempt to connect to a front that accepts no connection.
const RECONNECT_DELAY: Duration = Duration::from_millis(50);
/// Time limit for an attempt to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum time between two requests on one connection, in seconds.
const MAX_REQUEST_GAP_SECONDS: f64 = 6.0;
/// Time for which a connection that sends no more requests waits for its last answers or stays idle.
const IDLE_TIMEOUT: Duration = Duration::from_secs(9);
/// Upper bound (excluded) of the length of a write's body, in bytes.
const MAX_BODY_LEN: u64 = 40_000;
/// Interval at which a connection that waits for its last answers is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Maximum number of bytes that a client reads in one call.
const READ_LEN: usize = 65_536;
/// Maximum number of bytes that a slow client reads before each pause, which gives about 1 MB per second.
const SLOW_READ_LEN: usize = 8_000;
/// Pause of a slow client after each read.
const SLOW_READ_PAUSE: Duration = Duration::from_millis(8);

/// The properties of a request class that simulated clients use.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// Name of the class.
    pub name: String,
    /// How often requests of the class may be executed.
    pub effect: ExecutionSemantics,
    /// Whether requests of the class are writes, which have a body.
    pub writes: bool,
    /// Upper bound of the time that clients wait for an answer, in milliseconds.
    pub deadline_ms: u64,
}

/// State that all simulated clients of a run share.
pub struct SoakClients {
    pub(super) classes: Vec<RequestClass>,
    pub(super) rng: SeededRng,
    checker: Arc<RuleChecker>,
    stopped: AtomicBool,
}

/// Trace id that the next request gets, unique over all clients.
pub(super) static NEXT_TRACE: AtomicU64 = AtomicU64::new(1);

/// Calls of one connection that are not answered yet, by call number.
type PendingCalls = Arc<Mutex<HashMap<u32, PendingCall>>>;

/// A call that is not answered yet.
#[derive(Clone, Copy)]
struct PendingCall {
    trace: u64,
    object: u64,
    part: u64,
    sent_at: Instant,
}

/// Returns a call with the soak's default values. The set is derived from the object and the size is
/// constant, since both are properties of an object.
pub(super) fn default_call(class: &str, number: u32, trace: u64, object: u64) -> Call<'_> {
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

impl SoakClients {
    /// Creates the state of clients that send requests of the given classes.
    pub fn new(classes: Vec<RequestClass>, seed: u64, checker: Arc<RuleChecker>) -> Arc<SoakClients> {
        let rng = SeededRng::new(seed, 4_000);
        Arc::new(SoakClients { classes, rng, checker, stopped: AtomicBool::new(false) })
    }

    /// Stops all clients: they open no more connections and send no more requests.
    pub fn stop_clients(&self) {
        self.stopped.store(true, Ordering::Relaxed);
    }

    /// Adds clients that keep `connections` connections to a front in use and send `requests_per_second` on
    /// all of these connections together.
    pub fn add_connections(
        self: &Arc<SoakClients>,
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

    /// Sends requests on one connection until its lifetime, chosen at random, is over or the connection
    /// fails.
    async fn run_connection(
        &self,
        front: usize,
        stream: TcpStream,
        availability: &FrontAvailability,
        requests_per_second: f64,
    ) {
        let _ = stream.set_nodelay(self.rng.random_bool(0.7));
        let generation = availability.generation();
        let (read, write) = stream.into_split();
        let pending = PendingCalls::default();
        let slow = self.rng.random_bool(0.05);
        let reader = tokio::spawn(read_answers(read, pending.clone(), self.checker.clone(), slow));
        let lifetime = Duration::from_millis(self.rng.random_range(200..6_000));
        let abandons = self.rng.random_bool(0.1);
        let mut connection =
            ClientConnection { clients: self, front, availability, generation, write, pending, reader };
        connection.send_requests(lifetime, requests_per_second).await;
        if abandons && !connection.reader.is_finished() {
            connection.abandon_requests();
        } else {
            connection.finish_and_disconnect().await;
        }
    }
}

/// A connection from a client to a front.
struct ClientConnection<'a> {
    clients: &'a SoakClients,
    front: usize,
    availability: &'a FrontAvailability,
    /// Number of the front's process that accepted the connection.
    generation: u64,
    write: OwnedWriteHalf,
    pending: PendingCalls,
    reader: JoinHandle<()>,
}

impl ClientConnection<'_> {
    async fn send_requests(&mut self, lifetime: Duration, requests_per_second: f64) {
        let rng = &self.clients.rng;
        let started = Instant::now();
        let mut number = 0;
        while started.elapsed() < lifetime
            && !self.reader.is_finished()
            && !self.clients.stopped.load(Ordering::Relaxed)
        {
            let gap = -(1.0 - rng.random_fraction()).ln() / requests_per_second;
            sleep(Duration::from_secs_f64(gap.min(MAX_REQUEST_GAP_SECONDS))).await;
            if lock(&self.pending).len() >= MAX_IN_FLIGHT
                || !self.availability.accepts_requests(self.generation)
            {
                continue;
            }
            number += 1;
            if self.send_request(number).await.is_err() {
                break;
            }
            if rng.random_bool(0.04) {
                sleep(Duration::from_millis(rng.random_range(0..40))).await;
                self.cancel_request(number).await;
            }
        }
    }

    async fn send_request(&mut self, number: u32) -> io::Result<()> {
        let (clients, rng) = (self.clients, &self.clients.rng);
        let class = rng.choose(&clients.classes);
        let trace = NEXT_TRACE.fetch_add(1, Ordering::Relaxed);
        let object = (rng.random_fraction().powi(3) * OBJECT_COUNT as f64) as u64;
        let part = rng.random_range(0..3);
        // Some clients wait for only a very short time.
        let min_wait_ms = if rng.random_bool(0.05) { 1 } else { 300 };
        let patience_ms = rng.random_range(min_wait_ms..class.deadline_ms);
        let body_len = if class.writes { rng.random_range(0..MAX_BODY_LEN) as usize } else { 0 };
        let call = Call { part, patience_ms, body_len, ..default_call(&class.name, number, trace, object) };
        // The request is recorded before its last byte is written, since the answer may come immediately
        // after.
        let sent_at = Instant::now();
        let patience = Duration::from_millis(patience_ms);
        let request = ClientRequest { front: self.front, effect: class.effect, object, sent_at, patience };
        clients.checker.on_request_sent(trace, request);
        lock(&self.pending).insert(number, PendingCall { trace, object, part, sent_at });
        let bytes = call.encode();
        let remaining = self.write_first_piece(&bytes).await?;
        let written = self.write.write_all(remaining).await;
        // The client's waiting time counts from the last byte.
        let sent_at = Instant::now();
        if let Some(pending) = lock(&self.pending).get_mut(&number) {
            pending.sent_at = sent_at;
            clients.checker.on_request_written(trace, sent_at);
        }
        written
    }

    /// In one of ten cases, writes the first part of a call and then pauses. Returns the bytes that remain
    /// to be written.
    async fn write_first_piece<'b>(&mut self, bytes: &'b [u8]) -> io::Result<&'b [u8]> {
        let rng = &self.clients.rng;
        if !rng.random_bool(0.1) || bytes.len() < 2 {
            return Ok(bytes);
        }
        let (first, remaining) = bytes.split_at(rng.random_range(1..bytes.len() as u64) as usize);
        self.write.write_all(first).await?;
        sleep(Duration::from_millis(rng.random_range(1..60))).await;
        Ok(remaining)
    }

    async fn cancel_request(&mut self, number: u32) {
        let removed = lock(&self.pending).remove(&number);
        let Some(call) = removed else { return };
        if self.write.write_all(&encode_cancellation(number)).await.is_ok() {
            self.clients.checker.on_request_abandoned(call.trace);
        } else {
            lock(&self.pending).insert(number, call);
        }
    }

    /// Closes the connection without waiting for answers.
    fn abandon_requests(self) {
        self.reader.abort();
        lock(&self.pending)
            .drain()
            .for_each(|(_, call)| self.clients.checker.on_request_abandoned(call.trace));
    }

    /// Waits for the last answers, or stays idle until the front closes the connection, and then closes it.
    async fn finish_and_disconnect(self) {
        let ClientConnection { clients, availability, generation, write, pending, reader, .. } = self;
        let idles = clients.rng.random_bool(0.3);
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
            && unanswered
                .iter()
                .all(|call| ended.saturating_duration_since(call.sent_at) < CLOSE_RACE_PERIOD);
        let reason =
            if closed_by_front { "the front closed the connection" } else { "the client stopped waiting" };
        for call in unanswered {
            let excuse =
                availability.loss_excuse(generation, call.sent_at).or(crossing.then_some("crossings"));
            clients.checker.on_request_unanswered(call.trace, excuse, reason);
        }
    }
}

/// Reads and checks answers until the connection is closed.
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
        // A request that was cancelled may still be answered once.
        checker.increment_count("answers to what was cancelled");
        return;
    };
    checker.on_request_answered(call.trace);
    let error = &answer[2];
    if !error.is_nil() {
        checker.increment_count(if error[0].as_str() == Some("Shed") { "refused" } else { "failed" });
        return;
    }
    checker.increment_count("served");
    let expected = object_body(&format!("{:016x}", call.object), &call.part.to_string());
    if answer[3][0].as_slice() != Some(&expected[..]) {
        checker.record_breach(
            Rule::Foreign,
            format!("request {:016x} was answered with a body that no node sent for it", call.trace),
        );
    }
}
