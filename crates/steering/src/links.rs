//! Budgets of the links between regions.
//!
//! Of the cap of a link direction, 5% stay with control traffic and 10% are standing budgets that
//! every VM of the sending region has without asking. A divider leases the remaining 85% to these
//! VMs for 2 s. VMs that use all of their budget get equal parts, the others what they used in the
//! last second and a quarter more; what remains is divided in proportion to use. Without a divider
//! a VM falls back to its standing budget, and the sum of all budgets never exceeds the cap.
//!
//! Division in proportion to use alone takes minutes to even out: the use of a VM that could send
//! more is no larger than its small budget.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use celerygate_types::{ByteRate, Incarnation, SharePpm, VmId};
use smallvec::SmallVec;

mod pacer;

pub use pacer::{DOWNLOAD_THRESHOLD, Pacer, PacerAction, QUANTUM_BYTES, TrafficClass, class_of};

/// Share of the cap for control traffic. Token buckets of the VMs may exceed their rates for a
/// moment by 10 ms worth of traffic in total; this share covers that as well.
pub const CONTROL_SHARE: SharePpm = SharePpm(50_000);
/// Share of the cap for VMs that begin to use the link.
pub const STATIC_SHARE: SharePpm = SharePpm(100_000);
/// Share of the cap that is leased.
pub const LEASED_SHARE: SharePpm = SharePpm(850_000);
/// Validity of a lease at its holder, from the time at which the holder asked.
pub const LEASE_DURATION: Duration = Duration::from_millis(2_000);
/// Time for which the divider counts a lease, from the time at which it answered. The margin covers
/// clocks that differ in rate by up to 10%.
pub const RESERVATION_DURATION: Duration = Duration::from_millis(2_200);
/// Time after which a holder should ask again.
pub const RENEWAL_INTERVAL: Duration = Duration::from_millis(500);

/// Returns the budget that a VM has without a lease.
///
/// The divisor is one more than the number of VMs, so that the sum stays below the standing share
/// while some VMs know of an added VM and others do not.
pub fn static_budget(cap: ByteRate, vms_in_region: usize) -> ByteRate {
    let divisor = u64::try_from(vms_in_region).unwrap_or(u64::MAX).saturating_add(1);
    ByteRate(STATIC_SHARE.of(cap.get()) / divisor)
}

/// What a VM tells the divider of a link direction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LinkLeaseRequest {
    /// The asking VM.
    pub vm: VmId,
    /// Life of the asking daemon; numbers start anew with each.
    pub incarnation: Incarnation,
    /// Number of this message, increasing with each.
    pub sequence: u64,
    /// Number of the ask whose lease the VM applies, 0 for none.
    pub applied_sequence: u64,
    /// Rate of the lease that the VM applies.
    pub leased: ByteRate,
    /// Bytes that the VM sent in the last second.
    pub used: ByteRate,
    /// Whether the VM used at least nine tenths of its budget.
    pub is_limited: bool,
}

/// Answer of the divider.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkLease {
    /// Number of the divider, increasing with each change of it.
    pub epoch: u64,
    /// Number of the ask that this answers.
    pub sequence: u64,
    /// The leased rate, in addition to the standing budget.
    pub rate: ByteRate,
}

/// Most leases that are counted for one holder; with one ask each 500 ms there are 5.
const MAX_COUNTED: usize = 8;

#[derive(Clone, Copy, Debug)]
struct Counted {
    sequence: u64,
    rate: ByteRate,
    until: Instant,
}

#[derive(Clone, Debug)]
struct HolderState {
    incarnation: Incarnation,
    used: ByteRate,
    is_limited: bool,
    heard_at: Instant,
    /// Leases of which any may be in force at the holder.
    leases: SmallVec<[Counted; 4]>,
}

impl HolderState {
    fn largest(&self) -> u64 {
        self.leases.iter().map(|lease| lease.rate.get()).max().unwrap_or(0)
    }

