//! A connection to a cache node, a parent or the origin, shared by several attempts.
//!
//! The connection's own coroutine dials it, reads its answers ([`Connection::read_answers`]) and ends it
//! ([`Connection::terminate`]). The attempts' coroutines and the periodic sweep call all other methods. The
//! lock on the state is never held across a yield; only [`Connection::terminate`] yields.

use crate::buffer::Buffer;
use crate::event_loop::Quantum;
use crate::link::{InputSettings, Link};
use crate::log::Reason;
use crate::sleep;
use crate::sync::lock;
use crate::upstream::completed_attempt::CompletedAttempt;
use crate::upstream::in_flight_attempt::InFlightAttempt;
use crate::upstream::resp;
use crate::upstream::upstream_memory::UpstreamMemory;
use fernslip::{Ending, RequestId};
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How long after its end a cancelled attempt may still be answered, or any attempt may be answered a
/// second time.
const LATE_ANSWER_WINDOW: Duration = Duration::from_secs(20);
/// A connection with attempts in flight that has received no answer for this long gets no new attempts
/// while other connections are available.
pub(super) const UNRESPONSIVE_AFTER: Duration = Duration::from_millis(150);
/// An incomplete answer of which nothing more arrived for this long will never be completed. The value is
/// longer than the retransmission of a lost packet takes.
const ANSWER_STALL_TIMEOUT: Duration = Duration::from_millis(250);
/// Shortest delay that [`cancel_delay`] returns.
pub(super) const MIN_CANCEL_DELAY: Duration = Duration::from_millis(1);
/// Longest delay that [`cancel_delay`] returns.
const MAX_CANCEL_DELAY: Duration = Duration::from_millis(4);

/// How long a cancel, or the end of a connection, may take to reach the node: as long as the connection
/// took to be established (one round trip), within bounds. A cancel and the next attempt go over two
/// connections, and the next attempt could arrive first: this node, or the next one, would then see two
/// attempts of one request in flight at once.
fn cancel_delay(handshake_time: Duration) -> Duration {
    handshake_time.clamp(MIN_CANCEL_DELAY, MAX_CANCEL_DELAY)
}

/// A connection to one node, from before it is dialled until after it has ended.
#[derive(Default)]
pub(super) struct Connection {
    /// Reads and writes the connection's bytes.
    pub link: Link,
    state: Mutex<ConnectionState>,
    /// Memory of received bytes, in bytes, above which the connection is closed if all connections together
    /// exceed their limit.
    input_limit: usize,
}

#[derive(Default)]
struct ConnectionState {
    in_flight: HashMap<RequestId, Arc<InFlightAttempt>>,
    /// Ids of requests that were cancelled or answered on this connection, and when. They are not used here
    /// again, because a late or second answer may still arrive.
    retired_ids: HashMap<RequestId, Instant>,
    /// Since when no attempt is in flight; `None` while an attempt is in flight, or if none ever was.
    idle_since: Option<Instant>,
    /// When the last complete answer arrived. An incomplete answer says nothing about the node.
    last_answer: Option<Instant>,
    /// When bytes of an incomplete answer last arrived; `None` if no answer is incomplete.
    partial_answer_at: Option<Instant>,
    /// Set when an attempt timed out and no answer arrived while it was in flight. No new attempt is admitted
    /// until an answer arrives.
    suspect: bool,
    /// Number of attempts admitted so far.
    attempts_admitted: u64,
    /// Whether new attempts are refused.
    closed: bool,
    /// How long the connection took to be established; zero until then.
    handshake_time: Duration,
}

/// How strongly a connection is to be avoided; the best connection sorts first. Unresponsive connections
/// sort last, because an attempt sent there may never be answered; then the number of attempts in flight
/// decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ConnectionLoad {
    /// Attempts are in flight and no answer has arrived for [`UNRESPONSIVE_AFTER`].
    pub unresponsive: bool,
    /// Number of attempts in flight.
    pub in_flight: usize,
}

impl Connection {
    /// Creates a connection, before it is dialled, whose memory counts towards these accounts.
    pub fn with_memory(memory: &UpstreamMemory) -> Connection {
        let input = InputSettings { account: memory.input.clone(), ..InputSettings::default() };
        Connection {
            link: Link::with_accounts(input, memory.output.clone()),
            state: Mutex::default(),
            input_limit: memory.connection_input,
        }
    }

    /// Admits an attempt if the connection is usable, the id was not used on it before, and fewer than
    /// `limit` attempts are in flight. Returns whether the attempt was admitted.
    pub fn admit(&self, id: RequestId, attempt: &Arc<InFlightAttempt>, limit: usize) -> bool {
        let mut state = lock(&self.state);
        // A link that is closing, or on which a write failed, ends shortly: an attempt sent there would not
        // be answered.
        let admitted = !state.closed
            && !self.link.is_closing()
            && !state.suspect
            && state.in_flight.len() < limit
            && !state.retired_ids.contains_key(&id)
            && !state.in_flight.contains_key(&id);
        if admitted {
            state.in_flight.insert(id, attempt.clone());
            state.idle_since = None;
            state.attempts_admitted += 1;
        }
        admitted
    }

