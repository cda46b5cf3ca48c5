//! The front on real sockets. Clients speak MessagePack-RPC, cache nodes RESP; what is done with a request is
//! decided by [`fernslip`] behind its facade.
//!
//! [`start`] takes a [`Start`], a configuration and perhaps a site document, and serves until the process is told to
//! end.

pub mod buffer;
pub mod clients;
pub mod clock;
pub mod control;
pub mod failure;
pub mod invariants;
pub mod link;
pub mod log;
pub mod reason_counts;
pub mod shutdown;
pub mod sleep;
mod spawn;
pub mod upstream;
pub mod wall_clock;

pub use clients::{budget, call, forward, listen, metrics, msgpack_rpc, server};
pub use control::{
    admin, config, discovery_watch, gossip, keyfile, manual_exclusion, peers, plan, reload, snapshot, view,
    watch_history,
};
pub use upstream::{connection_pool, dispatch_queue, pending_attempt, resp, send_guard};

use clock::Clock;
use config::{Config, ConfigError};
use connection_pool::{BlockerWaiter, ConnectionLimits, ConnectionPool};
use discovery_watch::DiscoveryWatch;
use dispatch_queue::{DispatchQueues, NodeRegistry};
use failure::{patiently, Failure};
use fernslip::facade::{Host, Waiter};
use fernslip::json::Names;
use fernslip::{CacheId, Effect, Entry, RequestId, Sign};
use fernslip_pool::Endpoint;
use fernslip_site::Site;
use fernslip_view::Stand;
use gossip::Talk;
use invariants::{Invariant, Invariants, Startup};
use may::sync::Blocker;
use peers::Peers;
use plan::Plan;
use reason_counts::ReasonCounts;
use reload::{Reload, Signals};
use shutdown::ShutdownPlan;
use spawn::{spawn, spawn_deep};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use view::Fleet;
use wall_clock::WallClock;

/// One core: one worker.
const WORKERS: usize = 1;
/// Words of a coroutine's stack; only what is touched costs memory.
const STACK_WORDS: usize = 0x4000;
/// The module's timers are run this often at least.
const TICK: Duration = Duration::from_millis(5);
const SWEEP: Duration = Duration::from_millis(100);
/// At its end the front looks this often at what is left.
const SWEEP_AT_END: Duration = Duration::from_millis(10);
/// An address that can't be had is tried again for so long: a process that is ready within 6 s may replace another.
const BIND_WITHIN: Duration = Duration::from_secs(2);
/// Without any list for so long the front says that it serves all the same: what the list holds up must not hold up
/// the platform's release. Requests are refused at once until the list is there.
const LIST_WAIT: Duration = Duration::from_millis(1000);
/// After `evacuate` connections are closed as they fall idle: the platform sends new ones for 0.2 s more, and
/// clients that are between two requests get a moment to send the second.
const EVACUATE_GRACE: Duration = Duration::from_millis(300);

/// What a front is started with, read and checked.
pub struct Start {
    /// Its configuration.
    pub config: Config,
    /// What its site document says, if it has one.
    pub plan: Option<Plan>,
    /// How it gossips, if it does.
    pub gossip: Option<gossip::Plan>,
    /// How it keeps a view of the fleet, if it does.
    pub view: Option<view::Plan>,
    site: Option<PathBuf>,
}

