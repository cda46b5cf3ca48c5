//! Starts a front in phases: sockets, gossip and view, shared state, known endpoints, background work,
//! serving.
//!
//! The order of the phases matters: every address is bound before any state is restored, manual exclusions
//! are restored before any endpoint is listed, and the front accepts clients last.

use crate::clock::Clock;
use crate::config::Config;
use crate::control::checkpoint_file::CheckpointFile;
use crate::control::checkpoint_service::{self, CheckpointSettings};
use crate::control::deployment_files::DeploymentFiles;
use crate::control::evidence::EvidenceQueue;
use crate::control::known_endpoints;
use crate::control::watch_checkpoint::CheckpointIdentity;
use crate::discovery_watch::DiscoveryWatch;
use crate::dispatch_host::DispatchHost;
use crate::event_loop;
use crate::failure::{retry_with_backoff, Failure};
use crate::gossip::GossipService;
use crate::invariants::{Invariants, Startup};
use crate::listen::{Listener, Origin};
use crate::loaded_config::LoadedConfig;
use crate::main_loop::MainLoop;
use crate::manual_exclusion::ManualExclusions;
use crate::metrics::Metrics;
use crate::pass_times::PassTimes;
use crate::peers::Peers;
use crate::plan::Plan;
use crate::reason_counts::ReasonCounts;
use crate::reload::{Reload, Signals};
use crate::server::Server;
use crate::shared::SharedState;
use crate::shutdown::ShutdownPlan;
use crate::snapshot::{RestoredState, Snapshot};
use crate::spawn::{spawn, spawn_with_deep_stack};
use crate::start_error::StartError;
use crate::upstream::connection_pool::{ConnectionLimits, ConnectionPool};
use crate::upstream::dispatch_queues::DispatchQueues;
use crate::upstream::node_registry::NodeRegistry;
use crate::upstream::upstream_memory::UpstreamMemory;
use crate::upstream::write_claims::WriteClaims;
use crate::view::ViewService;
use crate::wall_clock::WallClock;
use crate::{admin, gossip, listen, sleep, view};
use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The number of worker threads that run coroutines; a front is given one core.
const WORKER_THREADS: usize = 1;
/// The stack size of a coroutine, in words. Only pages that are touched use memory.
const COROUTINE_STACK_WORDS: usize = 0x4000;
/// The number of coroutines that are kept for reuse with their stacks. The stacks of others are released when
/// they end.
const SPARE_COROUTINES: usize = 128;
/// The longest pause between two runs of the decision crate's timers.
const MAX_TIMER_INTERVAL: Duration = Duration::from_millis(5);
/// How long binding an address is retried. A process that replaces another has 6 s to become ready.
const BIND_RETRY_PERIOD: Duration = Duration::from_secs(2);

/// Starts a front, serves until SIGTERM, and returns once the accepted requests are answered.
///
/// # Errors
/// Fails if an address cannot be bound, a thread cannot be started, the settings are invalid, or the main
/// loop panicked.
pub fn start(loaded: LoadedConfig, signals: Signals) -> Result<(), StartError> {
    let LoadedConfig { mut config, plan, gossip, view, site } = loaded;
    may::config()
        .set_workers(WORKER_THREADS)
        .set_stack_size(COROUTINE_STACK_WORDS)
        .set_pool_capacity(SPARE_COROUTINES);
    if let Err(e) = event_loop::start() {
        tracing::warn!("the event descriptor of the event loop is opened later: {e}");
    }
    let clock = Clock::start();
    let reload = Reload::new(signals.reload_requested, config.file.take(), site);
    let mut checks = Startup { signals_caught: true, ..Startup::default() };
    let core = CoreComponents::new(&config, clock);
    let Sockets { peers, clients, origin } = Sockets::open(&config)?;
    let listen = clients.local_addr().unwrap_or(config.listen);
    let gossip_from_view = gossip.as_ref().is_some_and(|g| g.from_view);
    let gossip = gossip.map(|g| open_gossip(&g, &config, &core)).transpose()?;
    let fleet = view.map(|v| open_view(&v, &config, &core.clock, gossip.as_deref())).transpose()?;
    let serving = ServingConfig::take(&mut config, gossip_from_view, origin);
    let peer_services = PeerServices { peers, gossip, fleet };
    let front = build_shared_state(config, &serving, plan, core, peer_services)?;
    admin::restore_manual_exclusions(&front);
    checks.exclusions_restored = true;
    known_endpoints::load(&front, &serving.known_events);
    spawn_services(&front, &serving)?;
    if origin == Origin::Inherited {
        tracing::info!(
            "clients are accepted on the socket handed over in {}",
            listen::INHERITED_SOCKET_VARIABLE
        );
        admin::follow_manual_exclusions(front.clone()).map_err(StartError::Thread)?;
    }
    open_admin_interface(&front, &serving)?;
    checks.may_serve(&front.invariants);
    tracing::info!("front {} listens on {listen}", serving.name);
    let acceptor = clients.waker();
    spawn_serving(&front, clients, origin);
    let plan = ShutdownPlan::new(serving.longest_deadline_ms, origin);
    let main_loop = MainLoop::new(front, signals.terminate_requested, reload, plan, acceptor);
    let running = may::go!(move || main_loop.run());
    running.join().map_err(|_| StartError::Panic)
}

