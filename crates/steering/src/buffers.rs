//! Bounds for the bytes of requests and responses that are held in memory.
//!
//! A response is held until it is complete, so that one that ends early can be replaced by a failure
//! or by another target's. What does not fit is passed on as it arrives. A request that does not fit
//! is refused.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use celerygate_types::ByteCount;

/// Limits of a process for the bodies that it reads from targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyLimits {
    /// Size up to which a response is held until it is complete.
    pub held_max: ByteCount,
    /// Total size of all held responses.
    pub held_total_max: ByteCount,
    /// Size up to which the body of a refusal is read in order to keep the connection.
    pub refusal_max: ByteCount,
    /// Time for which the body of a refusal is read.
    pub refusal_time_max: Duration,
}

impl Default for BodyLimits {
    /// Limits for a VM with 256 MiB of memory: a quarter of it for held responses, of which most are
    /// far smaller than 1 MiB. The body of a refusal is a short text that arrives with the head.
    fn default() -> Self {
        Self {
            held_max: ByteCount(1_024 * 1_024),
            held_total_max: ByteCount(64 * 1_024 * 1_024),
            refusal_max: ByteCount(64 * 1_024),
            refusal_time_max: Duration::from_millis(100),
        }
    }
}

/// What to do with the next bytes of a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextBytes {
    /// Hold them.
    Hold,
    /// Pass on what is held and then the rest as it arrives.
    PassOn,
}

/// Decides what to do with the next bytes of a body, given the number of held and of new bytes and
/// the number that is known to follow them, if the body has a length.
pub fn next_bytes(
    limits: &BodyLimits,
    held: ByteCount,
    new: ByteCount,
    following: Option<ByteCount>,
) -> NextBytes {
    let known = held.0.saturating_add(new.0).saturating_add(following.map_or(0, |rest| rest.0));
    if known <= limits.held_max.0 { NextBytes::Hold } else { NextBytes::PassOn }
}

/// Memory that all held requests or all held responses of a process share.
#[derive(Debug)]
pub struct MemoryBudget {
    max: ByteCount,
    used_bytes: AtomicU64,
}

impl MemoryBudget {
    /// Creates a budget of which nothing is used.
    pub fn new(max: ByteCount) -> Arc<Self> {
        Arc::new(Self { max, used_bytes: AtomicU64::new(0) })
    }

    /// Returns the size of all reservations.
    pub fn used(&self) -> ByteCount {
        ByteCount(self.used_bytes.load(Ordering::Relaxed))
    }

    /// Returns an empty reservation.
    pub fn reservation(self: &Arc<Self>) -> Reservation {
        Reservation { budget: Arc::clone(self), bytes: 0 }
    }

    fn try_take(&self, bytes: u64) -> bool {
        let add = |used: u64| used.checked_add(bytes).filter(|total| *total <= self.max.0);
        self.used_bytes.try_update(Ordering::Relaxed, Ordering::Relaxed, add).is_ok()
    }
}

/// A part of a [`MemoryBudget`], returned when it is dropped.
#[derive(Debug)]
pub struct Reservation {
    budget: Arc<MemoryBudget>,
    bytes: u64,
}

impl Reservation {
    /// Returns the number of reserved bytes.
    pub fn size(&self) -> ByteCount {
        ByteCount(self.bytes)
    }

    /// Returns an empty reservation of the same budget.
    pub fn empty(&self) -> Self {
        self.budget.reservation()
    }

    /// Adds bytes to the reservation and returns whether the budget has room for them.
    pub fn grow(&mut self, bytes: ByteCount) -> bool {
        let has_room = self.budget.try_take(bytes.0);
        if has_room {
            self.bytes += bytes.0;
        }
        has_room
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.used_bytes.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

#[cfg(test)]
#[path = "buffers_tests.rs"]
mod tests;
