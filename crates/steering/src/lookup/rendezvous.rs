//! Weighted rendezvous hashing: every process computes the same ranking of nodes for a key without
//! coordination, and adding or removing a node only moves the keys that it gains or had.

/// Returns the hash of an id. It is the same on every VM and in every version.
pub fn id_hash(id: &str) -> u64 {
    first_8_bytes(&blake3::hash(id.as_bytes()))
}

/// Returns the first 8 bytes of a hash as a number.
pub(crate) fn first_8_bytes(hash: &blake3::Hash) -> u64 {
    let mut first = [0; 8];
    first.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(first)
}

/// Combines the hashes of a key and a node by a folded multiplication, which takes a third of the
/// time of a finalizer with two multiplications.
///
/// At least one of the two must be a hash. Combine sequential numbers twice.
pub fn mix(key: u64, node: u64) -> u64 {
    let factors = (key ^ 0x9e37_79b9_7f4a_7c15, node ^ 0xbf58_476d_1ce4_e5b9);
    let product = u128::from(factors.0) * u128::from(factors.1);
    (product as u64) ^ ((product >> 64) as u64)
}

/// Returns the score of a node for a key; the node with the highest score is selected.
///
/// The probability that a node is selected is proportional to its weight: with `u` uniform in
/// (0, 1), `-ln(u) / weight` is exponentially distributed with rate `weight`, and each of several
/// exponential variables is the smallest with a probability proportional to its rate.
pub fn score(key: u64, node: u64, weight: f32) -> f32 {
    score_of(mix(key, node), weight)
}

/// Returns the score for a combined hash.
pub(super) fn score_of(combined_hash: u64, weight: f32) -> f32 {
    weight / minus_ln(((combined_hash >> 40) as f32 + 0.5) / (1_u64 << 24) as f32)
}

/// Returns `-ln(uniform)` for a normal number, with a relative error below 10^-6.
///
/// The logarithms of libraries and processors differ in the last digit. Daemons with different
/// scores could rank two VMs differently; these operations give the same result everywhere.
fn minus_ln(uniform: f32) -> f32 {
    // Range reduction of the mantissa to [sqrt(1/2), sqrt(2)), where the series converges fast.
    let offset = uniform.to_bits().wrapping_sub(0x3f35_04f3);
    let exponent = (offset as i32 >> 23) as f32;
    let mantissa = f32::from_bits((offset & 0x007f_ffff) + 0x3f35_04f3);
    let s = (mantissa - 1.0) / (mantissa + 1.0);
    let square = s * s;
    let series = 2.0 * s * (1.0 + square * (1.0 / 3.0 + square * (0.2 + square / 7.0)));
    -(exponent * std::f32::consts::LN_2 + series)
}

/// Returns a lower bound of the combined hashes with which a node of this weight reaches a score.
pub(super) fn min_hash(weight: f32, score: f32) -> u64 {
    // Slightly below the inverse of `score_of`, to allow for rounding.
    let uniform = f64::from(-weight / score).exp() * (1_u64 << 24) as f64;
    ((uniform * 0.999_99) as u64).saturating_sub(2) << 40
}

#[cfg(test)]
#[path = "rendezvous_tests.rs"]
mod tests;
