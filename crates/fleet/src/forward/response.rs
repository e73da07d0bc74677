//! Reads a target's response and decides whether the attempt succeeded.

use std::sync::Arc;

use celerygate_daemon::upstream::{BodyFailure, TargetBody, has_other_coding};
use celerygate_steering::headers::HeaderFilter;
use celerygate_steering::placement::{AttemptEnd, ReportedLoad};
use celerygate_steering::responses::{EchoRule, ResponseHead, ResponseKind, response_kind};
use celerygate_steering::routing::Repeatable;
use celerygate_types::ResultCode;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::header::HeaderMap;
use hyper::http::response;
use tokio::time::Instant;

use super::admission::AdmittedRequest;
use super::attempt::AttemptResult;
use super::body::{AnsweredRequest, ForwardedBody, RefusalBodyEnd, read_refusal, read_start};
use crate::adapter::ResponseMetadata;
use crate::daemon::Daemon;
use crate::targets::{ChosenTarget, record_misdirected, record_notice};

/// Result of an attempt that received a response head.
pub(super) struct ResponseResult {
    pub(super) attempt: AttemptResult,
    pub(super) end: AttemptEnd,
    pub(super) load: Option<ReportedLoad>,
    pub(super) outcome: &'static str,
}

pub(super) async fn read_response(
    daemon: &Arc<Daemon>,
    admitted: &AdmittedRequest<'_>,
    chosen: &ChosenTarget,
    response: Response<TargetBody>,
    deadline: Instant,
) -> ResponseResult {
    let (parts, mut body) = response.into_parts();
    let metadata = (daemon.adapter.read_response)(&parts);
    let kind = kind_of(admitted, &parts, &metadata);
    // A whole head proves what its target states, whatever becomes of the body.
    let notice = metadata.notice.believed_in(kind);
    record_notice(daemon, &admitted.metadata.request, chosen, notice);
    let is_paused = notice.asks_for_pause();
    if let ResponseKind::Rejected(reason) = kind {
        log::warn!(request = admitted.metadata.request.as_str(), reason:% = reason,
            target_id = chosen.instance.as_str(), status = parts.status.as_u16(),
            named:? = metadata.requests;
            "rejected a response that is not proven to be about the request");
        // The response to this request may still follow on the connection. It is not waited for:
        // the bytes of a target that has sent wrong ones are not trusted.
        body.discard();
        let attempt = AttemptResult::Failed(ResultCode::TargetFailed);
        let outcome = "foreign-response";
        return ResponseResult { attempt, end: AttemptEnd::Failed, load: None, outcome };
    }
    let load = metadata.load;
    if kind == ResponseKind::NotRun {
        if metadata.is_other_instance {
            // The target has started again. A copy of its refusal would fail the next request here.
            body.prevent_reuse();
            record_misdirected(daemon, &admitted.metadata.request, chosen);
        }
        body.record_unsuccessful(&admitted.metadata.request);
        let body_end = read_refusal(&daemon.response_buffers.limits, body).await;
        let reported = Rejection { load, is_paused, body_end };
        return rejected(admitted, chosen, &reported);
    }
    let is_repeatable = admitted.route.repeatable == Repeatable::Always;
    // Passed on, it would promise the caller what the target has not stated.
    let is_unproven_refusal = metadata.has_refusal_status && !is_repeatable;
    let is_failure = !metadata.is_signed || parts.status.is_server_error() || is_unproven_refusal;
    let failure_end = if is_paused { AttemptEnd::Paused } else { AttemptEnd::Failed };
    if is_failure && (!metadata.is_signed || is_repeatable || is_unproven_refusal) {
        body.record_unsuccessful(&admitted.metadata.request);
        drop(body);
        let attempt = AttemptResult::Failed(ResultCode::TargetFailed);
        let outcome = if metadata.is_signed { "target-error" } else { "unsigned-response" };
        return ResponseResult { attempt, end: failure_end, load, outcome };
    }
    let headers = response_headers(&parts);
    match read_start(&daemon.response_buffers, body).await {
        Ok(start) => {
            let answered = || AnsweredRequest {
                daemon: Arc::clone(daemon),
                request: admitted.metadata.request.clone(),
                instance: chosen.instance.clone(),
                deadline,
                caller_deadline: Instant::now()
                    + admitted.caller_deadline.saturating_duration_since(daemon.now()),
            };
            let mut response = Response::new(ForwardedBody::new(start, answered).boxed_unsync());
            *response.status_mut() = parts.status;
            *response.headers_mut() = headers;
            let end = if is_failure { failure_end } else { AttemptEnd::Answered };
            ResponseResult {
                attempt: AttemptResult::Response(response),
                end,
                load,
                outcome: "answered",
            }
        }
        Err(error) => {
            log::warn!(request = admitted.metadata.request.as_str(),
                target_id = chosen.instance.as_str(), reason:% = BodyFailure::of(&error),
                error:% = error; "target's response is incomplete");
            let attempt = AttemptResult::Failed(ResultCode::TargetFailed);
            ResponseResult { attempt, end: AttemptEnd::Failed, load, outcome: "broken-response" }
        }
    }
}

/// What a target reports with a rejection.
struct Rejection {
    load: Option<ReportedLoad>,
    is_paused: bool,
    body_end: RefusalBodyEnd,
}

/// Returns the result of a refusal that states that the request has not run. The statement is in the
/// head, which is complete, so that it holds whatever follows.
fn rejected(
    admitted: &AdmittedRequest<'_>,
    chosen: &ChosenTarget,
    rejection: &Rejection,
) -> ResponseResult {
    let Rejection { load, is_paused, body_end } = *rejection;
    let end = match body_end {
        RefusalBodyEnd::Complete if is_paused => AttemptEnd::Paused,
        RefusalBodyEnd::Complete => AttemptEnd::Rejected,
        _ => {
            log::warn!(request = admitted.metadata.request.as_str(),
                target_id = chosen.instance.as_str(), reason:% = body_end;
                "body of a refusal has no valid end");
            AttemptEnd::Failed
        }
    };
    let has_free_slot = |load: ReportedLoad| load.total() < chosen.slots.get();
    let had_free_slot = !is_paused && load.is_some_and(has_free_slot);
    let attempt = AttemptResult::Rejected { had_free_slot };
    ResponseResult { attempt, end, load, outcome: "rejected" }
}

fn kind_of(
    admitted: &AdmittedRequest<'_>,
    parts: &response::Parts,
    metadata: &ResponseMetadata,
) -> ResponseKind {
    let head = ResponseHead {
        status: parts.status.as_u16(),
        request_ids: &metadata.requests,
        is_not_run: metadata.is_not_run,
        has_other_coding: has_other_coding(&parts.headers),
    };
    response_kind(&admitted.metadata.request, EchoRule::Required, &head)
}

fn response_headers(parts: &response::Parts) -> HeaderMap {
    let all = || parts.headers.iter().map(|(name, value)| (name.as_str(), value.as_bytes()));
    let filter = HeaderFilter::for_response(all());
    let mut headers = HeaderMap::with_capacity(parts.headers.len());
    for (name, value) in &parts.headers {
        if filter.should_forward(name.as_str(), value.as_bytes()) {
            headers.append(name.clone(), value.clone());
        }
    }
    headers
}
