//! Membership changes of the control group, one at a time.
//!
//! A member is identified by its VM id and its store id together. A VM that returns with another
//! store id is a new member with the same address: it becomes a learner, receives the log, and is
//! promoted once it has stored everything that is committed.

use std::cmp::Ordering;
use std::time::Duration;

use celerygate_types::VmId;
use celerygate_types::wire::{Command, Member, MemberRole, MembershipChange};
use thiserror::Error;

/// The leader's view of another member.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemberProgress {
    /// The store id in the member's latest reply of this term.
    pub reported_store_id: Option<u64>,
    /// Whether a reply arrived recently.
    pub reachable: bool,
    /// Whether the member has stored everything that is committed.
    pub caught_up: bool,
}

/// Why a membership change is refused.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum MembershipError {
    /// An earlier change is not committed yet.
    #[error("another membership change is in progress")]
    ChangeInProgress,
    /// The VM is not in the group.
    #[error("VM {0} is not a member")]
    UnknownMember(VmId),
    /// The VM is not a learner.
    #[error("VM {0} is not a learner")]
    NotLearner(VmId),
    /// The change adds a VM with the role of a voter or follower.
    #[error("VM {0} must be added as a learner")]
    NotAddedAsLearner(VmId),
    /// The learner lacks committed entries, is unreachable, or has an unrecorded store.
    #[error("VM {0} has not caught up")]
    NotCaughtUp(VmId),
    /// The change would leave too few reachable voters to commit anything.
    #[error("too few reachable voters would remain")]
    TooFewVoters,
}

/// Returns whether the member receives the log.
pub fn is_in_group(member: &Member) -> bool {
    member.role != MemberRole::Follower
}

/// Returns whether a vote or acknowledgement from this VM and store counts towards a quorum.
pub fn counts_as_voter(members: &[Member], vm: &VmId, store_id: u64) -> bool {
    find(members, vm)
        .is_some_and(|member| member.role == MemberRole::Voter && member.store_id == Some(store_id))
}

/// Returns whether a VM with this store may cast a vote.
///
/// A learner may vote: it can have been promoted by an entry that it has not received yet, and the
/// candidate counts the vote only if its own log contains that promotion.
pub fn may_vote(members: &[Member], vm: &VmId, store_id: u64) -> bool {
    find(members, vm).is_some_and(|member| is_in_group(member) && member.store_id == Some(store_id))
}

/// Returns the voters.
pub fn voters(members: &[Member]) -> impl Iterator<Item = &Member> {
    members.iter().filter(|member| member.role == MemberRole::Voter)
}

/// Returns how many voters form a quorum.
pub fn quorum(members: &[Member]) -> usize {
    voters(members).count() / 2 + 1
}

/// Returns the member with this id.
pub fn find<'a>(members: &'a [Member], vm: &VmId) -> Option<&'a Member> {
    members.iter().find(|member| member.vm == *vm)
}

/// Applies a log command to the members; commands that do not concern members have no effect.
pub fn apply_command(members: &mut Vec<Member>, command: &Command) {
    match command {
        Command::Bootstrap(configuration) => members.clone_from(&configuration.members),
        Command::Membership(change) => apply_change(members, change),
        _ => {}
    }
}

/// Applies a membership change; promoting a VM that is not a learner has no effect.
pub fn apply_change(members: &mut Vec<Member>, change: &MembershipChange) {
    match change {
        MembershipChange::AddLearner(added) => {
            let added = Member { role: MemberRole::Learner, ..added.clone() };
            match members.iter_mut().find(|member| member.vm == added.vm) {
                Some(member) => *member = added,
                None => members.push(added),
            }
        }
        MembershipChange::Promote(vm) => {
            if let Some(member) = members.iter_mut().find(|member| member.vm == *vm)
                && member.role == MemberRole::Learner
            {
                member.role = MemberRole::Voter;
            }
        }
        MembershipChange::Remove(vm) => members.retain(|member| member.vm != *vm),
    }
}

