//! Purges: the maximum age of a copy that may still be served.

use super::Router;
use super::{FILTER_GENERATION_MS, PURGE_MARGIN_MS};
use crate::api::*;
use crate::state::PendingRequest;

impl Settings {
    /// How long a purge is retained, in milliseconds. No copy older than the purge is left after that time.
    pub fn purge_retention_ms(&self) -> f64 {
        self.purge_done_ms.max(2.0 * FILTER_GENERATION_MS) + FILTER_GENERATION_MS
    }
}

impl Router {
    /// Records that an object, or a whole group if `object` is `None`, was purged `age_ms` ago.
    pub(super) fn handle_purge(&mut self, object: Option<ObjectId>, group: u64, age_ms: f64) {
        let at = self.now_ms - if age_ms.is_finite() { age_ms.max(0.0) } else { 0.0 };
        self.purges.record(object.map(|o| o.0), group, at);
    }

    /// Maximum age of a copy that may be served or of a fill that may be joined, in milliseconds; 0 means
    /// that the `fresh_ms` of the class applies. With `stale_allowed`, copies within the class's grace are
    /// accepted too.
    pub(super) fn max_copy_age_ms(&self, req: &PendingRequest, stale_allowed: bool) -> f64 {
        let class = &self.settings.classes[req.request.class];
        let grace_ms = if stale_allowed && class.fresh_ms > 0.0 { class.grace_ms } else { 0.0 };
        let most_ms = class.fresh_ms + grace_ms;
        let since_purge = |at: f64| (self.now_ms - at - PURGE_MARGIN_MS - self.settings.tick_ms).max(1.0);
        let purged = self.purges.latest_for(req.request.object.0, req.request.group).map(since_purge);
        let stricter = purged.filter(|&bound| most_ms == 0.0 || bound < most_ms);
        stricter.unwrap_or(if grace_ms > 0.0 { most_ms } else { 0.0 })
    }
}
