//! Helpers for tests of a front with a site document: simulated cache nodes, a client, and the program as a
//! child process.
#![allow(dead_code, reason = "each test file uses only some of the helpers")]

pub mod event_bus;
pub mod replaceable;
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

/// The longest wait of any step, far longer than a step takes on a busy machine.
pub const STEP_TIMEOUT: Duration = Duration::from_secs(30);

/// A request that a simulated cache node received.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    pub at: Instant,
    pub fields: HashMap<String, String>,
}

/// The settings of a simulated cache node, which tests change while it runs, and what it has received.
#[derive(Default)]
pub struct NodeState {
    pub requests: Mutex<Vec<ReceivedRequest>>,
    pub connections: AtomicUsize,
    pub connections_ended: AtomicUsize,
    pub in_flight: AtomicUsize,
    pub max_in_flight: AtomicUsize,
    /// The time from a request to its answer, in milliseconds.
    pub delay_ms: AtomicU64,
    /// Length of the body of an answer, in bytes; 0 stands for the text `body`.
    pub body_bytes: AtomicUsize,
    /// If set, the node closes open connections and drops new ones, like a host whose process has crashed.
    pub refuses_connections: AtomicBool,
    /// If set, the node answers with an error.
    pub answers_with_error: AtomicBool,
    /// If set, the node writes its answers one byte at a time, with a pause after each byte.
    pub answers_bytewise: AtomicBool,
}

/// A simulated cache node that answers each request as filled from its source.
pub struct Node {
    pub addr: SocketAddr,
    pub state: Arc<NodeState>,
}

impl Node {
    pub fn start() -> Node {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port can be bound");
        let addr = listener.local_addr().expect("the socket is bound");
        let state = Arc::new(NodeState::default());
        let node_state = state.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let node_state = node_state.clone();
                if node_state.refuses_connections.load(Ordering::SeqCst) {
                    continue; // dropping the stream closes the front's connection
                }
                node_state.connections.fetch_add(1, Ordering::SeqCst);
                std::thread::spawn(move || {
                    let _ = serve_requests(&stream, &node_state);
                    node_state.connections_ended.fetch_add(1, Ordering::SeqCst);
                });
            }
        });
        Node { addr, state }
    }

    pub fn request_count(&self) -> usize {
        self.state.requests.lock().expect("the mutex is not poisoned").len()
    }

    /// The requests that the node received after `at`.
    pub fn requests_after(&self, at: Instant) -> Vec<ReceivedRequest> {
        self.state
            .requests
            .lock()
            .expect("the mutex is not poisoned")
            .iter()
            .filter(|a| a.at > at)
            .cloned()
            .collect()
    }
}

