//! An attempt to get a response from a target.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use celerygate_steering::headers::{self, HeaderFilter};
use celerygate_steering::outcome::{Failure, NextAttempt, Stage};
use celerygate_steering::responses::{ResponseHead, ResponseKind, response_kind};
use celerygate_steering::targets::{Distance, Observation, SelectedTarget};
use celerygate_types::{OrganisationId, RequestId, ResultCode, ServiceId, TargetId};
use http_body_util::{BodyExt, Empty};
use hyper::body::{Body, Bytes, Frame, Incoming, SizeHint};
use hyper::header::{HOST, HeaderValue};
use hyper::{HeaderMap, Method, Request, Response, Uri};
use smallvec::SmallVec;
use tokio::runtime::Handle;
use tokio::time::{sleep, timeout_at};

use super::{
    Exchange, REQUEST_ID_HEADER, copy_forwarded_headers, header_pairs, header_values,
    is_known_empty,
};
use crate::daemon::Daemon;
use crate::links::{self, PacedBody};
use crate::notices::{read_notice, record_notice};
use crate::permits::{self, AdmissionRequest};
use crate::refusal::Refusal;
use crate::tables::SlotGrant;
use crate::upstream::{
    ConnectionReuse, NetworkPath, RequestBody, SendError, TargetBody, has_other_coding,
};

/// Request header with the organisation that sent the request, for the target.
const ORGANISATION_HEADER: &str = "celerygate-organisation";

/// Time for which the permit of a cancelled request is held. The target processes the request until
/// it detects that the connection is closed: a round trip between regions takes 20 ms, and a busy
/// target needs some time to read the end of the stream.
const CANCEL_HOLD_TIME: Duration = Duration::from_millis(100);

/// Earlier attempts of a request.
#[derive(Default)]
pub struct AttemptHistory {
    /// Number of finished attempts.
    pub count: u32,
    /// Whether any attempt sent a byte of the request.
    pub sent: bool,
    /// Targets of earlier attempts.
    pub tried: SmallVec<[TargetId; 2]>,
    last_failure: Option<ResultCode>,
}

impl AttemptHistory {
    /// Records a failed attempt. `end` is the final result if the request is not sent again.
    pub fn record(&mut self, assigned: &AssignedTarget, stage: Stage, end: NextAttempt) {
        self.count += 1;
        self.sent |= stage >= Stage::BytesSent;
        self.tried.push(assigned.selected.target.clone());
        if let NextAttempt::Fail { code, .. } = end {
            self.last_failure = Some(code);
        }
    }

    /// Returns the refusal for a request that no other target can take. The failure of the last
    /// attempt takes precedence, because it is more informative than the lack of another target.
    pub fn last_failure_or(&self, refusal: Refusal) -> Refusal {
        self.last_failure.map_or(refusal, Refusal::from)
    }
}

/// The target of an attempt, with a permit for one of its slots.
pub struct AssignedTarget {
    /// The selected target.
    pub selected: SelectedTarget,
    /// Address of the target.
    pub address: SocketAddr,
    permit: Permit,
}

impl AssignedTarget {
    /// Records that sending of the request started, which starts the measurement of its slot time.
    pub fn mark_sent(&mut self) {
        self.permit.sent_at = Some(self.permit.daemon.clock.now());
    }

    /// Records that the target completed or aborted the exchange, so that the slot is free at once.
    pub fn mark_ended(&mut self) {
        self.permit.ended_by_target = true;
    }
}

/// A permit in use. Dropping it releases the permit, after [`CANCEL_HOLD_TIME`] if the target may
/// still be processing the request.
struct Permit {
    daemon: Arc<Daemon>,
    service: ServiceId,
    selected: SelectedTarget,
    /// Expected slot time, which the queue charged to the organisation.
    work: Duration,
    organisation: Option<OrganisationId>,
    sent_at: Option<Instant>,
    /// Whether the target completed or aborted the exchange.
    ended_by_target: bool,
}

impl Drop for Permit {
    fn drop(&mut self) {
        let now = self.daemon.clock.now();
        let actual = self.sent_at.map(|sent_at| now.saturating_duration_since(sent_at));
        if let Some(organisation) = &self.organisation {
            let actual = actual.unwrap_or_default();
            self.daemon.tables.permits.lock().queue.finish(organisation, self.work, actual);
        }
        let is_cancelled = self.sent_at.is_some() && !self.ended_by_target;
        // Without a runtime, the process is about to exit.
        match Handle::try_current() {
            Ok(runtime) if is_cancelled => {
                let (daemon, service) = (Arc::clone(&self.daemon), self.service.clone());
                let selected = self.selected.clone();
                runtime.spawn(async move {
                    sleep(CANCEL_HOLD_TIME).await;
                    permits::release(&daemon, &service, &selected, actual);
                });
            }
            _ => permits::release(&self.daemon, &self.service, &self.selected, actual),
        }
    }
}

