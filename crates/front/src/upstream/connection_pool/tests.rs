use super::*;

/// An attempt that may always begin.
struct Always;

impl PendingAttempt for Always {
    fn check(&self, _: Instant) -> Result<(), Denied> {
        Ok(())
    }

    fn bytes(&self, _: Instant) -> Vec<u8> {
        resp::ask("0000000000000001", "cls=x", b"")
    }
}

/// Guards a request that is asked again against a second copy of the answer that sent it on: the copy ended
/// the next attempt, on the same connection.
#[test]
fn an_id_that_was_answered_is_not_used_again_on_its_connection() {
    let conn = Conn::default();
    let slot = Arc::new(Slot::new(&attempt(0), None, Arc::new(Always)));
    let ids = [Ending::LookupMiss, Ending::Saturated, Ending::Errored].map(|e| (RequestId(e as u64), e));
    for (id, ending) in ids {
        assert!(conn.admit(id, &slot, 32));
        conn.end(id, End::without_answer(ending));
        assert!(!conn.admit(id, &slot, 32), "{ending:?}");
    }
    assert!(conn.admit(RequestId(99), &slot, 32));
}

/// Guards an attempt against a connection that is told to end and has not ended yet: it took the attempt and sent nothing.
#[test]
fn a_connection_that_is_told_to_end_takes_nothing_new() {
    let conn = Conn::default();
    let slot = Arc::new(Slot::new(&attempt(0), None, Arc::new(Always)));
    assert!(conn.admit(RequestId(1), &slot, 32));
    conn.link.close(Reason::Stuck);
    assert!(!conn.admit(RequestId(2), &slot, 32));
}

/// What was written in part never came whole, so it never ran; what was written whole may have.
#[test]
fn a_request_written_in_part_never_ran() {
    let (listener, conn) = (std::net::TcpListener::bind("127.0.0.1:0").expect("a port"), Conn::default());
    let addr = listener.local_addr().expect("bound");
    let done = may::go!(move || {
        conn.link.up(TcpStream::connect(addr).expect("it listens"));
        let slots = [1, 2].map(|n| (RequestId(n), Arc::new(Slot::new(&attempt(0), None, Arc::new(Always)))));
        for (id, slot) in &slots {
            conn.admit(*id, slot, 32);
        }
        conn.link.send(b"whole".to_vec(), Some(1));
        // More than the sockets on the way hold.
        conn.link.send(vec![b'x'; 64 << 20], Some(2));
        conn.lost(Ending::Retracted);
        slots.map(|(_, slot)| lock(&slot.end).take().map(|e| e.ending))
    });
    let ends = done.join().expect("no panic");
    assert_eq!(ends, [Some(Ending::ConnectionLost), Some(Ending::Retracted)]);
}

/// The node hears of a connection's end as late as of a word that gives a request up. The attempts on it ended at once, and
/// the next was out beside the first (seen on a short day: 'not given up .., sent 0.553 s before').
#[test]
fn what_a_broken_connection_carried_goes_on_when_the_node_can_know() {
    let (listener, conn) = (std::net::TcpListener::bind("127.0.0.1:0").expect("a port"), Conn::default());
    let addr = listener.local_addr().expect("bound");
    let done = may::go!(move || {
        conn.link.up(TcpStream::connect(addr).expect("it listens"));
        lock(&conn.open).handshake = Duration::from_millis(3);
        let slot = Arc::new(Slot::new(&attempt(1), None, Arc::new(Always)));
        conn.admit(RequestId(1), &slot, 32);
        conn.link.send(b"whole".to_vec(), Some(1));
        let began = Instant::now();
        conn.lost(Ending::Retracted);
        let (waited, ended) = (began.elapsed(), lock(&slot.end).take().map(|e| e.ending));
        (waited, ended, conn.admit(RequestId(2), &slot, 32))
    });
    let (waited, ended, takes_more) = done.join().expect("no panic");
    assert!(waited >= Duration::from_millis(3), "ended after {waited:?}");
    assert_eq!((ended, takes_more), (Some(Ending::ConnectionLost), false));
}

/// Guards all that would share a connection that has stopped: it cost up to 32 attempts their whole time.
#[test]
fn what_is_asked_is_spread_and_kept_off_quiet_connections() {
    let limits = ConnectionLimits {
        streams: 32,
        connect_timeout: Duration::from_millis(400),
        idle: Duration::from_secs(9),
        connections: 16, // half of them for machines to come
    };
    let upstream = Arc::new(ConnectionPool::new(limits, Arc::default(), Arc::default()));
    let silent = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    upstream.add_node("s-1".into(), silent.local_addr().expect("bound"), 0.0);
    let done = may::go!(move || {
        let slot = Arc::new(Slot::new(&attempt(0), None, Arc::new(Always)));
        let took: Vec<_> = (0..24)
            .map(|i| upstream.checkout(&attempt(i), &slot).map(|c| Arc::as_ptr(&c) as usize).ok())
            .collect();
        let conns = lock(&upstream.nodes)[&CacheId::from("s-1")].conns.clone();
        (took, conns)
    });
    let (took, conns) = done.join().expect("no panic");
    let firsts: std::collections::HashSet<_> = took[..16].iter().collect();
    assert!(took.iter().all(Option::is_some));
    assert_eq!(firsts.len(), 8, "two share a connection while there are places");
    let now = Instant::now();
    assert!(conns.iter().all(|c| c.load(now).1 == 3), "then all share evenly");
    assert!(conns.iter().all(|c| c.load(now + 2 * QUIET).0), "nothing came");
    lock(&conns[0].open).heard = Some(now + 2 * QUIET);
    assert!(!conns[0].load(now + 2 * QUIET).0);
}

