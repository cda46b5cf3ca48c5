//! Weighted rendezvous hashing, which gives each key its own order of all nodes.

use crate::filter::KeyHashes;

/// Mixes all bits of a number, so that similar inputs give unrelated outputs.
pub fn mix_bits(mut bits: u64) -> u64 {
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}

/// Advances `seed` and returns a pseudo-random factor, uniform from 0.5 to 1.5, that keeps routers out of
/// step.
pub fn jitter_factor(seed: &mut u64) -> f64 {
    *seed = mix_bits(seed.wrapping_add(0x9e37_79b9_7f4a_7c15));
    0.5 + (*seed >> 11) as f64 / (1u64 << 53) as f64
}

/// Combines the first two hashes of a key into one number.
pub fn key_to_u64(hashes: KeyHashes) -> u64 {
    u64::from(hashes.0[0]) << 32 | u64::from(hashes.0[1])
}

/// Weighted rendezvous score of a node for a key. The node with the highest score wins, and each node wins a
/// fraction of keys in proportion to its weight.
pub fn rendezvous_score(tag: u64, key: u64, weight: f64) -> f64 {
    let uniform = ((mix_bits(tag ^ mix_bits(key)) >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    -weight.max(1e-9) / uniform.ln()
}
