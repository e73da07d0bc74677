//! Serving an HTTP/1.1 connection from its first byte to its close.

use std::convert::Infallible;
use std::future::poll_fn;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::task::{Poll, ready};
use std::time::Duration;

use celerygate_types::RequestId;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt, split};
use tokio::time::{Instant, sleep, timeout};

use crate::activity::{Activity, ActivityStream, IdleState};
use crate::body::{ResponseBody, TrackedBody};
use crate::connections::close_gracefully;
use crate::parse_errors::ErrorResponseRewriter;
use crate::shutdown::Shutdown;

/// Timeout for receiving a request head, and for a TLS handshake.
pub const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Read buffer of a connection. It is larger than the permitted head, so that the forwarding code
/// refuses a head slightly over the limit, with its own error details, and not the HTTP library.
const READ_BUFFER_BYTES: usize = 32 * 1_024;
/// Maximum number of headers for the parser; above the permitted number for the same reason.
const MAX_PARSED_HEADERS: usize = 128;
/// Time after the last written byte during which the end of a response may be on its way to the
/// peer. Covers a round trip between regions and the queue of a saturated link.
const DELIVERY_DURATION: Duration = Duration::from_secs(2);
/// Timeout for writing the end of a TLS session.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(1);

/// Time without a read or write after which a connection without a running request is closed in the
/// closing phase. Covers the way of a request that was sent before its sender could know of the
/// close.
const QUIET_DURATION: Duration = Duration::from_millis(500);

/// How far a connection is from its close.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CloseState {
    /// Requests are served; a response may announce the close.
    Serving,
    /// Requests that were read are served; the connection is closed once it is idle.
    WhenIdle,
    /// The HTTP library was asked to close the connection.
    Requested,
}

/// Identifies a connection in the log.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Id of the connection, and of a request on it whose head cannot be parsed.
    pub id: RequestId,
    /// Address of the peer.
    pub address: SocketAddr,
}

/// Serves the requests of a connection and closes it.
///
/// In the closing phase, every request of which a part was read is still served, unless an earlier
/// response has announced the close with `connection: close`.
pub async fn serve<F>(
    stream: impl AsyncRead + AsyncWrite + Unpin + Send + 'static,
    peer: Peer,
    shutdown: &Shutdown,
    respond: impl Fn(Request<Incoming>) -> F + Unpin,
) where
    F: Future<Output = Response<ResponseBody>> + Send + 'static,
{
    let stream = ActivityStream::new(stream);
    let activity = stream.activity();
    let stream = ErrorResponseRewriter::new(stream, peer.id.clone());
    let in_flight = stream.in_flight();
    let in_flight_requests = in_flight.clone();
    let service = service_fn(move |request| {
        let in_flight_request = in_flight_requests.begin();
        let response = respond(request);
        Box::pin(async move {
            let response = response.await.map(|body| TrackedBody::new(body, in_flight_request));
            Ok::<_, Infallible>(response)
        })
    });
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(READ_BUFFER_BYTES)
        .max_headers(MAX_PARSED_HEADERS)
        .serve_connection(TokioIo::new(stream), service);
    let served = {
        let mut closing = pin!(shutdown.wait_until_closing());
        let mut timer = pin!(sleep(Duration::ZERO));
        let mut close_state = CloseState::Serving;
        poll_fn(|context| {
            loop {
                if let Poll::Ready(served) = connection.poll_without_shutdown(context) {
                    return Poll::Ready(served);
                }
                if close_state == CloseState::Serving && closing.as_mut().poll(context).is_ready() {
                    close_state = CloseState::WhenIdle;
                }
                if close_state != CloseState::WhenIdle || in_flight.count() > 0 {
                    return Poll::Pending;
                }
                match activity.idle_state(QUIET_DURATION, Instant::now()) {
                    IdleState::Busy => return Poll::Pending,
                    IdleState::RecentlyUsed { idle_at } => {
                        timer.as_mut().reset(idle_at);
                        ready!(timer.as_mut().poll(context));
                    }
                    IdleState::Idle => {
                        Pin::new(&mut connection).graceful_shutdown();
                        close_state = CloseState::Requested;
                    }
                }
            }
        })
        .await
    };
    if let Err(error) = served {
        log::info!(
            connection:% = peer.id, peer:% = peer.address, incomplete = in_flight.count(),
            error:% = error; "connection failed"
        );
    }
    close(connection.into_parts().io.into_inner(), &activity).await;
}

/// Closes a connection. Bytes of the peer are read and discarded only while the end of a response
/// may be on its way to it. Otherwise they stay unread: the peer sees a reset and knows that its
/// request was not processed.
async fn close(mut stream: impl AsyncRead + AsyncWrite + Unpin, activity: &Activity) {
    let is_delivering = activity.last_write_at().is_some_and(|at| at.elapsed() < DELIVERY_DURATION);
    if is_delivering {
        let (reader, writer) = split(stream);
        close_gracefully(reader, writer).await;
    } else if timeout(SHUTDOWN_TIMEOUT, stream.shutdown()).await.is_err() {
        log::debug!("peer does not accept the end of the connection");
    }
}
