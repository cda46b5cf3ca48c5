//! Retry rules: which effect classes may be sent again, until when, and the Retry-After hint of a rejection.

use super::Router;
use super::RETRY_AFTER_MS;
use crate::api::*;
use crate::rendezvous::spread;
use crate::state::{Cache, Req};

impl Router {
    /// When a refused client may come back, spread so that the refused don't return as one wave.
    pub(super) fn hint(&mut self) -> f64 {
        (RETRY_AFTER_MS * spread(&mut self.seed)).min(self.set.max_retry_after_ms)
    }

    /// Whether its class lets this request be sent to that cache now.
    pub(super) fn may_send(&self, req: &Req, to: &Cache) -> bool {
        let class = &self.set.classes[req.ask.class];
        let mut ran = req.attempts.iter().filter(|a| !a.ending.is_some_and(Ending::never_ran));
        match (class.effect, ran.next()) {
            (Effect::Idempotent, _) | (_, None) => true,
            (Effect::AtMostOnce, Some(_)) => false,
            (Effect::Deduplicated, Some(first)) => {
                let group = self.caches.get(&first.cache).is_some_and(|f| match class.scope {
                    DedupScope::All => true,
                    DedupScope::Zone => f.zone == to.zone,
                    DedupScope::Cell => f.cell == to.cell,
                });
                group && self.now < self.repeat_by(req)
            }
        }
    }

    /// When a repeat must have begun: machines know it for what it is up to the end of their window alone.
    pub(super) fn repeat_by(&self, req: &Req) -> f64 {
        let class = &self.set.classes[req.ask.class];
        let mut ran = req.attempts.iter().filter(|a| !a.ending.is_some_and(Ending::never_ran));
        let first = ran.next().filter(|_| class.effect == Effect::Deduplicated);
        first.map_or(f64::INFINITY, |a| a.sent + class.repeat_window_ms - 2.0 * self.set.tick_ms)
    }
}
