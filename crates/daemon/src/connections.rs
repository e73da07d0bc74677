//! Open connections of a listener, and how a connection is closed without losing its last response.

use std::io;
use std::net::Shutdown;
use std::sync::Arc;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, Interest};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::timeout;

/// Maximum time for which bytes of the peer are discarded after the last response. Covers a round
/// trip between regions and the queue of a saturated link.
const LINGER_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum time for which the peer's end of a connection is awaited without reading. A peer that
/// reads its last response notices the end of the connection then.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(1);
/// Size of the buffer for discarded bytes.
const DISCARD_BUFFER_BYTES: usize = 4 * 1_024;

/// Number of open connections and of listeners that may still accept some. A daemon that stops
/// waits until both are zero: a connection is open until the peer's kernel has its last response,
/// while a count of running requests would end when the response is ready.
#[derive(Debug)]
pub struct OpenConnections {
    counts: watch::Sender<Counts>,
}

#[derive(Debug, Default)]
struct Counts {
    connections: usize,
    listeners: usize,
}

impl Default for OpenConnections {
    fn default() -> Self {
        Self { counts: watch::Sender::new(Counts::default()) }
    }
}

impl OpenConnections {
    /// Counts a connection until the returned guard is dropped.
    pub fn begin(self: &Arc<Self>) -> OpenConnection {
        self.counts.send_modify(|counts| counts.connections += 1);
        OpenConnection(Arc::clone(self))
    }

    /// Counts a listener until the returned guard is dropped, once the connections that it has
    /// accepted are counted. Between the accept and the first count, the number of connections
    /// alone would be zero.
    pub fn begin_listening(self: &Arc<Self>) -> OpenListener {
        self.counts.send_modify(|counts| counts.listeners += 1);
        OpenListener(Arc::clone(self))
    }

    /// Returns the number of open connections.
    pub fn count(&self) -> usize {
        self.counts.borrow().connections
    }

    /// Waits until no listener and no connection is open.
    pub async fn wait_until_closed(&self) {
        let mut counts = self.counts.subscribe();
        let is_closed = |counts: &Counts| counts.connections == 0 && counts.listeners == 0;
        // The wait fails only if the sender is dropped, and `self` owns the sender.
        let _ = counts.wait_for(is_closed).await;
    }
}

/// Guard that counts a connection as open until it is dropped.
#[derive(Debug)]
pub struct OpenConnection(Arc<OpenConnections>);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.counts.send_modify(|counts| counts.connections -= 1);
    }
}

/// Guard that counts a listener as open until it is dropped.
#[derive(Debug)]
pub struct OpenListener(Arc<OpenConnections>);

impl Drop for OpenListener {
    fn drop(&mut self) {
        self.0.counts.send_modify(|counts| counts.listeners -= 1);
    }
}

/// Closes a connection after its last response: ends the sending direction, then discards what the
/// peer still sends until it closes.
///
/// The kernel resets a connection that is closed while received bytes are unread, or that receives
/// bytes after its close. A reset discards what is still in the sender's own queue. The peer's
/// kernel keeps what it has received before, on Linux; other systems may discard that too.
pub async fn close_gracefully(
    mut reader: impl AsyncRead + Unpin,
    mut writer: impl AsyncWrite + Unpin,
) {
    let discard = async {
        writer.shutdown().await?;
        let mut buffer = [0; DISCARD_BUFFER_BYTES];
        while reader.read(&mut buffer).await? > 0 {}
        Ok::<(), io::Error>(())
    };
    match timeout(LINGER_TIMEOUT, discard).await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => log::debug!(error:% = error; "peer reset the connection"),
        Err(_) => log::debug!("peer has not closed the connection"),
    }
}

/// Closes an idle connection without reading from it: ends the sending direction, then waits until
/// the peer closes or resets the connection, at most [`UNREAD_TIMEOUT`].
///
/// A request that crosses the close stays unread and is answered with a reset after the wait, so
/// that the peer knows that it was not processed. A reset without the wait would discard the part
/// of an earlier response that is still in the sender's queue.
pub async fn close_unread(stream: TcpStream) {
    let wait = async {
        SockRef::from(&stream).shutdown(Shutdown::Write)?;
        while !stream.ready(Interest::READABLE).await?.is_read_closed() {
            // The bytes stay unread. The runtime is told that the socket is not readable, so that
            // it waits for the next event instead of reporting the same one again.
            let _ = stream.try_io(Interest::READABLE, || {
                Err::<(), _>(io::Error::from(io::ErrorKind::WouldBlock))
            });
        }
        Ok::<(), io::Error>(())
    };
    match timeout(UNREAD_TIMEOUT, wait).await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => log::debug!(error:% = error; "peer reset the connection"),
        Err(_) => log::debug!("peer has not closed the idle connection"),
    }
}

#[cfg(test)]
#[path = "connections_tests.rs"]
mod tests;
