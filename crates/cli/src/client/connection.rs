//! Sends one request to one daemon on a new connection.

use std::time::Duration;

use http_body_util::{BodyExt as _, Full, Limited};
use hyper::body::Bytes;
use hyper::header::{AUTHORIZATION, CONTENT_TYPE, HOST, HeaderValue};
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::failover::Attempt;

/// Largest accepted response. The status of 700 daemons with 10,000 recorded intents is smaller.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// The daemon that requests are sent to, with credentials and time limit.
pub struct Connection<'a> {
    /// Address of the daemon, as HOST:PORT.
    pub daemon: &'a str,
    /// The operators' token.
    pub token: &'a str,
    /// Time limit for connecting, and again for the response.
    pub timeout: Duration,
}

impl Connection<'_> {
    /// Sends a request on a new connection and reads the response.
    pub async fn send<T: DeserializeOwned>(
        &self,
        method: &Method,
        path: &str,
        body: Option<&[u8]>,
    ) -> Attempt<T> {
        let daemon = self.daemon;
        let request = match self.request(method, path, body) {
            Ok(request) => request,
            Err(reason) => return Attempt::Unsent(format!("{daemon}: {reason}")),
        };
        let stream = match timeout(self.timeout, TcpStream::connect(daemon)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Attempt::Unsent(format!("{daemon}: cannot connect: {error}")),
            Err(_) => return Attempt::Unsent(format!("{daemon}: cannot connect in time")),
        };
        match timeout(self.timeout, exchange(stream, request)).await {
            Ok(Ok((status, body))) => self.parse_response(status, &body),
            Ok(Err(reason)) => Attempt::NoResponse(format!("{daemon}: no answer: {reason}")),
            Err(_) => {
                let ms = self.timeout.as_millis();
                Attempt::NoResponse(format!("{daemon}: no answer within {ms} ms"))
            }
        }
    }

    fn request(
        &self,
        method: &Method,
        path: &str,
        body: Option<&[u8]>,
    ) -> Result<Request<Full<Bytes>>, String> {
        let mut token = HeaderValue::try_from(format!("Bearer {}", self.token))
            .map_err(|_| "the token cannot be sent in a header".to_owned())?;
        token.set_sensitive(true);
        Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, self.daemon)
            .header(AUTHORIZATION, token)
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::copy_from_slice(body.unwrap_or_default())))
            .map_err(|error| error.to_string())
    }

    fn parse_response<T: DeserializeOwned>(&self, status: StatusCode, body: &[u8]) -> Attempt<T> {
        let parsed = if status.is_success() {
            serde_json::from_slice(body).map(Attempt::Answered)
        } else {
            serde_json::from_slice(body).map(Attempt::Refused)
        };
        parsed.unwrap_or_else(|error| {
            Attempt::NoResponse(format!(
                "{}: cannot read the {status} answer: {error}",
                self.daemon
            ))
        })
    }
}

async fn exchange(
    stream: TcpStream,
    request: Request<Full<Bytes>>,
) -> Result<(StatusCode, Bytes), String> {
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|error| error.to_string())?;
    // The task ends when the sender is dropped or the stream is closed.
    tokio::spawn(connection);
    let response = sender.send_request(request).await.map_err(|error| error.to_string())?;
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES);
    let body = body.collect().await.map_err(|error| error.to_string())?;
    Ok((status, body.to_bytes()))
}
