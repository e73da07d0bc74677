//! One attempt at a target: the forwarded request and the result of sending it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use celerygate_daemon::upstream::{ConnectionReuse, RequestBody, SendError};
use celerygate_steering::headers::HeaderFilter;
use celerygate_steering::placement::AttemptEnd;
use celerygate_steering::routing::Repeatable;
use celerygate_types::{OrganisationId, ResultCode, TargetId};
use http_body_util::{BodyExt, Full};
use hyper::body::Bytes;
use hyper::header::HeaderMap;
use hyper::http::request;
use hyper::{Request, Response};
use tokio::time::{Instant as TokioInstant, timeout_at};

use super::ResponseBody;
use super::admission::AdmittedRequest;
use super::response::{ResponseResult, read_response};
use crate::adapter::ForwardMetadata;
use crate::daemon::Daemon;
use crate::targets::{AttemptGuard, ChosenTarget, CompletedAttempt, may_resend};

/// Result of one attempt at a target.
pub(super) enum AttemptResult {
    /// Response for the caller.
    Response(Response<ResponseBody>),
    /// The request did not reach the target and has not run.
    NotRun(ResultCode),
    /// The target rejected the request without running it.
    Rejected {
        /// Whether the target reported a free slot.
        had_free_slot: bool,
    },
    /// The target may have run the request.
    Failed(ResultCode),
}

impl AttemptResult {
    /// Returns the result of an attempt that sent the request twice, where the first copy may have
    /// run: no refusal of the second copy proves anything about the first.
    fn after_resend(self) -> Self {
        match self {
            Self::NotRun(_) | Self::Rejected { .. } => Self::Failed(ResultCode::TargetFailed),
            other => other,
        }
    }
}

/// Sends a request to a target and reads the response.
pub(super) async fn attempt(
    daemon: &Arc<Daemon>,
    parts: &request::Parts,
    body: &Bytes,
    admitted: &AdmittedRequest<'_>,
    chosen: &ChosenTarget,
) -> AttemptResult {
    let attempt_guard = AttemptGuard::new(daemon, chosen);
    let started = daemon.now();
    let Ok(address) = chosen.address.parse::<SocketAddr>() else {
        log::error!(target_id = chosen.instance.as_str(), address = chosen.address.as_str();
            "invalid target address");
        attempt_guard.end_unreachable();
        return AttemptResult::NotRun(ResultCode::TargetUnreachable);
    };
    let send = |connection| {
        let instance = &chosen.instance;
        let request = forwarded_request(daemon, parts, body, admitted, instance, daemon.now());
        let id = admitted.metadata.request.as_str();
        daemon.pool.send(address, chosen.network_path, connection, id, request)
    };
    let deadline = TokioInstant::now() + admitted.deadline.saturating_duration_since(started);
    let is_repeatable = admitted.route.repeatable == Repeatable::Always;
    let connection = if is_repeatable { ConnectionReuse::Any } else { ConnectionReuse::Recent };
    let mut outcome = timeout_at(deadline, send(connection)).await;
    let mut is_resent = false;
    if let Ok(Err(SendError::NoResponse { lost_while_idle: true, detail, .. })) = &outcome
        && is_repeatable
        && admitted.is_current(daemon)
        && may_resend(daemon, chosen)
    {
        log::info!(request = admitted.metadata.request.as_str(), error = detail.as_str(),
            target_id = chosen.instance.as_str();
            "idle connection lost, resent request on a new one");
        outcome = timeout_at(deadline, send(ConnectionReuse::New)).await;
        is_resent = true;
    }
    let result_of = |result: AttemptResult| if is_resent { result.after_resend() } else { result };
    let (attempt, end) = match outcome {
        Err(_) => (AttemptResult::Failed(ResultCode::DeadlinePassed), "deadline-passed"),
        Ok(Err(SendError::NotConnected { reason, .. } | SendError::NotSent { reason, .. })) => {
            log::info!(request = admitted.metadata.request.as_str(), reason = reason.as_str(),
                target_id = chosen.instance.as_str(); "failed to reach target");
            attempt_guard.end_unreachable();
            log_attempt(daemon, admitted, chosen, "not-reached", None);
            return result_of(AttemptResult::NotRun(ResultCode::TargetUnreachable));
        }
        Ok(Err(SendError::NoResponse { reason, detail, .. })) => {
            log::info!(request = admitted.metadata.request.as_str(), reason:% = reason,
                error = detail.as_str(),
                target_id = chosen.instance.as_str(); "no response from the target");
            attempt_guard.end(AttemptEnd::Failed, None);
            log_attempt(daemon, admitted, chosen, "no-response", None);
            return AttemptResult::Failed(ResultCode::TargetFailed);
        }
        Ok(Ok(response)) => {
            let number = response.body().number_on_connection();
            let read = read_response(daemon, admitted, chosen, response, deadline);
            match timeout_at(deadline, read).await {
                Err(_) => (AttemptResult::Failed(ResultCode::DeadlinePassed), "deadline-passed"),
                Ok(ResponseResult { attempt, end, load, outcome }) => {
                    if end == AttemptEnd::Answered {
                        attempt_guard.record_time(
                            chosen,
                            &CompletedAttempt {
                                service: &admitted.service,
                                object: admitted.object,
                                target_latency: admitted.route.target_latency,
                                time: daemon.now().saturating_duration_since(started),
                            },
                        );
                    }
                    attempt_guard.end(end, load);
                    log_attempt(daemon, admitted, chosen, outcome, Some(number));
                    return result_of(attempt);
                }
            }
        }
    };
    attempt_guard.end(AttemptEnd::Expired, None);
    log_attempt(daemon, admitted, chosen, end, None);
    attempt
}

