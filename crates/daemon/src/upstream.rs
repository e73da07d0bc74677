//! Pool of connections to targets.

mod body;
mod connection;
mod informational;
mod socket;
mod unanswered;
mod unsuccessful;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use celerygate_steering::idle::IdleLimit;
use celerygate_steering::silence::{self, IdleTimes, SilenceVerdict, UnansweredRequest};
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::Bytes;
use hyper::{Request, Response};
use parking_lot::Mutex;
use thiserror::Error;
use tokio::time::Instant;

pub use self::body::{BodyFailure, TargetBody, has_other_coding};
use self::connection::{Connection, HEAD_LIMIT_BYTES};
use self::informational::{InformationalCount, MAX_INFORMATIONAL_RESPONSES};
use self::socket::{IdleState, OpenSockets};
use self::unanswered::UnansweredGuard;
use self::unsuccessful::RequestHash;

/// Maximum number of idle connections per target. A target has few slots, so more are rarely used.
const MAX_IDLE_PER_TARGET: usize = 16;

/// Whether a connection crosses a link between regions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NetworkPath {
    /// The target is in the same region.
    WithinRegion,
    /// The target is in another region.
    CrossRegion,
}

/// Body of a request to a target.
pub type RequestBody = UnsyncBoxBody<Bytes, hyper::Error>;

/// Error of a request that received no response head.
#[derive(Debug, Error)]
pub enum SendError {
    /// No connection to the target could be established; the request was not sent.
    #[error("failed to connect to the target: {reason}")]
    NotConnected {
        /// The request, so that it can be sent on another connection.
        request: Box<Request<RequestBody>>,
        /// Description of the failure.
        reason: String,
    },
    /// The connection was closed before any byte of the request was sent.
    #[error("connection closed before the request was sent: {reason}")]
    NotSent {
        /// The request, so that it can be sent on another connection.
        request: Box<Request<RequestBody>>,
        /// Description of the failure.
        reason: String,
    },
    /// The target may have received the request.
    #[error("no response from the target: {reason}: {detail}")]
    NoResponse {
        /// What was received instead of a response head.
        reason: NoResponseReason,
        /// Description of the failure.
        detail: String,
        /// Whether the connection was probably closed while it was idle.
        lost_while_idle: bool,
    },
}

/// Why a sent request has no response head.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum NoResponseReason {
    /// The connection was closed or reset before the first byte of a response.
    NoBytes,
    /// The connection was closed or reset within the head.
    HeadCut,
    /// The bytes are no HTTP response head.
    HeadMalformed,
    /// The head is longer than allowed.
    HeadTooLong,
    /// More informational responses (1xx), or bytes in them, than allowed came instead of the final
    /// one.
    TooManyInformational,
}

impl NoResponseReason {
    fn of(error: &hyper::Error, received_bytes: u64) -> Self {
        if error.is_parse_too_large() {
            Self::HeadTooLong
        } else if error.is_parse() {
            Self::HeadMalformed
        } else if received_bytes >= HEAD_LIMIT_BYTES {
            Self::TooManyInformational
        } else if received_bytes > 0 {
            Self::HeadCut
        } else {
            Self::NoBytes
        }
    }
}

/// Which pooled connections a request may be sent on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionReuse {
    /// Any idle connection, or else a new one. For requests that can be sent again if the
    /// connection was lost.
    Any,
    /// A recently used idle connection, or else a new one. For requests that cannot be sent again.
    Recent,
    /// Only a new connection.
    New,
}

/// An idle connection.
struct IdleConnection {
    connection: Connection,
    idle_since: Instant,
}

impl IdleConnection {
    fn times(&self) -> IdleTimes {
        IdleTimes {
            opened_at: self.connection.opened_at().into_std(),
            idle_since: self.idle_since.into_std(),
        }
    }
}

/// Idle connections by the address of their target.
#[derive(Default)]
pub struct ConnectionPool {
    idle: Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>,
    idle_limit: Mutex<IdleLimit>,
    open_sockets: OpenSockets,
}

impl ConnectionPool {
    /// Sends a request and returns the response head. The connection returns to the pool only after
    /// the response has been read to its end.
    ///
    /// The pool cannot tell whether bytes that arrive after the request was sent are the response to it:
    /// this takes an id that the target returns. The id does not tell the responses to two attempts of
    /// one request apart, so a connection with an unsuccessful response to the request `id` is not used
    /// for it, see [`TargetBody::record_unsuccessful`].
    ///
    /// # Errors
    ///
    /// When no response head is received. The variant states whether the target may have
    /// received the request.
    pub async fn send(
        self: &Arc<Self>,
        address: SocketAddr,
        path: NetworkPath,
        reuse: ConnectionReuse,
        id: &str,
        request: Request<RequestBody>,
    ) -> Result<Response<TargetBody>, SendError> {
        let mut request = request;
        // The target may have closed an idle connection; the next one is tried as long as no byte
        // of the request was sent.
        while reuse != ConnectionReuse::New
            && let Some(idle) = self.take(address, reuse, id)
        {
            let IdleConnection { connection, idle_since } = idle;
            match self.send_on(address, connection, Some(idle_since), request).await {
                Err(SendError::NotSent { request: unsent, .. }) => request = *unsent,
                other => return other,
            }
        }
        match Connection::open(address, path, self.open_sockets.clone()).await {
            Ok(connection) => self.send_on(address, connection, None, request).await,
            Err(reason) => Err(SendError::NotConnected {
                request: Box::new(request),
                reason: reason.to_string(),
            }),
        }
    }

