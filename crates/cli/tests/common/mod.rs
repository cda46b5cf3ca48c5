//! Stand-ins on loopback for tests of a front with a site document: cache nodes, a client, and the program itself.
#![allow(dead_code, reason = "each test file uses a part")]

pub mod scripted;

use rmpv::Value;
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The longest wait of any step; far longer than one takes on a busy machine.
pub const STEP_TIMEOUT: Duration = Duration::from_secs(30);

/// A request that a node received.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    pub at: Instant,
    pub fields: HashMap<String, String>,
}

/// How a node behaves, and what it has received.
#[derive(Default)]
pub struct NodeState {
    pub requests: Mutex<Vec<ReceivedRequest>>,
    pub connections: AtomicUsize,
    pub connections_ended: AtomicUsize,
    pub in_flight: AtomicUsize,
    pub max_in_flight: AtomicUsize,
    /// Milliseconds that an answer takes.
    pub delay_ms: AtomicU64,
    /// It resets open connections and refuses new ones, as a host whose process has crashed.
    pub refuses_connections: AtomicBool,
    /// It answers with an error.
    pub answers_with_error: AtomicBool,
    /// It writes its answers a byte at a time, with a pause after each.
    pub answers_bytewise: AtomicBool,
}

/// A cache node that serves everything as filled.
pub struct Node {
    pub addr: SocketAddr,
    pub state: Arc<NodeState>,
}

impl Node {
    pub fn start() -> Node {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let addr = listener.local_addr().expect("bound");
        let state = Arc::new(NodeState::default());
        let s = state.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let s = s.clone();
                if s.refuses_connections.load(Ordering::SeqCst) {
                    continue; // dropped: the front's connection breaks
                }
                s.connections.fetch_add(1, Ordering::SeqCst);
                std::thread::spawn(move || {
                    let _ = serve(&stream, &s);
                    s.connections_ended.fetch_add(1, Ordering::SeqCst);
                });
            }
        });
        Node { addr, state }
    }

    pub fn request_count(&self) -> usize {
        self.state.requests.lock().expect("sound").len()
    }

    /// The requests that it received after that instant.
    pub fn requests_after(&self, at: Instant) -> Vec<ReceivedRequest> {
        self.state.requests.lock().expect("sound").iter().filter(|a| a.at > at).cloned().collect()
    }
}

fn serve(stream: &TcpStream, s: &Arc<NodeState>) -> std::io::Result<()> {
    let mut buffer = Vec::new();
    let out = Arc::new(Mutex::new(stream.try_clone()?));
    stream.set_read_timeout(Some(Duration::from_millis(20)))?;
    loop {
        let mut chunk = [0; 65536];
        match (&*stream).read(&mut chunk) {
            Ok(0) => return Ok(()),
            Ok(n) => buffer.extend_from_slice(&chunk[..n]),
            Err(e) if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {}
            Err(e) => return Err(e),
        }
        if s.refuses_connections.load(Ordering::SeqCst) {
            return stream.shutdown(std::net::Shutdown::Both);
        }
        while let Ok(Some((len, parts))) = fernslip_front::resp::parts(&buffer) {
            let texts: Vec<String> = parts.iter().map(|p| String::from_utf8_lossy(p).into_owned()).collect();
            buffer.drain(..len);
            let [command, id, fields, _] = &texts[..] else { continue };
            if command != "ASK" {
                continue;
            }
            let fields = fields.split(',').filter_map(|f| f.split_once('='));
            let fields = fields.map(|(k, v)| (k.to_string(), v.to_string())).collect();
            s.requests.lock().expect("sound").push(ReceivedRequest { at: Instant::now(), fields });
            let in_flight = s.in_flight.fetch_add(1, Ordering::SeqCst) + 1;
            s.max_in_flight.fetch_max(in_flight, Ordering::SeqCst);
            let delay = s.delay_ms.load(Ordering::SeqCst);
            let (id, out, s) = (id.clone(), out.clone(), s.clone());
            let answer = move || {
                s.in_flight.fetch_sub(1, Ordering::SeqCst);
                let outcome: &[u8] =
                    if s.answers_with_error.load(Ordering::SeqCst) { b"crashed" } else { b"served" };
                let bytes = fernslip_front::resp::array(&[id.as_bytes(), outcome, b"tell=fill", b"body"]);
                let mut out = out.lock().expect("sound");
                if s.answers_bytewise.load(Ordering::SeqCst) {
                    for b in bytes {
                        let _ = out.write_all(&[b]);
                        std::thread::sleep(Duration::from_millis(1));
                    }
                } else {
                    let _ = out.write_all(&bytes);
                }
            };
            match delay {
                0 => answer(),
                ms => drop(std::thread::spawn(move || {
                    std::thread::sleep(Duration::from_millis(ms));
                    answer();
                })),
            }
        }
    }
}

