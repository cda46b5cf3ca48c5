//! Cache nodes, parents and the origin, and the network before them: each front reaches each node at an address of its own, so
//! that every link can be stalled alone. What arrives is handed to the checker before it is answered.

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

/// So long after a link or a node was blocked, what is read counts as read promptly again.
const PROMPT_AFTER: Duration = Duration::from_secs(2);
/// A duplicate answer comes so long after the first.
const DUPLICATE_DELAY: Duration = Duration::from_millis(4);

/// How a node behaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum NodeMode {
    /// It serves.
    #[default]
    Healthy,
    /// It neither reads nor writes.
    Hanging,
    /// Its process is dead: connections are reset.
    Dead,
    /// Each answer takes so much longer.
    Slow(Duration),
    /// Half of its answers are errors.
    Failing,
    /// Half of its answers are that it is overloaded.
    Full,
    /// It resets a connection at every twentieth request.
    Resetting,
    /// Some answers are sent twice, some are cut off.
    Corrupting,
}

/// A node's location and kind, as settings and the bus name them.
#[derive(Clone, Copy, Debug)]
pub struct NodeRole {
    /// Its zone.
    pub zone: &'static str,
    /// `standard`, `parent` or `origin`.
    pub kind: &'static str,
}

/// One node.
pub struct Node {
    /// Its id.
    pub id: String,
    /// Its location and kind.
    pub role: NodeRole,
    /// Where each front reaches it.
    pub addresses: Vec<SocketAddr>,
    number: usize,
    mode: watch::Sender<NodeMode>,
    /// The fronts whose link to this node is stalled.
    stalled: watch::Sender<HashSet<usize>>,
    /// Counts its processes: connections end with theirs.
    incarnation: watch::Sender<u64>,
    /// When the node or a link was blocked last.
    last_blocked: Mutex<Option<Instant>>,
    checker: Arc<RuleChecker>,
    rng: SeededRng,
}

/// The number of the next connection, over all nodes.
static NEXT_CONNECTION: AtomicU64 = AtomicU64::new(0);

struct Connection {
    number: u64,
    /// Traces of the requests that are neither answered nor cancelled.
    pending: Mutex<HashSet<u64>>,
}

/// Bytes to be written to a connection; none stand for its end.
type Answers = UnboundedSender<Vec<u8>>;

impl Node {
    /// Starts a node that `fronts` fronts reach.
    ///
    /// # Errors
    /// No port can be bound.
    pub async fn start(
        number: usize,
        role: NodeRole,
        fronts: usize,
        seed: u64,
        checker: Arc<RuleChecker>,
    ) -> io::Result<Arc<Node>> {
        let mut listeners = Vec::new();
        for _ in 0..fronts {
            listeners.push(TcpListener::bind("127.0.0.1:0").await?);
        }
        let addresses = listeners.iter().map(TcpListener::local_addr).collect::<Result<_, _>>()?;
        let node = Arc::new(Node {
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

    /// How it behaves from now on. One that dies loses its connections.
    pub fn set_mode(&self, mode: NodeMode) {
        self.note_blocked();
        if mode == NodeMode::Dead {
            self.incarnation.send_modify(|n| *n += 1);
        }
        self.mode.send_replace(mode);
    }

    /// Stalls the link from a front, or lets it deliver what was on it.
    pub fn set_stalled(&self, front: usize, stalled: bool) {
        self.note_blocked();
        self.stalled
            .send_if_modified(|fronts| if stalled { fronts.insert(front) } else { fronts.remove(&front) });
    }

    fn note_blocked(&self) {
        *lock(&self.last_blocked) = Some(Instant::now());
    }

    async fn run_connection(self: Arc<Node>, front: usize, stream: TcpStream) {
        let connection = Arc::new(Connection {
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
            _ = self.serve(front, &stream, &connection) => {}
        }
        let _ = stream.set_zero_linger();
        for trace in std::mem::take(&mut *lock(&connection.pending)) {
            self.checker.attempt_ended(self.attempt(&connection, trace));
        }
    }

    fn attempt(&self, connection: &Connection, trace: u64) -> Attempt {
        Attempt { node: self.number, connection: connection.number, trace }
    }

    /// Waits while the node hangs or the link is stalled.
    async fn wait_until_unblocked(&self, front: usize) {
        let (mut mode, mut stalled) = (self.mode.subscribe(), self.stalled.subscribe());
        while *mode.borrow_and_update() == NodeMode::Hanging || stalled.borrow_and_update().contains(&front) {
            tokio::select! {
                _ = mode.changed() => {}
                _ = stalled.changed() => {}
            }
            self.note_blocked();
        }
    }

    async fn serve(
        self: &Arc<Node>,
        front: usize,
        stream: &TcpStream,
        connection: &Arc<Connection>,
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
        self: &Arc<Node>,
        connection: &Arc<Connection>,
        arguments: &[String],
        answers: &Answers,
    ) {
        let trace = arguments.get(1).and_then(|id| u64::from_str_radix(id, 16).ok());
        match (arguments.first().map(String::as_str), trace) {
            (Some("QUIT"), Some(trace)) => {
                lock(&connection.pending).remove(&trace);
                self.checker.attempt_ended(self.attempt(connection, trace));
            }
            (Some("ASK"), Some(trace)) => {
                let fields = arguments.get(2).cloned().unwrap_or_default();
                self.start_attempt(connection, trace, fields, answers);
            }
            _ => self.checker.breach(Rule::Foreign, format!("no command: {arguments:?}")),
        }
    }

    fn start_attempt(
        self: &Arc<Node>,
        connection: &Arc<Connection>,
        trace: u64,
        fields: String,
        answers: &Answers,
    ) {
        lock(&connection.pending).insert(trace);
        let attempt = self.attempt(connection, trace);
        let prompt = lock(&self.last_blocked).is_none_or(|at| at.elapsed() > PROMPT_AFTER);
        if self.checker.attempt_arrived(attempt, &fields, prompt).is_none() {
            self.checker.count("attempts of requests that are forgotten");
        }
        let checker = self.checker.clone();
        tokio::spawn(async move { checker.check_concurrent_attempts(attempt).await });
        let (node, connection, answers) = (self.clone(), connection.clone(), answers.clone());
        tokio::spawn(async move { node.answer(&connection, trace, &fields, &answers).await });
    }

    /// Answers a request as the mode has it, unless it is cancelled meanwhile.
    async fn answer(&self, connection: &Connection, trace: u64, fields: &str, answers: &Answers) {
        let mode = *self.mode.borrow();
        let (luck, base_ms) = (self.rng.fraction(), self.rng.number(1..25));
        let status = match mode {
            NodeMode::Failing if luck < 0.5 => "crashed",
            NodeMode::Full if luck < 0.5 => "overload",
            _ if luck > 0.99 => "not_here",
            _ => "served",
        };
        if matches!(status, "served" | "crashed") {
            self.checker.request_executed(self.number, trace);
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
        self.checker.attempt_ended(self.attempt(connection, trace));
        if duplicate {
            sleep(DUPLICATE_DELAY).await;
            let _ = answers.send(answer);
        }
    }
}

/// The bytes of an answer; only one that is `served` has a body.
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

/// The bytes of a part of an object, which a client that requested it must receive: from some hundred bytes to far more
/// than a socket buffers.
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
