use super::*;
use crate::memory::MemoryAccount;
use crate::upstream::test_support::{first_attempt, AlwaysAllowed};
use may::net::TcpStream;

/// Regression test: the second copy of an answer that had caused a retry used to end the retry, which was on
/// the same connection.
#[test]
fn an_answered_id_is_not_admitted_again_on_the_same_connection() {
    let connection = Connection::default();
    let in_flight = Arc::new(InFlightAttempt::new(&first_attempt(0), None, Arc::new(AlwaysAllowed)));
    let ids = [Ending::LookupMiss, Ending::Saturated, Ending::Errored].map(|e| (RequestId(e as u64), e));
    for (id, ending) in ids {
        assert!(connection.admit(id, &in_flight, 32));
        connection.complete(id, CompletedAttempt::without_answer(ending));
        assert!(
            !connection.admit(id, &in_flight, 32),
            "an id that ended as {ending:?} is not admitted again"
        );
    }
    assert!(connection.admit(RequestId(99), &in_flight, 32));
}

/// Regression test: a connection that was to be closed but was not closed yet used to admit an attempt and
/// never sent it.
#[test]
fn a_closing_connection_admits_no_new_attempts() {
    let connection = Connection::default();
    let in_flight = Arc::new(InFlightAttempt::new(&first_attempt(0), None, Arc::new(AlwaysAllowed)));
    assert!(connection.admit(RequestId(1), &in_flight, 32));
    connection.link.close(Reason::CancelBlocked);
    assert!(!connection.admit(RequestId(2), &in_flight, 32));
}

/// A request that was written in part never arrived complete, so it did not run; one that was written
/// completely may have run.
#[test]
fn a_partially_written_request_is_retracted_when_its_connection_ends() {
    let (listener, connection) = (
        std::net::TcpListener::bind("127.0.0.1:0").expect("an ephemeral port can be bound"),
        Connection::default(),
    );
    let addr = listener.local_addr().expect("the listener has an address");
    let done = may::go!(move || {
        connection.link.attach(TcpStream::connect(addr).expect("the listener accepts connections"));
        let attempts = [1, 2].map(|n| {
            (RequestId(n), Arc::new(InFlightAttempt::new(&first_attempt(0), None, Arc::new(AlwaysAllowed))))
        });
        for (id, in_flight) in &attempts {
            connection.admit(*id, in_flight, 32);
        }
        connection.link.send(b"complete".to_vec(), Some(1));
        // More bytes than the socket buffers on the way can store.
        connection.link.send(vec![b'x'; 64 << 20], Some(2));
        connection.terminate(Ending::Retracted);
        attempts.map(|(_, in_flight)| in_flight.take_result().map(|e| e.ending))
    });
    let ends = done.join().expect("the coroutine does not panic");
    assert_eq!(ends, [Some(Ending::ConnectionLost), Some(Ending::Retracted)]);
}

/// The end of a connection takes as long as a cancel to reach the node. Regression test: attempts on a lost
/// connection used to end at once, so two attempts of one request were in flight; in one run the first had
/// been sent 0.553 s before the second and the node had not given it up yet.
#[test]
fn attempts_on_a_lost_connection_end_only_after_the_cancel_delay() {
    let (listener, connection) = (
        std::net::TcpListener::bind("127.0.0.1:0").expect("an ephemeral port can be bound"),
        Connection::default(),
    );
    let addr = listener.local_addr().expect("the listener has an address");
    let done = may::go!(move || {
        connection.link.attach(TcpStream::connect(addr).expect("the listener accepts connections"));
        connection.set_handshake_time(Duration::from_millis(3));
        let in_flight = Arc::new(InFlightAttempt::new(&first_attempt(1), None, Arc::new(AlwaysAllowed)));
        connection.admit(RequestId(1), &in_flight, 32);
        connection.link.send(b"complete".to_vec(), Some(1));
        let started = Instant::now();
        connection.terminate(Ending::Retracted);
        let (waited, ended) = (started.elapsed(), in_flight.take_result().map(|e| e.ending));
        (waited, ended, connection.admit(RequestId(2), &in_flight, 32))
    });
    let (waited, ended, admits_more) = done.join().expect("the coroutine does not panic");
    assert!(
        waited >= Duration::from_millis(3),
        "the attempt ended after {waited:?}, before the cancel delay of 3 ms"
    );
    assert_eq!((ended, admits_more), (Some(Ending::ConnectionLost), false));
}

/// Incomplete answers of all connections together are limited: a connection over its part of the limit is
/// closed while the limit is exceeded, and the others go on.
#[test]
fn a_connection_with_a_long_incomplete_answer_is_closed_over_the_limit() {
    let input = Arc::new(MemoryAccount::with_limit(300_000));
    let memory = UpstreamMemory { input: input.clone(), output: Arc::default(), connection_input: 150_000 };
    let settings = InputSettings { account: input.clone(), ..InputSettings::default() };
    let receive = |connection: &Connection, buffer: &mut Buffer, bytes: usize| {
        let mut source =
            [&b"*4\r\n$1\r\n1\r\n$6\r\nserved\r\n$1\r\n-\r\n$240000\r\n"[..], &vec![b'x'; bytes]].concat();
        source.drain(..buffer.data().len().min(source.len()));
        let mut source = &source[..];
        while !source.is_empty() {
            buffer.read_from(&mut source).expect("reading from memory does not fail");
            connection.read_answers(buffer, &mut Quantum::default())?;
        }
        Ok(())
    };
    let new_buffer = || Buffer::with_account(settings.account.clone(), settings.min_read_bytes);
    let connections = [0, 1, 2].map(|_| Connection::with_memory(&memory));
    let mut buffers = [0, 1, 2].map(|_| new_buffer());
    assert_eq!(receive(&connections[0], &mut buffers[0], 130_000), Ok(()));
    assert_eq!(receive(&connections[1], &mut buffers[1], 140_000), Ok(()));
    assert_eq!(
        receive(&connections[2], &mut buffers[2], 100_000),
        Ok(()),
        "the limit is exceeded, the part is not"
    );
    assert!(input.is_exceeded());
    assert_eq!(receive(&connections[1], &mut buffers[1], 200_000), Err(Reason::MemoryLimit));
    let [first, second, _] = buffers;
    drop((first, second));
    assert!(!input.is_exceeded(), "the end of a connection releases its memory");
}