    /// Adds a lease. A holder that asks too often has its latest leases counted as one of the
    /// largest rate, so that the list is bounded.
    fn count(&mut self, lease: Counted) {
        let joined = if self.leases.len() < MAX_COUNTED { None } else { self.leases.pop() };
        let rate = joined.map_or(lease.rate, |joined| joined.rate.max(lease.rate));
        let sequence = joined.map_or(lease.sequence, |joined| joined.sequence.max(lease.sequence));
        self.leases.push(Counted { sequence, rate, until: lease.until });
    }
}

/// Divides one link direction between the VMs of the sending region.
///
/// At most one divider may answer at a time: a daemon stops answering before its lease as divider
/// ends, and its successor starts with a higher epoch after that.
#[derive(Clone, Debug)]
pub struct LinkAllocator {
    epoch: u64,
    cap: ByteRate,
    /// Until then, leases of the previous divider may be in force.
    takeover_until: Instant,
    holders: HashMap<VmId, HolderState>,
}

impl LinkAllocator {
    /// Returns a divider that takes over now.
    pub fn new(epoch: u64, cap: ByteRate, now: Instant) -> Self {
        Self { epoch, cap, takeover_until: now + RESERVATION_DURATION, holders: HashMap::new() }
    }

    /// Changes the cap. After a reduction, earlier leases remain in force for up to 2 s.
    pub fn set_cap(&mut self, cap: ByteRate) {
        self.cap = cap;
    }

    /// Returns the sum of the leases that may be in force, at most one for each VM.
    pub fn outstanding(&self, now: Instant) -> ByteRate {
        let in_force = |holder: &HolderState| {
            let valid = holder.leases.iter().filter(|lease| now < lease.until);
            valid.map(|lease| lease.rate.get()).max().unwrap_or(0)
        };
        ByteRate(self.holders.values().map(in_force).sum())
    }

    /// Answers an ask.
    ///
    /// During the takeover, a VM keeps at most what it holds: that is covered by what the previous
    /// divider counted, and the holdings of the VMs that have not asked yet are not known.
    pub fn grant(&mut self, ask: &LinkLeaseRequest, now: Instant) -> LinkLease {
        self.forget(now);
        let holder = self.holders.entry(ask.vm.clone()).or_insert_with(|| HolderState {
            incarnation: ask.incarnation,
            used: ByteRate::ZERO,
            is_limited: false,
            heard_at: now,
            leases: SmallVec::new(),
        });
        if ask.incarnation < holder.incarnation {
            // A late message of a process that has ended.
            let (epoch, sequence) = (self.epoch, ask.sequence);
            return LinkLease { epoch, sequence, rate: ByteRate::ZERO };
        }
        if ask.incarnation > holder.incarnation {
            holder.incarnation = ask.incarnation;
            holder.leases.clear();
        }
        holder.used = ask.used;
        holder.is_limited = ask.is_limited;
        holder.heard_at = now;
        // The holder has replaced the leases before the one that it applies.
        holder.leases.retain(|lease| lease.sequence >= ask.applied_sequence);
        let pool = LEASED_SHARE.of(self.cap.get());
        let others: u64 = self
            .holders
            .iter()
            .filter(|(vm, _)| **vm != ask.vm)
            .map(|(_, holder)| holder.largest())
            .sum();
        let mut rate = self.share_of(&ask.vm, pool).min(pool.saturating_sub(others));
        if now < self.takeover_until {
            rate = rate.min(ask.leased.get());
        }
        let rate = ByteRate(rate);
        if let Some(holder) = self.holders.get_mut(&ask.vm) {
            holder.count(Counted {
                sequence: ask.sequence,
                rate,
                until: now + RESERVATION_DURATION,
            });
        }
        LinkLease { epoch: self.epoch, sequence: ask.sequence, rate }
    }

