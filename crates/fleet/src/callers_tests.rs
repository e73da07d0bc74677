//! Guards against responses that callers lose because of the way in which a connection is closed.

use http_body_util::Full;
use hyper::header::{CONNECTION, HeaderValue};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;
use tokio::time::{sleep, timeout};

use super::*;

/// Size of the responses. They fit into the kernel's send buffer, but not into the caller's receive
/// buffer.
const RESPONSE_BYTES: usize = 300_000;
const RECEIVE_BUFFER_BYTES: u32 = 8 * 1_024;
/// Path of a request whose task panics.
const FAILING_PATH: &str = "/failing";
const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n";
/// Time in which the daemon reads what was sent and writes its response.
const SETTLE_TIME: Duration = Duration::from_millis(100);

/// Serves each request with [`RESPONSE_BYTES`]; `close` asks the caller to close the connection.
/// Returns the open connections.
fn start(
    listener: TcpListener,
    shutdown: watch::Receiver<bool>,
    close: bool,
) -> Arc<OpenConnections> {
    let handle = move |parts: Parts, _| async move {
        assert_ne!(parts.uri.path(), FAILING_PATH, "the task fails");
        let body = Full::new(Bytes::from(vec![b'x'; RESPONSE_BYTES]));
        let mut response = Response::new(body.map_err(|never| match never {}).boxed_unsync());
        if close {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    };
    let connections = Arc::new(ConnectionCounter::new(1_000));
    let open = Arc::clone(connections.open());
    let service = Service {
        connections,
        request_memory: MemoryBudget::new(REQUEST_MEMORY),
        idle_timeout: Box::new(|| None),
        handle,
    };
    tokio::spawn(serve(listener, shutdown, service));
    open
}

async fn listen_on_loopback() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").await.unwrap()
}

async fn connect(listener_address: std::net::SocketAddr) -> TcpStream {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).unwrap();
    socket.connect(listener_address).await.unwrap()
}

/// Reads until the connection ends and returns the number of bytes.
async fn read_all(stream: &mut TcpStream) -> std::io::Result<usize> {
    let mut received = Vec::new();
    stream.read_to_end(&mut received).await
}

/// Guards against a reset that discards a response because the caller has sent another request
/// behind the one whose response closes the connection.
#[tokio::test]
async fn serve_request_behind_closing_response() {
    let listener = listen_on_loopback().await;
    let mut caller = connect(listener.local_addr().unwrap()).await;
    let (_close, shutdown) = watch::channel(false);
    start(listener, shutdown, true);
    caller.write_all(REQUEST).await.unwrap();
    sleep(SETTLE_TIME).await;
    caller.write_all(REQUEST).await.unwrap();
    sleep(SETTLE_TIME).await;
    let received = read_all(&mut caller).await.expect("the connection is not reset");
    assert!(received > RESPONSE_BYTES, "{received}");
}

/// Guards against a stop that closes a connection as idle while its last response is still on its
/// way: a request that crosses the close would reset the connection.
#[tokio::test]
async fn serve_request_crosses_stop() {
    let listener = listen_on_loopback().await;
    let mut caller = connect(listener.local_addr().unwrap()).await;
    let (close, shutdown) = watch::channel(false);
    start(listener, shutdown, false);
    caller.write_all(REQUEST).await.unwrap();
    sleep(SETTLE_TIME).await;
    close.send(true).unwrap();
    sleep(SETTLE_TIME).await;
    caller.write_all(REQUEST).await.unwrap();
    let received = read_all(&mut caller).await.expect("the connection is not reset");
    assert!(received > 2 * RESPONSE_BYTES, "{received}");
}

/// Guards against a reset that discards the last response because a request crosses the close of a
/// connection that was idle long enough to be closed by the stop.
#[tokio::test]
async fn serve_request_crosses_stop_late() {
    let listener = listen_on_loopback().await;
    let mut caller = connect(listener.local_addr().unwrap()).await;
    let (close, shutdown) = watch::channel(false);
    start(listener, shutdown, false);
    caller.write_all(REQUEST).await.unwrap();
    sleep(SETTLE_TIME).await;
    close.send(true).unwrap();
    sleep(STOP_IDLE_TIME + SETTLE_TIME).await;
    caller.write_all(REQUEST).await.unwrap();
    sleep(SETTLE_TIME).await;
    let received = read_all(&mut caller).await.expect("the connection is not reset");
    assert!(received > RESPONSE_BYTES && received < 2 * RESPONSE_BYTES, "{received}");
}

