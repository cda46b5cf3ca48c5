//! Explores every order in which fronts report and datagrams are lost or delivered, within small bounds. The
//! example `model` uses larger ones.

#[path = "common/model.rs"]
mod model;

use model::{explore, GossipModel};

const BASE_MODEL: GossipModel = GossipModel {
    fronts: 3,
    honest: false,
    dead: false,
    time_steps: 0,
    drops: 1,
    false_alarms: 0,
    trust: 0.95,
    fair: false,
};

#[test]
fn a_byzantine_peer_changes_no_score_in_any_order() {
    for trust in [0.05, 0.5, 0.95] {
        assert!(explore(GossipModel { trust, ..BASE_MODEL }) > 100);
    }
}

#[test]
fn a_byzantine_peer_changes_no_score_as_reports_age() {
    assert!(explore(GossipModel { time_steps: 1, drops: 0, ..BASE_MODEL }) > 10_000);
}

#[test]
fn the_effect_of_a_byzantine_peer_and_a_false_alarm_is_capped_in_any_order() {
    assert!(explore(GossipModel { false_alarms: 1, ..BASE_MODEL }) > 100);
}

#[test]
fn on_a_fair_network_every_honest_front_learns_of_a_dead_node() {
    let dead = GossipModel { dead: true, fair: true, drops: 0, honest: true, time_steps: 1, ..BASE_MODEL };
    assert!(explore(dead.clone()) > 100);
    // A byzantine peer that reports the dead node as healthy does not hide the failure: each of the three
    // honest fronts has two other honest witnesses.
    assert!(explore(GossipModel { fronts: 4, honest: false, time_steps: 0, ..dead }) > 1_000);
}
