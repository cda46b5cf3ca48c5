//! The watch over open attempts: nodes that have fallen silent, and fills that are late already.

use super::Router;
use super::{PACE_BASE_MS, PROBE_FRACTION, SILENCE_SURE, SILENT_MS, WATCH_MS};
use crate::api::*;
use crate::state::Role;
use std::collections::BTreeSet;

/// An open fill that has taken longer than its latency objective.
struct LateFill {
    target: CacheId,
    source: CacheId,
    /// How many times its time at full pace it has taken so far.
    pace: f64,
}

impl Router {
    /// Cancels what waits at a silent node, so that it can be retried elsewhere while there is time. Guards
    /// against nodes that vanish, partitions and long stalls. Harm: a stall just longer than `SILENT_MS`
    /// costs a retry.
    pub(super) fn find_silent_nodes(&mut self, out: &mut Vec<Action>) {
        self.watch_timer_set = !self.requests.is_empty();
        if !self.watch_timer_set {
            return;
        }
        out.push(Action::Timer { delay_ms: WATCH_MS, token: 0 });
        let mut late_fills = Vec::new();
        let silent = self.scan_open_attempts(&mut late_fills, out);
        for fill in late_fills {
            self.learn_from_late_fill(&fill);
        }
        for id in &silent {
            self.schedule_probe(id);
            self.report_evidence(id, Sign::Silent, SILENCE_SURE, out);
        }
    }

    /// Cancels idempotent attempts at silent nodes, which it returns, and collects fills that have become late.
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
                    let pace = took_ms / (req.work_ms + PACE_BASE_MS);
                    let (target, source) = (attempt.cache.clone(), attempt.source.clone());
                    late_fills.push(LateFill { target, source, pace });
                }
            }
            if self.settings.classes[req.request.class].effect != Effect::Idempotent {
                continue;
            }
            let least_ms = SILENT_MS * PROBE_FRACTION + req.work_ms;
            for (n, attempt) in req.attempts.iter_mut().enumerate() {
                let due = attempt.open && !attempt.cancelled && now > attempt.sent + least_ms;
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

    /// A fill that is late already tells now what its end would tell when the client has disconnected.
    fn learn_from_late_fill(&mut self, fill: &LateFill) {
        let now = self.now_ms;
        let slow = |id: &CacheId| self.nodes.get(id).is_some_and(|node| self.is_slow(node));
        let target = self.nodes.get(&fill.target);
        if slow(&fill.target) || target.is_some_and(|node| self.is_congested(node, fill.pace)) {
            return;
        }
        if !slow(&fill.source) {
            self.fill_limiter.record_late(now, f64::from(self.settings.near_routers()));
        }
        if let Some(node) = self.nodes.get_mut(&fill.source).filter(|node| node.role != Role::Edge) {
            node.record_pace(now, fill.pace.max(node.pace_at(now)));
        }
    }
}
