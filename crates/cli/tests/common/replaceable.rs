//! A front on a passed socket whose process can be replaced, with its cache nodes, its event bus and clients.

use super::event_bus::EventBus;
use super::scripted::{encode_call, read_answer, test_configuration, ScriptedFront, ScriptedServer};
use super::{wait_until, Node};
use command_fds::{CommandFdExt, FdMapping};
use serde_json::{json, Value as Json};
use std::collections::{BTreeMap, HashMap};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// A class of the example configuration whose calls are reads.
pub const READ_CLASS: &str = "account-pages";
/// A class of the example configuration whose copies are good until they are purged.
pub const UNLIMITED_CLASS: &str = "statement-docs";
/// How long a client waits for its answer, in milliseconds.
const PATIENCE_MS: u64 = 1500;
/// How long a client waits for its answer before it gives up the connection.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(2);
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

/// A site document with a pool; the addresses are those that the event bus lists.
const SITE_WITH_POOL: &str = r#"site "s" members-from="bus"
zone "north"
zone "edge-1"
member "c1" address="127.0.0.1:1"
member "c2" address="127.0.0.1:1"
member "c3" address="127.0.0.1:1"
member "c4" address="127.0.0.1:1"
pool "all" {
    use "c1"
    use "c2"
    use "c3"
    use "c4"
}
routes order="longest" {
    route "/" pool="all"
}
"#;

/// A front whose process can be replaced, with its cache nodes, its event bus and its clients' socket.
pub struct Deployment {
    pub nodes: BTreeMap<&'static str, Node>,
    pub bus: EventBus,
    pub socket: TcpListener,
    pub folder: tempfile::TempDir,
    pub configuration: Json,
    /// The site document, if the front has one.
    site: Option<PathBuf>,
    /// The number of processes started so far.
    started: AtomicU64,
}

