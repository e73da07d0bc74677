//! Guards against responses that are lost because the daemon closes a connection or exits too early.

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use super::*;

async fn connected_pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let peer = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    (listener.accept().await.unwrap().0, peer)
}

/// Guards against a reset that discards the response in the kernel of a peer whose next request is
/// unread.
#[tokio::test]
async fn close_gracefully_unread_request() {
    const RESPONSE_BYTES: usize = 64 * 1_024;
    let (mut stream, mut peer) = connected_pair().await;
    peer.write_all(b"GET /next HTTP/1.1\r\n\r\n").await.unwrap();
    stream.write_all(&[7; RESPONSE_BYTES]).await.unwrap();
    let (reader, writer) = stream.into_split();
    let closing = tokio::spawn(close_gracefully(reader, writer));
    // The peer reads only after the connection is being closed.
    sleep(Duration::from_millis(50)).await;
    let mut received = Vec::new();
    peer.read_to_end(&mut received).await.expect("the connection is not reset");
    assert_eq!(received.len(), RESPONSE_BYTES);
    drop(peer);
    closing.await.unwrap();
}

/// Guards against a close that waits without a bound for a peer that never closes.
#[tokio::test(start_paused = true)]
async fn close_gracefully_silent_peer() {
    let (reader, _peer) = tokio::io::duplex(16);
    let (reader, writer) = tokio::io::split(reader);
    let started_at = tokio::time::Instant::now();
    close_gracefully(reader, writer).await;
    assert_eq!(started_at.elapsed(), LINGER_TIMEOUT);
}

/// Guards against a stop that does not wait for a connection, or that waits for ended ones.
#[tokio::test]
async fn wait_until_closed_two_connections() {
    let connections = Arc::<OpenConnections>::default();
    let (first, second) = (connections.begin(), connections.begin());
    drop(first);
    assert!(timeout(Duration::from_millis(20), connections.wait_until_closed()).await.is_err());
    drop(second);
    connections.wait_until_closed().await;
    assert_eq!(connections.count(), 0);
}
