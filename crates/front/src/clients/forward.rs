//! Forwards a request: waits for a permit of its pool, makes the attempts that the decision crate orders,
//! and returns one final answer.

use super::answer_memory::{AnswerQueue, AnswerReservation, NoAnswerMemory};
use crate::call::CallFields;
use crate::invariants::Invariant;
use crate::reason_counts::EventKind;
use crate::shared::SharedState;
use crate::upstream::caller::Caller;
use crate::upstream::completed_attempt::Reply;
use crate::upstream::dispatch_queue::{DispatchQueue, Permit};
use crate::upstream::pending_attempt::AttemptTimes;
use crate::upstream::send_guard::SendGuard;
use crate::upstream::write_claims::Claim;
use fernslip::facade::{Attempt, AttemptResult, Decision};
use fernslip::{Effect, Ending, Request, RequestId};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Largest fraction of the client's timeout for which a request may wait for a permit of its pool and for the
/// memory of its answer.
const MAX_WAIT_FRACTION: f64 = 0.5;
/// Waits for memory that are shorter are not counted.
const MIN_COUNTED_WAIT: Duration = Duration::from_millis(1);

/// The final answer to a call.
#[derive(Debug)]
pub enum Answer {
    /// The request was served, with this reply.
    Served(Reply),
    /// The request was rejected; the value is the Retry-After in milliseconds, or 0 for none.
    Rejected(f64),
    /// The request failed.
    Failed,
    /// No answer is due: the client has disconnected or cancelled the call.
    None,
}

/// A final answer, and the memory that was reserved for it.
pub struct Forwarded {
    /// The final answer.
    pub answer: Answer,
    /// To be dropped when the answer is queued. `None` if nothing was reserved.
    pub memory: Option<AnswerReservation>,
}

impl From<Answer> for Forwarded {
    fn from(answer: Answer) -> Forwarded {
        Forwarded { answer, memory: None }
    }
}

/// Name in metrics of the way in which an attempt ended.
fn ending_metric_name(ending: Ending) -> &'static str {
    match ending {
        Ending::Completed => "completed",
        Ending::Errored => "errored",
        Ending::Saturated => "saturated",
        Ending::TimedOut => "overdue",
        Ending::ConnectionRefused => "refused_conn",
        Ending::ConnectionLost => "severed",
        Ending::Cancelled => "recalled",
        Ending::Superseded => "superseded",
        Ending::Retracted => "retracted",
        Ending::LookupMiss => "lookup_miss",
    }
}

/// Processes a request until its final answer, or until its client disconnects or cancels it. Yields while
/// it waits for a permit and for memory, and during each attempt. `connection` is the one that the answer will
/// be queued on.
pub fn forward_request(
    front: &SharedState,
    queue: &Arc<DispatchQueue>,
    request: Request,
    call: &Arc<CallFields>,
    caller: &Arc<Caller>,
    connection: &Arc<dyn AnswerQueue>,
) -> Forwarded {
    let SharedState { clock, queues, .. } = front;
    let retry_after_ms = queues.retry_after_ms();
    let started = Instant::now();
    let budget = Duration::from_secs_f64(request.budget_ms / 1000.0);
    let Some(_reservation) = queues.reserve(request.id) else {
        return Answer::Rejected(retry_after_ms).into();
    };
    // The wait is limited to a part of the client's timeout, so that a request admitted late can still be
    // served in time.
    let wait_until_ms = clock.now() + request.budget_ms * MAX_WAIT_FRACTION;
    let Some(permit) = queue.acquire(clock, wait_until_ms, caller) else {
        return Answer::Rejected(retry_after_ms).into();
    };
    let wait_until = started + budget.mul_f64(MAX_WAIT_FRACTION);
    let mut memory = match reserve_answer(front, connection, &request, caller, wait_until) {
        Ok(reservation) => reservation,
        Err(NoAnswerMemory::Disconnected) => return Answer::None.into(),
        Err(NoAnswerMemory::TimedOut) => return Answer::Rejected(retry_after_ms).into(),
    };
    // Nothing yields between this check and `pick`, so the decision crate is notified of clients that
    // disconnect later.
    if caller.is_disconnected() {
        return Answer::None.into();
    }
    let remaining = budget.saturating_sub(started.elapsed());
    let request = Request { budget_ms: remaining.as_secs_f64() * 1000.0, ..request };
    let size_kb = request.size_kb;
    let effect = queue.dispatcher.host().class_effect(request.class);
    let mut forwarding = Forwarding {
        front,
        queue,
        call,
        caller,
        permit,
        client_deadline: started + budget,
        retry_after_ms,
        effect,
        class: request.class,
        size_kb,
        may_have_run: false,
        claimed: None,
        last_ending: None,
        reply: None,
    };
    let first = queue.dispatcher.pick(clock.now(), request, caller.id());
    let answer = forwarding.run(first);
    forwarding.release_unused_claim();
    let answer = match &mut memory {
        Some(memory) => forwarding.fit_into_memory(answer, memory),
        None => answer,
    };
    Forwarded { answer, memory }
}

