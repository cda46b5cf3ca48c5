//! Cache nodes excluded manually: from the operators' `exclude` until their `include`, a node counts as draining
//! for this router, whatever the list says meanwhile.
//!
//! The set sits between the list and the decisions: every list passes through [`ManualExclusions::rewrite`], which
//! retains the latest entry of each node and turns `In` into `Draining` for excluded ones. Calls are not counted:
//! two `exclude` need one `include`. Deterministic and without I/O; persisting the set across a restart is the host's.

use crate::api::{CacheId, Entry, ListKind, Phase};
use std::collections::{BTreeSet, HashMap};

/// For how long it is retained since when a node is out of service, in milliseconds: longer than any attempt waits.
const OUT_OF_SERVICE_RETENTION_MS: f64 = 3_600_000.0;

/// The manually excluded nodes, and the latest list entry of each node.
#[derive(Default)]
pub struct ManualExclusions {
    excluded: BTreeSet<CacheId>,
    listed: HashMap<CacheId, Entry>,
    /// Since when nothing new is to go to a node, in the time of the events; nodes in service are not in it.
    out_of_service: HashMap<CacheId, f64>,
}

/// What became of the inclusion of a node.
#[derive(Clone, Debug)]
pub enum Inclusion {
    /// The id is neither listed nor excluded: nothing has changed.
    Unknown,
    /// It is excluded no more, and not listed.
    NotListed,
    /// It is excluded no more; its entry as the list last gave it.
    Listed(Entry),
}

impl ManualExclusions {
    /// Takes a list in and rewrites it: excluded nodes are draining in it.
    pub fn rewrite(&mut self, now_ms: f64, kind: ListKind, entries: &mut [Entry]) {
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

    /// Whether something new may go to that node.
    pub fn is_in_service(&self, id: &CacheId) -> bool {
        self.listed.get(id).is_some_and(|e| e.phase == Phase::In) && !self.excluded.contains(id)
    }

    /// Since when nothing new is to go to that node; `None`: it may, or it is too long ago.
    pub fn out_of_service_since(&self, id: &CacheId) -> Option<f64> {
        self.out_of_service.get(id).copied()
    }

    /// Whether a node of that id is listed.
    pub fn is_listed(&self, id: &CacheId) -> bool {
        self.listed.contains_key(id)
    }

    /// Excludes a node; the rewritten entry for the router, or `None` where no node of that id is listed.
    pub fn exclude(&mut self, now_ms: f64, id: &CacheId) -> Option<Entry> {
        let entry = self.listed.get(id)?;
        self.excluded.insert(id.clone());
        self.out_of_service.entry(id.clone()).or_insert(now_ms);
        let phase = if entry.phase == Phase::In { Phase::Draining } else { entry.phase };
        Some(Entry { phase, ..entry.clone() })
    }

    /// Includes a node again.
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

    /// Excludes nodes before they are listed, as a restarted front does with the set that it persisted.
    pub fn restore(&mut self, ids: impl IntoIterator<Item = CacheId>) {
        self.excluded.extend(ids);
    }

    /// The excluded nodes, in order.
    pub fn excluded(&self) -> impl Iterator<Item = &CacheId> {
        self.excluded.iter()
    }

    /// Nodes listed and not removed: in service or draining.
    pub fn listed_count(&self) -> usize {
        self.listed.len()
    }

    /// Listed nodes that are excluded, or draining by the list.
    pub fn avoided_count(&self) -> usize {
        self.listed.values().filter(|e| e.phase != Phase::In || self.excluded.contains(&e.cache)).count()
    }
}

#[cfg(test)]
mod tests;