impl Start {
    /// Reads the files: the configuration, which is the one that `RELAY_CONFIG` names where none is given, and the
    /// site document. A document that describes the front itself needs no configuration.
    ///
    /// # Errors
    /// Files that can't be read, mistakes in them, and all that keeps a front from serving from the document.
    pub fn read(config: Option<PathBuf>, site: Option<PathBuf>) -> Result<Start, ConfigError> {
        let document = match &site {
            Some(file) => {
                let text = std::fs::read_to_string(file).map_err(ConfigError::Read)?;
                Some(Site::parse(&file.display().to_string(), &text).map_err(ConfigError::Site)?.site)
            }
            None => None,
        };
        let file = config.or_else(|| std::env::var_os("RELAY_CONFIG").map(PathBuf::from));
        let config = match (&file, &document) {
            (Some(file), _) => Config::read(file)?,
            (None, Some(document)) => plan::config(document).map_err(ConfigError::Plan)?,
            (None, None) => return Err(ConfigError::NoFile),
        };
        let plan = match &document {
            Some(d) => Some(Plan::of(d, &config.names, &config.settings).map_err(ConfigError::Plan)?),
            None => None,
        };
        let gossip = match document.as_ref().and_then(|d| d.effective().gossip) {
            Some(g) => Some(gossip::Plan::of(&g, &config.name).map_err(ConfigError::Plan)?),
            None => None,
        };
        let view = match document.as_ref().and_then(|d| d.effective().view) {
            Some(v) => {
                let zone = document.as_ref().and_then(|d| d.front.as_ref()?.zone.clone()).unwrap_or_default();
                // The documents, not what they say of this front alone: fronts of one configuration show the same.
                let text = |p: &Option<PathBuf>| p.as_ref().and_then(|p| std::fs::read_to_string(p).ok());
                let texts = format!("{:?}{:?}", text(&file), document.as_ref().map(plan::shared));
                let hash = fernslip_view::Id::of(&texts).0 as u32;
                Some(view::Plan::of(&v, &config.name, &zone, hash).map_err(ConfigError::Plan)?)
            }
            None => None,
        };
        Ok(Start { config, plan, gossip, view, site })
    }
}

/// The facade's way out to the sockets.
pub struct Ways {
    upstream: Arc<ConnectionPool>,
    peers: Option<Arc<Peers>>,
    registry: Arc<NodeRegistry>,
    effects: Arc<[Effect]>,
    evidence: gossip::Evidence,
    sources: [Option<usize>; 2],
}

impl Ways {
    /// A pool's machine as the module's list has it.
    fn entry(&self, m: &Endpoint, mean: f64) -> Entry {
        self.registry.entry(m, mean)
    }

    /// Whether machines of that kind are parents or the origin.
    fn is_source(&self, kind: Option<usize>) -> bool {
        kind.is_some() && self.sources.contains(&kind)
    }

    /// What may be repeated of a class.
    fn effect(&self, class: usize) -> Effect {
        self.effects.get(class).copied().unwrap_or(Effect::AtMostOnce)
    }
}

impl Host for Ways {
    fn waiter(&self) -> Arc<dyn Waiter> {
        Arc::new(BlockerWaiter(Blocker::current()))
    }

    fn cancel(&self, id: RequestId, attempt: u32) {
        self.upstream.cancel(id, attempt);
    }

    fn tell(&self, to: u32, data: &[u8]) {
        if let Some(p) = &self.peers {
            p.send_to(to, data);
        }
    }

    fn tell_all(&self, data: &[u8]) {
        if let Some(p) = &self.peers {
            p.broadcast(data);
        }
    }

    fn draining(&self, caches: &[CacheId]) {
        self.upstream.drain_nodes(caches);
    }

    fn purged(&self, requests: &[RequestId]) {
        requests.iter().for_each(|id| self.upstream.withdraw(*id));
    }

    fn evidence(&self, cache: &CacheId, sign: Sign, strength: f64) {
        self.evidence.push(cache, sign, strength);
    }

    fn log(&self, line: &str) {
        tracing::info!("module: {line}");
    }
}

