//! Cache nodes known to the router: the endpoint list, their peers of the same role, and what is in flight at each.

use super::Router;
use super::{COUNTERS, FILLS_PER_WEIGHT, HASHES};
use crate::api::*;
use crate::filter::hash;
use crate::rendezvous::word;
use crate::state::{Cache, Role};
use std::collections::BTreeSet;

impl Router {
    pub(super) fn fleet(&mut self, kind: ListKind, entries: Vec<Entry>, out: &mut Vec<Action>) {
        if kind == ListKind::Failed || (kind == ListKind::Cached && self.set.lists_on_request) {
            out.push(Action::Subscribe);
        }
        if kind == ListKind::Failed {
            return;
        }
        if kind != ListKind::Delta {
            let listed: BTreeSet<&CacheId> = entries.iter().map(|e| &e.cache).collect();
            for (id, c) in
                self.caches.iter_mut().filter(|(id, c)| !listed.contains(id) && c.phase != Phase::Out)
            {
                c.phase = Phase::Out;
                out.push(Action::Log(format!("{} is off the list: not used", id.0)));
            }
        }
        for e in entries {
            let role = match e.kind {
                Some(k) if Some(k) == self.set.parent_kind => Role::Parent,
                Some(k) if Some(k) == self.set.origin_kind => Role::Origin,
                _ => Role::Edge,
            };
            // Caches of other locations are never targets nor sources: work and memory go with the location.
            if role == Role::Edge && e.zone != Some(self.set.zone) {
                continue;
            }
            let counters = if role == Role::Edge { COUNTERS } else { 0 };
            let c = self.caches.entry(e.cache).or_insert_with_key(|id| {
                Cache::new(
                    word(hash(&id.0.bytes().map(u64::from).collect::<Vec<_>>())),
                    e.born_ms,
                    e.phase,
                    counters,
                    HASHES,
                )
            });
            if e.born_ms > c.born || (c.phase == Phase::Out && e.phase == Phase::In) {
                c.begin_again(e.born_ms);
            }
            (c.role, c.zone, c.cell, c.phase) = (role, e.zone, e.cell, e.phase);
            c.told = if e.weight.is_finite() && e.weight > 0.0 { e.weight } else { 1.0 };
            c.link.guess(c.told);
        }
        // Caches that keep anything send more than their link brings in; a parent feeds a location or more.
        let n = self.caches.values().filter(|c| c.role == Role::Edge && c.phase != Phase::Out).count();
        self.first = self.set.told_widths(n);
        // Where links are told, pooled caches need fills for a part of what they can send.
        let told = self.caches.values().filter(|c| c.role == Role::Edge && c.told != 1.0);
        self.fills.guess(told.map(|c| c.told).sum::<f64>() * FILLS_PER_WEIGHT);
    }

    /// The others that do the same as it.
    pub(super) fn fellows<'a>(&'a self, c: &'a Cache) -> impl Iterator<Item = &'a Cache> {
        let same = move |f: &&Cache| f.role == c.role && f.phase == Phase::In && f.tag != c.tag;
        self.caches.values().filter(same)
    }

    /// How many routers may send to it or fill from it.
    pub(super) fn sharers(&self, c: &Cache) -> f64 {
        f64::from(if c.role == Role::Edge { self.set.near_routers() } else { self.set.routers.max(1) })
    }

    /// One more, or one less, is under way at a machine.
    pub(super) fn step(&mut self, id: &CacheId, by: f64) {
        let Some(routers) = self.caches.get(id).map(|c| self.sharers(c)) else { return };
        let now = self.now;
        self.caches.entry(id.clone()).and_modify(|c| c.open.step(now, by, routers));
    }

    /// The sum over time of what was under way at a machine.
    pub(super) fn seen(&self, id: &CacheId) -> f64 {
        self.caches.get(id).map_or(0.0, |c| c.open.seen(self.now, self.sharers(c)))
    }
}
