//! Creation of the group on first start.
//!
//! An empty data folder cannot tell a first start from a lost disk. The founder therefore asks all
//! other control VMs with a pre-vote request of term 0 whether they are empty too, and creates the
//! group only after all have answered that they are. It starts as the only voter; the others join
//! as learners with the store ids from their answers.

use super::{Action, Founding, HEARTBEAT_INTERVAL, LogEntry, Replica, Role, send};
use std::time::Instant;

use celerygate_types::wire::{Command, Configuration, Member, MemberRole, VoteReply, VoteRequest};
use celerygate_types::{LogIndex, Term, VmId};

use crate::membership;

const QUESTION: VoteRequest = VoteRequest {
    term: Term::ZERO,
    last_index: LogIndex::ZERO,
    last_term: Term::ZERO,
    pre_vote: true,
};

/// Starts to ask; has no effect on a VM that already has a log.
pub(super) fn begin(replica: &mut Replica, configuration: Box<Configuration>) {
    if replica.tail.is_pristine() && matches!(replica.role, Role::Follower) {
        let empty_stores = Default::default();
        replica.role = Role::Founder(Founding { configuration, empty_stores, asked_at: None });
    }
}

/// Returns whether a request asks for emptiness.
pub(super) fn is_question(request: &VoteRequest) -> bool {
    request.term == Term::ZERO && request.pre_vote
}

/// Returns whether this VM answers that it is empty.
///
/// Only the lowest of the control VMs may found the group, so that no two do.
pub(super) fn is_empty(replica: &Replica, from: &VmId) -> bool {
    replica.tail.is_pristine() && replica.term == Term::ZERO && *from < replica.vm
}

/// Returns whether a reply answers such a request.
pub(super) fn is_answer(replica: &Replica, reply: &VoteReply) -> bool {
    replica.is_bootstrapping() && reply.pre_vote
}

pub(super) fn tick(replica: &mut Replica, now: Instant, actions: &mut Vec<Action>) {
    let Role::Founder(founding) = &mut replica.role else { return };
    if founding.asked_at.is_some_and(|asked_at| now < asked_at + HEARTBEAT_INTERVAL) {
        return;
    }
    founding.asked_at = Some(now);
    let others = others(&founding.configuration, &replica.vm);
    let open = others.filter(|vm| !founding.empty_stores.contains_key(vm));
    let asked = open.map(|to| send(to, QUESTION));
    actions.extend(asked);
    create_when_complete(replica, actions);
}

pub(super) fn answer(
    replica: &mut Replica,
    from: VmId,
    reply: &VoteReply,
    actions: &mut Vec<Action>,
) {
    let Role::Founder(founding) = &mut replica.role else { return };
    if reply.granted && reply.term == Term::ZERO {
        founding.empty_stores.insert(from, reply.store_id);
        create_when_complete(replica, actions);
    } else if reply.term > Term::ZERO {
        log::error!(vm = replica.vm.as_str(), other = from.as_str();
            "the control group exists already; this data folder was lost and joins as a learner");
        replica.role = Role::Follower;
    }
}

fn others(configuration: &Configuration, own: &VmId) -> impl Iterator<Item = VmId> {
    let in_group = configuration.members.iter().filter(|member| membership::is_in_group(member));
    in_group.map(|member| member.vm.clone()).filter(move |vm| vm != own)
}

fn create_when_complete(replica: &mut Replica, actions: &mut Vec<Action>) {
    let Role::Founder(founding) = &replica.role else { return };
    if !others(&founding.configuration, &replica.vm)
        .all(|vm| founding.empty_stores.contains_key(&vm))
    {
        return;
    }
    let mut configuration = (*founding.configuration).clone();
    let store_of = |member: &Member| founding.empty_stores.get(&member.vm).copied();
    for member in &mut configuration.members {
        if member.vm == replica.vm {
            member.role = MemberRole::Voter;
            member.store_id = Some(replica.store_id);
        } else if membership::is_in_group(member) {
            member.role = MemberRole::Learner;
            member.store_id = store_of(member);
        }
    }
    replica.role = Role::Follower;
    let term = replica.term.max(Term(1));
    replica.persist(term, Some(replica.vm.clone()), actions);
    let command = Command::Bootstrap(configuration);
    replica.append_entries(vec![LogEntry { command, index: LogIndex(1), term }], actions);
}
