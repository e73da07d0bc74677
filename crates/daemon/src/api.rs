//! Shared code of the targets' and the operators' HTTP APIs.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use celerygate_types::ResultCode;
use http_body_util::BodyExt;
use poem::http::uri::Scheme;
use poem::http::{Method, StatusCode, header};
use poem::web::{LocalAddr, RemoteAddr};
use poem::{Endpoint, Request, Response};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

use crate::body::BodyError;
use crate::daemon::Daemon;
use crate::forward::REQUEST_ID_HEADER;
use crate::http_connection::{self, Peer};
use crate::listener;
use crate::refusal::Refusal;

/// Maximum number of concurrent connections of one API; more than the targets and operators of the
/// largest deployment.
const MAX_CONNECTIONS: usize = 8_192;
/// Timeout for receiving a body of up to [`MAX_BODY_BYTES`].
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Largest body of a request to these APIs.
const MAX_BODY_BYTES: usize = 64 * 1_024;

/// The APIs, by who may use them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApiKind {
    /// API of targets that announce themselves.
    Targets,
    /// API of operators.
    Operators,
}

/// Serves an API until the daemon enters its closing phase, then finishes the requests in progress.
pub async fn serve(
    listener: TcpListener,
    endpoints: impl Endpoint<Output = Response> + 'static,
    daemon: Arc<Daemon>,
) {
    let endpoints = Arc::new(endpoints);
    let local_address = match listener.local_addr() {
        Ok(address) => LocalAddr(address.into()),
        Err(error) => {
            log::error!(error:% = error; "failed to use the listener");
            return;
        }
    };
    let handle = |stream: TcpStream, address: SocketAddr| {
        let (daemon, endpoints) = (Arc::clone(&daemon), Arc::clone(&endpoints));
        let local_address = local_address.clone();
        async move {
            let peer = Peer { id: daemon.next_request_id(), address };
            let respond = move |request| {
                let endpoints = Arc::clone(&endpoints);
                let addresses = (local_address.clone(), RemoteAddr(address.into()));
                async move {
                    let request = (request, addresses.0, addresses.1, Scheme::HTTP).into();
                    let response = endpoints.get_response(request).await;
                    hyper::Response::from(response)
                        .map(|body| body.map_err(BodyError::from).boxed_unsync())
                }
            };
            http_connection::serve(stream, peer, &daemon.shutdown, respond).await;
        }
    };
    listener::serve(listener, MAX_CONNECTIONS, &daemon.shutdown, handle).await;
    daemon.shutdown.connections.wait_until_closed().await;
}

/// Checks credential and method, reads the body and passes it to the handler. Refusals become JSON
/// responses.
pub async fn respond(
    daemon: &Arc<Daemon>,
    api: ApiKind,
    method: Method,
    mut request: Request,
    handler: impl AsyncFnOnce(&Arc<Daemon>, &[u8]) -> Result<Response, Refusal>,
) -> poem::Result<Response> {
    let id = daemon.next_request_id();
    let result = match authorise(daemon, api, &method, &request) {
        Err(refusal) => Err(refusal),
        Ok(()) => match read_body(&mut request).await {
            Err(refusal) => Err(refusal),
            Ok(body) => handler(daemon, &body).await,
        },
    };
    let mut response = result.unwrap_or_else(|refusal| {
        log::info!(
            request:% = id, path = request.uri().path(), code = refusal.code.number(),
            reason:% = refusal.code; "request refused"
        );
        let status = StatusCode::from_u16(refusal.code.http_status())
            .unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        json(status, &refusal.body(&id))
    });
    if let Ok(value) = id.as_str().parse() {
        response.headers_mut().insert(REQUEST_ID_HEADER, value);
    }
    Ok(response)
}

async fn read_body(request: &mut Request) -> Result<Vec<u8>, Refusal> {
    let body = request.take_body().into_bytes_limit(MAX_BODY_BYTES);
    match timeout(BODY_TIMEOUT, body).await {
        Ok(Ok(body)) => Ok(body.into()),
        Ok(Err(_)) => Err(ResultCode::BodyTooLarge.into()),
        Err(_) => {
            let detail = format!("The body was incomplete after {} s.", BODY_TIMEOUT.as_secs());
            Err(Refusal::with_detail(ResultCode::BadRequest, detail))
        }
    }
}

/// Refuses a request for an unknown path.
pub async fn unknown_path(
    daemon: Arc<Daemon>,
    api: ApiKind,
    request: Request,
) -> poem::Result<Response> {
    let method = request.method().clone();
    let refuse = async |_: &Arc<Daemon>, _: &[u8]| Err(ResultCode::UnknownPath.into());
    respond(&daemon, api, method, request, refuse).await
}

fn authorise(
    daemon: &Daemon,
    api: ApiKind,
    method: &Method,
    request: &Request,
) -> Result<(), Refusal> {
    let token = match api {
        ApiKind::Targets => &daemon.loaded_settings.target_token,
        ApiKind::Operators => &daemon.loaded_settings.operator_token,
    };
    let presented = request.header(header::AUTHORIZATION).and_then(|v| v.strip_prefix("Bearer "));
    if !presented.is_some_and(|presented| token.matches(presented.as_bytes())) {
        return Err(ResultCode::CredentialRefused.into());
    }
    if request.method() != method {
        return Err(ResultCode::MethodNotAllowed.into());
    }
    Ok(())
}

/// Parses a request body.
///
/// # Errors
///
/// When the body is not valid JSON of the expected type; the refusal contains the position.
pub fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, Refusal> {
    serde_json::from_slice(body)
        .map_err(|error| Refusal::with_detail(ResultCode::BadRequest, error.to_string()))
}

/// Returns a JSON response.
pub fn json(status: StatusCode, value: &impl Serialize) -> Response {
    let body = serde_json::to_vec(value).unwrap_or_default();
    Response::builder().status(status).content_type("application/json").body(body)
}
