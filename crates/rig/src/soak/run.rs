//! One seed of the soak: fronts, nodes, bus and clients are started, the troubles of the plan come and go, everything is told
//! to end, and the judge says what was broken.

use super::bus::{Bus, Mode as BusMode, Told, ADDRESSES};
use super::clients::{Class, Clients};
use super::judge::{Effect, Judge, Rule};
use super::nodes::{Mode as NodeMode, Node};
use super::plan::{draw, Planned, Trouble};
use super::process::Process;
use super::{lock, peers, Dice};
use crate::addresses::LoopbackAddresses;
use crate::shim::{Fault, Shim};
use rustix::process::Signal;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::time::sleep;

/// What the platform tells a front; the soak changes names, addresses and the fleet in it.
const CONFIGURATION: &str = include_str!("../../../../examples/config.json");
/// Locations, and cache nodes of each; parents; and the origin.
const LOCATIONS: usize = 3;
const NODES_OF_LOCATION: usize = 4;
const PARENTS: usize = 2;
/// Parents and the origin.
pub const SOURCES: usize = PARENTS + 1;

/// How many nodes there are, sources among them.
pub const fn nodes() -> usize {
    LOCATIONS * NODES_OF_LOCATION + SOURCES
}

/// Connections to each front that clients keep in use.
const CONNECTIONS: usize = 6;
/// How a pause looks from outside: a busy machine's.
const PAUSE: Duration = Duration::from_millis(200);
/// After the call, a node that was excluded is told to drain at the latest.
const EXCLUDED_WITHIN: Duration = Duration::from_secs(1);
/// Purges that a front which starts hears of again.
const PURGES_AGAIN: Duration = Duration::from_secs(6);

/// What a run is to be like.
#[derive(Clone, Debug)]
pub struct Options {
    /// The program.
    pub program: PathBuf,
    /// How many fronts.
    pub fronts: usize,
    /// For all that is drawn.
    pub seed: u64,
    /// How long troubles come.
    pub lasts: Duration,
    /// Requests a second, at each front.
    pub a_second: f64,
    /// A folder for the fronts' logs; `None`: they are not kept.
    pub logs: Option<PathBuf>,
    /// No trouble at all: what the soak itself costs.
    pub calm: bool,
}

/// What came of a run.
#[derive(Clone, Debug)]
pub struct Report {
    /// Its seed.
    pub seed: u64,
    /// Rules broken, and how often.
    pub breaches: BTreeMap<Rule, u64>,
    /// The first of them in words.
    pub texts: Vec<String>,
    /// What else was counted.
    pub counts: BTreeMap<&'static str, u64>,
    /// How many troubles came.
    pub troubles: usize,
}

impl Report {
    /// As JSON.
    pub fn to_json(&self) -> Value {
        let breaches: BTreeMap<String, u64> =
            self.breaches.iter().map(|(rule, n)| (format!("{rule:?}"), *n)).collect();
        json!({
            "seed": self.seed, "troubles": self.troubles, "breaches": breaches, "counts": self.counts,
            "texts": self.texts,
        })
    }
}

/// What is true of a node, for the bus.
#[derive(Clone, Copy)]
struct Listed {
    state: &'static str,
    started_ms: u64,
}

struct World {
    judge: Arc<Judge>,
    nodes: Vec<Arc<Node>>,
    listed: Mutex<Vec<Listed>>,
    buses: Vec<Arc<Bus>>,
    fronts: Vec<tokio::sync::Mutex<Process>>,
    clients: Arc<Clients>,
    purges: Mutex<Vec<(u64, Instant, u64)>>,
    ground: Arc<LoopbackAddresses>,
    for_all: SocketAddr,
    dice: Dice,
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

fn zone(location: usize) -> &'static str {
    ["edge-1", "edge-2", "edge-3"][location % LOCATIONS]
}

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

impl World {
    /// A node as the bus lists it for a front.
    fn server(&self, front: usize, node: usize) -> Value {
        let listed = lock(&self.listed)[node];
        let n = &self.nodes[node];
        json!({"id": n.id, "addr": n.addresses[front].to_string(), "zone": n.place.0, "kind": n.place.1, "cell": 0,
               "state": listed.state, "weight": 1, "started_ms": listed.started_ms})
    }

