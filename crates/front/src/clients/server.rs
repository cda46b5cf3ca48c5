//! Manages all client connections: accepts them, limits the resources that they use together, and closes
//! them at shutdown.

use super::client_memory::ClientMemory;
use super::connection::{ClientConnection, ConnectionCleanup};
use super::msgpack_rpc as rpc;
use crate::budget::{Budget, CLOSING_RESERVE};
use crate::event_loop::Quantum;
use crate::failure::Failure;
use crate::link::Stream;
use crate::listen::{Listener, Origin};
use crate::log::Reason;
use crate::reason_counts::EventKind;
use crate::shared::SharedState;
use crate::spawn::spawn;
use crate::sync::lock;
use fernslip::Class;
use may::io::CoIo;
use std::collections::HashMap;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// First and longest wait before accepting again when no descriptor was left.
const DESCRIPTOR_BACKOFF: [Duration; 2] = [Duration::from_millis(5), Duration::from_millis(80)];

/// Bytes of a new connection's input that are looked at before it is accepted in place of another. Longer than
/// a read, which has a few short fields.
const PEEKED_BYTES: usize = 1024;

/// All client connections and the limits that they share.
pub struct Server {
    pub(super) budget: Budget,
    pub(super) classes: Vec<Class>,
    pub(super) clients: Mutex<HashMap<u64, Arc<ClientConnection>>>,
    pub(super) next_number: AtomicU64,
    pub(super) memory: ClientMemory,
    /// Number of descriptors held by client connections.
    pub(super) descriptors: AtomicUsize,
    /// Number of client connections that are being closed.
    pub(super) closing: AtomicUsize,
    /// Set once no further client is accepted.
    pub(super) closed: AtomicBool,
    /// When the evacuation of the front began; `None` unless it is being evacuated.
    pub(super) evacuated: Mutex<Option<Instant>>,
    /// Whether connections are closed as soon as they are idle.
    pub(super) closing_idle: AtomicBool,
    /// Latest time at which the process ends; `None` if no end is scheduled; calls accepted from now on are
    /// to be answered well before it.
    pub(super) shutdown_deadline: Mutex<Option<Instant>>,
}

/// Resources in use by clients; all 0 when no client is connected. The `Debug` form is logged when the front
/// has shut down.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Held {
    /// Number of descriptors held by client connections.
    pub connections: usize,
    /// Number of client connections that are being closed.
    pub leaving: usize,
    /// Memory of answers that clients have not read yet, in bytes.
    pub unread: usize,
    /// Memory of calls whose coroutines have not ended, without the bodies of writes, in bytes.
    pub calls: usize,
    /// Memory of the bodies of writes among these calls, in bytes.
    pub bodies: usize,
    /// Memory of received bytes that are not handled yet, in bytes.
    pub partial: usize,
}

/// Whether a client whose connection was just accepted has already sent a whole message. Messages longer than
/// [`PEEKED_BYTES`] count as incomplete.
fn has_sent_message(stream: &CoIo<TcpStream>) -> bool {
    let mut bytes = [0; PEEKED_BYTES];
    let peeked = stream.inner().peek(&mut bytes).unwrap_or(0);
    matches!(rpc::parse_message(&bytes[..peeked]), Ok(Some(_)))
}

impl Server {
    /// Creates a server without clients, with the limits for what they may use and the classes that they may
    /// call.
    pub fn new(budget: Budget, classes: Vec<Class>) -> Server {
        Server {
            memory: ClientMemory::new(&budget),
            budget,
            classes,
            clients: Mutex::default(),
            next_number: AtomicU64::new(0),
            descriptors: AtomicUsize::new(0),
            closing: AtomicUsize::new(0),
            closed: AtomicBool::new(false),
            evacuated: Mutex::new(None),
            closing_idle: AtomicBool::new(false),
            shutdown_deadline: Mutex::new(None),
        }
    }

