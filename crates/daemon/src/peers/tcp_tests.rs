//! Tests of frames: truncated and oversized input from strangers must end the connection.

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
    expect_test::expect!["frame is late"].assert_eq(&error.to_string());
}
