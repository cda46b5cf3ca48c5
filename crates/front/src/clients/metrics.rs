//! Counters of requests and attempts for operators, counted from the start of the process.

use std::fmt::Write;
use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};

/// How a request ended, as metrics count it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The request was served.
    Answered,
    /// The request was rejected with `Shed`, with or without a pause.
    Deferred,
    /// The request failed with `Fault`.
    Errored,
}

#[derive(Default)]
struct ClassCounters {
    answered: AtomicU64,
    deferred: AtomicU64,
    errored: AtomicU64,
    sends: AtomicU64,
}

/// Counters of requests, by class in the order of the settings.
pub struct Metrics {
    names: Vec<String>,
    classes: Vec<ClassCounters>,
    current: AtomicI64,
}

impl Metrics {
    /// Creates counters at 0 for the classes with these names.
    pub fn new(names: Vec<String>) -> Metrics {
        let classes = names.iter().map(|_| ClassCounters::default()).collect();
        Metrics { names, classes, current: AtomicI64::new(0) }
    }

    /// Counts a request that was accepted.
    pub fn request_accepted(&self) {
        self.current.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts the end of an accepted request, with its outcome, or with none if its client had left.
    pub fn request_ended(&self, class: Option<usize>, outcome: Option<Outcome>) {
        self.current.fetch_sub(1, Ordering::Relaxed);
        if let Some(o) = outcome {
            self.count_outcome(class, o);
        }
    }

    /// Counts only an outcome: for requests that were never accepted, because they were rejected on arrival
    /// or had an invalid field. An outcome without a known class is not counted.
    pub fn count_outcome(&self, class: Option<usize>, outcome: Outcome) {
        let Some(c) = class.and_then(|c| self.classes.get(c)) else { return };
        let counter = match outcome {
            Outcome::Answered => &c.answered,
            Outcome::Deferred => &c.deferred,
            Outcome::Errored => &c.errored,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts an attempt of this class that was completely written to a cache node.
    pub fn attempt_sent(&self, class: usize) {
        if let Some(c) = self.classes.get(class) {
            c.sends.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Number of requests accepted and not yet ended.
    pub fn current(&self) -> i64 {
        self.current.load(Ordering::Relaxed).max(0)
    }

    /// All metrics as `name=value` lines, with the number of listed cache nodes and how many of them are
    /// draining.
    pub fn metric_lines(&self, listed: usize, draining: usize) -> String {
        let mut out = String::new();
        for (name, c) in self.names.iter().zip(&self.classes) {
            for (what, n) in [
                ("answered", &c.answered),
                ("deferred", &c.deferred),
                ("errored", &c.errored),
                ("sends", &c.sends),
            ] {
                let _ = writeln!(out, "relay.transactions.{name}.{what}={}", n.load(Ordering::Relaxed));
            }
        }
        let _ = writeln!(out, "relay.current={}", self.current());
        let _ = writeln!(out, "relay.cluster_size={listed}");
        let _ = writeln!(out, "relay.cluster_unhealthy={draining}");
        out
    }
}

#[cfg(test)]
mod tests;
