//! Connections to targets: bytes that have reached the kernel but not the daemon, connections that were
//! closed while they were idle, and requests that are given up.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::task::{Context, Poll};
use std::time::Duration;

use celerygate_daemon::upstream::{
    ConnectionPool, ConnectionReuse, NetworkPath, RequestBody, TargetBody,
};
use celerygate_steering::silence::MIN_SILENCE;
use http_body_util::{BodyExt, Empty, Full};
use hyper::body::{Body, Bytes, Frame};
use hyper::{Request, Response};
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::Barrier;
use tokio::task::JoinSet;
use tokio::time::timeout;

const FIRST: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nfirst";
const SECOND: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nsecond";

/// What a target does with its first connection between two requests.
#[derive(Clone, Copy)]
enum WhileIdle {
    SendSurplus,
    Close,
}

/// A target on a thread of its own. It responds to the first request of its first connection, and
/// on a signal sends surplus bytes or closes.
struct ThreadTarget {
    address: SocketAddr,
    signal: Sender<()>,
    done: Receiver<()>,
    /// Receives the connection of each request.
    requests: Receiver<usize>,
}

fn start_target(while_idle: WhileIdle) -> ThreadTarget {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind to a free port");
    let address = listener.local_addr().expect("local address of the listener");
    let (signal, signalled) = channel();
    let (finish, done) = channel();
    let (record, requests) = channel();
    std::thread::spawn(move || {
        let mut first = listener.accept().expect("a connection").0;
        read_request(&mut first);
        record.send(0).expect("the test is running");
        first.write_all(FIRST).expect("the response is sent");
        signalled.recv().expect("the test is running");
        let first = match while_idle {
            WhileIdle::SendSurplus => {
                first.write_all(FIRST).expect("the surplus bytes are sent");
                Some(first)
            }
            WhileIdle::Close => {
                drop(first);
                None
            }
        };
        finish.send(()).expect("the test is running");
        if let Some(mut first) = first {
            let record = record.clone();
            std::thread::spawn(move || {
                if read_request(&mut first) {
                    let _ = record.send(0);
                }
            });
        }
        let mut second = listener.accept().expect("a connection").0;
        read_request(&mut second);
        record.send(1).expect("the test is running");
        second.write_all(SECOND).expect("the response is sent");
    });
    ThreadTarget { address, signal, done, requests }
}

/// Reads a request and returns whether there was one.
fn read_request(stream: &mut TcpStream) -> bool {
    let mut bytes = Vec::new();
    let mut buffer = [0; 1_024];
    while !bytes.ends_with(b"\r\n\r\n") {
        match stream.read(&mut buffer) {
            Ok(count) if count > 0 => bytes.extend_from_slice(&buffer[..count]),
            _ => return false,
        }
    }
    true
}

async fn send(pool: &Arc<ConnectionPool>, address: SocketAddr, id: &str) -> Vec<u8> {
    read_body(send_request(pool, address, id).await).await
}

async fn read_body(response: Response<TargetBody>) -> Vec<u8> {
    response.into_body().collect().await.expect("a complete body").to_bytes().to_vec()
}

async fn send_request(
    pool: &Arc<ConnectionPool>,
    address: SocketAddr,
    id: &str,
) -> Response<TargetBody> {
    let body = Empty::new().map_err(|never| match never {}).boxed_unsync();
    let request = Request::builder().uri("/").header("host", "a").body(body).expect("a request");
    let reuse = ConnectionReuse::Recent;
    let sent = pool.send(address, NetworkPath::WithinRegion, reuse, id, request);
    sent.await.unwrap_or_else(|error| panic!("{id}: {error}"))
}

/// Sends two requests. Between them, the target acts and the runtime does not run, so that the
/// effect has reached the kernel and not the daemon.
async fn second_response(while_idle: WhileIdle) -> (Vec<u8>, Vec<usize>) {
    let target = start_target(while_idle);
    let pool = Arc::<ConnectionPool>::default();
    assert_eq!(send(&pool, target.address, "a").await, b"first");
    // Lets the connection become idle.
    tokio::time::sleep(Duration::from_millis(100)).await;
    target.signal.send(()).expect("the target is running");
    target.done.recv().expect("the target is running");
    let second = send(&pool, target.address, "b").await;
    (second, target.requests.try_iter().collect())
}

