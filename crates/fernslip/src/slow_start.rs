//! Division of the capacity of a node in slow start among the routers, without messages between them.
//!
//! All routers know when the node started and how its capacity rises, so they all compute the same total of
//! work that it may have been sent up to a given time. The total is divided into tokens of one request each,
//! and token `j` belongs to router `j % routers`. A router's part may therefore be far less than one request
//! per window, without being rounded up.

impl crate::api::Settings {
    /// Slow-start settings of a parent, or of any other node if `parent` is false. The returned rate is 0,
    /// and the caller sets it.
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

/// Slow start of a node whose capacity rises linearly from its start.
#[derive(Clone, Copy, Debug)]
pub struct SlowStart {
    /// Fraction of its full capacity that the node has at its start.
    pub initial_fraction: f64,
    /// Time from the start to full capacity, in milliseconds.
    pub duration_ms: f64,
    /// Load that the node tolerates, as a multiple of its current capacity.
    pub multiple: f64,
    /// Work that all routers together may send the warm node, in milliseconds of transfer time per
    /// millisecond.
    pub rate: f64,
}

impl SlowStart {
    /// Fraction of its full capacity that the node has at the given age, from 0.001 to 1.
    pub fn capacity_fraction(&self, age_ms: f64) -> f64 {
        if age_ms >= self.duration_ms {
            return 1.0;
        }
        (self.initial_fraction + (1.0 - self.initial_fraction) * (age_ms / self.duration_ms).max(0.0))
            .clamp(0.001, 1.0)
    }

    /// Work that all routers together may have sent from the node's start up to the given age, in
    /// milliseconds of transfer time.
    pub fn budget_until(&self, age_ms: f64) -> f64 {
        let elapsed = age_ms.clamp(0.0, self.duration_ms);
        let rise = if self.duration_ms > 0.0 { elapsed * elapsed / (2.0 * self.duration_ms) } else { 0.0 };
        self.rate
            * (self.initial_fraction * elapsed
                + (1.0 - self.initial_fraction) * rise
                + (age_ms - elapsed).max(0.0))
    }

    /// Number of tokens of `token_ms` transfer time that router `slot` of `routers` received in the last
    /// `window_ms`. Over all slots the sum differs by at most one token from the growth of `budget_until` in
    /// that time.
    pub fn tokens_in_window(
        &self,
        age_ms: f64,
        window_ms: f64,
        token_ms: f64,
        slot: u32,
        routers: u32,
    ) -> u32 {
        let (routers, slot) = (i64::from(routers.max(1)), i64::from(slot % routers.max(1)));
        // Number of this router's tokens among those numbered 0 to `last`; token 0 is issued at the start.
        let own_tokens_through = |last: i64| if last < slot { 0 } else { (last - slot) / routers + 1 };
        let last_token =
            |age: f64| if age < 0.0 { -1 } else { (self.budget_until(age) / token_ms.max(1e-3)) as i64 };
        (own_tokens_through(last_token(age_ms)) - own_tokens_through(last_token(age_ms - window_ms))) as u32
    }
}

#[cfg(test)]
mod tests;