/// Checks whether a change is allowed, given the members and the leader's view of them.
///
/// `progress` returns `None` for the leader itself.
pub fn check_change(
    members: &[Member],
    change: &MembershipChange,
    progress: impl Fn(&VmId) -> Option<MemberProgress>,
) -> Result<(), MembershipError> {
    match change {
        MembershipChange::AddLearner(added) if added.role != MemberRole::Learner => {
            return Err(MembershipError::NotAddedAsLearner(added.vm.clone()));
        }
        MembershipChange::AddLearner(_) => {}
        MembershipChange::Promote(vm) => {
            let member =
                find(members, vm).ok_or_else(|| MembershipError::UnknownMember(vm.clone()))?;
            if member.role != MemberRole::Learner {
                return Err(MembershipError::NotLearner(vm.clone()));
            }
            let is_ready = progress(vm).is_some_and(|status| {
                status.reachable
                    && status.caught_up
                    && status.reported_store_id.is_some()
                    && status.reported_store_id == member.store_id
            });
            if !is_ready {
                return Err(MembershipError::NotCaughtUp(vm.clone()));
            }
        }
        MembershipChange::Remove(vm) => {
            find(members, vm).ok_or_else(|| MembershipError::UnknownMember(vm.clone()))?;
        }
    }
    let mut members_after = members.to_vec();
    apply_change(&mut members_after, change);
    let reachable = voters(&members_after)
        .filter(|voter| {
            progress(&voter.vm)
                .is_none_or(|status| status.reachable && status.reported_store_id == voter.store_id)
        })
        .count();
    if reachable < quorum(&members_after) {
        return Err(MembershipError::TooFewVoters);
    }
    Ok(())
}

/// Returns the change that the leader should propose next, if any.
///
/// A reachable member that replies from an unrecorded store becomes a learner with that store; a
/// learner that has caught up becomes a voter. The first goes before the second: a promotion can
/// wait for room in the group, and until then the lost store counts as a voter.
pub fn next_change(
    members: &[Member],
    progress: impl Fn(&VmId) -> Option<MemberProgress>,
) -> Option<MembershipChange> {
    let in_group = || members.iter().filter(|member| is_in_group(member));
    let replaced = in_group().filter_map(|member| {
        let status = progress(&member.vm)?;
        let is_replaced = status.reachable
            && status.reported_store_id.is_some()
            && status.reported_store_id != member.store_id;
        let role = MemberRole::Learner;
        let added = Member { store_id: status.reported_store_id, role, ..member.clone() };
        is_replaced.then_some(MembershipChange::AddLearner(added))
    });
    let promoted = in_group()
        .filter(|member| member.role == MemberRole::Learner)
        .map(|member| MembershipChange::Promote(member.vm.clone()));
    replaced.chain(promoted).find(|change| check_change(members, change, &progress).is_ok())
}

/// Time without a reply after which a learner that has caught up replaces a voter. Longer than an
/// election and a restart of the process, neither of which should cost a voter its role.
pub const VOTER_REPLACEMENT_TIMEOUT: Duration = Duration::from_millis(2_500);

/// The number of voters that the control group aims for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GroupSize {
    lost_disks_max: usize,
}

impl GroupSize {
    /// Returns the size of a group that keeps all accepted commands when this many disks are lost.
    pub fn for_lost_disks(lost_disks_max: usize) -> Self {
        Self { lost_disks_max }
    }

    /// Returns the number of voters.
    pub fn voters(self) -> usize {
        2 * self.lost_disks_max + 1
    }

    /// Returns whether a quorum is larger than the number of disks that may be lost.
    pub fn commits_survive_disk_loss(self, members: &[Member]) -> bool {
        quorum(members) > self.lost_disks_max
    }

    /// Returns the next change, given the one that [`next_change`] proposes.
    ///
    /// While there are enough voters, no learner is promoted, except to replace a voter that is
    /// lost or leaves. That voter is removed after the promotion, so that no moment has fewer
    /// voters than the group's size: a voter that is only cut off still has its disk, and two
    /// other disks can be lost at any moment.
    ///
    /// A leader can be lost between that promotion and that removal. The next leader may not know
    /// which voter was leaving, so any lost voter is removed while there are too many.
    pub fn next_change(
        self,
        members: &[Member],
        proposed: Option<MembershipChange>,
        time_since_reply: impl Fn(&VmId) -> Option<Duration>,
        is_leaving: impl Fn(&VmId) -> bool,
    ) -> Option<MembershipChange> {
        let is_lost = |voter: &&Member| {
            time_since_reply(&voter.vm).is_some_and(|time| time >= VOTER_REPLACEMENT_TIMEOUT)
        };
        let leaving = voters(members).find(|voter| is_leaving(&voter.vm));
        let replaced = leaving.or_else(|| voters(members).find(is_lost));
        match (proposed, voters(members).count().cmp(&self.voters())) {
            (Some(MembershipChange::Promote(vm)), Ordering::Equal) => {
                replaced.map(|_| MembershipChange::Promote(vm))
            }
            (Some(MembershipChange::Promote(_)) | None, Ordering::Greater) => {
                replaced.map(|voter| MembershipChange::Remove(voter.vm.clone()))
            }
            (other, _) => other,
        }
    }
}

#[cfg(test)]
#[path = "membership_tests.rs"]
mod tests;
