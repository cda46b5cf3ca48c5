//! Recorded exchanges, played against the program over sockets.
//!
//! A talk in `talks/` is a text file, a step a line:
//!
//! | step | meaning |
//! | --- | --- |
//! | `client> JSON` | one MessagePack message; a text `b:…` is bytes |
//! | `client> hex …` | bytes as they are |
//! | `client<` | the next message that the front sends |
//! | `client!` | closes; the next step connects anew |
//! | `NODE> ID WORD FIELDS BODY`, `NODE> raw …` | a RESP array of these words, or bytes as they are |
//! | `NODE<` | the next RESP array that the front sends |
//! | `NODE!` | closes all connections to it |
//! | `bus<`, `bus> LINE`, `bus!` | the same with lines |
//! | `peer<`, `peer> hex …` | the same with datagrams |
//! | `log TEXT` | waits for a line with that text |
//! | `reload BUS` | writes the configuration anew, with that bus (one that is none: no JSON), and sends SIGHUP |
//! | `term`, `exit` | sends SIGTERM; waits for the program's end |
//!
//! What the front says is put behind its step, and the whole is compared with a snapshot. What differs from run
//! to run (time left, addresses) is masked.

use rmpv::Value;
use serde_json::{json, Value as Json};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::time::{Duration, Instant};

/// Far longer than any step takes on a busy machine.
const PATIENCE: Duration = Duration::from_secs(30);

fn to_msgpack(v: &Json) -> Value {
    match v {
        Json::String(s) => match s.strip_prefix("b:") {
            Some(bytes) => Value::Binary(bytes.into()),
            None => s.as_str().into(),
        },
        Json::Array(a) => Value::Array(a.iter().map(to_msgpack).collect()),
        Json::Object(o) => Value::Map(o.iter().map(|(k, v)| (k.as_str().into(), to_msgpack(v))).collect()),
        Json::Number(n) => n.as_u64().map_or(Value::Nil, Value::from),
        Json::Bool(b) => (*b).into(),
        Json::Null => Value::Nil,
    }
}

fn to_json(v: &Value) -> Json {
    match v {
        Value::Binary(b) => format!("b:{}", String::from_utf8_lossy(b)).into(),
        Value::Array(a) => a.iter().map(to_json).collect(),
        Value::Map(m) => m.iter().map(|(k, v)| (k.as_str().unwrap_or("?").to_string(), to_json(v))).collect(),
        Value::String(s) => s.as_str().unwrap_or("?").into(),
        Value::Integer(i) => i.as_u64().into(),
        Value::Boolean(b) => (*b).into(),
        _ => Json::Null,
    }
}

fn unhex(text: &str) -> Vec<u8> {
    let digits: String = text.split_whitespace().collect();
    (0..digits.len() / 2).map(|i| u8::from_str_radix(&digits[2 * i..2 * i + 2], 16).expect("hex")).collect()
}

/// A listener of one party, and the connections that it took, the one that spoke last first.
struct Party {
    listener: TcpListener,
    conns: Vec<(TcpStream, Vec<u8>)>,
}

impl Party {
    fn new() -> Party {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        listener.set_nonblocking(true).expect("a socket option");
        Party { listener, conns: Vec::new() }
    }

    fn addr(&self) -> SocketAddr {
        self.listener.local_addr().expect("bound")
    }

    /// The next message on any connection, as `whole` cuts it off.
    fn next(&mut self, whole: impl Fn(&[u8]) -> Option<(usize, String)>) -> String {
        let by = Instant::now() + PATIENCE;
        while Instant::now() < by {
            if let Ok((stream, _)) = self.listener.accept() {
                stream.set_read_timeout(Some(Duration::from_millis(2))).expect("a socket option");
                stream.set_nonblocking(false).expect("a socket option");
                self.conns.insert(0, (stream, Vec::new()));
            }
            for at in 0..self.conns.len() {
                let (stream, held) = &mut self.conns[at];
                if let Some((len, text)) = whole(held) {
                    held.drain(..len);
                    // Answers go where it came from.
                    self.conns[..=at].rotate_right(1);
                    return text;
                }
                let mut more = [0; 65536];
                if let Ok(n) = stream.read(&mut more) {
                    held.extend_from_slice(&more[..n]);
                }
            }
            if self.conns.is_empty() {
                std::thread::yield_now();
            }
        }
        panic!("nothing came")
    }

    fn send(&mut self, bytes: &[u8]) {
        self.conns[0].0.write_all(bytes).expect("the front reads");
    }
}

