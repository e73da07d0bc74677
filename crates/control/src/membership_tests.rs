//! Tests of membership changes: a group must not count a member that lacks the log.

use super::*;

fn vm(number: u64) -> VmId {
    format!("vm-{number}").parse().unwrap()
}

fn member(number: u64, role: MemberRole) -> Member {
    Member {
        callers_address: "127.0.0.1:1".into(),
        operators_address: "127.0.0.1:2".into(),
        peer_address: "127.0.0.1:3".into(),
        data_centre: "dc".parse().unwrap(),
        region: "r".parse().unwrap(),
        role,
        store_id: Some(number),
        vm: vm(number),
    }
}

fn three_voters_and_learner() -> Vec<Member> {
    let role = |number| if number == 4 { MemberRole::Learner } else { MemberRole::Voter };
    (1..=4).map(|number| member(number, role(number))).collect()
}

fn progress(number: u64) -> MemberProgress {
    MemberProgress { reported_store_id: Some(number), reachable: true, caught_up: true }
}

/// Returns the view that the leader, VM 1, has of the others: all are healthy voters or learners
/// except for the given one.
fn progress_with(
    other: u64,
    other_progress: MemberProgress,
) -> impl Fn(&VmId) -> Option<MemberProgress> {
    move |id| match (1..=4).find(|number| vm(*number) == *id) {
        Some(1) => None,
        Some(number) if number == other => Some(other_progress),
        Some(number) => Some(progress(number)),
        None => Some(MemberProgress::default()),
    }
}

/// Guards against promoting a learner that lacks entries, is unreachable, or has another disk.
#[test]
fn check_change_promote() {
    let members = three_voters_and_learner();
    let check = |p| check_change(&members, &MembershipChange::Promote(vm(4)), progress_with(4, p));
    let refused = Err(MembershipError::NotCaughtUp(vm(4)));
    assert_eq!(check(progress(4)), Ok(()));
    assert_eq!(check(MemberProgress { caught_up: false, ..progress(4) }), refused);
    assert_eq!(check(MemberProgress { reachable: false, ..progress(4) }), refused);
    assert_eq!(check(MemberProgress { reported_store_id: Some(9), ..progress(4) }), refused);
    assert_eq!(check(MemberProgress::default()), refused);
}

/// Guards against a change after which no entry can be committed.
#[test]
fn check_change_keeps_quorum() {
    let members = three_voters_and_learner();
    let lost = progress_with(2, MemberProgress::default());
    let remove = |number| MembershipChange::Remove(vm(number));
    assert_eq!(check_change(&members, &remove(3), &lost), Err(MembershipError::TooFewVoters));
    assert_eq!(check_change(&members, &remove(2), &lost), Ok(()));
    let unknown = Err(MembershipError::UnknownMember(vm(9)));
    assert_eq!(check_change(&members, &remove(9), &lost), unknown);
    let added = MembershipChange::AddLearner(member(5, MemberRole::Voter));
    let refused = Err(MembershipError::NotAddedAsLearner(vm(5)));
    assert_eq!(check_change(&members, &added, &lost), refused);
}

/// Guards against counting the vote of a VM whose disk was replaced, and against promoting it
/// before it has caught up.
#[test]
fn next_change_replaced_disk() {
    let mut members = three_voters_and_learner();
    members.truncate(3);
    let replaced = progress_with(3, MemberProgress { caught_up: false, ..progress(33) });
    let change = next_change(&members, &replaced).unwrap();
    let learner = Member { store_id: Some(33), ..member(3, MemberRole::Learner) };
    assert_eq!(change, MembershipChange::AddLearner(learner));
    assert!(counts_as_voter(&members, &vm(3), 3) && !counts_as_voter(&members, &vm(3), 33));
    assert!(!may_vote(&members, &vm(3), 33));
    apply_change(&mut members, &change);
    assert!(!counts_as_voter(&members, &vm(3), 33) && !may_vote(&members, &vm(3), 3));
    assert_eq!(next_change(&members, &replaced), None);
    let caught_up = progress_with(3, progress(33));
    assert_eq!(next_change(&members, &caught_up), Some(MembershipChange::Promote(vm(3))));
    assert_eq!(quorum(&members), 2);
}

