use super::*;
use may::net::TcpStream;
use std::io::Write;
use std::net::TcpListener;
use std::sync::atomic::Ordering;

/// Two ends of a connection: the front's, as may's socket, and the other side's.
fn connection() -> (TcpStream, std::net::TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let front = TcpStream::connect(listener.local_addr().expect("bound")).expect("it listens");
    let other = listener.accept().expect("it came").0;
    other.set_read_timeout(Some(Duration::from_secs(30))).expect("a socket option");
    (front, other)
}

/// Runs a link to its end; the reason of that and the bytes that were read.
fn run(
    link: &Arc<Link>,
    keeps_open: impl Fn(Reason) -> bool + Send + 'static,
) -> may::coroutine::JoinHandle<(Reason, Vec<u8>)> {
    let link = link.clone();
    may::go!(move || {
        let mut received = Vec::new();
        let receive = |b: &mut Buffer| {
            received.extend_from_slice(b.data());
            b.consume(usize::MAX);
            Ok(())
        };
        let reason = link.run(receive, keeps_open);
        link.terminate();
        (reason, received)
    })
}

/// Waits until the other side's bytes have come to the front's socket.
fn wait_until_arrived(front: &TcpStream, bytes: usize) {
    let mut peeked = vec![0; bytes];
    while front.inner().peek(&mut peeked).unwrap_or(0) < bytes {
        std::thread::yield_now();
    }
}

/// Everything that the other side reads until the end; the error that it ended with.
fn read_to_end(mut other: &std::net::TcpStream) -> (Vec<u8>, Option<ErrorKind>) {
    let mut all = Vec::new();
    let e = other.read_to_end(&mut all).err().map(|e| e.kind());
    (all, e)
}

fn attached(front: TcpStream) -> Arc<Link> {
    let link = Arc::new(Link::default());
    link.attach(front);
    link
}

/// What is owed goes out, and the other side sees an end and no reset, although it goes on sending: bytes that came
/// before the close, in the same moment, and after it.
#[test]
fn a_graceful_close_loses_no_answer() {
    for crossing in ["nothing", "before", "after"] {
        let (front, mut other) = connection();
        if crossing == "before" {
            other.write_all(b"a call").expect("it is sent");
            wait_until_arrived(&front, 6);
        }
        let link = attached(front);
        link.send(b"the last answer".to_vec(), None);
        link.close_gracefully(Reason::Idle);
        let ended = run(&link, |_| false);
        if crossing == "after" {
            let mut seen = [0; 15];
            other.read_exact(&mut seen).expect("the answer");
            assert_eq!(other.read(&mut [0]).expect("the end"), 0);
            for _ in 0..3 {
                other.write_all(b"a call that crosses").expect("the front still reads");
            }
        } else {
            assert_eq!(read_to_end(&other), (b"the last answer".to_vec(), None), "{crossing}");
        }
        drop(other);
        let (reason, received) = ended.join().expect("no panic");
        assert_eq!(reason, Reason::Idle);
        assert_eq!(received, if crossing == "before" { &b"a call"[..] } else { b"" }, "{crossing}");
        assert!(link.send(b"late".to_vec(), None).is_none());
    }
}

/// What came before the close is looked at, and may be a reason to go on; what must end at once is not asked.
#[test]
fn a_graceful_close_that_a_call_crosses_is_cancelled() {
    for (graceful, goes_on) in [(true, true), (true, false), (false, false)] {
        let (front, mut other) = connection();
        other.write_all(b"a call").expect("it is sent");
        wait_until_arrived(&front, 6);
        let link = attached(front);
        if graceful {
            link.close_gracefully(Reason::Idle);
        } else {
            link.close(Reason::SlowReader);
        }
        let ended = run(&link, move |_| goes_on);
        if goes_on {
            // Still served.
            while !link.is_drained() || link.is_closing() {
                std::thread::yield_now();
            }
            link.send(b"its answer".to_vec(), None);
            let mut seen = [0; 10];
            other.read_exact(&mut seen).expect("the answer");
            assert_eq!(&seen, b"its answer");
            link.close_gracefully(Reason::Shutdown);
            link.close(Reason::Reset); // at once goes before gracefully
        }
        if !goes_on {
            let _ = read_to_end(&other); // up to the front's end
        }
        drop(other); // a graceful close waits for that
        let (reason, received) = ended.join().expect("no panic");
        let expected = if goes_on {
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

/// A graceful close ends in its bounds, of bytes and of time, whatever the other side does.
#[test]
fn a_graceful_close_is_bounded() {
    // It sends without end.
    let (front, other) = connection();
    let link = attached(front);
    link.close_gracefully(Reason::Idle);
    let ended = run(&link, |_| false);
    let mut writes = &other;
    while writes.write_all(&[b'x'; 4096]).is_ok() {}
    assert_eq!(ended.join().expect("no panic").0, Reason::Idle);
    // It keeps the connection open and says nothing.
    let (front, other) = connection();
    let link = attached(front);
    link.close_gracefully(Reason::Idle);
    let ended = run(&link, |_| false);
    assert_eq!(read_to_end(&other), (Vec::new(), None));
    let started = Instant::now();
    while !ended.is_done() {
        link.sweep(Instant::now());
        std::thread::yield_now();
        assert!(started.elapsed() < Duration::from_secs(20), "it never ends");
    }
    drop(other);
}

/// Bytes that wait are counted until they are written, taken back or given up; the descriptor goes with the end.
#[test]
fn queued_bytes_are_released_when_written_retracted_or_abandoned() {
    let waiting = Arc::new(AtomicUsize::new(0));
    for read in [true, false] {
        let (front, mut other) = connection();
        let link = Arc::new(Link::counted(waiting.clone()));
        link.attach(front);
        let ended = run(&link, |_| false);
        // More than the sockets on the way hold.
        link.send(vec![b'x'; 32 << 20], None);
        link.send(vec![b'y'; 1000], Some(7));
        let queued_bytes = waiting.load(Ordering::SeqCst);
        assert!(queued_bytes > 1000 && !link.is_drained());
        assert!(link.retract(7) && !link.retract(7));
        assert_eq!(waiting.load(Ordering::SeqCst) % (32 << 20), queued_bytes - 1000);
        assert!(link
            .stalled_for(Instant::now() + Duration::from_secs(9))
            .is_some_and(|t| t > Duration::from_secs(8)));
        if read {
            let mut all = vec![0; 32 << 20];
            other.read_exact(&mut all).expect("all of it");
            assert!(link.stalled_for(Instant::now()).is_none());
            assert_eq!(waiting.load(Ordering::SeqCst), 0, "with the last byte, not with the next answer");
        }
        let end = if read { Reason::PeerClosed } else { Reason::SlowReader };
        if read {
            other.shutdown(Shutdown::Write).expect("a socket");
        } else {
            link.close(end);
        }
        assert_eq!(ended.join().expect("no panic").0, end);
        assert_eq!(waiting.load(Ordering::SeqCst), 0);
        // Though the link is still referred to.
        let (_, e) = read_to_end(&other);
        assert!(matches!(e, None | Some(ErrorKind::ConnectionReset)));
    }
}