/// Reserves the memory of the answer to a read, and counts the reads that have to wait for it or are rejected.
/// `None` for a write, whose answer is short. Yields.
///
/// # Errors
/// No memory was reserved by `wait_until`, or the client disconnected.
fn reserve_answer(
    front: &SharedState,
    connection: &Arc<dyn AnswerQueue>,
    request: &Request,
    caller: &Caller,
    wait_until: Instant,
) -> Result<Option<AnswerReservation>, NoAnswerMemory> {
    if front.server.is_write(request.class) {
        return Ok(None);
    }
    let started = Instant::now();
    let answers = &front.server.memory().answers;
    let reserved = answers.acquire(connection, request.size_kb, caller, wait_until);
    match &reserved {
        Err(NoAnswerMemory::TimedOut) => front.reason_counts.add(EventKind::AnswerMemory, "rejected"),
        Ok(_) if started.elapsed() >= MIN_COUNTED_WAIT => {
            front.reason_counts.add(EventKind::AnswerMemory, "waited");
        }
        _ => {}
    }
    reserved.map(Some)
}

/// State of a request that holds a permit of its pool.
struct Forwarding<'a> {
    front: &'a SharedState,
    queue: &'a Arc<DispatchQueue>,
    call: &'a Arc<CallFields>,
    caller: &'a Arc<Caller>,
    permit: Permit,
    /// Time until which the client waits.
    client_deadline: Instant,
    /// Retry-After of rejections by the front itself, in milliseconds.
    retry_after_ms: f64,
    /// Whether a request of this class may be repeated after an attempt that may have run.
    effect: Effect,
    class: usize,
    size_kb: f64,
    /// Whether an attempt may have run at its cache node.
    may_have_run: bool,
    /// The id that the request has claimed, if it must run at most once and was about to begin.
    claimed: Option<RequestId>,
    /// How the last attempt ended; `None` before the first one ends.
    last_ending: Option<Ending>,
    reply: Option<Reply>,
}

