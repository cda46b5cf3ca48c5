//! Membership changes, and the reconciliation of differing membership views.

use super::Gossip;
use crate::codec::{encoded_len, ITEM_CAPACITY};
use crate::config::Now;
use crate::event::Action;
use crate::member::{
    Announcement, Member, MemberState, MemberTable, MembershipChange, PeerAddress, MAX_INCARNATION_LEAD_S,
};
use crate::message::{FrontId, Item, DIGEST_BUCKETS};
use rand::seq::IndexedRandom;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// The number of members that are notified of this front's departure.
const DEPARTURE_FANOUT: usize = 8;

impl Gossip {
    /// Returns whether a front may take part: it is on the roster, or the roster is empty.
    pub(super) fn is_admitted(&self, id: FrontId) -> bool {
        self.roster.is_empty() || self.roster.contains(&id)
    }

    /// Replaces the set of present peers by the members of the fleet's membership view.
    pub(super) fn apply_peer_list(&mut self, now: Now, peers: Vec<PeerAddress>, actions: &mut Vec<Action>) {
        let peers = peers.into_iter().map(|peer| (FrontId::from_name(&peer.name), peer));
        let listed: Vec<(FrontId, PeerAddress)> =
            peers.filter(|(id, _)| *id != self.id && self.is_admitted(*id)).collect();
        for (id, change) in self.members.apply_peer_list(&listed, now.mono_ms) {
            actions.push(Action::Member { id, change });
        }
    }

    /// Marks a front as alive after a datagram that the front itself signed.
    pub(super) fn mark_sender_reachable(&mut self, now: Now, sender: FrontId, actions: &mut Vec<Action>) {
        if self.members.mark_reachable(sender, now.mono_ms) {
            actions.push(Action::Member { id: sender, change: MembershipChange::Joined });
            let update = self.members.get(sender).map(Member::state_item);
            self.disseminate(update);
        }
    }

    /// Handles the announcement that a front is alive, which the front itself or another one sent.
    pub(super) fn receive_alive(&mut self, now: Now, announced: Announcement, actions: &mut Vec<Action>) {
        let id = announced.id;
        if id == self.id {
            // The announcement is forged or from before a restart; this front's own announcement must prevail
            // over it.
            let is_ours = announced.addr == self.advertised_addr() && announced.name == self.config.name;
            let incarnation = announced.incarnation;
            if incarnation > self.incarnation || incarnation == self.incarnation && !is_ours {
                self.refute(now, incarnation);
            }
            return;
        }
        if !self.is_admitted(id) {
            return;
        }
        let outcome = self.members.apply_announcement(announced, now.unix_s(), now.mono_ms);
        self.disseminate(outcome.update);
        if outcome.joined {
            actions.push(Action::Member { id, change: MembershipChange::Joined });
        }
    }

    /// Handles another front's suspicion or death notice about a member. Either one only starts or
    /// confirms a suspicion at this front.
    pub(super) fn receive_suspicion(&mut self, now: Now, id: FrontId, incarnation: u32, by: FrontId) {
        if id == self.id {
            if incarnation >= self.incarnation {
                self.refute(now, incarnation);
                // Another front did not receive this front's ack in time.
                self.count_missed_ack();
            }
            return;
        }
        let update = self.members.add_suspicion(id, incarnation, by, now.mono_ms);
        self.disseminate(update);
    }

    /// Handles the announcement that a front has departed. Only the front's own announcement is accepted;
    /// from another front it counts as a suspicion.
    pub(super) fn receive_departure(
        &mut self,
        now: Now,
        id: FrontId,
        incarnation: u32,
        sender: FrontId,
        actions: &mut Vec<Action>,
    ) {
        if id != sender {
            return self.receive_suspicion(now, id, incarnation, sender);
        }
        let update = self.members.mark_departed(id, incarnation, now.mono_ms);
        if update.is_some() {
            actions.push(Action::Member { id, change: MembershipChange::Departed });
        }
        self.disseminate(update);
    }

