//! Compares the views of this crate with SWIM and Lifeguard's suspicions (the membership of the crate
//! `fernslip-gossip`) in the same scenarios, with the same seeds, on the same in-memory network. Prints one
//! line of JSON for each scenario and protocol. A third argument selects the scenarios whose names contain
//! it.
//!
//! `cargo run --release -p fernslip-view --example compare -- [fronts] [seeds] [scenario]`

#[path = "../tests/common/net.rs"]
#[allow(dead_code, reason = "this example uses only a part of the module")]
mod net;

use net::{Faults, Front, Network, SwimFront, ViewFront};
use serde_json::{json, Value};

const MAX_RECOVERY_MS: f64 = 120_000.0;

struct Outcome {
    settle_ms: Option<f64>,
    false_failures: usize,
    bytes: f64,
}

/// Runs the network until the views of all fronts are consistent again; returns the time and the traffic that
/// this took.
fn measure_recovery<F: Front>(net: &mut Network<F>) -> Outcome {
    let (bytes, from) = (net.sent_bytes(), net.now_ms);
    let settle_ms = net.run_until(MAX_RECOVERY_MS, Network::is_consistent);
    let seconds = (net.now_ms - from) / 1000.0;
    let bytes_per_front_s = (net.sent_bytes() - bytes) as f64 / seconds.max(0.02) / net.hosts.len() as f64;
    Outcome { settle_ms, false_failures: net.false_failures.len(), bytes: bytes_per_front_s }
}

/// Runs the network with the given faults for `ms` milliseconds, then heals them and measures until the views
/// are consistent.
fn run_with_faults<F: Front>(net: &mut Network<F>, faults: Faults, ms: f64) -> Outcome {
    net.faults = faults;
    net.run_for(ms);
    net.heal_links();
    measure_recovery(net)
}

fn run_scenario<F: Front>(name: &str, front_count: usize, seed: u64) -> Option<Outcome> {
    let mut net: Network<F> = Network::with_fronts(front_count, seed);
    if name == "all start" {
        return Some(measure_recovery(&mut net));
    }
    net.run_until(MAX_RECOVERY_MS, Network::is_consistent)?;
    net.run_for(3_000.0);
    net.false_failures.clear();
    let third = || front_count / 2..front_count / 2 + front_count / 3;
    Some(match name {
        "steady" => {
            let (bytes, from) = (net.sent_bytes(), net.now_ms);
            net.run_for(30_000.0);
            let bytes_per_front_s =
                (net.sent_bytes() - bytes) as f64 / (net.now_ms - from) * 1000.0 / front_count as f64;
            Outcome {
                settle_ms: Some(0.0),
                false_failures: net.false_failures.len(),
                bytes: bytes_per_front_s,
            }
        }
        "one crashes" => {
            net.crash(front_count / 2);
            measure_recovery(&mut net)
        }
        "a third crashes" => {
            third().for_each(|i| net.crash(i));
            measure_recovery(&mut net)
        }
        "a third joins" => {
            for i in 0..front_count / 3 {
                net.add_front(&format!("new{i}"));
            }
            measure_recovery(&mut net)
        }
        "halves, 3 s" => {
            let sides = (0..front_count).map(|i| (i, (i % 2) as u8)).collect();
            run_with_faults(&mut net, Faults { sides, ..Faults::default() }, 3_000.0)
        }
        "halves, 60 s" => {
            let sides = (0..front_count).map(|i| (i, (i % 2) as u8)).collect();
            run_with_faults(&mut net, Faults { sides, ..Faults::default() }, 60_000.0)
        }
        "30 % lost, 60 s" => run_with_faults(&mut net, Faults { loss: 0.3, ..Faults::default() }, 60_000.0),
        "one loses half, 60 s" => {
            run_with_faults(&mut net, Faults { host_loss: [(3, 0.5)].into(), ..Faults::default() }, 60_000.0)
        }
        "a third 400 ms away, 30 s" => {
            let delays = third().map(|i| (i, (400.0, 100.0))).collect();
            run_with_faults(&mut net, Faults { delays, ..Faults::default() }, 30_000.0)
        }
        "links one way, 30 s" => {
            let one_way = (0..front_count / 5).map(|i| (i, i + 1)).collect();
            run_with_faults(&mut net, Faults { one_way, ..Faults::default() }, 30_000.0)
        }
        "a fifth stops for 1 s, 4 times" => {
            for _ in 0..4 {
                (0..front_count / 5).for_each(|i| net.pause(i));
                net.run_for(1_000.0);
                (0..front_count / 5).for_each(|i| net.resume(i));
                net.run_for(3_000.0);
            }
            measure_recovery(&mut net)
        }
        _ => return None,
    })
}

const SCENARIOS: [&str; 12] = [
    "all start",
    "steady",
    "one crashes",
    "a third crashes",
    "a third joins",
    "halves, 3 s",
    "halves, 60 s",
    "30 % lost, 60 s",
    "one loses half, 60 s",
    "a third 400 ms away, 30 s",
    "links one way, 30 s",
    "a fifth stops for 1 s, 4 times",
];

fn result_row<F: Front>(protocol: &str, name: &str, front_count: usize, seeds: u64) -> Value {
    let outcomes: Vec<Option<Outcome>> =
        (1..=seeds).map(|s| run_scenario::<F>(name, front_count, s)).collect();
    let mut settle: Vec<f64> =
        outcomes.iter().map(|g| g.as_ref().and_then(|g| g.settle_ms).unwrap_or(f64::MAX)).collect();
    settle.sort_by(f64::total_cmp);
    let ms = |v: f64| if v == f64::MAX { json!("never") } else { json!(v.round()) };
    let max_bytes = outcomes.iter().flatten().map(|g| g.bytes).fold(0.0, f64::max);
    json!({
        "scenario": name, "way": protocol, "fronts": front_count, "seeds": seeds,
        "settle_ms": { "p50": ms(settle[settle.len() / 2]), "max": ms(settle[settle.len() - 1]) },
        "false_gone": outcomes.iter().flatten().map(|g| g.false_failures).sum::<usize>(),
        "bytes_per_s_max": max_bytes.round(),
    })
}

fn main() {
    let mut args = std::env::args().skip(1);
    let front_count = args.next().and_then(|a| a.parse().ok()).unwrap_or(100);
    let seeds = args.next().and_then(|a| a.parse().ok()).unwrap_or(3);
    let only = args.next();
    for name in SCENARIOS.into_iter().filter(|name| only.as_deref().is_none_or(|o| name.contains(o))) {
        println!("{}", result_row::<ViewFront>("view", name, front_count, seeds));
        println!("{}", result_row::<SwimFront>("swim", name, front_count, seeds));
    }
}
