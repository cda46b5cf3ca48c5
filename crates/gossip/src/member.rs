//! The membership table: the state and incarnation of each front.

use crate::message::{FrontId, Item, DIGEST_BUCKETS};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// The greatest number of members in the table, dead ones included. It is far more than a fleet has; only
/// forgeries under a valid key come near it.
const MAX_MEMBERS: usize = 2048;
/// How long a dead or departed front remains in the table, in milliseconds. During this time old
/// messages cannot make it alive again, and a dead front is contacted occasionally in case a partition has
/// healed.
const DEAD_RETENTION_MS: f64 = 600_000.0;
/// Suspicions by further fronts shorten the suspicion timeout; this many of them bring it to its minimum.
const MAX_CONFIRMATIONS: usize = 3;
/// The minimum suspicion timeout is this many probe periods, times the decimal logarithm of the fleet's size
/// (at least 1).
const MIN_SUSPICION_PERIODS: f64 = 4.0;
/// The ratio of the maximum suspicion timeout to the minimum.
const MAX_TO_MIN_TIMEOUT_RATIO: f64 = 3.0;
/// A front's incarnation starts at the Unix seconds of its start. An incarnation that is further ahead of
/// this front's clock than this many seconds is rejected as a forgery: the highest possible incarnation could
/// not be refuted by its victim, because no higher one exists.
pub(crate) const MAX_INCARNATION_LEAD_S: u32 = 86_400;

/// The state of a front in the membership table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberState {
    /// The front answers probes.
    Alive,
    /// The front did not answer a probe. It is declared dead unless it answers before the suspicion timeout.
    Suspect,
    /// The front was declared dead.
    Dead,
    /// The front announced that it leaves.
    Departed,
}

impl MemberState {
    /// Returns whether the front counts as present. A suspected front does, because it may still answer.
    pub fn is_present(self) -> bool {
        matches!(self, MemberState::Alive | MemberState::Suspect)
    }

    /// Returns the state's label in the output of `fernslip gossip status`.
    pub fn label(self) -> &'static str {
        match self {
            MemberState::Alive => "alive",
            MemberState::Suspect => "suspect",
            MemberState::Dead => "gone",
            MemberState::Departed => "left",
        }
    }
}

/// A change in a front's membership, for operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MembershipChange {
    /// The front is present, for the first time or again.
    Joined,
    /// The front was declared dead.
    Died,
    /// The front announced that it leaves.
    Departed,
}

impl MembershipChange {
    /// Returns the change's label in the log.
    pub fn label(self) -> &'static str {
        match self {
            MembershipChange::Joined => "joined",
            MembershipChange::Died => "gone",
            MembershipChange::Departed => "left",
        }
    }
}

/// A front's name and gossip address.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerAddress {
    /// The front's name.
    pub name: String,
    /// The address that the front receives gossip at.
    pub addr: SocketAddr,
}

/// The state of a front in the membership table, for operators.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberView {
    /// The front's id.
    pub id: FrontId,
    /// The front's name as it was announced, which may be truncated.
    pub name: String,
    /// The front's gossip address.
    pub addr: SocketAddr,
    /// The front's highest known incarnation.
    pub incarnation: u32,
    /// The front's current state.
    pub state: MemberState,
}

/// An entry of the membership table.
#[derive(Clone, Debug)]
pub(crate) struct Member {
    pub view: MemberView,
    /// When the current state began, on the host's monotonic clock in milliseconds.
    since_ms: f64,
    /// The fronts that suspect the member.
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

    /// Returns the item that announces the member as alive.
    pub fn alive_item(&self) -> Item {
        let MemberView { id, incarnation, addr, ref name, .. } = self.view;
        Item::Alive { id, incarnation, addr, name: name.clone() }
    }

    /// Returns the item that announces the member's current state.
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

/// The content of an alive announcement: a front's id, incarnation, address and name.
pub(crate) struct Announcement {
    pub id: FrontId,
    pub incarnation: u32,
    pub addr: SocketAddr,
    pub name: String,
}

/// The result of applying an announcement to the membership table.
#[derive(Default)]
pub(crate) struct AnnouncementOutcome {
    /// The membership update to disseminate, if the table changed.
    pub update: Option<Item>,
    /// Whether the front is present now and was not before.
    pub joined: bool,
}

/// The membership table of all fronts but this one.
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

    /// Returns the members that are alive or suspected.
    pub fn present(&self) -> impl Iterator<Item = &Member> {
        self.members.values().filter(|m| m.view.state.is_present())
    }

    /// Returns whether the table has this front as alive or suspected.
    pub fn is_present(&self, id: FrontId) -> bool {
        self.get(id).is_some_and(|m| m.view.state.is_present())
    }

