//! What one of many routers has under way, as a guess at what all of them have.

/// Time over which a router's own part stands for the others', in milliseconds.
const SHARE_MS: f64 = 3_000.0;

/// This router's attempts at a machine, or its fills, under way now and on average lately.
#[derive(Clone, Copy, Default)]
pub struct Share {
    /// At this moment.
    pub now: f64,
    mean: f64,
    at: f64,
}

impl Share {
    /// The average lately, at the time `now`.
    pub fn mean(&self, now: f64) -> f64 {
        self.now + (self.mean - self.now) * (-(now - self.at) / SHARE_MS).exp()
    }

    /// Begins (1) or ends (-1) one at the time `now`.
    pub fn step(&mut self, now: f64, by: f64) {
        *self = Share { mean: self.mean(now), now: (self.now + by).max(0.0), at: now };
    }

    /// What all `routers` have under way, taken to do on average as this one does. One router's present count
    /// alone, times the others, would be all or nothing where each has one or none.
    pub fn of_all(&self, now: f64, routers: f64) -> f64 {
        self.now + (routers - 1.0) * self.mean(now)
    }
}
