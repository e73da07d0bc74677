//! Tests of the replaced error responses. They guard against replacing a response of a target that
//! looks like an error response of the HTTP library.

use tokio::io::{AsyncReadExt, AsyncWriteExt};

use super::*;

const LIBRARY_ERROR: &[u8] =
    b"HTTP/1.1 400 Bad Request\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

async fn bytes_written(has_request_in_flight: bool, bytes: &[u8]) -> String {
    let (server, mut client) = tokio::io::duplex(4_096);
    let mut stream = ErrorResponseRewriter::new(server, "r-1".parse().unwrap());
    let in_flight_request = has_request_in_flight.then(|| stream.in_flight().begin());
    stream.write_all(bytes).await.unwrap();
    drop((stream, in_flight_request));
    let mut text = String::new();
    client.read_to_string(&mut text).await.unwrap();
    text
}

#[tokio::test]
async fn write_library_error() {
    let text = bytes_written(false, LIBRARY_ERROR).await;
    assert!(text.contains("\"code\":1000"), "{text}");
    assert!(text.contains("\"outcome\":\"not-run\""), "{text}");
}

#[tokio::test]
async fn write_same_bytes_while_relaying() {
    let text = bytes_written(true, LIBRARY_ERROR).await;
    assert_eq!(text.as_bytes(), LIBRARY_ERROR);
}

#[tokio::test]
async fn write_response_with_body() {
    let bytes = b"HTTP/1.1 400 Bad Request\r\ncontent-length: 2\r\n\r\nno";
    assert_eq!(bytes_written(false, bytes).await.as_bytes(), bytes);
}
