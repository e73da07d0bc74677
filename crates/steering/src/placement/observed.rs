//! What a VM observes of a target: its load, its failures, and the objects that it has handled.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Objects of a target that are remembered as known to it.
pub(super) const KNOWN_OBJECTS: usize = 64;
/// Time for which a target's report of its load counts.
pub(super) const REPORT_AGE_MAX: Duration = Duration::from_millis(1_000);
/// First time for which a target is avoided after a failure; it doubles with each further one.
pub(super) const AVOID_FIRST: Duration = Duration::from_millis(500);
/// Longest such time.
const AVOID_MAX: Duration = Duration::from_secs(8);
/// Weight of the latest answer in the average share of failures.
const FAILURE_WEIGHT: f64 = 0.1;

/// What this VM has observed of a target.
#[derive(Clone, Debug)]
pub struct TargetStats {
    /// Requests of this VM that are at the target.
    pub in_flight: u32,
    /// Requests of this VM that wait here until the target has room.
    pub waiting: u32,
    /// Requests of other VMs at the target, from its latest report.
    others: f64,
    reported_at: Option<Instant>,
    failures_in_row: u32,
    failure_share: f64,
    avoided_until: Option<Instant>,
    /// Objects that it has handled, the latest one last.
    objects: VecDeque<u64>,
    /// Objects that it does not know and of which a request is under way.
    arriving: Vec<u64>,
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

impl Default for TargetStats {
    fn default() -> Self {
        Self {
            in_flight: 0,
            waiting: 0,
            others: 0.0,
            reported_at: None,
            failures_in_row: 0,
            failure_share: 0.0,
            avoided_until: None,
            objects: VecDeque::new(),
            arriving: Vec::new(),
        }
    }
}

impl TargetStats {
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
            self.avoided_until = None;
            return;
        }
        self.failures_in_row += 1;
        if end == AttemptEnd::Failed {
            let doublings = self.failures_in_row.saturating_sub(1).min(8);
            let avoid = (AVOID_FIRST * 2_u32.pow(doublings)).min(AVOID_MAX);
            self.avoided_until = Some(now + avoid);
        }
    }

    /// Remembers that the target has handled an object.
    pub fn record_object(&mut self, object: u64) {
        if let Some(position) = self.objects.iter().rposition(|known| *known == object) {
            self.objects.remove(position);
        } else if self.objects.len() == KNOWN_OBJECTS {
            self.objects.pop_front();
        }
        self.objects.push_back(object);
    }

    /// Notes that the first request for an object is under way; returns false for a known object.
    pub fn begin_first_request(&mut self, object: u64) -> bool {
        let is_first = !self.knows(object);
        if is_first {
            self.arriving.push(object);
        }
        is_first
    }

    /// Notes that a request that was noted as the first has ended.
    pub fn end_first_request(&mut self, object: u64) {
        if let Some(position) = self.arriving.iter().position(|arriving| *arriving == object) {
            self.arriving.swap_remove(position);
        }
    }

    /// Returns whether a first request for an object is under way.
    pub fn is_first_request_pending(&self, object: u64) -> bool {
        self.arriving.contains(&object)
    }

    /// Returns whether the target has handled an object recently.
    pub fn knows(&self, object: u64) -> bool {
        self.objects.contains(&object)
    }

    /// Returns the average share of attempts that failed or were rejected lately.
    pub fn failure_share(&self) -> f64 {
        self.failure_share
    }

    /// Returns whether the target is avoided because of recent failures.
    pub fn is_avoided(&self, now: Instant) -> bool {
        self.avoided_until.is_some_and(|until| now < until)
    }
}
