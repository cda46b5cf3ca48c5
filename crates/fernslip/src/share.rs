//! What one of many routers has under way, as a guess at what all of them have.

/// Time over which a router's own part stands for the others', in milliseconds.
const SHARE_MS: f64 = 3_000.0;

/// This router's attempts at a machine, or its fills, under way now and on average lately.
#[derive(Clone, Copy, Debug, Default)]
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

/// A report is half worn out after so long, in milliseconds: about the time an answer takes.
const REPORT_MS: f64 = 300.0;

/// What all routers have under way at a machine: as it reports itself, and as far as it does not, a [`Share`]'s guess.
#[derive(Clone, Copy, Debug, Default)]
pub struct Crowd {
    /// This router's part.
    pub own: Share,
    /// What was reported, when, and this router's part at that time.
    report: Option<(f64, f64, f64)>,
}

impl Crowd {
    /// Takes a report in at the time `now`.
    pub fn told(&mut self, now: f64, holds: f64) {
        if holds.is_finite() && holds >= 0.0 {
            self.report = Some((holds, now, self.own.now));
        }
    }

    /// What all `routers` have under way there.
    pub fn of_all(&self, now: f64, routers: f64) -> f64 {
        let guess = self.own.of_all(now, routers);
        let Some((holds, at, own)) = self.report else { return guess };
        // This router knows what it has begun and ended since.
        let told = (holds + self.own.now - own).max(self.own.now);
        guess + (told - guess) * (-(now - at) / REPORT_MS).exp2()
    }
}
