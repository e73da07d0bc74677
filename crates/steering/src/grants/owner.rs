//! The owner of the rate buckets: runs on the control leader, one per term.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use celerygate_types::wire::{GrantAsk, GrantAward, GrantReply, GrantRequest};
use celerygate_types::{Incarnation, OrganisationId, RequestCount, Term, VmId};

use super::{Limit, OWNER_EXPIRY};

/// Level and refill are counted in millionths of a token, so that a rate in requests per second
/// times a time in microseconds is exact.
const MICRO: u64 = 1_000_000;

/// Time for which an unmet want counts when tokens are scarce: three request intervals, so that one
/// lost request does not cost a VM its share.
const WANT_AGE: Duration = Duration::from_millis(300);

/// Time after which a grant no longer counts when scarce tokens are divided.
const GRANT_MEMORY: Duration = Duration::from_millis(1_000);

/// Longest time after the end of withholding for which a new owner does not report a bucket as
/// exhausted. The requests of about 2 s without an owner wait in the queues, and a rate that is 90%
/// used serves them in 18 s. With 5 s, the replay refuses 3.1% instead of 1.9% of the requests inside
/// the rate when the owner's VM dies.
const RECOVERY_TIME: Duration = Duration::from_millis(20_000);

/// Part of a bucket that is kept for requests that wait for a token.
const RESERVE_FOR_WAITING: f64 = 0.5;

/// Time after an unmet want for which tokens are scarce.
const SCARCE_TIME: Duration = Duration::from_millis(500);

/// Shortest time between two searches for expired grants. A search visits every lease; counting a
/// grant for longer than necessary is safe.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(10);

/// Slices in which the use of a window is counted; the oldest one beside them covers the slice that
/// has just begun.
const WINDOW_SLICES: usize = 5;
/// Part of a window's cap that use and tokens granted ahead of the bucket may reach together. The
/// rest covers requests that are counted one slice later than they ran.
const AHEAD_OF_CAP: f64 = 0.85;
/// Most tokens granted ahead of the bucket, in seconds of its rate. If all of them are used while
/// the owner changes, the own allowances and the next owner's bucket still stay within the window.
const AHEAD_MAX_S: f64 = 1.6;
/// Part of what the window's cap exceeds the rate by that may be granted ahead beside that.
const AHEAD_OF_EXCESS: f64 = 0.5;

/// What to do about a grant request.
#[derive(Clone, Debug, PartialEq)]
pub enum GrantAnswer {
    /// Send this reply.
    Reply(GrantReply),
    /// Send nothing.
    Ignore(GrantIgnored),
}

/// Why a grant request is not answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum GrantIgnored {
    /// This owner has no leader lease.
    NoLease,
    /// The request is for the owner of another term.
    OtherTerm,
    /// A request of this holder with the same or a later sequence number was answered.
    Repeated,
    /// A later life of the holder is known.
    EarlierLife,
}

/// Tokens that leave the count at the same time.
#[derive(Clone, Copy, Debug)]
struct Batch {
    requests: u64,
    expires_at: Instant,
}

/// What one VM may still use of one bucket.
#[derive(Clone, Debug, Default)]
struct Lease {
    /// Ordered by expiry.
    batches: VecDeque<Batch>,
    /// Whether the batches are what an earlier owner may have granted, until the VM reports.
    is_assumed: bool,
    /// The holder's count of used tokens; none until its first report.
    used_requests: Option<u64>,
    /// What the last ask left unmet, and when.
    want: Option<(u64, Instant)>,
    granted_at: Option<Instant>,
    /// Tokens granted up to `granted_at`, fading with their age.
    granted_lately: u64,
}

impl Lease {
    fn granted_lately(&self, now: Instant) -> u64 {
        let age = self.granted_at.map(|at| now.saturating_duration_since(at));
        let left = age.map_or(Duration::ZERO, |age| GRANT_MEMORY.saturating_sub(age));
        self.granted_lately * left.as_millis() as u64 / GRANT_MEMORY.as_millis() as u64
    }

