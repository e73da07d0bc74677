//! Bandwidth budgets for the links between regions.
//!
//! Of the cap of a link direction, 5% is reserved for control traffic, and 10% is split into static
//! budgets that every VM of the sending region has without a lease. An allocator leases the
//! remaining 85% to these VMs for 2 s at a time. VMs that use all of their budget get equal shares;
//! the others get 125% of what they used in the last second. The remainder is allocated in
//! proportion to use. Without an allocator, a VM falls back to its static budget. The sum of all
//! budgets never exceeds the cap.
//!
//! Allocating only in proportion to use would take minutes to converge, because a VM with a small
//! budget cannot show a larger demand than that budget.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use celerygate_types::{ByteRate, Incarnation, SharePpm, VmId};
use smallvec::SmallVec;

mod pacer;

pub use pacer::{DOWNLOAD_THRESHOLD, Pacer, PacerAction, QUANTUM_BYTES, TrafficClass, class_of};

/// Share of the cap that is reserved for control traffic. It also covers bursts: the token buckets
/// of the VMs together can briefly exceed their rates by 10 ms worth of traffic.
pub const CONTROL_SHARE: SharePpm = SharePpm(50_000);
/// Share of the cap for the static budgets, which VMs use until they have a lease.
pub const STATIC_SHARE: SharePpm = SharePpm(100_000);
/// Share of the cap that the allocator leases to VMs.
pub const LEASED_SHARE: SharePpm = SharePpm(850_000);
/// Validity of a lease at its holder, from the time at which the holder sent its request.
pub const LEASE_DURATION: Duration = Duration::from_millis(2_000);
/// Time for which the allocator counts a lease as in force, from the time of its reply. The margin
/// over [`LEASE_DURATION`] covers clocks whose rates differ by up to 10%.
pub const RESERVATION_DURATION: Duration = Duration::from_millis(2_200);
/// Interval at which a holder renews its lease.
pub const RENEWAL_INTERVAL: Duration = Duration::from_millis(500);

/// Returns the budget that a VM has without a lease.
///
/// The divisor is one more than the number of VMs, so that the sum of the static budgets stays
/// within the static share while only some VMs know of an added VM.
pub fn static_budget(cap: ByteRate, vms_in_region: usize) -> ByteRate {
    let divisor = u64::try_from(vms_in_region).unwrap_or(u64::MAX).saturating_add(1);
    ByteRate(STATIC_SHARE.of(cap.get()) / divisor)
}

/// Request of a VM to the allocator of a link direction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LinkLeaseRequest {
    /// VM that requests the lease.
    pub vm: VmId,
    /// Incarnation of the requesting daemon. Each incarnation starts its own sequence numbers.
    pub incarnation: Incarnation,
    /// Sequence number of this request; it increases with each request.
    pub sequence: u64,
    /// Sequence number of the request whose lease the VM currently applies, 0 for none.
    pub applied_sequence: u64,
    /// Rate of the lease that the VM currently applies.
    pub leased: ByteRate,
    /// Rate at which the VM sent in the last second.
    pub used: ByteRate,
    /// Whether the VM used at least 90% of its budget.
    pub is_limited: bool,
}

/// Reply of the allocator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkLease {
    /// Epoch of the allocator; it increases whenever another VM becomes the allocator.
    pub epoch: u64,
    /// Sequence number of the request that this lease answers.
    pub sequence: u64,
    /// Leased rate, in addition to the static budget.
    pub rate: ByteRate,
}

/// Maximum number of leases counted for one holder. With one request every 500 ms there are 5.
const MAX_COUNTED_LEASES: usize = 8;

#[derive(Clone, Copy, Debug)]
struct CountedLease {
    sequence: u64,
    rate: ByteRate,
    until: Instant,
}

#[derive(Clone, Debug)]
struct HolderState {
    incarnation: Incarnation,
    used: ByteRate,
    is_limited: bool,
    last_request_at: Instant,
    /// Leases any of which may be in force at the holder.
    leases: SmallVec<[CountedLease; 4]>,
}

impl HolderState {
    fn largest_lease(&self) -> u64 {
        self.leases.iter().map(|lease| lease.rate.get()).max().unwrap_or(0)
    }

    /// Adds a lease. To bound the list for a holder that sends too many requests, its latest leases
    /// are merged into one with the highest of their rates.
    fn add_lease(&mut self, lease: CountedLease) {
        let merged = if self.leases.len() < MAX_COUNTED_LEASES { None } else { self.leases.pop() };
        let rate = merged.map_or(lease.rate, |merged| merged.rate.max(lease.rate));
        let sequence = merged.map_or(lease.sequence, |merged| merged.sequence.max(lease.sequence));
        self.leases.push(CountedLease { sequence, rate, until: lease.until });
    }
}

/// Allocates the bandwidth of one link direction to the VMs of the sending region.
///
/// At most one allocator may be active at a time: a daemon stops replying before its own lease as
/// allocator ends, and its successor then starts with a higher epoch.
#[derive(Clone, Debug)]
pub struct LinkAllocator {
    epoch: u64,
    cap: ByteRate,
    /// Time until which leases of the previous allocator may be in force.
    takeover_until: Instant,
    holders: HashMap<VmId, HolderState>,
}

impl LinkAllocator {
    /// Returns an allocator that takes over now.
    pub fn new(epoch: u64, cap: ByteRate, now: Instant) -> Self {
        Self { epoch, cap, takeover_until: now + RESERVATION_DURATION, holders: HashMap::new() }
    }

