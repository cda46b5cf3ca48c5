//! What the decision crate's facade reaches through its host: sockets to cache nodes, peers, gossip and the log.

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

/// The facade's host: carries out what a dispatcher wants done outside of it.
pub struct DispatchHost {
    pub(crate) upstream: Arc<ConnectionPool>,
    pub(crate) peers: Option<Arc<Peers>>,
    pub(crate) registry: Arc<NodeRegistry>,
    /// By class, in the order of the settings.
    pub(crate) effects: Arc<[Effect]>,
    pub(crate) evidence: EvidenceQueue,
    /// The kinds of cache nodes that are sources of fills: the parents' and the origin's.
    pub(crate) sources: [Option<usize>; 2],
}

impl DispatchHost {
    /// A pool's cache node as the decision crate's endpoint list has it; `mean` is the pool's mean weight.
    pub(crate) fn entry(&self, m: &Endpoint, mean: f64) -> Entry {
        self.registry.entry(m, mean)
    }

    /// Whether cache nodes of that kind are parents or the origin.
    pub(crate) fn is_source(&self, kind: Option<usize>) -> bool {
        kind.is_some() && self.sources.contains(&kind)
    }

    /// What may be repeated of a class; nothing of one that is not known.
    pub(crate) fn effect(&self, class: usize) -> Effect {
        self.effects.get(class).copied().unwrap_or(Effect::AtMostOnce)
    }
}

impl Host for DispatchHost {
    fn waiter(&self) -> Arc<dyn Waiter> {
        Arc::new(BlockerWaiter(Blocker::current()))
    }

    fn cancel(&self, id: RequestId, attempt: u32) {
        self.upstream.cancel(id, attempt);
    }

    fn send_to_peer(&self, to: u32, data: &[u8]) {
        if let Some(p) = &self.peers {
            p.send_to(to, data);
        }
    }

    fn send_to_all_peers(&self, data: &[u8]) {
        if let Some(p) = &self.peers {
            p.broadcast(data);
        }
    }

    fn draining(&self, caches: &[CacheId]) {
        self.upstream.drain_nodes(caches);
    }

    fn purged(&self, requests: &[RequestId]) {
        requests.iter().for_each(|id| self.upstream.withdraw(*id));
    }

    fn evidence(&self, cache: &CacheId, sign: Sign, strength: f64) {
        self.evidence.push(cache, sign, strength);
    }

    fn log(&self, line: &str) {
        tracing::info!("module: {line}");
    }
}
