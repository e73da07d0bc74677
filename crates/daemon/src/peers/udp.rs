//! Receives datagrams from other daemons.

use std::sync::Arc;

use tokio::net::UdpSocket;

use super::codec::MAX_DATAGRAM_BYTES;
use super::{MessageHandler, Peers};

/// Receives datagrams until the task is aborted and passes authentic ones to the handler.
pub async fn receive(socket: Arc<UdpSocket>, peers: Arc<Peers>, on_message: MessageHandler) {
    // One byte more than allowed, so that oversized datagrams are detected.
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES + 1];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, _)) => match peers.open_datagram(&buffer[..length]) {
                Ok(envelope) => on_message(envelope),
                Err(error) => peers.count_dropped(error),
            },
            // The error belongs to an earlier datagram to an unreachable peer; the socket stays
            // usable.
            Err(error) => log::debug!(error:% = error; "failed to receive a datagram"),
        }
    }
}
