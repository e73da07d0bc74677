//! Distribution of the configuration from the leader to the daemons, directly or through one relay
//! per data centre.

mod receive;
mod recent_commands;

use std::time::Duration;

use celerygate_types::VmId;
use celerygate_types::wire::{Configuration, Member, MemberRole};

pub use receive::{DIGEST_UNKNOWN, ReceiveOutcome, receive_delta, receive_snapshot};
pub use recent_commands::{MAX_DELTA_BYTES, RETAINED_REVISIONS, RecentCommands, Update};

/// Largest number of daemons in a deployment whose daemons all poll the leader directly.
pub const MAX_DIRECT_DAEMONS: usize = 32;
/// Interval between two polls of the parent.
pub const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Largest random deviation from the poll interval in either direction, in percent.
const POLL_JITTER_PERCENT: u32 = 20;

/// The VM that a daemon polls for freshness and configuration changes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Parent {
    /// The daemon is the leader and has no parent.
    Root,
    /// The leader of the control group.
    Leader(VmId),
    /// The relay of the data centre.
    Relay(VmId),
}

/// Selects the parent of a daemon. Returns `None` while the leader or the daemon's own member
/// record is unknown.
///
/// `is_live` reflects the daemon's own view. Daemons with different views may select different
/// relays. This costs a poll but is safe, because a relay forwards only what the leader stated.
pub fn select_parent(
    configuration: &Configuration,
    own: &VmId,
    leader: Option<&VmId>,
    is_live: impl Fn(&VmId) -> bool,
) -> Option<Parent> {
    let leader = leader?;
    if own == leader {
        return Some(Parent::Root);
    }
    let leader_parent = Some(Parent::Leader(leader.clone()));
    if polls_leader_directly(configuration, own) {
        return leader_parent;
    }
    let own_record = configuration.members.iter().find(|member| member.vm == *own)?;
    let candidates = configuration.members.iter().filter(|member| {
        let is_eligible = member.data_centre == own_record.data_centre && !is_control(member);
        is_eligible && (member.vm == *own || is_live(&member.vm))
    });
    let relay = candidates.max_by_key(|member| (relay_weight(member), &member.vm))?;
    if relay.vm == *own { leader_parent } else { Some(Parent::Relay(relay.vm.clone())) }
}

/// Returns whether a daemon always has the leader as its parent. This holds for control VMs and for
/// all daemons of a small deployment.
///
/// The result depends on the configuration alone, so that the leader knows which daemons cannot be
/// fresh when it receives no requests from them.
pub fn polls_leader_directly(configuration: &Configuration, vm: &VmId) -> bool {
    configuration.members.len() <= MAX_DIRECT_DAEMONS
        || configuration.members.iter().any(|member| member.vm == *vm && is_control(member))
}

/// Returns the delay of the next poll, with a jitter of 20% derived from `random`.
pub fn poll_delay(random: u32) -> Duration {
    let jitter = POLL_INTERVAL * POLL_JITTER_PERCENT / 100;
    POLL_INTERVAL - jitter + (jitter * 2).mul_f64(f64::from(random) / f64::from(u32::MAX))
}

/// Returns the delay of the first poll after a start, which spreads the load when many daemons
/// restart at the same time.
pub fn first_poll_delay(random: u32) -> Duration {
    POLL_INTERVAL.mul_f64(f64::from(random) / f64::from(u32::MAX))
}

fn is_control(member: &Member) -> bool {
    matches!(member.role, MemberRole::Voter | MemberRole::Learner)
}

/// Returns the rendezvous hashing weight of a VM as the relay of its data centre.
fn relay_weight(member: &Member) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(member.data_centre.as_str().as_bytes());
    hasher.update(b"/");
    hasher.update(member.vm.as_str().as_bytes());
    let mut prefix = [0; 8];
    prefix.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(prefix)
}

#[cfg(test)]
#[path = "distribution_tests.rs"]
mod tests;
