//! Every order in which three fronts may report, lose and receive, within small bounds; those of `--example model` are
//! large.

#[path = "common/model.rs"]
mod model;

use model::{check, GossipModel};

const BASE: GossipModel = GossipModel {
    fronts: 3,
    honest: false,
    dead: false,
    time_steps: 0,
    drops: 1,
    alarms: 0,
    trust: 0.95,
    fair: false,
};

#[test]
fn a_byzantine_peer_changes_no_score_in_any_order() {
    for trust in [0.05, 0.5, 0.95] {
        assert!(check(GossipModel { trust, ..BASE }) > 100);
    }
}

#[test]
fn a_byzantine_peer_changes_no_score_as_reports_age() {
    assert!(check(GossipModel { time_steps: 1, drops: 0, ..BASE }) > 10_000);
}

#[test]
fn a_byzantine_peer_and_a_false_alarm_are_capped_in_any_order() {
    assert!(check(GossipModel { alarms: 1, ..BASE }) > 100);
}

#[test]
fn what_all_observe_reaches_all_where_the_network_is_fair() {
    let dead = GossipModel { dead: true, fair: true, drops: 0, honest: true, time_steps: 1, ..BASE };
    assert!(check(dead.clone()) > 100);
    // Nor does a byzantine peer that reports it healthy prevent that: each of three has two honest witnesses.
    assert!(check(GossipModel { fronts: 4, honest: false, time_steps: 0, ..dead }) > 1_000);
}
