//! One attempt to get a response from one target.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use celerygate_steering::headers::{self, HeaderFilter};
use celerygate_steering::outcome::{Failure, NextAttempt, Stage};
use celerygate_steering::targets::{Distance, Observation, SelectedTarget};
use celerygate_types::{OrganisationId, ResultCode, ServiceId, TargetId};
use http_body_util::{BodyExt, Empty};
use hyper::body::{Body, Bytes, Frame, Incoming, SizeHint};
use hyper::header::{HOST, HeaderValue};
use hyper::{HeaderMap, Method, Request, Response, Uri};
use smallvec::SmallVec;
use tokio::runtime::Handle;
use tokio::time::{sleep, timeout_at};

use super::{Exchange, REQUEST_ID_HEADER, copy_kept, is_empty, pairs};
use crate::daemon::Daemon;
use crate::links::{self, PacedBody};
use crate::permits::{self, AdmissionRequest};
use crate::refusal::Refusal;
use crate::tables::SlotGrant;
use crate::upstream::{ConnectionReuse, NetworkPath, RequestBody, SendError, TargetBody};

/// Request header that tells a target whose request it runs.
const ORGANISATION_HEADER: &str = "celerygate-organisation";

/// Time for which the permit of a cancelled request is kept. The target runs the request until it
/// notices that the connection is closed: a round trip between regions takes 20 ms, and a busy
/// target needs some time to read the end of the stream.
const CANCEL_TIME: Duration = Duration::from_millis(100);

/// What the attempts of a request did so far.
#[derive(Default)]
pub struct Attempt {
    /// Number of finished attempts.
    pub count: u32,
    /// Whether one of them sent a byte of the request.
    pub sent: bool,
    /// Targets of earlier attempts.
    pub tried: SmallVec<[TargetId; 2]>,
    last: Option<ResultCode>,
}

impl Attempt {
    /// Records a failed attempt; `end` is how the request ends if it is not sent again.
    pub fn record(&mut self, picked: &Picked, reached: Stage, end: NextAttempt) {
        self.count += 1;
        self.sent |= reached >= Stage::BytesSent;
        self.tried.push(picked.selected.target.clone());
        if let NextAttempt::Fail { code, .. } = end {
            self.last = Some(code);
        }
    }

    /// Returns the refusal when no other target could be picked: the failure of the last attempt
    /// says more about the request than the lack of another target.
    pub fn refusal_after(&self, refusal: Refusal) -> Refusal {
        self.last.map_or(refusal, Refusal::from)
    }
}

/// A chosen target with a permit for one of its slots.
pub struct Picked {
    /// The choice.
    pub selected: SelectedTarget,
    /// Its address.
    pub address: SocketAddr,
    permit: Permit,
}

impl Picked {
    /// Notes that the request was handed to a connection, so that its slot time counts.
    pub fn mark_sent(&mut self) {
        self.permit.sent_at = Some(self.permit.daemon.clock.now());
    }

    /// Notes that the target ended the exchange, so that the slot is free at once.
    pub fn mark_ended(&mut self) {
        self.permit.ended = true;
    }
}

/// A permit in use; dropping it gives it back, after [`CANCEL_TIME`] if the request may still run.
struct Permit {
    daemon: Arc<Daemon>,
    service: ServiceId,
    selected: SelectedTarget,
    work: Duration,
    organisation: Option<OrganisationId>,
    sent_at: Option<Instant>,
    /// Whether the target ended the exchange.
    ended: bool,
}

impl Drop for Permit {
    fn drop(&mut self) {
        let now = self.daemon.clock.now();
        let actual = self.sent_at.map(|sent_at| now.saturating_duration_since(sent_at));
        if let Some(organisation) = &self.organisation {
            let actual = actual.unwrap_or_default();
            self.daemon.tables.permits.lock().queue.finish(organisation, self.work, actual);
        }
        let is_cancelled = self.sent_at.is_some() && !self.ended;
        // Without a runtime the process is about to end.
        match Handle::try_current() {
            Ok(runtime) if is_cancelled => {
                let (daemon, service) = (Arc::clone(&self.daemon), self.service.clone());
                let selected = self.selected.clone();
                runtime.spawn(async move {
                    sleep(CANCEL_TIME).await;
                    permits::release(&daemon, &service, &selected, actual);
                });
            }
            _ => permits::release(&self.daemon, &self.service, &self.selected, actual),
        }
    }
}

/// Waits for a token and a permit for the first attempt. A further one takes a permit of another
/// target, and waits for it only as long as an owner needs to answer.
pub async fn pick(
    daemon: &Arc<Daemon>,
    exchange: &Exchange,
    attempts: &Attempt,
) -> Result<Picked, Refusal> {
    let organisation = exchange.caller.as_ref().map(|caller| &caller.organisation);
    let grant = if attempts.count == 0 {
        let admittee = AdmissionRequest {
            service: &exchange.service,
            organisation,
            arrived: exchange.received_at,
            deadline: exchange.ends_at(),
        };
        permits::admit(daemon, &admittee).await?
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
        ended: false,
    };
    let address = selected.address.parse().map_err(|_| ResultCode::TargetUnreachable)?;
    log::info!(
        request:% = exchange.id, service:% = exchange.service, target:% = selected.target,
        region:% = selected.region, distance:? = selected.distance, attempt = attempts.count;
        "target chosen"
    );
    Ok(Picked { selected, address, permit })
}

