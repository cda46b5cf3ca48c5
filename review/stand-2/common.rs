//! Stand-ins that the cases of this review share: cache nodes, the event bus, clients, operators and the platform.
//! Standard library only. Every socket is on 127.0.0.1, every port is free.
#![allow(dead_code)]

use std::collections::{BTreeMap, HashMap, HashSet};
use std::fmt::Write as _;
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn dup2(from: i32, to: i32) -> i32;
    fn fcntl(fd: i32, command: i32, argument: i32) -> i32;
    fn prctl(option: i32, argument: u64) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

pub const SIGTERM: i32 = 15;
pub const SIGKILL: i32 = 9;
pub const SIGHUP: i32 = 1;
pub const SIGSTOP: i32 = 19;
pub const SIGCONT: i32 = 18;

pub fn unix_ms() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_secs_f64() * 1000.0
}

pub fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// Whether the case runs with its disruption.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |v| v != "0")
}

/// `record.txt` of the case: what was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<File>)>);

impl Record {
    pub fn create() -> Record {
        let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".into());
        let file = File::create(&path).unwrap_or_else(|e| stop(2, &format!("{path}: {e}")));
        Record(Arc::new((Instant::now(), Mutex::new(file))))
    }
    pub fn line(&self, text: &str) {
        let at = self.0 .0.elapsed().as_secs_f64() * 1000.0;
        let _ = writeln!(self.0 .1.lock().unwrap(), "{at:9.1} {text}");
    }
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
    pub fn ms(&self) -> f64 {
        self.0 .0.elapsed().as_secs_f64() * 1000.0
    }
}

static STARTED: Mutex<Vec<i32>> = Mutex::new(Vec::new());

/// Ends every process that the case started, and then the case, with this exit code.
pub fn stop(code: i32, why: &str) -> ! {
    for pid in STARTED.lock().unwrap().drain(..) {
        unsafe { kill(pid, SIGKILL) };
    }
    println!("exit {code}: {why}");
    std::process::exit(code)
}

/// Ends the case with code 2 after this time, whatever hangs, and when a thread of it panics.
pub fn limit_time(seconds: u64) {
    std::panic::set_hook(Box::new(|why| stop(2, &format!("the case itself failed: {why}"))));
    std::thread::spawn(move || {
        std::thread::sleep(Duration::from_secs(seconds));
        stop(2, "the case took too long");
    });
}

// ---------------------------------------------------------------- cache nodes

#[derive(Clone, Debug)]
pub struct Ask {
    pub at_ms: f64,
    pub node: String,
    pub id: String,
    pub fields: BTreeMap<String, String>,
    pub body_len: usize,
}

impl Ask {
    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", |v| v)
    }
}

