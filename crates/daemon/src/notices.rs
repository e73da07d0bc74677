//! Notices of targets in their responses: they leave, or want no requests from this VM for a time.

use std::sync::Arc;

use celerygate_steering::availability::{AvailabilityChange, Notice};
use celerygate_steering::headers::parse_retry_after;
use celerygate_steering::targets::SelectedTarget;
use celerygate_types::{RequestId, ServiceId, TargetId};
use hyper::StatusCode;
use hyper::header::RETRY_AFTER;
use hyper::http::HeaderMap;

use crate::daemon::Daemon;
use crate::forward::header_values;
use crate::permits;

/// Response header with the value `1` in all responses of a target that leaves.
pub const LEAVING_HEADER: &str = "celerygate-leaving";

/// Reads what a response states about its target. `Retry-After` is a pause only in a 503; in other
/// responses it is for the caller.
pub fn read_notice(status: StatusCode, headers: &HeaderMap) -> Notice {
    let is_leaving = header_values(headers, LEAVING_HEADER).any(|value| value.trim_ascii() == b"1");
    let pauses = header_values(headers, RETRY_AFTER.as_str()).filter_map(parse_retry_after);
    let pause = if status == StatusCode::SERVICE_UNAVAILABLE { pauses.max() } else { None };
    Notice { is_leaving, pause }
}

/// Records what a response states about its target. Waiting requests are placed again, or refused if
/// all targets of the service are paused.
pub fn record_notice(
    daemon: &Arc<Daemon>,
    request: &RequestId,
    service: &ServiceId,
    selected: &SelectedTarget,
    notice: Notice,
) {
    if notice == Notice::default() {
        return;
    }
    let now = daemon.clock.now();
    let (target, incarnation) = (&selected.target, selected.incarnation);
    let mut targets = daemon.tables.targets.lock();
    let changes = targets.record_notice(service, target, incarnation, notice, now);
    drop(targets);
    for change in &changes {
        daemon.metrics.count_notice(*change);
        match change {
            AvailabilityChange::LeavingBegan => log::info!(
                request:% = request, service:% = service, target:% = target;
                "target states that it leaves, no new requests for it"
            ),
            AvailabilityChange::PauseBegan { until } => log::info!(
                request:% = request, service:% = service, target:% = target,
                pause_ms = until.saturating_duration_since(now).as_millis() as u64;
                "target asks for a pause, no new requests for it"
            ),
            AvailabilityChange::PauseEnded => log_pause_end(service, target),
            AvailabilityChange::LeavingEnded => {}
        }
    }
    if !changes.is_empty() {
        update_metrics(daemon);
        permits::refuse_waiting(daemon, service);
        permits::dispatch(daemon);
    }
}

/// Updates the number of targets that get no new requests.
pub fn update_metrics(daemon: &Daemon) {
    let now = daemon.clock.now();
    let unavailable = daemon.tables.targets.lock().unavailable(now);
    daemon.metrics.set_unavailable_targets(unavailable);
}

/// Logs the end of a pause.
pub fn log_pause_end(service: &ServiceId, target: &TargetId) {
    log::info!(service:% = service, target:% = target; "pause of a target has ended");
}
