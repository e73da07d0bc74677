//! A stand-in target that sends scripted bytes, to produce malformed or incomplete responses.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

use super::position;

/// Suffix of every request body sent to a `RawTarget`, which detects the end of a body by it.
pub const BODY_END: &str = "end-of-body";

/// Delay between a response and the unsolicited bytes after it.
pub const LATE_BYTES_DELAY: Duration = Duration::from_millis(200);

/// Interval between the repeated bytes of an endless response.
const ENDLESS_INTERVAL: Duration = Duration::from_millis(1);

/// Delay between the end of the listener and that of the connection.
const STOP_DELAY: Duration = Duration::from_millis(10);

/// How a `RawTarget` responds to a request.
#[derive(Clone, Debug)]
pub enum ScriptedResponse {
    /// Sends the bytes and closes the connection.
    Close(Vec<u8>),
    /// Sends the bytes and waits for the next request on the connection.
    KeepAlive(Vec<u8>),
    /// Sends the first bytes and, after `LATE_BYTES_DELAY`, the second ones without a request.
    LateBytes(Vec<u8>, Vec<u8>),
    /// Sends the bytes and then nothing until the daemon closes the connection.
    Stall(Vec<u8>),
    /// Sends the bytes and resets the connection.
    Reset(Vec<u8>),
    /// Stops accepting connections and closes this one.
    StopTarget,
    /// Sends the first bytes and then the second ones, every millisecond, until the daemon closes
    /// the connection.
    Endless(Vec<u8>, Vec<u8>),
}

/// Returns the request id in the text of a request of `celerygated`.
pub fn request_id(text: &str) -> &str {
    let mut lines = text.lines();
    let id = lines.find_map(|line| line.strip_prefix("celerygate-request: "));
    id.expect("a request id")
}

/// A received request.
#[derive(Clone, Debug)]
pub struct RawRequest {
    /// Index of the connection, from 0.
    pub connection: usize,
    /// Head and body as received.
    pub text: String,
}

/// A stand-in target that answers each request with a `ScriptedResponse`.
pub struct RawTarget {
    pub address: SocketAddr,
    state: Arc<TargetState>,
}

#[derive(Default)]
struct TargetState {
    requests: Mutex<Vec<RawRequest>>,
    endless_bytes: AtomicUsize,
    endless_closed: AtomicUsize,
    stopped: Notify,
}

impl RawTarget {
    /// Starts a target. `answer` receives the index of the request, from 0, and its text.
    pub async fn start(
        answer: impl Fn(usize, &str) -> ScriptedResponse + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind to a free port");
        let address = listener.local_addr().expect("local address of the listener");
        let state = Arc::<TargetState>::default();
        let (answer, accept_state) = (Arc::new(answer), Arc::clone(&state));
        tokio::spawn(async move {
            let mut connection = 0;
            loop {
                let stream = tokio::select! {
                    accepted = listener.accept() => accepted.expect("a connection").0,
                    () = accept_state.stopped.notified() => return,
                };
                let (answer, state) = (Arc::clone(&answer), Arc::clone(&accept_state));
                tokio::spawn(async move { serve(stream, connection, &*answer, &state).await });
                connection += 1;
            }
        });
        Self { address, state }
    }

    /// Returns all requests received so far.
    pub fn requests(&self) -> Vec<RawRequest> {
        self.state.requests.lock().clone()
    }

    /// Returns the number of bytes that were sent repeatedly in endless responses.
    pub fn endless_bytes(&self) -> usize {
        self.state.endless_bytes.load(Ordering::SeqCst)
    }

    /// Returns the number of endless responses that ended because the daemon closed the connection.
    pub fn endless_closed(&self) -> usize {
        self.state.endless_closed.load(Ordering::SeqCst)
    }
}

async fn serve(
    mut stream: TcpStream,
    connection: usize,
    answer: &(impl Fn(usize, &str) -> ScriptedResponse + Sync),
    state: &TargetState,
) {
    while let Some(text) = read_request(&mut stream).await {
        let number = {
            let mut requests = state.requests.lock();
            requests.push(RawRequest { connection, text: text.clone() });
            requests.len() - 1
        };
        match answer(number, &text) {
            ScriptedResponse::Close(bytes) => {
                let _ = stream.write_all(&bytes).await;
                return;
            }
            ScriptedResponse::KeepAlive(bytes) => {
                if stream.write_all(&bytes).await.is_err() {
                    return;
                }
            }
            ScriptedResponse::LateBytes(bytes, late_bytes) => {
                let _ = stream.write_all(&bytes).await;
                tokio::time::sleep(LATE_BYTES_DELAY).await;
                if stream.write_all(&late_bytes).await.is_err() {
                    return;
                }
            }
            ScriptedResponse::Stall(bytes) => {
                let _ = stream.write_all(&bytes).await;
                // Returns when the daemon closes the connection.
                let _ = stream.read(&mut [0; 64]).await;
                return;
            }
            ScriptedResponse::Reset(bytes) => {
                let _ = stream.write_all(&bytes).await;
                // The reset must not overtake the bytes, which the kernel would then discard.
                tokio::time::sleep(LATE_BYTES_DELAY).await;
                let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                return;
            }
            ScriptedResponse::StopTarget => {
                state.stopped.notify_one();
                // The listener is closed before the daemon notices the end of the connection.
                tokio::time::sleep(STOP_DELAY).await;
                return;
            }
            ScriptedResponse::Endless(first, repeated) => {
                let _ = stream.write_all(&first).await;
                send_endless(&mut stream, &repeated, state).await;
                return;
            }
        }
    }
}

async fn send_endless(stream: &mut TcpStream, repeated: &[u8], state: &TargetState) {
    let (mut reader, mut writer) = stream.split();
    let write = async {
        while writer.write_all(repeated).await.is_ok() {
            state.endless_bytes.fetch_add(repeated.len(), Ordering::SeqCst);
            tokio::time::sleep(ENDLESS_INTERVAL).await;
        }
    };
    let mut buffer = [0; 64];
    // The read ends when the daemon closes the connection, also while a write waits.
    tokio::select! {
        () = write => {}
        _ = reader.read(&mut buffer) => {}
    }
    state.endless_closed.fetch_add(1, Ordering::SeqCst);
}

/// Reads one request. Returns `None` at the end of the connection.
async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4_096];
    loop {
        let count = stream.read(&mut buffer).await.ok().filter(|count| *count > 0)?;
        bytes.extend_from_slice(&buffer[..count]);
        let has_body = bytes.starts_with(b"POST") || bytes.starts_with(b"PUT");
        let end: &[u8] = if has_body { BODY_END.as_bytes() } else { b"\r\n\r\n" };
        if position(&bytes, end).is_some() {
            return Some(String::from_utf8_lossy(&bytes).into_owned());
        }
    }
}
