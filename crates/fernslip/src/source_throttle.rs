//! Client-side throttling of fills that sources would reject, after "Handling Overload" in Google's Site Reliability
//! Engineering book: beyond a multiple of what is accepted, requests are rejected locally.

/// Time constant with which accepted and rejected fills are forgotten, in milliseconds: some ten fills of one of many
/// routers.
const THROTTLE_FADE_MS: f64 = 4_000.0;
/// Fills requested, as a multiple of those accepted, up to which none is throttled.
const THROTTLE_MULTIPLIER: f64 = 1.5;

/// Fills that sources accepted and rejected lately: what would be rejected with the others is not requested, so that a
/// source that is past its limit has capacity for what matters more and for what it still accepts.
#[derive(Clone, Copy, Debug, Default)]
pub struct AdaptiveThrottle {
    requested: f64,
    accepted: f64,
    updated_ms: f64,
}

impl AdaptiveThrottle {
    fn fade(&mut self, now: f64) {
        let remaining = (-(now - self.updated_ms).max(0.0) / THROTTLE_FADE_MS).exp();
        *self = AdaptiveThrottle {
            requested: self.requested * remaining,
            accepted: self.accepted * remaining,
            updated_ms: now,
        };
    }

    /// One has ended: its source accepted or rejected it.
    pub fn record_end(&mut self, now: f64, accepted: bool) {
        self.fade(now);
        self.requested += 1.0;
        self.accepted += f64::from(u8::from(accepted));
    }

    /// One was, or was not, throttled here: it would have been requested.
    pub fn record_throttled(&mut self, now: f64, throttled: bool) {
        if throttled {
            self.fade(now);
            self.requested += 1.0;
        }
    }

    /// The share of fills that is to be throttled now.
    pub fn throttled_fraction(&self, now: f64) -> f64 {
        let mut t = *self;
        t.fade(now);
        ((t.requested - THROTTLE_MULTIPLIER * (t.accepted + 1.0)) / (t.requested + 1.0)).max(0.0)
    }

    /// Whether this one is to be throttled, `draw` being evenly spread over all numbers.
    pub fn should_throttle(&self, now: f64, draw: u64) -> bool {
        ((draw >> 11) as f64) < self.throttled_fraction(now) * (1u64 << 53) as f64
    }
}

#[cfg(test)]
mod tests;
