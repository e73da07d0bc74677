//! Admission of requests, which need a rate token and a slot permit, in the order of the wait
//! queue.

mod owners;
mod paused;
mod retry;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use celerygate_steering::grants::{Admission, TokenRequest};
use celerygate_steering::queue::{Arrival, QueueDecision, Ticket};
use celerygate_steering::targets::{
    Choice, SelectedTarget, Target, TargetTable, TargetUsage, choose, distance,
};
use celerygate_types::{OrganisationId, ResultCode, ServiceId, SlotCount, TargetId};
use tokio::sync::oneshot;

pub use owners::{handle_reply, handle_request, send_slot_requests, tick};
use paused::no_target;
pub use paused::refuse_waiting;
pub use retry::acquire_for_retry;

use crate::daemon::Daemon;
use crate::refusal::Refusal;
use crate::tables::{Permits, SlotGrant, Waiter};
use crate::view::View;

/// Organisation id of the queue that all requests on open routes share.
const OPEN_ROUTES_QUEUE: &str = "_open";

/// A request to be admitted. It needs a slot, and a token unless its route is open.
pub struct AdmissionRequest<'a> {
    /// Service that the request is for.
    pub service: &'a ServiceId,
    /// Organisation whose rate the request counts against, `None` on open routes.
    pub organisation: Option<&'a OrganisationId>,
    /// Time at which the request arrived.
    pub arrived: Instant,
    /// Time by which the request must be finished.
    pub deadline: Instant,
}

/// Waits until a request has a token and a permit.
///
/// # Errors
///
/// When the request is refused: the organisation exceeds its rate, the queue is full, no target
/// is available, or the expected wait exceeds the deadline.
pub async fn admit(
    daemon: &Arc<Daemon>,
    request: &AdmissionRequest<'_>,
) -> Result<SlotGrant, Refusal> {
    let (ticket, result) = match submit(daemon, request)? {
        Submission::Started(grant) => return Ok(grant),
        Submission::Waiting(ticket, result) => (ticket, result),
    };
    // Removes the request from the queue when it is dropped, which also happens when the caller
    // disconnects.
    let mut entry =
        QueueEntry { daemon: Arc::clone(daemon), service: request.service.clone(), ticket, result };
    send_slot_requests(daemon);
    dispatch(daemon);
    let result = (&mut entry.result).await;
    result.unwrap_or_else(|_| Err(ResultCode::Internal.into()))
}

enum Submission {
    Started(SlotGrant),
    Waiting(Ticket, oneshot::Receiver<Result<SlotGrant, Refusal>>),
}

/// The entry of a waiting request in the queue.
struct QueueEntry {
    daemon: Arc<Daemon>,
    service: ServiceId,
    ticket: Ticket,
    result: oneshot::Receiver<Result<SlotGrant, Refusal>>,
}

impl Drop for QueueEntry {
    fn drop(&mut self) {
        self.daemon.tables.permits.lock().cancel(self.ticket);
        // The permit may have been granted after the caller disconnected.
        if let Ok(Ok(grant)) = self.result.try_recv() {
            release(&self.daemon, &self.service, &grant.selected, None);
        }
    }
}

