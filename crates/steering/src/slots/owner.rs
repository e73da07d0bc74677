//! The owner of a region's slot permits: one VM per region and epoch.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use celerygate_types::wire::{SlotAsk, SlotAward, SlotReply, SlotRequest};
use celerygate_types::{Incarnation, SlotCount, VmId};

use super::goals::{Demand, goals};
use super::{NOTICE, OWNER_LEASE, RETRY_INTERVAL, SlotTarget};

/// Time for which an unmet want counts: three retries, so that one lost request does not cost a VM
/// its turn.
const WANT_AGE: Duration = RETRY_INTERVAL.saturating_mul(3);

/// Time for which a VM keeps a slot that several want. Each change of turn leaves the slot unused
/// for about two round trips.
const TURN: Duration = Duration::from_millis(200);

/// Shortest time between two notices to a VM about the same target.
const NOTICE_INTERVAL: Duration = Duration::from_millis(20);

/// A message to a holder.
#[derive(Clone, Debug, PartialEq)]
pub struct SlotMessage {
    /// The VM of the holder.
    pub vm: VmId,
    /// The life of the holder that the message is for. A later life counts its requests anew and
    /// must not receive it.
    pub incarnation: Incarnation,
    /// The message.
    pub reply: SlotReply,
}

/// What to do about a slot request.
#[derive(Clone, Debug, PartialEq)]
pub enum SlotResponse {
    /// Send these messages; the first is the reply to the request.
    Send(Vec<SlotMessage>),
    /// Send nothing.
    Ignore(SlotIgnoreReason),
}

/// Why a slot request is not answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum SlotIgnoreReason {
    /// This owner's lease has ended.
    NoLease,
    /// The request is for the owner of another epoch.
    OtherEpoch,
    /// A request of this holder with the same or a later sequence number was answered.
    Repeated,
    /// A later life of the holder is known.
    EarlierLife,
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    counted: u32,
    running: u32,
    want: u32,
    asked_at: Instant,
    noticed_at: Option<Instant>,
}

impl Lease {
    /// Counts added permits, as in use until the next report: otherwise another VM's request would
    /// recall them before the holder has received them.
    fn add(&mut self, added: u32) {
        self.counted += added;
        self.running += added.min(self.want);
        self.want = self.want.saturating_sub(added);
    }
}

#[derive(Clone, Debug, Default)]
struct Target {
    /// None until the target's announcement is known; its permits are then neither added to nor
    /// taken back.
    slots: Option<u32>,
    /// Added to the turn, so that the targets' turns do not all go to the same VMs.
    phase: u64,
    leases: BTreeMap<VmId, Lease>,
}

impl Target {
    fn counted(&self) -> u32 {
        self.leases.values().fold(0, |sum, lease| sum.saturating_add(lease.counted))
    }

    fn expire(&mut self, now: Instant) {
        self.leases.retain(|_, lease| now.saturating_duration_since(lease.asked_at) < OWNER_LEASE);
    }

    /// Returns the number of permits that each VM should hold, in the order of `leases`.
    fn goals(&self, turn: u64, now: Instant) -> Option<Vec<u32>> {
        let demand = |lease: &Lease| {
            let recent = now.saturating_duration_since(lease.asked_at) < WANT_AGE;
            let want = if recent { lease.want } else { 0 };
            Demand { counted: lease.counted, running: lease.running, want }
        };
        let demands: Vec<Demand> = self.leases.values().map(demand).collect();
        Some(goals(self.slots?, &demands, turn.wrapping_add(self.phase)))
    }

    /// Records a report and returns the number of permits that the VM has from now on.
    fn answer(&mut self, vm: &VmId, ask: &SlotAsk, withheld: bool, turn: u64, now: Instant) -> u32 {
        let held = ask.held_slots.get();
        let lease = Lease {
            counted: held,
            running: ask.running_slots.get().min(held),
            want: ask.wanted_slots.get(),
            asked_at: now,
            noticed_at: None,
        };
        self.expire(now);
        self.leases.insert(vm.clone(), lease);
        let goals = self.goals(turn, now);
        let goal = self.leases.keys().zip(goals.into_iter().flatten()).find(|(id, _)| *id == vm);
        let award = match (goal, self.slots) {
            (Some((_, goal)), Some(slots)) => {
                // Also below what the VM holds, when others were given it after its lease ended.
                let available = slots.saturating_sub(self.counted() - held);
                goal.min(if withheld { held } else { u32::MAX }).min(available)
            }
            _ => held,
        };
        if let Some(lease) = self.leases.get_mut(vm) {
            lease.add(award.saturating_sub(held));
        }
        award
    }

