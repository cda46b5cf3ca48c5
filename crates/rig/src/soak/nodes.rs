//! Cache nodes, parents and the origin, and the network before them: each front reaches each node at an address of its own, so
//! that every link can be stalled alone. What comes is handed to the judge before it is answered.

use super::judge::Judge;
use super::{lock, Dice};
use fernslip_front::resp;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

/// What was read so long after a link or a node stood still is judged by its time again.
const PROMPT_AFTER: Duration = Duration::from_secs(2);
/// A second answer comes so long after the first.
const SECOND_AFTER: Duration = Duration::from_millis(4);

/// How a node behaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// It serves.
    #[default]
    Well,
    /// It stands still: neither reads nor answers.
    Hangs,
    /// Its process is dead: connections are reset.
    Dead,
    /// So many milliseconds more for each answer.
    Slow(u64),
    /// Half of its answers are errors.
    Fails,
    /// Half of its answers are that it is full.
    Full,
    /// It resets a connection under every twentieth request.
    Resets,
    /// Some answers come twice, some end in the middle.
    Spoils,
}

/// One node.
pub struct Node {
    /// Its id.
    pub id: String,
    /// Its zone and kind, as the settings name them.
    pub place: (&'static str, &'static str),
    number: usize,
    mode: watch::Sender<Mode>,
    /// Links that stand still, by front.
    stalled: watch::Sender<HashSet<usize>>,
    /// Its process: another after each start.
    process: watch::Sender<u64>,
    still: Mutex<Option<Instant>>,
    /// Where each front reaches it.
    pub addresses: Vec<SocketAddr>,
    judge: Arc<Judge>,
    dice: Dice,
}

static CONNECTIONS: AtomicU64 = AtomicU64::new(0);

struct Connection {
    number: u64,
    open: Mutex<HashSet<u64>>,
}

