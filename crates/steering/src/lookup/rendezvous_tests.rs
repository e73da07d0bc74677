//! Tests of rendezvous hashing: imprecise scores would give VMs shares that differ from their
//! weights.

use super::*;

/// Guards against an error in the series, and against a ranking that depends on rounding.
#[test]
fn minus_ln_precision() {
    let last = (1_u32 << 24) - 1;
    for n in (0..last).step_by(997).chain([1, 2, last - 1, last]) {
        let uniform = (n as f32 + 0.5) / (1_u64 << 24) as f32;
        let expected = -f64::from(uniform).ln();
        let error = (f64::from(minus_ln(uniform)) - expected).abs();
        assert!(error <= expected * 1e-6 + 1e-9, "{uniform}: {error}");
    }
}

/// Guards against omitting a node that reaches the score.
#[test]
fn min_hash_below_score() {
    for (weight, score) in [(0.125_f32, 10.0_f32), (1.0, 1.0), (8.0, 39.0), (3.0, 0.5)] {
        let min = min_hash(weight, score);
        for below in 1..2_000_u64 {
            let combined_hash = min.saturating_sub(below << 34);
            assert!(
                combined_hash >= min || score_of(combined_hash, weight) < score,
                "{weight} {score} {below}"
            );
        }
    }
}
