//! The use of a bucket within its deployment's window.

use std::time::{Duration, Instant};

use crate::grants::Limit;

/// Slices in which the use of a window is counted; the oldest one beside them covers the slice that
/// has just begun.
pub(super) const WINDOW_SLICES: usize = 5;

/// Tokens used lately, for the tokens that are granted ahead.
#[derive(Clone, Debug)]
pub(super) struct WindowUse {
    pub(super) slices: [u64; WINDOW_SLICES + 1],
    pub(super) slice_began_at: Instant,
}

impl WindowUse {
    /// Returns the use of a fleet of which nothing is known: the whole rate.
    pub(super) fn unknown(limit: &Limit, now: Instant) -> Self {
        let slice_s = Self::slice(limit).as_secs_f64();
        let per_slice = (limit.rate.get() as f64 * slice_s).ceil() as u64;
        Self { slices: [per_slice; WINDOW_SLICES + 1], slice_began_at: now }
    }

    pub(super) fn slice(limit: &Limit) -> Duration {
        limit.window.map_or(Duration::ZERO, |window| window.length / WINDOW_SLICES as u32)
    }

    pub(super) fn count(&mut self, used: u64) {
        self.slices[0] += used;
    }

    /// Begins further slices as time passes.
    pub(super) fn advance(&mut self, limit: &Limit, now: Instant) {
        let slice = Self::slice(limit);
        if slice.is_zero() {
            return;
        }
        for _ in 0..=WINDOW_SLICES {
            if now.saturating_duration_since(self.slice_began_at) < slice {
                return;
            }
            self.slices.rotate_right(1);
            self.slices[0] = 0;
            self.slice_began_at += slice;
        }
        self.slice_began_at = now;
    }

    pub(super) fn total(&self) -> u64 {
        self.slices.iter().sum()
    }
}
