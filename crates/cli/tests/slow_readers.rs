//! Clients that read their answers slowly, against the program over real sockets. The system takes some
//! megabytes of answers for a client at once, so a front that has written all answers may be seconds ahead of
//! the client; a close then loses what the client has not read.

mod common;

use common::scripted::{encode_call, set_node_address, ScriptedFront};
use common::{send_admin_command, Node};
use serde_json::Value as Json;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// A class of the example configuration whose calls are reads.
const READ_CLASS: &str = "statement-docs";
/// Length of the largest object.
const BODY_BYTES: usize = 240_000;
/// How long a client waits for an answer to begin, in milliseconds.
const PATIENCE_MS: u64 = 5000;
/// Time after `evacuate` in which every connection that is not in use is to be closed.
const EVACUATION_TIME: Duration = Duration::from_secs(4);
/// Longest time between two reads of a client.
const READ_INTERVAL: Duration = Duration::from_millis(20);

/// How a client reads.
#[derive(Clone, Copy, Debug)]
struct Pace {
    bytes_per_second: usize,
    /// Size of the socket's receive buffer; `None`: as the system sets it.
    receive_buffer: Option<usize>,
}

/// A client that reads at a steady pace and counts the answers that arrived whole.
struct SlowReader {
    stream: TcpStream,
    pace: Pace,
    started: Instant,
    received: usize,
    unparsed: Vec<u8>,
    /// The answers that arrived whole: the call's number, and the error if it is one.
    answers: Vec<(u64, Option<String>)>,
    /// How the connection ended.
    end: Option<String>,
}

impl SlowReader {
    fn connect(front: &str, pace: Pace) -> SlowReader {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)
            .expect("a socket can be created");
        if let Some(size) = pace.receive_buffer {
            socket.set_recv_buffer_size(size).expect("the socket option can be set");
        }
        let addr: SocketAddr = front.parse().expect("the front's address is valid");
        socket.connect(&addr.into()).expect("the front accepts the connection");
        let stream = TcpStream::from(socket);
        stream.set_read_timeout(Some(READ_INTERVAL)).expect("the socket option can be set");
        SlowReader {
            stream,
            pace,
            started: Instant::now(),
            received: 0,
            unparsed: Vec::new(),
            answers: Vec::new(),
            end: None,
        }
    }

    fn send_calls(&mut self, numbers: std::ops::RangeInclusive<u32>) {
        self.send_calls_of_size(numbers, "40");
    }

    /// Sends calls that state this size, in KB.
    fn send_calls_of_size(&mut self, numbers: std::ops::RangeInclusive<u32>, size: &str) {
        for n in numbers {
            let trace = u64::from(self.stream.local_addr().map_or(0, |a| a.port())) << 32 | u64::from(n);
            let call = encode_call(n, READ_CLASS, trace, PATIENCE_MS, &[("size", size)]);
            if let Err(e) = self.stream.write_all(&call) {
                self.end = Some(e.to_string());
            }
        }
    }

    /// Reads at the client's pace until `until` after the start, or until the connection ends or there are
    /// `answers` whole answers.
    fn read(&mut self, until: Duration, answers: usize) {
        let mut chunk = vec![0; (self.pace.bytes_per_second / 50).min(20_000)];
        while self.started.elapsed() < until && self.end.is_none() && self.answers.len() < answers {
            let due = Duration::from_secs_f64(self.received as f64 / self.pace.bytes_per_second as f64);
            std::thread::sleep(due.saturating_sub(self.started.elapsed()).min(READ_INTERVAL));
            if self.started.elapsed() < due {
                continue;
            }
            match self.stream.read(&mut chunk) {
                Ok(0) => self.end = Some("closed".into()),
                Ok(n) => self.take(&chunk[..n]),
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(e) => self.end = Some(e.to_string()),
            }
        }
    }

    fn take(&mut self, bytes: &[u8]) {
        self.received += bytes.len();
        self.unparsed.extend_from_slice(bytes);
        let mut rest = &self.unparsed[..];
        while let Ok(answer) = rmpv::decode::read_value(&mut rest) {
            let body = answer[3][0].as_slice().map_or(0, <[u8]>::len);
            let error = answer[2][0].as_str().map(str::to_string);
            assert!(error.is_some() || body == BODY_BYTES, "an answer has {body} bytes");
            self.answers.push((answer[1].as_u64().expect("the answer has a call number"), error));
            let consumed = self.unparsed.len() - rest.len();
            self.unparsed.drain(..consumed);
            rest = &self.unparsed[..];
        }
    }

    fn served(&self) -> usize {
        self.answers.iter().filter(|(_, error)| error.is_none()).count()
    }

    /// Describes the client for the message of a failed test.
    fn state(&self) -> String {
        let (served, pace, at) = (self.served(), self.pace, self.started.elapsed());
        format!("{pace:?}: {served} served after {at:?}, {} bytes, end {:?}", self.received, self.end)
    }
}

