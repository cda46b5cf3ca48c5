//! Classes of requests.

use super::keyword::Effect;
use serde::Serialize;
use std::fmt;

/// A class of requests.
#[derive(Clone, PartialEq, Serialize)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// The latency objective (`aim-ms`): a response within it counts at full weight.
    #[serde(rename = "aim_ms")]
    pub latency_objective_ms: u64,
    /// The objective grows by this multiple of a request's own sending time (`aim-stretch`).
    #[serde(rename = "aim_stretch")]
    pub objective_stretch: Option<f64>,
    /// How long a client waits at most.
    pub deadline_ms: u64,
    /// The priority weight of a request (`worth`).
    #[serde(rename = "worth")]
    pub priority_weight: Option<f64>,
    /// The fraction of the weight that a response after the objective still counts (`late-worth`).
    #[serde(rename = "late_worth")]
    pub late_weight: Option<f64>,
    /// Which requests may be retried.
    pub effect: Option<Effect>,
    /// Runs at the origin and is never cached.
    pub write: Option<bool>,
    /// How long a cached copy is fresh; 0: until purged.
    pub fresh_ms: Option<u64>,
    /// How long a stale copy may still be served.
    pub grace_ms: Option<u64>,
}

/// With the document's keys as field names: fronts hash this form to compare their configurations, also with fronts of
/// earlier versions.
impl fmt::Debug for Class {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Class")
            .field("name", &self.name)
            .field("aim_ms", &self.latency_objective_ms)
            .field("aim_stretch", &self.objective_stretch)
            .field("deadline_ms", &self.deadline_ms)
            .field("worth", &self.priority_weight)
            .field("late_worth", &self.late_weight)
            .field("effect", &self.effect)
            .field("write", &self.write)
            .field("fresh_ms", &self.fresh_ms)
            .field("grace_ms", &self.grace_ms)
            .finish()
    }
}
