//! Whose request it is, and whether the organisation's rate allows it now.

use std::sync::Arc;

use celerygate_steering::grants::{Admission, TokenNeed};
use celerygate_steering::headers;
use celerygate_steering::keys::{self, Identity, Presented};
use celerygate_types::{OrganisationId, ResultCode, ServiceId};
use hyper::header::AUTHORIZATION;
use hyper::{HeaderMap, Uri};
use tokio::time::sleep_until;

use super::{Exchange, values};
use crate::daemon::Daemon;
use crate::refusal::Refusal;
use crate::view::Caller;

/// Decides for which organisation a request runs.
pub fn identify(
    daemon: &Daemon,
    service: &ServiceId,
    uri: &Uri,
    headers: &HeaderMap,
) -> Result<Option<Caller>, Refusal> {
    let view = daemon.tables.view();
    let record = view.service(service).ok_or(ResultCode::UnknownService)?;
    let presented: Vec<&[u8]> = values(headers, AUTHORIZATION.as_str()).collect();
    if let Presented::Key(key) = keys::presented_key(presented.iter().copied())
        && headers::target_reveals_key(&uri.to_string(), key)
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
        // Checked after the key, so that strangers do not learn the daemon's state.
        Identity::Organisation { organisation, key } if daemon.is_fresh() => {
            Ok(Some(Caller { organisation, key }))
        }
        Identity::Organisation { .. } => Err(ResultCode::ConfigurationStale.into()),
    }
}

/// Checks the key of a request again just before the request is sent.
pub fn check_again(daemon: &Daemon, exchange: &Exchange) -> Result<(), Refusal> {
    let Some(caller) = &exchange.caller else { return Ok(()) };
    if !daemon.is_fresh() {
        return Err(ResultCode::ConfigurationStale.into());
    }
    if !daemon.tables.view().is_key_valid(caller, daemon.clock.unix_ms()) {
        return Err(ResultCode::KeyRefused.into());
    }
    Ok(())
}

/// Takes a rate token for a request, waiting for one if the owner may still grant it.
pub async fn admit(daemon: &Arc<Daemon>, exchange: &Exchange) -> Result<(), Refusal> {
    let Some(Caller { organisation, .. }) = &exchange.caller else { return Ok(()) };
    let ticket = match first_decision(daemon, exchange, organisation) {
        Decision::Admitted => return Ok(()),
        Decision::Refused(refusal) => return Err(refusal),
        Decision::Waiting(ticket) => ticket,
    };
    loop {
        // Registered before the check, so that a reply between check and wait is not missed.
        let granted = daemon.grants_changed.notified();
        let recheck_at = match decide_again(daemon, exchange, organisation, &ticket) {
            Admission::Admit => return Ok(()),
            Admission::Refuse { retry_after } => {
                let refusal = Refusal::from(ResultCode::RateExceeded);
                return Err(Refusal { retry_after: Some(retry_after), ..refusal });
            }
            Admission::WaitForTokens { recheck_at } => recheck_at,
        };
        tokio::select! {
            () = granted => {}
            () = sleep_until(recheck_at.into()) => {}
        }
    }
}

enum Decision {
    Admitted,
    Refused(Refusal),
    Waiting(Ticket),
}

/// The place of a request among those of its organisation that wait for tokens; dropping it gives
/// the place up.
struct Ticket {
    daemon: Arc<Daemon>,
    organisation: OrganisationId,
    number: u64,
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.daemon.tables.grants.lock().leave(&self.organisation, self.number);
    }
}

fn need(exchange: &Exchange, ahead: u64) -> TokenNeed {
    TokenNeed { arrived: exchange.received_at, deadline: exchange.ends_at(), ahead }
}

fn first_decision(
    daemon: &Arc<Daemon>,
    exchange: &Exchange,
    organisation: &OrganisationId,
) -> Decision {
    let mut grants = daemon.tables.grants.lock();
    let ahead = grants.waiting(organisation);
    let now = daemon.clock.now();
    match grants.holder.admit(organisation, &need(exchange, ahead), now) {
        Admission::Admit => Decision::Admitted,
        Admission::Refuse { retry_after } => Decision::Refused(Refusal {
            retry_after: Some(retry_after),
            ..Refusal::from(ResultCode::RateExceeded)
        }),
        Admission::WaitForTokens { .. } => {
            let number = grants.join(organisation);
            let (daemon, organisation) = (Arc::clone(daemon), organisation.clone());
            Decision::Waiting(Ticket { daemon, organisation, number })
        }
    }
}

fn decide_again(
    daemon: &Daemon,
    exchange: &Exchange,
    organisation: &OrganisationId,
    ticket: &Ticket,
) -> Admission {
    let mut grants = daemon.tables.grants.lock();
    let ahead = grants.ahead(organisation, ticket.number);
    grants.holder.recheck(organisation, &need(exchange, ahead), daemon.clock.now())
}
