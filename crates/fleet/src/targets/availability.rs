//! Targets that take no new requests from this VM according to their own responses.

use std::sync::Arc;
use std::time::{Duration, Instant};

use celerygate_steering::availability::{
    self, AvailabilityChange, Eligibility, LifeStatus, Notice, TargetLife,
};
use celerygate_steering::instances::InstanceTable;
use celerygate_steering::placement::{ProcessingTimes, acceptable_wait};
use celerygate_types::wire::InstanceState;
use celerygate_types::{Incarnation, TargetId};
use tokio::time::sleep;

use super::{ChosenTarget, IndexedTarget, Query, current_index, is_in_allowed_region, silence};
use crate::daemon::Daemon;
use crate::tables::{Content, LocalTargetStates};

/// Interval at which ended pauses are noticed, for the log and the metrics.
const WATCH_INTERVAL: Duration = Duration::from_millis(250);

fn eligibility(local: &LocalTargetStates, target: &IndexedTarget, now: Instant) -> Eligibility {
    if local.availability.is_empty() {
        return Eligibility::Eligible;
    }
    let in_flight = local.stats.get(&target.instance).map_or(0, |stats| stats.in_flight);
    local.availability.eligibility(&target.instance, target.incarnation, in_flight, now)
}

/// Returns whether a target may get a new request: it neither leaves nor is paused, after a pause it has
/// fewer requests than its limit, and it reports if it must.
pub(super) fn is_eligible(local: &LocalTargetStates, target: &IndexedTarget, now: Instant) -> bool {
    eligibility(local, target, now) == Eligibility::Eligible
        && (!target.must_report || silence(local, &target.instance, now) == Some(false))
}

/// Returns the target that resumes after a pause and will soonest take a request, if a request may
/// wait that long.
pub(super) fn resuming_target(
    local: &LocalTargetStates,
    service_targets: &[IndexedTarget],
    query: &Query<'_>,
    times: &ProcessingTimes,
    now: Instant,
) -> Option<TargetId> {
    if local.availability.is_empty() {
        return None;
    }
    let allowed = service_targets.iter().filter(|target| {
        !query.tried.contains(&target.instance) && is_in_allowed_region(query, target)
    });
    let waits = allowed.filter_map(|target| {
        let Eligibility::AtResumeLimit { limit } = eligibility(local, target, now) else {
            return None;
        };
        let waiting = local.stats.get(&target.instance).map_or(0, |stats| stats.waiting);
        let wait = acceptable_wait(waiting, f64::from(limit), times, query.remaining)?;
        Some((wait, &target.instance))
    });
    waits.min_by_key(|(wait, _)| *wait).map(|(_, instance)| instance.clone())
}

/// Number of a service's targets, and of those that get no new request because of their notices.
#[derive(Debug, Default)]
pub(super) struct IneligibleCounts {
    pub(super) targets: usize,
    pub(super) leaving: usize,
    pub(super) paused: usize,
    pub(super) resuming: usize,
}

impl IneligibleCounts {
    /// Counts the targets of a service.
    pub(super) fn of(
        local: &LocalTargetStates,
        service_targets: &[IndexedTarget],
        now: Instant,
    ) -> Self {
        let mut counts = Self { targets: service_targets.len(), ..Self::default() };
        for target in service_targets {
            match eligibility(local, target, now) {
                Eligibility::Eligible => {}
                Eligibility::AtResumeLimit { .. } => counts.resuming += 1,
                Eligibility::Paused { .. } => counts.paused += 1,
                Eligibility::Leaving => counts.leaving += 1,
            }
        }
        counts
    }
}

