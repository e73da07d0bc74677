//! Tests of the replaced error responses: a relayed response must never be mistaken for one.

use tokio::io::{AsyncReadExt, AsyncWriteExt};

use super::*;

const LIBRARY_ERROR: &[u8] =
    b"HTTP/1.1 400 Bad Request\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

async fn written_through(outstanding: bool, bytes: &[u8]) -> String {
    let (ours, mut theirs) = tokio::io::duplex(4_096);
    let mut stream = ErrorResponseRewriter::new(ours, "r-1".parse().unwrap());
    let exchange = outstanding.then(|| stream.outstanding().begin());
    stream.write_all(bytes).await.unwrap();
    drop((stream, exchange));
    let mut text = String::new();
    theirs.read_to_string(&mut text).await.unwrap();
    text
}

#[tokio::test]
async fn write_library_error() {
    let text = written_through(false, LIBRARY_ERROR).await;
    assert!(text.contains("\"code\":1000"), "{text}");
    assert!(text.contains("\"outcome\":\"not-run\""), "{text}");
}

#[tokio::test]
async fn write_same_bytes_while_relaying() {
    let text = written_through(true, LIBRARY_ERROR).await;
    assert_eq!(text.as_bytes(), LIBRARY_ERROR);
}

#[tokio::test]
async fn write_response_with_body() {
    let bytes = b"HTTP/1.1 400 Bad Request\r\ncontent-length: 2\r\n\r\nno";
    assert_eq!(written_through(false, bytes).await.as_bytes(), bytes);
}
