//! Runs [`fernslip_gossip`] in a front: provides its socket and clock, feeds it the evidence of the decision
//! module, and passes the resulting scores to the dispatchers.

mod plan;
mod status;

pub use plan::GossipPlan;

use crate::clock::Clock;
use crate::control::evidence::{EvidenceQueue, QueuedEvidence};
use crate::event_loop::Quantum;
use crate::sync::lock;
use crate::upstream::dispatch_queue::DispatchQueue;
use crate::view::ViewService;
use fernslip::{CacheId, Sign};
use fernslip_gossip::{
    Action, CacheNodeKey, Config, Event, Evidence, Gossip, Keyring, Now, Observation, PeerAddress,
    MAX_DATAGRAM_BYTES,
};
use may::net::UdpSocket;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The interval between two polls of the evidence queue and the gossip's timer.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The pause after an error in receiving a datagram.
const RECEIVE_ERROR_PAUSE: Duration = Duration::from_millis(5);

/// The gossip service of a front. One thread calls [`GossipService::listen`], another [`GossipService::run`].
pub struct GossipService {
    gossip: Mutex<Gossip>,
    socket: UdpSocket,
    evidence: EvidenceQueue,
    clock: Clock,
    nodes: Mutex<CacheNodes>,
}

/// The known cache nodes, indexed both by id and by the key that identifies a node in datagrams.
#[derive(Default)]
struct CacheNodes {
    by_key: BTreeMap<CacheNodeKey, CacheId>,
    by_id: HashMap<CacheId, CacheNodeKey>,
}

/// Returns the current clock time and Unix time for the gossip.
fn current_time(clock: &Clock) -> Now {
    let mono_ms = clock.now();
    let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    Now { mono_ms, unix_ms: unix.as_secs_f64() * 1000.0 }
}

impl GossipService {
    /// Binds the gossip socket. `evidence` is the queue that the decision module fills.
    ///
    /// # Errors
    /// Returns an error if the address cannot be bound.
    pub fn bind(
        plan: &GossipPlan,
        clock: &Clock,
        seed: u64,
        evidence: EvidenceQueue,
    ) -> std::io::Result<GossipService> {
        let socket = UdpSocket::bind(plan.config.addr)?;
        // If the plan gives port 0, the operating system chose the port, and that port must be advertised.
        let addr = socket.local_addr()?;
        let config = Config { addr, ..plan.config.clone() };
        let gossip = Mutex::new(Gossip::new(config, plan.keys.clone(), seed, current_time(clock)));
        Ok(GossipService { gossip, socket, evidence, clock: *clock, nodes: Mutex::default() })
    }

    /// Returns the address on which the gossip service listens.
    pub fn addr(&self) -> SocketAddr {
        lock(&self.gossip).config().addr
    }

    fn handle_event(&self, queues: &[Arc<DispatchQueue>], event: Event) {
        let mut actions = Vec::new();
        lock(&self.gossip).handle(current_time(&self.clock), event, &mut actions);
        for action in actions {
            match action {
                // Sent directly on the non-blocking socket. A datagram for which the kernel has no buffer
                // space is lost, which the protocol tolerates.
                Action::Send { to, bytes } => drop(self.socket.inner().send_to(&bytes, to)),
                Action::PeerScore { node, score } => {
                    let id = lock(&self.nodes).by_key.get(&node).cloned();
                    if let Some(id) = id {
                        tracing::debug!(node = %id.0, amount = score, "hearsay");
                        for queue in queues {
                            queue.dispatcher.peer_suspicion(self.clock.now(), id.clone(), score);
                        }
                    }
                }
                Action::Member { id, change } => {
                    let what = change.label();
                    tracing::info!(peer = format_args!("{:08x}", id.0), what, "gossip");
                }
            }
        }
    }

