//! When objects and groups were purged last, in bounded memory.

use std::collections::BTreeMap;

/// Purges held: beyond it the oldest bounds all objects instead of its own.
const MAX_PURGES: usize = 4096;

/// The last purge of each object and group.
#[derive(Clone, Debug, Default)]
pub struct Purges {
    /// By what was named: an object (true) or a group.
    last: BTreeMap<(bool, u64), f64>,
    /// Of those let go of for their number, the latest: it may have been of anything.
    latest_evicted: Option<f64>,
}

impl Purges {
    /// An object, or with `None` a group, was purged at that time.
    pub fn record(&mut self, object: Option<u64>, group: u64, at: f64) {
        if self.last.len() >= MAX_PURGES {
            let oldest = self.last.iter().min_by(|a, b| a.1.total_cmp(b.1)).map(|p| *p.0);
            let evicted = oldest.and_then(|k| self.last.remove(&k));
            self.latest_evicted = self.latest_evicted.into_iter().chain(evicted).reduce(f64::max);
        }
        let last = self.last.entry(object.map_or((false, group), |o| (true, o))).or_insert(at);
        *last = last.max(at);
    }

    /// The last purge that concerns an object of a group.
    pub fn latest(&self, object: u64, group: u64) -> Option<f64> {
        let keys = [(true, object), (false, group)];
        keys.iter().filter_map(|k| self.last.get(k)).copied().chain(self.latest_evicted).reduce(f64::max)
    }

    /// Lets go of those before that time: no copy is that old any more.
    pub fn drop_before(&mut self, time: f64) {
        self.last.retain(|_, at| *at > time);
    }

    /// How many are held.
    pub fn len(&self) -> usize {
        self.last.len()
    }
}
