//! Replication, commit and lease of a leader.

use std::collections::{BTreeMap, VecDeque};
use std::time::Instant;

use celerygate_types::wire::{
    AppendReply, AppendRequest, Command, LogEntry, Member, MembershipChange,
};
use celerygate_types::{LogIndex, VmId};

use super::{
    APPEND_BYTES_MAX, APPEND_ENTRIES_MAX, Action, HEARTBEAT_INTERVAL, LEASE_DURATION, Leadership,
    Progress, ProposeError, QUORUM_TIMEOUT, REACHABILITY_TIMEOUT, RESENDS_PER_ROUND_MAX, Replica,
    Role, SNAPSHOT_RETRY_INTERVAL, founding, send,
};
use crate::membership::{self, MemberProgress, MembershipError};

/// Becomes the leader of the current term.
pub(super) fn become_leader(replica: &mut Replica, now: Instant, actions: &mut Vec<Action>) {
    let first_index = LogIndex(replica.tail.last_index().0 + 1);
    replica.role = Role::Leader(Leadership {
        first_index,
        round: 0,
        sent: VecDeque::new(),
        lease_start: None,
        elected_at: now,
        earlier_leader: replica.leader_contact.clone(),
        peers: BTreeMap::new(),
    });
    replica.leader = Some(replica.vm.clone());
    replica.pending_acknowledgement = None;
    actions.push(Action::BecomeLeader(replica.term));
    // Entries of earlier terms are committed only through an entry of the current term.
    append_as_leader(replica, founding::first_command(replica), now, actions);
}

pub(super) fn propose(
    replica: &mut Replica,
    command: Command,
    now: Instant,
    actions: &mut Vec<Action>,
) {
    match check_proposal(replica, &command, now) {
        Ok(()) => append_as_leader(replica, command, now, actions),
        Err(refusal) => actions.push(Action::ProposalRejected(refusal)),
    }
}

fn check_proposal(replica: &Replica, command: &Command, now: Instant) -> Result<(), ProposeError> {
    let Role::Leader(leadership) = &replica.role else {
        return Err(ProposeError::NotLeader { leader: replica.leader.clone() });
    };
    match command {
        Command::Noop(_) | Command::Bootstrap(_) => Err(ProposeError::Reserved),
        Command::Membership(change) => {
            // Before an entry of the current term is committed, a change by an earlier leader could
            // still be in progress, and the quorums of the two changes need not overlap.
            if replica.commit < leadership.first_index || replica.has_change_in_progress() {
                return Err(MembershipError::ChangeInProgress.into());
            }
            let progress = |vm: &VmId| replica.member_progress(leadership, vm, now);
            Ok(membership::check_change(&replica.members, change, progress)?)
        }
        _ => Ok(()),
    }
}

/// Appends a command in the current term and sends it to the peers.
fn append_as_leader(
    replica: &mut Replica,
    command: Command,
    now: Instant,
    actions: &mut Vec<Action>,
) {
    let (index, term) = (LogIndex(replica.tail.last_index().0 + 1), replica.term);
    if !matches!(command, Command::Noop(_)) {
        actions.push(Action::Proposed { index, term });
    }
    replica.append_entries(vec![LogEntry { command, index, term }], actions);
    track_peers(replica);
    broadcast(replica, now, actions);
}

/// Keeps one progress record for each other member and its recorded store.
fn track_peers(replica: &mut Replica) {
    let next_index = LogIndex(replica.tail.last_index().0);
    let Role::Leader(leadership) = &mut replica.role else { return };
    let members = &replica.members;
    let is_tracked = |vm: &VmId, recorded: Option<u64>| {
        membership::find(members, vm)
            .is_some_and(|member| membership::is_in_group(member) && member.store_id == recorded)
    };
    leadership.peers.retain(|vm, progress| is_tracked(vm, progress.recorded_store_id));
    let is_peer = |member: &&Member| membership::is_in_group(member) && member.vm != replica.vm;
    for member in members.iter().filter(is_peer) {
        leadership.peers.entry(member.vm.clone()).or_insert_with(|| Progress {
            recorded_store_id: member.store_id,
            reported_store_id: None,
            next_index,
            match_index: LogIndex::ZERO,
            acked_round: 0,
            last_reply_at: None,
            snapshot_sent_at: None,
            rejections: 0,
        });
    }
}

