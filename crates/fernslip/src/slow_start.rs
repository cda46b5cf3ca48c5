//! How many routers share the capacity of a node in slow start, without a message between them.
//!
//! All routers know when it started and how it warms, so all compute the same sum of work that it may have been sent by
//! a moment. The sum is cut into tokens of one request each; token number `j` is router `j % routers`'s. A router's part
//! may thus be far less than one request in the time over which the node's limit is watched, and is not rounded up.

impl crate::api::Settings {
    /// How a parent, or another node, warms up; its rate is still 0.
    pub(crate) fn slow_start(&self, parent: bool) -> SlowStart {
        if parent {
            SlowStart {
                initial_fraction: self.parent_slow_start_from,
                duration_ms: self.parent_slow_start_ms,
                multiple: self.parent_slow_start_multiple,
                rate: 0.0,
            }
        } else {
            SlowStart {
                initial_fraction: self.slow_start_from,
                duration_ms: self.slow_start_ms,
                multiple: self.slow_start_multiple,
                rate: 0.0,
            }
        }
    }
}

/// A node whose capacity rises linearly from its start.
#[derive(Clone, Copy, Debug)]
pub struct SlowStart {
    /// Share of its full capacity with which it starts.
    pub initial_fraction: f64,
    /// It is warm after this time, in milliseconds.
    pub duration_ms: f64,
    /// How many times its present capacity it stands.
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

    /// How many tokens of `token_ms` of sending came to router `slot` of `routers` in the last `window_ms`. Over all
    /// slots they are all tokens of that time: `budget_until` over it, and one more at the most.
    pub fn tokens(&self, age_ms: f64, window_ms: f64, token_ms: f64, slot: u32, routers: u32) -> u32 {
        let (n, slot) = (i64::from(routers.max(1)), i64::from(slot % routers.max(1)));
        // Its tokens of the numbers 0 to `last`; the first token of all comes with the start.
        let upto = |last: i64| if last < slot { 0 } else { (last - slot) / n + 1 };
        let number =
            |age: f64| if age < 0.0 { -1 } else { (self.budget_until(age) / token_ms.max(1e-3)) as i64 };
        (upto(number(age_ms)) - upto(number(age_ms - window_ms))) as u32
    }
}

#[cfg(test)]
mod tests;
