//! Clients of a front: good ones, open-loop and judged, of which some cancel, leave, rest or read slowly; and bad ones.

use super::judge::{Asked, Effect, Judge, Rule};
use super::nodes::body;
use super::process::Standing;
use super::{lock, Dice};
use rmpv::Value;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// A call that crosses the close of a resting connection within this is asked again, once.
const CROSSING: Duration = Duration::from_millis(50);
/// Requests on a connection at once.
const MOST_OPEN: usize = 32;
/// Objects that are asked for; the hot ones first.
const OBJECTS: u64 = 400;
/// Between two tries to reach a front that takes no connection.
const AGAIN: Duration = Duration::from_millis(50);
/// A write's body at the most, in bytes.
const MOST_BODY: u64 = 40_000;

/// A class as clients know it.
#[derive(Clone, Debug)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// What it allows.
    pub effect: Effect,
    /// Whether it writes.
    pub writes: bool,
    /// How long clients wait at the most, in milliseconds.
    pub deadline_ms: u64,
}

/// What all clients of a run share.
pub struct Clients {
    classes: Vec<Class>,
    judge: Arc<Judge>,
    dice: Dice,
    over: AtomicBool,
}

static TRACES: AtomicU64 = AtomicU64::new(1);

/// Calls of one connection that wait for their answer, by number: the trace, the object, the part.
type Open = Arc<Mutex<HashMap<u32, Call>>>;

#[derive(Clone, Copy)]
struct Call {
    trace: u64,
    object: u64,
    part: u64,
    at: Instant,
}

impl Clients {
    /// Of those classes.
    pub fn new(classes: Vec<Class>, seed: u64, judge: Arc<Judge>) -> Arc<Clients> {
        Arc::new(Clients { classes, judge, dice: Dice::new(seed, 4_000), over: AtomicBool::new(false) })
    }

    /// No more connections are made.
    pub fn end(&self) {
        self.over.store(true, Ordering::Relaxed);
    }

    /// Keeps so many connections to a front in use, `a_second` requests on all of them together.
    pub fn add(
        self: &Arc<Clients>,
        front: usize,
        at: SocketAddr,
        standing: &Arc<Standing>,
        connections: usize,
        a_second: f64,
    ) {
        for _ in 0..connections {
            let (all, standing) = (self.clone(), standing.clone());
            tokio::spawn(async move {
                while !all.over.load(Ordering::Relaxed) {
                    if !standing.takes_clients() {
                        sleep(AGAIN).await;
                        continue;
                    }
                    match timeout(Duration::from_secs(2), TcpStream::connect(at)).await {
                        Ok(Ok(stream)) => {
                            all.connection(front, stream, &standing, a_second / connections as f64).await;
                        }
                        _ => sleep(AGAIN).await,
                    }
                }
            });
        }
    }

    async fn connection(&self, front: usize, stream: TcpStream, standing: &Arc<Standing>, a_second: f64) {
        let _ = stream.set_nodelay(self.dice.hits(0.7));
        let generation = standing.generation();
        let (read, mut write) = stream.into_split();
        let open: Open = Arc::default();
        let slow = self.dice.hits(0.05);
        let reader = tokio::spawn(answers(read, open.clone(), self.judge.clone(), slow));
        let lives = Duration::from_millis(self.dice.number(200..6_000));
        let leaves = self.dice.hits(0.1);
        let begun = Instant::now();
        let mut number = 0;
        while begun.elapsed() < lives && !reader.is_finished() && !self.over.load(Ordering::Relaxed) {
            let gap = -(1.0 - self.dice.part()).ln() / a_second;
            sleep(Duration::from_secs_f64(gap.min(6.0))).await;
            if lock(&open).len() >= MOST_OPEN || !standing.takes_requests(generation) {
                continue;
            }
            number += 1;
            if self.ask(front, number, &mut write, &open).await.is_err() {
                break;
            }
            if self.dice.hits(0.04) {
                sleep(Duration::from_millis(self.dice.number(0..40))).await;
                self.cancel(number, &mut write, &open).await;
            }
        }
        if leaves && !reader.is_finished() {
            // Leaves with whatever it had asked.
            reader.abort();
            lock(&open).drain().for_each(|(_, call)| self.judge.left(call.trace));
            return;
        }
        // The last answers get their time, and some stay until the front ends the connection.
        let rests = self.dice.hits(0.3);
        let until = Instant::now() + Duration::from_secs(9);
        while !reader.is_finished() && Instant::now() < until && (rests || !lock(&open).is_empty()) {
            sleep(Duration::from_millis(5)).await;
        }
        let ended = Instant::now();
        let by_front = reader.is_finished();
        reader.abort();
        drop(write);
        let left: Vec<Call> = lock(&open).drain().map(|(_, call)| call).collect();
        let crossing = left.iter().all(|call| ended.saturating_duration_since(call.at) < CROSSING);
        for call in left {
            let excuse =
                standing.excuse(generation, call.at).or((by_front && crossing).then_some("crossings"));
            let why = if by_front { "connection closed without its answer" } else { "no answer" };
            self.judge.unanswered(call.trace, excuse, why);
        }
    }

