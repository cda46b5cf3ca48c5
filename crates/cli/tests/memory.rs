//! The memory of the program while others make it hold as much as they can: it stays under `memory_mb`, and a
//! usual client is served meanwhile. The limits are the smallest that the operators' pages give.

mod common;

use common::scripted::{encode_call, encode_cancel, read_answer, set_node_address, ScriptedFront};
use common::Node;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// The configured limit of memory, in megabytes.
const MEMORY_MB: u64 = 32;
/// The configured limit of descriptors.
const SOCKETS: u64 = 640;
/// Number of connections that clients may hold at once, next to the usual client's.
const CONNECTIONS: u32 = SOCKETS as u32 / 3 - 5;
/// A class of the example configuration whose calls are reads.
const READ_CLASS: &str = "statement-docs";
/// How long a client waits for its answer, in milliseconds.
const PATIENCE_MS: u64 = 1500;
/// How long the memory is watched after a load was sent, so that everything of it is received.
const SETTLING_TIME: Duration = Duration::from_millis(1000);
/// Number of clients whose calls are incomplete at the same time: together they stay below the limit on
/// incomplete messages.
const CLIENTS_AT_A_TIME: usize = 20;
/// Time between two pieces of a load, in which the front reads the first.
const PIECE_INTERVAL: Duration = Duration::from_millis(20);
/// How often the memory is read.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(5);
/// How long a client of a load waits until the front takes what it sends.
const SEND_TIMEOUT: Duration = Duration::from_secs(5);

/// Held by each test while it runs: the loads take several processors.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

fn run_alone() -> MutexGuard<'static, ()> {
    ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Private memory of a process in kilobytes, without the pages of its program file.
fn private_kb(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let kb = |line: &str| line.split_whitespace().nth(1).and_then(|n| n.parse::<u64>().ok()).unwrap_or(0);
    status.lines().filter(|l| l.starts_with("RssAnon:") || l.starts_with("RssShmem:")).map(kb).sum()
}

/// What a usual client gets during a load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Expected {
    /// Each of its calls is served.
    Served,
    /// Each of its calls is answered in time, maybe with a rejection: the open requests are at their limit.
    Answered,
}

/// A thread that reads the memory of a front, and a usual client that calls all the time.
struct Watch {
    stop: Arc<AtomicBool>,
    memory: JoinHandle<u64>,
    usual: JoinHandle<Vec<String>>,
}

impl Watch {
    fn start(front: &ScriptedFront, expected: Expected) -> Watch {
        let stop = Arc::new(AtomicBool::new(false));
        let (pid, stopped) = (front.child.id(), stop.clone());
        let memory = std::thread::spawn(move || {
            let mut peak = 0;
            while !stopped.load(Ordering::SeqCst) {
                peak = peak.max(private_kb(pid));
                std::thread::sleep(SAMPLE_INTERVAL);
            }
            peak
        });
        let (mut client, stopped) = (front.connect(), stop.clone());
        let usual = std::thread::spawn(move || {
            let mut wrong = Vec::new();
            for call in 1.. {
                let sent = Instant::now();
                let bytes = encode_call(call, READ_CLASS, 1 << 40 | u64::from(call), PATIENCE_MS, &[]);
                let _ = client.write_all(&bytes);
                let answer = read_answer(&mut client);
                let late = sent.elapsed() > Duration::from_millis(PATIENCE_MS + 500);
                let start = match expected {
                    Expected::Served => format!("[1,{call},null,"),
                    Expected::Answered => format!("[1,{call},"),
                };
                if late || !answer.starts_with(&start) {
                    wrong.push(format!("after {:?}: {}", sent.elapsed(), &answer[..answer.len().min(100)]));
                }
                if stopped.load(Ordering::SeqCst) || wrong.len() > 5 {
                    return wrong;
                }
                std::thread::sleep(Duration::from_millis(20));
            }
            wrong
        });
        Watch { stop, memory, usual }
    }

    /// Ends after the load has settled, and checks what was seen.
    fn finish(self, what: &str) {
        std::thread::sleep(SETTLING_TIME);
        self.stop.store(true, Ordering::SeqCst);
        let peak = self.memory.join().expect("the thread does not panic");
        let wrong = self.usual.join().expect("the thread does not panic");
        assert!(peak > 0 && peak <= MEMORY_MB * 1024, "{what}: {peak} KB of {MEMORY_MB} MB in use");
        assert!(wrong.is_empty(), "{what}: the usual client's calls: {wrong:?}");
    }
}

