//! Idempotency keys of non-idempotent requests.
//!
//! The three homes of a key are the VMs with the highest rendezvous hash. An entry VM asks all
//! three to record the request and sends it after two have answered that the key is new. Two of
//! three overlap with any other two, so at most one of several requests with the same key is sent.

use std::time::Duration;

use celerygate_types::wire::OnceVerdict;
use celerygate_types::{OrganisationId, RequestId, ResultCode, VmId};
use smallvec::SmallVec;

use crate::lookup::rendezvous::{first_8_bytes, id_hash, mix};

mod recovery;
mod table;

pub use recovery::{PageAction, RecordPage, ReplicaRecovery};
pub use table::{IdempotencyLimits, IdempotencyTable};

/// VMs that record a key.
pub const REPLICA_COUNT: usize = 3;
/// Answers "new" after which a request is sent.
pub const QUORUM: usize = 2;
/// Time for which a key is kept; a resend after that is a new request.
pub const RETENTION: Duration = Duration::from_secs(3_600);

/// What a record says about a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordKind {
    /// It may have been sent.
    Started,
    /// It was refused and will never be sent.
    Released,
}

/// A change of a home's table, as it is kept on disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IdempotencyRecord {
    /// Hash of the organisation's id.
    pub organisation: u64,
    /// Hash of the idempotency key.
    pub fingerprint: u64,
    /// Hash of the request's id.
    pub request: u64,
    /// What the record says.
    pub change: RecordKind,
}

impl IdempotencyRecord {
    /// Returns the record of a request.
    pub fn new(
        organisation: &OrganisationId,
        fingerprint: u64,
        request: &RequestId,
        change: RecordKind,
    ) -> Self {
        let (organisation, request) = (id_hash(organisation.as_str()), id_hash(request.as_str()));
        Self { organisation, fingerprint, request, change }
    }
}

/// The homes of a key, in order of their hash.
pub type KeyReplicas = SmallVec<[VmId; REPLICA_COUNT]>;

/// Returns the hash of an idempotency key that homes store.
pub fn fingerprint(idempotency_key: &[u8]) -> u64 {
    first_8_bytes(&blake3::hash(idempotency_key))
}

/// The configured VMs with their hashes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Members {
    vms: Vec<(VmId, u64)>,
}

impl Members {
    /// Hashes the ids of the configured VMs, whether they are up or not.
    pub fn new<'a>(vms: impl IntoIterator<Item = &'a VmId>) -> Self {
        Self { vms: vms.into_iter().map(|vm| (vm.clone(), id_hash(vm.as_str()))).collect() }
    }

    /// Returns the homes of a key.
    pub fn replicas(&self, organisation: &OrganisationId, fingerprint: u64) -> KeyReplicas {
        self.replicas_by_hash(id_hash(organisation.as_str()), fingerprint)
    }

    /// Returns the homes of a key of the organisation whose id has this hash.
    pub fn replicas_by_hash(&self, organisation: u64, fingerprint: u64) -> KeyReplicas {
        let subject = mix(organisation, fingerprint);
        let mut best: SmallVec<[(u64, &VmId); REPLICA_COUNT + 1]> = SmallVec::new();
        for (vm, hash) in &self.vms {
            let ranked = (mix(subject, *hash), vm);
            let place = best.iter().position(|known| ranked > *known).unwrap_or(best.len());
            if place < REPLICA_COUNT && best.iter().all(|(_, known)| *known != vm) {
                best.insert(place, ranked);
                best.truncate(REPLICA_COUNT);
            }
        }
        best.into_iter().map(|(_, vm)| vm.clone()).collect()
    }
}

/// Returns the homes of a key among the configured VMs; [`Members`] saves hashing their ids.
pub fn replicas<'a>(
    vms: impl IntoIterator<Item = &'a VmId>,
    organisation: &OrganisationId,
    fingerprint: u64,
) -> KeyReplicas {
    Members::new(vms).replicas(organisation, fingerprint)
}

/// What an entry VM does with a request that carries an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdempotencyDecision {
    /// Send the request.
    Send,
    /// Wait for further answers.
    Wait,
    /// Refuse the request. The entry VM never sends it and may release it at the homes.
    Refuse(ResultCode),
}

/// Decides from the answers that have arrived so far.
///
/// Answers of VMs that are not homes of the key and further answers of the same VM do not count.
/// One answer "duplicate" refuses the request even if two others call the key new: the two can be
/// homes that a change of the members has just made. `is_last` tells that no further answer will
/// arrive in time.
pub fn decide<'a>(
    homes: &[VmId],
    answers: impl IntoIterator<Item = (&'a VmId, OnceVerdict)>,
    is_last: bool,
) -> IdempotencyDecision {
    let mut heard: SmallVec<[&VmId; REPLICA_COUNT]> = SmallVec::new();
    let mut first = 0;
    let mut duplicate = false;
    for (vm, verdict) in answers {
        if !homes.contains(vm) || heard.contains(&vm) {
            continue;
        }
        heard.push(vm);
        match verdict {
            OnceVerdict::First => first += 1,
            OnceVerdict::Duplicate => duplicate = true,
            OnceVerdict::Unknown => {}
        }
    }
    let needed = QUORUM.min(homes.len()).max(1);
    let possible = first + homes.len() - heard.len();
    if duplicate {
        IdempotencyDecision::Refuse(ResultCode::DuplicateRequest)
    } else if first >= needed {
        IdempotencyDecision::Send
    } else if is_last || possible < needed {
        IdempotencyDecision::Refuse(ResultCode::OnceUnavailable)
    } else {
        IdempotencyDecision::Wait
    }
}

#[cfg(test)]
#[path = "idempotency_tests.rs"]
mod tests;
