//! Simulates on loopback everything that a front connects to: the event bus, a cache node, a parent and the
//! origin. The addresses are those in `examples/config.json`.

use fernslip_front::buffer::Buffer;
use fernslip_front::resp;
use std::collections::HashSet;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// The ids of the objects that a cache node holds.
type Cached = Mutex<HashSet<String>>;

/// Answers each request of a front immediately until the front disconnects.
fn serve_front(node: &str, mut stream: TcpStream, cached: &Cached) -> io::Result<()> {
    let mut buffer = Buffer::default();
    while buffer.read_from(&mut stream)? > 0 {
        while let Ok(Some((len, parts))) = resp::parse_array(buffer.data()) {
            let parts: Vec<String> = parts.iter().map(|p| String::from_utf8_lossy(p).into_owned()).collect();
            buffer.consume(len);
            println!("{node}: {}", parts.join(" "));
            if let [command, id, fields, _] = &parts[..] {
                if command == "ASK" {
                    stream.write_all(&encode_answer(id, fields, cached))?;
                }
            }
        }
    }
    Ok(())
}

/// Builds the answer to a request: a hit if the object was requested before, a fill if the request names a
/// source, and otherwise `not_here`.
fn encode_answer(id: &str, fields: &str, cached: &Cached) -> Vec<u8> {
    let field = |name: &str| fields.split(',').filter_map(|f| f.split_once('=')).find(|f| f.0 == name);
    let item = field("item").map_or("?", |f| f.1);
    let is_cached = cached.lock().is_ok_and(|mut c| !c.insert(item.to_string()));
    let (outcome, note) = match (is_cached, field("via")) {
        (true, _) => ("served", "warm"),
        (false, Some(_)) => ("served", "fill"),
        (false, None) => ("not_here", ""),
    };
    let now_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
    let fields = format!("tag={item},minted={now_ms},tell={note}");
    let body = if outcome == "served" { format!("the bytes of {item}\n") } else { String::new() };
    resp::encode_array(&[id.as_bytes(), outcome.as_bytes(), fields.as_bytes(), body.as_bytes()])
}

/// Serves an event bus without new events: it sends the offset of the last event each second, so that the
/// endpoint list in the configuration stays in effect.
fn serve_event_bus(stream: TcpStream) -> io::Result<()> {
    let mut line = String::new();
    BufReader::new(stream.try_clone()?).read_line(&mut line)?;
    println!("bus: {}", line.trim());
    loop {
        writeln!(&stream, "1")?;
        std::thread::sleep(Duration::from_secs(1));
    }
}

/// Listens on `addr` and serves each connection on its own thread.
fn listen(addr: &str, serve: impl Fn(TcpStream) -> io::Result<()> + Send + Sync + 'static) {
    let listener = TcpListener::bind(addr).unwrap_or_else(|e| panic!("cannot listen on {addr}: {e}"));
    let serve = Arc::new(serve);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            std::thread::spawn(move || serve(stream));
        }
    });
}

fn main() {
    listen("127.0.0.1:4222", serve_event_bus);
    for (node, addr) in
        [("cache-1", "127.0.0.1:4201"), ("parent-1", "127.0.0.1:4202"), ("origin-1", "127.0.0.1:4203")]
    {
        let cached = Cached::default();
        listen(addr, move |stream| serve_front(node, stream, &cached));
    }
    println!("listening on loopback: event bus on port 4222, nodes on ports 4201 to 4203");
    loop {
        std::thread::park();
    }
}
