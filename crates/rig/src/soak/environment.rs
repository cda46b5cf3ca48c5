//! The fronts of a soak and the stand-ins around them, and what is true of the nodes as the bus lists them.

use super::bus::{Bus, Obligation};
use super::checker::{Effect, RuleChecker};
use super::clients::{Class, Clients};
use super::nodes::{Node, NodeRole};
use super::options::Options;
use super::peers::start_relay;
use super::process::{Process, ProcessSettings};
use super::seeded_rng::SeededRng;
use crate::addresses::LoopbackAddresses;
use crate::shim::Shim;
use crate::sync::lock;
use serde_json::{json, Value};
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The platform's configuration of a front; the soak changes names, addresses and the fleet in it.
pub(super) const CONFIGURATION: &str = include_str!("../../../../examples/config.json");
/// Locations of fronts and cache nodes.
const LOCATIONS: usize = 3;
const ZONES: [&str; LOCATIONS] = ["edge-1", "edge-2", "edge-3"];
/// The zone of parents and the origin.
const SOURCE_ZONE: &str = "north";
const NODES_PER_LOCATION: usize = 4;
const PARENTS: usize = 2;
/// Parents and the origin, which have the highest node numbers.
pub const SOURCES: usize = PARENTS + 1;
/// All nodes, sources among them.
pub const NODES: usize = LOCATIONS * NODES_PER_LOCATION + SOURCES;
/// A front that starts receives the purges again that are no older than this.
const PURGE_REPLAY: Duration = Duration::from_secs(6);

/// How the bus lists a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NodeState {
    Ready,
    Terminating,
    Removed,
}

impl NodeState {
    /// The state's name on the bus.
    fn wire_name(self) -> &'static str {
        match self {
            NodeState::Ready => "Ready",
            NodeState::Terminating => "Terminating",
            NodeState::Removed => "Gone",
        }
    }
}

#[derive(Clone, Copy)]
struct ListedNode {
    state: NodeState,
    /// When its process started, in milliseconds of the Unix time; 0 for long ago.
    started_ms: u64,
}

/// A purge that was published.
#[derive(Clone, Copy)]
struct PublishedPurge {
    object: u64,
    at: Instant,
    unix_ms: u64,
}

impl PublishedPurge {
    fn event(&self) -> Value {
        json!({"ban": {"url": format!("{:016x}", self.object), "ts": self.unix_ms}})
    }

    fn obligation(&self) -> Obligation {
        Obligation::Purge { object: self.object, at: self.at }
    }
}

/// Everything of a run.
pub(super) struct Environment {
    pub checker: Arc<RuleChecker>,
    pub nodes: Vec<Arc<Node>>,
    pub buses: Vec<Arc<Bus>>,
    pub fronts: Vec<tokio::sync::Mutex<Process>>,
    pub clients: Arc<Clients>,
    pub addresses: Arc<LoopbackAddresses>,
    pub rng: SeededRng,
    /// The relay address that reaches all fronts.
    all_peers: SocketAddr,
    listed: Mutex<Vec<ListedNode>>,
    purges: Mutex<Vec<PublishedPurge>>,
}

/// The wall clock, in milliseconds of the Unix time.
pub(super) fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

fn zone(location: usize) -> &'static str {
    ZONES[location % LOCATIONS]
}

/// The nodes' roles, by node number.
fn node_roles() -> impl Iterator<Item = NodeRole> {
    let cache_nodes =
        (0..LOCATIONS * NODES_PER_LOCATION).map(|n| NodeRole { zone: zone(n), kind: "standard" });
    let parents = (0..PARENTS).map(|_| NodeRole { zone: SOURCE_ZONE, kind: "parent" });
    cache_nodes.chain(parents).chain([NodeRole { zone: SOURCE_ZONE, kind: "origin" }])
}

