//! One connection to a target.

use std::net::SocketAddr;
use std::sync::{Arc, Weak};
use std::time::Duration;

use celerygate_steering::responses::EchoRule;
use hyper::body::{Body, Incoming};
use hyper::client::conn::TrySendError;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::AbortHandle;
use tokio::time::{Instant, timeout};

use super::socket::{self, IdleState, OpenSockets, ReadCounter, TargetSocket};
use super::unsuccessful::{RequestHash, UnsuccessfulRequests};
use super::{NetworkPath, RequestBody};

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
/// Receive buffer of a connection to another region. A target can send up to this number of bytes
/// over the link beyond the budget, so the buffer bounds the excess. 256 KiB allow 12 MB/s at a
/// round trip of 20 ms.
const CROSS_REGION_RECEIVE_BUFFER_BYTES: u32 = 256 * 1_024;
/// Receive buffer of other connections. What a caller does not read waits there, which counts as memory of
/// the VM, and would grow to several megabytes. 64 KiB allow 32 MB/s at a round trip of 2 ms.
const RECEIVE_BUFFER_BYTES: u32 = 64 * 1_024;
/// Read buffer of a connection to another region, bounded for the same reason.
const CROSS_REGION_READ_BUFFER_BYTES: usize = 32 * 1_024;

/// Size from which an incomplete response head is rejected. Heads of targets have some hundred
/// bytes; common servers and proxies allow 8 to 64 KiB.
const MAX_HEAD_BYTES: usize = 64 * 1_024;
/// Read buffer of other connections, which also limits the size of a response's head.
const READ_BUFFER_BYTES: usize = 128 * 1_024;
/// Number of bytes that may be read between a request and the head of its response. The HTTP library
/// handles all informational responses that it has read before it yields, so their number is not enough
/// to bound its work. The read that completes the head may continue in the body, of which the library
/// buffers two reads.
pub const HEAD_LIMIT_BYTES: u64 = 4 * READ_BUFFER_BYTES as u64;

/// Number of bytes that may be read between two parts of a body. The HTTP library reads the size of a chunk
/// with any number of leading zeros. Chunks of a single byte take six, so that each read has a part.
const BODY_GAP_LIMIT_BYTES: u64 = 4 * READ_BUFFER_BYTES as u64;

/// Size of a body from which a target may respond before it has read all of it, and read on later. What is
/// sent next waits behind the rest. A shorter body arrives together with the head.
const LONG_BODY_BYTES: u64 = 8 * 1_024;

/// A connection to a target. Dropping it while a request is unanswered resets the connection, so that
/// the kernel discards what the target's machine has not acknowledged. After an orderly close it would
/// send these bytes once a cut network is back, and the target would run a request that its caller and
/// this daemon have given up.
pub struct Connection {
    sender: SendRequest<RequestBody>,
    /// Task that reads and writes the socket.
    task: AbortHandle,
    stream: Weak<TcpStream>,
    reads: Arc<ReadCounter>,
    opened_at: Instant,
    echo_rule: EchoRule,
    requests: u32,
    unsuccessful: UnsuccessfulRequests,
    /// Whether other requests must not follow.
    is_last_request: bool,
}

