//! HTTP/1.1 client connections of the examples.

use std::time::Duration;

use http_body_util::Full;
use hyper::body::Bytes;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Sends requests on an open connection.
pub type Sender = SendRequest<Full<Bytes>>;

/// Opens an HTTP connection to `HOST:PORT`.
pub async fn connect(address: &str) -> Result<Sender, String> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|_| format!("{address}: no connection within {CONNECT_TIMEOUT:?}"))?
        .map_err(|error| format!("{address}: {error}"))?;
    stream.set_nodelay(true).map_err(|error| format!("{address}: {error}"))?;
    let (sender, connection) =
        handshake(TokioIo::new(stream)).await.map_err(|error| format!("{address}: {error}"))?;
    // The task ends when the sender is dropped or the stream is closed.
    tokio::spawn(connection);
    Ok(sender)
}
