//! Attributes of cache nodes that their pools do not store: location, kind and bandwidth.

use crate::sync::lock;
use fernslip::{CacheId, Entry};
use fernslip_pool::{Endpoint, Phase};
use std::collections::HashMap;
use std::sync::{Arc, Mutex};

/// Attributes of cache nodes by id, from the site document or the endpoint list. No method yields.
#[derive(Default)]
pub struct NodeRegistry {
    nodes: Mutex<HashMap<Arc<str>, NodeAttributes>>,
}

/// Attributes of a cache node that pools do not store.
#[derive(Clone)]
pub(super) struct NodeAttributes {
    /// Index of the node's zone in the settings.
    pub zone: Option<usize>,
    /// Index of the node's kind in the settings.
    pub kind: Option<usize>,
    /// The node's cell from the endpoint list; 0 for members of the site document.
    pub cell: i64,
    /// Bandwidth of the node's link, as the number of answers that it carries at once at the stream rate in
    /// the settings.
    pub link: f64,
}

impl NodeRegistry {
    /// Converts a pool's endpoint into an entry of the decision module's endpoint list. `mean_weight` is
    /// the mean weight of the pool's members.
    pub fn endpoint_list_entry(&self, endpoint: &Endpoint, mean_weight: f64) -> Entry {
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

    /// Replaces the attributes of all nodes.
    pub(super) fn replace_all(&self, nodes: impl Iterator<Item = (Arc<str>, NodeAttributes)>) {
        *lock(&self.nodes) = nodes.collect();
    }

    /// Adds nodes; a node that is known already gets the new attributes.
    pub(super) fn extend(&self, nodes: impl Iterator<Item = (Arc<str>, NodeAttributes)>) {
        lock(&self.nodes).extend(nodes);
    }

    /// Removes the nodes whose ids do not satisfy `is_listed`.
    pub(super) fn retain(&self, mut is_listed: impl FnMut(&Arc<str>) -> bool) {
        lock(&self.nodes).retain(|id, _| is_listed(id));
    }
}
