//! Gossip under faults in a simulated network: byzantine and colluding peers, replays, slow fronts, outages,
//! partitions and floods of accusations.

mod common;

use common::{cache_nodes, front_addr, Network, Simulation};
use fernslip_gossip::*;

const FAILING: Observation = Observation::Failing;

/// Starts fronts that agree on their membership and know `node_count` cache nodes.
fn converged_simulation(
    fronts: usize,
    node_count: usize,
    loss: f64,
    seed: u64,
) -> (Simulation, Vec<CacheNodeKey>) {
    let mut sim = Simulation::new(fronts, Network::with_loss(loss), seed);
    let all = cache_nodes(node_count);
    sim.handle_event_on_all(Event::CacheNodes(all.clone()));
    assert!(
        sim.run_until_agreement(60_000.0).is_some(),
        "only {} of {fronts} fronts agree on the membership",
        sim.agreeing_fronts()
    );
    (sim, all)
}

#[test]
fn membership_views_converge_under_datagram_loss() {
    for (fronts, loss) in [(3, 0.0), (3, 0.5), (20, 0.3), (20, 0.5), (60, 0.3)] {
        let mut sim = Simulation::new(fronts, Network::with_loss(loss), 11);
        let took = sim.run_until_agreement(90_000.0);
        assert!(
            took.is_some(),
            "only {} of {fronts} fronts agree with a loss rate of {loss}",
            sim.agreeing_fronts()
        );
    }
}

/// Two hundred fronts discover each other through two seeds with datagrams of at most 256 bytes.
#[test]
fn two_hundred_fronts_agree_on_their_membership() {
    let mut sim = Simulation::new(200, Network::with_loss(0.1), 3);
    assert!(
        sim.run_until_agreement(60_000.0).is_some(),
        "only {} fronts agree on the membership",
        sim.agreeing_fronts()
    );
}

#[test]
fn equal_simulations_send_equal_bytes() {
    let run = |seed| {
        let (mut sim, all) = converged_simulation(5, 10, 0.2, seed);
        sim.observe_node(1, all[0], FAILING, 0.9);
        sim.observe_node(2, all[0], FAILING, 0.9);
        sim.run_for_ms(5_000.0);
        sim.hash
    };
    assert_eq!(run(4), run(4));
    assert_ne!(run(4), run(5));
}

/// Two fronts see a cache node fail, and the others learn of it within seconds, although a third of all
/// datagrams is lost.
#[test]
fn a_failure_seen_by_two_fronts_reaches_the_others() {
    let (mut sim, all) = converged_simulation(6, 20, 0.3, 1);
    sim.observe_node(0, all[3], FAILING, 0.8);
    sim.run_for_ms(1_500.0);
    assert!((1..6).all(|n| sim.peer_score(n, all[3]) == 0.0), "one witness is no quorum");
    sim.observe_node(1, all[3], Observation::Unresponsive, 0.8);
    sim.run_for_ms(4_000.0);
    let reached = |sim: &Simulation| (2..6).filter(|n| sim.peer_score(*n, all[3]) > 0.2).count();
    assert!(reached(&sim) >= 3, "only {} of four fronts have learned of the failure", reached(&sim));
    // A front that missed all three initial sends of a witness's report receives the refresh.
    sim.run_for_ms(4_000.0);
    assert_eq!(reached(&sim), 4);
    assert!((2..6).all(|n| sim.fronts[n].peer_scores.iter().all(|(of, h)| *of == all[3] || *h == 0.0)));
    // The number of answers that a report is based on is sent with it.
    sim.observe_node(0, all[3], FAILING, 0.8);
    sim.run_for_ms(9_000.0);
    let counts: Vec<u8> = sim.gossip(2).suspicions(sim.clock(2)).map(|s| s.report.count).collect();
    assert!(counts.contains(&10), "no report has a count of 10: {counts:?}");
    // The score decays once no front reports the failure any more.
    sim.run_for_ms(40_000.0);
    assert!((0..6).all(|n| sim.peer_score(n, all[3]) == 0.0));
}

/// A single peer accuses one cache node and all cache nodes in turn, again and again. No honest front's score
/// rises above 0 at any time.
#[test]
fn a_single_byzantine_peer_changes_no_score() {
    let (mut sim, all) = converged_simulation(5, 30, 0.1, 2);
    for round in 0..120 {
        let target = if round % 2 == 0 { all[0] } else { all[round % 30] };
        sim.observe_node(4, target, FAILING, 1.0);
        sim.run_for_ms(250.0);
    }
    assert!((0..4).all(|n| sim.fronts[n].max_peer_score == 0.0), "no honest front's score ever rose above 0");
}

