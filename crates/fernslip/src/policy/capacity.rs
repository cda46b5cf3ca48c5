//! Capacity of nodes, from their measured bandwidth and slowdown, and the load on them.

use super::Router;
use super::{SLOWDOWN_OUTLIER_FACTOR, SLOW_NODE_SPEED_FACTOR, SLOW_START_SLOWDOWN_HALVING_MS};
use crate::api::*;
use crate::bandwidth::{AnswerSample, Bandwidth};
use crate::state::{mean_proven_capacity, Node};

impl Router {
    /// Factor by which a node's weight is reduced for being slower than its peers; 1 if it is not. It
    /// relieves parents that are slow, stalled or overloaded, and very slow cache nodes. The cost is that
    /// objects cached on a node that is merely busy are fetched again elsewhere.
    pub(super) fn speed_factor(&self, node: &Node) -> f64 {
        let count = self.peers_of(node).count().max(1) as f64;
        let mean_slowdown =
            self.peers_of(node).map(|peer| peer.slowdown_at(self.now_ms)).sum::<f64>() / count;
        if mean_slowdown > 0.0 {
            (SLOWDOWN_OUTLIER_FACTOR * mean_slowdown / node.slowdown_at(self.now_ms).max(0.01))
                .powi(2)
                .min(1.0)
        } else {
            1.0
        }
    }

    /// Whether a slow fill is explained by the cache node's own link: the node's hits are slow, and the
    /// fill's `slowdown` is not much larger than theirs.
    pub(super) fn has_congested_link(&self, node: &Node, slowdown: f64) -> bool {
        let own_slowdown = node.slowdown_at(self.now_ms);
        own_slowdown > SLOWDOWN_OUTLIER_FACTOR && slowdown < SLOWDOWN_OUTLIER_FACTOR * own_slowdown
    }

    /// Whether the node is so much slower than its peers that it is the sole cause of late fills.
    pub(super) fn is_slow(&self, node: &Node) -> bool {
        self.speed_factor(node) < SLOW_NODE_SPEED_FACTOR
    }

    /// Weight of the node in the hash order of homes: the listed weight, reduced during slow start and for
    /// low speed.
    pub(super) fn effective_weight(&self, node: &Node) -> f64 {
        node.listed_weight * self.capacity_fraction(node) * self.speed_factor(node)
    }

    /// Concurrent transfers at the full stream rate that the node carries when warm: its own `measured`
    /// bandwidth if the link was seen full, otherwise at least what its peers carry and the configured links
    /// imply.
    pub(super) fn warm_capacity(&self, node: &Node, measured: Bandwidth) -> f64 {
        let role = node.role as usize;
        let least = measured.capacity.max(1.0);
        if measured.saturated {
            least
        } else {
            least.max(self.typical_bandwidth[role]).max(self.expected_bandwidth[role])
        }
    }

    /// Concurrent transfers at the full stream rate that the node carries now. In slow start this is the
    /// larger of the configured ramp and the measured delivery rate.
    pub(super) fn current_capacity(&self, node: &Node) -> f64 {
        let by_ramp = self.warm_capacity(node, node.link.bandwidth) * self.capacity_fraction(node);
        by_ramp.max(node.link.delivery.rate(self.now_ms) * self.routers_sharing(node))
    }

    /// Updates a node's link with an answer: a cache node's link with its hits, a source's with the fills
    /// from it. `integral_when_sent` is the value of [`Router::in_flight_integral`] when the attempt was
    /// sent.
    pub(super) fn record_link_answer(
        &mut self,
        id: &CacheId,
        work_ms: f64,
        took_ms: f64,
        overhead_ms: f64,
        integral_when_sent: f64,
    ) {
        let now = self.now_ms;
        let open = (self.in_flight_integral(id) - integral_when_sent) / took_ms.max(1.0);
        let known = self.nodes.get(id);
        let routers = known.map_or(1.0, |node| self.routers_sharing(node));
        let warming_up = known.is_none_or(|node| self.slow_start(node).is_some());
        let Some(node) = self.nodes.get_mut(id).filter(|_| !warming_up) else { return };
        node.link.record_answer(now, AnswerSample { work_ms, took_ms, overhead_ms, open }, routers);
        let role = node.role as usize;
        self.typical_bandwidth[role] = mean_proven_capacity(self.nodes.values(), role);
    }

    /// Load on the node: the number of transfers in flight divided by its current capacity; 1 means full.
    pub(super) fn load(&self, node: &Node) -> f64 {
        let routers = f64::from(self.settings.routers_in_location());
        let counted = node.in_flight.estimate_all_routers(self.now_ms, routers) / self.current_capacity(node);
        if self.capacity_fraction(node) >= 1.0 {
            return counted;
        }
        // The slow-start ramp is only a lower bound on the node's capacity, and the traffic of other routers
        // is an estimate. The duration of the node's recent hits is better evidence of the load.
        let fading = (-(self.now_ms - node.slowdown_updated_ms) / SLOW_START_SLOWDOWN_HALVING_MS).exp2();
        let trust = fading * (1.0 - 1.0 / routers);
        counted + (counted.min(node.slowdown) - counted) * trust
    }
}