/// What all parts of a front share.
pub struct Shared {
    /// Its clock.
    pub clock: Clock,
    /// The wall clock beside it.
    pub wall: WallClock,
    /// Names in the settings.
    pub names: Names,
    /// The pools, each before its decisions.
    pub queues: DispatchQueues,
    /// The machines behind.
    pub upstream: Arc<ConnectionPool>,
    /// The clients.
    pub server: server::Server,
    /// Gossip with other fronts, where there is any.
    pub talk: Option<Arc<Talk>>,
    /// The view of the fleet, where there is any.
    pub fleet: Option<Arc<Fleet>>,
    /// Messages between fronts, where there are any.
    pub peers: Option<Arc<Peers>>,
    /// The event bus.
    pub bus: DiscoveryWatch,
    /// The list of machines is held.
    pub listed: AtomicBool,
    leaving: AtomicBool,
    /// What is counted for the operators.
    pub metrics: metrics::Metrics,
    /// Why things happened, by kind and reason.
    pub reason_counts: Arc<ReasonCounts>,
    /// What must hold, and how often it did not.
    pub invariants: Arc<Invariants>,
    /// After a node was told to drain, what goes there may still begin for so long, in milliseconds.
    pub drain_grace_ms: f64,
    /// Where the nodes out by hand are kept for a process that replaces this one.
    pub excluded: manual_exclusion::ManualExclusions,
}

impl Shared {
    /// Tells the gossip which machines there are, where the document has them.
    fn tell_members(&self) {
        if let (Some(talk), Some(members)) = (&self.talk, self.queues.members()) {
            talk.news(self.queues.all(), true, members.into_iter().map(|id| (id, Some(0.0))).collect());
        }
    }

    /// Messages of peers that were dropped: from no peer, too long, or that made no sense.
    fn strange(&self) -> u64 {
        let odd: u64 = self.queues.all().iter().map(|l| l.dispatcher.odd_messages()).sum();
        self.peers.as_ref().map_or(0, |p| p.foreign()) + odd
    }

    /// Whether new clients are welcome.
    pub fn is_well(&self) -> bool {
        (self.listed.load(Ordering::Acquire) || self.clock.age() >= LIST_WAIT)
            && !self.leaving.load(Ordering::Acquire)
            && !self.server.is_evacuated()
    }
}

/// Why a front could not start, or had to stop.
#[derive(Debug)]
pub enum StartError {
    /// Its settings are impossible.
    Settings(fernslip::SettingsError),
    /// An address cannot be had.
    Bind(SocketAddr, std::io::Error),
    /// The local socket for operators cannot be had.
    Control(PathBuf, std::io::Error),
    /// `$RELAY_OPS` is no address.
    Door(String),
    /// A thread cannot be had.
    Thread(std::io::Error),
    /// The coroutine that sees the front to its end has panicked.
    Panic,
}

impl std::fmt::Display for StartError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            StartError::Settings(e) => write!(f, "configuration: {e}"),
            StartError::Bind(at, e) => write!(f, "cannot listen on {at}: {e}"),
            StartError::Control(path, e) => write!(f, "cannot answer at {}: {e}", path.display()),
            StartError::Panic => f.write_str("a defect ended what keeps house; its message is above"),
            StartError::Thread(e) => write!(f, "cannot start a thread: {e}"),
            StartError::Door(v) => write!(f, "{}={v:?} is no address", admin::ADDRESS_VARIABLE),
        }
    }
}

impl std::error::Error for StartError {}

/// Takes an address, again for a while where the machine wants for something, or an earlier process still has it.
fn bound<T>(at: SocketAddr, bind: impl Fn() -> std::io::Result<T>) -> Result<T, StartError> {
    let again = |e: &std::io::Error| Failure::of(e) != Failure::Remote;
    patiently(BIND_WITHIN, again, |_| bind()).map_err(|e| StartError::Bind(at, e))
}

/// An id for a disk that is empty: another each time.
fn rand_id() -> u64 {
    let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    let seed = unix.as_nanos() as u64 ^ u64::from(std::process::id()).rotate_left(40);
    rand::Rng::random(&mut <rand_chacha::ChaCha8Rng as rand::SeedableRng>::seed_from_u64(seed))
}

