//! A token bucket of bytes, which bounds what a front sends.

/// A token bucket that lets at most `burst + rate * seconds` bytes through in any interval.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    bytes_per_ms: f64,
    burst: f64,
    tokens: f64,
    refilled_ms: f64,
}

impl TokenBucket {
    /// Creates a full bucket. The clock of `now_ms` need not be monotonic: a step backwards adds no tokens.
    pub fn new(bytes_per_s: u64, burst_bytes: u64, now_ms: f64) -> TokenBucket {
        let burst = burst_bytes as f64;
        TokenBucket { bytes_per_ms: bytes_per_s as f64 / 1000.0, burst, tokens: burst, refilled_ms: now_ms }
    }

    /// Refills the bucket and returns the number of bytes that may be sent now.
    pub fn available_bytes(&mut self, now_ms: f64) -> usize {
        let elapsed_ms = (now_ms - self.refilled_ms).max(0.0);
        self.refilled_ms = self.refilled_ms.max(now_ms);
        self.tokens = (self.tokens + elapsed_ms * self.bytes_per_ms).min(self.burst);
        self.tokens as usize
    }

    /// Takes `bytes` from the bucket and returns `true`, or takes nothing and returns `false` if fewer are
    /// available.
    pub fn try_take(&mut self, now_ms: f64, bytes: usize) -> bool {
        let enough = self.available_bytes(now_ms) >= bytes;
        if enough {
            self.tokens -= bytes as f64;
        }
        enough
    }
}

#[cfg(test)]
mod tests;
