//! Share of the blocks that a region without headroom diverts to other regions.
//!
//! Diverting all blocks of such a region at once would empty it within the lifetime of cached
//! answers, after which all blocks would return. The share therefore changes in steps, each after
//! the effect of the previous step is included in the measurements.

use std::time::{Duration, Instant};

use super::rendezvous::mix;
use super::{ANSWER_TTL, MEASUREMENT_LAG, RegionCapacity, RegionIndex};

/// Utilisation that a region which diverts blocks is kept at, to leave headroom for load
/// variations.
const TARGET_UTILISATION: f32 = 0.95;
/// Utilisation below which blocks return; between this and full utilisation the share is unchanged.
const RETURN_UTILISATION: f32 = 0.9;
/// Maximum share of blocks that return to a region in one step.
const MAX_RETURN_STEP: f32 = 0.1;
/// Minimum interval between two steps of a region.
const STEP_INTERVAL: Duration = ANSWER_TTL.saturating_add(MEASUREMENT_LAG);

/// Share of each region's blocks that is diverted to other regions.
#[derive(Clone, Debug, Default)]
pub struct Overflow {
    regions: Vec<RegionOverflow>,
}

#[derive(Clone, Copy, Debug, Default)]
struct RegionOverflow {
    share: f32,
    changed_at: Option<Instant>,
}

impl Overflow {
    /// Returns a state in which every region serves its own blocks.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adjusts the shares to new measurements.
    pub fn update(&mut self, capacities: &[RegionCapacity], now: Instant) {
        self.regions.resize(capacities.len(), RegionOverflow::default());
        for (state, measured) in self.regions.iter_mut().zip(capacities) {
            let is_due = state
                .changed_at
                .is_none_or(|at| now.saturating_duration_since(at) >= STEP_INTERVAL);
            let share = next_share(state.share, measured);
            if is_due && share != state.share {
                *state = RegionOverflow { share, changed_at: Some(now) };
            }
        }
    }

    /// Returns the share of a region's blocks that is diverted.
    pub fn share(&self, region: RegionIndex) -> f32 {
        self.regions.get(usize::from(region.0)).map_or(0.0, |state| state.share)
    }

    /// Returns whether a block is diverted. A block that is diverted at some share is also diverted
    /// at every larger share.
    pub(super) fn diverts(&self, region: RegionIndex, block_hash: u64) -> bool {
        let share = self.share(region);
        share > 0.0 && ((mix(block_hash, 0x6f76) >> 40) as f32) < share * (1_u64 << 24) as f32
    }
}

fn next_share(share: f32, measured: &RegionCapacity) -> f32 {
    let (capacity, load) = (measured.capacity_slots, measured.load_slots);
    // The measured load comes from the blocks that are not diverted. `change` is positive if it is
    // too high.
    let change =
        (1.0 - share) * (load - capacity * TARGET_UTILISATION) / load.max(f32::MIN_POSITIVE);
    if load > 0.0 && load >= capacity {
        (share + change).min(1.0)
    } else if load < capacity * RETURN_UTILISATION {
        // Only half of the difference, because blocks differ in load.
        (share + (change / 2.0).max(-MAX_RETURN_STEP)).max(0.0)
    } else {
        share
    }
}
