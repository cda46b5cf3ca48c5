//! A token bucket of bytes.

/// What may be sent: never more than `burst + rate * seconds` in any stretch of time.
#[derive(Clone, Debug)]
pub struct Bucket {
    per_ms: f64,
    burst: f64,
    tokens: f64,
    at_ms: f64,
}

impl Bucket {
    /// A full bucket.
    pub fn new(bytes_per_s: u64, burst_bytes: u64, now_ms: f64) -> Bucket {
        let burst = burst_bytes as f64;
        Bucket { per_ms: bytes_per_s as f64 / 1000.0, burst, tokens: burst, at_ms: now_ms }
    }

    /// Bytes that may be sent now.
    pub fn left(&mut self, now_ms: f64) -> usize {
        let passed = (now_ms - self.at_ms).max(0.0);
        self.at_ms = self.at_ms.max(now_ms);
        self.tokens = (self.tokens + passed * self.per_ms).min(self.burst);
        self.tokens as usize
    }

    /// Takes bytes if there are so many.
    pub fn take(&mut self, now_ms: f64, bytes: usize) -> bool {
        let enough = self.left(now_ms) >= bytes;
        if enough {
            self.tokens -= bytes as f64;
        }
        enough
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn no_stretch_of_time_sees_more_than_its_part() {
        let mut b = Bucket::new(1000, 300, 0.0);
        let mut sent: Vec<(f64, usize)> = Vec::new();
        for step in 0..5000u32 {
            let now = f64::from(step) * 0.7;
            let bytes = 40 + (step * 37 % 200) as usize;
            if b.take(now, bytes) {
                sent.push((now, bytes));
            }
        }
        assert!(sent.len() > 20);
        for (i, (from, _)) in sent.iter().enumerate() {
            let mut sum = 0;
            for (to, bytes) in &sent[i..] {
                sum += bytes;
                assert!(sum as f64 <= 300.0 + (to - from) + 1e-6);
            }
        }
        let before = b.left(1e9);
        assert_eq!((before, b.left(0.0)), (300, 300), "a clock that runs back earns nothing");
    }
}
