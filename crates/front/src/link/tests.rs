use super::*;
use may::net::TcpStream;
use std::io::Write;
use std::net::TcpListener;

/// The two ends of a connection: the front's as a socket of the `may` crate, and the other side's.
fn connected_pair() -> (TcpStream, std::net::TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port can be bound");
    let front = TcpStream::connect(listener.local_addr().expect("a bound listener has an address"))
        .expect("the front can connect");
    let other = listener.accept().expect("the connection is accepted").0;
    other.set_read_timeout(Some(Duration::from_secs(30))).expect("the read timeout can be set");
    (front, other)
}

/// Runs a link in a coroutine; joining it gives the reason for its end and the received bytes.
fn spawn_link(
    link: &Arc<Link>,
    keeps_open: impl Fn(Reason) -> bool + Send + 'static,
) -> may::coroutine::JoinHandle<(Reason, Vec<u8>)> {
    let link = link.clone();
    may::go!(move || {
        let mut received = Vec::new();
        let receive = |b: &mut Buffer, _: &mut Quantum| {
            received.extend_from_slice(b.data());
            b.consume(usize::MAX);
            Ok(())
        };
        let reason = link.run(receive, keeps_open);
        link.terminate();
        (reason, received)
    })
}

/// Waits until this many bytes have arrived at the front's socket.
fn wait_until_arrived(front: &TcpStream, bytes: usize) {
    let mut peeked = vec![0; bytes];
    while front.inner().peek(&mut peeked).unwrap_or(0) < bytes {
        std::thread::yield_now();
    }
}

/// Reads at the other side until the end; returns the bytes and the error, if one ended it.
fn read_to_end(mut other: &std::net::TcpStream) -> (Vec<u8>, Option<ErrorKind>) {
    let mut all = Vec::new();
    let e = other.read_to_end(&mut all).err().map(|e| e.kind());
    (all, e)
}

fn attached_link(front: TcpStream) -> Arc<Link> {
    let link = Arc::new(Link::default());
    link.attach(front);
    link
}

/// The queued answer is delivered, and the other side sees the end of the stream and no reset, even if it
/// sends calls just before the front closes or after.
#[test]
fn a_graceful_close_delivers_the_last_answer() {
    for crossing in ["nothing", "before", "after"] {
        let (front, mut other) = connected_pair();
        if crossing == "before" {
            other.write_all(b"a call").expect("the other side can send a call");
            wait_until_arrived(&front, 6);
        }
        let link = attached_link(front);
        link.send(b"the last answer".to_vec(), None);
        link.close_gracefully(Reason::Idle);
        let ended = spawn_link(&link, |_| false);
        if crossing == "after" {
            let mut seen = [0; 15];
            other.read_exact(&mut seen).expect("the other side receives the answer");
            assert_eq!(other.read(&mut [0]).expect("the other side can read up to the end"), 0);
            for _ in 0..3 {
                other
                    .write_all(b"a call sent while the link closes")
                    .expect("the front still reads while it closes gracefully");
            }
        } else {
            assert_eq!(read_to_end(&other), (b"the last answer".to_vec(), None), "{crossing}");
        }
        drop(other);
        let (reason, received) = ended.join().expect("the link's coroutine does not panic");
        assert_eq!(reason, Reason::Idle);
        assert_eq!(received, if crossing == "before" { &b"a call"[..] } else { b"" }, "{crossing}");
        assert!(link.send(b"late".to_vec(), None).is_none());
    }
}