    /// Ends an attempt with this result, if it is in flight on this connection.
    pub fn complete(&self, id: RequestId, result: CompletedAttempt) {
        let attempt = {
            let mut state = lock(&self.state);
            let attempt = state.in_flight.remove(&id);
            if state.in_flight.is_empty() {
                state.idle_since = Some(Instant::now());
            }
            // A served request is finished, and nothing of a retracted one was written. Any other attempt
            // may be retried, and its second answer must not be taken for the retry's.
            if attempt.is_some() && !matches!(result.ending, Ending::Completed | Ending::Retracted) {
                state.retired_ids.insert(id, Instant::now());
            }
            attempt
        };
        if let Some(attempt) = attempt {
            attempt.complete(result);
        }
    }

    /// Cancels an attempt. If nothing of its request was written, the request is retracted; otherwise the
    /// node is notified. An attempt that has just ended in another way keeps that result. If the node was
    /// notified, returns how long the next attempt must wait.
    pub fn cancel(&self, id: RequestId, trace: &str, ending: Ending) -> Option<Duration> {
        let started = lock(&self.state).in_flight.get(&id).map(|a| a.started)?;
        if self.link.retract(id.0) {
            self.complete(id, CompletedAttempt::without_answer(Ending::ConnectionRefused));
            return None;
        }
        {
            let mut state = lock(&self.state);
            state.suspect |= ending == Ending::TimedOut && state.last_answer.is_none_or(|at| at < started);
        }
        // An attempt counts as in flight until the node is notified of its cancel. If the notification
        // can't be written now, the end of the connection notifies the node: the next attempt must not be
        // in flight at the same time.
        if self.link.send(resp::encode_cancel(trace), None).is_some_and(|buffered| buffered > 0) {
            let _ = self.link.shutdown();
            self.link.close(Reason::CancelBlocked);
        }
        self.complete(id, CompletedAttempt::without_answer(ending));
        let handshake_time = lock(&self.state).handshake_time;
        Some(cancel_delay(handshake_time))
    }

    /// Retracts an attempt if its first byte was not written; returns whether it was retracted.
    pub fn retract(&self, id: RequestId) -> bool {
        let retracted = self.link.retract(id.0);
        if retracted {
            self.complete(id, CompletedAttempt::without_answer(Ending::Retracted));
        }
        retracted
    }

    /// Withdraws all attempts in flight; those whose first byte was not written end.
    pub fn withdraw_all(&self) {
        lock(&self.state).in_flight.values().for_each(|attempt| attempt.withdraw());
    }

    /// Ends the attempts whose complete answers are in the buffer, and consumes these answers, until the
    /// quantum is used up.
    ///
    /// # Errors
    /// The connection is to be closed. [`Reason::Malformed`]: the bytes are not a valid answer.
    /// [`Reason::MemoryLimit`]: incomplete answers use too much memory.
    pub fn read_answers(&self, buffer: &mut Buffer, quantum: &mut Quantum) -> Result<(), Reason> {
        let mut any_complete = false;
        while !quantum.is_used_up() {
            let parsed = resp::parse_answer(buffer.data()).map_err(|_| Reason::Malformed)?;
            let Some((len, answer)) = parsed else { break };
            quantum.count_message();
            let id = RequestId(u64::from_str_radix(answer.id, 16).map_err(|_| Reason::Malformed)?);
            let result = CompletedAttempt::from_answer(&answer).ok_or(Reason::Malformed)?;
            self.check_current_copy(id, &result, &answer)?;
            self.complete(id, result);
            buffer.consume(len);
            any_complete = true;
        }
        let (mut state, now) = (lock(&self.state), Instant::now());
        if any_complete {
            state.last_answer = Some(now);
            state.suspect = false;
        }
        state.partial_answer_at = (!buffer.data().is_empty()).then_some(now);
        drop(state);
        buffer.store();
        // As long as the limit is exceeded, some connection uses more than its part of it.
        match buffer.account().is_exceeded() && buffer.memory() > self.input_limit {
            true => Err(Reason::MemoryLimit),
            false => Ok(()),
        }
    }

    /// Checks an answer which says that the client's copy is current: it must name the tag of that copy. A
    /// client that sent no tag has no copy, and an answer with another tag belongs to another client.
    ///
    /// # Errors
    /// [`Reason::Malformed`]: the answer names no tag or another one.
    fn check_current_copy(
        &self,
        id: RequestId,
        result: &CompletedAttempt,
        answer: &resp::Answer<'_>,
    ) -> Result<(), Reason> {
        if !result.reply.as_ref().is_some_and(|reply| reply.current) {
            return Ok(());
        }
        let state = lock(&self.state);
        let Some(attempt) = state.in_flight.get(&id) else { return Ok(()) };
        match attempt.client_tag.is_some() && attempt.client_tag.as_deref() == answer.field("tag") {
            true => Ok(()),
            false => Err(Reason::Malformed),
        }
    }