/// What a node does with a request.
#[derive(Clone, Debug)]
pub enum Deed {
    /// Answers after so many milliseconds.
    Served { after_ms: u64, body: usize, tell: &'static str },
    /// Answers with this word after so many milliseconds.
    Word { after_ms: u64, word: &'static str },
    /// Says nothing.
    Silent,
}

pub type Behaviour = Arc<dyn Fn(&Ask) -> Deed + Send + Sync>;

#[derive(Clone)]
pub struct Nodes {
    pub record: Record,
    pub asks: Arc<Mutex<Vec<Ask>>>,
    pub quits: Arc<Mutex<Vec<(f64, String, String)>>>,
    pub behaviour: Arc<Mutex<Behaviour>>,
    pub quiet: Arc<AtomicBool>,
}

impl Nodes {
    pub fn new(record: &Record, behaviour: Behaviour) -> Nodes {
        Nodes {
            record: record.clone(),
            asks: Arc::default(),
            quits: Arc::default(),
            behaviour: Arc::new(Mutex::new(behaviour)),
            quiet: Arc::default(),
        }
    }

    /// Starts a node with this name; returns its address.
    pub fn start(&self, name: &str) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let (nodes, name) = (self.clone(), name.to_string());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (nodes, name) = (nodes.clone(), name.clone());
                std::thread::spawn(move || nodes.serve(&name, stream));
            }
        });
        addr
    }

    fn serve(&self, name: &str, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let writer = Arc::new(Mutex::new(stream.try_clone().unwrap()));
        let given_up: Arc<Mutex<HashSet<String>>> = Arc::default();
        let mut reader = BufReader::new(stream);
        while let Some(parts) = read_array(&mut reader) {
            let text = |i: usize| String::from_utf8_lossy(&parts[i]).into_owned();
            if parts.len() == 2 && parts[0] == b"QUIT" {
                given_up.lock().unwrap().insert(text(1));
                self.record.line(&format!("node {name} got QUIT {}", text(1)));
                self.quits.lock().unwrap().push((self.record.ms(), name.into(), text(1)));
                continue;
            }
            if parts.len() != 4 || parts[0] != b"ASK" {
                continue;
            }
            let fields = text(2)
                .split(',')
                .filter_map(|f| f.split_once('='))
                .map(|(k, v)| (k.into(), v.into()))
                .collect();
            let ask = Ask {
                at_ms: self.record.ms(),
                node: name.into(),
                id: text(1),
                fields,
                body_len: parts[3].len(),
            };
            if !self.quiet.load(Ordering::Relaxed) {
                self.record.line(&format!("node {name} got ASK {} {}", ask.id, text(2)));
            }
            self.asks.lock().unwrap().push(ask.clone());
            let behaviour = self.behaviour.lock().unwrap().clone();
            let deed = behaviour(&ask);
            let (writer, given_up) = (writer.clone(), given_up.clone());
            let (after_ms, bytes) = match deed {
                Deed::Silent => continue,
                Deed::Word { after_ms, word } => (after_ms, encode_answer(&ask.id, word, "-", &[])),
                Deed::Served { after_ms, body, tell } => {
                    let fields = format!(
                        "tag={},minted={},tell={tell},meter=inflight:1;x0:0.7",
                        ask.field("item"),
                        unix_ms() as u64
                    );
                    (
                        after_ms,
                        encode_answer(&ask.id, "served", &fields, &object_bytes(ask.field("item"), body)),
                    )
                }
            };
            let id = ask.id.clone();
            let answer = move || {
                if !given_up.lock().unwrap().contains(&id) {
                    let _ = writer.lock().unwrap().write_all(&bytes);
                }
            };
            if after_ms == 0 {
                answer();
            } else {
                std::thread::spawn(move || {
                    sleep_ms(after_ms);
                    answer();
                });
            }
        }
    }
}

/// The bytes of an object: its id, repeated.
pub fn object_bytes(item: &str, len: usize) -> Vec<u8> {
    item.bytes().cycle().take(len).collect()
}

fn read_line(reader: &mut impl BufRead) -> Option<String> {
    let mut line = String::new();
    match reader.read_line(&mut line) {
        Ok(n) if n > 0 && line.ends_with('\n') => Some(line.trim_end().to_string()),
        _ => None,
    }
}

pub fn read_array(reader: &mut impl BufRead) -> Option<Vec<Vec<u8>>> {
    let count: usize = read_line(reader)?.strip_prefix('*')?.parse().ok()?;
    let mut parts = Vec::new();
    for _ in 0..count {
        let len: usize = read_line(reader)?.strip_prefix('$')?.parse().ok()?;
        let mut part = vec![0; len + 2];
        reader.read_exact(&mut part).ok()?;
        part.truncate(len);
        parts.push(part);
    }
    Some(parts)
}

pub fn encode_answer(id: &str, word: &str, fields: &str, body: &[u8]) -> Vec<u8> {
    let mut out = Vec::new();
    out.extend_from_slice(b"*4\r\n");
    for part in [id.as_bytes(), word.as_bytes(), fields.as_bytes(), body] {
        out.extend_from_slice(format!("${}\r\n", part.len()).as_bytes());
        out.extend_from_slice(part);
        out.extend_from_slice(b"\r\n");
    }
    out
}

// ---------------------------------------------------------------- event bus

/// The event bus: numbered events, and a line with the last number each second. While it is down it refuses
/// connections, and those that were open are closed.
#[derive(Clone)]
pub struct Bus {
    pub addr: SocketAddr,
    events: Arc<Mutex<Vec<String>>>,
    down: Arc<AtomicBool>,
    record: Record,
}

