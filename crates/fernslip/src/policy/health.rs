//! Health of nodes: evidence, ejection of outliers, readmission, and the schedule of probes.

use super::Router;
use super::{
    EJECT_FAILURE_RATE, FAILURE_RATE_SMOOTHING, FIRST_PROBE_DELAY_MS, MAX_EJECTED_FRACTION,
    MAX_PEER_SUSPICION, MIN_EVIDENCE_FAILURE_RATE, OUTLIER_FACTOR, PROBE_INTERVAL_MS, READMIT_FAILURE_RATE,
    SAME_FAILURE_WINDOW_MS,
};
use crate::api::*;
use crate::rendezvous::jitter_factor;
use crate::state::{Node, Role};

/// Health of a node's peers: the other nodes in service that have the same role.
struct PeerHealth {
    count: f64,
    ejected: f64,
    /// Mean of the peers' failure rates; 1 if there are no peers.
    mean_failure_rate: f64,
}

impl Router {
    /// Sets the suspicion that other routers' gossip raises against a node. Above 0, the node receives fewer
    /// homes and is ejected after fewer failures; below 0, it is probed at once. Gossip alone never ejects or
    /// readmits a node.
    pub(super) fn set_peer_suspicion(&mut self, id: &CacheId, amount: f64) {
        let Some(node) = self.nodes.get_mut(id).filter(|_| amount.is_finite()) else { return };
        node.peer_suspicion = amount.clamp(-MAX_PEER_SUSPICION, MAX_PEER_SUSPICION);
        if node.peer_suspicion < 0.0 {
            node.next_probe_ms = node.next_probe_ms.min(self.now_ms);
        }
    }

    /// Reports evidence on a node to other routers, if evidence is enabled and `strength` is above 0. A
    /// strength above 1 is reported as 1.
    pub(super) fn report_evidence(&self, cache: &CacheId, sign: Sign, strength: f64, out: &mut Vec<Action>) {
        if self.evidence_enabled && strength > 0.0 {
            out.push(Action::Evidence { cache: cache.clone(), sign, strength: strength.min(1.0) });
        }
    }

    /// Records evidence on a node. `blame` is 0 for a success, 1 for a failure of its own, between 0 and 1
    /// for a failure that may have another cause, and above 1 for a failure that weighs more than one.
    pub(super) fn record_evidence(&mut self, id: &CacheId, blame: f64, out: &mut Vec<Action>) {
        let Some(node) = self.nodes.get(id) else { return };
        let peers = self.peer_health(node);
        let now = self.now_ms;
        let Some(node) = self.nodes.get_mut(id) else { return };
        if blame > 0.0 && now - node.last_failure >= SAME_FAILURE_WINDOW_MS {
            node.last_failure = now;
            node.failure_rate += (FAILURE_RATE_SMOOTHING * blame).min(1.0) * (1.0 - node.failure_rate);
            if should_eject(node, &peers) {
                node.ejected = true;
                node.next_probe_ms = now + FIRST_PROBE_DELAY_MS;
                let percent = node.failure_rate * 100.0;
                out.push(Action::Log(format!("{} fails {percent:.0}%: trials only", id.0)));
            }
        } else if blame == 0.0 {
            node.failure_rate *= 1.0 - FAILURE_RATE_SMOOTHING;
            if node.ejected && node.failure_rate < READMIT_FAILURE_RATE {
                node.ejected = false;
                out.push(Action::Log(format!("{} answers again: back in use", id.0)));
            }
        }
        let (failure_rate, suspected) = (node.failure_rate, node.peer_suspicion != 0.0);
        if blame > 0.0 {
            let strength = (failure_rate - MIN_EVIDENCE_FAILURE_RATE) / EJECT_FAILURE_RATE;
            self.report_evidence(id, Sign::Failing, strength, out);
        } else {
            // Good evidence is reported only if the node is under suspicion or has failed recently.
            let contested = suspected || failure_rate > MIN_EVIDENCE_FAILURE_RATE;
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

    /// Schedules this router's next half-open probe of a node. The routers of a location together probe about
    /// once per `PROBE_INTERVAL_MS`, with jitter that keeps them out of step.
    pub(super) fn schedule_probe(&mut self, id: &CacheId) {
        let jitter = jitter_factor(&mut self.seed);
        let routers_in_location = f64::from(self.settings.routers_in_location());
        let now = self.now_ms;
        if let Some(node) = self.nodes.get_mut(id) {
            let routers = if node.role == Role::Edge { routers_in_location } else { 1.0 };
            node.next_probe_ms = now + PROBE_INTERVAL_MS * jitter * routers;
        }
    }
}

/// Whether a node is to be ejected: its failure rate is high in itself and compared with its peers, and
/// enough peers remain in use.
fn should_eject(node: &Node, peers: &PeerHealth) -> bool {
    !node.ejected
        && node.failure_rate > EJECT_FAILURE_RATE * (1.0 - node.peer_suspicion.max(0.0))
        && node.failure_rate > OUTLIER_FACTOR * peers.mean_failure_rate
        && peers.ejected < (peers.count + 1.0) * MAX_EJECTED_FRACTION
}
