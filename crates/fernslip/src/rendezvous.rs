//! Weighted rendezvous hashing: each key has an order of all nodes.

use crate::filter::Hashes;

/// Mixes all bits of a number.
pub fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// The next number evenly between a half and one and a half, by the seed: keeps routers out of step.
pub fn spread(seed: &mut u64) -> f64 {
    *seed = mix(seed.wrapping_add(0x9e37_79b9_7f4a_7c15));
    0.5 + (*seed >> 11) as f64 / (1u64 << 53) as f64
}

/// A key's hashes as one number.
pub fn key_number(h: Hashes) -> u64 {
    u64::from(h.0[0]) << 32 | u64::from(h.0[1])
}

/// Weighted rendezvous score: the highest wins, and each wins by its weight.
pub fn score(tag: u64, key: u64, weight: f64) -> f64 {
    let u = ((mix(tag ^ mix(key)) >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    -weight.max(1e-9) / u.ln()
}
