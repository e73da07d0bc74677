//! One try: connect, send, read the answer.

use std::time::Duration;

use http_body_util::{BodyExt as _, Full, Limited};
use hyper::body::Bytes;
use hyper::header::{AUTHORIZATION, CONTENT_TYPE, HOST, HeaderValue};
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::tries::Try;

/// Largest answer. The status of 700 daemons with 10,000 recorded intents stays below it.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// Where and how a request is sent.
pub struct Connection<'a> {
    /// HOST:PORT.
    pub daemon: &'a str,
    /// The operators' token.
    pub token: &'a str,
    /// Time for connecting, and again for the answer.
    pub timeout: Duration,
}

impl Connection<'_> {
    /// Sends a request on a new connection.
    pub async fn send<T: DeserializeOwned>(
        &self,
        method: &Method,
        path: &str,
        body: Option<&[u8]>,
    ) -> Try<T> {
        let daemon = self.daemon;
        let request = match self.request(method, path, body) {
            Ok(request) => request,
            Err(reason) => return Try::NotSent(format!("{daemon}: {reason}")),
        };
        let stream = match timeout(self.timeout, TcpStream::connect(daemon)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Try::NotSent(format!("{daemon}: cannot connect: {error}")),
            Err(_) => return Try::NotSent(format!("{daemon}: cannot connect in time")),
        };
        match timeout(self.timeout, exchange(stream, request)).await {
            Ok(Ok((status, body))) => self.read(status, &body),
            Ok(Err(reason)) => Try::Unanswered(format!("{daemon}: no answer: {reason}")),
            Err(_) => {
                let ms = self.timeout.as_millis();
                Try::Unanswered(format!("{daemon}: no answer within {ms} ms"))
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

    fn read<T: DeserializeOwned>(&self, status: StatusCode, body: &[u8]) -> Try<T> {
        let parsed = if status.is_success() {
            serde_json::from_slice(body).map(Try::Answered)
        } else {
            serde_json::from_slice(body).map(Try::Refused)
        };
        parsed.unwrap_or_else(|error| {
            Try::Unanswered(format!("{}: cannot read the {status} answer: {error}", self.daemon))
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
    // The task ends with the sender or the stream.
    tokio::spawn(connection);
    let response = sender.send_request(request).await.map_err(|error| error.to_string())?;
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES);
    let body = body.collect().await.map_err(|error| error.to_string())?;
    Ok((status, body.to_bytes()))
}
