//! Slow start of cache nodes and parents: how much of a node's rising capacity this router may use.

use super::Router;
use super::{SLOW_START_TOKEN_UTILIZATION, SLOW_START_UTILIZATION};
use crate::slow_start::SlowStart;
use crate::state::{Node, PendingRequest, Role};

impl Router {
    /// Slow-start parameters of the node, with the rate that all routers together may use; `None` once the
    /// node is warm.
    pub(super) fn slow_start(&self, node: &Node) -> Option<SlowStart> {
        let ramp = self.settings.slow_start(node.role == Role::Parent);
        let age_ms = self.now_ms - node.started_ms;
        let warming_up = node.started_ms > 0.0 && node.role != Role::Origin && age_ms < ramp.duration_ms;
        let rate = ramp.multiple * self.warm_capacity(node, node.link.proven) * SLOW_START_UTILIZATION;
        warming_up.then_some(SlowStart { rate, ..ramp })
    }

    /// Fraction of its full capacity that the node has now, from 0.001 to 1; 1 once it is warm.
    pub(super) fn capacity_fraction(&self, node: &Node) -> f64 {
        self.slow_start(node).map_or(1.0, |ramp| ramp.capacity_fraction(self.now_ms - node.started_ms))
    }

    /// Whether one more request fits into this router's part of the capacity of a node in slow start. Always
    /// true for a warm node.
    pub(super) fn has_slow_start_capacity(&self, node: &Node, req: &PendingRequest) -> bool {
        let Some(ramp) = self.slow_start(node) else { return true };
        let (near, own_slot) = (self.settings.routers_in_location(), self.settings.slot);
        let (slot, routers) = match node.role {
            Role::Parent => (own_slot, self.settings.routers.max(1)),
            _ => (self.peers.index_in_location(own_slot, near), near),
        };
        let window_ms = self.settings.slow_start_window_ms;
        let age_ms = self.now_ms - node.started_ms;
        let spent_ms = node.work_sent_within(self.now_ms, window_ms);
        let ramp_quota_ms = ramp.rate * ramp.capacity_fraction(age_ms) * window_ms / f64::from(routers);
        // A node can deliver at least the rate that this router recently received from it, and tolerates the
        // slow-start multiple of that rate. With several routers the delivery rate is used only if no
        // bandwidth is known, because the quotas from both measures would add up.
        let no_other_measure = routers == 1
            || !node.link.bandwidth.saturated && self.typical_bandwidth[node.role as usize] == 0.0;
        let proven_rate = if no_other_measure { node.link.delivery.rate(self.now_ms) } else { 0.0 };
        let quota_ms = ramp_quota_ms.max(ramp.multiple * SLOW_START_UTILIZATION * proven_rate * window_ms);
        let cost_ms = self.mean_work_ms[req.request.class];
        let token_ms = self.mean_work_ms.iter().copied().fold(cost_ms, f64::max);
        if quota_ms >= token_ms {
            return spent_ms + cost_ms <= quota_ms;
        }
        // The quota is less than one request per router, so requests are admitted by tokens. A token is
        // valid for one window; the tokens of two adjacent windows may be spent together.
        let ramp =
            SlowStart { rate: ramp.rate * SLOW_START_TOKEN_UTILIZATION / SLOW_START_UTILIZATION, ..ramp };
        let tokens = ramp.tokens_in_window(age_ms, window_ms, token_ms, slot, routers);
        // After a small request, the rest of a token admits a large one; otherwise most of the token would be
        // lost.
        spent_ms + cost_ms.min(token_ms / 2.0) <= token_ms * f64::from(tokens)
    }
}
