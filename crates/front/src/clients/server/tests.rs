use super::super::connection::{ConnectionState, NEW_CONNECTION_GRACE};
use super::*;

fn client(age: Duration, change: impl FnOnce(&mut ConnectionState)) -> (ClientConnection, Instant) {
    let client = ClientConnection::new(Arc::default());
    let now = Instant::now() + age;
    change(&mut lock(&client.open));
    (client, now)
}

/// Guards those who connect in the moment in which the front ends: they are about to ask, and are owed a word.
#[test]
fn a_new_connection_is_not_idle() {
    let (fresh, stale) = (NEW_CONNECTION_GRACE / 2, NEW_CONNECTION_GRACE);
    for (age, spoke, rests) in [(fresh, false, false), (stale, false, true), (fresh, true, true)] {
        let (c, now) = client(age, |o| o.message_received = spoke);
        assert_eq!(lock(&c.open).is_idle(now), rests, "{age:?} {spoke}");
    }
    let (c, now) = client(stale, |o| o.idle_since = None);
    assert!(!lock(&c.open).is_idle(now), "a call is open");
}

/// Whose place is taken first: who never said a thing, then who was never served, then who was served and rests. Who has
/// just connected, has a call open, or has begun to ask keeps it.
#[test]
fn silent_connections_are_evicted_first_and_served_ones_last() {
    let age = 2 * NEW_CONNECTION_GRACE;
    let (silent, now) = client(age, |_| {});
    let (heard, _) = client(age, |o| o.message_received = true);
    let (served, _) = client(age, |o| (o.message_received, o.served) = (true, true));
    let kinds = [&silent, &heard, &served].map(|c| c.eviction_rank(now).map(|s| s.0));
    assert_eq!(kinds, [Some(2), Some(1), Some(0)]);
    for change in [
        (|o: &mut ConnectionState| o.idle_since = None) as fn(&mut ConnectionState),
        |o| (o.message_received, o.served, o.partial) = (true, true, 7),
        |o| o.closing = true,
    ] {
        let (c, now) = client(age, change);
        assert_eq!(c.eviction_rank(now), None);
    }
    let (c, now) = client(NEW_CONNECTION_GRACE / 2, |_| {});
    assert_eq!(c.eviction_rank(now), None, "it has just connected");
}

/// Answers that wait to be read take more than their room: the client that has read nothing for longest goes, and not the one
/// that is being answered.
#[test]
fn the_client_that_reads_least_is_closed_when_unread_answers_exceed_their_limit() {
    let budget = Budget::of(1024, 20);
    let server = Server::new(budget, Vec::new());
    let add = |number: u64, bytes: usize| {
        let client = Arc::new(ClientConnection::new(server.unread.clone()));
        lock(&server.clients).insert(number, client.clone());
        client.send(vec![0; bytes]);
        client
    };
    let stuck = add(1, budget.unread - 10);
    std::thread::sleep(Duration::from_millis(5));
    let reads = add(2, 10);
    server.limit_unread_answers();
    assert!(!stuck.link.is_closing() && !reads.link.is_closing(), "there is room");
    assert!(reads.send(vec![0; 10]));
    server.limit_unread_answers();
    assert_eq!((stuck.link.is_closing(), reads.link.is_closing()), (true, false));
}
