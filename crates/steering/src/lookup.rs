//! Selection of entry VMs for a caller.
//!
//! The client address determines the client block, the block its home region, the segments of the
//! route map the home region to the serving region, and the region's entry VMs are ranked in an
//! order that is stable for the block. If the region has no serving VM or no capacity, a substitute
//! region is selected in proportion to the regions' headroom. If it has capacity but no headroom, a
//! growing share of its blocks is diverted to substitute regions.

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

/// Maximum number of entry VMs of the selected region in an answer.
pub const MAX_NEAR: usize = 3;
/// Maximum number of entry VMs of other regions in an answer.
pub const MAX_FALLBACK: usize = 3;

/// Index of a region in the list that the [`EntryTable`] was built from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RegionIndex(pub u16);

/// Load and capacity of one region for one service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RegionCapacity {
    /// Slots of the service's usable targets in the region.
    pub capacity_slots: f32,
    /// Slots in use plus queued requests, over all VMs.
    pub load_slots: f32,
    /// Slots that one answer adds to the load if its caller was served elsewhere before.
    pub slots_per_answer: f32,
}

impl RegionCapacity {
    /// Returns the free slots; negative if requests are queued.
    pub fn headroom_slots(&self) -> f32 {
        self.capacity_slots - self.load_slots
    }
}

/// Capacity of all regions for one service, with the effect of this daemon's answers.
#[derive(Clone, Debug)]
pub struct ServiceCapacity {
    /// Measured capacity, one element per region of the [`EntryTable`].
    pub regions: Vec<RegionCapacity>,
    /// Shares of blocks that full regions divert to other regions.
    pub overflow: Overflow,
    /// Answers whose load is not yet included in the measurements.
    pub recent_answers: RecentAnswers,
}

impl ServiceCapacity {
    /// Returns a state without measurements, in which no region has capacity.
    pub fn new(regions: usize, now: Instant) -> Self {
        Self {
            regions: vec![RegionCapacity::default(); regions],
            overflow: Overflow::new(),
            recent_answers: RecentAnswers::new(regions, now),
        }
    }

    /// Applies new measurements.
    pub fn update(&mut self, regions: Vec<RegionCapacity>, now: Instant) {
        self.overflow.update(&regions, now);
        self.regions = regions;
    }

    fn has_capacity(&self, region: RegionIndex) -> bool {
        self.regions
            .get(usize::from(region.0))
            .is_some_and(|capacity| capacity.capacity_slots > 0.0)
    }
}

/// Why a region was selected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Reason {
    /// The route maps the home region to it.
    Route,
    /// It replaces the region of the route, which has no serving entry VM.
    RegionLost,
    /// It replaces the region of the route, which has no headroom for this block.
    RegionFull,
}

/// Result of a lookup.
#[derive(Clone, Debug, PartialEq)]
pub enum Lookup {
    /// The caller should use these entry VMs, in this order.
    Use(Decision),
    /// No region has capacity for this caller.
    NoCapacity,
}

/// Entry VMs for one caller.
#[derive(Clone, Debug, PartialEq)]
pub struct Decision {
    /// Block of the caller.
    pub block: Block,
    /// Selected region.
    pub region: RegionIndex,
    /// Why the region was selected.
    pub reason: Reason,
    /// Indices into [`EntryTable::vms`], preferred VMs first.
    pub entries: SmallVec<[u16; MAX_NEAR + MAX_FALLBACK]>,
}

/// Selects the entry VMs for a caller.
///
/// `segment` maps a home region and the hash of a block to the region that serves the block; if it
/// returns `None`, the home region serves the block.
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
        None => entries.default_region(block.hash),
    };
    let routed_region = match home.and_then(|home| segment(entries.region(home), block.hash)) {
        Some(region) => entries.region_index(&region),
        None => home,
    };
    let reason = match routed_region {
        Some(region) if entries.is_lost(region) => Reason::RegionLost,
        Some(region) if !capacity.has_capacity(region) => Reason::RegionFull,
        Some(region) if capacity.overflow.diverts(region, block.hash) => Reason::RegionFull,
        Some(region) => {
            return use_region(entries, &capacity.regions, block, region, Reason::Route);
        }
        None => Reason::RegionLost,
    };
    capacity.recent_answers.advance(now);
    let substitute = entries.best_region(block.hash, |region| {
        let is_excluded = Some(region) == routed_region || capacity.overflow.share(region) > 0.0;
        if is_excluded {
            0.0
        } else {
            capacity.recent_answers.available_slots(entries, &capacity.regions, region)
        }
    });
    match substitute {
        Some(region) => {
            let slots = capacity.regions[usize::from(region.0)].slots_per_answer;
            capacity.recent_answers.record(region, slots);
            use_region(entries, &capacity.regions, block, region, reason)
        }
        None => Lookup::NoCapacity,
    }
}

fn use_region(
    entries: &EntryTable,
    capacities: &[RegionCapacity],
    block: Block,
    region: RegionIndex,
    reason: Reason,
) -> Lookup {
    let mut chosen = SmallVec::new();
    entries.select(region, block.hash, MAX_NEAR, &mut chosen);
    entries.select_fallback(region, block.hash, capacities, MAX_FALLBACK, &mut chosen);
    Lookup::Use(Decision { block, region, reason, entries: chosen })
}

#[cfg(test)]
#[path = "lookup_tests.rs"]
mod tests;
