//! Runs a [`fernslip_view::View`] in a front: handles its datagrams and timers on a separate thread and
//! reports on it to operators. The worker thread never waits for it.

mod control_socket;
mod plan;
mod report;

pub use plan::ViewPlan;

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

/// The maximum wait for a datagram, and so the maximum delay until a change made by another thread (draining,
/// departure) takes effect.
const MAX_DATAGRAM_WAIT: Duration = Duration::from_millis(250);
/// The pause after an error in receiving a datagram.
const RECEIVE_ERROR_PAUSE: Duration = Duration::from_millis(5);

/// A front's membership view of the fleet, with its socket and clock.
pub struct ViewService {
    view: Mutex<View>,
    socket: UdpSocket,
    clock: Clock,
}

/// Returns the current clock time and Unix time for the membership view.
fn current_time(clock: &Clock) -> Now {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Now { mono_ms: clock.now(), unix_ms: unix.as_secs_f64() * 1000.0 }
}

impl ViewService {
    /// Binds the view's socket. `seed` must differ from process to process. `gossip` is the address,
    /// announced to the other fronts, on which this front receives gossip. `remembered` has the peers' names
    /// and addresses from the last run.
    ///
    /// # Errors
    /// Returns an error if the address cannot be bound.
    pub fn bind(
        plan: &ViewPlan,
        clock: &Clock,
        seed: u64,
        gossip: Option<SocketAddr>,
        remembered: Vec<PeerAddress>,
    ) -> std::io::Result<ViewService> {
        let socket = UdpSocket::bind(plan.listen)?;
        let mut config = Config { gossip, remembered, ..plan.config.clone() };
        if !plan.is_advertised {
            // If the listen address has port 0, the operating system chose the port.
            config.addr = socket.local_addr()?;
        }
        let view = Mutex::new(View::new(config, plan.keys.clone(), seed, current_time(clock)));
        Ok(ViewService { view, socket, clock: *clock })
    }

    /// Returns the address at which other fronts reach this one.
    pub fn addr(&self) -> SocketAddr {
        lock(&self.view).config().addr
    }

    /// Returns the digest of the membership view, which changes with the view's content.
    pub fn digest(&self) -> u64 {
        lock(&self.view).digest()
    }

    /// Returns the names and gossip addresses of the other live fronts that take part in gossip.
    pub fn gossip_peers(&self) -> Vec<PeerAddress> {
        lock(&self.view).gossip_peers()
    }

    /// Returns the other live fronts by name, in the form in which they are stored on disk.
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

    /// Passes an event to the view and performs the actions that it returns.
    fn handle_event(&self, event: Event) {
        let mut actions = Vec::new();
        lock(&self.view).handle(current_time(&self.clock), event, &mut actions);
        for action in actions {
            match action {
                // A datagram that cannot be sent is lost, which the protocol tolerates.
                Action::Send { to, bytes } => drop(self.socket.send_to(&bytes, to)),
                Action::Changed { name, before, after, reported_by } => {
                    let was = before.map_or("unknown", FrontState::name);
                    let by = reported_by.as_deref().unwrap_or("itself");
                    tracing::info!(peer = %name, was, is = after.name(), by, "view");
                }
                Action::Settled(settled) => tracing::debug!(settled, "view"),
                Action::DuplicateName { addr, other_is_listed } => {
                    let held = if other_is_listed { "the other" } else { "this one" };
                    tracing::warn!(other = %addr, held, "view: two processes serve under this front's name");
                }
            }
        }
    }

    /// Sets this front's own state in the membership view.
    pub fn set_state(&self, state: FrontState) {
        self.handle_event(Event::State(state));
    }

    /// Sets the hash of this front's configuration, which the view announces to the other fronts.
    pub fn set_configuration(&self, hash: u32) {
        self.handle_event(Event::Configuration(hash));
    }

    /// Replaces the keys that sign and verify the view's datagrams.
    pub fn set_keys(&self, keys: Keyring) {
        self.handle_event(Event::Keys(keys));
    }

    /// Announces to the other fronts that this front leaves.
    pub fn leave(&self) {
        self.handle_event(Event::Leave);
    }

    /// Handles datagrams and timers for as long as the process runs; called on a separate thread.
    pub fn run(&self) {
        let mut datagram = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            let due_ms = lock(&self.view).wake_at();
            let wait = self.clock.time_until(due_ms).clamp(Duration::from_millis(1), MAX_DATAGRAM_WAIT);
            let _ = self.socket.set_read_timeout(Some(wait));
            match self.socket.recv_from(&mut datagram) {
                Ok((n, from)) => self.handle_event(Event::Datagram { from, bytes: datagram[..n].to_vec() }),
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                // The error concerns one datagram, for example an unreachable port; later ones may succeed.
                Err(_) => std::thread::sleep(RECEIVE_ERROR_PAUSE),
            }
            let due_ms = lock(&self.view).wake_at();
            if due_ms <= self.clock.now() {
                self.handle_event(Event::Tick);
            }
        }
    }

    /// Returns the view's metrics for the `telemetry` command, one `name=value` line each.
    pub fn telemetry_lines(&self) -> String {
        let now_ms = self.clock.now();
        report::telemetry_lines(&lock(&self.view), now_ms)
    }

    /// Serves the control socket at `path` on a separate thread.
    ///
    /// # Errors
    /// Returns an error if the socket cannot be created or another process listens on it.
    pub fn serve_control_socket(self: &Arc<ViewService>, path: &Path) -> std::io::Result<()> {
        let fleet = self.clone();
        control_socket::serve_calls(path, move |call| {
            let now_ms = fleet.clock.now();
            report::answer_call(&fleet.view, call, now_ms)
        })
    }
}
