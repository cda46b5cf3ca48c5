//! One client's connection: its open calls, the messages read from it and the answers written to it.

use super::answer_memory::AnswerQueue;
use super::call::{self, CallFields};
use super::client_memory::{CallReservation, ClientMemory};
use super::forward::{self, Answer, Forwarded};
use super::msgpack_rpc::{self as rpc, Fields, Message};
use crate::buffer::Buffer;
use crate::event_loop::Quantum;
use crate::invariants::Invariant;
use crate::link::Link;
use crate::log::Reason;
use crate::metrics::Outcome;
use crate::reason_counts::EventKind;
use crate::shared::SharedState;
use crate::spawn::spawn;
use crate::sync::lock;
use crate::upstream::caller::Caller;
use crate::upstream::dispatch_queue::DispatchQueue;
use fernslip::{Request, RequestId};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Maximum number of open calls on one connection, as the protocol specifies. Further calls are rejected, so
/// that no client occupies the whole front.
pub(super) const MAX_OPEN_CALLS: usize = 32;
/// Maximum number of bytes of unread answers on one connection: as many as the longest answers to all calls
/// that may be open.
const MAX_UNREAD_BYTES: usize = MAX_OPEN_CALLS * 256 * 1024;
/// Longest wait at shutdown for the remainder of a message of which a part has arrived.
const PARTIAL_MESSAGE_GRACE: Duration = Duration::from_millis(200);
/// Time within which a new client must send its first message, and any client must complete a message that
/// it has begun. Protects the capacity for other clients against those that connect and send nothing, or only
/// part of a message.
pub(super) const MESSAGE_TIMEOUT: Duration = Duration::from_secs(2);
/// Retry-After, in milliseconds, of calls rejected because the front shuts down: another process or front
/// can accept them at once.
const SHUTDOWN_RETRY_AFTER_MS: &str = "100";
/// How long a new connection that has sent nothing is neither evicted at the connection limit nor regarded
/// as idle.
pub(super) const NEW_CONNECTION_GRACE: Duration = Duration::from_millis(200);

/// A call that was accepted and has not been answered.
pub(super) struct OpenCall {
    pub(super) id: RequestId,
    pub(super) queue: Arc<DispatchQueue>,
    /// Notified when the client disconnects or cancels the call.
    pub(super) caller: Arc<Caller>,
}

/// State of one connection, protected by one lock.
pub(super) struct ConnectionState {
    /// Open calls by their number on this connection.
    pub(super) calls: HashMap<u32, OpenCall>,
    /// When the connection became idle: when its last call ended, or else when it was accepted. `None` while
    /// a call is open.
    pub(super) idle_since: Option<Instant>,
    /// When the incomplete message in the buffer began to arrive; `None` if there is none.
    pub(super) partial_since: Option<Instant>,
    /// Received bytes of the incomplete message.
    pub(super) partial: usize,
    /// When bytes were last received.
    pub(super) last_input: Instant,
    /// Memory of the received bytes that are not handled yet.
    pub(super) input_memory: usize,
    /// Number of calls accepted so far.
    pub(super) accepted: u64,
    /// Whether the connection is being closed; it then no longer counts towards the client limit.
    pub(super) closing: bool,
    /// Whether a complete message has been received.
    pub(super) message_received: bool,
    /// Whether the system had a complete message of the client when the connection was accepted, and it is not
    /// read yet. The connection is not evicted before.
    pub(super) message_unread: bool,
    /// Whether a request has been served on this connection; such connections are evicted last.
    pub(super) served: bool,
}

/// One client's connection.
pub(super) struct ClientConnection {
    pub(super) link: Link,
    pub(super) open: Mutex<ConnectionState>,
    recent_answers: Mutex<RecentAnswers>,
    /// Memory that is reserved for answers that were requested, in bytes.
    reserved_memory: AtomicUsize,
}

impl AnswerQueue for ClientConnection {
    fn queued_memory(&self) -> usize {
        self.link.unwritten_memory()
    }

    fn reserved_memory(&self) -> &AtomicUsize {
        &self.reserved_memory
    }
}

/// Sizes of the last answers on a connection. As a client has at most [`MAX_OPEN_CALLS`] calls open, it has
/// read all earlier answers.
#[derive(Default)]
struct RecentAnswers {
    sizes: VecDeque<usize>,
    bytes: usize,
}

impl RecentAnswers {
    fn add(&mut self, size: usize) {
        self.sizes.push_back(size);
        self.bytes += size;
        if self.sizes.len() > MAX_OPEN_CALLS {
            self.bytes -= self.sizes.pop_front().unwrap_or(0);
        }
    }
}

