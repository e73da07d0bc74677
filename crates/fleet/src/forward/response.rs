//! Reads a target's response and decides whether the attempt succeeded.

use celerygate_daemon::upstream::{TargetBody, has_other_coding};
use celerygate_steering::headers::HeaderFilter;
use celerygate_steering::placement::{AttemptEnd, ReportedLoad};
use celerygate_steering::responses::{EchoRule, ResponseHead, ResponseKind, response_kind};
use celerygate_steering::routing::Repeatable;
use celerygate_types::ResultCode;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Body;
use hyper::header::HeaderMap;
use hyper::http::response;

use super::attempt::AttemptResult;
use super::{AdmittedRequest, ResponseBody, full_body};
use crate::adapter::ResponseMetadata;
use crate::daemon::Daemon;
use crate::targets::{ChosenTarget, record_notice};

/// Responses up to this size are buffered completely before the first byte is sent to the caller,
/// so that a truncated response can be replaced by another target's.
const MAX_BUFFERED_RESPONSE_BYTES: u64 = 1_024 * 1_024;

/// Result of an attempt that received a response head.
pub(super) struct ResponseResult {
    pub(super) attempt: AttemptResult,
    pub(super) end: AttemptEnd,
    pub(super) load: Option<ReportedLoad>,
    pub(super) outcome: &'static str,
}

pub(super) async fn read_response(
    daemon: &Daemon,
    admitted: &AdmittedRequest<'_>,
    chosen: &ChosenTarget,
    response: Response<TargetBody>,
) -> ResponseResult {
    let (parts, body) = response.into_parts();
    let metadata = (daemon.adapter.read_response)(&parts);
    // A whole head proves what its target states, whatever becomes of the body.
    record_notice(daemon, &admitted.metadata.request, chosen, metadata.notice);
    let is_paused = metadata.notice.asks_for_pause();
    let kind = kind_of(admitted, &parts, &metadata);
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
        if body.collect().await.is_err() {
            log::debug!(request = admitted.metadata.request.as_str();
                "target's rejection truncated");
        }
        let has_free_slot = |load: ReportedLoad| load.running + load.waiting < chosen.slots.get();
        let had_free_slot = !is_paused && load.is_some_and(has_free_slot);
        let attempt = AttemptResult::Rejected { had_free_slot };
        let end = if is_paused { AttemptEnd::Paused } else { AttemptEnd::Rejected };
        return ResponseResult { attempt, end, load, outcome: "rejected" };
    }
    let is_failure = !metadata.is_signed || parts.status.is_server_error();
    let failure_end = if is_paused { AttemptEnd::Paused } else { AttemptEnd::Failed };
    if is_failure && (!metadata.is_signed || admitted.route.repeatable == Repeatable::Always) {
        drop(body);
        let attempt = AttemptResult::Failed(ResultCode::TargetFailed);
        return ResponseResult { attempt, end: failure_end, load, outcome: "target-error" };
    }
    let headers = response_headers(&parts);
    match read_body(body).await {
        Ok(body) => {
            let mut response = Response::new(body);
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
            log::info!(request = admitted.metadata.request.as_str(), error:% = error;
                "target's response truncated");
            let attempt = AttemptResult::Failed(ResultCode::TargetFailed);
            ResponseResult { attempt, end: AttemptEnd::Failed, load, outcome: "broken-response" }
        }
    }
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

/// Buffers a body up to [`MAX_BUFFERED_RESPONSE_BYTES`]; a larger one is streamed.
async fn read_body(body: TargetBody) -> Result<ResponseBody, hyper::Error> {
    let is_buffered =
        body.size_hint().upper().is_none_or(|bytes| bytes <= MAX_BUFFERED_RESPONSE_BYTES);
    if is_buffered {
        return Ok(full_body(body.collect().await?.to_bytes()));
    }
    Ok(body.boxed_unsync())
}
