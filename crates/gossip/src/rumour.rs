//! Words on boxes: what each witness says, first hand, and how much of it may be held.

use crate::codec::{BoxKey, FrontId, Kind, Word};
use std::collections::{BTreeMap, BTreeSet};

/// A word is forgotten after this time, in milliseconds: its voice is a sixteenth then.
pub(crate) const LIFE_MS: f64 = 32_000.0;
/// Witnesses held for a box: far more than any quorum.
const MOST_WITNESSES: usize = 16;
/// Words held in all.
const MOST_WORDS: usize = 16_384;
/// A word that is older than the held one by less than this is the same: ages travel in steps of 100 ms.
const SAME_MS: f64 = 150.0;

/// A word that is held.
#[derive(Clone, Copy, Debug)]
struct Held {
    kind: Kind,
    strength: f64,
    count: u8,
    /// When it was seen, on our clock.
    seen_ms: f64,
}

/// A word, for the operators.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RumourView {
    /// Who says it.
    pub witness: FrontId,
    /// What.
    pub word: Word,
}

/// How many boxes of how many a witness speaks against, and when it said so.
#[derive(Clone, Copy, Debug)]
struct Fold {
    part: f64,
    at_ms: f64,
}

/// All words.
#[derive(Default)]
pub(crate) struct Rumours {
    boxes: BTreeSet<BoxKey>,
    words: BTreeMap<BoxKey, BTreeMap<FrontId, Held>>,
    held: usize,
    /// Boxes that each witness speaks against.
    against: BTreeMap<FrontId, usize>,
    folds: BTreeMap<FrontId, Fold>,
}

impl Rumours {
    /// The boxes that there are: words on others are dropped, also those on a box that was replaced.
    pub fn list(&mut self, boxes: impl IntoIterator<Item = BoxKey>) -> Vec<BoxKey> {
        self.boxes = boxes.into_iter().collect();
        let gone: Vec<BoxKey> = self.words.keys().filter(|b| !self.boxes.contains(b)).copied().collect();
        for b in &gone {
            self.forget(*b);
        }
        gone
    }

    pub fn knows(&self, of: BoxKey) -> bool {
        self.boxes.contains(&of)
    }

    pub fn boxes(&self) -> usize {
        self.boxes.len()
    }

    fn forget(&mut self, of: BoxKey) {
        let witnesses: Vec<FrontId> =
            self.words.get(&of).into_iter().flat_map(|w| w.keys().copied()).collect();
        for w in witnesses {
            self.remove(of, w);
        }
    }

    fn remove(&mut self, of: BoxKey, witness: FrontId) {
        let Some(words) = self.words.get_mut(&of) else { return };
        let Some(h) = words.remove(&witness) else { return };
        if words.is_empty() {
            self.words.remove(&of);
        }
        self.held -= 1;
        if h.kind.is_against() {
            if let Some(n) = self.against.get_mut(&witness) {
                *n -= 1;
                if *n == 0 {
                    self.against.remove(&witness);
                }
            }
        }
    }

    /// Takes a word; whether it says something new. One on a box that is not listed is dropped.
    pub fn hear(&mut self, witness: FrontId, w: &Word, now_ms: f64) -> bool {
        if !self.knows(w.of) || w.age_ms >= LIFE_MS {
            return false;
        }
        let seen_ms = now_ms - w.age_ms.max(0.0);
        let old = self.words.get(&w.of).and_then(|all| all.get(&witness)).copied();
        if old.is_some_and(|o| seen_ms <= o.seen_ms + SAME_MS) {
            return false;
        }
        if old.is_none() {
            let crowded = self.words.get(&w.of).is_some_and(|all| all.len() >= MOST_WITNESSES);
            if crowded || self.held >= MOST_WORDS {
                // The oldest word on this box gives way; where there is none to give way, the new one is not taken.
                let oldest = self.words.get(&w.of).and_then(|all| {
                    all.iter()
                        .min_by(|a, b| a.1.seen_ms.total_cmp(&b.1.seen_ms))
                        .map(|(id, h)| (*id, h.seen_ms))
                });
                match oldest {
                    Some((id, seen)) if seen < seen_ms => self.remove(w.of, id),
                    _ => return false,
                }
            }
        }
        self.remove(w.of, witness);
        let held = Held { kind: w.kind, strength: w.strength, count: w.count, seen_ms };
        self.words.entry(w.of).or_default().insert(witness, held);
        self.held += 1;
        if w.kind.is_against() {
            *self.against.entry(witness).or_default() += 1;
        }
        old.is_none_or(|o| o.kind != w.kind || (o.strength - w.strength).abs() > 0.02 || seen_ms > o.seen_ms)
    }

    /// A witness speaks against so many boxes of so many.
    pub fn fold(&mut self, witness: FrontId, count: u16, of: u16, age_ms: f64, now_ms: f64) {
        let part = (f64::from(count) / f64::from(of.max(1))).min(1.0);
        self.folds.insert(witness, Fold { part, at_ms: now_ms - age_ms.max(0.0) });
    }

    /// The part of all boxes that a witness speaks against, by its words held here and by its own count. Of two or
    /// three boxes, one is no storm: the part is reckoned as if there were a few more.
    pub fn accuses(&self, witness: FrontId, now_ms: f64) -> f64 {
        let words = self.against.get(&witness).copied().unwrap_or(0);
        let part = (words as f64 - 1.0).max(0.0) / (self.boxes.len() as f64 + 2.0);
        let folded = self.folds.get(&witness).filter(|f| now_ms - f.at_ms < LIFE_MS).map_or(0.0, |f| f.part);
        part.max(folded)
    }

    /// The words on a box, with their ages.
    pub fn on(&self, of: BoxKey, now_ms: f64) -> impl Iterator<Item = (FrontId, Word)> + '_ {
        self.words.get(&of).into_iter().flatten().map(move |(id, h)| (*id, word(of, h, now_ms)))
    }

    /// Whether any word speaks against a box.
    pub fn is_accused(&self, of: BoxKey) -> bool {
        self.words.get(&of).is_some_and(|all| all.values().any(|h| h.kind.is_against()))
    }

    /// Boxes with words on them.
    pub fn spoken_of(&self) -> impl Iterator<Item = BoxKey> + '_ {
        self.words.keys().copied()
    }

    /// Every word, for the operators.
    pub fn views(&self, now_ms: f64) -> impl Iterator<Item = RumourView> + '_ {
        let all = self.words.iter().flat_map(|(of, all)| all.iter().map(move |(w, h)| (*of, *w, h)));
        all.map(move |(of, witness, h)| RumourView { witness, word: word(of, h, now_ms) })
    }

    /// How many words are held.
    pub fn held(&self) -> usize {
        self.held
    }

    /// Forgets what is too old.
    pub fn expire(&mut self, now_ms: f64) {
        let old: Vec<(BoxKey, FrontId)> = self
            .words
            .iter()
            .flat_map(|(of, all)| all.iter().map(move |(w, h)| (*of, *w, h.seen_ms)))
            .filter(|(_, _, seen)| now_ms - seen >= LIFE_MS)
            .map(|(of, w, _)| (of, w))
            .collect();
        for (of, w) in old {
            self.remove(of, w);
        }
        self.folds.retain(|_, f| now_ms - f.at_ms < LIFE_MS);
    }
}

fn word(of: BoxKey, h: &Held, now_ms: f64) -> Word {
    let age_ms = (now_ms - h.seen_ms).max(0.0);
    Word { of, kind: h.kind, strength: h.strength, count: h.count, age_ms }
}