/// Guards against surplus bytes in the kernel that are returned as the response to the next
/// request, because the daemon has not read them when it sends the request.
#[tokio::test]
async fn send_surplus_bytes_unread() {
    let (response, connections) = second_response(WhileIdle::SendSurplus).await;
    assert_eq!(response, b"second");
    assert_eq!(connections, [0, 1]);
}

/// Guards against a request that is sent on a connection that the target has closed: it would end
/// without a response, and it could not be repeated if it may have run.
#[tokio::test]
async fn send_close_unread() {
    let (response, connections) = second_response(WhileIdle::Close).await;
    assert_eq!(response, b"second");
    assert_eq!(connections, [0, 1]);
}

/// Starts a target that answers each request with the number of its connection.
fn start_numbering_target() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind to a free port");
    let address = listener.local_addr().expect("local address of the listener");
    std::thread::spawn(move || {
        for (number, stream) in listener.incoming().enumerate() {
            let mut stream = stream.expect("a connection");
            std::thread::spawn(move || {
                let response = format!("HTTP/1.1 503 Full\r\ncontent-length: 1\r\n\r\n{number}");
                while read_request(&mut stream) && stream.write_all(response.as_bytes()).is_ok() {}
            });
        }
    });
    address
}

/// Guards against the copy of a refusal that is taken for the response to the next attempt of the same
/// request: it has the id of that request, and nothing else tells the two apart.
#[tokio::test]
async fn send_again_after_unsuccessful_response() {
    let address = start_numbering_target();
    let pool = Arc::<ConnectionPool>::default();
    let mut response = send_request(&pool, address, "a").await;
    response.body_mut().record_unsuccessful("a");
    assert_eq!(read_body(response).await, b"0");
    // Lets the connection become idle.
    tokio::time::sleep(Duration::from_millis(100)).await;
    let again = send_request(&pool, address, "a").await;
    let other = send_request(&pool, address, "b").await;
    assert_eq!(read_body(again).await, b"1");
    assert_eq!(read_body(other).await, b"0");
}

/// Guards against a request that waits at its target behind the unread body of an earlier one. It was read
/// seconds after it was sent, when the target had been told that no more requests would come.
#[tokio::test]
async fn send_after_long_body_answered_early() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind to a free port");
    let address = listener.local_addr().expect("local address of the listener");
    std::thread::spawn(move || {
        for (number, stream) in listener.incoming().enumerate() {
            let mut stream = stream.expect("a connection");
            // Answers a request once a part of it has come, and reads on later.
            std::thread::spawn(move || {
                let response = format!("HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n{number}");
                let mut buffer = [0; 1_024];
                while stream.read(&mut buffer).is_ok_and(|bytes| bytes > 0)
                    && stream.write_all(response.as_bytes()).is_ok()
                {
                    std::thread::sleep(Duration::from_secs(1));
                }
            });
        }
    });
    let pool = Arc::<ConnectionPool>::default();
    let body = Full::new(Bytes::from(vec![b'x'; 20_000])).map_err(|never| match never {});
    let request = Request::builder().method("POST").uri("/").header("host", "a");
    let request = request.body(body.boxed_unsync()).expect("a request");
    let (path, reuse) = (NetworkPath::WithinRegion, ConnectionReuse::Any);
    let response = pool.send(address, path, reuse, "a", request).await.expect("a response");
    assert_eq!(read_body(response).await, b"0");
    // Lets the connection become idle.
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(send(&pool, address, "b").await, b"1");
}

/// Size of a request that fits into the send buffer of the daemon's kernel.
const REQUEST_BYTES: usize = 128 * 1_024;
/// Receive buffer of a target whose machine acknowledges only the beginning of such a request.
const RECEIVE_BUFFER_BYTES: usize = 4 * 1_024;

/// Reads until the connection ends. Returns the number of bytes, and whether it ended in order.
fn read_to_end(stream: &mut TcpStream) -> (usize, bool) {
    let (mut count, mut buffer) = (0, vec![0; REQUEST_BYTES]);
    stream.set_read_timeout(Some(Duration::from_secs(20))).expect("a read timeout");
    loop {
        match stream.read(&mut buffer) {
            Ok(0) => return (count, true),
            Ok(bytes) => count += bytes,
            Err(_) => return (count, false),
        }
    }
}

