//! Nodes known to the router: updates of the endpoint list, the peers of a node, and the requests in flight
//! at each node.

use super::Router;
use super::{FILTER_COUNTERS, FILTER_HASHES, INITIAL_FILLS_PER_WEIGHT};
use crate::api::*;
use crate::filter::hash_key;
use crate::rendezvous::key_to_u64;
use crate::state::{Node, Role};
use std::collections::BTreeSet;

impl Router {
    /// Applies an endpoint list or a change of it, and updates the estimates that depend on the listed nodes.
    pub(super) fn update_endpoints(&mut self, kind: ListKind, entries: Vec<Entry>, out: &mut Vec<Action>) {
        if kind == ListKind::Failed || (kind == ListKind::Cached && self.settings.lists_on_request) {
            out.push(Action::Subscribe);
        }
        if kind == ListKind::Failed {
            return;
        }
        if kind != ListKind::Delta {
            self.remove_unlisted(&entries, out);
        }
        for entry in entries {
            self.update_endpoint(entry);
        }
        let edges = || self.nodes.values().filter(|node| node.role == Role::Edge);
        // Cache nodes that hold anything send more than the location's link brings in, and a parent feeds at
        // least one location.
        let listed = edges().filter(|node| node.phase != Phase::Out).count();
        let expected_bandwidth = self.settings.expected_bandwidth(listed);
        // If the list gives weights, the initial fill limit is a fraction of the cache nodes' total weight,
        // because they need fills for only a part of what they can send.
        let weighted = edges().filter(|node| node.listed_weight != 1.0);
        let total_weight = weighted.map(|node| node.listed_weight).sum::<f64>();
        self.expected_bandwidth = expected_bandwidth;
        self.fill_limiter.set_initial(total_weight * INITIAL_FILLS_PER_WEIGHT);
    }

    /// Takes nodes out of service that are missing from a complete list.
    fn remove_unlisted(&mut self, entries: &[Entry], out: &mut Vec<Action>) {
        let listed: BTreeSet<&CacheId> = entries.iter().map(|entry| &entry.cache).collect();
        for (id, node) in &mut self.nodes {
            if !listed.contains(id) && node.phase != Phase::Out {
                node.phase = Phase::Out;
                out.push(Action::Log(format!("{} is off the list: not used", id.0)));
            }
        }
    }

    fn update_endpoint(&mut self, entry: Entry) {
        let role = match entry.kind {
            Some(kind) if Some(kind) == self.settings.parent_kind => Role::Parent,
            Some(kind) if Some(kind) == self.settings.origin_kind => Role::Origin,
            _ => Role::Edge,
        };
        // Cache nodes of other locations are ignored, because they are neither targets nor sources. CPU time
        // and memory therefore grow only with the size of this location.
        if role == Role::Edge && entry.zone != Some(self.settings.zone) {
            return;
        }
        let counters = if role == Role::Edge { FILTER_COUNTERS } else { 0 };
        let node = self.nodes.entry(entry.cache).or_insert_with_key(|id| {
            let name: Vec<u64> = id.0.bytes().map(u64::from).collect();
            Node::new(key_to_u64(hash_key(&name)), entry.started_ms, entry.phase, counters, FILTER_HASHES)
        });
        let returned = node.phase == Phase::Out && entry.phase == Phase::In;
        if entry.started_ms > node.started_ms || returned {
            node.reset(entry.started_ms);
        }
        node.role = role;
        node.zone = entry.zone;
        node.cell = entry.cell;
        node.phase = entry.phase;
        node.listed_weight = if entry.weight.is_finite() && entry.weight > 0.0 { entry.weight } else { 1.0 };
        node.link.set_initial(node.listed_weight);
    }

    /// Other nodes in service that have the same role.
    pub(super) fn peers_of<'a>(&'a self, node: &'a Node) -> impl Iterator<Item = &'a Node> {
        let same_role =
            move |other: &&Node| other.role == node.role && other.phase == Phase::In && other.tag != node.tag;
        self.nodes.values().filter(same_role)
    }

    /// Number of routers that may send to the node or fill from it.
    pub(super) fn routers_sharing(&self, node: &Node) -> f64 {
        let routers = match node.role {
            Role::Edge => self.settings.routers_in_location(),
            Role::Parent | Role::Origin => self.settings.routers.max(1),
        };
        f64::from(routers)
    }

    /// Adds `by` to the number in flight at a node: 1 for a start, -1 for an end.
    pub(super) fn adjust_in_flight(&mut self, id: &CacheId, by: f64) {
        let Some(routers) = self.nodes.get(id).map(|node| self.routers_sharing(node)) else { return };
        let now = self.now_ms;
        self.nodes.entry(id.clone()).and_modify(|node| node.in_flight.adjust(now, by, routers));
    }

    /// Integral over time of the number in flight at a node, in request-milliseconds; 0 for an unknown node.
    pub(super) fn in_flight_integral(&self, id: &CacheId) -> f64 {
        let total = |node: &Node| node.in_flight.integral_until(self.now_ms, self.routers_sharing(node));
        self.nodes.get(id).map_or(0.0, total)
    }
}