    fn share_of(&self, vm: &VmId, pool: u64) -> u64 {
        let mut demands: Vec<(u64, &VmId)> = self
            .holders
            .iter()
            .map(|(vm, holder)| match holder.is_limited {
                true => (pool, vm),
                false => (holder.used.get().saturating_mul(5) / 4, vm),
            })
            .collect();
        demands.sort_unstable();
        let (mut left, mut share) = (pool, 0);
        for (at, (demand, holder)) in demands.iter().enumerate() {
            let part = (*demand).min(left / (demands.len() - at) as u64);
            left -= part;
            if *holder == vm {
                share = part;
            }
        }
        let used = |holder: &HolderState| u128::from(holder.used.get());
        let total: u128 = self.holders.values().map(used).sum();
        let own = self.holders.get(vm).map_or(0, used);
        let by_use = (u128::from(left) * own).checked_div(total);
        let evenly = u128::from(left) / self.holders.len().max(1) as u128;
        share + u64::try_from(by_use.unwrap_or(evenly)).unwrap_or(0)
    }

    fn forget(&mut self, now: Instant) {
        self.holders.retain(|_, holder| {
            holder.leases.retain(|lease| now < lease.until);
            !holder.leases.is_empty()
                || now.saturating_duration_since(holder.heard_at) < RESERVATION_DURATION
        });
    }
}

/// A VM's budget for one link direction.
#[derive(Clone, Debug)]
pub struct LinkLeaseHolder {
    vm: VmId,
    incarnation: Incarnation,
    standing: ByteRate,
    epoch: u64,
    next_sequence: u64,
    applied_sequence: u64,
    rate: ByteRate,
    valid_until: Instant,
    /// Asks without an answer, with the time at which they were sent.
    asked: SmallVec<[(u64, Instant); 4]>,
}

impl LinkLeaseHolder {
    /// Returns a holder that has its standing budget only.
    pub fn new(vm: VmId, incarnation: Incarnation, standing: ByteRate, now: Instant) -> Self {
        Self {
            vm,
            incarnation,
            standing,
            epoch: 0,
            next_sequence: 1,
            applied_sequence: 0,
            rate: ByteRate::ZERO,
            valid_until: now,
            asked: SmallVec::new(),
        }
    }

    /// Changes the standing budget.
    pub fn set_static_budget(&mut self, standing: ByteRate) {
        self.standing = standing;
    }

    /// Returns the next message to the divider.
    pub fn request(&mut self, used: ByteRate, now: Instant) -> LinkLeaseRequest {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.asked
            .retain(|(_, asked_at)| now.saturating_duration_since(*asked_at) < LEASE_DURATION);
        self.asked.push((sequence, now));
        LinkLeaseRequest {
            vm: self.vm.clone(),
            incarnation: self.incarnation,
            sequence,
            applied_sequence: self.applied_sequence,
            leased: self.leased(now),
            used,
            is_limited: used.get().saturating_mul(10) >= self.budget(now).get().saturating_mul(9),
        }
    }

    /// Applies an answer; returns whether it changed the budget.
    ///
    /// Answers of an earlier divider or to an ask before the applied one are ignored, because the
    /// divider no longer counts them.
    pub fn apply(&mut self, lease: &LinkLease, now: Instant) -> bool {
        let asked = self.asked.iter().find(|(sequence, _)| *sequence == lease.sequence);
        let Some((_, asked_at)) = asked.copied() else { return false };
        let valid_until = asked_at + LEASE_DURATION;
        let is_outdated = lease.epoch < self.epoch || lease.sequence <= self.applied_sequence;
        if is_outdated || now >= valid_until {
            return false;
        }
        self.epoch = lease.epoch;
        self.applied_sequence = lease.sequence;
        self.rate = lease.rate;
        self.valid_until = valid_until;
        true
    }

    /// Returns the leased rate.
    pub fn leased(&self, now: Instant) -> ByteRate {
        if now < self.valid_until { self.rate } else { ByteRate::ZERO }
    }

    /// Returns the rate that this VM may send at.
    pub fn budget(&self, now: Instant) -> ByteRate {
        self.standing.saturating_add(self.leased(now))
    }

    /// Returns when the budget changes next if no answer arrives.
    pub fn valid_until(&self) -> Instant {
        self.valid_until
    }
}

#[cfg(test)]
#[path = "links_tests.rs"]
mod tests;
