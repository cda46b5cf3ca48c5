//! Counts of rejected requests by reason, for the log and the metrics.

use std::collections::BTreeMap;

/// Counts of requests that got no further attempt, by reason.
#[derive(Default)]
pub struct RejectionCounts {
    /// Counts by reason since the last log line.
    counts: BTreeMap<&'static str, u32>,
    /// Counts by reason since the start of the router.
    totals: BTreeMap<&'static str, u64>,
    next_line_ms: f64,
}

impl RejectionCounts {
    /// Minimum interval between two log lines, in milliseconds.
    const MIN_LOG_INTERVAL_MS: f64 = 5_000.0;

    /// Counts one rejected request under the given reason.
    pub fn record(&mut self, reason: &'static str) {
        *self.counts.entry(reason).or_default() += 1;
        *self.totals.entry(reason).or_default() += 1;
    }

    /// Counts of rejected requests by reason since the start of the router.
    pub fn totals(&self) -> &BTreeMap<&'static str, u64> {
        &self.totals
    }

    /// Returns a log line and resets its counts, if the minimum interval has passed and there are any counts.
    pub fn due_log_line(&mut self, now: f64) -> Option<String> {
        if now < self.next_line_ms || self.counts.is_empty() {
            return None;
        }
        self.next_line_ms = now + Self::MIN_LOG_INTERVAL_MS;
        Some(format!("gave up {:?}", std::mem::take(&mut self.counts)))
    }
}
