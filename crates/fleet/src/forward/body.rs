//! Bodies of targets' responses: held in memory until they are complete, or passed on as they
//! arrive.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use celerygate_daemon::body::BodyError;
use celerygate_daemon::upstream::{BodyFailure, TargetBody};
use celerygate_steering::buffers::{BodyLimits, MemoryBudget, NextBytes, Reservation, next_bytes};
use celerygate_types::{ByteCount, TargetId};
use http_body_util::BodyExt;
use hyper::body::{Body, Bytes, Frame, SizeHint};
use smol_str::SmolStr;
use tokio::time::{Instant, Sleep, sleep_until, timeout_at};

use crate::daemon::Daemon;

/// Memory for the bodies of responses.
pub struct ResponseBuffers {
    /// Limits for each body and for all together.
    pub limits: BodyLimits,
    /// Memory used by held bodies.
    pub budget: Arc<MemoryBudget>,
}

impl ResponseBuffers {
    /// Creates the buffers of a process.
    pub fn new(limits: BodyLimits) -> Self {
        Self { limits, budget: MemoryBudget::new(limits.held_total_max) }
    }
}

impl Default for ResponseBuffers {
    fn default() -> Self {
        Self::new(BodyLimits::default())
    }
}

/// The start of a body, as far as it was read before the response is sent to the caller.
pub(super) struct BodyStart {
    held: Bytes,
    reservation: Reservation,
    /// What is left to read; none if the body is complete.
    rest: Option<TargetBody>,
}

/// Reads a body until it is complete or does not fit into memory.
pub(super) async fn read_start(
    buffers: &ResponseBuffers,
    mut body: TargetBody,
) -> Result<BodyStart, hyper::Error> {
    let mut reservation = buffers.budget.reservation();
    // A single frame is held as it is; several are copied together, since each refers to the whole
    // read buffer of its connection.
    let mut first = Bytes::new();
    let mut joined = Vec::new();
    let mut new = Bytes::new();
    loop {
        let held = ByteCount((first.len() + joined.len()) as u64);
        let count = ByteCount(new.len() as u64);
        let following = body.size_hint().exact().map(ByteCount);
        let next = next_bytes(&buffers.limits, held, count, following);
        let is_held = next == NextBytes::Hold && reservation.grow(count);
        if held == ByteCount(0) {
            first = new;
        } else if !new.is_empty() {
            if joined.is_empty() {
                joined.extend_from_slice(&std::mem::take(&mut first));
            }
            joined.extend_from_slice(&new);
        }
        let is_complete = is_held && body.is_end_stream();
        let frame = if is_held && !is_complete { body.frame().await } else { None };
        match frame {
            Some(frame) => new = frame?.into_data().unwrap_or_default(),
            None => {
                let held = if joined.is_empty() { first } else { joined.into() };
                return Ok(BodyStart { held, reservation, rest: (!is_held).then_some(body) });
            }
        }
    }
}

/// How reading the body of a refusal ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub(super) enum RefusalBodyEnd {
    /// The body is complete; the connection can be used again.
    Complete,
    /// The body is longer than allowed.
    TooLong,
    /// The body did not end in time.
    TooSlow,
    /// The body is cut or malformed.
    #[strum(to_string = "{0}")]
    Failed(BodyFailure),
}

/// Reads the body of a refusal within the limits, so that the connection can be used again.
/// Otherwise closes the connection.
pub(super) async fn read_refusal(limits: &BodyLimits, mut body: TargetBody) -> RefusalBodyEnd {
    let deadline = Instant::now() + limits.refusal_time_max;
    let mut read_bytes = 0;
    let end = loop {
        match timeout_at(deadline, body.frame()).await {
            Ok(None) => return RefusalBodyEnd::Complete,
            Ok(Some(Ok(frame))) => {
                read_bytes += frame.data_ref().map_or(0, Bytes::len) as u64;
                if read_bytes > limits.refusal_max.0 {
                    break RefusalBodyEnd::TooLong;
                }
            }
            Ok(Some(Err(error))) => break RefusalBodyEnd::Failed(BodyFailure::of(&error)),
            Err(_) => break RefusalBodyEnd::TooSlow,
        }
    };
    body.discard();
    end
}

