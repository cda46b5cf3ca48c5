//! Simulated cache nodes, parents and origin. Each front reaches each node at a separate address, so that
//! each link can be stalled separately. Attempts are passed to the checker before they are answered.

use super::checker::{Attempt, Rule, RuleChecker};
use super::seeded_rng::SeededRng;
use crate::sync::lock;
use fernslip_front::resp;
use std::collections::HashSet;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{unbounded_channel, UnboundedSender};
use tokio::sync::watch;
use tokio::time::sleep;

/// Time after a node or one of its links was last blocked until its reads count as prompt again.
const BLOCKED_RECOVERY_PERIOD: Duration = Duration::from_secs(2);
/// Time between an answer and its duplicate.
const DUPLICATE_ANSWER_DELAY: Duration = Duration::from_millis(4);

/// Behaviour of a simulated node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum NodeMode {
    /// The node answers requests normally.
    #[default]
    Healthy,
    /// The node neither reads nor writes, but its connections stay open.
    Hanging,
    /// The node's process is dead: existing and new connections are reset.
    Dead,
    /// Each answer is delayed by this time.
    Slow(Duration),
    /// Half of the answers are errors.
    Failing,
    /// Half of the answers say that the node is overloaded.
    Full,
    /// The node resets the connection for one in twenty requests, chosen at random.
    Resetting,
    /// Some answers are truncated and some are sent twice.
    Corrupting,
}

/// Zone and kind of a node, named as in the configuration and on the bus.
#[derive(Clone, Copy, Debug)]
pub struct NodeRole {
    /// Zone that the node is in.
    pub zone: &'static str,
    /// Kind of the node: `standard`, `parent` or `origin`.
    pub kind: &'static str,
}

/// A simulated cache node, parent or origin.
pub struct SimulatedNode {
    /// Node id in the endpoint list.
    pub id: String,
    /// Zone and kind of the node.
    pub role: NodeRole,
    /// Addresses at which the fronts reach the node, by front.
    pub addresses: Vec<SocketAddr>,
    number: usize,
    mode: watch::Sender<NodeMode>,
    /// Indices of the fronts whose link to this node is stalled.
    stalled: watch::Sender<HashSet<usize>>,
    /// Number of the node's current process; a connection is closed when this number changes.
    incarnation: watch::Sender<u64>,
    /// Time at which the node or one of its links was last blocked.
    last_blocked: Mutex<Option<Instant>>,
    checker: Arc<RuleChecker>,
    rng: SeededRng,
}

/// Number that the next connection gets, unique over all nodes.
static NEXT_CONNECTION: AtomicU64 = AtomicU64::new(0);

/// A connection from a front to a node.
struct NodeConnection {
    number: u64,
    /// Trace ids of the requests that are neither answered nor cancelled.
    pending: Mutex<HashSet<u64>>,
}

/// Sends answers to the task that writes them to the connection; an empty answer closes the connection.
type AnswerSender = UnboundedSender<Vec<u8>>;