/// Assigns a target to an attempt. The first attempt waits for a token and a permit. A retry takes
/// a permit of another target, and waits for it only for as long as an owner needs to reply.
pub async fn assign_target(
    daemon: &Arc<Daemon>,
    exchange: &Exchange,
    attempts: &AttemptHistory,
) -> Result<AssignedTarget, Refusal> {
    let organisation = exchange.caller.as_ref().map(|caller| &caller.organisation);
    let grant = if attempts.count == 0 {
        let admission = AdmissionRequest {
            service: &exchange.service,
            organisation,
            arrived: exchange.received_at,
            deadline: exchange.ends_at(),
        };
        permits::admit(daemon, &admission).await?
    } else {
        permits::acquire_for_retry(daemon, &exchange.service, &attempts.tried, exchange.ends_at())
            .await?
    };
    let SlotGrant { selected, work } = grant;
    let permit = Permit {
        daemon: Arc::clone(daemon),
        service: exchange.service.clone(),
        selected: selected.clone(),
        work,
        organisation: organisation.cloned(),
        sent_at: None,
        ended_by_target: false,
    };
    let address = selected.address.parse().map_err(|_| ResultCode::TargetUnreachable)?;
    log::info!(
        request:% = exchange.id, service:% = exchange.service, target:% = selected.target,
        region:% = selected.region, distance:? = selected.distance, attempt = attempts.count;
        "target chosen"
    );
    Ok(AssignedTarget { selected, address, permit })
}

/// The parts of a caller's request that are forwarded to a target.
pub struct UpstreamRequest {
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Option<RequestBody>,
    is_body_empty: bool,
    body_read_started: Arc<AtomicBool>,
}

impl UpstreamRequest {
    /// Takes the forwarded parts of a caller's request.
    pub fn new(request: Request<Incoming>, uri: Uri, exchange: &Exchange) -> Self {
        let (parts, body) = request.into_parts();
        let mut forwarded = HeaderMap::with_capacity(parts.headers.len());
        let filter = HeaderFilter::for_request(header_pairs(&parts.headers));
        copy_forwarded_headers(&filter, &parts.headers, &mut forwarded);
        forwarded.remove(HOST);
        insert_text(&mut forwarded, REQUEST_ID_HEADER, exchange.id.as_str());
        if let Some(caller) = &exchange.caller {
            insert_text(&mut forwarded, ORGANISATION_HEADER, caller.organisation.as_str());
        }
        let is_body_empty = is_known_empty(&body);
        let body_read_started = Arc::new(AtomicBool::new(false));
        let body = ReadTrackingBody { inner: body, read_started: Arc::clone(&body_read_started) };
        Self {
            method: parts.method,
            uri,
            headers: forwarded,
            body: Some(body.boxed_unsync()),
            is_body_empty,
            body_read_started,
        }
    }

    /// Returns whether the request can be sent again from its first byte.
    pub fn is_replayable(&self) -> bool {
        self.is_body_empty
            || (self.body.is_some() && !self.body_read_started.load(Ordering::Acquire))
    }

    fn build(
        &mut self,
        daemon: &Arc<Daemon>,
        assigned: &AssignedTarget,
        remaining_ms: u64,
    ) -> Request<RequestBody> {
        let address = assigned.address;
        let empty = || Empty::new().map_err(|never| match never {}).boxed_unsync();
        let body = self.body.take().unwrap_or_else(empty);
        let body = match links::outbound(daemon, &assigned.selected.region) {
            Some(link) => PacedBody::new(body, Some(link), daemon).boxed_unsync(),
            None => body,
        };
        let mut request = Request::new(body);
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        insert_text(request.headers_mut(), HOST.as_str(), &address.to_string());
        let remaining = HeaderValue::from(remaining_ms);
        request.headers_mut().insert(headers::DEADLINE_HEADER, remaining);
        request
    }

    fn restore(&mut self, request: Request<RequestBody>) {
        self.body = Some(request.into_body());
    }
}