/// Starts the program with the smallest limits and two cache nodes that answer at once.
fn start_front(name: &str) -> ScriptedFront {
    let nodes = [Node::start(), Node::start()];
    ScriptedFront::start_with(name, |c| {
        nodes.iter().enumerate().for_each(|(i, node)| set_node_address(c, i, node.addr));
        c["limits"]["memory_mb"] = MEMORY_MB.into();
        c["limits"]["sockets"] = SOCKETS.into();
    })
}

/// A client that reads and drops whatever is sent to it, on a thread of its own.
fn connect_reader(front: &ScriptedFront) -> TcpStream {
    let stream = front.connect();
    stream.set_write_timeout(Some(SEND_TIMEOUT)).expect("the socket option can be set");
    let mut reader = stream.try_clone().expect("the socket can be cloned");
    std::thread::spawn(move || {
        let mut dropped = [0; 4096];
        while matches!(reader.read(&mut dropped), Ok(n) if n > 0) {}
    });
    stream
}

/// A call of a class that does not exist, with a field of this many bytes.
fn refused_call(number: u32, bytes: usize) -> Vec<u8> {
    encode_call(number, "nonesuch", number.into(), PATIENCE_MS, &[("filler", &"x".repeat(bytes))])
}

/// Clients whose long calls were refused stay connected, some with the first byte of a next call: what is left
/// of a call must not occupy the memory that the longest call needed. Each load is sent in three pieces, the
/// second of which ends inside the last call, so that buffers grow as much as they can.
#[test]
fn connections_of_refused_clients_do_not_occupy_the_memory_of_their_calls() {
    let _alone = run_alone();
    // The lengths of two calls, and how many bytes of a third one follow.
    for (name, lengths, begun) in [
        ("refused-two", [29_000, 56_000], 1),
        ("refused-one", [48_000, 0], 0),
        ("refused-short", [4_000, 5_000], 3),
        ("refused-begun", [56_000, 56_000], 40_000),
    ] {
        let front = start_front(name);
        let watch = Watch::start(&front, Expected::Served);
        let calls: Vec<u8> = lengths.iter().zip(1..).flat_map(|(len, n)| refused_call(n, *len)).collect();
        let all = [&calls[..], &refused_call(3, 50_000)[..begun]].concat();
        let mut clients: Vec<TcpStream> = (0..CONNECTIONS).map(|_| connect_reader(&front)).collect();
        let cuts = [0, lengths[0].min(28_900), calls.len() - 50, all.len()];
        for group in clients.chunks_mut(CLIENTS_AT_A_TIME) {
            for piece in cuts.windows(2).map(|cut| &all[cut[0]..cut[1]]) {
                for client in &mut *group {
                    let _ = client.write_all(piece);
                }
                std::thread::sleep(PIECE_INTERVAL);
            }
        }
        watch.finish(name);
    }
}

/// Every client has as many calls open as it may and takes them back at once: a call that is rejected or
/// cancelled occupies a coroutine until that has run, so their number is limited.
#[test]
fn calls_at_once_on_all_connections_stay_within_the_memory() {
    let _alone = run_alone();
    for (name, cancels) in [("calls-at-once", false), ("calls-cancelled", true)] {
        let front = start_front(name);
        let watch = Watch::start(&front, Expected::Answered);
        let mut clients: Vec<TcpStream> = (0..CONNECTIONS).map(|_| connect_reader(&front)).collect();
        for round in 0..4 {
            for (n, client) in (0..).zip(&mut clients) {
                let trace = |call: u32| 2 << 40 | round << 32 | (n * 64 + u64::from(call));
                let calls = (0..32).map(|c| encode_call(c, READ_CLASS, trace(c), PATIENCE_MS, &[]));
                let cancel = (0..32).map(encode_cancel).filter(|_| cancels);
                let _ = client.write_all(&calls.chain(cancel).flatten().collect::<Vec<u8>>());
            }
        }
        watch.finish(name);
    }
}

/// Clients that read nothing have many short answers waiting: each occupies a multiple of its bytes.
#[test]
fn short_answers_that_are_not_read_count_by_the_memory_that_they_occupy() {
    let _alone = run_alone();
    let mut front = start_front("unread-short");
    let watch = Watch::start(&front, Expected::Served);
    // `[0, 7, "x", []]`, which is refused because the class does not exist.
    let calls = [0x94, 0x00, 0x07, 0xa1, b'x', 0x90].repeat(10_000);
    let threads = [0, 1].map(|_| {
        let (mut client, calls) = (front.connect(), calls.clone());
        client.set_write_timeout(Some(SEND_TIMEOUT)).expect("the socket option can be set");
        std::thread::spawn(move || {
            let _ = (0..60).all(|_| client.write_all(&calls).is_ok());
            client
        })
    });
    let clients = threads.map(|t| t.join().expect("the thread does not panic"));
    front.wait_for_log("reason=slow_reader");
    watch.finish("unread-short");
    drop(clients);
}

