//! Entry VMs by region, and their ranking for a block.

use std::mem::size_of;

use celerygate_types::{RegionId, VmId};
use smallvec::SmallVec;
use smol_str::SmolStr;

use super::rendezvous::{id_hash, min_hash, mix, score};
use super::{RegionCapacity, RegionIndex};

/// Number of steps to which VM weights are rounded, so that small changes of a measurement do not
/// change the order of answers.
const WEIGHT_STEPS: f32 = 8.0;

/// Average number of candidates for which the full score, which needs a logarithm, is computed.
/// With 8, more than 98% of the blocks find 3 VMs among them; for other blocks all scores are
/// computed.
const EXPECTED_SHORTLISTED: f32 = 8.0;
/// Size of the shortlist; more candidates than this rarely pass the threshold.
const SHORTLIST_SIZE: usize = 32;

/// State of an entry VM as known to the daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct EntryVmState {
    /// Id of the VM.
    pub vm: VmId,
    /// Address for callers.
    pub address: SmolStr,
    /// Region of the VM.
    pub region: RegionId,
    /// Whether the VM accepts new requests: its heartbeats are recent, it is serving, and it is not
    /// drained.
    pub serving: bool,
    /// Headroom for requests, in any unit that is the same for all VMs.
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
    /// Score that [`EXPECTED_SHORTLISTED`] candidates reach on average.
    score_threshold: f32,
    hash: u64,
    /// Index of the region's first VM in `EntryTable::vms`.
    first_index: u16,
    candidates: Vec<Candidate>,
}

#[derive(Clone, Copy, Debug)]
struct Candidate {
    hash: u64,
    /// Smallest combined hash that can reach the score threshold of the region.
    min_hash: u64,
    weight: f32,
}

/// Table of the serving entry VMs; rebuilt when a heartbeat changes the state of a VM.
#[derive(Clone, Debug, Default)]
pub struct EntryTable {
    regions: Vec<RegionEntries>,
    vms: Vec<EntryVmInfo>,
}

