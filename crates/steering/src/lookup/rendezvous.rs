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

/// Combines the hashes of a subject and a candidate by a folded multiplication, which costs a third
/// of a finalizer with two multiplications.
///
/// One of the two must be a hash already; numbers that count up are combined twice.
pub fn mix(subject: u64, candidate: u64) -> u64 {
    let factors = (subject ^ 0x9e37_79b9_7f4a_7c15, candidate ^ 0xbf58_476d_1ce4_e5b9);
    let product = u128::from(factors.0) * u128::from(factors.1);
    (product as u64) ^ ((product >> 64) as u64)
}

/// Returns the score of a candidate for a subject; the highest score wins.
///
/// The chance to win is proportional to the weight: with `u` uniform in (0, 1), `-ln(u) / weight`
/// is exponential with rate `weight`, and the smallest of several exponentials belongs to each with
/// a probability proportional to its rate.
pub fn score(subject: u64, candidate: u64, weight: f32) -> f32 {
    score_of(mix(subject, candidate), weight)
}

/// Returns the score of a combined hash.
pub(super) fn score_of(mixed: u64, weight: f32) -> f32 {
    let uniform = ((mixed >> 40) as f32 + 0.5) / (1_u64 << 24) as f32;
    weight / -uniform.ln()
}

/// Returns the smallest combined hash with which a candidate of this weight may reach a score.
pub(super) fn least_hash(weight: f32, score: f32) -> u64 {
    // Two steps lower than the inverse of `score_of`, for its rounding.
    let uniform = f64::from(-weight / score).exp() * (1_u64 << 24) as f64;
    ((uniform.floor() as u64).saturating_sub(2)) << 40
}