/// Guards against a stop that keeps idle connections open.
#[tokio::test]
async fn serve_idle_connection_on_stop() {
    let listener = listen_on_loopback().await;
    let mut caller = connect(listener.local_addr().unwrap()).await;
    let (close, shutdown) = watch::channel(false);
    start(listener, shutdown, false);
    sleep(SETTLE_TIME).await;
    close.send(true).unwrap();
    let closed = timeout(STOP_IDLE_TIME * 2, read_all(&mut caller)).await;
    assert_eq!(closed.expect("the connection is closed").unwrap(), 0);
}

/// Guards against a stop that resets connections which the kernel has accepted for the listener.
#[tokio::test]
async fn serve_queued_connections_on_stop() {
    let listener = listen_on_loopback().await;
    let address = listener.local_addr().unwrap();
    let mut callers = Vec::new();
    for _ in 0..16 {
        let mut caller = connect(address).await;
        caller.write_all(REQUEST).await.unwrap();
        callers.push(caller);
    }
    let (close, shutdown) = watch::channel(false);
    close.send(true).unwrap();
    start(listener, shutdown, false);
    for caller in &mut callers {
        let received = read_all(caller).await.expect("the connection is not reset");
        assert!(received > RESPONSE_BYTES, "{received}");
    }
}

/// Guards against a stop that sees no open connection between the accept of a queued connection and
/// the start of its task, and ends the process.
#[tokio::test]
async fn stop_connection_in_accept_queue() {
    let listener = listen_on_loopback().await;
    // No other task runs until the stop has begun, so the connection is in the accept queue.
    let mut caller = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    std::io::Write::write_all(&mut caller, REQUEST).unwrap();
    caller.set_nonblocking(true).unwrap();
    let mut caller = TcpStream::from_std(caller).unwrap();
    let (close, shutdown) = watch::channel(false);
    let open = start(listener, shutdown, false);
    close.send(true).unwrap();
    let served = tokio::spawn(async move { read_all(&mut caller).await });
    open.wait_until_closed().await;
    // The last count ends after the caller has closed its side.
    assert!(served.is_finished(), "the stop ends before the queued connection is served");
    assert!(served.await.unwrap().expect("the connection is not reset") > RESPONSE_BYTES);
}

/// Guards against a request that gets no response because its task panics, and against the loss of
/// the responses behind it.
#[tokio::test]
async fn serve_failing_request() {
    let listener = listen_on_loopback().await;
    let mut caller = connect(listener.local_addr().unwrap()).await;
    let (_close, shutdown) = watch::channel(false);
    start(listener, shutdown, false);
    let requests = format!(
        "GET {FAILING_PATH} HTTP/1.1\r\nhost: a\r\n\r\n\
         GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n"
    );
    caller.write_all(requests.as_bytes()).await.unwrap();
    let mut received = Vec::new();
    caller.read_to_end(&mut received).await.unwrap();
    let received = String::from_utf8_lossy(&received);
    let status = received.lines().next().unwrap_or("the connection ends without a response");
    assert!(status.starts_with("HTTP/1.1 500 "), "{status}");
    assert!(received.len() > RESPONSE_BYTES, "{}", received.len());
}

/// Guards against an idle connection that is closed although the kernel has received a request,
/// because the runtime does not know of it yet.
#[tokio::test]
async fn read_received_before_runtime() {
    let listener = listen_on_loopback().await;
    let mut caller = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (reader, _writer) = listener.accept().await.unwrap().0.into_split();
    let memory = MemoryBudget::new(REQUEST_MEMORY);
    let mut input = RequestReader {
        reader,
        buffer: Vec::new(),
        is_closed: false,
        memory: memory.reservation(),
        is_out_of_memory: false,
    };
    assert!(timeout(SETTLE_TIME, input.read()).await.is_err(), "no request was sent");
    std::io::Write::write_all(&mut caller, REQUEST).unwrap();
    assert!(!input.check_closed() && input.buffer.is_empty(), "the runtime knows of the request");
    assert!(input.read_received());
    assert_eq!(input.buffer, REQUEST);
    assert!(!input.read_received(), "there are no more bytes");
}
