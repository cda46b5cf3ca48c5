//! Prints the faults of a soak that are generated from a seed. Usage:
//! `cargo run --release -p fernslip-rig --example plan -- SEED SECONDS FRONTS`.

use fernslip_rig::soak::plan::generate_fault_plan;
use fernslip_rig::soak::run::soak_fleet_size;
use std::time::Duration;

fn main() {
    let mut numbers = std::env::args().skip(1).filter_map(|a| a.parse::<u64>().ok());
    let mut next = |default| numbers.next().unwrap_or(default);
    let (seed, seconds, fronts) = (next(1), next(25), next(24));
    for p in generate_fault_plan(seed, Duration::from_secs(seconds), soak_fleet_size(fronts as usize)) {
        println!("{:>6} ms for {:>5} ms: {:?}", p.after.as_millis(), p.duration.as_millis(), p.kind);
    }
}
