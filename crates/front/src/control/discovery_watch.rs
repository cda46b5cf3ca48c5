//! The discovery watch: a connection to the event bus, which sends endpoint-list updates and purges as
//! numbered events.

use super::node_starts::NodeStarts;
use super::watch_event::WatchEvent;
use super::watch_state::WatchPosition;
use crate::buffer::Buffer;
use crate::clock::Clock;
use crate::event_loop::Quantum;
use crate::failure::Failure;
use crate::link::{InputSettings, Link};
use crate::log::Reason;
use crate::memory::MemoryAccount;
use crate::reason_counts::{EventKind, ReasonCounts};
use crate::sync::lock;
use crate::watch_history::{ReceivedLine, WatchHistory};
use fernslip::json::Names;
use may::net::TcpStream;
use rand::{Rng, SeedableRng};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::sync::{Arc, Mutex, MutexGuard, TryLockError};
use std::time::{Duration, Instant};

/// The timeout for establishing a connection to the event bus.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// A bus connection that receives no line for this time is closed as dead. The bus sends a line each second,
/// and two may be late. Events that a stopped bus withheld count as reported after 4 s, so a new connection
/// must be up well before that.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2500);
/// The maximum silence timeout. The timeout doubles after each connection that timed out without receiving a
/// line.
const MAX_SILENCE_TIMEOUT: Duration = Duration::from_millis(5000);
/// The mean delay between the end of a bus connection and the next attempt to connect; each delay is a random
/// value from 50 % to 150 % of it.
const RECONNECT_DELAY: Duration = Duration::from_millis(200);
/// The pause of the watch's coroutine while a thread has locked the history.
const HISTORY_LOCK_PAUSE: Duration = Duration::from_millis(1);
/// The maximum length in bytes of a line from the bus. The complete endpoint list of the largest deployment
/// is far shorter.
const MAX_LINE_BYTES: usize = 4 << 20;

/// Returns the delay before reconnection number `attempt`. It depends on the front's `seed`, so that the
/// fronts of a fleet, which all lose the bus at the same moment, do not all reconnect at the same moment.
fn reconnect_delay(seed: u64, attempt: u64) -> Duration {
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed.wrapping_add(attempt));
    RECONNECT_DELAY.mul_f64(rng.random_range(0.5..1.5))
}

/// The front that a discovery watch reports to.
pub trait WatchHost {
    /// The names in the settings, by which events refer to zones and kinds.
    fn names(&self) -> &Names;

    /// The monotonic clock.
    fn clock(&self) -> &Clock;

    /// The counters of closed connections.
    fn reason_counts(&self) -> &ReasonCounts;

    /// Applies an event to the dispatchers and the upstream connections, and records it in the history.
    /// `since` is the clock time in milliseconds at which the last line before the event was received, so the
    /// event was reported after it; `None` if no line was received before.
    fn apply_event(&self, history: &mut WatchHistory, event: WatchEvent, since: Option<f64>);
}

/// Connects to the event bus.
///
/// # Errors
/// Returns the reason to log if no connection can be established.
fn connect_to_bus(addr: SocketAddr) -> Result<TcpStream, Reason> {
    TcpStream::connect_timeout(&addr, CONNECT_TIMEOUT).map_err(|e| match e.kind() {
        ErrorKind::TimedOut => Reason::ConnectTimeout,
        _ => match Failure::classify(&e) {
            Failure::Descriptors => Reason::NoDescriptor,
            Failure::Local | Failure::Interrupted => Reason::NoRoute,
            Failure::Remote => Reason::Refused,
        },
    })
}

/// The discovery watch of a front: the bus's address, which may change while the front runs, and the current
/// connection.
pub struct DiscoveryWatch {
    state: Mutex<ConnectionState>,
    /// The events received so far; locked until they are applied, so that they take effect in their order.
    history: Mutex<WatchHistory>,
    /// Wakes the thread that stores checkpoints.
    changes: SyncSender<()>,
    /// The receiver of `changes`, until that thread takes it.
    changes_receiver: Mutex<Option<Receiver<()>>>,
    starts: NodeStarts,
    seed: u64,
    /// The memory of received bytes that are not handled yet.
    input_memory: Arc<MemoryAccount>,
    /// The number of bus lines and events since the start that were malformed or could not be parsed.
    unusable_lines: AtomicU64,
    /// The offset of the last event that was applied.
    applied_offset: AtomicU64,
    /// The number of times that the bus has started its numbering anew.
    generation: AtomicU64,
}

/// The bus address and the state of the current connection to it.
struct ConnectionState {
    addr: SocketAddr,
    link: Arc<Link>,
    /// When the current connection last received a line, or was established if it received none. `None` while
    /// there is no connection.
    last_received: Option<Instant>,
    /// When a line was last received on any connection; every later event was reported after that time.
    last_line: Option<Instant>,
    /// How long the current connection may receive nothing before it is closed.
    silence_timeout: Duration,
}

