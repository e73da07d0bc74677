//! Rendezvous hashing: every process computes the same order of candidates without coordination,
//! and a candidate that comes or goes only moves the subjects that it wins or held.

/// Returns the hash of an id, the same on every VM and in every version.
pub fn id_hash(id: &str) -> u64 {
    first_8_bytes(&blake3::hash(id.as_bytes()))
}

/// Returns the first 8 bytes of a hash as a number.
pub(crate) fn first_8_bytes(hash: &blake3::Hash) -> u64 {
    let mut first = [0; 8];
    first.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(first)
}

/// Combines the hashes of a subject and a candidate (finalizer of splitmix64).
pub fn mix(subject: u64, candidate: u64) -> u64 {
    let mut mixed = subject ^ candidate.rotate_left(32) ^ 0x9e37_79b9_7f4a_7c15;
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// Returns the score of a candidate for a subject; the highest score wins.
///
/// The chance to win is proportional to the weight: with `u` uniform in (0, 1), `-ln(u) / weight`
/// is exponential with rate `weight`, and the smallest of several exponentials belongs to each with
/// a probability proportional to its rate.
pub fn score(subject: u64, candidate: u64, weight: f32) -> f32 {
    let uniform = ((mix(subject, candidate) >> 40) as f32 + 0.5) / (1_u64 << 24) as f32;
    weight / -uniform.ln()
}
