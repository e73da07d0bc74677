//! Callers' connections with HTTP/1.1 pipelining: requests of one connection run concurrently, and
//! responses are written in the order of the requests.
//!
//! Only requests with safe methods run concurrently with earlier ones. Any other request starts
//! after all earlier responses were written: a caller resends requests whose connection closes
//! before the response.

use std::collections::VecDeque;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use celerygate_daemon::connections::{OpenConnections, close_gracefully};
use celerygate_steering::buffers::{MemoryBudget, Reservation};
use celerygate_types::ByteCount;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::{Body, Bytes};
use hyper::http::request::Parts;
use smol_str::SmolStr;
use tokio::io::{AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{Instant, timeout, timeout_at};

use crate::forward::{AttemptId, ResponseBody};
use crate::http1::{self, ParseError, ParseOutcome, RequestMessage};
use crate::listen;

/// Maximum number of concurrent requests on one connection.
const MAX_PIPELINED_REQUESTS: usize = 32;
/// Minimum free space in the buffer for each read; most requests fit.
const READ_BUFFER_BYTES: usize = 2 * 1_024;
/// Maximum size of a request body.
const MAX_BODY_BYTES: usize = 64 * 1_024 * 1_024;
/// Memory for the incomplete and running requests of all callers: three eighths of a VM with 256 MiB.
pub const REQUEST_MEMORY: ByteCount = ByteCount(96 * 1_024 * 1_024);
/// Received bytes of a connection that need no room in [`REQUEST_MEMORY`], so that small requests are
/// served while large ones have used it up.
const UNRESERVED_BYTES: usize = 32 * 1_024;
/// Idle time after which a connection is closed, unless the deployment configures one.
const IDLE_TIMEOUT: Duration = Duration::from_secs(75);
/// Added to the configured idle timeout, because a caller may send a request just before it
/// expires.
const IDLE_MARGIN: Duration = Duration::from_secs(1);
/// Time for which a stopping daemon keeps a connection open after its last response. If the caller
/// has sent another request, closing the connection resets it, and the caller would lose a response
/// that is still on its way.
const STOP_IDLE_TIME: Duration = Duration::from_secs(1);
/// Share of the file descriptors that callers' connections may use; the rest is for targets,
/// daemons and control requests.
const CALLER_DESCRIPTOR_SHARE: f64 = 0.7;
/// Share of the callers' descriptors in use above which refused callers are asked to close.
const ELEVATED_PRESSURE_SHARE: f64 = 0.5;
/// Share above which every caller is asked to close.
const HIGH_PRESSURE_SHARE: f64 = 0.8;
/// Time without any byte written after which a caller counts as gone.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// Open callers' connections and the number that is allowed.
#[derive(Debug)]
pub struct ConnectionCounter {
    max: u64,
    open: Arc<OpenConnections>,
}

/// Use of the file descriptors available to callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DescriptorPressure {
    /// Connections are kept alive.
    Low,
    /// Refused callers are asked to close, since they retry on a new connection in any case.
    Elevated,
    /// All callers are asked to close.
    High,
}

impl ConnectionCounter {
    /// Creates the counter for a process that may open `descriptors_max` file descriptors.
    pub fn new(descriptors_max: u64) -> Self {
        let max = (descriptors_max as f64 * CALLER_DESCRIPTOR_SHARE) as u64;
        Self { max: max.max(1), open: Arc::default() }
    }

    /// Returns the open connections.
    pub fn open(&self) -> &Arc<OpenConnections> {
        &self.open
    }

    /// Returns the current pressure on file descriptors.
    pub fn descriptor_pressure(&self) -> DescriptorPressure {
        let used = self.open.count() as f64 / self.max as f64;
        if used > HIGH_PRESSURE_SHARE {
            DescriptorPressure::High
        } else if used > ELEVATED_PRESSURE_SHARE {
            DescriptorPressure::Elevated
        } else {
            DescriptorPressure::Low
        }
    }
}

/// Resources shared by all connections of a listener.
pub struct Service<F> {
    /// Counter of open connections.
    pub connections: Arc<ConnectionCounter>,
    /// Memory for the requests of all connections.
    pub request_memory: Arc<MemoryBudget>,
    /// Returns the idle timeout configured for the deployment, if any.
    pub idle_timeout: Box<dyn Fn() -> Option<Duration> + Send + Sync>,
    /// Serves one request with its head and body.
    pub handle: F,
}

