//! Messages between daemons: `postcard` frames on TCP connections.
//!
//! The id of a VM is its IP address, and all VMs use the same peer port. Messages may be lost; the
//! protocols above retransmit unanswered ones. Messages are not authenticated: the network between
//! the VMs has to keep other hosts out.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use anyhow::{Context, Result, bail, ensure};
use celerygate_daemon::peers::tcp::{
    FrameHandler, FrameLimits, MAX_QUEUED_FRAMES, accept_frames, send_frames,
};
use celerygate_types::wire::{FleetEnvelope, FleetMessage};
use celerygate_types::{ByteCount, Incarnation, VmId};
use parking_lot::Mutex;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

/// Version of the message format.
const VERSION: u16 = 5;
/// Maximum size of a frame: a snapshot with some thousand routes.
pub const MAX_FRAME_BYTES: usize = 16 * 1_024 * 1_024;
/// Limits for received frames: the largest frame from three daemons at the same time.
const FRAME_LIMITS: FrameLimits = FrameLimits {
    frame_max: ByteCount(MAX_FRAME_BYTES as u64),
    total_max: ByteCount(3 * MAX_FRAME_BYTES as u64),
};

/// Handles a message; receives the sender and its incarnation.
pub type MessageHandler = Arc<dyn Fn(VmId, Incarnation, FleetMessage) + Send + Sync>;

/// Outgoing connections to the other daemons.
pub struct Mesh {
    vm: VmId,
    incarnation: Incarnation,
    peer_port: u16,
    runtime: tokio::runtime::Handle,
    outbound: Mutex<HashMap<VmId, mpsc::Sender<Vec<u8>>>>,
}

impl Mesh {
    /// Creates a mesh; it opens a connection when the first message to a VM is sent.
    pub fn new(vm: VmId, incarnation: Incarnation, peer_port: u16) -> Self {
        let runtime = tokio::runtime::Handle::current();
        Self { vm, incarnation, peer_port, runtime, outbound: Mutex::default() }
    }

    /// Sends a message without waiting. The message is dropped if the receiver cannot be reached or
    /// its queue is full.
    pub fn send(&self, to: &VmId, message: FleetMessage) {
        let envelope = FleetEnvelope {
            version: VERSION,
            sender: self.vm.clone(),
            incarnation: self.incarnation,
            message,
        };
        let frame = match postcard::to_stdvec(&envelope) {
            Ok(frame) if frame.len() <= MAX_FRAME_BYTES => frame,
            Ok(frame) => {
                log::error!(peer = to.as_str(), bytes = frame.len(); "message too large to send");
                return;
            }
            Err(error) => {
                log::error!(peer = to.as_str(), error:% = error; "failed to encode message");
                return;
            }
        };
        let mut outbound = self.outbound.lock();
        if !outbound.contains_key(to) {
            let Some(address) = self.address(to) else {
                log::error!(peer = to.as_str(); "VM id is not an IP address");
                return;
            };
            let (sender, frames) = mpsc::channel(MAX_QUEUED_FRAMES);
            self.runtime.spawn(send_frames(address, frames));
            outbound.insert(to.clone(), sender);
        }
        if let Some(sender) = outbound.get(to)
            && sender.try_send(frame).is_err()
        {
            log::debug!(peer = to.as_str(); "message dropped: the queue to the peer is full");
        }
    }

    fn address(&self, vm: &VmId) -> Option<SocketAddr> {
        let ip: IpAddr = vm.as_str().parse().ok()?;
        Some(SocketAddr::new(ip, self.peer_port))
    }

    /// Receives messages until the task is aborted.
    ///
    /// # Errors
    ///
    /// When the peer port cannot be bound, or the listener stops.
    pub async fn receive(&self, inbound: MessageHandler) -> Result<()> {
        let address = self.address(&self.vm).context("the id of this VM is not an IP address")?;
        let listener = TcpListener::bind(address)
            .await
            .with_context(|| format!("listen for daemons on {address}"))?;
        let handle: FrameHandler = Arc::new(move |frame| {
            let envelope = decode(frame)?;
            inbound(envelope.sender, envelope.incarnation, envelope.message);
            Ok(())
        });
        accept_frames(listener, FRAME_LIMITS, handle).await;
        bail!("the peer listener stopped")
    }
}

fn decode(frame: &[u8]) -> Result<FleetEnvelope> {
    let envelope: FleetEnvelope = postcard::from_bytes(frame).context("decode a message")?;
    ensure!(envelope.version == VERSION, "unsupported message version {}", envelope.version);
    Ok(envelope)
}
