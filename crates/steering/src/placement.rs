//! Placement of requests on targets: objects stay on the targets that know them, as long as these
//! have room.
//!
//! All entry VMs order the targets of an object in the same way, so an object keeps its targets
//! without any message about it. A target above its bound passes the object on to the next one in
//! the order, and a data centre without room to the next nearest one.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use celerygate_types::{SlotCount, TargetId};

use crate::lookup::rendezvous;
use crate::targets::Distance;

/// Targets of an object's order that are tried in each group of equally distant targets.
const TARGETS_PER_OBJECT: usize = 2;
/// Requests per slot up to which an object stays with a target that knows it. Such a target takes a
/// part of the time, so a short wait there is shorter than the work elsewhere.
const FILL_FOR_OBJECT: f64 = 1.25;
/// Requests per slot up to which a target takes any request.
const FILL_FOR_ANY: f64 = 1.0;
/// Requests per slot up to which requests wait at a target when no slot is free anywhere.
const FILL_WITH_QUEUE: f64 = 1.5;
/// Time for which a target's report of its load counts.
const REPORT_AGE_MAX: Duration = Duration::from_millis(1_000);
/// First time for which a target is avoided after a failure; it doubles with each further one.
const AVOID_FIRST: Duration = Duration::from_millis(500);
/// Longest such time.
const AVOID_MAX: Duration = Duration::from_secs(8);
/// Weight of the latest answer in the average share of failures.
const FAILURE_WEIGHT: f64 = 0.1;
/// Average share of failures above which a target is avoided although it answers.
const FAILURE_SHARE_MAX: f64 = 0.3;

/// What this VM has observed of a target.
#[derive(Clone, Debug)]
pub struct Observed {
    /// Requests of this VM that are at the target.
    pub in_flight: u32,
    /// Requests of other VMs at the target, from its latest report.
    others: f64,
    reported_at: Option<Instant>,
    failures_in_row: u32,
    failure_share: f64,
    avoided_until: Option<Instant>,
}

/// How an attempt at a target ended, for its observation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The target answered.
    Answered,
    /// The target rejected the request without running it.
    Rejected,
    /// There was no usable answer.
    Failed,
    /// The caller left or the deadline passed; this says nothing about the target.
    Abandoned,
}

/// Load that a target states of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
}

impl Default for Observed {
    fn default() -> Self {
        Self {
            in_flight: 0,
            others: 0.0,
            reported_at: None,
            failures_in_row: 0,
            failure_share: 0.0,
            avoided_until: None,
        }
    }
}

impl Observed {
    /// Returns the requests at the target, over all VMs, as far as they are known.
    pub fn load(&self, now: Instant) -> f64 {
        let others = match self.reported_at {
            Some(at) if now.saturating_duration_since(at) < REPORT_AGE_MAX => self.others,
            _ => 0.0,
        };
        f64::from(self.in_flight) + others
    }

    /// Takes the load that came with an answer; the answered request is no longer in flight.
    pub fn report(&mut self, load: ReportedLoad, now: Instant) {
        let total = f64::from(load.running + load.waiting);
        self.others = (total - f64::from(self.in_flight)).max(0.0);
        self.reported_at = Some(now);
    }

    /// Counts the end of an attempt.
    pub fn end(&mut self, end: AttemptEnd, now: Instant) {
        self.in_flight = self.in_flight.saturating_sub(1);
        let failed = match end {
            AttemptEnd::Abandoned => return,
            AttemptEnd::Answered => false,
            AttemptEnd::Rejected | AttemptEnd::Failed => true,
        };
        self.failure_share += FAILURE_WEIGHT * (f64::from(u8::from(failed)) - self.failure_share);
        if !failed {
            self.failures_in_row = 0;
            if self.failure_share < FAILURE_SHARE_MAX {
                self.avoided_until = None;
            }
            return;
        }
        self.failures_in_row += 1;
        if end == AttemptEnd::Failed || self.failure_share > FAILURE_SHARE_MAX {
            let doublings = self.failures_in_row.saturating_sub(1).min(8);
            let avoid = (AVOID_FIRST * 2_u32.pow(doublings)).min(AVOID_MAX);
            self.avoided_until = Some(now + avoid);
        }
    }

    /// Returns whether the target is avoided because of recent failures.
    pub fn is_avoided(&self, now: Instant) -> bool {
        self.avoided_until.is_some_and(|until| now < until)
    }
}

/// A target that may serve a request.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Id.
    pub instance: TargetId,
    /// Hash of the id.
    pub hash: u64,
    /// Distance from this VM.
    pub distance: Distance,
    /// Requests that it runs at the same time.
    pub slots: SlotCount,
    /// Requests at the target over all VMs.
    pub load: f64,
    /// Whether it failed recently or is silent.
    pub is_avoided: bool,
}

impl Candidate {
    fn fill(&self) -> f64 {
        self.load / f64::from(self.slots.get().max(1))
    }
}

