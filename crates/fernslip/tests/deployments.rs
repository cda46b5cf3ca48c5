//! Deployments that nobody has yet: settings drawn by seed over wider ranges than any is told to have, in a small world of
//! caches with shared links. On each the rules hold, a calm day is served, and an overload is served to its capacity.
//!
//!     cargo test -p fernslip --test deployments --release -- --ignored --nocapture    # a thousand draws
mod common;
#[path = "common/deployment.rs"]
mod deployment;
#[path = "common/simulation.rs"]
mod simulation;

use common::*;
use deployment::{Deployment, Kind, RunReport};
use fernslip::*;
use simulation::World;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

const RUN_MS: f64 = 8_000.0;
/// Of the draws that CI plays, how many miss a figure today: fewer is better, more is a step back.
const MISSED: usize = 13;

/// What is wrong with a deployment's days; empty: nothing.
fn faults(seed: u64) -> Vec<String> {
    let d = Deployment::draw(seed);
    let mut wrong = Vec::new();
    let mut violations = |name: &str, report: &RunReport| {
        wrong.extend(report.violations.iter().take(3).map(|b| format!("{name}: {b}")));
    };
    let calm = World::new(&d).run(0.6, RUN_MS, Kind::Calm);
    violations("calm", &calm);
    let overload = World::new(&d).run(1.5, RUN_MS, Kind::Calm);
    violations("overload", &overload);
    let with_faults = World::new(&d).run(0.6, RUN_MS, Kind::Faults);
    violations("trouble", &with_faults);
    let lost = f64::from(calm.rejected + calm.failed) / f64::from(calm.requests.max(1));
    if lost > 0.01 {
        wrong.push(format!("calm: {:.1} % refused", lost * 100.0));
        wrong.extend(calm.log.iter().filter(|l| l.contains("gave up")).rev().take(2).cloned());
    }
    let mean = calm.used.iter().sum::<f64>() / calm.used.len() as f64;
    if let Some(c) = calm.used.iter().position(|u| *u < mean / 10.0) {
        wrong
            .push(format!("calm: cache {c} is idle: {:.2} of its link, the mean is {mean:.2}", calm.used[c]));
    }
    let carried = overload.served_ms / RUN_MS / d.bandwidths.iter().sum::<f64>();
    if carried < 0.8 {
        let used = overload.used.iter().sum::<f64>() / overload.used.len() as f64;
        let (rejected, failed) = (overload.rejected, overload.failed);
        wrong.push(format!(
            "overload: {carried:.2} of what its links carry, {used:.2} used; of {} {rejected} refused, {failed} failed",
            overload.requests
        ));
        wrong.extend(overload.log.iter().filter(|l| l.contains("gave up")).rev().take(2).cloned());
    }
    if !wrong.is_empty() {
        wrong.push(d.to_string());
    }
    wrong
}

/// Plays so many deployments on all cores; the seeds that fail, with what is wrong.
fn run_all(seeds: std::ops::Range<u64>) -> Vec<(u64, Vec<String>)> {
    let (next, failed) = (AtomicU64::new(seeds.start), Mutex::new(Vec::new()));
    let threads = std::thread::available_parallelism().map_or(4, std::num::NonZero::get);
    std::thread::scope(|s| {
        for _ in 0..threads {
            s.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= seeds.end {
                    return;
                }
                let wrong = faults(seed);
                if !wrong.is_empty() {
                    failed.lock().unwrap_or_else(std::sync::PoisonError::into_inner).push((seed, wrong));
                }
            });
        }
    });
    let mut failed = failed.into_inner().unwrap_or_else(std::sync::PoisonError::into_inner);
    failed.sort_by_key(|f| f.0);
    failed
}

#[test]
#[ignore = "many draws: run it in release"]
fn a_thousand_deployments() {
    let count = std::env::var("DRAWS").ok().and_then(|n| n.parse().ok()).unwrap_or(1_000);
    let failed = run_all(1_000..1_000 + count);
    for (seed, wrong) in &failed {
        println!("seed {seed}: {wrong:#?}");
    }
    println!("{{\"draws\": {count}, \"failed\": {}}}", failed.len());
    assert!(failed.is_empty(), "{} of {count} draws fail", failed.len());
}

/// What a figure missed is a weakness that is known and counted; a broken rule is none.
#[test]
fn three_dozen_deployments() {
    let failed = run_all(0..36);
    let rules = |w: &&String| w.contains(" ms: ") || w.contains("pushed over");
    let violations: Vec<_> = failed.iter().filter(|f| f.1.iter().any(|w| rules(&w))).collect();
    assert!(violations.is_empty(), "{violations:#?}");
    // Before capacity was learned 20 of these missed a figure.
    assert!(failed.len() <= MISSED, "{} of 36 draws miss a figure: {failed:#?}", failed.len());
}
