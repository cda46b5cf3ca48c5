//! One connection to a cache node, parent or the origin, shared by several attempts.
//!
//! The connection's own coroutine dials it, reads its answers ([`Connection::read_answers`]) and ends it
//! ([`Connection::terminate`]). Coroutines of attempts and the sweep call everything else. The state's lock is never held
//! across a yield; only [`Connection::terminate`] yields.

use crate::buffer::Buffer;
use crate::link::Link;
use crate::log::Reason;
use crate::sleep;
use crate::sync::lock;
use crate::upstream::completed_attempt::CompletedAttempt;
use crate::upstream::in_flight_attempt::InFlightAttempt;
use crate::upstream::resp;
use fernslip::{Ending, RequestId};
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// For so long the answer to a cancelled attempt, or a second answer to one, may still come.
const LATE_ANSWER_WINDOW: Duration = Duration::from_secs(20);
/// A connection with attempts in flight from which nothing came for so long gets no new ones while there are others.
pub(super) const UNRESPONSIVE_AFTER: Duration = Duration::from_millis(150);
/// An answer that has begun and of which nothing more came for so long never ends: longer than a lost packet takes to be
/// sent again.
const ANSWER_STALL: Duration = Duration::from_millis(250);
/// Bounds of [`cancel_delay`].
pub(super) const MIN_CANCEL_DELAY: Duration = Duration::from_millis(1);
const MAX_CANCEL_DELAY: Duration = Duration::from_millis(4);

/// How long a cancel, or the end of a connection, may take to reach the node: as long as the connection took to come up,
/// there and back, within bounds. A cancel and the next attempt go over two connections, and the second may be there
/// first: for the node, or for the next one, two attempts of one request would be out.
fn cancel_delay(handshake: Duration) -> Duration {
    handshake.clamp(MIN_CANCEL_DELAY, MAX_CANCEL_DELAY)
}

/// A connection to one node, from before it is dialled until after it has ended.
#[derive(Default)]
pub(super) struct Connection {
    /// The connection's bytes, in and out.
    pub link: Link,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    in_flight: HashMap<RequestId, Arc<InFlightAttempt>>,
    /// Ids that were cancelled or answered here, and when: a late or second answer may still come, so they are not used
    /// here again.
    retired_ids: HashMap<RequestId, Instant>,
    /// Since when nothing is in flight; `None`: something is, or nothing ever was.
    idle_since: Option<Instant>,
    /// When a complete answer came last: bytes alone say nothing of the node.
    last_answer: Option<Instant>,
    /// An answer has come in part; when bytes came last.
    partial_answer_at: Option<Instant>,
    /// An attempt timed out and no answer came all the while: nothing new is admitted until one does.
    suspect: bool,
    /// Attempts admitted so far.
    requests: u64,
    /// Nothing is admitted any more.
    closed: bool,
    /// How long the connection took to come up; zero: it has not.
    handshake: Duration,
}

/// How much a connection is to be avoided, the least first: an unresponsive one last, as what is sent there may never be
/// answered; then by how many attempts share it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Load {
    /// Attempts are in flight and nothing has come for [`UNRESPONSIVE_AFTER`].
    pub unresponsive: bool,
    /// Attempts in flight.
    pub in_flight: usize,
}

impl Connection {
    /// Takes an attempt in, if the connection is usable, the id was not used on it, and fewer than `limit` are in flight.
    pub fn admit(&self, id: RequestId, attempt: &Arc<InFlightAttempt>, limit: usize) -> bool {
        let mut state = lock(&self.state);
        // What is to end, or failed under a write, ends in a moment: nothing sent there would be answered.
        let admitted = !state.closed
            && !self.link.is_closing()
            && !state.suspect
            && state.in_flight.len() < limit
            && !state.retired_ids.contains_key(&id)
            && !state.in_flight.contains_key(&id);
        if admitted {
            state.in_flight.insert(id, attempt.clone());
            state.idle_since = None;
            state.requests += 1;
        }
        admitted
    }

    /// Ends an attempt with that result, if it is in flight here.
    pub fn complete(&self, id: RequestId, result: CompletedAttempt) {
        let attempt = {
            let mut state = lock(&self.state);
            let attempt = state.in_flight.remove(&id);
            if state.in_flight.is_empty() {
                state.idle_since = Some(Instant::now());
            }
            // What was served is over, and of what was retracted nothing was written; anything else may be retried, and
            // must not meet a second answer.
            if attempt.is_some() && !matches!(result.ending, Ending::Completed | Ending::Retracted) {
                state.retired_ids.insert(id, Instant::now());
            }
            attempt
        };
        if let Some(attempt) = attempt {
            attempt.complete(result);
        }
    }