    /// Returns the addresses of the members that are alive or suspected.
    pub fn present_addrs(&self) -> Vec<SocketAddr> {
        self.present().map(|m| m.view.addr).collect()
    }

    /// Applies the announcement that a front is alive. `unix_s` is this front's clock, in Unix seconds.
    pub fn apply_announcement(
        &mut self,
        announced: Announcement,
        unix_s: u32,
        now_ms: f64,
    ) -> AnnouncementOutcome {
        let Announcement { id, incarnation, addr, name } = announced;
        if incarnation > unix_s.saturating_add(MAX_INCARNATION_LEAD_S) {
            return AnnouncementOutcome::default();
        }
        let view = MemberView { id, name, addr, incarnation, state: MemberState::Alive };
        let member = Member::new(view, now_ms);
        let update = Some(member.alive_item());
        let full = self.members.len() >= MAX_MEMBERS;
        match self.members.get_mut(&id) {
            None if full => AnnouncementOutcome::default(),
            None => {
                self.members.insert(id, member);
                AnnouncementOutcome { update, joined: true }
            }
            Some(known) if incarnation > known.view.incarnation => {
                let joined = !known.view.state.is_present();
                *known = member;
                AnnouncementOutcome { update, joined }
            }
            Some(_) => AnnouncementOutcome::default(),
        }
    }

    /// Replaces the set of present members by those of the fleet's membership view; all others are dead.
    /// Returns the fronts that joined or died as a result.
    pub fn apply_peer_list(
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
                    // The front's own announcement, which has its incarnation, later replaces this entry.
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

    /// Marks a front as alive, whatever other fronts say, because it signed a datagram itself. A departed
    /// front remains departed until it announces a higher incarnation. Returns whether the front was dead.
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

    /// Records that the front `by`, which may be this one, suspects a member. Another front's suspicion only
    /// starts the timeout here or shortens it: a member is declared dead by this front's own clock alone.
    /// Returns the update to disseminate.
    pub fn add_suspicion(&mut self, id: FrontId, incarnation: u32, by: FrontId, now_ms: f64) -> Option<Item> {
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

    /// Marks a front as departed after its own announcement. Returns the update to disseminate, if the
    /// departure is new.
    pub fn mark_departed(&mut self, id: FrontId, incarnation: u32, now_ms: f64) -> Option<Item> {
        let m = self.members.get_mut(&id).filter(|m| m.view.incarnation <= incarnation)?;
        if m.view.state == MemberState::Departed {
            return None;
        }
        m.set_state(MemberState::Departed, now_ms);
        m.view.incarnation = incarnation;
        Some(m.state_item())
    }

    /// Returns the timeout of a suspicion that `suspecting` fronts share, in milliseconds. `slowness`, from
    /// 1, lengthens it.
    fn suspicion_timeout_ms(&self, suspecting: usize, period_ms: f64, slowness: f64) -> f64 {
        let fleet = ((self.present().count() + 1) as f64).log10().max(1.0);
        let min = MIN_SUSPICION_PERIODS * fleet * period_ms;
        let max = MAX_TO_MIN_TIMEOUT_RATIO * min;
        let confirmations = suspecting.saturating_sub(1).min(MAX_CONFIRMATIONS);
        let part = ((confirmations + 1) as f64).ln() / ((MAX_CONFIRMATIONS + 1) as f64).ln();
        (max - (max - min) * part) * slowness
    }

    /// Declares suspected members dead whose timeout has passed, and removes those that have been dead or
    /// departed for [`DEAD_RETENTION_MS`]. Returns the members that died.
    pub fn expire_suspects(&mut self, period_ms: f64, slowness: f64, now_ms: f64) -> Vec<FrontId> {
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

    /// Returns the digest bucket of a front.
    pub fn digest_bucket(id: FrontId) -> usize {
        id.0 as usize % DIGEST_BUCKETS
    }

    /// Returns a hash of the present members in each bucket. This front is included with its `own` id and
    /// incarnation.
    pub fn digest(&self, own: (FrontId, u32)) -> [u32; DIGEST_BUCKETS] {
        let mut buckets = [0u32; DIGEST_BUCKETS];
        let present = self.present().map(|m| (m.view.id, m.view.incarnation));
        for (id, incarnation) in present.chain([own]) {
            // Summing the mixed values makes the hash independent of the order, and no two fronts cancel each
            // other out.
            let mut x = u64::from(id.0) << 32 | u64::from(incarnation);
            x = (x ^ (x >> 31)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
            x = (x ^ (x >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
            let bucket = &mut buckets[MemberTable::digest_bucket(id)];
            *bucket = bucket.wrapping_add((x >> 32) as u32);
        }
        buckets
    }
}
