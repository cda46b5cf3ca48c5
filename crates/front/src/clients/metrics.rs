//! What the front counts for its operators: counted where each thing happens, from process start.

use std::fmt::Write;
use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};

/// How a request ended, as the figures count it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Answered,
    /// Refused: `Shed`, with or without a pause.
    Deferred,
    /// Failed: `Fault`.
    Errored,
}

#[derive(Default)]
struct Class {
    answered: AtomicU64,
    deferred: AtomicU64,
    errored: AtomicU64,
    sends: AtomicU64,
}

/// The counts, by class in the order of the settings.
pub struct Metrics {
    names: Vec<String>,
    classes: Vec<Class>,
    current: AtomicI64,
}

impl Metrics {
    /// All at 0, for these classes.
    pub fn new(names: Vec<String>) -> Metrics {
        let classes = names.iter().map(|_| Class::default()).collect();
        Metrics { names, classes, current: AtomicI64::new(0) }
    }

    /// A request was taken.
    pub fn taken(&self) {
        self.current.fetch_add(1, Ordering::Relaxed);
    }

    /// A request that was taken ended, with an answer of that class, or with none where its client had left.
    pub fn ended(&self, class: Option<usize>, outcome: Option<Outcome>) {
        self.current.fetch_sub(1, Ordering::Relaxed);
        if let Some(o) = outcome {
            self.count(class, o);
        }
    }

    /// A request was answered that was never taken: refused at the door or with a field that can't be read.
    pub fn count(&self, class: Option<usize>, outcome: Outcome) {
        let Some(c) = class.and_then(|c| self.classes.get(c)) else { return };
        let counter = match outcome {
            Outcome::Answered => &c.answered,
            Outcome::Deferred => &c.deferred,
            Outcome::Errored => &c.errored,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// An attempt of that class was written whole to a cache node.
    pub fn sent(&self, class: usize) {
        if let Some(c) = self.classes.get(class) {
            c.sends.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Requests taken and not yet ended.
    pub fn current(&self) -> i64 {
        self.current.load(Ordering::Relaxed).max(0)
    }

    /// The figures as `name=value` lines, with the cache nodes listed and of them those avoided.
    pub fn lines(&self, listed: usize, avoided: usize) -> String {
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
        let _ = writeln!(out, "relay.cluster_unhealthy={avoided}");
        out
    }
}

#[cfg(test)]
mod tests;
