//! The program as a child process with the platform's JSON configuration, and scripted counterparts: two
//! cache nodes, the event bus, a peer and clients. Each counterpart sends what the test's script says, in
//! that order.

use super::Node;
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

/// The longest wait of any step, far longer than a step takes on a busy machine.
pub const STEP_TIMEOUT: Duration = Duration::from_secs(30);

/// Converts JSON to MessagePack; a string that begins with `b:` becomes a binary value.
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

/// Converts MessagePack to JSON; a binary value becomes a string that begins with `b:`.
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

/// Decodes hexadecimal digits; white space between them is ignored.
pub fn decode_hex(text: &str) -> Vec<u8> {
    let digits: String = text.split_whitespace().collect();
    (0..digits.len() / 2)
        .map(|i| u8::from_str_radix(&digits[2 * i..2 * i + 2], 16).expect("the text is hexadecimal"))
        .collect()
}

/// A connection that a scripted server accepted, with the bytes that were read from it and not parsed yet.
pub struct ScriptedConnection {
    pub stream: TcpStream,
    pub buffer: Vec<u8>,
}

/// A scripted server: its listener and its connections. The connection of the last received message comes
/// first.
pub struct ScriptedServer {
    pub listener: TcpListener,
    pub connections: Vec<ScriptedConnection>,
}

impl ScriptedServer {
    pub fn new() -> ScriptedServer {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port can be bound");
        listener.set_nonblocking(true).expect("the socket option can be set");
        ScriptedServer { listener, connections: Vec::new() }
    }

    /// Creates a server whose backlog is full until [`ScriptedServer::empty_backlog`], so that clients keep
    /// trying to connect. Also returns the connections that fill the backlog.
    pub fn with_full_backlog() -> (ScriptedServer, Vec<TcpStream>) {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket can be created");
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a loopback port can be bound");
        socket.listen(0).expect("the socket can listen");
        let server = ScriptedServer { listener: socket.into(), connections: Vec::new() };
        server.listener.set_nonblocking(true).expect("the socket option can be set");
        let backlog = server.fill_backlog();
        (server, backlog)
    }

    /// Fills the backlog with connections, and returns them. No further connection is established until
    /// [`ScriptedServer::empty_backlog`].
    pub fn fill_backlog(&self) -> Vec<TcpStream> {
        socket2::SockRef::from(&self.listener).listen(0).expect("the socket can listen");
        let mut backlog = Vec::new();
        while let Ok(s) = TcpStream::connect_timeout(&self.addr(), Duration::from_millis(200)) {
            backlog.push(s);
        }
        backlog
    }

    /// Closes the connections that fill the backlog, so that others can be established.
    pub fn empty_backlog(&mut self, backlog: Vec<TcpStream>) {
        for _ in &backlog {
            drop(self.listener.accept().expect("a connection waits in the backlog"));
        }
    }

    pub fn addr(&self) -> SocketAddr {
        self.listener.local_addr().expect("the socket is bound")
    }

