//! One seed of the soak: fronts, nodes, buses and clients are started, the planned faults are injected, everything is ended,
//! and the checker's verdict is the result.

use super::checker::{Graces, Rule, RuleChecker, Verdict};
use super::environment::{Environment, CONFIGURATION, NODES, SOURCES};
use super::options::Options;
use super::plan::{draw_plan, Fleet, PlannedFault};
use crate::shim::Shim;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Connections to each front that clients keep in use.
const CONNECTIONS_PER_FRONT: usize = 6;
/// Between the last fault and the end of all fronts.
const QUIET_PERIOD: Duration = Duration::from_secs(2);
/// Between the end of all fronts and the verdict, for answers that are still to be counted.
const SETTLING_PERIOD: Duration = Duration::from_secs(3);
/// How often the rig's own lateness is measured.
const MONITOR_INTERVAL: Duration = Duration::from_millis(50);
/// Lost requests and crashed fronts are looked for once in this number of intervals.
const MONITOR_SWEEP_EVERY: u64 = 10;

/// The result of a run.
#[derive(Clone, Debug)]
pub struct Report {
    /// The seed.
    pub seed: u64,
    /// How often each rule was broken.
    pub breaches: BTreeMap<Rule, u64>,
    /// The first breaches as text.
    pub texts: Vec<String>,
    /// What else was counted.
    pub counts: BTreeMap<&'static str, u64>,
    /// How many faults were injected.
    pub faults: usize,
}

impl Report {
    /// As JSON.
    pub fn to_json(&self) -> Value {
        let breaches: BTreeMap<String, u64> =
            self.breaches.iter().map(|(rule, n)| (format!("{rule:?}"), *n)).collect();
        json!({
            "seed": self.seed, "troubles": self.faults, "breaches": breaches, "counts": self.counts,
            "texts": self.texts,
        })
    }
}

/// The fleet of a soak with that number of fronts.
pub fn fleet(fronts: usize) -> Fleet {
    Fleet { fronts, nodes: NODES, sources: SOURCES }
}

/// Runs one seed.
///
/// # Errors
/// An address can't be bound, a file can't be written, a process can't be started, or there is no C compiler for the shim.
pub async fn run_soak(options: &Options) -> io::Result<Report> {
    let configuration: Value = serde_json::from_str(CONFIGURATION).map_err(io::Error::other)?;
    let settings = &configuration["settings"];
    let checker = Arc::new(RuleChecker::new(graces(settings)));
    let (folder, shim) = (tempfile::tempdir()?, Shim::build()?);
    let environment = Environment::prepare(options, settings, checker.clone(), folder.path(), &shim).await?;
    for front in 0..options.fronts {
        environment.start_front(front).await?;
        let process = environment.fronts[front].lock().await;
        let (address, availability) = (process.settings.clients, &process.availability);
        let rate = options.requests_per_second;
        environment.clients.add(front, address, availability, CONNECTIONS_PER_FRONT, rate);
    }
    let monitor = tokio::spawn(monitor(environment.clone()));
    let plan = match options.without_faults {
        true => Vec::new(),
        false => draw_plan(options.seed, options.fault_period, fleet(options.fronts)),
    };
    let faults = plan.len();
    inject_plan(&environment, plan, options.fault_period).await?;
    sleep(QUIET_PERIOD).await;
    terminate_all(&environment).await?;
    environment.clients.stop();
    sleep(SETTLING_PERIOD).await;
    monitor.abort();
    checker.sweep();
    let Verdict { breaches, texts, counts } = checker.verdict();
    Ok(Report { seed: options.seed, breaches, texts, counts, faults })
}

/// The time limits that the configuration's settings name.
fn graces(settings: &Value) -> Graces {
    let ms = |value: &Value| Duration::from_secs_f64(value.as_f64().unwrap_or(0.0) / 1000.0);
    let info = &settings["family_info"];
    Graces {
        drain: ms(&settings["rules"]["drain_grace_ms"]),
        purge: ms(&info["purge_slack_ms"]),
        purge_done: ms(&info["purge_done_ms"]),
    }
}

/// Injects every fault at its time, and returns when the period is over and all faults have ended.
async fn inject_plan(
    environment: &Arc<Environment>,
    plan: Vec<PlannedFault>,
    period: Duration,
) -> io::Result<()> {
    let started = Instant::now();
    let mut injected = Vec::new();
    for planned in plan {
        sleep(planned.after.saturating_sub(started.elapsed())).await;
        let environment = environment.clone();
        injected.push(tokio::spawn(async move { environment.inject(planned).await }));
    }
    sleep(period.saturating_sub(started.elapsed())).await;
    for fault in injected {
        fault.await.map_err(io::Error::other)??;
    }
    Ok(())
}

/// Terminates all fronts at once, while clients still send requests.
async fn terminate_all(environment: &Arc<Environment>) -> io::Result<()> {
    let terminations = (0..environment.fronts.len()).map(|front| {
        let environment = environment.clone();
        tokio::spawn(async move { environment.fronts[front].lock().await.terminate().await })
    });
    for termination in terminations.collect::<Vec<_>>() {
        termination.await.map_err(io::Error::other)?;
    }
    Ok(())
}

/// Measures how late this process itself is, and looks for requests that were never answered and fronts that have crashed.
async fn monitor(environment: Arc<Environment>) {
    for n in 0_u64.. {
        let due = Instant::now() + MONITOR_INTERVAL;
        sleep(MONITOR_INTERVAL).await;
        environment.checker.note_lateness(Instant::now().saturating_duration_since(due));
        if n % MONITOR_SWEEP_EVERY == 0 {
            environment.checker.sweep();
            for front in &environment.fronts {
                if let Ok(mut process) = front.try_lock() {
                    process.check_crashed();
                }
            }
        }
    }
}
