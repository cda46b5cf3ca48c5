//! How many routers share what a machine that warms up can take, without a word between them.
//!
//! All routers know when it started and how it warms, so all reckon the same sum of work that it may have been sent by
//! a moment. The sum is cut into turns of one request each; turn number `j` is router `j % routers`'s. A router's part
//! may thus be far less than one request in the time over which the machine's limit is watched, and is not rounded up.

impl crate::api::Settings {
    /// How a parent, or another machine, warms up: its share at the start, the time in milliseconds, the multiple.
    pub(crate) fn cold(&self, parent: bool) -> [f64; 3] {
        if parent {
            [self.parent_slow_start_from, self.parent_slow_start_ms, self.parent_slow_start_multiple]
        } else {
            [self.slow_start_from, self.slow_start_ms, self.slow_start_multiple]
        }
    }
}

/// A machine that warms evenly.
#[derive(Clone, Copy, Debug)]
pub struct Warming {
    /// Share of its full capacity with which it starts.
    pub from: f64,
    /// It is warm after this time, in milliseconds.
    pub ms: f64,
    /// How many times what it can do now it stands.
    pub multiple: f64,
    /// Work that all routers may send it when warm, in milliseconds of sending a millisecond.
    pub rate: f64,
}

impl Warming {
    /// Share of its full capacity that it has at that age in milliseconds.
    pub fn warmth(&self, age_ms: f64) -> f64 {
        if age_ms >= self.ms {
            return 1.0;
        }
        (self.from + (1.0 - self.from) * (age_ms / self.ms).max(0.0)).clamp(0.001, 1.0)
    }

    /// Work that all routers may have sent it from its start up to that age, in milliseconds of sending.
    pub fn allowed(&self, age_ms: f64) -> f64 {
        let warming = age_ms.clamp(0.0, self.ms);
        let rise = if self.ms > 0.0 { warming * warming / (2.0 * self.ms) } else { 0.0 };
        self.rate * (self.from * warming + (1.0 - self.from) * rise + (age_ms - warming).max(0.0))
    }

    /// How many turns of `turn` milliseconds of sending came to router `place` of `routers` in the last `window_ms`.
    /// Over all places they are all turns of that time: `allowed` over it, and one more at the most.
    pub fn turns(&self, age_ms: f64, window_ms: f64, turn: f64, place: u32, routers: u32) -> u32 {
        let (n, place) = (i64::from(routers.max(1)), i64::from(place % routers.max(1)));
        // Its turns of the numbers 0 to `last`; the first turn of all comes with its start.
        let upto = |last: i64| if last < place { 0 } else { (last - place) / n + 1 };
        let number = |age: f64| if age < 0.0 { -1 } else { (self.allowed(age) / turn.max(1e-3)) as i64 };
        (upto(number(age_ms)) - upto(number(age_ms - window_ms))) as u32
    }
}

#[cfg(test)]
mod tests;
