//! The result of a run.

use crate::fronts::FailureReport;
use crate::scenario::Goal;
use serde_json::{json, Value};

/// What a front reported at one moment.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Milliseconds since the run began.
    pub at_ms: f64,
    /// The front's index.
    pub front: usize,
    /// Fronts that it counts on.
    pub member_count: usize,
    /// Whether it reports that its view has settled.
    pub settled: bool,
}

/// Something that a step did.
#[derive(Clone, Debug)]
pub struct Event {
    /// Milliseconds since the run began.
    pub at_ms: f64,
    /// What happened.
    pub name: String,
    /// Whether a fault lasts from here on; the next event without one ends it.
    pub begins_fault: bool,
}

/// Something that had to hold and did not.
#[derive(Clone, Debug)]
pub struct Breach {
    /// What.
    pub description: String,
    /// Milliseconds since the run began.
    pub at_ms: f64,
    /// Reports and log lines of the fronts concerned.
    pub evidence: Vec<String>,
}

/// A goal that was reached.
#[derive(Clone, Debug)]
pub struct Awaited {
    /// The goal.
    pub goal: Goal,
    /// Milliseconds since the event before.
    pub ms: f64,
}

/// The result of a run. Figures of fronts are one value a front and measurement.
#[derive(Clone, Debug, Default)]
pub struct RunReport {
    /// The scenario's name.
    pub name: String,
    /// Fronts at the start.
    pub fronts: usize,
    /// The seed.
    pub seed: u64,
    /// Milliseconds until all fronts had settled after their start.
    pub start_ms: f64,
    /// How long each awaited goal took.
    pub awaited: Vec<Awaited>,
    /// Reports that a live front is gone, without a fault that explains them.
    pub false_positives: Vec<FailureReport>,
    /// Ended fronts that a front still counts on at the end.
    pub stale_members: usize,
    /// Gossip bytes a second in steady state.
    pub bytes_per_s: Vec<f64>,
    /// CPU in steady state, as a fraction of a core.
    pub cpu: Vec<f64>,
    /// Resident memory in steady state, in MB.
    pub memory_mb: Vec<f64>,
    /// Request rules broken at the cache nodes.
    pub rule_violations: usize,
    /// How requests ended, as JSON; null without load.
    pub load: Value,
    /// What did not hold.
    pub breaches: Vec<Breach>,
    /// What each front reported over time.
    pub samples: Vec<Sample>,
    /// What happened when.
    pub events: Vec<Event>,
}

impl RunReport {
    /// Whether everything held.
    pub fn holds(&self) -> bool {
        self.breaches.is_empty()
            && self.false_positives.is_empty()
            && self.stale_members == 0
            && self.rule_violations == 0
    }

    /// As JSON, without samples and events.
    pub fn to_json(&self) -> Value {
        let awaited =
            |a: &Awaited| json!({ "goal": format!("{:?}", a.goal).to_lowercase(), "ms": a.ms.round() });
        let breach =
            |b: &Breach| json!({ "what": b.description, "at_ms": b.at_ms.round(), "told": b.evidence });
        let false_positive = |r: &FailureReport| format!("{} by {}", r.subject, r.reporter);
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

/// The median and the largest of some values, as JSON.
pub(crate) fn median_and_max(values: &[f64]) -> Value {
    json!({ "p50": quantile(values, 0.5), "max": quantile(values, 1.0) })
}

/// A quantile by the nearest rank, rounded to five decimals; 0 of no values.
fn quantile(values: &[f64], q: f64) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let i = (q * (sorted.len().saturating_sub(1)) as f64).round() as usize;
    sorted.get(i).map_or(0.0, |v| (v * 1e5).round() / 1e5)
}
