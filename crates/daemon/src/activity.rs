//! What is known about a connection from the bytes that pass through it.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use parking_lot::Mutex;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::Instant;

/// Activity on a connection, shared between its stream and the code that closes it.
#[derive(Clone, Debug, Default)]
pub struct Activity(Arc<Mutex<State>>);

#[derive(Debug, Default)]
struct State {
    last_write_at: Option<Instant>,
}

impl Activity {
    /// Returns the time at which the kernel last accepted bytes for the peer.
    pub fn last_write_at(&self) -> Option<Instant> {
        self.0.lock().last_write_at
    }

    fn record_write(&self, result: &Poll<io::Result<usize>>) {
        if matches!(result, Poll::Ready(Ok(_))) {
            self.0.lock().last_write_at = Some(Instant::now());
        }
    }
}

/// A stream that records its activity.
#[derive(Debug)]
pub struct ActivityStream<S> {
    stream: S,
    activity: Activity,
}

impl<S> ActivityStream<S> {
    /// Wraps a stream.
    pub fn new(stream: S) -> Self {
        Self { stream, activity: Activity::default() }
    }

    /// Returns the activity of the stream.
    pub fn activity(&self) -> Activity {
        self.activity.clone()
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for ActivityStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for ActivityStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.activity.record_write(&result);
        result
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.activity.record_write(&result);
        result
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
