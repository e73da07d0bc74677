//! The socket of a connection to a target. Lets the pool see unread bytes before it reuses the
//! connection.

use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Weak};
use std::task::{Context, Poll, ready};

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// State of the socket of an idle connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum IdleState {
    /// No byte is unread.
    Empty,
    /// The target sent bytes that belong to no request.
    SurplusBytes,
    /// The target closed or reset the connection.
    Closed,
}

/// Returns what the kernel has received on an idle connection. The runtime may not know of it yet,
/// because it learns of new bytes only between tasks.
pub fn idle_state(stream: &Weak<TcpStream>) -> IdleState {
    let Some(stream) = stream.upgrade() else { return IdleState::Closed };
    match SockRef::from(&*stream).peek(&mut [MaybeUninit::uninit()]) {
        Ok(0) => IdleState::Closed,
        Ok(_) => IdleState::SurplusBytes,
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => IdleState::Empty,
        Err(_) => IdleState::Closed,
    }
}

/// Counts the bytes that are read from a socket, and limits those between a request and the head of
/// its response, and between two parts of a body. The HTTP library limits the size of a head, but not the
/// number of interim responses before it, nor the leading zeros of a chunk's size.
#[derive(Debug)]
pub struct ReadCounter {
    received: AtomicU64,
    /// Count at which reading fails, `u64::MAX` if nothing is awaited.
    limit: AtomicU64,
}

impl ReadCounter {
    fn new() -> Self {
        Self { received: AtomicU64::new(0), limit: AtomicU64::new(u64::MAX) }
    }

    /// Returns the number of bytes received so far.
    pub fn received_bytes(&self) -> u64 {
        self.received.load(Ordering::Relaxed)
    }

    /// Starts the wait for a head or a part of a body, in which `bytes` may be read.
    pub fn begin(&self, bytes: u64) {
        self.limit.store(self.received_bytes() + bytes, Ordering::Relaxed);
    }

    /// Ends the wait.
    pub fn end(&self) {
        self.limit.store(u64::MAX, Ordering::Relaxed);
    }

    fn is_exhausted(&self) -> bool {
        self.received_bytes() >= self.limit.load(Ordering::Relaxed)
    }
}

/// Bytes that all connections to targets together may read at once. A response that its caller does not
/// read occupies some four reads: in the HTTP library, on the way to the caller, and being written.
const READ_TOTAL_BYTES: usize = 16 * 1_024 * 1_024;
/// Bytes of one read. The HTTP library enlarges its buffer while reads fill it.
const READ_MAX_BYTES: usize = 32 * 1_024;
const READ_MIN_BYTES: usize = 4 * 1_024;

/// Returns the maximum size of a read while a number of connections is open.
fn read_size(open_connections: usize) -> usize {
    let share = READ_TOTAL_BYTES / open_connections.max(1);
    share.clamp(READ_MIN_BYTES, READ_MAX_BYTES)
}

/// Number of the open connections to targets.
#[derive(Clone, Debug, Default)]
pub struct OpenSockets(Arc<AtomicUsize>);

/// The socket as the HTTP library uses it. Dropping it closes the connection.
pub struct TargetSocket {
    stream: Arc<TcpStream>,
    reads: Arc<ReadCounter>,
    open: OpenSockets,
}

impl Drop for TargetSocket {
    fn drop(&mut self) {
        self.open.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl TargetSocket {
    /// Wraps a connected socket and counts it among the open ones.
    pub fn new(stream: TcpStream, open: OpenSockets) -> Self {
        open.0.fetch_add(1, Ordering::Relaxed);
        Self { stream: Arc::new(stream), reads: Arc::new(ReadCounter::new()), open }
    }

    /// Returns the counter of the bytes read from the socket.
    pub fn reads(&self) -> Arc<ReadCounter> {
        Arc::clone(&self.reads)
    }

    /// Returns a reference to the socket that does not keep it open.
    pub fn downgrade(&self) -> Weak<TcpStream> {
        Arc::downgrade(&self.stream)
    }
}

impl AsyncRead for TargetSocket {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.reads.is_exhausted() {
            let error =
                io::Error::new(io::ErrorKind::InvalidData, "no part of a response within limit");
            return Poll::Ready(Err(error));
        }
        let size = buffer.remaining().min(read_size(self.open.0.load(Ordering::Relaxed)));
        loop {
            ready!(self.stream.poll_read_ready(context))?;
            match self.stream.try_read(buffer.initialize_unfilled_to(size)) {
                Ok(count) => {
                    buffer.advance(count);
                    self.reads.received.fetch_add(count as u64, Ordering::Relaxed);
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl AsyncWrite for TargetSocket {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_vectored(context, &[IoSlice::new(bytes)])
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.stream.poll_write_ready(context))?;
            match self.stream.try_write_vectored(buffers) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                written => return Poll::Ready(written),
            }
        }
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.stream).shutdown(Shutdown::Write))
    }
}

#[cfg(test)]
#[path = "socket_tests.rs"]
mod tests;
