//! Runs one seed of the soak test: starts fronts, nodes, buses and clients, injects the planned faults,
//! terminates all fronts, and reports the verdict of the checker.

use super::checker::{GracePeriods, Rule, RuleChecker, SoakVerdict};
use super::environment::{SoakEnvironment, BASE_CONFIGURATION, NODE_COUNT, SOURCE_COUNT};
use super::options::SoakOptions;
use super::plan::{generate_fault_plan, FleetSize, PlannedFault};
use crate::shim::Shim;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Number of connections to each front that clients keep in use.
const CONNECTIONS_PER_FRONT: usize = 6;
/// Time from the end of the last fault to the termination of all fronts.
const QUIET_PERIOD: Duration = Duration::from_secs(2);
/// Time from the termination of all fronts to the verdict, so that answers still on their way are counted.
const SETTLING_PERIOD: Duration = Duration::from_secs(3);
/// Interval at which the lateness of the rig itself is measured.
const MONITOR_INTERVAL: Duration = Duration::from_millis(50);
/// Number of monitor intervals between two checks for lost requests and crashed fronts.
const INTERVALS_PER_CHECK: u64 = 10;

/// Result of one run.
#[derive(Clone, Debug)]
pub struct SoakReport {
    /// Seed of the run.
    pub seed: u64,
    /// Number of breaches of each rule.
    pub breaches: BTreeMap<Rule, u64>,
    /// Descriptions of the first breaches.
    pub texts: Vec<String>,
    /// Number of occurrences of each other event, by event name.
    pub counts: BTreeMap<&'static str, u64>,
    /// Number of injected faults.
    pub faults: usize,
}

impl SoakReport {
    /// Returns the report as a JSON object, as it stands in the rig's output file.
    pub fn to_json(&self) -> Value {
        let breaches: BTreeMap<String, u64> =
            self.breaches.iter().map(|(rule, n)| (format!("{rule:?}"), *n)).collect();
        json!({
            "seed": self.seed, "troubles": self.faults, "breaches": breaches, "counts": self.counts,
            "texts": self.texts,
        })
    }
}

/// Returns the number of fronts, nodes and sources in a soak run with `fronts` fronts.
pub fn soak_fleet_size(fronts: usize) -> FleetSize {
    FleetSize { fronts, nodes: NODE_COUNT, sources: SOURCE_COUNT }
}

/// Runs the soak test with one seed and returns its report; breaches of rules are not errors.
///
/// # Errors
/// Returns an error if an address can't be bound, a file can't be written, a process can't be started, or
/// the shim can't be compiled.
pub async fn run_soak(options: &SoakOptions) -> io::Result<SoakReport> {
    let configuration: Value = serde_json::from_str(BASE_CONFIGURATION).map_err(io::Error::other)?;
    let settings = &configuration["settings"];
    let checker = Arc::new(RuleChecker::new(grace_periods(settings)));
    let (folder, shim) = (tempfile::tempdir()?, Shim::build()?);
    let environment =
        SoakEnvironment::start_services(options, settings, checker.clone(), folder.path(), &shim).await?;
    for front in 0..options.fronts {
        environment.start_front(front).await?;
        let process = environment.fronts[front].lock().await;
        let (address, availability) = (process.settings.clients, &process.availability);
        let rate = options.requests_per_second;
        environment.clients.add_connections(front, address, availability, CONNECTIONS_PER_FRONT, rate);
    }
    let monitor = tokio::spawn(monitor_run(environment.clone()));
    let plan = match options.without_faults {
        true => Vec::new(),
        false => generate_fault_plan(options.seed, options.fault_period, soak_fleet_size(options.fronts)),
    };
    let faults = plan.len();
    inject_plan(&environment, plan, options.fault_period).await?;
    sleep(QUIET_PERIOD).await;
    terminate_all_fronts(&environment).await?;
    environment.clients.stop_clients();
    sleep(SETTLING_PERIOD).await;
    monitor.abort();
    checker.check_unanswered_requests();
    let SoakVerdict { breaches, texts, counts } = checker.verdict();
    Ok(SoakReport { seed: options.seed, breaches, texts, counts, faults })
}

/// Reads the grace periods from the settings of a configuration.
fn grace_periods(settings: &Value) -> GracePeriods {
    let ms = |value: &Value| Duration::from_secs_f64(value.as_f64().unwrap_or(0.0) / 1000.0);
    let info = &settings["family_info"];
    GracePeriods {
        drain: ms(&settings["rules"]["drain_grace_ms"]),
        purge: ms(&info["purge_slack_ms"]),
        purge_done: ms(&info["purge_done_ms"]),
    }
}

/// Injects each fault at its planned time. Returns when `period` is over and all faults have ended.
async fn inject_plan(
    environment: &Arc<SoakEnvironment>,
    plan: Vec<PlannedFault>,
    period: Duration,
) -> io::Result<()> {
    let started = Instant::now();
    let mut injected = Vec::new();
    for planned in plan {
        sleep(planned.after.saturating_sub(started.elapsed())).await;
        let environment = environment.clone();
        injected.push(tokio::spawn(async move { environment.inject_fault(planned).await }));
    }
    sleep(period.saturating_sub(started.elapsed())).await;
    for fault in injected {
        fault.await.map_err(io::Error::other)??;
    }
    Ok(())
}

/// Terminates all fronts at the same time, while clients still send requests.
async fn terminate_all_fronts(environment: &Arc<SoakEnvironment>) -> io::Result<()> {
    let terminations = (0..environment.fronts.len()).map(|front| {
        let environment = environment.clone();
        tokio::spawn(async move { environment.fronts[front].lock().await.terminate().await })
    });
    for termination in terminations.collect::<Vec<_>>() {
        termination.await.map_err(io::Error::other)?;
    }
    Ok(())
}

/// Measures the lateness of this process itself, and checks for unanswered requests and crashed fronts,
/// until it is aborted.
async fn monitor_run(environment: Arc<SoakEnvironment>) {
    for n in 0_u64.. {
        let due = Instant::now() + MONITOR_INTERVAL;
        sleep(MONITOR_INTERVAL).await;
        environment.checker.record_lateness(Instant::now().saturating_duration_since(due));
        if n % INTERVALS_PER_CHECK == 0 {
            environment.checker.check_unanswered_requests();
            for front in &environment.fronts {
                if let Ok(mut process) = front.try_lock() {
                    process.check_for_crash();
                }
            }
        }
    }
}