impl Connection {
    /// Connects to a target.
    ///
    /// # Errors
    ///
    /// When the target does not accept the connection within [`CONNECT_TIMEOUT`].
    pub async fn open(
        address: SocketAddr,
        path: NetworkPath,
        open: OpenSockets,
    ) -> anyhow::Result<Self> {
        let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        let mut http = http1::Builder::new();
        http.max_header_size(MAX_HEAD_BYTES);
        if path == NetworkPath::CrossRegion {
            socket.set_recv_buffer_size(CROSS_REGION_RECEIVE_BUFFER_BYTES)?;
            http.max_buf_size(CROSS_REGION_READ_BUFFER_BYTES);
        } else {
            socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
            http.max_buf_size(READ_BUFFER_BYTES);
        }
        let stream = timeout(CONNECT_TIMEOUT, socket.connect(address)).await??;
        stream.set_nodelay(true)?;
        let socket = SockRef::from(&stream);
        // Holds for every way in which the socket is closed, also at the end of the process.
        socket.set_linger(Some(Duration::ZERO))?;
        socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
        let keepalive = TcpKeepalive::new().with_time(KEEPALIVE_INTERVAL);
        socket.set_tcp_keepalive(&keepalive.with_interval(KEEPALIVE_INTERVAL))?;
        let socket = TargetSocket::new(stream, open);
        let (stream, reads) = (socket.downgrade(), socket.reads());
        let (sender, connection) = http.handshake(TokioIo::new(socket)).await?;
        let task = tokio::spawn(async move {
            // A failed request receives the error itself; this one concerns no request.
            if let Err(error) = connection.await {
                log::info!(target_address:% = address, error:% = error;
                    "connection to target failed");
            }
        });
        let task = task.abort_handle();
        Ok(Self {
            sender,
            task,
            stream,
            reads,
            opened_at: Instant::now(),
            echo_rule: EchoRule::Optional,
            requests: 0,
            unsuccessful: UnsuccessfulRequests::default(),
            is_last_request: false,
        })
    }

    /// Sends a request and waits for the head of its response.
    ///
    /// # Errors
    ///
    /// When no head is received, or too many bytes without one.
    pub async fn send(
        &mut self,
        request: Request<RequestBody>,
    ) -> Result<Response<Incoming>, TrySendError<Request<RequestBody>>> {
        self.requests = self.requests.saturating_add(1);
        let body_bytes = request.body().size_hint().exact();
        self.is_last_request |= body_bytes.is_none_or(|bytes| bytes > LONG_BODY_BYTES);
        self.reads.begin(HEAD_LIMIT_BYTES);
        let response = self.sender.try_send_request(request).await;
        self.reads.end();
        response
    }

    /// Records that the head, or a part of the body, of a response was received. The next part must follow
    /// within [`BODY_GAP_LIMIT_BYTES`].
    pub fn begin_body_part(&self) {
        self.reads.begin(BODY_GAP_LIMIT_BYTES);
    }

    /// Returns the number of bytes received so far, also after the connection has ended.
    pub fn received_bytes(&self) -> u64 {
        self.reads.received_bytes()
    }

    /// Returns the number of requests that were sent, or were about to be, on the connection.
    pub fn requests(&self) -> u32 {
        self.requests
    }

    /// Has the connection closed after the response.
    pub fn prevent_reuse(&mut self) {
        self.is_last_request = true;
    }

    /// Records that the response to a request was no success, so that the request may be sent again.
    pub fn record_unsuccessful(&mut self, request: &str) {
        self.unsuccessful.record(request);
    }

    /// Returns whether the target can send a response to this request that belongs to an earlier attempt:
    /// the copy of an unsuccessful response has the id of its request.
    pub fn may_repeat_response_to(&self, request: RequestHash) -> bool {
        self.unsuccessful.contains(request)
    }

    /// Returns whether the connection may be used for other requests.
    pub fn is_reusable(&self) -> bool {
        !self.is_closed() && !self.is_last_request && !self.unsuccessful.is_full()
    }

    /// Returns the counter of the bytes received.
    pub fn reads(&self) -> Arc<ReadCounter> {
        Arc::clone(&self.reads)
    }

    /// Returns when the connection was established.
    pub fn opened_at(&self) -> Instant {
        self.opened_at
    }

    /// Returns whether the next response must name its request.
    pub fn echo_rule(&self) -> EchoRule {
        self.echo_rule
    }

    /// Records that the target has named a request in a response.
    pub fn require_echo(&mut self) {
        self.echo_rule = EchoRule::Required;
    }

    /// Returns whether the connection is closed.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Returns the state of an idle connection. One with an unfinished response counts as closed.
    pub fn idle_state(&self) -> IdleState {
        if self.sender.is_ready() { socket::idle_state(&self.stream) } else { IdleState::Closed }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        if !self.sender.is_ready() {
            // The task would go on writing a long request.
            self.task.abort();
        } else if let Some(stream) = self.stream.upgrade()
            && let Err(error) = SockRef::from(&*stream).set_linger(None)
        {
            log::debug!(error:% = error; "failed to prepare the orderly close of an idle connection");
        }
    }
}
