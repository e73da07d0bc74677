//! HTTP listeners whose connections end without cutting a request.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, Result};
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

/// Connections that wait to be accepted. Callers that all come back at once must not lose their
/// first packet, which they would repeat only after seconds.
const BACKLOG: u32 = 1_024;
/// Longest time for which a caller may keep a connection without a request. Above the limits that
/// deployments state, because a caller may use a connection that is idle for less.
const IDLE_TIMEOUT: Duration = Duration::from_secs(75);
/// Pause when no connection could be accepted, for example without free file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Binds a listener.
///
/// # Errors
///
/// When the address is invalid or in use.
pub fn bind(address: &str) -> Result<TcpListener> {
    let address: SocketAddr = address.parse().with_context(|| format!("address {address:?}"))?;
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    socket.bind(address).with_context(|| format!("bind {address}"))?;
    socket.listen(BACKLOG).with_context(|| format!("listen on {address}"))
}

/// Serves connections until `shutdown` becomes true, then ends idle ones and those whose request is
/// answered.
pub async fn serve<F, R, B>(listener: TcpListener, shutdown: watch::Receiver<bool>, handle: F)
where
    F: Fn(Request<Incoming>) -> R + Send + Sync + 'static,
    R: Future<Output = Response<B>> + Send + 'static,
    B: Body + Send + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let handle = Arc::new(handle);
    let mut until = shutdown.clone();
    while let Some(stream) = accept(&listener, &mut until).await {
        tokio::spawn(connection(stream, shutdown.clone(), Arc::clone(&handle)));
    }
}

/// Returns the next connection; none once connections are to be ended.
pub(crate) async fn accept(
    listener: &TcpListener,
    shutdown: &mut watch::Receiver<bool>,
) -> Option<TcpStream> {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = wait_for_shutdown(shutdown) => return None,
        };
        match accepted {
            Ok((stream, _)) => return Some(stream),
            Err(error) => {
                log::warn!(error:% = error; "connection not accepted");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Returns once connections are to be ended, also when the process that ends them has stopped.
pub(crate) async fn wait_for_shutdown(shutdown: &mut watch::Receiver<bool>) {
    let _ = shutdown.wait_for(|shutdown| *shutdown).await;
}

async fn connection<F, R, B>(stream: TcpStream, mut shutdown: watch::Receiver<bool>, handle: Arc<F>)
where
    F: Fn(Request<Incoming>) -> R + Send + Sync + 'static,
    R: Future<Output = Response<B>> + Send + 'static,
    B: Body + Send + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(error:% = error; "connection without nodelay");
    }
    let service = service_fn(move |request| {
        let response = handle(request);
        async move { Ok::<_, Infallible>(response.await) }
    });
    let mut http = http1::Builder::new();
    http.timer(TokioTimer::new()).header_read_timeout(IDLE_TIMEOUT);
    let connection = http.serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = wait_for_shutdown(&mut shutdown) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        log::debug!(error:% = error; "caller's connection ended");
    }
}
