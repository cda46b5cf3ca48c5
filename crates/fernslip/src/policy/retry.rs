//! Retry rules: which requests may be sent again by their effect class, until when, and the Retry-After hint
//! of a rejection.

use super::Router;
use super::MEAN_RETRY_AFTER_MS;
use crate::api::*;
use crate::rendezvous::jitter_factor;
use crate::state::{Attempt, Node, PendingRequest};

impl Router {
    /// Retry-After hint of a rejection, in milliseconds, with jitter so that clients do not return at the
    /// same time.
    pub(super) fn retry_after_ms(&mut self) -> f64 {
        (MEAN_RETRY_AFTER_MS * jitter_factor(&mut self.seed)).min(self.settings.max_retry_after_ms)
    }

    /// Whether the rules of its class allow this request to be sent to the node `to` now.
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
                same_group && self.now_ms < self.retry_window_end_ms(req)
            }
        }
    }

    /// Time by which a repeat must begin, in milliseconds on the caller's clock, because nodes recognise
    /// repeats only within the class's `repeat_window_ms`. Infinite if nodes do not deduplicate the class's
    /// requests or no attempt may have run.
    pub(super) fn retry_window_end_ms(&self, req: &PendingRequest) -> f64 {
        let class = &self.settings.classes[req.request.class];
        let first_run = req.attempts.iter().find(|a| a.may_have_run());
        let first_run = first_run.filter(|_| class.effect == Effect::Deduplicated);
        let window_end = |first: &Attempt| first.sent + class.repeat_window_ms - 2.0 * self.settings.tick_ms;
        first_run.map_or(f64::INFINITY, window_end)
    }
}
