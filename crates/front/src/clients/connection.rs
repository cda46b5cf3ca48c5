//! One client's connection: its open calls, the messages read from it and the answers written to it.

use super::call;
use super::forward::{self, Answer};
use super::msgpack_rpc::{self as rpc, Fields, Message};
use crate::buffer::Buffer;
use crate::invariants::Invariant;
use crate::link::Link;
use crate::log::Reason;
use crate::metrics::Outcome;
use crate::reason_counts::Kind;
use crate::shared::Shared;
use crate::spawn::spawn;
use crate::sync::lock;
use crate::upstream::caller::Caller;
use crate::upstream::dispatch_queue::DispatchQueue;
use fernslip::{Request, RequestId};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Open calls on one connection: the protocol's own figure. More are rejected, so that no client has the whole front to
/// itself.
const MAX_OPEN_CALLS: usize = 32;
/// Bytes of one connection's answers that wait to be read: those of all calls that may be open, at the longest.
const MAX_UNREAD_BYTES: usize = MAX_OPEN_CALLS * 256 * 1024;
/// At shutdown the remainder of a message that has begun is waited for so long.
const PARTIAL_MESSAGE_GRACE: Duration = Duration::from_millis(200);
/// A client that has connected sends a message within this time, and completes within it one that it has begun. Guards
/// the capacity for others against clients that connect and send nothing, or part of a message.
pub(super) const MESSAGE_TIMEOUT: Duration = Duration::from_secs(2);
/// Retry-After of a call that is rejected because the front shuts down, in milliseconds: another process or front takes
/// it at once.
const SHUTDOWN_RETRY_AFTER: &str = "100";
/// At the connection limit, a connection that has sent nothing yet is not evicted for so long.
pub(super) const NEW_CONNECTION_GRACE: Duration = Duration::from_millis(200);

/// A call that is open.
pub(super) struct OpenCall {
    pub(super) id: RequestId,
    pub(super) queue: Arc<DispatchQueue>,
    /// Notified when its client disconnects or cancels the call.
    pub(super) caller: Arc<Caller>,
}

/// What the server knows of one connection, behind one lock.
pub(super) struct ConnectionState {
    /// By the call's number on this connection.
    pub(super) calls: HashMap<u32, OpenCall>,
    /// No call is open since then.
    pub(super) idle_since: Option<Instant>,
    /// A message has come in part since then.
    pub(super) partial_since: Option<Instant>,
    /// Bytes of that part.
    pub(super) partial: usize,
    /// Calls that were accepted so far.
    pub(super) accepted: u64,
    /// It is closing: it counts among the clients no more.
    pub(super) closing: bool,
    /// A complete message has come.
    pub(super) message_received: bool,
    /// A request was served: a client in good standing.
    pub(super) served: bool,
}

/// One client's connection.
pub(super) struct ClientConnection {
    pub(super) link: Link,
    pub(super) open: Mutex<ConnectionState>,
}

impl ConnectionState {
    /// Whether it may be closed where the front shuts down: no call is open, and it has not just connected, as then it is
    /// about to send a call.
    pub(super) fn is_idle(&self, now: Instant) -> bool {
        self.idle_since
            .is_some_and(|at| self.message_received || now.duration_since(at) >= NEW_CONNECTION_GRACE)
    }
}

impl ClientConnection {
    pub(super) fn new(unread: Arc<AtomicUsize>) -> ClientConnection {
        let open = ConnectionState {
            calls: HashMap::new(),
            idle_since: Some(Instant::now()),
            partial_since: None,
            partial: 0,
            accepted: 0,
            closing: false,
            message_received: false,
            served: false,
        };
        ClientConnection { link: Link::counted(unread), open: Mutex::new(open) }
    }

    /// Queues an answer; whether the connection took it.
    pub(super) fn send(&self, bytes: Vec<u8>) -> bool {
        let Some(unread) = self.link.send(bytes, None) else { return false };
        // A client that does not read must not cost the others their memory.
        if unread > MAX_UNREAD_BYTES {
            self.link.close(Reason::SlowReader);
        }
        true
    }

    /// Answers a call unless the client has cancelled it.
    pub(super) fn answer(
        &self,
        front: &Shared,
        call: u32,
        caller: &Arc<Caller>,
        class: Option<usize>,
        answer: Answer,
    ) {
        let outcome = match answer {
            Answer::Served(_) => Some(Outcome::Answered),
            Answer::Rejected(_) => Some(Outcome::Deferred),
            Answer::Failed => Some(Outcome::Errored),
            Answer::None => None,
        };
        let served = matches!(answer, Answer::Served(_));
        let bytes = encode(call, answer);
        let idle = {
            // Held until the answer is queued: a close that finds no call open finds it owed.
            let mut open = lock(&self.open);
            // Another call may have its number by now, of a client that counts its own way.
            if open.calls.get(&call).is_none_or(|c| !Arc::ptr_eq(&c.caller, caller)) {
                front.metrics.ended(class, None);
                return;
            }
            let trace = open.calls.remove(&call).map_or(0, |c| c.id.0);
            tracing::debug!(trace = %format_args!("{trace:016x}"), ?outcome, "answered");
            if open.calls.is_empty() {
                open.idle_since = Some(Instant::now());
            }
            open.served |= served;
            if let Some(bytes) = bytes {
                let delivered = self.send(bytes) || self.link.is_broken();
                front.invariants.check(Invariant::AnswerDelivered, delivered, || {
                    format!("trace={trace:016x} answered on a connection that was closed")
                });
            }
            open.calls.is_empty()
        };
        front.metrics.ended(class, outcome);
        front.server.limit_unread_answers();
        // The front is being emptied: a connection closes after its last answer, not only at the next sweep.
        if idle && front.server.closing_idle.load(Ordering::Acquire) {
            self.finish(front, Reason::Shutdown);
        }
    }