impl Deployment {
    pub fn new(name: &str) -> Deployment {
        let nodes: BTreeMap<_, _> = NODES.iter().map(|(id, ..)| (*id, Node::start())).collect();
        let bus = EventBus::start(1);
        let socket = TcpListener::bind("127.0.0.1:0").expect("a loopback port can be bound");
        let folder = tempfile::tempdir().expect("a temporary folder can be created");
        let mut deployment = Deployment {
            nodes,
            bus,
            socket,
            folder,
            configuration: Json::Null,
            site: None,
            started: AtomicU64::new(0),
        };
        let unused: SocketAddr = ([127, 0, 0, 1], 1).into();
        let servers = ["a", "b", "bus"].into_iter().map(|server| (server, ScriptedServer::new()));
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

    /// Like [`Deployment::new`], with a site document whose only pool has the cache nodes as members.
    pub fn with_pool(name: &str) -> Deployment {
        let mut deployment = Deployment::new(name);
        let file = deployment.folder.path().join("site.kdl");
        std::fs::write(&file, SITE_WITH_POOL).expect("the site document can be written");
        deployment.site = Some(file);
        deployment
    }

    pub fn client_address(&self) -> String {
        self.socket.local_addr().expect("the socket is bound").to_string()
    }

    /// The entry of a node in an endpoint list.
    pub fn entry(&self, id: &str, state: &str, started_ms: u64) -> Json {
        let (_, zone, kind) = NODES.iter().find(|(known, ..)| *known == id).expect("the node is known");
        json!({"id": id, "addr": self.nodes[id].addr.to_string(), "zone": zone, "kind": kind, "cell": 0,
               "state": state, "weight": 1, "started_ms": started_ms})
    }

    /// Starts a process on the clients' socket, with the configuration and the folder of all processes.
    pub fn start_process(&self) -> ScriptedFront {
        self.start_process_with(&[])
    }

    /// Like [`Deployment::start_process`], with additional environment variables.
    pub fn start_process_with(&self, env: &[(&str, String)]) -> ScriptedFront {
        let number = self.started.fetch_add(1, Ordering::SeqCst);
        let name = format!("{}-{number}", self.configuration["name"].as_str().expect("the name is text"));
        let fd = OwnedFd::from(self.socket.try_clone().expect("the socket can be duplicated"));
        let change = |c: &mut Json| *c = self.configuration.clone();
        ScriptedFront::start_prepared(&name, Vec::new(), change, |command| {
            if let Some(site) = &self.site {
                command.args(["run", "--site"]).arg(site);
            }
            command
                .env("TMPDIR", self.folder.path())
                .env("RELAY_OPS", "127.0.0.1:0")
                .env("RELAY_PASSED_SOCKET", "3")
                .envs(env.iter().cloned())
                .fd_mappings(vec![FdMapping { parent_fd: fd, child_fd: 3 }])
                .expect("the socket can be mapped to descriptor 3");
        })
    }

    /// Publishes the states of nodes on the event bus, and returns the time.
    pub fn publish_states(&self, states: &[(&str, &str)]) -> Instant {
        let entries: Vec<Json> = states.iter().map(|(id, state)| self.entry(id, state, 0)).collect();
        let list = json!({"version": 2, "full": false, "servers": entries});
        self.bus.publish(&format!("\"topology\":{list}"))
    }

    /// The requests that any node received after `at` and that were sent to this node or filled from it.
    pub fn requests_for(&self, id: &str, at: Instant) -> usize {
        let filled = self.nodes.values().flat_map(|node| node.requests_after(at));
        let filled = filled.filter(|request| request.fields.get("via").is_some_and(|via| via == id)).count();
        self.nodes[id].requests_after(at).len() + filled
    }

    /// The path of the file with that extension that the processes share; `None` if there is none.
    pub fn shared_file(&self, extension: &str) -> Option<PathBuf> {
        let files = std::fs::read_dir(self.folder.path()).expect("the folder can be read");
        let mut paths = files.flatten().map(|file| file.path());
        paths.find(|path| path.extension().is_some_and(|e| e == extension))
    }

    /// The offset of the stored checkpoint.
    pub fn stored_offset(&self) -> Option<u64> {
        let text = std::fs::read_to_string(self.shared_file("watch")?).ok()?;
        serde_json::from_str::<Json>(text.lines().nth(1)?).ok()?["offset"].as_u64()
    }

    /// Waits until a checkpoint of the event with this offset is stored, and returns its path.
    pub fn wait_until_stored(&self, offset: u64) -> PathBuf {
        wait_until(&format!("event {offset} is stored"), || self.stored_offset() == Some(offset));
        self.shared_file("watch").expect("a checkpoint is stored")
    }

    /// Sends one call for an object of a group, and returns the fields of the request that a node received
    /// for it.
    pub fn fields_of_call(&self, object: &str, group: &str) -> HashMap<String, String> {
        let at = Instant::now();
        let call = [("entity", object), ("set", group)];
        call_once(&self.client_address(), UNLIMITED_CLASS, &call).expect("the call is answered");
        let mut received = self.nodes.values().flat_map(|node| node.requests_after(at));
        let of_object =
            received.find(|request| request.fields.get("item").is_some_and(|item| item == object));
        of_object.expect("a node received the request").fields
    }

    /// Waits until a node gets requests.
    pub fn wait_until_used(&self, id: &str) {
        let since = Instant::now();
        wait_until(&format!("node {id} gets requests"), || self.requests_for(id, since) >= IN_USE);
    }

    pub fn start_clients(&self) -> Clients {
        let (stop, counts) = (Arc::new(AtomicBool::new(false)), Arc::new(CallCounts::default()));
        let threads = (0..CLIENTS).map(|_| {
            let (stop, addr, counts) = (stop.clone(), self.client_address(), counts.clone());
            std::thread::spawn(move || {
                while !stop.load(Ordering::SeqCst) {
                    let answer = call_once(&addr, READ_CLASS, &[]);
                    let served = answer.is_ok_and(|answer| answer.starts_with("[1,1,null,"));
                    (if served { &counts.served } else { &counts.other }).fetch_add(1, Ordering::SeqCst);
                    std::thread::sleep(CLIENT_PAUSE);
                }
            })
        });
        Clients { threads: threads.collect(), stop, counts }
    }
}

/// Clients that send calls for new objects, each on a new connection, until this is dropped.
pub struct Clients {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
    pub counts: Arc<CallCounts>,
}

/// How the calls of clients ended.
#[derive(Debug, Default)]
pub struct CallCounts {
    pub served: AtomicUsize,
    /// Rejected, failed, or not answered.
    pub other: AtomicUsize,
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
pub fn call_once(addr: &str, class: &str, more: &[(&str, &str)]) -> std::io::Result<String> {
    let number = NEXT_CALL.fetch_add(1, Ordering::SeqCst);
    let mut client = TcpStream::connect(addr)?;
    client.set_read_timeout(Some(CLIENT_TIMEOUT))?;
    let object = format!("{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    let fields = [&[("entity", object.as_str())], more].concat();
    client.write_all(&encode_call(1, class, number, PATIENCE_MS, &fields))?;
    Ok(read_answer(&mut client))
}
