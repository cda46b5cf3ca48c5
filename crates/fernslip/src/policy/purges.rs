//! Purges: the oldest copy that may still be served.

use super::Router;
use super::PURGE_MARGIN_MS;
use crate::api::*;
use crate::state::Req;

impl Router {
    pub(super) fn purged(&mut self, object: Option<ObjectId>, group: u64, age_ms: f64) {
        let at = self.now - if age_ms.is_finite() { age_ms.max(0.0) } else { 0.0 };
        self.purges.note(object.map(|o| o.0), group, at);
    }

    /// The oldest copy that will do, also to join a fill; 0: the class's bound. `late`: past its fresh time.
    pub(super) fn age_bound(&self, req: &Req, late: bool) -> f64 {
        let class = &self.set.classes[req.ask.class];
        let grace = if late && class.fresh_ms > 0.0 { class.grace_ms } else { 0.0 };
        let most = class.fresh_ms + grace;
        let bound = |at: f64| (self.now - at - PURGE_MARGIN_MS - self.set.tick_ms).max(1.0);
        let purged = self.purges.of(req.ask.object.0, req.ask.group).map(bound);
        purged.filter(|&b| most == 0.0 || b < most).unwrap_or(if grace > 0.0 { most } else { 0.0 })
    }
}
