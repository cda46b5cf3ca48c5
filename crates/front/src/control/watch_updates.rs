//! Applies what the discovery watch reports, endpoint lists and purges, to the dispatchers and the upstream
//! connections of a front.

use super::discovery_watch::WatchHost;
use super::watch_event::{ListedNode, WatchEvent};
use super::watch_state::ReportedPurge;
use crate::clock::Clock;
use crate::reason_counts::ReasonCounts;
use crate::shared::SharedState;
use crate::watch_history::WatchHistory;
use fernslip::json::Names;
use fernslip::{CacheId, Phase};
use std::sync::atomic::Ordering;

impl WatchHost for SharedState {
    fn names(&self) -> &Names {
        &self.names
    }

    fn clock(&self) -> &Clock {
        &self.clock
    }

    fn reason_counts(&self) -> &ReasonCounts {
        &self.reason_counts
    }

    fn apply_event(&self, history: &mut WatchHistory, event: WatchEvent, since: Option<f64>) {
        match event {
            WatchEvent::Unknown => {}
            WatchEvent::Purge { object, group, unix_ms } => {
                // Before the first line nothing bounds the time of the purge from below; the current time is
                // the safe choice.
                let earliest = since.unwrap_or_else(|| self.clock.now());
                let at_ms = self.wall_clock.to_clock_time(unix_ms, earliest);
                let purge = ReportedPurge { position: history.position(), object, group, at_ms };
                apply_purge(self, &purge);
                history.state().record_purge(purge);
            }
            WatchEvent::EndpointList { full, nodes } => apply_endpoint_list(self, full, nodes, since),
        }
    }
}

/// Applies a purge to the dispatchers.
pub fn apply_purge(front: &SharedState, purge: &ReportedPurge) {
    let now = front.clock.now();
    for queue in front.queues.as_slice() {
        queue.dispatcher.purged(now, purge.object, purge.group, now - purge.at_ms);
    }
}

/// Applies an endpoint list to the dispatchers and the upstream connections; see [`WatchHost::apply_event`].
pub fn apply_endpoint_list(front: &SharedState, full: bool, nodes: Vec<ListedNode>, since: Option<f64>) {
    // The members come from the site document, so the bus's endpoint lists are ignored.
    if front.queues.members_from_file() {
        return;
    }
    if let Some(gossip) = &front.gossip {
        // Gossip gets start times in Unix time, because all fronts must identify a node by the same start
        // time.
        let starts = nodes.iter().map(|ListedNode { entry, .. }| {
            (entry.cache.clone(), Some(entry.started_ms).filter(|_| entry.phase != Phase::Out))
        });
        gossip.update_nodes(front.queues.as_slice(), full, starts.collect());
    }
    let mut entries = Vec::new();
    for ListedNode { mut entry, addr } in nodes {
        entry.started_ms =
            front.bus.starts().clock_time(&front.wall_clock, &entry.cache, entry.started_ms, since);
        match (entry.phase, addr) {
            (Phase::Out, _) => front.upstream.remove_node(&entry.cache),
            (_, Some(addr)) => front.upstream.add_node(entry.cache.clone(), addr, entry.started_ms),
            (_, None) => {
                tracing::warn!("bus: cache node {} is listed without a usable address", entry.cache.0);
            }
        }
        entries.push(entry);
    }
    if full {
        let ids: Vec<CacheId> = entries.iter().map(|e| e.cache.clone()).collect();
        front.upstream.retain_nodes(&ids);
    }
    front.queues.apply_endpoint_list(&front.clock, full, entries);
    let queues = front.queues.as_slice();
    front
        .bus
        .starts()
        .drop_unlisted_over_limit(|id| queues.iter().any(|queue| queue.dispatcher.is_listed(id)));
    if full {
        front.endpoints_listed.store(true, Ordering::Release);
    }
}
