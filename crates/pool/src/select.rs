//! Selection of the members that the decision module may pick from, as a pure function of administrative
//! states, health, tiers, spares, standbys and replacements.

use crate::spec::MemberSpec;
use fernslip_site::State;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

/// The observed status of a member, as far as the selection needs it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct MemberStatus {
    /// Whether the endpoint list has the member as up.
    pub listed: bool,
    /// Whether the member is neither ejected nor half-open.
    pub healthy: bool,
    /// Whether the member is half-open and a request may be sent to it as a probe.
    pub probe_due: bool,
}

/// Returns for each member, in the order of `members`, whether it may be picked.
///
/// 1. The lowest tier in which rule 2 or 3 gives a member serves. A member is usable if it is in
///    service (ready, spare or standby), listed as up and healthy.
/// 2. In a tier the usable ready members serve, and for each unusable ready member one usable spare, in the
///    order of the spares.
/// 3. If rule 2 gives no member, the usable standbys of the tier serve.
/// 4. If lower tiers have no member to serve, and some of the members chosen in the serving tier belong to a
///    group of these tiers, only those serve.
/// 5. The replacement (`instead`) of an unusable member is added, from any tier, unless the unusable member
///    is in a tier above the serving one.
/// 6. Members due for a half-open probe are added, from tiers up to the serving one.
///
/// Draining and stopped members are never selected. A member at capacity is still usable, because requests
/// wait for it rather than fall back to another member.
pub(crate) fn select_endpoints(members: &[MemberSpec], status: &[MemberStatus]) -> Vec<bool> {
    let selection = Selection { members, status };
    let mut selected = vec![false; members.len()];
    let serving_tier = selection.select_lowest_tier(&mut selected);
    selection.add_replacements(serving_tier, &mut selected);
    selection.add_probes(serving_tier, &mut selected);
    selected
}

/// The inputs of one selection. Its methods refer to members by their index.
struct Selection<'a> {
    members: &'a [MemberSpec],
    status: &'a [MemberStatus],
}

impl Selection<'_> {
    fn is_in_service(&self, index: usize) -> bool {
        matches!(self.members[index].state, State::Ready | State::Spare | State::Standby)
    }

    fn is_usable(&self, index: usize) -> bool {
        self.is_in_service(index) && self.status[index].listed && self.status[index].healthy
    }

    /// Selects members by rules 1 to 4 of [`select_endpoints`]; returns the tier that serves, if any.
    fn select_lowest_tier(&self, selected: &mut [bool]) -> Option<u64> {
        let mut tiers: BTreeMap<u64, Vec<usize>> = BTreeMap::new();
        for (i, m) in self.members.iter().enumerate().filter(|(i, _)| self.is_in_service(*i)) {
            tiers.entry(m.tier).or_default().push(i);
        }
        let mut groups_of_lower_tiers: HashSet<&Arc<str>> = HashSet::new();
        for (tier, tier_members) in &tiers {
            let chosen = self.serving_members_of_tier(tier_members);
            if !chosen.is_empty() {
                let same_group: Vec<usize> = chosen
                    .iter()
                    .copied()
                    .filter(|i| {
                        self.members[*i].group.as_ref().is_some_and(|g| groups_of_lower_tiers.contains(g))
                    })
                    .collect();
                for i in if same_group.is_empty() { chosen } else { same_group } {
                    selected[i] = true;
                }
                return Some(*tier);
            }
            groups_of_lower_tiers.extend(tier_members.iter().filter_map(|i| self.members[*i].group.as_ref()));
        }
        None
    }

    /// The members of a tier that may serve by rules 2 and 3 of [`select_endpoints`]: the usable ready ones
    /// with a spare for each unusable one, or else the usable standbys.
    fn serving_members_of_tier(&self, tier_members: &[usize]) -> Vec<usize> {
        let in_state = |state| tier_members.iter().copied().filter(move |i| self.members[*i].state == state);
        let unusable_ready = in_state(State::Ready).filter(|i| !self.is_usable(*i)).count();
        let ready: Vec<usize> = in_state(State::Ready)
            .filter(|i| self.is_usable(*i))
            .chain(in_state(State::Spare).filter(|i| self.is_usable(*i)).take(unusable_ready))
            .collect();
        match ready.is_empty() {
            false => ready,
            true => in_state(State::Standby).filter(|i| self.is_usable(*i)).collect(),
        }
    }

    /// Selects the replacements of unusable members (rule 5 of [`select_endpoints`]).
    fn add_replacements(&self, serving_tier: Option<u64>, selected: &mut [bool]) {
        if self.members.iter().all(|m| m.instead.is_none()) {
            return;
        }
        let by_id: HashMap<&str, usize> = self.members.iter().enumerate().map(|(i, m)| (&*m.id, i)).collect();
        for (i, m) in self.members.iter().enumerate() {
            // Draining and stopped members are replaced as well: operators name a replacement for that
            // purpose.
            let out_of_use = !self.is_usable(i) && serving_tier.is_none_or(|t| m.tier <= t);
            let replacement = m.instead.as_ref().filter(|_| out_of_use).and_then(|id| by_id.get(&**id));
            if let Some(&j) = replacement.filter(|j| self.is_usable(**j)) {
                selected[j] = true;
            }
        }
    }

    /// Selects the members due for a half-open probe (rule 6 of [`select_endpoints`]).
    fn add_probes(&self, serving_tier: Option<u64>, selected: &mut [bool]) {
        for (i, m) in self.members.iter().enumerate() {
            let probed = self.is_in_service(i) && self.status[i].listed && self.status[i].probe_due;
            if probed && serving_tier.is_none_or(|t| m.tier <= t) {
                selected[i] = true;
            }
        }
    }
}

#[cfg(test)]
mod tests;