impl ConnectionState {
    /// Whether the connection may be closed while the front shuts down: no call is open, and it is not so
    /// new that its first call is still expected.
    pub(super) fn is_idle(&self, now: Instant) -> bool {
        self.idle_since
            .is_some_and(|at| self.message_received || now.duration_since(at) >= NEW_CONNECTION_GRACE)
    }
}

impl ClientConnection {
    pub(super) fn new(memory: &ClientMemory) -> ClientConnection {
        let open = ConnectionState {
            calls: HashMap::new(),
            idle_since: Some(Instant::now()),
            partial_since: None,
            partial: 0,
            last_input: Instant::now(),
            input_memory: 0,
            accepted: 0,
            closing: false,
            message_received: false,
            message_unread: false,
            served: false,
        };
        ClientConnection {
            link: Link::with_accounts(memory.input_settings(), memory.unread.clone()),
            open: Mutex::new(open),
            recent_answers: Mutex::default(),
            reserved_memory: AtomicUsize::new(0),
        }
    }

    /// Queues an answer; returns whether the connection accepted it.
    pub(super) fn send(&self, bytes: Vec<u8>) -> bool {
        lock(&self.recent_answers).add(bytes.len());
        let Some(unread) = self.link.send(bytes, None) else { return false };
        // A client that does not read its answers must not use up the memory for others.
        if unread > MAX_UNREAD_BYTES {
            self.link.close(Reason::SlowReader);
        }
        true
    }

    /// Number of bytes of the answers that the client may not have read yet, although they were delivered.
    pub(super) fn recent_answer_bytes(&self) -> usize {
        lock(&self.recent_answers).bytes
    }

