//! The token bucket of an organisation: its level, its outstanding grants, and the division of the
//! remaining tokens between VMs.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use celerygate_types::VmId;
use celerygate_types::wire::GrantAsk;

use super::lease::{Batch, Claim, Lease};
use super::window::WindowUsage;
use crate::grants::{Limit, OWNER_EXPIRY};

/// Fractions of a token in which the level is kept, so that a rate in requests per second times a
/// time in microseconds is exact.
pub(super) const MICRO_PER_TOKEN: u64 = 1_000_000;
/// Fraction of the burst that is reserved for requests that wait for a token.
pub(super) const WAITING_RESERVE_FRACTION: f64 = 0.5;
/// Time after a shortfall for which tokens count as scarce.
pub(super) const SCARCITY_PERIOD: Duration = Duration::from_millis(500);
/// Time after the end of withholding for which a new owner does not report an empty bucket as
/// exhausted. About 2 s of requests queue up while there is no owner, and at 90% utilisation the
/// spare rate takes 18 s to serve them. With 5 s, `admission_replay` refuses 3.1% instead of 1.9%
/// of the requests inside the rate when the owner's VM fails.
pub(super) const RECOVERY_PERIOD: Duration = Duration::from_millis(20_000);
/// Minimum interval between two searches for expired grants. A search visits every lease; counting
/// a grant for longer than necessary is safe.
pub(super) const EXPIRY_INTERVAL: Duration = Duration::from_millis(10);
/// Fraction of the window's cap that usage and overdraft may reach together. The remainder covers
/// requests that are counted one slice after they ran.
pub(super) const OVERDRAFT_CAP_FRACTION: f64 = 0.85;
/// Maximum overdraft, in seconds of the bucket's rate. Even if all of it is used while the owner
/// changes, the own allowances and the next owner's bucket stay within the window.
pub(super) const MAX_OVERDRAFT_S: f64 = 1.6;
/// Fraction of the window's cap above the rate that may be added to the overdraft.
pub(super) const OVERDRAFT_EXCESS_FRACTION: f64 = 0.5;

/// The bucket of an organisation.
#[derive(Clone, Debug)]
pub(super) struct Bucket {
    pub(super) limit: Limit,
    /// Negative by the amount of the overdraft in use.
    pub(super) level_micro: i64,
    pub(super) refilled_at: Instant,
    pub(super) outstanding: u64,
    /// The part of `outstanding` that no VM has reported, but the previous owner may have granted.
    pub(super) assumed: u64,
    pub(super) expiry_checked_at: Instant,
    /// End of the period in which an empty bucket is attributed to the change of owner; none once
    /// the level has covered the whole demand.
    pub(super) recovering_until: Option<Instant>,
    pub(super) leases: BTreeMap<VmId, Lease>,
    pub(super) window_usage: WindowUsage,
    /// When a request was last granted fewer tokens than it wanted.
    pub(super) last_shortfall_at: Option<Instant>,
}

impl Bucket {
    pub(super) fn new(limit: Limit, now: Instant) -> Self {
        Self {
            limit,
            level_micro: 0,
            refilled_at: now,
            outstanding: 0,
            assumed: 0,
            expiry_checked_at: now,
            recovering_until: None,
            leases: BTreeMap::new(),
            window_usage: WindowUsage::at_full_rate(&limit, now),
            last_shortfall_at: None,
        }
    }

    /// Returns the overdraft: the number of tokens that may be granted beyond the level. While an
    /// organisation uses little of its rate, each VM can thus hold some, so that requests seldom
    /// wait for the owner.
    pub(super) fn overdraft(&self) -> u64 {
        let Some(window) = self.limit.window else { return 0 };
        let granted = (self.outstanding - self.assumed) as i64;
        let true_level = self.level_micro / MICRO_PER_TOKEN as i64 + granted;
        let burst = self.limit.burst.get();
        if true_level * 2 < burst as i64 {
            return 0;
        }
        let cap = (window.requests.get() as f64 * OVERDRAFT_CAP_FRACTION) as u64;
        let room = cap.saturating_sub(self.window_usage.total() + burst);
        let rate = self.limit.rate.get() as f64;
        let excess = window.requests.get() as f64 - rate * window.length.as_secs_f64();
        room.min((rate * MAX_OVERDRAFT_S + excess.max(0.0) * OVERDRAFT_EXCESS_FRACTION) as u64)
    }

