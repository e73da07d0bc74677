//! HTTP/1.1 connections of callers.

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

use super::WAIT_TIMEOUT;

/// A request whose body is in memory.
pub type FullRequest = Request<Full<Bytes>>;

/// A response with its complete body.
#[derive(Debug)]
pub struct Reply {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl Reply {
    /// Parses the body as JSON; panics if it is not valid JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body)
            .unwrap_or_else(|error| panic!("{error} in {:?}", String::from_utf8_lossy(&self.body)))
    }

    /// Asserts that this is a documented error response with this status, code, name and outcome.
    #[track_caller]
    pub fn assert_error(&self, status: u16, code: u16, name: &str, outcome: &str) {
        let body = self.json();
        let found = (self.status.as_u16(), &body["code"], &body["name"], &body["outcome"]);
        assert_eq!(found, (status, &code.into(), &name.into(), &outcome.into()), "{body}");
    }
}

/// Builds a request that presents a key or token as a bearer credential.
pub fn request(
    method: Method,
    path: &str,
    key: Option<&str>,
    body: impl Into<Bytes>,
) -> FullRequest {
    let mut request = Request::new(Full::new(body.into()));
    *request.method_mut() = method;
    *request.uri_mut() = path.parse().expect("valid path");
    if let Some(key) = key {
        let value = format!("Bearer {key}").parse().expect("valid header value");
        request.headers_mut().insert(AUTHORIZATION, value);
    }
    request
}

/// Builds a GET request with an empty body.
pub fn get(path: &str, key: Option<&str>) -> FullRequest {
    request(Method::GET, path, key, Bytes::new())
}

/// Adds a header to a request.
pub fn with_header(mut request: FullRequest, name: &'static str, value: &str) -> FullRequest {
    request.headers_mut().append(name, value.parse().expect("valid header value"));
    request
}

/// An open connection to a daemon.
pub struct Caller {
    sender: SendRequest<Full<Bytes>>,
    host: String,
}

impl Caller {
    /// Connects to an address.
    pub async fn connect(address: SocketAddr) -> std::io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        Self::from_stream(stream, address.to_string()).await.map_err(std::io::Error::other)
    }

    /// Performs the HTTP handshake on a connected stream, such as a TLS stream.
    pub async fn from_stream(
        stream: impl AsyncRead + AsyncWrite + Unpin + Send + 'static,
        host: String,
    ) -> hyper::Result<Self> {
        let (sender, connection) = handshake(TokioIo::new(stream)).await?;
        tokio::spawn(connection);
        Ok(Self { sender, host })
    }

    /// Sends a request and returns once the response head has arrived; the body is streamed.
    pub async fn send_streaming(
        &mut self,
        mut request: FullRequest,
    ) -> hyper::Result<Response<Incoming>> {
        let host = self.host.parse().expect("valid header value");
        request.headers_mut().entry(HOST).or_insert(host);
        self.sender.ready().await?;
        timeout(WAIT_TIMEOUT, self.sender.send_request(request))
            .await
            .expect("no response head within the time-out")
    }

    /// Sends a request and reads the whole response. Returns an error if the response is
    /// incomplete.
    pub async fn try_send(&mut self, request: FullRequest) -> hyper::Result<Reply> {
        let (head, body) = self.send_streaming(request).await?.into_parts();
        let body = timeout(WAIT_TIMEOUT, body.collect())
            .await
            .expect("response body incomplete after the time-out")?
            .to_bytes();
        Ok(Reply { status: head.status, headers: head.headers, body })
    }

    /// Sends a request and reads the whole response; panics if the response is incomplete.
    pub async fn send(&mut self, request: FullRequest) -> Reply {
        self.try_send(request).await.expect("response failed or was incomplete")
    }
}

/// Sends raw bytes on a new connection and returns all bytes received until the peer closes it.
pub async fn send_raw(address: SocketAddr, bytes: &[u8]) -> Vec<u8> {
    let mut stream = TcpStream::connect(address).await.expect("connect");
    stream.write_all(bytes).await.expect("send");
    let mut received = Vec::new();
    let read = timeout(WAIT_TIMEOUT, stream.read_to_end(&mut received)).await;
    // A connection reset after the response counts as the end of the connection.
    let _ = read.expect("connection still open after the time-out");
    received
}
