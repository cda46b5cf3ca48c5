//! Estimates how long the answer to a read will be, before the read is sent to a cache node.
//!
//! Clients state the size of a part in KB as the deployment counts it. The bytes of the answer are fewer, in a
//! proportion that the front learns from answers. Until it has, every KB counts as 1,024 bytes.

use crate::sync::lock;
use std::sync::Mutex;

/// Length of the largest object, in bytes.
const MAX_BODY_BYTES: usize = 240_000;
/// Shortest estimate, in bytes.
const MIN_ESTIMATE_BYTES: usize = 1024;
/// Bytes of an answer for each KB that the client states, until answers have told the proportion.
const INITIAL_BYTES_PER_KB: f64 = 1024.0;
/// Sizes below this, in KB, tell nothing about the proportion.
const MIN_MEASURED_KB: f64 = 1.0;
/// Number of answers that replace the initial proportion.
const FIRST_GENERATION: u32 = 16;
/// Number of answers of each further generation.
const GENERATION: u32 = 128;

/// Largest numbers of bytes for each stated KB in the last two generations of answers.
#[derive(Debug)]
struct Generations {
    previous: f64,
    current: f64,
    /// Number of answers until the next generation begins.
    remaining: u32,
}

/// Learns the proportion between the bytes of answers and the sizes that clients state.
#[derive(Debug)]
pub struct AnswerSizes(Mutex<Generations>);

impl Default for AnswerSizes {
    fn default() -> AnswerSizes {
        let generations =
            Generations { previous: INITIAL_BYTES_PER_KB, current: 0.0, remaining: FIRST_GENERATION };
        AnswerSizes(Mutex::new(generations))
    }
}

impl AnswerSizes {
    /// Estimates the bytes of the answer to a read of this stated size. The largest proportion of the recent
    /// answers applies, so that the estimate is rather too high than too low.
    pub fn estimate(&self, size_kb: f64) -> usize {
        let bytes_per_kb = {
            let generations = lock(&self.0);
            generations.previous.max(generations.current)
        };
        let bytes = (size_kb * bytes_per_kb).ceil() as usize;
        bytes.clamp(MIN_ESTIMATE_BYTES, MAX_BODY_BYTES)
    }

    /// Records the length of an answer to a read of this stated size.
    pub fn record(&self, size_kb: f64, body_bytes: usize) {
        if size_kb < MIN_MEASURED_KB {
            return;
        }
        let mut generations = lock(&self.0);
        generations.current = generations.current.max(body_bytes as f64 / size_kb);
        generations.remaining -= 1;
        if generations.remaining == 0 {
            *generations = Generations { previous: generations.current, current: 0.0, remaining: GENERATION };
        }
    }
}

#[cfg(test)]
#[path = "answer_sizes/tests.rs"]
mod tests;
