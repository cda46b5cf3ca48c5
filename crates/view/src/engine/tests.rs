//! Unit tests of the engine that need access to its private state.

use super::*;
use fernslip_gossip::Key;

#[test]
fn a_front_polled_by_many_newcomers_still_answers_pings() {
    let keys = Keyring::new(Key::new(1, [7; 32]));
    let now = Now { mono_ms: 0.0, unix_ms: 1.8e12 };
    let config = Config { bytes_per_s: 4096, burst_bytes: 65_536, ..Config::default() };
    let mut view = View::new(config, keys.clone(), 1, now);
    let from = SocketAddr::from(([127, 0, 0, 2], 9));
    let hello = Item::Hello(view.own.clone());
    let mut replies = |process_id: u64, sequence: u32, item: Item| {
        let fact = Fact { name: format!("n{process_id}"), addr: from, process_id, ..view.own.clone() };
        let item = if let Item::Hello(_) = item { Item::Hello(fact.clone()) } else { item };
        let mut m = Message::new(1, fact.id(), process_id, sequence, 0, Vec::new());
        m.items = vec![item];
        let mut actions = Vec::new();
        view.handle(now, Event::Datagram { from, bytes: m.seal(&keys) }, &mut actions);
        let sent = actions.into_iter().filter_map(|a| match a {
            Action::Send { bytes, .. } => Message::open(&bytes, &keys),
            _ => None,
        });
        sent.flat_map(|m| m.items).collect::<Vec<Item>>()
    };
    for process_id in 1..=400 {
        replies(process_id, 1, hello.clone());
    }
    // Many pings are sent, because a few small datagrams can still pass where the budget no longer suffices
    // for a large one.
    for n in 2..32 {
        assert!(replies(7, n, Item::Ping(n)).contains(&Item::Ack(n)), "ping {n} is acknowledged under load");
    }
}
