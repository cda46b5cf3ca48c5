//! Times of the last purge of each object and group, in bounded memory.

use std::collections::BTreeMap;

/// Maximum number of purges retained. When it is exceeded, the oldest purge is evicted and from then on
/// applies to all objects.
const MAX_RETAINED_PURGES: usize = 4096;

/// Object or group that a purge applies to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum PurgeTarget {
    Group(u64),
    Object(u64),
}

/// Time of the last purge of each object and group.
#[derive(Clone, Debug, Default)]
pub struct Purges {
    last: BTreeMap<PurgeTarget, f64>,
    /// Latest time among purges evicted for space. It applies to all objects, because their targets are no
    /// longer known.
    latest_evicted: Option<f64>,
}

impl Purges {
    /// Records a purge at time `at` of one object, or of a whole group if `object` is `None`.
    pub fn record(&mut self, object: Option<u64>, group: u64, at: f64) {
        if self.last.len() >= MAX_RETAINED_PURGES {
            let oldest = self.last.iter().min_by(|a, b| a.1.total_cmp(b.1)).map(|p| *p.0);
            let evicted = oldest.and_then(|k| self.last.remove(&k));
            self.latest_evicted = self.latest_evicted.into_iter().chain(evicted).reduce(f64::max);
        }
        let last =
            self.last.entry(object.map_or(PurgeTarget::Group(group), PurgeTarget::Object)).or_insert(at);
        *last = last.max(at);
    }

    /// Time of the last purge that affects an object of the given group.
    pub fn latest_for(&self, object: u64, group: u64) -> Option<f64> {
        let keys = [PurgeTarget::Object(object), PurgeTarget::Group(group)];
        keys.iter().filter_map(|k| self.last.get(k)).copied().chain(self.latest_evicted).reduce(f64::max)
    }

    /// Drops purges up to the given time. The caller passes a time so long ago that no
    /// copy older than these purges can still exist.
    pub fn drop_before(&mut self, time: f64) {
        self.last.retain(|_, at| *at > time);
    }

    /// Number of purges retained.
    pub fn len(&self) -> usize {
        self.last.len()
    }
}
