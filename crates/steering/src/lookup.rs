//! Which entry VMs a caller should use.
//!
//! Client address to client block, block to home region, home region to region by the segments of
//! the route, region to entry VMs in an order that is stable for the block. A region that is lost
//! or has no capacity is passed over in favour of regions with room, in proportion to their
//! headroom; one that has capacity and no headroom is passed over for a growing share of its
//! blocks.

use std::net::IpAddr;
use std::time::Instant;

use celerygate_types::RegionId;
use smallvec::SmallVec;

mod blocks;
mod entries;
mod overflow;
mod recent_answers;
pub mod rendezvous;

pub use blocks::{Block, BlockTable};
pub use entries::{EntryTable, EntryVmInfo, EntryVmState};
pub use overflow::Overflow;
pub use recent_answers::{ANSWER_TTL, MEASUREMENT_LAG, RecentAnswers};

/// Most entry VMs of the chosen region in an answer.
pub const MAX_NEAR: usize = 3;
/// Most entry VMs of other regions in an answer.
pub const MAX_FALLBACK: usize = 3;

/// Position of a region in the list that [`EntryTable`] was built from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RegionIndex(pub u16);

/// Load and capacity of one region for one service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RegionCapacity {
    /// Slots of the service's usable targets in the region.
    pub capacity_slots: f32,
    /// Slots in use and requests waiting for one, over all VMs.
    pub load_slots: f32,
    /// Slots that one answer adds when its caller was served elsewhere before.
    pub slots_per_answer: f32,
}

impl RegionCapacity {
    /// Returns the free slots, negative if requests wait.
    pub fn headroom_slots(&self) -> f32 {
        self.capacity_slots - self.load_slots
    }
}

/// Room of all regions for one service, and what this daemon's answers do to it.
#[derive(Clone, Debug)]
pub struct ServiceCapacity {
    /// Measured room, one element for each region of the [`EntryTable`].
    pub regions: Vec<RegionCapacity>,
    /// Shares of blocks that full regions pass on.
    pub overflow: Overflow,
    /// Answers that the measurements do not show yet.
    pub recent_answers: RecentAnswers,
}

impl ServiceCapacity {
    /// Returns a state without measurements: no region has room.
    pub fn new(regions: usize, now: Instant) -> Self {
        Self {
            regions: vec![RegionCapacity::default(); regions],
            overflow: Overflow::new(),
            recent_answers: RecentAnswers::new(regions, now),
        }
    }

    /// Takes over new measurements.
    pub fn update(&mut self, room: Vec<RegionCapacity>, now: Instant) {
        self.overflow.update(&room, now);
        self.regions = room;
    }

    fn has_capacity(&self, region: RegionIndex) -> bool {
        self.regions.get(usize::from(region.0)).is_some_and(|room| room.capacity_slots > 0.0)
    }
}

/// Why a region was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Reason {
    /// The route says so.
    Route,
    /// The region of the route has no serving entry VM.
    RegionLost,
    /// The region of the route has no headroom for this block.
    RegionFull,
}

/// Answer to a lookup.
#[derive(Clone, Debug, PartialEq)]
pub enum Lookup {
    /// Use these entry VMs, in this order.
    Use(Decision),
    /// No region has room for this caller.
    NoCapacity,
}

/// Entry VMs for one caller.
#[derive(Clone, Debug, PartialEq)]
pub struct Decision {
    /// Block of the caller.
    pub block: Block,
    /// Chosen region.
    pub region: RegionIndex,
    /// Why the region was chosen.
    pub reason: Reason,
    /// Positions in [`EntryTable::vms`], preferred ones first.
    pub entries: SmallVec<[u16; MAX_NEAR + MAX_FALLBACK]>,
}

/// Decides which entry VMs a caller should use.
///
/// `segment` maps a home region and the hash of a block to the region that serves the block; `None`
/// keeps the block in its home region.
pub fn decide(
    blocks: &BlockTable,
    entries: &EntryTable,
    capacity: &mut ServiceCapacity,
    client: IpAddr,
    segment: impl FnOnce(&RegionId, u64) -> Option<RegionId>,
    now: Instant,
) -> Lookup {
    let block = blocks.find(client);
    let home = match &block.home {
        Some(home) => entries.region_index(home),
        None => entries.hashed_region(block.hash),
    };
    let routed = match home.and_then(|home| segment(entries.region(home), block.hash)) {
        Some(region) => entries.region_index(&region),
        None => home,
    };
    let reason = match routed {
        Some(region) if entries.is_lost(region) => Reason::RegionLost,
        Some(region) if !capacity.has_capacity(region) => Reason::RegionFull,
        Some(region) if capacity.overflow.passes_on(region, block.hash) => Reason::RegionFull,
        Some(region) => {
            return use_region(entries, &capacity.regions, block, region, Reason::Route);
        }
        None => Reason::RegionLost,
    };
    capacity.recent_answers.advance(now);
    let substitute = entries.best_region(block.hash, |region| {
        let is_excluded = Some(region) == routed || capacity.overflow.share(region) > 0.0;
        if is_excluded {
            0.0
        } else {
            capacity.recent_answers.left(entries, &capacity.regions, region)
        }
    });
    match substitute {
        Some(region) => {
            let slots = capacity.regions[usize::from(region.0)].slots_per_answer;
            capacity.recent_answers.charge(region, slots);
            use_region(entries, &capacity.regions, block, region, reason)
        }
        None => Lookup::NoCapacity,
    }
}

fn use_region(
    entries: &EntryTable,
    room: &[RegionCapacity],
    block: Block,
    region: RegionIndex,
    reason: Reason,
) -> Lookup {
    let mut chosen = SmallVec::new();
    entries.pick(region, block.hash, MAX_NEAR, &mut chosen);
    entries.pick_elsewhere(region, block.hash, room, MAX_FALLBACK, &mut chosen);
    Lookup::Use(Decision { block, region, reason, entries: chosen })
}

#[cfg(test)]
#[path = "lookup_tests.rs"]
mod tests;
