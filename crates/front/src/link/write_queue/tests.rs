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
    let account = Arc::new(MemoryAccount::default());
    let mut queue = WriteQueue::with_account(account.clone());
    let gate = FixedGate::new(|| WriteDecision::Drop);
    assert!(queue.push(b"dropped".to_vec(), Some(1), Some(gate.clone())));
    assert!(queue.push(b"sent".to_vec(), None, None));
    let entries = block_memory(queue.messages.capacity() * size_of::<QueuedMessage>());
    let memory = block_memory(7) + block_memory(4) + entries;
    assert_eq!((queue.bytes(), queue.memory(), account.used()), (11, memory, memory));
    assert_eq!(write_out(&mut queue), "sent");
    assert_eq!((queue.bytes(), queue.memory(), account.used()), (0, 0, 0));
    assert!(gate.notified.lock().expect("no holder of the lock has panicked").is_empty());
}

#[test]
fn a_message_that_its_gate_replaces_is_counted_by_its_new_bytes() {
    let account = Arc::new(MemoryAccount::default());
    let mut queue = WriteQueue::with_account(account.clone());
    let gate = FixedGate::new(|| WriteDecision::Replace(b"a longer message".to_vec()));
    assert!(queue.push(b"message".to_vec(), Some(1), Some(gate.clone())));
    assert_eq!(write_out(&mut queue), "a longer message");
    assert_eq!((queue.bytes(), queue.memory(), account.used()), (0, 0, 0));
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

/// Fills a connection whose other side does not read until the system takes no more, and returns both ends.
fn write_until_blocked(queue: &mut WriteQueue) -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port can be bound");
    let socket = TcpStream::connect(listener.local_addr().expect("a bound listener has an address"))
        .expect("the listener can be connected to");
    let other = listener.accept().expect("the connection is accepted").0;
    socket.set_nonblocking(true).expect("the socket option can be set");
    while !matches!(queue.write_to(&socket), Flush::Blocked) {
        assert!(queue.push(vec![b'x'; 1 << 20], None, None));
    }
    (socket, other)
}

/// Answers that a client does not read count by the memory that they occupy: short ones take many times their
/// bytes, and a long one whose last bytes wait must not occupy its whole length.
#[test]
fn queued_answers_count_by_their_memory_and_written_bytes_are_released() {
    let account = Arc::new(MemoryAccount::default());
    let mut queue = WriteQueue::with_account(account.clone());
    let (socket, mut other) = write_until_blocked(&mut queue);
    for _ in 0..1000 {
        assert!(queue.push(b"short".to_vec(), None, None));
    }
    let entries = queue.messages.iter().map(QueuedMessage::memory).sum::<usize>();
    assert_eq!(
        account.used(),
        entries + block_memory(queue.messages.capacity() * size_of::<QueuedMessage>())
    );
    assert!(account.used() > queue.bytes() + 1000 * size_of::<QueuedMessage>());
    let mut received = vec![0; 1 << 16];
    while queue.bytes() > 0 {
        other.read_exact(&mut received[..1 << 14]).expect("bytes arrive");
        let _ = queue.write_to(&socket);
        let first = queue.messages.front().map_or(0, |m| m.bytes.len() - m.written);
        let most = 2 * first.max(MIN_RELEASED_BYTES) + crate::memory::ALLOCATION_OVERHEAD;
        let memory = queue.messages.front().map_or(0, QueuedMessage::memory);
        assert!(memory <= most, "{first} bytes of a message occupy {memory}");
    }
    assert_eq!(account.used(), 0, "a queue releases its memory when it is empty");
}
