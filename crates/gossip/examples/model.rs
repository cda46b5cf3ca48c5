//! Explores the model of `tests/model.rs` within larger bounds and prints the number of states. It takes a
//! minute or two and several GB of memory.
//!
//!     cargo run --release -p fernslip-gossip --example model

#[path = "../tests/common/model.rs"]
mod model;

use model::{explore, GossipModel};

fn main() {
    let base = GossipModel {
        fronts: 3,
        honest: false,
        dead: false,
        time_steps: 1,
        drops: 1,
        false_alarms: 1,
        trust: 0.95,
        fair: false,
    };
    for (bounds, model) in [
        (
            "three fronts, one of them byzantine, one lost datagram, one time step",
            GossipModel { false_alarms: 0, ..base.clone() },
        ),
        (
            "three fronts, one of them byzantine, one lost datagram, one time step, a dead cache node",
            GossipModel { dead: true, false_alarms: 0, ..base.clone() },
        ),
        (
            "three fronts, one of them byzantine, one lost datagram, one time step, \
             one false accusation by an honest front",
            base.clone(),
        ),
        (
            "four fronts, one of them byzantine, one lost datagram",
            GossipModel { fronts: 4, time_steps: 0, false_alarms: 0, ..base },
        ),
    ] {
        println!("{bounds}: {} states, all properties hold", explore(model));
    }
}
