//! Guards against connections in the accept queue that are lost when a daemon stops.

use tokio::io::{AsyncReadExt, AsyncWriteExt};

use super::*;

/// Guards against connections of the queue that are reset although there is room for them, and
/// against more connections than a listener may have.
#[tokio::test]
async fn accept_queued_up_to_max() {
    for (max, expected) in [(0, 0), (2, 2), (8, 3)] {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let mut peers = Vec::new();
        for _ in 0..3 {
            peers.push(TcpStream::connect(address).await.unwrap());
        }
        let queued = accept_queued(listener, max).unwrap();
        assert_eq!(queued.len(), expected);
        for (mut stream, peer_address) in queued {
            stream.write_all(b"x").await.unwrap();
            let peer = peers.iter_mut().find(|peer| peer.local_addr().unwrap() == peer_address);
            assert_eq!(peer.expect("the address of the peer").read_u8().await.unwrap(), b'x');
        }
        assert!(TcpStream::connect(address).await.is_err(), "the listener is closed");
    }
}
