//! Hard cases in a simulated network: byzantine peers, collusion, replays, slowness, outages, partitions, storms.

mod common;

use common::{addr, cache_nodes, Network, Simulation};
use fernslip_gossip::*;

const FAILING: Observation = Observation::Failing;

/// Fronts that know each other and these cache nodes.
fn settled(fronts: usize, n: usize, loss: f64, seed: u64) -> (Simulation, Vec<CacheNodeKey>) {
    let mut sim = Simulation::new(fronts, Network::with_loss(loss), seed);
    let all = cache_nodes(n);
    sim.feed_all(Event::CacheNodes(all.clone()));
    assert!(sim.run_until_agreed(60_000.0).is_some(), "{} of {fronts} agree", sim.agreeing());
    (sim, all)
}

#[test]
fn membership_views_converge_whatever_is_lost() {
    for (fronts, loss) in [(3, 0.0), (3, 0.5), (20, 0.3), (20, 0.5), (60, 0.3)] {
        let mut sim = Simulation::new(fronts, Network::with_loss(loss), 11);
        let took = sim.run_until_agreed(90_000.0);
        assert!(took.is_some(), "{fronts} fronts, {loss} lost: {} agree", sim.agreeing());
    }
}

/// Two hundred fronts discover each other by two seeds, in datagrams of 256 bytes.
#[test]
fn a_fleet_of_two_hundred_fronts_fits() {
    let mut sim = Simulation::new(200, Network::with_loss(0.1), 3);
    assert!(sim.run_until_agreed(60_000.0).is_some(), "{} agree", sim.agreeing());
}

#[test]
fn equal_simulations_send_equal_bytes() {
    let run = |seed| {
        let (mut sim, all) = settled(5, 10, 0.2, seed);
        sim.observe(1, all[0], FAILING, 0.9);
        sim.observe(2, all[0], FAILING, 0.9);
        sim.run_for(5_000.0);
        sim.hash
    };
    assert_eq!(run(4), run(4));
    assert_ne!(run(4), run(5));
}

/// What gossip is for: two fronts see a cache node fail, and the others learn of it soon, also where a third of all
/// datagrams is lost.
#[test]
fn a_failure_seen_by_two_fronts_reaches_the_others() {
    let (mut sim, all) = settled(6, 20, 0.3, 1);
    sim.observe(0, all[3], FAILING, 0.8);
    sim.run_for(1_500.0);
    assert!((1..6).all(|n| sim.hearsay(n, all[3]) == 0.0), "one witness is no quorum");
    sim.observe(1, all[3], Observation::Unresponsive, 0.8);
    sim.run_for(4_000.0);
    let reached = |sim: &Simulation| (2..6).filter(|n| sim.hearsay(*n, all[3]) > 0.2).count();
    assert!(reached(&sim) >= 3, "{} of four", reached(&sim));
    // A front that missed all three of a witness's initial sends receives the refresh.
    sim.run_for(4_000.0);
    assert_eq!(reached(&sim), 4);
    assert!((2..6).all(|n| sim.fronts[n].hearsay.iter().all(|(of, h)| *of == all[3] || *h == 0.0)));
    // The number of answers behind a report is sent with it.
    sim.observe(0, all[3], FAILING, 0.8);
    sim.run_for(9_000.0);
    let counts: Vec<u8> = sim.gossip(2).suspicions(sim.clock(2)).map(|s| s.report.count).collect();
    assert!(counts.contains(&10), "{counts:?}");
    // It decays once nobody reports it any more.
    sim.run_for(40_000.0);
    assert!((0..6).all(|n| sim.hearsay(n, all[3]) == 0.0));
}

/// One peer accuses every cache node, then one, without end: no front's score changes at any moment.
#[test]
fn a_single_byzantine_peer_changes_no_score() {
    let (mut sim, all) = settled(5, 30, 0.1, 2);
    for round in 0..120 {
        let target = if round % 2 == 0 { all[0] } else { all[round % 30] };
        sim.observe(4, target, FAILING, 1.0);
        sim.run_for(250.0);
    }
    assert!((0..4).all(|n| sim.fronts[n].max_hearsay == 0.0), "at no step");
}

