//! Pre-votes, votes and elections.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use celerygate_types::wire::{VoteReply, VoteRequest};
use celerygate_types::{Term, VmId};

use super::{
    Action, ELECTION_RETRY_MAX, ELECTION_RETRY_MIN, ELECTION_TIMEOUT_MAX, ELECTION_TIMEOUT_MIN,
    Replica, Role, VOTE_REFUSAL_PERIOD, bootstrap, founding, leader, send,
};
use crate::membership;

/// Starts an election when no leader has made contact within the election timeout.
pub(super) fn tick(replica: &mut Replica, random: u64, now: Instant, actions: &mut Vec<Action>) {
    let has_no_election_timer = matches!(replica.role, Role::Leader(_) | Role::Bootstrapping(_));
    let due_at = replica.retry_at.unwrap_or(replica.timer_started_at + replica.election_timeout);
    if has_no_election_timer || now < due_at {
        return;
    }
    replica.timer_started_at = now;
    replica.election_timeout = random_timeout(random, ELECTION_TIMEOUT_MIN, ELECTION_TIMEOUT_MAX);
    replica.retry_at = Some(now + random_timeout(random, ELECTION_RETRY_MIN, ELECTION_RETRY_MAX));
    replica.leader = None;
    if !replica.is_voter() {
        return;
    }
    replica.role = Role::PreCandidate(BTreeSet::from([replica.vm.clone()]));
    let next_term = Term(replica.term.0 + 1);
    request_votes(replica, next_term, true, actions);
    count_votes(replica, now, actions);
}

fn request_votes(replica: &Replica, term: Term, pre_vote: bool, actions: &mut Vec<Action>) {
    let request = VoteRequest {
        term,
        last_index: replica.tail.last_index(),
        last_term: replica.tail.last_term(),
        pre_vote,
    };
    let others = membership::voters(&replica.members).filter(|voter| voter.vm != replica.vm);
    actions.extend(others.map(|voter| send(voter.vm.clone(), request.clone())));
}

/// Returns whether this VM must refuse votes because a leader may still rely on it for its lease.
///
/// A VM that has just started refuses votes too: it does not know which leader it acknowledged
/// before the restart. One that has never known a leader does not, since no leader relies on it.
fn is_within_vote_refusal_period(replica: &Replica, now: Instant) -> bool {
    let recently = |since: Instant| now < since + VOTE_REFUSAL_PERIOD;
    let has_recent_quorum = match &replica.role {
        Role::Leader(state) => recently(state.lease_start.unwrap_or(state.elected_at)),
        _ => false,
    };
    let may_forget_leader = !founding::has_known_no_leader(replica);
    has_recent_quorum
        || (may_forget_leader && recently(replica.started_at))
        || replica.leader_contact.as_ref().is_some_and(|(_, heard_at)| recently(*heard_at))
}

pub(super) fn vote_request(
    replica: &mut Replica,
    from: VmId,
    request: &VoteRequest,
    now: Instant,
    actions: &mut Vec<Action>,
) {
    let granted = if bootstrap::is_probe(request) {
        bootstrap::confirms_empty(replica, &from)
    } else {
        grant_vote(replica, &from, request, now, actions)
    };
    let term = if granted { request.term } else { replica.term };
    let reply = VoteReply { term, granted, pre_vote: request.pre_vote, store_id: replica.store_id };
    actions.push(send(from, reply));
}

fn grant_vote(
    replica: &mut Replica,
    from: &VmId,
    request: &VoteRequest,
    now: Instant,
    actions: &mut Vec<Action>,
) -> bool {
    let is_log_up_to_date = (request.last_term, request.last_index)
        >= (replica.tail.last_term(), replica.tail.last_index());
    let may_vote = membership::may_vote(&replica.members, &replica.vm, replica.store_id);
    if !may_vote || is_within_vote_refusal_period(replica, now) || request.term < replica.term {
        return false;
    }
    if request.pre_vote {
        return is_log_up_to_date && request.term > replica.term;
    }
    let is_vote_available = request.term > replica.term
        || replica.voted_for.is_none()
        || replica.voted_for.as_ref() == Some(from);
    if !(is_log_up_to_date && is_vote_available) {
        if request.term > replica.term {
            replica.become_follower(request.term, None, now, actions);
        }
        return false;
    }
    if request.term > replica.term {
        if replica.is_leader() {
            actions.push(Action::StepDown(replica.term));
        }
        replica.role = Role::Follower;
        replica.leader = None;
        replica.pending_acknowledgement = None;
    }
    if request.term > replica.term || replica.voted_for.is_none() {
        replica.persist_vote(request.term, Some(from.clone()), actions);
    }
    replica.timer_started_at = now;
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
            replica.become_follower(reply.term, None, now, actions);
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
        replica.persist_vote(term, Some(replica.vm.clone()), actions);
        replica.role = Role::Candidate(BTreeSet::from([replica.vm.clone()]));
        request_votes(replica, term, false, actions);
    }
    if matches!(&replica.role, Role::Candidate(votes) if votes.len() >= quorum) {
        leader::become_leader(replica, now, actions);
    }
}

/// Returns a duration between `min` and `max`, derived from a random number.
pub(super) fn random_timeout(random: u64, min: Duration, max: Duration) -> Duration {
    let spread_ms = (max - min).as_millis() as u64;
    min + Duration::from_millis(random % (spread_ms + 1))
}
