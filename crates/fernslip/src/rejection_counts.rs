//! Counts of rejected requests by reason, for the log and the figures.

use std::collections::BTreeMap;

/// Requests that got no further attempt since the last log line on them, by reason.
#[derive(Default)]
pub struct RejectionCounts {
    counts: BTreeMap<&'static str, u32>,
    /// The same since the start.
    totals: BTreeMap<&'static str, u64>,
    next_line_ms: f64,
}

impl RejectionCounts {
    /// Between two lines at the least, in milliseconds.
    const EVERY_MS: f64 = 5_000.0;

    /// One more, for that reason.
    pub fn count(&mut self, reason: &'static str) {
        *self.counts.entry(reason).or_default() += 1;
        *self.totals.entry(reason).or_default() += 1;
    }

    /// All since the start, by reason.
    pub fn totals(&self) -> &BTreeMap<&'static str, u64> {
        &self.totals
    }

    /// A line for the log when one is due and there is something to say.
    pub fn due_log_line(&mut self, now: f64) -> Option<String> {
        if now < self.next_line_ms || self.counts.is_empty() {
            return None;
        }
        self.next_line_ms = now + Self::EVERY_MS;
        Some(format!("gave up {:?}", std::mem::take(&mut self.counts)))
    }
}