/// A byzantine peer and one error of our own are no quorum either; a refused connection of our own and a peer's report
/// are.
#[test]
fn a_lone_error_of_our_own_does_not_count_as_a_witness() {
    for (strength, counts) in [(0.3, false), (0.5, true)] {
        let (mut sim, all) = settled(5, 30, 0.0, 21);
        for _ in 0..8 {
            sim.observe(4, all[0], FAILING, 1.0);
            sim.run_for(250.0);
        }
        sim.observe(0, all[0], FAILING, strength);
        assert_eq!(sim.hearsay(0, all[0]) > 0.3, counts, "{strength}: {}", sim.hearsay(0, all[0]));
        // A good answer of our own ends it.
        sim.observe(0, all[0], Observation::Healthy, 1.0);
        assert_eq!(sim.hearsay(0, all[0]), 0.0);
    }
}

/// Two byzantine peers are a quorum in a small fleet. Their effect is capped, and their trust ends it: the others see
/// the cache node answer, which contradicts them.
#[test]
fn two_byzantine_peers_that_collude_lose_their_trust() {
    let (mut sim, all) = settled(6, 20, 0.0, 3);
    let mut last = Vec::new();
    for round in 0..240 {
        for byzantine in [4, 5] {
            sim.observe(byzantine, all[7], FAILING, 1.0);
        }
        // The cache node is healthy, and each of the others has an answer of it now and then.
        if round % 8 == 0 {
            sim.observe(round / 8 % 4, all[7], Observation::Healthy, 1.0);
        }
        sim.run_for(250.0);
        last = (0..4).map(|n| sim.hearsay(n, all[7])).collect();
    }
    assert!(
        (0..4).all(|n| sim.fronts[n].max_hearsay <= aggregate::MAX_SCORE),
        "it was never taken out of use"
    );
    assert!(last.iter().all(|h| *h < 0.2), "in the end they are not believed: {last:?}");
    for n in 0..4 {
        let byzantine = sim.gossip(4).id();
        assert!(sim.gossip(n).trust(byzantine, sim.clock(n)) < 0.25);
    }
}

#[test]
fn one_healthy_report_on_a_dead_node_changes_nothing() {
    let (mut sim, all) = settled(6, 20, 0.0, 4);
    for _ in 0..20 {
        (0..3).for_each(|n| sim.observe(n, all[1], FAILING, 0.8));
        sim.observe(5, all[1], Observation::Healthy, 1.0);
        sim.run_for(250.0);
    }
    assert!((3..5).all(|n| sim.hearsay(n, all[1]) > 0.5));
}

#[test]
fn a_witness_that_crashes_counts_until_it_is_declared_dead() {
    let (mut sim, all) = settled(5, 20, 0.0, 5);
    sim.observe(0, all[2], FAILING, 0.8);
    sim.run_for(600.0);
    sim.fronts[0].gossip = None;
    sim.observe(1, all[2], FAILING, 0.8);
    sim.run_for(600.0);
    assert!((2..5).all(|n| sim.hearsay(n, all[2]) > 0.4), "its report is still fresh");
    assert!(sim.run_until_agreed(60_000.0).is_some(), "it is dead for all");
    assert!((2..5).all(|n| sim.hearsay(n, all[2]) == 0.0), "and its report no longer counts");
}

/// Recorded datagrams are replayed: at once, and a day later to fronts that have restarted.
#[test]
fn replayed_datagrams_are_rejected() {
    let (mut sim, all) = settled(4, 10, 0.0, 6);
    sim.record = Some(Vec::new());
    (0..2).for_each(|n| sim.observe(n, all[0], FAILING, 1.0));
    sim.run_for(2_000.0);
    let recorded = sim.record.take().expect("recorded");
    let accepted = sim.gossip(3).counters().accepted;
    for (from, to, bytes) in recorded.iter().filter(|r| r.1 == addr(3)) {
        sim.feed(3, Event::Datagram { from: *from, bytes: bytes.clone() });
        assert_eq!(*to, addr(3));
    }
    assert_eq!(sim.gossip(3).counters().accepted, accepted, "none is accepted twice");
    assert!(sim.rejected(3, RejectReason::Replay) > 0);
    sim.now += 86_400_000.0;
    (0..4).for_each(|n| sim.start(n, 99));
    sim.feed_all(Event::CacheNodes(all.clone()));
    for (from, _, bytes) in &recorded {
        sim.feed(3, Event::Datagram { from: *from, bytes: bytes.clone() });
    }
    assert_eq!(sim.gossip(3).counters().accepted, 0);
    assert!(sim.rejected(3, RejectReason::Clock) > 0);
    assert_eq!(sim.gossip(3).members().count(), 1);
}

