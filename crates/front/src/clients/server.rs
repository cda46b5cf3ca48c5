//! All clients' connections: accepting them, what they hold together, and closing them at the end.

use super::connection::{ClientConnection, ConnectionEnd};
use super::msgpack_rpc as rpc;
use crate::budget::Budget;
use crate::failure::Failure;
use crate::link::Stream;
use crate::listen::{Listener, Origin};
use crate::log::Reason;
use crate::reason_counts::Kind;
use crate::shared::Shared;
use crate::spawn::spawn;
use crate::sync::lock;
use fernslip::Class;
use may::io::CoIo;
use std::collections::HashMap;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Connections above the budget for clients that are just being closed; more wait to be accepted.
const CLOSING_RESERVE: usize = 4;
/// Backoff between two attempts to accept where no descriptor is left: the first, and the longest.
const DESCRIPTOR_BACKOFF: [Duration; 2] = [Duration::from_millis(5), Duration::from_millis(80)];

/// All clients' connections.
pub struct Server {
    pub(super) budget: Budget,
    pub(super) classes: Vec<Class>,
    pub(super) clients: Mutex<HashMap<u64, Arc<ClientConnection>>>,
    pub(super) next_number: AtomicU64,
    /// Bytes of answers that wait to be read, over all connections.
    pub(super) unread: Arc<AtomicUsize>,
    /// Descriptors that clients' connections hold.
    pub(super) descriptors: AtomicUsize,
    /// Of these, how many are being closed.
    pub(super) closing: AtomicUsize,
    /// Bytes of open writes' bodies.
    pub(super) bodies: AtomicUsize,
    /// Bytes of messages that have not come completely.
    pub(super) partial: AtomicUsize,
    /// No client is accepted any more.
    pub(super) closed: AtomicBool,
    /// Since `evacuate`, until `activate`.
    pub(super) evacuated: Mutex<Option<Instant>>,
    /// Connections are closed as they fall idle.
    pub(super) closing_idle: AtomicBool,
    /// When the process ends at the latest: what is taken from now on is to be answered well before.
    pub(super) end_by: Mutex<Option<Instant>>,
}

/// Resources in use by clients; all 0 when none is connected. Logged as it is when the front has shut down.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Held {
    /// Descriptors of connections.
    pub connections: usize,
    /// Of these, those that are being closed.
    pub leaving: usize,
    /// Bytes of answers that wait to be read.
    pub unread: usize,
    /// Bytes of open writes' bodies.
    pub bodies: usize,
    /// Bytes of messages that have not come completely.
    pub partial: usize,
}

impl Server {
    /// No client yet; what they may hold, and the classes they ask for.
    pub fn new(budget: Budget, classes: Vec<Class>) -> Server {
        Server {
            budget,
            classes,
            clients: Mutex::default(),
            next_number: AtomicU64::new(0),
            unread: Arc::default(),
            descriptors: AtomicUsize::new(0),
            closing: AtomicUsize::new(0),
            bodies: AtomicUsize::new(0),
            partial: AtomicUsize::new(0),
            closed: AtomicBool::new(false),
            evacuated: Mutex::new(None),
            closing_idle: AtomicBool::new(false),
            end_by: Mutex::new(None),
        }
    }

    /// What clients hold at this moment.
    pub fn held(&self) -> Held {
        Held {
            connections: self.descriptors.load(Ordering::Relaxed),
            leaving: self.closing.load(Ordering::Relaxed),
            unread: self.unread.load(Ordering::Relaxed),
            bodies: self.bodies.load(Ordering::Relaxed),
            partial: self.partial.load(Ordering::Relaxed),
        }
    }

    /// The process ends by then: what is taken from now on is answered before.
    pub fn end_by(&self, at: Instant) {
        *lock(&self.end_by) = Some(at);
    }

    /// Time until shutdown for a call that is accepted now, in milliseconds.
    pub(super) fn remaining_ms(&self) -> f64 {
        let remaining = |at: Instant| at.saturating_duration_since(Instant::now()).as_secs_f64() * 1000.0;
        lock(&self.end_by).map_or(f64::INFINITY, remaining)
    }

