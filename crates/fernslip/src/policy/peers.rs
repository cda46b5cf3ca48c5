//! Messages between the routers of a location: filter changes, greetings and bootstraps.

use super::Router;
use super::{FILTER_COUNTERS, MAX_BOOTSTRAP_KEY_MESSAGES, MAX_MESSAGE_BYTES, MIN_LEARNED_FOR_BOOTSTRAP_MS};
use crate::api::*;
use crate::bootstrap::Bootstrap;
use crate::message::{self, Message};
use crate::state::{mean_proven_capacity, Node, Role};

impl Router {
    /// Sends the queued filter changes of all nodes to the known routers of the location.
    pub(super) fn send_filter_changes(&mut self, out: &mut Vec<Action>) {
        for node in self.nodes.values_mut() {
            let changes = std::mem::take(&mut node.changes);
            for data in message::encode_change_messages(
                self.settings.zone as u8,
                node.tag,
                &changes,
                MAX_MESSAGE_BYTES,
            ) {
                out.extend(
                    self.peers.known_routers().map(|to| Action::SendToPeer { to, data: data.clone() }),
                );
            }
        }
    }

    /// Processes a message of router `from`: a bootstrap, a greeting or filter changes. Every valid message
    /// other than a bootstrap also shows which location the sender serves.
    pub(super) fn handle_peer_message(&mut self, from: u32, data: &[u8], out: &mut Vec<Action>) {
        let own_zone = self.settings.zone as u8;
        let known = self.settings.peers && from != self.settings.slot && from < self.settings.routers;
        let bootstrap = Bootstrap::decode(data).filter(|(zone, _)| known && *zone == own_zone);
        if let Some((_, bootstrap)) = bootstrap {
            return self.adopt_bootstrap(&bootstrap);
        }
        // A message that is malformed, or whose sender is not another router of the deployment, is only
        // counted.
        let Some((zone, message)) = message::decode_message(data, FILTER_COUNTERS).filter(|_| known) else {
            self.malformed += 1;
            return;
        };
        self.peers.record_message(from, zone == own_zone);
        if zone != own_zone {
            return;
        }
        match message {
            Message::Greeting { wants_reply: true } => self.send_bootstrap(from, out),
            Message::Greeting { wants_reply: false } => {}
            Message::Changes { tag, changes } => {
                let tagged = |node: &&mut Node| node.tag.to_be_bytes().starts_with(&tag);
                let mut in_service = self.nodes.values_mut().filter(|node| node.phase == Phase::In);
                if let Some(node) = in_service.find(tagged) {
                    node.filter.apply(&changes);
                }
            }
        }
    }

    /// Replies to a starting router with a greeting and the state that this router has learned. Without that
    /// state, a restarted router would fill without a limit, and use nodes that the other routers know to be
    /// slow or failing.
    fn send_bootstrap(&self, to: u32, out: &mut Vec<Action>) {
        let zone = self.settings.zone as u8;
        let known_ms = self.peers.known_ms(self.now_ms);
        out.push(Action::SendToPeer { to, data: message::encode_greeting(zone, false) });
        if known_ms < MIN_LEARNED_FOR_BOOTSTRAP_MS {
            return;
        }
        let in_service = self.nodes.values().filter(|node| node.phase == Phase::In);
        let bootstrap =
            Bootstrap::from_nodes(in_service.clone(), self.now_ms, known_ms, self.fill_limiter.limit);
        out.push(Action::SendToPeer { to, data: bootstrap.encode(zone, MAX_MESSAGE_BYTES) });
        // The keys of the cache nodes are sent by one router only: the starting router's successor by number.
        if !self.peers.is_successor_of(self.settings.slot, to) {
            return;
        }
        for node in in_service.filter(|node| node.role == Role::Edge) {
            let keys = message::encode_change_messages(
                zone,
                node.tag,
                &node.filter.changes_from_empty(),
                MAX_MESSAGE_BYTES,
            );
            let keys = keys.into_iter().take(MAX_BOOTSTRAP_KEY_MESSAGES);
            out.extend(keys.map(|data| Action::SendToPeer { to, data }));
        }
    }

    /// Adopts a peer's learned state if that router has been learning for longer than this one.
    fn adopt_bootstrap(&mut self, bootstrap: &Bootstrap) {
        if !self.peers.adopt_learning_time(self.now_ms, bootstrap.known_ms) {
            return;
        }
        self.fill_limiter.limit = bootstrap.fill_limit;
        let first_event_ms = self.peers.first_event_ms.unwrap_or(self.now_ms);
        bootstrap.apply(self.nodes.values_mut(), self.now_ms, first_event_ms);
        self.typical_bandwidth = [0, 1, 2].map(|role| mean_proven_capacity(self.nodes.values(), role));
    }
}