/// Starts a front and serves until SIGTERM, and then until all that came is answered.
pub fn start(start: Start, signals: Signals) -> Result<(), StartError> {
    let Start { config, plan, gossip, view, site } = start;
    may::config().set_workers(WORKERS).set_stack_size(STACK_WORDS);
    let clock = Clock::start();
    let Signals { term: leave, hup } = signals;
    let reload = Reload::new(hup, config.file, site);
    let mut startup = Startup { signals_caught: true, ..Startup::default() };
    let budget = config.budget;
    let limits = ConnectionLimits {
        streams: config.streams,
        connect_timeout: config.connect_timeout,
        idle: config.idle,
        connections: budget.upstream,
    };
    let (invariants, reason_counts) = (Arc::new(Invariants::default()), Arc::new(ReasonCounts::default()));
    let upstream = Arc::new(ConnectionPool::new(limits, invariants.clone(), reason_counts.clone()));
    let peers = match config.peer_listen {
        Some(at) => {
            let bound = bound(at, || Peers::bind(at, config.peers.clone(), config.peers_all))?;
            Some(Arc::new(bound))
        }
        None => None,
    };
    let (listener, origin) = bound(config.listen, || listen::clients(config.listen))?;
    let listen = listener.local_addr().unwrap_or(config.listen);
    let registry = Arc::new(NodeRegistry::default());
    let effects: Arc<[Effect]> = config.settings.classes.iter().map(|c| c.effect).collect();
    let sources = [config.settings.parent_kind, config.settings.origin_kind];
    let evidence = gossip::Evidence::default();
    let talk = match &gossip {
        Some(g) => {
            let at = g.config.addr;
            let t =
                Talk::bind(g, &clock, config.seed, evidence.clone()).map_err(|e| StartError::Bind(at, e))?;
            let t = Arc::new(t);
            if let Some(path) = &g.control {
                t.answer_at(path).map_err(|e| StartError::Control(path.clone(), e))?;
            }
            tracing::info!("gossip at {}", t.addr());
            Some(t)
        }
        None => None,
    };
    let fleet = match &view {
        Some(v) => {
            let kept = v.store.as_deref().and_then(|file| snapshot::Snapshot::open_soon(file, rand_id()));
            // Another number for each process: births and orders must differ where all else is the same.
            let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
            let seed = config.seed ^ unix.as_nanos() as u64 ^ u64::from(std::process::id()).rotate_left(32);
            let gossips = talk.as_ref().map(|t| t.told_addr());
            let (keep, found) =
                kept.map_or((None, snapshot::RestoredState::default()), |(k, f)| (Some(k), f));
            let f = Fleet::bind(v, &clock, seed, gossips, found.peers);
            let f = Arc::new(f.map_err(|e| StartError::Bind(v.listen, e))?);
            if let Some(keep) = keep {
                let fleet = f.clone();
                let run = std::thread::Builder::new().name("store".into()).spawn(move || keep.run(fleet));
                run.map_err(StartError::Thread)?;
            }
            if let Some(path) = &v.control {
                f.answer_at(path).map_err(|e| StartError::Control(path.clone(), e))?;
            }
            tracing::info!("view at {}", f.addr());
            Some(f)
        }
        None => None,
    };
    let ways = || Ways {
        upstream: upstream.clone(),
        peers: peers.clone(),
        registry: registry.clone(),
        effects: effects.clone(),
        evidence: evidence.clone(),
        sources,
    };
    let kept = std::env::temp_dir();
    let excluded = manual_exclusion::ManualExclusions::of(&kept, &config.name, config.listen, &config.names);
    let classes = config.settings.classes.clone();
    let classes_named = classes.iter().map(|c| c.name.to_string()).collect();
    let longest = classes.iter().map(|c| c.deadline_ms).fold(0.0, f64::max);
    let queues = DispatchQueues::new(&config.settings, config.seed, plan, registry.clone(), ways);
    let queues = queues.map_err(StartError::Settings)?;
    let front = Arc::new(Shared {
        clock,
        wall: WallClock::start(clock),
        names: config.names,
        queues,
        talk: talk.clone(),
        fleet: fleet.clone(),
        upstream,
        server: server::Server::new(budget, classes),
        peers: peers.clone(),
        bus: DiscoveryWatch::new(config.bus, config.seed),
        listed: AtomicBool::new(false),
        leaving: AtomicBool::new(false),
        metrics: metrics::Metrics::new(classes_named),
        reason_counts,
        invariants,
        drain_grace_ms: config.settings.drain_grace_ms,
        excluded,
    });
    admin::restore_manual_exclusions(&front);
    startup.exclusions_restored = true;
    front.queues.start(&front.clock, &front.upstream);
    front.tell_members();
    if talk.is_some() {
        front.queues.all().iter().for_each(|l| l.dispatcher.bear_witness());
    }
    if front.queues.members_from_file() {
        front.listed.store(true, Ordering::Release);
    }
    let mut history = watch_history::History::new(config.offset);
    for v in &config.batch {
        match control::watch_event::parse(v, &front.names) {
            Ok(e) => {
                history.observe(&e);
                discovery_watch::apply(&front, e, None);
            }
            Err(e) => tracing::warn!("known: {e}"),
        }
    }
    if let Some(talk) = talk {
        let (t, f) = (talk.clone(), front.clone());
        spawn(move || t.listen(f.queues.all()));
        let f = front.clone();
        let from_view = gossip.as_ref().is_some_and(|g| g.from_view);
        spawn(move || talk.run(f.queues.all(), f.fleet.as_deref().filter(|_| from_view)));
    }
    if let Some(fleet) = fleet {
        let run = std::thread::Builder::new().name("view".into()).spawn(move || fleet.run());
        run.map_err(StartError::Thread)?;
    }
    if config.bus.is_some() {
        let f = front.clone();
        spawn_deep(move || f.bus.run(&f, history));
    }
    if let Some(p) = peers {
        let f = front.clone();
        spawn(move || p.run(&f));
    }
    if origin == listen::Origin::Passed {
        tracing::info!("the clients' socket is the one handed over in {}", listen::PASSED);
        admin::follow_manual_exclusions(front.clone()).map_err(StartError::Thread)?;
    }
    let door = match std::env::var(admin::ADDRESS_VARIABLE) {
        Ok(v) if !v.trim().is_empty() => Some(v.trim().parse().map_err(|_| StartError::Door(v))?),
        _ => config.ops,
    };
    if let Some(at) = door {
        let door = bound(at, || admin::open(front.clone(), at, budget.callers))?;
        tracing::info!("operators' door at {door}");
    }
    startup.may_serve(&front.invariants);
    tracing::info!("front {} listens on {listen}", config.name);
    let f = front.clone();
    let waker = listener.waker();
    spawn(move || f.server.run(&f, listener, origin));
    let f = front.clone();
    spawn(move || loop {
        let next = f.queues.all().iter().filter_map(|l| l.tick(&f.clock)).reduce(f64::min);
        // The decisions and what they want of the host stand behind locks.
        let wait = next.map_or(TICK, |at| f.clock.until(at).clamp(Duration::from_millis(1), TICK));
        sleep::sleep_beside_the_worker(wait);
    });
    let housekeeper = may::go!(move || {
        keep_house(&front, &leave, reload, ShutdownPlan::of(longest, origin), &waker);
    });
    housekeeper.join().map_err(|_| StartError::Panic)
}