    /// Returns the tokens that may be granted now.
    pub(super) fn available(&self) -> u64 {
        let level = self.level_micro.div_euclid(MICRO_PER_TOKEN as i64);
        u64::try_from(level + self.overdraft() as i64).unwrap_or(0)
    }

    /// Drops expired grants, then refills. An expired token may have been used, so it does not
    /// return to the bucket.
    pub(super) fn update(&mut self, now: Instant) {
        if now.saturating_duration_since(self.expiry_checked_at) >= EXPIRY_INTERVAL {
            self.expiry_checked_at = now;
            for lease in self.leases.values_mut() {
                lease.batches.retain(|batch| batch.expires_at > now);
            }
            let before = self.outstanding;
            self.count_leases();
            self.window_usage.count(before.saturating_sub(self.outstanding));
        }
        self.window_usage.advance(&self.limit, now);
        let elapsed = now.saturating_duration_since(self.refilled_at).as_micros();
        let elapsed_us = u64::try_from(elapsed).unwrap_or(u64::MAX);
        let gained = self.limit.rate.get().saturating_mul(elapsed_us);
        self.level_micro =
            self.level_micro.saturating_add(i64::try_from(gained).unwrap_or(i64::MAX));
        // Advances by whole microseconds only, so that the remainder counts next time.
        self.refilled_at += Duration::from_micros(elapsed_us);
        self.clamp_level();
    }

    pub(super) fn count_leases(&mut self) {
        self.outstanding = self.leases.values().map(Lease::held).sum();
        let assumed = self.leases.values().filter(|lease| lease.is_assumed);
        self.assumed = assumed.map(Lease::held).sum();
    }

    /// Restores `level + outstanding <= burst`. Assumed grants can lower the level to zero, but not
    /// below it.
    pub(super) fn clamp_level(&mut self) {
        let burst = self.limit.burst.get() as i64;
        let granted = (self.outstanding - self.assumed) as i64;
        let room = (burst - granted).min((burst - self.outstanding as i64).max(0));
        self.level_micro = self.level_micro.min(room.saturating_mul(MICRO_PER_TOKEN as i64));
    }

    /// Overwrites the record of a VM with its report. Tokens that are neither held nor used return
    /// to the bucket.
    pub(super) fn report(
        &mut self,
        vm: &VmId,
        ask: &GrantAsk,
        previous_grants_end: Instant,
        now: Instant,
    ) {
        let lease = self.leases.entry(vm.clone()).or_default();
        let recorded = lease.held();
        if std::mem::take(&mut lease.is_assumed) {
            self.assumed -= recorded;
        }
        let (held, used) = (ask.held_requests.get(), ask.used_requests.get());
        match lease.used_requests.replace(used) {
            None => {
                // The first report to this owner: an earlier owner granted the tokens held.
                lease.batches.clear();
                if held > 0 {
                    let expires_at = previous_grants_end.max(now + OWNER_EXPIRY);
                    lease.batches.push_back(Batch { requests: held, expires_at });
                }
            }
            Some(used_before) => {
                lease.keep_newest(held.min(recorded));
                lease.renew(now + OWNER_EXPIRY);
                let used_since = used.saturating_sub(used_before);
                let unused = recorded.saturating_sub(held).saturating_sub(used_since);
                self.level_micro += (unused * MICRO_PER_TOKEN) as i64;
                self.window_usage.count(used_since);
            }
        }
        self.outstanding = self.outstanding - recorded + lease.held();
        self.clamp_level();
    }

    /// Drops the grants of a VM. Nothing returns to the bucket, as the VM may have used all of it.
    pub(super) fn drop_lease(&mut self, vm: &VmId) {
        if let Some(lease) = self.leases.get_mut(vm) {
            self.outstanding -= lease.held();
            if std::mem::take(&mut lease.is_assumed) {
                self.assumed -= lease.held();
            }
            lease.batches.clear();
        }
    }

