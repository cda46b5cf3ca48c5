//! What is known of cache nodes beside what their pools know: where they are and how fast.

use crate::sync::lock;
use fernslip::{CacheId, Entry};
use fernslip_pool::{Endpoint, Phase};
use std::collections::HashMap;
use std::sync::{Arc, Mutex};

/// Attributes of cache nodes by id, from the site document or the endpoint list. Nothing here yields.
#[derive(Default)]
pub struct NodeRegistry {
    nodes: Mutex<HashMap<Arc<str>, NodeAttributes>>,
}

/// Attributes of a cache node that pools don't know.
#[derive(Clone)]
pub(super) struct NodeAttributes {
    /// Index of its zone in the settings.
    pub zone: Option<usize>,
    /// Index of its kind in the settings.
    pub kind: Option<usize>,
    /// Its cell, where the endpoint list names one.
    pub cell: i64,
    /// Bandwidth of its link, in answers at the settings' stream rate.
    pub link: f64,
}

impl NodeRegistry {
    /// A pool's endpoint as the decision module's endpoint list has it; `mean_weight` is that of the pool.
    pub fn entry(&self, endpoint: &Endpoint, mean_weight: f64) -> Entry {
        let nodes = lock(&self.nodes);
        let node = nodes.get(&endpoint.id);
        Entry {
            cache: CacheId(endpoint.id.clone()),
            weight: node.map_or(1.0, |n| n.link) * endpoint.weight
                / if mean_weight > 0.0 { mean_weight } else { 1.0 },
            zone: node.and_then(|n| n.zone),
            kind: node.and_then(|n| n.kind),
            cell: node.map_or(0, |n| n.cell),
            started_ms: endpoint.started_ms,
            phase: match endpoint.phase {
                Phase::Serving => fernslip::Phase::In,
                Phase::Draining => fernslip::Phase::Draining,
                Phase::OutOfService => fernslip::Phase::Out,
            },
        }
    }

    /// Replaces all nodes.
    pub(super) fn replace(&self, nodes: impl Iterator<Item = (Arc<str>, NodeAttributes)>) {
        *lock(&self.nodes) = nodes.collect();
    }

    /// Adds nodes, or replaces those that are known.
    pub(super) fn extend(&self, nodes: impl Iterator<Item = (Arc<str>, NodeAttributes)>) {
        lock(&self.nodes).extend(nodes);
    }

    /// Drops the nodes whose ids don't satisfy `is_listed`.
    pub(super) fn retain(&self, mut is_listed: impl FnMut(&Arc<str>) -> bool) {
        lock(&self.nodes).retain(|id, _| is_listed(id));
    }
}
