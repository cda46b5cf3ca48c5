//! Everything that a front talks to, on loopback: the event bus, a cache node, a parent and the origin.
//! The addresses are those of `examples/config.json`.

use fernslip_front::buffer::Buffer;
use fernslip_front::resp;
use std::collections::HashSet;
use std::io::{BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Answers each `ASK` at once: a hit if the object was asked for before, else a fill.
fn node(name: &str, mut stream: TcpStream, held: &Mutex<HashSet<String>>) -> std::io::Result<()> {
    let mut buffer = Buffer::default();
    loop {
        if buffer.read_from(&mut stream)? == 0 {
            return Ok(());
        }
        while let Ok(Some((len, parts))) = resp::parts(buffer.data()) {
            let words: Vec<String> = parts.iter().map(|p| String::from_utf8_lossy(p).into_owned()).collect();
            buffer.consume(len);
            println!("{name}: {}", words.join(" "));
            let [command, id, fields, _] = &words[..] else { continue };
            let field = |n: &str| fields.split(',').filter_map(|f| f.split_once('=')).find(|f| f.0 == n);
            let item = field("item").map_or("?", |f| f.1);
            if command != "ASK" {
                continue;
            }
            let known = held.lock().is_ok_and(|mut h| !h.insert(item.to_string()));
            let (word, note) = match (known, field("via")) {
                (true, _) => ("served", "warm"),
                (false, Some(_)) => ("served", "fill"),
                (false, None) => ("not_here", ""),
            };
            let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
            let fields = format!("tag={item},minted={now},tell={note}");
            let body = format!("the bytes of {item}\n");
            let body = if word == "served" { body.as_bytes() } else { b"" };
            stream.write_all(&resp::array(&[id.as_bytes(), word.as_bytes(), fields.as_bytes(), body]))?;
        }
    }
}

/// The list of the configuration holds: nothing new, and each second the number of the last event.
fn bus(stream: TcpStream) -> std::io::Result<()> {
    let mut line = String::new();
    BufReader::new(stream.try_clone()?).read_line(&mut line)?;
    println!("bus: {}", line.trim());
    loop {
        writeln!(&stream, "1")?;
        std::thread::sleep(Duration::from_secs(1));
    }
}

fn serve(addr: &str, each: impl Fn(TcpStream) -> std::io::Result<()> + Send + Sync + 'static) {
    let listener = TcpListener::bind(addr).unwrap_or_else(|e| panic!("{addr}: {e}"));
    let each = Arc::new(each);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let each = each.clone();
            std::thread::spawn(move || each(stream));
        }
    });
}

fn main() {
    serve("127.0.0.1:4222", bus);
    for (name, addr) in
        [("cache-1", "127.0.0.1:4201"), ("parent-1", "127.0.0.1:4202"), ("origin-1", "127.0.0.1:4203")]
    {
        let held = Mutex::new(HashSet::new());
        serve(addr, move |stream| node(name, stream, &held));
    }
    println!("toy: bus on 127.0.0.1:4222, nodes on 4201 to 4203");
    loop {
        std::thread::park();
    }
}