    /// The configuration of a front that starts now; the bus goes on from it.
    fn configuration(&self, front: usize, bus: usize) -> Value {
        let mut c: Value = serde_json::from_str(CONFIGURATION).unwrap_or_default();
        let fronts = self.fronts.len();
        let own = zone(front);
        let servers: Vec<Value> = (0..self.nodes.len())
            .filter(|n| lock(&self.listed)[*n].state != "Gone")
            .map(|n| self.server(front, n))
            .collect();
        let list = json!({"topology": {"version": 1, "full": true, "servers": servers}});
        let known = self.buses[front].begin(&list);
        for (node, listed) in lock(&self.listed).iter().enumerate() {
            if listed.state == "Terminating" {
                self.judge.drains(front, node, Some(Instant::now()));
            }
        }
        let of_location = |l: usize| (0..fronts).filter(|f| f % LOCATIONS == l).count();
        c["name"] = format!("n{front}").into();
        c["listen"] = self.ground.client_listen(front).to_string().into();
        c["seed"] = format!("{:016x}", self.dice.number(0..u64::MAX)).into();
        c["peer_listen"] = self.ground.gossip_listen(front).to_string().into();
        c["peers"] = (0..fronts).map(|f| self.ground.gossip_advertised(f).to_string()).collect();
        c["peers_all"] = self.for_all.to_string().into();
        c["bus"] = self.buses[front].addresses[bus].to_string().into();
        c["known"] = json!({"offset": 1, "batch": [known]});
        let s = &mut c["settings"];
        s["areas"] = json!(["north", zone(0), zone(1), zone(2)]);
        s["zone"] = own.into();
        s["slot_no"] = front.into();
        s["group_size"] = fronts.into();
        let info = &mut s["family_info"];
        info["zone_balancers"] = json!([0, of_location(0), of_location(1), of_location(2)]);
        info["link_in_kb_per_s"] = json!([0.0, 45497.0, 45497.0, 45497.0]);
        c
    }

    async fn start_front(&self, front: usize) -> io::Result<()> {
        let mut process = self.fronts[front].lock().await;
        if process.runs() {
            return Ok(());
        }
        std::fs::write(&process.config, self.configuration(front, 0).to_string())?;
        let recent: Vec<(u64, Instant, u64)> =
            lock(&self.purges).iter().filter(|p| p.1.elapsed() < PURGES_AGAIN).copied().collect();
        for (object, at, unix) in recent {
            self.buses[front].publish(purge(object, unix), Told::Purge(object, at));
        }
        process.start().await
    }

    /// Tells all fronts how a node is listed now.
    fn list(&self, node: usize, state: &'static str, started_ms: u64, told: Told) {
        lock(&self.listed)[node] = Listed { state, started_ms };
        for (front, bus) in self.buses.iter().enumerate() {
            if state == "Ready" {
                self.judge.drains(front, node, None);
            }
            let server = self.server(front, node);
            bus.publish(json!({"topology": {"version": 1, "full": false, "servers": [server]}}), told);
        }
    }

