//! Periodic check of the open attempts for silent nodes and for fills that are already late.

use super::Router;
use super::{
    FILL_OVERHEAD_MS, PROBE_TIMEOUT_FRACTION, SILENCE_CHECK_INTERVAL_MS, SILENCE_TIMEOUT_MS,
    UNRESPONSIVE_EVIDENCE_STRENGTH,
};
use crate::api::*;
use crate::state::Role;
use std::collections::BTreeSet;

/// Open fill that has exceeded its latency objective.
struct LateFill {
    target: CacheId,
    source: CacheId,
    /// Duration of the fill so far, divided by its duration at the full stream rate.
    slowdown: f64,
}

impl Router {
    /// Cancels attempts at silent nodes so that they can be retried elsewhere in time, and records fills that
    /// are late. This handles nodes that vanish, network partitions and long stalls. The cost is a retry for
    /// a stall that is only slightly longer than `SILENCE_TIMEOUT_MS`.
    pub(super) fn check_for_silent_nodes(&mut self, out: &mut Vec<Action>) {
        self.silence_timer_set = !self.requests.is_empty();
        if !self.silence_timer_set {
            return;
        }
        out.push(Action::Timer { delay_ms: SILENCE_CHECK_INTERVAL_MS, token: 0 });
        let mut late_fills = Vec::new();
        let silent = self.scan_open_attempts(&mut late_fills, out);
        for fill in late_fills {
            self.learn_from_late_fill(&fill);
        }
        for id in &silent {
            self.schedule_probe(id);
            self.report_evidence(id, Sign::Silent, UNRESPONSIVE_EVIDENCE_STRENGTH, out);
        }
    }

    /// Cancels idempotent attempts at silent nodes, adds newly late fills to `late_fills`, and returns the
    /// silent nodes.
    fn scan_open_attempts(
        &mut self,
        late_fills: &mut Vec<LateFill>,
        out: &mut Vec<Action>,
    ) -> BTreeSet<CacheId> {
        let now = self.now_ms;
        let mut silent = BTreeSet::new();
        for (&id, req) in self.requests.iter_mut().filter(|(_, r)| !r.finished) {
            for attempt in req.attempts.iter_mut().filter(|a| a.is_open_fill()) {
                let took_ms = now - attempt.sent;
                if took_ms > req.objective_ms && !std::mem::replace(&mut attempt.late, true) {
                    let slowdown = took_ms / (req.work_ms + FILL_OVERHEAD_MS);
                    let (target, source) = (attempt.cache.clone(), attempt.source.clone());
                    late_fills.push(LateFill { target, source, slowdown });
                }
            }
            if self.settings.classes[req.request.class].effect != Effect::Idempotent {
                continue;
            }
            let min_wait_ms = SILENCE_TIMEOUT_MS * PROBE_TIMEOUT_FRACTION + req.work_ms;
            for (n, attempt) in req.attempts.iter_mut().enumerate() {
                let due = attempt.open && !attempt.cancelled && now > attempt.sent + min_wait_ms;
                if due && self.nodes.get(&attempt.cache).is_some_and(|node| node.is_silent(now)) {
                    attempt.cancelled = true;
                    req.excluded.insert(attempt.cache.clone());
                    out.push(Action::Cancel { id, attempt: n as u32 });
                    silent.insert(attempt.cache.clone());
                }
            }
        }
        silent
    }

    /// Learns from a fill that is late but still open, because its outcome may come only after the client has
    /// disconnected.
    fn learn_from_late_fill(&mut self, fill: &LateFill) {
        let now = self.now_ms;
        let slow = |id: &CacheId| self.nodes.get(id).is_some_and(|node| self.is_slow(node));
        let target = self.nodes.get(&fill.target);
        if slow(&fill.target) || target.is_some_and(|node| self.has_congested_link(node, fill.slowdown)) {
            return;
        }
        if !slow(&fill.source) {
            self.fill_limiter.record_late_fill(now, f64::from(self.settings.routers_in_location()));
        }
        if let Some(node) = self.nodes.get_mut(&fill.source).filter(|node| node.role != Role::Edge) {
            node.record_slowdown(now, fill.slowdown.max(node.slowdown_at(now)));
        }
    }
}
