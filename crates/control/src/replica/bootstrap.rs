//! Creation of the group on first start.
//!
//! An empty data folder does not show whether this is the first start or the disk was lost. The
//! bootstrapping VM therefore probes all other control VMs with a pre-vote request of term 0, which
//! asks whether their data folders are empty too, and creates the group only after all of them have
//! confirmed it. It becomes the only voter; the others join as learners with the store ids from
//! their replies.

use std::collections::BTreeMap;
use std::time::Instant;

use celerygate_types::wire::{Command, Configuration, Member, MemberRole, VoteReply, VoteRequest};
use celerygate_types::{LogIndex, Term, VmId};

use super::{Action, HEARTBEAT_INTERVAL, LogEntry, Replica, Role, send};
use crate::membership;

/// Progress of creating the group: replies of the other control VMs with empty data folders.
#[derive(Clone, Debug)]
pub(super) struct Progress {
    configuration: Box<Configuration>,
    empty_store_ids: BTreeMap<VmId, u64>,
    probed_at: Option<Instant>,
}

const EMPTY_FOLDER_PROBE: VoteRequest = VoteRequest {
    term: Term::ZERO,
    last_index: LogIndex::ZERO,
    last_term: Term::ZERO,
    pre_vote: true,
};

/// Starts to probe the other control VMs. Has no effect on a VM that already has a log.
pub(super) fn start(replica: &mut Replica, configuration: Box<Configuration>) {
    if replica.tail.is_pristine() && matches!(replica.role, Role::Follower) {
        let empty_store_ids = Default::default();
        replica.role =
            Role::Bootstrapping(Progress { configuration, empty_store_ids, probed_at: None });
    }
}

/// Returns whether a vote request probes for an empty data folder.
pub(super) fn is_probe(request: &VoteRequest) -> bool {
    request.term == Term::ZERO && request.pre_vote
}

/// Returns whether this VM confirms that its data folder is empty.
///
/// Only the control VM with the lowest id may create the group, so that no two VMs create one. A
/// founder has promised to create the group with the other founders only.
pub(super) fn confirms_empty(replica: &Replica, from: &VmId) -> bool {
    let is_empty = replica.tail.is_pristine() && replica.term == Term::ZERO;
    is_empty && replica.founding.is_none() && *from < replica.vm
}

/// Returns whether a vote reply answers a probe for an empty data folder.
pub(super) fn is_probe_reply(replica: &Replica, reply: &VoteReply) -> bool {
    replica.is_bootstrapping() && reply.pre_vote
}

pub(super) fn tick(replica: &mut Replica, now: Instant, actions: &mut Vec<Action>) {
    let Role::Bootstrapping(bootstrap) = &mut replica.role else { return };
    if bootstrap.probed_at.is_some_and(|probed_at| now < probed_at + HEARTBEAT_INTERVAL) {
        return;
    }
    bootstrap.probed_at = Some(now);
    let others = other_control_vms(&bootstrap.configuration, &replica.vm);
    let unanswered = others.filter(|vm| !bootstrap.empty_store_ids.contains_key(vm));
    let probes = unanswered.map(|to| send(to, EMPTY_FOLDER_PROBE));
    actions.extend(probes);
    create_group_when_all_empty(replica, actions);
}

pub(super) fn probe_reply(
    replica: &mut Replica,
    from: VmId,
    reply: &VoteReply,
    actions: &mut Vec<Action>,
) {
    let Role::Bootstrapping(bootstrap) = &mut replica.role else { return };
    if reply.granted && reply.term == Term::ZERO {
        bootstrap.empty_store_ids.insert(from, reply.store_id);
        create_group_when_all_empty(replica, actions);
    } else if reply.term > Term::ZERO {
        log::error!(vm = replica.vm.as_str(), other = from.as_str();
            "control group already exists; the data folder was lost, joining as a learner");
        replica.role = Role::Follower;
    }
}

fn other_control_vms(configuration: &Configuration, own: &VmId) -> impl Iterator<Item = VmId> {
    let in_group = configuration.members.iter().filter(|member| membership::is_in_group(member));
    in_group.map(|member| member.vm.clone()).filter(move |vm| vm != own)
}

/// Creates the group once all other control VMs have confirmed that their data folders are empty.
fn create_group_when_all_empty(replica: &mut Replica, actions: &mut Vec<Action>) {
    let Role::Bootstrapping(bootstrap) = &replica.role else { return };
    if !other_control_vms(&bootstrap.configuration, &replica.vm)
        .all(|vm| bootstrap.empty_store_ids.contains_key(&vm))
    {
        return;
    }
    let mut configuration = (*bootstrap.configuration).clone();
    let store_of = |member: &Member| bootstrap.empty_store_ids.get(&member.vm).copied();
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
    replica.persist_vote(term, Some(replica.vm.clone()), actions);
    let command = Command::Bootstrap(configuration);
    replica.append_entries(vec![LogEntry { command, index: LogIndex(1), term }], actions);
}
