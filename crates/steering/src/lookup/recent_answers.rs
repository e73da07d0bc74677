//! Answers that are not yet visible in the measured headroom.

use std::time::{Duration, Instant};

use super::{EntryTable, RegionCapacity, RegionIndex};

/// Time for which callers cache an answer.
pub const ANSWER_TTL: Duration = Duration::from_secs(5);
/// Time until the load of a caller appears in the measurements.
pub const MEASUREMENT_LAG: Duration = Duration::from_secs(1);

/// Buckets of one second that together last for the cache time.
const CACHED: u64 = 5;
/// Buckets of one second that together last for the cache time and the measurement lag.
const RECENT: u64 = 6;
const BUCKETS: usize = 12;

/// Slots that this daemon's recent answers add to regions which the route does not name.
///
/// A new caller is held against the headroom for 6 s: it may begin to use its answer while that is
/// cached, and it takes a second to appear in the measurements. A caller that asks again after the
/// cache time is part of the measured load, so as many slots as were answered in the period
/// before are answered again without regard to the headroom.
///
/// Sums change with the second and with each answer, so that reading them costs no search.
#[derive(Clone, Debug)]
pub struct RecentAnswers {
    start: Instant,
    newest: u64,
    regions: Vec<Answers>,
}

/// Slots added to one region.
#[derive(Clone, Copy, Debug, Default)]
struct Answers {
    by_second: [f32; BUCKETS],
    /// Recent ones, less those of the period before.
    growth: f32,
    /// Expired ones, less those that are cached.
    expected_again: f32,
}

impl Answers {
    /// Returns the slots between two ages in seconds, the younger included.
    fn sum(&self, newest: u64, younger: u64, older: u64) -> f32 {
        let sequences = (younger..older).filter_map(|age| newest.checked_sub(age));
        sequences.map(|sequence| self.by_second[index(sequence)]).sum()
    }
}

impl RecentAnswers {
    /// Returns a ledger without answers.
    pub fn new(regions: usize, now: Instant) -> Self {
        Self { start: now, newest: 0, regions: vec![Answers::default(); regions] }
    }

    /// Moves on to the present second; the other functions then refer to it.
    pub fn advance(&mut self, now: Instant) {
        let newest = now.saturating_duration_since(self.start).as_secs();
        if newest <= self.newest {
            return;
        }
        for answers in &mut self.regions {
            for sequence in (self.newest + 1..=newest).take(BUCKETS) {
                answers.by_second[index(sequence)] = 0.0;
            }
            let sum = |younger, older| answers.sum(newest, younger, older);
            let (growth, again) = (
                sum(0, RECENT) - sum(RECENT, 2 * RECENT),
                sum(CACHED, 2 * CACHED) - sum(0, CACHED),
            );
            (answers.growth, answers.expected_again) = (growth, again);
        }
        self.newest = newest;
    }

    /// Counts an answer that sends a caller to a substitute region.
    pub fn charge(&mut self, region: RegionIndex, slots: f32) {
        if let Some(answers) = self.regions.get_mut(usize::from(region.0)) {
            answers.by_second[index(self.newest)] += slots.max(0.0);
            answers.growth += slots.max(0.0);
            answers.expected_again -= slots.max(0.0);
        }
    }

    /// Returns the slots that recent answers add and measurements may not show yet.
    pub fn outstanding(&self, region: RegionIndex) -> f32 {
        self.regions.get(usize::from(region.0)).map_or(0.0, |answers| answers.growth.max(0.0))
    }

    /// Returns the slots of callers whose answers have expired and who have not asked again.
    pub fn expected_again(&self, region: RegionIndex) -> f32 {
        let answers = self.regions.get(usize::from(region.0));
        answers.map_or(0.0, |answers| answers.expected_again.max(0.0))
    }

    /// Returns the slots that this daemon may still fill in a region by its answers.
    ///
    /// Daemons do not know of each other's recent answers, so each uses an equal part of the
    /// headroom.
    pub fn left(&self, entries: &EntryTable, room: &[RegionCapacity], region: RegionIndex) -> f32 {
        let Some(room) = room.get(usize::from(region.0)) else { return 0.0 };
        let part = room.headroom_slots().max(0.0) / entries.vms().len().max(1) as f32;
        let left = (part - self.outstanding(region)).max(self.expected_again(region));
        // Half an answer covers the rounding of the sums.
        if left * 2.0 >= room.slots_per_answer { left } else { 0.0 }
    }
}

fn index(sequence: u64) -> usize {
    (sequence % BUCKETS as u64) as usize
}