fn resp_array(data: &[u8]) -> Option<(usize, String)> {
    let (len, parts) = fernslip_front::resp::parts(data).expect("RESP")?;
    let words: Vec<_> = parts.iter().map(|p| String::from_utf8_lossy(p).into_owned()).collect();
    Some((len, words.join(" ")))
}

fn text_line(data: &[u8]) -> Option<(usize, String)> {
    let end = data.iter().position(|b| *b == b'\n')?;
    Some((end + 1, String::from_utf8_lossy(&data[..end]).into_owned()))
}

/// Masks the time left, which no two runs share.
fn masked(text: &str) -> String {
    let mut out = String::new();
    for part in text.split_inclusive([',', ' ']) {
        let name = ["limit=", "fresh="].into_iter().find(|n| part.starts_with(n));
        match name {
            Some(n) => {
                out += &format!("{n}_{}", &part[part.len() - usize::from(part.ends_with([',', ' ']))..])
            }
            None => out += part,
        }
    }
    out
}

struct Play {
    child: Child,
    file: PathBuf,
    lines: Receiver<String>,
    addr: String,
    parties: BTreeMap<&'static str, Party>,
    peer: UdpSocket,
    heard_from: Option<SocketAddr>,
    client: Option<TcpStream>,
}

fn config(parties: &BTreeMap<&'static str, Party>, peer: SocketAddr) -> Json {
    let text = std::fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/config.json"));
    let mut c: Json = serde_json::from_str(&text.expect("the example")).expect("JSON");
    let server = |id: &str, zone: &str, kind: &str, addr: SocketAddr| {
        json!({"id": id, "addr": addr.to_string(), "zone": zone, "kind": kind, "cell": 0, "state": "Ready",
               "weight": 1, "started_ms": 0})
    };
    let behind = parties["bus"].addr(); // never asked: caches go there
    let servers = json!([
        server("a", "edge-1", "standard", parties["a"].addr()),
        server("b", "edge-1", "standard", parties["b"].addr()),
        server("p", "north", "parent", behind),
        server("o", "north", "origin", behind)
    ]);
    c["listen"] = "127.0.0.1:0".into();
    c["peer_listen"] = "127.0.0.1:0".into();
    c["peers"] = json!(["127.0.0.1:1", peer.to_string()]);
    c["peers_all"] = peer.to_string().into();
    c["bus"] = parties["bus"].addr().to_string().into();
    c["settings"]["group_size"] = 2.into();
    c["settings"]["family_info"]["zone_balancers"] = json!([0, 2]);
    c["known"] =
        json!({"offset": 1, "batch": [{"offset": 1, "topology": {"full": true, "servers": servers}}]});
    c
}

impl Play {
    fn start(name: &str) -> Play {
        Play::start_with(name, |_| {})
    }

    /// With a change to the usual configuration.
    fn start_with(name: &str, change: impl Fn(&mut Json)) -> Play {
        let parties: BTreeMap<_, _> =
            ["a", "b", "bus", "bus2"].into_iter().map(|n| (n, Party::new())).collect();
        let peer = UdpSocket::bind("127.0.0.1:0").expect("a port");
        peer.set_read_timeout(Some(PATIENCE)).expect("a socket option");
        let file = std::env::temp_dir().join(format!("fernslip-{}-{name}.json", std::process::id()));
        let mut config = config(&parties, peer.local_addr().expect("bound"));
        change(&mut config);
        std::fs::write(&file, config.to_string()).expect("a temporary file");
        let mut child = Command::new(env!("CARGO_BIN_EXE_fernslip"))
            .env("RELAY_CONFIG", &file)
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program");
        let (to, lines) = channel();
        let err = BufReader::new(child.stderr.take().expect("piped"));
        std::thread::spawn(move || err.lines().map_while(Result::ok).try_for_each(|l| to.send(l)));
        let mut play =
            Play { child, file, lines, addr: String::new(), parties, peer, heard_from: None, client: None };
        let line = play.log("listens on ");
        play.addr = line.rsplit(' ').next().expect("an address").to_string();
        play
    }

    fn log(&mut self, text: &str) -> String {
        loop {
            let line = self.lines.recv_timeout(PATIENCE).unwrap_or_else(|e| panic!("no line {text:?}: {e}"));
            if line.contains(text) {
                return line;
            }
        }
    }

    fn client(&mut self) -> &mut TcpStream {
        let addr = self.addr.clone();
        self.client.get_or_insert_with(|| {
            let s = TcpStream::connect(addr).expect("the front listens");
            s.set_read_timeout(Some(PATIENCE)).expect("a socket option");
            s
        })
    }

