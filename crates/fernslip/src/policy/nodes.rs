//! Nodes known to the router: the endpoint list, a node's peers of the same role, and what is in flight at each.

use super::Router;
use super::{COUNTERS, FILLS_PER_WEIGHT, HASHES};
use crate::api::*;
use crate::filter::hash;
use crate::rendezvous::key_number;
use crate::state::{Node, Role};
use std::collections::BTreeSet;

impl Router {
    /// Takes an endpoint list or a change of it.
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
        // Caches that keep anything send more than their link brings in; a parent feeds a location or more.
        let listed = edges().filter(|node| node.phase != Phase::Out).count();
        let expected_bandwidth = self.settings.expected_bandwidth(listed);
        // Where links are listed, pooled caches need fills for a part of what they can send.
        let weighted = edges().filter(|node| node.listed_weight != 1.0);
        let total_weight = weighted.map(|node| node.listed_weight).sum::<f64>();
        self.expected_bandwidth = expected_bandwidth;
        self.fill_limiter.set_initial(total_weight * FILLS_PER_WEIGHT);
    }

    /// A complete list removes what it does not name.
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
        // Caches of other locations are never targets nor sources: work and memory go with the location.
        if role == Role::Edge && entry.zone != Some(self.settings.zone) {
            return;
        }
        let counters = if role == Role::Edge { COUNTERS } else { 0 };
        let node = self.nodes.entry(entry.cache).or_insert_with_key(|id| {
            let name: Vec<u64> = id.0.bytes().map(u64::from).collect();
            Node::new(key_number(hash(&name)), entry.started_ms, entry.phase, counters, HASHES)
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

    /// The other nodes in service of the same role.
    pub(super) fn peers_of<'a>(&'a self, node: &'a Node) -> impl Iterator<Item = &'a Node> {
        let same_role =
            move |other: &&Node| other.role == node.role && other.phase == Phase::In && other.tag != node.tag;
        self.nodes.values().filter(same_role)
    }

    /// How many routers may send to it or fill from it.
    pub(super) fn sharers(&self, node: &Node) -> f64 {
        let routers = match node.role {
            Role::Edge => self.settings.near_routers(),
            Role::Parent | Role::Origin => self.settings.routers.max(1),
        };
        f64::from(routers)
    }

    /// One more (1) or one less (-1) is in flight at a node.
    pub(super) fn count_in_flight(&mut self, id: &CacheId, by: f64) {
        let Some(routers) = self.nodes.get(id).map(|node| self.sharers(node)) else { return };
        let now = self.now_ms;
        self.nodes.entry(id.clone()).and_modify(|node| node.in_flight.step(now, by, routers));
    }

    /// What was in flight at a node, summed over time, in milliseconds.
    pub(super) fn in_flight_total(&self, id: &CacheId) -> f64 {
        let total = |node: &Node| node.in_flight.total_over_time(self.now_ms, self.sharers(node));
        self.nodes.get(id).map_or(0.0, total)
    }
}
