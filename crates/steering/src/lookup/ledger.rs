//! Answers that are not yet visible in the measured headroom.

use std::time::{Duration, Instant};

use super::{EntryTable, RegionIndex, RegionRoom};

/// Time for which callers cache an answer.
pub const CACHE_TIME: Duration = Duration::from_secs(5);
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
#[derive(Clone, Debug)]
pub struct AnswerLedger {
    start: Instant,
    newest: u64,
    charged: Vec<[f32; BUCKETS]>,
}

impl AnswerLedger {
    /// Returns a ledger without answers.
    pub fn new(regions: usize, now: Instant) -> Self {
        Self { start: now, newest: 0, charged: vec![[0.0; BUCKETS]; regions] }
    }

    /// Counts an answer that sends a caller to a substitute region.
    pub fn charge(&mut self, region: RegionIndex, slots: f32, now: Instant) {
        self.advance(now);
        let at = usize::from(region.0);
        if at >= self.charged.len() {
            self.charged.resize(at + 1, [0.0; BUCKETS]);
        }
        self.charged[at][index(self.newest)] += slots.max(0.0);
    }

    /// Returns the slots that answers added between two ages in seconds, the younger included.
    fn sum(&self, region: RegionIndex, younger: u64, older: u64, now: Instant) -> f32 {
        let Some(charged) = self.charged.get(usize::from(region.0)) else { return 0.0 };
        let newest = self.sequence(now);
        let is_kept =
            |sequence: &u64| *sequence <= self.newest && self.newest - *sequence < BUCKETS as u64;
        let sequences = (younger..older).filter_map(|age| newest.checked_sub(age));
        sequences.filter(is_kept).map(|sequence| charged[index(sequence)]).sum()
    }

    /// Returns the slots that recent answers add and measurements may not show yet.
    pub fn outstanding(&self, region: RegionIndex, now: Instant) -> f32 {
        let growth = self.sum(region, 0, RECENT, now) - self.sum(region, RECENT, 2 * RECENT, now);
        growth.max(0.0)
    }

    /// Returns the slots of callers whose answers have expired and who have not asked again.
    pub fn expected_again(&self, region: RegionIndex, now: Instant) -> f32 {
        let expired = self.sum(region, CACHED, 2 * CACHED, now);
        (expired - self.sum(region, 0, CACHED, now)).max(0.0)
    }

    /// Returns the slots that this daemon may still fill in a region by its answers.
    ///
    /// Daemons do not know of each other's recent answers, so each uses an equal part of the
    /// headroom.
    pub fn left(
        &self,
        entries: &EntryTable,
        room: &[RegionRoom],
        region: RegionIndex,
        now: Instant,
    ) -> f32 {
        let Some(room) = room.get(usize::from(region.0)) else { return 0.0 };
        let part = room.headroom_slots().max(0.0) / entries.vms().len().max(1) as f32;
        let left = (part - self.outstanding(region, now)).max(self.expected_again(region, now));
        // Half an answer covers the rounding of the sums.
        if left * 2.0 >= room.slots_per_answer { left } else { 0.0 }
    }

    fn sequence(&self, now: Instant) -> u64 {
        now.saturating_duration_since(self.start).as_secs().max(self.newest)
    }

    fn advance(&mut self, now: Instant) {
        let newest = self.sequence(now);
        for sequence in (self.newest + 1..=newest).take(BUCKETS) {
            for charged in &mut self.charged {
                charged[index(sequence)] = 0.0;
            }
        }
        self.newest = newest;
    }
}

fn index(sequence: u64) -> usize {
    (sequence % BUCKETS as u64) as usize
}
