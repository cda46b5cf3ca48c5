//! A token bucket of bytes: the bound on what a front sends.

/// A token bucket: never more than `burst + rate * seconds` bytes are let through in any interval.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    bytes_per_ms: f64,
    burst: f64,
    tokens: f64,
    refilled_ms: f64,
}

impl TokenBucket {
    /// A full bucket; `now_ms` is on a clock that need not be monotonic, as a step back earns nothing.
    pub fn new(bytes_per_s: u64, burst_bytes: u64, now_ms: f64) -> TokenBucket {
        let burst = burst_bytes as f64;
        TokenBucket { bytes_per_ms: bytes_per_s as f64 / 1000.0, burst, tokens: burst, refilled_ms: now_ms }
    }

    /// Refills the bucket and returns the bytes that may be sent now.
    pub fn available(&mut self, now_ms: f64) -> usize {
        let elapsed_ms = (now_ms - self.refilled_ms).max(0.0);
        self.refilled_ms = self.refilled_ms.max(now_ms);
        self.tokens = (self.tokens + elapsed_ms * self.bytes_per_ms).min(self.burst);
        self.tokens as usize
    }

    /// Takes `bytes` from the bucket, or nothing if there are fewer; whether they were taken.
    pub fn try_take(&mut self, now_ms: f64, bytes: usize) -> bool {
        let enough = self.available(now_ms) >= bytes;
        if enough {
            self.tokens -= bytes as f64;
        }
        enough
    }
}

#[cfg(test)]
mod tests;
