//! The front on real sockets. Clients speak MessagePack-RPC, cache nodes RESP; what is done with a request is
//! decided by [`fernslip`] behind its facade.
//!
//! [`start`] takes a [`config::Config`] and serves until the process is told to end.

pub mod budget;
pub mod buffer;
pub mod bus;
pub mod call;
pub mod clock;
pub mod config;
pub mod link;
pub mod log;
pub mod msgpack_rpc;
pub mod peers;
pub mod relay;
pub mod reload;
pub mod resp;
pub mod server;
mod spawn;
pub mod upstream;

use bus::Bus;
use clock::Clock;
use config::Config;
use fernslip::facade::{Dispatcher, Host, Waiter};
use fernslip::json::Names;
use fernslip::RequestId;
use log::Log;
use may::net::TcpListener;
use may::sync::Blocker;
use peers::Peers;
use reload::Reload;
use spawn::{spawn, spawn_deep};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use upstream::{Limits, Upstream, Wait};

/// One core: one worker.
const WORKERS: usize = 1;
/// Words of a coroutine's stack; only what is touched costs memory.
const STACK_WORDS: usize = 0x4000;
/// The module's timers are run this often at least.
const TICK: Duration = Duration::from_millis(5);
const SWEEP: Duration = Duration::from_millis(100);
/// After SIGTERM new work may come for so long, and is taken.
const STILL_COMING: Duration = Duration::from_millis(1000);

/// The facade's way out to the sockets.
pub struct Ways {
    upstream: Arc<Upstream>,
    peers: Option<Arc<Peers>>,
    log: Log,
}

impl Host for Ways {
    fn waiter(&self) -> Arc<dyn Waiter> {
        Arc::new(Wait(Blocker::current()))
    }

    fn cancel(&self, id: RequestId, attempt: u32) {
        self.upstream.cancel(id, attempt);
    }

    fn tell(&self, to: u32, data: &[u8]) {
        if let Some(p) = &self.peers {
            p.tell(to, data);
        }
    }

    fn tell_all(&self, data: &[u8]) {
        if let Some(p) = &self.peers {
            p.tell_all(data);
        }
    }

    fn log(&self, line: &str) {
        self.log.line(format!("module: {line}"));
    }
}

/// What all parts of a front share.
pub struct Shared {
    /// Its clock.
    pub clock: Clock,
    /// Names in the settings.
    pub names: Names,
    /// The decisions.
    pub dispatcher: Dispatcher<Ways>,
    /// The machines behind.
    pub upstream: Arc<Upstream>,
    /// The clients.
    pub server: server::Server,
    /// The event bus.
    pub bus: Bus,
    /// Lines for the operators.
    pub log: Log,
    /// The list of machines is held.
    pub listed: AtomicBool,
    leaving: AtomicBool,
}

impl Shared {
    /// Whether new clients are welcome.
    pub fn is_well(&self) -> bool {
        self.listed.load(Ordering::Acquire) && !self.leaving.load(Ordering::Acquire)
    }
}

/// Why a front could not start, or had to stop.
#[derive(Debug)]
pub enum StartError {
    /// Its settings are impossible.
    Settings(fernslip::SettingsError),
    /// An address cannot be had.
    Bind(std::net::SocketAddr, std::io::Error),
    /// A signal cannot be caught.
    Signal(std::io::Error),
}

impl std::fmt::Display for StartError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            StartError::Settings(e) => write!(f, "configuration: {e}"),
            StartError::Bind(at, e) => write!(f, "cannot listen on {at}: {e}"),
            StartError::Signal(e) => write!(f, "cannot catch signals: {e}"),
        }
    }
}

impl std::error::Error for StartError {}

