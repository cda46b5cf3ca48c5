//! Invariants that must hold whenever the front sends, retries, answers, closes or starts. They are checked
//! at run time, where the step happens.
//!
//! Each kind of step passes one guard that enforces its rule: sending
//! [`SendGuard`](crate::upstream::send_guard::SendGuard), retrying `forward::forward_request`, answering
//! `ClientConnection::answer`, closing [`Link::run`](crate::link::Link::run), starting [`Startup`]. The
//! checks here are independent of the guards: they look at what was done. A violation is counted by name,
//! logged with the ids concerned and shown in the metrics as `relay.violations.NAME`; it never ends the
//! process.

use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};

/// A rule that is checked at run time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Invariant {
    /// An attempt is sent at most [`MAX_SEND_AFTER_DISCONNECT_MS`] after its client has disconnected or
    /// cancelled.
    SendForWaitingClient,
    /// Neither the node nor the fill source of an attempt began to drain longer ago than the grace period
    /// allows.
    SendToServingNode,
    /// The time passed to a node exceeds the time that the client has left by at most
    /// [`MAX_CLIENT_TIME_OVERRUN_MS`].
    SendWithinClientTime,
    /// A request has at most one attempt in flight.
    OneAttempt,
    /// A request that may have run is attempted again only if its class allows that.
    RepeatAllowed,
    /// A final answer is passed to the client's connection, unless the client has disconnected or violated
    /// the protocol.
    AnswerDelivered,
    /// A connection that the front itself ends has no open call and no byte that is still to be sent.
    CloseSettled,
    /// The front serves only after SIGTERM and SIGHUP are caught and its saved state is restored.
    StartPrepared,
    /// When the front ends, it has no connection, request or attempt left.
    EndSettled,
}

/// How long after its client has disconnected an attempt may still be sent, in milliseconds; required by
/// the operators.
pub const MAX_SEND_AFTER_DISCONNECT_MS: f64 = 100.0;
/// How far the time passed to a node may exceed the time that the client has left, in milliseconds;
/// required by the operators.
pub const MAX_CLIENT_TIME_OVERRUN_MS: f64 = 150.0;

/// All invariants, in the order of their counters.
const ALL_INVARIANTS: [Invariant; 9] = [
    Invariant::SendForWaitingClient,
    Invariant::SendToServingNode,
    Invariant::SendWithinClientTime,
    Invariant::OneAttempt,
    Invariant::RepeatAllowed,
    Invariant::AnswerDelivered,
    Invariant::CloseSettled,
    Invariant::StartPrepared,
    Invariant::EndSettled,
];

impl Invariant {
    /// The invariant's name in metrics and log lines.
    pub fn name(self) -> &'static str {
        match self {
            Invariant::SendForWaitingClient => "send_for_waiting_client",
            Invariant::SendToServingNode => "send_to_serving_node",
            Invariant::SendWithinClientTime => "send_within_client_time",
            Invariant::OneAttempt => "one_attempt",
            Invariant::RepeatAllowed => "repeat_allowed",
            Invariant::AnswerDelivered => "answer_delivered",
            Invariant::CloseSettled => "close_settled",
            Invariant::StartPrepared => "start_prepared",
            Invariant::EndSettled => "end_settled",
        }
    }
}

/// Numbers of violations, by invariant.
#[derive(Debug, Default)]
pub struct Invariants {
    violations: [AtomicU64; ALL_INVARIANTS.len()],
}

impl Invariants {
    /// Counts and logs a violation if `holds` is false; `detail` names the ids concerned and what was
    /// observed. Returns `holds`.
    pub fn check<D: fmt::Display>(&self, rule: Invariant, holds: bool, detail: impl FnOnce() -> D) -> bool {
        if !holds {
            self.violations[rule as usize].fetch_add(1, Ordering::Relaxed);
            tracing::error!(rule = %rule.name(), detail = %detail(), "violation");
        }
        holds
    }

    /// Number of violations of the invariant since the start.
    pub fn violations(&self, rule: Invariant) -> u64 {
        self.violations[rule as usize].load(Ordering::Relaxed)
    }

    /// The metrics, one line for each invariant: `relay.violations.NAME=COUNT`.
    pub fn metric_lines(&self) -> String {
        ALL_INVARIANTS
            .iter()
            .map(|r| format!("relay.violations.{}={}\n", r.name(), self.violations(*r)))
            .collect()
    }
}

/// The steps that must be done before a front may serve.
#[derive(Debug, Default)]
pub struct Startup {
    /// Whether SIGTERM and SIGHUP are caught.
    pub signals_caught: bool,
    /// Whether the nodes that operators excluded in an earlier process are excluded again; also true if
    /// there were none.
    pub exclusions_restored: bool,
}

impl Startup {
    /// Whether all steps are done, so that the front may serve; if not, counts a violation that shows which
    /// steps are done.
    pub fn may_serve(&self, invariants: &Invariants) -> bool {
        let prepared = self.signals_caught && self.exclusions_restored;
        invariants.check(Invariant::StartPrepared, prepared, || format!("{self:?}"))
    }
}

#[cfg(test)]
#[path = "invariants/tests.rs"]
mod tests;
