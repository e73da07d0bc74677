//! Frames between daemons on TCP connections: a length of four bytes, then the sealed envelope.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, Result, bail};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc};
use tokio::time::{sleep, timeout};

use super::codec::MAX_FRAME_BYTES;
use super::{MessageHandler, Peers};

/// Frames that wait for a connection; further ones are dropped, since every protocol between the
/// daemons repeats what was not answered.
pub const MAX_QUEUED_FRAMES: usize = 256;
/// Most inbound connections at a time.
const MAX_CONNECTIONS: usize = 1_024;
/// Longest time for connecting, and for a frame to arrive once it has begun. The first frame must
/// begin within this time too, so that strangers cannot hold connections.
const FRAME_TIMEOUT: Duration = Duration::from_secs(5);
/// Connections with data that is not acknowledged for this long are closed. Without it, a
/// connection across a healed partition would wait for the kernel's back-off of up to minutes.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest time for the first attempt to connect; between regions a round trip takes 40 ms. A peer
/// that starts at the same time misses the first packet, and the kernel sends the next one after a
/// second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Longest time for any attempt; the time doubles after each that fails, as a full link may need it.
const CONNECT_TIMEOUT_MAX: Duration = Duration::from_secs(1);
/// Pause after a failed connection.
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);

/// Sends the frames of one queue to a peer, connecting when there is something to send.
pub async fn send_frames(address: SocketAddr, mut frames: mpsc::Receiver<Vec<u8>>) {
    let mut connection: Option<TcpStream> = None;
    while let Some(mut frame) = frames.recv().await {
        let mut within = CONNECT_TIMEOUT;
        while connection.is_none() {
            connection = connect(address, within).await;
            if connection.is_none() {
                within = (within * 2).min(CONNECT_TIMEOUT_MAX);
                sleep(RECONNECT_PAUSE).await;
                // Only the newest frame is worth a new connection.
                while let Ok(newer) = frames.try_recv() {
                    frame = newer;
                }
                if frames.is_closed() {
                    return;
                }
            }
        }
        let Some(stream) = connection.as_mut() else { continue };
        if let Err(error) = write_frame(stream, &frame).await {
            log::debug!(peer:% = address, error:% = error; "connection to peer lost");
            connection = None;
        }
    }
}

async fn connect(address: SocketAddr, within: Duration) -> Option<TcpStream> {
    match timeout(within, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => {
            let socket = socket2::SockRef::from(&stream);
            let configured = stream
                .set_nodelay(true)
                .and_then(|()| socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT)));
            if let Err(error) = configured {
                log::warn!(peer:% = address, error:% = error; "socket options not set");
            }
            Some(stream)
        }
        Ok(Err(error)) => {
            log::debug!(peer:% = address, error:% = error; "peer not reached");
            None
        }
        Err(_) => {
            log::debug!(peer:% = address; "peer not reached in time");
            None
        }
    }
}

async fn write_frame(stream: &mut TcpStream, frame: &[u8]) -> io::Result<()> {
    let length = u32::try_from(frame.len()).map_err(io::Error::other)?;
    let mut bytes = Vec::with_capacity(4 + frame.len());
    bytes.extend_from_slice(&length.to_be_bytes());
    bytes.extend_from_slice(frame);
    match timeout(FRAME_TIMEOUT, stream.write_all(&bytes)).await {
        Ok(written) => written,
        Err(_) => Err(io::ErrorKind::TimedOut.into()),
    }
}

/// Handles one frame; an error closes the connection that it came on.
pub type FrameHandler = Arc<dyn Fn(&[u8]) -> Result<()> + Send + Sync>;

/// Accepts connections from peers until the task is aborted.
pub async fn accept(listener: TcpListener, peers: Arc<Peers>, on_message: MessageHandler) {
    let handle: FrameHandler = Arc::new(move |frame| match peers.open_frame(frame) {
        Ok(envelope) => {
            on_message(envelope);
            Ok(())
        }
        Err(error) => {
            peers.count_dropped(error);
            bail!(error)
        }
    });
    accept_frames(listener, MAX_FRAME_BYTES, handle).await;
}

/// Accepts connections and hands their frames on until the task is aborted.
pub async fn accept_frames(listener: TcpListener, max_frame_bytes: usize, handle: FrameHandler) {
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else { return };
        match listener.accept().await {
            Ok((stream, address)) => {
                let handle = Arc::clone(&handle);
                tokio::spawn(async move {
                    if let Err(error) = receive(stream, max_frame_bytes, &handle).await {
                        log::debug!(peer:% = address, error:% = error; "peer connection closed");
                    }
                    drop(permit);
                });
            }
            Err(error) => {
                // Out of file descriptors, for example; accepting again at once would fail again.
                log::warn!(error:% = error; "peer connection not accepted");
                sleep(RECONNECT_PAUSE).await;
            }
        }
    }
}

async fn receive(
    mut stream: TcpStream,
    max_frame_bytes: usize,
    handle: &FrameHandler,
) -> Result<()> {
    let mut length = [0; 4];
    timeout(FRAME_TIMEOUT, stream.read_exact(&mut length)).await.context("no first frame")??;
    loop {
        let length_bytes = usize::try_from(u32::from_be_bytes(length))?;
        let frame = read_frame(&mut stream, length_bytes, max_frame_bytes).await?;
        handle(&frame)?;
        stream.read_exact(&mut length).await?;
    }
}

async fn read_frame(
    stream: &mut (impl AsyncRead + Unpin),
    length: usize,
    max_frame_bytes: usize,
) -> Result<Vec<u8>> {
    if length > max_frame_bytes {
        bail!("frame of {length} bytes exceeds {max_frame_bytes}");
    }
    // Grows with the bytes that arrive, so that a bare length claims no memory.
    let mut frame = Vec::new();
    let mut rest = stream.take(length as u64);
    timeout(FRAME_TIMEOUT, rest.read_to_end(&mut frame)).await.context("frame is late")??;
    if frame.len() < length {
        bail!("frame ends after {} of {length} bytes", frame.len());
    }
    Ok(frame)
}

#[cfg(test)]
#[path = "tcp_tests.rs"]
mod tests;
