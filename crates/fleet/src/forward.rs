//! Forwarding of callers' requests to targets, with authentication, rate limiting and retries.

use std::sync::Arc;
use std::time::{Duration, Instant};

use celerygate_steering::grants::Limit;
use celerygate_steering::headers::path_contains_key;
use celerygate_steering::outcome::{RetryBudget, RetryLimits};
use celerygate_steering::routing::Repeatable;
use celerygate_types::wire::{Outcome, VmState};
use celerygate_types::{OrganisationId, ResultCode, Revision, ServiceId, TargetId};
use http_body_util::{BodyExt, Full};
use hyper::body::Bytes;
use hyper::header::{CONNECTION, HeaderMap, HeaderValue};
use hyper::http::request;
use hyper::{Response, StatusCode};
use smallvec::SmallVec;
use smol_str::SmolStr;
use tokio::time::timeout;

use self::admission::{AdmittedRequest, NextStep};
use self::attempt::{AttemptResult, attempt};
use crate::adapter::{Refusal, RequestMetadata};
use crate::daemon::Daemon;
use crate::quota::{self, RateRefusal};
use crate::targets::{self, Choice, Query, TargetWaitGuard};

pub use self::body::ResponseBuffers;
pub use celerygate_daemon::body::ResponseBody;

mod admission;
mod attempt;
mod body;
mod response;

/// Id of the caller's attempt that a response belongs to, as an extension of the response.
#[derive(Clone, Debug)]
pub struct AttemptId(pub SmolStr);

/// Range of the `retry-after` time as a share of the route's target latency; drawn at random so
/// that the retries of many callers spread.
const RETRY_AFTER_RANGE: std::ops::Range<f64> = 0.25..0.75;
/// The same range after a rejection by targets that have free slots: the retry is likely to reach
/// another target.
const RETRY_AFTER_RANGE_REJECTED: std::ops::Range<f64> = 0.02..0.1;
/// The same range, added to the earliest end of a pause when all targets of the service are paused.
/// They resume one request at a time, so the first callers must not all return at once.
const RETRY_AFTER_RANGE_PAUSED: std::ops::Range<f64> = 0.0..0.5;
/// Interval at which a request that waits for a target repeats the choice.
const WAIT_RECHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Number of entry VMs, in addition to the known ones, by which the retry budget is divided, since
/// entry VMs may be added at any time.
const SPARE_VMS: usize = 2;

/// Outcome of a request.
enum RequestOutcome {
    Response(Response<ResponseBody>),
    Refused(Refusal),
}

/// Serves one request of a caller, from admission to the response or refusal.
pub async fn serve(
    daemon: Arc<Daemon>,
    parts: request::Parts,
    body: Bytes,
) -> Response<ResponseBody> {
    let _running = daemon.tables.begin_request();
    let arrived_at = daemon.now();
    let metadata = match (daemon.adapter.read_request)(&parts) {
        Ok(metadata) => metadata,
        Err(code) => {
            log::info!(code = code.number(); "failed to read request metadata");
            return add_connection_close(
                &daemon,
                refusal_response(&daemon, &Refusal { code, retry_after: None }),
            );
        }
    };
    let mut disconnect_guard = DisconnectGuard {
        request: &metadata.request,
        arrived_at,
        daemon: &daemon,
        completed: false,
    };
    let handled = handle_request(&daemon, &parts, &body, &metadata, arrived_at).await;
    disconnect_guard.completed = true;
    drop(disconnect_guard);
    let mut response = match handled {
        RequestOutcome::Response(response) => response,
        RequestOutcome::Refused(refusal) => {
            let refusal = without_stale_reason(&daemon, &metadata.request, refusal);
            let elapsed = daemon.now().saturating_duration_since(arrived_at);
            log::info!(request = metadata.request.as_str(), host = metadata.host.as_str(),
                code = refusal.code.number(), reason:% = refusal.code, elapsed_ms = elapsed.as_millis() as u64,
                retry_after_ms = refusal.retry_after.map_or(0, |time| time.as_millis() as u64);
                "request refused");
            daemon.metrics.count_request("refused", refusal.code.number(), elapsed.as_secs_f64());
            refusal_response(&daemon, &refusal)
        }
    };
    response.extensions_mut().insert(AttemptId(metadata.request));
    add_connection_close(&daemon, response)
}

/// Logs the end of a request that is dropped before it is completed: its connection has ended, or
/// its task has failed.
struct DisconnectGuard<'a> {
    request: &'a str,
    arrived_at: Instant,
    daemon: &'a Daemon,
    completed: bool,
}

impl Drop for DisconnectGuard<'_> {
    fn drop(&mut self) {
        if !self.completed {
            let elapsed = self.daemon.now().saturating_duration_since(self.arrived_at);
            if std::thread::panicking() {
                self.daemon.metrics.count_panic("request");
                log::error!(request = self.request, elapsed_ms = elapsed.as_millis() as u64;
                    "request failed because of a panic, its caller gets status 500");
                return;
            }
            log::info!(request = self.request, elapsed_ms = elapsed.as_millis() as u64;
                "request ended before its response");
        }
    }
}