    /// Refutes a suspicion of this front by raising its incarnation above the `received` one.
    fn refute(&mut self, now: Now, received: u32) {
        // A forged incarnation that is too far ahead is ignored, because no other front accepts it either.
        if received <= now.unix_s().saturating_add(MAX_INCARNATION_LEAD_S) {
            self.incarnation = received.max(self.incarnation) + 1;
            self.counters.refuted += 1;
            self.disseminate(Some(self.own_alive_item()));
        }
    }

    /// Sends a digest of the members to a random member.
    pub(super) fn send_digest(&mut self, now: Now, actions: &mut Vec<Action>) {
        if let Some(to) = self.members.present_addrs().choose(&mut self.rng).copied() {
            let items = [self.digest_item(), self.own_alive_item()];
            self.send(now, to, &items, actions);
        }
    }

    /// Answers a digest that differs from this front's with the members of the buckets that differ.
    pub(super) fn receive_digest(
        &mut self,
        now: Now,
        from: SocketAddr,
        theirs: [u32; DIGEST_BUCKETS],
        actions: &mut Vec<Action>,
    ) {
        let ours = self.members.digest((self.id, self.incarnation));
        let differing: Vec<usize> = (0..DIGEST_BUCKETS).filter(|b| ours[*b] != theirs[*b]).collect();
        if differing.is_empty() {
            return;
        }
        // Each answer is a single datagram that starts with a random bucket; later digests cover the others.
        let first = differing.choose(&mut self.rng).copied().unwrap_or(0);
        let mut items = vec![self.own_alive_item()];
        let mut capacity = ITEM_CAPACITY - encoded_len(&items[0]);
        let order =
            (0..DIGEST_BUCKETS).map(|i| (first + i) % DIGEST_BUCKETS).filter(|b| differing.contains(b));
        for bucket in order {
            for m in self.members.present().filter(|m| MemberTable::digest_bucket(m.view.id) == bucket) {
                let item = m.alive_item();
                let len = encoded_len(&item);
                if len <= capacity {
                    capacity -= len;
                    items.push(item);
                }
            }
        }
        self.send(now, from, &items, actions);
    }

    /// Contacts a seed that is not a member or a dead front, in case a partition has healed.
    pub(super) fn contact_absent_front(&mut self, now: Now, actions: &mut Vec<Action>) {
        let present: BTreeSet<SocketAddr> = self.members.present().map(|m| m.view.addr).collect();
        let dead = self.members.iter().filter(|m| m.view.state == MemberState::Dead).map(|m| m.view.addr);
        let seeds = self.config.seeds.iter().copied();
        let unknown: Vec<SocketAddr> =
            seeds.chain(dead).filter(|a| *a != self.advertised_addr() && !present.contains(a)).collect();
        if let Some(to) = unknown.choose(&mut self.rng).copied() {
            let items = [Item::Ping(self.next_ping_number()), self.own_alive_item(), self.digest_item()];
            self.send(now, to, &items, actions);
        }
    }

    /// Declares suspected members dead whose suspicion timeout has passed.
    pub(super) fn expire_members(&mut self, now: Now, actions: &mut Vec<Action>) {
        let slowness = 1.0 + f64::from(self.missed_acks);
        for id in self.members.expire_suspects(self.config.probe_period_ms, slowness, now.mono_ms) {
            actions.push(Action::Member { id, change: MembershipChange::Died });
            let update = self.members.get(id).map(Member::state_item);
            self.disseminate(update);
        }
    }

    /// Announces to a few members that this front leaves, and stops taking part.
    pub(super) fn leave(&mut self, now: Now, actions: &mut Vec<Action>) {
        let items = [Item::Departed { id: self.id, incarnation: self.incarnation }];
        for to in self.random_peers(DEPARTURE_FANOUT) {
            self.send(now, to, &items, actions);
        }
        self.has_departed = true;
    }
}
