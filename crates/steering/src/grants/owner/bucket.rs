//! The bucket of an organisation: its level, what is outstanding, and who gets what is left.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use celerygate_types::VmId;
use celerygate_types::wire::GrantAsk;

use super::lease::{Batch, Claim, Lease};
use super::window::WindowUse;
use crate::grants::{Limit, OWNER_EXPIRY};

/// Level and refill are counted in millionths of a token, so that a rate in requests per second
/// times a time in microseconds is exact.
pub(super) const MICRO: u64 = 1_000_000;
/// Part of a bucket that is kept for requests that wait for a token.
pub(super) const RESERVE_FOR_WAITING: f64 = 0.5;
/// Time after an unmet want for which tokens are scarce.
pub(super) const SCARCE_TIME: Duration = Duration::from_millis(500);
/// Longest time after the end of withholding for which a new owner does not report a bucket as
/// exhausted. The requests of about 2 s without an owner wait in the queues, and a rate that is 90%
/// used serves them in 18 s. With 5 s, the replay refuses 3.1% instead of 1.9% of the requests inside
/// the rate when the owner's VM dies.
pub(super) const RECOVERY_TIME: Duration = Duration::from_millis(20_000);
/// Shortest time between two searches for expired grants. A search visits every lease; counting a
/// grant for longer than necessary is safe.
pub(super) const EXPIRY_INTERVAL: Duration = Duration::from_millis(10);
/// Part of a window's cap that use and tokens granted ahead of the bucket may reach together. The
/// rest covers requests that are counted one slice later than they ran.
pub(super) const AHEAD_OF_CAP: f64 = 0.85;
/// Most tokens granted ahead of the bucket, in seconds of its rate. If all of them are used while
/// the owner changes, the own allowances and the next owner's bucket still stay within the window.
pub(super) const AHEAD_MAX_S: f64 = 1.6;
/// Part of what the window's cap exceeds the rate by that may be granted ahead beside that.
pub(super) const AHEAD_OF_EXCESS: f64 = 0.5;