    /// Answers a call, unless the client has cancelled it. The memory that was reserved for the answer is
    /// released once the answer is queued, which counts by itself.
    pub(super) fn answer(
        &self,
        front: &SharedState,
        call: u32,
        caller: &Arc<Caller>,
        class: Option<usize>,
        Forwarded { answer, memory }: Forwarded,
    ) {
        let outcome = match answer {
            Answer::Served(_) => Some(Outcome::Answered),
            Answer::Rejected(_) => Some(Outcome::Deferred),
            Answer::Failed => Some(Outcome::Errored),
            Answer::None => None,
        };
        let served = matches!(answer, Answer::Served(_));
        let bytes = encode_answer(call, answer);
        let idle = {
            // The lock is held until the answer is queued, so that a close that finds no open call also
            // finds the answer in the queue.
            let mut open = lock(&self.open);
            // The client may have cancelled this call and reused its number for another one.
            if open.calls.get(&call).is_none_or(|c| !Arc::ptr_eq(&c.caller, caller)) {
                front.metrics.request_ended(class, None);
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
                    format!(
                        "trace={trace:016x}: the answer was lost because its connection was already closed"
                    )
                });
            }
            open.calls.is_empty()
        };
        drop(memory);
        front.metrics.request_ended(class, outcome);
        front.server.limit_unread_answers();
        // While the front is ending or being evacuated, a connection closes right after its last answer
        // instead of at the next sweep.
        if idle && front.server.closing_idle.load(Ordering::Acquire) {
            self.start_closing(front, Reason::Shutdown);
        }
    }

    /// Closes the connection gracefully; from now on it does not count towards the client limit.
    pub(super) fn start_closing(&self, front: &SharedState, why: Reason) {
        if !std::mem::replace(&mut lock(&self.open).closing, true) {
            front.server.closing.fetch_add(1, Ordering::Relaxed);
        }
        // While too many connections are closing, releasing their descriptors matters more than delivering
        // the last bytes in transit.
        if front.server.closing.load(Ordering::Relaxed) > front.server.budget.closing
            && why == Reason::TooMany
        {
            self.link.close(why);
        } else {
            self.link.close_gracefully(why);
        }
    }

    /// Whether the connection stays open although it was to be closed, because a call or part of one arrived
    /// in the meantime.
    pub(super) fn stays_open(&self, front: &SharedState, why: Reason) -> bool {
        let mut open = lock(&self.open);
        let shutdown = why == Reason::Shutdown;
        let begun = open
            .partial_since
            .is_some_and(|at| at.elapsed() < if shutdown { PARTIAL_MESSAGE_GRACE } else { MESSAGE_TIMEOUT });
        let stays_open = !open.calls.is_empty() || begun && why != Reason::TooMany;
        if stays_open && std::mem::take(&mut open.closing) {
            front.server.closing.fetch_sub(1, Ordering::Relaxed);
        }
        stays_open
    }

    /// Decodes a call and starts a coroutine for it, or answers it at once if it is invalid or exceeds a
    /// limit.
    ///
    /// # Errors
    /// The client broke the protocol; the connection ends for that reason.
    fn handle_call(
        self: &Arc<Self>,
        front: &Arc<SharedState>,
        number: u32,
        method: String,
        fields: Fields,
        body: Vec<u8>,
    ) -> Result<(), Reason> {
        if method == "isWell" {
            self.send(rpc::encode_health(number, front.is_ready()));
            return Ok(());
        }
        let (request, fields) = match call::parse_call(&front.server.classes, &method, fields, body) {
            Ok(r) => r,
            Err(why) => {
                self.send(rpc::encode_error(number, "Fault", &[("field", why.field())]));
                return Ok(());
            }
        };
        let class = Some(request.class);
        let Some(queue) = front.queues.route(&fields.class, &fields.object).cloned() else {
            front.metrics.count_outcome(class, Outcome::Errored);
            self.send(rpc::encode_error(number, "Fault", &[("route", "none")]));
            return Ok(());
        };
        // While the front is ending or being evacuated, new calls are rejected at once: a busy connection
        // has to become idle and close before the process is killed, and a call accepted now would be lost
        // with the process.
        if front.server.closing_idle.load(Ordering::Acquire) {
            front.metrics.count_outcome(class, Outcome::Deferred);
            self.send(rpc::encode_error(number, "Shed", &[("pause", SHUTDOWN_RETRY_AFTER_MS)]));
            if lock(&self.open).calls.is_empty() {
                self.start_closing(front, Reason::Shutdown);
            }
            return Ok(());
        }
        let request = Request { budget_ms: request.budget_ms.min(front.server.remaining_ms()), ..request };
        let caller = Arc::new(Caller::default());
        let open_call = OpenCall { id: request.id, queue: queue.clone(), caller: caller.clone() };
        let Some(reservation) = self.register_call(&front.server.memory, number, open_call, &fields)? else {
            front.metrics.count_outcome(class, Outcome::Deferred);
            let pause = (front.queues.retry_after_ms() as u64).to_string();
            self.send(rpc::encode_error(number, "Shed", &[("pause", &pause)]));
            return Ok(());
        };
        front.metrics.request_accepted();
        let (client, front, fields) = (self.clone(), front.clone(), Arc::new(fields));
        spawn(move || {
            // A panic affects only its own request: the call is answered, and the resources that it took are
            // released.
            let served = catch_unwind(AssertUnwindSafe(|| {
                let connection: Arc<dyn AnswerQueue> = client.clone();
                forward::forward_request(&front, &queue, request, &fields, &caller, &connection)
            }));
            let answer = served.unwrap_or(Forwarded { answer: Answer::Failed, memory: None });
            drop(reservation);
            client.answer(&front, number, &caller, class, answer);
        });
        Ok(())
    }

    /// Registers a call as open and reserves its memory; returns `None` if the connection has too many open
    /// calls, or all connections together use too much memory for theirs.
    ///
    /// # Errors
    /// A call with this number is open.
    fn register_call(
        &self,
        memory: &ClientMemory,
        number: u32,
        call: OpenCall,
        fields: &CallFields,
    ) -> Result<Option<CallReservation>, Reason> {
        let mut open = lock(&self.open);
        if open.calls.contains_key(&number) {
            return Err(Reason::Malformed);
        }
        if open.calls.len() >= MAX_OPEN_CALLS {
            return Ok(None);
        }
        let reservation = memory.reserve_call(fields);
        if reservation.is_some() {
            open.calls.insert(number, call);
            open.idle_since = None;
            open.accepted += 1;
        }
        Ok(reservation)
    }

    /// Cancels a call that the client no longer waits for.
    fn cancel_call(&self, front: &SharedState, call: u32) {
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

    /// Handles the complete messages in the buffer until the quantum is used up, and accounts for the bytes
    /// of an incomplete one.
    ///
    /// # Errors
    /// The client broke the protocol; the connection ends for that reason.
    pub(super) fn read_messages(
        self: &Arc<Self>,
        front: &Arc<SharedState>,
        buffer: &mut Buffer,
        quantum: &mut Quantum,
    ) -> Result<(), Reason> {
        let mut received = false;
        let mut all_handled = false;
        while !quantum.is_used_up() {
            let parsed = rpc::parse_message(buffer.data()).map_err(|_| Reason::Malformed)?;
            let Some((len, message)) = parsed else {
                all_handled = true;
                break;
            };
            quantum.count_message();
            received = true;
            buffer.consume(len);
            match message {
                Message::Call { id, method, fields, body } => {
                    self.handle_call(front, id, method, fields, body)?;
                }
                Message::Cancel(call) => self.cancel_call(front, call),
                Message::UnknownNotice => {}
            }
        }
        buffer.store();
        buffer.set_expected_len(rpc::expected_len(buffer.data()));
        let (mut open, now) = (lock(&self.open), Instant::now());
        (open.input_memory, open.last_input) = (buffer.memory(), now);
        if received {
            (open.message_received, open.message_unread) = (true, false);
            open.partial_since = None;
            open.idle_since = open.idle_since.map(|_| now);
        }
        // What follows the last message of a quantum may be complete; the next quantum accounts for it.
        let partial = match (all_handled, received) {
            (true, _) => buffer.data().len(),
            (false, true) => 0,
            (false, false) => return Ok(()),
        };
        open.partial_since = (partial > 0).then(|| open.partial_since.unwrap_or(now));
        open.partial = partial;
        drop(open);
        // Clients that begin long messages and do not complete them must not use up the memory for others.
        if partial > 0 {
            front.server.limit_partial_messages();
        }
        Ok(())
    }
}

