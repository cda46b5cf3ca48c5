//! The environment of a soak run: its fronts, the simulated services around them, and the state of each node
//! as the discovery bus publishes it.

use super::bus::{DiscoveryBus, FrontObligation};
use super::checker::{ExecutionSemantics, RuleChecker};
use super::clients::{RequestClass, SoakClients};
use super::nodes::{NodeRole, SimulatedNode};
use super::options::SoakOptions;
use super::peers::start_gossip_relay;
use super::process::{FrontProcess, FrontProcessSettings};
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

/// The example configuration. Each front gets a copy with its own name, addresses and fleet settings.
pub(super) const BASE_CONFIGURATION: &str = include_str!("../../../../examples/config.json");
/// Number of locations that fronts and cache nodes are spread over.
const LOCATION_COUNT: usize = 3;
/// Zone names of the locations.
const ZONE_NAMES: [&str; LOCATION_COUNT] = ["edge-1", "edge-2", "edge-3"];
/// Zone name of the parents and the origin.
const SOURCE_ZONE: &str = "north";
const CACHE_NODES_PER_LOCATION: usize = 4;
const PARENT_COUNT: usize = 2;
/// Number of sources (parents and the origin), which have the highest node indices.
pub const SOURCE_COUNT: usize = PARENT_COUNT + 1;
/// Number of all nodes, sources included.
pub const NODE_COUNT: usize = LOCATION_COUNT * CACHE_NODES_PER_LOCATION + SOURCE_COUNT;
/// Maximum age of the purges that are published again to a front that starts.
const PURGE_REPLAY_PERIOD: Duration = Duration::from_secs(6);

/// State of a node as the bus publishes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NodeState {
    Ready,
    Terminating,
    Removed,
}

impl NodeState {
    /// Returns the state's name in events of the bus.
    fn bus_name(self) -> &'static str {
        match self {
            NodeState::Ready => "Ready",
            NodeState::Terminating => "Terminating",
            NodeState::Removed => "Gone",
        }
    }
}

/// What the bus publishes about a node.
#[derive(Clone, Copy)]
struct ListedNode {
    state: NodeState,
    /// Start time of the node's process, in milliseconds of Unix time; 0 if it started before the run.
    started_ms: u64,
}

/// A purge that was published to all fronts.
#[derive(Clone, Copy)]
struct PublishedPurge {
    object: u64,
    at: Instant,
    unix_ms: u64,
}

impl PublishedPurge {
    fn bus_event(&self) -> Value {
        json!({"ban": {"url": format!("{:016x}", self.object), "ts": self.unix_ms}})
    }

    fn obligation(&self) -> FrontObligation {
        FrontObligation::Purge { object: self.object, at: self.at }
    }
}

/// The fronts, simulated services and clients of a run, and the state of each node as published on the bus.
pub(super) struct SoakEnvironment {
    pub checker: Arc<RuleChecker>,
    pub nodes: Vec<Arc<SimulatedNode>>,
    pub buses: Vec<Arc<DiscoveryBus>>,
    pub fronts: Vec<tokio::sync::Mutex<FrontProcess>>,
    pub clients: Arc<SoakClients>,
    pub addresses: Arc<LoopbackAddresses>,
    pub rng: SeededRng,
    /// Relay address that forwards each gossip message to all fronts except its sender.
    all_peers: SocketAddr,
    listed: Mutex<Vec<ListedNode>>,
    purges: Mutex<Vec<PublishedPurge>>,
}

/// Returns the wall clock's time, in milliseconds of Unix time.
pub(super) fn unix_time_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

fn zone_name(location: usize) -> &'static str {
    ZONE_NAMES[location % LOCATION_COUNT]
}

/// Returns the role of each node, in the order of the node indices.
fn node_roles() -> impl Iterator<Item = NodeRole> {
    let cache_nodes = (0..LOCATION_COUNT * CACHE_NODES_PER_LOCATION)
        .map(|n| NodeRole { zone: zone_name(n), kind: "standard" });
    let parents = (0..PARENT_COUNT).map(|_| NodeRole { zone: SOURCE_ZONE, kind: "parent" });
    cache_nodes.chain(parents).chain([NodeRole { zone: SOURCE_ZONE, kind: "origin" }])
}

