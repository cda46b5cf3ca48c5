//! What one of many routers has under way, as a guess at what all of them have.

use crate::api::Settings;
use std::collections::BTreeMap;

impl Settings {
    /// How many routers the location has, this one included.
    pub(crate) fn near_routers(&self) -> u32 {
        self.zone_routers[self.zone].max(1)
    }
}

/// Time over which a router's own part stands for the others', in milliseconds.
const LOCAL_MEAN_MS: f64 = 3_000.0;

/// This router's attempts at a machine, or its fills, under way now and on average lately.
#[derive(Clone, Copy, Debug, Default)]
pub struct LocalCount {
    /// At this moment.
    pub current: f64,
    mean: f64,
    at: f64,
}

impl LocalCount {
    /// The average lately, at the time `now`.
    pub fn recent_mean(&self, now: f64) -> f64 {
        self.current + (self.mean - self.current) * (-(now - self.at) / LOCAL_MEAN_MS).exp()
    }

    /// Begins (1) or ends (-1) one at the time `now`.
    pub fn step(&mut self, now: f64, by: f64) {
        *self = LocalCount { mean: self.recent_mean(now), current: (self.current + by).max(0.0), at: now };
    }

    /// What all `routers` have under way, taken to do on average as this one does. One router's present count
    /// alone, times the others, would be all or nothing where each has one or none.
    pub fn estimate_all(&self, now: f64, routers: f64) -> f64 {
        self.current + (routers - 1.0) * self.recent_mean(now)
    }
}

/// A report is half worn out after so long, in milliseconds: a box that falls silent reports nothing.
const REPORT_MS: f64 = 300.0;

/// What all routers have under way at a machine: as it reports itself, and as far as it does not, a [`LocalCount`]'s guess.
#[derive(Clone, Copy, Debug, Default)]
pub struct InFlight {
    /// This router's part.
    pub local: LocalCount,
    /// What was reported, when, and this router's part at that time.
    report: Option<(f64, f64, f64)>,
    area: f64,
}

impl InFlight {
    /// Takes a report in at the time `now`.
    pub fn record_report(&mut self, now: f64, reported_in_flight: f64) {
        if reported_in_flight.is_finite() && reported_in_flight >= 0.0 {
            self.report = Some((reported_in_flight, now, self.local.current));
        }
    }

    /// Begins (1) or ends (-1) one of this router's at the time `now`.
    pub fn step(&mut self, now: f64, by: f64, routers: f64) {
        self.area = self.total_over_time(now, routers);
        self.local.step(now, by);
    }

    /// What all `routers` had under way, summed over the time until `now`, in milliseconds: the difference of two such
    /// sums over the time between them is the average there.
    pub fn total_over_time(&self, now: f64, routers: f64) -> f64 {
        self.area + self.estimate_all(now, routers) * (now - self.local.at).max(0.0)
    }

    /// What all `routers` have under way there. A router knows its own part exactly, be it the whole; a report, which is
    /// late, counts for what is the others', and the more the more of them there are.
    pub fn estimate_all(&self, now: f64, routers: f64) -> f64 {
        let guess = (routers - 1.0) * self.local.recent_mean(now);
        let Some((reported_in_flight, at, own)) = self.report else { return self.local.current + guess };
        let others = (reported_in_flight - own).max(0.0);
        let weight = (-(now - at) / REPORT_MS).exp2() * (1.0 - 1.0 / routers.max(1.0));
        self.local.current + guess + (others - guess) * weight
    }
}

/// At least so many fills: some must go on to tell when it is over.
const MIN_FILL_LIMIT: f64 = 2.0;
/// Without a late fill for so long, in milliseconds, the limit rises by one with each that comes in time.
const FILLS_CALM_MS: f64 = 1_000.0;
/// Part of the limit that counts as in use.
const FILL_LIMIT_USED: f64 = 0.8;
/// What is left of the limit after a late or failed fill.
const FILLS_SHRINK: f64 = 0.93;
/// The limit stays while no more than this share of the fills is late: single ones are lost on any day.
const FILLS_LATE: f64 = 0.05;
/// Weight of one fill in that share.
const FILLS_LATE_STEP: f64 = 0.03;

/// Fills under way, and how many the location may have: there is no limit until fills are late, then it grows while
/// they come in time and shrinks while they fail or crawl.
#[derive(Clone, Copy, Debug)]
pub struct FillLimiter {
    /// This router's part.
    pub in_flight: LocalCount,
    /// Of the whole location.
    pub limit: f64,
    /// LocalCount of fills that were late or failed lately.
    late: f64,
    /// When one was, last.
    at: f64,
}

impl Default for FillLimiter {
    fn default() -> Self {
        FillLimiter { in_flight: LocalCount::default(), limit: f64::INFINITY, late: 0.0, at: 0.0 }
    }
}

