//! The owner of the token buckets: runs on the control leader, one per term.

use std::collections::{BTreeMap, VecDeque};
use std::time::Instant;

use celerygate_types::wire::{GrantAsk, GrantAward, GrantReply, GrantRequest};
use celerygate_types::{Incarnation, OrganisationId, RequestCount, Term, VmId};

use self::bucket::{Bucket, MICRO_PER_TOKEN, RECOVERY_PERIOD};
use self::lease::{Batch, Lease};
use super::{Limit, OWNER_EXPIRY};

mod bucket;
mod lease;
mod window;

/// How to respond to a grant request.
#[derive(Clone, Debug, PartialEq)]
pub enum GrantResponse {
    /// Send this reply.
    Reply(GrantReply),
    /// Send nothing.
    Ignore(GrantIgnoreReason),
}

/// Why a grant request gets no reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum GrantIgnoreReason {
    /// The leader lease of this owner has ended.
    NoLease,
    /// The request is addressed to the owner of another term.
    OtherTerm,
    /// This owner has already replied to a request of this holder with the same or a higher
    /// sequence number.
    Repeated,
    /// The holder's process has restarted since it sent the request.
    EarlierLife,
}

/// Incarnation and sequence number of the last request of a holder.
#[derive(Clone, Copy, Debug)]
struct LastRequest {
    incarnation: Incarnation,
    sequence: u64,
}

/// Owns the bucket of every organisation during one term.
#[derive(Clone, Debug)]
pub struct GrantOwner {
    term: Term,
    lease_until: Instant,
    previous_grants_end: Instant,
    buckets: BTreeMap<OrganisationId, Bucket>,
    last_requests: BTreeMap<VmId, LastRequest>,
}

impl GrantOwner {
    /// Creates an owner whose leader lease begins now. Until a VM reports, for at most
    /// [`OWNER_EXPIRY`], the owner assumes that it holds the maximum number of tokens per VM.
    pub fn new<'a>(
        term: Term,
        vms: impl IntoIterator<Item = &'a VmId>,
        limits: impl IntoIterator<Item = (OrganisationId, Limit)>,
        lease_until: Instant,
        now: Instant,
    ) -> Self {
        let previous_grants_end = now + OWNER_EXPIRY;
        let vms: Vec<&VmId> = vms.into_iter().collect();
        let new_bucket = |limit: Limit| {
            let batch = Batch { requests: limit.per_vm().get(), expires_at: previous_grants_end };
            let mut bucket = Bucket::new(limit, now);
            for vm in &vms {
                let batches = VecDeque::from([batch]);
                let lease = Lease { batches, is_assumed: true, ..Lease::default() };
                bucket.leases.insert((*vm).clone(), lease);
            }
            bucket.count_leases();
            if limit.window.is_some() {
                // Until then, the VMs use their own allowances.
                bucket.refilled_at = previous_grants_end;
            }
            bucket.recovering_until = Some(previous_grants_end + RECOVERY_PERIOD);
            bucket
        };
        let buckets = limits.into_iter().map(|(id, limit)| (id, new_bucket(limit))).collect();
        Self { term, lease_until, previous_grants_end, buckets, last_requests: BTreeMap::new() }
    }

    /// Returns the term of this owner.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Extends the leader lease; an earlier end has no effect.
    pub fn extend_lease(&mut self, until: Instant) {
        self.lease_until = self.lease_until.max(until);
    }

    /// Applies changed limits. Removes the buckets of organisations that are not listed; the bucket
    /// of a new organisation starts at level 0.
    pub fn configure(
        &mut self,
        limits: impl IntoIterator<Item = (OrganisationId, Limit)>,
        now: Instant,
    ) {
        let mut previous = std::mem::take(&mut self.buckets);
        for (organisation, limit) in limits {
            let mut bucket =
                previous.remove(&organisation).unwrap_or_else(|| Bucket::new(limit, now));
            bucket.update(now);
            bucket.limit = limit;
            bucket.clamp_level();
            self.buckets.insert(organisation, bucket);
        }
    }

    /// Returns the level of a bucket and its outstanding tokens.
    pub fn bucket(&self, organisation: &OrganisationId) -> Option<(RequestCount, RequestCount)> {
        let bucket = self.buckets.get(organisation)?;
        let level = u64::try_from(bucket.level_micro).unwrap_or(0) / MICRO_PER_TOKEN;
        Some((RequestCount(level), RequestCount(bucket.outstanding)))
    }

    /// Handles a request of a VM.
    pub fn handle_request(
        &mut self,
        vm: &VmId,
        incarnation: Incarnation,
        request: &GrantRequest,
        now: Instant,
    ) -> GrantResponse {
        if now >= self.lease_until {
            return GrantResponse::Ignore(GrantIgnoreReason::NoLease);
        }
        if request.term != self.term {
            return GrantResponse::Ignore(GrantIgnoreReason::OtherTerm);
        }
        let has_restarted = match self.last_requests.get(vm) {
            Some(last) if incarnation < last.incarnation => {
                return GrantResponse::Ignore(GrantIgnoreReason::EarlierLife);
            }
            Some(last) if incarnation == last.incarnation && request.sequence <= last.sequence => {
                return GrantResponse::Ignore(GrantIgnoreReason::Repeated);
            }
            Some(last) => incarnation > last.incarnation,
            None => false,
        };
        self.last_requests
            .insert(vm.clone(), LastRequest { incarnation, sequence: request.sequence });
        let previous_grants_end = self.previous_grants_end;
        let asks: BTreeMap<&OrganisationId, &GrantAsk> =
            request.asks.iter().map(|ask| (&ask.organisation, ask)).collect();
        let mut awards = Vec::with_capacity(request.asks.len());
        for (organisation, bucket) in &mut self.buckets {
            bucket.update(now);
            if has_restarted && let Some(lease) = bucket.leases.get_mut(vm) {
                // The tokens were lost when the process restarted.
                lease.used_requests = None;
                bucket.drop_lease(vm);
            }
            let Some(ask) = asks.get(organisation) else {
                bucket.drop_lease(vm);
                continue;
            };
            bucket.report(vm, ask, previous_grants_end, now);
            let (granted, exhausted) = bucket.grant(vm, ask, now);
            let must_return = ask.held_requests > RequestCount::ZERO && bucket.is_scarce(now);
            if ask.wanted_requests > RequestCount::ZERO || must_return {
                awards.push(GrantAward {
                    organisation: organisation.clone(),
                    granted_requests: RequestCount(granted),
                    exhausted: exhausted || must_return,
                });
            }
        }
        let withholds = now < self.previous_grants_end;
        let (sequence, term) = (request.sequence, self.term);
        GrantResponse::Reply(GrantReply { sequence, term, withholds, awards })
    }
}
