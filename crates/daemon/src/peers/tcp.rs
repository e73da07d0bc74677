//! Frames between daemons on TCP connections: a four-byte length, then the sealed envelope. Some frames
//! ask the receiver for a confirmation of one byte, see [`super::liveness`].

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, Result, bail};
use celerygate_steering::buffers::{MemoryBudget, Reservation};
use celerygate_types::ByteCount;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::ReadHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc};
use tokio::time::{Instant, sleep, sleep_until, timeout};

use super::codec::MAX_FRAME_BYTES;
use super::liveness::{Ask, Liveness, NextStep, RECEIVE_TIMEOUT, probe_timeouts};
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
/// may need more time: packets are queued for more than half a second in each direction. The kernel repeats
/// the first packet after 1 s.
pub(super) const MAX_CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay after a failed attempt to connect or accept.
pub(super) const RECONNECT_DELAY: Duration = Duration::from_millis(100);

/// Received bytes of a frame that need no memory of the total: every message but snapshots is smaller.
/// Also the step in which a larger frame takes memory.
const FRAME_STEP_BYTES: usize = 64 * 1_024;

/// Bit of a frame's length that asks for a confirmation.
const ASKS_CONFIRMATION: u32 = 1 << 31;
/// Byte with which a receiver confirms the frame that asked for it.
const CONFIRMED: u8 = 1;
/// Byte that a receiver sends for each step of a long frame.
const PROGRESS: u8 = 2;

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

/// A connection on which frames are sent.
struct PeerConnection {
    address: SocketAddr,
    stream: TcpStream,
    liveness: Liveness,
    /// Opens another connection while this one confirms nothing in time.
    other: Option<OpeningConnection>,
}

/// A connection that is being opened, ready once the peer has confirmed a probe on it.
type OpeningConnection = Pin<Box<dyn Future<Output = TcpStream> + Send>>;

/// Why a connection is closed.
#[derive(Debug, thiserror::Error)]
enum ConnectionEnd {
    #[error("the peer has closed the connection: {0}")]
    Closed(#[from] io::Error),
    #[error("the peer confirms frames on another connection only")]
    Silent(TcpStream),
    #[error("no frame to send")]
    Idle,
}

impl PeerConnection {
    fn new(address: SocketAddr, stream: TcpStream) -> Self {
        Self { address, stream, liveness: Liveness::new(Instant::now()), other: None }
    }

    /// Writes a frame, and meanwhile receives confirmations of earlier ones.
    async fn write_frame(&mut self, frame: &[u8]) -> Result<(), ConnectionEnd> {
        let bytes = encode(frame, self.liveness.begin_frame(Instant::now()))?;
        let (mut reader, mut writer) = self.stream.split();
        let writing = timeout(FRAME_TIMEOUT, writer.write_all(&bytes));
        tokio::pin!(writing);
        loop {
            let now = Instant::now();
            let step = self.liveness.next_step(now);
            compare_if_due(&mut self.other, self.address, step);
            let wake_at = match step {
                NextStep::Wait(until) => until,
                NextStep::Probe | NextStep::CloseIdle | NextStep::Compare => now + FRAME_TIMEOUT,
            };
            tokio::select! {
                biased;
                received = receive_signal(&mut reader) => self.liveness.record(received?),
                written = &mut writing => {
                    return Ok(written.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))?);
                }
                stream = opened(&mut self.other) => return Err(ConnectionEnd::Silent(stream)),
                () = sleep_until(wake_at) => {}
            }
        }
    }

    /// Receives confirmations and sends probes until the connection is of no more use. Can be dropped
    /// at any time.
    async fn watch(&mut self) -> ConnectionEnd {
        loop {
            let now = Instant::now();
            let step = self.liveness.next_step(now);
            compare_if_due(&mut self.other, self.address, step);
            let wake_at = match step {
                NextStep::Wait(until) => until,
                NextStep::Probe => {
                    if let Err(error) = send_probe(&self.stream) {
                        return ConnectionEnd::Closed(error);
                    }
                    self.liveness.record_ask(now);
                    continue;
                }
                NextStep::Compare => now + FRAME_TIMEOUT,
                NextStep::CloseIdle => return ConnectionEnd::Idle,
            };
            let (mut reader, _) = self.stream.split();
            tokio::select! {
                biased;
                received = receive_signal(&mut reader) => match received {
                    Ok(signal) => self.liveness.record(signal),
                    Err(error) => return error.into(),
                },
                stream = opened(&mut self.other) => return ConnectionEnd::Silent(stream),
                () = sleep_until(wake_at) => {}
            }
        }
    }
}