impl DiscoveryWatch {
    /// Creates a watch on the bus at `addr` (`None` if there is no bus) that has received the events up to
    /// `offset`. `seed` varies the reconnection delays between fronts. `max_input_bytes` limits the memory of
    /// received bytes that are not handled yet.
    pub fn new(addr: Option<SocketAddr>, offset: u64, seed: u64, max_input_bytes: usize) -> DiscoveryWatch {
        let addr = addr.unwrap_or(([0, 0, 0, 0], 0).into());
        let (changes, changes_receiver) = sync_channel(1);
        DiscoveryWatch {
            state: Mutex::new(ConnectionState {
                addr,
                link: Arc::default(),
                last_received: None,
                last_line: None,
                silence_timeout: SILENCE_TIMEOUT,
            }),
            history: Mutex::new(WatchHistory::new(offset)),
            changes,
            changes_receiver: Mutex::new(Some(changes_receiver)),
            starts: NodeStarts::default(),
            seed,
            input_memory: Arc::new(MemoryAccount::with_limit(max_input_bytes)),
            unusable_lines: AtomicU64::new(0),
            applied_offset: AtomicU64::new(offset),
            generation: AtomicU64::new(0),
        }
    }

    /// Locks the history of the events, for a thread. Coroutines must not call this, or the worker would wait.
    pub fn lock_history(&self) -> MutexGuard<'_, WatchHistory> {
        lock(&self.history)
    }

    /// Locks the history of the events, for the watch's coroutine: yields while a thread has locked it, so that
    /// the worker does not wait.
    fn lock_history_in_coroutine(&self) -> MutexGuard<'_, WatchHistory> {
        loop {
            match self.history.try_lock() {
                Ok(history) => return history,
                Err(TryLockError::Poisoned(poisoned)) => return poisoned.into_inner(),
                Err(TryLockError::WouldBlock) => crate::sleep::sleep(HISTORY_LOCK_PAUSE),
            }
        }
    }

    /// The start times of the nodes.
    pub fn starts(&self) -> &NodeStarts {
        &self.starts
    }

    /// Sets the position of the last event that was applied, for the metrics.
    pub fn set_position(&self, position: WatchPosition) {
        self.applied_offset.store(position.offset, Ordering::Relaxed);
        self.generation.store(position.generation, Ordering::Relaxed);
    }

    /// Reports that the events up to this position are applied. Does not wait.
    fn report_change(&self, position: WatchPosition) {
        self.set_position(position);
        // A full channel has a change that was not noticed yet; one without a receiver is not needed.
        let _ = self.changes.try_send(());
    }

    /// Returns the receiver of a message for each change of the history; `None` if it was taken before.
    pub fn take_changes(&self) -> Option<Receiver<()>> {
        lock(&self.changes_receiver).take()
    }

    /// The watch's metrics, one `name=value` line each.
    pub fn metric_lines(&self) -> String {
        let [offset, generation] =
            [&self.applied_offset, &self.generation].map(|value| value.load(Ordering::Relaxed));
        format!("relay.watch.offset={offset}\nrelay.watch.generation={generation}\n")
    }

    /// The memory of received bytes that are not handled yet.
    pub fn input_memory(&self) -> &MemoryAccount {
        &self.input_memory
    }

    /// Changes the bus's address. The connection to the old address is closed at once, because the old bus
    /// may leave it open and send nothing more. Event offsets continue from the last event received.
    pub fn set_address(&self, addr: SocketAddr) {
        let mut state = lock(&self.state);
        if state.addr != addr {
            state.addr = addr;
            state.link.close(Reason::AddressChanged);
        }
    }

    /// Returns the clock time in milliseconds at which the last line was received. `None` if none was
    /// received yet.
    fn last_line_ms(&self, clock: &Clock) -> Option<f64> {
        lock(&self.state).last_line.map(|at| clock.clock_time_at(at))
    }

    /// Closes the bus connection if it has received nothing for longer than its silence timeout; called
    /// periodically.
    pub fn close_if_silent(&self) {
        let state = lock(&self.state);
        if state.last_received.is_some_and(|at| at.elapsed() > state.silence_timeout) {
            state.link.close(Reason::ReceiveTimeout);
        }
    }

    /// Processes one line from the bus and applies the event in it, if any.
    ///
    /// # Errors
    /// Returns the errors of [`WatchHistory::receive`].
    fn receive_line(
        &self,
        host: &impl WatchHost,
        history: &mut WatchHistory,
        line: &[u8],
    ) -> Result<(), Reason> {
        match history.receive(line, host.names())? {
            ReceivedLine::NothingNew => {}
            ReceivedLine::Event(offset, event) => {
                host.apply_event(history, event, self.last_line_ms(host.clock()));
                self.report_change(history.position());
                tracing::info!("bus offset={offset}");
            }
            ReceivedLine::Unreadable(offset, e) => {
                self.unusable_lines.fetch_add(1, Ordering::Relaxed);
                self.report_change(history.position());
                tracing::warn!("bus: event {offset} cannot be parsed and is skipped: {e}");
            }
        }
        Ok(())
    }

    /// Processes the complete lines in the buffer until the quantum is used up. The buffer's first `scanned` bytes
    /// are known to contain no line end.
    /// Returns whether any line proves that the bus is alive; partial and blank lines do not.
    ///
    /// # Errors
    /// Returns the errors of [`WatchHistory::receive`], and [`Reason::Malformed`] for a line longer than
    /// [`MAX_LINE_BYTES`] or than its limit of memory allows.
    fn receive_lines(
        &self,
        host: &impl WatchHost,
        buffer: &mut Buffer,
        scanned: &mut usize,
        quantum: &mut Quantum,
    ) -> Result<bool, Reason> {
        let mut history = self.lock_history_in_coroutine();
        let mut proves_liveness = false;
        while !quantum.is_used_up() {
            let line_end = buffer.data()[*scanned..].iter().position(|b| *b == b'\n');
            let Some(at) = line_end else {
                *scanned = buffer.data().len();
                break;
            };
            quantum.count_message();
            let end = *scanned + at;
            self.receive_line(host, &mut history, &buffer.data()[..end])?;
            proves_liveness |= !buffer.data()[..end].iter().all(u8::is_ascii_whitespace);
            buffer.consume(end + 1);
            *scanned = 0;
        }
        buffer.store();
        match *scanned > MAX_LINE_BYTES || buffer.account().is_exceeded() {
            true => Err(Reason::Malformed),
            false => Ok(proves_liveness),
        }
    }

    /// Connects once and receives events until the connection ends; returns the reason to log for its end.
    fn watch_one_connection(&self, host: &impl WatchHost, addr: SocketAddr) -> Reason {
        let stream = match connect_to_bus(addr) {
            Ok(stream) => stream,
            Err(reason) => return reason,
        };
        let input = InputSettings { account: self.input_memory.clone(), ..InputSettings::default() };
        let link = Arc::new(Link::with_accounts(input, Arc::default()));
        {
            let mut state = lock(&self.state);
            if state.addr != addr {
                return Reason::AddressChanged;
            }
            (state.link, state.last_received) = (link.clone(), Some(Instant::now()));
        }
        link.attach(stream);
        let offset = self.lock_history_in_coroutine().offset();
        link.send(format!("from {offset}\n").into_bytes(), None);
        let (mut scanned, mut has_received) = (0, false);
        let receive = |buffer: &mut Buffer, quantum: &mut Quantum| {
            if self.receive_lines(host, buffer, &mut scanned, quantum)? {
                let mut state = lock(&self.state);
                (state.last_received, state.last_line) = (Some(Instant::now()), Some(Instant::now()));
                state.silence_timeout = SILENCE_TIMEOUT;
                has_received = true;
            }
            Ok(())
        };
        let reason = link.run(receive, |_| false);
        link.terminate();
        let mut state = lock(&self.state);
        state.last_received = None;
        // An overloaded bus may need longer for its first line; a constant timeout could close every
        // connection just before that line arrives.
        if reason == Reason::ReceiveTimeout && !has_received {
            state.silence_timeout = (state.silence_timeout * 2).min(MAX_SILENCE_TIMEOUT);
        }
        reason
    }

    /// Watches the bus for as long as the process runs, starting after the last event received.
    pub fn run(&self, host: &impl WatchHost) {
        for attempt in 0.. {
            let addr = lock(&self.state).addr;
            // A panic ends only this connection, not the watch; without the watch the front would receive no
            // further endpoint changes or purges.
            let ended = catch_unwind(AssertUnwindSafe(|| self.watch_one_connection(host, addr)));
            let reason = ended.unwrap_or_else(|_| {
                lock(&self.state).link.terminate();
                Reason::Panicked
            });
            let offset = self.lock_history_in_coroutine().offset();
            host.reason_counts().add(EventKind::BusClosed, reason.code());
            let malformed = u64::from(reason == Reason::Malformed);
            let unusable = self.unusable_lines.fetch_add(malformed, Ordering::Relaxed) + malformed;
            tracing::info!(kind = %"bus", %addr, reason = %reason.code(), offset, odd = unusable, "end");
            if reason != Reason::AddressChanged {
                crate::sleep::sleep(reconnect_delay(self.seed, attempt));
            }
        }
    }
}

#[cfg(test)]
mod tests;