/// Takes new files up, as far as a running front can.
fn take_up(front: &Shared, new: Start) {
    if let Some(bus) = new.config.bus {
        tracing::info!("reload: bus={bus}; what else is new in the configuration takes a restart");
        front.bus.set_address(bus);
    }
    if let (Some(talk), Some(g)) = (&front.talk, new.gossip) {
        talk.rekey(g.keys);
    }
    if let (Some(fleet), Some(v)) = (&front.fleet, new.view) {
        fleet.rekey(v.keys);
        fleet.configured(v.config.configuration);
    }
    if let Some(plan) = new.plan {
        match front.queues.apply_plan(&front.clock, &front.upstream, plan) {
            Ok(told) => {
                front.tell_members();
                tracing::info!("reload: site: {told}");
            }
            Err(why) => tracing::warn!("reload: the old site stays: {why}"),
        }
    }
}

/// Sweeps now and then, takes up new configurations, and sees the front out: in the time that the plan gives it has
/// answered all it took, closed its connections gracefully and returned.
fn keep_house(
    front: &Shared,
    leave: &AtomicBool,
    mut reload: Reload,
    plan: ShutdownPlan,
    accepting: &may::io::WaitIoWaker,
) {
    let mut left: Option<Instant> = None;
    let (mut lost, mut odd) = (0, 0);
    loop {
        sleep::sleep(if left.is_some() { SWEEP_AT_END } else { SWEEP });
        let dropped = log::dropped();
        if dropped > lost {
            tracing::warn!(dropped = dropped - lost, total = dropped, "log");
            lost = dropped;
        }
        let strange = front.strange();
        if strange > odd {
            tracing::warn!(dropped = strange - odd, total = strange, "odd messages of peers");
            odd = strange;
        }
        front.wall.observe();
        front.upstream.sweep();
        front.bus.sweep();
        match reload.poll() {
            Some(Ok(new)) => take_up(front, *new),
            Some(Err(why)) => tracing::warn!("reload: the old one stays: {why}"),
            None => {}
        }
        if let Some(fleet) = front.fleet.as_ref().filter(|_| left.is_none()) {
            fleet.stands(match (front.is_well(), front.server.is_evacuated()) {
                (true, _) => Stand::Ready,
                (false, true) => Stand::Emptying,
                (false, false) => Stand::Joining,
            });
        }
        if left.is_none() && leave.load(Ordering::Acquire) {
            front.leaving.store(true, Ordering::Release);
            tracing::info!("leaving: SIGTERM");
            if let Some(talk) = &front.talk {
                talk.leave(front.queues.all());
            }
            if let Some(fleet) = &front.fleet {
                fleet.stands(Stand::Emptying);
            }
            let now = Instant::now();
            front.server.end_by(now + plan.answered_by);
            if plan.hands_over {
                front.server.close();
                accepting.wakeup();
            }
            left = Some(now);
        }
        let since = left.map(|at| at.elapsed());
        let ending = since.is_some_and(|t| t >= plan.coming);
        let emptied = front.server.evacuated_for().is_some_and(|t| t >= EVACUATE_GRACE);
        front.server.sweep(front, ending || emptied);
        let (Some(at), true) = (left, ending) else { continue };
        if front.server.is_done() || at.elapsed() >= plan.answered_by {
            front.server.give_up(front);
            last_closes(front, at + plan.over_by, accepting);
            if let Some(fleet) = &front.fleet {
                fleet.leave();
            }
            let held = front.server.held();
            let open: usize = front.queues.all().iter().map(|l| l.dispatcher.open() + l.waiting()).sum();
            let settled =
                held == server::Held::default() && open == 0 && front.upstream.attempts_in_flight() == 0;
            front.invariants.check(Invariant::EndSettled, settled, || {
                format!("{held:?} attempts={} open={open}", front.upstream.attempts_in_flight())
            });
            tracing::info!(?held, attempts = front.upstream.attempts_in_flight(), open, "left");
            return;
        }
    }
}

/// Takes in no client any more and sees the last ones out. The exit of the process would close all connections at
/// once, those with unread bytes by a reset.
fn last_closes(front: &Shared, by: Instant, accepting: &may::io::WaitIoWaker) {
    front.server.close();
    accepting.wakeup();
    loop {
        sleep::sleep(SWEEP_AT_END);
        front.server.sweep(front, true);
        // What is called off still ends by itself, as a rule within the same moment.
        if Instant::now() >= by || front.server.is_empty() && front.upstream.attempts_in_flight() == 0 {
            return;
        }
    }
}
