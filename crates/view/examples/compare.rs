//! Views by several watchers compared with SWIM with Lifeguard's suspicions (the membership of `fernslip-gossip`), on the
//! same scenarios, seeds and in-memory network: `cargo run --release -p fernslip-view --example compare -- [fronts] [seeds]`.
//! Prints JSON, a row for each scenario and protocol.

#[path = "../tests/common/net.rs"]
#[allow(dead_code, reason = "each test and example uses a part")]
mod net;

use net::{Faults, Front, Net, Swim, Viewed};
use serde_json::{json, Value};

const MAX_MS: f64 = 120_000.0;

struct Outcome {
    settle_ms: Option<f64>,
    false_failures: usize,
    bytes: f64,
}

/// Until all are even after what was done, and what it cost.
fn after<F: Front>(net: &mut Net<F>) -> Outcome {
    let (bytes, from) = (net.sent_bytes(), net.now_ms);
    let settle_ms = net.until(MAX_MS, Net::is_consistent);
    let seconds = (net.now_ms - from) / 1000.0;
    let a_front = (net.sent_bytes() - bytes) as f64 / seconds.max(0.02) / net.hosts.len() as f64;
    Outcome { settle_ms, false_failures: net.false_failures.len(), bytes: a_front }
}

/// For so long, with faults; and then until all are even.
fn during<F: Front>(net: &mut Net<F>, faults: Faults, ms: f64) -> Outcome {
    net.faults = faults;
    net.run(ms);
    net.heal();
    after(net)
}

fn scenario<F: Front>(name: &str, n: usize, seed: u64) -> Option<Outcome> {
    let mut net: Net<F> = Net::of(n, seed);
    if name == "all start" {
        return Some(after(&mut net));
    }
    net.until(MAX_MS, Net::is_consistent)?;
    net.run(3_000.0);
    net.false_failures.clear();
    let third = || n / 2..n / 2 + n / 3;
    Some(match name {
        "steady" => {
            let (bytes, from) = (net.sent_bytes(), net.now_ms);
            net.run(30_000.0);
            let a_front = (net.sent_bytes() - bytes) as f64 / (net.now_ms - from) * 1000.0 / n as f64;
            Outcome { settle_ms: Some(0.0), false_failures: net.false_failures.len(), bytes: a_front }
        }
        "one crashes" => {
            net.kill(n / 2);
            after(&mut net)
        }
        "a third crashes" => {
            third().for_each(|i| net.kill(i));
            after(&mut net)
        }
        "a third joins" => {
            for i in 0..n / 3 {
                net.add(&format!("new{i}"));
            }
            after(&mut net)
        }
        "halves, 3 s" => {
            let sides = (0..n).map(|i| (i, (i % 2) as u8)).collect();
            during(&mut net, Faults { sides, ..Faults::default() }, 3_000.0)
        }
        "halves, 60 s" => {
            let sides = (0..n).map(|i| (i, (i % 2) as u8)).collect();
            during(&mut net, Faults { sides, ..Faults::default() }, 60_000.0)
        }
        "30 % lost, 60 s" => during(&mut net, Faults { loss: 0.3, ..Faults::default() }, 60_000.0),
        "one loses half, 60 s" => {
            during(&mut net, Faults { host_loss: [(3, 0.5)].into(), ..Faults::default() }, 60_000.0)
        }
        "a third 400 ms away, 30 s" => {
            let delays = third().map(|i| (i, (400.0, 100.0))).collect();
            during(&mut net, Faults { delays, ..Faults::default() }, 30_000.0)
        }
        "links one way, 30 s" => {
            let one_way = (0..n / 5).map(|i| (i, i + 1)).collect();
            during(&mut net, Faults { one_way, ..Faults::default() }, 30_000.0)
        }
        "a fifth stops for 1 s, 4 times" => {
            for _ in 0..4 {
                (0..n / 5).for_each(|i| net.pause(i));
                net.run(1_000.0);
                (0..n / 5).for_each(|i| net.resume(i));
                net.run(3_000.0);
            }
            after(&mut net)
        }
        _ => return None,
    })
}

const ALL: [&str; 12] = [
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

fn row<F: Front>(way: &str, name: &str, n: usize, seeds: u64) -> Value {
    let got: Vec<Option<Outcome>> = (1..=seeds).map(|s| scenario::<F>(name, n, s)).collect();
    let mut settle: Vec<f64> =
        got.iter().map(|g| g.as_ref().and_then(|g| g.settle_ms).unwrap_or(f64::MAX)).collect();
    settle.sort_by(f64::total_cmp);
    let ms = |v: f64| if v == f64::MAX { json!("never") } else { json!(v.round()) };
    let max_bytes = got.iter().flatten().map(|g| g.bytes).fold(0.0, f64::max);
    json!({
        "scenario": name, "way": way, "fronts": n, "seeds": seeds,
        "settle_ms": { "p50": ms(settle[settle.len() / 2]), "max": ms(settle[settle.len() - 1]) },
        "false_gone": got.iter().flatten().map(|g| g.false_failures).sum::<usize>(),
        "bytes_per_s_max": max_bytes.round(),
    })
}

fn main() {
    let mut args = std::env::args().skip(1);
    let n = args.next().and_then(|a| a.parse().ok()).unwrap_or(100);
    let seeds = args.next().and_then(|a| a.parse().ok()).unwrap_or(3);
    let only = args.next();
    for name in ALL.into_iter().filter(|name| only.as_deref().is_none_or(|o| name.contains(o))) {
        println!("{}", row::<Viewed>("view", name, n, seeds));
        println!("{}", row::<Swim>("swim", name, n, seeds));
    }
}
