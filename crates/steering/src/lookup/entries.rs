//! Entry VMs by region, and their order for a block.

use std::mem::size_of;

use celerygate_types::{RegionId, VmId};
use smallvec::SmallVec;
use smol_str::SmolStr;

use super::rendezvous::{id_hash, least_hash, mix, score};
use super::{RegionCapacity, RegionIndex};

/// Steps to which the weight of a VM is rounded, so that small changes of a measurement do not
/// reorder answers.
const WEIGHT_STEPS: f32 = 8.0;

/// Number of candidates whose logarithm is computed on average. With 8, more than 98% of the blocks
/// find 3 VMs among them; the others have all candidates computed.
const EXPECTED_ABOVE: f32 = 8.0;
/// Most candidates that are considered first; a larger number is very rare.
const MAX_ABOVE: usize = 32;

/// An entry VM as the daemon knows it.
#[derive(Clone, Debug, PartialEq)]
pub struct EntryVmState {
    /// Id of the VM.
    pub vm: VmId,
    /// Address for callers.
    pub address: SmolStr,
    /// Region of the VM.
    pub region: RegionId,
    /// Whether the VM takes new work: heard of lately, serving, and not drained.
    pub serving: bool,
    /// Room for requests, in any unit that is the same for all VMs.
    pub headroom: f32,
}

/// An entry VM in an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryVmInfo {
    /// Id of the VM.
    pub vm: VmId,
    /// Address for callers.
    pub address: SmolStr,
    /// Region of the VM.
    pub region: RegionIndex,
}

#[derive(Clone, Debug)]
struct RegionEntries {
    region: RegionId,
    /// Score that [`EXPECTED_ABOVE`] candidates reach on average.
    common_score: f32,
    hash: u64,
    /// Position of the region's first VM in `EntryTable::vms`.
    first: u16,
    candidates: Vec<Candidate>,
}

#[derive(Clone, Copy, Debug)]
struct Candidate {
    hash: u64,
    /// Smallest combined hash that may reach the common score of the region.
    least_hash: u64,
    weight: f32,
}

/// The serving entry VMs; rebuilt when a heartbeat changes one of the inputs.
#[derive(Clone, Debug, Default)]
pub struct EntryTable {
    regions: Vec<RegionEntries>,
    vms: Vec<EntryVmInfo>,
}

impl EntryTable {
    /// Builds the table for the configured regions; VMs that do not serve are left out.
    pub fn new(regions: &[RegionId], inputs: &[EntryVmState]) -> Self {
        let mut table = Self::default();
        for (at, region) in regions.iter().enumerate() {
            let mut serving: Vec<&EntryVmState> =
                inputs.iter().filter(|input| input.serving && input.region == *region).collect();
            // Equal scores are ordered by position, which therefore is the same on all daemons.
            serving.sort_by(|one, other| one.vm.cmp(&other.vm));
            let largest = serving.iter().map(|input| input.headroom).fold(0.0, f32::max);
            let first = u16::try_from(table.vms.len()).unwrap_or(u16::MAX);
            let mut candidates = Vec::with_capacity(serving.len());
            for input in serving {
                candidates.push(Candidate {
                    hash: id_hash(input.vm.as_str()),
                    least_hash: 0,
                    weight: rounded_weight(input.headroom, largest),
                });
                table.vms.push(EntryVmInfo {
                    vm: input.vm.clone(),
                    address: input.address.clone(),
                    region: RegionIndex(u16::try_from(at).unwrap_or(u16::MAX)),
                });
            }
            let total: f32 = candidates.iter().map(|candidate| candidate.weight).sum();
            let common_score = total / EXPECTED_ABOVE;
            for candidate in &mut candidates {
                candidate.least_hash = least_hash(candidate.weight, common_score);
            }
            table.regions.push(RegionEntries {
                region: region.clone(),
                common_score,
                hash: id_hash(region.as_str()),
                first,
                candidates,
            });
        }
        table
    }

    /// Returns the serving VMs.
    pub fn vms(&self) -> &[EntryVmInfo] {
        &self.vms
    }

    /// Returns the number of regions.
    pub fn region_count(&self) -> usize {
        self.regions.len()
    }

    /// Returns the position of a region.
    pub fn region_index(&self, region: &RegionId) -> Option<RegionIndex> {
        let at = self.regions.iter().position(|known| known.region == *region)?;
        u16::try_from(at).ok().map(RegionIndex)
    }

    /// Returns the id of a region.
    pub fn region(&self, index: RegionIndex) -> &RegionId {
        &self.regions[usize::from(index.0)].region
    }

    /// Returns whether a region has no serving VM.
    pub fn is_lost(&self, index: RegionIndex) -> bool {
        self.regions.get(usize::from(index.0)).is_none_or(|region| region.candidates.is_empty())
    }

    /// Returns the bytes that the table holds on the heap, without texts of more than 23 bytes.
    pub fn heap_bytes(&self) -> usize {
        let candidates: usize =
            self.regions.iter().map(|region| region.candidates.capacity()).sum();
        self.regions.capacity() * size_of::<RegionEntries>()
            + candidates * size_of::<Candidate>()
            + self.vms.capacity() * size_of::<EntryVmInfo>()
    }

    /// Returns the home region of a block that the configuration does not name, independent of
    /// which regions are up.
    pub(super) fn hashed_region(&self, block_hash: u64) -> Option<RegionIndex> {
        self.best(block_hash, |_| 1.0)
    }

