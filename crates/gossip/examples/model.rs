//! The model of `tests/model.rs` within larger bounds; prints how many moments were tried. A minute or two, some GB.
//!
//!     cargo run --release -p fernslip-gossip --example model

#[path = "../tests/common/model.rs"]
mod model;

use model::{check, Talk};

fn main() {
    let base = Talk {
        fronts: 3,
        honest: false,
        dead: false,
        steps: 1,
        drops: 1,
        alarms: 1,
        trust: 0.95,
        fair: false,
    };
    for (what, talk) in [
        ("three fronts, a liar, one loss, one step of time", Talk { alarms: 0, ..base.clone() }),
        ("the same with a dead box", Talk { dead: true, alarms: 0, ..base.clone() }),
        ("the same with a false alarm", base.clone()),
        ("four fronts, a liar, one loss", Talk { fronts: 4, steps: 0, alarms: 0, ..base }),
    ] {
        println!("{what}: {} moments, all properties hold", check(talk));
    }
}