/// The request classes that a configuration's settings name.
fn classes(settings: &Value) -> Vec<Class> {
    let all = settings["classes"].as_array().cloned().unwrap_or_default();
    let writes = &settings["family_info"]["class_write"];
    let class = |(i, c): (usize, &Value)| Class {
        name: c["name"].as_str().unwrap_or_default().into(),
        effect: if c["semantics"] == "at_most_once" { Effect::Once } else { Effect::Idempotent },
        writes: writes[i].as_bool().unwrap_or(false),
        deadline_ms: c["deadline_ms"].as_f64().unwrap_or(3_000.0) as u64,
    };
    all.iter().enumerate().map(class).collect()
}

impl Environment {
    /// Starts the stand-ins and prepares the fronts, which are not started yet. Their files go to `folder`.
    pub async fn prepare(
        options: &Options,
        settings: &Value,
        checker: Arc<RuleChecker>,
        folder: &Path,
        shim: &Shim,
    ) -> io::Result<Arc<Environment>> {
        // One address more than there are fronts stands for all of them.
        let addresses = Arc::new(LoopbackAddresses::reserve(options.fronts + 1)?);
        let all_peers = addresses.gossip_advertised(options.fronts);
        start_relay(&addresses, options.fronts, all_peers, options.seed).await?;
        let mut nodes = Vec::new();
        for (number, role) in node_roles().enumerate() {
            nodes.push(Node::start(number, role, options.fronts, options.seed, checker.clone()).await?);
        }
        let classes = classes(settings);
        let longest = classes.iter().map(|c| Duration::from_millis(c.deadline_ms)).max().unwrap_or_default();
        let (mut buses, mut fronts) = (Vec::new(), Vec::new());
        for front in 0..options.fronts {
            buses.push(Bus::start(front, options.seed, checker.clone()).await?);
            let settings = process_settings(options, front, &addresses, folder, shim, longest)?;
            fronts.push(tokio::sync::Mutex::new(Process::new(settings, checker.clone())));
        }
        let listed = nodes.iter().map(|_| ListedNode { state: NodeState::Ready, started_ms: 0 }).collect();
        Ok(Arc::new(Environment {
            clients: Clients::new(classes, options.seed, checker.clone()),
            checker,
            nodes,
            buses,
            fronts,
            addresses,
            rng: SeededRng::new(options.seed, 6_000),
            all_peers,
            listed: Mutex::new(listed),
            purges: Mutex::default(),
        }))
    }

    /// A node as the bus lists it for a front.
    fn listing(&self, front: usize, node: usize) -> Value {
        let listed = lock(&self.listed)[node];
        let node = &self.nodes[node];
        json!({"id": node.id, "addr": node.addresses[front].to_string(), "zone": node.role.zone,
               "kind": node.role.kind, "cell": 0, "state": listed.state.wire_name(), "weight": 1,
               "started_ms": listed.started_ms})
    }

    /// The configuration of a front that starts now. It holds the list of nodes, from which the bus goes on.
    fn configuration(&self, front: usize) -> Value {
        let mut config: Value = serde_json::from_str(CONFIGURATION).unwrap_or_default();
        let servers: Vec<Value> = (0..self.nodes.len())
            .filter(|node| lock(&self.listed)[*node].state != NodeState::Removed)
            .map(|node| self.listing(front, node))
            .collect();
        let list = json!({"topology": {"version": 1, "full": true, "servers": servers}});
        let first_event = self.buses[front].begin_feed(&list);
        for (node, listed) in lock(&self.listed).iter().enumerate() {
            if listed.state == NodeState::Terminating {
                self.checker.drain_known(front, node, Instant::now());
            }
        }
        let fronts = self.fronts.len();
        config["name"] = format!("n{front}").into();
        config["listen"] = self.addresses.client_listen(front).to_string().into();
        config["seed"] = format!("{:016x}", self.rng.number(0..u64::MAX)).into();
        config["peer_listen"] = self.addresses.gossip_listen(front).to_string().into();
        config["peers"] = (0..fronts).map(|f| self.addresses.gossip_advertised(f).to_string()).collect();
        config["peers_all"] = self.all_peers.to_string().into();
        config["bus"] = self.buses[front].addresses[0].to_string().into();
        config["known"] = json!({"offset": 1, "batch": [first_event]});
        let fronts_at = |location: usize| (0..fronts).filter(|f| f % LOCATIONS == location).count();
        let settings = &mut config["settings"];
        settings["areas"] = json!([SOURCE_ZONE, ZONES[0], ZONES[1], ZONES[2]]);
        settings["zone"] = zone(front).into();
        settings["slot_no"] = front.into();
        settings["group_size"] = fronts.into();
        let info = &mut settings["family_info"];
        info["zone_balancers"] = json!([0, fronts_at(0), fronts_at(1), fronts_at(2)]);
        info["link_in_kb_per_s"] = json!([0.0, 45497.0, 45497.0, 45497.0]);
        config
    }

