//! The response of a target on its way to the caller.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use celerygate_steering::headers::HeaderFilter;
use celerygate_steering::targets::Observation;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::{Body, Bytes, Frame, SizeHint};
use tokio::time::{Sleep, sleep_until};

use super::attempt::Picked;
use super::{Exchange, copy_kept, pairs};
use crate::body::{BodyError, ResponseBody};
use crate::daemon::Daemon;
use crate::links::{self, PacedBody};
use crate::upstream::TargetBody;

/// How a relayed response ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
enum End {
    Complete,
    TargetFailed,
    DeadlinePassed,
    CallerGone,
}

/// Passes a response on; the slot is held until its body ends.
pub fn relay(
    daemon: &Arc<Daemon>,
    exchange: Arc<Exchange>,
    picked: Picked,
    response: Response<TargetBody>,
) -> Response<ResponseBody> {
    let (parts, body) = response.into_parts();
    let deadline = Box::pin(sleep_until(exchange.ends_at().into()));
    let is_error = parts.status.is_server_error();
    let body = PacedBody::new(body, links::inbound(daemon, &picked.selected.region), daemon);
    let finish = Finish { daemon: Arc::clone(daemon), exchange, picked, is_error, end: None };
    let mut relayed = Response::new(RelayBody { body, deadline, finish }.boxed_unsync());
    *relayed.status_mut() = parts.status;
    let filter = HeaderFilter::for_response(pairs(&parts.headers));
    copy_kept(&filter, &parts.headers, relayed.headers_mut());
    relayed
}

struct RelayBody {
    body: PacedBody<TargetBody>,
    deadline: Pin<Box<Sleep>>,
    finish: Finish,
}

impl Body for RelayBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if self.deadline.as_mut().poll(context).is_ready() {
            self.finish.end = Some(End::DeadlinePassed);
            return Poll::Ready(Some(Err("deadline passed during the response".into())));
        }
        let frame = ready!(Pin::new(&mut self.body).poll_frame(context));
        match &frame {
            Some(Err(_)) => self.finish.end = Some(End::TargetFailed),
            Some(Ok(_)) if !self.body.is_end_stream() => {}
            _ => self.finish.end = Some(End::Complete),
        }
        if let Some(Ok(Some(data))) =
            frame.as_ref().map(|frame| frame.as_ref().map(Frame::data_ref))
        {
            self.finish.count_bytes(data.len());
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
        // A body without bytes is never polled.
        if self.finish.end.is_none() && self.body.is_end_stream() {
            self.finish.end = Some(End::Complete);
        }
    }
}

/// Records the end of a response and releases the slot when dropped.
struct Finish {
    daemon: Arc<Daemon>,
    exchange: Arc<Exchange>,
    picked: Picked,
    is_error: bool,
    end: Option<End>,
}

impl Finish {
    fn count_bytes(&self, bytes: usize) {
        let service = &self.exchange.service;
        self.daemon.tables.traffic.lock().add(service, bytes as u64);
    }
}

impl Drop for Finish {
    fn drop(&mut self) {
        let end = self.end.unwrap_or(End::CallerGone);
        if matches!(end, End::Complete | End::TargetFailed) {
            self.picked.mark_ended();
        }
        let observation = match end {
            End::Complete if !self.is_error => Some(Observation::Success),
            End::CallerGone => None,
            _ => Some(Observation::Failure),
        };
        if let Some(observation) = observation {
            self.daemon.observe(&self.exchange.service, &self.picked.selected, observation);
        }
        let now = self.daemon.clock.now();
        let time = now.saturating_duration_since(self.exchange.received_at);
        let name: &'static str = end.into();
        log::info!(
            request:% = self.exchange.id, service:% = self.exchange.service,
            target:% = self.picked.selected.target, end = name, time_us = time.as_micros() as u64;
            "response ended"
        );
        self.daemon.metrics.count_request(self.exchange.service.as_str(), 0, time.as_secs_f64());
    }
}