    async fn ask(
        &self,
        front: usize,
        number: u32,
        write: &mut OwnedWriteHalf,
        open: &Open,
    ) -> std::io::Result<()> {
        let class = self.dice.one(&self.classes);
        let trace = TRACES.fetch_add(1, Ordering::Relaxed);
        let object = (self.dice.part().powi(3) * OBJECTS as f64) as u64;
        let part = self.dice.number(0..3);
        // Some have very little time.
        let least = if self.dice.hits(0.05) { 1 } else { 300 };
        let patience_ms = self.dice.number(least..class.deadline_ms);
        let size = if class.writes { self.dice.number(0..MOST_BODY) as usize } else { 0 };
        let bytes = call(number, &class.name, trace, object, part, patience_ms, size);
        let asked = |at| Asked {
            front,
            effect: class.effect,
            object,
            at,
            patience: Duration::from_millis(patience_ms),
        };
        // Known before its last byte is written, since it may be answered at once.
        let at = Instant::now();
        self.judge.asked(trace, asked(at));
        lock(open).insert(number, Call { trace, object, part, at });
        let written = if self.dice.hits(0.1) && bytes.len() > 1 {
            let cut = self.dice.number(1..bytes.len() as u64) as usize;
            write.write_all(&bytes[..cut]).await?;
            sleep(Duration::from_millis(self.dice.number(1..60))).await;
            write.write_all(&bytes[cut..]).await
        } else {
            write.write_all(&bytes).await
        };
        // It counts from its last byte.
        let at = Instant::now();
        if let Some(call) = lock(open).get_mut(&number) {
            call.at = at;
            self.judge.asked_at(trace, at);
        }
        written
    }

    async fn cancel(&self, number: u32, write: &mut OwnedWriteHalf, open: &Open) {
        let gone = lock(open).remove(&number);
        let Some(call) = gone else { return };
        if write.write_all(&forget(number)).await.is_ok() {
            self.judge.left(call.trace);
        } else {
            lock(open).insert(number, call);
        }
    }

    /// Bad clients, for a while: they connect and say nothing, half a thing, nonsense, or much that they never read.
    pub async fn misbehave(self: Arc<Clients>, at: SocketAddr, how_many: u64, lasts: Duration) {
        let until = Instant::now() + lasts;
        let mut all = Vec::new();
        for _ in 0..how_many {
            let Ok(Ok(mut stream)) = timeout(Duration::from_secs(1), TcpStream::connect(at)).await else {
                continue;
            };
            // Traces of its own for each of its calls.
            let trace = TRACES.fetch_add(MOST_OPEN as u64, Ordering::Relaxed);
            let class = &self.dice.one(&self.classes).name;
            let whole = call(1, class, trace, self.dice.number(0..OBJECTS), 0, 2_000, 0);
            let bytes = match self.dice.number(0..6) {
                0 => Vec::new(),
                1 => whole[..self.dice.number(1..whole.len() as u64) as usize].to_vec(),
                2 => (0..400).map(|_| self.dice.number(0..256) as u8).collect(),
                // A string that is longer than what comes.
                3 => [&[0x94, 0x00, 0x01, 0xda, 0xd0, 0x00][..], &vec![b'x'; 50_000]].concat(),
                // The same number twice.
                4 => [&whole[..], &whole].concat(),
                _ => (1..30).flat_map(|n| call(n, class, trace + u64::from(n), 6, 0, 2_000, 0)).collect(),
            };
            // Not judged: nothing is owed to them, but what they ask may come to nodes.
            let _ = timeout(Duration::from_secs(1), stream.write_all(&bytes)).await;
            if self.dice.hits(0.7) {
                all.push(stream);
            }
        }
        sleep(until.saturating_duration_since(Instant::now())).await;
    }
}

