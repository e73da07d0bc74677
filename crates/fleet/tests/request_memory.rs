//! Memory for the requests of callers.

use std::future::pending;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use celerygate_fleet::callers::{self, ConnectionCounter};
use celerygate_fleet::forward::ResponseBody;
use celerygate_steering::buffers::MemoryBudget;
use celerygate_types::ByteCount;
use http_body_util::{BodyExt, Full};
use hyper::Response;
use hyper::body::Bytes;
use hyper::http::request::Parts;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// Memory for all requests in these tests.
const MEMORY: ByteCount = ByteCount(1_024 * 1_024);
/// Body of which only one finds room in [`MEMORY`].
const LARGE_BODY_BYTES: usize = 700 * 1_024;
/// Upper bound of what a caller can send beyond [`MEMORY`]: the buffers of the kernel.
const KERNEL_BYTES_MAX: usize = 16 * 1_024 * 1_024;
/// Upper bound of every wait. Only failing tests wait this long.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Serves callers with the length of their body; requests to `/hold` are never answered.
async fn start() -> (SocketAddr, Arc<MemoryBudget>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind to a free port");
    let address = listener.local_addr().expect("local address of the listener");
    let request_memory = MemoryBudget::new(MEMORY);
    let service = callers::Service {
        connections: Arc::new(ConnectionCounter::new(1_000)),
        request_memory: Arc::clone(&request_memory),
        idle_timeout: Box::new(|| None),
        handle: |parts: Parts, body: Bytes| async move {
            if parts.uri.path() == "/hold" {
                pending::<()>().await;
            }
            let body = Full::new(Bytes::from(body.len().to_string()));
            Response::<ResponseBody>::new(body.map_err(|never| match never {}).boxed_unsync())
        },
    };
    tokio::spawn(async move {
        let (_shutdown, running) = watch::channel(false);
        callers::serve(listener, running, service).await;
    });
    (address, request_memory)
}

/// Connects and sends the head of a request and the first bytes of its body.
async fn send_part(address: SocketAddr, length: usize, sent: usize) -> TcpStream {
    let mut caller = TcpStream::connect(address).await.expect("connect");
    let head = format!(
        "POST / HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n"
    );
    caller.write_all(head.as_bytes()).await.expect("send the head");
    // Fails if the request is refused meanwhile.
    let _ = caller.write_all(&vec![b'x'; sent]).await;
    caller
}

async fn read_all(caller: &mut TcpStream) -> String {
    let mut received = Vec::new();
    let read = timeout(WAIT_TIMEOUT, caller.read_to_end(&mut received)).await;
    read.expect("connection still open").expect("the connection is not reset");
    String::from_utf8_lossy(&received).into_owned()
}

async fn wait_until_used(memory: &MemoryBudget, check: impl Fn(u64) -> bool) {
    let waiting = async {
        while !check(memory.used().0) {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(WAIT_TIMEOUT, waiting).await.expect("the memory is not used as expected");
}

/// Guards against bodies of many callers that together fill the memory: what finds no room is
/// refused at once, and small requests are served.
#[tokio::test]
async fn serve_bodies_total() {
    let (address, memory) = start().await;
    let part = LARGE_BODY_BYTES - 1;
    let mut first = send_part(address, LARGE_BODY_BYTES, part).await;
    wait_until_used(&memory, |used| used > (part as u64) * 9 / 10).await;
    let mut second = send_part(address, LARGE_BODY_BYTES, part).await;
    let refused = read_all(&mut second).await;
    assert!(refused.starts_with("HTTP/1.1 503 "), "{refused}");
    assert!(memory.used() <= MEMORY, "{}", memory.used());
    let mut small = send_part(address, 10, 10).await;
    assert!(read_all(&mut small).await.ends_with("\r\n10"));
    first.write_all(b"x").await.expect("send the last byte");
    let response = read_all(&mut first).await;
    assert!(response.ends_with(&format!("\r\n{LARGE_BODY_BYTES}")), "{response}");
    wait_until_used(&memory, |used| used == 0).await;
}

/// Guards against bytes without end behind a request that is running, which fill the memory.
#[tokio::test]
async fn serve_endless_bytes_behind_request() {
    let (address, memory) = start().await;
    let mut caller = TcpStream::connect(address).await.expect("connect");
    caller.write_all(b"GET /hold HTTP/1.1\r\nhost: a\r\n\r\n").await.expect("send the head");
    let mut sent = 0;
    let chunk = vec![b'x'; 64 * 1_024];
    while let Ok(written) = timeout(Duration::from_millis(500), caller.write(&chunk)).await {
        sent += written.expect("the connection is open");
        assert!(sent < MEMORY.0 as usize + KERNEL_BYTES_MAX, "the daemon has read {sent} bytes");
    }
    assert!(memory.used() <= MEMORY, "{}", memory.used());
}
