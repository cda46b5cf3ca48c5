//! What all parts of a running front share.

use crate::clock::Clock;
use crate::discovery_watch::DiscoveryWatch;
use crate::gossip::GossipService;
use crate::invariants::Invariants;
use crate::manual_exclusion::ManualExclusions;
use crate::metrics::Metrics;
use crate::peers::Peers;
use crate::reason_counts::ReasonCounts;
use crate::server::Server;
use crate::upstream::connection_pool::ConnectionPool;
use crate::upstream::dispatch_queues::DispatchQueues;
use crate::view::Fleet;
use crate::wall_clock::WallClock;
use fernslip::json::Names;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// Without an endpoint list for so long the front reports itself ready all the same: what delays the list must not hold
/// up the platform's release. Requests are rejected at once until the list has come.
const LIST_WAIT: Duration = Duration::from_millis(1000);

/// What all parts of a front share.
pub struct Shared {
    /// Module time.
    pub clock: Clock,
    /// The wall clock beside it.
    pub wall_clock: WallClock,
    /// Names in the settings.
    pub names: Names,
    /// The pools, each in front of its decisions.
    pub queues: DispatchQueues,
    /// Connections to cache nodes.
    pub upstream: Arc<ConnectionPool>,
    /// The clients' connections.
    pub server: Server,
    /// Gossip with other fronts, if the site document has it.
    pub gossip: Option<Arc<GossipService>>,
    /// The membership view of the fleet, if the site document has it.
    pub fleet: Option<Arc<Fleet>>,
    /// Messages between fronts, if there are peers.
    pub peers: Option<Arc<Peers>>,
    /// The event bus.
    pub bus: DiscoveryWatch,
    /// The endpoint list has come.
    pub endpoints_listed: AtomicBool,
    /// SIGTERM came.
    pub(crate) shutting_down: AtomicBool,
    /// Counters for the operators.
    pub metrics: Metrics,
    /// Why things happened, by kind and reason.
    pub reason_counts: Arc<ReasonCounts>,
    /// What must hold, and how often it did not.
    pub invariants: Arc<Invariants>,
    /// After a node was told to drain, attempts on it may still begin for so long, in milliseconds.
    pub drain_grace_ms: f64,
    /// Where manual exclusions are stored for a process that replaces this one.
    pub manual_exclusions: ManualExclusions,
}

impl Shared {
    /// Tells the gossip which cache nodes there are, where the site document lists them.
    pub(crate) fn announce_members(&self) {
        if let (Some(gossip), Some(members)) = (&self.gossip, self.queues.members()) {
            gossip.update_nodes(
                self.queues.all(),
                true,
                members.into_iter().map(|id| (id, Some(0.0))).collect(),
            );
        }
    }

    /// Passes a message of the peer in `slot` to the decisions of every pool.
    pub(crate) fn deliver_peer_message(&self, slot: u32, message: &[u8]) {
        for queue in self.queues.all() {
            queue.dispatcher.peer_message(self.clock.now(), slot, message.to_vec());
        }
    }

    /// Messages of peers that were dropped so far: from no peer, too long, or malformed.
    pub(crate) fn dropped_peer_messages(&self) -> u64 {
        let odd: u64 = self.queues.all().iter().map(|q| q.dispatcher.malformed_messages()).sum();
        self.peers.as_ref().map_or(0, |p| p.foreign()) + odd
    }

    /// Whether new clients should be sent here.
    pub fn is_ready(&self) -> bool {
        (self.endpoints_listed.load(Ordering::Acquire) || self.clock.age() >= LIST_WAIT)
            && !self.shutting_down.load(Ordering::Acquire)
            && !self.server.is_evacuated()
    }
}
