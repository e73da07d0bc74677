//! The listener for callers: connections with keep-alive, optionally over TLS.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use anyhow::{Context, Result};
use celerygate_types::wire::TlsSettings;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;
use tokio_rustls::TlsAcceptor;
use tokio_rustls::rustls::ServerConfig;
use tokio_rustls::rustls::pki_types::pem::PemObject;
use tokio_rustls::rustls::pki_types::{CertificateDer, PrivateKeyDer};

use crate::daemon::Daemon;
use crate::forward;
use crate::http_connection::{self, HEAD_TIMEOUT, Peer};
use crate::listener;

/// Maximum number of concurrent connections; each uses a read buffer of 32 KiB.
const MAX_CONNECTIONS: usize = 8_192;
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
    let handle = |stream, address| {
        let (tls, daemon) = (tls.clone(), Arc::clone(&daemon));
        async move {
            if let Err(error) = handle_connection(stream, address, tls, daemon).await {
                log::debug!(
                    caller:% = address, error:% = format!("{error:#}");
                    "connection from a caller failed"
                );
            }
        }
    };
    listener::serve(listener, MAX_CONNECTIONS, &daemon.shutdown, handle).await;
    daemon.shutdown.connections.wait_until_closed().await;
}

async fn handle_connection(
    stream: TcpStream,
    address: SocketAddr,
    tls: Option<TlsAcceptor>,
    daemon: Arc<Daemon>,
) -> Result<()> {
    stream.set_nodelay(true)?;
    match tls {
        None => serve_connection(stream, address, daemon).await,
        Some(acceptor) => {
            let stream = timeout(HEAD_TIMEOUT, acceptor.accept(stream))
                .await
                .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))
                .flatten()
                .context("failed to complete the TLS handshake")?;
            serve_connection(stream, address, daemon).await
        }
    }
    Ok(())
}

async fn serve_connection(
    stream: impl AsyncRead + AsyncWrite + Unpin + Send + 'static,
    address: SocketAddr,
    daemon: Arc<Daemon>,
) {
    let peer = Peer { id: daemon.next_request_id(), address };
    let forwarding_daemon = Arc::clone(&daemon);
    let respond = move |request| forward::handle(Arc::clone(&forwarding_daemon), request, address);
    http_connection::serve(stream, peer, &daemon.shutdown, respond).await;
}