fn attempt(id: u64) -> Attempt {
    Attempt {
        id: RequestId(id),
        number: 0,
        cache: "s-1".into(),
        source: None,
        until_ms: 0.0,
        begin_by_ms: f64::INFINITY,
        rank: 0,
        age_ms: 0.0,
        join: false,
        renew: false,
        cancelled: Arc::default(),
    }
}

#[test]
fn a_wait_shorter_than_a_millisecond_ends() {
    let limits = ConnectionLimits {
        streams: 1,
        connect_timeout: Duration::from_millis(400),
        idle: Duration::from_secs(9),
        connections: 4,
    };
    let upstream = Arc::new(ConnectionPool::new(limits, Arc::default(), Arc::default()));
    // A machine that takes connections and says nothing.
    let silent = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    upstream.add_node("s-1".into(), silent.local_addr().expect("bound"), 0.0);
    let ends: Vec<_> = (0..20u64)
        .map(|i| {
            let upstream = upstream.clone();
            may::go!(move || {
                let a = attempt(i);
                let deadline = Instant::now() + Duration::from_micros(30_000 + 137 * i);
                let times = AttemptTimes { deadline, begin_by: None };
                upstream.execute(&a, &format!("{i:016x}"), None, times, Arc::new(Always)).ending
            })
        })
        .collect();
    for e in ends {
        let end = e.join();
        assert!(matches!(end, Ok(Ending::TimedOut | Ending::Retracted | Ending::ConnectionRefused)));
    }
}

/// The word that gives a request up goes over another connection than the next attempt: that one waits until the word
/// can be there. One in some 1,300 retries at the same node came before it: two attempts were out at once.
#[test]
fn who_gives_up_goes_on_when_the_word_can_be_there() {
    let limits = ConnectionLimits {
        streams: 32,
        connect_timeout: Duration::from_millis(400),
        idle: Duration::from_secs(9),
        connections: 4,
    };
    let upstream = Arc::new(ConnectionPool::new(limits, Arc::default(), Arc::default()));
    let node = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    upstream.add_node("s-1".into(), node.local_addr().expect("bound"), 0.0);
    let mut a = attempt(1);
    a.cancelled = Arc::default();
    let (cancelled, by) = (a.cancelled.clone(), upstream.clone());
    let gave_up = Arc::new(Mutex::new(None));
    let at = gave_up.clone();
    let ended = may::go!(move || {
        let times = AttemptTimes { deadline: Instant::now() + Duration::from_secs(30), begin_by: None };
        let end = by.execute(&a, &format!("{:016x}", 1), None, times, Arc::new(Always));
        let waited = lock(&at).map(|t: Instant| t.elapsed());
        (end.ending, waited)
    });
    let (mut conn, _) = node.accept().expect("it connects");
    let mut asked = [0; 16];
    std::io::Read::read_exact(&mut conn, &mut asked).expect("it asks");
    *lock(&gave_up) = Some(Instant::now());
    cancelled.store(true, Ordering::Release);
    upstream.cancel(RequestId(1), 0);
    let (ending, waited) = ended.join().expect("no panic");
    assert_eq!(ending, Ending::Cancelled);
    assert!(waited.is_some_and(|t| t >= WORD[0]), "{waited:?}");
    assert_eq!(upstream.attempts_in_flight(), 0);
}

/// All connections that the front may have are made, to other nodes, and rest: one of them makes room. Such a want of the
/// front's own was reported as the node's answer that it is full, and the node was ejected for it.
#[test]
fn an_idle_connection_makes_room_for_another_node() {
    let limits = ConnectionLimits {
        streams: 1,
        connect_timeout: Duration::from_millis(400),
        idle: Duration::from_secs(9),
        connections: 2,
    };
    let upstream = Arc::new(ConnectionPool::new(limits, Arc::default(), Arc::default()));
    let nodes = ["n-1", "n-2", "n-3"].map(|id| {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        upstream.add_node(id.into(), listener.local_addr().expect("bound"), 0.0);
        listener
    });
    let done = may::go!(move || {
        let slot = Arc::new(Slot::new(&attempt(0), None, Arc::new(Always)));
        let to = |id: u64, node: &str| Attempt { cache: node.into(), ..attempt(id) };
        let first = upstream.checkout(&to(1, "n-1"), &slot).expect("room");
        let second = upstream.checkout(&to(2, "n-2"), &slot).expect("room");
        let busy = upstream.checkout(&to(3, "n-3"), &slot).err();
        first.end(RequestId(1), End::without_answer(Ending::Completed));
        let third = upstream.checkout(&to(3, "n-3"), &slot).is_ok();
        (busy, third, first.link.is_closing(), second.link.is_closing())
    });
    let (busy, third, first_closes, second_closes) = done.join().expect("no panic");
    assert_eq!(busy, Some(Ending::Retracted), "the front's own limit is nothing that the node did");
    assert!(third && first_closes && !second_closes);
    drop(nodes);
}
