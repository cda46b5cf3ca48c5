//! Sending of signed datagrams within the send budget.

use super::Gossip;
use crate::codec::{encode_datagram, MAX_DATAGRAM_BYTES, TAG_BYTES};
use crate::config::Now;
use crate::event::Action;
use crate::message::{Header, Item};
use std::net::SocketAddr;

impl Gossip {
    /// Signs and sends a datagram if the send budget permits it, and returns whether it was sent.
    pub(super) fn send(
        &mut self,
        now: Now,
        to: SocketAddr,
        items: &[Item],
        actions: &mut Vec<Action>,
    ) -> bool {
        let header = Header {
            key: self.keys.signing_key(),
            sender: self.id,
            epoch_ms: self.epoch_ms,
            sequence: self.sequence + 1,
            unix_s: now.unix_s(),
        };
        let mut bytes = encode_datagram(&header, items);
        let len = bytes.len() + TAG_BYTES;
        debug_assert!(
            len <= MAX_DATAGRAM_BYTES,
            "datagram of {} bytes without its tag is too long",
            bytes.len()
        );
        if len > MAX_DATAGRAM_BYTES || !self.send_budget.try_take(now.mono_ms, len) {
            self.counters.over_budget += 1;
            return false;
        }
        self.sequence += 1;
        self.keys.sign(&mut bytes);
        self.counters.sent += 1;
        self.counters.sent_bytes += bytes.len() as u64;
        actions.push(Action::Send { to, bytes });
        true
    }

    /// Returns the item that announces this front as alive.
    pub(super) fn own_alive_item(&self) -> Item {
        Item::Alive {
            id: self.id,
            incarnation: self.incarnation,
            addr: self.advertised_addr(),
            name: self.config.name.clone(),
        }
    }

    /// Returns the item with the membership digest, this front included.
    pub(super) fn digest_item(&self) -> Item {
        Item::Digest(self.members.digest((self.id, self.incarnation)))
    }

    /// Returns a new ping number.
    pub(super) fn next_ping_number(&mut self) -> u16 {
        self.ping_number = self.ping_number.wrapping_add(1);
        self.ping_number
    }
}
