//! Sources: which parent or origin fills a miss, and whether its fills come late.

use super::Router;
use super::PACE_BASE_MS;
use crate::api::*;
use crate::rendezvous::score;
use crate::state::{Cache, Req, Role};

impl Router {
    /// The parent (or the origin) to ask: the first that may be, in the object's hash order over all of them.
    pub(super) fn source(&self, req: &Req, role: Role) -> Option<&CacheId> {
        let up = self.caches.iter().filter(|(_, c)| c.role == role && c.phase == Phase::In);
        let scored = up
            .filter(|(id, c)| self.fits(id, c, req))
            .map(|(id, c)| (score(c.tag, req.ask.object.0, c.told * self.quickness(c)), id));
        scored.min_by(|a, b| b.0.total_cmp(&a.0)).map(|s| s.1)
    }

    /// Whether a fill from a source would come later than wanted, as its others did.
    pub(super) fn is_late(&self, c: &Cache, req: &Req) -> bool {
        let pace = if c.role == Role::Origin { c.pace_at(self.now) } else { c.pace_of_quick(self.now) };
        (req.work_ms + PACE_BASE_MS) * pace > req.objective_ms
    }
}
