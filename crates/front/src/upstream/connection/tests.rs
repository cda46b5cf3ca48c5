use super::*;
use crate::upstream::test_support::{attempt, AlwaysAllowed};
use may::net::TcpStream;

/// Guards a request that is retried against a duplicate of the answer that caused the retry: the duplicate ended the next
/// attempt, on the same connection.
#[test]
fn an_id_that_was_answered_is_not_used_again_on_its_connection() {
    let connection = Connection::default();
    let in_flight = Arc::new(InFlightAttempt::new(&attempt(0), None, Arc::new(AlwaysAllowed)));
    let ids = [Ending::LookupMiss, Ending::Saturated, Ending::Errored].map(|e| (RequestId(e as u64), e));
    for (id, ending) in ids {
        assert!(connection.admit(id, &in_flight, 32));
        connection.complete(id, CompletedAttempt::without_answer(ending));
        assert!(!connection.admit(id, &in_flight, 32), "{ending:?}");
    }
    assert!(connection.admit(RequestId(99), &in_flight, 32));
}

/// Guards an attempt against a connection that is to close and has not closed yet: it admitted the attempt and sent nothing.
#[test]
fn a_connection_that_is_to_close_admits_nothing_new() {
    let connection = Connection::default();
    let in_flight = Arc::new(InFlightAttempt::new(&attempt(0), None, Arc::new(AlwaysAllowed)));
    assert!(connection.admit(RequestId(1), &in_flight, 32));
    connection.link.close(Reason::Stuck);
    assert!(!connection.admit(RequestId(2), &in_flight, 32));
}

/// What was written in part never arrived complete, so it never ran; what was written completely may have.
#[test]
fn a_partially_written_request_never_ran() {
    let (listener, connection) =
        (std::net::TcpListener::bind("127.0.0.1:0").expect("a port"), Connection::default());
    let addr = listener.local_addr().expect("bound");
    let done = may::go!(move || {
        connection.link.attach(TcpStream::connect(addr).expect("it listens"));
        let attempts = [1, 2].map(|n| {
            (RequestId(n), Arc::new(InFlightAttempt::new(&attempt(0), None, Arc::new(AlwaysAllowed))))
        });
        for (id, in_flight) in &attempts {
            connection.admit(*id, in_flight, 32);
        }
        connection.link.send(b"complete".to_vec(), Some(1));
        // More than the sockets on the way hold.
        connection.link.send(vec![b'x'; 64 << 20], Some(2));
        connection.terminate(Ending::Retracted);
        attempts.map(|(_, in_flight)| in_flight.take_result().map(|e| e.ending))
    });
    let ends = done.join().expect("no panic");
    assert_eq!(ends, [Some(Ending::ConnectionLost), Some(Ending::Retracted)]);
}

/// The node sees a connection's end as late as a cancel. The attempts on it ended at once, and the next was out beside the first (seen on a short day: 'not given up .., sent 0.553 s before').
#[test]
fn attempts_on_a_broken_connection_end_once_the_node_can_know() {
    let (listener, connection) =
        (std::net::TcpListener::bind("127.0.0.1:0").expect("a port"), Connection::default());
    let addr = listener.local_addr().expect("bound");
    let done = may::go!(move || {
        connection.link.attach(TcpStream::connect(addr).expect("it listens"));
        connection.set_handshake(Duration::from_millis(3));
        let in_flight = Arc::new(InFlightAttempt::new(&attempt(1), None, Arc::new(AlwaysAllowed)));
        connection.admit(RequestId(1), &in_flight, 32);
        connection.link.send(b"complete".to_vec(), Some(1));
        let started = Instant::now();
        connection.terminate(Ending::Retracted);
        let (waited, ended) = (started.elapsed(), in_flight.take_result().map(|e| e.ending));
        (waited, ended, connection.admit(RequestId(2), &in_flight, 32))
    });
    let (waited, ended, takes_more) = done.join().expect("no panic");
    assert!(waited >= Duration::from_millis(3), "ended after {waited:?}");
    assert_eq!((ended, takes_more), (Some(Ending::ConnectionLost), false));
}
