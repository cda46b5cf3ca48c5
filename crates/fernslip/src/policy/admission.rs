//! Admission of cache nodes in slow start: the share of their capacity that this router may use.

use super::Router;
use super::{SLOW_START_TOKEN_USE, SLOW_START_USE};
use crate::slow_start::SlowStart;
use crate::state::{Node, PendingRequest, Role};

impl Router {
    /// How the node warms up, and the part of its capacity that all routers together use; `None`: it is warm.
    pub(super) fn slow_start(&self, node: &Node) -> Option<SlowStart> {
        let ramp = self.settings.slow_start(node.role == Role::Parent);
        let age_ms = self.now_ms - node.started_ms;
        let warming_up = node.started_ms > 0.0 && node.role != Role::Origin && age_ms < ramp.duration_ms;
        let rate = ramp.multiple * self.warm_capacity(node, node.link.proven) * SLOW_START_USE;
        warming_up.then_some(SlowStart { rate, ..ramp })
    }

    /// Share of its full capacity that the node has by now, from 0.001 to 1; 1 once it is warm.
    pub(super) fn capacity_fraction(&self, node: &Node) -> f64 {
        self.slow_start(node).map_or(1.0, |ramp| ramp.capacity_fraction(self.now_ms - node.started_ms))
    }

    /// Whether a node in slow start can be sent one more request within its capacity, which the routers that reach
    /// it share.
    pub(super) fn has_slow_start_capacity(&self, node: &Node, req: &PendingRequest) -> bool {
        let Some(ramp) = self.slow_start(node) else { return true };
        let (near, own_slot) = (self.settings.near_routers(), self.settings.slot);
        let (slot, routers) = match node.role {
            Role::Parent => (own_slot, self.settings.routers.max(1)),
            _ => (self.peers.index(own_slot, near), near),
        };
        let window_ms = self.settings.slow_start_window_ms;
        let age_ms = self.now_ms - node.started_ms;
        let spent_ms = node.sent_within(self.now_ms, window_ms);
        let ramp_quota_ms = ramp.rate * ramp.capacity_fraction(age_ms) * window_ms / f64::from(routers);
        // What a router saw the node send lately it can send now, and may be requested within the same multiple.
        // One of several routers goes by that only where it knows no bandwidth: two ways at once would add up.
        let no_other_measure = routers == 1
            || !node.link.bandwidth.saturated && self.typical_bandwidth[node.role as usize] == 0.0;
        let proven_rate = if no_other_measure { node.link.delivery.rate(self.now_ms) } else { 0.0 };
        let quota_ms = ramp_quota_ms.max(ramp.multiple * SLOW_START_USE * proven_rate * window_ms);
        let cost_ms = self.mean_work_ms[req.request.class];
        let token_ms = self.mean_work_ms.iter().copied().fold(cost_ms, f64::max);
        if quota_ms >= token_ms {
            return spent_ms + cost_ms <= quota_ms;
        }
        // Less than a request for each router: by tokens. A token is good for a window, so those of two windows
        // may meet in one.
        let ramp = SlowStart { rate: ramp.rate * SLOW_START_TOKEN_USE / SLOW_START_USE, ..ramp };
        let tokens = ramp.tokens(age_ms, window_ms, token_ms, slot, routers);
        // What remains of a token after a small request is good for a large one, or most of it would be lost.
        spent_ms + cost_ms.min(token_ms / 2.0) <= token_ms * f64::from(tokens)
    }
}
