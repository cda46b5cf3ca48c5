//! The host of the decision module's facade: connects it to the cache nodes' connections, the peers, the
//! gossip and the log.

use crate::control::evidence::EvidenceQueue;
use crate::peers::Peers;
use crate::upstream::connection_pool::ConnectionPool;
use crate::upstream::node_registry::NodeRegistry;
use crate::upstream::waiter::BlockerWaiter;
use fernslip::facade::{Host, Waiter};
use fernslip::{CacheId, Effect, Entry, RequestId, Sign};
use fernslip_pool::Endpoint;
use may::sync::Blocker;
use std::sync::Arc;

/// The facade's host: carries out what a dispatcher does outside of the decision module.
pub struct DispatchHost {
    pub(crate) upstream: Arc<ConnectionPool>,
    pub(crate) peers: Option<Arc<Peers>>,
    pub(crate) registry: Arc<NodeRegistry>,
    /// Whether requests may be repeated, for each class in the order of the settings.
    pub(crate) effects: Arc<[Effect]>,
    pub(crate) evidence: EvidenceQueue,
    /// Kinds of cache nodes that are sources of fills: that of parents and that of the origin.
    pub(crate) sources: [Option<usize>; 2],
}

impl DispatchHost {
    /// Converts a pool's endpoint into an entry of the decision module's endpoint list; `mean_weight` is
    /// the mean weight of the pool's members.
    pub(crate) fn endpoint_list_entry(&self, endpoint: &Endpoint, mean_weight: f64) -> Entry {
        self.registry.endpoint_list_entry(endpoint, mean_weight)
    }

    /// Whether cache nodes of this kind are parents or the origin.
    pub(crate) fn is_source(&self, kind: Option<usize>) -> bool {
        kind.is_some() && self.sources.contains(&kind)
    }

    /// Whether requests of this class may be repeated; those of an unknown class may not.
    pub(crate) fn class_effect(&self, class: usize) -> Effect {
        self.effects.get(class).copied().unwrap_or(Effect::AtMostOnce)
    }
}

impl Host for DispatchHost {
    fn waiter(&self) -> Arc<dyn Waiter> {
        Arc::new(BlockerWaiter(Blocker::current()))
    }

    fn cancel(&self, id: RequestId, attempt: u32) {
        self.upstream.wake_cancelled(id, attempt);
    }

    fn send_to_peer(&self, to: u32, data: &[u8]) {
        if let Some(peers) = &self.peers {
            peers.send_to(to, data);
        }
    }

    fn send_to_all_peers(&self, data: &[u8]) {
        if let Some(peers) = &self.peers {
            peers.broadcast(data);
        }
    }

    fn draining(&self, caches: &[CacheId]) {
        self.upstream.withdraw_attempts_of_nodes(caches);
    }

    fn purged(&self, requests: &[RequestId]) {
        requests.iter().for_each(|id| self.upstream.withdraw_attempt(*id));
    }

    fn report_evidence(&self, cache: &CacheId, sign: Sign, strength: f64) {
        self.evidence.push(cache, sign, strength);
    }

    fn log(&self, line: &str) {
        tracing::info!("module: {line}");
    }
}
