//! Input without end on one socket, against the program over real sockets: the front goes on to serve its
//! other sockets, its timers and its signals. One worker thread runs all of them, and it polls the sockets
//! only when no coroutine is ready.

mod common;

use common::scripted::{
    encode_call, encode_cancel, encode_health_check, next_line, read_answer, set_node_address, ScriptedFront,
};
use common::{wait_until, Node};
use serde_json::{json, Value as Json};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// A class of the example configuration whose calls are reads.
const READ_CLASS: &str = "statement-docs";
/// How long a client waits for its answer, in milliseconds.
const PATIENCE_MS: u64 = 1500;
/// Latest time of an answer: the client's patience, and half a second for which an answer only earns nothing.
const LATEST_ANSWER: Duration = Duration::from_millis(PATIENCE_MS + 500);
/// How long a flood lasts: longer than any answer may take, so that waiting for its end fails the test.
const FLOOD_PERIOD: Duration = Duration::from_secs(6);
/// Longest time until a purge is read: a second after it counts as told, as the settings give it.
const PURGE_NOTICED: Duration = Duration::from_millis(1000);
/// Longest time until SIGTERM is noticed: new work is to be refused 0.7 s after it.
const SIGNAL_NOTICED: Duration = Duration::from_millis(700);
/// Time from SIGTERM to SIGKILL: the longest deadline of the example configuration, and 0.7 s.
const KILL_DELAY: Duration = Duration::from_millis(5700);
/// Number of messages that a flood writes at once.
const MESSAGES_AT_ONCE: usize = 900;

/// Held by each test while it runs: a flood takes several processors, and the tests measure times.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

fn run_alone() -> MutexGuard<'static, ()> {
    ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Threads that send to the front without a pause until they are stopped or [`FLOOD_PERIOD`] is over.
struct Flood {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Flood {
    /// Starts `count` threads that call `write` again and again; a thread ends when `write` returns `false`.
    fn start<W: FnMut() -> bool + Send + 'static>(count: usize, prepare: impl Fn() -> W) -> Flood {
        let (stop, writes) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
        let threads = (0..count)
            .map(|_| {
                let (stop, writes, mut write) = (stop.clone(), writes.clone(), prepare());
                std::thread::spawn(move || {
                    let end = Instant::now() + FLOOD_PERIOD;
                    while !stop.load(Ordering::SeqCst) && Instant::now() < end && write() {
                        writes.fetch_add(1, Ordering::SeqCst);
                    }
                })
            })
            .collect();
        let flood = Flood { stop, threads };
        wait_until("the flood has begun", || writes.load(Ordering::SeqCst) >= 50);
        flood
    }

    /// Client connections that send `message` without a pause and read whatever is sent to them.
    fn of_clients(front: &ScriptedFront, count: usize, message: &[u8]) -> Flood {
        Flood::start(count, || {
            let mut client = front.connect();
            let batch = message.repeat(MESSAGES_AT_ONCE);
            read_without_end(&client);
            move || client.write_all(&batch).is_ok()
        })
    }

    fn stop(self) {
        self.stop.store(true, Ordering::SeqCst);
        for thread in self.threads {
            thread.join().expect("a thread of the flood does not panic");
        }
    }
}

/// Reads and drops everything that arrives, on a thread of its own.
fn read_without_end(stream: &TcpStream) {
    let mut reader = stream.try_clone().expect("the socket can be cloned");
    std::thread::spawn(move || {
        let mut dropped = [0; 65536];
        while matches!(reader.read(&mut dropped), Ok(n) if n > 0) {}
    });
}

/// Starts the program with two cache nodes that answer at once; `change` edits the configuration further.
fn start_front_with(name: &str, change: impl Fn(&mut Json)) -> ScriptedFront {
    ScriptedFront::start_with_nodes(name, &[Node::start(), Node::start()], change)
}