    /// Returns the VM's claim, if it has a recent want.
    fn claim(&self, now: Instant) -> Option<Claim> {
        let (want, at) = self.want?;
        let recent = now.saturating_duration_since(at) < WANT_AGE;
        let (lately, granted_at) = (self.granted_lately(now), self.granted_at);
        recent.then_some(Claim { lately, want, granted_at })
    }

    fn held(&self) -> u64 {
        self.batches.iter().map(|batch| batch.requests).sum()
    }

    /// Extends what the holder has reported to hold; the reply extends it there.
    fn renew(&mut self, expires_at: Instant) {
        let held = self.held();
        self.batches.clear();
        if held > 0 {
            self.batches.push_back(Batch { requests: held, expires_at });
        }
    }

    /// Keeps the newest tokens only. Holders use the oldest tokens first, and an expiry that is too
    /// late is safe.
    fn keep_newest(&mut self, mut keep: u64) {
        for batch in self.batches.iter_mut().rev() {
            batch.requests = batch.requests.min(keep);
            keep -= batch.requests;
        }
        self.batches.retain(|batch| batch.requests > 0);
    }
}

/// The bucket of an organisation.
#[derive(Clone, Debug)]
struct Bucket {
    limit: Limit,
    /// Below zero by the tokens that were granted ahead.
    level_micro: i64,
    refilled_at: Instant,
    outstanding: u64,
    /// The part of `outstanding` that is assumed.
    assumed: u64,
    expiry_checked_at: Instant,
    /// Until when an empty bucket is put down to the change of owner; none once the level has
    /// covered all wants.
    recovering_until: Option<Instant>,
    leases: BTreeMap<VmId, Lease>,
    use_of_window: WindowUse,
    /// When a want was last met in part only.
    short_at: Option<Instant>,
}

/// Tokens used lately, for the tokens that are granted ahead.
#[derive(Clone, Debug)]
struct WindowUse {
    slices: [u64; WINDOW_SLICES + 1],
    slice_began_at: Instant,
}

impl WindowUse {
    /// Returns the use of a fleet of which nothing is known: the whole rate.
    fn unknown(limit: &Limit, now: Instant) -> Self {
        let slice_s = Self::slice(limit).as_secs_f64();
        let per_slice = (limit.rate.get() as f64 * slice_s).ceil() as u64;
        Self { slices: [per_slice; WINDOW_SLICES + 1], slice_began_at: now }
    }

    fn slice(limit: &Limit) -> Duration {
        limit.window.map_or(Duration::ZERO, |window| window.length / WINDOW_SLICES as u32)
    }

    fn count(&mut self, used: u64) {
        self.slices[0] += used;
    }

    /// Begins further slices as time passes.
    fn advance(&mut self, limit: &Limit, now: Instant) {
        let slice = Self::slice(limit);
        if slice.is_zero() {
            return;
        }
        for _ in 0..=WINDOW_SLICES {
            if now.saturating_duration_since(self.slice_began_at) < slice {
                return;
            }
            self.slices.rotate_right(1);
            self.slices[0] = 0;
            self.slice_began_at += slice;
        }
        self.slice_began_at = now;
    }

    fn total(&self) -> u64 {
        self.slices.iter().sum()
    }
}

