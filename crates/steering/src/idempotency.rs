//! Deduplication of non-idempotent requests by idempotency key.
//!
//! Each key has three replicas: the VMs with the highest rendezvous hashes for it. An entry VM asks
//! all three replicas to record the request, and sends the request after two of them have replied
//! that the key is new. Any two quorums of two out of three overlap, so at most one of several
//! requests with the same key is sent.

use std::time::Duration;

use celerygate_types::wire::OnceVerdict;
use celerygate_types::{OrganisationId, RequestId, ResultCode, VmId};
use smallvec::SmallVec;

use crate::lookup::rendezvous::{first_8_bytes, id_hash, mix};

mod recovery;
mod table;

pub use recovery::{PageAction, RecordPage, ReplicaRecovery};
pub use table::{IdempotencyLimits, IdempotencyTable};

/// Number of VMs that record a key.
pub const REPLICA_COUNT: usize = 3;
/// Number of replicas that must report a key as new before the request is sent.
pub const QUORUM: usize = 2;
/// Time for which a key is kept. A request with the same key after that counts as a new request.
pub const RETENTION: Duration = Duration::from_secs(3_600);

/// What a record reports about its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordKind {
    /// The request may have been sent.
    Started,
    /// The request was refused and will never be sent.
    Released,
}

/// A change to a replica's table, as stored on disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IdempotencyRecord {
    /// Hash of the organisation's id.
    pub organisation: u64,
    /// Hash of the idempotency key.
    pub fingerprint: u64,
    /// Hash of the request's id.
    pub request: u64,
    /// What it reports about the request.
    pub kind: RecordKind,
}

impl IdempotencyRecord {
    /// Returns the record of a request.
    pub fn new(
        organisation: &OrganisationId,
        fingerprint: u64,
        request: &RequestId,
        kind: RecordKind,
    ) -> Self {
        let (organisation, request) = (id_hash(organisation.as_str()), id_hash(request.as_str()));
        Self { organisation, fingerprint, request, kind }
    }
}

/// The replicas of a key, in descending order of their hashes.
pub type KeyReplicas = SmallVec<[VmId; REPLICA_COUNT]>;

/// Returns the hash under which replicas store an idempotency key.
pub fn fingerprint(idempotency_key: &[u8]) -> u64 {
    first_8_bytes(&blake3::hash(idempotency_key))
}

/// The configured VMs with the hashes of their ids.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Members {
    vms: Vec<(VmId, u64)>,
}

impl Members {
    /// Hashes the ids of the configured VMs, including VMs that are down.
    pub fn new<'a>(vms: impl IntoIterator<Item = &'a VmId>) -> Self {
        Self { vms: vms.into_iter().map(|vm| (vm.clone(), id_hash(vm.as_str()))).collect() }
    }

    /// Returns the replicas of a key.
    pub fn replicas(&self, organisation: &OrganisationId, fingerprint: u64) -> KeyReplicas {
        self.replicas_by_hash(id_hash(organisation.as_str()), fingerprint)
    }

    /// Returns the replicas of a key of the organisation whose id has this hash.
    pub fn replicas_by_hash(&self, organisation: u64, fingerprint: u64) -> KeyReplicas {
        let subject = mix(organisation, fingerprint);
        let mut best: SmallVec<[(u64, &VmId); REPLICA_COUNT + 1]> = SmallVec::new();
        for (vm, hash) in &self.vms {
            let candidate = (mix(subject, *hash), vm);
            let rank = best.iter().position(|other| candidate > *other).unwrap_or(best.len());
            if rank < REPLICA_COUNT && best.iter().all(|(_, other)| *other != vm) {
                best.insert(rank, candidate);
                best.truncate(REPLICA_COUNT);
            }
        }
        best.into_iter().map(|(_, vm)| vm.clone()).collect()
    }
}

/// Returns the replicas of a key among the configured VMs. Use [`Members`] to hash their ids only
/// once.
pub fn replicas<'a>(
    vms: impl IntoIterator<Item = &'a VmId>,
    organisation: &OrganisationId,
    fingerprint: u64,
) -> KeyReplicas {
    Members::new(vms).replicas(organisation, fingerprint)
}

/// Decision of an entry VM about a request with an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdempotencyDecision {
    /// Send the request.
    Send,
    /// Wait for further replies.
    Wait,
    /// Refuse the request. The entry VM never sends it, and may release the key at the replicas.
    Refuse(ResultCode),
}

/// Decides from the replies that have arrived so far.
///
/// Replies of VMs that are not replicas of the key, and repeated replies of a VM, are ignored. A
/// single "duplicate" reply refuses the request even if the other two report the key as new,
/// because those two may have become replicas only through a recent membership change. `is_last`
/// means that no further reply will arrive in time.
pub fn decide<'a>(
    replicas: &[VmId],
    replies: impl IntoIterator<Item = (&'a VmId, OnceVerdict)>,
    is_last: bool,
) -> IdempotencyDecision {
    let mut replied: SmallVec<[&VmId; REPLICA_COUNT]> = SmallVec::new();
    let mut first = 0;
    let mut duplicate = false;
    for (vm, verdict) in replies {
        if !replicas.contains(vm) || replied.contains(&vm) {
            continue;
        }
        replied.push(vm);
        match verdict {
            OnceVerdict::First => first += 1,
            OnceVerdict::Duplicate => duplicate = true,
            OnceVerdict::Unknown => {}
        }
    }
    let quorum = QUORUM.min(replicas.len()).max(1);
    let max_first = first + replicas.len() - replied.len();
    if duplicate {
        IdempotencyDecision::Refuse(ResultCode::DuplicateRequest)
    } else if first >= quorum {
        IdempotencyDecision::Send
    } else if is_last || max_first < quorum {
        IdempotencyDecision::Refuse(ResultCode::OnceUnavailable)
    } else {
        IdempotencyDecision::Wait
    }
}

#[cfg(test)]
#[path = "idempotency_tests.rs"]
mod tests;