impl EntryTable {
    /// Builds the table for the configured regions; VMs that are not serving are omitted.
    pub fn new(regions: &[RegionId], vm_states: &[EntryVmState]) -> Self {
        let mut table = Self::default();
        for (index, region) in regions.iter().enumerate() {
            let mut serving: Vec<&EntryVmState> =
                vm_states.iter().filter(|state| state.serving && state.region == *region).collect();
            // Equal scores are ordered by index, so the order of the VMs must be the same on all
            // daemons.
            serving.sort_by(|one, other| one.vm.cmp(&other.vm));
            let largest = serving.iter().map(|state| state.headroom).fold(0.0, f32::max);
            let first_index = u16::try_from(table.vms.len()).unwrap_or(u16::MAX);
            let mut candidates = Vec::with_capacity(serving.len());
            for state in serving {
                candidates.push(Candidate {
                    hash: id_hash(state.vm.as_str()),
                    min_hash: 0,
                    weight: rounded_weight(state.headroom, largest),
                });
                table.vms.push(EntryVmInfo {
                    vm: state.vm.clone(),
                    address: state.address.clone(),
                    region: RegionIndex(u16::try_from(index).unwrap_or(u16::MAX)),
                });
            }
            let total: f32 = candidates.iter().map(|candidate| candidate.weight).sum();
            let score_threshold = total / EXPECTED_SHORTLISTED;
            for candidate in &mut candidates {
                candidate.min_hash = min_hash(candidate.weight, score_threshold);
            }
            table.regions.push(RegionEntries {
                region: region.clone(),
                score_threshold,
                hash: id_hash(region.as_str()),
                first_index,
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

    /// Returns the index of a region.
    pub fn region_index(&self, region: &RegionId) -> Option<RegionIndex> {
        let index = self.regions.iter().position(|known| known.region == *region)?;
        u16::try_from(index).ok().map(RegionIndex)
    }

    /// Returns the id of a region.
    pub fn region(&self, index: RegionIndex) -> &RegionId {
        &self.regions[usize::from(index.0)].region
    }

    /// Returns whether a region has no serving VM.
    pub fn is_lost(&self, index: RegionIndex) -> bool {
        self.regions.get(usize::from(index.0)).is_none_or(|region| region.candidates.is_empty())
    }

    /// Returns the heap size of the table in bytes, without strings of more than 23 bytes.
    pub fn heap_bytes(&self) -> usize {
        let candidates: usize =
            self.regions.iter().map(|region| region.candidates.capacity()).sum();
        self.regions.capacity() * size_of::<RegionEntries>()
            + candidates * size_of::<Candidate>()
            + self.vms.capacity() * size_of::<EntryVmInfo>()
    }

    /// Returns the home region of a block that is not configured. It does not depend on which
    /// regions are serving.
    pub(super) fn default_region(&self, block_hash: u64) -> Option<RegionIndex> {
        self.best_weighted(block_hash, |_| 1.0)
    }

    /// Selects one of the serving regions, with a probability in proportion to its weight.
    pub(super) fn best_region(
        &self,
        block_hash: u64,
        weight: impl Fn(RegionIndex) -> f32,
    ) -> Option<RegionIndex> {
        self.best_weighted(
            block_hash,
            |region| if self.is_lost(region) { 0.0 } else { weight(region) },
        )
    }

    fn best_weighted(
        &self,
        block_hash: u64,
        weight: impl Fn(RegionIndex) -> f32,
    ) -> Option<RegionIndex> {
        let mut best = Top3::default();
        for (index, region) in (0_u16..).zip(&self.regions) {
            let weight = weight(RegionIndex(index));
            if weight > 0.0 {
                best.offer(score(block_hash, region.hash, weight), index);
            }
        }
        best.indices(1).next().map(RegionIndex)
    }

    /// Appends at most `limit` VMs of a region, ranked for a block, best first.
    pub(super) fn select<const N: usize>(
        &self,
        region: RegionIndex,
        block_hash: u64,
        limit: usize,
        chosen: &mut SmallVec<[u16; N]>,
    ) where
        [u16; N]: smallvec::Array<Item = u16>,
    {
        let Some(entries) = self.regions.get(usize::from(region.0)) else { return };
        let mut best = Top3::default();
        // Branch-free filter: every index is written, and kept only if it passes. A branch would be
        // mispredicted for most of the indices that pass.
        let (mut shortlist, mut count) = ([0_u16; SHORTLIST_SIZE], 0_usize);
        for (index, candidate) in (0_u16..).zip(&entries.candidates) {
            shortlist[count % SHORTLIST_SIZE] = index;
            count += usize::from(mix(block_hash, candidate.hash) >= candidate.min_hash);
        }
        let mut offer = |index: u16| {
            let candidate = &entries.candidates[usize::from(index)];
            best.offer(
                score(block_hash, candidate.hash, candidate.weight),
                entries.first_index + index,
            );
        };
        if count <= SHORTLIST_SIZE {
            shortlist[..count].iter().copied().for_each(&mut offer);
        }
        // A candidate below its minimum hash has a score below the threshold.
        if count > SHORTLIST_SIZE || best.score(limit) < entries.score_threshold {
            best = Top3::default();
            for (index, candidate) in (entries.first_index..).zip(&entries.candidates) {
                best.offer(score(block_hash, candidate.hash, candidate.weight), index);
            }
        }
        chosen.extend(best.indices(limit));
    }

    /// Appends at most `limit` VMs of other regions. One region is selected by headroom; the last
    /// VM is from a third region, so that one address remains after the loss of two regions.
    pub(super) fn select_fallback<const N: usize>(
        &self,
        region: RegionIndex,
        block_hash: u64,
        capacities: &[RegionCapacity],
        limit: usize,
        chosen: &mut SmallVec<[u16; N]>,
    ) where
        [u16; N]: smallvec::Array<Item = u16>,
    {
        // Regions without headroom keep a small weight: their entry VMs can forward to other
        // regions.
        let weight = |other: RegionIndex| {
            capacities
                .get(usize::from(other.0))
                .map_or(0.0, RegionCapacity::headroom_slots)
                .max(0.001)
        };
        let mut best = Top3::default();
        for (index, other) in (0_u16..).zip(&self.regions) {
            if index != region.0 && !other.candidates.is_empty() {
                best.offer(score(block_hash, other.hash, weight(RegionIndex(index))), index);
            }
        }
        let mut ranked = best.indices(2).map(RegionIndex);
        let Some(second) = ranked.next() else { return };
        let third = ranked.next();
        let before = chosen.len();
        let from_second = if third.is_some() { limit.saturating_sub(1) } else { limit };
        self.select(second, block_hash, from_second, chosen);
        if let Some(third) = third {
            let entries = &self.regions[usize::from(third.0)];
            // The last address is rarely used, so it may change with the number of VMs.
            let count = entries.candidates.len() as u128;
            let position = (u128::from(mix(block_hash, entries.hash)) * count) >> 64;
            chosen.push(entries.first_index + position as u16);
        }
        chosen.truncate(before + limit);
    }
}

/// The three candidates with the highest scores, each as the bits of its score and its index plus
/// one. Positive floats compare like their bits, so finding the three maxima needs no branches.
#[derive(Clone, Copy, Debug, Default)]
struct Top3 {
    best: [u64; 3],
}

impl Top3 {
    fn offer(&mut self, score: f32, index: u16) {
        let offered = (u64::from(score.to_bits()) << 32) | (u64::from(index) + 1);
        let [first, second, third] = self.best;
        let not_first = first.min(offered);
        let not_second = second.min(not_first);
        self.best = [first.max(offered), second.max(not_first), third.max(not_second)];
    }

    /// Returns the score of a rank from 1 to 3; 0 if there are fewer candidates.
    fn score(&self, rank: usize) -> f32 {
        let ranked = rank.checked_sub(1).and_then(|index| self.best.get(index));
        ranked.map_or(0.0, |best| f32::from_bits((best >> 32) as u32))
    }

    /// Returns the indices of the best candidates, at most three.
    fn indices(&self, limit: usize) -> impl Iterator<Item = u16> + use<> {
        let known = self.best.into_iter().take(limit).filter(|best| *best != 0);
        known.map(|best| ((best & 0xffff_ffff) - 1) as u16)
    }
}

/// Returns the headroom relative to the largest one, rounded up to one of [`WEIGHT_STEPS`] steps. A
/// VM without headroom keeps a weight of 1/8 step, so that it can still be selected.
fn rounded_weight(headroom: f32, largest: f32) -> f32 {
    if largest <= 0.0 {
        return 1.0;
    }
    (headroom / largest * WEIGHT_STEPS).ceil().clamp(0.125, WEIGHT_STEPS)
}
