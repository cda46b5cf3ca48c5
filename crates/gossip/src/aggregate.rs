//! How the witnesses' reports on one cache node are aggregated into a score: a pure function.
//!
//! A report's weight is `trust * strength * 0.5^(age / half-life) * (1 - accused_fraction)^2`, where `trust` is the
//! witness's record of agreeing with our own observations (from 0 to 1, a stranger's is 0.5) and `accused_fraction` the
//! part of all cache nodes that it accuses. A witness that accuses everything carries no information: it is slow itself,
//! partitioned, or byzantine.
//!
//! Accusations count from a quorum of independent witnesses on, each with a weight of at least [`MIN_WEIGHT`], so no
//! single peer changes a score. Our own evidence against the node is one of them, of trust 1, if it is more than a lone
//! error. The sum of weights over `quorum * FULL_WEIGHT`, less that of the witnesses who report the node healthy, from -1
//! to 1, times [`MAX_SCORE`], is the score. Our own successful answers scale an accusing score down by
//! `1 - 0.5^(age / own half-life)`: the score never outweighs what we observe ourselves.

use crate::message::{FrontId, Observation};
use std::collections::BTreeMap;

/// Bound on a score's magnitude: of its share of the load, a cache node retains a fifth at the least.
pub const MAX_SCORE: f64 = 0.8;
/// Half-life of a report's weight, in milliseconds: cache nodes fail and recover within tens of seconds.
pub const HALF_LIFE_MS: f64 = 8_000.0;
/// Half-life of our own successful answers against an accusing score, in milliseconds.
pub const OWN_HALF_LIFE_MS: f64 = 4_000.0;
/// A report with a weight below this is ignored.
pub const MIN_WEIGHT: f64 = 0.05;
/// The weight of a stranger (trust 0.5) that is half sure: a quorum of these has full effect.
pub const FULL_WEIGHT: f64 = 0.25;

/// One witness's report on a cache node, with what is known of the witness.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WitnessReport {
    /// The witness.
    pub witness: FrontId,
    /// What it observed.
    pub observation: Observation,
    /// How sure it is, from 0 to 1.
    pub strength: f64,
    /// How long ago it observed it, in milliseconds.
    pub age_ms: f64,
    /// Its trust record, from 0 to 1.
    pub trust: f64,
    /// The fraction of all cache nodes that it accuses, from 0 to 1.
    pub accused_fraction: f64,
}

impl WitnessReport {
    fn weight(&self) -> f64 {
        let decay = 0.5f64.powf(self.age_ms.max(0.0) / HALF_LIFE_MS);
        self.trust.clamp(0.0, 1.0)
            * self.strength.clamp(0.0, 1.0)
            * decay
            * (1.0 - self.accused_fraction.clamp(0.0, 1.0)).powi(2)
    }
}

/// Witnesses that must agree in a fleet of `fronts` fronts, this one included: two at the least, and more in a large
/// fleet, where more can be byzantine together.
pub fn quorum(fronts: usize) -> usize {
    (((fronts + 1) as f64).log2() / 2.0).round().max(2.0) as usize
}

/// The part, from 0 to 1, of full effect that the witnesses on one side of the question reach together; 0 below the
/// quorum.
fn effect(reports: &[WitnessReport], accusing: bool, quorum: usize) -> f64 {
    // Each witness counts once, by its heaviest report.
    let mut weights: BTreeMap<FrontId, f64> = BTreeMap::new();
    for report in reports.iter().filter(|r| r.observation.is_accusation() == accusing) {
        let weight = report.weight();
        if weight >= MIN_WEIGHT {
            let heaviest = weights.entry(report.witness).or_default();
            *heaviest = heaviest.max(weight);
        }
    }
    match weights.len() >= quorum {
        true => (weights.values().sum::<f64>() / (quorum as f64 * FULL_WEIGHT)).min(1.0),
        false => 0.0,
    }
}

/// The score of one cache node, from -[`MAX_SCORE`] (healthy) to [`MAX_SCORE`] (failing).
///
/// `fronts` is the size of the fleet, this front included; `last_success_age_ms` the time since our own last successful
/// answer of the node, if there was one.
pub fn aggregate(reports: &[WitnessReport], fronts: usize, last_success_age_ms: Option<f64>) -> f64 {
    let quorum = quorum(fronts);
    let score = MAX_SCORE * (effect(reports, true, quorum) - effect(reports, false, quorum)).clamp(-1.0, 1.0);
    match last_success_age_ms {
        Some(age) if score > 0.0 => score * (1.0 - 0.5f64.powf(age.max(0.0) / OWN_HALF_LIFE_MS)),
        _ => score,
    }
}

#[cfg(test)]
mod tests;
