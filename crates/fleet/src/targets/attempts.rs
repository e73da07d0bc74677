//! Requests of this VM that wait for a target or are at one.

use std::time::Duration;

use celerygate_steering::availability::TargetLife;
use celerygate_steering::placement::{
    AttemptEnd, LoadSignal, OverloadThrottle, ProcessingTimes, ReportedLoad, TargetStats,
};
use celerygate_types::{Incarnation, RegionId, ServiceId, SlotCount, TargetId};

use super::ChosenTarget;
use super::availability::log_change;
use crate::daemon::Daemon;

/// Added to two heartbeat intervals: a target that was unreachable and has not reported a restart
/// by then counts as warm. Covers the delay of a heartbeat's delivery.
const RESTART_REPORT_DELAY: Duration = Duration::from_millis(500);

/// Counts a request as waiting for a target until it is dropped.
pub struct TargetWaitGuard<'a> {
    daemon: &'a Daemon,
    instance: TargetId,
}

impl<'a> TargetWaitGuard<'a> {
    /// Counts a request as waiting for a target.
    pub fn begin(daemon: &'a Daemon, instance: TargetId) -> Self {
        let mut local = daemon.tables.targets.lock();
        local.stats.entry(instance.clone()).or_default().waiting += 1;
        drop(local);
        Self { daemon, instance }
    }
}

impl Drop for TargetWaitGuard<'_> {
    fn drop(&mut self) {
        let mut local = self.daemon.tables.targets.lock();
        if let Some(stats) = local.stats.get_mut(&self.instance) {
            stats.waiting = stats.waiting.saturating_sub(1);
        }
    }
}

/// A completed attempt, from which the average processing times are updated.
pub struct CompletedAttempt<'a> {
    /// Service of the request.
    pub service: &'a ServiceId,
    /// Hash of the object.
    pub object: Option<u64>,
    /// Target latency of the route.
    pub target_latency: Duration,
    /// Time from sending the request until the response was read or its streaming started.
    pub time: Duration,
}

/// An attempt at a target; dropping it counts the attempt as abandoned.
pub struct AttemptGuard<'a> {
    daemon: &'a Daemon,
    instance: TargetId,
    incarnation: Incarnation,
    group: (ServiceId, RegionId),
    slots: SlotCount,
    new_object: Option<u64>,
    completed: bool,
}

impl<'a> AttemptGuard<'a> {
    /// Creates the guard for a request that [`super::choose`] has counted.
    pub fn new(daemon: &'a Daemon, chosen: &ChosenTarget) -> Self {
        Self {
            daemon,
            instance: chosen.instance.clone(),
            incarnation: chosen.incarnation,
            group: chosen.group.clone(),
            slots: chosen.slots,
            new_object: chosen.new_object,
            completed: false,
        }
    }

    /// Records the end of the attempt and the load that the target reported.
    pub fn end(mut self, end: AttemptEnd, load: Option<ReportedLoad>) {
        self.completed = true;
        self.record(end, load);
    }

    /// Records the processing time of a completed request.
    pub fn record_time(&self, chosen: &ChosenTarget, completed: &CompletedAttempt<'_>) {
        let mut local = self.daemon.tables.targets.lock();
        if let Some(object) = completed.object {
            local.stats.entry(self.instance.clone()).or_default().record_object(object);
        }
        if !chosen.had_free_slot {
            return;
        }
        if !local.processing_times.contains_key(completed.service) {
            local.processing_times.insert(
                completed.service.clone(),
                ProcessingTimes::initial_estimate(completed.target_latency),
            );
        }
        if let Some(times) = local.processing_times.get_mut(completed.service) {
            times.observe(completed.time, chosen.knows_object);
        }
    }

    /// Records a failed connection. The target may be restarting and is then cold, so it is treated
    /// as cold until its report would have arrived.
    pub fn end_unreachable(mut self) {
        self.completed = true;
        self.record(AttemptEnd::Failed, None);
        let now = self.daemon.now();
        let until = now + self.daemon.heartbeat() * 2 + RESTART_REPORT_DELAY;
        let mut local = self.daemon.tables.targets.lock();
        local.suspected_cold_until.insert(self.instance.clone(), until);
    }

    fn record(&self, end: AttemptEnd, load: Option<ReportedLoad>) {
        let now = self.daemon.now();
        let mut local = self.daemon.tables.targets.lock();
        let stats: &mut TargetStats = local.stats.entry(self.instance.clone()).or_default();
        stats.record_attempt_end(end, now);
        if let Some(object) = self.new_object {
            stats.end_first_request(object);
        }
        if let Some(load) = load {
            stats.report(load, now);
        }
        if let Some(signal) = load_signal(end, load, self.slots) {
            let throttle = local.throttles.entry(self.group.clone());
            throttle.or_insert_with(|| OverloadThrottle::new(now)).record(signal, now);
        }
        let life = || TargetLife { target: self.instance.clone(), incarnation: self.incarnation };
        let resumed = (end == AttemptEnd::Answered && !local.availability.is_empty())
            .then(|| local.availability.record_response(&life(), self.slots, now))
            .flatten();
        drop(local);
        if let Some(change) = resumed {
            log_change(&self.instance, Some(self.incarnation), "", change, now);
        }
        self.daemon.tables.attempt_ended.notify_waiters();
    }
}

/// Returns what the end of an attempt tells about the load of the target's group, if anything. A
/// target that rejects requests although it has a free slot is faulty and not overloaded.
fn load_signal(
    end: AttemptEnd,
    load: Option<ReportedLoad>,
    slots: SlotCount,
) -> Option<LoadSignal> {
    match (end, load) {
        (AttemptEnd::Rejected, Some(load)) if load.total() < slots.get() => None,
        (AttemptEnd::Rejected | AttemptEnd::Expired, _) => Some(LoadSignal::Overloaded),
        (AttemptEnd::Answered, Some(load)) => Some(LoadSignal::of_load(load.total(), slots.get())),
        (AttemptEnd::Answered, None) => Some(LoadSignal::Served),
        (AttemptEnd::Paused | AttemptEnd::Failed | AttemptEnd::Abandoned, _) => None,
    }
}

impl Drop for AttemptGuard<'_> {
    fn drop(&mut self) {
        if !self.completed {
            self.record(AttemptEnd::Abandoned, None);
        }
    }
}
