//! Relaying a target's response to the caller.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use celerygate_steering::headers::HeaderFilter;
use celerygate_steering::targets::Observation;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::{Body, Bytes, Frame, SizeHint};
use tokio::time::{Sleep, sleep_until};

use super::attempt::AssignedTarget;
use super::{Exchange, copy_forwarded_headers, header_pairs};
use crate::body::{BodyError, ResponseBody};
use crate::daemon::Daemon;
use crate::links::{self, PacedBody};
use crate::notices::read_notice;
use crate::upstream::{BodyFailure, TargetBody};

/// How a relayed response ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
enum ResponseEnd {
    Complete,
    TargetFailed,
    DeadlinePassed,
    CallerGone,
}

/// Relays a response; the slot is held until the body ends.
pub fn relay(
    daemon: &Arc<Daemon>,
    exchange: Arc<Exchange>,
    assigned: AssignedTarget,
    response: Response<TargetBody>,
) -> Response<ResponseBody> {
    let (parts, body) = response.into_parts();
    let deadline = Box::pin(sleep_until(exchange.ends_at().into()));
    let is_error = parts.status.is_server_error();
    let is_paused = read_notice(parts.status, &parts.headers).asks_for_pause();
    let body = PacedBody::new(body, links::inbound(daemon, &assigned.selected.region), daemon);
    let completion = Completion {
        daemon: Arc::clone(daemon),
        exchange,
        assigned,
        is_error,
        is_paused,
        end: None,
        failure: None,
        forwarded_bytes: 0,
    };
    let mut relayed = Response::new(RelayBody { body, deadline, completion }.boxed_unsync());
    *relayed.status_mut() = parts.status;
    let filter = HeaderFilter::for_response(header_pairs(&parts.headers));
    copy_forwarded_headers(&filter, &parts.headers, relayed.headers_mut());
    relayed
}

/// Response body for the caller, limited by the deadline of the request.
struct RelayBody {
    body: PacedBody<TargetBody>,
    deadline: Pin<Box<Sleep>>,
    completion: Completion,
}

impl Body for RelayBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if self.deadline.as_mut().poll(context).is_ready() {
            self.completion.end = Some(ResponseEnd::DeadlinePassed);
            return Poll::Ready(Some(Err("deadline passed during the response".into())));
        }
        let frame = ready!(Pin::new(&mut self.body).poll_frame(context));
        match &frame {
            Some(Err(error)) => {
                self.completion.end = Some(ResponseEnd::TargetFailed);
                self.completion.failure = Some(BodyFailure::of(error));
            }
            Some(Ok(_)) if !self.body.is_end_stream() => {}
            _ => self.completion.end = Some(ResponseEnd::Complete),
        }
        if let Some(Ok(Some(data))) =
            frame.as_ref().map(|frame| frame.as_ref().map(Frame::data_ref))
        {
            self.completion.count_bytes(data.len());
        }
        Poll::Ready(frame.map(|frame| frame.map_err(BodyError::from)))
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for RelayBody {
    fn drop(&mut self) {
        // An empty body is never polled, so `poll_frame` has not set the end.
        if self.completion.end.is_none() && self.body.is_end_stream() {
            self.completion.end = Some(ResponseEnd::Complete);
        }
    }
}

/// Records the end of a response and releases the slot when it is dropped.
struct Completion {
    daemon: Arc<Daemon>,
    exchange: Arc<Exchange>,
    assigned: AssignedTarget,
    is_error: bool,
    /// Whether the target asks for a pause, which is no failure.
    is_paused: bool,
    end: Option<ResponseEnd>,
    /// Why the target's body is incomplete.
    failure: Option<BodyFailure>,
    forwarded_bytes: u64,
}

impl Completion {
    fn count_bytes(&mut self, bytes: usize) {
        self.forwarded_bytes += bytes as u64;
        let service = &self.exchange.service;
        self.daemon.tables.traffic.lock().add(service, bytes as u64);
    }
}

impl Drop for Completion {
    fn drop(&mut self) {
        let end = self.end.unwrap_or(ResponseEnd::CallerGone);
        if matches!(end, ResponseEnd::Complete | ResponseEnd::TargetFailed) {
            self.assigned.mark_ended();
        }
        let observation = match end {
            ResponseEnd::Complete if !self.is_error => Some(Observation::Success),
            ResponseEnd::CallerGone => None,
            ResponseEnd::Complete if self.is_paused => None,
            _ => Some(Observation::Failure),
        };
        if let Some(observation) = observation {
            self.daemon.observe(&self.exchange.service, &self.assigned.selected, observation);
        }
        let now = self.daemon.clock.now();
        let duration = now.saturating_duration_since(self.exchange.received_at);
        let name: &'static str = end.into();
        let reason: &'static str = self.failure.map_or("", BodyFailure::into);
        log::info!(
            request:% = self.exchange.id, service:% = self.exchange.service,
            target:% = self.assigned.selected.target, end = name,
            reason = reason, forwarded_bytes = self.forwarded_bytes,
            time_us = duration.as_micros() as u64;
            "response ended"
        );
        self.daemon.metrics.count_request(
            self.exchange.service.as_str(),
            0,
            duration.as_secs_f64(),
        );
    }
}