/// Opens another connection if a comparison is due, and gives it up once the compared one has shown life.
fn compare_if_due(other: &mut Option<OpeningConnection>, address: SocketAddr, step: NextStep) {
    if step == NextStep::Compare {
        other.get_or_insert_with(|| Box::pin(open_confirmed(address)));
    } else {
        *other = None;
    }
}

/// Waits for a connection that is being opened, for good without one.
async fn opened(opening: &mut Option<OpeningConnection>) -> TcpStream {
    match opening {
        Some(opening) => opening.await,
        None => std::future::pending().await,
    }
}

/// Opens connections to a peer until it confirms a probe on one. The link may be full, so each attempt to
/// connect gets the longest time-out.
async fn open_confirmed(address: SocketAddr) -> TcpStream {
    let mut probe_timeouts = probe_timeouts();
    loop {
        if let Some(mut stream) = connect(address, MAX_CONNECT_TIMEOUT).await {
            let wait = probe_timeouts.next().unwrap_or(MAX_CONNECT_TIMEOUT);
            let confirmation = async {
                send_probe(&stream)?;
                receive_signal(&mut stream.split().0).await
            };
            if let Ok(Ok(Signal::Confirmation)) = timeout(wait, confirmation).await {
                return stream;
            }
        }
        sleep(RECONNECT_DELAY).await;
    }
}

/// Sends an empty frame that asks for a confirmation. A probe that does not fit into the kernel's
/// buffer is not needed: the bytes before it are not confirmed either.
fn send_probe(stream: &TcpStream) -> io::Result<()> {
    let probe = encode(&[], Ask::Confirmation)?;
    match stream.try_write(&probe) {
        Ok(written) if written == probe.len() => Ok(()),
        Ok(_) => Err(io::ErrorKind::WriteZero.into()),
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(()),
        Err(error) => Err(error),
    }
}

/// Sign of life that the peer has sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Signal {
    /// It has received a part of a long frame.
    Progress,
    /// It has handled the frame that asked for a confirmation.
    Confirmation,
}

impl Liveness {
    fn record(&mut self, signal: Signal) {
        match signal {
            Signal::Progress => self.record_progress(Instant::now()),
            Signal::Confirmation => self.record_confirmation(),
        }
    }
}

async fn receive_signal(reader: &mut ReadHalf<'_>) -> io::Result<Signal> {
    let mut bytes = [0; 64];
    let count = reader.read(&mut bytes).await?;
    let received = &bytes[..count];
    if received.is_empty() {
        Err(io::ErrorKind::UnexpectedEof.into())
    } else if received.iter().any(|byte| ![CONFIRMED, PROGRESS].contains(byte)) {
        Err(io::ErrorKind::InvalidData.into())
    } else if received.contains(&CONFIRMED) {
        Ok(Signal::Confirmation)
    } else {
        Ok(Signal::Progress)
    }
}

/// Sends the frames of a queue to a peer, connecting when there is a frame to send.
pub async fn send_frames(address: SocketAddr, mut frames: mpsc::Receiver<Vec<u8>>) {
    let mut connection: Option<PeerConnection> = None;
    while let Some(mut frame) = next_frame(&mut connection, &mut frames).await {
        let mut connect_timeouts = connect_timeouts();
        loop {
            let Some(open) = connection.as_mut() else {
                let connect_timeout = connect_timeouts.next().unwrap_or(MAX_CONNECT_TIMEOUT);
                let stream = connect(address, connect_timeout).await;
                connection = stream.map(|stream| PeerConnection::new(address, stream));
                if connection.is_none() {
                    sleep(RECONNECT_DELAY).await;
                    // Queued frames are outdated after a failed attempt; only the newest one is sent.
                    while let Ok(newer) = frames.try_recv() {
                        frame = newer;
                    }
                    if frames.is_closed() {
                        return;
                    }
                }
                continue;
            };
            let Err(end) = open.write_frame(&frame).await else { break };
            let is_silent = matches!(end, ConnectionEnd::Silent(_));
            connection = replacement(address, end);
            // Only a part of the frame was written, and nothing of it arrives on a silent connection.
            if !is_silent {
                break;
            }
        }
    }
}

