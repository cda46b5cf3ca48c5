//! Authentication of received datagrams and dispatch of their items.

use super::Gossip;
use crate::codec;
use crate::config::Now;
use crate::event::{Action, RejectReason};
use crate::member::Announcement;
use crate::message::{FrontId, Header, HealthReport, Item};
use std::net::SocketAddr;

/// The resolution of the clock that a sender puts into a datagram, in milliseconds.
const CLOCK_RESOLUTION_MS: f64 = 1_000.0;

impl Gossip {
    /// Authenticates a datagram and handles its items.
    ///
    /// # Errors
    /// The reason why the datagram is dropped.
    pub(super) fn receive_datagram(
        &mut self,
        now: Now,
        from: SocketAddr,
        bytes: &[u8],
        actions: &mut Vec<Action>,
    ) -> Result<(), RejectReason> {
        let (header, items) = self.authenticate(now, from, bytes)?;
        if !self.replay_filter.record_if_new(header.sender, header.epoch_ms, header.sequence, now.mono_ms) {
            return Err(RejectReason::Replayed);
        }
        self.counters.accepted += 1;
        if self.has_departed {
            return Ok(());
        }
        self.mark_sender_reachable(now, header.sender, actions);
        for item in items {
            self.receive_item(now, from, header.sender, item, actions);
        }
        Ok(())
    }

    /// Decodes a datagram and checks its tag, sender, clock and address. The inexpensive checks come before
    /// the items are decoded.
    fn authenticate(
        &self,
        now: Now,
        from: SocketAddr,
        bytes: &[u8],
    ) -> Result<(Header, Vec<Item>), RejectReason> {
        let (header, items) = codec::decode_header(bytes).map_err(|_| RejectReason::Malformed)?;
        if !self.keys.verify(header.key, bytes) {
            return Err(RejectReason::InvalidTag);
        }
        if header.sender == self.id {
            return Err(RejectReason::OwnSender);
        }
        let offset_ms = (f64::from(header.unix_s) * 1000.0 - now.unix_ms).abs();
        if offset_ms > self.config.skew_ms + CLOCK_RESOLUTION_MS {
            return Err(RejectReason::ClockSkew);
        }
        if !self.is_admitted(header.sender) {
            return Err(RejectReason::NotOnRoster);
        }
        let items = codec::decode_items(items).map_err(|_| RejectReason::Malformed)?;
        if !self.is_from_sender_address(from, header.sender, &items) {
            return Err(RejectReason::AddressMismatch);
        }
        Ok((header, items))
    }

    /// Returns whether a datagram comes from its sender's address. Every holder of the key can sign as any
    /// front, but another address is harder to obtain: this stops a single peer from posing as many
    /// witnesses.
    fn is_from_sender_address(&self, from: SocketAddr, sender: FrontId, items: &[Item]) -> bool {
        let announced = items.iter().find_map(|item| match item {
            Item::Alive { id, addr, incarnation, .. } if *id == sender => Some((*addr, *incarnation)),
            _ => None,
        });
        let known = self.members.get(sender).map(|m| (m.view.addr, m.view.incarnation));
        match (announced, known) {
            (Some((addr, incarnation)), Some((_, known))) if incarnation > known => addr == from,
            (_, Some((addr, _))) | (Some((addr, _)), None) => addr == from,
            // A front that is unknown and does not announce itself may only ping, ack and compare digests.
            (None, None) => items.iter().all(|i| matches!(i, Item::Ping(_) | Item::Ack(_) | Item::Digest(_))),
        }
    }

    fn receive_item(
        &mut self,
        now: Now,
        from: SocketAddr,
        sender: FrontId,
        item: Item,
        actions: &mut Vec<Action>,
    ) {
        match item {
            Item::Ping(number) => self.receive_ping(now, from, number, actions),
            Item::Ack(number) => self.receive_ack(now, sender, number, actions),
            Item::PingRequest { target, number } => {
                self.receive_ping_request(now, from, target, number, actions);
            }
            Item::Alive { id, incarnation, addr, name } => {
                self.receive_alive(now, Announcement { id, incarnation, addr, name }, actions);
            }
            Item::Suspect { id, incarnation } | Item::Dead { id, incarnation } => {
                self.receive_suspicion(now, id, incarnation, sender);
            }
            Item::Departed { id, incarnation } => {
                self.receive_departure(now, id, incarnation, sender, actions);
            }
            Item::Digest(theirs) => self.receive_digest(now, from, theirs, actions),
            // Reports are accepted only from the witness itself, because a relayed one could be attributed to
            // any front.
            Item::Reports { witness, reports } if witness == sender => {
                self.receive_reports(now, witness, &reports, actions);
            }
            Item::Summary { witness, accused, known, age_ms, observation }
                if witness == sender && observation.is_accusation() =>
            {
                self.suspicions.set_summary(witness, accused, known, age_ms, now.mono_ms);
            }
            Item::Reports { .. } | Item::Summary { .. } => {}
        }
    }

    fn receive_reports(
        &mut self,
        now: Now,
        witness: FrontId,
        reports: &[HealthReport],
        actions: &mut Vec<Action>,
    ) {
        for report in reports {
            if self.suspicions.insert_report(witness, report, now.mono_ms) {
                self.update_score(now, report.node, actions);
            }
        }
    }
}
