//! The state that all parts of a running front share.

use crate::clock::Clock;
use crate::control::checkpoint_file::CheckpointFile;
use crate::discovery_watch::DiscoveryWatch;
use crate::gossip::GossipService;
use crate::invariants::Invariants;
use crate::manual_exclusion::ManualExclusions;
use crate::metrics::Metrics;
use crate::pass_times::PassTimes;
use crate::peers::Peers;
use crate::reason_counts::ReasonCounts;
use crate::server::Server;
use crate::upstream::connection_pool::ConnectionPool;
use crate::upstream::dispatch_queues::DispatchQueues;
use crate::upstream::write_claims::WriteClaims;
use crate::view::ViewService;
use crate::wall_clock::WallClock;
use fernslip::json::Names;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// How long after its start a front without an endpoint list reports itself as not ready. Then it reports
/// ready, so that a late list does not hold up the platform's release; requests are rejected at once until
/// the list arrives.
const ENDPOINT_LIST_TIMEOUT: Duration = Duration::from_millis(1000);

/// The state that all parts of a running front share.
pub struct SharedState {
    /// The monotonic clock, whose time the decision crate is given.
    pub clock: Clock,
    /// The wall clock, for times that come from other machines.
    pub wall_clock: WallClock,
    /// The names of zones, kinds and classes in the settings.
    pub names: Names,
    /// The dispatch queues, one for each pool.
    pub queues: DispatchQueues,
    /// The connections to cache nodes.
    pub upstream: Arc<ConnectionPool>,
    /// The server side of the clients' connections.
    pub server: Server,
    /// The gossip with other fronts; `None` if the site document configures none.
    pub gossip: Option<Arc<GossipService>>,
    /// The fleet's membership view; `None` if the site document configures none.
    pub fleet: Option<Arc<ViewService>>,
    /// The datagram socket for messages between fronts; `None` if no peers are configured.
    pub peers: Option<Arc<Peers>>,
    /// The watch on the event bus, which delivers endpoint updates and purges.
    pub bus: DiscoveryWatch,
    /// The file in which the watch's checkpoints are stored for a process that replaces this one. `None` if
    /// there is no event bus.
    pub checkpoint_file: Option<CheckpointFile>,
    /// Whether an endpoint list was received.
    pub endpoints_listed: AtomicBool,
    /// Whether SIGTERM was received.
    pub(crate) shutting_down: AtomicBool,
    /// The counters of the admin interface.
    pub metrics: Metrics,
    /// When the main loop ran.
    pub main_loop_passes: PassTimes,
    /// Counters of closed connections, retries and the like, by kind and reason.
    pub reason_counts: Arc<ReasonCounts>,
    /// The invariants that are checked at run time, with their violation counts.
    pub invariants: Arc<Invariants>,
    /// How long attempts on a node may still begin after it was set to draining, in milliseconds.
    pub drain_grace_ms: f64,
    /// The requests that must run at most once and may have begun.
    pub write_claims: WriteClaims,
    /// The files in which manual exclusions are stored for a process that replaces this one.
    pub manual_exclusions: ManualExclusions,
}

impl SharedState {
    /// Passes the list of cache nodes to the gossip, if the site document lists them.
    pub(crate) fn announce_members(&self) {
        if let (Some(gossip), Some(members)) = (&self.gossip, self.queues.document_member_ids()) {
            gossip.update_nodes(
                self.queues.as_slice(),
                true,
                members.into_iter().map(|id| (id, Some(0.0))).collect(),
            );
        }
    }

    /// Passes a message of the peer with the number `slot` to the dispatcher of every pool.
    pub(crate) fn deliver_peer_message(&self, slot: u32, message: &[u8]) {
        for queue in self.queues.as_slice() {
            queue.dispatcher.peer_message(self.clock.now(), slot, message.to_vec());
        }
    }

    /// The number of peer messages dropped so far: from an unknown sender, too long, or malformed.
    pub(crate) fn dropped_peer_messages(&self) -> u64 {
        let malformed: u64 = self.queues.as_slice().iter().map(|q| q.dispatcher.malformed_messages()).sum();
        self.peers.as_ref().map_or(0, |p| p.dropped_datagrams()) + malformed
    }

    /// Whether the platform should send new clients to this front: endpoints are listed (or waited for long
    /// enough), and it is neither shutting down nor evacuated.
    pub fn is_ready(&self) -> bool {
        (self.endpoints_listed.load(Ordering::Acquire) || self.clock.elapsed() >= ENDPOINT_LIST_TIMEOUT)
            && !self.shutting_down.load(Ordering::Acquire)
            && !self.server.is_evacuated()
    }
}
