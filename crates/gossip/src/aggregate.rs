//! Aggregation of the witnesses' reports on one cache node into a score. All functions here are pure.
//!
//! A report's weight is `trust * strength * 0.5^(age / half-life) * (1 - accused_fraction)^2`. `trust` is the
//! witness's record of agreeing with this front's own observations, from 0 to 1; an unknown witness has 0.5.
//! `accused_fraction` is the fraction of all cache nodes that the witness accuses. A witness that accuses
//! every node carries no information: it is slow itself, partitioned, or byzantine.
//!
//! Accusations count only from a quorum of independent witnesses, each with a weight of at least
//! [`MIN_REPORT_WEIGHT`], so no single peer changes a score. This front's own accusation of the node counts
//! as one witness with trust 1, unless it rests on a single error. Each side's effect is the sum of its
//! weights divided by `quorum * FULL_EFFECT_WEIGHT`, at most 1. The score is the effect of the accusing side
//! minus that of the side that reports the node healthy, times [`MAX_SCORE`]. Successful answers to this
//! front scale an accusing score by `1 - 0.5^(age / OWN_SUCCESS_HALF_LIFE_MS)`, so a score never outweighs
//! what the front itself observes.

use crate::message::{FrontId, Observation};
use std::collections::BTreeMap;

/// The greatest magnitude of a score. A cache node retains at least a fifth of its normal load, whatever is
/// reported.
pub const MAX_SCORE: f64 = 0.8;
/// Half-life of a report's weight, in milliseconds. Cache nodes fail and recover within tens of seconds.
pub const REPORT_HALF_LIFE_MS: f64 = 8_000.0;
/// Half-life, in milliseconds, of the effect that a successful answer to this front has against an accusing
/// score.
pub const OWN_SUCCESS_HALF_LIFE_MS: f64 = 4_000.0;
/// Reports with a lower weight than this are ignored.
pub const MIN_REPORT_WEIGHT: f64 = 0.05;
/// The weight per witness at which a quorum has full effect: that of a witness with trust 0.5 and strength
/// 0.5.
pub const FULL_EFFECT_WEIGHT: f64 = 0.25;

/// A witness's report on a cache node, with what this front knows of the witness.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WitnessReport {
    /// The front that made the report.
    pub witness: FrontId,
    /// What the witness observed of the cache node.
    pub observation: Observation,
    /// The witness's confidence in the observation, from 0 to 1.
    pub strength: f64,
    /// The time since the observation, in milliseconds.
    pub age_ms: f64,
    /// How well the witness's earlier reports agreed with this front's observations, from 0 to 1.
    pub trust: f64,
    /// The fraction of all cache nodes that the witness accuses, from 0 to 1.
    pub accused_fraction: f64,
}

impl WitnessReport {
    fn weight(&self) -> f64 {
        let decay = 0.5f64.powf(self.age_ms.max(0.0) / REPORT_HALF_LIFE_MS);
        self.trust.clamp(0.0, 1.0)
            * self.strength.clamp(0.0, 1.0)
            * decay
            * (1.0 - self.accused_fraction.clamp(0.0, 1.0)).powi(2)
    }
}

/// Returns how many witnesses must agree in a fleet of `fronts` fronts, this one included. It is at least
/// two, and more in a large fleet, where more fronts can be byzantine together.
pub fn required_witnesses(fronts: usize) -> usize {
    (((fronts + 1) as f64).log2() / 2.0).round().max(2.0) as usize
}

/// Returns the effect, from 0 to 1, of the witnesses that accuse the node, or of those that report it healthy
/// if `accusing` is false. It is 0 below the quorum.
fn effect_of_side(reports: &[WitnessReport], accusing: bool, quorum: usize) -> f64 {
    // Each witness counts once, with its report of the greatest weight.
    let mut weights: BTreeMap<FrontId, f64> = BTreeMap::new();
    for report in reports.iter().filter(|r| r.observation.is_accusation() == accusing) {
        let weight = report.weight();
        if weight >= MIN_REPORT_WEIGHT {
            let heaviest = weights.entry(report.witness).or_default();
            *heaviest = heaviest.max(weight);
        }
    }
    match weights.len() >= quorum {
        true => (weights.values().sum::<f64>() / (quorum as f64 * FULL_EFFECT_WEIGHT)).min(1.0),
        false => 0.0,
    }
}

/// Returns the score of one cache node, from -[`MAX_SCORE`] (healthy) to [`MAX_SCORE`] (failing).
///
/// `fronts` is the size of the fleet, this front included. `last_success_age_ms` is the time since the node's
/// last successful answer to this front, or `None` if there was none.
pub fn aggregate_score(reports: &[WitnessReport], fronts: usize, last_success_age_ms: Option<f64>) -> f64 {
    let quorum = required_witnesses(fronts);
    let score = MAX_SCORE
        * (effect_of_side(reports, true, quorum) - effect_of_side(reports, false, quorum)).clamp(-1.0, 1.0);
    match last_success_age_ms {
        Some(age) if score > 0.0 => score * (1.0 - 0.5f64.powf(age.max(0.0) / OWN_SUCCESS_HALF_LIFE_MS)),
        _ => score,
    }
}

#[cfg(test)]
mod tests;
