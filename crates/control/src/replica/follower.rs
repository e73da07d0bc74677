//! Handling of entries and snapshots from the leader.

use std::time::Instant;

use celerygate_types::wire::{
    AppendReply, AppendRequest, InstallSnapshot, LogEntry, SnapshotRecord,
};
use celerygate_types::{LogIndex, Term, VmId};

use super::{Action, PendingAcknowledgement, Replica, Tail, send};

pub(super) fn append_request(
    replica: &mut Replica,
    from: VmId,
    request: AppendRequest,
    now: Instant,
    actions: &mut Vec<Action>,
) {
    if !is_consecutive(&request) || !accept_leader(replica, &from, request.term, now, actions) {
        reply(replica, from, request.round, false, LogIndex::ZERO, actions);
        return;
    }
    if let Some(match_hint) = find_conflict(replica, &request) {
        reply(replica, from, request.round, false, match_hint, actions);
        return;
    }
    let match_index = LogIndex(request.previous_index.0 + request.entries.len() as u64);
    let next_write_before = replica.next_write_number;
    if !append_missing(replica, request.entries, actions) {
        return;
    }
    let pending = PendingAcknowledgement {
        leader: from,
        round: request.round,
        match_index,
        commit: request.commit_index.min(match_index),
    };
    acknowledge(replica, pending, replica.next_write_number > next_write_before, actions);
}

/// Returns whether the entries are consecutive and directly follow the request's previous entry.
fn is_consecutive(request: &AppendRequest) -> bool {
    let mut previous = (request.previous_index, request.previous_term);
    request.entries.iter().all(|entry| {
        let follows = entry.index.0 == previous.0.0 + 1
            && entry.term >= previous.1
            && entry.term <= request.term;
        previous = (entry.index, entry.term);
        follows
    })
}

/// Adopts the sender as leader and records the contact. Returns false when its term is outdated, or
/// when this replica itself leads that term.
fn accept_leader(
    replica: &mut Replica,
    from: &VmId,
    term: Term,
    now: Instant,
    actions: &mut Vec<Action>,
) -> bool {
    if term < replica.term || (replica.is_leader() && term == replica.term) {
        return false;
    }
    replica.become_follower(term, Some(from.clone()), now, actions);
    replica.leader_contact = Some((from.clone(), now));
    replica.timer_started_at = now;
    replica.retry_at = None;
    true
}

/// Returns the last index at which the logs may match, when they differ at the index before the
/// new entries.
fn find_conflict(replica: &Replica, request: &AppendRequest) -> Option<LogIndex> {
    let previous = request.previous_index;
    if previous < replica.tail.base() {
        // Everything up to the base is committed and therefore identical in both logs.
        return None;
    }
    let Some(term) = replica.tail.term_at(previous) else {
        return Some(replica.tail.last_index());
    };
    if term == request.previous_term {
        return None;
    }
    // Skips the whole conflicting term, so that a leader needs one reply for each term instead of
    // one for each entry.
    let mut match_hint = LogIndex(previous.0 - 1);
    while match_hint > replica.commit && replica.tail.term_at(match_hint) == Some(term) {
        match_hint.0 -= 1;
    }
    Some(match_hint.max(replica.commit))
}

/// Appends the entries that the log does not contain; returns false when they conflict with
/// committed entries.
fn append_missing(
    replica: &mut Replica,
    entries: Vec<LogEntry>,
    actions: &mut Vec<Action>,
) -> bool {
    let is_missing = |entry: &LogEntry| {
        entry.index > replica.tail.base() && replica.tail.term_at(entry.index) != Some(entry.term)
    };
    let Some(first) = entries.iter().position(is_missing) else { return true };
    let missing = entries[first..].to_vec();
    let first_index = missing[0].index;
    if first_index <= replica.commit {
        log::error!(vm = replica.vm.as_str(), index = first_index.0, commit = replica.commit.0;
            "refused entries that contradict committed ones");
        return false;
    }
    if first_index <= replica.tail.last_index() {
        replica.tail.truncate_after(LogIndex(first_index.0 - 1));
        replica.recompute_members();
    }
    replica.append_entries(missing, actions);
    true
}

pub(super) fn install_snapshot(
    replica: &mut Replica,
    from: VmId,
    request: InstallSnapshot,
    now: Instant,
    actions: &mut Vec<Action>,
) {
    if !accept_leader(replica, &from, request.term, now, actions) {
        reply(replica, from, request.round, false, LogIndex::ZERO, actions);
        return;
    }
    // With the snapshot, the log matches the leader's up to the snapshot's last entry.
    let match_index = request.last_index;
    // A log that contains the snapshot's last entry keeps its entries: those after it may have been
    // acknowledged.
    let has_last_entry = match_index <= replica.commit
        || replica.tail.term_at(match_index) == Some(request.last_term);
    if !has_last_entry {
        replica.tail = Tail::new(match_index, request.last_term);
        replica.commit = match_index;
        replica.committed_members.clone_from(&request.configuration.members);
        replica.recompute_members();
        let write = replica.register_write(match_index);
        let snapshot = Box::new(SnapshotRecord {
            configuration: request.configuration,
            last_index: match_index,
            last_term: request.last_term,
        });
        actions.push(Action::InstallSnapshot { write, snapshot });
    }
    let pending = PendingAcknowledgement {
        leader: from,
        round: request.round,
        match_index,
        commit: match_index,
    };
    acknowledge(replica, pending, !has_last_entry, actions);
}

/// Acknowledges what is synced, and keeps the acknowledgement of the rest pending.
fn acknowledge(
    replica: &mut Replica,
    pending: PendingAcknowledgement,
    has_new_write: bool,
    actions: &mut Vec<Action>,
) {
    let synced = replica.synced_index();
    replica.commit_through(pending.commit.min(synced), actions);
    // A message without new entries is answered at once even when earlier entries are not synced:
    // the reply renews the lease, which depends only on contact with the leader.
    if !has_new_write {
        let match_index = pending.match_index.min(synced);
        reply(replica, pending.leader.clone(), pending.round, true, match_index, actions);
    }
    replica.pending_acknowledgement = (synced < pending.match_index).then_some(pending);
}

/// Sends the pending acknowledgement once its entries are synced.
pub(super) fn write_completed(replica: &mut Replica, actions: &mut Vec<Action>) {
    let synced = replica.synced_index();
    let is_due = |pending: &mut PendingAcknowledgement| pending.match_index <= synced;
    let Some(pending) = replica.pending_acknowledgement.take_if(is_due) else { return };
    replica.commit_through(pending.commit, actions);
    reply(replica, pending.leader, pending.round, true, pending.match_index, actions);
}

fn reply(
    replica: &Replica,
    to: VmId,
    round: u64,
    success: bool,
    match_index: LogIndex,
    actions: &mut Vec<Action>,
) {
    let reply =
        AppendReply { term: replica.term, round, success, match_index, store_id: replica.store_id };
    actions.push(send(to, reply));
}