/// Reads answers until the connection ends.
async fn answers(mut read: OwnedReadHalf, open: Open, judge: Arc<Judge>, slow: bool) {
    let (mut held, mut more) = (Vec::new(), vec![0; if slow { 8_000 } else { 65_536 }]);
    while let Ok(n @ 1..) = read.read(&mut more).await {
        held.extend_from_slice(&more[..n]);
        let mut used = 0;
        loop {
            let mut rest = &held[used..];
            let Ok(value) = rmpv::decode::read_value(&mut rest) else { break };
            used = held.len() - rest.len();
            answered(&value, &open, &judge);
        }
        held.drain(..used);
        if slow {
            // Some 1 MB a second.
            sleep(Duration::from_millis(8)).await;
        }
    }
}

fn answered(value: &Value, open: &Open, judge: &Judge) {
    let number = value[1].as_u64().and_then(|n| u32::try_from(n).ok());
    let Some(call) = number.and_then(|n| lock(open).remove(&n)) else {
        // One that was cancelled may still be answered, once.
        judge.count("answers to what was cancelled");
        return;
    };
    judge.answered(call.trace);
    if !value[2].is_nil() {
        judge.count(if value[2][0].as_str() == Some("Shed") { "refused" } else { "failed" });
        return;
    }
    judge.count("served");
    let wanted = body(&format!("{:016x}", call.object), &call.part.to_string());
    if value[3][0].as_slice() != Some(&wanted[..]) {
        judge.breach(Rule::Foreign, format!("{:016x} got what no node made for it", call.trace));
    }
}

fn map(fields: &[(&str, String)]) -> Value {
    Value::Map(fields.iter().map(|(k, v)| ((*k).into(), v.as_str().into())).collect())
}

fn encode(value: &Value) -> Vec<u8> {
    let mut bytes = Vec::new();
    // Into memory, which does not fail.
    let _ = rmpv::encode::write_value(&mut bytes, value);
    bytes
}

/// The bytes of a call.
fn call(
    number: u32,
    class: &str,
    trace: u64,
    object: u64,
    part: u64,
    patience_ms: u64,
    size: usize,
) -> Vec<u8> {
    let fields = map(&[
        ("trace", format!("{trace:016x}")),
        ("patience", patience_ms.to_string()),
        ("entity", format!("{object:016x}")),
        ("slice", part.to_string()),
        ("set", (object % 256).to_string()),
        ("size", "40".into()),
    ]);
    let params = Value::Array(vec![fields, Value::Binary(vec![b'w'; size])]);
    encode(&Value::Array(vec![0.into(), number.into(), class.into(), params]))
}

/// The bytes that cancel a call.
fn forget(number: u32) -> Vec<u8> {
    encode(&Value::Array(vec![2.into(), "forget".into(), Value::Array(vec![number.into()])]))
}

/// Whether a front says that it is well.
///
/// # Errors
/// It can't be asked.
pub async fn is_well(at: SocketAddr) -> std::io::Result<bool> {
    let mut stream = TcpStream::connect(at).await?;
    let call = Value::Array(vec![0.into(), 1.into(), "isWell".into(), Value::Array(vec![map(&[])])]);
    stream.write_all(&encode(&call)).await?;
    let mut held = Vec::new();
    while stream.read_buf(&mut held).await? > 0 {
        if let Ok(value) = rmpv::decode::read_value(&mut &held[..]) {
            return Ok(value[3][0].as_bool() == Some(true));
        }
    }
    Ok(false)
}
