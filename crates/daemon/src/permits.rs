//! Slot permits: admitting requests with a token and a permit, in the order of the queue.

mod owners;
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
pub use retry::acquire_for_retry;

use crate::daemon::Daemon;
use crate::refusal::Refusal;
use crate::tables::{Permits, SlotGrant, Waiter};
use crate::view::View;

/// Queue in which requests on open routes wait together.
const OPEN_ROUTES: &str = "_open";

/// A request that needs a token, unless its route is open, and a slot.
pub struct AdmissionRequest<'a> {
    /// Service that is asked for.
    pub service: &'a ServiceId,
    /// Organisation that pays for it; none on open routes.
    pub organisation: Option<&'a OrganisationId>,
    /// When it arrived.
    pub arrived: Instant,
    /// When its caller gives up.
    pub deadline: Instant,
}

/// Waits until a request has a token and a permit.
///
/// # Errors
///
/// When the request is refused, because it is over the rate, the queue is full or the wait does not
/// fit its deadline.
pub async fn admit(
    daemon: &Arc<Daemon>,
    admittee: &AdmissionRequest<'_>,
) -> Result<SlotGrant, Refusal> {
    let (ticket, start) = match arrive(daemon, admittee)? {
        Arrived::Started(grant) => return Ok(grant),
        Arrived::Waiting(ticket, start) => (ticket, start),
    };
    // Registered as waiting until it is started or refused; dropped when the caller goes.
    let mut place =
        Place { daemon: Arc::clone(daemon), service: admittee.service.clone(), ticket, start };
    send_slot_requests(daemon);
    dispatch(daemon);
    let result = (&mut place.start).await;
    result.unwrap_or_else(|_| Err(ResultCode::Internal.into()))
}

enum Arrived {
    Started(SlotGrant),
    Waiting(Ticket, oneshot::Receiver<Result<SlotGrant, Refusal>>),
}

/// The place of a waiting request in the queue.
struct Place {
    daemon: Arc<Daemon>,
    service: ServiceId,
    ticket: Ticket,
    start: oneshot::Receiver<Result<SlotGrant, Refusal>>,
}

impl Drop for Place {
    fn drop(&mut self) {
        self.daemon.tables.permits.lock().cancel(self.ticket);
        // A permit that was handed over after the caller left goes back.
        if let Ok(Ok(grant)) = self.start.try_recv() {
            release(&self.daemon, &self.service, &grant.selected, None);
        }
    }
}

fn arrive(daemon: &Arc<Daemon>, admittee: &AdmissionRequest<'_>) -> Result<Arrived, Refusal> {
    let view = daemon.tables.view();
    let now = daemon.clock.now();
    let open: OrganisationId =
        OPEN_ROUTES.parse().map_err(|_| Refusal::from(ResultCode::Internal))?;
    let queue_of = admittee.organisation.unwrap_or(&open);
    let targets = daemon.tables.targets.lock();
    let mut permits = daemon.tables.permits.lock();
    let has_token = match admittee.organisation {
        None => true,
        Some(organisation) => take_token(daemon, &permits, organisation, admittee, now)?,
    };
    let known = targets.of_service(admittee.service);
    let selected = match select_target(daemon, &view, &permits, admittee.service, known, &[], now) {
        Choice::Use(selected) => Some(selected),
        Choice::Wait => None,
        Choice::NoTarget => return Err(ResultCode::NoCapacity.into()),
    };
    let work = permits.expected_work(admittee.service);
    let arrival = Arrival {
        organisation: queue_of,
        weight: view.organisation(queue_of).map_or(1, |organisation| organisation.weight),
        service: admittee.service,
        work,
        deadline: admittee.deadline,
        has_token,
    };
    let capacity = permits.capacity(admittee.service, known, selected.is_some());
    match (permits.queue.submit(&arrival, &capacity, now), selected) {
        (QueueDecision::Start, Some(selected)) => {
            take(&mut permits, admittee.service, &selected, now);
            Ok(Arrived::Started(SlotGrant { selected, work }))
        }
        (QueueDecision::Start, None) => Err(ResultCode::Internal.into()),
        (QueueDecision::Wait { ticket, displaced }, _) => {
            if let Some(displaced) = displaced.and_then(|ticket| permits.take_waiter(ticket)) {
                let _ = displaced.result.send(Err(ResultCode::QueueFull.into()));
            }
            let (sender, receiver) = oneshot::channel();
            let service = admittee.service.clone();
            permits.add_waiter(ticket, Waiter { service, result: sender });
            Ok(Arrived::Waiting(ticket, receiver))
        }
        (QueueDecision::Refuse(code), _) => Err(code.into()),
    }
}

