//! Who watches whom: on each of several rings, whose order follows from the ids alone, a member watches the next one. All
//! members with the same view know every member's watchers, and each member watches as many as watch it.

use crate::fact::Id;
use std::collections::BTreeMap;

/// Rings drawn for each watcher wanted: in small fleets two rings often name the same watcher, and further ones find
/// others.
const RINGS_PER_WATCHER: u64 = 4;

/// The watchers and subjects of one view.
#[derive(Clone, Debug, Default)]
pub struct Rings {
    watchers: BTreeMap<Id, Vec<Id>>,
    subjects: Vec<Id>,
}

/// The sort key of a member on a ring.
fn position(id: Id, ring: u64) -> u64 {
    let mut x = id.0 ^ ring.wrapping_mul(0xa076_1d64_78bd_642f);
    x = (x ^ (x >> 32)).wrapping_mul(0xe703_7ed1_a0b4_28db);
    x = (x ^ (x >> 29)).wrapping_mul(0x8ebc_6af0_9c88_c6e3);
    x ^ (x >> 32)
}

impl Rings {
    /// The rings of these members, as seen by `own`, with up to `max_watchers` watchers for each member.
    pub fn new(ids: &[Id], own: Id, max_watchers: usize) -> Rings {
        let mut watchers: BTreeMap<Id, Vec<Id>> = ids.iter().map(|id| (*id, Vec::new())).collect();
        let mut subjects = Vec::new();
        let max_watchers = max_watchers.min(ids.len().saturating_sub(1));
        for ring in 0..max_watchers as u64 * RINGS_PER_WATCHER {
            let mut order = ids.to_vec();
            order.sort_unstable_by_key(|id| (position(*id, ring), *id));
            for (i, id) in order.iter().enumerate() {
                let next = order[(i + 1) % order.len()];
                let Some(of_next) = watchers.get_mut(&next) else { continue };
                if next != *id && of_next.len() < max_watchers && !of_next.contains(id) {
                    of_next.push(*id);
                    if *id == own {
                        subjects.push(next);
                    }
                }
            }
            if watchers.values().all(|w| w.len() >= max_watchers) {
                break;
            }
        }
        Rings { watchers, subjects }
    }

    /// The watchers of a member.
    pub fn watchers(&self, of: Id) -> &[Id] {
        self.watchers.get(&of).map_or(&[], Vec::as_slice)
    }

    /// The members that this front watches.
    pub fn subjects(&self) -> &[Id] {
        &self.subjects
    }
}

#[cfg(test)]
mod tests;