    /// Closes it gracefully; from now on it is not counted among the clients.
    pub(super) fn finish(&self, front: &Shared, why: Reason) {
        if !std::mem::replace(&mut lock(&self.open).closing, true) {
            front.server.closing.fetch_add(1, Ordering::Relaxed);
        }
        // Where many close at once the descriptors are worth more than the last bytes on the way.
        if front.server.closing.load(Ordering::Relaxed) > front.server.budget.closing
            && why == Reason::TooMany
        {
            self.link.close(why);
        } else {
            self.link.close_gracefully(why);
        }
    }

    /// Whether it goes on although it was to be closed: something came in that very moment.
    pub(super) fn resumes(&self, front: &Shared, why: Reason) -> bool {
        let mut open = lock(&self.open);
        let shutdown = why == Reason::Shutdown;
        let begun = open
            .partial_since
            .is_some_and(|at| at.elapsed() < if shutdown { PARTIAL_MESSAGE_GRACE } else { MESSAGE_TIMEOUT });
        let resumes = !open.calls.is_empty() || begun && why != Reason::TooMany;
        if resumes && std::mem::take(&mut open.closing) {
            front.server.closing.fetch_sub(1, Ordering::Relaxed);
        }
        resumes
    }

    /// Reads a call and starts a coroutine for it, or rejects it at once.
    ///
    /// # Errors
    /// The protocol is broken: the connection ends for that reason.
    fn call(
        self: &Arc<Self>,
        front: &Arc<Shared>,
        number: u32,
        method: String,
        fields: Fields,
        body: Vec<u8>,
    ) -> Result<(), Reason> {
        if method == "isWell" {
            self.send(rpc::well(number, front.is_ready()));
            return Ok(());
        }
        let (request, fields) = match call::read(&front.server.classes, &method, fields, body) {
            Ok(r) => r,
            Err(why) => {
                self.send(rpc::error(number, "Fault", &[("field", why.field())]));
                return Ok(());
            }
        };
        let class = Some(request.class);
        let Some(queue) = front.queues.route(&fields.class, &fields.object).cloned() else {
            front.metrics.count(class, Outcome::Errored);
            self.send(rpc::error(number, "Fault", &[("route", "none")]));
            return Ok(());
        };
        let bytes = fields.body.len();
        // The front is ending or being emptied: a busy connection must fall idle and close before the process is
        // killed, so what comes on it now is rejected at once instead of being taken and lost with the process.
        if front.server.closing_idle.load(Ordering::Acquire) {
            front.metrics.count(class, Outcome::Deferred);
            self.send(rpc::error(number, "Shed", &[("pause", SHUTDOWN_RETRY_AFTER)]));
            if lock(&self.open).calls.is_empty() {
                self.finish(front, Reason::Shutdown);
            }
            return Ok(());
        }
        let request = Request { budget_ms: request.budget_ms.min(front.server.remaining_ms()), ..request };
        let caller = Arc::new(Caller::default());
        {
            let mut open = lock(&self.open);
            if open.calls.contains_key(&number) {
                return Err(Reason::Malformed);
            }
            let bodies = &front.server.bodies;
            if open.calls.len() >= MAX_OPEN_CALLS
                || bodies.load(Ordering::Relaxed) + bytes > front.server.budget.bodies
            {
                drop(open);
                front.metrics.count(class, Outcome::Deferred);
                let pause = (front.queues.retry_after_ms() as u64).to_string();
                self.send(rpc::error(number, "Shed", &[("pause", &pause)]));
                return Ok(());
            }
            bodies.fetch_add(bytes, Ordering::Relaxed);
            open.calls
                .insert(number, OpenCall { id: request.id, queue: queue.clone(), caller: caller.clone() });
            open.idle_since = None;
            open.accepted += 1;
        }
        front.metrics.taken();
        let (client, front, fields) = (self.clone(), front.clone(), Arc::new(fields));
        spawn(move || {
            // A defect costs its own request alone: it is answered, and what it took is given back.
            let served =
                catch_unwind(AssertUnwindSafe(|| forward::serve(&front, &queue, request, &fields, &caller)));
            let answer = served.unwrap_or(Answer::Failed);
            front.server.bodies.fetch_sub(bytes, Ordering::Relaxed);
            client.answer(&front, number, &caller, class, answer);
        });
        Ok(())
    }