    fn signal(&self, name: &str) {
        let kill = format!("kill -{name} {}", self.child.id());
        assert!(Command::new("sh").args(["-c", &kill]).status().expect("a shell").success());
    }

    /// One step; what the front said.
    fn step(&mut self, who: &str, what: &str, rest: &str) -> String {
        match (who, what) {
            ("client", ">") => {
                let bytes = match rest.strip_prefix("hex ") {
                    Some(hex) => unhex(hex),
                    None => {
                        let mut out = Vec::new();
                        let v = to_msgpack(&serde_json::from_str(rest).expect("JSON"));
                        rmpv::encode::write_value(&mut out, &v).expect("memory");
                        out
                    }
                };
                self.client().write_all(&bytes).expect("the front reads");
            }
            ("client", "<") => {
                return match rmpv::decode::read_value(self.client()) {
                    Ok(v) => to_json(&v).to_string(),
                    Err(_) => "closed".into(),
                }
            }
            ("client", "!") => self.client = None,
            ("peer", "<") => {
                let mut data = [0; 300];
                let (n, from) = self.peer.recv_from(&mut data).expect("a datagram");
                self.heard_from = Some(from);
                return data[..n].iter().map(|b| format!("{b:02x}")).collect();
            }
            ("peer", ">") => {
                let to = self.heard_from.expect("the front spoke first");
                self.peer.send_to(&unhex(rest.trim_start_matches("hex ")), to).expect("sent");
            }
            ("log", _) => drop(self.log(rest)),
            ("term", _) => self.signal("TERM"),
            ("reload", _) => {
                let text = self.parties.get(rest).map(|bus| {
                    let mut c = config(&self.parties, self.peer.local_addr().expect("bound"));
                    c["bus"] = bus.addr().to_string().into();
                    c.to_string()
                });
                std::fs::write(&self.file, text.unwrap_or_default()).expect("a temporary file");
                self.signal("HUP");
            }
            ("exit", _) => {
                let by = Instant::now() + PATIENCE;
                while Instant::now() < by {
                    if let Some(code) = self.child.try_wait().expect("a child") {
                        return format!("{:?}", code.code());
                    }
                    std::thread::sleep(Duration::from_millis(5));
                }
                panic!("it goes on");
            }
            (name, ">") => {
                let party = self.parties.get_mut(name).expect("a party");
                let bytes = match (name, rest.strip_prefix("raw ")) {
                    ("bus" | "bus2", _) => format!("{rest}\n").into_bytes(),
                    (_, Some(raw)) => raw.as_bytes().to_vec(),
                    _ => {
                        let mut words: Vec<&[u8]> = rest.splitn(4, ' ').map(str::as_bytes).collect();
                        words.resize(4, b"");
                        fernslip_front::resp::array(&words)
                    }
                };
                party.send(&bytes);
            }
            ("bus" | "bus2", "<") => return self.parties.get_mut(who).expect("a party").next(text_line),
            (name, "<") => return masked(&self.parties.get_mut(name).expect("a party").next(resp_array)),
            (name, _) => self.parties.get_mut(name).expect("a party").conns.clear(),
        }
        String::new()
    }
}

impl Drop for Play {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.file);
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn talk(name: &str) {
    let file = format!("{}/tests/talks/{name}.txt", env!("CARGO_MANIFEST_DIR"));
    let script = std::fs::read_to_string(&file).expect("the talk");
    let mut play = Play::start(name);
    let mut seen = String::new();
    for line in script.lines() {
        println!("{line}"); // shown where a step fails
        seen += line;
        if let Some(head) = line.split(' ').next().filter(|h| !h.is_empty() && !h.starts_with('#')) {
            let who = head.trim_end_matches(['>', '<', '!']);
            let said = play.step(who, &head[who.len()..], line[head.len()..].trim_start());
            if !said.is_empty() {
                seen += &format!(" {said}");
            }
        }
        seen += "\n";
    }
    insta::assert_snapshot!(name, seen);
}

