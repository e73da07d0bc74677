//! Refusals while all targets of a service are paused.

use std::sync::Arc;
use std::time::Instant;

use celerygate_steering::targets::{Target, TargetTable};
use celerygate_types::{ResultCode, ServiceId};

use super::is_allowed;
use crate::daemon::Daemon;
use crate::refusal::Refusal;
use crate::tables::Permits;
use crate::view::View;

fn earliest_resume(
    daemon: &Daemon,
    view: &View,
    targets: &TargetTable,
    permits: &Permits,
    service: &ServiceId,
    now: Instant,
) -> Option<Instant> {
    let running = |target: &Target| {
        let running = || permits.slot_usage(service, target).running;
        is_allowed(daemon, view, service, target).then(running)
    };
    targets.earliest_resume(service, running, now)
}

/// Returns the refusal of a request for a service without a target that takes requests. If all are
/// paused, the caller can repeat the request when the first pause ends.
pub(super) fn no_target(
    daemon: &Daemon,
    view: &View,
    targets: &TargetTable,
    permits: &Permits,
    service: &ServiceId,
    now: Instant,
) -> Refusal {
    let resume = earliest_resume(daemon, view, targets, permits, service, now);
    let retry_after = resume.map(|resume| resume.saturating_duration_since(now));
    Refusal { retry_after, ..Refusal::from(ResultCode::NoCapacity) }
}

/// Refuses the requests that wait for a service if all of its targets are paused.
pub fn refuse_waiting(daemon: &Arc<Daemon>, service: &ServiceId) {
    let view = daemon.tables.view();
    let now = daemon.clock.now();
    let targets = daemon.tables.targets.lock();
    let mut permits = daemon.tables.permits.lock();
    if earliest_resume(daemon, &view, &targets, &permits, service, now).is_none() {
        return;
    }
    let refusal = no_target(daemon, &view, &targets, &permits, service, now);
    for ticket in permits.waiting_tickets(service) {
        permits.queue.cancel(ticket);
        if let Some(waiter) = permits.take_waiter(ticket) {
            // Fails if the caller has disconnected.
            let _ = waiter.result.send(Err(refusal.clone()));
        }
    }
}
