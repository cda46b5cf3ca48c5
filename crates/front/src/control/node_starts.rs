//! Start times of cache nodes: converts the Unix times that the discovery watch reports to clock time,
//! unaffected by later steps of the wall clock.

use crate::sync::lock;
use crate::wall_clock::WallClock;
use fernslip::CacheId;
use std::collections::HashMap;
use std::sync::Mutex;

/// The maximum delay in milliseconds between an event and its report by the discovery watch; the protocol
/// specifies it.
const MAX_REPORT_DELAY_MS: f64 = 7_000.0;
/// The number of retained start times above which those of unlisted nodes are dropped; more than the largest
/// fleet has nodes at once.
const MAX_RETAINED_STARTS: usize = 8192;

/// A node's start time, as the discovery watch reported it and as clock time.
#[derive(Clone, Copy, Debug)]
struct NodeStart {
    reported_unix_ms: f64,
    clock_ms: f64,
}

/// The clock time of each node's start. A reported start time that has not changed keeps its clock time, so
/// that a step of the wall clock does not look like a restart of every node.
#[derive(Default)]
pub struct NodeStarts(Mutex<HashMap<CacheId, NodeStart>>);

impl NodeStarts {
    /// Converts a node's start time from Unix milliseconds to clock time in milliseconds; 0 means 'long ago'
    /// in both. `not_before` is the clock time of the last line received before the report (`None` if there
    /// was none). A start time more than `MAX_REPORT_DELAY_MS` before it is implausible and replaced by the
    /// current time.
    pub fn clock_time(&self, wall: &WallClock, id: &CacheId, unix_ms: f64, not_before: Option<f64>) -> f64 {
        if unix_ms <= 0.0 {
            return 0.0;
        }
        let mut starts = lock(&self.0);
        match starts.get(id) {
            Some(start) if start.reported_unix_ms == unix_ms => start.clock_ms,
            _ => {
                let earliest = not_before.map_or(f64::MIN, |at| at - MAX_REPORT_DELAY_MS);
                let clock_ms = wall.to_clock_time(unix_ms, earliest).max(1.0);
                starts.insert(id.clone(), NodeStart { reported_unix_ms: unix_ms, clock_ms });
                clock_ms
            }
        }
    }

    /// The clock time of the start that was reported for a node with this Unix time. `None` if none was.
    pub fn known_clock_time(&self, id: &CacheId, unix_ms: f64) -> Option<f64> {
        let starts = lock(&self.0);
        starts.get(id).filter(|start| start.reported_unix_ms == unix_ms).map(|start| start.clock_ms)
    }

    /// Adopts the start of a node that another process of this front has converted to clock time. A start that
    /// was reported to this process too keeps its clock time.
    pub fn adopt(&self, id: &CacheId, unix_ms: f64, clock_ms: f64) {
        let mut starts = lock(&self.0);
        if starts.get(id).is_none_or(|start| start.reported_unix_ms != unix_ms) {
            starts.insert(id.clone(), NodeStart { reported_unix_ms: unix_ms, clock_ms });
        }
    }

    /// Drops the start times of unlisted nodes if more than `MAX_RETAINED_STARTS` are retained. Up to that
    /// number they are kept, so that a node that returns with the same reported start time does not count as
    /// restarted.
    pub fn drop_unlisted_over_limit(&self, is_listed: impl Fn(&CacheId) -> bool) {
        let mut starts = lock(&self.0);
        if starts.len() > MAX_RETAINED_STARTS {
            starts.retain(|id, _| is_listed(id));
        }
    }
}

#[cfg(test)]
mod tests;