/// Releases everything that a connection holds when this is dropped, even if a panic unwinds its coroutine:
/// capacity that is not released would be lost for good.
pub(super) struct ConnectionCleanup<'a> {
    pub(super) front: &'a SharedState,
    pub(super) number: u64,
    pub(super) client: &'a ClientConnection,
    pub(super) peer: SocketAddr,
    pub(super) why: Reason,
}

impl Drop for ConnectionCleanup<'_> {
    fn drop(&mut self) {
        let ConnectionCleanup { front, number, client, peer, why } = self;
        let server = &front.server;
        let undelivered = client.link.undelivered_bytes();
        client.link.terminate();
        lock(&server.clients).remove(number);
        let (unanswered, accepted, closing) = {
            let mut open = lock(&client.open);
            let open = &mut *open;
            (open.partial, open.input_memory) = (0, 0);
            (std::mem::take(&mut open.calls), open.accepted, std::mem::replace(&mut open.closing, true))
        };
        if closing {
            server.closing.fetch_sub(1, Ordering::Relaxed);
        }
        server.descriptors.fetch_sub(1, Ordering::Relaxed);
        let (unanswered, open_calls) = (unanswered.len(), unanswered);
        front.reason_counts.add(EventKind::ClientClosed, why.code());
        let settled = !why.is_own_choice() || unanswered == 0 && undelivered == 0;
        front.invariants.check(Invariant::CloseSettled, settled, || {
            let reason = why.code();
            format!(
                "{peer}: closed for {reason} with {unanswered} calls open, {undelivered} bytes undelivered"
            )
        });
        let (reason, taken) = (why.code(), accepted);
        tracing::info!(kind = %"client", %peer, %reason, taken, unanswered, undelivered, "end");
        for call in open_calls.into_values() {
            call.cancel(front);
        }
    }
}

impl OpenCall {
    /// Cancels the call because its client no longer waits: no further attempt begins, wherever the call is
    /// queued. The id alone does not say whose request it is: another client may have an open request with
    /// the same id, which goes on.
    pub(super) fn cancel(self, front: &SharedState) {
        self.caller.disconnect();
        let owned = self.queue.dispatcher.client_disconnected(front.clock.now(), self.id, self.caller.id());
        let trace = self.id.0;
        tracing::debug!(trace = %format_args!("{trace:016x}"), owned, "cancelled by its client");
        if owned {
            front.upstream.withdraw_attempt(self.id);
        }
    }
}

/// Encodes a final answer; `None` if no answer is due.
fn encode_answer(call: u32, answer: Answer) -> Option<Vec<u8>> {
    Some(match answer {
        Answer::Served(r) if r.current => rpc::encode_success(call, &[], &[("current", "1")]),
        Answer::Served(r) => rpc::encode_success(call, &r.body, &[]),
        Answer::Rejected(pause) if pause >= 1.0 => {
            rpc::encode_error(call, "Shed", &[("pause", &(pause as u64).to_string())])
        }
        Answer::Rejected(_) => rpc::encode_error(call, "Shed", &[]),
        Answer::Failed => rpc::encode_error(call, "Fault", &[]),
        Answer::None => return None,
    })
}
