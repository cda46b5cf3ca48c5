//! The endpoints that a front knows when it starts.

use super::checkpoint_service;
use super::discovery_watch::WatchHost;
use super::watch_event;
use crate::shared::SharedState;
use fernslip::facade::EndpointCounts;
use serde_json::Value;
use std::sync::atomic::Ordering;

/// Registers the endpoints that the site document lists, and those that the checkpoint of an earlier process or
/// else the configuration lists.
pub fn load(front: &SharedState, known_events: &[Value]) {
    front.queues.apply_initial_members(&front.clock, &front.upstream);
    front.announce_members();
    if front.gossip.is_some() {
        front.queues.as_slice().iter().for_each(|q| q.dispatcher.enable_evidence());
    }
    if front.queues.members_from_file() {
        front.endpoints_listed.store(true, Ordering::Release);
    }
    let restored =
        front.checkpoint_file.as_ref().is_some_and(|file| checkpoint_service::restore(front, file));
    if !restored {
        apply_known_events(front, known_events);
    }
    log_endpoints_at_start(front);
}

/// Applies the bus events that the configuration contains.
fn apply_known_events(front: &SharedState, events: &[Value]) {
    let mut history = front.bus.lock_history();
    for event in events {
        match watch_event::parse_event(event, &front.names) {
            Ok(event) => {
                history.record_nodes(&event);
                front.apply_event(&mut history, event, None);
            }
            Err(e) => tracing::warn!("ignoring an event in the configuration's `known` list: {e}"),
        }
    }
}

/// Logs what the front starts with, so that a node which is used although it drains can be traced to the
/// list that the process started from or to a later event.
fn log_endpoints_at_start(front: &SharedState) {
    let offset = front.bus.lock_history().offset();
    let counts = front.queues.as_slice().first().map(|queue| queue.dispatcher.endpoint_counts());
    let EndpointCounts { listed, draining } = counts.unwrap_or_default();
    tracing::info!(listed, draining, offset, "endpoints at start");
}
