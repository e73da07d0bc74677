//! Ends of callers' connections while the daemon is running.

mod support;

use std::time::Duration;

use support::caller::get;
use support::daemon::{ALPHA_KEY, Daemon};
use support::target::Target;
use support::tls::Certificate;
use support::{position, random_bytes};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, split};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

/// Size of a request body that no socket buffer holds, so that most of it is unread when the
/// daemon has answered.
const UNREAD_BODY_BYTES: usize = 16 << 20;
/// Size of a response of which a part is still in the daemon's send queue while the caller does
/// not read.
const RESPONSE_BYTES: usize = 300_000;
/// Time after which a daemon has surely answered and closed.
const CLOSE_DELAY: Duration = Duration::from_millis(500);

/// Returns the body of a response.
fn body_of(response: &[u8]) -> &[u8] {
    let end = position(response, b"\r\n\r\n").expect("complete head");
    &response[end + 4..]
}

/// Sends bytes, and reads only after all of them are sent, as many HTTP clients do. Returns the
/// response.
async fn send_then_read(stream: impl AsyncRead + AsyncWrite, bytes: &[u8]) -> Vec<u8> {
    let (mut reader, mut writer) = split(stream);
    writer.write_all(bytes).await.expect("the daemon receives the request");
    sleep(CLOSE_DELAY).await;
    let mut received = Vec::new();
    timeout(support::WAIT_TIMEOUT, reader.read_to_end(&mut received))
        .await
        .expect("the daemon closes the connection")
        .expect("the connection is not reset");
    received
}

fn upload(path: &str, key: &str) -> Vec<u8> {
    let mut bytes = format!(
        "POST {path} HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {key}\r\n\
         content-length: {UNREAD_BODY_BYTES}\r\n\r\n"
    )
    .into_bytes();
    bytes.resize(bytes.len() + UNREAD_BODY_BYTES, b'x');
    bytes
}

/// Guards against a reset that discards a refusal while the caller sends the body that the daemon
/// does not read.
#[tokio::test]
async fn close_refused_upload() {
    let daemon = Daemon::start().await;
    let stream = TcpStream::connect(daemon.callers).await.unwrap();
    let response = send_then_read(stream, &upload("/svc/echo/a", "unknown-key-0123456789")).await;
    assert!(response.starts_with(b"HTTP/1.1 401 "), "{}", String::from_utf8_lossy(&response));
    assert!(body_of(&response).ends_with(b"}"), "{}", String::from_utf8_lossy(&response));
}

/// Guards against the same reset under TLS.
#[tokio::test]
async fn close_refused_upload_tls() {
    let certificate = Certificate::generate();
    let daemon = Daemon::start_with(certificate.options()).await;
    let stream = certificate.connect(daemon.callers).await;
    let response = send_then_read(stream, &upload("/svc/echo/a", "unknown-key-0123456789")).await;
    assert!(response.starts_with(b"HTTP/1.1 401 "), "{}", String::from_utf8_lossy(&response));
    assert!(body_of(&response).ends_with(b"}"), "{}", String::from_utf8_lossy(&response));
}

/// Starts a target that answers before it reads the request body, and then closes.
async fn start_early_target() -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut head = Vec::new();
            while position(&head, b"\r\n\r\n").is_none() {
                let mut buffer = [0; 1_024];
                let count = stream.read(&mut buffer).await.expect("read");
                head.extend_from_slice(&buffer[..count]);
            }
            let mut response = format!(
                "HTTP/1.1 413 Too Large\r\nconnection: close\r\ncontent-length: {RESPONSE_BYTES}\
                 \r\n\r\n"
            )
            .into_bytes();
            response.extend(random_bytes("early", RESPONSE_BYTES));
            let (mut reader, mut writer) = stream.into_split();
            writer.write_all(&response).await.expect("write");
            writer.shutdown().await.expect("shut down");
            // The rest of the request is discarded, so that the target itself causes no reset.
            tokio::spawn(async move { tokio::io::copy(&mut reader, &mut tokio::io::sink()).await });
        }
    });
    address
}

/// Guards against a reset that discards a response which the target sent before it had read the
/// request.
#[tokio::test]
async fn close_early_response() {
    let daemon = Daemon::start().await;
    let _announcement = daemon.announce("target-1", start_early_target().await, 3).await;
    let stream = TcpStream::connect(daemon.callers).await.unwrap();
    let response = send_then_read(stream, &upload("/svc/echo/a", ALPHA_KEY)).await;
    assert!(response.starts_with(b"HTTP/1.1 413 "), "{}", String::from_utf8_lossy(&response));
    assert!(body_of(&response) == random_bytes("early", RESPONSE_BYTES), "the response is altered");
}

/// Guards against a reset that discards the HTTP library's error response, while the rest of an
/// oversized head is unread.
#[tokio::test]
async fn close_oversized_head() {
    let daemon = Daemon::start().await;
    let stream = TcpStream::connect(daemon.callers).await.unwrap();
    let mut head = b"GET /svc/echo/a HTTP/1.1\r\nhost: a\r\nfill: ".to_vec();
    head.resize(4 << 20, b'x');
    let response = send_then_read(stream, &head).await;
    assert!(response.starts_with(b"HTTP/1.1 431 "), "{}", String::from_utf8_lossy(&response));
    assert!(body_of(&response).ends_with(b"}"), "{}", String::from_utf8_lossy(&response));
}

/// Guards against a reset that discards the end of a last response, while requests behind it are
/// unread.
#[tokio::test]
async fn close_pipelined_requests() {
    let (daemon, target) = (Daemon::start().await, Target::start().await);
    let _announcement = daemon.announce("target-1", target.address, 3).await;
    let path = format!("/bytes/{RESPONSE_BYTES}");
    let request = |connection: &str| {
        format!(
            "GET /svc/echo{path} HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {ALPHA_KEY}\r\n\
             connection: {connection}\r\n\r\n"
        )
    };
    let mut bytes = request("close").into_bytes();
    // More than the daemon's read buffer holds.
    bytes.extend(request("keep-alive").repeat(1_000).bytes());
    let stream = TcpStream::connect(daemon.callers).await.unwrap();
    let response = send_then_read(stream, &bytes).await;
    assert!(body_of(&response) == random_bytes(&path, RESPONSE_BYTES), "the response is altered");
    assert_eq!(target.requests().len(), 1);
    // The daemon still serves other connections.
    let reply = daemon.caller().await.send(get("/svc/echo/a", Some(ALPHA_KEY))).await;
    assert_eq!(reply.status, 200);
}
