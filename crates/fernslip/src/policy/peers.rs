//! Peers: the messages between the routers of a location (filter changes, greetings, the bootstrap).

use super::Router;
use super::{BOOTSTRAP_FROM_MS, BOOTSTRAP_MAX_MESSAGES, COUNTERS, MESSAGE_BYTES};
use crate::api::*;
use crate::bootstrap::Bootstrap;
use crate::message::{self, Message};
use crate::state::{mean_proven_capacity, Node, Role};

impl Router {
    /// Sends the location's routers what changed in the filters since the last time.
    pub(super) fn send_filter_changes(&mut self, out: &mut Vec<Action>) {
        for node in self.nodes.values_mut() {
            let changes = std::mem::take(&mut node.changes);
            for data in message::changes(self.settings.zone as u8, node.tag, &changes, MESSAGE_BYTES) {
                out.extend(self.peers.all().map(|to| Action::SendToPeer { to, data: data.clone() }));
            }
        }
    }

    /// Takes a message: it shows its sender's location, and brings a peer's filter changes or is a greeting.
    pub(super) fn peer_message(&mut self, from: u32, data: &[u8], out: &mut Vec<Action>) {
        let own_zone = self.settings.zone as u8;
        let known = self.settings.peers && from != self.settings.slot && from < self.settings.routers;
        let bootstrap = Bootstrap::read(data).filter(|(zone, _)| known && *zone == own_zone);
        if let Some((_, bootstrap)) = bootstrap {
            return self.adopt_bootstrap(&bootstrap);
        }
        // Malformed or foreign: counted, and it changes nothing else.
        let Some((zone, message)) = message::read(data, COUNTERS).filter(|_| known) else {
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

    /// Sends a router that has just started what it can't know. Guards against restarts of a part of all routers:
    /// each would fill without a limit, and send to what the others know to be slow or failing.
    fn send_bootstrap(&self, to: u32, out: &mut Vec<Action>) {
        let zone = self.settings.zone as u8;
        let known_ms = self.peers.known_ms(self.now_ms);
        out.push(Action::SendToPeer { to, data: message::greeting(zone, false) });
        if known_ms < BOOTSTRAP_FROM_MS {
            return;
        }
        let in_service = self.nodes.values().filter(|node| node.phase == Phase::In);
        let bootstrap = Bootstrap::of(in_service.clone(), self.now_ms, known_ms, self.fill_limiter.limit);
        out.push(Action::SendToPeer { to, data: bootstrap.encode(zone, MESSAGE_BYTES) });
        // The keys that caches are known to have: one of its peers sends them, the next by number.
        if !self.peers.comes_after(self.settings.slot, to) {
            return;
        }
        for node in in_service.filter(|node| node.role == Role::Edge) {
            let keys = message::changes(zone, node.tag, &node.filter.set_counters(), MESSAGE_BYTES);
            let keys = keys.into_iter().take(BOOTSTRAP_MAX_MESSAGES);
            out.extend(keys.map(|data| Action::SendToPeer { to, data }));
        }
    }

    /// Adopts what a router that has known the location for longer has learned.
    fn adopt_bootstrap(&mut self, bootstrap: &Bootstrap) {
        if !self.peers.adopt(self.now_ms, bootstrap.known_ms) {
            return;
        }
        self.fill_limiter.limit = bootstrap.fill_limit;
        let first_event_ms = self.peers.first_event_ms.unwrap_or(self.now_ms);
        bootstrap.apply(self.nodes.values_mut(), self.now_ms, first_event_ms);
        self.typical_bandwidth = [0, 1, 2].map(|role| mean_proven_capacity(self.nodes.values(), role));
    }
}
