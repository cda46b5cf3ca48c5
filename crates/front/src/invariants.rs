//! What must hold whenever the front sends, repeats, answers, closes or starts, checked at run time where it happens.
//!
//! Each kind of step passes one guard that keeps its rule: sending [`SendGuard`](crate::upstream::send_guard::SendGuard), repeating
//! `forward::serve`, answering `ClientConnection::answer`, closing [`Link::run`](crate::link::Link::run), starting
//! [`Startup`]. The checks here are apart from the guards: they look at what was done. A violation is counted by name, logged
//! with the ids concerned and shown in the figures as `relay.violations.NAME`; it never ends the process.

use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};

/// A rule that is checked at run time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Invariant {
    /// An attempt begins at the latest [`SEND_AFTER_LEAVING_MS`] after its client has disconnected or cancelled.
    SendForWaitingClient,
    /// An attempt goes to a node, and is filled from one, that was not told to drain longer ago than the grace allows.
    SendToServingNode,
    /// The time passed to a node is at most what the client has left, and [`LIMIT_SLACK_MS`].
    SendWithinClientTime,
    /// A request has one attempt out at a time.
    OneAttempt,
    /// What may have run is attempted again only where its class allows that.
    RepeatAllowed,
    /// A final answer is handed to its connection, unless the client has left or broken the protocol.
    AnswerDelivered,
    /// A connection that the front itself ends has no call open and owes no byte.
    CloseSettled,
    /// The front serves only once its signals are caught and its kept state is restored.
    StartPrepared,
    /// At its end the front holds nothing any more.
    EndSettled,
}

/// How long after its client has left an attempt may begin, in milliseconds: the operators' term.
pub const SEND_AFTER_LEAVING_MS: f64 = 100.0;
/// By how much the time passed to a node may be above what the client has left, in milliseconds: the operators' term.
pub const LIMIT_SLACK_MS: f64 = 150.0;

/// All of them, in the order of their counters.
const ALL: [Invariant; 9] = [
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
    /// Its name in figures and log lines.
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

/// Counts of violations, by rule.
#[derive(Debug, Default)]
pub struct Invariants {
    violations: [AtomicU64; ALL.len()],
}

impl Invariants {
    /// Counts and logs a violation where `holds` is false; `detail` names the ids concerned and what was seen. Whether it
    /// holds.
    pub fn check<D: fmt::Display>(&self, rule: Invariant, holds: bool, detail: impl FnOnce() -> D) -> bool {
        if !holds {
            self.violations[rule as usize].fetch_add(1, Ordering::Relaxed);
            tracing::error!(rule = %rule.name(), detail = %detail(), "violation");
        }
        holds
    }

    /// How often that rule was violated since the start.
    pub fn violations(&self, rule: Invariant) -> u64 {
        self.violations[rule as usize].load(Ordering::Relaxed)
    }

    /// One line a rule for the operators' figures, `relay.violations.NAME=COUNT`.
    pub fn lines(&self) -> String {
        ALL.iter().map(|r| format!("relay.violations.{}={}\n", r.name(), self.violations(*r))).collect()
    }
}

/// The steps that come before a front may serve, each marked as it is done.
#[derive(Debug, Default)]
pub struct Startup {
    /// SIGTERM and SIGHUP are caught.
    pub signals_caught: bool,
    /// The nodes that an earlier process had out by hand are out again, or were found to be none.
    pub exclusions_restored: bool,
}

impl Startup {
    /// Whether the front may serve; what is missing is counted.
    pub fn may_serve(&self, invariants: &Invariants) -> bool {
        let prepared = self.signals_caught && self.exclusions_restored;
        invariants.check(Invariant::StartPrepared, prepared, || format!("{self:?}"))
    }
}

#[cfg(test)]
#[path = "invariants/tests.rs"]
mod tests;
