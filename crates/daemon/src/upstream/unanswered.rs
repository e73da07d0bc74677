//! Requests that are given up before a byte of their response was received.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, OnceLock};
use std::task::{Context, Poll, ready};

use celerygate_steering::silence::UnansweredRequest;
use http_body_util::BodyExt;
use hyper::Request;
use hyper::body::{Body, Bytes, Frame, SizeHint};
use tokio::time::Instant;

use super::socket::ReadCounter;
use super::{ConnectionPool, RequestBody};

/// When the last byte of a request was passed to its connection. Until then, the target cannot
/// answer, however long its caller takes.
#[derive(Clone, Debug, Default)]
struct RequestEnd(Arc<OnceLock<Instant>>);

impl RequestEnd {
    fn record(&self) {
        self.0.get_or_init(Instant::now);
    }
}

/// Reports a request to the pool when the future of its response is dropped.
pub struct UnansweredGuard<'a> {
    pool: &'a ConnectionPool,
    address: SocketAddr,
    idle_since: Option<Instant>,
    end: RequestEnd,
    reads: Arc<ReadCounter>,
    received_earlier: u64,
    is_armed: bool,
}

impl<'a> UnansweredGuard<'a> {
    /// Observes a request that is about to be sent on a connection. `idle_since` is the time at
    /// which the previous response on it ended.
    pub fn attach(
        pool: &'a ConnectionPool,
        address: SocketAddr,
        idle_since: Option<Instant>,
        reads: Arc<ReadCounter>,
        request: Request<RequestBody>,
    ) -> (Self, Request<RequestBody>) {
        let end = RequestEnd::default();
        let request = if request.body().is_end_stream() {
            end.record();
            request
        } else {
            let end = end.clone();
            request.map(|inner| ObservedBody { inner, end }.boxed_unsync())
        };
        let received_earlier = reads.received_bytes();
        let guard =
            Self { pool, address, idle_since, end, reads, received_earlier, is_armed: true };
        (guard, request)
    }

    /// Ends the observation: the response has begun, or the connection has failed.
    pub fn disarm(mut self) {
        self.is_armed = false;
    }
}

impl Drop for UnansweredGuard<'_> {
    fn drop(&mut self) {
        if self.is_armed && self.reads.received_bytes() == self.received_earlier {
            let request = UnansweredRequest {
                idle_since: self.idle_since.map(Instant::into_std),
                sent_at: self.end.0.get().copied().map(Instant::into_std),
            };
            self.pool.close_silent(self.address, &request);
        }
    }
}

/// Body of a request that records its end.
struct ObservedBody {
    inner: RequestBody,
    end: RequestEnd,
}

impl Body for ObservedBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = ready!(Pin::new(&mut self.inner).poll_frame(context));
        if frame.is_none() || self.inner.is_end_stream() {
            self.end.record();
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
