//! Identification of the organisation that sent a request.

use celerygate_steering::headers;
use celerygate_steering::keys::{self, Identity, PresentedKey};
use celerygate_types::{ResultCode, ServiceId};
use hyper::header::AUTHORIZATION;
use hyper::{HeaderMap, Uri};

use super::{Exchange, header_values};
use crate::daemon::Daemon;
use crate::refusal::Refusal;
use crate::view::Caller;

/// Identifies the organisation that a request belongs to, `None` on open routes.
pub fn identify(
    daemon: &Daemon,
    service: &ServiceId,
    uri: &Uri,
    headers: &HeaderMap,
) -> Result<Option<Caller>, Refusal> {
    let view = daemon.tables.view();
    let record = view.service(service).ok_or(ResultCode::UnknownService)?;
    let presented: Vec<&[u8]> = header_values(headers, AUTHORIZATION.as_str()).collect();
    if let PresentedKey::Key(key) = keys::presented_key(presented.iter().copied())
        && headers::path_contains_key(&uri.to_string(), key)
    {
        let detail = "The key must not appear in the path or query.";
        return Err(Refusal::with_detail(ResultCode::BadRequest, detail));
    }
    let now_unix_ms = daemon.clock.unix_ms();
    let identity =
        keys::identify(&view.keys, presented, uri.path(), &record.open_prefixes, now_unix_ms);
    match identity {
        Identity::Open => Ok(None),
        Identity::Refused(code) => Err(code.into()),
        // Checked after the key, so that unauthenticated callers do not learn the daemon's state.
        Identity::Organisation { organisation, key } if daemon.is_fresh() => {
            Ok(Some(Caller { organisation, key }))
        }
        Identity::Organisation { .. } => Err(ResultCode::ConfigurationStale.into()),
    }
}

/// Checks the key of a request again immediately before the request is sent.
pub fn recheck(daemon: &Daemon, exchange: &Exchange) -> Result<(), Refusal> {
    let Some(caller) = &exchange.caller else { return Ok(()) };
    if !daemon.is_fresh() {
        return Err(ResultCode::ConfigurationStale.into());
    }
    if !daemon.tables.view().is_key_valid(caller, daemon.clock.unix_ms()) {
        return Err(ResultCode::KeyRefused.into());
    }
    Ok(())
}
