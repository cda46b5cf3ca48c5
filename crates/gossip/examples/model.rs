//! The model of `tests/model.rs` within larger bounds; prints how many states were explored. A minute or two, some GB.
//!
//!     cargo run --release -p fernslip-gossip --example model

#[path = "../tests/common/model.rs"]
mod model;

use model::{check, GossipModel};

fn main() {
    let base = GossipModel {
        fronts: 3,
        honest: false,
        dead: false,
        time_steps: 1,
        drops: 1,
        alarms: 1,
        trust: 0.95,
        fair: false,
    };
    for (bounds, model) in [
        (
            "three fronts, a byzantine peer, one loss, one step of time",
            GossipModel { alarms: 0, ..base.clone() },
        ),
        ("the same with a dead node", GossipModel { dead: true, alarms: 0, ..base.clone() }),
        ("the same with a false alarm", base.clone()),
        (
            "four fronts, a byzantine peer, one loss",
            GossipModel { fronts: 4, time_steps: 0, alarms: 0, ..base },
        ),
    ] {
        println!("{bounds}: {} states, all properties hold", check(model));
    }
}
