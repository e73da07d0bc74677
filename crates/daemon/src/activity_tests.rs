//! Guards against closing a connection of which a part of a request was read, or on which a
//! response is being written.

use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream, duplex};
use tokio::time::advance;

use super::*;

const QUIET: Duration = Duration::from_millis(500);

async fn quiet_stream() -> (ActivityStream<DuplexStream>, DuplexStream) {
    let (stream, peer) = duplex(64);
    let stream = ActivityStream::new(stream);
    advance(QUIET).await;
    (stream, peer)
}

fn idle_state(stream: &ActivityStream<DuplexStream>) -> IdleState {
    stream.activity().idle_state(QUIET, Instant::now())
}

#[tokio::test(start_paused = true)]
async fn idle_state_new_connection() {
    let stream = ActivityStream::new(duplex(64).0);
    let idle_at = Instant::now() + QUIET;
    assert_eq!(idle_state(&stream), IdleState::RecentlyUsed { idle_at });
    advance(QUIET).await;
    assert_eq!(idle_state(&stream), IdleState::Idle);
}

#[tokio::test(start_paused = true)]
async fn idle_state_after_response() {
    let (mut stream, _peer) = quiet_stream().await;
    stream.write_all(b"HTTP/1.1 200 OK").await.unwrap();
    assert_eq!(idle_state(&stream), IdleState::RecentlyUsed { idle_at: Instant::now() + QUIET });
    advance(QUIET).await;
    assert_eq!(idle_state(&stream), IdleState::Idle);
}

/// The head arrives in parts of every length, so that its end is found across reads.
#[tokio::test(start_paused = true)]
async fn idle_state_partial_head() {
    const HEAD: &[u8] = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n";
    for part in 1..HEAD.len() {
        let (mut stream, mut peer) = quiet_stream().await;
        let mut received = 0;
        for bytes in HEAD.chunks(part) {
            peer.write_all(bytes).await.unwrap();
            received += stream.read(&mut [0; 64]).await.unwrap();
            let expected = if received < HEAD.len() { IdleState::Busy } else { IdleState::Idle };
            assert_eq!(idle_state(&stream), expected, "{received} bytes in parts of {part}");
        }
    }
}

#[tokio::test(start_paused = true)]
async fn idle_state_write_pending() {
    let (mut stream, mut peer) = quiet_stream().await;
    let write = tokio::time::timeout(Duration::from_secs(1), stream.write_all(&[0; 100]));
    assert!(write.await.is_err());
    assert_eq!(idle_state(&stream), IdleState::Busy);
    peer.read_exact(&mut [0; 64]).await.unwrap();
    stream.write_all(b"end").await.unwrap();
    advance(QUIET).await;
    assert_eq!(idle_state(&stream), IdleState::Idle);
}
