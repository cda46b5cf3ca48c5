//! Why things happened, counted by kind and reason: connections closed, attempts repeated or kept from beginning, requests
//! given up. One line each in the operators' figures, `relay.KIND.REASON=COUNT`.

use crate::sync::lock;
use std::collections::BTreeMap;
use std::sync::Mutex;

/// What is counted by reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// A client's connection ended.
    ClientClosed,
    /// A cache node's connection ended.
    UpstreamClosed,
    /// The discovery bus's connection ended.
    BusClosed,
    /// A further attempt was made after one that ended so.
    Retried,
    /// An attempt that was decided on did not begin.
    Denied,
}

impl Kind {
    /// Its name in the figures.
    pub fn name(self) -> &'static str {
        match self {
            Kind::ClientClosed => "client_closed",
            Kind::UpstreamClosed => "upstream_closed",
            Kind::BusClosed => "bus_closed",
            Kind::Retried => "retried",
            Kind::Denied => "denied",
        }
    }
}

/// The counts since the process started.
#[derive(Debug, Default)]
pub struct ReasonCounts(Mutex<BTreeMap<(Kind, &'static str), u64>>);

impl ReasonCounts {
    /// One more, for that reason.
    pub fn add(&self, kind: Kind, reason: &'static str) {
        *lock(&self.0).entry((kind, reason)).or_default() += 1;
    }

    /// One line for each kind and reason that occurred.
    pub fn lines(&self) -> String {
        let all = lock(&self.0);
        all.iter().map(|((kind, reason), n)| format!("relay.{}.{reason}={n}\n", kind.name())).collect()
    }
}

/// A reason in words as a figure's name.
pub fn figure(reason: &str) -> String {
    reason.chars().map(|c| if c.is_ascii_alphanumeric() { c.to_ascii_lowercase() } else { '_' }).collect()
}

#[cfg(test)]
#[path = "reason_counts/tests.rs"]
mod tests;
