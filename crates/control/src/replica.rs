//! Raft consensus of the control group: terms, votes, replication and the leader lease.
//!
//! [`step`] is a pure function over [`Replica`]. It takes an input and the time and returns actions
//! that the caller performs in the given order. The caller must make [`Action::PersistVote`]
//! durable before it performs a later action, and reports [`Action::PersistEntries`] and
//! [`Action::InstallSnapshot`] with [`Input::WriteCompleted`] once they are synced. A failed write
//! is fatal and is not reported.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use celerygate_types::wire::{
    Command, Configuration, LogEntry, Member, Message, SnapshotRecord, VoteRecord,
};
use celerygate_types::{LogIndex, Term, VmId};
use thiserror::Error;

use crate::membership::{self, MembershipError};

mod bootstrap;
mod election;
mod follower;
mod founding;
mod leader;
mod limits;
mod tail;

pub use limits::*;
pub use tail::Tail;

/// Number of a write to the storage, in the order of the writes.
pub type WriteNumber = u64;

/// An event that the replica handles.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed; expected about every 50 ms.
    Tick {
        /// Random number from which the next election timeout is drawn.
        random: u64,
    },
    /// A consensus message has arrived; messages of other kinds are ignored.
    Message {
        /// The authenticated sender.
        from: VmId,
        /// The message.
        message: Message,
    },
    /// Append a command to the log.
    Propose(Command),
    /// All writes up to and including this one are synced.
    WriteCompleted(WriteNumber),
    /// Create the group, unless another control VM already holds a log.
    Bootstrap {
        /// The first configuration, with the other control VMs as learners.
        configuration: Box<Configuration>,
    },
    /// Create the group together with the other voters of the first configuration. Expected before
    /// any other input.
    Found(Box<Configuration>),
}

/// An operation that the caller must perform.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Make the vote durable before any later action.
    PersistVote(VoteRecord),
    /// Store the entries; they replace everything from the index of the first of them.
    PersistEntries {
        /// Number to report in [`Input::WriteCompleted`].
        write: WriteNumber,
        /// Consecutive entries, at least one.
        entries: Vec<LogEntry>,
    },
    /// Store the snapshot, discard the stored log, and replace the applied state.
    InstallSnapshot {
        /// Number to report in [`Input::WriteCompleted`].
        write: WriteNumber,
        /// The new state.
        snapshot: Box<SnapshotRecord>,
    },
    /// Send a message; it may be lost.
    Send {
        /// The receiver.
        to: VmId,
        /// The message.
        message: Box<Message>,
    },
    /// Send the latest stored snapshot in an `InstallSnapshot` message.
    SendSnapshot {
        /// The receiver.
        to: VmId,
        /// Term for the message.
        term: Term,
        /// Round for the message.
        round: u64,
    },
    /// Apply committed entries, in order.
    Apply(Vec<LogEntry>),
    /// The proposed command is in the log at this index; it is accepted once it is applied
    /// with this term.
    Proposed {
        /// Index of the entry.
        index: LogIndex,
        /// Term of the entry.
        term: Term,
    },
    /// The proposed command was not appended.
    ProposalRejected(ProposeError),
    /// This replica has become the leader of the term.
    BecomeLeader(Term),
    /// This replica no longer leads the term.
    StepDown(Term),
}

/// Why a command was not appended.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum ProposeError {
    /// Another VM leads, or none does.
    #[error("not the leader")]
    NotLeader {
        /// The leader, when one is known.
        leader: Option<VmId>,
    },
    /// The command is reserved for the consensus protocol.
    #[error("the command is reserved for the consensus protocol")]
    Reserved,
    /// The membership change is not allowed at present.
    #[error(transparent)]
    Membership(#[from] MembershipError),
}