/// Adds `connection: close` to responses while the daemon is leaving.
fn add_connection_close(
    daemon: &Daemon,
    mut response: Response<ResponseBody>,
) -> Response<ResponseBody> {
    if daemon.tables.state() == VmState::Leaving {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Replaces a refusal by a configuration that may not be the newest one: its caller would take it for
/// final, although another VM may serve the request.
fn without_stale_reason(daemon: &Daemon, request: &str, refusal: Refusal) -> Refusal {
    let is_by_configuration = matches!(
        refusal.code,
        ResultCode::UnknownPath | ResultCode::KeyMissing | ResultCode::KeyRefused
    );
    if !is_by_configuration || daemon.has_recent_configuration() {
        return refusal;
    }
    log::info!(request = request, reason:% = refusal.code, revision = daemon.tables.revision().0;
        "configuration may not be the newest, not refusing a request by it");
    Refusal { code: ResultCode::ConfigurationStale, ..refusal }
}

fn refusal_response(daemon: &Daemon, refusal: &Refusal) -> Response<ResponseBody> {
    let mut headers = HeaderMap::new();
    let status = (daemon.adapter.write_refusal)(refusal, &mut headers);
    let mut response = Response::new(full_body(Bytes::new()));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    *response.headers_mut() = headers;
    response
}

fn full_body(bytes: Bytes) -> ResponseBody {
    Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}

fn refusal(code: ResultCode) -> RequestOutcome {
    RequestOutcome::Refused(Refusal { code, retry_after: None })
}

/// Returns the refusal of a request that reaches no target because the daemon is stopping.
fn stopping_refusal() -> RequestOutcome {
    // Another VM can serve the request at once.
    let retry_after = Some(Duration::ZERO);
    RequestOutcome::Refused(Refusal { code: ResultCode::Stopping, retry_after })
}

async fn handle_request(
    daemon: &Arc<Daemon>,
    parts: &request::Parts,
    body: &Bytes,
    metadata: &RequestMetadata,
    arrived_at: Instant,
) -> RequestOutcome {
    if !daemon.tables.accepts_requests() {
        return stopping_refusal();
    }
    let Some(content) = daemon.tables.content() else {
        return refusal(ResultCode::ConfigurationStale);
    };
    let Some(route) = content.routing.route(&metadata.host, parts.uri.path()) else {
        return refusal(ResultCode::UnknownPath);
    };
    let key = metadata.key.as_ref().map(|key| key.as_bytes());
    let organisation = match content.routing.authenticate(route, key) {
        Ok(organisation) => organisation,
        Err(code) => return refusal(code),
    };
    let reveals_key = |key: &smol_str::SmolStr| {
        let path = parts.uri.path_and_query().map_or("", |path| path.as_str());
        path_contains_key(path, key.as_bytes())
    };
    if metadata.key.as_ref().is_some_and(reveals_key) {
        return refusal(ResultCode::BadRequest);
    }
    let caller_deadline = arrived_at + metadata.deadline.unwrap_or(route.timeout);
    let deadline = caller_deadline.min(arrived_at + route.timeout);
    // Only the body of a large response may last until the caller's deadline.
    let end = if route.has_large_responses { caller_deadline } else { deadline };
    if !daemon.tables.accepts_request_until(end) {
        return stopping_refusal();
    }
    let rule = organisation.and_then(|organisation| content.routing.organisation(organisation));
    let mut token = None;
    if let (Some(organisation), Some(limit)) = (organisation, rule.and_then(|rule| rule.limit)) {
        match quota::admit(daemon, organisation, limit, deadline).await {
            Ok(source) => token = Some(source),
            Err(refusal) => {
                log_rate_exceeded(
                    metadata,
                    organisation,
                    &limit,
                    content.replicated.revision,
                    &refusal,
                );
                let (code, retry_after) = (ResultCode::RateExceeded, Some(refusal.retry_after));
                return RequestOutcome::Refused(Refusal { code, retry_after });
            }
        }
    }
    let admitted = AdmittedRequest {
        metadata,
        path: parts.uri.path(),
        route: Arc::clone(route),
        service: admission::select_service(daemon, route),
        organisation: organisation.cloned(),
        organisation_homes: rule.map_or_else(SmallVec::new, |rule| rule.home_regions.clone()),
        object: admission::object_hash(metadata, route),
        token,
        arrived_at,
        deadline,
        caller_deadline,
        content: Arc::clone(&content),
    };
    count_request(daemon, &admitted.service);
    forward_with_retries(daemon, parts, body, admitted).await
}

fn log_rate_exceeded(
    metadata: &RequestMetadata,
    organisation: &OrganisationId,
    limit: &Limit,
    revision: Revision,
    refusal: &RateRefusal,
) {
    log::info!(request = metadata.request.as_str(), organisation = organisation.as_str(),
        rate_per_s = limit.rate.get(), burst = limit.burst.get(), revision = revision.0,
        token_source:% = refusal.source, answered = refusal.is_answered,
        exhausted = refusal.is_exhausted, waiting = refusal.waiting;
        "organisation exceeded its rate limit");
}

async fn forward_with_retries(
    daemon: &Arc<Daemon>,
    parts: &request::Parts,
    body: &Bytes,
    mut admitted: AdmittedRequest<'_>,
) -> RequestOutcome {
    let mut tried: SmallVec<[TargetId; 4]> = SmallVec::new();
    let mut may_have_run = false;
    let mut rejected_with_free_slot = false;
    let mut last_code = ResultCode::NoCapacity;
    loop {
        let now = daemon.now();
        match admitted.apply_configuration(daemon, may_have_run) {
            NextStep::Choose => {}
            NextStep::Refuse(code) => return refusal(code),
            NextStep::EndWithFailure => break,
        }
        if now >= admitted.deadline {
            let code = if may_have_run {
                ResultCode::DeadlinePassed
            } else {
                ResultCode::DeadlinePassedWaiting
            };
            return refusal(code);
        }
        // Begins before the check, so that a stop in between wakes the request.
        let attempt_ended = daemon.tables.attempt_ended.notified();
        if !may_have_run && !daemon.tables.accepts_requests() {
            return stopping_refusal();
        }
        let is_retry = !tried.is_empty();
        if is_retry
            && (tried.len() >= admitted.route.attempts_max.max(1) as usize
                || !take_retry(daemon, &admitted.service, now))
        {
            break;
        }
        let query = query_of(&admitted, &tried, now);
        let chosen = match targets::choose(daemon, &admitted.content, &query, now) {
            Choice::Use(chosen) => chosen,
            Choice::Wait(instance) => {
                let _wait_guard = TargetWaitGuard::begin(daemon, instance);
                // The choice is repeated after a notification and after the timeout.
                let _ = timeout(WAIT_RECHECK_INTERVAL, attempt_ended).await;
                continue;
            }
            Choice::Full | Choice::NoTarget => break,
        };
        tried.push(chosen.instance.clone());
        match attempt(daemon, parts, body, &admitted, &chosen).await {
            AttemptResult::Response(response) => return RequestOutcome::Response(response),
            AttemptResult::NotRun(code) => last_code = code,
            AttemptResult::Rejected { had_free_slot } => {
                last_code = ResultCode::NoCapacity;
                rejected_with_free_slot = had_free_slot;
            }
            AttemptResult::Failed(code) => {
                may_have_run = true;
                last_code = code;
                if admitted.route.repeatable == Repeatable::OnlyIfNotRun {
                    break;
                }
            }
        }
    }
    if may_have_run {
        let unknown = last_code.outcome() == Outcome::Unknown;
        return refusal(if unknown { last_code } else { ResultCode::TargetFailed });
    }
    let now = daemon.now();
    let query = query_of(&admitted, &tried, now);
    let pause_end = targets::earliest_resume(daemon, &admitted.content, &query, now);
    let range = match pause_end {
        Some(_) => RETRY_AFTER_RANGE_PAUSED,
        None if rejected_with_free_slot => RETRY_AFTER_RANGE_REJECTED,
        None => RETRY_AFTER_RANGE,
    };
    let pause = pause_end.map_or(Duration::ZERO, |end| end.saturating_duration_since(now));
    let share = rand::random_range(range);
    let retry_after = Some(pause + admitted.route.target_latency.mul_f64(share));
    RequestOutcome::Refused(Refusal { code: ResultCode::NoCapacity, retry_after })
}

fn query_of<'a>(
    admitted: &'a AdmittedRequest<'_>,
    tried: &'a [TargetId],
    now: Instant,
) -> Query<'a> {
    Query {
        request: &admitted.metadata.request,
        service: &admitted.service,
        route: &admitted.route,
        organisation_homes: &admitted.organisation_homes,
        object: admitted.object,
        remaining: admitted.deadline.saturating_duration_since(now),
        tried,
    }
}

