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
    weight / minus_ln(((mixed >> 40) as f32 + 0.5) / (1_u64 << 24) as f32)
}

/// Returns `-ln(uniform)` for a normal number, with a relative error below 10^-6.
///
/// Libraries and processors differ in the last digit of their logarithm, and daemons that differ in
/// a score may differ in the order of two VMs; these operations have the same result everywhere.
fn minus_ln(uniform: f32) -> f32 {
    // The mantissa is brought into [sqrt(1/2), sqrt(2)), where the series converges fast.
    let offset = uniform.to_bits().wrapping_sub(0x3f35_04f3);
    let exponent = (offset as i32 >> 23) as f32;
    let mantissa = f32::from_bits((offset & 0x007f_ffff) + 0x3f35_04f3);
    let s = (mantissa - 1.0) / (mantissa + 1.0);
    let square = s * s;
    let series = 2.0 * s * (1.0 + square * (1.0 / 3.0 + square * (0.2 + square / 7.0)));
    -(exponent * std::f32::consts::LN_2 + series)
}

/// Returns the smallest combined hash with which a candidate of this weight may reach a score.
pub(super) fn least_hash(weight: f32, score: f32) -> u64 {
    // A little lower than the inverse of `score_of`, for its rounding.
    let uniform = f64::from(-weight / score).exp() * (1_u64 << 24) as f64;
    ((uniform * 0.999_99) as u64).saturating_sub(2) << 40
}

#[cfg(test)]
#[path = "rendezvous_tests.rs"]
mod tests;
