//! Open-loop clients: requests are sent at times that don't depend on answers, and latency is measured from
//! the time when a request was due. Otherwise a slow front would reduce its own load and appear fast.

use crate::cache_nodes::{FIRST_UNIQUE_OBJECT, WRITE_CLASS};
use crate::client_protocol::Call;
use crate::sync::lock;
use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rmpv::Value;
use serde_json::json;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, Instant};

/// How long a client waits for the answer to a request.
pub const CLIENT_TIMEOUT: Duration = Duration::from_millis(4_000);
/// How long after the client's timeout a request without an answer is counted as unanswered or lost.
const ANSWER_GRACE: Duration = Duration::from_millis(500);
/// The number of objects that are requested repeatedly.
const SHARED_OBJECTS: u64 = 500;
/// The delay before a client connects again to a front that refused the connection.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);

/// The outcomes of requests.
#[derive(Clone, Debug)]
pub struct RequestOutcomes {
    /// The latency of served requests, in microseconds.
    pub latency: Histogram<u64>,
    /// The number of requests that were served.
    pub served: u64,
    /// The number of requests that were answered with an error.
    pub errors: u64,
    /// The number of requests without an answer in time from a front that was running throughout.
    pub unanswered: u64,
    /// The number of requests that were lost because their front was killed, was stopped or had exited.
    pub lost: u64,
    /// The number of answers that belong to no pending request.
    pub unexpected: u64,
}

impl Default for RequestOutcomes {
    fn default() -> RequestOutcomes {
        // The range is a microsecond to a minute with three significant digits, which the histogram accepts.
        let latency = Histogram::new_with_bounds(1, 60_000_000, 3)
            .unwrap_or_else(|_| unreachable!("the histogram accepts these fixed bounds"));
        RequestOutcomes { latency, served: 0, errors: 0, unanswered: 0, lost: 0, unexpected: 0 }
    }
}

impl RequestOutcomes {
    /// Returns the outcomes as JSON, with latency quantiles in milliseconds.
    pub fn to_json(&self) -> serde_json::Value {
        let ms = |q: f64| self.latency.value_at_quantile(q) as f64 / 1000.0;
        json!({
            "served": self.served, "errors": self.errors, "unanswered": self.unanswered, "lost": self.lost,
            "odd": self.unexpected, "p50_ms": ms(0.5), "p99_ms": ms(0.99), "p999_ms": ms(0.999),
        })
    }

    /// Counts requests without an answer: as unanswered if their front was accountable for them, otherwise as
    /// lost.
    fn add_missing(&mut self, requests: u64, accountable: bool) {
        match accountable {
            true => self.unanswered += requests,
            false => self.lost += requests,
        }
    }
}

/// The time when each unanswered call of a connection was due, by call number.
type PendingCalls = Arc<Mutex<HashMap<u32, Instant>>>;

/// Sends the requests of all clients of a run and counts their outcomes.
pub struct LoadGenerator {
    outcomes: Mutex<RequestOutcomes>,
    next_id: AtomicU64,
    stopped: AtomicBool,
}

impl LoadGenerator {
    /// Creates a load generator without clients.
    pub fn new() -> Arc<LoadGenerator> {
        Arc::new(LoadGenerator {
            outcomes: Mutex::default(),
            next_id: AtomicU64::new(1),
            stopped: AtomicBool::new(false),
        })
    }

    /// Returns the outcomes of requests so far.
    pub fn outcomes(&self) -> RequestOutcomes {
        lock(&self.outcomes).clone()
    }

