//! Failure detection: pings in random rounds, indirect probes through other members, and estimates of this
//! front's own slowness.

use super::Gossip;
use crate::config::Now;
use crate::event::Action;
use crate::message::{FrontId, Item};
use rand::seq::{IndexedRandom, SliceRandom};
use std::net::SocketAddr;

/// The ack timeout as a fraction of the probe period. After it, other members are asked for indirect probes.
const ACK_TIMEOUT_FRACTION: f64 = 0.3;
/// The number of members that are asked for an indirect probe.
const INDIRECT_PROBE_COUNT: usize = 3;
/// The greatest number of pings on behalf of other fronts that await their acks.
const MAX_RELAYED_PINGS: usize = 64;
/// The time, in milliseconds, after which a ping on behalf of another front is discarded.
const RELAYED_PING_TTL_MS: f64 = 5_000.0;
/// A tick that is more than this many milliseconds late shows that this front is slow.
const LATE_TICK_THRESHOLD_MS: f64 = 500.0;
/// The amount that a late tick adds to the tick lag. Each probe period subtracts 1.
const TICK_LAG_STEP: u32 = 4;
/// The upper bound of both estimates of this front's own slowness.
const MAX_SLOWNESS: u32 = 8;

/// A probe that awaits its ack.
pub(super) struct Probe {
    target: FrontId,
    number: u16,
    sent_ms: f64,
    /// Whether other members were asked to probe the target too.
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
    /// Returns when indirect probes are to be requested, or `None` if no probe awaits its ack or they were
    /// requested already.
    pub(super) fn ack_deadline_ms(&self) -> Option<f64> {
        self.probe.as_ref().filter(|p| !p.indirect).map(|p| p.sent_ms + self.ack_timeout_ms())
    }

    fn ack_timeout_ms(&self) -> f64 {
        self.config.probe_period_ms * ACK_TIMEOUT_FRACTION * (1.0 + f64::from(self.missed_acks) / 2.0)
    }

    /// Counts a missed ack: one that this front awaited, or one of its own that did not reach another front
    /// in time.
    pub(super) fn count_missed_ack(&mut self) {
        self.missed_acks = (self.missed_acks + 1).min(MAX_SLOWNESS);
    }

    /// Raises the tick lag if this tick is late.
    pub(super) fn update_tick_lag(&mut self, now_ms: f64) {
        if now_ms - self.wake_at() > LATE_TICK_THRESHOLD_MS {
            self.count_missed_ack();
            self.tick_lag = (self.tick_lag + TICK_LAG_STEP).min(MAX_SLOWNESS);
        }
    }

    /// Asks other members to probe the target of a probe whose ack has not arrived in time.
    pub(super) fn request_indirect_probes(&mut self, now: Now, actions: &mut Vec<Action>) {
        if self.ack_deadline_ms().is_none_or(|deadline_ms| now.mono_ms < deadline_ms) {
            return;
        }
        let Some(probe) = &mut self.probe else { return };
        probe.indirect = true;
        let (target, number) = (probe.target, probe.number);
        let others: Vec<SocketAddr> =
            self.members.present().filter(|m| m.view.id != target).map(|m| m.view.addr).collect();
        for to in others.choose_multiple(&mut self.rng, INDIRECT_PROBE_COUNT).copied().collect::<Vec<_>>() {
            let items = [Item::PingRequest { target, number }, self.own_alive_item()];
            self.send(now, to, &items, actions);
        }
    }

    /// Ends the last probe, starts to suspect its target if no ack has arrived, and probes the next member.
    pub(super) fn probe_next(&mut self, now: Now, actions: &mut Vec<Action>) {
        let at = now.mono_ms;
        self.tick_lag = self.tick_lag.saturating_sub(1);
        if let Some(unanswered) = self.probe.take() {
            self.count_missed_ack();
            if let Some(incarnation) = self.members.get(unanswered.target).map(|m| m.view.incarnation) {
                let update = self.members.add_suspicion(unanswered.target, incarnation, self.id, at);
                self.disseminate(update);
            }
        }
        self.relayed_pings.retain(|_, ping| at - ping.sent_ms < RELAYED_PING_TTL_MS);
        let Some((target, addr)) = self.next_probe_target() else { return };
        let number = self.next_ping_number();
        let mut items = vec![Item::Ping(number), self.own_alive_item()];
        self.piggyback_updates(&mut items);
        if self.send(now, addr, &items, actions) {
            self.probe = Some(Probe { target, number, sent_ms: at, indirect: false });
        }
    }

    /// Returns the next member to probe. Each round visits every member once in random order, so that no
    /// member goes unprobed for long.
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

    /// Answers a ping with an ack.
    pub(super) fn receive_ping(
        &mut self,
        now: Now,
        from: SocketAddr,
        number: u16,
        actions: &mut Vec<Action>,
    ) {
        let mut items = vec![Item::Ack(number), self.own_alive_item()];
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
        let items = [Item::Ping(relayed), self.own_alive_item()];
        self.send(now, addr, &items, actions);
    }

    /// Handles an ack: one for a relayed ping is passed on to its requester, and one for this front's own
    /// probe ends the probe.
    pub(super) fn receive_ack(&mut self, now: Now, sender: FrontId, number: u16, actions: &mut Vec<Action>) {
        if let Some(ping) = self.relayed_pings.remove(&number) {
            // The requester takes this ack as evidence that another front reached the target.
            self.send(now, ping.requester, &[Item::Ack(ping.number)], actions);
            return;
        }
        // The ack comes from the target or from a member that was asked to probe it.
        let acked = self.probe.take_if(|p| p.number == number && (p.target == sender || p.indirect));
        if let Some(probe) = acked {
            self.missed_acks = self.missed_acks.saturating_sub(1);
            if probe.target != sender {
                self.members.mark_reachable(probe.target, now.mono_ms);
            }
        }
    }
}
