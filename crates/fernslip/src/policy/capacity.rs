//! Capacity: the learned bandwidth and pace of nodes, and the load that is put on them.

use super::Router;
use super::{PACE_SEEN_MS, SLOW, SLOW_FRACTION};
use crate::api::*;
use crate::bandwidth::{Answer, Bandwidth};
use crate::state::{mean_proven_capacity, Node};

impl Router {
    /// The share of its weight that remains to a node slower than its peers, up to 1. Guards against parents that
    /// slow, pause or crowd, and caches that crawl. Harm: what a merely busy one has is fetched anew.
    pub(super) fn speed_factor(&self, node: &Node) -> f64 {
        let count = self.peers_of(node).count().max(1) as f64;
        let mean_pace = self.peers_of(node).map(|peer| peer.pace_at(self.now_ms)).sum::<f64>() / count;
        if mean_pace > 0.0 {
            (SLOW * mean_pace / node.pace_at(self.now_ms).max(0.01)).powi(2).min(1.0)
        } else {
            1.0
        }
    }

    /// Whether what went through a cache took no longer than its hits do: its own link is the congested one.
    pub(super) fn is_congested(&self, node: &Node, pace: f64) -> bool {
        let own_pace = node.pace_at(self.now_ms);
        own_pace > SLOW && pace < SLOW * own_pace
    }

    /// Whether it is so much slower than its peers that it alone is to blame for late fills.
    pub(super) fn is_slow(&self, node: &Node) -> bool {
        self.speed_factor(node) < SLOW_FRACTION
    }

    /// Its weight in the hash order of homes: as listed, less what it lacks in warmth and speed.
    pub(super) fn effective_weight(&self, node: &Node) -> f64 {
        node.listed_weight * self.capacity_fraction(node) * self.speed_factor(node)
    }

    /// How many transfers at full pace it carries when warm: as it showed, else as its peers did, else as known links
    /// let expect.
    pub(super) fn warm_capacity(&self, node: &Node, shown: Bandwidth) -> f64 {
        let role = node.role as usize;
        let least = shown.capacity.max(1.0);
        if shown.saturated {
            least
        } else {
            least.max(self.typical_bandwidth[role]).max(self.expected_bandwidth[role])
        }
    }

    /// What it carries now. In slow start it carries at least what the settings say, and what it has shown.
    pub(super) fn current_capacity(&self, node: &Node) -> f64 {
        let by_ramp = self.warm_capacity(node, node.link.bandwidth) * self.capacity_fraction(node);
        by_ramp.max(node.link.delivery.rate(self.now_ms) * self.sharers(node))
    }

    /// Takes in what an answer shows of a link: a cache's by its hits, a source's by the fills from it.
    /// `total_when_sent` is what [`Router::in_flight_total`] was when the attempt was sent.
    pub(super) fn measure(
        &mut self,
        id: &CacheId,
        work_ms: f64,
        took_ms: f64,
        base_ms: f64,
        total_when_sent: f64,
    ) {
        let now = self.now_ms;
        let open = (self.in_flight_total(id) - total_when_sent) / took_ms.max(1.0);
        let known = self.nodes.get(id);
        let routers = known.map_or(1.0, |node| self.sharers(node));
        let warming_up = known.is_none_or(|node| self.slow_start(node).is_some());
        let Some(node) = self.nodes.get_mut(id).filter(|_| !warming_up) else { return };
        node.link.record_answer(now, Answer { work_ms, took_ms, base_ms, open }, routers);
        let role = node.role as usize;
        self.typical_bandwidth[role] = mean_proven_capacity(self.nodes.values(), role);
    }

    /// How many times the transfers that it carries are in flight there: 1 is full.
    pub(super) fn load(&self, node: &Node) -> f64 {
        let routers = f64::from(self.settings.near_routers());
        let counted = node.in_flight.estimate_all(self.now_ms, routers) / self.current_capacity(node);
        if self.capacity_fraction(node) >= 1.0 {
            return counted;
        }
        // Its ramp is the least it may have, and others' shares are a guess: what its hits took tells more.
        let fading = (-(self.now_ms - node.pace_updated) / PACE_SEEN_MS).exp2();
        let trust = fading * (1.0 - 1.0 / routers);
        counted + (counted.min(node.pace) - counted) * trust
    }
}