/// A byzantine peer's accusation and a single error observed by the front itself are not a quorum; the
/// accusation and a connection refused to the front itself are.
#[test]
fn a_single_error_seen_by_the_front_itself_is_no_witness() {
    for (strength, counts) in [(0.3, false), (0.5, true)] {
        let (mut sim, all) = converged_simulation(5, 30, 0.0, 21);
        for _ in 0..8 {
            sim.observe_node(4, all[0], FAILING, 1.0);
            sim.run_for_ms(250.0);
        }
        sim.observe_node(0, all[0], FAILING, strength);
        assert_eq!(
            sim.peer_score(0, all[0]) > 0.3,
            counts,
            "own evidence of strength {strength} gives a score of {}",
            sim.peer_score(0, all[0])
        );
        // A successful answer to the front itself ends the effect of the accusations.
        sim.observe_node(0, all[0], Observation::Healthy, 1.0);
        assert_eq!(sim.peer_score(0, all[0]), 0.0);
    }
}

/// Two byzantine peers are a quorum in a small fleet. Their effect is capped, and they lose their trust
/// because the other fronts see the cache node answer.
#[test]
fn two_colluding_byzantine_peers_lose_their_trust() {
    let (mut sim, all) = converged_simulation(6, 20, 0.0, 3);
    let mut last = Vec::new();
    for round in 0..240 {
        for byzantine in [4, 5] {
            sim.observe_node(byzantine, all[7], FAILING, 1.0);
        }
        // The cache node is healthy, and each honest front gets an answer from it now and then.
        if round % 8 == 0 {
            sim.observe_node(round / 8 % 4, all[7], Observation::Healthy, 1.0);
        }
        sim.run_for_ms(250.0);
        last = (0..4).map(|n| sim.peer_score(n, all[7])).collect();
    }
    assert!(
        (0..4).all(|n| sim.fronts[n].max_peer_score <= aggregate::MAX_SCORE),
        "the score never exceeded the cap"
    );
    assert!(last.iter().all(|h| *h < 0.2), "the final scores are not below 0.2: {last:?}");
    for n in 0..4 {
        let byzantine = sim.gossip(4).id();
        assert!(sim.gossip(n).trust(byzantine, sim.clock(n)) < 0.25);
    }
}

#[test]
fn one_healthy_report_on_a_dead_node_does_not_cancel_the_accusations() {
    let (mut sim, all) = converged_simulation(6, 20, 0.0, 4);
    for _ in 0..20 {
        (0..3).for_each(|n| sim.observe_node(n, all[1], FAILING, 0.8));
        sim.observe_node(5, all[1], Observation::Healthy, 1.0);
        sim.run_for_ms(250.0);
    }
    assert!((3..5).all(|n| sim.peer_score(n, all[1]) > 0.5));
}

#[test]
fn a_witness_that_crashes_counts_until_it_is_declared_dead() {
    let (mut sim, all) = converged_simulation(5, 20, 0.0, 5);
    sim.observe_node(0, all[2], FAILING, 0.8);
    sim.run_for_ms(600.0);
    sim.fronts[0].gossip = None;
    sim.observe_node(1, all[2], FAILING, 0.8);
    sim.run_for_ms(600.0);
    assert!(
        (2..5).all(|n| sim.peer_score(n, all[2]) > 0.4),
        "the report of the crashed witness still counts"
    );
    assert!(sim.run_until_agreement(60_000.0).is_some(), "all fronts declare the witness dead");
    assert!((2..5).all(|n| sim.peer_score(n, all[2]) == 0.0), "the report of a dead witness does not count");
}

/// Recorded datagrams are replayed at once, and a day later to fronts that have restarted.
#[test]
fn replayed_datagrams_are_rejected() {
    let (mut sim, all) = converged_simulation(4, 10, 0.0, 6);
    sim.recorded = Some(Vec::new());
    (0..2).for_each(|n| sim.observe_node(n, all[0], FAILING, 1.0));
    sim.run_for_ms(2_000.0);
    let recorded = sim.recorded.take().expect("recording is on");
    let accepted = sim.gossip(3).counters().accepted;
    for (from, to, bytes) in recorded.iter().filter(|r| r.1 == front_addr(3)) {
        sim.handle_event(3, Event::Datagram { from: *from, bytes: bytes.clone() });
        assert_eq!(*to, front_addr(3));
    }
    assert_eq!(sim.gossip(3).counters().accepted, accepted, "no datagram is accepted twice");
    assert!(sim.rejected_count(3, RejectReason::Replayed) > 0);
    sim.now += 86_400_000.0;
    (0..4).for_each(|n| sim.start_front(n, 99));
    sim.handle_event_on_all(Event::CacheNodes(all.clone()));
    for (from, _, bytes) in &recorded {
        sim.handle_event(3, Event::Datagram { from: *from, bytes: bytes.clone() });
    }
    assert_eq!(sim.gossip(3).counters().accepted, 0);
    assert!(sim.rejected_count(3, RejectReason::ClockSkew) > 0);
    assert_eq!(sim.gossip(3).members().count(), 1);
}

