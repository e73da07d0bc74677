//! Slot permits that this VM holds, the regions whose permits it leases out, and waiting requests.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use celerygate_steering::queue::{Capacity, Ticket, WaitQueue};
use celerygate_steering::slots::{SlotHolder, SlotMessage, SlotOwner, SlotTarget, SlotUsage};
use celerygate_steering::targets::{SelectedTarget, Target, TargetTable};
use celerygate_types::wire::{SlotOwnership, SlotReply, SlotRequest};
use celerygate_types::{RegionId, RequestCount, ServiceId, SlotCount, VmId};
use tokio::sync::{Notify, oneshot};

use crate::refusal::Refusal;

/// Expected slot time of a request before any request of its service has ended.
const INITIAL_WORK: Duration = Duration::from_millis(50);
/// Weight of the latest request in the moving average of its service's slot time.
const WORK_SMOOTHING: f64 = 0.1;

/// The permit of a started request, with the slot time that it was charged.
#[derive(Debug)]
pub struct SlotGrant {
    /// The target; the request holds a permit for it.
    pub selected: SelectedTarget,
    /// Expected slot time.
    pub work: Duration,
}

/// A waiting request.
pub struct Waiter {
    /// Requested service.
    pub service: ServiceId,
    /// Sends the permit or the refusal to the request.
    pub result: oneshot::Sender<Result<SlotGrant, Refusal>>,
}

/// A region whose permits this VM leases out.
struct OwnedRegion {
    region: RegionId,
    owner: SlotOwner,
}

/// Slot permits and waiting requests.
#[derive(Default)]
pub struct Permits {
    /// Permits that this VM holds, by region.
    holders: HashMap<RegionId, SlotHolder>,
    owned_regions: Vec<OwnedRegion>,
    /// Order of the waiting requests.
    pub queue: WaitQueue,
    waiters: HashMap<Ticket, Waiter>,
    /// Permits requested for retries, one entry for each request and target.
    retry_demand: Vec<(RegionId, SlotTarget)>,
    /// Notifies waiting retries when an owner has granted permits.
    pub permits_arrived: Arc<Notify>,
    /// Moving average of the slot time of each service's requests.
    work: HashMap<ServiceId, Duration>,
}

