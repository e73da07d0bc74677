//! A target's response: whether it is whole, its own, and a success.

use celerygate_daemon::upstream::TargetBody;
use celerygate_steering::headers::HeaderFilter;
use celerygate_steering::placement::{AttemptEnd, ReportedLoad};
use celerygate_steering::routing::Repeatable;
use celerygate_types::ResultCode;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Body;
use hyper::header::HeaderMap;
use hyper::http::response;

use super::{Admitted, Attempt, ResponseBody, whole};
use crate::daemon::Daemon;
use crate::targets::Chosen;

/// Response bodies up to this size are read whole before the caller gets the first byte, so that a
/// response that breaks off can be replaced by another target's.
const WHOLE_RESPONSE_BYTES: u64 = 1_024 * 1_024;

/// A response as far as it concerns the attempt.
pub(super) struct Read {
    pub(super) attempt: Attempt,
    pub(super) end: AttemptEnd,
    pub(super) load: Option<ReportedLoad>,
    pub(super) outcome: &'static str,
}

pub(super) async fn read_response(
    daemon: &Daemon,
    admitted: &Admitted<'_>,
    chosen: &Chosen,
    response: Response<TargetBody>,
) -> Read {
    let (parts, body) = response.into_parts();
    let metadata = (daemon.adapter.read_response)(&parts);
    if metadata.request.as_ref() != Some(&admitted.metadata.request) {
        // A surplus response of an earlier request; the own one may follow on the connection.
        body.discard();
        let load = None;
        let attempt = Attempt::Failed(ResultCode::TargetFailed);
        return Read { attempt, end: AttemptEnd::Failed, load, outcome: "foreign-response" };
    }
    let load = metadata.load;
    if metadata.is_not_run {
        if body.collect().await.is_err() {
            log::debug!(request = admitted.metadata.request.as_str(); "rejection broke off");
        }
        let is_below = |load: ReportedLoad| load.running + load.waiting < chosen.slots.get();
        let attempt = Attempt::Rejected { had_room: load.is_some_and(is_below) };
        return Read { attempt, end: AttemptEnd::Rejected, load, outcome: "rejected" };
    }
    let is_failure = !metadata.is_signed || parts.status.is_server_error();
    if is_failure && (!metadata.is_signed || admitted.route.repeatable == Repeatable::Always) {
        drop(body);
        let attempt = Attempt::Failed(ResultCode::TargetFailed);
        return Read { attempt, end: AttemptEnd::Failed, load, outcome: "target-error" };
    }
    let headers = response_headers(&parts);
    match read_body(body).await {
        Ok(body) => {
            let mut response = Response::new(body);
            *response.status_mut() = parts.status;
            *response.headers_mut() = headers;
            let end = if is_failure { AttemptEnd::Failed } else { AttemptEnd::Answered };
            Read { attempt: Attempt::Response(response), end, load, outcome: "answered" }
        }
        Err(error) => {
            log::info!(request = admitted.metadata.request.as_str(), error:% = error;
                "response of the target broke off");
            let attempt = Attempt::Failed(ResultCode::TargetFailed);
            Read { attempt, end: AttemptEnd::Failed, load, outcome: "broken-response" }
        }
    }
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

/// Reads a body of bounded size whole; a larger one is relayed as it arrives.
async fn read_body(body: TargetBody) -> Result<ResponseBody, hyper::Error> {
    let is_bounded = body.size_hint().upper().is_none_or(|bytes| bytes <= WHOLE_RESPONSE_BYTES);
    if is_bounded {
        return Ok(whole(body.collect().await?.to_bytes()));
    }
    Ok(body.boxed_unsync())
}
