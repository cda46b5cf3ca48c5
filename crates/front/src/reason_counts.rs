//! Counters by kind of event and reason: connections closed, attempts retried, and attempts that were not
//! begun. Metrics list each as `relay.KIND.REASON=COUNT`.

use crate::sync::lock;
use std::collections::BTreeMap;
use std::sync::Mutex;

/// The kind of event that is counted by reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EventKind {
    /// A connection of a client ended.
    ClientClosed,
    /// A connection to a cache node ended.
    UpstreamClosed,
    /// A connection to the discovery bus ended.
    BusClosed,
    /// A request was attempted again; the reason is how the attempt before it ended.
    Retried,
    /// An attempt that the decision crate ordered was not begun.
    Denied,
    /// A read met the limit on the memory of answers.
    AnswerMemory,
}

impl EventKind {
    /// The name of the kind in metrics.
    pub fn name(self) -> &'static str {
        match self {
            EventKind::ClientClosed => "client_closed",
            EventKind::UpstreamClosed => "upstream_closed",
            EventKind::BusClosed => "bus_closed",
            EventKind::Retried => "retried",
            EventKind::Denied => "denied",
            EventKind::AnswerMemory => "answer_memory",
        }
    }
}

/// Number of events by kind and reason since the start of the process.
#[derive(Debug, Default)]
pub struct ReasonCounts(Mutex<BTreeMap<(EventKind, &'static str), u64>>);

impl ReasonCounts {
    /// Counts one event with this reason.
    pub fn add(&self, kind: EventKind, reason: &'static str) {
        *lock(&self.0).entry((kind, reason)).or_default() += 1;
    }

    /// One metrics line for each kind and reason that occurred.
    pub fn metric_lines(&self) -> String {
        let all = lock(&self.0);
        all.iter().map(|((kind, reason), n)| format!("relay.{}.{reason}={n}\n", kind.name())).collect()
    }
}

/// Converts a reason in words to a name in metrics: lower case, with `_` in place of other characters.
pub fn metric_name(reason: &str) -> String {
    reason.chars().map(|c| if c.is_ascii_alphanumeric() { c.to_ascii_lowercase() } else { '_' }).collect()
}

#[cfg(test)]
#[path = "reason_counts/tests.rs"]
mod tests;
