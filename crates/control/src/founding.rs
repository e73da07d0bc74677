//! The first voters of a group that a majority of the founders creates on the first start.
//!
//! The data folders that founders create on the first start get store ids that follow from the ids
//! of the founders. Every founder therefore knows the first configuration without a message: all
//! founders vote, each with the store of its first start. A folder that comes back empty gets a
//! random store id and has no vote, so no founder can vote twice in a term.

use celerygate_types::VmId;
use celerygate_types::wire::{Configuration, MemberRole};

use crate::membership;

/// Separates the store ids of founders from other uses of the hash.
const HASH_CONTEXT: &str = "celerygate control group founder store";

/// Returns the store id of a founder's data folder that was created on the first start.
///
/// It depends on all founders, in any order: VMs that were told other founders do not count each
/// other's votes. A deployment that is started anew with the same founders gets the same ids, so all
/// data folders have to be emptied before.
pub fn store_id(vm: &VmId, founders: &[VmId]) -> u64 {
    let mut sorted: Vec<&str> = founders.iter().map(VmId::as_str).collect();
    sorted.sort_unstable();
    sorted.dedup();
    let mut hasher = blake3::Hasher::new_derive_key(HASH_CONTEXT);
    for id in std::iter::once(vm.as_str()).chain(sorted) {
        hasher.update(&(id.len() as u64).to_le_bytes());
        hasher.update(id.as_bytes());
    }
    let mut first = [0; 8];
    first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(first)
}

/// Returns the configuration with all its control VMs as voters with the stores of the first start.
pub fn first_configuration(mut configuration: Configuration) -> Configuration {
    let members = configuration.members.iter().filter(|member| membership::is_in_group(member));
    let founders: Vec<VmId> = members.map(|member| member.vm.clone()).collect();
    for member in configuration.members.iter_mut().filter(|m| membership::is_in_group(m)) {
        member.role = MemberRole::Voter;
        member.store_id = Some(store_id(&member.vm, &founders));
    }
    configuration
}

#[cfg(test)]
#[path = "founding_tests.rs"]
mod tests;
