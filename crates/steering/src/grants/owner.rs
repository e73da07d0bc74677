//! The owner of the rate buckets: runs on the control leader, one per term.

use std::collections::{BTreeMap, VecDeque};
use std::time::Instant;

use celerygate_types::wire::{GrantAsk, GrantAward, GrantReply, GrantRequest};
use celerygate_types::{Incarnation, OrganisationId, RequestCount, Term, VmId};

use self::bucket::{Bucket, MICRO, RECOVERY_TIME};
use self::lease::{Batch, Lease};
use super::{Limit, OWNER_EXPIRY};

mod bucket;
mod lease;
mod window;

/// What to do about a grant request.
#[derive(Clone, Debug, PartialEq)]
pub enum GrantResponse {
    /// Send this reply.
    Reply(GrantReply),
    /// Send nothing.
    Ignore(GrantIgnoreReason),
}

/// Why a grant request is not answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum GrantIgnoreReason {
    /// This owner has no leader lease.
    NoLease,
    /// The request is for the owner of another term.
    OtherTerm,
    /// A request of this holder with the same or a later sequence number was answered.
    Repeated,
    /// A later life of the holder is known.
    EarlierLife,
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
        let new_life = match self.heard.get(vm) {
            Some(heard) if incarnation < heard.incarnation => {
                return GrantResponse::Ignore(GrantIgnoreReason::EarlierLife);
            }
            Some(heard)
                if incarnation == heard.incarnation && request.sequence <= heard.sequence =>
            {
                return GrantResponse::Ignore(GrantIgnoreReason::Repeated);
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
        GrantResponse::Reply(GrantReply { sequence, term, withholds, awards })
    }
}
