//! Callers' connections with HTTP/1.1 pipelining: requests of one connection run concurrently, and
//! responses are written in the order of the requests.
//!
//! Only requests with safe methods run concurrently with earlier ones. Any other request starts
//! after all earlier responses were written: a caller resends requests whose connection closes
//! before the response.

use std::future::Future;
use std::io::Read;
use std::sync::Arc;
use std::time::Duration;

use celerygate_daemon::connections::{OpenConnections, close_gracefully, close_unread};
use celerygate_steering::buffers::{MemoryBudget, Reservation};
use celerygate_types::ByteCount;
use http_body_util::{BodyExt, Empty};
use hyper::body::Bytes;
use hyper::http::request::Parts;
use hyper::{Response, StatusCode};
use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{Instant, timeout_at};

use self::pending::PendingResponses;
use self::write::{Progress, refuse, write, write_response};
use crate::forward::ResponseBody;
use crate::http1::{self, ParseError, ParseOutcome, RequestMessage};
use crate::listen;

mod pending;
mod write;

/// Maximum number of concurrent requests on one connection.
const MAX_PIPELINED_REQUESTS: usize = 32;
/// Bytes of responses that the kernel takes beyond those that it has sent. Its buffer would grow to
/// megabytes for each caller that does not read. Large enough for most responses as a whole: a connection
/// counts as idle in a stop once the kernel has its last response.
const UNSENT_MAX_BYTES: u32 = 512 * 1_024;
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
/// After that, idle connections are closed, and busy ones after their last response. The listener
/// counts as open from the call of this function.
pub fn serve<F, R>(
    listener: TcpListener,
    shutdown: watch::Receiver<bool>,
    service: Service<F>,
) -> impl Future<Output = ()>
where
    F: Fn(Parts, Bytes) -> R + Send + Sync + 'static,
    R: Future<Output = Response<ResponseBody>> + Send + 'static,
{
    let open_listener = service.connections.open.begin_listening();
    let service = Arc::new(service);
    let mut accept_shutdown = shutdown.clone();
    async move {
        let spawn = |stream| {
            // Counted before the spawn: the task may start after the listener's guard is dropped.
            let open = service.connections.open.begin();
            let connection = connection(stream, shutdown.clone(), Arc::clone(&service));
            tokio::spawn(async move {
                connection.await;
                drop(open);
            });
        };
        while let Some(stream) = listen::accept(&listener, &mut accept_shutdown).await {
            spawn(stream);
        }
        listen::accept_last(listener).for_each(spawn);
        drop(open_listener);
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

    /// Reads bytes that the kernel has received and that the runtime may not know of yet, without
    /// waiting. Returns whether there were any, or the caller has closed the connection.
    fn read_received(&mut self) -> bool {
        let mut bytes = [0; READ_BUFFER_BYTES];
        match (&*SockRef::from(self.reader.as_ref())).read(&mut bytes) {
            Ok(0) => self.is_closed = true,
            Ok(count) => {
                self.buffer.extend_from_slice(&bytes[..count]);
                self.reserve_memory();
            }
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => return false,
            Err(_) => self.is_closed = true,
        }
        true
    }

    fn next_step(&mut self, pending: &PendingResponses, continue_sent: bool) -> Step {
        if self.buffer.is_empty() || pending.len() >= MAX_PIPELINED_REQUESTS {
            return Step::Read;
        }
        if !pending.allows_more() {
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
    if let Err(error) = SockRef::from(&stream).set_tcp_notsent_lowat(UNSENT_MAX_BYTES) {
        log::debug!(error:% = error; "failed to limit the unsent bytes of a connection");
    }
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
        ConnectionEnd::Idle => match input.reader.reunite(writer) {
            Ok(stream) => close_unread(stream).await,
            Err(error) => log::error!(error:% = error; "halves of different connections"),
        },
        ConnectionEnd::Failed => {}
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
    let mut pending = PendingResponses::default();
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
                pending.push(response, keep_alive, memory);
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
                let head = b"HTTP/1.1 100 Continue\r\n\r\n";
                if write(writer, head, &mut Progress::default()).await.is_err() {
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
        if pending.is_empty() {
            let is_stopping = *shutdown.borrow();
            // A request of which a part has arrived is read to its end.
            let idle_time = if is_stopping && input.buffer.is_empty() {
                STOP_IDLE_TIME
            } else {
                idle_timeout()
            };
            tokio::select! {
                read = timeout_at(idle_since + idle_time, input.read()) => {
                    // The request of a caller may have arrived while no thread was free.
                    if read.is_err() && !input.read_received() {
                        return ConnectionEnd::Idle;
                    }
                }
                () = listen::wait_for_shutdown(&mut shutdown), if !is_stopping => {}
            }
            continue;
        }
        let (response, keep_alive) = tokio::select! {
            biased;
            next = pending.next() => next,
            // Without memory, the bytes behind the pending requests stay in the kernel.
            () = input.read(), if !input.is_out_of_memory => continue,
        };
        let response = match response {
            Ok(response) => response,
            Err(error) if error.is_cancelled() => return ConnectionEnd::Failed,
            Err(error) => {
                log::error!(error:% = error; "request task failed");
                failure_response()
            }
        };
        // Closing the connection would make the caller resend the requests after this one, so the
        // connection stays open while others are pending.
        let is_last = pending.is_empty();
        let requests_close = response.headers().contains_key(hyper::header::CONNECTION);
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
        idle_since = Instant::now();
    }
}

/// Returns the response to a request whose task has failed. The request may have run, which a closed
/// connection would hide: a caller repeats its request then.
fn failure_response() -> Response<ResponseBody> {
    let body = Empty::new().map_err(|never| match never {}).boxed_unsync();
    let mut response = Response::new(body);
    *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
    response
}

#[cfg(test)]
#[path = "callers_tests.rs"]
mod tests;