fn submit(daemon: &Arc<Daemon>, request: &AdmissionRequest<'_>) -> Result<Submission, Refusal> {
    let view = daemon.tables.view();
    let now = daemon.clock.now();
    let open_routes_queue: OrganisationId =
        OPEN_ROUTES_QUEUE.parse().map_err(|_| Refusal::from(ResultCode::Internal))?;
    let queue_organisation = request.organisation.unwrap_or(&open_routes_queue);
    let targets = daemon.tables.targets.lock();
    let mut permits = daemon.tables.permits.lock();
    let has_token = match request.organisation {
        None => true,
        Some(organisation) => take_token(daemon, &permits, organisation, request, now)?,
    };
    let service_targets = targets.of_service(request.service);
    let selected =
        match select_target(daemon, &view, &permits, request.service, service_targets, &[], now) {
            Choice::Use(selected) => Some(selected),
            Choice::Wait => None,
            Choice::NoTarget => {
                return Err(no_target(daemon, &view, &targets, &permits, request.service, now));
            }
        };
    let work = permits.expected_work(request.service);
    let arrival = Arrival {
        organisation: queue_organisation,
        weight: view.organisation(queue_organisation).map_or(1, |organisation| organisation.weight),
        service: request.service,
        work,
        deadline: request.deadline,
        has_token,
    };
    let capacity = permits.capacity(request.service, service_targets, selected.is_some());
    match (permits.queue.submit(&arrival, &capacity, now), selected) {
        (QueueDecision::Start, Some(selected)) => {
            take_permit(&mut permits, request.service, &selected, now);
            Ok(Submission::Started(SlotGrant { selected, work }))
        }
        (QueueDecision::Start, None) => Err(ResultCode::Internal.into()),
        (QueueDecision::Wait { ticket, displaced }, _) => {
            if let Some(displaced) = displaced.and_then(|ticket| permits.take_waiter(ticket)) {
                let _ = displaced.result.send(Err(ResultCode::QueueFull.into()));
            }
            let (sender, receiver) = oneshot::channel();
            let service = request.service.clone();
            permits.add_waiter(ticket, Waiter { service, result: sender });
            Ok(Submission::Waiting(ticket, receiver))
        }
        (QueueDecision::Refuse(code), _) => Err(code.into()),
    }
}

/// Takes a token for a request that has just arrived. Returns false if the request must wait for a
/// token.
fn take_token(
    daemon: &Daemon,
    permits: &Permits,
    organisation: &OrganisationId,
    request: &AdmissionRequest<'_>,
    now: Instant,
) -> Result<bool, Refusal> {
    let ahead = permits.queue.waiting_for_tokens(organisation);
    let token_request =
        TokenRequest { arrived: request.arrived, deadline: request.deadline, ahead };
    let mut grants = daemon.tables.grants.lock();
    match grants.admit(organisation, &token_request, now) {
        Admission::Admit => Ok(true),
        Admission::WaitForTokens { .. } => Ok(false),
        Admission::Refuse { retry_after } => Err(rate_exceeded(retry_after)),
    }
}

fn rate_exceeded(retry_after: Duration) -> Refusal {
    Refusal { retry_after: Some(retry_after), ..Refusal::from(ResultCode::RateExceeded) }
}

/// Selects a target with a free permit, except targets that were tried before.
pub fn select_target(
    daemon: &Daemon,
    view: &View,
    permits: &Permits,
    service: &ServiceId,
    targets: &[Target],
    tried: &[TargetId],
    now: Instant,
) -> Choice {
    let usage = |target: &Target| {
        let is_eligible =
            !tried.contains(&target.target) && is_allowed(daemon, view, service, target);
        is_eligible.then(|| {
            let slots = permits.slot_usage(service, target);
            let free = if permits.has_free(service, target, now) {
                slots.held.saturating_sub(slots.running)
            } else {
                SlotCount::ZERO
            };
            TargetUsage { running: slots.running, free, connections: slots.running.get() }
        })
    };
    choose(targets, &daemon.location, usage, rand::random(), now)
}

/// Returns whether the configuration allows this VM to send new requests to a target: neither the
/// target nor its region is drained. A drained region still serves requests of its own VMs.
fn is_allowed(daemon: &Daemon, view: &View, service: &ServiceId, target: &Target) -> bool {
    let region_drained = view.is_region_drained(&target.region);
    !view.is_target_drained(service, &target.target)
        && (!region_drained || target.region == daemon.location.region)
}