impl Bucket {
    fn new(limit: Limit, now: Instant) -> Self {
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
    fn ahead(&self) -> u64 {
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
    fn available(&self) -> u64 {
        let level = self.level_micro.div_euclid(MICRO as i64);
        u64::try_from(level + self.ahead() as i64).unwrap_or(0)
    }

    /// Stops counting expired grants, then refills. An expired token may have been used, so it is
    /// not put back.
    fn settle(&mut self, now: Instant) {
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

    fn count_leases(&mut self) {
        self.outstanding = self.leases.values().map(Lease::held).sum();
        let assumed = self.leases.values().filter(|lease| lease.is_assumed);
        self.assumed = assumed.map(Lease::held).sum();
    }

    /// Restores `level + outstanding <= burst`. Assumed grants keep the level at zero, but are no
    /// debt.
    fn clamp(&mut self) {
        let burst = self.limit.burst.get() as i64;
        let granted = (self.outstanding - self.assumed) as i64;
        let room = (burst - granted).min((burst - self.outstanding as i64).max(0));
        self.level_micro = self.level_micro.min(room.saturating_mul(MICRO as i64));
    }

    /// Replaces what is recorded for a VM by what it reports. Tokens that are neither held nor used
    /// go back to the level.
    fn report(&mut self, vm: &VmId, ask: &GrantAsk, old_grants_end: Instant, now: Instant) {
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
    fn drop_lease(&mut self, vm: &VmId) {
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
    fn within_reserve(&self, ask: &GrantAsk) -> u64 {
        let (wanted, waiting) = (ask.wanted_requests.get(), ask.waiting_requests.get());
        if self.limit.window.is_none() {
            return wanted;
        }
        let reserve = (self.limit.burst.get() as f64 * RESERVE_FOR_WAITING) as u64;
        wanted.min(waiting + self.available().saturating_sub(reserve))
    }

    /// Grants tokens to a VM. Returns their number and whether the bucket is exhausted.
    fn grant(&mut self, vm: &VmId, ask: &GrantAsk, now: Instant) -> (u64, bool) {
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
    fn is_scarce(&self, now: Instant) -> bool {
        let recent = |at| now.saturating_duration_since(at) < SCARCE_TIME;
        self.limit.window.is_some() && self.short_at.is_some_and(recent)
    }

    /// Returns the max-min fair part of the level for a VM among all VMs with a recent want, and
    /// whether the level covers all of them. What a VM was granted lately counts towards its part,
    /// or VMs that ask earlier in each interval would get more.
    fn fair_part(&self, vm: &VmId, want: u64, now: Instant) -> (u64, bool) {
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

/// What a VM claims of a bucket that does not cover all wants.
#[derive(Clone, Copy, Debug)]
struct Claim {
    lately: u64,
    want: u64,
    granted_at: Option<Instant>,
}

impl Claim {
    /// Returns the part that brings the VM up to a common number of tokens.
    fn part(&self, fill: u64) -> u64 {
        fill.saturating_sub(self.lately).min(self.want)
    }
}

/// The last life of a holder that sent a request, and its last sequence number.
#[derive(Clone, Copy, Debug)]
struct Heard {
    incarnation: Incarnation,
    sequence: u64,
}

/// Owns the bucket of every organisation during one term.
#[derive(Clone, Debug)]
pub struct GrantOwner {
    term: Term,
    lease_until: Instant,
    old_grants_end: Instant,
    buckets: BTreeMap<OrganisationId, Bucket>,
    heard: BTreeMap<VmId, Heard>,
}

impl GrantOwner {
    /// Returns an owner that gained the leader lease now. Each VM is counted with the largest
    /// amount that it may hold until it reports, for at most [`OWNER_EXPIRY`].
    pub fn new<'a>(
        term: Term,
        vms: impl IntoIterator<Item = &'a VmId>,
        limits: impl IntoIterator<Item = (OrganisationId, Limit)>,
        lease_until: Instant,
        now: Instant,
    ) -> Self {
        let old_grants_end = now + OWNER_EXPIRY;
        let vms: Vec<&VmId> = vms.into_iter().collect();
        let withheld = |limit: Limit| {
            let batch = Batch { requests: limit.per_vm().get(), expires_at: old_grants_end };
            let mut bucket = Bucket::new(limit, now);
            for vm in &vms {
                let batches = VecDeque::from([batch]);
                let lease = Lease { batches, is_assumed: true, ..Lease::default() };
                bucket.leases.insert((*vm).clone(), lease);
            }
            bucket.count_leases();
            if limit.window.is_some() {
                // The VMs use their own allowances until then.
                bucket.refilled_at = old_grants_end;
            }
            bucket.recovering_until = Some(old_grants_end + RECOVERY_TIME);
            bucket
        };
        let buckets = limits.into_iter().map(|(id, limit)| (id, withheld(limit))).collect();
        Self { term, lease_until, old_grants_end, buckets, heard: BTreeMap::new() }
    }

    /// Returns the term of this owner.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Records a later end of the leader lease.
    pub fn extend_lease(&mut self, until: Instant) {
        self.lease_until = self.lease_until.max(until);
    }

    /// Applies changed limits. Organisations that are not listed lose their bucket; a new one
    /// starts with level 0.
    pub fn configure(
        &mut self,
        limits: impl IntoIterator<Item = (OrganisationId, Limit)>,
        now: Instant,
    ) {
        let mut before = std::mem::take(&mut self.buckets);
        for (organisation, limit) in limits {
            let mut bucket =
                before.remove(&organisation).unwrap_or_else(|| Bucket::new(limit, now));
            bucket.settle(now);
            bucket.limit = limit;
            bucket.clamp();
            self.buckets.insert(organisation, bucket);
        }
    }

    /// Returns the level of a bucket and the tokens outstanding.
    pub fn bucket(&self, organisation: &OrganisationId) -> Option<(RequestCount, RequestCount)> {
        let bucket = self.buckets.get(organisation)?;
        let level = u64::try_from(bucket.level_micro).unwrap_or(0) / MICRO;
        Some((RequestCount(level), RequestCount(bucket.outstanding)))
    }

    /// Handles a request that arrived from a VM.
    pub fn answer(
        &mut self,
        vm: &VmId,
        incarnation: Incarnation,
        request: &GrantRequest,
        now: Instant,
    ) -> GrantAnswer {
        if now >= self.lease_until {
            return GrantAnswer::Ignore(GrantIgnored::NoLease);
        }
        if request.term != self.term {
            return GrantAnswer::Ignore(GrantIgnored::OtherTerm);
        }
        let new_life = match self.heard.get(vm) {
            Some(heard) if incarnation < heard.incarnation => {
                return GrantAnswer::Ignore(GrantIgnored::EarlierLife);
            }
            Some(heard)
                if incarnation == heard.incarnation && request.sequence <= heard.sequence =>
            {
                return GrantAnswer::Ignore(GrantIgnored::Repeated);
            }
            Some(heard) => incarnation > heard.incarnation,
            None => false,
        };
        self.heard.insert(vm.clone(), Heard { incarnation, sequence: request.sequence });
        let old_grants_end = self.old_grants_end;
        let asks: BTreeMap<&OrganisationId, &GrantAsk> =
            request.asks.iter().map(|ask| (&ask.organisation, ask)).collect();
        let mut awards = Vec::with_capacity(request.asks.len());
        for (organisation, bucket) in &mut self.buckets {
            bucket.settle(now);
            if new_life && let Some(lease) = bucket.leases.get_mut(vm) {
                // The tokens ended with the earlier life of the process.
                lease.used_requests = None;
                bucket.drop_lease(vm);
            }
            let Some(ask) = asks.get(organisation) else {
                bucket.drop_lease(vm);
                continue;
            };
            bucket.report(vm, ask, old_grants_end, now);
            let (granted, exhausted) = bucket.grant(vm, ask, now);
            let gives_up = ask.held_requests > RequestCount::ZERO && bucket.is_scarce(now);
            if ask.wanted_requests > RequestCount::ZERO || gives_up {
                awards.push(GrantAward {
                    organisation: organisation.clone(),
                    granted_requests: RequestCount(granted),
                    exhausted: exhausted || gives_up,
                });
            }
        }
        let withholds = now < self.old_grants_end;
        let (sequence, term) = (request.sequence, self.term);
        GrantAnswer::Reply(GrantReply { sequence, term, withholds, awards })
    }
}