    /// Waits for the next message on any connection. `parse` returns the length and the text of the first
    /// message in a buffer, or `None` if the message is not complete.
    pub fn next_message(&mut self, parse: impl Fn(&[u8]) -> Option<(usize, String)>) -> String {
        let deadline = Instant::now() + STEP_TIMEOUT;
        while Instant::now() < deadline {
            if let Ok((stream, _)) = self.listener.accept() {
                stream
                    .set_read_timeout(Some(Duration::from_millis(2)))
                    .expect("the socket option can be set");
                stream.set_nonblocking(false).expect("the socket option can be set");
                self.connections.insert(0, ScriptedConnection { stream, buffer: Vec::new() });
            }
            for i in 0..self.connections.len() {
                let ScriptedConnection { stream, buffer } = &mut self.connections[i];
                if let Some((len, text)) = parse(buffer) {
                    buffer.drain(..len);
                    // Answers are sent on the connection that the message came from.
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
        panic!("no message arrived within {STEP_TIMEOUT:?}")
    }

    pub fn send(&mut self, bytes: &[u8]) {
        self.connections[0].stream.write_all(bytes).expect("the front accepts the bytes");
    }
}

/// Parses the first RESP array in `data`; its parts are joined by spaces. `None` if it is not complete.
pub fn next_resp_array(data: &[u8]) -> Option<(usize, String)> {
    let (len, parts) = fernslip_front::resp::parse_array(data).expect("the bytes are valid RESP")?;
    let texts: Vec<_> = parts.iter().map(|p| String::from_utf8_lossy(p).into_owned()).collect();
    Some((len, texts.join(" ")))
}

/// Parses the first line in `data`; `None` if it is not complete.
pub fn next_line(data: &[u8]) -> Option<(usize, String)> {
    let end = data.iter().position(|b| *b == b'\n')?;
    Some((end + 1, String::from_utf8_lossy(&data[..end]).into_owned()))
}

/// Masks the values of `limit` and `fresh`, times that differ from run to run.
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

/// The program as a child process, with every counterpart scripted by the test.
pub struct ScriptedFront {
    pub child: Child,
    pub file: PathBuf,
    lines: Receiver<String>,
    /// The log lines read so far.
    pub log_lines: Vec<String>,
    pub addr: String,
    pub servers: BTreeMap<&'static str, ScriptedServer>,
    pub peer: UdpSocket,
    last_peer: Option<SocketAddr>,
    pub client: Option<TcpStream>,
}

/// The example configuration with the addresses of these servers and this peer.
pub fn test_configuration(servers: &BTreeMap<&'static str, ScriptedServer>, peer: SocketAddr) -> Json {
    let text = std::fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/config.json"));
    let mut c: Json =
        serde_json::from_str(&text.expect("the example file can be read")).expect("the text is valid JSON");
    let server = |id: &str, zone: &str, kind: &str, addr: SocketAddr| {
        json!({"id": id, "addr": addr.to_string(), "zone": zone, "kind": kind, "cell": 0, "state": "Ready",
               "weight": 1, "started_ms": 0})
    };
    let upstream = servers["bus"].addr(); // receives no request; only caches would connect to it
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

/// Sets the address of a cache node in a configuration.
pub fn set_node_address(c: &mut Json, node: usize, addr: SocketAddr) {
    c["known"]["batch"][0]["topology"]["servers"][node]["addr"] = addr.to_string().into();
}

impl ScriptedFront {
    pub fn start(name: &str) -> ScriptedFront {
        ScriptedFront::start_with(name, |_| {})
    }

    /// Starts the program with a configuration that `change` has edited.
    pub fn start_with(name: &str, change: impl Fn(&mut Json)) -> ScriptedFront {
        ScriptedFront::start_prepared(name, Vec::new(), change, |_| {})
    }

    /// Starts the program with the test's own servers in place of the usual ones, after `change` has edited
    /// the configuration and `prepare` the command.
    pub fn start_prepared(
        name: &str,
        replaced_servers: Vec<(&'static str, ScriptedServer)>,
        change: impl Fn(&mut Json),
        prepare: impl FnOnce(&mut Command),
    ) -> ScriptedFront {
        let mut servers: BTreeMap<_, _> =
            ["a", "b", "bus", "bus2"].into_iter().map(|n| (n, ScriptedServer::new())).collect();
        servers.extend(replaced_servers);
        let peer = UdpSocket::bind("127.0.0.1:0").expect("a loopback port can be bound");
        peer.set_read_timeout(Some(STEP_TIMEOUT)).expect("the socket option can be set");
        let file = std::env::temp_dir().join(format!("fernslip-{}-{name}.json", std::process::id()));
        let mut config = test_configuration(&servers, peer.local_addr().expect("the socket is bound"));
        change(&mut config);
        std::fs::write(&file, config.to_string()).expect("the temporary file can be written");
        let mut command = Command::new(env!("CARGO_BIN_EXE_fernslip"));
        command.env("RELAY_CONFIG", &file).stderr(Stdio::piped());
        prepare(&mut command);
        let mut child = command.spawn().expect("the program can be started");
        let (to, lines) = channel();
        let err = BufReader::new(child.stderr.take().expect("standard error is piped"));
        std::thread::spawn(move || err.lines().map_while(Result::ok).try_for_each(|l| to.send(l)));
        let mut front = ScriptedFront {
            child,
            file,
            lines,
            log_lines: Vec::new(),
            addr: String::new(),
            servers,
            peer,
            last_peer: None,
            client: None,
        };
        let line = front.wait_for_log("listens on ");
        front.addr = line.rsplit(' ').next().expect("the log line ends with an address").to_string();
        front
    }

    pub fn wait_for_log(&mut self, text: &str) -> String {
        let deadline = Instant::now() + STEP_TIMEOUT;
        loop {
            let line = self
                .lines
                .recv_timeout(deadline.saturating_duration_since(Instant::now()))
                .unwrap_or_else(|e| panic!("no log line contains {text:?}: {e}"));
            self.log_lines.push(line.clone());
            if line.contains(text) {
                return line;
            }
        }
    }

    pub fn client(&mut self) -> &mut TcpStream {
        let addr = self.addr.clone();
        self.client.get_or_insert_with(|| {
            let s = TcpStream::connect(addr).expect("the front accepts the connection");
            s.set_read_timeout(Some(STEP_TIMEOUT)).expect("the socket option can be set");
            s
        })
    }

    pub fn signal(&self, name: &str) {
        let kill = format!("kill -{name} {}", self.child.id());
        assert!(Command::new("sh").args(["-c", &kill]).status().expect("a shell can be started").success());
    }

    /// Starts the program with two cache nodes that answer at once; `change` edits the configuration further.
    pub fn start_with_nodes(name: &str, nodes: &[Node; 2], change: impl Fn(&mut Json)) -> ScriptedFront {
        ScriptedFront::start_with(name, |c| {
            nodes.iter().enumerate().for_each(|(i, node)| set_node_address(c, i, node.addr));
            change(c);
        })
    }

    /// Opens another client connection.
    pub fn connect(&self) -> TcpStream {
        let s = TcpStream::connect(&self.addr).expect("the front accepts the connection");
        s.set_read_timeout(Some(STEP_TIMEOUT)).expect("the socket option can be set");
        s.set_nodelay(true).expect("the socket option can be set");
        s
    }

    /// Waits for the next request at a node and returns its trace and its fields.
    pub fn next_request(&mut self, node: &'static str) -> (String, String) {
        loop {
            let message =
                self.servers.get_mut(node).expect("the scripted server exists").next_message(next_resp_array);
            let parts: Vec<&str> = message.split(' ').collect();
            if parts[0] == "ASK" {
                return (parts[1].into(), parts[2].into());
            }
        }
    }

    /// Sends an answer from a node, on the connection of the node's last request.
    pub fn answer(&mut self, node: &'static str, trace: &str, answer: &str) {
        self.step(node, ">", &format!("{trace} {answer}"));
    }

    /// Waits until the program exits; returns its exit code and the log lines not read before.
    pub fn wait_for_exit(&mut self) -> (Option<i32>, Vec<String>) {
        let code = self.wait_for_exit_code();
        (code, self.lines.iter().collect())
    }

    fn wait_for_exit_code(&mut self) -> Option<i32> {
        let deadline = Instant::now() + STEP_TIMEOUT;
        loop {
            match self.child.try_wait().expect("the state of the child process is known") {
                Some(status) => return status.code(),
                None if Instant::now() < deadline => std::thread::sleep(Duration::from_millis(2)),
                None => panic!("the program did not exit within {STEP_TIMEOUT:?}"),
            }
        }
    }

    /// Executes one step of a script: `>` sends, `<` receives, `!` closes. Returns what was received from the
    /// front, or an empty string.
    pub fn step(&mut self, counterpart: &str, action: &str, argument: &str) -> String {
        match (counterpart, action) {
            ("client", _) => return self.client_step(action, argument),
            ("peer", _) => return self.peer_step(action, argument),
            ("log", _) => drop(self.wait_for_log(argument)),
            ("term", _) => self.signal("TERM"),
            ("reload", _) => self.reload_with_bus(argument),
            ("exit", _) => return format!("{:?}", self.wait_for_exit_code()),
            (name, _) => return self.server_step(name, action, argument),
        }
        String::new()
    }

    fn client_step(&mut self, action: &str, argument: &str) -> String {
        match action {
            ">" => {
                let bytes = match argument.strip_prefix("hex ") {
                    Some(hex) => decode_hex(hex),
                    None => encode_msgpack(&serde_json::from_str(argument).expect("the text is valid JSON")),
                };
                self.client().write_all(&bytes).expect("the front accepts the bytes");
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

    fn peer_step(&mut self, action: &str, argument: &str) -> String {
        if action == "<" {
            let mut data = [0; 300];
            let (n, from) = self.peer.recv_from(&mut data).expect("a datagram arrives");
            self.last_peer = Some(from);
            return data[..n].iter().map(|b| format!("{b:02x}")).collect();
        }
        let to = self.last_peer.expect("the front has sent a datagram before");
        self.peer
            .send_to(&decode_hex(argument.trim_start_matches("hex ")), to)
            .expect("the datagram can be sent");
        String::new()
    }

    /// Writes a configuration with the server `bus` as event bus, or an empty file if there is no such
    /// server, and sends SIGHUP.
    fn reload_with_bus(&mut self, bus: &str) {
        let text = self.servers.get(bus).map(|bus| {
            let mut c =
                test_configuration(&self.servers, self.peer.local_addr().expect("the socket is bound"));
            c["bus"] = bus.addr().to_string().into();
            c.to_string()
        });
        std::fs::write(&self.file, text.unwrap_or_default()).expect("the temporary file can be written");
        self.signal("HUP");
    }

    fn server_step(&mut self, name: &str, action: &str, argument: &str) -> String {
        let server = self.servers.get_mut(name).expect("the scripted server exists");
        match (name, action) {
            (_, ">") => {
                let bytes = match (name, argument.strip_prefix("raw ")) {
                    ("bus" | "bus2", _) => format!("{argument}\n").into_bytes(),
                    (_, Some(raw)) => raw.as_bytes().to_vec(),
                    _ => {
                        let mut parts: Vec<&[u8]> = argument.splitn(4, ' ').map(str::as_bytes).collect();
                        parts.resize(4, b"");
                        fernslip_front::resp::encode_array(&parts)
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
    rmpv::encode::write_value(&mut bytes, &to_msgpack(v)).expect("encoding to memory cannot fail");
    bytes
}

/// Encodes a call; `more` adds fields to the usual ones or replaces them.
pub fn encode_call(number: u32, class: &str, trace: u64, patience_ms: u64, more: &[(&str, &str)]) -> Vec<u8> {
    let mut fields = json!({"trace": format!("{trace:016x}"), "patience": patience_ms.to_string(),
                            "entity": "00000000000000a1", "slice": "0", "set": "1", "size": "40"});
    for (name, value) in more {
        fields[*name] = (*value).into();
    }
    encode_msgpack(&json!([0, number, class, [fields, "b:"]]))
}

/// Encodes the notification that cancels a call.
pub fn encode_cancel(number: u32) -> Vec<u8> {
    encode_msgpack(&json!([2, "forget", [number]]))
}

/// Waits for the next answer on a client connection and returns it as JSON; `closed` if the connection was
/// closed, `reset` if it was reset.
pub fn read_answer(client: &mut TcpStream) -> String {
    match rmpv::decode::read_value(client) {
        Ok(v) => to_json(&v).to_string(),
        Err(e) => match e.kind() {
            ErrorKind::ConnectionReset => "reset".into(),
            _ => "closed".into(),
        },
    }
}

/// Encodes a health check of the front.
pub fn encode_health_check(number: u32) -> Vec<u8> {
    encode_msgpack(&json!([0, number, "isWell", [{}]]))
}
