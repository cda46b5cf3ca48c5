//! Peers: the messages between the routers of a location (filter changes, greetings, the welcome).

use super::Router;
use super::{COUNTERS, MESSAGE_BYTES, WELCOME_FROM_MS, WELCOME_PIECES};
use crate::api::*;
use crate::bootstrap::Welcome;
use crate::message::{self, Message};
use crate::state::{mean_proven, Cache, Role};

impl Router {
    /// Sends the location's routers what changed in the filters since the last time.
    pub(super) fn tell(&mut self, out: &mut Vec<Action>) {
        for c in self.caches.values_mut() {
            let changes = std::mem::take(&mut c.changes);
            for data in message::changes(self.set.zone as u8, c.tag, &changes, MESSAGE_BYTES) {
                out.extend(self.mates.all().map(|to| Action::SendToPeer { to, data: data.clone() }));
            }
        }
    }

    /// Takes a message: it shows its sender's location, and brings a mate's changes or is a greeting.
    pub(super) fn heard(&mut self, from: u32, data: &[u8], out: &mut Vec<Action>) {
        let known = self.set.peers && from != self.set.slot && from < self.set.routers;
        if let Some((_, w)) = Welcome::read(data).filter(|w| known && w.0 == self.set.zone as u8) {
            return self.adopt(&w);
        }
        // Malformed or foreign: counted, and it changes nothing else.
        let Some((zone, message)) = message::read(data, COUNTERS).filter(|_| known) else {
            self.odd += 1;
            return;
        };
        self.mates.heard(from, zone == self.set.zone as u8);
        match message {
            _ if zone != self.set.zone as u8 => {}
            Message::Greeting(true) => self.welcome(from, out),
            Message::Greeting(false) => {}
            Message::Changes(tag, changes) => {
                let named = |c: &&mut Cache| c.tag.to_be_bytes().starts_with(&tag) && c.phase == Phase::In;
                if let Some(c) = self.caches.values_mut().find(named) {
                    c.filter.apply(&changes);
                }
            }
        }
    }

    /// Tells one that has just started what it can't know. Guards against restarts of a part of all routers:
    /// each would fill without a limit, and send to what the others know to be slow or failing.
    pub(super) fn welcome(&self, to: u32, out: &mut Vec<Action>) {
        let (zone, known_ms) = (self.set.zone as u8, self.mates.known_ms(self.now));
        out.push(Action::SendToPeer { to, data: message::greeting(zone, false) });
        if known_ms < WELCOME_FROM_MS {
            return;
        }
        let up = self.caches.values().filter(|c| c.phase == Phase::In);
        let w = Welcome::of(up.clone(), self.now, known_ms, self.fills.limit);
        out.push(Action::SendToPeer { to, data: w.encode(zone, MESSAGE_BYTES) });
        // The keys that caches are known to hold: one of its mates tells them, the next by number.
        if self.mates.comes_after(self.set.slot, to) {
            for c in up.filter(|c| c.role == Role::Edge) {
                let keys = message::changes(zone, c.tag, &c.filter.shown(), MESSAGE_BYTES);
                out.extend(keys.into_iter().take(WELCOME_PIECES).map(|data| Action::SendToPeer { to, data }));
            }
        }
    }

    /// Takes over what one that has known the location for longer has learned.
    pub(super) fn adopt(&mut self, w: &Welcome) {
        if self.mates.take_over(self.now, w.known_ms) {
            self.fills.limit = w.fills;
            w.fill_in(self.caches.values_mut(), self.now, self.mates.began.unwrap_or(self.now));
            self.typical = [0, 1, 2].map(|role| mean_proven(self.caches.values(), role));
        }
    }
}
