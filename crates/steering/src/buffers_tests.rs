//! Guards against held responses that use more memory than allowed, one of them or all together.

use super::*;

const LIMITS: BodyLimits = BodyLimits {
    held_max: ByteCount(100),
    held_total_max: ByteCount(250),
    refusal_max: ByteCount(10),
    refusal_time_max: Duration::from_millis(100),
};

fn next(held: u64, new: u64, following: Option<u64>) -> NextBytes {
    next_bytes(&LIMITS, ByteCount(held), ByteCount(new), following.map(ByteCount))
}

#[test]
fn next_bytes_within_limit() {
    assert_eq!(next(0, 0, Some(100)), NextBytes::Hold);
    assert_eq!(next(40, 60, Some(0)), NextBytes::Hold);
    assert_eq!(next(40, 60, None), NextBytes::Hold);
}

#[test]
fn next_bytes_over_limit() {
    // A response whose length is too large is passed on from its first byte.
    assert_eq!(next(0, 0, Some(101)), NextBytes::PassOn);
    assert_eq!(next(0, 1, Some(u64::MAX)), NextBytes::PassOn);
    // One without a length is passed on once it is too large.
    assert_eq!(next(40, 61, None), NextBytes::PassOn);
}

#[test]
fn grow_total_within_budget() {
    let budget = MemoryBudget::new(LIMITS.held_total_max);
    let (mut first, mut second) = (budget.reservation(), budget.reservation());
    assert!(first.grow(ByteCount(100)) && second.grow(ByteCount(100)));
    assert!(!second.grow(ByteCount(51)), "the budget was exceeded");
    assert!(second.grow(ByteCount(50)));
    assert_eq!(budget.used(), ByteCount(250));
    assert!(!budget.reservation().grow(ByteCount(u64::MAX)), "the sum wrapped around");
    drop(first);
    assert_eq!(budget.used(), ByteCount(150));
    drop(second);
    assert_eq!(budget.used(), ByteCount(0));
}
