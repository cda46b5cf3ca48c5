//! Health: evidence on cache nodes, ejection of outliers, re-admission, and when an ejected node is probed next.

use super::Router;
use super::{
    EJECT_ABOVE, EVIDENCE_FROM, FIRST_PROBE_MS, HEALTH_STEP, MAX_EJECTED_FRACTION, MAX_PEER_SUSPICION,
    OUTLIER, PROBE_INTERVAL_MS, READMIT_BELOW, SAME_FAILURE_MS,
};
use crate::api::*;
use crate::rendezvous::spread;
use crate::state::{Node, Role};

/// What a node's peers of the same role look like.
struct PeerHealth {
    count: f64,
    ejected: f64,
    /// Mean of their failure rates; 1 where there are none.
    mean_failure_rate: f64,
}

impl Router {
    /// Other routers' gossip on a node: above 0 it gets fewer homes and is ejected after fewer failures, below 0 it
    /// is probed at once. It never ejects or re-admits by itself.
    pub(super) fn peer_suspicion(&mut self, id: &CacheId, amount: f64) {
        let Some(node) = self.nodes.get_mut(id).filter(|_| amount.is_finite()) else { return };
        node.peer_suspicion = amount.clamp(-MAX_PEER_SUSPICION, MAX_PEER_SUSPICION);
        if node.peer_suspicion < 0.0 {
            node.next_probe_ms = node.next_probe_ms.min(self.now_ms);
        }
    }

    /// Hands evidence to other routers, where that is enabled and `strength` is above 0 (1 at the most).
    pub(super) fn report_evidence(&self, cache: &CacheId, sign: Sign, strength: f64, out: &mut Vec<Action>) {
        if self.evidence_enabled && strength > 0.0 {
            out.push(Action::Evidence { cache: cache.clone(), sign, strength: strength.min(1.0) });
        }
    }

    /// One piece of evidence on a node: 0 good, 1 a failure of its own, between: perhaps its own.
    pub(super) fn record_evidence(&mut self, id: &CacheId, blame: f64, out: &mut Vec<Action>) {
        let Some(node) = self.nodes.get(id) else { return };
        let peers = self.peer_health(node);
        let now = self.now_ms;
        let Some(node) = self.nodes.get_mut(id) else { return };
        if blame > 0.0 && now - node.last_failure >= SAME_FAILURE_MS {
            node.last_failure = now;
            node.failure_rate += (HEALTH_STEP * blame).min(1.0) * (1.0 - node.failure_rate);
            if is_to_be_ejected(node, &peers) {
                node.ejected = true;
                node.next_probe_ms = now + FIRST_PROBE_MS;
                let percent = node.failure_rate * 100.0;
                out.push(Action::Log(format!("{} fails {percent:.0}%: trials only", id.0)));
            }
        } else if blame == 0.0 {
            node.failure_rate *= 1.0 - HEALTH_STEP;
            if node.ejected && node.failure_rate < READMIT_BELOW {
                node.ejected = false;
                out.push(Action::Log(format!("{} answers again: back in use", id.0)));
            }
        }
        let (failure_rate, suspected) = (node.failure_rate, node.peer_suspicion != 0.0);
        if blame > 0.0 {
            let strength = (failure_rate - EVIDENCE_FROM) / EJECT_ABOVE;
            self.report_evidence(id, Sign::Failing, strength, out);
        } else {
            // That it is well is worth saying only where something speaks against it.
            let contested = suspected || failure_rate > EVIDENCE_FROM;
            let strength = if contested { 1.0 - failure_rate } else { 0.0 };
            self.report_evidence(id, Sign::Well, strength, out);
        }
    }

    fn peer_health(&self, node: &Node) -> PeerHealth {
        let count = self.peers_of(node).count() as f64;
        let ejected = self.peers_of(node).filter(|peer| peer.ejected).count() as f64;
        let mean_failure_rate = if count > 0.0 {
            self.peers_of(node).map(|peer| peer.failure_rate).sum::<f64>() / count
        } else {
            1.0
        };
        PeerHealth { count, ejected, mean_failure_rate }
    }

    /// Sets this router's next half-open probe of a node: the routers of a location keep to `PROBE_INTERVAL_MS`
    /// together, and out of step.
    pub(super) fn schedule_probe(&mut self, id: &CacheId) {
        let spread = spread(&mut self.seed);
        let near_routers = f64::from(self.settings.near_routers());
        let now = self.now_ms;
        if let Some(node) = self.nodes.get_mut(id) {
            let routers = if node.role == Role::Edge { near_routers } else { 1.0 };
            node.next_probe_ms = now + PROBE_INTERVAL_MS * spread * routers;
        }
    }
}

/// Whether a node fails often enough, by itself and beside its peers, while enough of them remain.
fn is_to_be_ejected(node: &Node, peers: &PeerHealth) -> bool {
    !node.ejected
        && node.failure_rate > EJECT_ABOVE * (1.0 - node.peer_suspicion.max(0.0))
        && node.failure_rate > OUTLIER * peers.mean_failure_rate
        && peers.ejected < (peers.count + 1.0) * MAX_EJECTED_FRACTION
}