/// A front that stalls sees every cache node fail and every front unresponsive: its reports on all nodes have no effect,
/// and the fronts that it suspects remain members.
#[test]
fn accusations_by_a_slow_front_have_no_effect() {
    let (mut sim, all) = settled(5, 20, 0.0, 7);
    for _ in 0..10 {
        sim.fronts[4].stalled_until_ms = sim.now + 2_500.0;
        sim.run_for(3_000.0);
        all.iter().for_each(|b| sim.observe(4, *b, Observation::Unresponsive, 0.9));
        sim.run_for(500.0);
        assert!((0..4).all(|n| sim.fronts[n].max_hearsay == 0.0));
        let dead = |n: usize| sim.gossip(n).members().filter(|m| m.state == MemberState::Dead).count();
        assert!((0..4).all(|n| dead(n) == 0), "nobody is declared dead by its suspicions");
    }
    assert!(sim.run_until_agreed(30_000.0).is_some());
}

/// A branch is lost with half of all datagrams: every front accuses every cache node, which says nothing of any one.
/// Accusations are summarised, the bytes stay under the budget (checked at every send), and after it all is as before.
#[test]
fn an_outage_of_a_branch_causes_no_gossip_storm() {
    let (mut sim, all) = settled(6, 200, 0.5, 8);
    for _ in 0..40 {
        for n in 0..6 {
            all.iter().for_each(|b| sim.observe(n, *b, Observation::Unresponsive, 1.0));
        }
        sim.run_for(500.0);
    }
    let max =
        (0..6).map(|n| sim.fronts[n].hearsay.values().fold(0.0, |a: f64, b| a.max(*b))).fold(0.0, f64::max);
    assert!(max < 0.3, "where all fail none is to blame: {max}");
    sim.run_for(60_000.0);
    assert!((0..6).all(|n| sim.fronts[n].hearsay.values().all(|h| *h == 0.0)));
    assert!(sim.run_until_agreed(60_000.0).is_some());
}

#[test]
fn membership_views_converge_after_a_partition_heals() {
    let (mut sim, _) = settled(8, 5, 0.1, 9);
    (0..4).for_each(|n| sim.partition[n] = 1);
    sim.run_for(60_000.0);
    let present =
        |sim: &Simulation, n| sim.gossip(n).members().filter(|m| common::is_present(m.state)).count();
    assert!((0..8).all(|n| present(&sim, n) == 4), "each side goes on alone");
    sim.partition.fill(0);
    assert!(sim.run_until_agreed(60_000.0).is_some(), "{} agree", sim.agreeing());
}

/// First all accept the new key, then all sign with it, then the old one is dropped: in that order nothing is lost.
#[test]
fn no_datagram_is_rejected_while_keys_are_rotated() {
    let (mut sim, all) = settled(5, 10, 0.0, 10);
    let (old, new) = (Key::new(1, [7; 32]), Key::new(2, [9; 32]));
    let steps = [
        Keyring::new(old.clone()).with_accepted(new.clone()),
        Keyring::new(new.clone()).with_accepted(old),
        Keyring::new(new),
    ];
    for ring in steps {
        for (n, of) in all.iter().enumerate().take(5) {
            sim.feed(n, Event::Keys(ring.clone()));
            (0..2).for_each(|s| sim.observe(s, *of, FAILING, 0.9));
            sim.run_for(700.0);
        }
    }
    assert!((0..5).all(|n| sim.rejected(n, RejectReason::Tag) == 0));
    assert_eq!(sim.agreeing(), 5);
    sim.keys = Keyring::new(Key::new(1, [7; 32]));
    sim.start(4, 1);
    sim.run_for(3_000.0);
    assert!((0..2).any(|n| sim.rejected(n, RejectReason::Tag) > 0), "the old key is no longer accepted");
    assert_eq!(sim.gossip(4).members().count(), 1, "and nobody answers it");
}

