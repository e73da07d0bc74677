//! What is known about a connection from the bytes that pass through it.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use parking_lot::Mutex;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::Instant;

/// End of a request head.
const HEAD_END: [u8; 4] = *b"\r\n\r\n";

/// Activity on a connection, shared between its stream and the code that closes it.
#[derive(Clone, Debug)]
pub struct Activity(Arc<Mutex<State>>);

#[derive(Debug)]
struct State {
    opened_at: Instant,
    last_write_at: Option<Instant>,
    is_write_pending: bool,
    /// Last bytes that were read.
    read_tail: [u8; 4],
}

/// Whether a connection without a running request can be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdleState {
    /// A response is being written, or a part of a request may have been read.
    Busy,
    /// Nothing was read or written for a while. A request that arrives now stays unread.
    Idle,
    /// The peer may have sent a request before it knew that the connection ends.
    RecentlyUsed {
        /// Time from which the connection is idle, unless it is used again.
        idle_at: Instant,
    },
}

impl Default for Activity {
    fn default() -> Self {
        Self(Arc::new(Mutex::new(State {
            opened_at: Instant::now(),
            last_write_at: None,
            is_write_pending: false,
            read_tail: HEAD_END,
        })))
    }
}

impl Activity {
    /// Returns whether the connection can be closed while none of its requests is running.
    ///
    /// What was read so far is known to be complete if it ends like a request head. After a request
    /// with a body this is not known, so that such a connection counts as busy; the timeout for a
    /// request head ends it.
    pub fn idle_state(&self, quiet: Duration, now: Instant) -> IdleState {
        let state = self.0.lock();
        if state.is_write_pending || state.read_tail != HEAD_END {
            return IdleState::Busy;
        }
        let idle_at = state.last_write_at.unwrap_or(state.opened_at) + quiet;
        if idle_at <= now { IdleState::Idle } else { IdleState::RecentlyUsed { idle_at } }
    }

    /// Returns the time at which the kernel last accepted bytes for the peer.
    pub fn last_write_at(&self) -> Option<Instant> {
        self.0.lock().last_write_at
    }

    fn record_write(&self, result: &Poll<io::Result<usize>>) {
        let mut state = self.0.lock();
        state.is_write_pending = result.is_pending();
        if matches!(result, Poll::Ready(Ok(_))) {
            state.last_write_at = Some(Instant::now());
        }
    }

    fn record_read(&self, bytes: &[u8]) {
        let mut state = self.0.lock();
        let kept = HEAD_END.len().saturating_sub(bytes.len());
        state.read_tail.rotate_right(kept);
        state.read_tail[kept..].copy_from_slice(&bytes[bytes.len() + kept - HEAD_END.len()..]);
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
        let earlier = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        self.activity.record_read(&buffer.filled()[earlier..]);
        result
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

#[cfg(test)]
#[path = "activity_tests.rs"]
mod tests;
