//! Receiving entries and snapshots.

use std::time::Instant;

use celerygate_types::wire::{
    AppendReply, AppendRequest, InstallSnapshot, LogEntry, SnapshotRecord,
};
use celerygate_types::{LogIndex, Term, VmId};

use super::{Acknowledgement, Action, Replica, Tail, send};

pub(super) fn append_request(
    replica: &mut Replica,
    from: VmId,
    request: AppendRequest,
    now: Instant,
    actions: &mut Vec<Action>,
) {
    if !is_consecutive(&request) || !hear(replica, &from, request.term, now, actions) {
        reply(replica, from, request.round, false, LogIndex::ZERO, actions);
        return;
    }
    if let Some(agreed) = disagreement(replica, &request) {
        reply(replica, from, request.round, false, agreed, actions);
        return;
    }
    let verified = LogIndex(request.previous_index.0 + request.entries.len() as u64);
    let writes = replica.next_write;
    if !append_missing(replica, request.entries, actions) {
        return;
    }
    let owed = Acknowledgement {
        leader: from,
        round: request.round,
        verified,
        commit: request.commit_index.min(verified),
    };
    acknowledge(replica, owed, replica.next_write > writes, actions);
}

/// Returns whether the entries directly follow each other and the stated position.
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

/// Notes that a leader is alive; returns whether its term is not older than the own one.
fn hear(
    replica: &mut Replica,
    from: &VmId,
    term: Term,
    now: Instant,
    actions: &mut Vec<Action>,
) -> bool {
    if term < replica.term || (replica.is_leader() && term == replica.term) {
        return false;
    }
    replica.follow(term, Some(from.clone()), now, actions);
    replica.heard_at = Some(now);
    replica.timer_at = now;
    replica.retry_at = None;
    true
}

/// Returns the last position at which the logs may agree, when they differ at the position before
/// the new entries.
fn disagreement(replica: &Replica, request: &AppendRequest) -> Option<LogIndex> {
    let previous = request.previous_index;
    if previous < replica.tail.base() {
        // Everything up to the base is committed and therefore the same in both logs.
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
    let mut agreed = LogIndex(previous.0 - 1);
    while agreed > replica.commit && replica.tail.term_at(agreed) == Some(term) {
        agreed.0 -= 1;
    }
    Some(agreed.max(replica.commit))
}

/// Appends the entries that the log does not hold; returns false when they contradict committed
/// entries.
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
    if !hear(replica, &from, request.term, now, actions) {
        reply(replica, from, request.round, false, LogIndex::ZERO, actions);
        return;
    }
    let verified = request.last_index;
    // A log that holds the position keeps its entries: those after it may have been acknowledged.
    let is_held =
        verified <= replica.commit || replica.tail.term_at(verified) == Some(request.last_term);
    if !is_held {
        replica.tail = Tail::new(verified, request.last_term);
        replica.commit = verified;
        replica.committed_members.clone_from(&request.configuration.members);
        replica.recompute_members();
        let write = replica.begin_write(verified);
        let snapshot = Box::new(SnapshotRecord {
            configuration: request.configuration,
            last_index: verified,
            last_term: request.last_term,
        });
        actions.push(Action::InstallSnapshot { write, snapshot });
    }
    let owed = Acknowledgement { leader: from, round: request.round, verified, commit: verified };
    acknowledge(replica, owed, !is_held, actions);
}

/// Acknowledges what is synced and remembers what is not.
fn acknowledge(
    replica: &mut Replica,
    owed: Acknowledgement,
    has_new_write: bool,
    actions: &mut Vec<Action>,
) {
    let stored = replica.stored_index();
    replica.commit_through(owed.commit.min(stored), actions);
    // A message without new entries is answered at once even when earlier entries are not synced:
    // it renews the lease, which only depends on having heard the leader.
    if !has_new_write {
        let match_index = owed.verified.min(stored);
        reply(replica, owed.leader.clone(), owed.round, true, match_index, actions);
    }
    replica.acknowledgement = (stored < owed.verified).then_some(owed);
}

/// Sends the acknowledgement that was waiting for the storage.
pub(super) fn stored(replica: &mut Replica, actions: &mut Vec<Action>) {
    let stored = replica.stored_index();
    let is_due = |owed: &mut Acknowledgement| owed.verified <= stored;
    let Some(owed) = replica.acknowledgement.take_if(is_due) else { return };
    replica.commit_through(owed.commit, actions);
    reply(replica, owed.leader, owed.round, true, owed.verified, actions);
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
