//! Creation of the group by a majority of the founders on the first start.
//!
//! The founders vote like the members of a group that consists of them, with an empty log. The first
//! leader appends the first configuration, and a majority of the founders stores it before the group
//! exists. Any later majority contains one of these founders, which refuses candidates with an empty
//! log, so there is no second group.

use celerygate_types::wire::{Command, Configuration};
use celerygate_types::{LogIndex, Term};

use super::Replica;
use crate::membership;

/// Makes the members of the first configuration the voters of this replica. Has no effect on a VM
/// that already has a log, or whose data folder is not the one of its first start.
pub(super) fn start(replica: &mut Replica, first: Box<Configuration>) {
    let is_founder = membership::counts_as_voter(&first.members, &replica.vm, replica.store_id);
    if !is_founder || !replica.tail.is_pristine() {
        return;
    }
    replica.committed_members.clone_from(&first.members);
    replica.members.clone_from(&first.members);
    replica.founding = Some(first);
}

/// Returns the first entry of a new leader's term: the first configuration, when its log is empty.
pub(super) fn first_command(replica: &Replica) -> Command {
    match &replica.founding {
        Some(first) if replica.tail.is_pristine() => Command::Bootstrap((**first).clone()),
        _ => Command::Noop(replica.term),
    }
}

/// Returns whether this VM cannot have acknowledged a leader before it started: it has stored
/// neither a term nor an entry.
pub(super) fn has_known_no_leader(replica: &Replica) -> bool {
    replica.term == Term::ZERO && replica.tail.last_index() == LogIndex::ZERO
}
