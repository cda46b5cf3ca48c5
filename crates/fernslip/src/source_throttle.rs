//! Client-side throttling of fills that sources would reject, after "Handling Overload" in Google's Site
//! Reliability Engineering book: fills beyond a multiple of the accepted ones are rejected locally.

/// Time constant with which accepted and rejected fills are forgotten, in milliseconds: about ten fills of
/// one of many routers.
const THROTTLE_DECAY_MS: f64 = 4_000.0;
/// No fill is throttled while the requested fills are at most this multiple of the accepted ones.
const THROTTLE_MULTIPLIER: f64 = 1.5;

/// Recent fills that sources accepted or rejected. Fills that would probably be rejected are not requested,
/// so that an overloaded source keeps its capacity for more important work and for the fills that it still
/// accepts.
#[derive(Clone, Copy, Debug, Default)]
pub struct AdaptiveThrottle {
    requested: f64,
    accepted: f64,
    updated_ms: f64,
}

impl AdaptiveThrottle {
    fn decay(&mut self, now: f64) {
        let remaining = (-(now - self.updated_ms).max(0.0) / THROTTLE_DECAY_MS).exp();
        *self = AdaptiveThrottle {
            requested: self.requested * remaining,
            accepted: self.accepted * remaining,
            updated_ms: now,
        };
    }

    /// Records that a source accepted or rejected a fill.
    pub fn record_fill(&mut self, now: f64, accepted: bool) {
        self.decay(now);
        self.requested += 1.0;
        self.accepted += f64::from(u8::from(accepted));
    }

    /// Records whether a fill was throttled locally; a throttled one counts as requested.
    pub fn record_throttled(&mut self, now: f64, throttled: bool) {
        if throttled {
            self.decay(now);
            self.requested += 1.0;
        }
    }

    /// Fraction of fills to be throttled at time `now`.
    pub fn throttled_fraction(&self, now: f64) -> f64 {
        let mut t = *self;
        t.decay(now);
        ((t.requested - THROTTLE_MULTIPLIER * (t.accepted + 1.0)) / (t.requested + 1.0)).max(0.0)
    }

    /// Whether the next fill is to be throttled, given a `draw` that is uniform over all numbers.
    pub fn should_throttle(&self, now: f64, draw: u64) -> bool {
        ((draw >> 11) as f64) < self.throttled_fraction(now) * (1u64 << 53) as f64
    }
}

#[cfg(test)]
mod tests;
