use super::super::connection::{ConnectionState, NEW_CONNECTION_GRACE};
use super::*;

/// A connection changed by `change`, and the time at which it is `age` old.
fn connection_of_age(
    age: Duration,
    change: impl FnOnce(&mut ConnectionState),
) -> (ClientConnection, Instant) {
    let client = ClientConnection::new(&ClientMemory::new(&Budget::from_limits(1024, 20)));
    let now = Instant::now() + age;
    change(&mut lock(&client.open));
    (client, now)
}

/// A client that connects while the front shuts down is about to send a call and expects an answer, so its
/// connection must not be closed as idle at once.
#[test]
fn a_new_connection_is_not_idle() {
    let (fresh, stale) = (NEW_CONNECTION_GRACE / 2, NEW_CONNECTION_GRACE);
    for (age, message_received, idle) in [(fresh, false, false), (stale, false, true), (fresh, true, true)] {
        let (c, now) = connection_of_age(age, |o| o.message_received = message_received);
        assert_eq!(lock(&c.open).is_idle(now), idle, "age {age:?}, message received: {message_received}");
    }
    let (c, now) = connection_of_age(stale, |o| o.idle_since = None);
    assert!(!lock(&c.open).is_idle(now), "a connection with an open call is not idle");
}

/// Connections that never sent a message are evicted first, then those that were never served, then served
/// ones that are idle. A connection is not evicted while it is new, is closing, has an open call, or has
/// received part of a call from a served client.
#[test]
fn silent_connections_are_evicted_first_and_served_ones_last() {
    let age = 2 * NEW_CONNECTION_GRACE;
    let (silent, now) = connection_of_age(age, |_| {});
    let (unserved, _) = connection_of_age(age, |o| o.message_received = true);
    let (served, _) = connection_of_age(age, |o| (o.message_received, o.served) = (true, true));
    let kinds = [&silent, &unserved, &served].map(|c| c.eviction_rank(now).map(|s| s.0));
    assert_eq!(kinds, [Some(2), Some(1), Some(0)]);
    for change in [
        (|o: &mut ConnectionState| o.idle_since = None) as fn(&mut ConnectionState),
        |o| (o.message_received, o.served, o.partial) = (true, true, 7),
        |o| o.closing = true,
    ] {
        let (c, now) = connection_of_age(age, change);
        assert_eq!(c.eviction_rank(now), None);
    }
    let (c, now) = connection_of_age(NEW_CONNECTION_GRACE / 2, |_| {});
    assert_eq!(c.eviction_rank(now), None, "a new connection is not evicted");
}

/// When unread answers exceed their limit, the connection whose client has read nothing for the longest time
/// is closed, not the one that is being answered.
#[test]
fn the_client_that_reads_least_is_closed_when_unread_answers_exceed_their_limit() {
    let budget = Budget::from_limits(1024, 20);
    let server = Server::new(budget, Vec::new());
    let add = |number: u64, bytes: usize| {
        let client = Arc::new(ClientConnection::new(&server.memory));
        lock(&server.clients).insert(number, client.clone());
        client.send(vec![0; bytes]);
        client
    };
    let stalled = add(1, budget.unread - 2000);
    std::thread::sleep(Duration::from_millis(5));
    let reading = add(2, 10);
    server.limit_unread_answers();
    assert!(
        !stalled.link.is_closing() && !reading.link.is_closing(),
        "unread answers are within their limit"
    );
    assert!(reading.send(vec![0; 2000]));
    server.limit_unread_answers();
    assert_eq!((stalled.link.is_closing(), reading.link.is_closing()), (true, false));
}

