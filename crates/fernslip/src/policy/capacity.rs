//! Capacity: the learned bandwidth and pace of cache nodes, and the load that is put on them.

use super::Router;
use super::{PACE_SEEN_MS, SLOW, SLOW_PART};
use crate::api::*;
use crate::bandwidth::{Answer, Width};
use crate::state::{mean_proven, Cache};

impl Router {
    /// The part of its weight that is left to a machine slower than its fellows. Guards against parents that
    /// slow, pause or crowd, and caches that crawl. Harm: what a merely busy one holds is fetched anew.
    pub(super) fn quickness(&self, c: &Cache) -> f64 {
        let n = self.fellows(c).count().max(1) as f64;
        let others = self.fellows(c).map(|f| f.pace_at(self.now)).sum::<f64>() / n;
        if others > 0.0 {
            (SLOW * others / c.pace_at(self.now).max(0.01)).powi(2).min(1.0)
        } else {
            1.0
        }
    }

    /// Whether what went through a cache took no longer than its hits do: its own link is the crowded one.
    pub(super) fn is_busy(&self, c: &Cache, pace: f64) -> bool {
        c.pace_at(self.now) > SLOW && pace < SLOW * c.pace_at(self.now)
    }

    pub(super) fn is_slow(&self, c: &Cache) -> bool {
        self.quickness(c) < SLOW_PART
    }

    /// Its part of the homes.
    pub(super) fn gives(&self, c: &Cache) -> f64 {
        c.told * self.warmth(c) * self.quickness(c)
    }

    /// What it carries when warm: as it showed, else as its fellows did, else as told links let expect.
    pub(super) fn width(&self, c: &Cache, shown: Width) -> f64 {
        let role = c.role as usize;
        let least = shown.carries.max(1.0);
        if shown.full {
            least
        } else {
            least.max(self.typical[role]).max(self.first[role])
        }
    }

    /// What it carries now. One that warms up carries at least what the rules tell, and what it has shown.
    pub(super) fn carries(&self, c: &Cache) -> f64 {
        (self.width(c, c.link.width) * self.warmth(c)).max(c.link.lately.rate(self.now) * self.sharers(c))
    }

    /// Takes in what an answer shows of a link: a cache's by its hits, a source's by the fills from it.
    pub(super) fn measure(&mut self, id: &CacheId, work_ms: f64, took_ms: f64, base_ms: f64, seen: f64) {
        let (now, open) = (self.now, (self.seen(id) - seen) / took_ms.max(1.0));
        let routers = self.caches.get(id).map_or(1.0, |c| self.sharers(c));
        let cold = self.caches.get(id).is_none_or(|c| self.warming(c).is_some());
        let Some(c) = self.caches.get_mut(id).filter(|_| !cold) else { return };
        c.link.answered(now, Answer { work_ms, took_ms, base_ms, open }, routers);
        let role = c.role as usize;
        self.typical[role] = mean_proven(self.caches.values(), role);
    }

    pub(super) fn load(&self, c: &Cache) -> f64 {
        let routers = f64::from(self.set.near_routers());
        let counted = c.open.of_all(self.now, routers) / self.carries(c);
        if self.warmth(c) >= 1.0 {
            return counted;
        }
        // Its warmth is the least it may be, and others' parts are a guess: what its hits took tells more.
        let fresh = (-(self.now - c.paced) / PACE_SEEN_MS).exp2() * (1.0 - 1.0 / routers);
        counted + (counted.min(c.pace) - counted) * fresh
    }
}