/// The program with a site document.
pub struct Front {
    pub child: Child,
    pub addr: String,
    pub file: PathBuf,
    lines: Receiver<String>,
    /// Log lines that were read so far.
    pub log_lines: Vec<String>,
}

impl Front {
    /// Starts it and waits until it listens.
    pub fn start(name: &str, site: &str, args: &[&str]) -> Front {
        Front::start_with_env(name, site, args, &[])
    }

    /// Starts it with more in its environment, and waits until it listens.
    pub fn start_with_env(name: &str, site: &str, args: &[&str], env: &[(&str, &str)]) -> Front {
        Front::start_prepared(name, site, args, env, |_| {})
    }

    /// Starts it with more in its environment and its command prepared further, and waits until it listens.
    pub fn start_prepared(
        name: &str,
        site: &str,
        args: &[&str],
        env: &[(&str, &str)],
        prepare: impl FnOnce(&mut Command),
    ) -> Front {
        let file = std::env::temp_dir().join(format!("fernslip-{}-{name}.kdl", std::process::id()));
        std::fs::write(&file, site).expect("a temporary file");
        let mut command = Command::new(env!("CARGO_BIN_EXE_fernslip"));
        command
            .args(["run", "--site"])
            .arg(&file)
            .args(args)
            .env_remove("RELAY_CONFIG")
            .env_remove("RELAY_OPS")
            .env_remove("RELAY_PASSED_SOCKET")
            .envs(env.iter().copied())
            .stderr(Stdio::piped());
        prepare(&mut command);
        let mut child = command.spawn().expect("the program");
        let (to, lines) = channel();
        let err = BufReader::new(child.stderr.take().expect("piped"));
        std::thread::spawn(move || err.lines().map_while(Result::ok).try_for_each(|l| to.send(l)));
        let mut front = Front { child, addr: String::new(), file, lines, log_lines: Vec::new() };
        let line = front.wait_for_log("listens on ");
        let at = line.find("listens on ").expect("there") + "listens on ".len();
        front.addr = line[at..].split([' ', '"']).next().expect("an address").to_string();
        front
    }

    /// Waits for a log line with that text.
    pub fn wait_for_log(&mut self, text: &str) -> String {
        let deadline = Instant::now() + STEP_TIMEOUT;
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            let line = self
                .lines
                .recv_timeout(remaining)
                .unwrap_or_else(|e| panic!("no line {text:?}: {e}; {:?}", self.reloads()));
            self.log_lines.push(line.clone());
            if line.contains(text) {
                return line;
            }
        }
    }

    /// Lines on reloads that were passed over, for a test that answers_with_error.
    fn reloads(&self) -> Vec<&String> {
        self.log_lines.iter().filter(|l| l.contains("reload")).collect()
    }

    /// Writes another document and sends SIGHUP; when that was.
    pub fn reload(&self, site: &str) -> Instant {
        std::fs::write(&self.file, site).expect("a temporary file");
        self.signal("HUP")
    }

    pub fn signal(&self, name: &str) -> Instant {
        let at = Instant::now();
        let kill = format!("kill -{name} {}", self.child.id());
        assert!(Command::new("sh").args(["-c", &kill]).status().expect("a shell").success());
        at
    }

    pub fn client(&self) -> Client {
        let stream = TcpStream::connect(&self.addr).expect("the front listens");
        stream.set_read_timeout(Some(STEP_TIMEOUT)).expect("a socket option");
        stream.set_nodelay(true).expect("a socket option");
        Client { stream, next: 0 }
    }
}

