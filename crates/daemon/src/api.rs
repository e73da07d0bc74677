//! What the targets' and the operators' APIs share.

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

/// Who may use an API.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApiKind {
    /// Announcing targets.
    Targets,
    /// Operators.
    Operators,
}

/// Serves an API until the daemon closes.
pub async fn serve(
    listener: TcpListener,
    endpoints: impl Endpoint<Output = Response> + 'static,
    daemon: Arc<Daemon>,
) {
    let acceptor = match TcpAcceptor::from_tokio(listener) {
        Ok(acceptor) => acceptor,
        Err(error) => {
            log::error!(error:% = error; "listener not usable");
            return;
        }
    };
    let server = Server::new_with_acceptor(acceptor);
    let closing = { async move { daemon.shutdown.closing().await } };
    if let Err(error) = server.run_with_graceful_shutdown(endpoints, closing, None).await {
        log::error!(error:% = error; "listener failed");
    }
}

/// Checks method and credential, reads the body and answers with what `act` makes of it.
pub async fn respond(
    daemon: &Arc<Daemon>,
    api: ApiKind,
    method: Method,
    mut request: Request,
    act: impl AsyncFnOnce(&Arc<Daemon>, &[u8]) -> Result<Response, Refusal>,
) -> poem::Result<Response> {
    let id = daemon.next_request_id();
    let result = match admit(daemon, api, &method, &request) {
        Err(refusal) => Err(refusal),
        Ok(()) => match request.take_body().into_bytes_limit(MAX_BODY_BYTES).await {
            Err(_) => Err(ResultCode::BodyTooLarge.into()),
            Ok(body) => act(daemon, &body).await,
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

/// Refuses a request for a path that the API does not have.
pub async fn unknown_path(
    daemon: Arc<Daemon>,
    api: ApiKind,
    request: Request,
) -> poem::Result<Response> {
    let method = request.method().clone();
    let refuse = async |_: &Arc<Daemon>, _: &[u8]| Err(ResultCode::UnknownPath.into());
    respond(&daemon, api, method, request, refuse).await
}

fn admit(daemon: &Daemon, api: ApiKind, method: &Method, request: &Request) -> Result<(), Refusal> {
    let token = match api {
        ApiKind::Targets => &daemon.loaded_settings.target_token,
        ApiKind::Operators => &daemon.loaded_settings.operator_token,
    };
    let shown = request.header(header::AUTHORIZATION).and_then(|v| v.strip_prefix("Bearer "));
    if !shown.is_some_and(|shown| token.matches(shown.as_bytes())) {
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
/// When the body is not valid JSON of the expected type; the refusal tells where.
pub fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, Refusal> {
    serde_json::from_slice(body)
        .map_err(|error| Refusal::with_detail(ResultCode::BadRequest, error.to_string()))
}

/// Returns a JSON response.
pub fn json(status: StatusCode, value: &impl Serialize) -> Response {
    let body = serde_json::to_vec(value).unwrap_or_default();
    Response::builder().status(status).content_type("application/json").body(body)
}
