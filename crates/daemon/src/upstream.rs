//! Connections to targets.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::{Body, Bytes, Frame, Incoming, SizeHint};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use thiserror::Error;
use tokio::net::TcpSocket;
use tokio::time::timeout;

/// Longest time for connecting to a target. Between regions a round trip takes 20 ms, so a target
/// that does not answer within a second is down or overloaded.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Idle connections kept for each target; a target has a few slots, so more are rarely of use.
const IDLE_PER_TARGET: usize = 16;

/// Receive buffer of a connection to another region. What a target has sent is on the link whether
/// its budget allows it or not, so the buffer bounds the excess; 256 KiB carry 12 MB/s at 20 ms.
const PACED_RECEIVE_BYTES: u32 = 256 * 1_024;
/// Read buffer of such a connection, for the same reason.
const PACED_READ_BYTES: usize = 32 * 1_024;

/// Whether a connection crosses a link between regions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reach {
    /// The target is in the same region.
    SameRegion,
    /// The target is in another region.
    OtherRegion,
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
    #[error("no response from the target: {0}")]
    NoResponse(hyper::Error),
}

/// Connections that wait for their next request.
#[derive(Default)]
pub struct Pool {
    idle: Mutex<HashMap<SocketAddr, Vec<Sender>>>,
}

impl Pool {
    /// Sends a request and returns the response head. The connection is used again only after the
    /// response has been read to its end.
    ///
    /// # Errors
    ///
    /// When there is no response head; the variants tell whether the target may have the request.
    pub async fn send(
        self: &Arc<Self>,
        address: SocketAddr,
        reach: Reach,
        request: Request<RequestBody>,
    ) -> Result<Response<RelayedBody>, SendError> {
        let mut request = request;
        // An idle connection may have been closed by the target; another one is tried as long as
        // the request was not taken.
        while let Some(sender) = self.take(address) {
            match self.send_on(address, sender, request).await {
                Err(SendError::NotSent { request: untouched, .. }) => request = *untouched,
                other => return other,
            }
        }
        match connect(address, reach).await {
            Ok(sender) => self.send_on(address, sender, request).await,
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
        request: Request<RequestBody>,
    ) -> Result<Response<RelayedBody>, SendError> {
        match sender.try_send_request(request).await {
            Ok(response) => Ok(response.map(|body| RelayedBody {
                body,
                release: Some((Arc::clone(self), address, sender)),
            })),
            Err(mut error) => match error.take_message() {
                Some(request) => Err(SendError::NotSent {
                    request: Box::new(request),
                    reason: error.error().to_string(),
                }),
                None => Err(SendError::NoResponse(error.into_error())),
            },
        }
    }

    fn take(&self, address: SocketAddr) -> Option<Sender> {
        let mut idle = self.idle.lock();
        let senders = idle.get_mut(&address)?;
        // A connection with surplus bytes or an unfinished exchange is not ready and is dropped.
        while let Some(sender) = senders.pop() {
            if sender.is_ready() {
                return Some(sender);
            }
        }
        idle.remove(&address);
        None
    }

    fn put(&self, address: SocketAddr, sender: Sender) {
        let mut idle = self.idle.lock();
        let senders = idle.entry(address).or_default();
        senders.retain(|idle| !idle.is_closed());
        if senders.len() < IDLE_PER_TARGET && !sender.is_closed() {
            senders.push(sender);
        }
    }
}

async fn connect(address: SocketAddr, reach: Reach) -> anyhow::Result<Sender> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    let mut http = http1::Builder::new();
    if reach == Reach::OtherRegion {
        socket.set_recv_buffer_size(PACED_RECEIVE_BYTES)?;
        http.max_buf_size(PACED_READ_BYTES);
    }
    let stream = timeout(CONNECT_TIMEOUT, socket.connect(address)).await??;
    stream.set_nodelay(true)?;
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
pub struct RelayedBody {
    body: Incoming,
    release: Option<(Arc<Pool>, SocketAddr, Sender)>,
}

impl RelayedBody {
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

impl Body for RelayedBody {
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

impl Drop for RelayedBody {
    fn drop(&mut self) {
        // An empty body is never polled.
        if self.body.is_end_stream() {
            self.release();
        }
    }
}