/// Guards against a request that reaches a target long after its caller was answered: bytes that a
/// cut network has held up stayed in the kernel's queue when the connection was closed, and were
/// sent once the network was back.
#[tokio::test]
async fn send_given_up_request_discarded() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind to a free port");
    SockRef::from(&listener).set_recv_buffer_size(RECEIVE_BUFFER_BYTES).expect("a small buffer");
    let address = listener.local_addr().expect("local address of the listener");
    let pool = Arc::<ConnectionPool>::default();
    let body = Full::new(Bytes::from(vec![b'x'; REQUEST_BYTES]));
    let body = body.map_err(|never| match never {}).boxed_unsync();
    let request = Request::post("/").header("host", "a").body(body).expect("a request");
    let sent = pool.send(address, NetworkPath::WithinRegion, ConnectionReuse::New, "", request);
    assert!(timeout(Duration::from_millis(300), sent).await.is_err(), "the target has answered");
    // The runtime closes the connection.
    tokio::time::sleep(Duration::from_millis(100)).await;
    let (received, _) = read_to_end(&mut listener.accept().expect("a connection").0);
    assert!(received < REQUEST_BYTES, "the target received the whole request");
}

/// Guards against targets that see an error for each idle connection that the daemon closes.
#[tokio::test]
async fn close_idle_connection_in_order() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind to a free port");
    let address = listener.local_addr().expect("local address of the listener");
    let target = std::thread::spawn(move || {
        let mut stream = listener.accept().expect("a connection").0;
        read_request(&mut stream);
        stream.write_all(FIRST).expect("the response is sent");
        read_to_end(&mut stream)
    });
    let pool = Arc::<ConnectionPool>::default();
    assert_eq!(send(&pool, address, "a").await, b"first");
    // Lets the connection become idle.
    tokio::time::sleep(Duration::from_millis(100)).await;
    drop(pool);
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(target.join().expect("the target ends"), (0, true));
}

/// Number of connections at a target whose connections go silent.
const OPEN_CONNECTIONS: usize = 50;
/// Time after which the tests give up a request.
const PATIENCE: Duration = MIN_SILENCE.saturating_add(Duration::from_millis(100));

/// A target behind a machine that loses the state of its connections: from then on it acknowledges
/// what is sent on them, and nothing comes back. New connections work.
#[derive(Clone)]
struct UnreliableTarget {
    address: SocketAddr,
    path: Arc<UnreliablePath>,
}

struct UnreliablePath {
    losses: AtomicUsize,
    connections: AtomicUsize,
    /// Requests for `/together` are answered once as many of them have arrived.
    together: Barrier,
}

impl UnreliableTarget {
    async fn start(together: usize) -> Self {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("local address of the listener");
        let (losses, connections) = (AtomicUsize::new(0), AtomicUsize::new(0));
        let together = Barrier::new(together);
        let path = Arc::new(UnreliablePath { losses, connections, together });
        let accept_path = Arc::clone(&path);
        tokio::spawn(async move {
            loop {
                let stream = listener.accept().await.expect("a connection").0;
                accept_path.connections.fetch_add(1, Ordering::SeqCst);
                tokio::spawn(serve_until_lost(stream, Arc::clone(&accept_path)));
            }
        });
        Self { address, path }
    }

    fn lose_connections(&self) {
        self.path.losses.fetch_add(1, Ordering::SeqCst);
    }

    fn connections(&self) -> usize {
        self.path.connections.load(Ordering::SeqCst)
    }

    /// Sends a request and returns whether it was answered within [`PATIENCE`].
    async fn is_answered(&self, pool: &Arc<ConnectionPool>, path: &str, body: RequestBody) -> bool {
        self.is_answered_within(PATIENCE, pool, path, body).await
    }

    async fn is_answered_within(
        &self,
        patience: Duration,
        pool: &Arc<ConnectionPool>,
        path: &str,
        body: RequestBody,
    ) -> bool {
        let request = Request::post(path).header("host", "a").body(body).expect("a request");
        let reuse = ConnectionReuse::Any;
        let sent = pool.send(self.address, NetworkPath::WithinRegion, reuse, "a", request);
        let answer = async { sent.await.ok()?.into_body().collect().await.ok() };
        timeout(patience, answer).await.is_ok_and(|answer| answer.is_some())
    }

    /// Sends requests that are all answered at once, so that each uses a connection of its own.
    async fn send_together(&self, pool: &Arc<ConnectionPool>, requests: usize) {
        let sent = (0..requests).map(|_| {
            let (target, pool) = (self.clone(), Arc::clone(pool));
            async move { target.is_answered(&pool, "/together", empty_body()).await }
        });
        let answered = sent.collect::<JoinSet<_>>().join_all().await;
        assert_eq!(answered, vec![true; requests]);
    }
}

