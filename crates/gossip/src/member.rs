//! The membership table: which fronts are alive, suspected, dead or departed, by their incarnations.

use crate::message::{FrontId, Item, DIGEST_BUCKETS};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Members held, dead ones included. Far more than a fleet; only forgeries under a valid key come near it.
const MAX_MEMBERS: usize = 2048;
/// A dead or departed front is remembered for this long: old messages don't bring it back, and it is contacted now and
/// then, in case a partition has healed.
const DEAD_RETENTION_MS: f64 = 600_000.0;
/// Independent suspicions shorten the timeout; this many bring it to its minimum.
const MAX_CONFIRMATIONS: usize = 3;
/// The minimum of a suspicion's timeout, in probe periods, times the logarithm of the fleet.
const MIN_TIMEOUT_PERIODS: f64 = 4.0;
/// The maximum of a suspicion's timeout over its minimum.
const MAX_OVER_MIN_TIMEOUT: f64 = 3.0;
/// An incarnation counts up from the start's Unix seconds; one this far ahead of ours is a forgery, which would leave
/// its victim no higher one to answer with.
pub(crate) const MAX_INCARNATION_LEAD_S: u32 = 86_400;

/// The state of a front in the membership table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberState {
    /// It answers.
    Alive,
    /// It did not answer a probe; unless it does, it is declared dead after the suspicion's timeout.
    Suspect,
    /// It was declared dead.
    Dead,
    /// It announced that it leaves.
    Departed,
}

impl MemberState {
    /// Whether the front counts as present: a suspected one may answer yet.
    pub fn is_present(self) -> bool {
        matches!(self, MemberState::Alive | MemberState::Suspect)
    }

    /// Its label in the output of `fernslip gossip status`.
    pub fn label(self) -> &'static str {
        match self {
            MemberState::Alive => "alive",
            MemberState::Suspect => "suspect",
            MemberState::Dead => "gone",
            MemberState::Departed => "left",
        }
    }
}

/// A member's change, for the operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MembershipChange {
    /// It is present, for the first time or again.
    Joined,
    /// It is dead.
    Died,
    /// It announced that it leaves.
    Departed,
}

impl MembershipChange {
    /// Its label in the log.
    pub fn label(self) -> &'static str {
        match self {
            MembershipChange::Joined => "joined",
            MembershipChange::Died => "gone",
            MembershipChange::Departed => "left",
        }
    }
}

/// A front's name and the address that it gossips at.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerAddress {
    /// The name.
    pub name: String,
    /// The address.
    pub addr: SocketAddr,
}

/// A front, for the operators.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberView {
    /// Its id.
    pub id: FrontId,
    /// Its name, as far as it was announced: it may be truncated.
    pub name: String,
    /// Its address.
    pub addr: SocketAddr,
    /// Its incarnation.
    pub incarnation: u32,
    /// Its state.
    pub state: MemberState,
}

/// A front in the membership table.
#[derive(Clone, Debug)]
pub(crate) struct Member {
    pub view: MemberView,
    /// When its state began.
    since_ms: f64,
    /// Who suspects it.
    suspected_by: BTreeSet<FrontId>,
}

impl Member {
    fn new(view: MemberView, now_ms: f64) -> Member {
        Member { view, since_ms: now_ms, suspected_by: BTreeSet::new() }
    }

    fn set_state(&mut self, state: MemberState, now_ms: f64) {
        self.view.state = state;
        self.since_ms = now_ms;
    }

    /// The item that announces it as alive.
    pub fn alive_item(&self) -> Item {
        let MemberView { id, incarnation, addr, ref name, .. } = self.view;
        Item::Alive { id, incarnation, addr, name: name.clone() }
    }

    /// The item that announces its state.
    pub fn state_item(&self) -> Item {
        let MemberView { id, incarnation, state, .. } = self.view;
        match state {
            MemberState::Alive => self.alive_item(),
            MemberState::Suspect => Item::Suspect { id, incarnation },
            MemberState::Dead => Item::Dead { id, incarnation },
            MemberState::Departed => Item::Departed { id, incarnation },
        }
    }
}

