//! A front that comes back: what it remembers, whom it polls, and that nothing is settled before it was answered.

use fernslip_gossip::{Key, Keyring};
use fernslip_view::{Action, Config, Event, FrontState, Now, PeerAddress, View};
use std::net::SocketAddr;

fn addr(n: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7000 + n))
}

fn now(ms: f64) -> Now {
    Now { mono_ms: ms, unix_ms: 1.8e12 + ms }
}

fn front(n: u16, at: u16, seeds: &[u16], remembered: &[(&str, u16)], ms: f64) -> View {
    let config = Config {
        name: format!("f{n}"),
        addr: addr(at),
        seeds: seeds.iter().map(|s| addr(*s)).collect(),
        remembered: remembered
            .iter()
            .map(|(name, at)| PeerAddress { name: name.to_string(), addr: addr(*at) })
            .collect(),
        ..Config::default()
    };
    let mut v = View::new(config, Keyring::new(Key::new(1, [7; 32])), u64::from(n) + 1, now(ms));
    v.handle(now(ms), Event::State(FrontState::Ready), &mut Vec::new());
    v
}

/// Runs them for so long; datagrams to nobody's address are lost.
fn run(fronts: &mut [View], from_ms: f64, for_ms: f64) -> f64 {
    let mut ms = from_ms;
    while ms < from_ms + for_ms {
        ms += 20.0;
        for i in 0..fronts.len() {
            let mut pending = vec![(i, Event::Tick)];
            while let Some((i, event)) = pending.pop() {
                let mut actions = Vec::new();
                fronts[i].handle(now(ms), event, &mut actions);
                let from = fronts[i].own().addr;
                for a in actions {
                    let Action::Send { to, bytes } = a else { continue };
                    let to = fronts.iter().position(|f| f.own().addr == to);
                    pending.extend(to.map(|to| (to, Event::Datagram { from, bytes })));
                }
            }
        }
    }
    ms
}

#[test]
fn a_seed_that_returns_and_reaches_nobody_is_not_settled() {
    // The other seed is gone, and all others are elsewhere.
    let mut alone = [front(0, 0, &[0, 1], &[], 0.0)];
    let ms = run(&mut alone, 0.0, 40_000.0);
    assert_eq!(alone[0].settled_since(ms), None);
    // One that is the only seed and remembers nobody is the first: it has nobody to wait for.
    let mut first = [front(0, 0, &[0], &[], 0.0)];
    let ms = run(&mut first, 0.0, 5_000.0);
    assert!(first[0].settled_since(ms).is_some());
    // With a memory it waits, and says for whom.
    let mut back = [front(0, 0, &[0], &[("f7", 7), ("f8", 8)], 0.0)];
    let ms = run(&mut back, 0.0, 40_000.0);
    assert_eq!(back[0].settled_since(ms), None);
    assert_eq!(back[0].missing(), ["f7", "f8"]);
}

#[test]
fn one_remembered_address_that_is_still_valid_brings_all_together() {
    // Six were there; all but f5 come back at other addresses, the seeds among them.
    let names: Vec<(String, u16)> = (0..6).map(|n| (format!("f{n}"), n)).collect();
    let memory: Vec<(&str, u16)> = names.iter().map(|(n, a)| (n.as_str(), *a)).collect();
    let back = |n: u16, at: u16| {
        let others: Vec<(&str, u16)> = memory.iter().filter(|m| m.1 != n).copied().collect();
        front(n, at, &[0, 1], &others, 0.0)
    };
    let mut fronts: Vec<View> = (0..5).map(|n| back(n, 100 + n)).chain([back(5, 5)]).collect();
    let ms = run(&mut fronts, 0.0, 8_000.0);
    for f in &fronts {
        assert_eq!(f.peers().len(), 5, "{}", f.own().name);
        assert!(f.settled_since(ms).is_some(), "{}", f.own().name);
    }
    // Without memories none finds another, and none says that it is settled.
    let mut fronts: Vec<View> = (0..6).map(|n| front(n, 100 + n, &[0, 1], &[], 0.0)).collect();
    let ms = run(&mut fronts, 0.0, 8_000.0);
    assert!(fronts.iter().all(|f| f.peers().is_empty() && f.settled_since(ms).is_none()));
}
