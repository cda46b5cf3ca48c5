//! How many routers share what a machine that warms up can take, without a word between them.
//!
//! All routers know when it started and how it warms, so all reckon the same sum of work that it may have been sent by
//! a moment. The sum is cut into turns of one request each; turn number `j` is router `j % routers`'s. A router's part
//! may thus be far less than one request in the time over which the machine's limit is watched, and is not rounded up.

impl crate::api::Settings {
    /// How a parent, or another machine, warms up: its share at the start, the time in milliseconds, the multiple.
    pub(crate) fn slow_start(&self, parent: bool) -> [f64; 3] {
        if parent {
            [self.parent_slow_start_from, self.parent_slow_start_ms, self.parent_slow_start_multiple]
        } else {
            [self.slow_start_from, self.slow_start_ms, self.slow_start_multiple]
        }
    }
}

/// A machine that warms evenly.
#[derive(Clone, Copy, Debug)]
pub struct SlowStart {
    /// Share of its full capacity with which it starts.
    pub initial_fraction: f64,
    /// It is warm after this time, in milliseconds.
    pub duration_ms: f64,
    /// How many times what it can do now it stands.
    pub multiple: f64,
    /// Work that all routers may send it when warm, in milliseconds of sending a millisecond.
    pub rate: f64,
}

impl SlowStart {
    /// Share of its full capacity that it has at that age in milliseconds.
    pub fn capacity_fraction(&self, age_ms: f64) -> f64 {
        if age_ms >= self.duration_ms {
            return 1.0;
        }
        (self.initial_fraction + (1.0 - self.initial_fraction) * (age_ms / self.duration_ms).max(0.0))
            .clamp(0.001, 1.0)
    }

    /// Work that all routers may have sent it from its start up to that age, in milliseconds of sending.
    pub fn budget_until(&self, age_ms: f64) -> f64 {
        let elapsed = age_ms.clamp(0.0, self.duration_ms);
        let rise = if self.duration_ms > 0.0 { elapsed * elapsed / (2.0 * self.duration_ms) } else { 0.0 };
        self.rate
            * (self.initial_fraction * elapsed
                + (1.0 - self.initial_fraction) * rise
                + (age_ms - elapsed).max(0.0))
    }

    /// How many turns of `turn` milliseconds of sending came to router `place` of `routers` in the last `window_ms`.
    /// Over all places they are all turns of that time: `allowed` over it, and one more at the most.
    pub fn tokens(&self, age_ms: f64, window_ms: f64, token_ms: f64, slot: u32, routers: u32) -> u32 {
        let (n, slot) = (i64::from(routers.max(1)), i64::from(slot % routers.max(1)));
        // Its turns of the numbers 0 to `last`; the first turn of all comes with its start.
        let upto = |last: i64| if last < slot { 0 } else { (last - slot) / n + 1 };
        let number =
            |age: f64| if age < 0.0 { -1 } else { (self.budget_until(age) / token_ms.max(1e-3)) as i64 };
        (upto(number(age_ms)) - upto(number(age_ms - window_ms))) as u32
    }
}

#[cfg(test)]
mod tests;