/// State from which a replica is created.
#[derive(Clone, Debug)]
pub struct InitialState {
    /// Id of this VM.
    pub vm: VmId,
    /// Random store id of the data folder.
    pub store_id: u64,
    /// Stored term and vote.
    pub vote: VoteRecord,
    /// Members in the stored snapshot.
    pub members: Vec<Member>,
    /// Index and term of the stored snapshot, and the stored entries after it.
    pub tail: Tail,
    /// Random number from which the first election timeout is drawn.
    pub random: u64,
    /// Encoded size of an entry.
    pub entry_bytes: fn(&LogEntry) -> usize,
}

/// Consensus state of one VM.
#[derive(Clone, Debug)]
pub struct Replica {
    vm: VmId,
    store_id: u64,
    term: Term,
    voted_for: Option<VmId>,
    role: Role,
    leader: Option<VmId>,
    tail: Tail,
    /// First configuration of a group that this VM founds with others.
    founding: Option<Box<Configuration>>,
    commit: LogIndex,
    /// Members as of the commit index; changes after it can still be replaced.
    committed_members: Vec<Member>,
    /// Members as of the last entry. A membership change takes effect once it is in the log.
    members: Vec<Member>,
    writes: VecDeque<PendingWrite>,
    next_write_number: WriteNumber,
    started_at: Instant,
    /// Leader that was last heard, and the time.
    leader_contact: Option<(VmId, Instant)>,
    timer_started_at: Instant,
    election_timeout: Duration,
    /// When to start another election after one that elected no leader.
    retry_at: Option<Instant>,
    pending_acknowledgement: Option<PendingAcknowledgement>,
    entry_bytes: fn(&LogEntry) -> usize,
}

/// A write that is not synced yet.
#[derive(Clone, Copy, Debug)]
struct PendingWrite {
    write: WriteNumber,
    first_index: LogIndex,
}

/// Reply to the leader that waits until the entries are synced.
#[derive(Clone, Debug)]
struct PendingAcknowledgement {
    leader: VmId,
    round: u64,
    match_index: LogIndex,
    commit: LogIndex,
}

#[derive(Clone, Debug)]
enum Role {
    Follower,
    Bootstrapping(bootstrap::Progress),
    PreCandidate(BTreeSet<VmId>),
    Candidate(BTreeSet<VmId>),
    Leader(Leadership),
}

#[derive(Clone, Debug)]
struct Leadership {
    /// Index of this leader's first entry in its term.
    first_index: LogIndex,
    round: u64,
    /// Send times of the recent rounds.
    sent: VecDeque<(u64, Instant)>,
    /// Send time of the last round that a quorum acknowledged.
    lease_start: Option<Instant>,
    elected_at: Instant,
    /// The earlier leader, and when it was last heard.
    earlier_leader: Option<(VmId, Instant)>,
    peers: BTreeMap<VmId, Progress>,
}

#[derive(Clone, Debug)]
struct Progress {
    recorded_store_id: Option<u64>,
    reported_store_id: Option<u64>,
    next_index: LogIndex,
    match_index: LogIndex,
    acked_round: u64,
    last_reply_at: Option<Instant>,
    snapshot_sent_at: Option<Instant>,
    /// Rejections in the current round.
    rejections: u32,
}

impl Replica {
    /// Returns a replica that starts as a follower.
    pub fn new(initial: InitialState, now: Instant) -> Self {
        let commit = initial.tail.base();
        let mut members = initial.members.clone();
        for entry in initial.tail.between(commit, initial.tail.last_index()) {
            membership::apply_command(&mut members, &entry.command);
        }
        Self {
            vm: initial.vm,
            store_id: initial.store_id,
            term: initial.vote.term,
            voted_for: initial.vote.voted_for,
            role: Role::Follower,
            leader: None,
            tail: initial.tail,
            founding: None,
            commit,
            committed_members: initial.members,
            members,
            writes: VecDeque::new(),
            next_write_number: 1,
            started_at: now,
            leader_contact: None,
            timer_started_at: now,
            election_timeout: election::random_timeout(
                initial.random,
                ELECTION_TIMEOUT_MIN,
                ELECTION_TIMEOUT_MAX,
            ),
            retry_at: None,
            pending_acknowledgement: None,
            entry_bytes: initial.entry_bytes,
        }
    }

