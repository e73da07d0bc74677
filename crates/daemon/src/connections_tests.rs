//! Guards against responses that are lost because the daemon closes a connection or exits too early.

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket};
use tokio::time::sleep;

use super::*;

/// Size of a response that fits into the sender's buffer, but not into the peer's.
const LARGE_RESPONSE_BYTES: usize = 300_000;
const RECEIVE_BUFFER_BYTES: u32 = 8 * 1_024;
const NEXT_REQUEST: &[u8] = b"GET /next HTTP/1.1\r\n\r\n";

async fn connected_pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let peer = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    (listener.accept().await.unwrap().0, peer)
}

/// Returns a pair of which the peer has a small receive buffer, so that a response stays in the
/// sender's queue.
async fn connected_pair_with_small_buffer() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).unwrap();
    let peer = socket.connect(listener.local_addr().unwrap()).await.unwrap();
    (listener.accept().await.unwrap().0, peer)
}

/// Guards against a reset that discards the part of a response which is still in the sender's queue,
/// because the peer's next request is unread.
#[tokio::test]
async fn close_gracefully_unread_request() {
    let (mut stream, mut peer) = connected_pair_with_small_buffer().await;
    peer.write_all(NEXT_REQUEST).await.unwrap();
    stream.write_all(&[7; LARGE_RESPONSE_BYTES]).await.unwrap();
    let (reader, writer) = stream.into_split();
    let closing = tokio::spawn(close_gracefully(reader, writer));
    // The peer reads only after the connection is being closed.
    sleep(Duration::from_millis(50)).await;
    let mut received = Vec::new();
    peer.read_to_end(&mut received).await.expect("the connection is not reset");
    assert_eq!(received.len(), LARGE_RESPONSE_BYTES);
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

/// Guards against a reset that discards the last response because a request crosses the close of an
/// idle connection.
#[tokio::test]
async fn close_unread_crossing_request() {
    let (mut stream, mut peer) = connected_pair_with_small_buffer().await;
    stream.write_all(&[7; LARGE_RESPONSE_BYTES]).await.unwrap();
    let closing = tokio::spawn(close_unread(stream));
    sleep(Duration::from_millis(50)).await;
    peer.write_all(NEXT_REQUEST).await.unwrap();
    sleep(Duration::from_millis(50)).await;
    let mut received = Vec::new();
    peer.read_to_end(&mut received).await.expect("the connection is not reset");
    assert_eq!(received.len(), LARGE_RESPONSE_BYTES);
    drop(peer);
    closing.await.unwrap();
}

/// Guards against a close that waits although the peer has closed its side, with and without a
/// request before its end, and against one that waits without a bound for a peer that does not.
#[tokio::test]
async fn close_unread_closed_peer() {
    for (request, is_closed) in [(&b""[..], true), (NEXT_REQUEST, true), (NEXT_REQUEST, false)] {
        let (stream, mut peer) = connected_pair().await;
        let started_at = tokio::time::Instant::now();
        let closing = tokio::spawn(close_unread(stream));
        peer.write_all(request).await.unwrap();
        sleep(Duration::from_millis(50)).await;
        assert!(!closing.is_finished(), "the peer has not closed its side");
        if is_closed {
            peer.shutdown().await.unwrap();
        }
        closing.await.unwrap();
        assert_eq!(started_at.elapsed() < UNREAD_TIMEOUT, is_closed);
    }
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
