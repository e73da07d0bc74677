//! The listener for callers: HTTP/1.1 with keep-alive, optionally over TLS.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, Result};
use celerygate_types::wire::TlsSettings;
use hyper::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::timeout;
use tokio_rustls::TlsAcceptor;
use tokio_rustls::rustls::ServerConfig;
use tokio_rustls::rustls::pki_types::pem::PemObject;
use tokio_rustls::rustls::pki_types::{CertificateDer, PrivateKeyDer};

use crate::body::TrackedBody;
use crate::daemon::Daemon;
use crate::forward;
use crate::parse_errors::ErrorResponseRewriter;

/// Maximum number of concurrent connections; each uses up to `READ_BUFFER_BYTES` of memory.
const MAX_CONNECTIONS: usize = 8_192;
/// Timeout for receiving a request head, and for a TLS handshake.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Read buffer of a connection. It is larger than the permitted head, so that the forwarding code
/// refuses a head slightly over the limit, with its own error details, and not the HTTP library.
const READ_BUFFER_BYTES: usize = 32 * 1_024;
/// Maximum number of headers for the parser; above the permitted number for the same reason.
const MAX_PARSED_HEADERS: usize = 128;
/// Pause after a failure to accept a connection, for example for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Loads the certificate and the private key for TLS.
///
/// # Errors
///
/// When a file cannot be read or the key does not match the certificate.
pub fn tls_acceptor(settings: &TlsSettings) -> Result<TlsAcceptor> {
    let certificates = CertificateDer::pem_file_iter(settings.certificate_file.as_str())
        .and_then(Iterator::collect::<Result<Vec<_>, _>>)
        .with_context(|| format!("failed to read certificate {}", settings.certificate_file))?;
    let key = PrivateKeyDer::from_pem_file(settings.key_file.as_str())
        .with_context(|| format!("failed to read private key {}", settings.key_file))?;
    let mut config = ServerConfig::builder()
        .with_no_client_auth()
        .with_single_cert(certificates, key)
        .context("failed to combine the TLS certificate with its private key")?;
    config.alpn_protocols = vec![b"http/1.1".to_vec()];
    Ok(TlsAcceptor::from(Arc::new(config)))
}

/// Serves callers until the daemon enters the closing phase, then finishes the requests in
/// progress.
pub async fn serve(listener: TcpListener, tls: Option<TlsAcceptor>, daemon: Arc<Daemon>) {
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    let graceful = Arc::new(GracefulShutdown::new());
    loop {
        let accepted = tokio::select! {
            accepted = accept(&listener, &permits) => accepted,
            () = daemon.shutdown.wait_until_closing() => break,
        };
        let Some((stream, address, permit)) = accepted else { continue };
        let (tls, daemon, graceful) = (tls.clone(), Arc::clone(&daemon), Arc::clone(&graceful));
        tokio::spawn(async move {
            if let Err(error) = handle_connection(stream, address, tls, daemon, graceful).await {
                log::debug!(
                    caller:% = address, error:% = format!("{error:#}");
                    "connection from a caller failed"
                );
            }
            drop(permit);
        });
    }
    drop(listener);
    finish_connections(graceful).await;
}

async fn accept(
    listener: &TcpListener,
    permits: &Arc<Semaphore>,
) -> Option<(TcpStream, SocketAddr, tokio::sync::OwnedSemaphorePermit)> {
    let permit = Arc::clone(permits).acquire_owned().await.ok()?;
    match listener.accept().await {
        Ok((stream, address)) => Some((stream, address, permit)),
        Err(error) => {
            log::warn!(error:% = error; "connection not accepted");
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            None
        }
    }
}

async fn finish_connections(graceful: Arc<GracefulShutdown>) {
    // The other references belong to connection tasks, which drop them once they are registered.
    let mut graceful = graceful;
    let graceful = loop {
        match Arc::try_unwrap(graceful) {
            Ok(inner) => break inner,
            Err(shared) => {
                graceful = shared;
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        }
    };
    graceful.shutdown().await;
}

async fn handle_connection(
    stream: TcpStream,
    address: SocketAddr,
    tls: Option<TlsAcceptor>,
    daemon: Arc<Daemon>,
    graceful: Arc<GracefulShutdown>,
) -> Result<()> {
    stream.set_nodelay(true)?;
    match tls {
        None => serve_connection(stream, address, daemon, graceful).await,
        Some(acceptor) => {
            let stream = timeout(HEAD_TIMEOUT, acceptor.accept(stream))
                .await
                .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))
                .flatten()
                .context("failed to complete the TLS handshake")?;
            serve_connection(stream, address, daemon, graceful).await
        }
    }
}

async fn serve_connection(
    stream: impl AsyncRead + AsyncWrite + Unpin + Send + 'static,
    address: SocketAddr,
    daemon: Arc<Daemon>,
    graceful: Arc<GracefulShutdown>,
) -> Result<()> {
    let stream = ErrorResponseRewriter::new(stream, daemon.next_request_id());
    let in_flight = stream.in_flight();
    let service = service_fn(move |request: Request<Incoming>| {
        let daemon = Arc::clone(&daemon);
        let in_flight_request = in_flight.begin();
        async move {
            let response = forward::handle(daemon, request, address).await;
            Ok::<_, Infallible>(response.map(|body| TrackedBody::new(body, in_flight_request)))
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(READ_BUFFER_BYTES)
        .max_headers(MAX_PARSED_HEADERS)
        .serve_connection(TokioIo::new(stream), service);
    let connection = graceful.watch(connection);
    // `finish_connections` waits until every connection task has dropped its reference.
    drop(graceful);
    connection.await.context("failed to serve the connection")
}
