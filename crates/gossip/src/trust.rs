//! Each peer's record of agreeing with this front's own observations.

use crate::message::FrontId;
use std::collections::BTreeMap;

/// Half-life of a trust record in milliseconds. Trust recovers, because a peer that was wrong may only have
/// been partitioned for a while.
const TRUST_HALF_LIFE_MS: f64 = 60_000.0;
/// Prior count of agreements and of disagreements, which gives an unknown peer a trust of 0.5.
const PRIOR_COUNT: f64 = 1.0;
/// The weight of a disagreement relative to that of an agreement. A byzantine peer thus gains little from
/// true reports on obvious cases.
const DISAGREEMENT_WEIGHT: f64 = 2.0;

#[derive(Clone, Copy, Default)]
struct TrustRecord {
    agreements: f64,
    disagreements: f64,
    updated_ms: f64,
}

impl TrustRecord {
    fn decayed(self, now_ms: f64) -> TrustRecord {
        let factor = 0.5f64.powf((now_ms - self.updated_ms).max(0.0) / TRUST_HALF_LIFE_MS);
        TrustRecord {
            agreements: self.agreements * factor,
            disagreements: self.disagreements * factor,
            updated_ms: now_ms,
        }
    }
}

/// The trust records of all peers.
#[derive(Default)]
pub(crate) struct TrustTable(BTreeMap<FrontId, TrustRecord>);

impl TrustTable {
    /// Returns a peer's trust, from 0 to 1; 0.5 for an unknown peer.
    pub fn trust(&self, peer: FrontId, now_ms: f64) -> f64 {
        let record = self.0.get(&peer).copied().unwrap_or_default().decayed(now_ms);
        (record.agreements + PRIOR_COUNT)
            / (record.agreements + DISAGREEMENT_WEIGHT * record.disagreements + 2.0 * PRIOR_COUNT)
    }

    /// Records whether a peer's report agrees with what this front itself observed.
    pub fn record_comparison(&mut self, peer: FrontId, agrees: bool, now_ms: f64) {
        let record = self.0.entry(peer).or_default();
        *record = record.decayed(now_ms);
        *(if agrees { &mut record.agreements } else { &mut record.disagreements }) += 1.0;
    }

    /// Removes the records of peers for which `is_tracked` returns `false`.
    pub fn retain(&mut self, is_tracked: impl Fn(FrontId) -> bool) {
        self.0.retain(|id, _| is_tracked(*id));
    }
}

#[cfg(test)]
mod tests;