/// A front that stalls sees every cache node and every front as unresponsive. Its reports on all nodes have
/// no effect, and the fronts that it suspects remain members.
#[test]
fn accusations_by_a_slow_front_have_no_effect() {
    let (mut sim, all) = converged_simulation(5, 20, 0.0, 7);
    for _ in 0..10 {
        sim.fronts[4].stalled_until_ms = sim.now + 2_500.0;
        sim.run_for_ms(3_000.0);
        all.iter().for_each(|b| sim.observe_node(4, *b, Observation::Unresponsive, 0.9));
        sim.run_for_ms(500.0);
        assert!((0..4).all(|n| sim.fronts[n].max_peer_score == 0.0));
        let dead = |n: usize| sim.gossip(n).members().filter(|m| m.state == MemberState::Dead).count();
        assert!(
            (0..4).all(|n| dead(n) == 0),
            "the slow front's suspicions lead to no front being declared dead"
        );
    }
    assert!(sim.run_until_agreement(30_000.0).is_some());
}

/// In an outage of a branch, half of all datagrams is lost and every front accuses every cache node, which
/// says nothing about any one of them. The accusations are summarised, each send is checked against the send
/// budget, and afterwards all scores return to 0 and the membership views agree.
#[test]
fn a_branch_outage_stays_within_the_send_budget_and_blames_no_node() {
    let (mut sim, all) = converged_simulation(6, 200, 0.5, 8);
    for _ in 0..40 {
        for n in 0..6 {
            all.iter().for_each(|b| sim.observe_node(n, *b, Observation::Unresponsive, 1.0));
        }
        sim.run_for_ms(500.0);
    }
    let max = (0..6)
        .map(|n| sim.fronts[n].peer_scores.values().fold(0.0, |a: f64, b| a.max(*b)))
        .fold(0.0, f64::max);
    assert!(max < 0.3, "the highest score is {max} although every cache node is accused");
    sim.run_for_ms(60_000.0);
    assert!((0..6).all(|n| sim.fronts[n].peer_scores.values().all(|h| *h == 0.0)));
    assert!(sim.run_until_agreement(60_000.0).is_some());
}

#[test]
fn membership_views_converge_after_a_partition_heals() {
    let (mut sim, _) = converged_simulation(8, 5, 0.1, 9);
    (0..4).for_each(|n| sim.partition[n] = 1);
    sim.run_for_ms(60_000.0);
    let present =
        |sim: &Simulation, n| sim.gossip(n).members().filter(|m| common::is_present(m.state)).count();
    assert!(
        (0..8).all(|n| present(&sim, n) == 4),
        "each side of the partition sees only its own four fronts"
    );
    sim.partition.fill(0);
    assert!(
        sim.run_until_agreement(60_000.0).is_some(),
        "only {} fronts agree on the membership",
        sim.agreeing_fronts()
    );
}

/// Keys are rotated in three steps: all fronts accept the new key, then sign with it, then drop the old one.
/// No datagram is rejected in that order.
#[test]
fn no_datagram_is_rejected_while_keys_are_rotated() {
    let (mut sim, all) = converged_simulation(5, 10, 0.0, 10);
    let (old, new) = (Key::new(1, [7; 32]), Key::new(2, [9; 32]));
    let steps = [
        Keyring::new(old.clone()).with_accepted(new.clone()),
        Keyring::new(new.clone()).with_accepted(old),
        Keyring::new(new),
    ];
    for ring in steps {
        for (n, of) in all.iter().enumerate().take(5) {
            sim.handle_event(n, Event::Keys(ring.clone()));
            (0..2).for_each(|s| sim.observe_node(s, *of, FAILING, 0.9));
            sim.run_for_ms(700.0);
        }
    }
    assert!((0..5).all(|n| sim.rejected_count(n, RejectReason::InvalidTag) == 0));
    assert_eq!(sim.agreeing_fronts(), 5);
    sim.keys = Keyring::new(Key::new(1, [7; 32]));
    sim.start_front(4, 1);
    sim.run_for_ms(3_000.0);
    assert!(
        (0..2).any(|n| sim.rejected_count(n, RejectReason::InvalidTag) > 0),
        "datagrams signed with the old key are rejected"
    );
    assert_eq!(sim.gossip(4).members().count(), 1, "a front with the old key gets no answers");
}

