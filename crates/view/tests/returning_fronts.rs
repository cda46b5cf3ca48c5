//! Fronts that return after a stop: which addresses they remember and poll, and that their view is not
//! settled before another front has answered.

use fernslip_gossip::{Key, Keyring};
use fernslip_view::{Action, Config, Event, FrontState, Now, PeerAddress, View};
use std::net::SocketAddr;

fn front_addr(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7000 + number))
}

fn time_at(ms: f64) -> Now {
    Now { mono_ms: ms, unix_ms: 1.8e12 + ms }
}

fn start_front(number: u16, address: u16, seeds: &[u16], remembered: &[(&str, u16)], ms: f64) -> View {
    let config = Config {
        name: format!("f{number}"),
        addr: front_addr(address),
        seeds: seeds.iter().map(|s| front_addr(*s)).collect(),
        remembered: remembered
            .iter()
            .map(|(name, at)| PeerAddress { name: name.to_string(), addr: front_addr(*at) })
            .collect(),
        ..Config::default()
    };
    let mut view = View::new(config, Keyring::new(Key::new(1, [7; 32])), u64::from(number) + 1, time_at(ms));
    view.handle(time_at(ms), Event::State(FrontState::Ready), &mut Vec::new());
    view
}

/// Runs the fronts for `for_ms` and returns the time at the end, in milliseconds. Datagrams to an address
/// that no front has are lost.
fn run_fronts(fronts: &mut [View], from_ms: f64, for_ms: f64) -> f64 {
    let mut ms = from_ms;
    while ms < from_ms + for_ms {
        ms += 20.0;
        for i in 0..fronts.len() {
            let mut pending = vec![(i, Event::Tick)];
            while let Some((i, event)) = pending.pop() {
                let mut actions = Vec::new();
                fronts[i].handle(time_at(ms), event, &mut actions);
                let from = fronts[i].own_fact().addr;
                for a in actions {
                    let Action::Send { to, bytes } = a else { continue };
                    let to = fronts.iter().position(|f| f.own_fact().addr == to);
                    pending.extend(to.map(|to| (to, Event::Datagram { from, bytes })));
                }
            }
        }
    }
    ms
}

#[test]
fn a_returning_seed_that_reaches_no_other_front_is_not_settled() {
    // The other seed no longer runs, and all other fronts have addresses that this one does not know.
    let mut alone = [start_front(0, 0, &[0, 1], &[], 0.0)];
    let ms = run_fronts(&mut alone, 0.0, 40_000.0);
    assert_eq!(alone[0].settled_since(ms), None);
    // A front that is the only seed and remembers no other is the first of its fleet and waits for none.
    let mut first = [start_front(0, 0, &[0], &[], 0.0)];
    let ms = run_fronts(&mut first, 0.0, 5_000.0);
    assert!(first[0].settled_since(ms).is_some());
    // A front that remembers others waits for them and names them as missing.
    let mut back = [start_front(0, 0, &[0], &[("f7", 7), ("f8", 8)], 0.0)];
    let ms = run_fronts(&mut back, 0.0, 40_000.0);
    assert_eq!(back[0].settled_since(ms), None);
    assert_eq!(back[0].unsettled_members(), ["f7", "f8"]);
}

#[test]
fn one_remembered_address_that_is_still_valid_reunites_the_fleet() {
    // Six fronts ran before. All except f5 return at other addresses, the seeds included.
    let names: Vec<(String, u16)> = (0..6).map(|n| (format!("f{n}"), n)).collect();
    let memory: Vec<(&str, u16)> = names.iter().map(|(n, a)| (n.as_str(), *a)).collect();
    let back = |n: u16, at: u16| {
        let others: Vec<(&str, u16)> = memory.iter().filter(|m| m.1 != n).copied().collect();
        start_front(n, at, &[0, 1], &others, 0.0)
    };
    let mut fronts: Vec<View> = (0..5).map(|n| back(n, 100 + n)).chain([back(5, 5)]).collect();
    let ms = run_fronts(&mut fronts, 0.0, 8_000.0);
    for f in &fronts {
        assert_eq!(f.live_peer_addrs().len(), 5, "{} lists all five other fronts", f.own_fact().name);
        assert!(f.settled_since(ms).is_some(), "the view of {} is settled", f.own_fact().name);
    }
    // Without remembered addresses, no front finds another and none reports a settled view.
    let mut fronts: Vec<View> = (0..6).map(|n| start_front(n, 100 + n, &[0, 1], &[], 0.0)).collect();
    let ms = run_fronts(&mut fronts, 0.0, 8_000.0);
    assert!(fronts.iter().all(|f| f.live_peer_addrs().is_empty() && f.settled_since(ms).is_none()));
}