    /// Returns one of the regions that serve, with a chance in proportion to its weight.
    pub(super) fn best_region(
        &self,
        block_hash: u64,
        weight: impl Fn(RegionIndex) -> f32,
    ) -> Option<RegionIndex> {
        self.best(block_hash, |region| if self.is_lost(region) { 0.0 } else { weight(region) })
    }

    fn best(&self, block_hash: u64, weight: impl Fn(RegionIndex) -> f32) -> Option<RegionIndex> {
        let mut best = Top3::default();
        for (at, region) in (0_u16..).zip(&self.regions) {
            let weight = weight(RegionIndex(at));
            if weight > 0.0 {
                best.offer(score(block_hash, region.hash, weight), at);
            }
        }
        best.first(1).next().map(RegionIndex)
    }

    /// Appends the best VMs of a region for a block, best first.
    pub(super) fn pick<const N: usize>(
        &self,
        region: RegionIndex,
        block_hash: u64,
        most: usize,
        chosen: &mut SmallVec<[u16; N]>,
    ) where
        [u16; N]: smallvec::Array<Item = u16>,
    {
        let Some(entries) = self.regions.get(usize::from(region.0)) else { return };
        let mut best = Top3::default();
        // Every position is written and kept only if it passes: a branch would be mispredicted for
        // most of the positions that pass.
        let (mut above, mut count) = ([0_u16; MAX_ABOVE], 0_usize);
        for (at, candidate) in (0_u16..).zip(&entries.candidates) {
            above[count % MAX_ABOVE] = at;
            count += usize::from(mix(block_hash, candidate.hash) >= candidate.least_hash);
        }
        let mut offer = |at: u16| {
            let candidate = &entries.candidates[usize::from(at)];
            best.offer(score(block_hash, candidate.hash, candidate.weight), entries.first + at);
        };
        if count <= MAX_ABOVE {
            above[..count].iter().copied().for_each(&mut offer);
        }
        // A candidate below its least hash scores less than the common score.
        if count > MAX_ABOVE || best.score(most) < entries.common_score {
            best = Top3::default();
            for (at, candidate) in (entries.first..).zip(&entries.candidates) {
                best.offer(score(block_hash, candidate.hash, candidate.weight), at);
            }
        }
        chosen.extend(best.first(most));
    }

    /// Appends VMs of the other regions: one region is preferred by headroom, and the last VM comes
    /// from a third region so that the loss of two regions leaves an address.
    pub(super) fn pick_elsewhere<const N: usize>(
        &self,
        region: RegionIndex,
        block_hash: u64,
        room: &[RegionCapacity],
        most: usize,
        chosen: &mut SmallVec<[u16; N]>,
    ) where
        [u16; N]: smallvec::Array<Item = u16>,
    {
        // Regions without headroom remain possible: an entry VM there can forward to other regions.
        let weight = |other: RegionIndex| {
            room.get(usize::from(other.0)).map_or(0.0, RegionCapacity::headroom_slots).max(0.001)
        };
        let mut best = Top3::default();
        for (at, other) in (0_u16..).zip(&self.regions) {
            if at != region.0 && !other.candidates.is_empty() {
                best.offer(score(block_hash, other.hash, weight(RegionIndex(at))), at);
            }
        }
        let mut ranked = best.first(2).map(RegionIndex);
        let Some(second) = ranked.next() else { return };
        let third = ranked.next();
        let before = chosen.len();
        let from_second = if third.is_some() { most.saturating_sub(1) } else { most };
        self.pick(second, block_hash, from_second, chosen);
        if let Some(third) = third {
            let entries = &self.regions[usize::from(third.0)];
            // The last address is rarely used, so its order may change with the number of VMs.
            let count = entries.candidates.len() as u128;
            let place = (u128::from(mix(block_hash, entries.hash)) * count) >> 64;
            chosen.push(entries.first + place as u16);
        }
        chosen.truncate(before + most);
    }
}

/// The three candidates with the highest scores, each as the bits of its score and its position
/// plus one. Positive floats compare like their bits, so that three maxima need no branches.
#[derive(Clone, Copy, Debug, Default)]
struct Top3 {
    best: [u64; 3],
}

impl Top3 {
    fn offer(&mut self, score: f32, at: u16) {
        let offered = (u64::from(score.to_bits()) << 32) | (u64::from(at) + 1);
        let [first, second, third] = self.best;
        let not_first = first.min(offered);
        let not_second = second.min(not_first);
        self.best = [first.max(offered), second.max(not_first), third.max(not_second)];
    }

    /// Returns the score of a rank from 1 to 3, 0 if there are fewer candidates.
    fn score(&self, rank: usize) -> f32 {
        let ranked = rank.checked_sub(1).and_then(|at| self.best.get(at));
        ranked.map_or(0.0, |best| f32::from_bits((best >> 32) as u32))
    }

    /// Returns the positions of the best candidates, at most three.
    fn first(&self, most: usize) -> impl Iterator<Item = u16> + use<> {
        let known = self.best.into_iter().take(most).filter(|best| *best != 0);
        known.map(|best| ((best & 0xffff_ffff) - 1) as u16)
    }
}

/// Rounds a headroom up to steps relative to the largest; a VM without headroom stays possible.
fn rounded_weight(headroom: f32, largest: f32) -> f32 {
    if largest <= 0.0 {
        return 1.0;
    }
    (headroom / largest * WEIGHT_STEPS).ceil().clamp(0.125, WEIGHT_STEPS)
}
