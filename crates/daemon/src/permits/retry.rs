//! Permits for retries of requests that failed at one target.

use std::sync::Arc;
use std::time::{Duration, Instant};

use celerygate_steering::slots::SlotTarget;
use celerygate_steering::targets::Choice;
use celerygate_types::{RegionId, ResultCode, ServiceId, TargetId};
use tokio::time::timeout_at;

use super::{no_target, select_target, send_slot_requests, take_permit, usable_targets};
use crate::daemon::Daemon;
use crate::refusal::Refusal;
use crate::tables::SlotGrant;

/// Maximum wait for a permit of another target after a failed attempt. A reply of an owner in
/// another region takes 20 ms, and a lost message is repeated after about 100 ms.
const RETRY_PERMIT_TIMEOUT: Duration = Duration::from_millis(250);
/// Number of targets for which a retry requests permits; the nearest may have no free slot.
const MAX_RETRY_TARGETS: usize = 2;

/// Takes a permit of a target that was not tried before. Requests permits from the owners if this
/// VM has none.
///
/// # Errors
///
/// When no permit of another target arrives in time.
pub async fn acquire_for_retry(
    daemon: &Arc<Daemon>,
    service: &ServiceId,
    tried: &[TargetId],
    deadline: Instant,
) -> Result<SlotGrant, Refusal> {
    if let Some(grant) = take_free_permit(daemon, service, tried) {
        return Ok(grant);
    }
    let wait_until = deadline.min(daemon.clock.now() + RETRY_PERMIT_TIMEOUT);
    let permits_arrived = Arc::clone(&daemon.tables.permits.lock().permits_arrived);
    let _demand = RetryDemand::register(daemon, service, tried)?;
    loop {
        let mut notified = std::pin::pin!(permits_arrived.notified());
        // Permits that arrive from here on wake this task, so none is missed.
        notified.as_mut().enable();
        send_slot_requests(daemon);
        if let Some(grant) = take_free_permit(daemon, service, tried) {
            return Ok(grant);
        }
        if timeout_at(wait_until.into(), notified).await.is_err() {
            return Err(ResultCode::NoCapacity.into());
        }
    }
}

/// Takes a free permit of a target that was not tried before, `None` if this VM has no such permit.
fn take_free_permit(daemon: &Daemon, service: &ServiceId, tried: &[TargetId]) -> Option<SlotGrant> {
    let view = daemon.tables.view();
    let now = daemon.clock.now();
    let targets = daemon.tables.targets.lock();
    let mut permits = daemon.tables.permits.lock();
    let service_targets = targets.of_service(service);
    match select_target(daemon, &view, &permits, service, service_targets, tried, now) {
        Choice::Use(selected) => {
            take_permit(&mut permits, service, &selected, now);
            Some(SlotGrant { selected, work: permits.expected_work(service) })
        }
        Choice::Wait | Choice::NoTarget => None,
    }
}

/// Demand for permits of a retry. Dropping it withdraws the demand.
struct RetryDemand<'a> {
    daemon: &'a Daemon,
    demand: Vec<(RegionId, SlotTarget)>,
}

impl<'a> RetryDemand<'a> {
    fn register(
        daemon: &'a Daemon,
        service: &ServiceId,
        tried: &[TargetId],
    ) -> Result<Self, Refusal> {
        let view = daemon.tables.view();
        let now = daemon.clock.now();
        let targets = daemon.tables.targets.lock();
        let usable = usable_targets(daemon, &view, &targets, service, now);
        let demand: Vec<_> = usable
            .filter(|target| !tried.contains(&target.target))
            .take(MAX_RETRY_TARGETS)
            .map(|target| (target.region.clone(), (service.clone(), target.target.clone())))
            .collect();
        let mut permits = daemon.tables.permits.lock();
        if demand.is_empty() {
            return Err(no_target(daemon, &view, &targets, &permits, service, now));
        }
        permits.add_retry_demand(&demand);
        drop(permits);
        Ok(Self { daemon, demand })
    }
}

impl Drop for RetryDemand<'_> {
    fn drop(&mut self) {
        self.daemon.tables.permits.lock().remove_retry_demand(&self.demand);
    }
}
