//! What a front knows of the others while what is agreed reaches all fronts: their last word, and the states held
//! for those who fetch them.
//!
//! The steps that use it are in `engine/replicating.rs`.

use crate::rules::Digest;
use crate::wire::Have;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, VecDeque};

/// States and their texts that are held for those who fetch them.
pub(crate) const STATES: usize = 3;

/// A state's digest and length; of which record and from whom, where it is being fetched.
pub(crate) type State = (Digest, u32, Option<(u64, String)>);

/// What a front knows of the others, and what it waits for.
#[derive(Debug)]
pub(crate) struct Replication {
    pub peers: Vec<String>,
    /// The version that this front serves by.
    pub in_force: u64,
    pub(crate) said: BTreeMap<String, Have>,
    pub(crate) next_tell: f64,
    pub(crate) next_lack: f64,
    pub(crate) again: u32,
    /// States that were handed on or are being fetched, by digest, and of which record.
    pub(crate) states: VecDeque<State>,
}

impl Replication {
    pub fn new(now: f64) -> Replication {
        let (peers, said, states) = Default::default();
        Replication { peers, in_force: 0, said, next_tell: now, next_lack: now, again: 0, states }
    }

    pub fn said(&self) -> impl Iterator<Item = (&str, u64)> {
        self.said.iter().map(|(n, h)| (n.as_str(), h.in_force))
    }

    pub fn states(&self) -> impl Iterator<Item = Digest> + '_ {
        self.states.iter().map(|s| s.0)
    }

    pub fn any_of(&self, names: &[String], rng: &mut ChaCha8Rng) -> Option<String> {
        names.choose(rng).cloned()
    }

    pub(crate) fn hold(&mut self, d: Digest, bytes: u32, of: Option<(u64, String)>) {
        self.states.retain(|s| s.0 != d);
        self.states.push_back((d, bytes, of));
        if self.states.len() > STATES {
            self.states.pop_front();
        }
    }
}
