//! Pre-vote, votes and candidacy.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use celerygate_types::wire::{VoteReply, VoteRequest};
use celerygate_types::{Term, VmId};

use super::{
    Action, ELECTION_RETRY_MAX, ELECTION_RETRY_MIN, ELECTION_TIMEOUT_MAX, ELECTION_TIMEOUT_MIN,
    Replica, Role, VOTE_REFUSAL_PERIOD, founding, leader, send,
};
use crate::membership;

/// Stands for election when no leader was heard for the election timeout.
pub(super) fn tick(replica: &mut Replica, random: u64, now: Instant, actions: &mut Vec<Action>) {
    let waits = matches!(replica.role, Role::Leader(_) | Role::Founder(_));
    let due_at = replica.retry_at.unwrap_or(replica.timer_at + replica.election_timeout);
    if waits || now < due_at {
        return;
    }
    replica.timer_at = now;
    replica.election_timeout = draw_timeout(random, ELECTION_TIMEOUT_MIN, ELECTION_TIMEOUT_MAX);
    replica.retry_at = Some(now + draw_timeout(random, ELECTION_RETRY_MIN, ELECTION_RETRY_MAX));
    replica.leader = None;
    if !replica.is_own_vote_counted() {
        return;
    }
    replica.role = Role::PreCandidate(BTreeSet::from([replica.vm.clone()]));
    let next_term = Term(replica.term.0 + 1);
    ask_for_votes(replica, next_term, true, actions);
    count_votes(replica, now, actions);
}

fn ask_for_votes(replica: &Replica, term: Term, pre_vote: bool, actions: &mut Vec<Action>) {
    let request = VoteRequest {
        term,
        last_index: replica.tail.last_index(),
        last_term: replica.tail.last_term(),
        pre_vote,
    };
    let others = membership::voters(&replica.members).filter(|voter| voter.vm != replica.vm);
    actions.extend(others.map(|voter| send(voter.vm.clone(), request.clone())));
}

/// Returns whether the voters' promise to the leader lease forbids a vote now.
///
/// A voter that has just started does not know whom it heard before the restart.
fn is_bound_to_leader(replica: &Replica, now: Instant) -> bool {
    let recently = |since: Instant| now < since + VOTE_REFUSAL_PERIOD;
    let leads = match &replica.role {
        Role::Leader(leadership) => recently(leadership.quorum_at.unwrap_or(leadership.elected_at)),
        _ => false,
    };
    leads || recently(replica.started_at) || replica.heard_at.is_some_and(recently)
}

pub(super) fn vote_request(
    replica: &mut Replica,
    from: VmId,
    request: &VoteRequest,
    now: Instant,
    actions: &mut Vec<Action>,
) {
    let granted = if founding::is_question(request) {
        founding::is_empty(replica, &from)
    } else {
        grant(replica, &from, request, now, actions)
    };
    let term = if granted { request.term } else { replica.term };
    let reply = VoteReply { term, granted, pre_vote: request.pre_vote, store_id: replica.store_id };
    actions.push(send(from, reply));
}

fn grant(
    replica: &mut Replica,
    from: &VmId,
    request: &VoteRequest,
    now: Instant,
    actions: &mut Vec<Action>,
) -> bool {
    let is_current = (request.last_term, request.last_index)
        >= (replica.tail.last_term(), replica.tail.last_index());
    let may_vote = membership::may_vote(&replica.members, &replica.vm, replica.store_id);
    if !may_vote || is_bound_to_leader(replica, now) || request.term < replica.term {
        return false;
    }
    if request.pre_vote {
        return is_current && request.term > replica.term;
    }
    let is_free = request.term > replica.term
        || replica.voted_for.is_none()
        || replica.voted_for.as_ref() == Some(from);
    if !(is_current && is_free) {
        if request.term > replica.term {
            replica.follow(request.term, None, now, actions);
        }
        return false;
    }
    if request.term > replica.term {
        if replica.is_leader() {
            actions.push(Action::StepDown(replica.term));
        }
        replica.role = Role::Follower;
        replica.leader = None;
        replica.acknowledgement = None;
    }
    if request.term > replica.term || replica.voted_for.is_none() {
        replica.persist(request.term, Some(from.clone()), actions);
    }
    replica.timer_at = now;
    replica.retry_at = None;
    true
}

pub(super) fn vote_reply(
    replica: &mut Replica,
    from: VmId,
    reply: &VoteReply,
    now: Instant,
    actions: &mut Vec<Action>,
) {
    if !reply.granted {
        if reply.term > replica.term {
            replica.follow(reply.term, None, now, actions);
        }
        return;
    }
    if !membership::counts_as_voter(&replica.members, &from, reply.store_id) {
        return;
    }
    let next_term = Term(replica.term.0 + 1);
    match &mut replica.role {
        Role::PreCandidate(votes) if reply.pre_vote && reply.term == next_term => {
            votes.insert(from);
        }
        Role::Candidate(votes) if !reply.pre_vote && reply.term == replica.term => {
            votes.insert(from);
        }
        _ => return,
    }
    count_votes(replica, now, actions);
}

fn count_votes(replica: &mut Replica, now: Instant, actions: &mut Vec<Action>) {
    let quorum = membership::quorum(&replica.members);
    if matches!(&replica.role, Role::PreCandidate(votes) if votes.len() >= quorum) {
        let term = Term(replica.term.0 + 1);
        replica.persist(term, Some(replica.vm.clone()), actions);
        replica.role = Role::Candidate(BTreeSet::from([replica.vm.clone()]));
        ask_for_votes(replica, term, false, actions);
    }
    if matches!(&replica.role, Role::Candidate(votes) if votes.len() >= quorum) {
        leader::begin(replica, now, actions);
    }
}

/// Returns a time between two limits.
pub(super) fn draw_timeout(random: u64, min: Duration, max: Duration) -> Duration {
    let spread_ms = (max - min).as_millis() as u64;
    min + Duration::from_millis(random % (spread_ms + 1))
}