fn insert_text(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

/// Result of an attempt.
pub enum AttemptEnd {
    /// The head of a response was received.
    Response(Box<Response<TargetBody>>),
    /// No response was received.
    Failed {
        /// Stage that the attempt reached.
        stage: Stage,
        /// Reason for the failure.
        failure: Failure,
        /// Error description for the log.
        detail: String,
    },
}

impl AttemptEnd {
    fn failed(stage: Stage, failure: Failure, detail: impl ToString) -> Self {
        Self::Failed { stage, failure, detail: detail.to_string() }
    }
}

/// Sends the request to the assigned target and waits for the response head until the deadline.
pub async fn send(
    daemon: &Arc<Daemon>,
    exchange: &Exchange,
    upstream: &mut UpstreamRequest,
    assigned: &mut AssignedTarget,
) -> AttemptEnd {
    let now = daemon.clock.now();
    let Some(remaining) = headers::remaining_ms(exchange.received_at, exchange.deadline, now)
    else {
        return AttemptEnd::failed(
            Stage::NotConnected,
            Failure::DeadlinePassed,
            "the deadline had passed before the request was sent",
        );
    };
    let request = upstream.build(daemon, assigned, remaining);
    assigned.mark_sent();
    let path = match assigned.selected.distance {
        Distance::Remote => NetworkPath::CrossRegion,
        Distance::DataCentre | Distance::Region => NetworkPath::WithinRegion,
    };
    let (pool, id) = (&daemon.connection_pool, exchange.id.as_str());
    let sent = pool.send(assigned.address, path, ConnectionReuse::Any, id, request);
    let end = match timeout_at(exchange.ends_at().into(), sent).await {
        Ok(Ok(mut response)) => {
            let kind = kind_of(&exchange.id, &response);
            let notice = read_notice(response.status(), response.headers()).believed_in(kind);
            let selected = &assigned.selected;
            record_notice(daemon, &exchange.id, &exchange.service, selected, notice);
            match kind {
                ResponseKind::Answer | ResponseKind::NotRun => {
                    if response.headers().contains_key(REQUEST_ID_HEADER) {
                        response.body_mut().require_echo();
                    }
                    return AttemptEnd::Response(Box::new(response));
                }
                ResponseKind::Rejected(reason) => {
                    // The response to this request may still follow on the connection.
                    response.into_body().discard();
                    AttemptEnd::failed(Stage::BytesSent, Failure::TargetFailed, reason)
                }
            }
        }
        Ok(Err(SendError::NotConnected { request, reason })) => {
            upstream.restore(*request);
            AttemptEnd::failed(Stage::NotConnected, Failure::TargetFailed, reason)
        }
        Ok(Err(SendError::NotSent { request, reason })) => {
            upstream.restore(*request);
            AttemptEnd::failed(Stage::Connected, Failure::TargetFailed, reason)
        }
        Ok(Err(SendError::NoResponse { reason, detail, .. })) => {
            let detail = format!("{reason}: {detail}");
            AttemptEnd::failed(Stage::BytesSent, Failure::TargetFailed, detail)
        }
        // The stage is unknown here, so assume that bytes of the request were sent.
        Err(_) => AttemptEnd::failed(Stage::BytesSent, Failure::DeadlinePassed, "deadline passed"),
    };
    if !matches!(end, AttemptEnd::Failed { failure: Failure::DeadlinePassed, .. }) {
        assigned.mark_ended();
    }
    let observation = match &end {
        AttemptEnd::Failed { stage: Stage::NotConnected, .. } => Observation::ConnectFailure,
        _ => Observation::Failure,
    };
    daemon.observe(&exchange.service, &assigned.selected, observation);
    end
}

/// Returns what a response is believed to be. A target need not name the request, but one that does so
/// once on a connection must go on.
fn kind_of(sent: &RequestId, response: &Response<TargetBody>) -> ResponseKind {
    let headers = response.headers();
    let text = |id| std::str::from_utf8(id).unwrap_or_default();
    let head = ResponseHead {
        status: response.status().as_u16(),
        request_ids: &header_values(headers, REQUEST_ID_HEADER).map(text).collect::<Vec<_>>(),
        is_not_run: false,
        has_other_coding: has_other_coding(headers),
    };
    response_kind(sent.as_str(), response.body().echo_rule(), &head)
}

/// A request body that records whether any of it was read from the caller.
struct ReadTrackingBody {
    inner: Incoming,
    read_started: Arc<AtomicBool>,
}

impl Body for ReadTrackingBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = Pin::new(&mut self.inner).poll_frame(context);
        if frame.is_ready() {
            self.read_started.store(true, Ordering::Release);
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
