//! When objects and groups were purged last, in bounded memory.

use std::collections::BTreeMap;

/// Purges retained: beyond it the oldest bounds all objects instead of its own.
const MAX_PURGES: usize = 4096;

/// What a purge names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Purged {
    Group(u64),
    Object(u64),
}

/// The last purge of each object and group.
#[derive(Clone, Debug, Default)]
pub struct Purges {
    last: BTreeMap<Purged, f64>,
    /// Of those evicted for their number, the latest: it may have been of anything.
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
        let last = self.last.entry(object.map_or(Purged::Group(group), Purged::Object)).or_insert(at);
        *last = last.max(at);
    }

    /// The last purge that concerns an object of a group.
    pub fn latest(&self, object: u64, group: u64) -> Option<f64> {
        let keys = [Purged::Object(object), Purged::Group(group)];
        keys.iter().filter_map(|k| self.last.get(k)).copied().chain(self.latest_evicted).reduce(f64::max)
    }

    /// Drops those before that time: no copy is that old any more.
    pub fn drop_before(&mut self, time: f64) {
        self.last.retain(|_, at| *at > time);
    }

    /// How many are retained.
    pub fn len(&self) -> usize {
        self.last.len()
    }
}
