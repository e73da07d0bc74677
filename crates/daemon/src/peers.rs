//! Sends and receives authenticated messages between daemons over UDP and TCP.

pub mod codec;
mod liveness;
pub mod tcp;
pub mod udp;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use anyhow::{Context, Result};
use celerygate_types::wire::{Envelope, Message};
use celerygate_types::{Incarnation, VmId};
use parking_lot::Mutex;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use self::codec::{Channel, Codec, CodecError, MESSAGE_VERSION, ReplayGuard};

/// Handles a received authentic message; it must not block.
pub type MessageHandler = Arc<dyn Fn(Envelope) + Send + Sync>;

struct Peer {
    address: SocketAddr,
    frames: mpsc::Sender<Vec<u8>>,
}

struct ChannelState {
    codec: Codec,
    next_sequence: AtomicU64,
    replay_guard: Mutex<ReplayGuard>,
}

impl ChannelState {
    fn new(
        channel: Channel,
        secret: &[u8],
        own: Incarnation,
        peers: &[(VmId, SocketAddr)],
    ) -> Self {
        let vms = peers.iter().map(|(vm, _)| vm.clone());
        Self {
            codec: Codec::new(channel, secret),
            next_sequence: AtomicU64::new(1),
            replay_guard: Mutex::new(ReplayGuard::new(own, vms)),
        }
    }

    fn open(&self, bytes: &[u8]) -> Result<Envelope, CodecError> {
        let envelope = self.codec.open(bytes)?;
        self.replay_guard.lock().accept(&envelope)?;
        Ok(envelope)
    }
}

/// Result of an attempt to send a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendOutcome {
    /// The message was queued or handed to the socket; it may still be lost.
    Accepted,
    /// The message was dropped: the peer is unknown or has not sent a heartbeat yet, its queue or
    /// the socket's buffer is full, or the message could not be encoded.
    Dropped,
}

/// Sends messages to the other daemons.
pub struct Peers {
    own: VmId,
    incarnation: Incarnation,
    udp: ChannelState,
    tcp: ChannelState,
    socket: Arc<UdpSocket>,
    peers: HashMap<VmId, Peer>,
    on_dropped: Box<dyn Fn(CodecError) + Send + Sync>,
}

impl Peers {
    /// Binds the socket and starts the senders for the given peers.
    ///
    /// # Errors
    ///
    /// When the address cannot be bound.
    pub async fn bind(
        own: VmId,
        incarnation: Incarnation,
        address: SocketAddr,
        secret: &[u8],
        others: Vec<(VmId, SocketAddr)>,
        on_dropped: Box<dyn Fn(CodecError) + Send + Sync>,
    ) -> Result<(Arc<Self>, TcpListener)> {
        let socket = UdpSocket::bind(address)
            .await
            .with_context(|| format!("failed to bind UDP {address}"))?;
        let listener = TcpListener::bind(address)
            .await
            .with_context(|| format!("failed to bind TCP {address}"))?;
        let udp = ChannelState::new(Channel::Udp, secret, incarnation, &others);
        let tcp = ChannelState::new(Channel::Tcp, secret, incarnation, &others);
        let peers = others
            .into_iter()
            .map(|(vm, address)| {
                let (frames, queue) = mpsc::channel(tcp::MAX_QUEUED_FRAMES);
                tokio::spawn(tcp::send_frames(address, queue));
                (vm, Peer { address, frames })
            })
            .collect();
        let socket = Arc::new(socket);
        let peers = Self { own, incarnation, udp, tcp, socket, peers, on_dropped };
        Ok((Arc::new(peers), listener))
    }

    /// Starts the tasks that receive messages.
    pub fn receive(
        self: &Arc<Self>,
        listener: TcpListener,
        on_message: MessageHandler,
    ) -> [JoinHandle<()>; 2] {
        let socket = Arc::clone(&self.socket);
        [
            tokio::spawn(udp::receive(socket, Arc::clone(self), Arc::clone(&on_message))),
            tokio::spawn(tcp::accept(listener, Arc::clone(self), on_message)),
        ]
    }

    /// Returns the VM ids of the other daemons.
    pub fn vms(&self) -> impl Iterator<Item = &VmId> {
        self.peers.keys()
    }

    /// Sends a message over UDP or TCP, depending on its type, without waiting.
    pub fn send(&self, to: &VmId, message: Message) -> SendOutcome {
        // Heartbeats are sent over UDP and make a peer's incarnation known.
        let receiver_incarnation = self.udp.replay_guard.lock().incarnation(to);
        self.send_to_incarnation(to, receiver_incarnation, message)
    }

    /// Sends a message that only the given incarnation of the receiver accepts.
    pub fn send_to_incarnation(
        &self,
        to: &VmId,
        receiver_incarnation: Incarnation,
        message: Message,
    ) -> SendOutcome {
        let Some(peer) = self.peers.get(to) else { return SendOutcome::Dropped };
        let is_heartbeat = matches!(message, Message::Heartbeat(_));
        if receiver_incarnation == Incarnation::ZERO && !is_heartbeat {
            return SendOutcome::Dropped;
        }
        let by_udp = is_sent_by_udp(&message);
        let channel = if by_udp { &self.udp } else { &self.tcp };
        let envelope = Envelope {
            version: MESSAGE_VERSION,
            sender: self.own.clone(),
            sender_incarnation: self.incarnation,
            receiver_incarnation,
            sequence: channel.next_sequence.fetch_add(1, Ordering::Relaxed),
            message,
        };
        match channel.codec.seal(&envelope) {
            Ok(bytes) if by_udp => self.send_datagram(peer.address, &bytes),
            Ok(bytes) => match peer.frames.try_send(bytes) {
                Ok(()) => SendOutcome::Accepted,
                Err(_) => SendOutcome::Dropped,
            },
            Err(error) => {
                log::warn!(peer:% = to, error:% = error; "message not sent");
                SendOutcome::Dropped
            }
        }
    }

    fn send_datagram(&self, address: SocketAddr, bytes: &[u8]) -> SendOutcome {
        match self.socket.try_send_to(bytes, address) {
            Ok(_) => SendOutcome::Accepted,
            Err(_) => SendOutcome::Dropped,
        }
    }

    fn open_datagram(&self, bytes: &[u8]) -> Result<Envelope, CodecError> {
        self.udp.open(bytes)
    }

    fn open_frame(&self, bytes: &[u8]) -> Result<Envelope, CodecError> {
        self.tcp.open(bytes)
    }

    fn count_dropped(&self, error: CodecError) {
        (self.on_dropped)(error);
    }
}

const fn is_sent_by_udp(message: &Message) -> bool {
    matches!(
        message,
        Message::Heartbeat(_) | Message::FreshnessRequest(_) | Message::FreshnessReply(_)
    )
}

#[cfg(test)]
#[path = "peers/comparison_tests.rs"]
mod comparison_tests;