    async fn send_on(
        self: &Arc<Self>,
        address: SocketAddr,
        mut connection: Connection,
        idle_since: Option<Instant>,
        mut request: Request<RequestBody>,
    ) -> Result<Response<TargetBody>, SendError> {
        let sent_at = Instant::now();
        let received_earlier = connection.received_bytes();
        let informational = InformationalCount::attach(&mut request);
        let reads = connection.reads();
        let (unanswered, request) =
            UnansweredGuard::attach(self, address, idle_since, reads, request);
        let sent = tokio::select! {
            sent = connection.send(request) => sent,
            () = informational.exceeded() => {
                let detail = format!("more than {MAX_INFORMATIONAL_RESPONSES}");
                let reason = NoResponseReason::TooManyInformational;
                return Err(SendError::NoResponse { reason, detail, lost_while_idle: false });
            }
        };
        unanswered.disarm();
        match sent {
            Ok(response) => {
                Ok(response
                    .map(|body| TargetBody::new(body, Arc::clone(self), address, connection)))
            }
            Err(mut error) => match error.take_message() {
                Some(request) => Err(SendError::NotSent {
                    request: Box::new(request),
                    reason: error.error().to_string(),
                }),
                None => {
                    let error = error.into_error();
                    let received = connection.received_bytes() - received_earlier;
                    let reason = NoResponseReason::of(&error, received);
                    // A target that has sent a part of a head has received the request.
                    let lost_while_idle = reason == NoResponseReason::NoBytes
                        && idle_since.is_some_and(|since| self.record_close(since, sent_at));
                    let detail = error.to_string();
                    Err(SendError::NoResponse { reason, detail, lost_while_idle })
                }
            },
        }
    }

    fn record_close(&self, idle_since: Instant, sent_at: Instant) -> bool {
        let now = Instant::now();
        let (idle, after) = (sent_at - idle_since, now - sent_at);
        self.idle_limit.lock().record_close(idle, after, now.into_std())
    }

    /// Takes the latest idle connection of a target that is usable for a request.
    fn take(
        &self,
        address: SocketAddr,
        reuse: ConnectionReuse,
        id: &str,
    ) -> Option<IdleConnection> {
        let now = Instant::now();
        let limit = match reuse {
            ConnectionReuse::Recent => *self.idle_limit.lock(),
            ConnectionReuse::Any | ConnectionReuse::New => IdleLimit::default(),
        };
        let mut idle = self.idle.lock();
        let connections = idle.get_mut(&address)?;
        let request = RequestHash::of(id);
        let is_usable = |idle: &IdleConnection| !idle.connection.may_repeat_response_to(request);
        while let Some(position) = connections.iter().rposition(is_usable) {
            let candidate = connections.remove(position);
            match candidate.connection.idle_state() {
                IdleState::Empty if limit.allows(now - candidate.idle_since, now.into_std()) => {
                    return Some(candidate);
                }
                IdleState::Empty | IdleState::Closed => {}
                IdleState::SurplusBytes => {
                    log::warn!(target_address:% = address;
                        "target sent bytes without a request, closing the connection");
                }
            }
        }
        if connections.is_empty() {
            idle.remove(&address);
        }
        None
    }

    /// Closes the idle connections of a target that are probably as silent as the one on which a
    /// request was given up.
    fn close_silent(&self, address: SocketAddr, request: &UnansweredRequest) {
        let mut idle = self.idle.lock();
        let Some(connections) = idle.get_mut(&address) else { return };
        let times = connections.iter().map(IdleConnection::times);
        match silence::judge(request, times, Instant::now().into_std()) {
            SilenceVerdict::Keep => {}
            SilenceVerdict::CloseIdleSince(sent_at) => {
                let count = connections.len();
                connections.retain(|idle| idle.idle_since.into_std() >= sent_at);
                let closed = count - connections.len();
                drop(idle);
                log::info!(target_address:% = address, closed;
                    "no byte of a response on a reused connection, closed the idle ones of its time");
            }
        }
    }

    fn put(&self, address: SocketAddr, connection: Connection) {
        let mut idle = self.idle.lock();
        let connections = idle.entry(address).or_default();
        connections.retain(|idle| !idle.connection.is_closed());
        if connections.len() < MAX_IDLE_PER_TARGET && connection.is_reusable() {
            connections.push(IdleConnection { connection, idle_since: Instant::now() });
        }
    }
}
