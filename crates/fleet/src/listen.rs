//! HTTP listeners with graceful shutdown.

use std::convert::Infallible;
use std::future::{Future, poll_fn};
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::task::{Poll, ready};
use std::time::Duration;

use anyhow::{Context, Result};
use celerygate_daemon::connections::{
    OpenConnection, OpenConnections, close_gracefully, close_unread,
};
use celerygate_daemon::listener::accept_queued;
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::SockRef;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

use self::stream::Stream;

mod stream;

/// Length of the accept queue. When all callers reconnect at once, a full queue would drop SYN
/// packets, which callers repeat only after seconds.
const BACKLOG: u32 = 1_024;
/// Idle time after which a connection is closed. It exceeds the timeouts that deployments
/// configure, because a caller may use a connection that was idle for less.
const IDLE_TIMEOUT: Duration = Duration::from_secs(75);
/// Delay after a failed accept, for example when no file descriptor is free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Time for which a stopping daemon waits for the first bytes of a connection. A connection from
/// the accept queue may have sent its request, or its request may be on its way.
const FIRST_READ_TIMEOUT: Duration = Duration::from_millis(200);

/// Opens a listening socket.
///
/// # Errors
///
/// When the address is invalid or in use.
pub fn bind(address: &str) -> Result<TcpListener> {
    let address: SocketAddr =
        address.parse().with_context(|| format!("invalid address {address:?}"))?;
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    socket.bind(address).with_context(|| format!("bind {address}"))?;
    socket.listen(BACKLOG).with_context(|| format!("listen on {address}"))
}

/// Serves connections until `shutdown` becomes true, then closes idle connections and, after their
/// response, busy ones. `connections` counts the open ones, and the listener from the call of this
/// function.
pub fn serve<F, R, B>(
    listener: TcpListener,
    shutdown: watch::Receiver<bool>,
    connections: Arc<OpenConnections>,
    handle: F,
) -> impl Future<Output = ()>
where
    F: Fn(Request<Incoming>) -> R + Send + Sync + 'static,
    R: Future<Output = Response<B>> + Send + 'static,
    B: Body + Send + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let open_listener = connections.begin_listening();
    let handle = Arc::new(handle);
    let mut accept_shutdown = shutdown.clone();
    async move {
        let spawn = |stream| {
            // Counted before the spawn: the task may start after the listener's guard is dropped.
            let open = connections.begin();
            tokio::spawn(connection(stream, open, shutdown.clone(), Arc::clone(&handle)));
        };
        while let Some(stream) = accept(&listener, &mut accept_shutdown).await {
            spawn(stream);
        }
        accept_last(listener).for_each(spawn);
        drop(open_listener);
    }
}

/// Accepts the next connection; returns `None` on shutdown.
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

/// Closes a listener and returns the connections that the kernel has accepted for it.
pub(crate) fn accept_last(listener: TcpListener) -> impl Iterator<Item = TcpStream> {
    let queued = accept_queued(listener, BACKLOG as usize).unwrap_or_else(|error| {
        log::warn!(error:% = error; "queued connections not accepted");
        Vec::new()
    });
    if !queued.is_empty() {
        log::info!(connections = queued.len(); "accepted the last connections");
    }
    queued.into_iter().map(|(stream, _)| stream)
}

/// Waits until `shutdown` becomes true or its sender is dropped.
pub(crate) async fn wait_for_shutdown(shutdown: &mut watch::Receiver<bool>) {
    let _ = shutdown.wait_for(|shutdown| *shutdown).await;
}

/// Waits for the first bytes of a connection and returns whether there are any. Once the daemon is
/// stopping, waits for at most [`FIRST_READ_TIMEOUT`].
async fn wait_for_first_bytes(stream: &TcpStream, shutdown: &mut watch::Receiver<bool>) -> bool {
    let stopped = async {
        wait_for_shutdown(shutdown).await;
        sleep(FIRST_READ_TIMEOUT).await;
    };
    tokio::select! {
        biased;
        readable = stream.readable() => readable.is_ok(),
        () = stopped => has_unread_bytes(stream),
        () = sleep(IDLE_TIMEOUT) => false,
    }
}

/// Asks the kernel for unread bytes. The runtime may not know of them yet on a busy machine.
fn has_unread_bytes(stream: &TcpStream) -> bool {
    let peeked = SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]);
    peeked.is_ok_and(|bytes| bytes > 0)
}

async fn connection<F, R, B>(
    stream: TcpStream,
    open: OpenConnection,
    mut shutdown: watch::Receiver<bool>,
    handle: Arc<F>,
) where
    F: Fn(Request<Incoming>) -> R + Send + Sync + 'static,
    R: Future<Output = Response<B>> + Send + 'static,
    B: Body + Send + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(error:% = error; "failed to set TCP_NODELAY");
    }
    if !wait_for_first_bytes(&stream, &mut shutdown).await {
        return;
    }
    let service = service_fn(move |request| {
        let response = handle(request);
        Box::pin(async move { Ok::<_, Infallible>(response.await) })
    });
    let mut http = http1::Builder::new();
    http.timer(TokioTimer::new()).header_read_timeout(IDLE_TIMEOUT);
    let io = TokioIo::new(Stream::new(stream, shutdown.clone()));
    let mut connection = http.serve_connection(io, service);
    // The shutdown may begin after the connection was polled, so it is polled once more before the
    // library is asked to close it: a request that the kernel has received is read then.
    let mut is_stopping = false;
    let mut is_closing = false;
    let mut stopped = pin!(wait_for_shutdown(&mut shutdown));
    let ended = poll_fn(|context| {
        loop {
            if let Poll::Ready(ended) = connection.poll_without_shutdown(context) {
                return Poll::Ready(ended);
            }
            if is_closing {
                return Poll::Pending;
            }
            if is_stopping {
                Pin::new(&mut connection).graceful_shutdown();
                is_closing = true;
            } else {
                ready!(stopped.as_mut().poll(context));
                is_stopping = true;
            }
        }
    })
    .await;
    if let Err(error) = ended {
        log::debug!(error:% = error; "caller's connection failed");
        return;
    }
    let stream = connection.into_parts().io.into_inner();
    if !is_stopping || stream.has_written_while_stopping() {
        let (reader, writer) = stream.into_socket().into_split();
        close_gracefully(reader, writer).await;
    } else {
        // The peer of an idle connection may not notice the stop, and the exit of the process does
        // not wait for it.
        drop(open);
        close_unread(stream.into_socket()).await;
    }
}

#[cfg(test)]
#[path = "listen_tests.rs"]
mod tests;