/// The components that every later phase uses. Creating them makes no system call that can fail.
struct CoreComponents {
    clock: Clock,
    invariants: Arc<Invariants>,
    reason_counts: Arc<ReasonCounts>,
    upstream: Arc<ConnectionPool>,
    /// Evidence of faulty cache nodes, queued by the dispatchers for the gossip.
    evidence: EvidenceQueue,
}

impl CoreComponents {
    fn new(config: &Config, clock: Clock) -> CoreComponents {
        let limits = ConnectionLimits {
            streams: config.streams,
            connect_timeout: config.connect_timeout,
            idle: config.idle_timeout,
            connections: config.budget.upstream,
        };
        let memory = UpstreamMemory::new(&config.budget);
        let (invariants, reason_counts) =
            (Arc::new(Invariants::default()), Arc::new(ReasonCounts::default()));
        let upstream =
            Arc::new(ConnectionPool::new(limits, memory, invariants.clone(), reason_counts.clone()));
        CoreComponents { clock, invariants, reason_counts, upstream, evidence: EvidenceQueue::default() }
    }
}

/// The sockets that the configuration names, bound.
struct Sockets {
    peers: Option<Arc<Peers>>,
    clients: Listener,
    /// Whether the clients' socket was bound by this process or inherited.
    origin: Origin,
}

impl Sockets {
    fn open(config: &Config) -> Result<Sockets, StartError> {
        let peers = match config.peer_listen {
            Some(at) => {
                let peers = bind_with_retry(at, || Peers::bind(at, config.peers.clone(), config.peers_all))?;
                Some(Arc::new(peers))
            }
            None => None,
        };
        let (clients, origin) =
            bind_with_retry(config.listen, || listen::open_client_listener(config.listen))?;
        Ok(Sockets { peers, clients, origin })
    }
}

/// Binds an address. Retries for `BIND_RETRY_PERIOD` while this machine lacks a resource or an earlier
/// process still holds the address.
fn bind_with_retry<T>(at: SocketAddr, bind: impl Fn() -> std::io::Result<T>) -> Result<T, StartError> {
    let retry = |e: &std::io::Error| Failure::classify(e) != Failure::Remote;
    retry_with_backoff(BIND_RETRY_PERIOD, retry, |_| bind()).map_err(|e| StartError::Bind(at, e))
}

fn open_gossip(
    plan: &gossip::GossipPlan,
    config: &Config,
    core: &CoreComponents,
) -> Result<Arc<GossipService>, StartError> {
    let at = plan.config.addr;
    let gossip = GossipService::bind(plan, &core.clock, config.seed, core.evidence.clone());
    let gossip = Arc::new(gossip.map_err(|e| StartError::Bind(at, e))?);
    if let Some(path) = &plan.control {
        gossip.serve_status(path).map_err(|e| StartError::Control(path.clone(), e))?;
    }
    tracing::info!("gossip at {}", gossip.addr());
    Ok(gossip)
}

