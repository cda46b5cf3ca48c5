//! The program with a configuration of the platform's, and scripted counterparts around it: two cache nodes, the event bus,
//! a peer, clients. Each sends what the test scripts, in the order of the script.

use rmpv::Value;
use serde_json::{json, Value as Json};
use socket2::{Domain, Socket, Type};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::time::{Duration, Instant};

/// Far longer than any step takes on a busy machine.
pub const STEP_TIMEOUT: Duration = Duration::from_secs(30);

pub fn to_msgpack(v: &Json) -> Value {
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

pub fn to_json(v: &Value) -> Json {
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

pub fn decode_hex(text: &str) -> Vec<u8> {
    let digits: String = text.split_whitespace().collect();
    (0..digits.len() / 2).map(|i| u8::from_str_radix(&digits[2 * i..2 * i + 2], 16).expect("hex")).collect()
}

/// A connection that a scripted server accepted, and what was read from it and not taken yet.
pub struct ScriptedConnection {
    pub stream: TcpStream,
    pub buffer: Vec<u8>,
}

/// A scripted server's listener, and the connections that it accepted, the one that was read from last first.
pub struct ScriptedServer {
    pub listener: TcpListener,
    pub connections: Vec<ScriptedConnection>,
}

impl ScriptedServer {
    pub fn new() -> ScriptedServer {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        listener.set_nonblocking(true).expect("a socket option");
        ScriptedServer { listener, connections: Vec::new() }
    }

    /// One whose backlog is full until [`ScriptedServer::empty_backlog`]: what connects keeps trying. Returns the
    /// connections that fill it, too.
    pub fn with_full_backlog() -> (ScriptedServer, Vec<TcpStream>) {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a port");
        socket.listen(0).expect("a listener");
        let server = ScriptedServer { listener: socket.into(), connections: Vec::new() };
        server.listener.set_nonblocking(true).expect("a socket option");
        let backlog = server.fill_backlog();
        (server, backlog)
    }

    /// Fills the backlog: no further connection comes up until [`ScriptedServer::empty_backlog`].
    pub fn fill_backlog(&self) -> Vec<TcpStream> {
        socket2::SockRef::from(&self.listener).listen(0).expect("a listener");
        let mut backlog = Vec::new();
        while let Ok(s) = TcpStream::connect_timeout(&self.addr(), Duration::from_millis(200)) {
            backlog.push(s);
        }
        backlog
    }

    /// Takes away the connections that fill the backlog, so that others come up.
    pub fn empty_backlog(&mut self, backlog: Vec<TcpStream>) {
        for _ in &backlog {
            drop(self.listener.accept().expect("it waits"));
        }
    }

    pub fn addr(&self) -> SocketAddr {
        self.listener.local_addr().expect("bound")
    }

    /// The next message on any connection, as `parse` takes it off the buffer: its length and its text.
    pub fn next_message(&mut self, parse: impl Fn(&[u8]) -> Option<(usize, String)>) -> String {
        let deadline = Instant::now() + STEP_TIMEOUT;
        while Instant::now() < deadline {
            if let Ok((stream, _)) = self.listener.accept() {
                stream.set_read_timeout(Some(Duration::from_millis(2))).expect("a socket option");
                stream.set_nonblocking(false).expect("a socket option");
                self.connections.insert(0, ScriptedConnection { stream, buffer: Vec::new() });
            }
            for i in 0..self.connections.len() {
                let ScriptedConnection { stream, buffer } = &mut self.connections[i];
                if let Some((len, text)) = parse(buffer) {
                    buffer.drain(..len);
                    // Answers go where it came from.
                    self.connections[..=i].rotate_right(1);
                    return text;
                }
                let mut chunk = [0; 65536];
                if let Ok(n) = stream.read(&mut chunk) {
                    buffer.extend_from_slice(&chunk[..n]);
                }
            }
            if self.connections.is_empty() {
                std::thread::yield_now();
            }
        }
        panic!("nothing came")
    }

    pub fn send(&mut self, bytes: &[u8]) {
        self.connections[0].stream.write_all(bytes).expect("the front reads");
    }
}

/// The first RESP array of what was read, its parts joined by spaces; `None`: it is not complete.
pub fn next_resp_array(data: &[u8]) -> Option<(usize, String)> {
    let (len, parts) = fernslip_front::resp::parts(data).expect("RESP")?;
    let texts: Vec<_> = parts.iter().map(|p| String::from_utf8_lossy(p).into_owned()).collect();
    Some((len, texts.join(" ")))
}

/// The first line of what was read; `None`: it is not complete.
pub fn next_line(data: &[u8]) -> Option<(usize, String)> {
    let end = data.iter().position(|b| *b == b'\n')?;
    Some((end + 1, String::from_utf8_lossy(&data[..end]).into_owned()))
}

/// Masks the remaining times, which no two runs share.
pub fn mask_times(text: &str) -> String {
    let mut out = String::new();
    for part in text.split_inclusive([',', ' ']) {
        let name = ["limit=", "fresh="].into_iter().find(|n| part.starts_with(n));
        match name {
            Some(n) => {
                out += &format!("{n}_{}", &part[part.len() - usize::from(part.ends_with([',', ' ']))..]);
            }
            None => out += part,
        }
    }
    out
}

/// The program, with everything that it communicates with scripted by the test.
pub struct ScriptedFront {
    pub child: Child,
    pub file: PathBuf,
    lines: Receiver<String>,
    pub addr: String,
    pub servers: BTreeMap<&'static str, ScriptedServer>,
    pub peer: UdpSocket,
    last_peer: Option<SocketAddr>,
    pub client: Option<TcpStream>,
}

pub fn configuration(servers: &BTreeMap<&'static str, ScriptedServer>, peer: SocketAddr) -> Json {
    let text = std::fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/config.json"));
    let mut c: Json = serde_json::from_str(&text.expect("the example")).expect("JSON");
    let server = |id: &str, zone: &str, kind: &str, addr: SocketAddr| {
        json!({"id": id, "addr": addr.to_string(), "zone": zone, "kind": kind, "cell": 0, "state": "Ready",
               "weight": 1, "started_ms": 0})
    };
    let upstream = servers["bus"].addr(); // gets no request: caches go there
    let nodes = json!([
        server("a", "edge-1", "standard", servers["a"].addr()),
        server("b", "edge-1", "standard", servers["b"].addr()),
        server("p", "north", "parent", upstream),
        server("o", "north", "origin", upstream)
    ]);
    c["listen"] = "127.0.0.1:0".into();
    c["peer_listen"] = "127.0.0.1:0".into();
    c["peers"] = json!(["127.0.0.1:1", peer.to_string()]);
    c["peers_all"] = peer.to_string().into();
    c["bus"] = servers["bus"].addr().to_string().into();
    c["settings"]["group_size"] = 2.into();
    c["settings"]["family_info"]["zone_balancers"] = json!([0, 2]);
    c["known"] = json!({"offset": 1, "batch": [{"offset": 1, "topology": {"full": true, "servers": nodes}}]});
    c
}

impl ScriptedFront {
    pub fn start(name: &str) -> ScriptedFront {
        ScriptedFront::start_with(name, |_| {})
    }

    /// Starts it with a change to the usual configuration.
    pub fn start_with(name: &str, change: impl Fn(&mut Json)) -> ScriptedFront {
        ScriptedFront::start_prepared(name, Vec::new(), change, |_| {})
    }

    /// Starts it with servers of the test's own, and its command prepared further.
    pub fn start_prepared(
        name: &str,
        own: Vec<(&'static str, ScriptedServer)>,
        change: impl Fn(&mut Json),
        prepare: impl FnOnce(&mut Command),
    ) -> ScriptedFront {
        let mut servers: BTreeMap<_, _> =
            ["a", "b", "bus", "bus2"].into_iter().map(|n| (n, ScriptedServer::new())).collect();
        servers.extend(own);
        let peer = UdpSocket::bind("127.0.0.1:0").expect("a port");
        peer.set_read_timeout(Some(STEP_TIMEOUT)).expect("a socket option");
        let file = std::env::temp_dir().join(format!("fernslip-{}-{name}.json", std::process::id()));
        let mut config = configuration(&servers, peer.local_addr().expect("bound"));
        change(&mut config);
        std::fs::write(&file, config.to_string()).expect("a temporary file");
        let mut command = Command::new(env!("CARGO_BIN_EXE_fernslip"));
        command.env("RELAY_CONFIG", &file).stderr(Stdio::piped());
        prepare(&mut command);
        let mut child = command.spawn().expect("the program");
        let (to, lines) = channel();
        let err = BufReader::new(child.stderr.take().expect("piped"));
        std::thread::spawn(move || err.lines().map_while(Result::ok).try_for_each(|l| to.send(l)));
        let mut front = ScriptedFront {
            child,
            file,
            lines,
            addr: String::new(),
            servers,
            peer,
            last_peer: None,
            client: None,
        };
        let line = front.wait_for_log("listens on ");
        front.addr = line.rsplit(' ').next().expect("an address").to_string();
        front
    }

    pub fn wait_for_log(&mut self, text: &str) -> String {
        loop {
            let line =
                self.lines.recv_timeout(STEP_TIMEOUT).unwrap_or_else(|e| panic!("no line {text:?}: {e}"));
            if line.contains(text) {
                return line;
            }
        }
    }

    pub fn client(&mut self) -> &mut TcpStream {
        let addr = self.addr.clone();
        self.client.get_or_insert_with(|| {
            let s = TcpStream::connect(addr).expect("the front listens");
            s.set_read_timeout(Some(STEP_TIMEOUT)).expect("a socket option");
            s
        })
    }

    pub fn signal(&self, name: &str) {
        let kill = format!("kill -{name} {}", self.child.id());
        assert!(Command::new("sh").args(["-c", &kill]).status().expect("a shell").success());
    }

    /// Another connection of a client's.
    pub fn connect(&self) -> TcpStream {
        let s = TcpStream::connect(&self.addr).expect("the front listens");
        s.set_read_timeout(Some(STEP_TIMEOUT)).expect("a socket option");
        s.set_nodelay(true).expect("a socket option");
        s
    }

    /// The next request that a node gets: its trace and its fields.
    pub fn next_request(&mut self, node: &'static str) -> (String, String) {
        loop {
            let message = self.servers.get_mut(node).expect("a server").next_message(next_resp_array);
            let parts: Vec<&str> = message.split(' ').collect();
            if parts[0] == "ASK" {
                return (parts[1].into(), parts[2].into());
            }
        }
    }

    /// A node answers on the connection of the last request.
    pub fn answer(&mut self, node: &'static str, trace: &str, what: &str) {
        self.step(node, ">", &format!("{trace} {what}"));
    }

    /// Waits until the program ends; its exit code, and all lines that it still wrote.
    pub fn wait_for_exit(&mut self) -> (Option<i32>, Vec<String>) {
        let code = self.wait_for_exit_code();
        (code, self.lines.iter().collect())
    }

    fn wait_for_exit_code(&mut self) -> Option<i32> {
        let deadline = Instant::now() + STEP_TIMEOUT;
        loop {
            match self.child.try_wait().expect("a child") {
                Some(status) => return status.code(),
                None if Instant::now() < deadline => std::thread::sleep(Duration::from_millis(2)),
                None => panic!("it goes on"),
            }
        }
    }

    /// One step of a script: `>` sends, `<` receives, `!` closes. Returns what the front sent, where it is received.
    pub fn step(&mut self, who: &str, what: &str, argument: &str) -> String {
        match (who, what) {
            ("client", _) => return self.client_step(what, argument),
            ("peer", _) => return self.peer_step(what, argument),
            ("log", _) => drop(self.wait_for_log(argument)),
            ("term", _) => self.signal("TERM"),
            ("reload", _) => self.reload_with_bus(argument),
            ("exit", _) => return format!("{:?}", self.wait_for_exit_code()),
            (name, _) => return self.server_step(name, what, argument),
        }
        String::new()
    }

    fn client_step(&mut self, what: &str, argument: &str) -> String {
        match what {
            ">" => {
                let bytes = match argument.strip_prefix("hex ") {
                    Some(hex) => decode_hex(hex),
                    None => encode_msgpack(&serde_json::from_str(argument).expect("JSON")),
                };
                self.client().write_all(&bytes).expect("the front reads");
            }
            "<" => {
                return match rmpv::decode::read_value(self.client()) {
                    Ok(v) => to_json(&v).to_string(),
                    Err(_) => "closed".into(),
                }
            }
            _ => self.client = None,
        }
        String::new()
    }

    fn peer_step(&mut self, what: &str, argument: &str) -> String {
        if what == "<" {
            let mut data = [0; 300];
            let (n, from) = self.peer.recv_from(&mut data).expect("a datagram");
            self.last_peer = Some(from);
            return data[..n].iter().map(|b| format!("{b:02x}")).collect();
        }
        let to = self.last_peer.expect("the front sent first");
        self.peer.send_to(&decode_hex(argument.trim_start_matches("hex ")), to).expect("sent");
        String::new()
    }

    /// Writes the configuration with that server as event bus (none of that name: an empty file), and sends SIGHUP.
    fn reload_with_bus(&mut self, bus: &str) {
        let text = self.servers.get(bus).map(|bus| {
            let mut c = configuration(&self.servers, self.peer.local_addr().expect("bound"));
            c["bus"] = bus.addr().to_string().into();
            c.to_string()
        });
        std::fs::write(&self.file, text.unwrap_or_default()).expect("a temporary file");
        self.signal("HUP");
    }

    fn server_step(&mut self, name: &str, what: &str, argument: &str) -> String {
        let server = self.servers.get_mut(name).expect("a server");
        match (name, what) {
            (_, ">") => {
                let bytes = match (name, argument.strip_prefix("raw ")) {
                    ("bus" | "bus2", _) => format!("{argument}\n").into_bytes(),
                    (_, Some(raw)) => raw.as_bytes().to_vec(),
                    _ => {
                        let mut parts: Vec<&[u8]> = argument.splitn(4, ' ').map(str::as_bytes).collect();
                        parts.resize(4, b"");
                        fernslip_front::resp::array(&parts)
                    }
                };
                server.send(&bytes);
            }
            ("bus" | "bus2", "<") => return server.next_message(next_line),
            (_, "<") => return mask_times(&server.next_message(next_resp_array)),
            _ => server.connections.clear(),
        }
        String::new()
    }
}

impl Drop for ScriptedFront {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.file);
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn encode_msgpack(v: &Json) -> Vec<u8> {
    let mut bytes = Vec::new();
    rmpv::encode::write_value(&mut bytes, &to_msgpack(v)).expect("memory");
    bytes
}

/// The bytes of a call.
pub fn encode_call(number: u32, class: &str, trace: u64, patience_ms: u64, more: &[(&str, &str)]) -> Vec<u8> {
    let mut fields = json!({"trace": format!("{trace:016x}"), "patience": patience_ms.to_string(),
                            "entity": "00000000000000a1", "slice": "0", "set": "1", "size": "40"});
    for (name, value) in more {
        fields[*name] = (*value).into();
    }
    encode_msgpack(&json!([0, number, class, [fields, "b:"]]))
}

/// The bytes that cancel a call.
pub fn encode_cancel(number: u32) -> Vec<u8> {
    encode_msgpack(&json!([2, "forget", [number]]))
}

/// The next answer on a client's connection, as JSON; `closed` at its end, `reset` where it was reset.
pub fn read_answer(client: &mut TcpStream) -> String {
    match rmpv::decode::read_value(client) {
        Ok(v) => to_json(&v).to_string(),
        Err(e) => match e.kind() {
            ErrorKind::ConnectionReset => "reset".into(),
            _ => "closed".into(),
        },
    }
}

/// The bytes of a health check of the front.
pub fn encode_health_check(number: u32) -> Vec<u8> {
    encode_msgpack(&json!([0, number, "isWell", [{}]]))
}
