//! Connections to targets.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use celerygate_steering::idle::IdleLimit;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::{Body, Bytes, Frame, Incoming, SizeHint};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use socket2::{SockRef, TcpKeepalive};
use thiserror::Error;
use tokio::net::TcpSocket;
use tokio::time::{Instant, timeout};

/// Longest time for connecting to a target. Between regions a round trip takes 40 ms; the rest is
/// for full links, on which packets wait for more than half a second.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Connections with data that a target has not acknowledged for this long are closed: its machine
/// is gone, however slow the target itself may be. Well above the half second for which packets wait
/// at a full link.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Time after which the machine of a target that is at work is asked whether it is still there, the
/// shortest that the kernel offers.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Idle connections kept for each target; a target has a few slots, so more are rarely of use.
const IDLE_PER_TARGET: usize = 16;

/// Receive buffer of a connection to another region. What a target has sent is on the link whether
/// its budget allows it or not, so the buffer bounds the excess; 256 KiB carry 12 MB/s at 20 ms.
const PACED_RECEIVE_BYTES: u32 = 256 * 1_024;
/// Read buffer of such a connection, for the same reason.
const PACED_READ_BYTES: usize = 32 * 1_024;

/// Whether a connection crosses a link between regions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NetworkPath {
    /// The target is in the same region.
    WithinRegion,
    /// The target is in another region.
    CrossRegion,
}

/// The body of a request to a target.
pub type RequestBody = UnsyncBoxBody<Bytes, hyper::Error>;
type Sender = SendRequest<RequestBody>;

/// Why a request got no response head.
#[derive(Debug, Error)]
pub enum SendError {
    /// There is no connection to the target; the request is untouched.
    #[error("no connection to the target: {reason}")]
    NotConnected {
        /// The request, so that it can be sent elsewhere.
        request: Box<Request<RequestBody>>,
        /// What failed.
        reason: String,
    },
    /// The connection ended before it took the request; no byte of it was sent.
    #[error("the connection took no request: {reason}")]
    NotSent {
        /// The request, so that it can be sent elsewhere.
        request: Box<Request<RequestBody>>,
        /// What failed.
        reason: String,
    },
    /// The target may have received the request.
    #[error("no response from the target: {error}")]
    NoResponse {
        /// What ended the connection.
        error: hyper::Error,
        /// Whether the connection was probably lost while it was idle.
        lost_while_idle: bool,
    },
}

/// Which connection a request is sent on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionReuse {
    /// An idle one if there is one; the request can be sent again if the connection was lost.
    Any,
    /// An idle one that was used lately: the request cannot be sent again.
    Recent,
    /// A new one.
    New,
}

/// A connection that waits for its next request.
struct Idle {
    sender: Sender,
    since: Instant,
}

/// Connections that wait for their next request.
#[derive(Default)]
pub struct ConnectionPool {
    idle: Mutex<HashMap<SocketAddr, Vec<Idle>>>,
    idle_limit: Mutex<IdleLimit>,
}

impl ConnectionPool {
    /// Sends a request and returns the response head. The connection is used again only after the
    /// response has been read to its end.
    ///
    /// # Errors
    ///
    /// When there is no response head; the variants tell whether the target may have the request.
    pub async fn send(
        self: &Arc<Self>,
        address: SocketAddr,
        reach: NetworkPath,
        connection: ConnectionReuse,
        request: Request<RequestBody>,
    ) -> Result<Response<TargetBody>, SendError> {
        let mut request = request;
        // An idle connection may have been closed by the target; another one is tried as long as
        // the request was not taken.
        while connection != ConnectionReuse::New
            && let Some(idle) = self.take(address, connection)
        {
            match self.send_on(address, idle.sender, Some(idle.since), request).await {
                Err(SendError::NotSent { request: untouched, .. }) => request = *untouched,
                other => return other,
            }
        }
        match connect(address, reach).await {
            Ok(sender) => self.send_on(address, sender, None, request).await,
            Err(reason) => Err(SendError::NotConnected {
                request: Box::new(request),
                reason: reason.to_string(),
            }),
        }
    }