    /// Returns how many of the wanted tokens may be granted. Tokens that no request waits for are
    /// granted only from what exceeds the reserve for requests that wait at other VMs.
    pub(super) fn wanted_within_reserve(&self, ask: &GrantAsk) -> u64 {
        let (wanted, waiting) = (ask.wanted_requests.get(), ask.waiting_requests.get());
        if self.limit.window.is_none() {
            return wanted;
        }
        let reserve = (self.limit.burst.get() as f64 * WAITING_RESERVE_FRACTION) as u64;
        wanted.min(waiting + self.available().saturating_sub(reserve))
    }

    /// Grants tokens to a VM and returns their number and whether the bucket is exhausted.
    pub(super) fn grant(&mut self, vm: &VmId, ask: &GrantAsk, now: Instant) -> (u64, bool) {
        let per_vm = self.limit.per_vm().get();
        let allowed = self.wanted_within_reserve(ask);
        let lease = self.leases.entry(vm.clone()).or_default();
        let demand = allowed.min(per_vm.saturating_sub(lease.held()));
        lease.unmet = (demand > 0).then_some((demand, now));
        let (granted, covers_all) = self.fair_share(vm, demand, now);
        if let Some(lease) = self.leases.get_mut(vm) {
            lease.unmet = (demand > granted).then_some((demand - granted, now));
            if granted > 0 {
                let batch = Batch { requests: granted, expires_at: now + OWNER_EXPIRY };
                lease.batches.push_back(batch);
                lease.recent_grants = lease.recent_grants(now) + granted;
                lease.granted_at = Some(now);
            }
        }
        self.level_micro -= (granted * MICRO_PER_TOKEN) as i64;
        self.outstanding += granted;
        let is_short = granted < demand;
        if is_short {
            self.last_shortfall_at = Some(now);
        }
        if covers_all && self.recovering_until.is_some_and(|until| now + RECOVERY_PERIOD >= until) {
            self.recovering_until = None;
        }
        (granted, is_short && self.recovering_until.is_none_or(|until| now >= until))
    }

    /// Returns whether VMs should return tokens that no request waits for.
    pub(super) fn is_scarce(&self, now: Instant) -> bool {
        let recent = |at| now.saturating_duration_since(at) < SCARCITY_PERIOD;
        self.limit.window.is_some() && self.last_shortfall_at.is_some_and(recent)
    }

    /// Returns the max-min fair share of a VM among all VMs with recent unmet demand, and whether
    /// the available tokens cover the demand of all of them. Recent grants count towards a VM's
    /// share; otherwise VMs whose requests come earlier in each interval would get more.
    pub(super) fn fair_share(&self, vm: &VmId, demand: u64, now: Instant) -> (u64, bool) {
        let level = self.available();
        if demand == 0 || level == 0 {
            return (0, false);
        }
        let claims: Vec<(&VmId, Claim)> =
            self.leases.iter().filter_map(|(id, lease)| Some((id, lease.claim(now)?))).collect();
        if claims.iter().map(|(_, claim)| claim.wanted).sum::<u64>() <= level {
            return (demand, true);
        }
        let needed = |fill: u64| claims.iter().map(|(_, claim)| claim.share(fill)).sum::<u64>();
        let (mut fill, mut above) = (0, level + claims.iter().map(|c| c.1.recent).sum::<u64>() + 1);
        while above - fill > 1 {
            let middle = fill + (above - fill) / 2;
            if needed(middle) <= level { fill = middle } else { above = middle }
        }
        let Some((_, mine)) = claims.iter().find(|(id, _)| *id == vm) else {
            return (0, false);
        };
        // The remainder is less than one token per VM. The VMs whose last grant is oldest get one
        // each.
        let remainder = level - needed(fill);
        let next = |claim: &Claim| claim.share(fill + 1) > claim.share(fill);
        let earlier = claims
            .iter()
            .filter(|(id, other)| next(other) && (other.granted_at, *id) < (mine.granted_at, vm))
            .count();
        let extra = u64::from(next(mine) && (earlier as u64) < remainder);
        (mine.share(fill) + extra, false)
    }
}