/// Starts the program with two cache nodes that send the largest objects.
fn start_front(name: &str, change: impl Fn(&mut Json)) -> ScriptedFront {
    let nodes = [Node::start(), Node::start()];
    nodes.iter().for_each(|n| n.state.body_bytes.store(BODY_BYTES, Ordering::SeqCst));
    ScriptedFront::start_with_nodes(name, &nodes, |c| {
        c["limits"]["memory_mb"] = 192.into();
        change(c);
    })
}

/// A client reads its answers without a pause, and sends its next call on the same connection more than 5 s
/// after the last answer was written but before it has read all: the connection must not be closed as idle
/// meanwhile, whatever the client's speed and wherever the bytes wait. Each client is a thread.
#[test]
fn a_connection_is_not_idle_while_its_client_reads_answers() {
    let front = start_front("slow-idle", |_| {});
    let clients = [
        (1_000_000, Some(262_144), 32, 6200),
        (1_000_000, Some(8_000_000), 32, 6200),
        (500_000, None, 16, 6500),
        (300_000, Some(262_144), 12, 8500),
        (150_000, Some(65_536), 8, 11_000),
        (100_000, None, 5, 10_500),
    ];
    let threads = clients.map(|(bytes_per_second, receive_buffer, calls, next_ms)| {
        let addr = front.addr.clone();
        std::thread::spawn(move || {
            let mut client = SlowReader::connect(&addr, Pace { bytes_per_second, receive_buffer });
            client.send_calls(1..=calls);
            client.read(Duration::from_millis(next_ms), calls as usize);
            if client.end.is_none() {
                client.send_calls(calls + 1..=calls + 1);
            }
            client.read(Duration::from_secs(25), calls as usize + 1);
            (client.served() == calls as usize + 1, client.state())
        })
    });
    let results = threads.map(|t| t.join().expect("the client's thread does not panic"));
    assert!(results.iter().all(|(all_served, _)| *all_served), "{results:#?}");
}

/// A client reads its answers without a pause and begins a call that it sends byte by byte, over longer than a
/// call may take: it gets all its answers before the connection is closed for that.
#[test]
fn a_client_gets_its_answers_before_a_partial_message_closes_its_connection() {
    let front = start_front("slow-part", |_| {});
    let calls = 12;
    let pace = Pace { bytes_per_second: 500_000, receive_buffer: Some(262_144) };
    let mut client = SlowReader::connect(&front.addr, pace);
    client.send_calls(1..=calls);
    let next = encode_call(calls + 1, READ_CLASS, 99, PATIENCE_MS, &[]);
    for (second, byte) in (1..=5).zip(&next) {
        client.read(Duration::from_secs(second), calls as usize);
        let _ = client.stream.write_all(&[*byte]);
    }
    client.read(Duration::from_secs(20), calls as usize);
    assert_eq!(client.served(), calls as usize, "{}", client.state());
}

/// Starts the program like [`start_front`] with an admin interface; returns that interface's address too.
fn start_front_with_admin(name: &str) -> (ScriptedFront, String) {
    let nodes = [Node::start(), Node::start()];
    nodes.iter().for_each(|n| n.state.body_bytes.store(BODY_BYTES, Ordering::SeqCst));
    let admin = {
        let free = std::net::TcpListener::bind("127.0.0.1:0").expect("a loopback port can be bound");
        free.local_addr().expect("the socket is bound").to_string()
    };
    let front = ScriptedFront::start_prepared(
        name,
        Vec::new(),
        |c| nodes.iter().enumerate().for_each(|(i, n)| set_node_address(c, i, n.addr)),
        |command| {
            command.env("RELAY_OPS", &admin);
        },
    );
    (front, admin)
}

