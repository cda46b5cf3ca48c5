//! What the discovery watch has reported so far: the endpoint list with all its changes, and the recent
//! purges.
//!
//! This is the part of the watch's history that a process which replaces this one needs
//! ([`crate::control::watch_checkpoint`]).

use super::watch_event::{ListedNode, MAX_LISTED_NODES};
use fernslip::{CacheId, ObjectId, Phase};
use std::collections::{BTreeMap, VecDeque};

/// Maximum number of purges retained. The decision crate retains as many.
const MAX_RETAINED_PURGES: usize = 4096;

/// A position in the events of the bus. A later position has seen all that an earlier one has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct WatchPosition {
    /// How many times the bus has started its numbering anew since the front was configured.
    pub generation: u64,
    /// The offset of the last event received.
    pub offset: u64,
}

/// A purge that the watch has reported.
#[derive(Clone, Debug, PartialEq)]
pub struct ReportedPurge {
    /// The position of the purge among the events.
    pub position: WatchPosition,
    /// The purged object. `None` if the whole group is purged.
    pub object: Option<ObjectId>,
    /// The purged group; 0 if a purge of one object names no group.
    pub group: u64,
    /// The clock time of the purge, in milliseconds.
    pub at_ms: f64,
}

/// The endpoint list and the recent purges.
#[derive(Debug, Default)]
pub struct WatchState {
    /// The latest entry of each node. Departed nodes are included.
    nodes: BTreeMap<CacheId, ListedNode>,
    /// Increases with each change of `nodes`.
    nodes_version: u64,
    /// The purges in the order in which they were reported.
    purges: VecDeque<ReportedPurge>,
}

impl WatchState {
    /// The latest entry of each node, departed nodes included.
    pub fn nodes(&self) -> impl Iterator<Item = &ListedNode> {
        self.nodes.values()
    }

    /// A number that increases with each change of the nodes.
    pub fn nodes_version(&self) -> u64 {
        self.nodes_version
    }

    /// Records an endpoint list, or the changes of one if it is not `full`.
    pub fn record_nodes(&mut self, full: bool, nodes: &[ListedNode]) {
        if full {
            self.nodes.clear();
        }
        self.nodes.extend(nodes.iter().map(|node| (node.entry.cache.clone(), node.clone())));
        if self.nodes.len() > MAX_LISTED_NODES {
            self.nodes.retain(|_, node| node.entry.phase != Phase::Out);
        }
        self.nodes_version += 1;
    }

    /// When the last process of a node that is draining or has departed started, in Unix milliseconds as
    /// reported. `None` if the node is in service or unknown.
    pub fn out_of_service_start_ms(&self, cache: &CacheId) -> Option<f64> {
        let node = self.nodes.get(cache).filter(|node| node.entry.phase != Phase::In);
        node.map(|node| node.entry.started_ms)
    }

    /// Records a purge.
    pub fn record_purge(&mut self, purge: ReportedPurge) {
        self.purges.push_back(purge);
        while self.purges.len() > MAX_RETAINED_PURGES {
            self.purges.pop_front();
        }
    }

    /// Drops the purges before the clock time `at_ms`, and returns the others.
    pub fn purges_since(&mut self, at_ms: f64) -> impl Iterator<Item = &ReportedPurge> {
        self.purges.retain(|purge| purge.at_ms >= at_ms);
        self.purges.iter()
    }
}
