//! Replaces the HTTP library's own error responses by responses with the usual error body.
//!
//! The library answers a request head that it cannot parse with an empty body, before any code of
//! the daemon runs. This wrapper of the connection replaces that response.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};

use celerygate_types::{RequestId, ResultCode};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::refusal::Refusal;

/// Counts the requests of a connection whose responses are incomplete.
#[derive(Clone, Debug, Default)]
pub struct InFlightCounter(Arc<AtomicUsize>);

/// Counts a request as in flight until it is dropped.
#[derive(Debug)]
pub struct InFlightRequest(Arc<AtomicUsize>);

impl InFlightCounter {
    /// Counts a new request.
    pub fn begin(&self) -> InFlightRequest {
        self.0.fetch_add(1, Ordering::AcqRel);
        InFlightRequest(Arc::clone(&self.0))
    }

    /// Returns the number of requests whose responses are incomplete.
    pub fn count(&self) -> usize {
        self.0.load(Ordering::Acquire)
    }
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// A connection on which the error responses of the HTTP library are replaced.
#[derive(Debug)]
pub struct ErrorResponseRewriter<S> {
    stream: S,
    request: RequestId,
    in_flight: InFlightCounter,
    replacement: Option<Replacement>,
}

#[derive(Debug)]
struct Replacement {
    bytes: Vec<u8>,
    written_bytes: usize,
}

impl<S> ErrorResponseRewriter<S> {
    /// Wraps a connection. The replacement for an error response contains `request` as its id.
    pub fn new(stream: S, request: RequestId) -> Self {
        Self { stream, request, in_flight: InFlightCounter::default(), replacement: None }
    }

    /// Returns the counter with which the connection's service counts its requests.
    pub fn in_flight(&self) -> InFlightCounter {
        self.in_flight.clone()
    }

    fn replacement_for(&self, bytes: &[u8]) -> Option<Replacement> {
        let code = code_of_library_error(bytes).filter(|_| self.in_flight.count() == 0)?;
        log::info!(request:% = self.request, code = code.number(); "request head refused");
        Some(Replacement { bytes: error_response(code, &self.request), written_bytes: 0 })
    }
}

/// Returns the result code for the library's response to a head that it cannot parse, or `None` for
/// other responses.
fn code_of_library_error(bytes: &[u8]) -> Option<ResultCode> {
    let has_empty_body = bytes.windows(17).any(|part| part == b"content-length: 0");
    if !has_empty_body || !bytes.ends_with(b"\r\n\r\n") {
        return None;
    }
    match bytes.get(..13)? {
        b"HTTP/1.1 400 " => Some(ResultCode::BadRequest),
        b"HTTP/1.1 414 " | b"HTTP/1.1 431 " => Some(ResultCode::HeadTooLarge),
        _ => None,
    }
}

fn error_response(code: ResultCode, request: &RequestId) -> Vec<u8> {
    let body = serde_json::to_vec(&Refusal::from(code).body(request)).unwrap_or_default();
    let status = code.http_status();
    let mut response = format!(
        "HTTP/1.1 {status} {}\r\ncontent-type: application/json\r\ncelerygate-request: {request}\r\n\
         connection: close\r\ncontent-length: {}\r\n\r\n",
        hyper::StatusCode::from_u16(status)
            .ok()
            .and_then(|status| status.canonical_reason())
            .unwrap_or("Error"),
        body.len()
    )
    .into_bytes();
    response.extend_from_slice(&body);
    response
}

impl<S: AsyncWrite + Unpin> ErrorResponseRewriter<S> {
    fn poll_replacement(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        while let Some(replacement) = &mut self.replacement {
            let remaining = &replacement.bytes[replacement.written_bytes..];
            if remaining.is_empty() {
                self.replacement = None;
                break;
            }
            let count = ready!(Pin::new(&mut self.stream).poll_write(context, remaining))?;
            if count == 0 {
                return Poll::Ready(Err(io::ErrorKind::WriteZero.into()));
            }
            replacement.written_bytes += count;
        }
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for ErrorResponseRewriter<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for ErrorResponseRewriter<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.replacement.is_none() {
            self.replacement = self.replacement_for(bytes);
        }
        if self.replacement.is_none() {
            return Pin::new(&mut self.stream).poll_write(context, bytes);
        }
        ready!(self.poll_replacement(context))?;
        Poll::Ready(Ok(bytes.len()))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        match slices {
            [only] => self.poll_write(context, only),
            _ => Pin::new(&mut self.stream).poll_write_vectored(context, slices),
        }
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

#[cfg(test)]
#[path = "parse_errors_tests.rs"]
mod tests;