#[test]
fn accusations_of_ten_thousand_nodes_at_once_are_summarised() {
    let (mut sim, all) = converged_simulation(4, 10_000, 0.0, 12);
    for n in 0..3 {
        all.iter().for_each(|b| sim.observe_node(n, *b, Observation::Unresponsive, 1.0));
    }
    sim.run_for_ms(10_000.0);
    let TableSizes { suspicions, own_reports, deliveries, .. } = sim.gossip(3).table_sizes();
    assert!(suspicions <= 3 * 64, "{suspicions} reports of three witnesses are stored, more than 64 of each");
    assert_eq!((own_reports, deliveries), (0, 0));
    assert!(sim.fronts[3].peer_scores.values().all(|h| *h == 0.0));
}

#[test]
fn a_replaced_cache_node_inherits_no_reports() {
    let (mut sim, all) = converged_simulation(5, 10, 0.0, 13);
    (0..3).for_each(|n| sim.observe_node(n, all[0], FAILING, 1.0));
    sim.run_for_ms(2_000.0);
    assert!(sim.peer_score(4, all[0]) > 0.5);
    let mut after = all.clone();
    after[0] = CacheNodeKey::new("box-0", 77_000);
    sim.handle_event_on_all(Event::CacheNodes(after.clone()));
    assert_eq!(sim.peer_score(4, all[0]), 0.0, "the score of the replaced node is reset at once");
    sim.run_for_ms(3_000.0);
    assert_eq!(sim.peer_score(4, after[0]), 0.0);
    assert!(
        sim.gossip(4).suspicions(sim.clock(4)).next().is_none(),
        "late reports on the replaced node are dropped"
    );
}

#[test]
fn a_front_that_restarts_under_its_name_remains_one_member() {
    let (mut sim, _) = converged_simulation(5, 5, 0.2, 14);
    for round in 0..3 {
        sim.fronts[2].gossip = None;
        sim.run_for_ms(4_000.0);
        sim.start_front(2, 1000 + round);
        assert!(
            sim.run_until_agreement(30_000.0).is_some(),
            "only {} fronts agree on the membership",
            sim.agreeing_fronts()
        );
        assert_eq!(sim.gossip(0).members().count(), 5);
    }
    sim.handle_event(2, Event::Leave);
    sim.fronts[2].gossip = None;
    sim.run_for_ms(5_000.0);
    let state = sim.gossip(0).members().find(|m| m.name == "n2").map(|m| m.state);
    assert_eq!(state, Some(MemberState::Departed));
}

/// A peer with the key that signs as another front is detected by its address, and a peer that is not on the
/// roster by its name.
#[test]
fn a_peer_can_report_only_as_itself() {
    let roster: Vec<String> = (0..4).map(|n| format!("n{n}")).collect();
    let config = Config { roster, ..Config::default() };
    let mut sim = Simulation::with_config(5, Network::with_loss(0.0), 15, config);
    let all = cache_nodes(5);
    sim.handle_event_on_all(Event::CacheNodes(all.clone()));
    sim.run_for_ms(10_000.0);
    assert_eq!(sim.gossip(0).members().count(), 4, "front n4 is neither on the roster nor a member");
    assert!(
        (0..2).any(|n| sim.rejected_count(n, RejectReason::NotOnRoster) > 0),
        "a seed rejects the contact of front n4"
    );
    // Front n3 resends from its own address what n1 and n2 signed.
    sim.recorded = Some(Vec::new());
    (1..3).for_each(|n| sim.observe_node(n, all[0], FAILING, 1.0));
    sim.net.loss = 1.0;
    sim.run_for_ms(2_000.0);
    sim.net.loss = 0.0;
    for (_, _, bytes) in
        sim.recorded.take().expect("recording is on").into_iter().filter(|r| r.1 == front_addr(0))
    {
        sim.handle_event(0, Event::Datagram { from: front_addr(3), bytes });
    }
    assert!(sim.rejected_count(0, RejectReason::AddressMismatch) > 0);
    assert_eq!(sim.peer_score(0, all[0]), 0.0);
}

#[test]
fn clocks_may_be_off_within_the_permitted_skew() {
    let mut sim = Simulation::new(4, Network::with_loss(0.0), 16);
    sim.fronts[1].skew_ms = 20_000.0;
    sim.fronts[2].skew_ms = -20_000.0;
    sim.fronts[3].skew_ms = 3_600_000.0;
    (0..4).for_each(|n| sim.start_front(n, n as u64));
    sim.run_for_ms(20_000.0);
    let sees = |n: usize| sim.gossip(n).members().count();
    assert_eq!((sees(0), sees(3)), (3, 1), "a skew of 20 seconds is accepted and one of an hour is not");
    assert!(sim.rejected_count(0, RejectReason::ClockSkew) > 0);
}
