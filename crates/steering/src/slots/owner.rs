//! The owner of a region's slot permits: runs on one VM per region and epoch.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use celerygate_types::wire::{SlotAsk, SlotAward, SlotReply, SlotRequest};
use celerygate_types::{Incarnation, SlotCount, VmId};

use super::allocation::{Demand, allocate};
use super::{NOTICE_SEQUENCE, OWNER_LEASE, RETRY_INTERVAL, SlotTarget};

/// Time for which unmet demand counts: three retries, so that a VM keeps its turn when one request
/// is lost.
const MAX_DEMAND_AGE: Duration = RETRY_INTERVAL.saturating_mul(3);

/// Time for which a VM keeps a slot that several VMs want. Each handover leaves the slot unused for
/// about two round trips.
const ROTATION_INTERVAL: Duration = Duration::from_millis(200);

/// Minimum interval between two notices to a VM about the same target.
const NOTICE_INTERVAL: Duration = Duration::from_millis(20);

/// A message to a holder.
#[derive(Clone, Debug, PartialEq)]
pub struct SlotMessage {
    /// The VM of the holder.
    pub vm: VmId,
    /// The incarnation of the holder that the message is for. After a restart, the holder numbers
    /// its requests from 1 again and must not receive messages for an earlier incarnation.
    pub incarnation: Incarnation,
    /// The message.
    pub reply: SlotReply,
}

/// How to respond to a slot request.
#[derive(Clone, Debug, PartialEq)]
pub enum SlotResponse {
    /// Send these messages. The first is the reply to the request.
    Send(Vec<SlotMessage>),
    /// Send nothing.
    Ignore(SlotIgnoreReason),
}

/// Why a slot request gets no reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum SlotIgnoreReason {
    /// This owner's lease has ended.
    NoLease,
    /// The request is addressed to the owner of another epoch.
    OtherEpoch,
    /// This owner has already replied to a request of this holder with the same or a higher
    /// sequence number.
    Repeated,
    /// The holder's process has restarted since it sent the request.
    EarlierLife,
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    allocated: u32,
    running: u32,
    wanted: u32,
    reported_at: Instant,
    last_notice_at: Option<Instant>,
}

impl Lease {
    /// Adds permits and counts them as in use until the next report. Otherwise another VM's request
    /// would recall them before the holder has received them.
    fn add(&mut self, added: u32) {
        self.allocated += added;
        self.running += added.min(self.wanted);
        self.wanted = self.wanted.saturating_sub(added);
    }
}

#[derive(Clone, Debug, Default)]
struct Target {
    /// None until the target has announced its slots; until then, permits are neither added nor
    /// recalled.
    slots: Option<u32>,
    /// Offset of this target's rotation, so that the same VMs are not first at all targets.
    phase: u64,
    leases: BTreeMap<VmId, Lease>,
}

impl Target {
    fn allocated(&self) -> u32 {
        self.leases.values().fold(0, |sum, lease| sum.saturating_add(lease.allocated))
    }

    fn expire(&mut self, now: Instant) {
        self.leases
            .retain(|_, lease| now.saturating_duration_since(lease.reported_at) < OWNER_LEASE);
    }

    /// Returns the number of permits that each VM should hold, in the order of `leases`.
    fn allocation(&self, rotation: u64, now: Instant) -> Option<Vec<u32>> {
        let demand = |lease: &Lease| {
            let recent = now.saturating_duration_since(lease.reported_at) < MAX_DEMAND_AGE;
            let wanted = if recent { lease.wanted } else { 0 };
            Demand { allocated: lease.allocated, running: lease.running, wanted }
        };
        let demands: Vec<Demand> = self.leases.values().map(demand).collect();
        Some(allocate(self.slots?, &demands, rotation.wrapping_add(self.phase)))
    }

    /// Records a report and returns the number of permits that the VM holds from now on.
    fn report(
        &mut self,
        vm: &VmId,
        ask: &SlotAsk,
        withheld: bool,
        rotation: u64,
        now: Instant,
    ) -> u32 {
        let held = ask.held_slots.get();
        let lease = Lease {
            allocated: held,
            running: ask.running_slots.get().min(held),
            wanted: ask.wanted_slots.get(),
            reported_at: now,
            last_notice_at: None,
        };
        self.expire(now);
        self.leases.insert(vm.clone(), lease);
        let shares = self.allocation(rotation, now);
        let share = self.leases.keys().zip(shares.into_iter().flatten()).find(|(id, _)| *id == vm);
        let award = match (share, self.slots) {
            (Some((_, share)), Some(slots)) => {
                // May be less than the VM holds, if other VMs got permits after its lease had
                // ended.
                let available = slots.saturating_sub(self.allocated() - held);
                share.min(if withheld { held } else { u32::MAX }).min(available)
            }
            _ => held,
        };
        if let Some(lease) = self.leases.get_mut(vm) {
            lease.add(award.saturating_sub(held));
        }
        award
    }

    /// Returns the VMs to notify, with their share: those that should hold fewer permits, and those
    /// that can now get more.
    fn notices(&mut self, rotation: u64, now: Instant) -> Vec<(VmId, u32)> {
        let Some(shares) = self.allocation(rotation, now) else {
            return Vec::new();
        };
        let free = self.slots.unwrap_or(0).saturating_sub(self.allocated());
        let mut notices = Vec::new();
        for ((vm, lease), share) in self.leases.iter_mut().zip(shares) {
            let due = lease.last_notice_at.is_none_or(|at| now >= at + NOTICE_INTERVAL);
            if due && (share < lease.allocated || (share > lease.allocated && free > 0)) {
                lease.last_notice_at = Some(now);
                notices.push((vm.clone(), share));
            }
        }
        notices
    }
}