async fn serve_until_lost(mut stream: tokio::net::TcpStream, path: Arc<UnreliablePath>) {
    let losses = path.losses.load(Ordering::SeqCst);
    let mut received = Vec::new();
    while stream.read_buf(&mut received).await.is_ok_and(|count| count > 0) {
        if !received.ends_with(b"\r\n\r\n") && !received.ends_with(BODY) {
            continue;
        }
        let request = std::mem::take(&mut received);
        if path.losses.load(Ordering::SeqCst) > losses || request.starts_with(b"POST /slow") {
            continue;
        }
        if request.starts_with(b"POST /together") {
            path.together.wait().await;
        }
        if stream.write_all(FIRST).await.is_err() {
            return;
        }
    }
}

/// Body of a request.
const BODY: &[u8] = b"body";

fn empty_body() -> RequestBody {
    Empty::new().map_err(|never| match never {}).boxed_unsync()
}

fn full_body() -> RequestBody {
    Full::new(Bytes::from_static(BODY)).map_err(|never| match never {}).boxed_unsync()
}

/// Returns how many requests, one after the other, are lost on connections that have gone silent.
async fn count_lost_requests(body: impl Fn() -> RequestBody) -> usize {
    let target = UnreliableTarget::start(OPEN_CONNECTIONS).await;
    let pool = Arc::<ConnectionPool>::default();
    target.send_together(&pool, OPEN_CONNECTIONS).await;
    target.lose_connections();
    let mut lost = 0;
    while !target.is_answered(&pool, "/", body()).await {
        lost += 1;
    }
    for _ in 0..OPEN_CONNECTIONS {
        assert!(target.is_answered(&pool, "/", body()).await, "lost after an answered request");
    }
    assert_eq!(target.connections(), OPEN_CONNECTIONS + 1);
    lost
}

/// Guards against a target whose idle connections cost one request each after they have gone
/// silent: 16 of 50 open connections are kept idle.
#[tokio::test]
async fn send_silent_connections_empty_body() {
    assert_eq!(count_lost_requests(empty_body).await, 1);
}

/// Guards against silence that is only noticed by requests without a body.
#[tokio::test]
async fn send_silent_connections_body() {
    assert_eq!(count_lost_requests(full_body).await, 1);
}

/// Number of requests that are sent together to a sound target.
const TOGETHER: usize = 4;

/// Asserts that all connections of a sound target but the one of an unanswered request are reused.
async fn assert_one_connection_lost(target: &UnreliableTarget, pool: &Arc<ConnectionPool>) {
    target.send_together(pool, TOGETHER).await;
    assert_eq!(target.connections(), TOGETHER + 1);
}

/// Guards against sound connections of a busy target that are closed because one of its requests
/// takes long.
#[tokio::test]
async fn send_slow_request_beside_answers() {
    let target = UnreliableTarget::start(TOGETHER).await;
    let pool = Arc::<ConnectionPool>::default();
    target.send_together(&pool, TOGETHER).await;
    let (slow, other) = tokio::join!(target.is_answered(&pool, "/slow", empty_body()), async {
        tokio::time::sleep(MIN_SILENCE / 2).await;
        target.is_answered(&pool, "/", empty_body()).await
    });
    assert_eq!((slow, other), (false, true));
    assert_one_connection_lost(&target, &pool).await;
}

/// Guards against sound connections that are closed because a request had a short deadline.
#[tokio::test]
async fn send_slow_request_short_deadline() {
    let target = UnreliableTarget::start(TOGETHER).await;
    let pool = Arc::<ConnectionPool>::default();
    target.send_together(&pool, TOGETHER).await;
    let patience = MIN_SILENCE / 2;
    assert!(!target.is_answered_within(patience, &pool, "/slow", empty_body()).await);
    assert_one_connection_lost(&target, &pool).await;
}

/// Body of a caller that sends nothing.
struct StalledBody;

impl Body for StalledBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        Poll::Pending
    }
}

/// Guards against sound connections that are closed because a caller did not send its request.
#[tokio::test]
async fn send_incomplete_body() {
    let target = UnreliableTarget::start(TOGETHER).await;
    let pool = Arc::<ConnectionPool>::default();
    target.send_together(&pool, TOGETHER).await;
    assert!(!target.is_answered(&pool, "/slow", StalledBody.boxed_unsync()).await);
    assert_one_connection_lost(&target, &pool).await;
}