macro_rules! talks {
    ($($name:ident)*) => { $(#[test] fn $name() { talk(stringify!($name)); })* };
}

talks! { read write trouble silent spoilt forget malformed bus peers reload term }

/// Guards the writes that a full socket cuts short: they go on as it drains, and nobody else waits for them.
#[test]
fn a_client_that_does_not_read_stops_nobody() {
    let mut play = Play::start("slow");
    let body = "x".repeat(240_000);
    let serve = |play: &mut Play, call: u32, body: &str| {
        let trace = format!("{call:016x}");
        let fields = json!({"trace": trace, "patience": "60000", "entity": "00000000000000a1", "slice": "0",
                             "set": "1", "size": "40"});
        play.step("client", ">", &json!([0, call, "statement-docs", [fields, "b:"]]).to_string());
        assert!(play.step("a", "<", "").starts_with(&format!("ASK {trace}")));
        play.step("a", ">", &format!("{trace} served tell=fill {body}"));
    };
    // More than the sockets on the way hold, so that most of it waits in the front.
    (1..=32).for_each(|call| serve(&mut play, call, &body));
    let slow = play.client.take();
    serve(&mut play, 33, "quick");
    assert_eq!(play.step("client", "<", ""), r#"[1,33,null,["b:quick",{}]]"#);
    play.client = slow;
    let mut calls: Vec<u64> = (1..=32)
        .map(|_| {
            let answer: Json = serde_json::from_str(&play.step("client", "<", "")).expect("an answer");
            assert_eq!(answer[3][0].as_str().map(str::len), Some(body.len() + 2), "whole");
            answer[1].as_u64().expect("a number")
        })
        .collect();
    calls.sort_unstable();
    assert!(calls.into_iter().eq(1..=32), "each once");
}

/// Guards the places for clients: those that say nothing, or half of it, give theirs to others, and are closed
/// soon; one that is served keeps its own.
#[test]
fn connections_that_say_nothing_give_way() {
    let mut play = Play::start_with("places", |c| c["limits"]["sockets"] = 24.into());
    let connect = |addr: &str| {
        let s = TcpStream::connect(addr).expect("the front listens");
        s.set_read_timeout(Some(PATIENCE)).expect("a socket option");
        s
    };
    play.step("client", ">", r#"[0,1,"isWell",[{}]]"#);
    play.step("client", "<", "");
    let fields = json!({"trace": "0000000000000001", "patience": "60000", "entity": "00000000000000a1",
                        "slice": "0", "set": "1", "size": "40"});
    // A write is never tried elsewhere, however long its cache is silent.
    play.step("client", ">", &json!([0, 2, "contribution-change", [fields, "b:"]]).to_string());
    play.step("a", "<", "");
    let addr = play.addr.clone();
    let mut silent: Vec<TcpStream> = (0..40).map(|_| connect(&addr)).collect();
    silent.extend((0..10).map(|_| {
        let mut s = connect(&addr);
        let _ = s.write_all(&[0x94, 0, 1]); // the head of a call
        s
    }));
    for mut s in silent {
        assert!(matches!(s.read(&mut [0]), Ok(0) | Err(_)), "closed");
    }
    play.step("a", ">", "0000000000000001 served tell=fill still there");
    assert_eq!(play.step("client", "<", ""), r#"[1,2,null,["b:still there",{}]]"#);
    assert!(play.log("reason=no_request").contains("kind=client"));
}

#[test]
fn a_bad_configuration_is_one_line_and_a_failure() {
    let dir = std::env::temp_dir().join(format!("fernslip-{}-bad", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a temporary folder");
    let good = std::fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/config.json"));
    let good = good.expect("the example");
    let mut seen = String::new();
    for (name, text) in [
        ("no JSON", "{".to_string()),
        ("no seed", good.replace("8c1f30d27a5be964", "x")),
        ("no address", good.replace("127.0.0.1:4222", "bus.example")),
        ("impossible", good.replace("\"max_attempts\": 6", "\"max_attempts\": 0")),
        ("foreign", good.replace("\"listen\": \"127.0.0.1:4100\"", "\"listen\": \"203.0.113.9:1\"")),
    ] {
        let file = dir.join("config.json");
        std::fs::write(&file, text).expect("a temporary file");
        let out = Command::new(env!("CARGO_BIN_EXE_fernslip")).env("RELAY_CONFIG", &file).output();
        let out = out.expect("the program");
        seen += &format!("{name}: {:?} {}", out.status.code(), String::from_utf8_lossy(&out.stderr));
    }
    let out = Command::new(env!("CARGO_BIN_EXE_fernslip")).env_remove("RELAY_CONFIG").output().expect("it");
    seen += &format!("none: {:?} {}", out.status.code(), String::from_utf8_lossy(&out.stderr));
    let _ = std::fs::remove_dir_all(dir);
    insta::assert_snapshot!(seen);
}