    /// One trouble, from its beginning to its end.
    #[allow(
        clippy::too_many_lines,
        clippy::cognitive_complexity,
        reason = "one arm a kind of fault of the soak, from its beginning to its end"
    )]
    async fn play(&self, planned: Planned) -> io::Result<()> {
        let lasts = planned.lasts;
        match planned.what {
            Trouble::Terminate(front) => {
                self.fronts[front].lock().await.terminate().await;
                self.start_front(front).await?;
            }
            Trouble::Kill(front) => {
                self.fronts[front].lock().await.kill().await;
                sleep(lasts / 8).await;
                self.start_front(front).await?;
            }
            Trouble::Pause(front) => {
                let process = self.fronts[front].lock().await;
                process.signal(Signal::STOP);
                sleep(PAUSE).await;
                process.signal(Signal::CONT);
                // What it could not do meanwhile is no fault of its own.
                self.judge.note_lateness(PAUSE);
            }
            Trouble::Reload(front) => {
                let process = self.fronts[front].lock().await;
                let mut config: Value =
                    serde_json::from_str(&std::fs::read_to_string(&process.config)?).unwrap_or_default();
                let addresses = self.buses[front].addresses;
                let other = self.dice.number(0..ADDRESSES as u64) as usize;
                config["bus"] = addresses[other].to_string().into();
                std::fs::write(&process.config, config.to_string())?;
                process.signal(Signal::HUP);
                if self.dice.hits(0.3) {
                    config["bus"] = addresses[1 - other].to_string().into();
                    std::fs::write(&process.config, config.to_string())?;
                    process.signal(Signal::HUP);
                }
            }
            Trouble::Evacuate(front) => {
                let _ = self.fronts[front].lock().await.call("evacuate").await;
                sleep(lasts).await;
                let _ = self.fronts[front].lock().await.call("activate").await;
            }
            Trouble::Exclude(front, node) => {
                let id = &self.nodes[node].id;
                let answer = self.fronts[front].lock().await.call(&format!("exclude {id}")).await;
                if !answer.is_ok_and(|a| a.starts_with("200")) {
                    self.judge.count("exclusions refused");
                    return Ok(());
                }
                let told = Instant::now() + EXCLUDED_WITHIN;
                self.judge.excluded(front, node, Some(told));
                sleep(lasts).await;
                // It holds until it is taken back, whatever becomes of the process: that folder lasts.
                self.judge.excluded(front, node, None);
                let include = format!("include {id}");
                while !self.fronts[front].lock().await.call(&include).await.is_ok_and(|a| !a.contains("kept"))
                {
                    sleep(Duration::from_millis(100)).await;
                }
            }
            Trouble::Upset(node, mode) => {
                self.nodes[node].behave(mode);
                sleep(lasts).await;
                self.nodes[node].behave(NodeMode::Well);
            }
            Trouble::Stall(front, node) => {
                self.nodes[node].stall(front, true);
                sleep(lasts).await;
                self.nodes[node].stall(front, false);
            }
            Trouble::Replace(node) => {
                let started_ms = lock(&self.listed)[node].started_ms;
                self.list(node, "Terminating", started_ms, Told::Drain(node));
                sleep(lasts).await;
                self.list(node, "Gone", 0, Told::Drain(node));
                self.nodes[node].behave(NodeMode::Dead);
                sleep(lasts / 2).await;
                self.nodes[node].behave(NodeMode::Well);
                self.list(node, "Ready", unix_ms(), Told::Back(node));
            }
            Trouble::Bus(front, mode) => {
                self.buses[front].behave(mode);
                sleep(lasts).await;
                self.buses[front].behave(BusMode::Well);
            }
            Trouble::BusForAll(mode) => {
                self.buses.iter().for_each(|b| b.behave(mode));
                sleep(lasts).await;
                self.buses.iter().for_each(|b| b.behave(BusMode::Well));
            }
            Trouble::Purge(objects) => {
                for object in 0..objects {
                    let (at, unix) = (Instant::now(), unix_ms());
                    lock(&self.purges).push((object, at, unix));
                    self.buses.iter().for_each(|b| b.publish(purge(object, unix), Told::Purge(object, at)));
                    sleep(Duration::from_millis(2)).await;
                }
            }
            Trouble::Step(front, by_ms) => {
                self.fronts[front].lock().await.faults.set(Fault::WallOffsetNs, by_ms * 1_000_000)?;
            }
            Trouble::Calls(front, all) => {
                for (fault, rate) in all {
                    self.fronts[front].lock().await.faults.set(fault, rate)?;
                }
                sleep(lasts).await;
                self.fronts[front].lock().await.faults.clear_rates()?;
            }
            Trouble::Misbehave(front, how_many) => {
                let at = self.ground.client_listen(front);
                self.clients.clone().misbehave(at, how_many, lasts).await;
            }
        }
        Ok(())
    }
}

fn purge(object: u64, unix: u64) -> Value {
    json!({"ban": {"url": format!("{object:016x}"), "ts": unix}})
}

