//! Permits for requests that have failed at one target.

use std::sync::Arc;
use std::time::{Duration, Instant};

use celerygate_steering::slots::SlotTarget;
use celerygate_steering::targets::Choice;
use celerygate_types::{RegionId, ResultCode, ServiceId, TargetId};
use tokio::time::timeout_at;

use super::{select_target, send_slot_requests, take, usable};
use crate::daemon::Daemon;
use crate::refusal::Refusal;
use crate::tables::SlotGrant;

/// Longest wait for a permit of another target after a failed attempt. The answer of an owner in
/// another region takes 20 ms and a lost message is repeated after some 100 ms.
const OTHER_PERMIT_WAIT: Duration = Duration::from_millis(250);
/// Targets that are asked for when a request needs another one; the nearest may have no free slot.
const OTHER_TARGETS: usize = 2;

/// Takes a permit of a target that was not tried before, and asks the owners when this VM has none.
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
    if let Some(grant) = take_free(daemon, service, tried) {
        return Ok(grant);
    }
    let until = deadline.min(daemon.clock.now() + OTHER_PERMIT_WAIT);
    let arrived = Arc::clone(&daemon.tables.permits.lock().permits_arrived);
    let _wants = RetryWants::register(daemon, service, tried)?;
    loop {
        let mut notified = std::pin::pin!(arrived.notified());
        // Permits that arrive from here on are noticed.
        notified.as_mut().enable();
        send_slot_requests(daemon);
        if let Some(grant) = take_free(daemon, service, tried) {
            return Ok(grant);
        }
        if timeout_at(until.into(), notified).await.is_err() {
            return Err(ResultCode::NoCapacity.into());
        }
    }
}

/// Takes a free permit of a target that was not tried before; none when this VM has no such permit.
fn take_free(daemon: &Daemon, service: &ServiceId, tried: &[TargetId]) -> Option<SlotGrant> {
    let view = daemon.tables.view();
    let now = daemon.clock.now();
    let targets = daemon.tables.targets.lock();
    let mut permits = daemon.tables.permits.lock();
    let known = targets.of_service(service);
    match select_target(daemon, &view, &permits, service, known, tried, now) {
        Choice::Use(selected) => {
            take(&mut permits, service, &selected, now);
            Some(SlotGrant { selected, work: permits.expected_work(service) })
        }
        Choice::Wait | Choice::NoTarget => None,
    }
}

/// The permits that a failed request wants; dropping it withdraws the wish.
struct RetryWants<'a> {
    daemon: &'a Daemon,
    wants: Vec<(RegionId, SlotTarget)>,
}

impl<'a> RetryWants<'a> {
    fn register(
        daemon: &'a Daemon,
        service: &ServiceId,
        tried: &[TargetId],
    ) -> Result<Self, Refusal> {
        let view = daemon.tables.view();
        let now = daemon.clock.now();
        let targets = daemon.tables.targets.lock();
        let usable = usable(daemon, &view, &targets, service, now);
        let wants: Vec<_> = usable
            .filter(|target| !tried.contains(&target.target))
            .take(OTHER_TARGETS)
            .map(|target| (target.region.clone(), (service.clone(), target.target.clone())))
            .collect();
        if wants.is_empty() {
            return Err(ResultCode::NoCapacity.into());
        }
        daemon.tables.permits.lock().add_retry_demand(&wants);
        Ok(Self { daemon, wants })
    }
}

impl Drop for RetryWants<'_> {
    fn drop(&mut self) {
        self.daemon.tables.permits.lock().remove_retry_demand(&self.wants);
    }
}
