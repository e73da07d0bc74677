//! The socket of a connection, which shows a stopping daemon what the kernel has received.

use std::io::{self, IoSlice, Read};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::watch;

/// Size of the buffer for bytes that the runtime does not know of yet.
const DIRECT_READ_BYTES: usize = 4 * 1_024;

/// What a connection is doing, shared between its socket and the code that stops it.
#[derive(Clone, Default)]
pub struct Activity(Arc<State>);

#[derive(Default)]
struct State {
    is_running: AtomicBool,
    has_read: AtomicBool,
}

impl Activity {
    /// Notes that the head of a request is complete.
    pub fn begin_request(&self) {
        self.0.is_running.store(true, Ordering::Relaxed);
    }

    /// Notes that the response to a request is ready, so that the request was read.
    pub fn end_request(&self) {
        self.0.has_read.store(false, Ordering::Relaxed);
        self.0.is_running.store(false, Ordering::Relaxed);
    }

    /// Returns whether bytes were read that are not a complete head yet. The HTTP library takes
    /// such a connection for idle if it was used before.
    pub fn has_partial_head(&self) -> bool {
        self.0.has_read.load(Ordering::Relaxed) && !self.0.is_running.load(Ordering::Relaxed)
    }
}

/// A socket that asks the kernel for received bytes while the daemon stops. The runtime learns of
/// new bytes only between tasks, and the HTTP library closes a connection as idle if it has not
/// read the next request.
pub struct Stream {
    socket: TcpStream,
    shutdown: watch::Receiver<bool>,
    activity: Activity,
    has_written_while_stopping: bool,
}

impl Stream {
    /// Wraps a connected socket.
    pub fn new(socket: TcpStream, shutdown: watch::Receiver<bool>) -> Self {
        let activity = Activity::default();
        Self { socket, shutdown, activity, has_written_while_stopping: false }
    }

    /// Returns what the connection is doing.
    pub fn activity(&self) -> Activity {
        self.activity.clone()
    }

    /// Returns the socket.
    pub fn into_socket(self) -> TcpStream {
        self.socket
    }

    /// Returns whether a response, or its end, was written after the stop began.
    pub fn has_written_while_stopping(&self) -> bool {
        self.has_written_while_stopping
    }

    /// Reads from the kernel without waiting. The runtime wakes the task when more arrives, because
    /// its own read is pending.
    fn read_directly(&self, buffer: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let mut bytes = [0; DIRECT_READ_BYTES];
        let len = bytes.len().min(buffer.remaining());
        match (&*SockRef::from(&self.socket)).read(&mut bytes[..len]) {
            Ok(received) => {
                buffer.put_slice(&bytes[..received]);
                Poll::Ready(Ok(()))
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Poll::Pending,
            Err(error) => Poll::Ready(Err(error)),
        }
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buffer.filled().len();
        let mut polled = Pin::new(&mut self.socket).poll_read(context, buffer);
        if polled.is_pending() && *self.shutdown.borrow() {
            polled = self.read_directly(buffer);
        }
        if buffer.filled().len() > filled {
            self.activity.0.has_read.store(true, Ordering::Relaxed);
        }
        polled
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let is_stopping = *self.shutdown.borrow();
        self.has_written_while_stopping |= is_stopping;
        Pin::new(&mut self.socket).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let is_stopping = *self.shutdown.borrow();
        self.has_written_while_stopping |= is_stopping;
        Pin::new(&mut self.socket).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(context)
    }
}