impl Drop for Front {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.file);
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// How a call connections_ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    Served,
    /// An error: its code and its fields.
    Error(String, Vec<(String, String)>),
}

/// A client's connection.
pub struct Client {
    stream: TcpStream,
    next: u32,
}

static TRACES: AtomicU64 = AtomicU64::new(1);

impl Client {
    /// Sends a call; its number.
    pub fn send(&mut self, class: &str, object: u64) -> u32 {
        self.try_send(class, object).expect("the front reads")
    }

    /// Sends a call; its number, or `None` where the connection has connections_ended.
    pub fn try_send(&mut self, class: &str, object: u64) -> Option<u32> {
        let (number, bytes) = self.encode(class, object);
        self.stream.write_all(&bytes).ok()?;
        Some(number)
    }

    /// A call's number and bytes.
    fn encode(&mut self, class: &str, object: u64) -> (u32, Vec<u8>) {
        self.next += 1;
        let trace = format!("{:016x}", TRACES.fetch_add(1, Ordering::SeqCst));
        let object = format!("{object:016x}");
        let fields = [
            ("trace", trace.as_str()),
            ("patience", "4000"),
            ("entity", &object),
            ("slice", "0"),
            ("set", "1"),
            ("size", "4"),
        ];
        let fields = Value::Map(fields.iter().map(|(k, v)| ((*k).into(), (*v).into())).collect());
        let params = Value::Array(vec![fields, Value::Binary(Vec::new())]);
        let call = Value::Array(vec![0.into(), self.next.into(), class.into(), params]);
        let mut bytes = Vec::new();
        rmpv::encode::write_value(&mut bytes, &call).expect("memory");
        (self.next, bytes)
    }

    /// The next answer, of whichever call.
    pub fn next_answer(&mut self) -> (u32, Answer) {
        self.try_next_answer().expect("an answer")
    }

    /// The next answer; `None` where the connection connections_ended first.
    pub fn try_next_answer(&mut self) -> Option<(u32, Answer)> {
        let v = rmpv::decode::read_value(&mut self.stream).ok()?;
        let number = v[1].as_u64().expect("a number") as u32;
        let text = |v: &Value| v.as_str().unwrap_or("?").to_string();
        let answer = match &v[2] {
            Value::Nil => Answer::Served,
            e => {
                let fields = e[1].as_map().map(|m| m.iter().map(|(k, v)| (text(k), text(v))).collect());
                Answer::Error(text(&e[0]), fields.unwrap_or_default())
            }
        };
        Some((number, answer))
    }

    /// Sends a call a byte at a time, with a pause after each; its number.
    pub fn send_in_pieces(&mut self, class: &str, object: u64, pause: Duration) -> u32 {
        let (number, bytes) = self.encode(class, object);
        for b in bytes {
            self.stream.write_all(&[b]).expect("the front reads");
            std::thread::sleep(pause);
        }
        number
    }

    pub fn call(&mut self, class: &str, object: u64) -> Answer {
        self.send(class, object);
        self.next_answer().1
    }
}

/// Sends a line to an admin interface; its answer.
pub fn send_admin_command(addr: &str, line: &str) -> String {
    let mut caller = TcpStream::connect(addr).expect("the admin interface listens");
    caller.set_read_timeout(Some(STEP_TIMEOUT)).expect("a socket option");
    caller.write_all(line.as_bytes()).expect("the admin interface reads");
    let mut answer = String::new();
    let _ = caller.read_to_string(&mut answer);
    answer
}

/// Waits until a condition holds.
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + STEP_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "never: {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// A site document's members: cache nodes by id, and an origin `o`.
pub fn members(nodes: &[(&str, &Node)], origin: &Node) -> String {
    let mut text: String =
        nodes.iter().map(|(id, n)| format!("member \"{id}\" address=\"{}\"\n", n.addr)).collect();
    text += &format!("member \"o\" address=\"{}\" kind=\"origin\"\n", origin.addr);
    text
}
