//! Guards against responses that callers lose because of the way in which a connection is closed.

use http_body_util::Full;
use hyper::header::{CONNECTION, HeaderValue};
use tokio::io::AsyncReadExt;
use tokio::net::TcpSocket;
use tokio::time::sleep;

use super::*;

/// Size of the responses. They fit into the kernel's send buffer, but not into the caller's receive
/// buffer.
const RESPONSE_BYTES: usize = 300_000;
const RECEIVE_BUFFER_BYTES: u32 = 8 * 1_024;
const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n";
/// Time in which the daemon reads what was sent and writes its response.
const SETTLE_TIME: Duration = Duration::from_millis(100);

/// Serves each request with [`RESPONSE_BYTES`]; `close` asks the caller to close the connection.
fn start(listener: TcpListener, shutdown: watch::Receiver<bool>, close: bool) -> JoinHandle<()> {
    let handle = move |_, _| async move {
        let body = Full::new(Bytes::from(vec![b'x'; RESPONSE_BYTES]));
        let mut response = Response::new(body.map_err(|never| match never {}).boxed_unsync());
        if close {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    };
    let service = Service {
        connections: Arc::new(ConnectionCounter::new(1_000)),
        request_memory: MemoryBudget::new(REQUEST_MEMORY),
        idle_timeout: Box::new(|| None),
        handle,
    };
    tokio::spawn(serve(listener, shutdown, service))
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

/// Guards against a time-out that cuts off a response although the caller keeps reading it.
#[tokio::test(start_paused = true)]
async fn write_slow_reader() {
    let (mut writer, mut reader) = tokio::io::duplex(1_024);
    let reading = tokio::spawn(async move {
        let mut buffer = [0; 1_024];
        let mut received = 0;
        while received < 8 * 1_024 {
            sleep(WRITE_TIMEOUT / 2).await;
            received += reader.read(&mut buffer).await.unwrap();
        }
    });
    write(&mut writer, &[0; 8 * 1_024]).await.expect("the response is written");
    reading.await.unwrap();
}

/// Guards against a connection that is held forever by a caller that has stopped reading.
#[tokio::test(start_paused = true)]
async fn write_stopped_reader() {
    let (mut writer, _reader) = tokio::io::duplex(1_024);
    let error = write(&mut writer, &[0; 8 * 1_024]).await.expect_err("the write times out");
    assert_eq!(error.kind(), std::io::ErrorKind::TimedOut);
}
