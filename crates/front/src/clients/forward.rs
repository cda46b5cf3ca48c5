//! A request's life: picked, tried as often as the module says, answered.

use crate::call::Ask;
use crate::invariants::Invariant;
use crate::reason_counts::Kind;
use crate::shared::Shared;
use crate::upstream::caller::Caller;
use crate::upstream::completed_attempt::Reply;
use crate::upstream::dispatch_queue::DispatchQueue;
use crate::upstream::pending_attempt::AttemptTimes;
use crate::upstream::send_guard::SendGuard;
use fernslip::facade::{AttemptResult, Decision};
use fernslip::{Effect, Ending, Request};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Of a client's patience, what its request may wait for a place in its pool.
const WAIT_PART: f64 = 0.5;

/// The final answer.
#[derive(Debug)]
pub enum Answer {
    /// Served.
    Served(Reply),
    /// Refused, with the time after which the client may come back; 0: no advice.
    Refused(f64),
    /// Failed.
    Failed,
    /// The client left: none.
    None,
}

/// How an attempt ended, as a figure's name.
fn ending_name(ending: Ending) -> &'static str {
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

/// Sees a request through to its final answer, or to the moment in which its caller leaves.
pub fn serve(
    front: &Shared,
    queue: &Arc<DispatchQueue>,
    request: Request,
    ask: &Arc<Ask>,
    caller: &Arc<Caller>,
) -> Answer {
    let Shared { clock, upstream, queues, .. } = front;
    let dispatcher = &queue.dispatcher;
    let turned_away = Answer::Refused(queues.retry_after_ms());
    let client_until = Instant::now() + Duration::from_secs_f64(request.budget_ms / 1000.0);
    let Some(_id) = queues.reserve(request.id) else { return turned_away };
    // Waiting takes a part of the client's patience only: what is let in late must still be served in time.
    let Some(permit) = queue.acquire(clock, clock.now() + request.budget_ms * WAIT_PART, caller) else {
        return turned_away;
    };
    // Nothing yields from here to `pick`: who leaves later is known to the module.
    if caller.is_disconnected() {
        return Answer::None;
    }
    let effect = dispatcher.host().effect(request.class);
    let mut may_have_run = false;
    let request_kb = request.size_kb;
    let ask_class = request.class;
    let mut decision = dispatcher.pick(clock.now(), request);
    let (mut reply, mut last) = (None, None);
    loop {
        match decision {
            Decision::Forward(a) => {
                if a.number > 0 && !permit.try_retry() {
                    // The pool's own limit: the module is told that this attempt is not made.
                    dispatcher.abandon(clock.now(), &a);
                    return match may_have_run && effect != Effect::Idempotent {
                        true => Answer::Failed,
                        false => turned_away,
                    };
                }
                // The guard for repeating: the module does not ask for this, and were it to, nothing runs twice.
                let allowed = !may_have_run || effect != Effect::AtMostOnce;
                if let Some(ending) = last {
                    front.reason_counts.add(Kind::Retried, ending_name(ending));
                }
                let seen = || format!("trace={} n={} after one that may have run", ask.trace, a.number);
                if !front.invariants.check(Invariant::RepeatAllowed, allowed, seen) {
                    dispatcher.abandon(clock.now(), &a);
                    return Answer::Failed;
                }
                permit.attempt_sent(&a);
                let sent = Instant::now();
                let deadline = permit.deadline(&a, sent, sent + clock.until(a.until_ms));
                let begin_by = a.begin_by_ms.is_finite().then(|| sent + clock.until(a.begin_by_ms));
                let times = AttemptTimes { deadline, begin_by };
                let guard = Arc::new(SendGuard::new(queue, caller, ask, &a, times, client_until));
                let end = upstream.execute(&a, &ask.trace, ask.known.clone(), times, guard.clone());
                if let Some(begun) = end.first_byte_at {
                    guard.verify(&front.invariants, clock, begun, front.drain_grace_ms);
                }
                permit.attempt_ended(&a, end.ending);
                may_have_run |= !end.ending.never_ran();
                last = Some(end.ending);
                if end.fully_written {
                    front.metrics.sent(ask_class);
                }
                if end.ending == Ending::Completed {
                    reply = end.reply;
                }
                let elapsed_ms = sent.elapsed().as_secs_f64() * 1000.0;
                // Off unless asked for: a line for each attempt, to be counted over all fronts.
                tracing::debug!(
                    trace = %ask.trace, class = %ask.class, object = %ask.item, size = request_kb, n = a.number, node = %a.cache.0,
                    via = %a.source.as_ref().map_or("-", |s| &s.0), ending = ?end.ending, detail = end.detail,
                    ms = elapsed_ms as u64, holds = end.reported_in_flight, "attempt"
                );
                let ended = AttemptResult {
                    id: a.id,
                    attempt: a.number,
                    cache: a.cache,
                    ending: end.ending,
                    elapsed_ms,
                    detail: end.detail,
                    fill_wait_ms: end.fill_wait_ms,
                    reported_in_flight: end.reported_in_flight,
                };
                decision = dispatcher.report(clock.now(), ended);
            }
            Decision::Reject { retry_after_ms } => {
                tracing::debug!(trace = %ask.trace, class = %ask.class, size = request_kb, "refused");
                return Answer::Refused(retry_after_ms);
            }
            Decision::Fail => return Answer::Failed,
            Decision::Finished => return reply.map_or(Answer::None, Answer::Served),
        }
    }
}