fn serve_requests(stream: &TcpStream, state: &Arc<NodeState>) -> std::io::Result<()> {
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
        if state.refuses_connections.load(Ordering::SeqCst) {
            return stream.shutdown(std::net::Shutdown::Both);
        }
        while let Ok(Some((len, parts))) = fernslip_front::resp::parse_array(&buffer) {
            let texts: Vec<String> = parts.iter().map(|p| String::from_utf8_lossy(p).into_owned()).collect();
            buffer.drain(..len);
            let [command, id, fields, _] = &texts[..] else { continue };
            if command != "ASK" {
                continue;
            }
            let fields = fields.split(',').filter_map(|f| f.split_once('='));
            let fields = fields.map(|(k, v)| (k.to_string(), v.to_string())).collect();
            state
                .requests
                .lock()
                .expect("the mutex is not poisoned")
                .push(ReceivedRequest { at: Instant::now(), fields });
            let in_flight = state.in_flight.fetch_add(1, Ordering::SeqCst) + 1;
            state.max_in_flight.fetch_max(in_flight, Ordering::SeqCst);
            let delay = state.delay_ms.load(Ordering::SeqCst);
            let (id, out, state) = (id.clone(), out.clone(), state.clone());
            let answer = move || {
                state.in_flight.fetch_sub(1, Ordering::SeqCst);
                let outcome: &[u8] =
                    if state.answers_with_error.load(Ordering::SeqCst) { b"crashed" } else { b"served" };
                let body = match state.body_bytes.load(Ordering::SeqCst) {
                    0 => b"body".to_vec(),
                    length => vec![b'x'; length],
                };
                let bytes =
                    fernslip_front::resp::encode_array(&[id.as_bytes(), outcome, b"tell=fill", &body]);
                let mut out = out.lock().expect("the mutex is not poisoned");
                if state.answers_bytewise.load(Ordering::SeqCst) {
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

/// The program as a child process, started with a site document.
pub struct Front {
    pub child: Child,
    pub addr: String,
    pub file: PathBuf,
    lines: Receiver<String>,
    /// The log lines read so far.
    pub log_lines: Vec<String>,
}

impl Front {
    /// Starts the program and waits until it listens.
    pub fn start(name: &str, site: &str, args: &[&str]) -> Front {
        Front::start_with_env(name, site, args, &[])
    }

    /// Starts the program with additional environment variables, and waits until it listens.
    pub fn start_with_env(name: &str, site: &str, args: &[&str], env: &[(&str, &str)]) -> Front {
        Front::start_prepared(name, site, args, env, |_| {})
    }

    /// Starts the program with additional environment variables, after `prepare` has changed the command, and
    /// waits until it listens.
    pub fn start_prepared(
        name: &str,
        site: &str,
        args: &[&str],
        env: &[(&str, &str)],
        prepare: impl FnOnce(&mut Command),
    ) -> Front {
        let file = std::env::temp_dir().join(format!("fernslip-{}-{name}.kdl", std::process::id()));
        std::fs::write(&file, site).expect("the temporary file can be written");
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
        let mut child = command.spawn().expect("the program can be started");
        let (to, lines) = channel();
        let err = BufReader::new(child.stderr.take().expect("standard error is piped"));
        std::thread::spawn(move || err.lines().map_while(Result::ok).try_for_each(|l| to.send(l)));
        let mut front = Front { child, addr: String::new(), file, lines, log_lines: Vec::new() };
        let line = front.wait_for_log("listens on ");
        let at =
            line.find("listens on ").expect("the line contains the text waited for") + "listens on ".len();
        front.addr =
            line[at..].split([' ', '"']).next().expect("the log line ends with an address").to_string();
        front
    }

    /// Waits for a log line that contains `text`, and returns it.
    pub fn wait_for_log(&mut self, text: &str) -> String {
        let deadline = Instant::now() + STEP_TIMEOUT;
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            let line = self.lines.recv_timeout(remaining).unwrap_or_else(|e| {
                panic!("no log line contains {text:?}: {e}; lines on reloads: {:?}", self.reload_lines())
            });
            self.log_lines.push(line.clone());
            if line.contains(text) {
                return line;
            }
        }
    }

    /// The log lines on reloads read so far, to be shown when a test fails.
    fn reload_lines(&self) -> Vec<&String> {
        self.log_lines.iter().filter(|l| l.contains("reload")).collect()
    }

    /// Replaces the site document and sends SIGHUP; returns the time of the signal.
    pub fn reload(&self, site: &str) -> Instant {
        std::fs::write(&self.file, site).expect("the temporary file can be written");
        self.signal("HUP")
    }

    pub fn signal(&self, name: &str) -> Instant {
        let at = Instant::now();
        let kill = format!("kill -{name} {}", self.child.id());
        assert!(Command::new("sh").args(["-c", &kill]).status().expect("a shell can be started").success());
        at
    }

    pub fn client(&self) -> Client {
        let stream = TcpStream::connect(&self.addr).expect("the front accepts the connection");
        stream.set_read_timeout(Some(STEP_TIMEOUT)).expect("the socket option can be set");
        stream.set_nodelay(true).expect("the socket option can be set");
        Client { stream, last_number: 0 }
    }
}

impl Drop for Front {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.file);
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The result of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    Served,
    /// An error with its code and its fields.
    Error(String, Vec<(String, String)>),
}

/// A client of the front, with one connection.
pub struct Client {
    stream: TcpStream,
    /// The number of the last call.
    last_number: u32,
}

/// The trace id of the next call of any client, so that no two calls of a test share one.
static NEXT_TRACE: AtomicU64 = AtomicU64::new(1);

impl Client {
    /// Sends a call and returns its number.
    pub fn send(&mut self, class: &str, object: u64) -> u32 {
        self.try_send(class, object).expect("the front accepts the bytes")
    }

    /// Sends a call and returns its number, or `None` if the connection is closed.
    pub fn try_send(&mut self, class: &str, object: u64) -> Option<u32> {
        let (number, bytes) = self.encode_call(class, object);
        self.stream.write_all(&bytes).ok()?;
        Some(number)
    }

    /// Encodes a call; returns its number and its bytes.
    fn encode_call(&mut self, class: &str, object: u64) -> (u32, Vec<u8>) {
        self.last_number += 1;
        let trace = format!("{:016x}", NEXT_TRACE.fetch_add(1, Ordering::SeqCst));
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
        let call = Value::Array(vec![0.into(), self.last_number.into(), class.into(), params]);
        let mut bytes = Vec::new();
        rmpv::encode::write_value(&mut bytes, &call).expect("encoding to memory cannot fail");
        (self.last_number, bytes)
    }

    /// Waits for the next answer, to any call, and returns the call's number and the answer.
    pub fn next_answer(&mut self) -> (u32, Answer) {
        self.try_next_answer().expect("the front sends an answer")
    }

    /// Like [`Client::next_answer`], but returns `None` if the connection ends first.
    pub fn try_next_answer(&mut self) -> Option<(u32, Answer)> {
        let v = rmpv::decode::read_value(&mut self.stream).ok()?;
        let number = v[1].as_u64().expect("the answer has a call number") as u32;
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

    /// Sends a call one byte at a time, with a pause after each byte, and returns its number.
    pub fn send_bytewise(&mut self, class: &str, object: u64, pause: Duration) -> u32 {
        let (number, bytes) = self.encode_call(class, object);
        for b in bytes {
            self.stream.write_all(&[b]).expect("the front accepts the bytes");
            std::thread::sleep(pause);
        }
        number
    }

    pub fn call(&mut self, class: &str, object: u64) -> Answer {
        self.send(class, object);
        self.next_answer().1
    }
}

/// Sends one line to the admin interface at `addr` and returns the answer.
pub fn send_admin_command(addr: &str, line: &str) -> String {
    let mut caller = TcpStream::connect(addr).expect("the admin interface accepts the connection");
    caller.set_read_timeout(Some(STEP_TIMEOUT)).expect("the socket option can be set");
    caller.write_all(line.as_bytes()).expect("the admin interface accepts the bytes");
    let mut answer = String::new();
    let _ = caller.read_to_string(&mut answer);
    answer
}

/// Waits until `condition` holds, and fails after [`STEP_TIMEOUT`]; `what` describes the condition in the
/// failure's message.
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + STEP_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "timed out after {STEP_TIMEOUT:?} waiting until {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Formats the members of a site document: cache nodes by id, and an origin `o`.
pub fn members_kdl(nodes: &[(&str, &Node)], origin: &Node) -> String {
    let mut text: String =
        nodes.iter().map(|(id, n)| format!("member \"{id}\" address=\"{}\"\n", n.addr)).collect();
    text += &format!("member \"o\" address=\"{}\" kind=\"origin\"\n", origin.addr);
    text
}
