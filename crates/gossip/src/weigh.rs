//! How witnesses' words on one box are joined: a pure rule.
//!
//! A word's voice is `trust * strength * 0.5^(age / half-life) * (1 - accuses)^2`, where `trust` is the witness's
//! record of agreeing with our own answers (from 0 to 1, a stranger's is 0.5) and `accuses` the part of all boxes that it
//! speaks against. Who speaks against everything says nothing: it is slow itself, cut off, or lying.
//!
//! Words against a box count from a quorum of independent witnesses on, each with a voice of at least
//! [`LEAST_VOICE`]; so no single peer moves anything. Our own evidence against it is one of
//! them, of trust 1, if it is more than a lone error. The sum of voices over `quorum * FULL_VOICE`, less that of those
//! who say it is well, from -1 to 1, times [`CAP`], is the hearsay. Our own good answers take away what speaks against
//! a box, by `1 - 0.5^(age / own half-life)`: hearsay never outweighs what we see ourselves.

use crate::codec::{FrontId, Kind};
use std::collections::BTreeMap;

/// All hearsay together, at the most: of its share, a box keeps a fifth at the least.
pub const CAP: f64 = 0.8;
/// A word loses half its voice in this time, in milliseconds: boxes fail and come back within tens of seconds.
pub const HALF_LIFE_MS: f64 = 8_000.0;
/// Our own good answers lose half their weight against hearsay in this time.
pub const OWN_HALF_LIFE_MS: f64 = 4_000.0;
/// A voice below this is none.
pub const LEAST_VOICE: f64 = 0.05;
/// The voice of a stranger (trust 0.5) who is half sure: a quorum of these is heard in full.
pub const FULL_VOICE: f64 = 0.25;

/// One witness's word, with what is known of the witness.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Said {
    /// The witness.
    pub witness: FrontId,
    /// What it says.
    pub kind: Kind,
    /// How sure it is, from 0 to 1.
    pub strength: f64,
    /// How long ago it saw it, in milliseconds.
    pub age_ms: f64,
    /// Its record, from 0 to 1.
    pub trust: f64,
    /// The part of all boxes that it speaks against, from 0 to 1.
    pub accuses: f64,
}

/// Witnesses that must agree in a fleet of so many fronts, this one included: two at the least, and more in a large
/// one, where more can lie together.
pub fn quorum(fronts: usize) -> usize {
    (((fronts + 1) as f64).log2() / 2.0).round().max(2.0) as usize
}

fn voice(s: &Said) -> f64 {
    let fades = 0.5f64.powf(s.age_ms.max(0.0) / HALF_LIFE_MS);
    s.trust.clamp(0.0, 1.0) * s.strength.clamp(0.0, 1.0) * fades * (1.0 - s.accuses.clamp(0.0, 1.0)).powi(2)
}

/// What the words on one box amount to, from -[`CAP`] (well) to [`CAP`] (failing). `own_good_age_ms`: since our own
/// last good answer.
pub fn weigh(said: &[Said], fronts: usize, own_good_age_ms: Option<f64>) -> f64 {
    let quorum = quorum(fronts);
    let side = |against: bool| {
        // Each witness once, by its strongest word.
        let mut voices: BTreeMap<FrontId, f64> = BTreeMap::new();
        for s in said.iter().filter(|s| s.kind.is_against() == against) {
            let v = voice(s);
            if v >= LEAST_VOICE {
                let held = voices.entry(s.witness).or_default();
                *held = held.max(v);
            }
        }
        match voices.len() >= quorum {
            true => (voices.values().sum::<f64>() / (quorum as f64 * FULL_VOICE)).min(1.0),
            false => 0.0,
        }
    };
    let amount = CAP * (side(true) - side(false)).clamp(-1.0, 1.0);
    match own_good_age_ms {
        Some(age) if amount > 0.0 => amount * (1.0 - 0.5f64.powf(age.max(0.0) / OWN_HALF_LIFE_MS)),
        _ => amount,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn said(n: u32, kind: Kind) -> Said {
        Said { witness: FrontId(n), kind, strength: 0.8, age_ms: 0.0, trust: 0.5, accuses: 0.0 }
    }

    #[test]
    fn no_single_witness_is_heard() {
        let one = vec![Said { trust: 1.0, strength: 1.0, ..said(1, Kind::Failing) }; 50];
        assert_eq!(weigh(&one, 4, None), 0.0, "however often it says so");
        let all = [Kind::Failing, Kind::Silent, Kind::Crawling].map(|k| said(1, k));
        assert_eq!(weigh(&all, 4, None), 0.0, "in however many ways");
        assert!(weigh(&[said(1, Kind::Failing), said(2, Kind::Silent)], 4, None) > 0.5);
    }

    #[test]
    fn what_is_said_is_weighed() {
        let two = [said(1, Kind::Failing), said(2, Kind::Failing)];
        let with = |f: &dyn Fn(&mut Said)| {
            let mut changed = two;
            changed.iter_mut().for_each(f);
            weigh(&changed, 4, None)
        };
        let full = weigh(&two, 4, None);
        assert_eq!(full, CAP);
        assert!(with(&|s| s.age_ms = 3.0 * HALF_LIFE_MS) < full / 2.0, "it fades");
        assert!(with(&|s| s.trust = 0.1) < full / 2.0, "a bad record");
        assert_eq!(with(&|s| s.accuses = 1.0), 0.0, "who accuses all says nothing");
        assert_eq!(weigh(&two, 200, None), 0.0, "a large fleet asks for more witnesses");
        let contradicted = [two[0], two[1], said(3, Kind::Well), said(4, Kind::Well)];
        assert_eq!(weigh(&contradicted, 4, None), 0.0);
        assert_eq!(weigh(&contradicted[2..], 4, None), -CAP);
        assert_eq!(weigh(&two, 4, Some(0.0)), 0.0, "our own good answer just now");
        assert!(weigh(&two, 4, Some(OWN_HALF_LIFE_MS)) < 0.6 * full);
        assert!([2, 4, 20, 200].map(quorum) == [2, 2, 2, 4]);
    }
}