/// Starts a front and serves until SIGTERM, and then until all that came is answered.
pub fn start(config: Config) -> Result<(), StartError> {
    may::config().set_workers(WORKERS).set_stack_size(STACK_WORDS);
    let clock = Clock::start();
    let log = Log::start();
    let leave = Arc::new(AtomicBool::new(false));
    signal_hook::flag::register(signal_hook::consts::SIGTERM, leave.clone()).map_err(StartError::Signal)?;
    let reload = Reload::catch(config.file).map_err(StartError::Signal)?;
    let budget = config.budget;
    let limits = Limits {
        streams: config.streams,
        connect_timeout: config.connect_timeout,
        idle: config.idle,
        connections: budget.upstream,
    };
    let upstream = Arc::new(Upstream::new(limits, log.clone()));
    let peers = match config.peer_listen {
        Some(at) => {
            let p = Peers::bind(at, config.peers, config.peers_all).map_err(|e| StartError::Bind(at, e))?;
            Some(Arc::new(p))
        }
        None => None,
    };
    let listener = TcpListener::bind(config.listen).map_err(|e| StartError::Bind(config.listen, e))?;
    let listen = listener.local_addr().unwrap_or(config.listen);
    let ways = Ways { upstream: upstream.clone(), peers: peers.clone(), log: log.clone() };
    // The longest that a client waits, and a little to write the last answer.
    let classes = config.settings.classes.clone();
    let longest = classes.iter().map(|c| c.deadline_ms).fold(3000.0, f64::max) + 500.0;
    let dispatcher = Dispatcher::new(config.settings, config.seed, ways).map_err(StartError::Settings)?;
    let front = Arc::new(Shared {
        clock,
        names: config.names,
        dispatcher,
        upstream,
        server: server::Server::new(budget, classes),
        bus: Bus::new(config.bus),
        log,
        listed: AtomicBool::new(false),
        leaving: AtomicBool::new(false),
    });
    for v in &config.batch {
        match bus::event(v, &front.names) {
            Ok(e) => bus::apply(&front, e),
            Err(e) => front.log.line(format!("known: {e}")),
        }
    }
    let f = front.clone();
    spawn_deep(move || f.bus.run(&f, config.offset));
    if let Some(p) = peers {
        let f = front.clone();
        spawn(move || p.run(&f));
    }
    front.log.line(format!("front {} listens on {listen}", config.name));
    let f = front.clone();
    spawn(move || f.server.run(&f, &listener));
    let f = front.clone();
    spawn(move || loop {
        let next = f.dispatcher.tick(f.clock.now());
        may::coroutine::sleep(
            next.map_or(TICK, |at| f.clock.until(at).clamp(Duration::from_millis(1), TICK)),
        );
    });
    let housekeeper = may::go!(move || {
        keep_house(&front, &leave, reload, Duration::from_secs_f64(longest / 1000.0));
    });
    let _ = housekeeper.join();
    Ok(())
}

/// Sweeps now and then, takes up new configurations, and sees the front out.
fn keep_house(front: &Shared, leave: &AtomicBool, mut reload: Reload, longest: Duration) {
    let mut left: Option<Instant> = None;
    loop {
        may::coroutine::sleep(SWEEP);
        front.upstream.sweep();
        front.bus.sweep();
        match reload.poll() {
            Some(Ok(new)) => {
                front.log.line(format!("reload: bus={}; what else is new takes a restart", new.bus));
                front.bus.move_to(new.bus);
            }
            Some(Err(why)) => front.log.line(format!("reload: the old one stays: {why}")),
            None => {}
        }
        let since = left.map(|at| at.elapsed());
        let ending = since.is_some_and(|t| t >= STILL_COMING);
        front.server.sweep(ending);
        if left.is_none() && leave.load(Ordering::Acquire) {
            front.leaving.store(true, Ordering::Release);
            front.log.line("leaving: SIGTERM".into());
            left = Some(Instant::now());
        }
        if ending {
            front.server.close();
            if front.server.is_done() || since.is_some_and(|t| t >= STILL_COMING + longest) {
                front.log.line("left".into());
                // Lets the log's thread write what waits.
                may::coroutine::sleep(SWEEP);
                return;
            }
        }
    }
}