    /// Starts a front that does not run, and publishes the latest purges to it.
    pub async fn start_front(&self, front: usize) -> io::Result<()> {
        let mut process = self.fronts[front].lock().await;
        if process.is_running() {
            return Ok(());
        }
        std::fs::write(&process.config, self.configuration(front).to_string())?;
        let recent: Vec<PublishedPurge> =
            lock(&self.purges).iter().filter(|purge| purge.at.elapsed() < PURGE_REPLAY).copied().collect();
        for purge in recent {
            self.buses[front].publish(purge.event(), purge.obligation());
        }
        process.start().await
    }

    /// Publishes to all fronts that a node drains.
    pub fn drain_node(&self, node: usize) {
        let started_ms = lock(&self.listed)[node].started_ms;
        let listed = ListedNode { state: NodeState::Terminating, started_ms };
        self.list_node(node, listed, Obligation::Drain { node });
    }

    /// Publishes to all fronts that a node has departed.
    pub fn remove_node(&self, node: usize) {
        let listed = ListedNode { state: NodeState::Removed, started_ms: 0 };
        self.list_node(node, listed, Obligation::Drain { node });
    }

    /// Publishes to all fronts that a node is ready, with a process that has just started.
    pub fn restore_node(&self, node: usize) {
        let listed = ListedNode { state: NodeState::Ready, started_ms: unix_ms() };
        self.list_node(node, listed, Obligation::Restore { node });
    }

    fn list_node(&self, node: usize, listed: ListedNode, obligation: Obligation) {
        lock(&self.listed)[node] = listed;
        for (front, bus) in self.buses.iter().enumerate() {
            if listed.state == NodeState::Ready {
                self.checker.restored(front, node);
            }
            let server = self.listing(front, node);
            let event = json!({"topology": {"version": 1, "full": false, "servers": [server]}});
            bus.publish(event, obligation);
        }
    }

    /// Purges an object, and publishes that to all fronts.
    pub fn purge(&self, object: u64) {
        let purge = PublishedPurge { object, at: Instant::now(), unix_ms: unix_ms() };
        lock(&self.purges).push(purge);
        self.buses.iter().for_each(|bus| bus.publish(purge.event(), purge.obligation()));
    }
}

/// What a front is started with; its own folder is created.
fn process_settings(
    options: &Options,
    front: usize,
    addresses: &LoopbackAddresses,
    folder: &Path,
    shim: &Shim,
    longest_deadline: Duration,
) -> io::Result<ProcessSettings> {
    let folder = folder.join(format!("n{front}"));
    std::fs::create_dir_all(&folder)?;
    let (clients, mut admin) = (addresses.client_listen(front), addresses.client_listen(front));
    admin.set_port(admin.port() + 1);
    Ok(ProcessSettings {
        number: front,
        clients,
        admin,
        folder,
        program: options.program.clone(),
        faults: shim.faults(&format!("n{front}"), options.seed ^ front as u64)?,
        log_file: options.logs.as_ref().map(|dir| dir.join(format!("{}-n{front}.log", options.seed))),
        longest_deadline,
    })
}