/// Returns the targets of a service that can take new requests, nearest first.
fn usable_targets<'a>(
    daemon: &Daemon,
    view: &View,
    targets: &'a TargetTable,
    service: &ServiceId,
    now: Instant,
) -> impl Iterator<Item = &'a Target> {
    let mut usable: Vec<&Target> = targets
        .of_service(service)
        .iter()
        .filter(|target| target.accepts_requests(now) && is_allowed(daemon, view, service, target))
        .collect();
    usable.sort_by_key(|target| (distance(&daemon.location, target), rand::random::<u32>()));
    usable.into_iter()
}

/// Takes a permit for a selected target.
pub fn take_permit(
    permits: &mut Permits,
    service: &ServiceId,
    selected: &SelectedTarget,
    now: Instant,
) -> bool {
    permits.take(&selected.region, &(service.clone(), selected.target.clone()), now)
}

/// Releases a permit and starts waiting requests.
///
/// `actual` is the slot time that the request used, `None` if the request was not sent.
pub fn release(
    daemon: &Arc<Daemon>,
    service: &ServiceId,
    selected: &SelectedTarget,
    actual: Option<Duration>,
) {
    let now = daemon.clock.now();
    let key = (service.clone(), selected.target.clone());
    daemon.tables.permits.lock().release(&selected.region, &key, actual, now);
    dispatch(daemon);
}

/// Starts the waiting requests for which tokens and permits are available, and refuses those whose
/// deadline has passed.
pub fn dispatch(daemon: &Arc<Daemon>) {
    let view = daemon.tables.view();
    let now = daemon.clock.now();
    let targets = daemon.tables.targets.lock();
    let mut permits = daemon.tables.permits.lock();
    for ticket in permits.queue.expire(now) {
        if let Some(waiter) = permits.take_waiter(ticket) {
            let _ = waiter.result.send(Err(ResultCode::DeadlinePassedWaiting.into()));
        }
    }
    recheck_tokens(daemon, &view, &mut permits, now);
    while start_next(daemon, &view, &targets, &mut permits, now) {}
}

fn recheck_tokens(daemon: &Daemon, view: &View, permits: &mut Permits, now: Instant) {
    if permits.queue.is_empty() {
        return;
    }
    let mut refused = Vec::new();
    {
        let mut grants = daemon.tables.grants.lock();
        for organisation in &view.configuration.organisations {
            let id = &organisation.organisation;
            let recheck = |request: &TokenRequest| grants.recheck(id, request, now);
            refused.extend(permits.queue.recheck_tokens(id, recheck));
        }
    }
    for (ticket, retry_after) in refused {
        if let Some(waiter) = permits.take_waiter(ticket) {
            let _ = waiter.result.send(Err(rate_exceeded(retry_after)));
        }
    }
}

/// Starts the next waiting request. Returns false if none can start.
fn start_next(
    daemon: &Daemon,
    view: &View,
    targets: &TargetTable,
    permits: &mut Permits,
    now: Instant,
) -> bool {
    let mut selected_targets: HashMap<ServiceId, SelectedTarget> = HashMap::new();
    let mut queue = std::mem::take(&mut permits.queue);
    let started = queue.dequeue(|service| {
        let service_targets = targets.of_service(service);
        match select_target(daemon, view, permits, service, service_targets, &[], now) {
            Choice::Use(selected) => selected_targets.insert(service.clone(), selected).is_none(),
            Choice::Wait | Choice::NoTarget => false,
        }
    });
    permits.queue = queue;
    let Some(started) = started else { return false };
    let Some(waiter) = permits.take_waiter(started.ticket) else { return true };
    let Some(selected) = selected_targets.remove(&waiter.service) else { return true };
    take_permit(permits, &waiter.service, &selected, now);
    let key = (waiter.service.clone(), selected.target.clone());
    let region = selected.region.clone();
    if waiter.result.send(Ok(SlotGrant { selected, work: started.work })).is_err() {
        permits.release(&region, &key, None, now);
    }
    true
}
