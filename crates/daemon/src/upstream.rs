//! Pool of connections to targets.

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
use hyper::header::{HeaderMap, HeaderValue, TRANSFER_ENCODING};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use socket2::{SockRef, TcpKeepalive};
use thiserror::Error;
use tokio::net::TcpSocket;
use tokio::time::{Instant, timeout};

/// Maximum time for connecting to a target. A round trip between regions takes 40 ms; the rest
/// allows for saturated links, on which packets are queued for more than half a second.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time without an acknowledgement of sent data after which a connection is closed. The kernel of
/// the target's machine acknowledges data however slow the target is, so the machine must be down.
/// Well above the half second for which packets are queued at a saturated link.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Interval of TCP keep-alive probes, which detect a failed machine while its target processes a
/// request. 1 s is the shortest interval that the kernel supports.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of idle connections per target. A target has few slots, so more are rarely used.
const MAX_IDLE_PER_TARGET: usize = 16;

/// Receive buffer of a connection to another region. A target can send up to this number of bytes
/// over the link beyond the budget, so the buffer bounds the excess. 256 KiB allow 12 MB/s at a
/// round trip of 20 ms.
const CROSS_REGION_RECEIVE_BUFFER_BYTES: u32 = 256 * 1_024;
/// Read buffer of a connection to another region, bounded for the same reason.
const CROSS_REGION_READ_BUFFER_BYTES: usize = 32 * 1_024;

/// Whether a connection crosses a link between regions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NetworkPath {
    /// The target is in the same region.
    WithinRegion,
    /// The target is in another region.
    CrossRegion,
}

/// Body of a request to a target.
pub type RequestBody = UnsyncBoxBody<Bytes, hyper::Error>;
type Sender = SendRequest<RequestBody>;

/// Error of a request that received no response head.
#[derive(Debug, Error)]
pub enum SendError {
    /// No connection to the target could be established; the request was not sent.
    #[error("failed to connect to the target: {reason}")]
    NotConnected {
        /// The request, so that it can be sent on another connection.
        request: Box<Request<RequestBody>>,
        /// Description of the failure.
        reason: String,
    },
    /// The connection was closed before any byte of the request was sent.
    #[error("connection closed before the request was sent: {reason}")]
    NotSent {
        /// The request, so that it can be sent on another connection.
        request: Box<Request<RequestBody>>,
        /// Description of the failure.
        reason: String,
    },
    /// The target may have received the request.
    #[error("no response from the target: {error}")]
    NoResponse {
        /// Error that ended the connection.
        error: hyper::Error,
        /// Whether the connection was probably closed while it was idle.
        lost_while_idle: bool,
    },
}

/// Which pooled connections a request may be sent on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionReuse {
    /// Any idle connection, or else a new one. For requests that can be sent again if the
    /// connection was lost.
    Any,
    /// A recently used idle connection, or else a new one. For requests that cannot be sent again.
    Recent,
    /// Only a new connection.
    New,
}

/// An idle connection.
struct IdleConnection {
    sender: Sender,
    idle_since: Instant,
}

/// Idle connections by the address of their target.
#[derive(Default)]
pub struct ConnectionPool {
    idle: Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>,
    idle_limit: Mutex<IdleLimit>,
}

impl ConnectionPool {
    /// Sends a request and returns the response head. The connection returns to the pool only after
    /// the response has been read to its end.
    ///
    /// # Errors
    ///
    /// When no response head is received. The variant states whether the target may have
    /// received the request.
    pub async fn send(
        self: &Arc<Self>,
        address: SocketAddr,
        path: NetworkPath,
        reuse: ConnectionReuse,
        request: Request<RequestBody>,
    ) -> Result<Response<TargetBody>, SendError> {
        let mut request = request;
        // The target may have closed an idle connection; the next one is tried as long as no byte
        // of the request was sent.
        while reuse != ConnectionReuse::New
            && let Some(idle) = self.take(address, reuse)
        {
            match self.send_on(address, idle.sender, Some(idle.idle_since), request).await {
                Err(SendError::NotSent { request: unsent, .. }) => request = *unsent,
                other => return other,
            }
        }
        match connect(address, path).await {
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
                reusable: Some((Arc::clone(self), address, sender)),
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

    fn take(&self, address: SocketAddr, reuse: ConnectionReuse) -> Option<IdleConnection> {
        let now = Instant::now();
        let limit = match reuse {
            ConnectionReuse::Recent => *self.idle_limit.lock(),
            ConnectionReuse::Any | ConnectionReuse::New => IdleLimit::default(),
        };
        let mut idle = self.idle.lock();
        let connections = idle.get_mut(&address)?;
        // A connection with surplus bytes or an unfinished response is not ready and is dropped.
        while let Some(idle) = connections.pop() {
            if idle.sender.is_ready() && limit.allows(now - idle.idle_since, now.into_std()) {
                return Some(idle);
            }
        }
        idle.remove(&address);
        None
    }

    fn put(&self, address: SocketAddr, sender: Sender) {
        let mut idle = self.idle.lock();
        let connections = idle.entry(address).or_default();
        connections.retain(|idle| !idle.sender.is_closed());
        if connections.len() < MAX_IDLE_PER_TARGET && !sender.is_closed() {
            connections.push(IdleConnection { sender, idle_since: Instant::now() });
        }
    }
}

async fn connect(address: SocketAddr, path: NetworkPath) -> anyhow::Result<Sender> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    let mut http = http1::Builder::new();
    if path == NetworkPath::CrossRegion {
        socket.set_recv_buffer_size(CROSS_REGION_RECEIVE_BUFFER_BYTES)?;
        http.max_buf_size(CROSS_REGION_READ_BUFFER_BYTES);
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
            log::debug!(target_address:% = address, error:% = error; "connection to target failed");
        }
    });
    Ok(sender)
}

/// Returns whether a response has a transfer coding other than `chunked`. Only `chunked` is decoded,
/// and the header that names the coding is not forwarded.
pub fn has_other_coding(headers: &HeaderMap) -> bool {
    let is_chunked = |value: &HeaderValue| value.as_bytes().eq_ignore_ascii_case(b"chunked");
    headers.get_all(TRANSFER_ENCODING).iter().any(|value| !is_chunked(value))
}

/// Body of a target's response. Dropping it before its end closes the connection, which cancels the
/// request at the target.
pub struct TargetBody {
    body: Incoming,
    reusable: Option<(Arc<ConnectionPool>, SocketAddr, Sender)>,
}

impl TargetBody {
    /// Closes the connection instead of reusing it, because its next bytes may belong to another
    /// response.
    pub fn discard(mut self) {
        self.reusable = None;
    }

    fn return_to_pool(&mut self) {
        if let Some((pool, address, sender)) = self.reusable.take() {
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
            None => self.return_to_pool(),
            Some(Err(_)) => self.reusable = None,
            Some(Ok(_)) if self.body.is_end_stream() => self.return_to_pool(),
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
        // An empty body is never polled, so `poll_frame` has not returned the connection.
        if self.body.is_end_stream() {
            self.return_to_pool();
        }
    }
}