/// Guards against a lost disk that goes unnoticed while a learner waits for room in the group: the
/// group keeps a voter without a disk and never promotes the learner.
#[test]
fn next_change_replaced_disk_after_waiting_learner() {
    let mut members = three_voters_and_learner();
    members.rotate_right(1);
    let replaced = progress_with(3, progress(33));
    let learner = Member { store_id: Some(33), ..member(3, MemberRole::Learner) };
    let change = next_change(&members, &replaced);
    assert_eq!(change, Some(MembershipChange::AddLearner(learner)));
    let size = GroupSize::for_lost_disks(1);
    let next = size.next_change(&members, change.clone(), |_| Some(Duration::ZERO), |_| false);
    assert_eq!(next, change);
}

/// Guards against a group that grows beyond its size, against removing a voter that only restarts,
/// and against a moment with too few voters while a voter is replaced that is only cut off.
#[test]
fn group_size_learner_replaces_lost_voter() {
    let size = GroupSize::for_lost_disks(1);
    let members = three_voters_and_learner();
    let promote = || Some(MembershipChange::Promote(vm(4)));
    let last_reply_before = |time: Duration| move |id: &VmId| (*id == vm(2)).then_some(time);
    let stays = |_: &VmId| false;
    let next = |members: &[Member], proposed, time| {
        size.next_change(members, proposed, last_reply_before(time), stays)
    };
    assert_eq!(next(&members, promote(), Duration::from_secs(1)), None);
    assert_eq!(next(&members, promote(), VOTER_REPLACEMENT_TIMEOUT), promote());
    let mut four_voters = members.clone();
    four_voters[3].role = MemberRole::Voter;
    assert_eq!(next(&four_voters, None, Duration::from_secs(1)), None);
    assert_eq!(
        next(&four_voters, None, VOTER_REPLACEMENT_TIMEOUT),
        Some(MembershipChange::Remove(vm(2)))
    );
    let two_voters: Vec<Member> =
        members.iter().filter(|member| member.vm != vm(2)).cloned().collect();
    assert_eq!(next(&two_voters, promote(), VOTER_REPLACEMENT_TIMEOUT), promote());
}

/// Guards against a VM that has left and counts as a voter until it is silent for 2.5 s, so that too
/// few voters remain when disks are lost meanwhile.
#[test]
fn group_size_learner_replaces_leaving_voter() {
    let size = GroupSize::for_lost_disks(1);
    let mut members = three_voters_and_learner();
    let promote = || Some(MembershipChange::Promote(vm(4)));
    let replies = |_: &VmId| Some(Duration::ZERO);
    let next = |members: &[Member], proposed, leaving: u64| {
        size.next_change(members, proposed, replies, |id| *id == vm(leaving))
    };
    assert_eq!(next(&members, promote(), 9), None);
    assert_eq!(next(&members, None, 2), None, "a restarting voter was removed without successor");
    assert_eq!(next(&members, promote(), 2), promote());
    members[3].role = MemberRole::Voter;
    assert_eq!(next(&members, None, 2), Some(MembershipChange::Remove(vm(2))));
    assert_eq!(next(&members, None, 9), None, "a voter that stays was removed");
}

/// Guards against a group that stays one voter too large because the leader was lost between a
/// promotion and the removal of the voter that left: lost voters are no longer replaced then.
#[test]
fn group_size_lost_voter_above_size() {
    let size = GroupSize::for_lost_disks(1);
    let mut members = three_voters_and_learner();
    members[3].role = MemberRole::Voter;
    members.push(member(5, MemberRole::Learner));
    let silent = |id: &VmId| (*id == vm(2)).then_some(VOTER_REPLACEMENT_TIMEOUT);
    let promote = Some(MembershipChange::Promote(vm(5)));
    for proposed in [None, promote] {
        let next = size.next_change(&members, proposed, silent, |_| false);
        assert_eq!(next, Some(MembershipChange::Remove(vm(2))));
    }
}

/// Guards against accepting a change while the loss of as many disks as tolerated could undo it.
#[test]
fn group_size_commits_survive_disk_loss() {
    let size = GroupSize::for_lost_disks(2);
    let voters = |count: u64| -> Vec<Member> {
        (1..=count).map(|number| member(number, MemberRole::Voter)).collect()
    };
    let survives: Vec<bool> =
        (1..=6).map(|count| size.commits_survive_disk_loss(&voters(count))).collect();
    assert_eq!(survives, [false, false, false, true, true, true]);
}
