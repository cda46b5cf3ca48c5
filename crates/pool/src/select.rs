//! Which members the decision module may pick from: administrative states, health, tiers, spares, standbys and
//! stand-ins, all in one pure function.

use crate::spec::MemberSpec;
use fernslip_site::State;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

/// What is known of a member besides its part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct MemberStatus {
    /// Listed, and neither draining nor gone by the list.
    pub listed: bool,
    /// Nothing is held against it.
    pub up: bool,
    /// A request may go there as a trial.
    pub trial: bool,
}

/// Which members are handed out, by index.
///
/// 1. The lowest tier that has a usable member serves; a member is usable if it is ready, listed and up.
/// 2. For each unusable ready member of a tier one usable spare of the tier joins, in their order.
/// 3. Where a tier has neither, its standbys serve.
/// 4. Where a tier is lost, those members of the next one that share a group with one of the lost serve before the
///    others of that tier do.
/// 5. The stand-in (`instead`) of an unusable member joins, from whatever tier.
/// 6. Members due for a trial join, from tiers up to the serving one.
///
/// Draining and stopped members never join. Being full is no reason to fall back: what is full is waited for.
pub(crate) fn select_endpoints(parts: &[MemberSpec], shown: &[MemberStatus]) -> Vec<bool> {
    let mut out = vec![false; parts.len()];
    let live = |i: usize| matches!(parts[i].state, State::Ready | State::Spare | State::Standby);
    let usable = |i: usize| live(i) && shown[i].listed && shown[i].up;
    let mut tiers: BTreeMap<u64, Vec<usize>> = BTreeMap::new();
    for (i, p) in parts.iter().enumerate().filter(|(i, _)| live(*i)) {
        tiers.entry(p.tier).or_default().push(i);
    }
    let mut lost_groups: HashSet<&Arc<str>> = HashSet::new();
    let mut serving = None;
    for (tier, members) in &tiers {
        let of = |state| members.iter().copied().filter(move |i| parts[*i].state == state);
        let lost = of(State::Ready).filter(|i| !usable(*i)).count();
        let ready: Vec<usize> = of(State::Ready)
            .filter(|i| usable(*i))
            .chain(of(State::Spare).filter(|i| usable(*i)).take(lost))
            .collect();
        let chosen = match ready.is_empty() {
            false => ready,
            true => of(State::Standby).filter(|i| usable(*i)).collect(),
        };
        if !chosen.is_empty() {
            let akin: Vec<usize> = chosen
                .iter()
                .copied()
                .filter(|i| parts[*i].group.as_ref().is_some_and(|g| lost_groups.contains(g)))
                .collect();
            for i in if akin.is_empty() { chosen } else { akin } {
                out[i] = true;
            }
            serving = Some(*tier);
            break;
        }
        lost_groups.extend(members.iter().filter_map(|i| parts[*i].group.as_ref()));
    }
    if parts.iter().any(|p| p.instead.is_some()) {
        let by_id: HashMap<&str, usize> = parts.iter().enumerate().map(|(i, p)| (&*p.id, i)).collect();
        for (i, p) in parts.iter().enumerate() {
            // A member that was taken out by hand has its stand-in too: that is what one is named for.
            let out_of_use = !usable(i) && serving.is_none_or(|t| p.tier <= t);
            let stand_in = p.instead.as_ref().filter(|_| out_of_use).and_then(|id| by_id.get(&**id));
            if let Some(&j) = stand_in.filter(|j| usable(**j)) {
                out[j] = true;
            }
        }
    }
    for (i, p) in parts.iter().enumerate() {
        if live(i) && shown[i].listed && shown[i].trial && serving.is_none_or(|t| p.tier <= t) {
            out[i] = true;
        }
    }
    out
}

#[cfg(test)]
mod tests;
