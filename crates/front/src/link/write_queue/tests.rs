use super::*;
use std::io::Read;
use std::net::TcpListener;
use std::sync::Mutex;

/// A gate that always makes the same decision, and records how far its message was written.
struct FixedGate {
    decide: fn() -> WriteDecision,
    notified: Mutex<Vec<&'static str>>,
}

impl FixedGate {
    fn new(decide: fn() -> WriteDecision) -> Arc<FixedGate> {
        Arc::new(FixedGate { decide, notified: Mutex::default() })
    }
}

impl SendGate for FixedGate {
    fn before_first_byte(&self, _: Instant) -> WriteDecision {
        (self.decide)()
    }

    fn first_byte_written(&self) {
        self.notified.lock().expect("no holder of the lock has panicked").push("first");
    }

    fn last_byte_written(&self) {
        self.notified.lock().expect("no holder of the lock has panicked").push("last");
    }
}

/// Writes the whole queue to a connection; returns the text that the other side reads.
fn write_out(queue: &mut WriteQueue) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port can be bound");
    let socket = TcpStream::connect(listener.local_addr().expect("a bound listener has an address"))
        .expect("the listener can be connected to");
    let mut other = listener.accept().expect("the connection is accepted").0;
    assert!(matches!(queue.write_to(&socket), Flush::Drained));
    drop(socket);
    let mut read = String::new();
    other.read_to_string(&mut read).expect("the written bytes are UTF-8 text");
    read
}

#[test]
fn a_message_that_its_gate_drops_is_never_written_and_its_bytes_are_released() {
    let total = Arc::new(MemoryAccount::default());
    let mut queue = WriteQueue::with_account(total.clone());
    let gate = FixedGate::new(|| WriteDecision::Drop);
    assert!(queue.push(b"dropped".to_vec(), Some(1), Some(gate.clone())));
    assert!(queue.push(b"sent".to_vec(), None, None));
    assert_eq!((queue.bytes(), total.used()), (11, 11));
    assert_eq!(write_out(&mut queue), "sent");
    assert_eq!((queue.bytes(), total.used()), (0, 0));
    assert!(gate.notified.lock().expect("no holder of the lock has panicked").is_empty());
}

#[test]
fn a_message_that_its_gate_replaces_is_counted_by_its_new_bytes() {
    let total = Arc::new(MemoryAccount::default());
    let mut queue = WriteQueue::with_account(total.clone());
    let gate = FixedGate::new(|| WriteDecision::Replace(b"a longer message".to_vec()));
    assert!(queue.push(b"message".to_vec(), Some(1), Some(gate.clone())));
    assert_eq!(write_out(&mut queue), "a longer message");
    assert_eq!((queue.bytes(), total.used()), (0, 0));
    assert_eq!(*gate.notified.lock().expect("no holder of the lock has panicked"), ["first", "last"]);
}

#[test]
fn an_immediate_close_overrides_a_graceful_one_and_not_the_reverse() {
    let mut queue = WriteQueue::default();
    assert_eq!(queue.close_due(), Ok(None));
    queue.request_close(Close { reason: Reason::Idle, graceful: true });
    assert_eq!(queue.close_due(), Ok(Some(Reason::Idle)));
    assert!(queue.push(b"owed".to_vec(), None, None), "messages are accepted during a graceful close");
    queue.request_close(Close { reason: Reason::SlowReader, graceful: false });
    queue.request_close(Close { reason: Reason::Shutdown, graceful: true });
    assert_eq!(queue.close_due(), Err(Reason::SlowReader));
    assert!(!queue.push(b"late".to_vec(), None, None), "messages are rejected after an immediate close");
}
