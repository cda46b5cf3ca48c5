//! Each peer's record of agreeing with our own answers.

use crate::codec::FrontId;
use std::collections::BTreeMap;

/// A record loses half of itself in this time, in milliseconds: who was wrong may have been cut off.
const HALF_LIFE_MS: f64 = 60_000.0;
/// Cases that count as before anything is known: a stranger is trusted by half.
const BEFORE: f64 = 1.0;
/// Being wrong weighs more than being right: a liar that is right on easy cases buys little.
const WRONG: f64 = 2.0;

#[derive(Clone, Copy, Default)]
struct Record {
    right: f64,
    wrong: f64,
    at_ms: f64,
}

/// All records.
#[derive(Default)]
pub(crate) struct Trust(BTreeMap<FrontId, Record>);

impl Record {
    fn faded(self, now_ms: f64) -> Record {
        let part = 0.5f64.powf((now_ms - self.at_ms).max(0.0) / HALF_LIFE_MS);
        Record { right: self.right * part, wrong: self.wrong * part, at_ms: now_ms }
    }
}

impl Trust {
    /// Its record, from 0 to 1.
    pub fn of(&self, peer: FrontId, now_ms: f64) -> f64 {
        let r = self.0.get(&peer).copied().unwrap_or_default().faded(now_ms);
        (r.right + BEFORE) / (r.right + WRONG * r.wrong + 2.0 * BEFORE)
    }

    /// It said what we saw, or the contrary.
    pub fn saw(&mut self, peer: FrontId, agrees: bool, now_ms: f64) {
        let r = self.0.entry(peer).or_default();
        *r = r.faded(now_ms);
        *(if agrees { &mut r.right } else { &mut r.wrong }) += 1.0;
    }

    /// Forgets all but these.
    pub fn keep(&mut self, known: impl Fn(FrontId) -> bool) {
        self.0.retain(|id, _| known(*id));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn records_fade_and_wrong_weighs_more() {
        let (mut t, peer) = (Trust::default(), FrontId(1));
        assert_eq!(t.of(peer, 0.0), 0.5);
        for _ in 0..10 {
            t.saw(peer, true, 0.0);
        }
        assert!(t.of(peer, 0.0) > 0.9);
        for _ in 0..10 {
            t.saw(peer, false, 0.0);
        }
        assert!(t.of(peer, 0.0) < 0.4, "as often wrong as right is worse than a stranger");
        assert!((t.of(peer, 20.0 * HALF_LIFE_MS) - 0.5).abs() < 0.01);
    }
}