/// The event bus sends a line whose parsed form would occupy many times its length: the line is refused or
/// parsed in parts, and discovery goes on.
#[test]
fn a_line_of_the_event_bus_does_not_multiply_in_memory() {
    let _alone = run_alone();
    let mut front = start_front("bus-line");
    assert_eq!(front.step("bus", "<", ""), "from 1");
    let watch = Watch::start(&front, Expected::Served);
    for line in [
        format!(r#"{{"offset":2,"later":[{}]}}"#, vec!["[]"; 300_000].join(",")),
        format!(r#"{{"offset":3,"topology":{{"servers":[{}]}}}}"#, vec!["{}"; 300_000].join(",")),
        format!(r#"{{"offset":4,"ban":{{"url":[{}]}}}}"#, vec!["{\"a\":0}"; 100_000].join(",")),
    ] {
        front.step("bus", ">", &line);
    }
    front.step("bus", ">", r#"{"offset":5,"later":{}}"#);
    front.wait_for_log("bus offset=5");
    watch.finish("bus-line");
}

/// Starts a cache node that begins an answer of several parts on each connection and does not complete it;
/// returns its address.
fn start_node_with_endless_answers() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port can be bound");
    let addr = listener.local_addr().expect("the socket is bound");
    let part = [&b"$300000\r\n"[..], &vec![b'y'; 300_000], b"\r\n"].concat();
    let answer = [&b"*8\r\n"[..], &part.repeat(7), &part[..200_000]].concat();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            let answer = answer.clone();
            std::thread::spawn(move || {
                let mut request = [0; 4096];
                let _ = stream.read(&mut request).and_then(|_| stream.write_all(&answer));
                while matches!(stream.read(&mut request), Ok(n) if n > 0) {}
            });
        }
    });
    addr
}

/// Cache nodes begin answers that are longer than any object, on every connection that the front opens: what
/// is received of them is limited for all connections together.
#[test]
fn answers_of_cache_nodes_that_never_end_stay_within_the_memory() {
    let _alone = run_alone();
    let nodes = [start_node_with_endless_answers(), start_node_with_endless_answers()];
    let front = ScriptedFront::start_with("endless-answers", |c| {
        nodes.iter().enumerate().for_each(|(i, addr)| set_node_address(c, i, *addr));
        c["limits"]["memory_mb"] = MEMORY_MB.into();
        c["limits"]["sockets"] = SOCKETS.into();
    });
    let watch = Watch::start(&front, Expected::Answered);
    let mut clients: Vec<TcpStream> = (0..8).map(|_| connect_reader(&front)).collect();
    for round in 0..4 {
        for (n, client) in (0..).zip(&mut clients) {
            let trace = |call: u32| 3 << 40 | round << 32 | (n * 64 + u64::from(call));
            let calls =
                (0..16).map(|c| encode_call(round as u32 * 16 + c, READ_CLASS, trace(c), PATIENCE_MS, &[]));
            let _ = client.write_all(&calls.flatten().collect::<Vec<u8>>());
        }
        std::thread::sleep(PIECE_INTERVAL);
    }
    watch.finish("endless-answers");
}

/// The event bus lists the largest fleet in one location: a node that gets no request occupies little, since a
/// router of a large location sends to few of its nodes. No client calls meanwhile, because the time that a
/// decision takes grows with the nodes.
#[test]
fn the_largest_fleet_in_one_location_fits_into_the_memory() {
    let _alone = run_alone();
    let mut front = start_front("largest-fleet");
    assert_eq!(front.step("bus", "<", ""), "from 1");
    let node = |n: usize| {
        let addr = format!("127.1.{}.{}:9", n / 256, n % 256);
        serde_json::json!({"id": format!("node-{n}"), "addr": addr, "zone": "edge-1", "kind": "standard",
                           "cell": 0, "state": "Ready", "weight": 1, "started_ms": 0})
    };
    let servers: Vec<_> = (0..3_200).map(node).collect();
    let list = serde_json::json!({"offset": 2, "topology": {"full": false, "servers": servers}});
    front.step("bus", ">", &list.to_string());
    front.wait_for_log("bus offset=2");
    std::thread::sleep(SETTLING_TIME);
    let kb = private_kb(front.child.id());
    assert!(kb > 0 && kb <= MEMORY_MB * 1024, "{kb} KB of {MEMORY_MB} MB in use");
}
