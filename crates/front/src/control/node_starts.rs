//! Start times of cache nodes: the Unix times of the discovery watch as module time, stable whatever becomes of the wall
//! clock.

use crate::sync::lock;
use crate::wall_clock::WallClock;
use fernslip::CacheId;
use std::collections::HashMap;
use std::sync::Mutex;

/// The watch reports what happened at most this long after it happened, in milliseconds; from the protocol.
const MAX_REPORT_DELAY_MS: f64 = 7_000.0;
/// Start times retained; more than the largest fleet has nodes at once.
const MAX_STARTS: usize = 8192;

/// A node's start time as the watch reports it and as module time.
#[derive(Clone, Copy, Debug)]
struct Start {
    reported_unix_ms: f64,
    module_ms: f64,
}

/// The module time of each node's start. The same reported number stays the same start, so that a step of the wall clock
/// does not look like a restart of every node.
#[derive(Default)]
pub struct NodeStarts(Mutex<HashMap<CacheId, Start>>);

impl NodeStarts {
    /// Module time in milliseconds of a node's start, reported as Unix milliseconds; 0 in either means 'long ago'.
    /// `not_before` as in [`WallClock::when`].
    pub fn module_time(&self, wall: &WallClock, id: &CacheId, unix_ms: f64, not_before: Option<f64>) -> f64 {
        if unix_ms <= 0.0 {
            return 0.0;
        }
        let mut starts = lock(&self.0);
        match starts.get(id) {
            Some(start) if start.reported_unix_ms == unix_ms => start.module_ms,
            _ => {
                let earliest = not_before.map_or(f64::MIN, |at| at - MAX_REPORT_DELAY_MS);
                let module_ms = wall.when(unix_ms, earliest).max(1.0);
                starts.insert(id.clone(), Start { reported_unix_ms: unix_ms, module_ms });
                module_ms
            }
        }
    }

    /// Drops the starts of unlisted nodes once more than `MAX_STARTS` are retained. Up to that number they stay: a node
    /// that returns with the same reported start has not restarted since.
    pub fn limit(&self, is_listed: impl Fn(&CacheId) -> bool) {
        let mut starts = lock(&self.0);
        if starts.len() > MAX_STARTS {
            starts.retain(|id, _| is_listed(id));
        }
    }
}

#[cfg(test)]
mod tests;
