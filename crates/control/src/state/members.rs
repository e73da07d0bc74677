//! Changes of the members of the deployment.

use celerygate_types::ResultCode;
use celerygate_types::wire::{Configuration, DrainSubject, Member, MemberRole, MembershipChange};

use super::{ApplyOutcome, raise_revision};

/// Largest number of voters. More voters would slow down each commit and protect only against less
/// likely losses.
pub const MAX_VOTERS: usize = 7;

pub(super) fn change_members(
    configuration: &mut Configuration,
    change: &MembershipChange,
) -> Result<ApplyOutcome, ResultCode> {
    let vm = match change {
        MembershipChange::AddLearner(member) => &member.vm,
        MembershipChange::Promote(vm) | MembershipChange::Remove(vm) => vm,
    };
    let found = configuration.members.iter().position(|member| member.vm == *vm);
    let voters = configuration.members.iter().filter(|member| is_voter(member)).count();
    let is_last_voter =
        voters == 1 && found.is_some_and(|index| is_voter(&configuration.members[index]));
    match (change, found) {
        (MembershipChange::AddLearner(member), _) if is_voter(member) => {
            return Err(ResultCode::BadRequest);
        }
        (MembershipChange::AddLearner(member), Some(index)) => {
            let known = &mut configuration.members[index];
            // A voter that still has the same data folder remains a voter.
            if known == member || is_same_voter(known, member) {
                return Ok(ApplyOutcome::Unchanged);
            }
            if is_last_voter {
                return Err(ResultCode::IntentState);
            }
            known.clone_from(member);
        }
        (MembershipChange::AddLearner(member), None) => configuration.members.push(member.clone()),
        (_, None) => return Err(ResultCode::SubjectUnknown),
        (MembershipChange::Promote(_), Some(index)) => {
            let member = &mut configuration.members[index];
            match member.role {
                MemberRole::Voter => return Ok(ApplyOutcome::Unchanged),
                MemberRole::Follower => return Err(ResultCode::IntentState),
                MemberRole::Learner if voters >= MAX_VOTERS => return Err(ResultCode::IntentState),
                MemberRole::Learner => member.role = MemberRole::Voter,
            }
        }
        (MembershipChange::Remove(_), Some(index)) => {
            if is_last_voter {
                return Err(ResultCode::IntentState);
            }
            // A VM that joins again under this name must not be drained.
            let drain = DrainSubject::Vm(configuration.members.remove(index).vm);
            configuration.drains.retain(|known| *known != drain);
        }
    }
    raise_revision(configuration);
    Ok(ApplyOutcome::MembersChanged)
}

fn is_voter(member: &Member) -> bool {
    member.role == MemberRole::Voter
}

fn is_same_voter(known: &Member, member: &Member) -> bool {
    let mut as_voter = member.clone();
    as_voter.role = MemberRole::Voter;
    *known == as_voter
}