impl Bus {
    /// Starts a bus whose events up to `known` the configuration holds.
    pub fn start(record: &Record, known: u64) -> Bus {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let bus = Bus { addr, events: Arc::default(), down: Arc::default(), record: record.clone() };
        let b = bus.clone();
        std::thread::spawn(move || {
            let mut open = Some(listener);
            loop {
                if b.down.load(Ordering::Relaxed) {
                    open = None;
                } else if open.is_none() {
                    open = TcpListener::bind(addr).ok();
                }
                if let Some(listener) = &open {
                    let _ = listener.set_nonblocking(true);
                    while let Ok((stream, _)) = listener.accept() {
                        let _ = stream.set_nonblocking(false);
                        let b = b.clone();
                        std::thread::spawn(move || b.serve(stream, known));
                    }
                }
                sleep_ms(3);
            }
        });
        bus
    }

    /// Takes the bus down, or up again.
    pub fn set_down(&self, down: bool) {
        self.record.line(if down { "the event bus is down" } else { "the event bus is up again" });
        self.down.store(down, Ordering::Relaxed);
    }

    /// Puts an event into the bus: the text after its offset, such as `"ban":{...}`.
    pub fn push(&self, known: u64, event: &str) {
        let mut events = self.events.lock().unwrap();
        let offset = known + events.len() as u64 + 1;
        let line = format!("{{\"offset\":{offset},{event}}}\n");
        self.record.line(&format!("bus holds {}", line.trim_end()));
        events.push(line);
    }

    fn serve(&self, stream: TcpStream, known: u64) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let Some(first) = read_line(&mut reader) else { return };
        let Some(from) = first.strip_prefix("from ").and_then(|n| n.parse::<u64>().ok()) else { return };
        self.record.line(&format!("bus was asked from {from}"));
        let mut next = from.saturating_sub(known) as usize;
        let (mut writer, mut ticked) = (stream, Instant::now() - Duration::from_secs(2));
        while !self.down.load(Ordering::Relaxed) {
            let lines: Vec<String> = self.events.lock().unwrap().iter().skip(next).cloned().collect();
            next += lines.len();
            for line in lines {
                if writer.write_all(line.as_bytes()).is_err() {
                    return;
                }
            }
            if ticked.elapsed() >= Duration::from_secs(1) {
                ticked = Instant::now();
                if writer.write_all(format!("{}\n", known + next as u64).as_bytes()).is_err() {
                    return;
                }
            }
            sleep_ms(5);
        }
    }
}

// ---------------------------------------------------------------- MessagePack-RPC clients

#[derive(Clone, Debug)]
pub enum Val {
    Nil,
    Bool(bool),
    Int(i64),
    Str(String),
    Bin(Vec<u8>),
    Arr(Vec<Val>),
    Map(Vec<(Val, Val)>),
}

/// Decodes the first value; `None` while it is incomplete.
pub fn decode(data: &[u8], at: &mut usize) -> Option<Val> {
    let byte = *data.get(*at)?;
    *at += 1;
    let mut number = |n: usize| -> Option<u64> {
        let bytes = data.get(*at..*at + n)?;
        *at += n;
        Some(bytes.iter().fold(0, |v, b| v << 8 | u64::from(*b)))
    };
    let (kind, len) = match byte {
        0x00..=0x7f => return Some(Val::Int(byte.into())),
        0xe0..=0xff => return Some(Val::Int(i64::from(byte as i8))),
        0xc0 => return Some(Val::Nil),
        0xc2 | 0xc3 => return Some(Val::Bool(byte == 0xc3)),
        0xcc..=0xcf => return Some(Val::Int(number(1 << (byte - 0xcc))? as i64)),
        0xa0..=0xbf => ('s', u64::from(byte & 0x1f)),
        0xd9..=0xdb => ('s', number(1 << (byte - 0xd9))?),
        0xc4..=0xc6 => ('b', number(1 << (byte - 0xc4))?),
        0x90..=0x9f => ('a', u64::from(byte & 0xf)),
        0xdc | 0xdd => ('a', number(2 << (byte - 0xdc))?),
        0x80..=0x8f => ('m', u64::from(byte & 0xf)),
        0xde | 0xdf => ('m', number(2 << (byte - 0xde))?),
        _ => return Some(Val::Nil),
    };
    match kind {
        's' | 'b' => {
            let bytes = data.get(*at..*at + len as usize)?.to_vec();
            *at += len as usize;
            Some(if kind == 's' {
                Val::Str(String::from_utf8_lossy(&bytes).into_owned())
            } else {
                Val::Bin(bytes)
            })
        }
        'a' => (0..len).map(|_| decode(data, at)).collect::<Option<Vec<_>>>().map(Val::Arr),
        _ => (0..len)
            .map(|_| Some((decode(data, at)?, decode(data, at)?)))
            .collect::<Option<Vec<_>>>()
            .map(Val::Map),
    }
}

