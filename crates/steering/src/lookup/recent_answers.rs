//! Recent answers whose load is not yet included in the measured headroom.

use std::time::{Duration, Instant};

use super::{EntryTable, RegionCapacity, RegionIndex};

/// Time to live of an answer in the caches of callers.
pub const ANSWER_TTL: Duration = Duration::from_secs(5);
/// Delay until the load of a caller is included in the measurements.
pub const MEASUREMENT_LAG: Duration = Duration::from_secs(1);

/// Buckets of one second that cover [`ANSWER_TTL`].
const CACHED_BUCKETS: u64 = 5;
/// Buckets of one second that cover [`ANSWER_TTL`] and [`MEASUREMENT_LAG`].
const RECENT_BUCKETS: u64 = 6;
const BUCKET_COUNT: usize = 12;

/// Slots that this daemon's recent answers add to substitute regions.
///
/// A new caller is counted against the headroom for 6 s: it can start to use its answer until that
/// expires, and its load is included in the measurements a second later. A caller that repeats its
/// lookup after the answer expired is already part of the measured load. Answers for as many slots
/// as in the previous period are therefore given regardless of the headroom.
///
/// The sums are updated every second and with each answer, so that reading them is cheap.
#[derive(Clone, Debug)]
pub struct RecentAnswers {
    start: Instant,
    current_second: u64,
    regions: Vec<RegionAnswers>,
}

/// Slots that answers added to one region.
#[derive(Clone, Copy, Debug, Default)]
struct RegionAnswers {
    slots_by_second: [f32; BUCKET_COUNT],
    /// Slots of the last 6 s minus those of the 6 s before.
    growth: f32,
    /// Slots of expired answers minus those of cached answers.
    expected_renewals: f32,
}

impl RegionAnswers {
    /// Returns the slots of the answers whose age in seconds is at least `min_age` and below
    /// `max_age`.
    fn sum(&self, current_second: u64, min_age: u64, max_age: u64) -> f32 {
        let seconds = (min_age..max_age).filter_map(|age| current_second.checked_sub(age));
        seconds.map(|second| self.slots_by_second[bucket_index(second)]).sum()
    }
}

impl RecentAnswers {
    /// Returns a state without answers.
    pub fn new(regions: usize, now: Instant) -> Self {
        Self { start: now, current_second: 0, regions: vec![RegionAnswers::default(); regions] }
    }

    /// Advances to the second of `now`, to which the other methods refer.
    pub fn advance(&mut self, now: Instant) {
        let current_second = now.saturating_duration_since(self.start).as_secs();
        if current_second <= self.current_second {
            return;
        }
        for answers in &mut self.regions {
            for second in (self.current_second + 1..=current_second).take(BUCKET_COUNT) {
                answers.slots_by_second[bucket_index(second)] = 0.0;
            }
            let sum = |min_age, max_age| answers.sum(current_second, min_age, max_age);
            let (growth, renewals) = (
                sum(0, RECENT_BUCKETS) - sum(RECENT_BUCKETS, 2 * RECENT_BUCKETS),
                sum(CACHED_BUCKETS, 2 * CACHED_BUCKETS) - sum(0, CACHED_BUCKETS),
            );
            (answers.growth, answers.expected_renewals) = (growth, renewals);
        }
        self.current_second = current_second;
    }

    /// Records an answer that sends a caller to a substitute region.
    pub fn record(&mut self, region: RegionIndex, slots: f32) {
        if let Some(answers) = self.regions.get_mut(usize::from(region.0)) {
            answers.slots_by_second[bucket_index(self.current_second)] += slots.max(0.0);
            answers.growth += slots.max(0.0);
            answers.expected_renewals -= slots.max(0.0);
        }
    }

    /// Returns the slots of recent answers that may not be included in the measurements yet.
    pub fn unmeasured_slots(&self, region: RegionIndex) -> f32 {
        self.regions.get(usize::from(region.0)).map_or(0.0, |answers| answers.growth.max(0.0))
    }

    /// Returns the slots of callers whose answers expired and who have not repeated their lookup.
    pub fn expected_renewals(&self, region: RegionIndex) -> f32 {
        let answers = self.regions.get(usize::from(region.0));
        answers.map_or(0.0, |answers| answers.expected_renewals.max(0.0))
    }

    /// Returns the slots of a region that this daemon may still assign by its answers.
    ///
    /// Daemons do not know each other's recent answers, so each uses an equal share of the
    /// headroom.
    pub fn available_slots(
        &self,
        entries: &EntryTable,
        capacities: &[RegionCapacity],
        region: RegionIndex,
    ) -> f32 {
        let Some(capacity) = capacities.get(usize::from(region.0)) else { return 0.0 };
        let share = capacity.headroom_slots().max(0.0) / entries.vms().len().max(1) as f32;
        let available = (share - self.unmeasured_slots(region)).max(self.expected_renewals(region));
        // Half an answer is the tolerance for rounding errors of the sums.
        if available * 2.0 >= capacity.slots_per_answer { available } else { 0.0 }
    }
}

fn bucket_index(second: u64) -> usize {
    (second % BUCKET_COUNT as u64) as usize
}