impl Node {
    /// A node that so many fronts reach.
    ///
    /// # Errors
    /// No port can be had.
    pub async fn start(
        number: usize,
        place: (&'static str, &'static str),
        fronts: usize,
        seed: u64,
        judge: Arc<Judge>,
    ) -> std::io::Result<Arc<Node>> {
        let mut listeners = Vec::new();
        for _ in 0..fronts {
            listeners.push(TcpListener::bind("127.0.0.1:0").await?);
        }
        let addresses = listeners.iter().map(TcpListener::local_addr).collect::<Result<_, _>>()?;
        let node = Arc::new(Node {
            id: format!("s-{number:04}"),
            place,
            number,
            mode: watch::Sender::new(Mode::Well),
            stalled: watch::Sender::new(HashSet::new()),
            process: watch::Sender::new(0),
            still: Mutex::new(None),
            addresses,
            judge,
            dice: Dice::new(seed, 2_000 + number as u64),
        });
        for (front, listener) in listeners.into_iter().enumerate() {
            let node = node.clone();
            tokio::spawn(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    tokio::spawn(node.clone().connection(front, stream));
                }
            });
        }
        Ok(node)
    }

    /// How it behaves from now on. One that dies loses its connections.
    pub fn behave(&self, mode: Mode) {
        self.stood_still();
        if mode == Mode::Dead {
            self.process.send_modify(|p| *p += 1);
        }
        self.mode.send_replace(mode);
    }

    /// The link from a front stands still, or goes on with what was on it.
    pub fn stall(&self, front: usize, stalls: bool) {
        self.stood_still();
        self.stalled.send_if_modified(|all| if stalls { all.insert(front) } else { all.remove(&front) });
    }

    fn stood_still(&self) {
        *lock(&self.still) = Some(Instant::now());
    }

    async fn connection(self: Arc<Node>, front: usize, stream: TcpStream) {
        let connection = Arc::new(Connection {
            number: CONNECTIONS.fetch_add(1, Ordering::Relaxed),
            open: Mutex::default(),
        });
        let mut process = self.process.subscribe();
        process.mark_unchanged();
        if *self.mode.borrow() == Mode::Dead {
            let _ = stream.set_zero_linger();
            return;
        }
        let _ = stream.set_nodelay(true);
        tokio::select! {
            _ = process.changed() => {}
            _ = self.serve(front, &stream, &connection) => {}
        }
        let _ = stream.set_zero_linger();
        for trace in std::mem::take(&mut *lock(&connection.open)) {
            self.judge.leaves(self.number, connection.number, trace);
        }
    }

    /// Waits as long as the node or the link stands still.
    async fn moves(&self, front: usize) {
        let (mut mode, mut stalled) = (self.mode.subscribe(), self.stalled.subscribe());
        while *mode.borrow_and_update() == Mode::Hangs || stalled.borrow_and_update().contains(&front) {
            tokio::select! {
                _ = mode.changed() => {}
                _ = stalled.changed() => {}
            }
            self.stood_still();
        }
    }

    async fn serve(
        self: &Arc<Node>,
        front: usize,
        stream: &TcpStream,
        connection: &Arc<Connection>,
    ) -> std::io::Result<()> {
        let (answers, mut ready) = tokio::sync::mpsc::unbounded_channel::<Vec<u8>>();
        let (mut held, mut more) = (Vec::new(), vec![0; 16_384]);
        loop {
            self.moves(front).await;
            tokio::select! {
                answer = ready.recv() => {
                    let Some(answer) = answer else { return Ok(()) };
                    self.moves(front).await;
                    write_all(stream, &answer).await?;
                    // Nothing to write stands for the end of the connection.
                    if answer.is_empty() {
                        return Ok(());
                    }
                }
                readable = stream.readable() => {
                    readable?;
                    self.moves(front).await;
                    match stream.try_read(&mut more) {
                        Ok(0) => return Ok(()),
                        Ok(n) => held.extend_from_slice(&more[..n]),
                        Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => continue,
                        Err(e) => return Err(e),
                    }
                    let mut used = 0;
                    while let Ok(Some((len, parts))) = resp::parts(&held[used..]) {
                        let words: Vec<String> =
                            parts.iter().map(|p| String::from_utf8_lossy(p).into_owned()).collect();
                        used += len;
                        self.take(connection, &words, &answers);
                    }
                    held.drain(..used);
                }
            }
        }
    }

    /// Takes one command.
    fn take(
        self: &Arc<Node>,
        connection: &Arc<Connection>,
        words: &[String],
        answers: &tokio::sync::mpsc::UnboundedSender<Vec<u8>>,
    ) {
        let trace = words.get(1).and_then(|id| u64::from_str_radix(id, 16).ok());
        match (words.first().map(String::as_str), trace) {
            (Some("QUIT"), Some(trace)) => {
                lock(&connection.open).remove(&trace);
                self.judge.leaves(self.number, connection.number, trace);
            }
            (Some("ASK"), Some(trace)) => {
                let fields = words.get(2).cloned().unwrap_or_default();
                lock(&connection.open).insert(trace);
                let prompt = lock(&self.still).is_none_or(|at| at.elapsed() > PROMPT_AFTER);
                if self.judge.arrives(self.number, connection.number, trace, &fields, prompt).is_none() {
                    self.judge.count("attempts of requests that are forgotten");
                }
                let (judge, node, number) = (self.judge.clone(), self.number, connection.number);
                tokio::spawn(async move { judge.compare(node, number, trace).await });
                let (node, connection, answers) = (self.clone(), connection.clone(), answers.clone());
                tokio::spawn(async move { node.answer(&connection, trace, &fields, &answers).await });
            }
            _ => self.judge.breach(super::judge::Rule::Foreign, format!("no command: {words:?}")),
        }
    }

    async fn answer(
        &self,
        connection: &Connection,
        trace: u64,
        fields: &str,
        answers: &tokio::sync::mpsc::UnboundedSender<Vec<u8>>,
    ) {
        let mode = *self.mode.borrow();
        let (luck, base) = (self.dice.part(), self.dice.number(1..25));
        let word = match mode {
            Mode::Fails if luck < 0.5 => "crashed",
            Mode::Full if luck < 0.5 => "overload",
            _ if luck > 0.99 => "not_here",
            _ => "served",
        };
        if matches!(word, "served" | "crashed") {
            self.judge.runs(self.number, trace);
        }
        let slow = if let Mode::Slow(ms) = mode { ms } else { 0 };
        sleep(Duration::from_millis(base + slow)).await;
        if !lock(&connection.open).remove(&trace) {
            return;
        }
        let field = |name: &str| fields.split(',').filter_map(|f| f.split_once('=')).find(|f| f.0 == name);
        let item = field("item").map_or("", |f| f.1);
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        let told = format!("tell=fill,tag={item},minted={unix}");
        let id = format!("{trace:016x}");
        let body = if word == "served" { body(item, field("chunk").map_or("", |f| f.1)) } else { Vec::new() };
        let whole = resp::array(&[id.as_bytes(), word.as_bytes(), told.as_bytes(), &body]);
        let ends = match mode {
            Mode::Resets if luck < 0.05 => Some(Vec::new()),
            Mode::Spoils if luck < 0.05 => Some(whole[..whole.len() / 2].to_vec()),
            _ => None,
        };
        if let Some(part) = ends {
            let _ = answers.send(part);
            let _ = answers.send(Vec::new());
            return;
        }
        let twice = mode == Mode::Spoils && luck < 0.1;
        let _ = answers.send(whole.clone());
        self.judge.leaves(self.number, connection.number, trace);
        if twice {
            sleep(SECOND_AFTER).await;
            let _ = answers.send(whole);
        }
    }
}

/// The bytes of a part of an object: what a client that asked for it must get.
pub fn body(item: &str, chunk: &str) -> Vec<u8> {
    let head = format!("{item}/{chunk}/");
    // From some hundred bytes to far more than a socket holds at once.
    let size = u64::from_str_radix(item, 16).unwrap_or(0) % 7;
    head.repeat(1 << (3 + 2 * size)).into_bytes()
}

async fn write_all(stream: &TcpStream, mut bytes: &[u8]) -> std::io::Result<()> {
    while !bytes.is_empty() {
        stream.writable().await?;
        match stream.try_write(bytes) {
            Ok(n) => bytes = &bytes[n..],
            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(e) => return Err(e),
        }
    }
    Ok(())
}
