//! The model of request classes.

use super::keyword::Effect;
use serde::Serialize;
use std::fmt;

/// A class of requests, with its latency objective, deadline, weights and caching rules (KDL node `class`).
#[derive(Clone, PartialEq, Serialize)]
pub struct Class {
    /// The name of the class, unique in the site.
    pub name: String,
    /// The latency objective in milliseconds (KDL key `aim-ms`); a response within it counts with the full
    /// priority weight.
    #[serde(rename = "aim_ms")]
    pub latency_objective_ms: u64,
    /// The multiple of a request's own sending time by which its latency objective is extended, up to the
    /// deadline (KDL key `aim-stretch`).
    #[serde(rename = "aim_stretch")]
    pub objective_stretch: Option<f64>,
    /// The longest time that a client waits for a response, in milliseconds.
    pub deadline_ms: u64,
    /// The priority weight of a request of this class, without a unit (KDL key `worth`).
    #[serde(rename = "worth")]
    pub priority_weight: Option<f64>,
    /// The fraction of the priority weight, from 0 to 1, that counts for a response after the latency
    /// objective (KDL key `late-worth`).
    #[serde(rename = "late_worth")]
    pub late_weight: Option<f64>,
    /// Which requests of the class may be retried.
    pub effect: Option<Effect>,
    /// Whether requests of the class are executed at the origin and never cached.
    pub write: Option<bool>,
    /// How long a cached copy is fresh, in milliseconds; 0 means until it is purged.
    pub fresh_ms: Option<u64>,
    /// How long a stale copy may still be served, in milliseconds.
    pub grace_ms: Option<u64>,
}

/// Written by hand with the document's keys as field names. Fronts hash this form to compare their
/// configurations, also with fronts of earlier versions, so it must not change.
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
