//! Slot permits of this VM, the regions whose permits it leases out, and the requests that wait.

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

/// Slot time that a request is expected to take while none has been measured.
const FIRST_WORK: Duration = Duration::from_millis(50);
/// Weight of the latest request in the average slot time of its service.
const LATEST_WEIGHT: f64 = 0.1;

/// A started request: the target it may use now and the slot time it was charged.
#[derive(Debug)]
pub struct SlotGrant {
    /// The target; a permit for it is taken.
    pub selected: SelectedTarget,
    /// Estimated slot time.
    pub work: Duration,
}

/// A request that waits; the sender is used once.
pub struct Waiter {
    /// Service that is asked for.
    pub service: ServiceId,
    /// Receives the permit or the refusal.
    pub result: oneshot::Sender<Result<SlotGrant, Refusal>>,
}

/// A region whose permits this VM leases out.
struct Owned {
    region: RegionId,
    owner: SlotOwner,
}

/// Permits and waiting requests.
#[derive(Default)]
pub struct Permits {
    /// One holder for each region with targets.
    holders: HashMap<RegionId, SlotHolder>,
    owned: Vec<Owned>,
    /// Order of the waiting requests.
    pub queue: WaitQueue,
    waiters: HashMap<Ticket, Waiter>,
    /// Targets of which requests that failed elsewhere want a permit, one entry each.
    retry_demand: Vec<(RegionId, SlotTarget)>,
    /// Notified when permits have arrived.
    pub permits_arrived: Arc<Notify>,
    work: HashMap<ServiceId, Duration>,
}

impl Permits {
    /// Takes over who leases the permits of each region.
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
        self.owned.retain(|owned| {
            owners.iter().any(|known| {
                known.vm == *own
                    && known.region == owned.region
                    && known.epoch == owned.owner.epoch()
            })
        });
        for ownership in owners.iter().filter(|known| known.vm == *own) {
            match self.owned.iter_mut().find(|owned| owned.region == ownership.region) {
                // The owner acts only while this daemon's configuration is current, so that it
                // stops after another owner was named.
                Some(owned) => owned.owner.extend_lease(fresh_until),
                None => {
                    let owner = SlotOwner::new(ownership.epoch, vms.clone(), fresh_until, now);
                    self.owned.push(Owned { region: ownership.region.clone(), owner });
                }
            }
        }
    }

    /// Tells the owners on this VM which targets their regions have.
    pub fn set_targets(&mut self, targets: &TargetTable, now: Instant) {
        for (service, target) in targets.iter() {
            let owned = self.owned.iter_mut().find(|owned| owned.region == target.region);
            let Some(owned) = owned else { continue };
            let slots = if target.is_live(now) { target.slots } else { SlotCount::ZERO };
            owned.owner.set_slots(&(service.clone(), target.target.clone()), slots);
        }
    }

    /// Returns this VM's permits for a target.
    pub fn slot_usage(&self, service: &ServiceId, target: &Target) -> SlotUsage {
        let holder = self.holders.get(&target.region);
        let key = (service.clone(), target.target.clone());
        holder.map_or_else(SlotUsage::default, |holder| holder.slot_usage(&key))
    }

    /// Returns whether a permit for a target is free.
    pub fn has_free(&self, service: &ServiceId, target: &Target, now: Instant) -> bool {
        let Some(holder) = self.holders.get(&target.region) else { return false };
        let mut free = holder.free(now);
        free.any(|(known, id)| known == service && *id == target.target)
    }

    /// Takes a permit.
    pub fn take(&mut self, region: &RegionId, target: &SlotTarget, now: Instant) -> bool {
        self.holders.get_mut(region).is_some_and(|holder| holder.take(target, now))
    }

    /// Gives a permit back; `actual` is the slot time that the request took, if it was sent.
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
        *work = work.mul_f64(1.0 - LATEST_WEIGHT) + actual.mul_f64(LATEST_WEIGHT);
    }

    /// Returns the slot time that a request of a service is expected to take.
    pub fn expected_work(&self, service: &ServiceId) -> Duration {
        self.work.get(service).copied().unwrap_or(FIRST_WORK)
    }

    /// Returns what the queue needs to know of a service's slots.
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

    /// Removes a waiting request to start or to refuse it.
    pub fn take_waiter(&mut self, ticket: Ticket) -> Option<Waiter> {
        self.waiters.remove(&ticket)
    }

    /// Removes a request whose caller has gone.
    pub fn cancel(&mut self, ticket: Ticket) {
        self.queue.cancel(ticket);
        self.waiters.remove(&ticket);
    }

    /// Notes that a request that failed elsewhere wants a permit of one of these targets.
    pub fn add_retry_demand(&mut self, wants: &[(RegionId, SlotTarget)]) {
        self.retry_demand.extend_from_slice(wants);
    }

    /// Removes what `add_retry_demand` noted.
    pub fn remove_retry_demand(&mut self, wants: &[(RegionId, SlotTarget)]) {
        for want in wants {
            if let Some(at) = self.retry_demand.iter().position(|known| known == want) {
                self.retry_demand.swap_remove(at);
            }
        }
    }

    /// Returns the targets that are wanted for retries.
    pub fn retry_demand(&self) -> &[(RegionId, SlotTarget)] {
        &self.retry_demand
    }

    /// Returns the requests for permits that are due, by region.
    pub fn poll(
        &mut self,
        wanted: &HashMap<RegionId, Vec<(SlotTarget, u32)>>,
        now: Instant,
    ) -> Vec<(RegionId, SlotRequest)> {
        let mut requests = Vec::new();
        for (region, holder) in &mut self.holders {
            let wanted = wanted.get(region).map_or(&[][..], Vec::as_slice);
            let wanted = wanted.iter().map(|(target, count)| (target, *count));
            if let Some(request) = holder.poll(wanted, now) {
                requests.push((region.clone(), request));
            }
        }
        requests
    }

    /// Returns the owner on this VM with this epoch.
    pub fn owner(&mut self, epoch: u64) -> Option<&mut SlotOwner> {
        let mut owned = self.owned.iter_mut();
        owned.find(|owned| owned.owner.epoch() == epoch).map(|owned| &mut owned.owner)
    }

    /// Lets time pass for the owners on this VM; returns the messages to send.
    pub fn tick_owners(&mut self, now: Instant) -> Vec<SlotMessage> {
        self.owned.iter_mut().flat_map(|owned| owned.owner.tick(now)).collect()
    }

    /// Takes a message of an owner and returns whether it was accepted.
    pub fn accept(&mut self, reply: &SlotReply, now: Instant) -> bool {
        let mut holders = self.holders.values_mut();
        // Epochs are revisions, so no two regions share one.
        let accepted = holders.any(|holder| holder.accept(reply, now));
        if accepted {
            self.permits_arrived.notify_waiters();
        }
        accepted
    }
}
