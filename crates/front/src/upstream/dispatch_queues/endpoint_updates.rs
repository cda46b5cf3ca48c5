//! Applies endpoint lists to the dispatch queues. Parents and the origin go to every queue's decision
//! module; cache nodes go to the pools, and each pool decides what its queue's decision module sees of
//! them.

use super::DispatchQueues;
use crate::clock::Clock;
use crate::plan::PlannedMember;
use crate::sync::lock;
use crate::upstream::connection_pool::ConnectionPool;
use crate::upstream::node_registry::NodeAttributes;
use fernslip::{CacheId, Entry, ListKind, Phase};
use fernslip_pool::{Event, ListedState};
use fernslip_site::State;
use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;

impl DispatchQueues {
    /// Gives each queue its first endpoint list: the site document's members, if the members come from there;
    /// that list is complete. Otherwise queues with a pool start with an empty list.
    pub fn apply_initial_members(&self, clock: &Clock, upstream: &ConnectionPool) {
        let Some(members) = &self.document_members else {
            for queue in self.queues.iter().filter(|queue| queue.has_pool()) {
                queue.dispatcher.update_endpoints(clock.now(), ListKind::Full, Vec::new());
            }
            return;
        };
        let members = lock(members).clone();
        self.register_members(&members);
        for (id, member) in &members {
            upstream.add_node(CacheId(id.clone()), member.addr, 0.0);
            upstream.set_timeouts(&CacheId(id.clone()), member.timeouts);
        }
        let sources = members.iter().filter(|(_, m)| m.is_source);
        let sources: Vec<Entry> = sources.map(|(id, m)| source_entry(id, m, 0.0)).collect();
        for queue in &self.queues {
            queue.dispatcher.update_endpoints(clock.now(), ListKind::Full, sources.clone());
            queue.handle_event(clock, Event::Tick);
        }
    }

    /// Replaces all nodes of the registry with these members.
    pub(super) fn register_members(&self, members: &BTreeMap<Arc<str>, PlannedMember>) {
        let attributes =
            |m: &PlannedMember| NodeAttributes { zone: m.zone, kind: m.kind, cell: 0, link: m.link_capacity };
        self.registry.replace_all(members.iter().map(|(id, m)| (id.clone(), attributes(m))));
    }

    /// Applies an endpoint list of the discovery bus, either complete (`full`) or only changes. Does
    /// nothing if the members come from the site document.
    pub fn apply_endpoint_list(&self, clock: &Clock, full: bool, entries: Vec<Entry>) {
        if self.members_from_file() {
            return;
        }
        let kind = if full { ListKind::Full } else { ListKind::Delta };
        if let [queue] = &self.queues[..] {
            if !queue.has_pool() {
                return queue.dispatcher.update_endpoints(clock.now(), kind, entries);
            }
        }
        let changes = self.register_listed(full, entries);
        self.notify_queues(clock, &changes);
        // Departed nodes are removed from the registry only after the queues were notified.
        let listed = lock(&self.listed_nodes);
        self.registry.retain(|id| listed.contains_key(&CacheId(id.clone())));
    }

    /// Records the listed nodes and returns the changes. A known node that a complete list does not name is
    /// returned as [`Phase::Out`].
    fn register_listed(&self, full: bool, entries: Vec<Entry>) -> Vec<Entry> {
        let mut changes = entries;
        let mut listed = lock(&self.listed_nodes);
        if full {
            let present: HashSet<CacheId> = changes.iter().map(|e| e.cache.clone()).collect();
            let departed = listed.values().filter(|e| !present.contains(&e.cache)).cloned();
            let departed: Vec<Entry> = departed.map(|e| Entry { phase: Phase::Out, ..e }).collect();
            changes.extend(departed);
        }
        for entry in &changes {
            if entry.phase == Phase::Out {
                listed.remove(&entry.cache);
            } else {
                listed.insert(entry.cache.clone(), entry.clone());
            }
        }
        let attributes =
            |e: &Entry| NodeAttributes { zone: e.zone, kind: e.kind, cell: e.cell, link: e.weight };
        self.registry.extend(changes.iter().map(|e| (e.cache.0.clone(), attributes(e))));
        changes
    }

    /// Notifies every queue of changed nodes: its decision module of sources, its pool of other nodes.
    pub(super) fn notify_queues(&self, clock: &Clock, entries: &[Entry]) {
        for queue in &self.queues {
            let host = queue.dispatcher.host();
            let sources: Vec<Entry> = entries.iter().filter(|e| host.is_source(e.kind)).cloned().collect();
            if !sources.is_empty() {
                queue.dispatcher.update_endpoints(clock.now(), ListKind::Delta, sources);
            }
            for entry in entries.iter().filter(|e| !host.is_source(e.kind)) {
                let state = match entry.phase {
                    Phase::In => ListedState::Up,
                    Phase::Draining => ListedState::Draining,
                    Phase::Out => ListedState::Removed,
                };
                let (id, started_ms) = (entry.cache.0.clone(), entry.started_ms);
                queue.handle_event(clock, Event::EndpointReported { id, state, started_ms });
            }
        }
    }
}

/// Converts a parent or the origin of the site document into an entry of the decision module's endpoint
/// list.
pub(super) fn source_entry(id: &Arc<str>, member: &PlannedMember, started_ms: f64) -> Entry {
    Entry {
        cache: CacheId(id.clone()),
        weight: member.link_capacity,
        zone: member.zone,
        kind: member.kind,
        cell: 0,
        started_ms,
        phase: match member.state {
            State::Draining => Phase::Draining,
            State::Stopped => Phase::Out,
            _ => Phase::In,
        },
    }
}
