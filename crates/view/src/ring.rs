//! Who watches whom: in each of several orders, drawn from the ids alone, a front watches the next one. All fronts with
//! the same view know all watchers of each, and each has as many to watch as watch it.

use crate::fact::Id;
use std::collections::BTreeMap;

/// Who watches whom in one view.
#[derive(Clone, Debug, Default)]
pub struct Rings {
    watchers: BTreeMap<Id, Vec<Id>>,
    subjects: Vec<Id>,
}

fn place(id: Id, ring: u64) -> u64 {
    let mut x = id.0 ^ ring.wrapping_mul(0xa076_1d64_78bd_642f);
    x = (x ^ (x >> 32)).wrapping_mul(0xe703_7ed1_a0b4_28db);
    x = (x ^ (x >> 29)).wrapping_mul(0x8ebc_6af0_9c88_c6e3);
    x ^ (x >> 32)
}

impl Rings {
    /// The rings of these fronts, as `own` sees them: `most` watchers a front, less where there are not so many.
    pub fn new(ids: &[Id], own: Id, most: usize) -> Rings {
        let mut watchers: BTreeMap<Id, Vec<Id>> = ids.iter().map(|id| (*id, Vec::new())).collect();
        let mut subjects = Vec::new();
        let most = most.min(ids.len().saturating_sub(1));
        // In small fleets two rings often name the same front twice; a few more find others.
        for ring in 0..most as u64 * 4 {
            let mut order = ids.to_vec();
            order.sort_unstable_by_key(|id| (place(*id, ring), *id));
            for (i, id) in order.iter().enumerate() {
                let next = order[(i + 1) % order.len()];
                let Some(of) = watchers.get_mut(&next) else { continue };
                if next != *id && of.len() < most && !of.contains(id) {
                    of.push(*id);
                    if *id == own {
                        subjects.push(next);
                    }
                }
            }
            if watchers.values().all(|w| w.len() >= most) {
                break;
            }
        }
        Rings { watchers, subjects }
    }

    /// Who watches this front.
    pub fn watchers(&self, of: Id) -> &[Id] {
        self.watchers.get(&of).map_or(&[], Vec::as_slice)
    }

    /// Whom this front watches.
    pub fn subjects(&self) -> &[Id] {
        &self.subjects
    }
}

#[cfg(test)]
mod tests;
