//! Who sends the configuration to whom, and as what.

mod receive;
mod recent_commands;

use std::time::Duration;

use celerygate_types::VmId;
use celerygate_types::wire::{Configuration, Member, MemberRole};

pub use receive::{DIGEST_UNKNOWN, ReceiveOutcome, receive_delta, receive_snapshot};
pub use recent_commands::{MAX_DELTA_BYTES, RETAINED_REVISIONS, RecentCommands, Update};

/// Largest number of daemons that all have the leader as their parent.
pub const MAX_DIRECT_DAEMONS: usize = 32;
/// Interval between two polls of the parent.
pub const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Largest random part of the poll interval, up or down, in percent.
const POLL_JITTER_PERCENT: u32 = 20;

/// Whom a daemon asks for freshness and changes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Parent {
    /// The daemon is the leader itself.
    Root,
    /// The leader of the control group.
    Leader(VmId),
    /// The relay of the data centre.
    Relay(VmId),
}

/// Selects the parent of a daemon; none while the leader or the daemon's own record is unknown.
///
/// `is_live` is the daemon's own view. Daemons with different views may select different relays,
/// which costs a poll and does no harm, because a relay passes on only what the leader said.
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
    let to_leader = Some(Parent::Leader(leader.clone()));
    if polls_leader_directly(configuration, own) {
        return to_leader;
    }
    let own_record = configuration.members.iter().find(|member| member.vm == *own)?;
    let candidates = configuration.members.iter().filter(|member| {
        let near = member.data_centre == own_record.data_centre && !is_control(member);
        near && (member.vm == *own || is_live(&member.vm))
    });
    let relay = candidates.max_by_key(|member| (relay_weight(member), &member.vm))?;
    if relay.vm == *own { to_leader } else { Some(Parent::Relay(relay.vm.clone())) }
}

/// Returns whether a daemon always has the leader as its parent: control VMs do, and all daemons of
/// a small deployment. Depends on the configuration alone, so that the leader knows whose silence
/// proves that it is not fresh.
pub fn polls_leader_directly(configuration: &Configuration, vm: &VmId) -> bool {
    configuration.members.len() <= MAX_DIRECT_DAEMONS
        || configuration.members.iter().any(|member| member.vm == *vm && is_control(member))
}

/// Returns the time until the next poll, with 20% jitter taken from `random`.
pub fn poll_delay(random: u32) -> Duration {
    let spread = POLL_INTERVAL * POLL_JITTER_PERCENT / 100;
    POLL_INTERVAL - spread + (spread * 2).mul_f64(f64::from(random) / f64::from(u32::MAX))
}

/// Returns the delay of the first poll after a start, which spreads the load of daemons that
/// restart together.
pub fn first_poll_delay(random: u32) -> Duration {
    POLL_INTERVAL.mul_f64(f64::from(random) / f64::from(u32::MAX))
}

fn is_control(member: &Member) -> bool {
    matches!(member.role, MemberRole::Voter | MemberRole::Learner)
}

/// Rendezvous weight of a VM as relay of its data centre.
fn relay_weight(member: &Member) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(member.data_centre.as_str().as_bytes());
    hasher.update(b"/");
    hasher.update(member.vm.as_str().as_bytes());
    let mut first = [0; 8];
    first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(first)
}

#[cfg(test)]
#[path = "distribution_tests.rs"]
mod tests;