    /// Resources that clients use at this moment.
    pub fn resources_in_use(&self) -> Held {
        Held {
            connections: self.descriptors.load(Ordering::Relaxed),
            leaving: self.closing.load(Ordering::Relaxed),
            unread: self.memory.unread.used(),
            calls: self.memory.calls.used(),
            bodies: self.memory.bodies.used(),
            partial: self.memory.input.used(),
        }
    }

    /// Whether requests of this class are writes, whose answers have no body; false for an unknown class.
    pub(super) fn is_write(&self, class: usize) -> bool {
        self.classes.get(class).is_some_and(|c| c.write)
    }

    /// The memory that clients make the front hold.
    pub fn memory(&self) -> &ClientMemory {
        &self.memory
    }

    /// Sets the time by which the process ends; calls accepted from now on must be answered before it.
    pub fn set_shutdown_deadline(&self, at: Instant) {
        *lock(&self.shutdown_deadline) = Some(at);
    }

    /// Time until the process ends, in milliseconds; infinite if no end is scheduled. Limits the time of a
    /// call that is accepted now.
    pub(super) fn remaining_ms(&self) -> f64 {
        let remaining = |at: Instant| at.saturating_duration_since(Instant::now()).as_secs_f64() * 1000.0;
        lock(&self.shutdown_deadline).map_or(f64::INFINITY, remaining)
    }

    /// Accepts clients until the front shuts down. An inherited socket is then left to the other process. On
    /// a socket that this process bound, all pending connections are accepted first, so that every connected
    /// client gets an answer.
    pub fn accept_clients(&self, front: &Arc<SharedState>, listener: Listener, origin: Origin) {
        let mut pause = DESCRIPTOR_BACKOFF[0];
        let mut quantum = Quantum::default();
        loop {
            quantum.count_message_or_yield();
            // Wait until closing connections have released their descriptors.
            while self.descriptors.load(Ordering::Relaxed)
                >= self.budget.clients + self.budget.closing + CLOSING_RESERVE
            {
                crate::sleep::sleep(Duration::from_millis(1));
            }
            let accepted = match (self.closed.load(Ordering::Acquire), origin) {
                (true, Origin::Inherited) => Ok(None),
                (true, Origin::Bound) => listener.try_accept(),
                (false, _) => listener.accept(&self.closed),
            };
            match accepted {
                Ok(None) if self.closed.load(Ordering::Acquire) => return,
                Ok(None) => {}
                Ok(Some((stream, peer))) => {
                    pause = DESCRIPTOR_BACKOFF[0];
                    self.admit(front, stream, peer);
                }
                // If no descriptor is left, an idle client is closed to release one, and the wait grows,
                // because accept fails at once as long as none is free. Any other error concerns a single
                // client that disconnected early, so the next one may succeed.
                Err(e) => {
                    if Failure::classify(&e) == Failure::Descriptors {
                        tracing::warn!(held = self.descriptors.load(Ordering::Relaxed), "accept: {e}");
                        self.evict(front);
                        crate::sleep::sleep(pause);
                        pause = (pause * 2).min(DESCRIPTOR_BACKOFF[1]);
                    } else {
                        crate::sleep::sleep(DESCRIPTOR_BACKOFF[0]);
                    }
                }
            }
        }
    }

    /// Counts an accepted connection and starts its coroutine, or drops it if no capacity can be freed.
    fn admit(&self, front: &Arc<SharedState>, stream: CoIo<TcpStream>, peer: SocketAddr) {
        self.descriptors.fetch_add(1, Ordering::Relaxed);
        let has_message = !self.has_capacity() && has_sent_message(&stream);
        if !(has_message && self.evict_incomplete(front) || self.make_capacity(front)) {
            drop(stream);
            self.descriptors.fetch_sub(1, Ordering::Relaxed);
            front.reason_counts.add(EventKind::ClientClosed, Reason::TooMany.code());
            tracing::info!(kind = %"client", %peer, reason = %Reason::TooMany.code(), "end");
            return;
        }
        // Added at once, so that the limit check for the next connection counts this one.
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let client = Arc::new(ClientConnection::new(&self.memory));
        lock(&client.open).message_unread = has_message;
        lock(&self.clients).insert(number, client.clone());
        let front = front.clone();
        spawn(move || front.server.serve_connection(&front, number, &client, stream, peer));
    }