    async fn send_on(
        self: &Arc<Self>,
        address: SocketAddr,
        mut sender: Sender,
        idle_since: Option<Instant>,
        request: Request<RequestBody>,
    ) -> Result<Response<TargetBody>, SendError> {
        let sent_at = Instant::now();
        match sender.try_send_request(request).await {
            Ok(response) => Ok(response.map(|body| TargetBody {
                body,
                release: Some((Arc::clone(self), address, sender)),
            })),
            Err(mut error) => match error.take_message() {
                Some(request) => Err(SendError::NotSent {
                    request: Box::new(request),
                    reason: error.error().to_string(),
                }),
                None => {
                    let now = Instant::now();
                    let lost_while_idle = idle_since.is_some_and(|since| {
                        let (idle, after) = (sent_at - since, now - sent_at);
                        self.idle_limit.lock().record_close(idle, after, now.into_std())
                    });
                    Err(SendError::NoResponse { error: error.into_error(), lost_while_idle })
                }
            },
        }
    }

    fn take(&self, address: SocketAddr, connection: ConnectionReuse) -> Option<Idle> {
        let now = Instant::now();
        let limit = match connection {
            ConnectionReuse::Recent => *self.idle_limit.lock(),
            ConnectionReuse::Any | ConnectionReuse::New => IdleLimit::default(),
        };
        let mut idle = self.idle.lock();
        let senders = idle.get_mut(&address)?;
        // A connection with surplus bytes or an unfinished exchange is not ready and is dropped.
        while let Some(idle) = senders.pop() {
            if idle.sender.is_ready() && limit.allows(now - idle.since, now.into_std()) {
                return Some(idle);
            }
        }
        idle.remove(&address);
        None
    }

    fn put(&self, address: SocketAddr, sender: Sender) {
        let mut idle = self.idle.lock();
        let senders = idle.entry(address).or_default();
        senders.retain(|idle| !idle.sender.is_closed());
        if senders.len() < IDLE_PER_TARGET && !sender.is_closed() {
            senders.push(Idle { sender, since: Instant::now() });
        }
    }
}

async fn connect(address: SocketAddr, reach: NetworkPath) -> anyhow::Result<Sender> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    let mut http = http1::Builder::new();
    if reach == NetworkPath::CrossRegion {
        socket.set_recv_buffer_size(PACED_RECEIVE_BYTES)?;
        http.max_buf_size(PACED_READ_BYTES);
    }
    let stream = timeout(CONNECT_TIMEOUT, socket.connect(address)).await??;
    stream.set_nodelay(true)?;
    let socket = SockRef::from(&stream);
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
    let keepalive = TcpKeepalive::new().with_time(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive.with_interval(KEEPALIVE_INTERVAL))?;
    let (sender, connection) = http.handshake(TokioIo::new(stream)).await?;
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!(target_address:% = address, error:% = error; "target connection closed");
        }
    });
    Ok(sender)
}

/// The body of a target's response. Dropping it before its end closes the connection, which
/// cancels the request at the target.
pub struct TargetBody {
    body: Incoming,
    release: Option<(Arc<ConnectionPool>, SocketAddr, Sender)>,
}

impl TargetBody {
    /// Closes the connection, whose next bytes may belong to another response.
    pub fn discard(mut self) {
        self.release = None;
    }

    fn release(&mut self) {
        if let Some((pool, address, sender)) = self.release.take() {
            pool.put(address, sender);
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
            None => self.release(),
            Some(Err(_)) => self.release = None,
            Some(Ok(_)) if self.body.is_end_stream() => self.release(),
            Some(Ok(_)) => {}
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
        // An empty body is never polled.
        if self.body.is_end_stream() {
            self.release();
        }
    }
}
