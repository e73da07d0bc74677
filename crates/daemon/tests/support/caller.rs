//! Connections of callers.

use std::net::SocketAddr;

use http_body_util::{BodyExt, Full};
use hyper::body::{Bytes, Incoming};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::header::{AUTHORIZATION, HOST, HeaderMap};
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::PATIENCE;

/// A request with its whole body.
pub type Sent = Request<Full<Bytes>>;

/// A response that was read to its end.
#[derive(Debug)]
pub struct Reply {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl Reply {
    /// Returns the body as JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body)
            .unwrap_or_else(|error| panic!("{error} in {:?}", String::from_utf8_lossy(&self.body)))
    }

    /// Checks that this is the documented answer with this code.
    #[track_caller]
    pub fn assert_refused(&self, status: u16, code: u16, name: &str, outcome: &str) {
        let body = self.json();
        let found = (self.status.as_u16(), &body["code"], &body["name"], &body["outcome"]);
        assert_eq!(found, (status, &code.into(), &name.into(), &outcome.into()), "{body}");
    }
}

/// Returns a request with a key or token.
pub fn request(method: Method, path: &str, key: Option<&str>, body: impl Into<Bytes>) -> Sent {
    let mut request = Request::new(Full::new(body.into()));
    *request.method_mut() = method;
    *request.uri_mut() = path.parse().expect("a path");
    if let Some(key) = key {
        let value = format!("Bearer {key}").parse().expect("a header value");
        request.headers_mut().insert(AUTHORIZATION, value);
    }
    request
}

/// Returns a GET request.
pub fn get(path: &str, key: Option<&str>) -> Sent {
    request(Method::GET, path, key, Bytes::new())
}

/// Adds a header to a request.
pub fn with_header(mut request: Sent, name: &'static str, value: &str) -> Sent {
    request.headers_mut().append(name, value.parse().expect("a header value"));
    request
}

/// An open connection.
pub struct Caller {
    sender: SendRequest<Full<Bytes>>,
    host: String,
}

impl Caller {
    /// Connects to an address.
    pub async fn connect(address: SocketAddr) -> std::io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        Self::over(stream, address.to_string()).await.map_err(std::io::Error::other)
    }

    /// Uses a stream that is connected already.
    pub async fn over(
        stream: impl AsyncRead + AsyncWrite + Unpin + Send + 'static,
        host: String,
    ) -> hyper::Result<Self> {
        let (sender, connection) = handshake(TokioIo::new(stream)).await?;
        tokio::spawn(connection);
        Ok(Self { sender, host })
    }

    /// Sends a request and returns the response as soon as its head has arrived.
    pub async fn open(&mut self, mut request: Sent) -> hyper::Result<Response<Incoming>> {
        let host = self.host.parse().expect("a header value");
        request.headers_mut().entry(HOST).or_insert(host);
        self.sender.ready().await?;
        timeout(PATIENCE, self.sender.send_request(request)).await.expect("a response in time")
    }

    /// Sends a request and reads the response; fails when it is not complete.
    pub async fn try_send(&mut self, request: Sent) -> hyper::Result<Reply> {
        let (head, body) = self.open(request).await?.into_parts();
        let body = timeout(PATIENCE, body.collect()).await.expect("a body in time")?.to_bytes();
        Ok(Reply { status: head.status, headers: head.headers, body })
    }

    /// Sends a request and reads the complete response.
    pub async fn send(&mut self, request: Sent) -> Reply {
        self.try_send(request).await.expect("a complete response")
    }
}

/// Sends raw bytes and returns everything that arrives until the other end closes.
pub async fn exchange(address: SocketAddr, bytes: &[u8]) -> Vec<u8> {
    let mut stream = TcpStream::connect(address).await.expect("connect");
    stream.write_all(bytes).await.expect("send");
    let mut received = Vec::new();
    let read = timeout(PATIENCE, stream.read_to_end(&mut received)).await;
    // A reset after the response is an end like any other.
    let _ = read.expect("the end of the connection in time");
    received
}