/// Input that arrived before a graceful close is received and may cancel the close; an immediate close
/// ignores it.
#[test]
fn a_graceful_close_can_be_cancelled_by_a_call_that_arrived_before_it() {
    for (graceful, stays_open) in [(true, true), (true, false), (false, false)] {
        let (front, mut other) = connected_pair();
        other.write_all(b"a call").expect("the other side can send a call");
        wait_until_arrived(&front, 6);
        let link = attached_link(front);
        if graceful {
            link.close_gracefully(Reason::Idle);
        } else {
            link.close(Reason::SlowReader);
        }
        let ended = spawn_link(&link, move |_| stays_open);
        if stays_open {
            // The link is still open and answers the call.
            while !link.is_drained() || link.is_closing() {
                std::thread::yield_now();
            }
            link.send(b"its answer".to_vec(), None);
            let mut seen = [0; 10];
            other.read_exact(&mut seen).expect("the other side receives the answer");
            assert_eq!(&seen, b"its answer");
            link.close_gracefully(Reason::Shutdown);
            link.close(Reason::Reset); // an immediate close overrides a graceful one
        }
        if !stays_open {
            let _ = read_to_end(&other); // until the front closes its end
        }
        drop(other); // a graceful close waits for the end of the other side
        let (reason, received) = ended.join().expect("the link's coroutine does not panic");
        let expected = if stays_open {
            Reason::Reset
        } else if graceful {
            Reason::Idle
        } else {
            Reason::SlowReader
        };
        assert_eq!(reason, expected);
        assert_eq!(received, if graceful { &b"a call"[..] } else { b"" });
    }
}

/// A graceful close ends within its limits of bytes and time, whatever the other side does.
#[test]
fn a_graceful_close_ends_within_its_limits() {
    // The other side sends without end.
    let (front, other) = connected_pair();
    let link = attached_link(front);
    link.close_gracefully(Reason::Idle);
    let ended = spawn_link(&link, |_| false);
    let mut writes = &other;
    while writes.write_all(&[b'x'; 4096]).is_ok() {}
    assert_eq!(ended.join().expect("the link's coroutine does not panic").0, Reason::Idle);
    // The other side keeps the connection open and sends nothing.
    let (front, other) = connected_pair();
    let link = attached_link(front);
    link.close_gracefully(Reason::Idle);
    let ended = spawn_link(&link, |_| false);
    assert_eq!(read_to_end(&other), (Vec::new(), None));
    let started = Instant::now();
    while !ended.is_done() {
        link.sweep(Instant::now());
        std::thread::yield_now();
        assert!(started.elapsed() < Duration::from_secs(20), "the graceful close does not end");
    }
    drop(other);
}

/// Queued bytes are counted until they are written, retracted or abandoned; the descriptor is released when
/// the connection ends.
#[test]
fn queued_bytes_are_released_when_written_retracted_or_abandoned() {
    let waiting = Arc::new(MemoryAccount::default());
    for read in [true, false] {
        let (front, mut other) = connected_pair();
        let link = Arc::new(Link::with_accounts(InputSettings::default(), waiting.clone()));
        link.attach(front);
        let ended = spawn_link(&link, |_| false);
        // More than the socket buffers of both ends hold.
        link.send(vec![b'x'; 32 << 20], None);
        link.send(vec![b'y'; 1000], Some(7));
        let (queued_bytes, memory) = (link.unwritten_bytes(), waiting.used());
        assert!(queued_bytes > 1000 && memory >= queued_bytes && !link.is_drained());
        assert!(link.retract(7) && !link.retract(7));
        assert_eq!(link.unwritten_bytes() % (32 << 20), queued_bytes - 1000);
        assert_eq!(waiting.used(), memory - crate::memory::block_memory(1000));
        assert!(link
            .stalled_for(Instant::now() + Duration::from_secs(9))
            .is_some_and(|t| t > Duration::from_secs(8)));
        if read {
            let mut all = vec![0; 32 << 20];
            other.read_exact(&mut all).expect("the other side receives all bytes");
            assert!(link.stalled_for(Instant::now()).is_none());
            assert_eq!(
                (link.unwritten_bytes(), waiting.used()),
                (0, 0),
                "bytes are released with the last byte written, not with the next answer"
            );
        }
        let end = if read { Reason::PeerClosed } else { Reason::SlowReader };
        if read {
            other.shutdown(Shutdown::Write).expect("the sending half can be shut down");
        } else {
            link.close(end);
        }
        assert_eq!(ended.join().expect("the link's coroutine does not panic").0, end);
        assert_eq!(waiting.used(), 0);
        // The descriptor is released although the link is still referenced.
        let (_, e) = read_to_end(&other);
        assert!(matches!(e, None | Some(ErrorKind::ConnectionReset)));
    }
}