/// Takes a token for a request that has just arrived; false when it has to wait for one.
fn take_token(
    daemon: &Daemon,
    permits: &Permits,
    organisation: &OrganisationId,
    admittee: &AdmissionRequest<'_>,
    now: Instant,
) -> Result<bool, Refusal> {
    let ahead = permits.queue.waiting_for_tokens(organisation);
    let need = TokenRequest { arrived: admittee.arrived, deadline: admittee.deadline, ahead };
    let mut grants = daemon.tables.grants.lock();
    match grants.admit(organisation, &need, now) {
        Admission::Admit => Ok(true),
        Admission::WaitForTokens { .. } => Ok(false),
        Admission::Refuse { retry_after } => Err(over_rate(retry_after)),
    }
}

fn over_rate(retry_after: Duration) -> Refusal {
    Refusal { retry_after: Some(retry_after), ..Refusal::from(ResultCode::RateExceeded) }
}

/// Chooses a target with a free permit, passing over those tried before.
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
        let allowed = !tried.contains(&target.target) && is_allowed(daemon, view, service, target);
        allowed.then(|| {
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

/// Returns whether a target may get new work from this VM as far as the configuration says.
fn is_allowed(daemon: &Daemon, view: &View, service: &ServiceId, target: &Target) -> bool {
    let region_drained = view.is_region_drained(&target.region);
    !view.is_target_drained(service, &target.target)
        && (!region_drained || target.region == daemon.location.region)
}

/// Returns the targets of a service that may get new work, the nearest first.
fn usable<'a>(
    daemon: &Daemon,
    view: &View,
    targets: &'a TargetTable,
    service: &ServiceId,
    now: Instant,
) -> impl Iterator<Item = &'a Target> {
    let mut usable: Vec<&Target> = targets
        .of_service(service)
        .iter()
        .filter(|target| target.is_usable(now) && is_allowed(daemon, view, service, target))
        .collect();
    usable.sort_by_key(|target| (distance(&daemon.location, target), rand::random::<u32>()));
    usable.into_iter()
}

/// Takes a permit for a picked target.
pub fn take(
    permits: &mut Permits,
    service: &ServiceId,
    selected: &SelectedTarget,
    now: Instant,
) -> bool {
    permits.take(&selected.region, &(service.clone(), selected.target.clone()), now)
}

/// Gives a permit back and starts waiting requests.
///
/// `actual` is the slot time that the request took, none when it was not sent.
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

/// Starts waiting requests for which there are tokens and permits, and refuses those whose
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
            let recheck = |need: &TokenRequest| grants.recheck(id, need, now);
            refused.extend(permits.queue.recheck_tokens(id, recheck));
        }
    }
    for (ticket, retry_after) in refused {
        if let Some(waiter) = permits.take_waiter(ticket) {
            let _ = waiter.result.send(Err(over_rate(retry_after)));
        }
    }
}

/// Starts the next waiting request; false when none can start.
fn start_next(
    daemon: &Daemon,
    view: &View,
    targets: &TargetTable,
    permits: &mut Permits,
    now: Instant,
) -> bool {
    let mut picks: HashMap<ServiceId, SelectedTarget> = HashMap::new();
    let mut queue = std::mem::take(&mut permits.queue);
    let started = queue.dequeue(|service| {
        let known = targets.of_service(service);
        match select_target(daemon, view, permits, service, known, &[], now) {
            Choice::Use(selected) => picks.insert(service.clone(), selected).is_none(),
            Choice::Wait | Choice::NoTarget => false,
        }
    });
    permits.queue = queue;
    let Some(started) = started else { return false };
    let Some(waiter) = permits.take_waiter(started.ticket) else { return true };
    let Some(selected) = picks.remove(&waiter.service) else { return true };
    take(permits, &waiter.service, &selected, now);
    let key = (waiter.service.clone(), selected.target.clone());
    let region = selected.region.clone();
    if waiter.result.send(Ok(SlotGrant { selected, work: started.work })).is_err() {
        permits.release(&region, &key, None, now);
    }
    true
}
