//! A stand-in target with valid HTTP responses that records what it receives.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::{Bytes, Incoming};
use hyper::header::HeaderMap;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

use super::random_bytes;

/// The head of a received request.
#[derive(Clone, Debug)]
pub struct RecordedRequest {
    pub method: Method,
    /// Path and query.
    pub path: String,
    pub headers: HeaderMap,
}

#[derive(Default)]
struct State {
    requests: Mutex<Vec<RecordedRequest>>,
    received_bytes: Mutex<Vec<u8>>,
    running: AtomicUsize,
    max_concurrent_requests: AtomicUsize,
    cancelled: AtomicUsize,
    connections: AtomicUsize,
    release: Notify,
}

/// A stand-in target.
///
/// - `/bytes/N` returns N pseudo-random bytes derived from the path.
/// - `/echo` returns the request body.
/// - `/sleep/MS` responds after MS milliseconds.
/// - `/hold` responds after a call of `release`.
/// - `/stall` never responds.
/// - `/status/N` responds with status N.
/// - Other paths return the path as the body.
pub struct Target {
    pub address: SocketAddr,
    state: Arc<State>,
}

impl Target {
    /// Starts a target on a free loopback port.
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind to a free port");
        let address = listener.local_addr().expect("local address of the listener");
        let state = Arc::<State>::default();
        let accept_state = Arc::clone(&state);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let state = Arc::clone(&accept_state);
                state.connections.fetch_add(1, Ordering::SeqCst);
                tokio::spawn(async move {
                    let closed_state = Arc::clone(&state);
                    let stream = RecordingStream { stream, state: Arc::clone(&state) };
                    let service = service_fn(move |request| answer(Arc::clone(&state), request));
                    let connection =
                        http1::Builder::new().serve_connection(TokioIo::new(stream), service);
                    let _ = connection.await;
                    closed_state.connections.fetch_sub(1, Ordering::SeqCst);
                });
            }
        });
        Self { address, state }
    }

    /// Returns all requests received so far.
    pub fn requests(&self) -> Vec<RecordedRequest> {
        self.state.requests.lock().clone()
    }

    /// Returns all bytes received so far, on all connections.
    pub fn received_bytes(&self) -> Vec<u8> {
        self.state.received_bytes.lock().clone()
    }

    /// Returns the largest number of requests that ran at the same time.
    pub fn max_concurrent_requests(&self) -> usize {
        self.state.max_concurrent_requests.load(Ordering::SeqCst)
    }

    /// Returns the number of requests whose connection closed before they were answered.
    pub fn cancelled(&self) -> usize {
        self.state.cancelled.load(Ordering::SeqCst)
    }

    /// Returns the number of open connections.
    pub fn open_connections(&self) -> usize {
        self.state.connections.load(Ordering::SeqCst)
    }

    /// Lets one request to `/hold` complete.
    pub fn release(&self) {
        self.state.release.notify_one();
    }
}

/// Counts a request as running until it is dropped, and as cancelled if that happens unanswered.
struct RunningGuard {
    state: Arc<State>,
    answered: bool,
}

impl RunningGuard {
    fn begin(state: &Arc<State>) -> Self {
        let running = state.running.fetch_add(1, Ordering::SeqCst) + 1;
        state.max_concurrent_requests.fetch_max(running, Ordering::SeqCst);
        Self { state: Arc::clone(state), answered: false }
    }
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.state.running.fetch_sub(1, Ordering::SeqCst);
        if !self.answered {
            self.state.cancelled.fetch_add(1, Ordering::SeqCst);
        }
    }
}

async fn answer(
    state: Arc<State>,
    request: Request<Incoming>,
) -> Result<Response<BoxBody<Bytes, hyper::Error>>, Infallible> {
    let mut running = RunningGuard::begin(&state);
    let path = request.uri().path().to_owned();
    state.requests.lock().push(RecordedRequest {
        method: request.method().clone(),
        path: request.uri().path_and_query().map_or("", |path| path.as_str()).to_owned(),
        headers: request.headers().clone(),
    });
    let number = |prefix| path.strip_prefix(prefix).and_then(|text| text.parse().ok());
    let mut response = if path == "/echo" {
        Response::new(request.into_body().boxed())
    } else {
        if path == "/stall" {
            std::future::pending::<()>().await;
        }
        if path == "/hold" {
            state.release.notified().await;
        }
        if let Some(ms) = number("/sleep/") {
            tokio::time::sleep(Duration::from_millis(ms)).await;
        }
        let body = match number("/bytes/") {
            // Takes longer than a target's lease on a busy machine, so it must not delay the
            // announcements of the same test.
            Some(len) => {
                let seed = path.clone();
                tokio::task::spawn_blocking(move || random_bytes(&seed, len as usize))
                    .await
                    .expect("generated bytes")
            }
            None => path.clone().into_bytes(),
        };
        Response::new(Full::new(Bytes::from(body)).map_err(|never| match never {}).boxed())
    };
    if let Some(status) = number("/status/") {
        *response.status_mut() = StatusCode::from_u16(status as u16).expect("valid status code");
    }
    running.answered = true;
    Ok(response)
}

/// A connection that records the received bytes.
struct RecordingStream {
    stream: TcpStream,
    state: Arc<State>,
}

impl AsyncRead for RecordingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        self.state.received_bytes.lock().extend_from_slice(&buffer.filled()[before..]);
        result
    }
}

impl AsyncWrite for RecordingStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
