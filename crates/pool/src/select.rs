//! Which members the decision module may pick from: administrative states, health, tiers, spares, standbys and
//! stand-ins, all in one pure function.

use crate::spec::MemberSpec;
use fernslip_site::State;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

/// What is known of a member besides its specification.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct MemberStatus {
    /// On the endpoint list, and not draining by it.
    pub listed: bool,
    /// Neither ejected nor half-open.
    pub healthy: bool,
    /// Half-open, and a request may probe it.
    pub probe_due: bool,
}

/// Whether each member is an endpoint that may be picked, in the order of `members`.
///
/// 1. The lowest tier that has a usable member serves; a member is usable if it is ready, listed and healthy.
/// 2. For each unusable ready member of a tier one usable spare of the tier joins, in their order.
/// 3. Where a tier has neither, its standbys serve.
/// 4. Where a tier is lost, those members of the next one that share a group with one of the lost serve before the
///    others of that tier do.
/// 5. The stand-in (`instead`) of an unusable member joins, from whatever tier.
/// 6. Members due for a half-open probe join, from tiers up to the serving one.
///
/// Draining and stopped members never join. Being at capacity is no reason to fall back: such a member is waited for.
pub(crate) fn select_endpoints(members: &[MemberSpec], status: &[MemberStatus]) -> Vec<bool> {
    let selection = Selection { members, status };
    let mut selected = vec![false; members.len()];
    let serving_tier = selection.serve_lowest_tier(&mut selected);
    selection.add_stand_ins(serving_tier, &mut selected);
    selection.add_probes(serving_tier, &mut selected);
    selected
}

/// The inputs of one selection; members go by their index.
struct Selection<'a> {
    members: &'a [MemberSpec],
    status: &'a [MemberStatus],
}

impl Selection<'_> {
    fn in_service(&self, i: usize) -> bool {
        matches!(self.members[i].state, State::Ready | State::Spare | State::Standby)
    }

    fn usable(&self, i: usize) -> bool {
        self.in_service(i) && self.status[i].listed && self.status[i].healthy
    }

    /// Rules 1 to 4; the tier that serves.
    fn serve_lowest_tier(&self, selected: &mut [bool]) -> Option<u64> {
        let mut tiers: BTreeMap<u64, Vec<usize>> = BTreeMap::new();
        for (i, m) in self.members.iter().enumerate().filter(|(i, _)| self.in_service(*i)) {
            tiers.entry(m.tier).or_default().push(i);
        }
        let mut lost_groups: HashSet<&Arc<str>> = HashSet::new();
        for (tier, tier_members) in &tiers {
            let chosen = self.serving_of_tier(tier_members);
            if !chosen.is_empty() {
                let same_group: Vec<usize> = chosen
                    .iter()
                    .copied()
                    .filter(|i| self.members[*i].group.as_ref().is_some_and(|g| lost_groups.contains(g)))
                    .collect();
                for i in if same_group.is_empty() { chosen } else { same_group } {
                    selected[i] = true;
                }
                return Some(*tier);
            }
            lost_groups.extend(tier_members.iter().filter_map(|i| self.members[*i].group.as_ref()));
        }
        None
    }

    /// The members of one tier that can serve: its ready ones and a spare for each lost one, else its standbys.
    fn serving_of_tier(&self, tier_members: &[usize]) -> Vec<usize> {
        let of = |state| tier_members.iter().copied().filter(move |i| self.members[*i].state == state);
        let lost = of(State::Ready).filter(|i| !self.usable(*i)).count();
        let ready: Vec<usize> = of(State::Ready)
            .filter(|i| self.usable(*i))
            .chain(of(State::Spare).filter(|i| self.usable(*i)).take(lost))
            .collect();
        match ready.is_empty() {
            false => ready,
            true => of(State::Standby).filter(|i| self.usable(*i)).collect(),
        }
    }

    /// Rule 5.
    fn add_stand_ins(&self, serving_tier: Option<u64>, selected: &mut [bool]) {
        if self.members.iter().all(|m| m.instead.is_none()) {
            return;
        }
        let by_id: HashMap<&str, usize> = self.members.iter().enumerate().map(|(i, m)| (&*m.id, i)).collect();
        for (i, m) in self.members.iter().enumerate() {
            // A member that was excluded manually has its stand-in too: that is what one is named for.
            let out_of_use = !self.usable(i) && serving_tier.is_none_or(|t| m.tier <= t);
            let stand_in = m.instead.as_ref().filter(|_| out_of_use).and_then(|id| by_id.get(&**id));
            if let Some(&j) = stand_in.filter(|j| self.usable(**j)) {
                selected[j] = true;
            }
        }
    }

    /// Rule 6.
    fn add_probes(&self, serving_tier: Option<u64>, selected: &mut [bool]) {
        for (i, m) in self.members.iter().enumerate() {
            let probed = self.in_service(i) && self.status[i].listed && self.status[i].probe_due;
            if probed && serving_tier.is_none_or(|t| m.tier <= t) {
                selected[i] = true;
            }
        }
    }
}

#[cfg(test)]
mod tests;
