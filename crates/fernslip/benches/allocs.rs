//! Counts the allocations of one decision without failures, after a warm-up, at 5 to 500 caches. This is a
//! separate benchmark because a counting allocator would slow the timings of `decide` by some 0.7 us per
//! decision.
//!
//!     cargo bench -p fernslip --bench allocs

#[path = "../tests/common/mod.rs"]
mod common;

use common::{first_sent_attempt, settings, wide_fleet, Rig};
use fernslip::Ending;

/// A router with `caches` cache nodes in its location.
fn rig_with_caches(caches: usize) -> Rig {
    let mut rig = Rig::with_settings(settings());
    rig.update_endpoints(wide_fleet(caches, 0, 0.0));
    rig
}

/// Handles one request and its successful outcome.
fn serve_request(rig: &mut Rig, object: u64) {
    rig.now += 1.0;
    let Some(attempt) = first_sent_attempt(&rig.request(object)) else { return };
    rig.now += 1.0;
    std::hint::black_box(rig.end_attempt(&attempt, 0, Ending::Completed, 1));
}

fn main() {
    for caches in [5, 20, 100, 500] {
        let mut rig = rig_with_caches(caches);
        (0..200).for_each(|n| serve_request(&mut rig, n % 500));
        let rounds = 100;
        let info =
            allocation_counter::measure(|| (0..rounds).for_each(|n| serve_request(&mut rig, 1000 + n % 500)));
        let (count, bytes) =
            (info.count_total as f64 / rounds as f64, info.bytes_total as f64 / rounds as f64);
        println!("allocations per decision at {caches} caches: {count:.1}, {bytes:.0} bytes");
    }
}