/// Accepts connections until `shutdown` becomes true, and then those that the kernel has queued.
/// After that, idle connections are closed, and busy ones after their last response.
pub async fn serve<F, R>(
    listener: TcpListener,
    shutdown: watch::Receiver<bool>,
    service: Service<F>,
) where
    F: Fn(Parts, Bytes) -> R + Send + Sync + 'static,
    R: Future<Output = Response<ResponseBody>> + Send + 'static,
{
    let service = Arc::new(service);
    let mut accept_shutdown = shutdown.clone();
    let spawn = |stream| tokio::spawn(connection(stream, shutdown.clone(), Arc::clone(&service)));
    while let Some(stream) = listen::accept(&listener, &mut accept_shutdown).await {
        spawn(stream);
    }
    listen::accept_queued(listener).into_iter().for_each(|stream| {
        spawn(stream);
    });
}

/// A request whose response is not written yet; dropping it cancels the request.
struct PendingResponse {
    response: JoinHandle<Response<ResponseBody>>,
    keep_alive: bool,
    _memory: Reservation,
}

impl Drop for PendingResponse {
    fn drop(&mut self) {
        self.response.abort();
    }
}

/// Reading side of a connection, with bytes that are not yet parsed.
struct RequestReader {
    reader: OwnedReadHalf,
    buffer: Vec<u8>,
    is_closed: bool,
    memory: Reservation,
    /// Whether the last received bytes found no room in the memory for requests.
    is_out_of_memory: bool,
}

/// Next action on a connection.
enum Step {
    Start(Box<RequestMessage>, Reservation),
    Refuse(ParseError),
    SendContinue,
    Read,
}

impl RequestReader {
    /// Reads more bytes into the buffer. End of file or an error marks the connection as closed.
    async fn read(&mut self) {
        self.buffer.reserve(READ_BUFFER_BYTES);
        match self.reader.read_buf(&mut self.buffer).await {
            Ok(bytes) if bytes > 0 => self.reserve_memory(),
            Ok(_) => self.is_closed = true,
            Err(error) => {
                log::debug!(error:% = error; "caller's connection failed");
                self.is_closed = true;
            }
        }
    }

    fn reserve_memory(&mut self) {
        let needed = self.buffer.len().saturating_sub(UNRESERVED_BYTES) as u64;
        let missing = needed.saturating_sub(self.memory.size().0);
        self.is_out_of_memory = !self.memory.grow(ByteCount(missing));
    }

    /// Removes a complete request from the buffer and returns its memory.
    fn take_request(&mut self, used: usize) -> Reservation {
        self.buffer.drain(..used);
        self.buffer.shrink_to(UNRESERVED_BYTES);
        let empty = self.memory.empty();
        let memory = std::mem::replace(&mut self.memory, empty);
        self.reserve_memory();
        memory
    }

    /// Reads available bytes without waiting and returns whether the caller has closed the
    /// connection. After a stall of the process, the buffer can hold requests whose callers have
    /// already left.
    fn check_closed(&mut self) -> bool {
        match self.reader.try_read_buf(&mut self.buffer) {
            Ok(0) => self.is_closed = true,
            Ok(_) => self.reserve_memory(),
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(_) => self.is_closed = true,
        }
        self.is_closed
    }

    fn next_step(&mut self, pending: &VecDeque<PendingResponse>, continue_sent: bool) -> Step {
        if self.buffer.is_empty() || pending.len() >= MAX_PIPELINED_REQUESTS {
            return Step::Read;
        }
        if pending.back().is_some_and(|last| !last.keep_alive) {
            return Step::Read;
        }
        match http1::parse(&self.buffer, MAX_BODY_BYTES) {
            ParseOutcome::Complete(message, used) => {
                if !pending.is_empty() && !message.parts.method.is_safe() {
                    return Step::Read;
                }
                Step::Start(message, self.take_request(used))
            }
            ParseOutcome::Partial { .. } if self.is_out_of_memory && pending.is_empty() => {
                // Other requests may have ended since the last read.
                self.reserve_memory();
                let is_refused = self.is_out_of_memory;
                if is_refused { Step::Refuse(ParseError::NoMemory) } else { Step::Read }
            }
            ParseOutcome::Partial { expects_continue } => {
                let may_send = expects_continue && pending.is_empty() && !continue_sent;
                if may_send { Step::SendContinue } else { Step::Read }
            }
            ParseOutcome::Error(error) if pending.is_empty() => Step::Refuse(error),
            ParseOutcome::Error(_) => Step::Read,
        }
    }
}