impl Forwarding<'_> {
    /// Carries out decisions until one of them is final.
    fn run(&mut self, first: Decision) -> Answer {
        let mut decision = first;
        loop {
            match decision {
                Decision::Forward(attempt) => {
                    if let Err(answer) = self.check_retry(&attempt).and_then(|()| self.claim(&attempt)) {
                        return answer;
                    }
                    decision = self.execute(attempt);
                }
                Decision::Reject { retry_after_ms } => {
                    let call = self.call;
                    tracing::debug!(trace = %call.trace, class = %call.class, size = self.size_kb, "refused");
                    return Answer::Rejected(retry_after_ms);
                }
                Decision::Fail => return Answer::Failed,
                Decision::Finished => return self.reply.take().map_or(Answer::None, Answer::Served),
            }
        }
    }

    /// Checks whether the attempt may be made after the earlier ones. If not, the decision crate is notified
    /// that it is abandoned.
    ///
    /// # Errors
    /// The final answer, if the attempt may not be made.
    fn check_retry(&self, attempt: &Attempt) -> Result<(), Answer> {
        let Forwarding { front, may_have_run, effect, .. } = *self;
        let dispatcher = &self.queue.dispatcher;
        if attempt.number > 0 && !self.permit.try_retry() {
            // The limit on retries of the pool itself is reached.
            dispatcher.abandon(front.clock.now(), attempt);
            return Err(match may_have_run && effect != Effect::Idempotent {
                true => Answer::Failed,
                false => Answer::Rejected(self.retry_after_ms),
            });
        }
        // A second safeguard against running a request twice: the decision crate does not order such a
        // retry, but if it did, the request would fail here instead.
        let allowed = !may_have_run || effect != Effect::AtMostOnce;
        if let Some(ending) = self.last_ending {
            front.reason_counts.add(EventKind::Retried, ending_metric_name(ending));
        }
        let detail = || {
            format!(
                "trace={} n={}: retry of a request that may have run and must run at most once",
                self.call.trace, attempt.number
            )
        };
        if !front.invariants.check(Invariant::RepeatAllowed, allowed, detail) {
            dispatcher.abandon(front.clock.now(), attempt);
            return Err(Answer::Failed);
        }
        Ok(())
    }

    /// Claims the id of a request that must run at most once, before its first attempt. Yields.
    ///
    /// # Errors
    /// The final answer, if a request with this id may have begun before.
    fn claim(&mut self, attempt: &Attempt) -> Result<(), Answer> {
        if self.effect != Effect::AtMostOnce || self.claimed.is_some() {
            return Ok(());
        }
        let front = self.front;
        if front.write_claims.claim(attempt.id) == Claim::AlreadyBegun {
            front.reason_counts.add(EventKind::Denied, "already_begun");
            tracing::warn!(
                trace = %self.call.trace, class = %self.call.class,
                "a write is rejected, because one with the same id has begun before"
            );
            self.queue.dispatcher.abandon(front.clock.now(), attempt);
            return Err(Answer::Failed);
        }
        self.claimed = Some(attempt.id);
        Ok(())
    }

    /// Leaves the id of a request that did not run free. Yields.
    fn release_unused_claim(&mut self) {
        if let Some(id) = self.claimed.take().filter(|_| !self.may_have_run) {
            self.front.write_claims.release(id);
        }
    }

    /// Adapts the reserved memory to the answer, whose length is known now. An answer for which memory is short
    /// is replaced by the one that its client gets instead.
    fn fit_into_memory(&self, answer: Answer, memory: &mut AnswerReservation) -> Answer {
        let Answer::Served(reply) = &answer else { return answer };
        if !reply.current {
            self.front.server.memory().answers.sizes.record(self.size_kb, reply.body.len());
        }
        if memory.fits(reply.body.len()) {
            return answer;
        }
        self.front.reason_counts.add(EventKind::AnswerMemory, "longer_than_expected");
        match self.effect {
            Effect::Idempotent => Answer::Rejected(self.retry_after_ms),
            Effect::Deduplicated | Effect::AtMostOnce => Answer::Failed,
        }
    }

    /// Makes an attempt and reports its result; returns the next decision.
    fn execute(&mut self, attempt: Attempt) -> Decision {
        let Forwarding { front, queue, call, .. } = *self;
        let clock = &front.clock;
        self.permit.attempt_sent(&attempt);
        let started = Instant::now();
        let deadline =
            self.permit.attempt_deadline(&attempt, started, started + clock.time_until(attempt.until_ms));
        let begin_by =
            attempt.begin_by_ms.is_finite().then(|| started + clock.time_until(attempt.begin_by_ms));
        let times = AttemptTimes { deadline, begin_by };
        let guard = Arc::new(SendGuard::new(queue, self.caller, call, &attempt, times, self.client_deadline));
        let end = front.upstream.execute(&attempt, &call.trace, call.known_tag.clone(), times, guard.clone());
        if let Some(first_byte_at) = end.first_byte_at {
            guard.verify_sent_attempt(&front.invariants, clock, first_byte_at, front.drain_grace_ms);
        }
        self.permit.attempt_ended(&attempt, end.ending);
        self.may_have_run |= !end.ending.never_ran();
        self.last_ending = Some(end.ending);
        if end.fully_written {
            front.metrics.attempt_sent(self.class);
        }
        if end.ending == Ending::Completed {
            self.reply = end.reply;
        }
        let elapsed_ms = started.elapsed().as_secs_f64() * 1000.0;
        // Debug level, off by default: one line per attempt, so that attempts can be counted over all
        // fronts.
        tracing::debug!(
            trace = %call.trace, class = %call.class, object = %call.object, size = self.size_kb,
            n = attempt.number, node = %attempt.cache.0,
            via = %attempt.source.as_ref().map_or("-", |s| &s.0), ending = ?end.ending,
            detail = end.detail, ms = elapsed_ms as u64, holds = end.reported_in_flight, "attempt"
        );
        let result = AttemptResult {
            id: attempt.id,
            attempt: attempt.number,
            cache: attempt.cache,
            ending: end.ending,
            elapsed_ms,
            detail: end.detail,
            fill_wait_ms: end.fill_wait_ms,
            reported_in_flight: end.reported_in_flight,
        };
        queue.dispatcher.report(clock.now(), result)
    }
}
