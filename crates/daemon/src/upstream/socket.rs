//! The socket of a connection to a target. Lets the pool see unread bytes before it reuses the
//! connection.

use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
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
/// its response. The HTTP library limits the size of a head, but not the number of interim responses
/// before it.
#[derive(Debug)]
pub struct ReadCounter {
    received: AtomicU64,
    /// Count at which reading fails, `u64::MAX` if no head is awaited.
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

    /// Starts the wait for a head, in which `bytes` may be read.
    pub fn begin_head(&self, bytes: u64) {
        self.limit.store(self.received_bytes() + bytes, Ordering::Relaxed);
    }

    /// Ends the wait for a head.
    pub fn end_head(&self) {
        self.limit.store(u64::MAX, Ordering::Relaxed);
    }

    fn is_exhausted(&self) -> bool {
        self.received_bytes() >= self.limit.load(Ordering::Relaxed)
    }
}

/// The socket as the HTTP library uses it. Dropping it closes the connection.
pub struct TargetSocket {
    stream: Arc<TcpStream>,
    reads: Arc<ReadCounter>,
}

impl TargetSocket {
    /// Wraps a connected socket.
    pub fn new(stream: TcpStream) -> Self {
        Self { stream: Arc::new(stream), reads: Arc::new(ReadCounter::new()) }
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
            let error = io::Error::new(io::ErrorKind::InvalidData, "no response head within limit");
            return Poll::Ready(Err(error));
        }
        loop {
            ready!(self.stream.poll_read_ready(context))?;
            match self.stream.try_read_buf(buffer) {
                Ok(count) => {
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
