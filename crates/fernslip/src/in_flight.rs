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
    area: f64,
}

impl Crowd {
    /// Takes a report in at the time `now`.
    pub fn told(&mut self, now: f64, reported_in_flight: f64) {
        if reported_in_flight.is_finite() && reported_in_flight >= 0.0 {
            self.report = Some((reported_in_flight, now, self.own.now));
        }
    }

    /// Begins (1) or ends (-1) one of this router's at the time `now`.
    pub fn step(&mut self, now: f64, by: f64, routers: f64) {
        self.area = self.seen(now, routers);
        self.own.step(now, by);
    }

    /// What all `routers` had under way, summed over the time until `now`, in milliseconds: the difference of two such
    /// sums over the time between them is the average there.
    pub fn seen(&self, now: f64, routers: f64) -> f64 {
        self.area + self.of_all(now, routers) * (now - self.own.at).max(0.0)
    }

    /// What all `routers` have under way there. A router knows its own part exactly, be it the whole; a report, which is
    /// late, counts for what is the others', and the more the more of them there are.
    pub fn of_all(&self, now: f64, routers: f64) -> f64 {
        let guess = (routers - 1.0) * self.own.mean(now);
        let Some((reported_in_flight, at, own)) = self.report else { return self.own.now + guess };
        let told = (reported_in_flight - own).max(0.0);
        let counts = (-(now - at) / REPORT_MS).exp2() * (1.0 - 1.0 / routers.max(1.0));
        self.own.now + guess + (told - guess) * counts
    }
}

/// At least so many fills: some must go on to tell when it is over.
const FILLS_LEAST: f64 = 2.0;
/// Without a late fill for so long, in milliseconds, the limit rises by one with each that comes in time.
const FILLS_CALM_MS: f64 = 1_000.0;
/// Part of the limit that counts as in use.
const FILLS_USED: f64 = 0.8;
/// What is left of the limit after a late or failed fill.
const FILLS_SHRINK: f64 = 0.93;
/// The limit stays while no more than this share of the fills is late: single ones are lost on any day.
const FILLS_LATE: f64 = 0.05;
/// Weight of one fill in that share.
const FILLS_LATE_STEP: f64 = 0.03;

/// Fills under way, and how many the location may have: there is no limit until fills are late, then it grows while
/// they come in time and shrinks while they fail or crawl.
#[derive(Clone, Copy, Debug)]
pub struct Gate {
    /// This router's part.
    pub open: Share,
    /// Of the whole location.
    pub limit: f64,
    /// Share of fills that were late or failed lately.
    late: f64,
    /// When one was, last.
    at: f64,
}

impl Default for Gate {
    fn default() -> Self {
        Gate { open: Share::default(), limit: f64::INFINITY, late: 0.0, at: 0.0 }
    }
}

impl Gate {
    /// Begins with a guess, if it is one and nothing is known yet.
    pub fn guess(&mut self, limit: f64) {
        if self.limit == f64::INFINITY && limit > 0.0 {
            self.limit = limit;
        }
    }

    /// Whether another fill may begin, of all that `routers` have under way.
    pub fn is_shut(&self, now: f64, routers: f64) -> bool {
        self.open.of_all(now, routers) >= self.limit
    }

    /// One is late, or failed where its source or the links are to blame.
    pub fn crowded(&mut self, now: f64, routers: f64) {
        self.late += (1.0 - self.late) * FILLS_LATE_STEP;
        if self.late > FILLS_LATE {
            // Where there was no limit, what is under way is too much.
            let all = self.open.of_all(now, routers) / FILLS_USED;
            let reached = if self.limit.is_finite() { self.limit } else { all };
            (self.limit, self.at) = ((reached * FILLS_SHRINK).max(FILLS_LEAST), now);
        }
    }

    /// One has ended, of all that `routers` have under way; `in_time` or not, or it tells nothing of the links.
    pub fn ended(&mut self, now: f64, routers: f64, crowded: bool, in_time: bool) {
        // Only a limit that is being used may rise: else quiet times would raise it for nothing.
        let used = self.open.of_all(now, routers) >= FILLS_USED * self.limit;
        if crowded {
            self.crowded(now, routers);
        } else {
            self.late -= self.late * FILLS_LATE_STEP;
        }
        self.open.step(now, -1.0);
        if in_time && used {
            let calm = now - self.at > FILLS_CALM_MS;
            self.limit += if calm { 1.0 } else { 1.0 / self.limit.max(1.0) };
        }
    }
}

/// What sources took and turned away is forgotten so fast, in milliseconds: some ten fills of one of many routers.
const TURNED_MS: f64 = 4_000.0;
/// Fills asked for, as a multiple of those taken, up to which none is held back.
const TURNED_SPARE: f64 = 1.5;

/// Fills that sources took and turned away lately: what would be turned away with the rest is not asked for, so that a
/// source that is past its limit has room for what matters more and for what it still takes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Turned {
    asked: f64,
    taken: f64,
    at: f64,
}

impl Turned {
    fn fade(&mut self, now: f64) {
        let left = (-(now - self.at).max(0.0) / TURNED_MS).exp();
        *self = Turned { asked: self.asked * left, taken: self.taken * left, at: now };
    }

    /// One has ended: its source took it, or turned it away.
    pub fn ended(&mut self, now: f64, taken: bool) {
        self.fade(now);
        self.asked += 1.0;
        self.taken += f64::from(u8::from(taken));
    }

    /// One was, or was not, held back here: it would have been asked for.
    pub fn held(&mut self, now: f64, held: bool) {
        if held {
            self.fade(now);
            self.asked += 1.0;
        }
    }

    /// The share of fills that is to be held back now.
    pub fn held_back(&self, now: f64) -> f64 {
        let mut t = *self;
        t.fade(now);
        ((t.asked - TURNED_SPARE * (t.taken + 1.0)) / (t.asked + 1.0)).max(0.0)
    }

    /// Whether this one is, `drawn` being evenly spread over all numbers.
    pub fn holds_back(&self, now: f64, drawn: u64) -> bool {
        ((drawn >> 11) as f64) < self.held_back(now) * (1u64 << 53) as f64
    }
}

/// What was given up since the last line on it, by cause.
#[derive(Default)]
pub struct GivenUp {
    counts: BTreeMap<&'static str, u32>,
    /// The same since the start.
    totals: BTreeMap<&'static str, u64>,
    next: f64,
}

impl GivenUp {
    /// Between two lines at the least, in milliseconds.
    const EVERY_MS: f64 = 5_000.0;

    /// One more, for that cause.
    pub fn count(&mut self, why: &'static str) {
        *self.counts.entry(why).or_default() += 1;
        *self.totals.entry(why).or_default() += 1;
    }

    /// All since the start, by cause.
    pub fn totals(&self) -> &BTreeMap<&'static str, u64> {
        &self.totals
    }

    /// A line for the log when one is due and there is something to say.
    pub fn line(&mut self, now: f64) -> Option<String> {
        if now < self.next || self.counts.is_empty() {
            return None;
        }
        self.next = now + Self::EVERY_MS;
        Some(format!("gave up {:?}", std::mem::take(&mut self.counts)))
    }
}

#[cfg(test)]
mod tests;
