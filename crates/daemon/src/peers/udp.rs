//! Datagrams between daemons.

use std::sync::Arc;

use tokio::net::UdpSocket;

use super::codec::MAX_DATAGRAM_BYTES;
use super::{MessageHandler, Peers};

/// Receives datagrams until the task is aborted, and hands authentic ones on.
pub async fn receive(socket: Arc<UdpSocket>, peers: Arc<Peers>, on_message: MessageHandler) {
    // One byte more than allowed, so that an oversized datagram is seen as such.
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES + 1];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, _)) => match peers.open_datagram(&buffer[..length]) {
                Ok(envelope) => on_message(envelope),
                Err(error) => peers.count_dropped(error),
            },
            // Reports an unreachable peer of an earlier send; the socket itself stays usable.
            Err(error) => log::debug!(error:% = error; "datagram not received"),
        }
    }
}
