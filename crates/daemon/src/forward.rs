//! Forwarding of callers' requests, from the request head to the relayed response.

mod attempt;
mod identity;
mod relay;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use celerygate_steering::headers::{self, HeaderFilter};
use celerygate_steering::idempotency;
use celerygate_steering::outcome::{
    FailedAttempt, NextAttempt, Stage, give_up, is_idempotent, next_attempt,
};
use celerygate_types::{RequestId, ResultCode, ServiceId};
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{HeaderMap, Request, Response, StatusCode, Uri};

use crate::body::{self, ResponseBody};
use crate::daemon::Daemon;
use crate::idempotency::RecordedKey;
use crate::lookup;
use crate::refusal::Refusal;
use crate::shutdown::Phase;
use crate::view::Caller;

use self::attempt::{AttemptEnd, AttemptHistory, UpstreamRequest};

/// Maximum size of a request head in bytes: request target, header names and values.
pub const MAX_HEAD_BYTES: usize = 16 * 1_024;
/// Maximum number of headers of a request.
pub const MAX_HEADERS: usize = 64;
/// Header with the request id, in responses to callers and in requests to targets.
pub const REQUEST_ID_HEADER: &str = "celerygate-request";

/// A request that is being forwarded, without its body.
pub struct Exchange {
    /// Id of the request, for logs and for the caller.
    pub id: RequestId,
    /// Service that the request is for.
    pub service: ServiceId,
    /// Owner of the key in the request, `None` on open routes.
    pub caller: Option<Caller>,
    /// Time at which the head arrived.
    pub received_at: Instant,
    /// Maximum duration of the request.
    pub deadline: Duration,
    /// Whether sending the request twice has the same effect as sending it once.
    pub idempotent: bool,
    /// Hash of the idempotency key, if the request has one and is not idempotent.
    pub fingerprint: Option<u64>,
}

impl Exchange {
    /// Returns the time by which the request must be finished.
    pub fn ends_at(&self) -> Instant {
        self.received_at + self.deadline
    }
}

/// Part of the API that a path belongs to.
enum Route {
    Lookup(ServiceId),
    /// The service, and the path and query within the service.
    Service(ServiceId, Uri),
    Refused(Refusal),
}