    /// Returns the VMs to tell that they should hold fewer permits, or may ask for more.
    fn notices(&mut self, turn: u64, now: Instant) -> Vec<(VmId, u32)> {
        let Some(goals) = self.goals(turn, now) else {
            return Vec::new();
        };
        let free = self.slots.unwrap_or(0).saturating_sub(self.counted());
        let mut notices = Vec::new();
        for ((vm, lease), goal) in self.leases.iter_mut().zip(goals) {
            let due = lease.noticed_at.is_none_or(|at| now >= at + NOTICE_INTERVAL);
            if due && (goal < lease.counted || (goal > lease.counted && free > 0)) {
                lease.noticed_at = Some(now);
                notices.push((vm.clone(), goal));
            }
        }
        notices
    }
}

#[derive(Clone, Copy, Debug)]
struct Heard {
    incarnation: Incarnation,
    sequence: u64,
}

/// Owns the slot permits of a region's targets during one epoch.
#[derive(Clone, Debug)]
pub struct SlotOwner {
    epoch: u64,
    started: Instant,
    lease_until: Instant,
    /// VMs that may hold permits of an earlier owner.
    unreported: BTreeSet<VmId>,
    heard: BTreeMap<VmId, Heard>,
    targets: BTreeMap<SlotTarget, Target>,
}

impl SlotOwner {
    /// Returns an owner that gained its lease now. It adds no permits before every VM has reported,
    /// or [`OWNER_LEASE`] has passed.
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
            heard: BTreeMap::new(),
            targets: BTreeMap::new(),
        }
    }

    /// Returns the epoch of this owner.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Records a later end of the owner's lease.
    pub fn extend_lease(&mut self, until: Instant) {
        self.lease_until = self.lease_until.max(until);
    }

    /// Records the slots that a target announces; zero when it has left.
    pub fn set_slots(&mut self, target: &SlotTarget, slots: SlotCount) {
        self.target(target).slots = Some(slots.get());
    }

    /// Returns the permits of a target that count as held.
    pub fn counted(&self, target: &SlotTarget) -> SlotCount {
        SlotCount(self.targets.get(target).map_or(0, Target::counted))
    }

    /// Handles a request that arrived from a VM.
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
        match self.heard.get(vm) {
            Some(heard) if incarnation < heard.incarnation => {
                return SlotResponse::Ignore(SlotIgnoreReason::EarlierLife);
            }
            Some(heard)
                if incarnation == heard.incarnation && request.sequence <= heard.sequence =>
            {
                return SlotResponse::Ignore(SlotIgnoreReason::Repeated);
            }
            _ => {}
        }
        self.heard.insert(vm.clone(), Heard { incarnation, sequence: request.sequence });
        self.unreported.remove(vm);
        let (withheld, turn) = (self.withholds(now), self.turn(now));
        let mut awards = Vec::with_capacity(request.asks.len());
        let mut asked = BTreeSet::new();
        for ask in &request.asks {
            let key = (ask.service.clone(), ask.target.clone());
            let target = self.target(&key);
            let held = target.answer(vm, ask, withheld, turn, now);
            awards.push(award(&key, held));
            asked.insert(key);
        }
        for (key, target) in &mut self.targets {
            if !asked.contains(key) {
                target.leases.remove(vm);
            }
        }
        let reply = SlotReply { epoch: self.epoch, sequence: request.sequence, awards };
        let mut messages = vec![SlotMessage { vm: vm.clone(), incarnation, reply }];
        messages.extend(self.notices(now));
        SlotResponse::Send(messages)
    }

    /// Stops counting expired leases and returns the messages to send. To be called every 20 ms.
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

    fn turn(&self, now: Instant) -> u64 {
        let elapsed = now.saturating_duration_since(self.started);
        u64::try_from(elapsed.as_millis() / TURN.as_millis()).unwrap_or(0)
    }

    fn notices(&mut self, now: Instant) -> Vec<SlotMessage> {
        let turn = self.turn(now);
        if self.withholds(now) {
            return Vec::new();
        }
        let mut awards: BTreeMap<VmId, Vec<SlotAward>> = BTreeMap::new();
        for (key, target) in &mut self.targets {
            for (vm, goal) in target.notices(turn, now) {
                awards.entry(vm).or_default().push(award(key, goal));
            }
        }
        let message = |(vm, awards)| {
            let incarnation = self.heard.get(&vm)?.incarnation;
            let reply = SlotReply { epoch: self.epoch, sequence: NOTICE, awards };
            Some(SlotMessage { vm, incarnation, reply })
        };
        awards.into_iter().filter_map(message).collect()
    }
}

fn award((service, target): &SlotTarget, held: u32) -> SlotAward {
    let (service, target) = (service.clone(), target.clone());
    SlotAward { service, target, held_slots: SlotCount(held) }
}