fn put_str(out: &mut Vec<u8>, text: &str) {
    out.push(0xd9);
    out.push(text.len() as u8);
    out.extend_from_slice(text.as_bytes());
}

#[derive(Clone, Debug)]
pub struct Call {
    pub number: u32,
    pub class: String,
    pub trace: String,
    pub entity: String,
    pub patience: u64,
    pub size: String,
    pub set: u8,
    pub body: usize,
}

impl Call {
    pub fn new(number: u32, class: &str, trace: String, entity: String, patience: u64) -> Call {
        Call { number, class: class.into(), trace, entity, patience, size: "300".into(), set: 1, body: 0 }
    }

    pub fn encode(&self) -> Vec<u8> {
        let mut out = vec![0x94, 0x00, 0xce];
        out.extend_from_slice(&self.number.to_be_bytes());
        put_str(&mut out, &self.class);
        out.push(0x92);
        let patience = self.patience.to_string();
        let set = self.set.to_string();
        let fields = [
            ("trace", &self.trace),
            ("patience", &patience),
            ("entity", &self.entity),
            ("slice", &"0".to_string()),
            ("set", &set),
            ("size", &self.size),
        ]
        .map(|(k, v)| (k.to_string(), v.clone()));
        out.push(0x80 | fields.len() as u8);
        for (name, value) in &fields {
            put_str(&mut out, name);
            put_str(&mut out, value);
        }
        out.push(0xc5);
        out.extend_from_slice(&(self.body as u16).to_be_bytes());
        out.extend(std::iter::repeat(b'w').take(self.body));
        out
    }
}

/// The notice `forget` of the call with this number.
pub fn forget(number: u32) -> Vec<u8> {
    let mut out = vec![0x93, 0x02];
    put_str(&mut out, "forget");
    out.extend_from_slice(&[0x91, 0xce]);
    out.extend_from_slice(&number.to_be_bytes());
    out
}

#[derive(Clone, Debug)]
pub struct Reply {
    pub number: u32,
    /// `served`, `Shed`, `Fault` or another error.
    pub word: String,
    pub body: Vec<u8>,
}