/// How a connection ended.
enum ConnectionEnd {
    /// The last response was written and asks the caller to close the connection.
    Responded,
    /// No request was pending.
    Idle,
    /// The caller is gone, or a response could not be written.
    Failed,
}

async fn connection<F, R>(
    stream: TcpStream,
    shutdown: watch::Receiver<bool>,
    service: Arc<Service<F>>,
) where
    F: Fn(Parts, Bytes) -> R + Send + Sync + 'static,
    R: Future<Output = Response<ResponseBody>> + Send + 'static,
{
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(error:% = error; "failed to set TCP_NODELAY");
    }
    let _open = service.connections.open.begin();
    let (reader, mut writer) = stream.into_split();
    let mut input = RequestReader {
        reader,
        buffer: Vec::new(),
        is_closed: false,
        memory: service.request_memory.reservation(),
        is_out_of_memory: false,
    };
    match serve_requests(&mut input, &mut writer, shutdown, &service).await {
        ConnectionEnd::Responded => close_gracefully(input.reader, writer).await,
        // A request that the caller sends meanwhile stays unread, so that the caller repeats it.
        ConnectionEnd::Idle | ConnectionEnd::Failed => {}
    }
}

async fn serve_requests<F, R>(
    input: &mut RequestReader,
    writer: &mut OwnedWriteHalf,
    mut shutdown: watch::Receiver<bool>,
    service: &Service<F>,
) -> ConnectionEnd
where
    F: Fn(Parts, Bytes) -> R + Send + Sync + 'static,
    R: Future<Output = Response<ResponseBody>> + Send + 'static,
{
    let mut pending: VecDeque<PendingResponse> = VecDeque::new();
    let mut continue_sent = false;
    let idle_timeout =
        || (service.idle_timeout)().map_or(IDLE_TIMEOUT, |configured| configured + IDLE_MARGIN);
    let mut idle_since = Instant::now();
    loop {
        match input.next_step(&pending, continue_sent) {
            Step::Start(message, memory) => {
                if input.check_closed() {
                    return ConnectionEnd::Failed;
                }
                continue_sent = false;
                let RequestMessage { parts, body, keep_alive } = *message;
                let response = tokio::spawn((service.handle)(parts, body));
                pending.push_back(PendingResponse { response, keep_alive, _memory: memory });
                continue;
            }
            Step::Refuse(error) => {
                if error == ParseError::NoMemory {
                    log::warn!(received_bytes = input.buffer.len();
                        "no memory for a request, refused it");
                } else {
                    log::info!(reason:% = error; "received invalid HTTP request");
                }
                refuse(writer, error).await;
                return ConnectionEnd::Responded;
            }
            Step::SendContinue => {
                continue_sent = true;
                if write(writer, b"HTTP/1.1 100 Continue\r\n\r\n").await.is_err() {
                    return ConnectionEnd::Failed;
                }
            }
            Step::Read => {}
        }
        if input.is_closed {
            // The caller no longer reads responses; dropping the requests cancels them at their
            // targets.
            return ConnectionEnd::Failed;
        }
        let Some(first) = pending.front_mut() else {
            let is_stopping = *shutdown.borrow();
            // A request of which a part has arrived is read to its end.
            let idle_time = if is_stopping && input.buffer.is_empty() {
                STOP_IDLE_TIME
            } else {
                idle_timeout()
            };
            tokio::select! {
                read = timeout_at(idle_since + idle_time, input.read()) => {
                    if read.is_err() {
                        return ConnectionEnd::Idle;
                    }
                }
                () = listen::wait_for_shutdown(&mut shutdown), if !is_stopping => {}
            }
            continue;
        };
        let response = tokio::select! {
            biased;
            response = &mut first.response => response,
            // Without memory, the bytes behind the pending requests stay in the kernel.
            () = input.read(), if !input.is_out_of_memory => continue,
        };
        let Ok(response) = response else {
            log::error!("request task failed");
            return ConnectionEnd::Failed;
        };
        // Closing the connection would make the caller resend the requests after this one, so the
        // connection stays open while others are pending.
        let is_last = pending.len() == 1;
        let requests_close = response.headers().contains_key(hyper::header::CONNECTION);
        let keep_alive = pending.front().is_none_or(|first| first.keep_alive);
        let is_under_pressure = match service.connections.descriptor_pressure() {
            DescriptorPressure::Low => false,
            DescriptorPressure::Elevated => {
                response.status().is_client_error() || response.status().is_server_error()
            }
            DescriptorPressure::High => true,
        };
        let close =
            !keep_alive || (is_last && (requests_close || is_under_pressure || *shutdown.borrow()));
        if write_response(writer, response, close).await.is_err() {
            return ConnectionEnd::Failed;
        }
        if close {
            return ConnectionEnd::Responded;
        }
        pending.pop_front();
        idle_since = Instant::now();
    }
}

