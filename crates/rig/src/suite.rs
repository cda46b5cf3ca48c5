//! The scenarios that are bundled with the rig, and a table of the results of their runs with several seeds.

use crate::run::report::median_and_max;
use crate::run::{run_scenario, Options, RunReport};
use crate::scenario::{Goal, Scenario, ScenarioError};
use serde_json::{json, Value};

macro_rules! bundle_scenarios {
    ($($name:literal),* $(,)?) => {
        /// The names and texts of the documents in `crates/rig/scenarios`.
        pub const BUNDLED_SCENARIOS: &[(&str, &str)] =
            &[$(($name, include_str!(concat!("../scenarios/", $name, ".kdl")))),*];
    };
}

bundle_scenarios!(
    "steady",
    "join-one",
    "join-third",
    "crash-one",
    "crash-third",
    "halves-3s",
    "halves-120s",
    "alone",
    "thirds",
    "rolling-cut",
    "one-way",
    "deaf",
    "lossy-front",
    "loss-10",
    "loss-30",
    "slow-location",
    "stop-1s",
    "stop-60s",
    "flapping",
    "replace",
    "garbage",
    "moved",
    "dark-thirds",
    "dark-all",
    "pair-forward",
    "pair-back",
    "pair-dark",
);

/// The names of the main scenarios, which are used for the largest fleets and for CI with few processes.
pub const MAIN_SCENARIOS: [&str; 5] = ["steady", "crash-third", "join-third", "halves-3s", "stop-1s"];

/// Parses the bundled scenario of this name.
///
/// # Errors
/// There is no bundled scenario of this name, or its document is invalid.
pub fn bundled_scenario(name: &str) -> Result<Scenario, ScenarioError> {
    let found = BUNDLED_SCENARIOS.iter().find(|(n, _)| *n == name);
    let (name, text) = found.copied().ok_or_else(|| ScenarioError {
        file: name.into(),
        line: 1,
        column: 1,
        message: format!(
            "there is no bundled scenario of this name; expected one of: {}",
            bundled_scenario_names().join(", ")
        ),
    })?;
    Scenario::parse(&format!("{name}.kdl"), text)
}

/// Returns the names of the bundled scenarios.
pub fn bundled_scenario_names() -> Vec<&'static str> {
    BUNDLED_SCENARIOS.iter().map(|(name, _)| *name).collect()
}

/// Summarizes the runs of one scenario with several seeds as a row of results.
pub fn summary_row(runs: &[RunReport]) -> Value {
    let awaited = |goal: Goal| -> Vec<f64> {
        let all = runs.iter().flat_map(|r| &r.awaited);
        all.filter(|a| a.goal == goal).map(|a| a.ms.round()).collect()
    };
    let all =
        |f: &dyn Fn(&RunReport) -> &[f64]| runs.iter().flat_map(|r| f(r).to_vec()).collect::<Vec<f64>>();
    let summary = |values: Vec<f64>| match values.is_empty() {
        true => Value::Null,
        false => median_and_max(&values),
    };
    let sum = |f: &dyn Fn(&RunReport) -> usize| runs.iter().map(f).sum::<usize>();
    let requests = |r: &RunReport, outcome: &str| r.load[outcome].as_u64().unwrap_or(0) as usize;
    json!({
        "scenario": runs.first().map_or("", |r| &r.name),
        "fronts": runs.first().map_or(0, |r| r.fronts),
        "seeds": runs.iter().map(|r| r.seed).collect::<Vec<_>>(),
        "start_ms": summary(runs.iter().map(|r| r.start_ms.round()).collect()),
        "settle_ms": summary(awaited(Goal::Settled)),
        "even_ms": summary(awaited(Goal::Even)),
        "known_ms": summary(awaited(Goal::Known)),
        "false_gone": sum(&|r| r.false_positives.len()),
        "stale_members": sum(&|r| r.stale_members),
        "bytes_per_s": summary(all(&|r| &r.bytes_per_s)),
        "cpu": summary(all(&|r| &r.cpu)),
        "memory_mb": summary(all(&|r| &r.memory_mb)),
        "rules_broken": sum(&|r| r.rule_violations),
        "served": sum(&|r| requests(r, "served")),
        "errors": sum(&|r| requests(r, "errors") + requests(r, "unanswered") + requests(r, "odd")),
        "lost": sum(&|r| requests(r, "lost")),
        "p99_ms": summary(runs.iter().filter_map(|r| r.load["p99_ms"].as_f64()).collect()),
        "breaches": sum(&|r| r.breaches.len()),
    })
}

/// Runs a bundled scenario once for each seed. `on_run` is called with the report of each run.
///
/// # Errors
/// There is no scenario of that name, or a run can't get its addresses, write its files or start its
/// processes. The error holds the name of the scenario.
pub async fn run_seeds(
    name: &str,
    seeds: &[u64],
    options: &Options,
    on_run: &mut impl FnMut(&RunReport),
) -> Result<Vec<RunReport>, String> {
    let scenario = bundled_scenario(name).map_err(|e| e.to_string())?;
    let mut runs = Vec::new();
    for seed in seeds {
        let options = Options { seed: *seed, ..options.clone() };
        let report = run_scenario(&scenario, &options)
            .await
            .map_err(|e| format!("the scenario `{name}` could not be run: {e}"))?;
        on_run(&report);
        runs.push(report);
    }
    Ok(runs)
}

/// Runs bundled scenarios with several seeds and returns one row of results for each scenario. `on_run` is
/// called with the report of each run.
///
/// # Errors
/// The errors of [`run_seeds`].
pub async fn run_suite(
    names: &[String],
    seeds: &[u64],
    options: &Options,
    mut on_run: impl FnMut(&RunReport),
) -> Result<Vec<Value>, String> {
    let mut rows = Vec::new();
    for name in names {
        rows.push(summary_row(&run_seeds(name, seeds, options, &mut on_run).await?));
    }
    Ok(rows)
}

#[cfg(test)]
mod tests;
