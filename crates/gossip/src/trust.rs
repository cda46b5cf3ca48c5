//! Each peer's record of agreeing with this front's own observations.

use crate::message::FrontId;
use std::collections::BTreeMap;

/// Half-life of a record in milliseconds: a peer that was wrong may only have been cut off for a while.
const HALF_LIFE_MS: f64 = 60_000.0;
/// Prior count of agreements and of disagreements: a stranger scores 0.5.
const PRIOR: f64 = 1.0;
/// A disagreement counts this many times: a byzantine peer that is right on easy cases gains little by it.
const DISAGREEMENT_WEIGHT: f64 = 2.0;

#[derive(Clone, Copy, Default)]
struct Record {
    agreements: f64,
    disagreements: f64,
    updated_ms: f64,
}

impl Record {
    fn decayed(self, now_ms: f64) -> Record {
        let factor = 0.5f64.powf((now_ms - self.updated_ms).max(0.0) / HALF_LIFE_MS);
        Record {
            agreements: self.agreements * factor,
            disagreements: self.disagreements * factor,
            updated_ms: now_ms,
        }
    }
}

/// The trust records of all peers.
#[derive(Default)]
pub(crate) struct TrustTable(BTreeMap<FrontId, Record>);

impl TrustTable {
    /// A peer's trust, from 0 to 1; 0.5 for a stranger.
    pub fn trust(&self, peer: FrontId, now_ms: f64) -> f64 {
        let record = self.0.get(&peer).copied().unwrap_or_default().decayed(now_ms);
        (record.agreements + PRIOR)
            / (record.agreements + DISAGREEMENT_WEIGHT * record.disagreements + 2.0 * PRIOR)
    }

    /// Notes whether what a peer reported agrees with what this front observed itself.
    pub fn record(&mut self, peer: FrontId, agrees: bool, now_ms: f64) {
        let record = self.0.entry(peer).or_default();
        *record = record.decayed(now_ms);
        *(if agrees { &mut record.agreements } else { &mut record.disagreements }) += 1.0;
    }

    /// Drops the records of peers that `is_tracked` denies.
    pub fn retain(&mut self, is_tracked: impl Fn(FrontId) -> bool) {
        self.0.retain(|id, _| is_tracked(*id));
    }
}

#[cfg(test)]
mod tests;
