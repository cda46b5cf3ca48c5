//! Assigns watchers to members. Members are sorted into several rings, whose orders follow from the ids
//! alone, and on each ring a member watches the next one. All members with the same view thus know the
//! watchers of every member, and each member watches about as many as watch it.

use crate::fact::Id;
use std::collections::BTreeMap;

/// The number of rings computed for each watcher wanted. In small fleets two rings often select the same
/// watcher, and further rings find others.
const RINGS_PER_WATCHER: u64 = 4;

/// The watchers of every member of one view, and the members that this front itself watches (its subjects).
#[derive(Clone, Debug, Default)]
pub struct Rings {
    watchers: BTreeMap<Id, Vec<Id>>,
    subjects: Vec<Id>,
}

/// Returns the sort key of a member on a ring.
fn sort_key(id: Id, ring: u64) -> u64 {
    let mut x = id.0 ^ ring.wrapping_mul(0xa076_1d64_78bd_642f);
    x = (x ^ (x >> 32)).wrapping_mul(0xe703_7ed1_a0b4_28db);
    x = (x ^ (x >> 29)).wrapping_mul(0x8ebc_6af0_9c88_c6e3);
    x ^ (x >> 32)
}

impl Rings {
    /// Computes the rings of the members `ids` for the front `own`, with up to `max_watchers` watchers for
    /// each member.
    pub fn new(ids: &[Id], own: Id, max_watchers: usize) -> Rings {
        let mut watchers: BTreeMap<Id, Vec<Id>> = ids.iter().map(|id| (*id, Vec::new())).collect();
        let mut subjects = Vec::new();
        let max_watchers = max_watchers.min(ids.len().saturating_sub(1));
        for ring in 0..max_watchers as u64 * RINGS_PER_WATCHER {
            let mut order = ids.to_vec();
            order.sort_unstable_by_key(|id| (sort_key(*id, ring), *id));
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

    /// Returns the watchers of a member; empty if the member is unknown.
    pub fn watchers(&self, of: Id) -> &[Id] {
        self.watchers.get(&of).map_or(&[], Vec::as_slice)
    }

    /// Returns the members that this front watches.
    pub fn subjects(&self) -> &[Id] {
        &self.subjects
    }
}

#[cfg(test)]
mod tests;
