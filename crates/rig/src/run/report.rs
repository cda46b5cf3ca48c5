//! The result of a run and its form in JSON.

use crate::fronts::FailureReport;
use crate::scenario::Goal;
use serde_json::{json, Value};

/// The state that a front reported when it was polled.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Milliseconds since the run began.
    pub at_ms: f64,
    /// The index of the front.
    pub front: usize,
    /// The number of members in its view that it expects to be alive.
    pub member_count: usize,
    /// Whether the front reports that its view has settled.
    pub settled: bool,
}

/// An event that a step of the scenario caused.
#[derive(Clone, Debug)]
pub struct Event {
    /// Milliseconds since the run began.
    pub at_ms: f64,
    /// A label of the event, which is shown in the chart.
    pub name: String,
    /// Whether a fault lasts from this event on. The next event for which this is false ends the fault.
    pub begins_fault: bool,
}

/// A failed check.
#[derive(Clone, Debug)]
pub struct Breach {
    /// A description of the failed check.
    pub description: String,
    /// Milliseconds since the run began.
    pub at_ms: f64,
    /// The summaries and log lines of the fronts concerned.
    pub evidence: Vec<String>,
}

/// A goal that was reached in time.
#[derive(Clone, Debug)]
pub struct Awaited {
    /// The goal that was reached.
    pub goal: Goal,
    /// Milliseconds from the preceding event until the goal was reached.
    pub ms: f64,
}

/// The result of a run. Lists of measured values hold one value for each front and measurement.
#[derive(Clone, Debug, Default)]
pub struct RunReport {
    /// The name of the scenario.
    pub name: String,
    /// The number of fronts at the start.
    pub fronts: usize,
    /// The seed of the run.
    pub seed: u64,
    /// Milliseconds until all fronts had settled after their start.
    pub start_ms: f64,
    /// The goals that were reached, with the time that each took.
    pub awaited: Vec<Awaited>,
    /// The reports, not explained by any fault, that a live front is gone.
    pub false_positives: Vec<FailureReport>,
    /// The number of ended fronts that are still live members of a view at the end, summed over all views.
    pub stale_members: usize,
    /// The gossip bytes that a front sent per second in steady state.
    pub bytes_per_s: Vec<f64>,
    /// The CPU usage in steady state, as a fraction of one core.
    pub cpu: Vec<f64>,
    /// The resident memory in steady state, in MB.
    pub memory_mb: Vec<f64>,
    /// The number of violations that the cache nodes detected: simultaneous attempts of one request, and
    /// repeated executions of a write.
    pub rule_violations: usize,
    /// The outcomes of requests, as JSON; null without load.
    pub load: Value,
    /// The failed checks.
    pub breaches: Vec<Breach>,
    /// The states that the fronts reported over time.
    pub samples: Vec<Sample>,
    /// The events in the order in which they happened.
    pub events: Vec<Event>,
}

impl RunReport {
    /// Returns whether all checks passed.
    pub fn all_checks_passed(&self) -> bool {
        self.breaches.is_empty()
            && self.false_positives.is_empty()
            && self.stale_members == 0
            && self.rule_violations == 0
    }

    /// Returns the report as JSON, without samples and events.
    pub fn to_json(&self) -> Value {
        let awaited =
            |a: &Awaited| json!({ "goal": format!("{:?}", a.goal).to_lowercase(), "ms": a.ms.round() });
        let breach =
            |b: &Breach| json!({ "what": b.description, "at_ms": b.at_ms.round(), "told": b.evidence });
        let false_positive = |r: &FailureReport| format!("{} reported gone by {}", r.subject, r.reporter);
        json!({
            "scenario": self.name, "fronts": self.fronts, "seed": self.seed, "start_ms": self.start_ms.round(),
            "awaited": self.awaited.iter().map(awaited).collect::<Vec<_>>(),
            "false_gone": self.false_positives.iter().map(false_positive).collect::<Vec<_>>(),
            "stale_members": self.stale_members,
            "bytes_per_s": median_and_max(&self.bytes_per_s),
            "cpu": median_and_max(&self.cpu),
            "memory_mb": median_and_max(&self.memory_mb),
            "rules_broken": self.rule_violations, "load": self.load,
            "breaches": self.breaches.iter().map(breach).collect::<Vec<_>>(),
        })
    }
}

/// Returns the median and the maximum of the values as JSON.
pub(crate) fn median_and_max(values: &[f64]) -> Value {
    json!({ "p50": quantile(values, 0.5), "max": quantile(values, 1.0) })
}

/// Returns a quantile by nearest rank, rounded to five decimals; 0 if there are no values.
fn quantile(values: &[f64], level: f64) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let i = (level * (sorted.len().saturating_sub(1)) as f64).round() as usize;
    sorted.get(i).map_or(0.0, |v| (v * 1e5).round() / 1e5)
}