impl SimulatedNode {
    /// Starts a node with one listening address for each of `fronts` fronts.
    ///
    /// # Errors
    /// Returns an error if no port can be bound.
    pub async fn start(
        number: usize,
        role: NodeRole,
        fronts: usize,
        seed: u64,
        checker: Arc<RuleChecker>,
    ) -> io::Result<Arc<SimulatedNode>> {
        let mut listeners = Vec::new();
        for _ in 0..fronts {
            listeners.push(TcpListener::bind("127.0.0.1:0").await?);
        }
        let addresses = listeners.iter().map(TcpListener::local_addr).collect::<Result<_, _>>()?;
        let node = Arc::new(SimulatedNode {
            id: format!("s-{number:04}"),
            role,
            addresses,
            number,
            mode: watch::Sender::new(NodeMode::Healthy),
            stalled: watch::Sender::new(HashSet::new()),
            incarnation: watch::Sender::new(0),
            last_blocked: Mutex::new(None),
            checker,
            rng: SeededRng::new(seed, 2_000 + number as u64),
        });
        for (front, listener) in listeners.into_iter().enumerate() {
            let node = node.clone();
            tokio::spawn(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    tokio::spawn(node.clone().run_connection(front, stream));
                }
            });
        }
        Ok(node)
    }

    /// Sets the behaviour of the node from now on. All connections are reset when it becomes
    /// [`NodeMode::Dead`].
    pub fn set_mode(&self, mode: NodeMode) {
        self.record_blocked();
        if mode == NodeMode::Dead {
            self.incarnation.send_modify(|n| *n += 1);
        }
        self.mode.send_replace(mode);
    }

    /// Stalls the link from a front, or ends the stall; data sent during the stall is then delivered.
    pub fn set_link_stalled(&self, front: usize, stalled: bool) {
        self.record_blocked();
        self.stalled
            .send_if_modified(|fronts| if stalled { fronts.insert(front) } else { fronts.remove(&front) });
    }

    fn record_blocked(&self) {
        *lock(&self.last_blocked) = Some(Instant::now());
    }

    async fn run_connection(self: Arc<SimulatedNode>, front: usize, stream: TcpStream) {
        let connection = Arc::new(NodeConnection {
            number: NEXT_CONNECTION.fetch_add(1, Ordering::Relaxed),
            pending: Mutex::default(),
        });
        let mut incarnation = self.incarnation.subscribe();
        incarnation.mark_unchanged();
        if *self.mode.borrow() == NodeMode::Dead {
            let _ = stream.set_zero_linger();
            return;
        }
        let _ = stream.set_nodelay(true);
        tokio::select! {
            _ = incarnation.changed() => {}
            _ = self.serve_connection(front, &stream, &connection) => {}
        }
        let _ = stream.set_zero_linger();
        for trace in std::mem::take(&mut *lock(&connection.pending)) {
            self.checker.on_attempt_ended(self.attempt_on_connection(&connection, trace));
        }
    }

    fn attempt_on_connection(&self, connection: &NodeConnection, trace: u64) -> Attempt {
        Attempt { node: self.number, connection: connection.number, trace }
    }

    /// Waits while the node hangs or its link from the given front is stalled.
    async fn wait_until_unblocked(&self, front: usize) {
        let (mut mode, mut stalled) = (self.mode.subscribe(), self.stalled.subscribe());
        while *mode.borrow_and_update() == NodeMode::Hanging || stalled.borrow_and_update().contains(&front) {
            tokio::select! {
                _ = mode.changed() => {}
                _ = stalled.changed() => {}
            }
            self.record_blocked();
        }
    }

    async fn serve_connection(
        self: &Arc<SimulatedNode>,
        front: usize,
        stream: &TcpStream,
        connection: &Arc<NodeConnection>,
    ) -> io::Result<()> {
        let (answers, mut ready) = unbounded_channel::<Vec<u8>>();
        let (mut buffer, mut chunk) = (Vec::new(), vec![0; 16_384]);
        loop {
            self.wait_until_unblocked(front).await;
            tokio::select! {
                answer = ready.recv() => {
                    let Some(answer) = answer else { return Ok(()) };
                    self.wait_until_unblocked(front).await;
                    write_all(stream, &answer).await?;
                    if answer.is_empty() {
                        return Ok(());
                    }
                }
                readable = stream.readable() => {
                    readable?;
                    self.wait_until_unblocked(front).await;
                    match stream.try_read(&mut chunk) {
                        Ok(0) => return Ok(()),
                        Ok(n) => buffer.extend_from_slice(&chunk[..n]),
                        Err(e) if e.kind() == io::ErrorKind::WouldBlock => continue,
                        Err(e) => return Err(e),
                    }
                    let mut used = 0;
                    while let Ok(Some((len, parts))) = resp::parse_array(&buffer[used..]) {
                        let arguments: Vec<String> =
                            parts.iter().map(|p| String::from_utf8_lossy(p).into_owned()).collect();
                        used += len;
                        self.handle_command(connection, &arguments, &answers);
                    }
                    buffer.drain(..used);
                }
            }
        }
    }

    fn handle_command(
        self: &Arc<SimulatedNode>,
        connection: &Arc<NodeConnection>,
        arguments: &[String],
        answers: &AnswerSender,
    ) {
        let trace = arguments.get(1).and_then(|id| u64::from_str_radix(id, 16).ok());
        match (arguments.first().map(String::as_str), trace) {
            (Some("QUIT"), Some(trace)) => {
                lock(&connection.pending).remove(&trace);
                self.checker.on_attempt_ended(self.attempt_on_connection(connection, trace));
            }
            (Some("ASK"), Some(trace)) => {
                let fields = arguments.get(2).cloned().unwrap_or_default();
                self.start_attempt(connection, trace, fields, answers);
            }
            _ => self.checker.record_breach(
                Rule::Foreign,
                format!("expected the command ASK or QUIT with a trace id, received {arguments:?}"),
            ),
        }
    }

    fn start_attempt(
        self: &Arc<SimulatedNode>,
        connection: &Arc<NodeConnection>,
        trace: u64,
        fields: String,
        answers: &AnswerSender,
    ) {
        lock(&connection.pending).insert(trace);
        let attempt = self.attempt_on_connection(connection, trace);
        let prompt = lock(&self.last_blocked).is_none_or(|at| at.elapsed() > BLOCKED_RECOVERY_PERIOD);
        if self.checker.on_attempt_arrived(attempt, &fields, prompt).is_none() {
            self.checker.increment_count("attempts of requests that are forgotten");
        }
        let checker = self.checker.clone();
        tokio::spawn(async move { checker.check_concurrent_attempts(attempt).await });
        let (node, connection, answers) = (self.clone(), connection.clone(), answers.clone());
        tokio::spawn(async move { node.answer_request(&connection, trace, &fields, &answers).await });
    }

    /// Answers a request according to the node's mode, unless the request is cancelled meanwhile.
    async fn answer_request(
        &self,
        connection: &NodeConnection,
        trace: u64,
        fields: &str,
        answers: &AnswerSender,
    ) {
        let mode = *self.mode.borrow();
        let (luck, base_ms) = (self.rng.random_fraction(), self.rng.random_range(1..25));
        let status = match mode {
            NodeMode::Failing if luck < 0.5 => "crashed",
            NodeMode::Full if luck < 0.5 => "overload",
            _ if luck > 0.99 => "not_here",
            _ => "served",
        };
        if matches!(status, "served" | "crashed") {
            self.checker.on_request_executed(self.number, trace);
        }
        let extra = if let NodeMode::Slow(extra) = mode { extra } else { Duration::ZERO };
        sleep(Duration::from_millis(base_ms) + extra).await;
        if !lock(&connection.pending).remove(&trace) {
            return;
        }
        let answer = encode_answer(trace, status, fields);
        let truncated = match mode {
            NodeMode::Resetting if luck < 0.05 => Some(Vec::new()),
            NodeMode::Corrupting if luck < 0.05 => Some(answer[..answer.len() / 2].to_vec()),
            _ => None,
        };
        if let Some(part) = truncated {
            let _ = answers.send(part);
            let _ = answers.send(Vec::new());
            return;
        }
        let duplicate = mode == NodeMode::Corrupting && luck < 0.1;
        let _ = answers.send(answer.clone());
        self.checker.on_attempt_ended(self.attempt_on_connection(connection, trace));
        if duplicate {
            sleep(DUPLICATE_ANSWER_DELAY).await;
            let _ = answers.send(answer);
        }
    }
}