/// A connection whose answers are written but not yet read is not evicted: the close would lose them. The
/// system takes some megabytes of answers at once, so the link's own queue is empty then.
#[test]
fn a_connection_with_undelivered_answers_is_not_evicted() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port can be bound");
    let address = listener.local_addr().expect("a bound listener has an address");
    let front = may::net::TcpStream::connect(address).expect("the listener can be connected to");
    let mut other = listener.accept().expect("the connection is accepted").0;
    let (client, now) = connection_of_age(Duration::from_secs(60), |open| {
        (open.message_received, open.served) = (true, true);
    });
    client.link.attach(front);
    let mut sent = 0;
    while client.link.is_delivered() {
        assert!(client.send(vec![0; 64 * 1024]));
        sent += 64 * 1024;
        std::thread::sleep(Duration::from_millis(1));
    }
    assert!(client.link.is_drained(), "the system took all bytes");
    assert_eq!(client.eviction_rank(now), None);
    assert_eq!(client.timeout_reason(Instant::now()), None);
    std::io::Read::read_exact(&mut other, &mut vec![0; sent]).expect("all bytes arrive");
    let deadline = Instant::now() + Duration::from_secs(10);
    while client.eviction_rank(now).is_none() {
        assert!(Instant::now() < deadline, "the delivered answers are never noticed");
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// When incomplete messages exceed their limit, a client is closed that was never served and has paused, else
/// the one that occupied its memory fastest: a usual client that writes a long message slowly must not be displaced by others
/// who come in great numbers. One excess must not close several connections while the first is being closed.
#[test]
fn incomplete_messages_over_their_limit_close_paused_connections_and_then_fast_ones() {
    let budget = Budget::from_limits(1024, 20);
    let server = Server::new(budget, Vec::new());
    let now = Instant::now();
    let ms_ago = |ms: u64| now.checked_sub(Duration::from_millis(ms)).unwrap_or(now);
    // Part of the limit in percent, when the message began, when bytes last arrived, whether it was served.
    let clients = [(50, 1900, 900, true), (20, 1500, 800, false), (15, 900, 1, false), (25, 40, 30, false)]
        .map(|(percent, begun_ms, input_ms, served)| {
            let client = Arc::new(ClientConnection::new(&server.memory));
            {
                let mut open = lock(&client.open);
                open.input_memory = budget.partial * percent / 100;
                (open.partial, open.served) = (open.input_memory, served);
                (open.partial_since, open.last_input) = (Some(ms_ago(begun_ms)), ms_ago(input_ms));
            }
            let number = server.next_number.fetch_add(1, Ordering::Relaxed);
            lock(&server.clients).insert(number, client.clone());
            client
        });
    let [_, _, writing, _] = &clients;
    let closing = || clients.each_ref().map(|c| c.link.is_closing());
    let mut reservation = crate::memory::Reservation::new(server.memory.input.clone());
    reservation.resize(budget.partial);
    server.limit_partial_messages();
    assert_eq!(closing(), [false; 4], "the limit is not exceeded");
    reservation.resize(budget.partial * 110 / 100);
    server.limit_partial_messages();
    assert_eq!(closing(), [false, true, false, false], "the one that has paused");
    server.limit_partial_messages();
    assert_eq!(closing(), [false, true, false, false], "what a closing connection holds is released shortly");
    lock(&writing.open).input_memory += budget.partial / 5;
    server.limit_partial_messages();
    assert_eq!(closing(), [false, true, false, true], "the fastest, although it holds less");
}

/// While a client that holds nothing waits for the memory of an answer, a client that sends many calls and reads
/// no answer is closed: as soon as it has more unread answers than it may have calls open, else after the time
/// in which any client that reads has read something. A client within its calls is not closed before.
#[test]
fn clients_that_do_not_read_are_closed_while_another_waits_for_memory() {
    let budget = Budget::from_limits(1024, 20);
    let server = Arc::new(Server::new(budget, Vec::new()));
    let add = |number: u64, answers: usize| {
        let client = Arc::new(ClientConnection::new(&server.memory));
        lock(&server.clients).insert(number, client.clone());
        (0..answers).for_each(|_| assert!(client.send(vec![0; budget.answers / answers])));
        client
    };
    let (slow, flooding) = (add(1, 32), add(2, 33));
    let closing = || [&slow, &flooding].map(|c| c.link.is_closing());
    let now = Instant::now();
    server.close_memory_holder(now + Duration::from_secs(60));
    assert_eq!(closing(), [false, false], "no client waits");
    let memory = server.memory.answers.clone();
    let waiting: Arc<dyn super::super::answer_memory::AnswerQueue> =
        Arc::new(ClientConnection::new(&server.memory));
    let thread = std::thread::spawn(move || {
        let caller = crate::upstream::caller::Caller::default();
        memory.acquire(&waiting, 100.0, &caller, Instant::now() + Duration::from_secs(20)).is_ok()
    });
    while !server.memory.answers.has_starved_call() {
        std::thread::sleep(Duration::from_millis(1));
    }
    server.close_memory_holder(now);
    assert_eq!(closing(), [false, true], "more answers than calls may be open");
    server.close_memory_holder(now);
    assert_eq!(closing(), [false, true], "the other client may be reading");
    server.close_memory_holder(now + Duration::from_secs(60));
    assert_eq!(closing(), [true, true], "it has read nothing for a long time");
    [&slow, &flooding].iter().for_each(|c| drop(c.link.terminate()));
    assert!(thread.join().expect("the thread does not panic"), "their memory was granted");
}