fn log_attempt(
    daemon: &Daemon,
    admitted: &AdmittedRequest<'_>,
    chosen: &ChosenTarget,
    outcome: &'static str,
    number_on_connection: Option<u32>,
) {
    let elapsed = daemon.now().saturating_duration_since(admitted.arrived_at);
    log::info!(request = admitted.metadata.request.as_str(), route = admitted.route.name.as_str(),
        organisation = admitted.organisation.as_ref().map_or("", OrganisationId::as_str), object = admitted.object,
        token = admitted.token.map(|token| token.to_string()),
        sent_ms = chosen.chosen_at.saturating_duration_since(admitted.arrived_at).as_millis() as u64,
        target_id = chosen.instance.as_str(), born = chosen.incarnation.0, address = chosen.address.as_str(),
        number_on_connection = number_on_connection,
        reason:% = chosen.reason, distance:% = chosen.distance, load = chosen.load,
        considered = chosen.target_count, knows_object = chosen.knows_object, elapsed_ms = elapsed.as_millis() as u64, outcome = outcome;
        "attempt ended");
    let code = if outcome == "answered" { 0 } else { ResultCode::TargetFailed.number() };
    daemon.metrics.count_request(admitted.service.as_str(), code, elapsed.as_secs_f64());
}

fn forwarded_request(
    daemon: &Daemon,
    parts: &request::Parts,
    body: &Bytes,
    admitted: &AdmittedRequest<'_>,
    instance: &TargetId,
    now: Instant,
) -> Request<RequestBody> {
    let all = || parts.headers.iter().map(|(name, value)| (name.as_str(), value.as_bytes()));
    let filter = HeaderFilter::for_request(all());
    let mut headers = HeaderMap::with_capacity(parts.headers.len() + 3);
    for (name, value) in &parts.headers {
        if filter.should_forward(name.as_str(), value.as_bytes())
            && !(daemon.adapter.is_own_header)(name.as_str())
        {
            headers.append(name.clone(), value.clone());
        }
    }
    let forward = ForwardMetadata {
        remaining: admitted.deadline.saturating_duration_since(now),
        instance,
        organisation: admitted.organisation.as_ref(),
    };
    (daemon.adapter.write_request)(admitted.metadata, &forward, &mut headers);
    let body = Full::new(body.clone()).map_err(|never| match never {}).boxed_unsync();
    let mut request = Request::new(body);
    *request.method_mut() = parts.method.clone();
    *request.uri_mut() = parts.uri.clone();
    *request.headers_mut() = headers;
    request
}