/// The front is evacuated while a client reads its answers: a call that the client sends meanwhile is rejected
/// and not dropped, and the connection is closed once the client has read all.
#[test]
fn an_evacuated_front_closes_a_connection_only_when_its_client_has_read_the_answers() {
    let (mut front, admin) = start_front_with_admin("slow-evacuation");
    let calls = 16;
    let pace = Pace { bytes_per_second: 1_000_000, receive_buffer: Some(262_144) };
    let mut client = SlowReader::connect(&front.addr, pace);
    client.send_calls(1..=calls);
    client.read(Duration::from_millis(500), calls as usize);
    assert_eq!(send_admin_command(&admin, "evacuate\n"), "200 evacuating\n");
    client.read(Duration::from_millis(2000), calls as usize);
    client.send_calls(calls + 1..=calls + 1);
    client.read(Duration::from_secs(20), calls as usize + 1);
    assert_eq!(client.served(), calls as usize, "{}", client.state());
    assert_eq!(client.answers.last(), Some(&(u64::from(calls) + 1, Some("Shed".into()))));
    client.read(Duration::from_secs(20), usize::MAX);
    assert_eq!(client.end.as_deref(), Some("closed"));
    assert!(front.wait_for_log("kind=client").contains("reason=shutdown"));
}

/// The front is evacuated while a client calls every few milliseconds: its connection is closed in time. A
/// client's system may acknowledge a rejection only with the next call, so a close that waits for
/// acknowledgements may never find everything acknowledged.
#[test]
fn an_evacuated_front_closes_the_connection_of_a_client_that_keeps_calling() {
    let (front, admin) = start_front_with_admin("busy-evacuation");
    let pace = Pace { bytes_per_second: 100_000_000, receive_buffer: None };
    let mut client = SlowReader::connect(&front.addr, pace);
    let mut evacuated_at = None;
    for n in 1.. {
        client.send_calls(n..=n);
        client.read(Duration::MAX, n as usize);
        std::thread::sleep(Duration::from_millis(3));
        if n == 100 {
            assert_eq!(send_admin_command(&admin, "evacuate\n"), "200 evacuating\n");
            evacuated_at = Some(Instant::now());
        }
        let elapsed = evacuated_at.map(|at| at.elapsed()).unwrap_or_default();
        assert!(elapsed < EVACUATION_TIME, "the connection is still open after {elapsed:?}");
        if client.end.is_some() {
            break;
        }
    }
    assert!(client.answers.len() >= 100, "{}", client.state());
}

/// Clients, each with as many open calls for the largest objects as it may have, and the
/// time between two clients.
const CLIENTS: u32 = 8;
const OPEN_CALLS: u32 = 32;
const CLIENT_INTERVAL: Duration = Duration::from_millis(192);
/// Memory of the front, in megabytes, that is less than the answers to all calls together.
const SMALL_MEMORY_MB: usize = 64;

/// Many clients that read 1 MB a second request more than the front's memory can hold. Connections were closed
/// with unanswered calls when the unread answers exceeded their limit, since calls were sent to cache nodes
/// without regard to the memory of their answers. Now each call is answered and most are served: with the
/// sizes that clients state, with sizes that say nothing, and if all send at once.
#[test]
fn slow_readers_get_an_answer_to_each_call_when_memory_is_short() {
    for (name, size, interval) in [
        ("memory-600", "600", CLIENT_INTERVAL),
        ("memory-40", "40", CLIENT_INTERVAL),
        ("memory-burst", "600", Duration::ZERO),
    ] {
        let front = start_front(name, |c| {
            c["limits"]["memory_mb"] = SMALL_MEMORY_MB.into();
            c["limits"]["sockets"] = 512.into();
        });
        let clients: Vec<_> = (0..CLIENTS)
            .map(|n| {
                let addr = front.addr.clone();
                std::thread::spawn(move || {
                    std::thread::sleep(interval * n);
                    let pace = Pace { bytes_per_second: 1_000_000, receive_buffer: None };
                    let mut client = SlowReader::connect(&addr, pace);
                    client.send_calls_of_size(1..=OPEN_CALLS, size);
                    client.read(Duration::from_secs(25), OPEN_CALLS as usize);
                    (client.answers.len(), client.served(), client.state())
                })
            })
            .collect();
        let results: Vec<_> = clients.into_iter().map(|c| c.join().expect("no panic")).collect();
        let served: usize = results.iter().map(|(_, served, _)| served).sum();
        assert!(results.iter().all(|(answers, ..)| *answers == OPEN_CALLS as usize), "{name}: {results:#?}");
        assert!(served * 2 > (CLIENTS * OPEN_CALLS) as usize, "{name}: {served} served, {results:#?}");
        let status = std::fs::read_to_string(format!("/proc/{}/status", front.child.id()));
        let peak_kb = status.ok().and_then(|s| {
            s.lines()
                .find_map(|l| l.strip_prefix("VmHWM:")?.trim().strip_suffix(" kB")?.parse::<usize>().ok())
        });
        assert!(peak_kb.is_some_and(|kb| kb <= SMALL_MEMORY_MB * 1024), "{name}: {peak_kb:?} KB at most");
        println!("{name}: {served} served, {peak_kb:?} KB at most");
    }
}
