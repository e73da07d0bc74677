//! Statistics that a VM keeps about a target: load, failures, and recently handled objects.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use celerygate_types::SlotCount;

/// Objects per target that are remembered as known.
pub(super) const MAX_KNOWN_OBJECTS: usize = 64;
/// Maximum age of a load report.
pub(super) const MAX_REPORT_AGE: Duration = Duration::from_millis(1_000);
/// How long a target is avoided after a first failure; doubles with each consecutive failure.
pub(super) const INITIAL_AVOID_TIME: Duration = Duration::from_millis(500);
/// Upper limit of the time for which a target is avoided.
const MAX_AVOID_TIME: Duration = Duration::from_secs(8);
/// Weight of the latest attempt in the moving average of failures.
const FAILURE_EWMA_WEIGHT: f64 = 0.1;

/// Statistics of one target, as observed by this VM.
#[derive(Clone, Debug)]
pub struct TargetStats {
    /// Requests of this VM that are at the target.
    pub in_flight: u32,
    /// Requests that are queued at this VM until the target has capacity.
    pub waiting: u32,
    /// Requests of other VMs at the target, from its latest report.
    other_requests: f64,
    reported_at: Option<Instant>,
    consecutive_failures: u32,
    failure_share: f64,
    avoided_until: Option<Instant>,
    /// Objects that the target has handled, most recent last.
    objects: VecDeque<u64>,
    /// Unknown objects whose first request is in progress.
    pending_first_requests: Vec<u64>,
}

/// How an attempt at a target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The target sent a usable response.
    Answered,
    /// The target rejected the request without running it.
    Rejected,
    /// The target rejected the request or failed, and asked for a pause; not counted for or against
    /// the target.
    Paused,
    /// There was no usable response.
    Failed,
    /// The deadline passed; not counted for or against the target.
    Expired,
    /// The caller disconnected; not counted for or against the target.
    Abandoned,
}

/// Load that a target reports in its responses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests in execution.
    pub running: u32,
    /// Queued requests.
    pub waiting: u32,
}

impl ReportedLoad {
    /// Largest number of queued requests that is believed. Targets queue a few requests per slot.
    const WAITING_MAX: u32 = SlotCount::MAX.0;

    /// Returns the load if a sound target can have it: no more requests in execution than it has
    /// slots, as far as they are known, and a queue of a plausible length.
    pub fn checked(running: u32, waiting: u32, slots: Option<SlotCount>) -> Option<Self> {
        let slots = slots.unwrap_or(SlotCount::MAX).min(SlotCount::MAX);
        let is_possible = running <= slots.get() && waiting <= Self::WAITING_MAX;
        is_possible.then_some(Self { running, waiting })
    }

    /// Returns the requests in execution and in the queue.
    pub fn total(self) -> u32 {
        self.running.saturating_add(self.waiting)
    }
}

impl Default for TargetStats {
    fn default() -> Self {
        Self {
            in_flight: 0,
            waiting: 0,
            other_requests: 0.0,
            reported_at: None,
            consecutive_failures: 0,
            failure_share: 0.0,
            avoided_until: None,
            objects: VecDeque::new(),
            pending_first_requests: Vec::new(),
        }
    }
}

impl TargetStats {
    /// Returns the known requests of all VMs at the target. Requests of other VMs count only while
    /// the latest load report is recent.
    pub fn load(&self, now: Instant) -> f64 {
        let other_requests = match self.reported_at {
            Some(at) if now.saturating_duration_since(at) < MAX_REPORT_AGE => self.other_requests,
            _ => 0.0,
        };
        f64::from(self.in_flight) + other_requests
    }

    /// Records the load reported with a response; that request must no longer count as in flight.
    pub fn report(&mut self, load: ReportedLoad, now: Instant) {
        let total = f64::from(load.total());
        self.other_requests = (total - f64::from(self.in_flight)).max(0.0);
        self.reported_at = Some(now);
    }

    /// Records the end of an attempt.
    pub fn record_attempt_end(&mut self, end: AttemptEnd, now: Instant) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.record_result(end, now);
    }

    /// Records a failure after the end of its attempt was recorded, while the response was passed
    /// on.
    pub fn record_late_failure(&mut self, now: Instant) {
        self.record_result(AttemptEnd::Failed, now);
    }

    fn record_result(&mut self, end: AttemptEnd, now: Instant) {
        let failed = match end {
            AttemptEnd::Abandoned | AttemptEnd::Expired | AttemptEnd::Paused => return,
            AttemptEnd::Answered => false,
            AttemptEnd::Rejected | AttemptEnd::Failed => true,
        };
        self.failure_share +=
            FAILURE_EWMA_WEIGHT * (f64::from(u8::from(failed)) - self.failure_share);
        if !failed {
            self.consecutive_failures = 0;
            self.avoided_until = None;
            return;
        }
        self.consecutive_failures += 1;
        if end == AttemptEnd::Failed {
            let doublings = self.consecutive_failures.saturating_sub(1).min(8);
            let avoid_time = (INITIAL_AVOID_TIME * 2_u32.pow(doublings)).min(MAX_AVOID_TIME);
            self.avoided_until = Some(now + avoid_time);
        }
    }

    /// Records that the target has handled an object; the least recent object is evicted.
    pub fn record_object(&mut self, object: u64) {
        if let Some(position) = self.objects.iter().rposition(|known| *known == object) {
            self.objects.remove(position);
        } else if self.objects.len() == MAX_KNOWN_OBJECTS {
            self.objects.pop_front();
        }
        self.objects.push_back(object);
    }

    /// Records that the first request for an object has started. Returns false, and records
    /// nothing, if the target knows the object.
    pub fn begin_first_request(&mut self, object: u64) -> bool {
        let is_first = !self.knows(object);
        if is_first {
            self.pending_first_requests.push(object);
        }
        is_first
    }

    /// Records that the first request for an object has ended.
    pub fn end_first_request(&mut self, object: u64) {
        if let Some(position) =
            self.pending_first_requests.iter().position(|pending| *pending == object)
        {
            self.pending_first_requests.swap_remove(position);
        }
    }

    /// Returns whether the first request for an object is in progress.
    pub fn is_first_request_pending(&self, object: u64) -> bool {
        self.pending_first_requests.contains(&object)
    }

    /// Returns whether the target has handled an object recently.
    pub fn knows(&self, object: u64) -> bool {
        self.objects.contains(&object)
    }

    /// Returns the moving average of the share of attempts that failed or were rejected.
    pub fn failure_share(&self) -> f64 {
        self.failure_share
    }

    /// Returns whether the target is avoided because of recent failures.
    pub fn is_avoided(&self, now: Instant) -> bool {
        self.avoided_until.is_some_and(|until| now < until)
    }
}
