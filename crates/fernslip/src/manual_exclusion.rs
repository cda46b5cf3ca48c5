//! Manual exclusion of cache nodes: from an operator's `exclude` to the next `include`, a node counts as
//! draining for this router, whatever the endpoint list says.
//!
//! Every endpoint list passes through [`ManualExclusions::apply_to_list`] before the router sees it. The
//! method stores the latest entry of each node and changes `In` to `Draining` for excluded nodes. Exclusions
//! are not counted: one `include` ends any number of `exclude` calls. The code is deterministic and does no
//! I/O; the host persists the set across restarts.

use crate::api::{CacheId, Entry, ListKind, Phase};
use std::collections::{BTreeSet, HashMap};

/// How long the time at which a node left service is retained, in milliseconds. Longer than any attempt
/// lasts.
const OUT_OF_SERVICE_RETENTION_MS: f64 = 3_600_000.0;

/// The manually excluded nodes, and the latest endpoint-list entry of each node.
#[derive(Default)]
pub struct ManualExclusions {
    excluded: BTreeSet<CacheId>,
    listed: HashMap<CacheId, Entry>,
    /// When each node that is not in service left it, in milliseconds on the events' clock.
    out_of_service: HashMap<CacheId, f64>,
}

/// The result of including a node again.
#[derive(Clone, Debug)]
pub enum Inclusion {
    /// The node is neither listed nor excluded, so nothing has changed.
    Unknown,
    /// The node is no longer excluded. It is not listed.
    NotListed,
    /// The node is no longer excluded. Holds the latest entry of the endpoint list for it.
    Listed(Entry),
}

impl ManualExclusions {
    /// Stores an endpoint list or a change of it, and changes the entries of excluded nodes to draining.
    pub fn apply_to_list(&mut self, now_ms: f64, kind: ListKind, entries: &mut [Entry]) {
        match kind {
            ListKind::Failed => return,
            ListKind::Full | ListKind::Cached => {
                for id in std::mem::take(&mut self.listed).into_keys() {
                    self.out_of_service.entry(id).or_insert(now_ms);
                }
            }
            ListKind::Delta => {}
        }
        for e in entries.iter_mut() {
            if e.phase == Phase::Out {
                self.listed.remove(&e.cache);
            } else {
                self.listed.insert(e.cache.clone(), e.clone());
            }
            if e.phase == Phase::In && self.excluded.contains(&e.cache) {
                e.phase = Phase::Draining;
            }
            if e.phase == Phase::In {
                self.out_of_service.remove(&e.cache);
            } else {
                self.out_of_service.entry(e.cache.clone()).or_insert(now_ms);
            }
        }
        self.out_of_service.retain(|_, since| now_ms - *since < OUT_OF_SERVICE_RETENTION_MS);
    }

    /// Whether new attempts may be sent to that node.
    pub fn is_in_service(&self, id: &CacheId) -> bool {
        self.listed.get(id).is_some_and(|e| e.phase == Phase::In) && !self.excluded.contains(id)
    }

    /// When the node left service, in milliseconds on the events' clock. `None`: it is in service, was never
    /// listed, or left service more than an hour ago.
    pub fn out_of_service_since(&self, id: &CacheId) -> Option<f64> {
        self.out_of_service.get(id).copied()
    }

    /// Whether a node with that id is in the endpoint list.
    pub fn is_listed(&self, id: &CacheId) -> bool {
        self.listed.contains_key(id)
    }

    /// Excludes a node, and returns its changed entry for the router. `None`: no node with that id is listed,
    /// and nothing has changed.
    pub fn exclude(&mut self, now_ms: f64, id: &CacheId) -> Option<Entry> {
        let entry = self.listed.get(id)?;
        self.excluded.insert(id.clone());
        self.out_of_service.entry(id.clone()).or_insert(now_ms);
        let phase = if entry.phase == Phase::In { Phase::Draining } else { entry.phase };
        Some(Entry { phase, ..entry.clone() })
    }

    /// Ends the exclusion of a node.
    pub fn include(&mut self, id: &CacheId) -> Inclusion {
        let was_excluded = self.excluded.remove(id);
        if self.is_in_service(id) {
            self.out_of_service.remove(id);
        }
        match self.listed.get(id) {
            Some(entry) => Inclusion::Listed(entry.clone()),
            None if was_excluded => Inclusion::NotListed,
            None => Inclusion::Unknown,
        }
    }

    /// Excludes nodes that need not be listed yet, for a restarted front that persisted its set.
    pub fn restore(&mut self, ids: impl IntoIterator<Item = CacheId>) {
        self.excluded.extend(ids);
    }

    /// The excluded nodes, in ascending order of their ids.
    pub fn excluded(&self) -> impl Iterator<Item = &CacheId> {
        self.excluded.iter()
    }

    /// Number of nodes that are listed and not removed: in service or draining.
    pub fn listed_count(&self) -> usize {
        self.listed.len()
    }

    /// Number of listed nodes that get no new attempts: excluded manually, or draining in the endpoint list.
    pub fn draining_count(&self) -> usize {
        self.listed.values().filter(|e| e.phase != Phase::In || self.excluded.contains(&e.cache)).count()
    }
}

#[cfg(test)]
mod tests;