fn count_request(daemon: &Daemon, service: &ServiceId) {
    let now = daemon.now();
    with_retry_budget(daemon, service, now, |budget| budget.count_request(now));
}

/// Takes a repeat from the budget of a service. The service may have become that of the request only
/// after its arrival, and have no requests of its own at this VM.
fn take_retry(daemon: &Daemon, service: &ServiceId, now: Instant) -> bool {
    with_retry_budget(daemon, service, now, |budget| budget.take_retry(now))
}

fn with_retry_budget<T>(
    daemon: &Daemon,
    service: &ServiceId,
    now: Instant,
    action: impl FnOnce(&mut RetryBudget) -> T,
) -> T {
    let limits = retry_limits(daemon);
    let mut retries = daemon.tables.retries.lock();
    let budget =
        retries.entry(service.clone()).or_insert_with(|| RetryBudget::with_limits(limits, now));
    action(budget)
}

/// Returns this VM's share of the fleet's retry budget.
fn retry_limits(daemon: &Daemon) -> RetryLimits {
    let bounds = &daemon.settings.bounds;
    let vms = daemon.tables.entry_vms() + SPARE_VMS;
    RetryLimits {
        share: bounds.retry_share,
        min_retries: 0,
        extra_retries: bounds.retry_slack_requests / vms as u64,
        window: Duration::from_millis(bounds.retry_window_ms),
    }
}