#[test]
fn accusations_of_ten_thousand_nodes_at_once_are_summarised() {
    let (mut sim, all) = settled(4, 10_000, 0.0, 12);
    for n in 0..3 {
        all.iter().for_each(|b| sim.observe(n, *b, Observation::Unresponsive, 1.0));
    }
    sim.run_for(10_000.0);
    let TableSizes { suspicions, own_reports, deliveries, .. } = sim.gossip(3).table_sizes();
    assert!(suspicions <= 3 * 64, "{suspicions} reports of three witnesses");
    assert_eq!((own_reports, deliveries), (0, 0));
    assert!(sim.fronts[3].hearsay.values().all(|h| *h == 0.0));
}

#[test]
fn a_replaced_cache_node_inherits_no_reports() {
    let (mut sim, all) = settled(5, 10, 0.0, 13);
    (0..3).for_each(|n| sim.observe(n, all[0], FAILING, 1.0));
    sim.run_for(2_000.0);
    assert!(sim.hearsay(4, all[0]) > 0.5);
    let mut after = all.clone();
    after[0] = CacheNodeKey::new("box-0", 77_000);
    sim.feed_all(Event::CacheNodes(after.clone()));
    assert_eq!(sim.hearsay(4, all[0]), 0.0, "reset at once");
    sim.run_for(3_000.0);
    assert_eq!(sim.hearsay(4, after[0]), 0.0);
    assert!(
        sim.gossip(4).suspicions(sim.clock(4)).next().is_none(),
        "old reports that still come are dropped"
    );
}

#[test]
fn a_front_that_restarts_under_its_name_remains_one_member() {
    let (mut sim, _) = settled(5, 5, 0.2, 14);
    for round in 0..3 {
        sim.fronts[2].gossip = None;
        sim.run_for(4_000.0);
        sim.start(2, 1000 + round);
        assert!(sim.run_until_agreed(30_000.0).is_some(), "{} agree", sim.agreeing());
        assert_eq!(sim.gossip(0).members().count(), 5);
    }
    sim.feed(2, Event::Leave);
    sim.fronts[2].gossip = None;
    sim.run_for(5_000.0);
    let state = sim.gossip(0).members().find(|m| m.name == "n2").map(|m| m.state);
    assert_eq!(state, Some(MemberState::Departed));
}

/// A peer that has the key and signs as another is recognised by its address; one that is not on the roster by its name.
#[test]
fn a_peer_can_report_only_as_itself() {
    let roster: Vec<String> = (0..4).map(|n| format!("n{n}")).collect();
    let config = Config { roster, ..Config::default() };
    let mut sim = Simulation::with(5, Network::with_loss(0.0), 15, config);
    let all = cache_nodes(5);
    sim.feed_all(Event::CacheNodes(all.clone()));
    sim.run_for(10_000.0);
    assert_eq!(sim.gossip(0).members().count(), 4, "n4 is not on the roster");
    assert!((0..2).any(|n| sim.rejected(n, RejectReason::Unknown) > 0), "it contacts a seed");
    // n3 sends what n1 and n2 signed, from its own address.
    sim.record = Some(Vec::new());
    (1..3).for_each(|n| sim.observe(n, all[0], FAILING, 1.0));
    sim.net.loss = 1.0;
    sim.run_for(2_000.0);
    sim.net.loss = 0.0;
    for (_, _, bytes) in sim.record.take().expect("recorded").into_iter().filter(|r| r.1 == addr(0)) {
        sim.feed(0, Event::Datagram { from: addr(3), bytes });
    }
    assert!(sim.rejected(0, RejectReason::Address) > 0);
    assert_eq!(sim.hearsay(0, all[0]), 0.0);
}

#[test]
fn clocks_may_be_off_within_the_permitted_skew() {
    let mut sim = Simulation::new(4, Network::with_loss(0.0), 16);
    sim.fronts[1].skew_ms = 20_000.0;
    sim.fronts[2].skew_ms = -20_000.0;
    sim.fronts[3].skew_ms = 3_600_000.0;
    (0..4).for_each(|n| sim.start(n, n as u64));
    sim.run_for(20_000.0);
    let sees = |n: usize| sim.gossip(n).members().count();
    assert_eq!((sees(0), sees(3)), (3, 1), "an hour is too far; twenty seconds are not");
    assert!(sim.rejected(0, RejectReason::Clock) > 0);
}