async fn refuse(writer: &mut OwnedWriteHalf, error: ParseError) {
    let status =
        hyper::StatusCode::from_u16(error.status()).unwrap_or(hyper::StatusCode::BAD_REQUEST);
    let mut head = Vec::new();
    http1::write_head(&mut head, status, &hyper::HeaderMap::new(), Some(0), true);
    if write(writer, &head).await.is_err() {
        log::debug!("caller disconnected before the error response");
    }
}

/// Writes all bytes, as long as the caller keeps reading.
async fn write(writer: &mut (impl AsyncWrite + Unpin), mut bytes: &[u8]) -> std::io::Result<()> {
    while !bytes.is_empty() {
        match timeout(WRITE_TIMEOUT, writer.write(bytes)).await {
            Ok(Ok(0)) => return Err(std::io::ErrorKind::WriteZero.into()),
            Ok(Ok(written)) => bytes = &bytes[written..],
            Ok(Err(error)) => return Err(error),
            Err(_) => return Err(std::io::ErrorKind::TimedOut.into()),
        }
    }
    Ok(())
}

/// Logs a response that the caller did not get completely if it is dropped before the end of the
/// response, for example when the process exits.
struct WriteGuard {
    request: SmolStr,
    started_at: Instant,
    written_bytes: usize,
    is_complete: bool,
}

impl WriteGuard {
    fn new(response: &Response<ResponseBody>) -> Self {
        let request = response.extensions().get().map(|AttemptId(id)| id.clone());
        Self {
            request: request.unwrap_or_default(),
            started_at: Instant::now(),
            written_bytes: 0,
            is_complete: false,
        }
    }
}

impl Drop for WriteGuard {
    fn drop(&mut self) {
        if !self.is_complete {
            log::info!(request = self.request.as_str(), written_bytes = self.written_bytes,
                elapsed_ms = self.started_at.elapsed().as_millis() as u64;
                "response cut off");
        }
    }
}

/// Writes a response. After an error the caller of this function must close the connection, so that
/// a truncated response does not look complete.
async fn write_response(
    writer: &mut OwnedWriteHalf,
    response: Response<ResponseBody>,
    close: bool,
) -> std::io::Result<()> {
    let mut guard = WriteGuard::new(&response);
    let (parts, mut body) = response.into_parts();
    let length = body.size_hint().exact();
    let mut buffer = Vec::with_capacity(512 + length.unwrap_or_default().min(1 << 20) as usize);
    http1::write_head(&mut buffer, parts.status, &parts.headers, length, close);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(std::io::Error::other)?;
        let Ok(data) = frame.into_data() else { continue };
        if length.is_none() {
            buffer.extend_from_slice(format!("{:x}\r\n", data.len()).as_bytes());
        }
        buffer.extend_from_slice(&data);
        if length.is_none() {
            buffer.extend_from_slice(b"\r\n");
        }
        write(writer, &buffer).await?;
        guard.written_bytes += buffer.len();
        buffer.clear();
    }
    if length.is_none() {
        buffer.extend_from_slice(b"0\r\n\r\n");
    }
    write(writer, &buffer).await?;
    guard.is_complete = true;
    Ok(())
}

#[cfg(test)]
#[path = "callers_tests.rs"]
mod tests;
