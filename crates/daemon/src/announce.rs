//! API for targets: announcing, renewing and leaving.

use std::sync::Arc;

use celerygate_steering::targets::{LEASE, RENEWAL_INTERVAL, RecordUpdate};
use celerygate_types::ResultCode;
use celerygate_types::wire::{Announcement, AnnouncementAnswer, Departure};
use poem::http::{Method, StatusCode};
use poem::{Endpoint, EndpointExt, Request, Response, Route, endpoint};

use crate::api;
use crate::daemon::Daemon;
use crate::permits;
use crate::refusal::Refusal;

/// Returns the endpoints of the API for targets.
pub fn endpoints(daemon: Arc<Daemon>) -> impl Endpoint<Output = Response> + 'static {
    let (for_announce, for_leave, for_unknown) = (Arc::clone(&daemon), Arc::clone(&daemon), daemon);
    let unknown =
        move |request| api::unknown_path(Arc::clone(&for_unknown), api::ApiKind::Targets, request);
    Route::new()
        .at(
            "/v1/announce",
            endpoint::make(move |request| announce(Arc::clone(&for_announce), request)),
        )
        .at("/v1/leave", endpoint::make(move |request| leave(Arc::clone(&for_leave), request)))
        .at("/*path", endpoint::make(unknown))
        .map_to_response()
}

async fn announce(daemon: Arc<Daemon>, request: Request) -> poem::Result<Response> {
    api::respond(&daemon, api::ApiKind::Targets, Method::POST, request, async |daemon, body| {
        let announcement: Announcement = api::parse(body)?;
        validate(daemon, &announcement)?;
        let update = daemon.tables.targets.lock().announce(&announcement, daemon.clock.now());
        handle_update(daemon, update, &announcement)?;
        let answer = AnnouncementAnswer {
            lease_ms: LEASE.as_millis() as u64,
            renew_after_ms: RENEWAL_INTERVAL.as_millis() as u64,
        };
        Ok(api::json(StatusCode::OK, &answer))
    })
    .await
}

fn validate(daemon: &Daemon, announcement: &Announcement) -> Result<(), Refusal> {
    let view = daemon.tables.view();
    if view.service(&announcement.service).is_none() {
        return Err(ResultCode::UnknownService.into());
    }
    let invalid = |detail| Err(Refusal::with_detail(ResultCode::BadRequest, detail));
    if announcement.address.parse::<std::net::SocketAddr>().is_err() {
        return invalid("address: expected an IP address and a port.");
    }
    if announcement.slots.get() == 0 || announcement.connections == 0 {
        return invalid("slots, connections: expected at least 1.");
    }
    if !view.configuration.regions.contains(&announcement.region) {
        return invalid("region: not a region of the deployment.");
    }
    Ok(())
}

fn handle_update(
    daemon: &Arc<Daemon>,
    update: RecordUpdate,
    announcement: &Announcement,
) -> Result<(), Refusal> {
    match update {
        RecordUpdate::New => {
            log::info!(
                service:% = announcement.service, target:% = announcement.target,
                address = announcement.address.as_str(), slots:% = announcement.slots,
                incarnation:% = announcement.incarnation;
                "target announced"
            );
            permits::tick(daemon);
            Ok(())
        }
        RecordUpdate::Renewed | RecordUpdate::Unchanged => Ok(()),
        RecordUpdate::Refused(code) => Err(code.into()),
    }
}

async fn leave(daemon: Arc<Daemon>, request: Request) -> poem::Result<Response> {
    api::respond(&daemon, api::ApiKind::Targets, Method::POST, request, async |daemon, body| {
        let departure: Departure = api::parse(body)?;
        let update = daemon.tables.targets.lock().depart(&departure, daemon.clock.now());
        if let RecordUpdate::Refused(code) = update {
            return Err(code.into());
        }
        log::info!(service:% = departure.service, target:% = departure.target; "target leaving");
        // Sent at once, so that the other VMs stop sending requests to the target before the next
        // regular heartbeat.
        daemon.send_heartbeats();
        Ok(Response::builder().status(StatusCode::NO_CONTENT).finish())
    })
    .await
}
