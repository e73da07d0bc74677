//! Tests of frames: truncated and oversized input must end the connection.

use super::*;

#[tokio::test]
async fn read_frame_oversized() {
    let error =
        read_frame(&mut tokio::io::empty(), u32::MAX as usize, MAX_FRAME_BYTES).await.unwrap_err();
    expect_test::expect!["frame of 4294967295 bytes exceeds 1048576"].assert_eq(&error.to_string());
}

#[tokio::test]
async fn read_frame_truncated() {
    let error = read_frame(&mut &b"abc"[..], 5, MAX_FRAME_BYTES).await.unwrap_err();
    expect_test::expect!["frame ends after 3 of 5 bytes"].assert_eq(&error.to_string());
}

#[tokio::test(start_paused = true)]
async fn read_frame_stalled() {
    let (mut reader, _writer) = tokio::io::duplex(16);
    let error = read_frame(&mut reader, 5, MAX_FRAME_BYTES).await.unwrap_err();
    expect_test::expect!["frame timed out"].assert_eq(&error.to_string());
}

/// Guards against a message that is lost with the first attempt to connect and repeated only after
/// a second, when both daemons start at the same time and the peer listens a moment later.
#[tokio::test]
async fn send_frames_peer_listens_later() {
    let address = TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap();
    let (sender, frames) = mpsc::channel(4);
    let sending = tokio::spawn(send_frames(address, frames));
    sender.send(b"first".to_vec()).await.unwrap();
    // Long enough for the first attempt to be refused.
    sleep(RECONNECT_DELAY / 2).await;
    sender.send(b"second".to_vec()).await.unwrap();
    let listener = TcpListener::bind(address).await.unwrap();
    let (mut stream, _) = listener.accept().await.unwrap();
    let mut frame = [0; 10];
    stream.read_exact(&mut frame).await.unwrap();
    assert_eq!(&frame[4..], b"second");
    drop(sender);
    sending.await.unwrap();
}