    /// Stops all clients from sending requests.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
    }

    /// Starts a client that sends `requests_per_second` to a front until [`LoadGenerator::stop`] is called.
    /// While `accountable` is false, for example because the front is stopped, requests without an answer are
    /// counted as lost.
    pub fn add_client(
        self: &Arc<LoadGenerator>,
        front: SocketAddr,
        requests_per_second: f64,
        seed: u64,
        accountable: Arc<AtomicBool>,
    ) {
        let load = self.clone();
        tokio::spawn(async move {
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            while !load.stopped.load(Ordering::Relaxed) {
                match TcpStream::connect(front).await {
                    Ok(stream) => {
                        load.run_connection(stream, requests_per_second, &mut rng, &accountable).await;
                    }
                    Err(_) => sleep(RECONNECT_DELAY).await,
                }
            }
        });
    }

    /// Sends requests over one connection until the connection breaks or the load generator is stopped.
    async fn run_connection(
        self: &Arc<LoadGenerator>,
        stream: TcpStream,
        requests_per_second: f64,
        rng: &mut ChaCha8Rng,
        accountable: &Arc<AtomicBool>,
    ) {
        let _ = stream.set_nodelay(true);
        let (read, mut write) = stream.into_split();
        let pending = PendingCalls::default();
        let reader = tokio::spawn(self.clone().read_answers(read, pending.clone()));
        let mut due = Instant::now();
        loop {
            due += Duration::from_secs_f64(-(1.0 - rng.random::<f64>()).ln() / requests_per_second);
            tokio::time::sleep_until(due).await;
            if self.stopped.load(Ordering::Relaxed) || reader.is_finished() {
                break;
            }
            if self.send_request(&mut write, due, rng, &pending).await.is_err() {
                break;
            }
            self.remove_expired(&pending, due, accountable);
        }
        // The last requests get the full client timeout for their answers.
        let _ = timeout(CLIENT_TIMEOUT, async {
            while !lock(&pending).is_empty() && !reader.is_finished() {
                sleep(Duration::from_millis(10)).await;
            }
        })
        .await;
        let broken = reader.is_finished();
        reader.abort();
        let remaining = lock(&pending).len() as u64;
        let accountable = !broken && accountable.load(Ordering::Relaxed);
        lock(&self.outcomes).add_missing(remaining, accountable);
    }

    /// Sends one request. One tenth of the requests are writes, and two tenths are reads of an object that is
    /// requested only once.
    async fn send_request(
        &self,
        write: &mut OwnedWriteHalf,
        due: Instant,
        rng: &mut ChaCha8Rng,
        pending: &PendingCalls,
    ) -> std::io::Result<()> {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let kind: f64 = rng.random();
        let (class, object) = match kind {
            k if k < 0.1 => (WRITE_CLASS, FIRST_UNIQUE_OBJECT + id),
            k if k < 0.3 => ("docs", FIRST_UNIQUE_OBJECT + id),
            _ => ("docs", rng.random_range(0..SHARED_OBJECTS)),
        };
        let number = id as u32;
        lock(pending).insert(number, due);
        let call = Call {
            number,
            class,
            trace: id,
            object,
            part: 0,
            set: 1,
            size: 4,
            patience_ms: CLIENT_TIMEOUT.as_millis() as u64,
            body_len: 0,
        };
        write.write_all(&call.encode()).await
    }

    async fn read_answers(self: Arc<LoadGenerator>, mut read: OwnedReadHalf, pending: PendingCalls) {
        let (mut buffer, mut chunk) = (Vec::new(), vec![0; 16_384]);
        while let Ok(n @ 1..) = read.read(&mut chunk).await {
            buffer.extend_from_slice(&chunk[..n]);
            let mut used = 0;
            loop {
                let mut unread = &buffer[used..];
                let Ok(answer) = rmpv::decode::read_value(&mut unread) else { break };
                used = buffer.len() - unread.len();
                self.record_answer(&answer, &pending);
            }
            buffer.drain(..used);
        }
    }

    /// Removes and counts the pending requests whose time for an answer has passed.
    fn remove_expired(&self, pending: &PendingCalls, now: Instant, accountable: &AtomicBool) {
        let mut calls = lock(pending);
        let before = calls.len();
        calls.retain(|_, due| now.saturating_duration_since(*due) < CLIENT_TIMEOUT + ANSWER_GRACE);
        let expired = (before - calls.len()) as u64;
        if expired > 0 {
            lock(&self.outcomes).add_missing(expired, accountable.load(Ordering::Relaxed));
        }
    }

    fn record_answer(&self, answer: &Value, pending: &PendingCalls) {
        let number = answer.as_array().and_then(|a| a.get(1)).and_then(Value::as_u64);
        let due = number.and_then(|n| u32::try_from(n).ok()).and_then(|n| lock(pending).remove(&n));
        let mut outcomes = lock(&self.outcomes);
        let Some(due) = due else {
            outcomes.unexpected += 1;
            return;
        };
        if answer[2].is_nil() {
            outcomes.served += 1;
            let _ = outcomes.latency.record(due.elapsed().as_micros().max(1) as u64);
        } else {
            outcomes.errors += 1;
        }
    }
}