    /// Cancels an attempt: a request that has not begun is retracted, for any other the node is notified. An attempt that
    /// has just ended otherwise keeps that result. `Some`: the node was notified, and the next attempt must not begin
    /// before so long.
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
        // An attempt is out until the node is notified of its cancel. Where that can't be written now, ending the
        // connection does it: the next attempt must not be out beside this one.
        if self.link.send(resp::cancel(trace), None).is_some_and(|buffered| buffered > 0) {
            let _ = self.link.shutdown();
            self.link.close(Reason::Stuck);
        }
        self.complete(id, CompletedAttempt::without_answer(ending));
        let handshake = lock(&self.state).handshake;
        Some(cancel_delay(handshake))
    }

    /// Retracts an attempt whose first byte was not written; whether that was so.
    pub fn retract(&self, id: RequestId) -> bool {
        let retracted = self.link.retract(id.0);
        if retracted {
            self.complete(id, CompletedAttempt::without_answer(Ending::Retracted));
        }
        retracted
    }

    /// Withdraws all attempts in flight: those that have not begun end.
    pub fn withdraw_all(&self) {
        lock(&self.state).in_flight.values().for_each(|attempt| attempt.withdraw());
    }

    /// Ends the attempts that complete answers in the buffer belong to, and consumes these.
    ///
    /// # Errors
    /// [`Reason::Malformed`]: what came is no answer, and the connection is to end.
    pub fn read_answers(&self, buffer: &mut Buffer) -> Result<(), Reason> {
        let mut any_complete = false;
        while let Some((len, answer)) = resp::parse(buffer.data()).map_err(|_| Reason::Malformed)? {
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
        Ok(())
    }

    /// A client's copy counts as current only where the node names that very copy: a client that named none has none, and
    /// an answer with another tag is another client's.
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

    /// How much it is to be avoided now.
    pub fn load(&self, now: Instant) -> Load {
        let state = lock(&self.state);
        let oldest = state.in_flight.values().map(|a| a.started).min();
        let silent_since = oldest.map(|at| state.last_answer.map_or(at, |answer| answer.max(at)));
        Load {
            unresponsive: silent_since.is_some_and(|at| now.duration_since(at) > UNRESPONSIVE_AFTER),
            in_flight: state.in_flight.len(),
        }
    }

    /// The connection has come up, after so long.
    pub fn set_handshake(&self, handshake: Duration) {
        lock(&self.state).handshake = handshake;
    }

    /// Whether an attempt waits for the connection to come up.
    pub fn is_awaited(&self) -> bool {
        !lock(&self.state).in_flight.is_empty() && !self.link.is_closing()
    }

    /// Whether nothing is admitted any more.
    pub fn is_closed(&self) -> bool {
        lock(&self.state).closed
    }

    /// Whether nothing is in flight.
    pub fn is_unused(&self) -> bool {
        lock(&self.state).in_flight.is_empty()
    }

    /// Since when it is idle, if it is and may be closed for that.
    pub fn closable_since(&self) -> Option<Instant> {
        let state = lock(&self.state);
        state.idle_since.filter(|_| !state.closed && state.in_flight.is_empty())
    }

    /// Attempts admitted so far.
    pub fn requests(&self) -> u64 {
        lock(&self.state).requests
    }

    /// Admits nothing more and ends at once, for that reason.
    pub fn close(&self, reason: Reason) {
        lock(&self.state).closed = true;
        self.link.close(reason);
    }

    /// Periodically: ends attempts whose request has waited `connect_timeout` for its first byte, forgets retired ids, and
    /// closes the connection if it is of no further use.
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

    /// Why it is of no further use, if so.
    fn close_reason(&self, now: Instant, idle_timeout: Duration) -> Option<Reason> {
        let state = lock(&self.state);
        let exceeds = |since: Option<Instant>, limit| since.is_some_and(|at| now.duration_since(at) > limit);
        match () {
            () if exceeds(state.partial_answer_at, ANSWER_STALL) => Some(Reason::Stalled),
            () if state.suspect && state.in_flight.is_empty() => Some(Reason::Silent),
            () if exceeds(state.idle_since, idle_timeout) => Some(Reason::Idle),
            () => None,
        }
    }

    /// The connection has ended: each attempt in flight on it ends. One whose request was not written completely has not
    /// run, and ends as `unwritten_ending`. Yields.
    pub fn terminate(&self, unwritten_ending: Ending) {
        let unwritten = self.link.terminate();
        let delay = {
            let mut state = lock(&self.state);
            state.closed = true;
            let came_up_in_use = !state.in_flight.is_empty() && !state.handshake.is_zero();
            came_up_in_use.then(|| cancel_delay(state.handshake))
        };
        // The node cancels what is in flight here when it sees the end, be it of this close or of a reset on the way: the
        // next attempt, over another connection, must not be there before.
        if let Some(delay) = delay {
            sleep::sleep(delay);
        }
        let in_flight = std::mem::take(&mut lock(&self.state).in_flight);
        for (id, attempt) in in_flight {
            let ending = if unwritten.contains(&id.0) { unwritten_ending } else { Ending::ConnectionLost };
            attempt.complete(CompletedAttempt::without_answer(ending));
        }
    }

    /// Makes it look as if an answer had come at that time.
    #[cfg(test)]
    pub fn set_last_answer(&self, at: Instant) {
        lock(&self.state).last_answer = Some(at);
    }
}

#[cfg(test)]
mod tests;
