//! Frames between daemons on TCP connections: a four-byte length, then the sealed envelope.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, Result, bail};
use celerygate_steering::buffers::{MemoryBudget, Reservation};
use celerygate_types::ByteCount;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc};
use tokio::time::{sleep, timeout};

use super::codec::MAX_FRAME_BYTES;
use super::{MessageHandler, Peers};

/// Maximum number of frames that wait for a connection. Further ones are dropped, which is safe
/// because every protocol between the daemons repeats requests that were not answered.
pub const MAX_QUEUED_FRAMES: usize = 256;
/// Maximum number of simultaneous inbound connections.
const MAX_INBOUND_CONNECTIONS: usize = 1_024;
/// Longest time to write a frame, or to receive one after its length. The first frame must begin
/// within this time too, so that unauthenticated clients cannot hold connections open.
const FRAME_TIMEOUT: Duration = Duration::from_secs(5);
/// Connections with data that is not acknowledged for this long are closed. Otherwise, after a
/// network partition, a connection would wait for the kernel's back-off, which can take minutes.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(2);
/// Time-out of the first attempt to connect; a round trip between regions takes 40 ms. A peer that
/// starts at the same time misses the first packet, and the kernel would send the next one only
/// after a second.
const INITIAL_CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Upper bound of the time-out, which doubles after each failed attempt because a congested link
/// may need more time.
const MAX_CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay after a failed attempt to connect or accept.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);

/// Received bytes of a frame that need no memory of the total: every message but snapshots is smaller.
/// Also the step in which a larger frame takes memory.
const FRAME_STEP_BYTES: usize = 64 * 1_024;

/// Limits for the frames that are received.
#[derive(Clone, Copy, Debug)]
pub struct FrameLimits {
    /// Size of one frame.
    pub frame_max: ByteCount,
    /// Total size of the frames above [`FRAME_STEP_BYTES`] that are received at the same time. The
    /// sender of a frame is known only once the frame is complete.
    pub total_max: ByteCount,
}

impl FrameLimits {
    /// Limits for frames of `celerygated`.
    pub const DEFAULT: Self = Self {
        frame_max: ByteCount(MAX_FRAME_BYTES as u64),
        total_max: ByteCount(32 * 1_024 * 1_024),
    };
}

/// Sends the frames of a queue to a peer, connecting when there is a frame to send.
pub async fn send_frames(address: SocketAddr, mut frames: mpsc::Receiver<Vec<u8>>) {
    let mut connection: Option<TcpStream> = None;
    while let Some(mut frame) = next_frame(address, &mut connection, &mut frames).await {
        let mut connect_timeout = INITIAL_CONNECT_TIMEOUT;
        while connection.is_none() {
            connection = connect(address, connect_timeout).await;
            if connection.is_none() {
                connect_timeout = (connect_timeout * 2).min(MAX_CONNECT_TIMEOUT);
                sleep(RECONNECT_DELAY).await;
                // Queued frames are outdated after a failed attempt; only the newest one is sent.
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

/// Waits for the next frame, `None` once the queue is closed. A connection that ends meanwhile is dropped:
/// the kernel accepts a write on it, so that the frame would be lost.
async fn next_frame(
    address: SocketAddr,
    connection: &mut Option<TcpStream>,
    frames: &mut mpsc::Receiver<Vec<u8>>,
) -> Option<Vec<u8>> {
    if let Some(stream) = connection {
        tokio::select! {
            biased;
            () = ended(stream) => {
                log::debug!(peer:% = address; "peer has closed the connection");
                *connection = None;
            }
            frame = frames.recv() => return frame,
        }
    }
    frames.recv().await
}

/// Waits until the peer closes or resets a connection. Peers send nothing on it, so any input means that
/// it is of no use.
async fn ended(stream: &TcpStream) {
    // An error means that the connection has failed.
    let _ = stream.readable().await;
}

async fn connect(address: SocketAddr, connect_timeout: Duration) -> Option<TcpStream> {
    match timeout(connect_timeout, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => {
            let socket = socket2::SockRef::from(&stream);
            let configured = stream
                .set_nodelay(true)
                .and_then(|()| socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT)));
            if let Err(error) = configured {
                log::warn!(peer:% = address, error:% = error; "failed to set socket options");
            }
            Some(stream)
        }
        Ok(Err(error)) => {
            log::debug!(peer:% = address, error:% = error; "failed to connect to peer");
            None
        }
        Err(_) => {
            log::debug!(peer:% = address; "connection attempt to peer timed out");
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
    accept_frames(listener, FrameLimits::DEFAULT, handle).await;
}

/// Accepts connections and passes their frames to a handler until the task is aborted.
pub async fn accept_frames(listener: TcpListener, limits: FrameLimits, handle: FrameHandler) {
    let memory = MemoryBudget::new(limits.total_max);
    let permits = Arc::new(Semaphore::new(MAX_INBOUND_CONNECTIONS));
    loop {
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else { return };
        match listener.accept().await {
            Ok((stream, address)) => {
                let (handle, memory) = (Arc::clone(&handle), Arc::clone(&memory));
                tokio::spawn(async move {
                    if let Err(error) = receive(stream, limits, &memory, &handle).await {
                        log::debug!(peer:% = address, error:% = error; "peer connection closed");
                    }
                    drop(permit);
                });
            }
            Err(error) => {
                // For example, no file descriptors are left; an immediate retry would fail again.
                log::warn!(error:% = error; "peer connection not accepted");
                sleep(RECONNECT_DELAY).await;
            }
        }
    }
}

async fn receive(
    mut stream: TcpStream,
    limits: FrameLimits,
    memory: &Arc<MemoryBudget>,
    handle: &FrameHandler,
) -> Result<()> {
    let mut length = [0; 4];
    timeout(FRAME_TIMEOUT, stream.read_exact(&mut length))
        .await
        .context("first frame timed out")??;
    loop {
        let length_bytes = usize::try_from(u32::from_be_bytes(length))?;
        let mut reservation = memory.reservation();
        let frame = read_frame(&mut stream, length_bytes, limits, &mut reservation).await?;
        handle(&frame)?;
        drop((frame, reservation));
        stream.read_exact(&mut length).await?;
    }
}

async fn read_frame(
    stream: &mut (impl AsyncRead + Unpin),
    length: usize,
    limits: FrameLimits,
    memory: &mut Reservation,
) -> Result<Vec<u8>> {
    if length as u64 > limits.frame_max.0 {
        bail!("frame of {length} bytes exceeds {}", limits.frame_max);
    }
    // The buffer grows with the received bytes, so that a length alone allocates no memory.
    let mut frame = Vec::new();
    let receiving = async {
        while frame.len() < length {
            let step = (length - frame.len()).min(FRAME_STEP_BYTES);
            if !frame.is_empty() && !memory.grow(ByteCount(step as u64)) {
                bail!("no memory for a frame of {length} bytes");
            }
            let received = (&mut *stream).take(step as u64).read_to_end(&mut frame).await?;
            if received < step {
                bail!("frame ends after {} of {length} bytes", frame.len());
            }
        }
        Ok(())
    };
    timeout(FRAME_TIMEOUT, receiving).await.context("frame timed out")??;
    Ok(frame)
}

#[cfg(test)]
#[path = "tcp_tests.rs"]
mod tests;