/// Opens the fleet's membership view with the peers restored from its durable store, if it has one, and
/// starts the store's thread.
fn open_view(
    plan: &view::ViewPlan,
    config: &Config,
    clock: &Clock,
    gossip: Option<&GossipService>,
) -> Result<Arc<ViewService>, StartError> {
    let opened = plan.store.as_deref().and_then(|file| Snapshot::open_with_timeout(file, random_store_id()));
    // Each process gets its own seed: the process id and the order of contacts that are drawn from it must
    // differ between processes with the same configuration.
    let seed = config.seed ^ unix_nanos() ^ u64::from(std::process::id()).rotate_left(32);
    let gossip_addr = gossip.map(super::control::gossip::GossipService::advertised_addr);
    let (snapshot, restored) =
        opened.map_or((None, RestoredState::default()), |(snapshot, restored)| (Some(snapshot), restored));
    let fleet = ViewService::bind(plan, clock, seed, gossip_addr, restored.peers);
    let fleet = Arc::new(fleet.map_err(|e| StartError::Bind(plan.listen, e))?);
    if let Some(snapshot) = snapshot {
        let fleet = fleet.clone();
        spawn_thread("store", move || snapshot.run(fleet))?;
    }
    if let Some(path) = &plan.control {
        fleet.serve_control_socket(path).map_err(|e| StartError::Control(path.clone(), e))?;
    }
    tracing::info!("view at {}", fleet.addr());
    Ok(fleet)
}

/// A random id for a new, empty store; each call returns a different one.
fn random_store_id() -> u64 {
    let seed = unix_nanos() ^ u64::from(std::process::id()).rotate_left(40);
    rand::Rng::random(&mut <rand_chacha::ChaCha8Rng as rand::SeedableRng>::seed_from_u64(seed))
}

fn unix_nanos() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_nanos() as u64
}

fn spawn_thread(name: &str, run: impl FnOnce() + Send + 'static) -> Result<(), StartError> {
    let thread = std::thread::Builder::new().name(name.into()).spawn(run);
    thread.map(drop).map_err(StartError::Thread)
}

/// The parts of the configuration that the phases after [`build_shared_state`] need.
struct ServingConfig {
    /// The front's name.
    name: String,
    /// The bus events that the configuration contains.
    known_events: Vec<serde_json::Value>,
    has_bus: bool,
    /// The address of the admin interface, used where `$RELAY_OPS` names none; `None` for no interface.
    admin: Option<SocketAddr>,
    /// How many callers the admin interface serves at the same time.
    admin_callers: usize,
    /// Whether the gossip takes its members from the fleet's membership view.
    gossip_from_view: bool,
    /// The longest deadline of any request class, in milliseconds.
    longest_deadline_ms: f64,
    /// Whether the clients' socket was bound by this process or inherited.
    origin: Origin,
    checkpoints: CheckpointSettings,
}

impl ServingConfig {
    fn take(config: &mut Config, gossip_from_view: bool, origin: Origin) -> ServingConfig {
        let settings = &config.settings;
        ServingConfig {
            name: config.name.clone(),
            known_events: std::mem::take(&mut config.known_events),
            has_bus: config.bus.is_some(),
            admin: config.admin_listen,
            admin_callers: config.budget.callers,
            gossip_from_view,
            longest_deadline_ms: settings.classes.iter().map(|c| c.deadline_ms).fold(0.0, f64::max),
            origin,
            checkpoints: CheckpointSettings {
                slow_start_ms: settings.slow_start_ms.max(settings.parent_slow_start_ms),
                purge_retention_ms: settings.purge_retention_ms(),
                follows: origin == Origin::Inherited,
            },
        }
    }
}

/// The services that communicate with other fronts; `None` for each that is not configured.
struct PeerServices {
    peers: Option<Arc<Peers>>,
    gossip: Option<Arc<GossipService>>,
    fleet: Option<Arc<ViewService>>,
}