/// Where a request goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement {
    /// To the candidate with this index; the reason is for logs.
    Send {
        /// Index of the candidate.
        index: usize,
        /// Why it was chosen.
        reason: PlacementReason,
    },
    /// Every candidate is full.
    Full,
    /// There is no candidate.
    NoTarget,
}

/// Why a target was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum PlacementReason {
    /// The object belongs to it.
    Object,
    /// It has a free slot.
    FreeSlot,
    /// No slot is free, and it has the shortest queue.
    ShortestQueue,
    /// Only avoided targets are left.
    LastResort,
}

/// Chooses a target for a request.
pub fn place(object: Option<u64>, candidates: &[Candidate]) -> Placement {
    if candidates.is_empty() {
        return Placement::NoTarget;
    }
    for distance in [Distance::DataCentre, Distance::Region, Distance::Remote] {
        let group = || {
            let in_group = |(_, candidate): &(usize, &Candidate)| {
                candidate.distance == distance && !candidate.is_avoided
            };
            candidates.iter().enumerate().filter(in_group)
        };
        if let Some(object) = object
            && let Some(index) = own_target(object, group())
        {
            return Placement::Send { index, reason: PlacementReason::Object };
        }
        if let Some(index) = emptiest(group(), FILL_FOR_ANY) {
            return Placement::Send { index, reason: PlacementReason::FreeSlot };
        }
    }
    let sound = candidates.iter().enumerate().filter(|(_, candidate)| !candidate.is_avoided);
    if let Some(index) = emptiest(sound, FILL_WITH_QUEUE) {
        return Placement::Send { index, reason: PlacementReason::ShortestQueue };
    }
    let avoided = candidates.iter().enumerate().filter(|(_, candidate)| candidate.is_avoided);
    match emptiest(avoided, FILL_FOR_ANY) {
        Some(index) => Placement::Send { index, reason: PlacementReason::LastResort },
        None => Placement::Full,
    }
}

/// Returns the first of an object's targets that has room.
fn own_target<'a>(
    object: u64,
    group: impl Iterator<Item = (usize, &'a Candidate)>,
) -> Option<usize> {
    let mut best: smallvec::SmallVec<[(f32, usize, &Candidate); TARGETS_PER_OBJECT]> =
        smallvec::SmallVec::new();
    for (index, candidate) in group {
        let weight = candidate.slots.get().max(1) as f32;
        let score = rendezvous::score(object, candidate.hash, weight);
        let position = best.iter().position(|(other, _, _)| score > *other).unwrap_or(best.len());
        if position < TARGETS_PER_OBJECT {
            if best.len() == TARGETS_PER_OBJECT {
                best.pop();
            }
            best.insert(position, (score, index, candidate));
        }
    }
    let has_room =
        |(_, _, candidate): &&(f32, usize, &Candidate)| candidate.fill() < FILL_FOR_OBJECT;
    best.iter().find(has_room).map(|(_, index, _)| *index)
}

fn emptiest<'a>(
    group: impl Iterator<Item = (usize, &'a Candidate)>,
    fill_max: f64,
) -> Option<usize> {
    let open = group.filter(|(_, candidate)| candidate.fill() < fill_max);
    open.min_by(|(_, a), (_, b)| a.fill().total_cmp(&b.fill())).map(|(index, _)| index)
}

/// A bucket of tokens that fills at a steady rate.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    level: f64,
    filled_at: Instant,
}

impl TokenBucket {
    /// Returns a bucket with one token.
    pub fn new(now: Instant) -> Self {
        Self { level: 1.0, filled_at: now }
    }

    /// Takes a token if there is one.
    pub fn take(&mut self, rate_per_s: f64, capacity: f64, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.filled_at).as_secs_f64();
        self.filled_at = self.filled_at.max(now);
        self.level = (self.level + elapsed * rate_per_s).min(capacity.max(1.0));
        let available = self.level >= 1.0;
        if available {
            self.level -= 1.0;
        }
        available
    }
}

/// Paces requests to cold targets, so that all VMs together stay within what such a target bears.
#[derive(Clone, Debug, Default)]
pub struct ColdPace {
    buckets: HashMap<TargetId, TokenBucket>,
}

impl ColdPace {
    /// Takes the right to send one request to a cold target; `senders` is the number of VMs that
    /// may send to it.
    pub fn take(
        &mut self,
        instance: &TargetId,
        cold_requests_per_s: f64,
        senders: usize,
        now: Instant,
    ) -> bool {
        let share = cold_requests_per_s / senders.max(1) as f64;
        if !self.buckets.contains_key(instance) {
            self.buckets.insert(instance.clone(), TokenBucket::new(now));
        }
        self.buckets.get_mut(instance).is_some_and(|bucket| bucket.take(share, 1.0, now))
    }

    /// Forgets targets that are no longer cold.
    pub fn retain(&mut self, mut keep: impl FnMut(&TargetId) -> bool) {
        self.buckets.retain(|instance, _| keep(instance));
    }
}

#[cfg(test)]
#[path = "placement_tests.rs"]
mod tests;
