//! Allocations of one calm decision, warm, at 5 to 500 caches. Apart from `decide`, whose timings a counting
//! allocator would slow by some 0.7 us a decision.
//!
//!     cargo bench -p fernslip --bench allocs

#[path = "../tests/common/mod.rs"]
mod common;

use common::{sent, settings, wide_fleet, Rig};
use fernslip::Ending;

fn rig(caches: usize) -> Rig {
    let mut rig = Rig::with(settings());
    rig.update_endpoints(wide_fleet(caches, 0, 0.0));
    rig
}

fn decision(rig: &mut Rig, object: u64) {
    rig.now += 1.0;
    let Some(s) = sent(&rig.request(object)) else { return };
    rig.now += 1.0;
    std::hint::black_box(rig.end(&s, 0, Ending::Completed, 1));
}

fn main() {
    for caches in [5, 20, 100, 500] {
        let mut rig = rig(caches);
        (0..200).for_each(|n| decision(&mut rig, n % 500));
        let rounds = 100;
        let info =
            allocation_counter::measure(|| (0..rounds).for_each(|n| decision(&mut rig, 1000 + n % 500)));
        let (count, bytes) =
            (info.count_total as f64 / rounds as f64, info.bytes_total as f64 / rounds as f64);
        println!("allocations a decision at {caches} caches: {count:.1}, {bytes:.0} bytes");
    }
}