/// Records what a response states about its target. A request that waits for the target is placed
/// again.
pub fn record_notice(daemon: &Daemon, request: &str, chosen: &ChosenTarget, notice: Notice) {
    if notice == Notice::default() {
        return;
    }
    let now = daemon.now();
    let life = TargetLife { target: chosen.instance.clone(), incarnation: chosen.incarnation };
    let (changes, unavailable) = {
        let availability = &mut daemon.tables.targets.lock().availability;
        (availability.record(&life, notice, now), availability.unavailable(now))
    };
    if changes.is_empty() {
        return;
    }
    daemon.metrics.set_unavailable_targets(unavailable);
    for change in changes {
        daemon.metrics.count_notice(change);
        log_change(&chosen.instance, Some(chosen.incarnation), request, change, now);
    }
    daemon.tables.attempt_ended.notify_waiters();
}

/// Logs a change of a target's availability. `request` is the id of the request whose response caused
/// it, empty if there is none.
pub(super) fn log_change(
    target: &TargetId,
    incarnation: Option<Incarnation>,
    request: &str,
    change: AvailabilityChange,
    now: Instant,
) {
    let (target, born) = (target.as_str(), incarnation.map(|incarnation| incarnation.0));
    match change {
        AvailabilityChange::LeavingBegan => {
            log::info!(target_id = target, born = born, request = request;
                "target states that it leaves, no new requests for it");
        }
        AvailabilityChange::LeavingEnded => {
            log::info!(target_id = target, born = born, request = request;
                "process of a leaving target has ended");
        }
        AvailabilityChange::PauseBegan { until } => {
            let pause = until.saturating_duration_since(now);
            log::info!(target_id = target, born = born, request = request,
                pause_ms = pause.as_millis() as u64;
                "target asks for a pause, no new requests for it");
        }
        AvailabilityChange::PauseEnded => {
            log::info!(target_id = target, born = born, request = request; "pause of a target has ended");
        }
    }
}

/// Returns whether a request that was lost on its way to a target may be sent to it once more.
pub fn may_resend(daemon: &Daemon, chosen: &ChosenTarget) -> bool {
    let now = daemon.now();
    let local = daemon.tables.targets.lock();
    let eligibility = local.availability.eligibility(&chosen.instance, chosen.incarnation, 0, now);
    eligibility == Eligibility::Eligible
}

/// Returns the earliest end of a pause if all targets that could serve a request are paused or leave,
/// none otherwise.
pub fn earliest_resume(
    daemon: &Daemon,
    content: &Content,
    query: &Query<'_>,
    now: Instant,
) -> Option<Instant> {
    if daemon.tables.targets.lock().availability.is_empty() {
        return None;
    }
    let index = current_index(daemon, content, now);
    let service_targets = index.by_service.get(query.service)?;
    let local = daemon.tables.targets.lock();
    let allowed = service_targets.iter().filter(|target| is_in_allowed_region(query, target));
    availability::earliest_resume(allowed.map(|target| eligibility(&local, target, now)))
}

fn life_status(
    instances: &InstanceTable,
    target: &TargetId,
    incarnation: Incarnation,
) -> LifeStatus {
    let Some(known) = instances.get(target) else { return LifeStatus::Unknown };
    let is_later = Incarnation(known.record.born_unix_ms) > incarnation;
    if is_later || known.record.state == InstanceState::Gone {
        LifeStatus::Ended
    } else {
        LifeStatus::Current
    }
}

/// Logs the ends of pauses and of leaving targets, and updates the metrics, until the task is aborted.
pub async fn watch_availability(daemon: Arc<Daemon>) {
    loop {
        sleep(WATCH_INTERVAL).await;
        let now = daemon.now();
        let instances = daemon.tables.instances.read();
        let mut local = daemon.tables.targets.lock();
        let status = |target: &TargetId, incarnation| life_status(&instances, target, incarnation);
        let changes = local.availability.expire(status, now);
        let unavailable = local.availability.unavailable(now);
        drop(local);
        drop(instances);
        daemon.metrics.set_unavailable_targets(unavailable);
        for (target, change) in &changes {
            log_change(target, None, "", *change, now);
        }
        if !changes.is_empty() {
            daemon.tables.attempt_ended.notify_waiters();
        }
    }
}