    /// Returns the id of this VM.
    pub fn vm(&self) -> &VmId {
        &self.vm
    }

    /// Returns the current term.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Returns the leader of the current term, when it is known.
    pub fn leader(&self) -> Option<&VmId> {
        self.leader.as_ref()
    }

    /// Returns whether this replica leads the current term. Use [`Self::has_lease`] to decide
    /// whether it may act on that.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Returns whether this replica waits for the other control VMs to report empty data folders.
    pub fn is_bootstrapping(&self) -> bool {
        matches!(self.role, Role::Bootstrapping(_))
    }

    /// Returns the index up to which entries are committed and were passed to [`Action::Apply`].
    pub fn commit_index(&self) -> LogIndex {
        self.commit
    }

    /// Returns the index of the last entry.
    pub fn last_index(&self) -> LogIndex {
        self.tail.last_index()
    }

    /// Returns the term at an index that is still in memory.
    pub fn term_at(&self, index: LogIndex) -> Option<Term> {
        self.tail.term_at(index)
    }

    /// Returns the members as of the last entry.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Returns the members as of the commit index.
    pub fn committed_members(&self) -> &[Member] {
        &self.committed_members
    }

    /// Returns the end of the leader lease, when this replica leads and has committed everything
    /// that earlier leaders committed.
    pub fn lease_end(&self) -> Option<Instant> {
        match &self.role {
            Role::Leader(leadership) if self.commit >= leadership.first_index => {
                Some(leadership.lease_start? + LEASE_DURATION)
            }
            _ => None,
        }
    }

    /// Returns whether this replica leads and no other VM can have become leader. Read `now` right
    /// before the operation that depends on the result.
    pub fn has_lease(&self, now: Instant) -> bool {
        self.lease_end().is_some_and(|end| now < end)
    }

    /// Returns the time since the last reply of another member to this leader; `None` for the
    /// leader itself and on VMs that do not lead. Without a reply, it counts from the election, and
    /// for the earlier leader up to [`SILENCE_BEFORE_ELECTION_MAX`] longer.
    pub fn time_since_reply(&self, vm: &VmId, now: Instant) -> Option<Duration> {
        let Role::Leader(leadership) = &self.role else { return None };
        let progress = leadership.peers.get(vm)?;
        let Some(replied_at) = progress.last_reply_at else {
            let contact = leadership.earlier_leader.as_ref().filter(|(earlier, _)| earlier == vm);
            let silence = contact.map_or(Duration::ZERO, |(_, heard_at)| {
                leadership.elected_at.saturating_duration_since(*heard_at)
            });
            let since_election = now.saturating_duration_since(leadership.elected_at);
            return Some(since_election + silence.min(SILENCE_BEFORE_ELECTION_MAX));
        };
        Some(now.saturating_duration_since(replied_at))
    }

    /// Discards entries that a snapshot covers, except for the last [`RETAINED_ENTRIES`].
    pub fn compact(&mut self, snapshot_index: LogIndex) {
        let through =
            LogIndex(snapshot_index.0.min(self.commit.0).saturating_sub(RETAINED_ENTRIES));
        if through > self.tail.base() {
            self.tail.compact_through(through);
        }
    }

    /// Returns the index up to which the log is synced.
    fn synced_index(&self) -> LogIndex {
        let last = self.tail.last_index();
        self.writes.iter().fold(last, |synced, write| synced.min(LogIndex(write.first_index.0 - 1)))
    }

    fn is_voter(&self) -> bool {
        membership::counts_as_voter(&self.members, &self.vm, self.store_id)
    }

    fn register_write(&mut self, first_index: LogIndex) -> WriteNumber {
        let write = self.next_write_number;
        self.next_write_number += 1;
        self.writes.push_back(PendingWrite { write, first_index });
        write
    }