/// What a front announces of itself: its id, incarnation, address and name.
pub(crate) struct Announcement {
    pub id: FrontId,
    pub incarnation: u32,
    pub addr: SocketAddr,
    pub name: String,
}

/// What became of an announcement.
#[derive(Default)]
pub(crate) struct Announced {
    /// What to disseminate, if the table changed.
    pub update: Option<Item>,
    /// Whether the front is present now and was not before.
    pub joined: bool,
}

/// All fronts but this one.
#[derive(Default)]
pub(crate) struct MemberTable {
    members: BTreeMap<FrontId, Member>,
}

impl MemberTable {
    pub fn get(&self, id: FrontId) -> Option<&Member> {
        self.members.get(&id)
    }

    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// The members that are alive or suspected.
    pub fn present(&self) -> impl Iterator<Item = &Member> {
        self.members.values().filter(|m| m.view.state.is_present())
    }

    /// Whether this front is a member that is alive or suspected.
    pub fn is_present(&self, id: FrontId) -> bool {
        self.get(id).is_some_and(|m| m.view.state.is_present())
    }

    /// The addresses of the members that are alive or suspected.
    pub fn present_addrs(&self) -> Vec<SocketAddr> {
        self.present().map(|m| m.view.addr).collect()
    }

    /// A front is announced as alive; `unix_s` is this front's clock.
    pub fn announce(&mut self, announced: Announcement, unix_s: u32, now_ms: f64) -> Announced {
        let Announcement { id, incarnation, addr, name } = announced;
        if incarnation > unix_s.saturating_add(MAX_INCARNATION_LEAD_S) {
            return Announced::default();
        }
        let view = MemberView { id, name, addr, incarnation, state: MemberState::Alive };
        let member = Member::new(view, now_ms);
        let update = Some(member.alive_item());
        let full = self.members.len() >= MAX_MEMBERS;
        match self.members.get_mut(&id) {
            None if full => Announced::default(),
            None => {
                self.members.insert(id, member);
                Announced { update, joined: true }
            }
            Some(known) if incarnation > known.view.incarnation => {
                let joined = !known.view.state.is_present();
                *known = member;
                Announced { update, joined }
            }
            Some(_) => Announced::default(),
        }
    }

    /// Sets the members that exist by the fleet's own view; all others are dead. Returns who joined or died by it.
    pub fn set_listed(
        &mut self,
        listed: &[(FrontId, PeerAddress)],
        now_ms: f64,
    ) -> Vec<(FrontId, MembershipChange)> {
        let mut changes = Vec::new();
        for (id, PeerAddress { name, addr }) in listed {
            let full = self.members.len() >= MAX_MEMBERS;
            match self.members.get_mut(id) {
                Some(m) if !m.view.state.is_present() => {
                    m.view.addr = *addr;
                    m.set_state(MemberState::Alive, now_ms);
                    m.suspected_by.clear();
                    changes.push((*id, MembershipChange::Joined));
                }
                Some(_) => {}
                None if full => {}
                None => {
                    // Its own announcement, with its incarnation, replaces this entry when it comes.
                    let (incarnation, state) = (0, MemberState::Alive);
                    let view = MemberView { id: *id, name: name.clone(), addr: *addr, incarnation, state };
                    self.members.insert(*id, Member::new(view, now_ms));
                    changes.push((*id, MembershipChange::Joined));
                }
            }
        }
        for (id, m) in &mut self.members {
            if m.view.state.is_present() && !listed.iter().any(|l| l.0 == *id) {
                m.set_state(MemberState::Dead, now_ms);
                changes.push((*id, MembershipChange::Died));
            }
        }
        changes
    }

    /// Something signed by the front itself came: it is alive, whatever others say. A departed front stays departed until
    /// it comes with a higher incarnation. Returns whether it was dead.
    pub fn mark_reachable(&mut self, id: FrontId, now_ms: f64) -> bool {
        match self.members.get_mut(&id) {
            Some(m) if matches!(m.view.state, MemberState::Suspect | MemberState::Dead) => {
                let was_dead = m.view.state == MemberState::Dead;
                m.set_state(MemberState::Alive, now_ms);
                m.suspected_by.clear();
                was_dead
            }
            _ => false,
        }
    }