/// The parts of a caller's request that go to a target.
pub struct UpstreamRequest {
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Option<RequestBody>,
    body_is_empty: bool,
    body_touched: Arc<AtomicBool>,
}

impl UpstreamRequest {
    /// Takes what is forwarded from a caller's request.
    pub fn new(request: Request<Incoming>, uri: Uri, exchange: &Exchange) -> Self {
        let (parts, body) = request.into_parts();
        let mut forwarded = HeaderMap::with_capacity(parts.headers.len());
        let filter = HeaderFilter::for_request(pairs(&parts.headers));
        copy_kept(&filter, &parts.headers, &mut forwarded);
        forwarded.remove(HOST);
        insert_text(&mut forwarded, REQUEST_ID_HEADER, exchange.id.as_str());
        if let Some(caller) = &exchange.caller {
            insert_text(&mut forwarded, ORGANISATION_HEADER, caller.organisation.as_str());
        }
        let body_is_empty = is_empty(&body);
        let body_touched = Arc::new(AtomicBool::new(false));
        let body = TouchedBody { inner: body, touched: Arc::clone(&body_touched) };
        Self {
            method: parts.method,
            uri,
            headers: forwarded,
            body: Some(body.boxed_unsync()),
            body_is_empty,
            body_touched,
        }
    }

    /// Returns whether the request can be sent again from its first byte.
    pub fn is_replayable(&self) -> bool {
        self.body_is_empty || (self.body.is_some() && !self.body_touched.load(Ordering::Acquire))
    }

    fn build(
        &mut self,
        daemon: &Arc<Daemon>,
        picked: &Picked,
        remaining_ms: u64,
    ) -> Request<RequestBody> {
        let address = picked.address;
        let empty = || Empty::new().map_err(|never| match never {}).boxed_unsync();
        let body = self.body.take().unwrap_or_else(empty);
        let body = match links::outbound(daemon, &picked.selected.region) {
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

/// How an attempt ended.
pub enum AttemptEnd {
    /// The head of a response arrived.
    Response(Response<TargetBody>),
    /// There is no response.
    Failed {
        /// How far the attempt got.
        reached: Stage,
        /// What ended it.
        ended: Failure,
        /// The error, for the log.
        detail: String,
    },
}

impl AttemptEnd {
    fn failed(reached: Stage, ended: Failure, detail: impl ToString) -> Self {
        Self::Failed { reached, ended, detail: detail.to_string() }
    }
}

/// Sends the request to the chosen target and waits for the response head until the deadline.
pub async fn send(
    daemon: &Arc<Daemon>,
    exchange: &Exchange,
    upstream: &mut UpstreamRequest,
    picked: &mut Picked,
) -> AttemptEnd {
    let now = daemon.clock.now();
    let Some(remaining) = headers::remaining_ms(exchange.received_at, exchange.deadline, now)
    else {
        return AttemptEnd::failed(Stage::NotConnected, Failure::DeadlinePassed, "no time left");
    };
    let request = upstream.build(daemon, picked, remaining);
    picked.mark_sent();
    let reach = match picked.selected.distance {
        Distance::Remote => NetworkPath::CrossRegion,
        Distance::DataCentre | Distance::Region => NetworkPath::WithinRegion,
    };
    let sent = daemon.upstream.send(picked.address, reach, ConnectionReuse::Any, request);
    let end = match timeout_at(exchange.ends_at().into(), sent).await {
        Ok(Ok(response)) => return AttemptEnd::Response(response),
        Ok(Err(SendError::NotConnected { request, reason })) => {
            upstream.restore(*request);
            AttemptEnd::failed(Stage::NotConnected, Failure::TargetFailed, reason)
        }
        Ok(Err(SendError::NotSent { request, reason })) => {
            upstream.restore(*request);
            AttemptEnd::failed(Stage::Connected, Failure::TargetFailed, reason)
        }
        Ok(Err(SendError::NoResponse { error, .. })) => {
            AttemptEnd::failed(Stage::BytesSent, Failure::TargetFailed, error)
        }
        // How far the attempt got is not known here, so the worse case is assumed.
        Err(_) => AttemptEnd::failed(Stage::BytesSent, Failure::DeadlinePassed, "deadline passed"),
    };
    if !matches!(end, AttemptEnd::Failed { ended: Failure::DeadlinePassed, .. }) {
        picked.mark_ended();
    }
    let observation = match &end {
        AttemptEnd::Failed { reached: Stage::NotConnected, .. } => Observation::ConnectFailure,
        _ => Observation::Failure,
    };
    daemon.observe(&exchange.service, &picked.selected, observation);
    end
}

/// A request body that notes whether a byte was read from the caller.
struct TouchedBody {
    inner: Incoming,
    touched: Arc<AtomicBool>,
}

impl Body for TouchedBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = Pin::new(&mut self.inner).poll_frame(context);
        if frame.is_ready() {
            self.touched.store(true, Ordering::Release);
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