    /// Recomputes the members as of the last entry after entries were replaced.
    fn recompute_members(&mut self) {
        let mut members = self.committed_members.clone();
        for entry in self.tail.between(self.commit, self.tail.last_index()) {
            membership::apply_command(&mut members, &entry.command);
        }
        self.members = members;
    }

    /// Appends entries after the last one and requests that they are stored.
    fn append_entries(&mut self, entries: Vec<LogEntry>, actions: &mut Vec<Action>) {
        let Some(first) = entries.first().map(|entry| entry.index) else { return };
        for entry in &entries {
            membership::apply_command(&mut self.members, &entry.command);
            self.tail.push(entry.clone());
        }
        let write = self.register_write(first);
        actions.push(Action::PersistEntries { write, entries });
    }

    fn commit_through(&mut self, index: LogIndex, actions: &mut Vec<Action>) {
        if index <= self.commit {
            return;
        }
        let entries: Vec<LogEntry> = self.tail.between(self.commit, index).cloned().collect();
        for entry in &entries {
            membership::apply_command(&mut self.committed_members, &entry.command);
        }
        self.commit = index;
        actions.push(Action::Apply(entries));
    }

    fn persist_vote(&mut self, term: Term, voted_for: Option<VmId>, actions: &mut Vec<Action>) {
        self.term = term;
        self.voted_for = voted_for.clone();
        actions.push(Action::PersistVote(VoteRecord { term, voted_for }));
    }

    /// Becomes a follower and adopts `term` if it is newer than the current term.
    fn become_follower(
        &mut self,
        term: Term,
        leader: Option<VmId>,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        if self.is_leader() {
            actions.push(Action::StepDown(self.term));
            self.timer_started_at = now;
        }
        self.role = Role::Follower;
        if term > self.term {
            self.persist_vote(term, None, actions);
            self.pending_acknowledgement = None;
            self.leader = None;
        }
        if leader.is_some() {
            self.leader = leader;
        }
    }
}

fn send(to: VmId, message: impl Into<Message>) -> Action {
    Action::Send { to, message: Box::new(message.into()) }
}

/// Handles one input and returns the actions that follow from it.
pub fn step(replica: &mut Replica, input: Input, now: Instant) -> Vec<Action> {
    let mut actions = Vec::new();
    match input {
        Input::Tick { random } => {
            leader::tick(replica, now, &mut actions);
            election::tick(replica, random, now, &mut actions);
            bootstrap::tick(replica, now, &mut actions);
        }
        Input::Propose(command) => leader::propose(replica, command, now, &mut actions),
        Input::WriteCompleted(write) => {
            while replica.writes.front().is_some_and(|pending| pending.write <= write) {
                replica.writes.pop_front();
            }
            follower::write_completed(replica, &mut actions);
            leader::advance_commit(replica, now, &mut actions);
        }
        Input::Bootstrap { configuration } => bootstrap::start(replica, configuration),
        Input::Found(first) => founding::start(replica, first),
        Input::Message { from, message } => match message {
            Message::VoteRequest(request) => {
                election::vote_request(replica, from, &request, now, &mut actions);
            }
            Message::VoteReply(reply) => {
                if bootstrap::is_probe_reply(replica, &reply) {
                    bootstrap::probe_reply(replica, from, &reply, &mut actions);
                } else {
                    election::vote_reply(replica, from, &reply, now, &mut actions);
                }
            }
            Message::AppendRequest(request) => {
                follower::append_request(replica, from, request, now, &mut actions);
            }
            Message::AppendReply(reply) => {
                leader::append_reply(replica, from, &reply, now, &mut actions);
            }
            Message::InstallSnapshot(request) => {
                follower::install_snapshot(replica, from, request, now, &mut actions);
            }
            _ => {}
        },
    }
    actions
}

#[cfg(test)]
#[path = "replica_tests.rs"]
mod tests;