/// Plays one seed.
///
/// # Errors
/// Addresses, files, processes or the C compiler for the shim can't be had.
#[allow(
    clippy::too_many_lines,
    reason = "the soak's set-up in its order: stand-ins, fronts, clients, faults, the verdict"
)]
pub async fn run(options: &Options) -> io::Result<Report> {
    let configuration: Value = serde_json::from_str(CONFIGURATION).map_err(io::Error::other)?;
    let settings = &configuration["settings"];
    let ms = |v: &Value| Duration::from_secs_f64(v.as_f64().unwrap_or(0.0) / 1000.0);
    let info = &settings["family_info"];
    let judge = Arc::new(Judge::new(
        ms(&settings["rules"]["drain_grace_ms"]),
        ms(&info["purge_slack_ms"]),
        ms(&info["purge_done_ms"]),
    ));
    let (folder, shim) = (tempfile::tempdir()?, Shim::build()?);
    let ground = Arc::new(LoopbackAddresses::reserve(options.fronts + 1)?);
    // One address more than there are fronts stands for all of them.
    let for_all = ground.gossip_advertised(options.fronts);
    peers::start(&ground, options.fronts, for_all, options.seed).await?;
    let places = (0..LOCATIONS * NODES_OF_LOCATION)
        .map(|n| (zone(n), "standard"))
        .chain((0..PARENTS).map(|_| ("north", "parent")))
        .chain([("north", "origin")]);
    let mut nodes = Vec::new();
    for (number, place) in places.enumerate() {
        nodes.push(Node::start(number, place, options.fronts, options.seed, judge.clone()).await?);
    }
    let classes = classes(settings);
    let longest = classes.iter().map(|c| Duration::from_millis(c.deadline_ms)).max().unwrap_or_default();
    let (mut buses, mut fronts) = (Vec::new(), Vec::new());
    for front in 0..options.fronts {
        buses.push(Bus::start(front, options.seed, judge.clone()).await?);
        let own = folder.path().join(format!("n{front}"));
        std::fs::create_dir_all(&own)?;
        let faults = shim.faults(&format!("n{front}"), options.seed ^ front as u64)?;
        let (clients, mut admin) = (ground.client_listen(front), ground.client_listen(front));
        admin.set_port(admin.port() + 1);
        let at = [clients, admin];
        let mut process =
            Process::new(front, at, own, options.program.clone(), faults, judge.clone(), longest);
        process.log_file =
            options.logs.as_ref().map(|dir| dir.join(format!("{}-n{front}.log", options.seed)));
        fronts.push(tokio::sync::Mutex::new(process));
    }
    let clients = Clients::new(classes, options.seed, judge.clone());
    let listed = nodes.iter().map(|_| Listed { state: "Ready", started_ms: 0 }).collect();
    let world = Arc::new(World {
        judge: judge.clone(),
        nodes,
        listed: Mutex::new(listed),
        buses,
        fronts,
        clients: clients.clone(),
        purges: Mutex::default(),
        ground,
        for_all,
        dice: Dice::new(options.seed, 6_000),
    });
    for front in 0..options.fronts {
        world.start_front(front).await?;
        let process = world.fronts[front].lock().await;
        clients.add(front, process.clients, &process.standing, CONNECTIONS, options.a_second);
    }
    let watch = tokio::spawn(watch(world.clone()));
    let plan = match options.calm {
        true => Vec::new(),
        false => draw(options.seed, options.lasts, options.fronts, world.nodes.len(), SOURCES),
    };
    let (begun, troubles) = (Instant::now(), plan.len());
    let mut playing = Vec::new();
    for planned in plan {
        sleep(planned.after.saturating_sub(begun.elapsed())).await;
        let world = world.clone();
        playing.push(tokio::spawn(async move { world.play(planned).await }));
    }
    sleep(options.lasts.saturating_sub(begun.elapsed())).await;
    for trouble in playing {
        trouble.await.map_err(io::Error::other)??;
    }
    // A quiet while, and then the end of all fronts at once, under load.
    sleep(Duration::from_secs(2)).await;
    let ends = (0..options.fronts).map(|front| {
        let world = world.clone();
        tokio::spawn(async move { world.fronts[front].lock().await.terminate().await })
    });
    for end in ends.collect::<Vec<_>>() {
        end.await.map_err(io::Error::other)?;
    }
    clients.end();
    sleep(Duration::from_secs(3)).await;
    watch.abort();
    judge.sweep();
    let (breaches, texts, counts) = judge.verdict();
    Ok(Report { seed: options.seed, breaches, texts, counts, troubles })
}

/// Looks, all the while, how late this process itself is, what was never answered, and who has crashed.
async fn watch(world: Arc<World>) {
    let step = Duration::from_millis(50);
    for n in 0_u64.. {
        let due = Instant::now() + step;
        sleep(step).await;
        world.judge.note_lateness(Instant::now().saturating_duration_since(due));
        if n % 10 == 0 {
            world.judge.sweep();
            for front in &world.fronts {
                if let Ok(mut process) = front.try_lock() {
                    process.look();
                }
            }
        }
    }
}
