use super::*;

fn client(age: Duration, change: impl FnOnce(&mut Open)) -> (Client, Instant) {
    let client = Client::new(Arc::default());
    let now = Instant::now() + age;
    change(&mut lock(&client.open));
    (client, now)
}

/// Guards those who connect in the moment in which the front ends: they are about to ask, and are owed a word.
#[test]
fn who_has_just_connected_does_not_rest() {
    let (fresh, stale) = (FRESH / 2, FRESH);
    for (age, spoke, rests) in [(fresh, false, false), (stale, false, true), (fresh, true, true)] {
        let (c, now) = client(age, |o| o.spoke = spoke);
        assert_eq!(lock(&c.open).rests(now), rests, "{age:?} {spoke}");
    }
    let (c, now) = client(stale, |o| o.idle_since = None);
    assert!(!lock(&c.open).rests(now), "a call is open");
}

/// Whose place is taken first: who never said a thing, then who was never served, then who was served and rests. Who has
/// just connected, has a call open, or has begun to ask keeps it.
#[test]
fn the_place_that_is_needed_least_goes_first() {
    let age = 2 * FRESH;
    let (silent, now) = client(age, |_| {});
    let (heard, _) = client(age, |o| o.spoke = true);
    let (served, _) = client(age, |o| (o.spoke, o.served) = (true, true));
    let kinds = [&silent, &heard, &served].map(|c| c.spare(now).map(|s| s.0));
    assert_eq!(kinds, [Some(2), Some(1), Some(0)]);
    for change in [
        (|o: &mut Open| o.idle_since = None) as fn(&mut Open),
        |o| (o.spoke, o.served, o.partial) = (true, true, 7),
        |o| o.leaving = true,
    ] {
        let (c, now) = client(age, change);
        assert_eq!(c.spare(now), None);
    }
    let (c, now) = client(FRESH / 2, |_| {});
    assert_eq!(c.spare(now), None, "it has just connected");
}

/// Answers that wait to be read take more than their room: the client that has read nothing for longest goes, and not the one
/// that is being answered.
#[test]
fn who_reads_least_makes_room_for_answers() {
    let budget = Budget::of(1024, 20);
    let server = Server::new(budget, Vec::new());
    let add = |number: u64, bytes: usize| {
        let client = Arc::new(Client::new(server.unread.clone()));
        lock(&server.clients).insert(number, client.clone());
        client.send(vec![0; bytes]);
        client
    };
    let stuck = add(1, budget.unread - 10);
    std::thread::sleep(Duration::from_millis(5));
    let reads = add(2, 10);
    server.keep_room_for_answers();
    assert!(!stuck.link.is_closing() && !reads.link.is_closing(), "there is room");
    assert!(reads.send(vec![0; 10]));
    server.keep_room_for_answers();
    assert_eq!((stuck.link.is_closing(), reads.link.is_closing()), (true, false));
}
