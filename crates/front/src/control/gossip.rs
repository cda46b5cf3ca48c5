//! The host of [`fernslip_gossip`]: its socket and clock, the evidence that goes in, and the scores that come out.

mod plan;
mod status;

pub use plan::Plan;

use crate::clock::Clock;
use crate::control::evidence::{EvidenceQueue, QueuedEvidence};
use crate::sync::lock;
use crate::upstream::dispatch_queue::DispatchQueue;
use crate::view::Fleet;
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

/// Between two polls of the queue and the clock.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The pause after a datagram could not be received.
const RECEIVE_ERROR_PAUSE: Duration = Duration::from_millis(5);

/// Runs the gossip of a front: two threads call [`GossipService::listen`] and [`GossipService::run`].
pub struct GossipService {
    gossip: Mutex<Gossip>,
    socket: UdpSocket,
    evidence: EvidenceQueue,
    clock: Clock,
    nodes: Mutex<CacheNodes>,
}

/// Cache nodes by the keys that datagrams name them by, and the other way round.
#[derive(Default)]
struct CacheNodes {
    by_key: BTreeMap<CacheNodeKey, CacheId>,
    by_id: HashMap<CacheId, CacheNodeKey>,
}

fn now(clock: &Clock) -> Now {
    let mono_ms = clock.now();
    let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    Now { mono_ms, unix_ms: unix.as_secs_f64() * 1000.0 }
}

impl GossipService {
    /// Binds the socket; `evidence` is what the decision module fills.
    ///
    /// # Errors
    /// The address can't be bound.
    pub fn bind(
        plan: &Plan,
        clock: &Clock,
        seed: u64,
        evidence: EvidenceQueue,
    ) -> std::io::Result<GossipService> {
        let socket = UdpSocket::bind(plan.config.addr)?;
        // A port that the system chose is the one that is advertised.
        let addr = socket.local_addr()?;
        let config = Config { addr, ..plan.config.clone() };
        let gossip = Mutex::new(Gossip::new(config, plan.keys.clone(), seed, now(clock)));
        Ok(GossipService { gossip, socket, evidence, clock: *clock, nodes: Mutex::default() })
    }

    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        lock(&self.gossip).config().addr
    }

    fn handle(&self, queues: &[Arc<DispatchQueue>], event: Event) {
        let mut actions = Vec::new();
        lock(&self.gossip).handle(now(&self.clock), event, &mut actions);
        for action in actions {
            match action {
                // Straight to the socket, which never blocks: a datagram that the buffer has no space for is lost, as
                // any may be.
                Action::Send { to, bytes } => drop(self.socket.inner().send_to(&bytes, to)),
                Action::Hearsay { node, score } => {
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

    /// Updates the cache nodes: each with its start (Unix milliseconds; 0: long ago), or `None` if it was removed;
    /// `full`: all others were removed too.
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
            // Removed nodes are still known while the decision module gets their score reset.
            nodes.by_key.extend(current.clone());
            (current, before)
        };
        if current == before {
            return;
        }
        self.handle(queues, Event::CacheNodes(current.keys().copied().collect()));
        lock(&self.nodes).by_key = current;
    }

    /// Replaces the keys.
    pub fn rekey(&self, keys: Keyring) {
        tracing::info!("gossip: keys {:?}, {} signs", keys.accepted_keys(), keys.signing_key());
        self.handle(&[], Event::Keys(keys));
    }

    /// Announces that this front leaves.
    pub fn leave(&self, queues: &[Arc<DispatchQueue>]) {
        self.handle(queues, Event::Leave);
    }

    /// Receives datagrams, for good.
    pub fn listen(&self, queues: &[Arc<DispatchQueue>]) {
        let mut data = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            match self.socket.recv_from(&mut data) {
                Ok((n, from)) => self.handle(queues, Event::Datagram { from, bytes: data[..n].to_vec() }),
                // An error of one datagram, such as an unreachable port: the next may be fine.
                Err(_) => crate::sleep::sleep(RECEIVE_ERROR_PAUSE),
            }
        }
    }

    /// The address that others are to reach it at.
    pub fn advertised_addr(&self) -> SocketAddr {
        lock(&self.gossip).advertised_addr()
    }

    /// Passes on the queued evidence and lets time pass, for good; its peers are those of `fleet`, where that is given.
    pub fn run(&self, queues: &[Arc<DispatchQueue>], fleet: Option<&Fleet>) {
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
                    self.handle(queues, Event::Peers(peers));
                }
            }
            for evidence in self.evidence.take_all() {
                self.handle_evidence(queues, &evidence);
            }
            let due = lock(&self.gossip).wake_at();
            if due <= self.clock.now() {
                self.handle(queues, Event::Tick);
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
        self.handle(queues, Event::Evidence(evidence));
    }
}