/// The bucket of an organisation.
#[derive(Clone, Debug)]
pub(super) struct Bucket {
    pub(super) limit: Limit,
    /// Below zero by the tokens that were granted ahead.
    pub(super) level_micro: i64,
    pub(super) refilled_at: Instant,
    pub(super) outstanding: u64,
    /// The part of `outstanding` that is assumed.
    pub(super) assumed: u64,
    pub(super) expiry_checked_at: Instant,
    /// Until when an empty bucket is put down to the change of owner; none once the level has
    /// covered all wants.
    pub(super) recovering_until: Option<Instant>,
    pub(super) leases: BTreeMap<VmId, Lease>,
    pub(super) use_of_window: WindowUse,
    /// When a want was last met in part only.
    pub(super) short_at: Option<Instant>,
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
            use_of_window: WindowUse::unknown(&limit, now),
            short_at: None,
        }
    }

    /// Returns the tokens that may be granted beyond the level: while an organisation uses little of
    /// its rate, each VM holds some, so that requests seldom wait for the owner.
    pub(super) fn ahead(&self) -> u64 {
        let Some(window) = self.limit.window else { return 0 };
        let granted = (self.outstanding - self.assumed) as i64;
        let true_level = self.level_micro / MICRO as i64 + granted;
        let burst = self.limit.burst.get();
        if true_level * 2 < burst as i64 {
            return 0;
        }
        let cap = (window.requests.get() as f64 * AHEAD_OF_CAP) as u64;
        let room = cap.saturating_sub(self.use_of_window.total() + burst);
        let rate = self.limit.rate.get() as f64;
        let excess = window.requests.get() as f64 - rate * window.length.as_secs_f64();
        room.min((rate * AHEAD_MAX_S + excess.max(0.0) * AHEAD_OF_EXCESS) as u64)
    }

    /// Returns the tokens that may be granted now.
    pub(super) fn available(&self) -> u64 {
        let level = self.level_micro.div_euclid(MICRO as i64);
        u64::try_from(level + self.ahead() as i64).unwrap_or(0)
    }

    /// Stops counting expired grants, then refills. An expired token may have been used, so it is
    /// not put back.
    pub(super) fn settle(&mut self, now: Instant) {
        if now.saturating_duration_since(self.expiry_checked_at) >= EXPIRY_INTERVAL {
            self.expiry_checked_at = now;
            for lease in self.leases.values_mut() {
                lease.batches.retain(|batch| batch.expires_at > now);
            }
            let before = self.outstanding;
            self.count_leases();
            self.use_of_window.count(before.saturating_sub(self.outstanding));
        }
        self.use_of_window.advance(&self.limit, now);
        let elapsed = now.saturating_duration_since(self.refilled_at).as_micros();
        let elapsed_us = u64::try_from(elapsed).unwrap_or(u64::MAX);
        let gained = self.limit.rate.get().saturating_mul(elapsed_us);
        self.level_micro =
            self.level_micro.saturating_add(i64::try_from(gained).unwrap_or(i64::MAX));
        // Advances by whole microseconds only, so that the rest counts next time.
        self.refilled_at += Duration::from_micros(elapsed_us);
        self.clamp();
    }

    pub(super) fn count_leases(&mut self) {
        self.outstanding = self.leases.values().map(Lease::held).sum();
        let assumed = self.leases.values().filter(|lease| lease.is_assumed);
        self.assumed = assumed.map(Lease::held).sum();
    }

    /// Restores `level + outstanding <= burst`. Assumed grants keep the level at zero, but are no
    /// debt.
    pub(super) fn clamp(&mut self) {
        let burst = self.limit.burst.get() as i64;
        let granted = (self.outstanding - self.assumed) as i64;
        let room = (burst - granted).min((burst - self.outstanding as i64).max(0));
        self.level_micro = self.level_micro.min(room.saturating_mul(MICRO as i64));
    }

    /// Replaces what is recorded for a VM by what it reports. Tokens that are neither held nor used
    /// go back to the level.
    pub(super) fn report(
        &mut self,
        vm: &VmId,
        ask: &GrantAsk,
        old_grants_end: Instant,
        now: Instant,
    ) {
        let lease = self.leases.entry(vm.clone()).or_default();
        let counted = lease.held();
        if std::mem::take(&mut lease.is_assumed) {
            self.assumed -= counted;
        }
        let (held, used) = (ask.held_requests.get(), ask.used_requests.get());
        match lease.used_requests.replace(used) {
            None => {
                // The first report to this owner: what is held was granted by an earlier one.
                lease.batches.clear();
                if held > 0 {
                    let expires_at = old_grants_end.max(now + OWNER_EXPIRY);
                    lease.batches.push_back(Batch { requests: held, expires_at });
                }
            }
            Some(used_before) => {
                lease.keep_newest(held.min(counted));
                lease.renew(now + OWNER_EXPIRY);
                let used_since = used.saturating_sub(used_before);
                let unused = counted.saturating_sub(held).saturating_sub(used_since);
                self.level_micro += (unused * MICRO) as i64;
                self.use_of_window.count(used_since);
            }
        }
        self.outstanding = self.outstanding - counted + lease.held();
        self.clamp();
    }

    /// Stops counting what a VM holds. Nothing goes back to the level, as any of it may be used.
    pub(super) fn drop_lease(&mut self, vm: &VmId) {
        if let Some(lease) = self.leases.get_mut(vm) {
            self.outstanding -= lease.held();
            if std::mem::take(&mut lease.is_assumed) {
                self.assumed -= lease.held();
            }
            lease.batches.clear();
        }
    }

    /// Returns how much of a VM's wish may be met: tokens that no request waits for are granted only
    /// from what is left above the reserve for requests that wait elsewhere.
    pub(super) fn within_reserve(&self, ask: &GrantAsk) -> u64 {
        let (wanted, waiting) = (ask.wanted_requests.get(), ask.waiting_requests.get());
        if self.limit.window.is_none() {
            return wanted;
        }
        let reserve = (self.limit.burst.get() as f64 * RESERVE_FOR_WAITING) as u64;
        wanted.min(waiting + self.available().saturating_sub(reserve))
    }

    /// Grants tokens to a VM. Returns their number and whether the bucket is exhausted.
    pub(super) fn grant(&mut self, vm: &VmId, ask: &GrantAsk, now: Instant) -> (u64, bool) {
        let per_vm = self.limit.per_vm().get();
        let wanted = self.within_reserve(ask);
        let lease = self.leases.entry(vm.clone()).or_default();
        let want = wanted.min(per_vm.saturating_sub(lease.held()));
        lease.want = (want > 0).then_some((want, now));
        let (granted, covers_all) = self.fair_part(vm, want, now);
        if let Some(lease) = self.leases.get_mut(vm) {
            lease.want = (want > granted).then_some((want - granted, now));
            if granted > 0 {
                let batch = Batch { requests: granted, expires_at: now + OWNER_EXPIRY };
                lease.batches.push_back(batch);
                lease.granted_lately = lease.granted_lately(now) + granted;
                lease.granted_at = Some(now);
            }
        }
        self.level_micro -= (granted * MICRO) as i64;
        self.outstanding += granted;
        let short = granted < want;
        if short {
            self.short_at = Some(now);
        }
        if covers_all && self.recovering_until.is_some_and(|until| now + RECOVERY_TIME >= until) {
            self.recovering_until = None;
        }
        (granted, short && self.recovering_until.is_none_or(|until| now >= until))
    }

    /// Returns whether VMs should give up tokens that no request waits for.
    pub(super) fn is_scarce(&self, now: Instant) -> bool {
        let recent = |at| now.saturating_duration_since(at) < SCARCE_TIME;
        self.limit.window.is_some() && self.short_at.is_some_and(recent)
    }

    /// Returns the max-min fair part of the level for a VM among all VMs with a recent want, and
    /// whether the level covers all of them. What a VM was granted lately counts towards its part,
    /// or VMs that ask earlier in each interval would get more.
    pub(super) fn fair_part(&self, vm: &VmId, want: u64, now: Instant) -> (u64, bool) {
        let level = self.available();
        if want == 0 || level == 0 {
            return (0, false);
        }
        let claims: Vec<(&VmId, Claim)> =
            self.leases.iter().filter_map(|(id, lease)| Some((id, lease.claim(now)?))).collect();
        if claims.iter().map(|(_, claim)| claim.want).sum::<u64>() <= level {
            return (want, true);
        }
        let needed = |fill: u64| claims.iter().map(|(_, claim)| claim.part(fill)).sum::<u64>();
        let (mut fill, mut above) = (0, level + claims.iter().map(|c| c.1.lately).sum::<u64>() + 1);
        while above - fill > 1 {
            let middle = fill + (above - fill) / 2;
            if needed(middle) <= level { fill = middle } else { above = middle }
        }
        let Some((_, mine)) = claims.iter().find(|(id, _)| *id == vm) else {
            return (0, false);
        };
        // The rest is less than one token for each VM: one for those whose last grant is oldest.
        let rest = level - needed(fill);
        let next = |claim: &Claim| claim.part(fill + 1) > claim.part(fill);
        let earlier = claims
            .iter()
            .filter(|(id, other)| next(other) && (other.granted_at, *id) < (mine.granted_at, vm))
            .count();
        let extra = u64::from(next(mine) && (earlier as u64) < rest);
        (mine.part(fill) + extra, false)
    }
}