impl FillLimiter {
    /// Begins with a guess, if it is one and nothing is known yet.
    pub fn set_initial(&mut self, limit: f64) {
        if self.limit == f64::INFINITY && limit > 0.0 {
            self.limit = limit;
        }
    }

    /// Whether another fill may begin, of all that `routers` have under way.
    pub fn is_full(&self, now: f64, routers: f64) -> bool {
        self.in_flight.estimate_all(now, routers) >= self.limit
    }

    /// One is late, or failed where its source or the links are to blame.
    pub fn record_late(&mut self, now: f64, routers: f64) {
        self.late += (1.0 - self.late) * FILLS_LATE_STEP;
        if self.late > FILLS_LATE {
            // Where there was no limit, what is under way is too much.
            let all = self.in_flight.estimate_all(now, routers) / FILL_LIMIT_USED;
            let reached = if self.limit.is_finite() { self.limit } else { all };
            (self.limit, self.at) = ((reached * FILLS_SHRINK).max(MIN_FILL_LIMIT), now);
        }
    }

    /// One has ended, of all that `routers` have under way; `in_time` or not, or it tells nothing of the links.
    pub fn record_end(&mut self, now: f64, routers: f64, crowded: bool, in_time: bool) {
        // Only a limit that is being used may rise: else quiet times would raise it for nothing.
        let used = self.in_flight.estimate_all(now, routers) >= FILL_LIMIT_USED * self.limit;
        if crowded {
            self.record_late(now, routers);
        } else {
            self.late -= self.late * FILLS_LATE_STEP;
        }
        self.in_flight.step(now, -1.0);
        if in_time && used {
            let calm = now - self.at > FILLS_CALM_MS;
            self.limit += if calm { 1.0 } else { 1.0 / self.limit.max(1.0) };
        }
    }
}

/// What sources took and turned away is forgotten so fast, in milliseconds: some ten fills of one of many routers.
const THROTTLE_FADE_MS: f64 = 4_000.0;
/// Fills asked for, as a multiple of those taken, up to which none is held back.
const THROTTLE_MULTIPLIER: f64 = 1.5;

/// Fills that sources took and turned away lately: what would be turned away with the rest is not asked for, so that a
/// source that is past its limit has room for what matters more and for what it still takes.
#[derive(Clone, Copy, Debug, Default)]
pub struct AdaptiveThrottle {
    requested: f64,
    accepted: f64,
    at: f64,
}

impl AdaptiveThrottle {
    fn fade(&mut self, now: f64) {
        let remaining = (-(now - self.at).max(0.0) / THROTTLE_FADE_MS).exp();
        *self = AdaptiveThrottle {
            requested: self.requested * remaining,
            accepted: self.accepted * remaining,
            at: now,
        };
    }

    /// One has ended: its source took it, or turned it away.
    pub fn record_end(&mut self, now: f64, accepted: bool) {
        self.fade(now);
        self.requested += 1.0;
        self.accepted += f64::from(u8::from(accepted));
    }

    /// One was, or was not, held back here: it would have been asked for.
    pub fn record_throttled(&mut self, now: f64, throttled: bool) {
        if throttled {
            self.fade(now);
            self.requested += 1.0;
        }
    }

    /// The share of fills that is to be held back now.
    pub fn throttled_fraction(&self, now: f64) -> f64 {
        let mut t = *self;
        t.fade(now);
        ((t.requested - THROTTLE_MULTIPLIER * (t.accepted + 1.0)) / (t.requested + 1.0)).max(0.0)
    }

    /// Whether this one is, `drawn` being evenly spread over all numbers.
    pub fn should_throttle(&self, now: f64, drawn: u64) -> bool {
        ((drawn >> 11) as f64) < self.throttled_fraction(now) * (1u64 << 53) as f64
    }
}

/// What was given up since the last line on it, by cause.
#[derive(Default)]
pub struct RejectionCounts {
    counts: BTreeMap<&'static str, u32>,
    /// The same since the start.
    totals: BTreeMap<&'static str, u64>,
    next: f64,
}

impl RejectionCounts {
    /// Between two lines at the least, in milliseconds.
    const EVERY_MS: f64 = 5_000.0;

    /// One more, for that cause.
    pub fn count(&mut self, reason: &'static str) {
        *self.counts.entry(reason).or_default() += 1;
        *self.totals.entry(reason).or_default() += 1;
    }

    /// All since the start, by cause.
    pub fn totals(&self) -> &BTreeMap<&'static str, u64> {
        &self.totals
    }

    /// A line for the log when one is due and there is something to say.
    pub fn due_log_line(&mut self, now: f64) -> Option<String> {
        if now < self.next || self.counts.is_empty() {
            return None;
        }
        self.next = now + Self::EVERY_MS;
        Some(format!("gave up {:?}", std::mem::take(&mut self.counts)))
    }
}

#[cfg(test)]
mod tests;
