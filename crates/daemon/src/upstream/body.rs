//! Body of a target's response.

use std::error::Error;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use celerygate_steering::responses::EchoRule;
use hyper::body::{Body, Bytes, Frame, Incoming, SizeHint};
use hyper::header::{HeaderMap, HeaderValue, TRANSFER_ENCODING};

use super::ConnectionPool;
use super::connection::Connection;

/// Returns whether a response has a transfer coding other than `chunked`. Only `chunked` is decoded,
/// and the header that names the coding is not forwarded.
pub fn has_other_coding(headers: &HeaderMap) -> bool {
    let is_chunked = |value: &HeaderValue| value.as_bytes().eq_ignore_ascii_case(b"chunked");
    headers.get_all(TRANSFER_ENCODING).iter().any(|value| !is_chunked(value))
}

/// Why the body of a response is incomplete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum BodyFailure {
    /// The target closed the connection before the end of the body.
    BodyCut,
    /// The connection was reset or lost.
    ConnectionLost,
    /// The bytes are no chunks, or trailers or chunk extensions are longer than allowed.
    BodyMalformed,
}

impl BodyFailure {
    /// Returns the reason for an error of a [`TargetBody`].
    pub fn of(error: &hyper::Error) -> Self {
        let source = error.source().and_then(|source| source.downcast_ref::<io::Error>());
        match source.map(io::Error::kind) {
            Some(io::ErrorKind::UnexpectedEof) => Self::BodyCut,
            Some(io::ErrorKind::InvalidData | io::ErrorKind::InvalidInput) => Self::BodyMalformed,
            _ => Self::ConnectionLost,
        }
    }
}

/// Body of a target's response. Dropping it before its end closes the connection, which cancels the
/// request at the target.
///
/// A body without a length that is not chunked ends with its connection: it is complete if the
/// target closed the connection in order, also if it is empty, and fails if the connection was
/// reset.
pub struct TargetBody {
    body: Incoming,
    reusable: Option<(Arc<ConnectionPool>, SocketAddr, Connection)>,
}

impl TargetBody {
    /// Wraps the body of a response on a connection, which returns to the pool after its end.
    pub(super) fn new(
        body: Incoming,
        pool: Arc<ConnectionPool>,
        address: SocketAddr,
        connection: Connection,
    ) -> Self {
        connection.begin_body_part();
        Self { body, reusable: Some((pool, address, connection)) }
    }

    /// Closes the connection instead of reusing it, because its next bytes may belong to another
    /// response.
    pub fn discard(mut self) {
        self.reusable = None;
    }

    /// Records that this response is no success. Its connection is not used for the same request again: a
    /// target that sends the response twice would answer the next attempt with the copy.
    pub fn record_unsuccessful(&mut self, request: &str) {
        if let Some((.., connection)) = &mut self.reusable {
            connection.record_unsuccessful(request);
        }
    }

    /// Closes the connection after this response instead of reusing it.
    pub fn prevent_reuse(&mut self) {
        if let Some((.., connection)) = &mut self.reusable {
            connection.prevent_reuse();
        }
    }

    /// Returns the number of this response's request on its connection, from 1; 0 if the connection is
    /// not kept.
    pub fn number_on_connection(&self) -> u32 {
        self.reusable.as_ref().map_or(0, |(.., connection)| connection.requests())
    }

    /// Returns whether this response must name its request: the target has done so earlier on the
    /// connection.
    pub fn echo_rule(&self) -> EchoRule {
        self.reusable.as_ref().map_or(EchoRule::Optional, |(.., connection)| connection.echo_rule())
    }

    /// Records that this response names its request, so that later ones on the connection must.
    pub fn require_echo(&mut self) {
        if let Some((.., connection)) = &mut self.reusable {
            connection.require_echo();
        }
    }

    fn return_to_pool(&mut self) {
        if let Some((pool, address, connection)) = self.reusable.take() {
            pool.put(address, connection);
        }
    }
}

impl Body for TargetBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(context));
        match &frame {
            None => self.return_to_pool(),
            Some(Err(_)) => self.reusable = None,
            Some(Ok(_)) if self.body.is_end_stream() => self.return_to_pool(),
            Some(Ok(_)) => {
                if let Some((.., connection)) = &self.reusable {
                    connection.begin_body_part();
                }
            }
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for TargetBody {
    fn drop(&mut self) {
        // An empty body is never polled, so `poll_frame` has not returned the connection.
        if self.body.is_end_stream() {
            self.return_to_pool();
        }
    }
}