/// Handles a request of a caller.
pub async fn handle(
    daemon: Arc<Daemon>,
    request: Request<Incoming>,
    address: SocketAddr,
) -> Response<ResponseBody> {
    let id = daemon.next_request_id();
    let result = match check_head_size(&request) {
        Err(refusal) => Err(refusal),
        Ok(()) => match route(request.uri()) {
            Route::Lookup(service) => lookup::handle(&daemon, &id, &service, &request, address),
            Route::Service(service, uri) => {
                forward(&daemon, id.clone(), service, uri, request).await
            }
            Route::Refused(refusal) => Err(refusal),
        },
    };
    let mut response = result.unwrap_or_else(|refusal| error_response(&id, &refusal));
    let headers = response.headers_mut();
    if let Ok(value) = HeaderValue::from_str(id.as_str()) {
        headers.insert(REQUEST_ID_HEADER, value);
    }
    if daemon.shutdown.phase() > Phase::Serving {
        // Makes callers use another VM instead of a connection that is about to be closed.
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

fn check_head_size(request: &Request<Incoming>) -> Result<(), Refusal> {
    let headers = request.headers();
    let target = request.uri().path_and_query().map_or(0, |target| target.as_str().len());
    let names_and_values: usize =
        headers.iter().map(|(name, value)| name.as_str().len() + value.len() + 4).sum();
    if headers.len() > MAX_HEADERS || target + names_and_values > MAX_HEAD_BYTES {
        return Err(ResultCode::HeadTooLarge.into());
    }
    Ok(())
}

fn route(uri: &Uri) -> Route {
    let mut parts = uri.path().splitn(4, '/').skip(1);
    let (prefix, service, rest) = (parts.next(), parts.next(), parts.next());
    let service = match service.map(str::parse::<ServiceId>) {
        Some(Ok(service)) => service,
        Some(Err(_)) => return Route::Refused(ResultCode::UnknownService.into()),
        None => return Route::Refused(ResultCode::UnknownPath.into()),
    };
    match (prefix, rest) {
        (Some("lookup"), None) => Route::Lookup(service),
        (Some("svc"), rest) => {
            let path = rest.unwrap_or_default();
            let query = uri.query().map(|query| format!("?{query}")).unwrap_or_default();
            match format!("/{path}{query}").parse() {
                Ok(uri) => Route::Service(service, uri),
                Err(_) => Route::Refused(ResultCode::BadRequest.into()),
            }
        }
        _ => Route::Refused(ResultCode::UnknownPath.into()),
    }
}

/// Returns the error response for a refused request.
pub fn error_response(id: &RequestId, refusal: &Refusal) -> Response<ResponseBody> {
    let bytes = serde_json::to_vec(&refusal.body(id)).unwrap_or_default();
    let mut response = Response::new(body::full(bytes));
    *response.status_mut() = StatusCode::from_u16(refusal.code.http_status())
        .unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(seconds) = refusal.retry_after_s() {
        headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}

async fn forward(
    daemon: &Arc<Daemon>,
    id: RequestId,
    service: ServiceId,
    uri: Uri,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, Refusal> {
    let received_at = daemon.clock.now();
    let view = daemon.tables.view();
    if view.service(&service).is_none() {
        log::info!(request:% = id, reason:% = ResultCode::UnknownService; "request refused");
        return Err(ResultCode::UnknownService.into());
    }
    drop(view);
    let result = authorise_and_send(daemon, &id, &service, uri, request, received_at).await;
    if let Err(refusal) = &result {
        log::info!(
            request:% = id, service:% = service, code = refusal.code.number(),
            reason:% = refusal.code, outcome:% = refusal.code.outcome();
            "request refused"
        );
        let seconds = daemon.clock.now().saturating_duration_since(received_at).as_secs_f64();
        daemon.metrics.count_request(service.as_str(), refusal.code.number(), seconds);
    }
    result
}

async fn authorise_and_send(
    daemon: &Arc<Daemon>,
    id: &RequestId,
    service: &ServiceId,
    uri: Uri,
    request: Request<Incoming>,
    received_at: Instant,
) -> Result<Response<ResponseBody>, Refusal> {
    let deadline =
        headers::parse_deadline(header_values(request.headers(), headers::DEADLINE_HEADER))?;
    let caller = identity::identify(daemon, service, &uri, request.headers())?;
    let idempotent = is_idempotent(request.method().as_str());
    let key = header_values(request.headers(), headers::IDEMPOTENCY_HEADER);
    let key = headers::parse_idempotency_key(key)?;
    let exchange = Arc::new(Exchange {
        id: id.clone(),
        service: service.clone(),
        caller,
        received_at,
        deadline,
        idempotent,
        fingerprint: key.filter(|_| !idempotent).map(idempotency::fingerprint),
    });
    let upstream = UpstreamRequest::new(request, uri, &exchange);
    send_or_release_key(daemon, exchange, upstream).await
}

/// Sends a request to one target after another until there is a response, or an outcome that
/// forbids another attempt. Releases the idempotency key if the request is refused.
async fn send_or_release_key(
    daemon: &Arc<Daemon>,
    exchange: Arc<Exchange>,
    mut upstream: UpstreamRequest,
) -> Result<Response<ResponseBody>, Refusal> {
    let mut recorded_key = None;
    let result = send_with_retries(daemon, exchange, &mut upstream, &mut recorded_key).await;
    match result {
        Ok(response) => Ok(response),
        Err(refusal) => {
            if let Some(key) = recorded_key {
                key.release().await;
            }
            Err(refusal)
        }
    }
}

async fn send_with_retries(
    daemon: &Arc<Daemon>,
    exchange: Arc<Exchange>,
    upstream: &mut UpstreamRequest,
    recorded_key: &mut Option<RecordedKey>,
) -> Result<Response<ResponseBody>, Refusal> {
    let mut attempts = AttemptHistory::default();
    daemon.tables.retries.lock().count_request(daemon.clock.now());
    loop {
        let mut assigned = match attempt::assign_target(daemon, &exchange, &attempts).await {
            Ok(assigned) => assigned,
            Err(refusal) => return Err(attempts.last_failure_or(refusal)),
        };
        // The key may have been revoked while the request waited for a slot.
        if let Err(refusal) = identity::recheck(daemon, &exchange) {
            return Err(attempts.last_failure_or(refusal));
        }
        if recorded_key.is_none() {
            *recorded_key = record_key(daemon, &exchange).await?;
        }
        let end = attempt::send(daemon, &exchange, upstream, &mut assigned).await;
        let (stage, failure, detail) = match end {
            AttemptEnd::Response(response) => {
                recorded_key.iter_mut().for_each(RecordedKey::mark_sent);
                return Ok(relay::relay(daemon, exchange, assigned, *response));
            }
            AttemptEnd::Failed { stage, failure, detail } => (stage, failure, detail),
        };
        if stage >= Stage::BytesSent {
            recorded_key.iter_mut().for_each(RecordedKey::mark_sent);
        }
        let failed = FailedAttempt {
            stage,
            failure,
            idempotent: exchange.idempotent,
            replayable: upstream.is_replayable(),
            earlier_attempts: attempts.count,
            sent_earlier: attempts.sent,
        };
        let next_step = {
            let mut budget = daemon.tables.retries.lock();
            next_attempt(&failed, &mut budget, daemon.clock.now())
        };
        log::info!(
            request:% = exchange.id, service:% = exchange.service,
            target:% = assigned.selected.target,
            reached:? = stage, ended:? = failure, detail = detail.as_str(), next:? = next_step;
            "attempt failed"
        );
        attempts.record(&assigned, stage, give_up(&failed));
        drop(assigned);
        match next_step {
            NextAttempt::Retry => {}
            NextAttempt::Fail { code, .. } => return Err(code.into()),
            // No response head was forwarded to the caller yet, so there is nothing to abort.
            NextAttempt::AbortCaller | NextAttempt::Abandon => {
                return Err(ResultCode::TargetFailed.into());
            }
        }
    }
}

/// Records the idempotency key of a request, if it has one, so that a repeated request is not run
/// again.
async fn record_key(
    daemon: &Arc<Daemon>,
    exchange: &Exchange,
) -> Result<Option<RecordedKey>, Refusal> {
    let (Some(fingerprint), Some(caller)) = (exchange.fingerprint, &exchange.caller) else {
        return Ok(None);
    };
    let ends_at = exchange.ends_at();
    let recorded = crate::idempotency::record(
        daemon,
        &exchange.id,
        &caller.organisation,
        fingerprint,
        ends_at,
    );
    recorded.await.map(Some)
}

/// Returns all values of a header as bytes.
pub fn header_values<'a>(headers: &'a HeaderMap, name: &str) -> impl Iterator<Item = &'a [u8]> {
    headers.get_all(name).into_iter().map(HeaderValue::as_bytes)
}

/// Returns the names and values of all headers.
pub fn header_pairs(headers: &HeaderMap) -> impl Iterator<Item = (&str, &[u8])> {
    headers.iter().map(|(name, value)| (name.as_str(), value.as_bytes()))
}

/// Copies the headers that the filter forwards.
pub fn copy_forwarded_headers(filter: &HeaderFilter<'_>, from: &HeaderMap, to: &mut HeaderMap) {
    for (name, value) in from {
        if filter.should_forward(name.as_str(), value.as_bytes()) {
            to.append(name, value.clone());
        }
    }
}

/// Returns whether a body is known to be empty.
fn is_known_empty(body: &impl Body) -> bool {
    body.is_end_stream()
}

#[cfg(test)]
#[path = "forward_tests.rs"]
mod tests;
