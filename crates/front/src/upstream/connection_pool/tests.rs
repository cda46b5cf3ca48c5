use super::*;
use crate::upstream::connection::{MIN_CANCEL_DELAY, UNRESPONSIVE_AFTER};
use crate::upstream::test_support::{first_attempt, AlwaysAllowed};

/// Regression test: up to 32 attempts used to share one connection, and when it stalled, all of them lost all
/// of their time.
#[test]
fn attempts_are_spread_and_avoid_unresponsive_connections() {
    let limits = ConnectionLimits {
        streams: 32,
        connect_timeout: Duration::from_millis(400),
        idle: Duration::from_secs(9),
        connections: 16, // half of these are reserved for other nodes
    };
    let upstream =
        Arc::new(ConnectionPool::new(limits, UpstreamMemory::default(), Arc::default(), Arc::default()));
    let silent = std::net::TcpListener::bind("127.0.0.1:0").expect("an ephemeral port can be bound");
    upstream.add_node("s-1".into(), silent.local_addr().expect("the listener has an address"), 0.0);
    let done = may::go!(move || {
        let in_flight = Arc::new(InFlightAttempt::new(&first_attempt(0), None, Arc::new(AlwaysAllowed)));
        let checked_out: Vec<_> = (0..24)
            .map(|i| upstream.checkout(&first_attempt(i), &in_flight).map(|c| Arc::as_ptr(&c) as usize).ok())
            .collect();
        let connections = lock(&upstream.nodes)[&CacheId::from("s-1")].connections.clone();
        (checked_out, connections)
    });
    let (checked_out, connections) = done.join().expect("the coroutine does not panic");
    let firsts: std::collections::HashSet<_> = checked_out[..16].iter().collect();
    assert!(checked_out.iter().all(Option::is_some));
    assert_eq!(firsts.len(), 8, "two attempts share each connection while more connections are allowed");
    let now = Instant::now();
    assert!(
        connections.iter().all(|c| c.load(now).in_flight == 3),
        "the other attempts are spread evenly over the connections"
    );
    assert!(
        connections.iter().all(|c| c.load(now + 2 * UNRESPONSIVE_AFTER).unresponsive),
        "a connection that has received no answer is unresponsive"
    );
    connections[0].set_last_answer(now + 2 * UNRESPONSIVE_AFTER);
    assert!(!connections[0].load(now + 2 * UNRESPONSIVE_AFTER).unresponsive);
}

#[test]
fn a_wait_with_less_than_a_millisecond_left_ends() {
    let limits = ConnectionLimits {
        streams: 1,
        connect_timeout: Duration::from_millis(400),
        idle: Duration::from_secs(9),
        connections: 4,
    };
    let upstream =
        Arc::new(ConnectionPool::new(limits, UpstreamMemory::default(), Arc::default(), Arc::default()));
    // A node that accepts connections and never answers.
    let silent = std::net::TcpListener::bind("127.0.0.1:0").expect("an ephemeral port can be bound");
    upstream.add_node("s-1".into(), silent.local_addr().expect("the listener has an address"), 0.0);
    let ends: Vec<_> = (0..20u64)
        .map(|i| {
            let upstream = upstream.clone();
            may::go!(move || {
                let attempt = first_attempt(i);
                let deadline = Instant::now() + Duration::from_micros(30_000 + 137 * i);
                let times = AttemptTimes { deadline, begin_by: None };
                upstream.execute(&attempt, &format!("{i:016x}"), None, times, Arc::new(AlwaysAllowed)).ending
            })
        })
        .collect();
    for e in ends {
        let end = e.join();
        assert!(matches!(end, Ok(Ending::TimedOut | Ending::Retracted | Ending::ConnectionRefused)));
    }
}