    /// The client does not wait for that call any more.
    fn cancel_call(&self, front: &Shared, call: u32) {
        let cancelled = {
            let mut open = lock(&self.open);
            let cancelled = open.calls.remove(&call);
            if cancelled.is_some() && open.calls.is_empty() {
                open.idle_since = Some(Instant::now());
            }
            cancelled
        };
        if let Some(call) = cancelled {
            call.cancel(front);
        }
    }

    /// Handles the complete messages in the buffer, and accounts for the remainder.
    ///
    /// # Errors
    /// The protocol is broken: the connection ends for that reason.
    pub(super) fn read_messages(
        self: &Arc<Self>,
        front: &Arc<Shared>,
        buffer: &mut Buffer,
    ) -> Result<(), Reason> {
        let mut received = false;
        while let Some((len, message)) = rpc::parse(buffer.data()).map_err(|_| Reason::Malformed)? {
            received = true;
            buffer.consume(len);
            match message {
                Message::Call { id, method, fields, body } => self.call(front, id, method, fields, body)?,
                Message::Forget(call) => self.cancel_call(front, call),
                Message::Other => {}
            }
        }
        let (mut open, now) = (lock(&self.open), Instant::now());
        if received {
            open.message_received = true;
            open.partial_since = None;
            open.idle_since = open.idle_since.map(|_| now);
        }
        let partial = buffer.data().len();
        open.partial_since = (partial > 0).then(|| open.partial_since.unwrap_or(now));
        let total = replace_contribution(&front.server.partial, &mut open.partial, partial);
        drop(open);
        // Clients that begin long messages and don't end them must not cost the others their memory.
        if partial > 0 && total > front.server.budget.partial {
            front.server.close_heaviest(Reason::NoRoom, ClientConnection::partial_message_weight);
        }
        Ok(())
    }
}

/// A connection whose end is settled when this is dropped, also where a defect unwinds its coroutine: capacity that is
/// never released is lost for good.
pub(super) struct ConnectionEnd<'a> {
    pub(super) front: &'a Shared,
    pub(super) number: u64,
    pub(super) client: &'a ClientConnection,
    pub(super) peer: SocketAddr,
    pub(super) why: Reason,
}

impl Drop for ConnectionEnd<'_> {
    fn drop(&mut self) {
        let ConnectionEnd { front, number, client, peer, why } = self;
        let server = &front.server;
        client.link.terminate();
        lock(&server.clients).remove(number);
        let (unanswered, accepted, closing) = {
            let mut open = lock(&client.open);
            let open = &mut *open;
            replace_contribution(&server.partial, &mut open.partial, 0);
            (std::mem::take(&mut open.calls), open.accepted, std::mem::replace(&mut open.closing, true))
        };
        if closing {
            server.closing.fetch_sub(1, Ordering::Relaxed);
        }
        server.descriptors.fetch_sub(1, Ordering::Relaxed);
        let (unanswered, open_calls) = (unanswered.len(), unanswered);
        front.reason_counts.add(Kind::ClientClosed, why.code());
        front.invariants.check(Invariant::CloseSettled, !why.is_own_choice() || unanswered == 0, || {
            format!("{peer} closed as {} with {unanswered} calls open", why.code())
        });
        tracing::info!(kind = %"client", %peer, reason = %why.code(), taken = accepted, unanswered, "end");
        for call in open_calls.into_values() {
            call.cancel(front);
        }
    }
}

impl OpenCall {
    /// Its client does not wait any more: no attempt begins for it from now on, wherever it is queued.
    pub(super) fn cancel(self, front: &Shared) {
        self.caller.disconnect();
        self.queue.dispatcher.client_disconnected(front.clock.now(), self.id);
        front.upstream.withdraw(self.id);
    }
}

/// The bytes of a final answer; `None`: none is owed.
fn encode(call: u32, answer: Answer) -> Option<Vec<u8>> {
    Some(match answer {
        Answer::Served(r) if r.current => rpc::served(call, &[], &[("current", "1")]),
        Answer::Served(r) => rpc::served(call, &r.body, &[]),
        Answer::Rejected(pause) if pause >= 1.0 => {
            rpc::error(call, "Shed", &[("pause", &(pause as u64).to_string())])
        }
        Answer::Rejected(_) => rpc::error(call, "Shed", &[]),
        Answer::Failed => rpc::error(call, "Fault", &[]),
        Answer::None => return None,
    })
}

/// Replaces one connection's contribution to a total; returns the total.
fn replace_contribution(all: &AtomicUsize, part: &mut usize, now: usize) -> usize {
    let before = std::mem::replace(part, now);
    all.fetch_add(now, Ordering::Relaxed);
    all.fetch_sub(before, Ordering::Relaxed) - before
}
