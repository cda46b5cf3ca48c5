//! The limit on a location's fills in flight, learned from whether they come in time: additive increase,
//! multiplicative decrease.

use crate::in_flight::LocalCount;

/// The limit is never below this: some fills must go on to tell when the congestion is over.
const MIN_FILL_LIMIT: f64 = 2.0;
/// Without a late fill for so long, in milliseconds, the limit rises by one with each that comes in time.
const FILLS_CALM_MS: f64 = 1_000.0;
/// Part of the limit that counts as in use.
const FILL_LIMIT_USED: f64 = 0.8;
/// What remains of the limit after a late or failed fill.
const FILLS_SHRINK: f64 = 0.93;
/// The limit stays while no more than this share of the fills is late: single ones are lost on any day.
const FILLS_LATE: f64 = 0.05;
/// Weight of one fill in that share.
const FILLS_LATE_STEP: f64 = 0.03;

/// Fills in flight, and how many the location may have: there is no limit until fills are late, then it grows while
/// they come in time and shrinks while they fail or crawl.
#[derive(Clone, Copy, Debug)]
pub struct FillLimiter {
    /// This router's part.
    pub in_flight: LocalCount,
    /// Of the whole location; infinite: no limit was found yet.
    pub limit: f64,
    /// LocalCount of fills that were late or failed lately.
    late_fraction: f64,
    /// When the limit last shrank.
    shrunk_ms: f64,
}

impl Default for FillLimiter {
    fn default() -> Self {
        FillLimiter {
            in_flight: LocalCount::default(),
            limit: f64::INFINITY,
            late_fraction: 0.0,
            shrunk_ms: 0.0,
        }
    }
}

impl FillLimiter {
    /// Begins with a first estimate, if it is above 0 and nothing is known yet.
    pub fn set_initial(&mut self, limit: f64) {
        if self.limit == f64::INFINITY && limit > 0.0 {
            self.limit = limit;
        }
    }

    /// Whether no further fill may begin beside all that `routers` have in flight.
    pub fn is_full(&self, now: f64, routers: f64) -> bool {
        self.in_flight.estimate_all(now, routers) >= self.limit
    }

    /// One is late, or failed where its source or the links are to blame.
    pub fn record_late(&mut self, now: f64, routers: f64) {
        self.late_fraction += (1.0 - self.late_fraction) * FILLS_LATE_STEP;
        if self.late_fraction > FILLS_LATE {
            // Where there was no limit, what is in flight is too much.
            let all = self.in_flight.estimate_all(now, routers) / FILL_LIMIT_USED;
            let reached = if self.limit.is_finite() { self.limit } else { all };
            self.limit = (reached * FILLS_SHRINK).max(MIN_FILL_LIMIT);
            self.shrunk_ms = now;
        }
    }

    /// One has ended, of all that `routers` have in flight: late or failed (`crowded`), `in_time`, or neither where it
    /// tells nothing of the links.
    pub fn record_end(&mut self, now: f64, routers: f64, crowded: bool, in_time: bool) {
        // Only a limit that is being used may rise: else quiet times would raise it for nothing.
        let used = self.in_flight.estimate_all(now, routers) >= FILL_LIMIT_USED * self.limit;
        if crowded {
            self.record_late(now, routers);
        } else {
            self.late_fraction -= self.late_fraction * FILLS_LATE_STEP;
        }
        self.in_flight.step(now, -1.0);
        if in_time && used {
            let calm = now - self.shrunk_ms > FILLS_CALM_MS;
            self.limit += if calm { 1.0 } else { 1.0 / self.limit.max(1.0) };
        }
    }
}
