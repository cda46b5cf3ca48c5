//! The host of a [`fernslip_view::View`]: its datagrams and its clock, on a thread of their own, and its reports to the
//! operators. The worker never waits for it.

mod control_socket;
mod plan;
mod report;

pub use plan::Plan;

use crate::clock::Clock;
use crate::sync::lock;
use fernslip_gossip::Keyring;
use fernslip_store::layers::Peer;
use fernslip_view::{Action, Config, Event, FrontState, Now, PeerAddress, View, MAX_DATAGRAM_BYTES};
use std::io::ErrorKind;
use std::net::{SocketAddr, UdpSocket};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Longest wait for a datagram: a change that another thread makes (draining, departure) takes effect after that at most.
const MAX_WAIT: Duration = Duration::from_millis(250);
/// Pause after a receive error.
const ERROR_PAUSE: Duration = Duration::from_millis(5);

/// A front's view of the fleet, with its socket and clock.
pub struct Fleet {
    view: Mutex<View>,
    socket: UdpSocket,
    clock: Clock,
}

fn now(clock: &Clock) -> Now {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Now { mono_ms: clock.now(), unix_ms: unix.as_secs_f64() * 1000.0 }
}

impl Fleet {
    /// Binds the view's address. `seed` is to differ from process to process; `gossip` is where this front receives gossip,
    /// announced to the others; `remembered` are the peers' names and addresses when it last ran.
    ///
    /// # Errors
    /// The address can't be bound.
    pub fn bind(
        plan: &Plan,
        clock: &Clock,
        seed: u64,
        gossip: Option<SocketAddr>,
        remembered: Vec<PeerAddress>,
    ) -> std::io::Result<Fleet> {
        let socket = UdpSocket::bind(plan.listen)?;
        let mut config = Config { gossip, remembered, ..plan.config.clone() };
        if !plan.is_advertised {
            // The system may have chosen the port.
            config.addr = socket.local_addr()?;
        }
        let view = Mutex::new(View::new(config, plan.keys.clone(), seed, now(clock)));
        Ok(Fleet { view, socket, clock: *clock })
    }

    /// The address that others are to use.
    pub fn addr(&self) -> SocketAddr {
        lock(&self.view).config().addr
    }

    /// The view's digest.
    pub fn digest(&self) -> u64 {
        lock(&self.view).digest()
    }

    /// Names and gossip addresses of the other live fronts that gossip.
    pub fn gossip_peers(&self) -> Vec<PeerAddress> {
        lock(&self.view).gossip_peers()
    }

    /// The other live fronts by name, as they are stored on disk.
    pub fn peers_to_store(&self) -> Vec<(String, Peer)> {
        let view = lock(&self.view);
        let own = view.config().name.clone();
        let facts = view.members(self.clock.now()).into_iter().map(|m| m.fact);
        facts
            .filter(|f| f.state.is_live() && f.name != own)
            .map(|f| {
                let (addr, location, generation) = (f.addr.to_string(), f.location, f.generation);
                (f.name, Peer { addr, location, generation })
            })
            .collect()
    }

    /// Lets the view handle an event and carries out its actions.
    fn handle(&self, event: Event) {
        let mut actions = Vec::new();
        lock(&self.view).handle(now(&self.clock), event, &mut actions);
        for action in actions {
            match action {
                // A datagram that can't be sent is lost, as any may be.
                Action::Send { to, bytes } => drop(self.socket.send_to(&bytes, to)),
                Action::Changed { name, before, after, by } => {
                    let was = before.map_or("unknown", FrontState::name);
                    let by = by.as_deref().unwrap_or("itself");
                    tracing::info!(peer = %name, was, is = after.name(), by, "view");
                }
                Action::Settled(settled) => tracing::debug!(settled, "view"),
                Action::DuplicateName { addr, other_is_suspended } => {
                    let held = if other_is_suspended { "the other" } else { "this one" };
                    tracing::warn!(other = %addr, held, "view: two processes serve under this front's name");
                }
            }
        }
    }

    /// Sets this front's state.
    pub fn set_state(&self, state: FrontState) {
        self.handle(Event::State(state));
    }

    /// Sets the hash of this front's configuration.
    pub fn set_configuration(&self, hash: u32) {
        self.handle(Event::Configuration(hash));
    }

    /// Replaces the keys.
    pub fn set_keys(&self, keys: Keyring) {
        self.handle(Event::Keys(keys));
    }

    /// Announces this front's departure.
    pub fn leave(&self) {
        self.handle(Event::Leave);
    }

    /// Receives datagrams and lets time pass, for the life of the process; runs on a thread of its own.
    pub fn run(&self) {
        let mut datagram = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            let due_ms = lock(&self.view).wake_at();
            let wait = self.clock.until(due_ms).clamp(Duration::from_millis(1), MAX_WAIT);
            let _ = self.socket.set_read_timeout(Some(wait));
            match self.socket.recv_from(&mut datagram) {
                Ok((n, from)) => self.handle(Event::Datagram { from, bytes: datagram[..n].to_vec() }),
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                // An error of one datagram, such as an unreachable port: the next may be fine.
                Err(_) => std::thread::sleep(ERROR_PAUSE),
            }
            let due_ms = lock(&self.view).wake_at();
            if due_ms <= self.clock.now() {
                self.handle(Event::Tick);
            }
        }
    }

    /// The view's metrics for `telemetry`: a `name=value` line each.
    pub fn lines(&self) -> String {
        let now_ms = self.clock.now();
        report::telemetry_lines(&lock(&self.view), now_ms)
    }

    /// Serves the control socket at `path`, on a thread of its own.
    ///
    /// # Errors
    /// The socket can't be created, or another process listens there.
    pub fn serve_control_socket(self: &Arc<Fleet>, path: &Path) -> std::io::Result<()> {
        let fleet = self.clone();
        control_socket::serve(path, move |call| {
            let now_ms = fleet.clock.now();
            report::answer(&fleet.view, call, now_ms)
        })
    }
}
