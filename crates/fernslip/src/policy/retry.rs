//! Retry rules: which effect classes may be sent again, until when, and the Retry-After hint of a rejection.

use super::Router;
use super::RETRY_AFTER_MS;
use crate::api::*;
use crate::rendezvous::spread;
use crate::state::{Attempt, Node, PendingRequest};

impl Router {
    /// When a rejected client may come back, in milliseconds, spread so that clients don't return as one wave.
    pub(super) fn retry_after_ms(&mut self) -> f64 {
        (RETRY_AFTER_MS * spread(&mut self.seed)).min(self.settings.max_retry_after_ms)
    }

    /// Whether its class lets this request be sent to that node now.
    pub(super) fn may_attempt_at(&self, req: &PendingRequest, to: &Node) -> bool {
        let class = &self.settings.classes[req.request.class];
        let first_run = req.attempts.iter().find(|a| a.may_have_run());
        match (class.effect, first_run) {
            (Effect::Idempotent, _) | (_, None) => true,
            (Effect::AtMostOnce, Some(_)) => false,
            (Effect::Deduplicated, Some(first)) => {
                let same_group = self.nodes.get(&first.cache).is_some_and(|node| match class.scope {
                    DedupScope::All => true,
                    DedupScope::Zone => node.zone == to.zone,
                    DedupScope::Cell => node.cell == to.cell,
                });
                same_group && self.now_ms < self.retry_window_end(req)
            }
        }
    }

    /// When a repeat must have begun, on the events' clock: nodes recognise it up to the end of their window alone.
    /// Infinite where the class sets no such window or nothing has run.
    pub(super) fn retry_window_end(&self, req: &PendingRequest) -> f64 {
        let class = &self.settings.classes[req.request.class];
        let first_run = req.attempts.iter().find(|a| a.may_have_run());
        let first_run = first_run.filter(|_| class.effect == Effect::Deduplicated);
        let window_end = |first: &Attempt| first.sent + class.repeat_window_ms - 2.0 * self.settings.tick_ms;
        first_run.map_or(f64::INFINITY, window_end)
    }
}