    /// Changes the cap. After a reduction, existing leases remain in force for up to 2 s.
    pub fn set_cap(&mut self, cap: ByteRate) {
        self.cap = cap;
    }

    /// Returns the sum of the leases that may be in force, counting the largest lease of each VM.
    pub fn outstanding(&self, now: Instant) -> ByteRate {
        let in_force = |holder: &HolderState| {
            let valid = holder.leases.iter().filter(|lease| now < lease.until);
            valid.map(|lease| lease.rate.get()).max().unwrap_or(0)
        };
        ByteRate(self.holders.values().map(in_force).sum())
    }

    /// Grants a lease in reply to a request.
    ///
    /// During a takeover, a VM gets at most the rate that it already has: the previous allocator
    /// counted that rate, and the leases of VMs that have not sent a request yet are unknown.
    pub fn grant(&mut self, request: &LinkLeaseRequest, now: Instant) -> LinkLease {
        self.expire(now);
        let holder = self.holders.entry(request.vm.clone()).or_insert_with(|| HolderState {
            incarnation: request.incarnation,
            used: ByteRate::ZERO,
            is_limited: false,
            last_request_at: now,
            leases: SmallVec::new(),
        });
        if request.incarnation < holder.incarnation {
            // A delayed request from an earlier incarnation of the daemon.
            let (epoch, sequence) = (self.epoch, request.sequence);
            return LinkLease { epoch, sequence, rate: ByteRate::ZERO };
        }
        if request.incarnation > holder.incarnation {
            holder.incarnation = request.incarnation;
            holder.leases.clear();
        }
        holder.used = request.used;
        holder.is_limited = request.is_limited;
        holder.last_request_at = now;
        // The holder no longer applies the leases that precede its current one.
        holder.leases.retain(|lease| lease.sequence >= request.applied_sequence);
        let pool = LEASED_SHARE.of(self.cap.get());
        let others: u64 = self
            .holders
            .iter()
            .filter(|(vm, _)| **vm != request.vm)
            .map(|(_, holder)| holder.largest_lease())
            .sum();
        let mut rate = self.allocation(&request.vm, pool).min(pool.saturating_sub(others));
        if now < self.takeover_until {
            rate = rate.min(request.leased.get());
        }
        let rate = ByteRate(rate);
        if let Some(holder) = self.holders.get_mut(&request.vm) {
            holder.add_lease(CountedLease {
                sequence: request.sequence,
                rate,
                until: now + RESERVATION_DURATION,
            });
        }
        LinkLease { epoch: self.epoch, sequence: request.sequence, rate }
    }

    fn allocation(&self, vm: &VmId, pool: u64) -> u64 {
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

    fn expire(&mut self, now: Instant) {
        self.holders.retain(|_, holder| {
            holder.leases.retain(|lease| now < lease.until);
            !holder.leases.is_empty()
                || now.saturating_duration_since(holder.last_request_at) < RESERVATION_DURATION
        });
    }
}

/// A VM's budget for one link direction.
#[derive(Clone, Debug)]
pub struct LinkLeaseHolder {
    vm: VmId,
    incarnation: Incarnation,
    static_budget: ByteRate,
    epoch: u64,
    next_sequence: u64,
    applied_sequence: u64,
    rate: ByteRate,
    valid_until: Instant,
    /// Unanswered requests, with the time at which they were sent.
    pending_requests: SmallVec<[(u64, Instant); 4]>,
}

impl LinkLeaseHolder {
    /// Returns a holder that has only its static budget.
    pub fn new(vm: VmId, incarnation: Incarnation, static_budget: ByteRate, now: Instant) -> Self {
        Self {
            vm,
            incarnation,
            static_budget,
            epoch: 0,
            next_sequence: 1,
            applied_sequence: 0,
            rate: ByteRate::ZERO,
            valid_until: now,
            pending_requests: SmallVec::new(),
        }
    }

    /// Changes the static budget.
    pub fn set_static_budget(&mut self, static_budget: ByteRate) {
        self.static_budget = static_budget;
    }

    /// Returns the next request to the allocator.
    pub fn request(&mut self, used: ByteRate, now: Instant) -> LinkLeaseRequest {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.pending_requests
            .retain(|(_, sent_at)| now.saturating_duration_since(*sent_at) < LEASE_DURATION);
        self.pending_requests.push((sequence, now));
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

    /// Applies a lease and returns whether the budget changed.
    ///
    /// Leases from an earlier allocator, or for a request before that of the applied lease, are
    /// ignored, because the allocator no longer counts them.
    pub fn apply(&mut self, lease: &LinkLease, now: Instant) -> bool {
        let sent = self.pending_requests.iter().find(|(sequence, _)| *sequence == lease.sequence);
        let Some((_, sent_at)) = sent.copied() else { return false };
        let valid_until = sent_at + LEASE_DURATION;
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

    /// Returns the rate of the current lease, 0 if it has expired.
    pub fn leased(&self, now: Instant) -> ByteRate {
        if now < self.valid_until { self.rate } else { ByteRate::ZERO }
    }

    /// Returns the rate at which this VM may send.
    pub fn budget(&self, now: Instant) -> ByteRate {
        self.static_budget.saturating_add(self.leased(now))
    }

    /// Returns when the current lease expires unless it is renewed.
    pub fn valid_until(&self) -> Instant {
        self.valid_until
    }
}

#[cfg(test)]
#[path = "links_tests.rs"]
mod tests;