    /// Runs one connection until it ends.
    fn serve_connection(
        &self,
        front: &Arc<SharedState>,
        number: u64,
        client: &Arc<ClientConnection>,
        stream: CoIo<TcpStream>,
        peer: SocketAddr,
    ) {
        let mut ended = ConnectionCleanup { front, number, client, peer, why: Reason::Panicked };
        client.link.attach(Stream::Std(stream));
        ended.why = client.link.run(
            |buffer, quantum| client.read_messages(front, buffer, quantum),
            |why| client.stays_open(front, why),
        );
    }

    /// Closes connections that have timed out, and all idle ones if the front is ending or being evacuated
    /// (`ending`).
    pub fn sweep(&self, front: &SharedState, ending: bool) {
        self.closing_idle.store(ending, Ordering::Release);
        let now = Instant::now();
        self.close_memory_holder(now);
        let all: Vec<Arc<ClientConnection>> = lock(&self.clients).values().cloned().collect();
        for client in all {
            client.link.sweep(now);
            let idle = || lock(&client.open).is_idle(now) && client.link.is_delivered();
            match client.timeout_reason(now).or_else(|| (ending && idle()).then_some(Reason::Shutdown)) {
                Some(why @ (Reason::Idle | Reason::Shutdown | Reason::NoRequest)) => {
                    client.start_closing(front, why);
                }
                Some(why) => client.link.close(why),
                None => {}
            }
        }
    }

    /// Starts (`true`) or ends (`false`) the evacuation of the front. Meanwhile it reports itself as not
    /// ready, and connections are closed as they become idle.
    pub fn set_evacuated(&self, on: bool) {
        let mut evacuated = lock(&self.evacuated);
        *evacuated = if on { Some(evacuated.unwrap_or_else(Instant::now)) } else { None };
        if !on {
            self.closing_idle.store(false, Ordering::Release);
        }
    }

    /// Whether the front is being evacuated.
    pub fn is_evacuated(&self) -> bool {
        lock(&self.evacuated).is_some()
    }

    /// Time since the evacuation began; `None` if the front is not being evacuated.
    pub fn evacuated_for(&self) -> Option<Duration> {
        lock(&self.evacuated).map(|at| at.elapsed())
    }

    /// Stops accepting clients.
    pub fn stop_accepting(&self) {
        self.closed.store(true, Ordering::Release);
    }

    /// Whether no call is open and every answer has been written.
    pub fn has_answered_all(&self) -> bool {
        lock(&self.clients).values().all(|c| lock(&c.open).calls.is_empty() && c.link.is_drained())
    }

    /// Answers all open calls with an error and cancels them, because the process ends. The error does not
    /// say whether a call took effect. Without it, calls of clients that wait longer than their class allows
    /// would be lost with the process.
    pub fn fail_open_calls(&self, front: &SharedState) {
        let all: Vec<Arc<ClientConnection>> = lock(&self.clients).values().cloned().collect();
        for client in all {
            let calls = {
                // The lock is held until the answers are queued, as in `ClientConnection::answer`.
                let mut open = lock(&client.open);
                open.idle_since.get_or_insert_with(Instant::now);
                let calls = std::mem::take(&mut open.calls);
                for number in calls.keys() {
                    client.send(rpc::encode_error(*number, "Fault", &[]));
                }
                calls
            };
            for call in calls.into_values() {
                call.cancel(front);
            }
        }
    }

    /// Whether no client connection is left.
    pub fn is_empty(&self) -> bool {
        self.descriptors.load(Ordering::Relaxed) == 0
    }
}

#[cfg(test)]
mod tests;