/// Waits for the next frame, `None` once the queue is closed. A connection that ends meanwhile is dropped:
/// the kernel accepts a write on it, so that the frame would be lost.
async fn next_frame(
    connection: &mut Option<PeerConnection>,
    frames: &mut mpsc::Receiver<Vec<u8>>,
) -> Option<Vec<u8>> {
    while let Some(open) = connection {
        tokio::select! {
            biased;
            end = open.watch() => *connection = replacement(open.address, end),
            frame = frames.recv() => return frame,
        }
    }
    frames.recv().await
}

/// Returns the connection to use after one has ended, if there is one.
fn replacement(address: SocketAddr, end: ConnectionEnd) -> Option<PeerConnection> {
    match end {
        ConnectionEnd::Silent(stream) => {
            log::warn!(peer:% = address; "peer does not confirm messages, connecting again");
            Some(PeerConnection::new(address, stream))
        }
        ConnectionEnd::Closed(_) | ConnectionEnd::Idle => {
            log::debug!(peer:% = address, reason:% = end; "connection to peer closed");
            None
        }
    }
}

/// Returns the bytes of a frame: its length, with a flag if it asks for a confirmation, and itself.
fn encode(frame: &[u8], ask: Ask) -> io::Result<Vec<u8>> {
    let length = u32::try_from(frame.len()).map_err(io::Error::other)?;
    let header = match ask {
        Ask::Confirmation => length | ASKS_CONFIRMATION,
        Ask::Nothing => length,
    };
    let mut bytes = Vec::with_capacity(4 + frame.len());
    bytes.extend_from_slice(&header.to_be_bytes());
    bytes.extend_from_slice(frame);
    Ok(bytes)
}

/// Returns the time-outs of attempts to connect, one after the other.
fn connect_timeouts() -> impl Iterator<Item = Duration> + Send {
    let doubled = |wait: &Duration| Some((*wait * 2).min(MAX_CONNECT_TIMEOUT));
    std::iter::successors(Some(INITIAL_CONNECT_TIMEOUT), doubled)
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
    let (mut reader, writer) = stream.split();
    // A signal that does not fit into the kernel's buffer is lost, and so are the connection's signals
    // before it: the sender does not read them.
    let signal = |byte: u8| drop(writer.try_write(&[byte]));
    let mut header = [0; 4];
    timeout(FRAME_TIMEOUT, reader.read_exact(&mut header))
        .await
        .context("first frame timed out")??;
    loop {
        let value = u32::from_be_bytes(header);
        let length_bytes = usize::try_from(value & !ASKS_CONFIRMATION)?;
        let mut reservation = memory.reservation();
        let frame = read_frame(&mut reader, length_bytes, limits, &mut reservation, || {
            signal(PROGRESS);
        })
        .await?;
        if !frame.is_empty() {
            handle(&frame)?;
        }
        drop((frame, reservation));
        if value & ASKS_CONFIRMATION != 0 {
            signal(CONFIRMED);
        }
        timeout(RECEIVE_TIMEOUT, reader.read_exact(&mut header))
            .await
            .context("no frame and no probe")??;
    }
}

/// Reads a frame, and calls `on_step` after each step of a long one.
async fn read_frame(
    stream: &mut (impl AsyncRead + Unpin),
    length: usize,
    limits: FrameLimits,
    memory: &mut Reservation,
    on_step: impl Fn(),
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
            if frame.len() < length {
                on_step();
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