/// Builds the shared state of the front.
fn build_shared_state(
    config: Config,
    serving: &ServingConfig,
    plan: Option<Plan>,
    core: CoreComponents,
    services: PeerServices,
) -> Result<Arc<SharedState>, StartError> {
    let CoreComponents { clock, invariants, reason_counts, upstream, evidence } = core;
    let PeerServices { peers, gossip, fleet } = services;
    let registry = Arc::new(NodeRegistry::default());
    let effects: Arc<[_]> = config.settings.classes.iter().map(|c| c.effect).collect();
    let host = || DispatchHost {
        upstream: upstream.clone(),
        peers: peers.clone(),
        registry: registry.clone(),
        effects: effects.clone(),
        evidence: evidence.clone(),
        sources: [config.settings.parent_kind, config.settings.origin_kind],
    };
    let files = DeploymentFiles::new(&std::env::temp_dir(), &config.name, config.listen, &config.names);
    // Another process of this front can run at the same time only on a socket that the platform passes to both.
    let shared_claims = (serving.origin == Origin::Inherited).then(|| files.hidden("writes"));
    let identity = CheckpointIdentity::new(files.digest(), config.seed, serving.known_events.first());
    let checkpoint_file = serving.has_bus.then(|| CheckpointFile::new(&files, identity));
    let classes = config.settings.classes.clone();
    let class_names = classes.iter().map(|c| c.name.to_string()).collect();
    let queues = DispatchQueues::new(&config.settings, config.seed, plan, registry.clone(), host);
    let queues = queues.map_err(StartError::Settings)?;
    Ok(Arc::new(SharedState {
        clock,
        wall_clock: WallClock::start(clock),
        names: config.names,
        queues,
        gossip,
        fleet,
        upstream,
        server: Server::new(config.budget, classes),
        peers,
        bus: DiscoveryWatch::new(config.bus, config.known_offset, config.seed, config.budget.bus_input),
        checkpoint_file,
        endpoints_listed: AtomicBool::new(false),
        shutting_down: AtomicBool::new(false),
        metrics: Metrics::new(class_names),
        main_loop_passes: PassTimes::new(Instant::now()),
        reason_counts,
        invariants,
        drain_grace_ms: config.settings.drain_grace_ms,
        write_claims: WriteClaims::new(shared_claims),
        manual_exclusions: ManualExclusions::for_deployment(&files),
    }))
}

/// Starts the coroutines and threads that communicate with other fronts and with the event bus.
fn spawn_services(front: &Arc<SharedState>, serving: &ServingConfig) -> Result<(), StartError> {
    if let Some(gossip) = front.gossip.clone() {
        let (listening, f) = (gossip.clone(), front.clone());
        spawn(move || listening.listen(f.queues.as_slice()));
        let (f, from_view) = (front.clone(), serving.gossip_from_view);
        spawn(move || gossip.run(f.queues.as_slice(), f.fleet.as_deref().filter(|_| from_view)));
    }
    if let Some(fleet) = front.fleet.clone() {
        spawn_thread("view", move || fleet.run())?;
    }
    if serving.has_bus {
        let f = front.clone();
        spawn_with_deep_stack(move || f.bus.run(&*f));
        checkpoint_service::spawn(front.clone(), serving.checkpoints).map_err(StartError::Thread)?;
    }
    if let Some(peers) = front.peers.clone() {
        let f = front.clone();
        spawn(move || peers.run(|slot, message| f.deliver_peer_message(slot, message)));
    }
    Ok(())
}

fn open_admin_interface(front: &Arc<SharedState>, serving: &ServingConfig) -> Result<(), StartError> {
    let address = match std::env::var(admin::ADDRESS_VARIABLE) {
        Ok(v) if !v.trim().is_empty() => Some(v.trim().parse().map_err(|_| StartError::AdminAddress(v))?),
        _ => serving.admin,
    };
    if let Some(at) = address {
        let bound = bind_with_retry(at, || admin::bind_and_serve(front.clone(), at, serving.admin_callers))?;
        tracing::info!("operators' door at {bound}");
    }
    Ok(())
}

/// Starts the coroutines that accept clients and run the decision crate's timers.
fn spawn_serving(front: &Arc<SharedState>, clients: Listener, origin: Origin) {
    let f = front.clone();
    spawn(move || f.server.accept_clients(&f, clients, origin));
    let f = front.clone();
    spawn(move || loop {
        let next = f.queues.as_slice().iter().filter_map(|q| q.tick(&f.clock)).reduce(f64::min);
        // Sleeping off the worker thread is safe here: the dispatchers and their host are guarded by locks.
        let wait = next.map_or(MAX_TIMER_INTERVAL, |at| {
            f.clock.time_until(at).clamp(Duration::from_millis(1), MAX_TIMER_INTERVAL)
        });
        sleep::sleep_off_the_worker(wait);
    });
}