/// Encodes an answer; only one with the status `served` has a body.
fn encode_answer(trace: u64, status: &str, fields: &str) -> Vec<u8> {
    let field = |name: &str| {
        let mut all = fields.split(',').filter_map(|f| f.split_once('='));
        all.find(|f| f.0 == name).map_or("", |f| f.1)
    };
    let object = field("item");
    let now_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
    let id = format!("{trace:016x}");
    let report = format!("tell=fill,tag={object},minted={now_ms}");
    let body = if status == "served" { object_body(object, field("chunk")) } else { Vec::new() };
    resp::encode_array(&[id.as_bytes(), status.as_bytes(), report.as_bytes(), &body])
}

/// Returns the body of one part of an object, which a client that requests the part has to receive. Depending
/// on the object, the body is between a few hundred bytes long and far longer than a socket can buffer.
pub fn object_body(object: &str, part: &str) -> Vec<u8> {
    let unit = format!("{object}/{part}/");
    let size_class = u64::from_str_radix(object, 16).unwrap_or(0) % 7;
    unit.repeat(1 << (3 + 2 * size_class)).into_bytes()
}

async fn write_all(stream: &TcpStream, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        stream.writable().await?;
        match stream.try_write(bytes) {
            Ok(n) => bytes = &bytes[n..],
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            Err(e) => return Err(e),
        }
    }
    Ok(())
}
