//! Answers that are not yet visible in the measured headroom.

use std::time::{Duration, Instant};

use super::{EntryTable, RegionIndex, RegionRoom};

/// Time for which callers cache an answer.
pub const CACHE_TIME: Duration = Duration::from_secs(5);
/// Time until the load of a caller appears in the measurements.
pub const MEASUREMENT_LAG: Duration = Duration::from_secs(1);

/// Buckets of one second that together last for the cache time and the measurement lag.
const RECENT: u64 = 6;
const BUCKETS: usize = 12;

/// Slots that this daemon's recent answers add to regions which the route does not name.
///
/// A caller that was sent to a substitute region asks again every 5 s, when its load is already
/// measured. Only the growth from one period of 6 s to the next is therefore held against the
/// headroom.
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

    /// Returns the slots that recent answers add and measurements do not show yet.
    pub fn outstanding(&self, region: RegionIndex, now: Instant) -> f32 {
        let Some(charged) = self.charged.get(usize::from(region.0)) else { return 0.0 };
        let newest = self.sequence(now);
        let oldest_kept = self.newest.saturating_sub(BUCKETS as u64 - 1);
        let sum = |from: u64, to: u64| -> f32 {
            let kept = from.max(oldest_kept)..=to.min(self.newest);
            kept.map(|sequence| charged[index(sequence)]).sum()
        };
        let recent_from = newest.saturating_sub(RECENT - 1);
        let recent = sum(recent_from, newest);
        if recent_from == 0 {
            return recent;
        }
        let before = sum(recent_from.saturating_sub(RECENT), recent_from - 1);
        (recent - before).max(0.0)
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
        let part = room.headroom_slots() / entries.vms().len().max(1) as f32;
        part - self.outstanding(region, now) - room.slots_per_answer.max(0.0)
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