/// A cancel and the next attempt go over different connections, so the next attempt waits until the cancel
/// can have reached the node. Without the wait about one in 1,300 retries at the same node arrived before
/// the cancel, and two attempts of one request were in flight at once.
#[test]
fn a_cancelled_attempt_ends_only_after_the_cancel_delay() {
    let limits = ConnectionLimits {
        streams: 32,
        connect_timeout: Duration::from_millis(400),
        idle: Duration::from_secs(9),
        connections: 4,
    };
    let upstream =
        Arc::new(ConnectionPool::new(limits, UpstreamMemory::default(), Arc::default(), Arc::default()));
    let node = std::net::TcpListener::bind("127.0.0.1:0").expect("an ephemeral port can be bound");
    upstream.add_node("s-1".into(), node.local_addr().expect("the listener has an address"), 0.0);
    let mut attempt = first_attempt(1);
    attempt.cancelled = Arc::default();
    let (cancelled, by) = (attempt.cancelled.clone(), upstream.clone());
    let gave_up = Arc::new(Mutex::new(None));
    let at = gave_up.clone();
    let ended = may::go!(move || {
        let times = AttemptTimes { deadline: Instant::now() + Duration::from_secs(30), begin_by: None };
        let end = by.execute(&attempt, &format!("{:016x}", 1), None, times, Arc::new(AlwaysAllowed));
        let waited = lock(&at).map(|t: Instant| t.elapsed());
        (end.ending, waited)
    });
    let (mut connection, _) = node.accept().expect("the pool connects to the node");
    let mut request = [0; 16];
    std::io::Read::read_exact(&mut connection, &mut request).expect("the request is sent to the node");
    *lock(&gave_up) = Some(Instant::now());
    cancelled.store(true, Ordering::Release);
    upstream.wake_cancelled(RequestId(1), 0);
    let (ending, waited) = ended.join().expect("the coroutine does not panic");
    assert_eq!(ending, Ending::Cancelled);
    assert!(waited.is_some_and(|t| t >= MIN_CANCEL_DELAY), "{waited:?}");
    assert_eq!(upstream.attempts_in_flight(), 0);
}

/// If all connections that the front may have lead to other nodes and one of them is idle, the idle one is
/// closed. Regression test: the front used to report its own connection limit as an answer of the node that
/// it is full, and the node was ejected for it.
#[test]
fn an_idle_connection_is_closed_to_open_one_to_another_node() {
    let limits = ConnectionLimits {
        streams: 1,
        connect_timeout: Duration::from_millis(400),
        idle: Duration::from_secs(9),
        connections: 2,
    };
    let upstream =
        Arc::new(ConnectionPool::new(limits, UpstreamMemory::default(), Arc::default(), Arc::default()));
    let nodes = ["n-1", "n-2", "n-3"].map(|id| {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("an ephemeral port can be bound");
        upstream.add_node(id.into(), listener.local_addr().expect("the listener has an address"), 0.0);
        listener
    });
    let done = may::go!(move || {
        let in_flight = Arc::new(InFlightAttempt::new(&first_attempt(0), None, Arc::new(AlwaysAllowed)));
        let to = |id: u64, node: &str| Attempt { cache: node.into(), ..first_attempt(id) };
        let first = upstream.checkout(&to(1, "n-1"), &in_flight).expect("a connection is available");
        let second = upstream.checkout(&to(2, "n-2"), &in_flight).expect("a connection is available");
        let refused = upstream.checkout(&to(3, "n-3"), &in_flight).err();
        first.complete(RequestId(1), CompletedAttempt::without_answer(Ending::Completed));
        let third = upstream.checkout(&to(3, "n-3"), &in_flight).is_ok();
        (refused, third, first.link.is_closing(), second.link.is_closing())
    });
    let (refused, third, first_closes, second_closes) = done.join().expect("the coroutine does not panic");
    assert_eq!(
        refused,
        Some(Ending::Retracted),
        "the front's own connection limit does not count against the node"
    );
    assert!(third && first_closes && !second_closes);
    drop(nodes);
}
