//! Encodes and authenticates messages between daemons.

use std::collections::HashMap;

use celerygate_types::wire::{Envelope, Message};
use celerygate_types::{Incarnation, VmId};
use thiserror::Error;

/// Version of the message encoding. A daemon drops messages of any other version.
pub const MESSAGE_VERSION: u16 = 3;
/// Largest datagram; it fits an Ethernet frame with room for tunnel headers.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;
/// Largest frame on a TCP connection.
pub const MAX_FRAME_BYTES: usize = 1 << 20;
/// Length of the authentication code at the end of every message.
const MAC_BYTES: usize = 32;
/// Number of a sender's latest sequence numbers that the replay check tracks.
const REPLAY_WINDOW: u64 = 64;

/// Why a message was dropped.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum CodecError {
    /// The message is longer than its channel allows.
    #[error("message exceeds {0} bytes")]
    TooLarge(usize),
    /// The authentication code is missing or wrong.
    #[error("authentication code is wrong")]
    NotAuthentic,
    /// The bytes are not an envelope.
    #[error("message is malformed")]
    Malformed,
    /// The sender uses another version of the encoding.
    #[error("message version {0} is not supported")]
    Version(u16),
    /// The message is for another incarnation of this daemon.
    #[error("message is for another incarnation of this daemon")]
    OtherIncarnation,
    /// The sequence number was received before or is older than the replay window.
    #[error("message is repeated or too old")]
    Replayed,
    /// The sender is not a peer of this daemon.
    #[error("sender is not a known peer")]
    UnknownSender,
}

/// Transport of a message. Each channel has its own key, so that a message recorded on one channel
/// is refused on the other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Channel {
    /// Datagrams, which may be lost or reordered.
    Udp,
    /// Frames on a connection, in order.
    Tcp,
}

impl Channel {
    const fn key_context(self) -> &'static str {
        match self {
            Self::Udp => "celerygate 2026-12 messages between daemons, udp",
            Self::Tcp => "celerygate 2026-12 messages between daemons, tcp",
        }
    }

    const fn max_bytes(self) -> usize {
        match self {
            Self::Udp => MAX_DATAGRAM_BYTES,
            Self::Tcp => MAX_FRAME_BYTES,
        }
    }
}

/// Encodes, decodes and authenticates the messages of one channel.
pub struct Codec {
    channel: Channel,
    key: [u8; 32],
}

impl Codec {
    /// Derives the channel's key from the secret that the daemons share.
    pub fn new(channel: Channel, secret: &[u8]) -> Self {
        Self { channel, key: blake3::derive_key(channel.key_context(), secret) }
    }

    /// Encodes an envelope and appends its authentication code.
    ///
    /// # Errors
    ///
    /// When the result is longer than the channel allows.
    pub fn seal(&self, envelope: &Envelope) -> Result<Vec<u8>, CodecError> {
        let mut bytes = postcard::to_allocvec(envelope).map_err(|_| CodecError::Malformed)?;
        let mac = blake3::keyed_hash(&self.key, &bytes);
        bytes.extend_from_slice(mac.as_bytes());
        if bytes.len() > self.channel.max_bytes() {
            return Err(CodecError::TooLarge(self.channel.max_bytes()));
        }
        Ok(bytes)
    }

    /// Verifies the authentication code, then decodes the envelope.
    ///
    /// # Errors
    ///
    /// When the message is too long, not authentic, malformed or of another version.
    pub fn open(&self, bytes: &[u8]) -> Result<Envelope, CodecError> {
        if bytes.len() > self.channel.max_bytes() {
            return Err(CodecError::TooLarge(self.channel.max_bytes()));
        }
        let split = bytes.len().checked_sub(MAC_BYTES).ok_or(CodecError::NotAuthentic)?;
        let (body, mac) = bytes.split_at(split);
        // `blake3::Hash` compares in constant time.
        let mac: [u8; MAC_BYTES] = mac.try_into().map_err(|_| CodecError::NotAuthentic)?;
        if blake3::keyed_hash(&self.key, body) != mac {
            return Err(CodecError::NotAuthentic);
        }
        let envelope: Envelope = postcard::from_bytes(body).map_err(|_| CodecError::Malformed)?;
        match envelope.version {
            MESSAGE_VERSION => Ok(envelope),
            other => Err(CodecError::Version(other)),
        }
    }
}

/// Incarnation of a peer and replay window of its messages on one channel.
#[derive(Clone, Copy, Debug, Default)]
struct SequenceWindow {
    incarnation: Incarnation,
    highest: u64,
    /// Bit n is set when the sequence number `highest - n` was received.
    seen: u64,
}

impl SequenceWindow {
    fn accept(&mut self, incarnation: Incarnation, sequence: u64) -> Result<(), CodecError> {
        if incarnation < self.incarnation {
            return Err(CodecError::Replayed);
        }
        if incarnation > self.incarnation {
            *self = Self { incarnation, highest: sequence, seen: 1 };
            return Ok(());
        }
        if sequence > self.highest {
            let shift = sequence - self.highest;
            self.seen = if shift < REPLAY_WINDOW { self.seen << shift | 1 } else { 1 };
            self.highest = sequence;
            return Ok(());
        }
        let age = self.highest - sequence;
        if age >= REPLAY_WINDOW || self.seen & (1 << age) != 0 {
            return Err(CodecError::Replayed);
        }
        self.seen |= 1 << age;
        Ok(())
    }
}

/// Detects replayed messages and messages for an earlier incarnation of this daemon.
#[derive(Debug)]
pub struct ReplayGuard {
    own_incarnation: Incarnation,
    peers: HashMap<VmId, SequenceWindow>,
}

impl ReplayGuard {
    /// Returns a guard that has received no message of the given peers yet.
    pub fn new(own_incarnation: Incarnation, peers: impl IntoIterator<Item = VmId>) -> Self {
        let peers = peers.into_iter().map(|vm| (vm, SequenceWindow::default())).collect();
        Self { own_incarnation, peers }
    }

    /// Returns the latest incarnation that a peer's messages stated; zero before the first message.
    pub fn incarnation(&self, vm: &VmId) -> Incarnation {
        self.peers.get(vm).map_or(Incarnation::ZERO, |window| window.incarnation)
    }

    /// Accepts each message once. Only a heartbeat may come from a peer that does not know this
    /// daemon's incarnation yet; it makes the sender's incarnation known.
    ///
    /// # Errors
    ///
    /// When the sender is unknown, the message is repeated, or it is for another incarnation.
    pub fn accept(&mut self, envelope: &Envelope) -> Result<(), CodecError> {
        let window = self.peers.get_mut(&envelope.sender).ok_or(CodecError::UnknownSender)?;
        let is_first_heartbeat = envelope.receiver_incarnation == Incarnation::ZERO
            && matches!(envelope.message, Message::Heartbeat(_));
        if envelope.receiver_incarnation != self.own_incarnation && !is_first_heartbeat {
            return Err(CodecError::OtherIncarnation);
        }
        window.accept(envelope.sender_incarnation, envelope.sequence)
    }
}

#[cfg(test)]
#[path = "codec_tests.rs"]
mod tests;