/// Starts a new replication round with all peers.
fn broadcast(replica: &mut Replica, now: Instant, actions: &mut Vec<Action>) {
    let Role::Leader(leadership) = &mut replica.role else { return };
    leadership.round += 1;
    leadership.sent.push_back((leadership.round, now));
    while leadership.sent.front().is_some_and(|(_, sent_at)| *sent_at + LEASE_DURATION < now) {
        leadership.sent.pop_front();
    }
    leadership.peers.values_mut().for_each(|progress| progress.rejections = 0);
    let peers: Vec<VmId> = leadership.peers.keys().cloned().collect();
    for peer in peers {
        replicate(replica, &peer, now, actions);
    }
    advance_lease(replica);
}

/// Sends a peer the entries that it is missing, or a heartbeat.
fn replicate(replica: &mut Replica, peer: &VmId, now: Instant, actions: &mut Vec<Action>) {
    let Role::Leader(leadership) = &mut replica.role else { return };
    let round = leadership.round;
    let Some(progress) = leadership.peers.get_mut(peer) else { return };
    let tail = &replica.tail;
    let needs_snapshot = progress.next_index <= tail.base();
    let previous_index = LogIndex(progress.next_index.0.saturating_sub(1)).max(tail.base());
    let mut entries = Vec::new();
    if needs_snapshot {
        let is_due = progress
            .snapshot_sent_at
            .is_none_or(|sent_at| sent_at + SNAPSHOT_RETRY_INTERVAL <= now);
        if is_due {
            progress.snapshot_sent_at = Some(now);
            actions.push(Action::SendSnapshot { to: peer.clone(), term: replica.term, round });
        }
    } else {
        let mut bytes = 0;
        for entry in tail.between(previous_index, tail.last_index()).take(APPEND_ENTRIES_MAX) {
            bytes += (replica.entry_bytes)(entry);
            if bytes > APPEND_BYTES_MAX && !entries.is_empty() {
                break;
            }
            entries.push(entry.clone());
        }
        progress.next_index = LogIndex(previous_index.0 + entries.len() as u64 + 1);
    }
    let request = AppendRequest {
        term: replica.term,
        round,
        previous_index,
        previous_term: tail.term_at(previous_index).unwrap_or_default(),
        commit_index: replica.commit,
        entries,
    };
    actions.push(send(peer.clone(), request));
}

/// Sends heartbeats; steps down when no quorum answers.
pub(super) fn tick(replica: &mut Replica, now: Instant, actions: &mut Vec<Action>) {
    let Role::Leader(leadership) = &replica.role else { return };
    let last_contact = leadership.lease_start.unwrap_or(leadership.elected_at);
    if now >= last_contact + QUORUM_TIMEOUT {
        replica.become_follower(replica.term, None, now, actions);
        replica.leader = None;
        return;
    }
    let is_due =
        leadership.sent.back().is_none_or(|(_, sent_at)| now >= *sent_at + HEARTBEAT_INTERVAL);
    if is_due {
        broadcast(replica, now, actions);
    }
}

pub(super) fn append_reply(
    replica: &mut Replica,
    from: VmId,
    reply: &AppendReply,
    now: Instant,
    actions: &mut Vec<Action>,
) {
    if reply.term > replica.term {
        replica.become_follower(reply.term, None, now, actions);
        return;
    }
    let last_index = replica.tail.last_index();
    let Role::Leader(leadership) = &mut replica.role else { return };
    let Some(progress) = leadership.peers.get_mut(&from) else { return };
    if reply.term < replica.term || reply.match_index > last_index {
        return;
    }
    progress.reported_store_id = Some(reply.store_id);
    progress.last_reply_at = Some(now);
    if progress.recorded_store_id != Some(reply.store_id) {
        // A store receives the log only after the group has recorded its id.
        return;
    }
    let is_latest_round = reply.round >= progress.acked_round;
    progress.acked_round = progress.acked_round.max(reply.round);
    let mut may_resend = true;
    if reply.success {
        progress.match_index = progress.match_index.max(reply.match_index);
        progress.next_index = progress.next_index.max(LogIndex(progress.match_index.0 + 1));
        if progress.match_index >= replica.tail.base() {
            progress.snapshot_sent_at = None;
        }
    } else {
        // A member that restarted with a shorter log no longer has what it acknowledged. Unless its
        // match index is lowered, it gets no entries until another leader is elected.
        if is_latest_round && reply.match_index < progress.match_index {
            log::error!(vm = replica.vm.as_str(), member = from.as_str(),
                acknowledged = progress.match_index.0, agreed = reply.match_index.0;
                "member lost acknowledged entries");
            progress.match_index = reply.match_index;
        }
        let hinted_next_index = LogIndex(reply.match_index.0 + 1);
        progress.next_index =
            progress.next_index.min(hinted_next_index).max(LogIndex(progress.match_index.0 + 1));
        may_resend = progress.rejections < RESENDS_PER_ROUND_MAX;
        progress.rejections += 1;
    }
    let is_missing_entries =
        may_resend && progress.next_index <= last_index && progress.snapshot_sent_at.is_none();
    advance_lease(replica);
    advance_commit(replica, now, actions);
    if is_missing_entries {
        replicate(replica, &from, now, actions);
    }
}

