//! Replacing the process of a front while the event bus is down or is reached by the old process only: what
//! the old process was told holds at the new one.
//!
//! Each test first shows that a cache node is in use, so that a later count of 0 requests means something.

mod common;

use command_fds::{CommandFdExt, FdMapping};
use common::event_bus::{EventBus, Reachable};
use common::scripted::{encode_call, read_answer, test_configuration, ScriptedFront};
use common::{wait_until, Node};
use serde_json::{json, Value as Json};
use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// A class of the example configuration whose calls are reads.
const READ_CLASS: &str = "account-pages";
/// Time after a front was told that a node drains in which requests may still reach it, with what sockets add.
const DRAIN_GRACE: Duration = Duration::from_millis(550);
/// How long the tests watch a node that must get no requests.
const WATCH_TIME: Duration = Duration::from_millis(1500);
/// The number of clients that send one call after another.
const CLIENTS: u64 = 4;
/// The pause of a client between two calls.
const CLIENT_PAUSE: Duration = Duration::from_millis(5);
/// The number of requests after which a node counts as in use.
const IN_USE: usize = 10;

/// The nodes of the deployment: id, zone and kind.
const NODES: [(&str, &str, &str); 7] = [
    ("c1", "edge-1", "standard"),
    ("c2", "edge-1", "standard"),
    ("c3", "edge-1", "standard"),
    ("c4", "edge-1", "standard"),
    ("p1", "north", "parent"),
    ("p2", "north", "parent"),
    ("o1", "north", "origin"),
];

/// A front whose process can be replaced, with its cache nodes, its event bus and its clients' socket.
struct Deployment {
    nodes: BTreeMap<&'static str, Node>,
    bus: EventBus,
    socket: TcpListener,
    folder: tempfile::TempDir,
    configuration: Json,
    /// The number of processes started so far.
    started: AtomicU64,
}

impl Deployment {
    fn new(name: &str) -> Deployment {
        let nodes: BTreeMap<_, _> = NODES.iter().map(|(id, ..)| (*id, Node::start())).collect();
        let bus = EventBus::start(1);
        let socket = TcpListener::bind("127.0.0.1:0").expect("a loopback port can be bound");
        let folder = tempfile::tempdir().expect("a temporary folder can be created");
        let mut deployment =
            Deployment { nodes, bus, socket, folder, configuration: Json::Null, started: AtomicU64::new(0) };
        let unused: SocketAddr = ([127, 0, 0, 1], 1).into();
        let servers =
            ["a", "b", "bus"].into_iter().map(|server| (server, common::scripted::ScriptedServer::new()));
        let mut configuration = test_configuration(&servers.collect(), unused);
        let listed: Vec<Json> = NODES.iter().map(|(id, ..)| deployment.entry(id, "Ready", 0)).collect();
        configuration["name"] = name.into();
        configuration["listen"] = deployment.client_address().into();
        configuration["bus"] = deployment.bus.addr.to_string().into();
        configuration["settings"]["permissions"]["peers"] = false.into();
        configuration["known"]["batch"] =
            json!([{"offset": 1, "topology": {"version": 1, "full": true, "servers": listed}}]);
        deployment.configuration = configuration;
        deployment
    }

    fn client_address(&self) -> String {
        self.socket.local_addr().expect("the socket is bound").to_string()
    }

    /// The entry of a node in an endpoint list.
    fn entry(&self, id: &str, state: &str, started_ms: u64) -> Json {
        let (_, zone, kind) = NODES.iter().find(|(known, ..)| *known == id).expect("the node is known");
        json!({"id": id, "addr": self.nodes[id].addr.to_string(), "zone": zone, "kind": kind, "cell": 0,
               "state": state, "weight": 1, "started_ms": started_ms})
    }

    /// Starts a process on the clients' socket, with the configuration and the folder of all processes.
    fn start_process(&self) -> ScriptedFront {
        let number = self.started.fetch_add(1, Ordering::SeqCst);
        let name = format!("{}-{number}", self.configuration["name"].as_str().expect("the name is text"));
        let fd = OwnedFd::from(self.socket.try_clone().expect("the socket can be duplicated"));
        let change = |c: &mut Json| *c = self.configuration.clone();
        ScriptedFront::start_prepared(&name, Vec::new(), change, |command| {
            command
                .env("TMPDIR", self.folder.path())
                .env("RELAY_OPS", "127.0.0.1:0")
                .env("RELAY_PASSED_SOCKET", "3")
                .fd_mappings(vec![FdMapping { parent_fd: fd, child_fd: 3 }])
                .expect("the socket can be mapped to descriptor 3");
        })
    }

    /// Publishes the states of nodes on the event bus, and returns the time.
    fn publish_states(&self, states: &[(&str, &str)]) -> Instant {
        let entries: Vec<Json> = states.iter().map(|(id, state)| self.entry(id, state, 0)).collect();
        let list = json!({"version": 2, "full": false, "servers": entries});
        self.bus.publish(&format!("\"topology\":{list}"))
    }

    /// The requests that any node received after `at` and that were sent to this node or filled from it.
    fn requests_for(&self, id: &str, at: Instant) -> usize {
        let filled = self.nodes.values().flat_map(|node| node.requests_after(at));
        let filled = filled.filter(|request| request.fields.get("via").is_some_and(|via| via == id)).count();
        self.nodes[id].requests_after(at).len() + filled
    }