pub fn as_reply(value: &Val) -> Option<Reply> {
    let Val::Arr(parts) = value else { return None };
    let [Val::Int(1), Val::Int(number), error, result] = &parts[..] else { return None };
    let number = *number as u32;
    match (error, result) {
        (Val::Nil, Val::Arr(r)) => {
            let body = match r.first() {
                Some(Val::Bin(b)) => b.clone(),
                Some(Val::Bool(true)) => b"yes".to_vec(),
                _ => Vec::new(),
            };
            Some(Reply { number, word: "served".into(), body })
        }
        (Val::Arr(e), _) => match e.first() {
            Some(Val::Str(word)) => Some(Reply { number, word: word.clone(), body: Vec::new() }),
            _ => None,
        },
        _ => None,
    }
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// A new id of 16 hex digits.
pub fn new_id() -> String {
    let n = NEXT_ID.fetch_add(1, Ordering::Relaxed);
    let mixed = (n ^ (unix_ms() as u64) << 20).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    format!("{:016x}", (mixed ^ mixed >> 29).wrapping_mul(0xbf58_476d_1ce4_e5b9) | 1 << 63)
}

/// A client's connection.
pub struct Client {
    pub stream: TcpStream,
    data: Vec<u8>,
    /// How the connection ended, if it did.
    pub ended: Option<String>,
}

impl Client {
    pub fn connect(addr: SocketAddr) -> std::io::Result<Client> {
        let stream = TcpStream::connect_timeout(&addr, Duration::from_secs(2))?;
        stream.set_nodelay(true)?;
        Ok(Client { stream, data: Vec::new(), ended: None })
    }

    pub fn send(&mut self, bytes: &[u8]) {
        if let Err(e) = self.stream.write_all(bytes) {
            self.ended = Some(e.to_string());
        }
    }

    /// The next answer that is already here or comes until `until`.
    pub fn next(&mut self, until: Instant) -> Option<Reply> {
        let mut chunk = vec![0; 64 * 1024];
        loop {
            let mut at = 0;
            if let Some(value) = decode(&self.data, &mut at) {
                self.data.drain(..at);
                if let Some(reply) = as_reply(&value) {
                    return Some(reply);
                }
                continue;
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() || self.ended.is_some() {
                return None;
            }
            let _ = self.stream.set_read_timeout(Some(left.max(Duration::from_millis(1))));
            match self.stream.read(&mut chunk) {
                Ok(0) => self.ended = Some("closed".into()),
                Ok(n) => self.data.extend_from_slice(&chunk[..n]),
                Err(e)
                    if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {}
                Err(e) => self.ended = Some(e.to_string()),
            }
        }
    }
}

/// Sets the receive buffer of a socket.
pub fn set_receive_buffer(stream: &TcpStream, bytes: i32) {
    unsafe { setsockopt(stream.as_raw_fd(), 1, 8, &bytes, 4) };
}

// ---------------------------------------------------------------- front, platform, operators

pub struct Member<'a> {
    pub id: &'a str,
    pub addr: SocketAddr,
    pub zone: &'a str,
    pub kind: &'a str,
}

pub fn member_json(m: &Member, state: &str) -> String {
    format!(
        "{{\"id\":\"{}\",\"addr\":\"{}\",\"zone\":\"{}\",\"kind\":\"{}\",\"cell\":0,\"state\":\"{state}\",\"weight\":1,\"started_ms\":0}}",
        m.id, m.addr, m.zone, m.kind
    )
}

/// A free port of 127.0.0.1.
pub fn free_port() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

pub fn free_udp_port() -> SocketAddr {
    std::net::UdpSocket::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

pub struct Settings {
    pub memory_mb: u32,
    pub sockets: u32,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings { memory_mb: 192, sockets: 1024 }
    }
}

/// A temporary folder of the case.
pub fn temp_folder() -> PathBuf {
    let folder = std::env::temp_dir().join(format!("fernslip-review-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

/// Writes the configuration of a front that is alone in its branch `edge-1`.
pub fn write_config(
    path: &PathBuf,
    listen: SocketAddr,
    bus: SocketAddr,
    members: &[Member],
    limits: &Settings,
) {
    let servers: Vec<String> = members.iter().map(|m| member_json(m, "Ready")).collect();
    let (peer, all) = (free_udp_port(), free_udp_port());
    let mut text = String::new();
    let _ = write!(
        text,
        r#"{{"name":"n0","listen":"{listen}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},
"peer_listen":"{peer}","peers":["{peer}"],"peers_all":"{all}","bus":"{bus}",
"flow_bytes_per_s":310000,"link_bytes_per_s":1240000,
"known":{{"offset":1,"batch":[{{"offset":1,"topology":{{"version":1,"full":true,"servers":[{}]}}}}]}},
"settings":{{"areas":["north","edge-1"],"zone":"edge-1","kinds":["standard","parent","origin"],"slot_no":0,"group_size":1,
"discovery":"pushed","tick_ms":2.0,
"classes":[
{{"name":"statement-docs","objective_ms":600.0,"aim_stretch":2.0,"deadline_ms":5000.0,"importance":2.0,"late_worth":0.15,"semantics":"idempotent","dedup_scope":"all","repeat_window_ms":5000.0,"stream":false}},
{{"name":"account-pages","objective_ms":400.0,"aim_stretch":2.0,"deadline_ms":3000.0,"importance":1.0,"late_worth":0.2,"semantics":"idempotent","dedup_scope":"all","repeat_window_ms":5000.0,"stream":false}},
{{"name":"contribution-change","objective_ms":600.0,"deadline_ms":3000.0,"importance":3.0,"late_worth":0.0,"semantics":"at_most_once","dedup_scope":"all","repeat_window_ms":5000.0,"stream":false}}],
"family":"edge","family_info":{{"mid_kind":1,"origin_kind":2,"zone_balancers":[0,1],"zone_hub":[0,0],"link_in_kb_per_s":[0.0,45497.0],"stream_kb_per_s":3400.0,
"collapses":true,"neighbours":"location","note_level":"hit","straight":false,"class_parts":[false,false,false],"class_write":[false,false,true],
"good_for_ms":[0.0,8000.0,0.0],"grace_for_ms":[0.0,20000.0,0.0],"old_copy_worth":[0.7,0.5,0.7],"parent_starts_at":0.065,"upper_cold_ms":21000.0,"parent_breaks_at":2.0,
"purge_slack_ms":1000.0,"purge_done_ms":6000.0}},
"report":{{"fields":["inflight","x0"],"via":"answers"}},
"permissions":{{"max_attempts":6,"max_open":20000,"parallel_tries":false,"cancelling":true,"peers":true,"probes":false,"retry_after":false,"max_retry_after_ms":500.0,
"streams_per_conn":32,"connect_timeout_ms":400.0,"conn_idle_ms":15000.0,"cpu_us_per_request":0.0,"cpu_us_per_s":400000}},
"rules":{{"answer_slack_ms":8.0,"ask_within_ms":10000.0,"drain_grace_ms":500.0,"start_capacity":0.23,"warm_up_ms":16000.0,"tip_multiple":2.0,"overload_for_ms":1500.0}},
"tenants":[],"clients":{{"marks_retry":false}},"weight_kind":"none"}}}}
"#,
        limits.memory_mb,
        limits.sockets,
        servers.join(",")
    );
    std::fs::write(path, text).unwrap();
}

/// The line `run` of the deploy file.
pub fn run_line() -> String {
    let text = std::fs::read_to_string("deploy/balancer.toml")
        .unwrap_or_else(|e| stop(2, &format!("deploy file: {e}")));
    let line =
        text.lines().find_map(|l| l.strip_prefix("run = \"")).unwrap_or_else(|| stop(2, "no line `run`"));
    line.trim_end().trim_end_matches('"').to_string()
}

pub struct Front {
    pub child: Child,
    pub pid: i32,
    pub ops: SocketAddr,
    pub log: PathBuf,
}

impl Front {
    /// Starts the program as the deploy file says. `socket` is passed as descriptor 3.
    pub fn start(name: &str, config: &PathBuf, tmp: &PathBuf, socket: Option<&TcpListener>) -> Front {
        let ops = free_port();
        let log = tmp.join(format!("{name}.log"));
        let own_tmp = tmp.join("private");
        std::fs::create_dir_all(&own_tmp).unwrap();
        let mut command = Command::new("/bin/sh");
        command
            .arg("-c")
            .arg(run_line())
            .env("RELAY_CONFIG", config)
            .env("RELAY_NAME", "n0")
            .env("RELAY_OPS", ops.to_string());
        command
            .env("TMPDIR", &own_tmp)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(File::create(&log).unwrap());
        let fd = socket.map(|s| s.as_raw_fd());
        if fd.is_some() {
            command.env("RELAY_PASSED_SOCKET", "3");
        }
        unsafe {
            command.pre_exec(move || {
                // The front ends with the case, however that ends.
                prctl(1, SIGKILL as u64);
                match fd {
                    Some(3) => drop(fcntl(3, 2, 0)),
                    Some(fd) => drop(dup2(fd, 3)),
                    None => {}
                }
                Ok(())
            });
        }
        let child = command.spawn().unwrap_or_else(|e| stop(2, &format!("the front does not start: {e}")));
        let pid = child.id() as i32;
        STARTED.lock().unwrap().push(pid);
        Front { child, pid, ops, log }
    }

    pub fn signal(&self, signal: i32) {
        unsafe { kill(self.pid, signal) };
    }

    /// Waits until the front is ready.
    pub fn await_ready(&self) {
        let until = Instant::now() + Duration::from_secs(10);
        while Instant::now() < until {
            if operator_call(self.ops, "readyz").is_some_and(|a| a.starts_with("200")) {
                return;
            }
            sleep_ms(20);
        }
        stop(2, "the front does not become ready");
    }

    pub fn log_text(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

/// Calls the operators' door; returns the first line of the answer.
pub fn operator_call(at: SocketAddr, line: &str) -> Option<String> {
    let mut stream = TcpStream::connect_timeout(&at, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
    stream.write_all(format!("{line}\n").as_bytes()).ok()?;
    read_line(&mut BufReader::new(stream))
}

/// Counts by word.
pub fn tally<'a>(words: impl Iterator<Item = &'a str>) -> HashMap<String, usize> {
    let mut counts = HashMap::new();
    for word in words {
        *counts.entry(word.to_string()).or_default() += 1;
    }
    counts
}
