//! Mutexes with a checked lock order.

use parking_lot::{Mutex, MutexGuard};

/// A mutex with a rank. A thread may only take a lock of a higher rank than those it holds, which
/// rules out deadlocks; debug builds check this.
#[derive(Debug)]
pub struct RankedMutex<T> {
    rank: u8,
    inner: Mutex<T>,
}

impl<T> RankedMutex<T> {
    /// Returns a mutex with a rank and a value.
    pub const fn new(rank: u8, value: T) -> Self {
        Self { rank, inner: Mutex::new(value) }
    }

    /// Takes the lock, blocking until it is free.
    ///
    /// # Panics
    ///
    /// In debug builds, when the thread holds a lock of the same or a higher rank.
    pub fn lock(&self) -> RankedMutexGuard<'_, T> {
        let held = HeldRank::enter(self.rank);
        RankedMutexGuard { guard: self.inner.lock(), _held: held }
    }
}

/// Holds the lock until it is dropped.
pub struct RankedMutexGuard<'a, T> {
    guard: MutexGuard<'a, T>,
    _held: HeldRank,
}

impl<T> std::ops::Deref for RankedMutexGuard<'_, T> {
    type Target = T;

    fn deref(&self) -> &T {
        &self.guard
    }
}

impl<T> std::ops::DerefMut for RankedMutexGuard<'_, T> {
    fn deref_mut(&mut self) -> &mut T {
        &mut self.guard
    }
}

#[cfg(debug_assertions)]
mod held {
    use std::cell::RefCell;

    thread_local! {
        static RANKS: RefCell<Vec<u8>> = const { RefCell::new(Vec::new()) };
    }

    /// Records the rank of a held lock for this thread.
    pub struct HeldRank(u8);

    impl HeldRank {
        /// Checks the lock order and records the rank as held.
        pub fn enter(rank: u8) -> Self {
            RANKS.with_borrow_mut(|ranks| {
                let highest = ranks.iter().max().copied();
                assert!(
                    highest.is_none_or(|held| held < rank),
                    "lock of rank {rank} taken while {ranks:?} are held"
                );
                ranks.push(rank);
            });
            Self(rank)
        }
    }

    impl Drop for HeldRank {
        fn drop(&mut self) {
            RANKS.with_borrow_mut(|ranks| {
                if let Some(position) = ranks.iter().rposition(|&rank| rank == self.0) {
                    ranks.remove(position);
                }
            });
        }
    }
}

#[cfg(not(debug_assertions))]
mod held {
    /// Release builds record nothing.
    pub struct HeldRank;

    impl HeldRank {
        /// Does nothing.
        pub const fn enter(_rank: u8) -> Self {
            Self
        }
    }
}

use held::HeldRank;

#[cfg(test)]
#[path = "locks_tests.rs"]
mod tests;
