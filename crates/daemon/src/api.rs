//! Shared code of the targets' and the operators' HTTP APIs.

use std::sync::Arc;

use celerygate_types::ResultCode;
use poem::http::{Method, StatusCode, header};
use poem::listener::TcpAcceptor;
use poem::{Endpoint, Request, Response, Server};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpListener;

use crate::daemon::Daemon;
use crate::forward::REQUEST_ID_HEADER;
use crate::refusal::Refusal;

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

/// Serves an API until the daemon enters its closing phase.
pub async fn serve(
    listener: TcpListener,
    endpoints: impl Endpoint<Output = Response> + 'static,
    daemon: Arc<Daemon>,
) {
    let acceptor = match TcpAcceptor::from_tokio(listener) {
        Ok(acceptor) => acceptor,
        Err(error) => {
            log::error!(error:% = error; "failed to use the listener");
            return;
        }
    };
    let server = Server::new_with_acceptor(acceptor);
    let closing = { async move { daemon.shutdown.wait_until_closing().await } };
    if let Err(error) = server.run_with_graceful_shutdown(endpoints, closing, None).await {
        log::error!(error:% = error; "listener failed");
    }
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
        Ok(()) => match request.take_body().into_bytes_limit(MAX_BODY_BYTES).await {
            Err(_) => Err(ResultCode::BodyTooLarge.into()),
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