/// Reads the request classes from the settings of a configuration.
fn request_classes(settings: &Value) -> Vec<RequestClass> {
    let all = settings["classes"].as_array().cloned().unwrap_or_default();
    let writes = &settings["family_info"]["class_write"];
    let class = |(i, c): (usize, &Value)| RequestClass {
        name: c["name"].as_str().unwrap_or_default().into(),
        effect: if c["semantics"] == "at_most_once" {
            ExecutionSemantics::Once
        } else {
            ExecutionSemantics::Idempotent
        },
        writes: writes[i].as_bool().unwrap_or(false),
        deadline_ms: c["deadline_ms"].as_f64().unwrap_or(3_000.0) as u64,
    };
    all.iter().enumerate().map(class).collect()
}

impl SoakEnvironment {
    /// Starts the simulated services and prepares the fronts without starting them. The fronts' files are
    /// written to `folder`.
    pub async fn start_services(
        options: &SoakOptions,
        settings: &Value,
        checker: Arc<RuleChecker>,
        folder: &Path,
        shim: &Shim,
    ) -> io::Result<Arc<SoakEnvironment>> {
        // One address more than there are fronts is reserved: messages to all fronts are sent to it.
        let addresses = Arc::new(LoopbackAddresses::reserve(options.fronts + 1)?);
        let all_peers = addresses.advertised_gossip_address(options.fronts);
        start_gossip_relay(&addresses, options.fronts, all_peers, options.seed).await?;
        let mut nodes = Vec::new();
        for (number, role) in node_roles().enumerate() {
            nodes.push(
                SimulatedNode::start(number, role, options.fronts, options.seed, checker.clone()).await?,
            );
        }
        let classes = request_classes(settings);
        let longest = classes.iter().map(|c| Duration::from_millis(c.deadline_ms)).max().unwrap_or_default();
        let (mut buses, mut fronts) = (Vec::new(), Vec::new());
        for front in 0..options.fronts {
            buses.push(DiscoveryBus::start(front, options.seed, checker.clone()).await?);
            let settings = process_settings(options, front, &addresses, folder, shim, longest)?;
            fronts.push(tokio::sync::Mutex::new(FrontProcess::new(settings, checker.clone())));
        }
        let listed = nodes.iter().map(|_| ListedNode { state: NodeState::Ready, started_ms: 0 }).collect();
        Ok(Arc::new(SoakEnvironment {
            clients: SoakClients::new(classes, options.seed, checker.clone()),
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

    /// Returns the entry of a node in the endpoint list for one front.
    fn node_listing(&self, front: usize, node: usize) -> Value {
        let listed = lock(&self.listed)[node];
        let node = &self.nodes[node];
        json!({"id": node.id, "addr": node.addresses[front].to_string(), "zone": node.role.zone,
               "kind": node.role.kind, "cell": 0, "state": listed.state.bus_name(), "weight": 1,
               "started_ms": listed.started_ms})
    }

    /// Returns the configuration of a front that is about to start. It holds the endpoint list as the first
    /// event of the front's feed; the bus publishes only the later ones.
    fn front_configuration(&self, front: usize) -> Value {
        let mut config: Value = serde_json::from_str(BASE_CONFIGURATION).unwrap_or_default();
        let servers: Vec<Value> = (0..self.nodes.len())
            .filter(|node| lock(&self.listed)[*node].state != NodeState::Removed)
            .map(|node| self.node_listing(front, node))
            .collect();
        let list = json!({"topology": {"version": 1, "full": true, "servers": servers}});
        let first_event = self.buses[front].begin_feed(&list);
        for (node, listed) in lock(&self.listed).iter().enumerate() {
            if listed.state == NodeState::Terminating {
                self.checker.on_drain_known(front, node, Instant::now());
            }
        }
        let fronts = self.fronts.len();
        config["name"] = format!("n{front}").into();
        config["listen"] = self.addresses.client_listen_address(front).to_string().into();
        config["seed"] = format!("{:016x}", self.rng.random_range(0..u64::MAX)).into();
        config["peer_listen"] = self.addresses.gossip_listen_address(front).to_string().into();
        config["peers"] =
            (0..fronts).map(|f| self.addresses.advertised_gossip_address(f).to_string()).collect();
        config["peers_all"] = self.all_peers.to_string().into();
        config["bus"] = self.buses[front].addresses[0].to_string().into();
        config["known"] = json!({"offset": 1, "batch": [first_event]});
        let fronts_at = |location: usize| (0..fronts).filter(|f| f % LOCATION_COUNT == location).count();
        let settings = &mut config["settings"];
        settings["areas"] = json!([SOURCE_ZONE, ZONE_NAMES[0], ZONE_NAMES[1], ZONE_NAMES[2]]);
        settings["zone"] = zone_name(front).into();
        settings["slot_no"] = front.into();
        settings["group_size"] = fronts.into();
        let info = &mut settings["family_info"];
        info["zone_balancers"] = json!([0, fronts_at(0), fronts_at(1), fronts_at(2)]);
        info["link_in_kb_per_s"] = json!([0.0, 45497.0, 45497.0, 45497.0]);
        config
    }

    /// Starts a front, unless it is running, and publishes the recent purges to it again.
    pub async fn start_front(&self, front: usize) -> io::Result<()> {
        let mut process = self.fronts[front].lock().await;
        if process.is_running() {
            return Ok(());
        }
        std::fs::write(&process.config, self.front_configuration(front).to_string())?;
        let recent: Vec<PublishedPurge> = lock(&self.purges)
            .iter()
            .filter(|purge| purge.at.elapsed() < PURGE_REPLAY_PERIOD)
            .copied()
            .collect();
        for purge in recent {
            self.buses[front].publish_event(purge.bus_event(), purge.obligation());
        }
        process.start().await
    }

    /// Publishes to all fronts that a node is draining.
    pub fn drain_node(&self, node: usize) {
        let started_ms = lock(&self.listed)[node].started_ms;
        let listed = ListedNode { state: NodeState::Terminating, started_ms };
        self.publish_node_state(node, listed, FrontObligation::Drain { node });
    }

    /// Publishes to all fronts that a node is removed.
    pub fn remove_node(&self, node: usize) {
        let listed = ListedNode { state: NodeState::Removed, started_ms: 0 };
        self.publish_node_state(node, listed, FrontObligation::Drain { node });
    }

    /// Publishes to all fronts that a node is ready, as a process that has just started.
    pub fn restore_node(&self, node: usize) {
        let listed = ListedNode { state: NodeState::Ready, started_ms: unix_time_ms() };
        self.publish_node_state(node, listed, FrontObligation::Restore { node });
    }

    fn publish_node_state(&self, node: usize, listed: ListedNode, obligation: FrontObligation) {
        lock(&self.listed)[node] = listed;
        for (front, bus) in self.buses.iter().enumerate() {
            if listed.state == NodeState::Ready {
                self.checker.on_node_restored(front, node);
            }
            let server = self.node_listing(front, node);
            let event = json!({"topology": {"version": 1, "full": false, "servers": [server]}});
            bus.publish_event(event, obligation);
        }
    }

    /// Publishes the purge of an object to all fronts.
    pub fn purge_object(&self, object: u64) {
        let purge = PublishedPurge { object, at: Instant::now(), unix_ms: unix_time_ms() };
        lock(&self.purges).push(purge);
        self.buses.iter().for_each(|bus| bus.publish_event(purge.bus_event(), purge.obligation()));
    }
}

/// Creates the folder of a front and returns the settings that its process is started with.
fn process_settings(
    options: &SoakOptions,
    front: usize,
    addresses: &LoopbackAddresses,
    folder: &Path,
    shim: &Shim,
    longest_deadline: Duration,
) -> io::Result<FrontProcessSettings> {
    let folder = folder.join(format!("n{front}"));
    std::fs::create_dir_all(&folder)?;
    let (clients, mut admin) =
        (addresses.client_listen_address(front), addresses.client_listen_address(front));
    admin.set_port(admin.port() + 1);
    Ok(FrontProcessSettings {
        number: front,
        clients,
        admin,
        folder,
        program: options.program.clone(),
        faults: shim.create_fault_settings(&format!("n{front}"), options.seed ^ front as u64)?,
        log_file: options.logs.as_ref().map(|dir| dir.join(format!("{}-n{front}.log", options.seed))),
        longest_deadline,
    })
}
