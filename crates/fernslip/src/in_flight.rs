//! What one of many routers has in flight, as an estimate of what all of them have.

use crate::api::Settings;

impl Settings {
    /// How many routers the location has, this one included.
    pub(crate) fn near_routers(&self) -> u32 {
        self.zone_routers[self.zone].max(1)
    }
}

/// Time constant over which a router's own count stands for the others', in milliseconds.
const LOCAL_MEAN_MS: f64 = 3_000.0;

/// This router's attempts at a node, or its fills, in flight now and on average lately.
#[derive(Clone, Copy, Debug, Default)]
pub struct LocalCount {
    /// At this moment.
    pub current: f64,
    /// The moving average at the time `updated_ms`.
    mean: f64,
    updated_ms: f64,
}

impl LocalCount {
    /// The average lately, at the time `now`.
    pub fn recent_mean(&self, now: f64) -> f64 {
        self.current + (self.mean - self.current) * (-(now - self.updated_ms) / LOCAL_MEAN_MS).exp()
    }

    /// Begins (1) or ends (-1) one at the time `now`.
    pub fn step(&mut self, now: f64, by: f64) {
        *self = LocalCount {
            mean: self.recent_mean(now),
            current: (self.current + by).max(0.0),
            updated_ms: now,
        };
    }

    /// What all `routers` have in flight, taken to do on average as this one does. One router's present count
    /// alone, times the others, would be all or nothing where each has one or none.
    pub fn estimate_all(&self, now: f64, routers: f64) -> f64 {
        self.current + (routers - 1.0) * self.recent_mean(now)
    }
}

/// Half-life of a load report, in milliseconds: a node that falls silent reports nothing.
const REPORT_HALF_LIFE_MS: f64 = 300.0;

/// A load report of a node.
#[derive(Clone, Copy, Debug)]
struct LoadReport {
    /// Requests of all routers in flight there.
    in_flight: f64,
    received_ms: f64,
    /// This router's part of them, as it counted when the report came.
    local: f64,
}

/// What all routers have in flight at a node: as it reports itself, and as far as it does not, a [`LocalCount`]'s
/// estimate.
#[derive(Clone, Copy, Debug, Default)]
pub struct InFlight {
    /// This router's part.
    pub local: LocalCount,
    report: Option<LoadReport>,
    /// [`InFlight::total_over_time`] up to the last step.
    total: f64,
}

impl InFlight {
    /// Takes a load report in at the time `now`; one that is negative or not a number is ignored.
    pub fn record_report(&mut self, now: f64, reported_in_flight: f64) {
        if reported_in_flight.is_finite() && reported_in_flight >= 0.0 {
            self.report = Some(LoadReport {
                in_flight: reported_in_flight,
                received_ms: now,
                local: self.local.current,
            });
        }
    }

    /// Begins (1) or ends (-1) one of this router's at the time `now`.
    pub fn step(&mut self, now: f64, by: f64, routers: f64) {
        self.total = self.total_over_time(now, routers);
        self.local.step(now, by);
    }

    /// What all `routers` had in flight, summed over the time until `now`, in milliseconds: the difference of two such
    /// sums over the time between them is the average there.
    pub fn total_over_time(&self, now: f64, routers: f64) -> f64 {
        self.total + self.estimate_all(now, routers) * (now - self.local.updated_ms).max(0.0)
    }

    /// What all `routers` have in flight there. A router knows its own part exactly, be it the whole; a report, which is
    /// late, counts for what is the others', and the more the more of them there are.
    pub fn estimate_all(&self, now: f64, routers: f64) -> f64 {
        let guess = (routers - 1.0) * self.local.recent_mean(now);
        let Some(report) = self.report else { return self.local.current + guess };
        let others = (report.in_flight - report.local).max(0.0);
        let weight =
            (-(now - report.received_ms) / REPORT_HALF_LIFE_MS).exp2() * (1.0 - 1.0 / routers.max(1.0));
        self.local.current + guess + (others - guess) * weight
    }
}

#[cfg(test)]
mod tests;
