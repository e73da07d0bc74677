//! Accepting connections until the daemon stops.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::shutdown::Shutdown;

/// Pause after a failure to accept a connection, for example for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// An accepted connection, which counts towards the listener's maximum.
struct Accepted {
    stream: TcpStream,
    address: SocketAddr,
    permit: OwnedSemaphorePermit,
}

/// Passes each accepted connection to `handle` until the daemon enters the closing phase. The
/// connections count as open until `handle` has finished with them.
pub async fn serve<F>(
    listener: TcpListener,
    max_connections: usize,
    shutdown: &Shutdown,
    handle: impl Fn(TcpStream, SocketAddr) -> F,
) where
    F: Future<Output = ()> + Send + 'static,
{
    let permits = Arc::new(Semaphore::new(max_connections));
    let spawn = |accepted: Accepted| {
        let open = shutdown.connections.begin();
        let handled = handle(accepted.stream, accepted.address);
        tokio::spawn(async move {
            handled.await;
            drop((accepted.permit, open));
        });
    };
    loop {
        tokio::select! {
            accepted = accept(&listener, &permits) => accepted.into_iter().for_each(spawn),
            () = shutdown.wait_until_closing() => break,
        }
    }
    match accept_queued(listener, permits.available_permits()) {
        Ok(queued) => {
            if !queued.is_empty() {
                log::info!(connections = queued.len(); "accepted the last connections");
            }
            for (stream, address) in queued {
                // The last permits are only taken here, so there is one for each connection.
                if let Ok(permit) = Arc::clone(&permits).try_acquire_owned() {
                    spawn(Accepted { stream, address, permit });
                }
            }
        }
        Err(error) => log::warn!(error:% = error; "connections in the accept queue are lost"),
    }
}

async fn accept(listener: &TcpListener, permits: &Arc<Semaphore>) -> Option<Accepted> {
    let permit = Arc::clone(permits).acquire_owned().await.ok()?;
    match listener.accept().await {
        Ok((stream, address)) => Some(Accepted { stream, address, permit }),
        Err(error) => {
            log::warn!(error:% = error; "connection not accepted");
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            None
        }
    }
}

/// Accepts the connections in the kernel's queue, at most `max`, and closes the listener, which
/// resets connections that were not accepted. They may hold requests, which get a response or a
/// refusal instead of a reset.
///
/// # Errors
///
/// When the listener cannot be used without the runtime.
pub fn accept_queued(
    listener: TcpListener,
    max: usize,
) -> io::Result<Vec<(TcpStream, SocketAddr)>> {
    // The runtime may not know yet that the listener is readable, so the kernel is asked directly.
    let listener = listener.into_std()?;
    let mut queued = Vec::new();
    while queued.len() < max {
        let accepted = listener.accept().and_then(|(stream, address)| {
            stream.set_nonblocking(true)?;
            Ok((TcpStream::from_std(stream)?, address))
        });
        match accepted {
            Ok(accepted) => queued.push(accepted),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
            Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => {}
            Err(error) => {
                log::warn!(error:% = error; "connection not accepted");
                break;
            }
        }
    }
    Ok(queued)
}

#[cfg(test)]
#[path = "listener_tests.rs"]
mod tests;