/// Makes calls on an old and on a new connection, one after another, and checks that each is answered before
/// [`LATEST_ANSWER`]; an error is an answer.
fn assert_others_are_answered(front: &ScriptedFront, old: &mut TcpStream, first_call: u32, what: &str) {
    for call in first_call..first_call + 10 {
        let mut new = front.connect();
        assert_answered(old, call, call * 2, what);
        assert_answered(&mut new, call, call * 2 + 1, what);
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Makes a call and checks that it is answered before [`LATEST_ANSWER`]; an error is an answer.
fn assert_answered(client: &mut TcpStream, call: u32, trace: u32, what: &str) {
    let started = Instant::now();
    let bytes = encode_call(call, READ_CLASS, trace.into(), PATIENCE_MS, &[]);
    client.write_all(&bytes).expect("the front reads");
    let answer = read_answer(client);
    let took = started.elapsed();
    assert!(answer.starts_with(&format!("[1,{call},")), "{what}, call {call}: {answer}");
    assert!(took < LATEST_ANSWER, "{what}, call {call}: answered after {took:?}");
}

/// A client whose calls are turned away, or need no answer, sends without a pause: no other client waits for
/// the end of its input.
#[test]
fn a_client_that_sends_without_a_pause_delays_no_other_client() {
    let _alone = run_alone();
    let front = start_front_with("client-flood", |_| {});
    let mut old = front.connect();
    let unknown_class = encode_call(1, "nonesuch", 1, 1000, &[]);
    let floods = [
        ("one client, unknown class", 1, unknown_class.clone()),
        ("four clients, unknown class", 4, unknown_class),
        ("two clients, health checks", 2, encode_health_check(1)),
        ("two clients, cancels of unknown calls", 2, encode_cancel(7)),
    ];
    for (round, (what, count, message)) in floods.into_iter().enumerate() {
        let flood = Flood::of_clients(&front, count, &message);
        assert_others_are_answered(&front, &mut old, 1 + 10 * round as u32, what);
        flood.stop();
    }
}

/// Events from the bus and signals are noticed while a client sends without a pause: a purge that is read late
/// lets outdated copies through, and a process that notices SIGTERM late is killed with calls open.
#[test]
fn a_client_that_sends_without_a_pause_delays_neither_the_event_bus_nor_sigterm() {
    let _alone = run_alone();
    let mut front = start_front_with("signal-flood", |_| {});
    front.step("bus", "<", "");
    let flood = Flood::of_clients(&front, 1, &encode_call(1, "nonesuch", 1, 1000, &[]));
    let purged = Instant::now();
    front.step("bus", ">", &json!({"offset": 2, "ban": {"tag": 1, "ts": 1_764_576_000_000_u64}}).to_string());
    front.wait_for_log("bus offset=2");
    assert!(purged.elapsed() < PURGE_NOTICED, "the purge was read after {:?}", purged.elapsed());
    let signalled = Instant::now();
    front.signal("TERM");
    front.wait_for_log("leaving: SIGTERM");
    assert!(signalled.elapsed() < SIGNAL_NOTICED, "SIGTERM was noticed after {:?}", signalled.elapsed());
    let (code, _) = front.wait_for_exit();
    assert_eq!(code, Some(0));
    assert!(signalled.elapsed() < KILL_DELAY, "the process ended after {:?}", signalled.elapsed());
    flood.stop();
}

/// A cache node that sends answers to unknown requests without a pause delays no client.
#[test]
fn a_cache_node_that_sends_without_a_pause_delays_no_client() {
    let _alone = run_alone();
    let flooding = TcpListener::bind("127.0.0.1:0").expect("a loopback port can be bound");
    let addr = flooding.local_addr().expect("the socket is bound");
    let front = start_front_with("node-flood", |c| set_node_address(c, 0, addr));
    let mut old = front.connect();
    // The first call opens a connection to each node at the latest when it is attempted again.
    std::thread::spawn(move || {
        let answer = fernslip_front::resp::encode_array(&[b"00000000000000ff", b"not_here", b"-", b""]);
        let batch = answer.repeat(MESSAGES_AT_ONCE);
        let end = Instant::now() + FLOOD_PERIOD;
        for mut stream in flooding.incoming().flatten() {
            let batch = batch.clone();
            std::thread::spawn(move || while Instant::now() < end && stream.write_all(&batch).is_ok() {});
        }
    });
    assert_others_are_answered(&front, &mut old, 1, "cache node");
}

/// An event bus that repeats events without a pause delays no client.
#[test]
fn an_event_bus_that_sends_without_a_pause_delays_no_client() {
    let _alone = run_alone();
    let mut front = start_front_with("bus-flood", |_| {});
    let mut old = front.connect();
    let bus = front.servers.get_mut("bus").expect("the scripted server exists");
    bus.next_message(next_line);
    let mut stream = bus.connections[0].stream.try_clone().expect("the socket can be cloned");
    let batch = b"1\n".repeat(MESSAGES_AT_ONCE);
    let flood = Flood::start(1, || {
        let (mut stream, batch) = (stream.try_clone().expect("the socket can be cloned"), batch.clone());
        move || stream.write_all(&batch).is_ok()
    });
    assert_others_are_answered(&front, &mut old, 1, "event bus");
    flood.stop();
    let _ = stream.flush();
}

/// Datagrams at the port for peers, from a peer or from others, delay no client.
#[test]
fn datagrams_without_a_pause_delay_no_client() {
    let _alone = run_alone();
    let port = {
        let free = UdpSocket::bind("127.0.0.1:0").expect("a loopback port can be bound");
        free.local_addr().expect("the socket is bound").port()
    };
    let at = format!("127.0.0.1:{port}");
    let front = start_front_with("datagram-flood", |c| c["peer_listen"] = at.as_str().into());
    let mut old = front.connect();
    let flood = Flood::start(4, || {
        let socket = UdpSocket::bind("127.0.0.1:0").expect("a loopback port can be bound");
        socket.connect(&at).expect("a loopback address can be connected to");
        move || (0..100).all(|_| socket.send(&[0; 8]).is_ok())
    });
    assert_others_are_answered(&front, &mut old, 1, "datagrams");
    flood.stop();
}

/// Clients that connect and leave without a pause delay no client that is connected. While they use up the
/// descriptors, the first request on a new connection may be turned away; afterwards it may not.
#[test]
fn connections_without_a_pause_delay_no_client() {
    let _alone = run_alone();
    let front = start_front_with("connection-flood", |_| {});
    let mut old = front.connect();
    let flood = Flood::start(4, || {
        let addr = front.addr.clone();
        move || {
            if let Ok(stream) = TcpStream::connect(&addr) {
                // Closed with a reset, so that no port stays in use.
                let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            }
            true
        }
    });
    for call in 1..=10 {
        assert_answered(&mut old, call, call, "connections");
    }
    flood.stop();
    assert_others_are_answered(&front, &mut old, 11, "after the connections");
}