/// Incarnation and sequence number of the last request of a holder.
#[derive(Clone, Copy, Debug)]
struct LastRequest {
    incarnation: Incarnation,
    sequence: u64,
}

/// Owns the slot permits of a region's targets during one epoch.
#[derive(Clone, Debug)]
pub struct SlotOwner {
    epoch: u64,
    started: Instant,
    lease_until: Instant,
    /// VMs that have not reported yet and may hold permits of an earlier owner.
    unreported: BTreeSet<VmId>,
    last_requests: BTreeMap<VmId, LastRequest>,
    targets: BTreeMap<SlotTarget, Target>,
}

impl SlotOwner {
    /// Creates an owner whose lease begins now. It adds no permits until every VM has reported or
    /// [`OWNER_LEASE`] has passed.
    pub fn new<'a>(
        epoch: u64,
        vms: impl IntoIterator<Item = &'a VmId>,
        lease_until: Instant,
        now: Instant,
    ) -> Self {
        Self {
            epoch,
            started: now,
            lease_until,
            unreported: vms.into_iter().cloned().collect(),
            last_requests: BTreeMap::new(),
            targets: BTreeMap::new(),
        }
    }

    /// Returns the epoch of this owner.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Extends the owner's lease; an earlier end has no effect.
    pub fn extend_lease(&mut self, until: Instant) {
        self.lease_until = self.lease_until.max(until);
    }

    /// Records the slots that a target announces; zero when it has left.
    pub fn set_slots(&mut self, target: &SlotTarget, slots: SlotCount) {
        self.target(target).slots = Some(slots.get());
    }

    /// Returns the number of a target's permits that are allocated to VMs.
    pub fn allocated(&self, target: &SlotTarget) -> SlotCount {
        SlotCount(self.targets.get(target).map_or(0, Target::allocated))
    }

    /// Handles a request of a VM.
    pub fn handle_request(
        &mut self,
        vm: &VmId,
        incarnation: Incarnation,
        request: &SlotRequest,
        now: Instant,
    ) -> SlotResponse {
        if now >= self.lease_until {
            return SlotResponse::Ignore(SlotIgnoreReason::NoLease);
        }
        if request.epoch != self.epoch {
            return SlotResponse::Ignore(SlotIgnoreReason::OtherEpoch);
        }
        match self.last_requests.get(vm) {
            Some(last) if incarnation < last.incarnation => {
                return SlotResponse::Ignore(SlotIgnoreReason::EarlierLife);
            }
            Some(last) if incarnation == last.incarnation && request.sequence <= last.sequence => {
                return SlotResponse::Ignore(SlotIgnoreReason::Repeated);
            }
            _ => {}
        }
        self.last_requests
            .insert(vm.clone(), LastRequest { incarnation, sequence: request.sequence });
        self.unreported.remove(vm);
        let (withheld, rotation) = (self.withholds(now), self.rotation(now));
        let mut awards = Vec::with_capacity(request.asks.len());
        let mut reported = BTreeSet::new();
        for ask in &request.asks {
            let key = (ask.service.clone(), ask.target.clone());
            let target = self.target(&key);
            let held = target.report(vm, ask, withheld, rotation, now);
            awards.push(award(&key, held));
            reported.insert(key);
        }
        for (key, target) in &mut self.targets {
            if !reported.contains(key) {
                target.leases.remove(vm);
            }
        }
        let reply = SlotReply { epoch: self.epoch, sequence: request.sequence, awards };
        let mut messages = vec![SlotMessage { vm: vm.clone(), incarnation, reply }];
        messages.extend(self.notices(now));
        SlotResponse::Send(messages)
    }

    /// Drops expired leases and returns the messages to send. Call it every 20 ms.
    pub fn tick(&mut self, now: Instant) -> Vec<SlotMessage> {
        if now >= self.lease_until {
            return Vec::new();
        }
        for target in self.targets.values_mut() {
            target.expire(now);
        }
        self.targets.retain(|_, target| {
            target.slots.is_some_and(|slots| slots > 0) || !target.leases.is_empty()
        });
        self.notices(now)
    }

    fn target(&mut self, key: &SlotTarget) -> &mut Target {
        let phase = self.targets.len() as u64;
        self.targets.entry(key.clone()).or_insert_with(|| Target { phase, ..Target::default() })
    }

    fn withholds(&self, now: Instant) -> bool {
        !self.unreported.is_empty() && now.saturating_duration_since(self.started) < OWNER_LEASE
    }

    fn rotation(&self, now: Instant) -> u64 {
        let elapsed = now.saturating_duration_since(self.started);
        u64::try_from(elapsed.as_millis() / ROTATION_INTERVAL.as_millis()).unwrap_or(0)
    }

    fn notices(&mut self, now: Instant) -> Vec<SlotMessage> {
        let rotation = self.rotation(now);
        if self.withholds(now) {
            return Vec::new();
        }
        let mut awards: BTreeMap<VmId, Vec<SlotAward>> = BTreeMap::new();
        for (key, target) in &mut self.targets {
            for (vm, share) in target.notices(rotation, now) {
                awards.entry(vm).or_default().push(award(key, share));
            }
        }
        let message = |(vm, awards)| {
            let incarnation = self.last_requests.get(&vm)?.incarnation;
            let reply = SlotReply { epoch: self.epoch, sequence: NOTICE_SEQUENCE, awards };
            Some(SlotMessage { vm, incarnation, reply })
        };
        awards.into_iter().filter_map(message).collect()
    }
}

fn award((service, target): &SlotTarget, held: u32) -> SlotAward {
    let (service, target) = (service.clone(), target.clone());
    SlotAward { service, target, held_slots: SlotCount(held) }
}