    /// How strongly the connection is to be avoided at `now`.
    pub fn load(&self, now: Instant) -> ConnectionLoad {
        let state = lock(&self.state);
        let oldest = state.in_flight.values().map(|a| a.started).min();
        let silent_since = oldest.map(|at| state.last_answer.map_or(at, |answer| answer.max(at)));
        ConnectionLoad {
            unresponsive: silent_since.is_some_and(|at| now.duration_since(at) > UNRESPONSIVE_AFTER),
            in_flight: state.in_flight.len(),
        }
    }

    /// Records that the connection was established, and how long that took.
    pub fn set_handshake_time(&self, handshake_time: Duration) {
        lock(&self.state).handshake_time = handshake_time;
    }

    /// Whether an attempt waits for the connection to be established.
    pub fn has_waiting_attempts(&self) -> bool {
        !lock(&self.state).in_flight.is_empty() && !self.link.is_closing()
    }

    /// Whether the connection refuses new attempts.
    pub fn is_closed(&self) -> bool {
        lock(&self.state).closed
    }

    /// Whether no attempt is in flight.
    pub fn is_unused(&self) -> bool {
        lock(&self.state).in_flight.is_empty()
    }

    /// Since when the connection has been idle; `None` if it is in use, was never used, or is already
    /// closed.
    pub fn closable_since(&self) -> Option<Instant> {
        let state = lock(&self.state);
        state.idle_since.filter(|_| !state.closed && state.in_flight.is_empty())
    }

    /// Number of attempts admitted so far.
    pub fn attempts_admitted(&self) -> u64 {
        lock(&self.state).attempts_admitted
    }

    /// Refuses new attempts and closes the link at once, for this reason.
    pub fn close(&self, reason: Reason) {
        lock(&self.state).closed = true;
        self.link.close(reason);
    }

    /// Called periodically. Ends attempts whose request has waited for `connect_timeout` without a byte
    /// written, drops retired ids after [`LATE_ANSWER_WINDOW`], and closes the connection if it is of no
    /// further use.
    pub fn sweep(&self, now: Instant, connect_timeout: Duration, idle_timeout: Duration) {
        let stuck = now.checked_sub(connect_timeout).map_or(vec![], |t| self.link.retract_queued_before(t));
        for tag in stuck {
            self.complete(RequestId(tag), CompletedAttempt::without_answer(Ending::ConnectionRefused));
        }
        lock(&self.state).retired_ids.retain(|_, at| now.duration_since(*at) < LATE_ANSWER_WINDOW);
        if let Some(reason) = self.close_reason(now, idle_timeout) {
            self.close(reason);
        }
    }

    /// Why the connection is of no further use; `None` if it is still useful.
    fn close_reason(&self, now: Instant, idle_timeout: Duration) -> Option<Reason> {
        let state = lock(&self.state);
        let exceeds = |since: Option<Instant>, limit| since.is_some_and(|at| now.duration_since(at) > limit);
        match () {
            () if exceeds(state.partial_answer_at, ANSWER_STALL_TIMEOUT) => Some(Reason::Stalled),
            () if state.suspect && state.in_flight.is_empty() => Some(Reason::ReceiveTimeout),
            () if exceeds(state.idle_since, idle_timeout) => Some(Reason::Idle),
            () => None,
        }
    }

    /// Ends all attempts in flight after the connection has ended. An attempt whose request was not written
    /// completely has not run, and ends as `unwritten_ending`. Yields.
    pub fn terminate(&self, unwritten_ending: Ending) {
        let unwritten = self.link.terminate();
        let delay = {
            let mut state = lock(&self.state);
            state.closed = true;
            let established_in_use = !state.in_flight.is_empty() && !state.handshake_time.is_zero();
            established_in_use.then(|| cancel_delay(state.handshake_time))
        };
        // The node cancels the attempts on this connection when it sees the connection's end, whether from
        // this close or from a reset on the network path. The next attempt, over another connection, must
        // not arrive before that.
        if let Some(delay) = delay {
            sleep::sleep(delay);
        }
        let in_flight = std::mem::take(&mut lock(&self.state).in_flight);
        for (id, attempt) in in_flight {
            let ending = if unwritten.contains(&id.0) { unwritten_ending } else { Ending::ConnectionLost };
            attempt.complete(CompletedAttempt::without_answer(ending));
        }
    }

    /// Sets the time of the last complete answer, for tests.
    #[cfg(test)]
    pub fn set_last_answer(&self, at: Instant) {
        lock(&self.state).last_answer = Some(at);
    }
}

#[cfg(test)]
mod tests;
