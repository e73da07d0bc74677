//! Guards against calls of operators, targets and lookups that are lost when the daemon stops.

use http_body_util::Full;
use hyper::body::Bytes;
use hyper::header::{CONNECTION, HeaderValue};
use tokio::io::AsyncReadExt;
use tokio::time::timeout;

use super::*;

const REQUEST: &[u8] = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n\r\n";
/// Size of the responses.
const RESPONSE_BYTES: usize = 300_000;

/// Size of a response that does not fit into the kernel's buffers.
const LARGE_RESPONSE_BYTES: usize = 16_000_000;
const RECEIVE_BUFFER_BYTES: u32 = 8 * 1_024;
/// Time in which the daemon reads what was sent and writes its response.
const SETTLE_TIME: Duration = Duration::from_millis(100);

/// A listener that answers each request with a body of a fixed size, and its parts.
struct Server {
    address: SocketAddr,
    close: watch::Sender<bool>,
    open: Arc<OpenConnections>,
}

impl Server {
    /// Starts to serve; `connection` is the header of this name in the responses.
    async fn start(response_bytes: usize, connection: &'static str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (close, shutdown) = watch::channel(false);
        let open = Arc::<OpenConnections>::default();
        let handle = move |_| async move {
            let body = Full::new(Bytes::from(vec![b'x'; response_bytes]));
            let mut response = Response::new(body);
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static(connection));
            response
        };
        tokio::spawn(serve(listener, shutdown, Arc::clone(&open), handle));
        Self { address, close, open }
    }

    async fn connect(&self) -> TcpStream {
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).unwrap();
        socket.connect(self.address).await.unwrap()
    }

    /// Connects without letting other tasks run, so that the connection is in the accept queue.
    fn connect_queued(&self) -> TcpStream {
        let peer = std::net::TcpStream::connect(self.address).unwrap();
        peer.set_nonblocking(true).unwrap();
        TcpStream::from_std(peer).unwrap()
    }
}

/// Sends a request without letting other tasks run.
fn send(peer: &TcpStream) {
    let sent = SockRef::from(peer).send(REQUEST).unwrap();
    assert_eq!(sent, REQUEST.len());
}

/// Reads one response with a body of [`RESPONSE_BYTES`].
async fn read_response(peer: &mut TcpStream) {
    let mut received = Vec::new();
    loop {
        assert!(peer.read_buf(&mut received).await.unwrap() > 0, "the connection is closed");
        let head_end = received.windows(4).position(|bytes| bytes == b"\r\n\r\n");
        if head_end.is_some_and(|head_end| received.len() >= head_end + 4 + RESPONSE_BYTES) {
            return;
        }
    }
}

/// Reads until the connection ends and returns the number of bytes.
async fn read_all(stream: &mut TcpStream) -> std::io::Result<usize> {
    let mut received = Vec::new();
    stream.read_to_end(&mut received).await
}

/// Guards against a stop that sees no open connection between the accept of a queued connection and
/// the start of its task, and ends the process.
#[tokio::test]
async fn stop_connection_in_accept_queue() {
    let server = Server::start(RESPONSE_BYTES, "keep-alive").await;
    let mut peer = server.connect_queued();
    send(&peer);
    server.close.send(true).unwrap();
    let served = tokio::spawn(async move { read_all(&mut peer).await });
    server.open.wait_until_closed().await;
    // The last count ends after the peer has closed its side.
    assert!(served.is_finished(), "the stop ends before the queued connection is served");
}

/// Guards against a stop that closes connections, new ones or used ones, whose next request the
/// kernel has received and the daemon has not read.
#[tokio::test]
async fn serve_queued_requests_on_stop() {
    for answered in 0..=3 {
        let server = Server::start(RESPONSE_BYTES, "keep-alive").await;
        let mut peers: Vec<_> = (0..16).map(|_| server.connect_queued()).collect();
        for peer in &mut peers {
            for _ in 0..answered {
                send(peer);
                read_response(peer).await;
            }
        }
        peers.iter().for_each(send);
        server.close.send(true).unwrap();
        for peer in &mut peers {
            let received = read_all(peer).await.expect("the connection is not reset");
            assert!(received > RESPONSE_BYTES, "{received} bytes after {answered} responses");
        }
        drop(peers);
        server.open.wait_until_closed().await;
    }
}

/// Guards against a reset that discards a response because the peer has sent another request behind
/// the one whose response closes the connection.
#[tokio::test]
async fn serve_large_closing_response() {
    let server = Server::start(RESPONSE_BYTES, "close").await;
    let mut peer = server.connect().await;
    send(&peer);
    sleep(SETTLE_TIME).await;
    send(&peer);
    sleep(SETTLE_TIME).await;
    let received = read_all(&mut peer).await.expect("the connection is not reset");
    assert!(received > RESPONSE_BYTES, "{received}");
}

/// Guards against a stop that cuts a response which is being written.
#[tokio::test]
async fn serve_large_response_on_stop() {
    let server = Server::start(LARGE_RESPONSE_BYTES, "keep-alive").await;
    let mut peer = server.connect().await;
    send(&peer);
    sleep(SETTLE_TIME).await;
    server.close.send(true).unwrap();
    sleep(SETTLE_TIME).await;
    assert_eq!(server.open.count(), 1);
    let received = read_all(&mut peer).await.expect("the connection is not reset");
    assert!(received > LARGE_RESPONSE_BYTES, "{received}");
    drop(peer);
    server.open.wait_until_closed().await;
}

/// Guards against a stop that closes a connection from the accept queue while its first request is
/// on its way, and against one that waits for a first request without a bound.
#[tokio::test]
async fn serve_first_request_after_stop() {
    let server = Server::start(RESPONSE_BYTES, "keep-alive").await;
    let (mut peer, mut unused) = (server.connect_queued(), server.connect_queued());
    server.close.send(true).unwrap();
    sleep(FIRST_READ_TIMEOUT / 4).await;
    send(&peer);
    let received = read_all(&mut peer).await.expect("the connection is not reset");
    assert!(received > RESPONSE_BYTES, "{received}");
    assert_eq!(read_all(&mut unused).await.unwrap(), 0);
}

/// Guards against a stop that waits for the peers of idle kept connections.
#[tokio::test]
async fn stop_idle_kept_connections() {
    let server = Server::start(RESPONSE_BYTES, "keep-alive").await;
    let mut peers = [server.connect().await, server.connect().await];
    for peer in &mut peers {
        send(peer);
        read_response(peer).await;
    }
    server.close.send(true).unwrap();
    let closed = timeout(Duration::from_secs(1), server.open.wait_until_closed()).await;
    assert!(closed.is_ok(), "the stop waits for {} idle connections", server.open.count());
    for peer in &mut peers {
        assert_eq!(read_all(peer).await.expect("the connection is not reset"), 0);
    }
}

/// Guards against a stop on a stalled machine that closes a connection as unused because the runtime
/// does not know yet of the request that the kernel has received.
#[tokio::test]
async fn has_unread_bytes_unknown_to_runtime() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut peer = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (stream, _) = listener.accept().await.unwrap();
    assert!(!has_unread_bytes(&stream));
    std::io::Write::write_all(&mut peer, REQUEST).unwrap();
    assert!(has_unread_bytes(&stream));
}
