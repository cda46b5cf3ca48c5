//! Admission of cache nodes in slow start: the part of their budget that this router may use.

use super::Router;
use super::{COLD_TURNS, COLD_USE};
use crate::slow_start::Warming;
use crate::state::{Cache, Req, Role};

impl Router {
    /// How it warms up, and the part of its budget that all routers together use; `None`: it is warm.
    pub(super) fn warming(&self, c: &Cache) -> Option<Warming> {
        let [from, ms, multiple] = self.set.cold(c.role == Role::Parent);
        let cold = c.born > 0.0 && c.role != Role::Origin && self.now - c.born < ms;
        let rate = multiple * self.width(c, c.link.proven) * COLD_USE;
        cold.then_some(Warming { from, ms, multiple, rate })
    }

    pub(super) fn warmth(&self, c: &Cache) -> f64 {
        self.warming(c).map_or(1.0, |w| w.warmth(self.now - c.born))
    }

    /// Whether a cold machine can be sent one more within its budget, shared among the routers that reach it.
    pub(super) fn has_room(&self, c: &Cache, req: &Req) -> bool {
        let Some(warming) = self.warming(c) else { return true };
        let (near, slot) = (self.set.near_routers(), self.set.slot);
        let (place, routers) = match c.role {
            Role::Parent => (slot, self.set.routers.max(1)),
            _ => (self.mates.place(slot, near), near),
        };
        let (window, age) = (self.set.slow_start_window_ms, self.now - c.born);
        let spent = c.spent(self.now, window);
        let part = warming.rate * warming.warmth(age) * window / f64::from(routers);
        // What a router saw it send lately it can send now, and may be asked for within the same multiple.
        // One of several goes by that only where it knows no width: two ways at once would add up.
        let blind = routers == 1 || !c.link.width.full && self.typical[c.role as usize] == 0.0;
        let shown = if blind { c.link.lately.rate(self.now) } else { 0.0 };
        let part = part.max(warming.multiple * COLD_USE * shown * window);
        let cost = self.mean_ms[req.ask.class];
        let turn = self.mean_ms.iter().copied().fold(cost, f64::max);
        if part >= turn {
            return spent + cost <= part;
        }
        // Less than a request each: by turns. A turn is good for a window, so those of two may meet in one.
        let warming = Warming { rate: warming.rate * COLD_TURNS / COLD_USE, ..warming };
        // What is left of a turn after a small request is good for a large one, or most of it would be lost.
        spent + cost.min(turn / 2.0) <= turn * f64::from(warming.turns(age, window, turn, place, routers))
    }
}
