//! Share of the blocks that a region without headroom passes on to others.
//!
//! Passing over such a region for all of its blocks at once would empty it within the cache time,
//! after which all would return. The share therefore changes in steps, each after the previous
//! one has become visible in the measurements.

use std::time::{Duration, Instant};

use super::rendezvous::mix;
use super::{ANSWER_TTL, MEASUREMENT_LAG, RegionCapacity, RegionIndex};

/// Use at which a region that passes blocks on is held, so that it has room for variations.
const HELD_USE: f32 = 0.95;
/// Use below which blocks return; between this and full use the share stays as it is.
const RETURN_USE: f32 = 0.9;
/// Largest share that returns to a region in one step.
const LARGEST_RETURN: f32 = 0.1;
/// Time between two steps of a region.
const STEP_INTERVAL: Duration = ANSWER_TTL.saturating_add(MEASUREMENT_LAG);

/// Share of each region's blocks that is passed on.
#[derive(Clone, Debug, Default)]
pub struct Overflow {
    regions: Vec<RegionOverflow>,
}

#[derive(Clone, Copy, Debug, Default)]
struct RegionOverflow {
    share: f32,
    stepped_at: Option<Instant>,
}

impl Overflow {
    /// Returns a state in which every region serves its own blocks.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adapts the shares to new measurements.
    pub fn update(&mut self, room: &[RegionCapacity], now: Instant) {
        self.regions.resize(room.len(), RegionOverflow::default());
        for (state, room) in self.regions.iter_mut().zip(room) {
            let is_due = state
                .stepped_at
                .is_none_or(|at| now.saturating_duration_since(at) >= STEP_INTERVAL);
            let share = next_share(state.share, room);
            if is_due && share != state.share {
                *state = RegionOverflow { share, stepped_at: Some(now) };
            }
        }
    }

    /// Returns the share of a region's blocks that is passed on.
    pub fn share(&self, region: RegionIndex) -> f32 {
        self.regions.get(usize::from(region.0)).map_or(0.0, |state| state.share)
    }

    /// Returns whether a block is passed on; a larger share only adds blocks.
    pub(super) fn passes_on(&self, region: RegionIndex, block_hash: u64) -> bool {
        let share = self.share(region);
        share > 0.0 && ((mix(block_hash, 0x6f76) >> 40) as f32) < share * (1_u64 << 24) as f32
    }
}

fn next_share(share: f32, room: &RegionCapacity) -> f32 {
    let (capacity, load) = (room.capacity_slots, room.load_slots);
    // The measured load comes from the blocks that are not passed on. Positive if it is too high.
    let change = (1.0 - share) * (load - capacity * HELD_USE) / load.max(f32::MIN_POSITIVE);
    if load > 0.0 && load >= capacity {
        (share + change).min(1.0)
    } else if load < capacity * RETURN_USE {
        // Half the way, because blocks differ in load.
        (share + (change / 2.0).max(-LARGEST_RETURN)).max(0.0)
    } else {
        share
    }
}
