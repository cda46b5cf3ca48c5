//! Limit on a location's fills in flight, learned from whether they arrive in time, by additive increase and
//! multiplicative decrease.

use crate::in_flight::LocalCount;

/// Minimum fill limit. Some fills must continue, or the end of congestion would not be noticed.
const MIN_FILL_LIMIT: f64 = 2.0;
/// Time without a decrease of the limit, in milliseconds, after which each fill that arrives in time raises
/// the limit by one.
const FAST_GROWTH_DELAY_MS: f64 = 1_000.0;
/// Fraction of the limit that must be in flight for the limit to count as used.
const USED_LIMIT_FRACTION: f64 = 0.8;
/// Factor applied to the limit after a late or failed fill.
const FILL_LIMIT_DECREASE: f64 = 0.93;
/// Fraction of late fills up to which the limit is not decreased, because single late fills are normal.
const MAX_LATE_FRACTION: f64 = 0.05;
/// Weight of one fill in the moving average of late fills.
const LATE_FRACTION_SMOOTHING: f64 = 0.03;

/// Fills in flight and the limit on them for the whole location. There is no limit until fills are late; it
/// then grows while fills arrive in time, and shrinks while they fail or are slow.
#[derive(Clone, Copy, Debug)]
pub struct FillLimiter {
    /// This router's fills in flight.
    pub in_flight: LocalCount,
    /// Maximum number of fills in flight for the whole location; infinite until a limit is known.
    pub limit: f64,
    /// Moving average of fills that were late or failed, from 0 to 1.
    late_fraction: f64,
    /// Time of the last decrease of the limit.
    decreased_ms: f64,
}

impl Default for FillLimiter {
    fn default() -> Self {
        FillLimiter {
            in_flight: LocalCount::default(),
            limit: f64::INFINITY,
            late_fraction: 0.0,
            decreased_ms: 0.0,
        }
    }
}

impl FillLimiter {
    /// Sets the initial limit, unless there is a limit already or `limit` is not above 0.
    pub fn set_initial(&mut self, limit: f64) {
        if self.limit == f64::INFINITY && limit > 0.0 {
            self.limit = limit;
        }
    }

    /// Whether the estimated fills in flight of all `routers` have reached the limit.
    pub fn is_full(&self, now: f64, routers: f64) -> bool {
        self.in_flight.estimate_all_routers(now, routers) >= self.limit
    }

    /// Records a fill that was late, or that failed because of its source or the links.
    pub fn record_late_fill(&mut self, now: f64, routers: f64) {
        self.late_fraction += (1.0 - self.late_fraction) * LATE_FRACTION_SMOOTHING;
        if self.late_fraction > MAX_LATE_FRACTION {
            // If there is no limit yet, it is derived from the estimated number of fills in flight, which is
            // evidently too high.
            let all = self.in_flight.estimate_all_routers(now, routers) / USED_LIMIT_FRACTION;
            let reached = if self.limit.is_finite() { self.limit } else { all };
            self.limit = (reached * FILL_LIMIT_DECREASE).max(MIN_FILL_LIMIT);
            self.decreased_ms = now;
        }
    }

    /// Records the end of a fill. `late_or_failed` and `in_time` are both false if the fill says nothing
    /// about the links. `routers` is the number of routers in the location.
    pub fn record_fill_end(&mut self, now: f64, routers: f64, late_or_failed: bool, in_time: bool) {
        // Only a limit that is in use may rise; periods of low load give no evidence for a higher one.
        let used = self.in_flight.estimate_all_routers(now, routers) >= USED_LIMIT_FRACTION * self.limit;
        if late_or_failed {
            self.record_late_fill(now, routers);
        } else {
            self.late_fraction -= self.late_fraction * LATE_FRACTION_SMOOTHING;
        }
        self.in_flight.adjust(now, -1.0);
        if in_time && used {
            let no_recent_decrease = now - self.decreased_ms > FAST_GROWTH_DELAY_MS;
            self.limit += if no_recent_decrease { 1.0 } else { 1.0 / self.limit.max(1.0) };
        }
    }
}
