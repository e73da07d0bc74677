//! A stand-in target that behaves well.

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

/// A request as the target saw it.
#[derive(Clone, Debug)]
pub struct Seen {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers.
    pub headers: HeaderMap,
}

#[derive(Default)]
struct State {
    seen: Mutex<Vec<Seen>>,
    received: Mutex<Vec<u8>>,
    running: AtomicUsize,
    most_running: AtomicUsize,
    cancelled: AtomicUsize,
    connections: AtomicUsize,
    release: Notify,
}

/// A stand-in target. `/bytes/N` answers N random bytes that depend on the path, `/echo` answers
/// the body, `/sleep/MS` answers after a time, `/hold` after `release`, `/stall` never, and
/// `/status/N` with a status.
pub struct Target {
    /// Address.
    pub address: SocketAddr,
    state: Arc<State>,
}

impl Target {
    /// Starts a target.
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let state = Arc::<State>::default();
        let accepting = Arc::clone(&state);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let state = Arc::clone(&accepting);
                state.connections.fetch_add(1, Ordering::SeqCst);
                tokio::spawn(async move {
                    let ended = Arc::clone(&state);
                    let stream = Recorded { stream, state: Arc::clone(&state) };
                    let service = service_fn(move |request| answer(Arc::clone(&state), request));
                    let connection =
                        http1::Builder::new().serve_connection(TokioIo::new(stream), service);
                    let _ = connection.await;
                    ended.connections.fetch_sub(1, Ordering::SeqCst);
                });
            }
        });
        Self { address, state }
    }

    /// Returns the requests so far.
    pub fn seen(&self) -> Vec<Seen> {
        self.state.seen.lock().clone()
    }

    /// Returns every byte that arrived on any connection.
    pub fn received(&self) -> Vec<u8> {
        self.state.received.lock().clone()
    }

    /// Returns how many requests ran at the same time at most.
    pub fn most_running(&self) -> usize {
        self.state.most_running.load(Ordering::SeqCst)
    }

    /// Returns how many requests were dropped before their answer.
    pub fn cancelled(&self) -> usize {
        self.state.cancelled.load(Ordering::SeqCst)
    }

    /// Returns how many connections are open.
    pub fn open_connections(&self) -> usize {
        self.state.connections.load(Ordering::SeqCst)
    }

    /// Lets one request to `/hold` continue.
    pub fn release(&self) {
        self.state.release.notify_one();
    }
}

/// Counts a request as running, and as cancelled when it is dropped before its answer.
struct Running {
    state: Arc<State>,
    answered: bool,
}

impl Running {
    fn begin(state: &Arc<State>) -> Self {
        let running = state.running.fetch_add(1, Ordering::SeqCst) + 1;
        state.most_running.fetch_max(running, Ordering::SeqCst);
        Self { state: Arc::clone(state), answered: false }
    }
}

impl Drop for Running {
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
    let mut running = Running::begin(&state);
    let path = request.uri().path().to_owned();
    state.seen.lock().push(Seen {
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
            Some(len) => random_bytes(&path, len as usize),
            None => path.clone().into_bytes(),
        };
        Response::new(Full::new(Bytes::from(body)).map_err(|never| match never {}).boxed())
    };
    if let Some(status) = number("/status/") {
        *response.status_mut() = StatusCode::from_u16(status as u16).expect("a status");
    }
    running.answered = true;
    Ok(response)
}

/// A connection that keeps what arrives.
struct Recorded {
    stream: TcpStream,
    state: Arc<State>,
}

impl AsyncRead for Recorded {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        self.state.received.lock().extend_from_slice(&buffer.filled()[before..]);
        result
    }
}

impl AsyncWrite for Recorded {
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
