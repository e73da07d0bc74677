//! Bodies of responses to callers.

use std::pin::Pin;
use std::task::{Context, Poll};

use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Bytes, Frame, SizeHint};

use crate::parse_errors::InFlightRequest;

/// An error that makes the server close the caller's connection without completing the body.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;
/// The body of a response to a caller.
pub type ResponseBody = UnsyncBoxBody<Bytes, BodyError>;

/// Returns a body that is held in memory.
pub fn full(bytes: impl Into<Bytes>) -> ResponseBody {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// A response body that counts its request as in flight until the body is dropped.
pub struct TrackedBody {
    inner: ResponseBody,
    _in_flight_request: InFlightRequest,
}

impl TrackedBody {
    /// Wraps a body together with the count of its request.
    pub fn new(inner: ResponseBody, in_flight_request: InFlightRequest) -> Self {
        Self { inner, _in_flight_request: in_flight_request }
    }
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        Pin::new(&mut self.inner).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
