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

/// A report is half worn out after so long, in milliseconds: a box that falls silent reports nothing.
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

    /// What all `routers` have under way there. A router knows its own part exactly, be it the whole; a report, which is
    /// late, counts for what is the others', and the more the more of them there are.
    pub fn of_all(&self, now: f64, routers: f64) -> f64 {
        let guess = (routers - 1.0) * self.own.mean(now);
        let Some((holds, at, own)) = self.report else { return self.own.now + guess };
        let told = (holds - own).max(0.0);
        let counts = (-(now - at) / REPORT_MS).exp2() * (1.0 - 1.0 / routers.max(1.0));
        self.own.now + guess + (told - guess) * counts
    }
}

/// Fills under way, and how many the location may have.
#[derive(Clone, Copy, Debug, Default)]
pub struct Gate {
    /// This router's part.
    pub open: Share,
    /// Of the whole location.
    pub limit: f64,
    /// Share of fills that were late or failed lately.
    pub late: f64,
    /// When one was, last.
    pub crowded: f64,
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A late report in place of what a router alone at its boxes knows sent a sixth of a second's requests too many
    /// there, and too few in the next.
    #[test]
    fn a_router_alone_goes_by_its_own_count() {
        let mut c = Crowd::default();
        (0..5).for_each(|n| c.own.step(f64::from(n), 1.0));
        c.told(10.0, 40.0);
        assert_eq!(c.of_all(10.0, 1.0), 5.0);
    }

    #[test]
    fn a_report_counts_for_the_others_and_wears_out() {
        let mut c = Crowd::default();
        c.own.step(0.0, 1.0);
        let guess = c.of_all(50_000.0, 10.0);
        c.told(50_000.0, 31.0);
        let (told, later) = (c.of_all(50_000.0, 10.0), c.of_all(56_000.0, 10.0));
        assert!((guess - 10.0).abs() < 0.1 && (told - 28.9).abs() < 0.1, "{guess} {told}");
        assert!((later - guess).abs() < 0.1, "{later}");
        c.told(56_000.0, f64::NAN);
        c.told(56_000.0, -3.0);
        assert!((c.of_all(56_000.0, 10.0) - later).abs() < 0.1, "what is no count is passed over");
    }
}
