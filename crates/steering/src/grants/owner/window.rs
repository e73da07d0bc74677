//! Token usage within the deployment's window.

use std::time::{Duration, Instant};

use crate::grants::Limit;

/// Number of slices into which a window is divided to count usage. One more slice is kept, because
/// the newest one is incomplete.
pub(super) const WINDOW_SLICES: usize = 5;

/// Sliding-window count of used tokens, from which the overdraft is derived.
#[derive(Clone, Debug)]
pub(super) struct WindowUsage {
    pub(super) slices: [u64; WINDOW_SLICES + 1],
    pub(super) slice_started_at: Instant,
}

impl WindowUsage {
    /// Returns the usage that is assumed while none has been reported: the whole rate.
    pub(super) fn at_full_rate(limit: &Limit, now: Instant) -> Self {
        let slice_s = Self::slice_length(limit).as_secs_f64();
        let per_slice = (limit.rate.get() as f64 * slice_s).ceil() as u64;
        Self { slices: [per_slice; WINDOW_SLICES + 1], slice_started_at: now }
    }

    pub(super) fn slice_length(limit: &Limit) -> Duration {
        limit.window.map_or(Duration::ZERO, |window| window.length / WINDOW_SLICES as u32)
    }

    pub(super) fn count(&mut self, used: u64) {
        self.slices[0] += used;
    }

    /// Starts new slices as time passes and drops the oldest ones.
    pub(super) fn advance(&mut self, limit: &Limit, now: Instant) {
        let slice = Self::slice_length(limit);
        if slice.is_zero() {
            return;
        }
        for _ in 0..=WINDOW_SLICES {
            if now.saturating_duration_since(self.slice_started_at) < slice {
                return;
            }
            self.slices.rotate_right(1);
            self.slices[0] = 0;
            self.slice_started_at += slice;
        }
        self.slice_started_at = now;
    }

    pub(super) fn total(&self) -> u64 {
        self.slices.iter().sum()
    }
}