impl Permits {
    /// Updates the owner of each region's permits.
    pub fn set_owners<'a>(
        &mut self,
        own: &VmId,
        owners: &[SlotOwnership],
        vms: impl Iterator<Item = &'a VmId> + Clone,
        fresh_until: Instant,
        now: Instant,
    ) {
        for ownership in owners {
            let holder = self
                .holders
                .entry(ownership.region.clone())
                .or_insert_with(|| SlotHolder::new(ownership.epoch));
            holder.set_epoch(ownership.epoch);
        }
        self.owned_regions.retain(|owned| {
            owners.iter().any(|ownership| {
                ownership.vm == *own
                    && ownership.region == owned.region
                    && ownership.epoch == owned.owner.epoch()
            })
        });
        for ownership in owners.iter().filter(|ownership| ownership.vm == *own) {
            match self.owned_regions.iter_mut().find(|owned| owned.region == ownership.region) {
                // The lease ends when this daemon's configuration is no longer known to be current,
                // so that this owner stops after the configuration names another one.
                Some(owned) => owned.owner.extend_lease(fresh_until),
                None => {
                    let owner = SlotOwner::new(ownership.epoch, vms.clone(), fresh_until, now);
                    self.owned_regions
                        .push(OwnedRegion { region: ownership.region.clone(), owner });
                }
            }
        }
    }

    /// Sets the slots of the targets in the regions that this VM owns.
    pub fn set_targets(&mut self, targets: &TargetTable, now: Instant) {
        for (service, target) in targets.iter() {
            let owned = self.owned_regions.iter_mut().find(|owned| owned.region == target.region);
            let Some(owned) = owned else { continue };
            let slots = if target.is_live(now) { target.slots } else { SlotCount::ZERO };
            owned.owner.set_slots(&(service.clone(), target.target.clone()), slots);
        }
    }

    /// Returns the permits that this VM holds for a target.
    pub fn slot_usage(&self, service: &ServiceId, target: &Target) -> SlotUsage {
        let holder = self.holders.get(&target.region);
        let key = (service.clone(), target.target.clone());
        holder.map_or_else(SlotUsage::default, |holder| holder.slot_usage(&key))
    }

    /// Returns whether this VM holds an unused permit for a target.
    pub fn has_free(&self, service: &ServiceId, target: &Target, now: Instant) -> bool {
        let Some(holder) = self.holders.get(&target.region) else { return false };
        let mut free = holder.free(now);
        free.any(|(free_service, id)| free_service == service && *id == target.target)
    }

    /// Takes a permit for a request; returns false when none is free.
    pub fn take(&mut self, region: &RegionId, target: &SlotTarget, now: Instant) -> bool {
        self.holders.get_mut(region).is_some_and(|holder| holder.acquire(target, now))
    }

    /// Releases the permit of a request that has ended; `actual` is the slot time that it took, or
    /// `None` if it was not sent.
    pub fn release(
        &mut self,
        region: &RegionId,
        target: &SlotTarget,
        actual: Option<Duration>,
        now: Instant,
    ) {
        if let Some(holder) = self.holders.get_mut(region) {
            holder.release(target, now);
        }
        let Some(actual) = actual else { return };
        let work = self.work.entry(target.0.clone()).or_insert(actual);
        *work = work.mul_f64(1.0 - WORK_SMOOTHING) + actual.mul_f64(WORK_SMOOTHING);
    }

    /// Returns the expected slot time of a request for a service.
    pub fn expected_work(&self, service: &ServiceId) -> Duration {
        self.work.get(service).copied().unwrap_or(INITIAL_WORK)
    }

    /// Returns the slot capacity of a service for the queue's decision.
    pub fn capacity(&self, service: &ServiceId, targets: &[Target], has_free: bool) -> Capacity {
        let slots = targets.iter().map(|target| self.slot_usage(service, target).held).sum();
        Capacity { slots, has_free, next_free: self.expected_work(service) / 2 }
    }

    /// Returns the running slots of each service on this VM.
    pub fn running<'a>(&'a self, targets: &'a TargetTable) -> HashMap<&'a ServiceId, SlotCount> {
        let mut sums: HashMap<&ServiceId, SlotCount> = HashMap::new();
        for (service, target) in targets.iter() {
            let running = self.slot_usage(service, target).running;
            let sum = sums.entry(service).or_default();
            *sum = sum.saturating_add(running);
        }
        sums
    }

    /// Returns the number of requests that wait for a slot of a service.
    pub fn waiting(&self, service: &ServiceId) -> RequestCount {
        RequestCount(self.queue.waiting_for_slots(service) as u64)
    }

    /// Registers a waiting request.
    pub fn add_waiter(&mut self, ticket: Ticket, waiter: Waiter) {
        self.waiters.insert(ticket, waiter);
    }

    /// Removes a waiting request that is about to be started or refused.
    pub fn take_waiter(&mut self, ticket: Ticket) -> Option<Waiter> {
        self.waiters.remove(&ticket)
    }

    /// Returns the tickets of the requests that wait for a service.
    pub fn waiting_tickets(&self, service: &ServiceId) -> Vec<Ticket> {
        let waiting = self.waiters.iter().filter(|(_, waiter)| waiter.service == *service);
        waiting.map(|(ticket, _)| *ticket).collect()
    }

    /// Removes a waiting request whose caller has disconnected.
    pub fn cancel(&mut self, ticket: Ticket) {
        self.queue.cancel(ticket);
        self.waiters.remove(&ticket);
    }

    /// Adds demand for one permit of each target, for the retry of a failed request.
    pub fn add_retry_demand(&mut self, demands: &[(RegionId, SlotTarget)]) {
        self.retry_demand.extend_from_slice(demands);
    }

    /// Removes demand that `add_retry_demand` added.
    pub fn remove_retry_demand(&mut self, demands: &[(RegionId, SlotTarget)]) {
        for demand in demands {
            if let Some(index) = self.retry_demand.iter().position(|known| known == demand) {
                self.retry_demand.swap_remove(index);
            }
        }
    }

    /// Returns the targets of which retries need a permit, one entry for each request and target.
    pub fn retry_demand(&self) -> &[(RegionId, SlotTarget)] {
        &self.retry_demand
    }

    /// Returns the due requests for permits, by region. `demand` states the number of permits
    /// needed for each target.
    pub fn poll(
        &mut self,
        demand: &HashMap<RegionId, Vec<(SlotTarget, u32)>>,
        now: Instant,
    ) -> Vec<(RegionId, SlotRequest)> {
        let mut requests = Vec::new();
        for (region, holder) in &mut self.holders {
            let demand = demand.get(region).map_or(&[][..], Vec::as_slice);
            let demand = demand.iter().map(|(target, count)| (target, *count));
            if let Some(request) = holder.poll(demand, now) {
                requests.push((region.clone(), request));
            }
        }
        requests
    }

    /// Returns the owner with the given epoch, if it runs on this VM.
    pub fn owner(&mut self, epoch: u64) -> Option<&mut SlotOwner> {
        let mut owned = self.owned_regions.iter_mut();
        owned.find(|owned| owned.owner.epoch() == epoch).map(|owned| &mut owned.owner)
    }

    /// Advances the timers of the owners on this VM and returns the messages to send.
    pub fn tick_owners(&mut self, now: Instant) -> Vec<SlotMessage> {
        self.owned_regions.iter_mut().flat_map(|owned| owned.owner.tick(now)).collect()
    }

    /// Applies an owner's message and returns whether it was accepted.
    pub fn accept(&mut self, reply: &SlotReply, now: Instant) -> bool {
        let mut holders = self.holders.values_mut();
        // Epochs are configuration revisions, so no two regions share one.
        let accepted = holders.any(|holder| holder.accept(reply, now));
        if accepted {
            self.permits_arrived.notify_waiters();
        }
        accepted
    }
}
