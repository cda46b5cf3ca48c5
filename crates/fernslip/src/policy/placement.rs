//! Placement: the home of a request among the location's cache nodes, in hash order, and who may serve it.

use super::Router;
use super::{LATE_MARGIN, LEAST_TRY_MS, NO_SOURCE, SPILL_GAIN, TURNED};
use crate::api::*;
use crate::rendezvous::{mix, score, word};
use crate::state::{Cache, Plan, Req, Role, Way};

impl Router {
    pub(super) fn choose(&self, req: &Req) -> Result<Plan, &'static str> {
        let class = &self.set.classes[req.ask.class];
        let left = self.left(req);
        if req.attempts.len() >= self.set.max_attempts as usize || left < LEAST_TRY_MS {
            return Err("no time or attempts left");
        }
        // Home is the first in hash order; a cold cache's weight grows as it warms: it takes only its part.
        let place = word(req.key);
        let own = self.caches.iter().filter(|(_, c)| c.role == Role::Edge && c.phase == Phase::In);
        let share = |c: &Cache| self.gives(c) * (1.0 - c.said.max(0.0));
        let mut scored: Vec<_> = own.map(|o| (score(o.1.tag, place, share(o.1)), o)).collect();
        scored.sort_by(|a, b| b.0.total_cmp(&a.0));
        let order: Vec<(&CacheId, &Cache)> = scored.into_iter().map(|s| s.1).collect();
        let sendable = order.iter().copied().filter(|(_, c)| self.may_send(req, c));
        let mut fits: Vec<_> = sendable.clone().filter(|(id, c)| self.fits(id, c, req)).collect();
        if fits.is_empty() {
            fits = sendable.filter(|(_, c)| self.has_room(c, req)).collect();
        }
        let first = fits.first().ok_or("no cache may be sent it")?.1;
        // Links are shared evenly, so what is asked takes its sending time times the load. Where home would
        // be late, the next in hash order that would not be serves; with none it is refused at once, the
        // large first. Guards against hot objects, bursts, lost caches. Harm: second copies; a late answer's
        // worth. Nothing is faster than its sending time: what cannot end while the client waits only fills
        // the links.
        let aim = req.objective_ms.min(left);
        let alone = |c: &Cache| if self.quickness(c) < 1.0 { c.pace_at(self.now) } else { 1.0 };
        let load = |c: &Cache| if c.link.width.full { self.load(c) * LATE_MARGIN } else { 0.0 };
        let in_time = |c: &Cache| req.work_ms * load(c).max(alone(c)) <= aim;
        let eased = |c: &Cache| self.is_slow(first) || self.load(c) < SPILL_GAIN * self.load(first);
        let spill = fits[1..].iter().find(|f| in_time(f.1) && eased(f.1));
        let home = fits.first().filter(|f| in_time(f.1)).or(spill);
        let &(id, home) = home.ok_or("caches are crowded")?;
        let (parent, origin) = (self.source(req, Role::Parent), self.source(req, Role::Origin));
        let late = |id: &CacheId| self.is_late(&self.caches[id], req);
        let parent = parent.filter(|p| !late(p) || origin.is_none_or(late));
        if class.write {
            let source = if req.attempts.len() % 2 == 0 { origin.or(parent) } else { parent.or(origin) };
            let source = source.ok_or(NO_SOURCE)?;
            return Ok((id.clone(), source.clone(), Way::Write));
        }
        let drawn = mix(req.ask.id.0 ^ self.seed ^ req.attempts.len() as u64);
        let held_back = self.turned.holds_back(self.now, drawn);
        if home.filter.shows(req.key) {
            // Where sources turn fills away, a copy past its fresh time is better than none.
            let refused = req.attempts.last().is_some_and(|a| a.ending == Some(Ending::Saturated));
            let looks = held_back || refused && class.grace_ms > 0.0;
            let (source, way) =
                if looks { (id, Way::Look) } else { (parent.or(origin).unwrap_or(id), Way::Hit) };
            return Ok((id.clone(), source.clone(), way));
        }
        let held = |i: &CacheId, c: &Cache| {
            i != id && c.filter.shows(req.key) && self.fits(i, c, req) && !self.is_slow(c)
        };
        let asks = self.set.neighbours != Neighbours::None;
        let sibling = order.iter().find(|(i, c)| asks && held(i, c)).map(|s| s.0);
        let source = sibling.or(parent).or(origin).ok_or(NO_SOURCE)?;
        // Without room for another fill, a miss is refused at once: it would only hold a place at the cache
        // that what is kept there needs. Guards against a slow origin, crowded links, flushes and scans.
        let shut = self.fills.is_shut(self.now, f64::from(self.set.near_routers()));
        if sibling.is_none() && (shut || held_back) {
            return Err(if shut { "no room for fills" } else { TURNED });
        }
        Ok((id.clone(), source.clone(), Way::Fill))
    }

    /// Whether a machine may be used for this request, as target or source.
    pub(super) fn fits(&self, id: &CacheId, c: &Cache, req: &Req) -> bool {
        let usable = !(c.ejected || c.silent(self.now)) || self.now >= c.next_trial;
        usable && !req.failed.contains(id) && self.has_room(c, req)
    }
}