/// Returns the highest value that a quorum of voters has reached, given each voter's value.
fn reached_by_quorum<T: Ord + Default>(
    replica: &Replica,
    of_voter: impl Fn(&Member) -> T,
) -> Option<T> {
    let mut values: Vec<T> = membership::voters(&replica.members).map(of_voter).collect();
    values.sort_unstable_by(|a, b| b.cmp(a));
    values.into_iter().nth(membership::quorum(&replica.members) - 1)
}

/// Commits the entries that a quorum has synced, if the last of them is of the current term.
pub(super) fn advance_commit(replica: &mut Replica, now: Instant, actions: &mut Vec<Action>) {
    let Role::Leader(leadership) = &replica.role else { return };
    let own = if replica.is_voter() { replica.synced_index() } else { LogIndex::ZERO };
    let match_index = |voter: &Member| {
        if voter.vm == replica.vm {
            return own;
        }
        leadership.peers.get(&voter.vm).map(|progress| progress.match_index).unwrap_or_default()
    };
    let Some(index) = reached_by_quorum(replica, match_index) else { return };
    if index <= replica.commit || replica.tail.term_at(index) != Some(replica.term) {
        return;
    }
    replica.commit_through(index, actions);
    // A leader that has removed itself, or made itself a learner, leads until the change commits.
    if !membership::counts_as_voter(&replica.committed_members, &replica.vm, replica.store_id) {
        replica.become_follower(replica.term, None, now, actions);
    }
}

/// Extends the lease from the send time of the last round that a quorum has acknowledged.
fn advance_lease(replica: &mut Replica) {
    let Role::Leader(leadership) = &replica.role else { return };
    let own = if replica.is_voter() { leadership.round } else { 0 };
    let round_of = |voter: &Member| {
        if voter.vm == replica.vm {
            return own;
        }
        leadership.peers.get(&voter.vm).map(|progress| progress.acked_round).unwrap_or_default()
    };
    let Some(round) = reached_by_quorum(replica, round_of) else { return };
    let Role::Leader(leadership) = &mut replica.role else { return };
    let sent = leadership.sent.iter().find(|(number, _)| *number == round);
    if let Some((_, sent_at)) = sent {
        leadership.lease_start = leadership.lease_start.max(Some(*sent_at));
    }
}

impl Replica {
    /// Returns whether this replica leads and may propose a membership change: it has committed
    /// an entry of its term, and no earlier change is in progress.
    pub fn can_change_members(&self) -> bool {
        let Role::Leader(leadership) = &self.role else { return false };
        self.commit >= leadership.first_index && !self.has_change_in_progress()
    }

    /// Returns the membership change that the leader should propose next.
    pub fn next_membership_change(&self, now: Instant) -> Option<MembershipChange> {
        let Role::Leader(leadership) = &self.role else { return None };
        if !self.can_change_members() {
            return None;
        }
        membership::next_change(&self.members, |vm| self.member_progress(leadership, vm, now))
    }

    fn has_change_in_progress(&self) -> bool {
        let changes = |entry: &LogEntry| {
            matches!(entry.command, Command::Membership(_) | Command::Bootstrap(_))
        };
        self.tail.between(self.commit, self.tail.last_index()).any(changes)
    }

    /// Returns the replication progress of a member; `None` for the leader itself.
    pub(super) fn member_progress(
        &self,
        leadership: &Leadership,
        vm: &VmId,
        now: Instant,
    ) -> Option<MemberProgress> {
        if *vm == self.vm {
            return None;
        }
        let Some(progress) = leadership.peers.get(vm) else {
            return Some(MemberProgress::default());
        };
        Some(MemberProgress {
            reported_store_id: progress.reported_store_id,
            reachable: progress
                .last_reply_at
                .is_some_and(|last_reply_at| now < last_reply_at + REACHABILITY_TIMEOUT),
            caught_up: progress.match_index >= self.commit,
        })
    }
}