/// The request that a passed on body answers.
pub(super) struct AnsweredRequest {
    pub(super) daemon: Arc<Daemon>,
    pub(super) request: SmolStr,
    pub(super) instance: TargetId,
    /// Deadline of the request: the earlier one of the caller's and the route's.
    pub(super) deadline: Instant,
    /// Time until which the caller waits.
    pub(super) caller_deadline: Instant,
}

/// Why a body that is passed on ends before it is complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
enum EarlyEnd {
    DeadlinePassed,
    #[strum(to_string = "{0}")]
    Target(BodyFailure),
}

/// Body of a response to a caller: the bytes that are held, and then those that follow. Ends with an
/// error if the target's body does, or at the deadline: the caller's for a body with a length, that of
/// the request for one that may have no end.
pub(super) struct ForwardedBody {
    held: Bytes,
    /// Returned to the budget when the body is dropped, since its bytes are in memory until they
    /// are written.
    _reservation: Reservation,
    rest: Option<PassedOn>,
}

struct PassedOn {
    body: TargetBody,
    has_length: bool,
    answered: AnsweredRequest,
    deadline: Pin<Box<Sleep>>,
    forwarded_bytes: u64,
}

impl ForwardedBody {
    /// Creates the body of the response to a caller.
    pub(super) fn new(start: BodyStart, answered: impl FnOnce() -> AnsweredRequest) -> Self {
        let rest = start.rest.map(|body| {
            let answered = answered();
            let has_length = body.size_hint().exact().is_some();
            // The route's timeout limits the wait for a response. One that has begun and has an end
            // is of use to the caller for as long as it waits.
            let deadline = if has_length { answered.caller_deadline } else { answered.deadline };
            PassedOn {
                has_length,
                deadline: Box::pin(sleep_until(deadline)),
                body,
                answered,
                forwarded_bytes: start.held.len() as u64,
            }
        });
        Self { held: start.held, _reservation: start.reservation, rest }
    }
}

impl PassedOn {
    fn poll_frame(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if self.deadline.as_mut().poll(context).is_ready() {
            let error = "deadline passed during the response".into();
            return Poll::Ready(Some(Err(self.end_early(EarlyEnd::DeadlinePassed, error))));
        }
        let frame = ready!(Pin::new(&mut self.body).poll_frame(context));
        Poll::Ready(frame.map(|frame| match frame {
            Ok(frame) => {
                self.forwarded_bytes += frame.data_ref().map_or(0, Bytes::len) as u64;
                Ok(frame)
            }
            Err(error) => {
                let end = EarlyEnd::Target(BodyFailure::of(&error));
                Err(self.end_early(end, error.into()))
            }
        }))
    }

    fn end_early(&self, end: EarlyEnd, error: BodyError) -> BodyError {
        let AnsweredRequest { daemon, request, instance, .. } = &self.answered;
        log::warn!(request = request.as_str(), target_id = instance.as_str(), reason:% = end,
            has_length = self.has_length, forwarded_bytes = self.forwarded_bytes,
            error:% = error; "response ended before it was complete");
        // A long response with a length may be late because of the link or the caller.
        if end != EarlyEnd::DeadlinePassed || !self.has_length {
            let now = daemon.now();
            if let Some(stats) = daemon.tables.targets.lock().stats.get_mut(instance) {
                stats.record_late_failure(now);
            }
        }
        error
    }
}

impl Body for ForwardedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if !self.held.is_empty() {
            let held = std::mem::take(&mut self.held);
            return Poll::Ready(Some(Ok(Frame::data(held))));
        }
        let Some(rest) = &mut self.rest else { return Poll::Ready(None) };
        let frame = ready!(rest.poll_frame(context));
        if matches!(frame, None | Some(Err(_))) {
            // Closes the connection unless the body is complete.
            self.rest = None;
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.held.is_empty() && self.rest.as_ref().is_none_or(|rest| rest.body.is_end_stream())
    }

    fn size_hint(&self) -> SizeHint {
        let held = self.held.len() as u64;
        let Some(rest) = &self.rest else { return SizeHint::with_exact(held) };
        let mut hint = rest.body.size_hint();
        if let Some(upper) = hint.upper() {
            hint.set_upper(upper + held);
        }
        hint.set_lower(hint.lower() + held);
        hint
    }
}
