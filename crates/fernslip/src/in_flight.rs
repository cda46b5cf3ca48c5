//! Estimates of what all routers have in flight at a node, from one router's own count and the node's load
//! reports.

use crate::api::Settings;

impl Settings {
    /// Number of routers in this location, including this one.
    pub(crate) fn routers_in_location(&self) -> u32 {
        self.zone_routers[self.zone].max(1)
    }
}

/// Time constant of the moving average of a router's own count, in milliseconds. The average is taken as the
/// count of each of the other routers.
const LOCAL_MEAN_DECAY_MS: f64 = 3_000.0;

/// Number of this router's attempts at a node, or of its fills, in flight now and on recent average.
#[derive(Clone, Copy, Debug, Default)]
pub struct LocalCount {
    /// Number in flight now.
    pub current: f64,
    /// Moving average at time `updated_ms`.
    mean: f64,
    updated_ms: f64,
}

impl LocalCount {
    /// Recent average at time `now`.
    pub fn recent_mean(&self, now: f64) -> f64 {
        self.current + (self.mean - self.current) * (-(now - self.updated_ms) / LOCAL_MEAN_DECAY_MS).exp()
    }

    /// Adds `by` to the count at time `now`: 1 for a start, -1 for an end.
    pub fn adjust(&mut self, now: f64, by: f64) {
        *self = LocalCount {
            mean: self.recent_mean(now),
            current: (self.current + by).max(0.0),
            updated_ms: now,
        };
    }

    /// Estimated number in flight over all `routers`, with this router's recent average taken for each of the
    /// others. Its current count would jump between zero and one for routers with few requests, and the
    /// estimate with it.
    pub fn estimate_all_routers(&self, now: f64, routers: f64) -> f64 {
        self.current + (routers - 1.0) * self.recent_mean(now)
    }
}

/// Half-life of a load report's weight, in milliseconds. A report must expire because a silent node sends no
/// new one.
const REPORT_HALF_LIFE_MS: f64 = 300.0;

/// Load report of a node.
#[derive(Clone, Copy, Debug)]
struct LoadReport {
    /// Requests of all routers in flight at the node.
    in_flight: f64,
    received_ms: f64,
    /// This router's own count when the report arrived.
    local: f64,
}

/// Estimated number in flight at a node over all routers: from the node's load report while it is recent,
/// otherwise from a [`LocalCount`].
#[derive(Clone, Copy, Debug, Default)]
pub struct InFlight {
    /// This router's own count.
    pub local: LocalCount,
    report: Option<LoadReport>,
    /// Value of [`InFlight::integral_until`] at the last change of the count.
    integral: f64,
}

impl InFlight {
    /// Records a load report received at time `now`; a negative or non-finite value is ignored.
    pub fn record_report(&mut self, now: f64, reported_in_flight: f64) {
        if reported_in_flight.is_finite() && reported_in_flight >= 0.0 {
            self.report = Some(LoadReport {
                in_flight: reported_in_flight,
                received_ms: now,
                local: self.local.current,
            });
        }
    }

    /// Adds `by` to this router's count at time `now`: 1 for a start, -1 for an end.
    pub fn adjust(&mut self, now: f64, by: f64, routers: f64) {
        self.integral = self.integral_until(now, routers);
        self.local.adjust(now, by);
    }

    /// Integral over time of the number in flight for all `routers` until `now`, in request-milliseconds. The
    /// difference between two values, divided by the time between them, is the mean number in flight.
    pub fn integral_until(&self, now: f64, routers: f64) -> f64 {
        self.integral + self.estimate_all_routers(now, routers) * (now - self.local.updated_ms).max(0.0)
    }

    /// Estimated number in flight over all `routers`. This router's part is its exact count. A load report,
    /// which arrives late, is used for the other routers' part only, with more weight the more routers there
    /// are.
    pub fn estimate_all_routers(&self, now: f64, routers: f64) -> f64 {
        let estimated_others = (routers - 1.0) * self.local.recent_mean(now);
        let Some(report) = self.report else { return self.local.current + estimated_others };
        let reported_others = (report.in_flight - report.local).max(0.0);
        let weight =
            (-(now - report.received_ms) / REPORT_HALF_LIFE_MS).exp2() * (1.0 - 1.0 / routers.max(1.0));
        self.local.current + estimated_others + (reported_others - estimated_others) * weight
    }
}

#[cfg(test)]
mod tests;