    /// Waits until a node gets requests.
    fn wait_until_used(&self, id: &str) {
        let since = Instant::now();
        wait_until(&format!("node {id} gets requests"), || self.requests_for(id, since) >= IN_USE);
    }

    fn start_clients(&self) -> Clients {
        let stop = Arc::new(AtomicBool::new(false));
        let threads = (0..CLIENTS).map(|_| {
            let (stop, addr) = (stop.clone(), self.client_address());
            std::thread::spawn(move || {
                while !stop.load(Ordering::SeqCst) {
                    let _ = call_once(&addr);
                    std::thread::sleep(CLIENT_PAUSE);
                }
            })
        });
        Clients { threads: threads.collect(), stop }
    }
}

/// Clients that send calls for new objects, each on a new connection, until this is dropped.
struct Clients {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Drop for Clients {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        self.threads.drain(..).for_each(|thread| drop(thread.join()));
    }
}

/// The number of the next call of any client, which is its trace and its object.
static NEXT_CALL: AtomicU64 = AtomicU64::new(1);

/// Sends one call on a new connection and waits for its answer.
fn call_once(addr: &str) -> std::io::Result<String> {
    let number = NEXT_CALL.fetch_add(1, Ordering::SeqCst);
    let mut client = TcpStream::connect(addr)?;
    client.set_read_timeout(Some(Duration::from_secs(2)))?;
    let object = format!("{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    client.write_all(&encode_call(1, READ_CLASS, number, 1500, &[("entity", &object)]))?;
    Ok(read_answer(&mut client))
}

/// When the old process ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OldProcess {
    /// By SIGTERM, after the new process serves.
    Terminated,
    /// By SIGKILL, after the new process serves.
    KilledAfterwards,
    /// By SIGKILL, before the new process starts.
    KilledBefore,
}

/// Replaces the process once, and returns the new one.
fn replace(deployment: &Deployment, mut old: ScriptedFront, ending: OldProcess) -> ScriptedFront {
    let end = |old: &mut ScriptedFront, signal| {
        old.signal(signal);
        let _ = old.child.wait();
    };
    if ending == OldProcess::KilledBefore {
        end(&mut old, "KILL");
        return deployment.start_process();
    }
    let new = deployment.start_process();
    end(&mut old, if ending == OldProcess::Terminated { "TERM" } else { "KILL" });
    new
}

/// One replacement of the process while the event bus is down.
#[derive(Clone, Copy, Debug)]
struct Outage {
    name: &'static str,
    /// The nodes that the old process is told to take out of use, with their states.
    told: &'static [(&'static str, &'static str)],
    /// The time from the event to the loss of the bus.
    told_before_loss: Duration,
    old: OldProcess,
    replacements: usize,
}

const OUTAGES: [Outage; 8] = {
    const USUAL: Outage = Outage {
        name: "drain",
        told: &[("c1", "Terminating")],
        told_before_loss: Duration::from_millis(1000),
        old: OldProcess::Terminated,
        replacements: 1,
    };
    [
        USUAL,
        Outage { name: "gone", told: &[("c1", "Gone")], ..USUAL },
        Outage { name: "parent", told: &[("p1", "Terminating")], ..USUAL },
        Outage { name: "two", told: &[("c1", "Terminating"), ("c2", "Gone")], ..USUAL },
        Outage { name: "just", told_before_loss: Duration::from_millis(150), ..USUAL },
        Outage { name: "killed", old: OldProcess::KilledAfterwards, ..USUAL },
        Outage { name: "killed-before", old: OldProcess::KilledBefore, ..USUAL },
        Outage { name: "four", replacements: 4, ..USUAL },
    ]
};

/// Plays an outage; returns the number of requests for the nodes that were taken out, after the grace, and
/// checks that a node which is ready again is used again.
fn play(outage: &Outage) -> usize {
    let deployment = Deployment::new(outage.name);
    let mut process = deployment.start_process();
    let _clients = deployment.start_clients();
    outage.told.iter().for_each(|(id, _)| deployment.wait_until_used(id));
    let told = deployment.publish_states(outage.told);
    process.wait_for_log("bus offset=2");
    std::thread::sleep(outage.told_before_loss.saturating_sub(told.elapsed()));
    deployment.bus.set_reachable(Reachable::Nobody);
    for _ in 0..outage.replacements {
        process = replace(&deployment, process, outage.old);
    }
    std::thread::sleep(WATCH_TIME);
    let late = outage.told.iter().map(|(id, _)| deployment.requests_for(id, told + DRAIN_GRACE)).sum();
    deployment.bus.set_reachable(Reachable::Everyone);
    let ready: Vec<_> = outage.told.iter().map(|(id, _)| (*id, "Ready")).collect();
    deployment.publish_states(&ready);
    outage.told.iter().for_each(|(id, _)| deployment.wait_until_used(id));
    late
}

/// A process that replaced another while the event bus was down used the nodes of its configuration, and so
/// those that the old process had been told to take out of use (case 10 of the second review).
#[test]
fn nodes_that_the_old_process_took_out_of_use_stay_out_while_the_bus_is_down() {
    let plays: Vec<_> =
        OUTAGES.iter().map(|outage| (outage.name, std::thread::spawn(|| play(outage)))).collect();
    let late: Vec<_> =
        plays.into_iter().map(|(name, play)| (name, play.join().expect("the play ends"))).collect();
    assert!(late.iter().all(|(_, late)| *late == 0), "late requests: {late:?}");
}
