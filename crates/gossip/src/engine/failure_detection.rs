//! Failure detection: pings in random rounds, indirect probes through other members, and this front's own slowness.

use super::Gossip;
use crate::config::Now;
use crate::event::Action;
use crate::message::{FrontId, Item};
use rand::seq::{IndexedRandom, SliceRandom};
use std::net::SocketAddr;

/// Without an ack for this fraction of a probe period, others are asked to probe.
const ACK_TIMEOUT_FRACTION: f64 = 0.3;
/// Members that are asked for an indirect probe.
const INDIRECT_PROBES: usize = 3;
/// Pings sent on behalf of others that wait for their acks.
const MAX_RELAYED_PINGS: usize = 64;
/// A ping sent on behalf of another is forgotten after this time.
const RELAYED_PING_TTL_MS: f64 = 5_000.0;
/// A tick that comes later than this after it was due shows that this front is slow.
const LATE_TICK_MS: f64 = 500.0;
/// What a late tick adds to the tick lag; a probe period takes 1 off.
const TICK_LAG_STEP: u32 = 4;
/// The most that a front counts itself slow.
const MAX_SLOWNESS: u32 = 8;

/// A probe that waits for its ack.
pub(super) struct Probe {
    target: FrontId,
    number: u16,
    sent_ms: f64,
    /// Whether others were asked to probe too.
    indirect: bool,
}

/// A ping that was sent on behalf of another front.
pub(super) struct RelayedPing {
    requester: SocketAddr,
    /// The number of the requester's own ping.
    number: u16,
    sent_ms: f64,
}

impl Gossip {
    /// When others are to be asked to probe, if a probe waits for its ack.
    pub(super) fn ack_deadline_ms(&self) -> Option<f64> {
        self.probe.as_ref().filter(|p| !p.indirect).map(|p| p.sent_ms + self.ack_timeout_ms())
    }

    fn ack_timeout_ms(&self) -> f64 {
        self.config.probe_period_ms * ACK_TIMEOUT_FRACTION * (1.0 + f64::from(self.missed_acks) / 2.0)
    }

    /// Notes that an ack was missed, here or by somebody who waited for one of ours.
    pub(super) fn note_missed_ack(&mut self) {
        self.missed_acks = (self.missed_acks + 1).min(MAX_SLOWNESS);
    }

    /// Notes whether this tick comes late.
    pub(super) fn note_tick_lag(&mut self, now_ms: f64) {
        if now_ms - self.wake_at() > LATE_TICK_MS {
            self.note_missed_ack();
            self.tick_lag = (self.tick_lag + TICK_LAG_STEP).min(MAX_SLOWNESS);
        }
    }

    /// Asks other members to probe the front that has not acked in time.
    pub(super) fn request_indirect_probes(&mut self, now: Now, actions: &mut Vec<Action>) {
        if self.ack_deadline_ms().is_none_or(|deadline_ms| now.mono_ms < deadline_ms) {
            return;
        }
        let Some(probe) = &mut self.probe else { return };
        probe.indirect = true;
        let (target, number) = (probe.target, probe.number);
        let others: Vec<SocketAddr> =
            self.members.present().filter(|m| m.view.id != target).map(|m| m.view.addr).collect();
        for to in others.choose_multiple(&mut self.rng, INDIRECT_PROBES).copied().collect::<Vec<_>>() {
            let items = [Item::PingRequest { target, number }, self.own_item()];
            self.send(now, to, &items, actions);
        }
    }

    /// Ends the last probe, whose target is suspected if it has not acked, and probes the next member.
    pub(super) fn probe_next(&mut self, now: Now, actions: &mut Vec<Action>) {
        let at = now.mono_ms;
        self.tick_lag = self.tick_lag.saturating_sub(1);
        if let Some(unanswered) = self.probe.take() {
            self.note_missed_ack();
            if let Some(incarnation) = self.members.get(unanswered.target).map(|m| m.view.incarnation) {
                let update = self.members.suspect(unanswered.target, incarnation, self.id, at);
                self.disseminate(update);
            }
        }
        self.relayed_pings.retain(|_, ping| at - ping.sent_ms < RELAYED_PING_TTL_MS);
        let Some((target, addr)) = self.next_probe_target() else { return };
        let number = self.next_ping_number();
        let mut items = vec![Item::Ping(number), self.own_item()];
        self.piggyback_updates(&mut items);
        if self.send(now, addr, &items, actions) {
            self.probe = Some(Probe { target, number, sent_ms: at, indirect: false });
        }
    }

    /// The next member to probe: each once in a round of random order, so that none is omitted for long.
    fn next_probe_target(&mut self) -> Option<(FrontId, SocketAddr)> {
        loop {
            while let Some(id) = self.probe_order.pop() {
                let member = self.members.get(id).filter(|m| m.view.state.is_present());
                if let Some(member) = member {
                    return Some((id, member.view.addr));
                }
            }
            self.probe_order = self.members.present().map(|m| m.view.id).collect();
            if self.probe_order.is_empty() {
                return None;
            }
            self.probe_order.shuffle(&mut self.rng);
        }
    }

    /// Answers a ping.
    pub(super) fn receive_ping(
        &mut self,
        now: Now,
        from: SocketAddr,
        number: u16,
        actions: &mut Vec<Action>,
    ) {
        let mut items = vec![Item::Ack(number), self.own_item()];
        self.piggyback_updates(&mut items);
        self.send(now, from, &items, actions);
    }

    /// Pings `target` on behalf of the front at `requester`.
    pub(super) fn receive_ping_request(
        &mut self,
        now: Now,
        requester: SocketAddr,
        target: FrontId,
        number: u16,
        actions: &mut Vec<Action>,
    ) {
        let Some(addr) = self.members.get(target).map(|m| m.view.addr) else { return };
        if self.relayed_pings.len() >= MAX_RELAYED_PINGS {
            return;
        }
        let relayed = self.next_ping_number();
        self.relayed_pings.insert(relayed, RelayedPing { requester, number, sent_ms: now.mono_ms });
        let items = [Item::Ping(relayed), self.own_item()];
        self.send(now, addr, &items, actions);
    }

    /// Takes an ack: of a ping on behalf of another, which is passed on, or of this front's own probe.
    pub(super) fn receive_ack(&mut self, now: Now, sender: FrontId, number: u16, actions: &mut Vec<Action>) {
        if let Some(ping) = self.relayed_pings.remove(&number) {
            // The requester takes it as a sign that somebody reached the target.
            self.send(now, ping.requester, &[Item::Ack(ping.number)], actions);
            return;
        }
        // From the target, or from a member that was asked to probe it.
        let acked = self.probe.take_if(|p| p.number == number && (p.target == sender || p.indirect));
        if let Some(probe) = acked {
            self.missed_acks = self.missed_acks.saturating_sub(1);
            if probe.target != sender {
                self.members.mark_reachable(probe.target, now.mono_ms);
            }
        }
    }
}