    /// Updates the known cache nodes. Each update has the node's start time in Unix milliseconds (0: long
    /// ago), or `None` if the node was removed. With `full`, all nodes that are not in `updates` are removed.
    pub fn update_nodes(
        &self,
        queues: &[Arc<DispatchQueue>],
        full: bool,
        updates: Vec<(CacheId, Option<f64>)>,
    ) {
        let (current, before) = {
            let mut nodes = lock(&self.nodes);
            let before = nodes.by_key.clone();
            if full {
                nodes.by_id.clear();
            }
            for (id, start) in updates {
                match start {
                    Some(start) => {
                        let key = CacheNodeKey::new(&id.0, start.max(0.0) as u64);
                        nodes.by_id.insert(id, key);
                    }
                    None => drop(nodes.by_id.remove(&id)),
                }
            }
            let current: BTreeMap<CacheNodeKey, CacheId> =
                nodes.by_id.iter().map(|(id, key)| (*key, id.clone())).collect();
            // Removed nodes stay known until the call of `handle_event` below has reset their scores in the
            // dispatchers.
            nodes.by_key.extend(current.clone());
            (current, before)
        };
        if current == before {
            return;
        }
        self.handle_event(queues, Event::CacheNodes(current.keys().copied().collect()));
        lock(&self.nodes).by_key = current;
    }

    /// Replaces the keys that sign and verify gossip datagrams.
    pub fn set_keys(&self, keys: Keyring) {
        tracing::info!(
            "gossip: keys {:?} are accepted, key {} signs",
            keys.accepted_keys(),
            keys.signing_key()
        );
        self.handle_event(&[], Event::Keys(keys));
    }

    /// Announces to the peers that this front leaves.
    pub fn leave(&self, queues: &[Arc<DispatchQueue>]) {
        self.handle_event(queues, Event::Leave);
    }

    /// Receives and handles datagrams for as long as the process runs.
    pub fn listen(&self, queues: &[Arc<DispatchQueue>]) {
        let mut data = [0; MAX_DATAGRAM_BYTES + 1];
        let mut quantum = Quantum::default();
        loop {
            quantum.count_message_or_yield();
            match self.socket.recv_from(&mut data) {
                Ok((n, from)) => {
                    self.handle_event(queues, Event::Datagram { from, bytes: data[..n].to_vec() });
                }
                // The error concerns one datagram, for example an unreachable port; later ones may succeed.
                Err(_) => crate::sleep::sleep(RECEIVE_ERROR_PAUSE),
            }
        }
    }

    /// Returns the address at which other fronts reach this one.
    pub fn advertised_addr(&self) -> SocketAddr {
        lock(&self.gossip).advertised_addr()
    }

    /// Handles queued evidence and timers for as long as the process runs. If `fleet` is given, the gossip's
    /// peers are the fronts of that membership view.
    pub fn run(&self, queues: &[Arc<DispatchQueue>], fleet: Option<&ViewService>) {
        let mut last_digest = None;
        loop {
            if let Some(fleet) = fleet {
                let digest = Some(fleet.digest());
                if last_digest != digest {
                    last_digest = digest;
                    let peers = fleet
                        .gossip_peers()
                        .into_iter()
                        .map(|p| PeerAddress { name: p.name, addr: p.addr })
                        .collect();
                    self.handle_event(queues, Event::Peers(peers));
                }
            }
            for evidence in self.evidence.take_all() {
                self.handle_evidence(queues, &evidence);
            }
            let due = lock(&self.gossip).wake_at();
            if due <= self.clock.now() {
                self.handle_event(queues, Event::Tick);
            }
            crate::sleep::sleep(POLL_INTERVAL);
        }
    }

    fn handle_evidence(&self, queues: &[Arc<DispatchQueue>], evidence: &QueuedEvidence) {
        let Some(node) = lock(&self.nodes).by_id.get(&evidence.cache).copied() else { return };
        let observation = match evidence.sign {
            Sign::Failing => Observation::Failing,
            Sign::Silent => Observation::Unresponsive,
            Sign::Crawling => Observation::Slow,
            Sign::Well => Observation::Healthy,
        };
        let evidence = Evidence { node, observation, strength: evidence.strength, count: 1 };
        self.handle_event(queues, Event::Evidence(evidence));
    }
}
