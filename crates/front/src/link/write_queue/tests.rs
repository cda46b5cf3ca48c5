use super::*;
use std::io::Read;
use std::net::TcpListener;
use std::sync::Mutex;

/// A gate with one decision, which notes how far its message was written.
struct Gate {
    decide: fn() -> WriteDecision,
    notified: Mutex<Vec<&'static str>>,
}

impl Gate {
    fn new(decide: fn() -> WriteDecision) -> Arc<Gate> {
        Arc::new(Gate { decide, notified: Mutex::default() })
    }
}

impl SendGate for Gate {
    fn before_first_byte(&self, _: Instant) -> WriteDecision {
        (self.decide)()
    }

    fn first_byte_written(&self) {
        self.notified.lock().expect("no panic").push("first");
    }

    fn last_byte_written(&self) {
        self.notified.lock().expect("no panic").push("last");
    }
}

/// Writes the queue to a connection; what the other side reads of it.
fn write_out(queue: &mut WriteQueue) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let socket = TcpStream::connect(listener.local_addr().expect("bound")).expect("it listens");
    let mut other = listener.accept().expect("it connects").0;
    assert!(matches!(queue.write_to(&socket), Flush::Drained));
    drop(socket);
    let mut read = String::new();
    other.read_to_string(&mut read).expect("text");
    read
}

#[test]
fn a_message_that_its_gate_drops_is_never_written_and_its_bytes_are_released() {
    let total = Arc::new(AtomicUsize::new(0));
    let mut queue = WriteQueue::counted(total.clone());
    let gate = Gate::new(|| WriteDecision::Drop);
    assert!(queue.push(b"dropped".to_vec(), Some(1), Some(gate.clone())));
    assert!(queue.push(b"sent".to_vec(), None, None));
    assert_eq!((queue.bytes(), total.load(Ordering::Relaxed)), (11, 11));
    assert_eq!(write_out(&mut queue), "sent");
    assert_eq!((queue.bytes(), total.load(Ordering::Relaxed)), (0, 0));
    assert!(gate.notified.lock().expect("no panic").is_empty());
}

#[test]
fn a_message_that_its_gate_replaces_is_counted_by_its_new_bytes() {
    let total = Arc::new(AtomicUsize::new(0));
    let mut queue = WriteQueue::counted(total.clone());
    let gate = Gate::new(|| WriteDecision::Replace(b"a longer message".to_vec()));
    assert!(queue.push(b"message".to_vec(), Some(1), Some(gate.clone())));
    assert_eq!(write_out(&mut queue), "a longer message");
    assert_eq!((queue.bytes(), total.load(Ordering::Relaxed)), (0, 0));
    assert_eq!(*gate.notified.lock().expect("no panic"), ["first", "last"]);
}

#[test]
fn a_close_at_once_overrides_a_graceful_one_and_not_the_reverse() {
    let mut queue = WriteQueue::default();
    assert_eq!(queue.close_due(), Ok(None));
    queue.request_close(Close { reason: Reason::Idle, graceful: true });
    assert_eq!(queue.close_due(), Ok(Some(Reason::Idle)));
    assert!(queue.push(b"owed".to_vec(), None, None), "a graceful close still sends");
    queue.request_close(Close { reason: Reason::SlowReader, graceful: false });
    queue.request_close(Close { reason: Reason::Shutdown, graceful: true });
    assert_eq!(queue.close_due(), Err(Reason::SlowReader));
    assert!(!queue.push(b"late".to_vec(), None, None), "one at once does not");
}