    /// Accepts clients until the front shuts down. A handed socket is then left to the other process; one of the front's own
    /// is read to its end first, so that whoever has connected gets an answer.
    pub fn run(&self, front: &Arc<Shared>, listener: Listener, origin: Origin) {
        let mut pause = DESCRIPTOR_BACKOFF[0];
        loop {
            // Those that are closing must have given their descriptors back.
            while self.descriptors.load(Ordering::Relaxed)
                >= self.budget.clients + self.budget.closing + CLOSING_RESERVE
            {
                crate::sleep::sleep(Duration::from_millis(1));
            }
            let accepted = match (self.closed.load(Ordering::Acquire), origin) {
                (true, Origin::Passed) => Ok(None),
                (true, Origin::Bound) => listener.accept_waiting(),
                (false, _) => listener.accept(&self.closed),
            };
            match accepted {
                Ok(None) if self.closed.load(Ordering::Acquire) => return,
                Ok(None) => {}
                Ok(Some((stream, peer))) => {
                    pause = DESCRIPTOR_BACKOFF[0];
                    self.admit(front, stream, peer);
                }
                // Out of descriptors, or a client that left at once: the next may be fine. An idle client gives its
                // descriptor back, and the wait grows: accept fails at once as long as none is free.
                Err(e) => {
                    if Failure::of(&e) == Failure::Descriptors {
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

    /// Counts an accepted connection and starts its coroutine, or drops it where no capacity can be made.
    fn admit(&self, front: &Arc<Shared>, stream: CoIo<TcpStream>, peer: SocketAddr) {
        self.descriptors.fetch_add(1, Ordering::Relaxed);
        if !self.make_capacity(front) {
            drop(stream);
            self.descriptors.fetch_sub(1, Ordering::Relaxed);
            front.reason_counts.add(Kind::ClientClosed, Reason::TooMany.code());
            tracing::info!(kind = %"client", %peer, reason = %Reason::TooMany.code(), "end");
            return;
        }
        // Listed at once: the next one to come is counted against it.
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let client = Arc::new(ClientConnection::new(self.unread.clone()));
        lock(&self.clients).insert(number, client.clone());
        let front = front.clone();
        spawn(move || front.server.serve(&front, number, &client, stream, peer));
    }

    /// Runs one connection to its end.
    fn serve(
        &self,
        front: &Arc<Shared>,
        number: u64,
        client: &Arc<ClientConnection>,
        stream: CoIo<TcpStream>,
        peer: SocketAddr,
    ) {
        let mut ended = ConnectionEnd { front, number, client, peer, why: Reason::Defect };
        client.link.attach(Stream::Std(stream));
        ended.why =
            client.link.run(|buffer| client.read_messages(front, buffer), |why| client.resumes(front, why));
    }

    /// Closes connections that nobody uses; all that are idle where the front is ending.
    pub fn sweep(&self, front: &Shared, ending: bool) {
        self.closing_idle.store(ending, Ordering::Release);
        let now = Instant::now();
        let all: Vec<Arc<ClientConnection>> = lock(&self.clients).values().cloned().collect();
        for c in all {
            c.link.sweep(now);
            let idle = || lock(&c.open).is_idle(now) && c.link.is_drained();
            match c.timeout_reason(now).or_else(|| (ending && idle()).then_some(Reason::Shutdown)) {
                Some(why @ (Reason::Idle | Reason::Shutdown | Reason::NoRequest)) => c.finish(front, why),
                Some(why) => c.link.close(why),
                None => {}
            }
        }
    }

    /// Empties the front, or ends that: readiness is no meanwhile, and connections close as they fall idle.
    pub fn evacuate(&self, on: bool) {
        let mut evacuated = lock(&self.evacuated);
        *evacuated = if on { Some(evacuated.unwrap_or_else(Instant::now)) } else { None };
        if !on {
            self.closing_idle.store(false, Ordering::Release);
        }
    }

    /// Whether the front is being emptied.
    pub fn is_evacuated(&self) -> bool {
        lock(&self.evacuated).is_some()
    }

    /// How long the front has been emptied for.
    pub fn evacuated_for(&self) -> Option<Duration> {
        lock(&self.evacuated).map(|at| at.elapsed())
    }

    /// No client is taken in any more.
    pub fn close(&self) {
        self.closed.store(true, Ordering::Release);
    }

    /// Every answer has been written, and no call is open.
    pub fn is_done(&self) -> bool {
        lock(&self.clients).values().all(|c| lock(&c.open).calls.is_empty() && c.link.is_drained())
    }

    /// The process ends: calls that are still open are answered with an error that promises nothing, and cancelled. Guards the
    /// calls of clients that wait longer than their class allows: they would be lost with the process.
    pub fn give_up(&self, front: &Shared) {
        let all: Vec<Arc<ClientConnection>> = lock(&self.clients).values().cloned().collect();
        for client in all {
            let calls = {
                // Held until the answers are queued, as in `ClientConnection::answer`.
                let mut open = lock(&client.open);
                open.idle_since.get_or_insert_with(Instant::now);
                let calls = std::mem::take(&mut open.calls);
                for number in calls.keys() {
                    client.send(rpc::error(*number, "Fault", &[]));
                }
                calls
            };
            for call in calls.into_values() {
                call.cancel(front);
            }
        }
    }

    /// No connection is left.
    pub fn is_empty(&self) -> bool {
        self.descriptors.load(Ordering::Relaxed) == 0
    }
}

#[cfg(test)]
mod tests;
