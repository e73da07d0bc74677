//! Tests of the lock order check, which guards against deadlocks.

use super::*;

#[test]
fn lock_rising_ranks() {
    let (first, second) = (RankedMutex::new(1, 0), RankedMutex::new(2, 0));
    let outer = first.lock();
    *second.lock() += *outer;
    drop(outer);
    *second.lock() += 1;
    *first.lock() += 1;
}

#[test]
#[should_panic(expected = "lock of rank 1 taken while [2] are held")]
#[cfg(debug_assertions)]
fn lock_falling_ranks() {
    let (first, second) = (RankedMutex::new(1, 0), RankedMutex::new(2, 0));
    let _outer = second.lock();
    let _inner = first.lock();
}