    /// A front is suspected, by this one or by another. Another's suspicion begins ours or shortens its timeout, and no
    /// more: only our own clock ends it. Returns what to disseminate.
    pub fn suspect(&mut self, id: FrontId, incarnation: u32, by: FrontId, now_ms: f64) -> Option<Item> {
        let m = self.members.get_mut(&id)?;
        if incarnation < m.view.incarnation {
            return None;
        }
        match m.view.state {
            MemberState::Alive if incarnation == m.view.incarnation => {
                m.set_state(MemberState::Suspect, now_ms);
                m.suspected_by = BTreeSet::from([by]);
                Some(Item::Suspect { id, incarnation })
            }
            MemberState::Suspect
                if m.suspected_by.len() <= MAX_CONFIRMATIONS && m.suspected_by.insert(by) =>
            {
                Some(Item::Suspect { id, incarnation })
            }
            _ => None,
        }
    }

    /// A front announces that it leaves. Returns what to disseminate, if that is new.
    pub fn mark_departed(&mut self, id: FrontId, incarnation: u32, now_ms: f64) -> Option<Item> {
        let m = self.members.get_mut(&id).filter(|m| m.view.incarnation <= incarnation)?;
        if m.view.state == MemberState::Departed {
            return None;
        }
        m.set_state(MemberState::Departed, now_ms);
        m.view.incarnation = incarnation;
        Some(m.state_item())
    }

    /// The timeout of a suspicion that `suspecting` fronts share, in milliseconds; `slowness` from 1 up stretches it.
    fn suspicion_timeout_ms(&self, suspecting: usize, period_ms: f64, slowness: f64) -> f64 {
        let fleet = ((self.present().count() + 1) as f64).log10().max(1.0);
        let min = MIN_TIMEOUT_PERIODS * fleet * period_ms;
        let max = MAX_OVER_MIN_TIMEOUT * min;
        let confirmations = suspecting.saturating_sub(1).min(MAX_CONFIRMATIONS);
        let part = ((confirmations + 1) as f64).ln() / ((MAX_CONFIRMATIONS + 1) as f64).ln();
        (max - (max - min) * part) * slowness
    }

    /// Declares the suspects dead whose timeout is over, and forgets fronts that have been dead or departed for long.
    /// Returns who died.
    pub fn expire(&mut self, period_ms: f64, slowness: f64, now_ms: f64) -> Vec<FrontId> {
        let timed_out: Vec<FrontId> = self
            .members
            .values()
            .filter(|m| m.view.state == MemberState::Suspect)
            .filter(|m| {
                now_ms - m.since_ms >= self.suspicion_timeout_ms(m.suspected_by.len(), period_ms, slowness)
            })
            .map(|m| m.view.id)
            .collect();
        for id in &timed_out {
            if let Some(m) = self.members.get_mut(id) {
                m.set_state(MemberState::Dead, now_ms);
            }
        }
        self.members.retain(|_, m| m.view.state.is_present() || now_ms - m.since_ms < DEAD_RETENTION_MS);
        timed_out
    }

    /// The digest's bucket that a front is in.
    pub fn digest_bucket(id: FrontId) -> usize {
        id.0 as usize % DIGEST_BUCKETS
    }

    /// Hashes of the present members, by bucket; this front itself counts too, by its `own` id and incarnation.
    pub fn digest(&self, own: (FrontId, u32)) -> [u32; DIGEST_BUCKETS] {
        let mut buckets = [0u32; DIGEST_BUCKETS];
        let present = self.present().map(|m| (m.view.id, m.view.incarnation));
        for (id, incarnation) in present.chain([own]) {
            // A sum of mixed words: the same whatever the order, and no two fronts cancel.
            let mut x = u64::from(id.0) << 32 | u64::from(incarnation);
            x = (x ^ (x >> 31)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
            x = (x ^ (x >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
            let bucket = &mut buckets[MemberTable::digest_bucket(id)];
            *bucket = bucket.wrapping_add((x >> 32) as u32);
        }
        buckets
    }
}
