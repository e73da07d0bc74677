//! Agreement of the control group: terms, votes, replication, leader lease.
//!
//! [`step`] is a pure function over [`Replica`]. It takes an input and the time and returns actions
//! that the caller performs in the given order. The caller must make [`Action::PersistVote`]
//! durable before it performs a later action, and reports [`Action::PersistEntries`] and
//! [`Action::InstallSnapshot`] with [`Input::WriteCompleted`] once they are synced. A failed write
//! is fatal and is not reported.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use celerygate_types::wire::{
    Command, Configuration, LogEntry, Member, MembershipChange, Message, SnapshotRecord, VoteRecord,
};
use celerygate_types::{LogIndex, Term, VmId};
use thiserror::Error;

use crate::membership::{self, MembershipError};

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

/// What the replica reacts to.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed; expected every 50 ms or so.
    Tick {
        /// Random number from which the next election timeout is drawn.
        random: u64,
    },
    /// A message of the agreement has arrived; other messages are ignored.
    Message {
        /// The authenticated sender.
        from: VmId,
        /// The message.
        message: Message,
    },
    /// A command is to be appended to the log.
    Propose(Command),
    /// All writes up to this one are synced.
    WriteCompleted(WriteNumber),
    /// The group is to be created, unless another control VM already holds a log.
    Bootstrap {
        /// The first configuration, with the other control VMs as learners.
        configuration: Box<Configuration>,
    },
}

/// What the caller has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Make the vote durable before any later action.
    PersistVote(VoteRecord),
    /// Store the entries; they replace everything from the index of the first of them.
    PersistEntries {
        /// Number to report.
        write: WriteNumber,
        /// Consecutive entries, at least one.
        entries: Vec<LogEntry>,
    },
    /// Store the snapshot, discard the stored log, and replace the applied state.
    InstallSnapshot {
        /// Number to report.
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
    /// Send the latest stored snapshot in a message of this kind.
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
    /// The proposed command is in the log at this position; it is accepted once it is applied
    /// with this term.
    Proposed {
        /// Position of the entry.
        index: LogIndex,
        /// Term of the entry.
        term: Term,
    },
    /// The proposed command was not appended.
    ProposalRejected(ProposeError),
    /// This replica leads the term.
    BecomeLeader(Term),
    /// This replica no longer leads.
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
    /// The command is reserved for the agreement itself.
    #[error("the command can only be written by the control group")]
    Reserved,
    /// The change of the group is not allowed now.
    #[error(transparent)]
    Membership(#[from] MembershipError),
}

/// State with which a replica starts.
#[derive(Clone, Debug)]
pub struct InitialState {
    /// Id of this VM.
    pub vm: VmId,
    /// Identity of the data folder.
    pub store_id: u64,
    /// Stored term and vote.
    pub vote: VoteRecord,
    /// Members in the stored snapshot.
    pub members: Vec<Member>,
    /// Position and term of the stored snapshot, and the stored entries after it.
    pub tail: Tail,
    /// Random number from which the first election timeout is drawn.
    pub random: u64,
    /// Encoded size of an entry.
    pub entry_bytes: fn(&LogEntry) -> usize,
}

/// State of the agreement on one VM.
#[derive(Clone, Debug)]
pub struct Replica {
    vm: VmId,
    store_id: u64,
    term: Term,
    voted_for: Option<VmId>,
    role: Role,
    leader: Option<VmId>,
    tail: Tail,
    commit: LogIndex,
    /// Members up to the commit index; later changes can still be replaced.
    committed_members: Vec<Member>,
    /// Members up to the end of the log. A change is in force as soon as it is in the log.
    members: Vec<Member>,
    writes: VecDeque<PendingWrite>,
    next_write: WriteNumber,
    started_at: Instant,
    heard_at: Option<Instant>,
    timer_at: Instant,
    election_timeout: Duration,
    /// When to stand again after an election without a leader.
    retry_at: Option<Instant>,
    acknowledgement: Option<Acknowledgement>,
    entry_bytes: fn(&LogEntry) -> usize,
}

/// A write that is not synced yet.
#[derive(Clone, Copy, Debug)]
struct PendingWrite {
    write: WriteNumber,
    first: LogIndex,
}

/// What a follower owes its leader once the entries are synced.
#[derive(Clone, Debug)]
struct Acknowledgement {
    leader: VmId,
    round: u64,
    verified: LogIndex,
    commit: LogIndex,
}

#[derive(Clone, Debug)]
enum Role {
    Follower,
    Founder(Founding),
    PreCandidate(BTreeSet<VmId>),
    Candidate(BTreeSet<VmId>),
    Leader(Leadership),
}

/// Answers of the other control VMs to the question whether they are empty.
#[derive(Clone, Debug)]
struct Founding {
    configuration: Box<Configuration>,
    empty_stores: BTreeMap<VmId, u64>,
    asked_at: Option<Instant>,
}

#[derive(Clone, Debug)]
struct Leadership {
    /// Index of the first entry of the own term.
    first_index: LogIndex,
    round: u64,
    /// Send times of the recent rounds.
    sent: VecDeque<(u64, Instant)>,
    /// Send time of the last round that a quorum acknowledged.
    quorum_at: Option<Instant>,
    elected_at: Instant,
    peers: BTreeMap<VmId, Progress>,
}

#[derive(Clone, Debug)]
struct Progress {
    recorded_store_id: Option<u64>,
    reported_store_id: Option<u64>,
    next: LogIndex,
    matched: LogIndex,
    round: u64,
    heard_at: Option<Instant>,
    snapshot_sent_at: Option<Instant>,
    /// Rejections in the current round.
    rejections: u32,
}

impl Replica {
    /// Returns a replica that starts as a follower.
    pub fn new(start: InitialState, now: Instant) -> Self {
        let commit = start.tail.base();
        let mut members = start.members.clone();
        for entry in start.tail.between(commit, start.tail.last_index()) {
            membership::apply_command(&mut members, &entry.command);
        }
        Self {
            vm: start.vm,
            store_id: start.store_id,
            term: start.vote.term,
            voted_for: start.vote.voted_for,
            role: Role::Follower,
            leader: None,
            tail: start.tail,
            commit,
            committed_members: start.members,
            members,
            writes: VecDeque::new(),
            next_write: 1,
            started_at: now,
            heard_at: None,
            timer_at: now,
            election_timeout: election::draw_timeout(
                start.random,
                ELECTION_TIMEOUT_MIN,
                ELECTION_TIMEOUT_MAX,
            ),
            retry_at: None,
            acknowledgement: None,
            entry_bytes: start.entry_bytes,
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

    /// Returns whether this replica waits for the other control VMs to answer that they are empty.
    pub fn is_bootstrapping(&self) -> bool {
        matches!(self.role, Role::Founder(_))
    }

    /// Returns the position up to which entries are committed and were handed out for applying.
    pub fn commit_index(&self) -> LogIndex {
        self.commit
    }

    /// Returns the position of the last entry.
    pub fn last_index(&self) -> LogIndex {
        self.tail.last_index()
    }

    /// Returns the term at a position that is still in memory.
    pub fn term_at(&self, index: LogIndex) -> Option<Term> {
        self.tail.term_at(index)
    }

    /// Returns the members up to the end of the log.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Returns the members up to the commit index.
    pub fn committed_members(&self) -> &[Member] {
        &self.committed_members
    }

    /// Returns the end of the leader lease, when this replica leads and knows that it has committed
    /// all that earlier leaders committed.
    pub fn lease_end(&self) -> Option<Instant> {
        match &self.role {
            Role::Leader(leadership) if self.commit >= leadership.first_index => {
                Some(leadership.quorum_at? + LEASE_DURATION)
            }
            _ => None,
        }
    }

    /// Returns whether no other VM can have become leader. `now` must be read right before the act
    /// that depends on the answer.
    pub fn has_lease(&self, now: Instant) -> bool {
        self.lease_end().is_some_and(|end| now < end)
    }

    /// Returns the change of the group that a leader should propose next.
    pub fn next_membership_change(&self, now: Instant) -> Option<MembershipChange> {
        let Role::Leader(leadership) = &self.role else { return None };
        if self.commit < leadership.first_index || self.change_in_progress() {
            return None;
        }
        membership::next_change(&self.members, |vm| self.member_progress(leadership, vm, now))
    }

    /// Returns for how long a leader has heard nothing of another member; none for the leader
    /// itself and on other VMs.
    pub fn time_since_reply(&self, vm: &VmId, now: Instant) -> Option<Duration> {
        let Role::Leader(leadership) = &self.role else { return None };
        let progress = leadership.peers.get(vm)?;
        let since = progress.heard_at.unwrap_or(leadership.elected_at);
        Some(now.saturating_duration_since(since))
    }

    /// Forgets entries up to a snapshot except for [`RETAINED_ENTRIES`].
    pub fn compact(&mut self, snapshot_index: LogIndex) {
        let through =
            LogIndex(snapshot_index.0.min(self.commit.0).saturating_sub(RETAINED_ENTRIES));
        if through > self.tail.base() {
            self.tail.compact_through(through);
        }
    }

    fn change_in_progress(&self) -> bool {
        let changes = |entry: &LogEntry| {
            matches!(entry.command, Command::Membership(_) | Command::Bootstrap(_))
        };
        self.tail.between(self.commit, self.tail.last_index()).any(changes)
    }

    /// Returns the position up to which the log is synced.
    fn stored_index(&self) -> LogIndex {
        let last = self.tail.last_index();
        self.writes.iter().fold(last, |stored, pending| stored.min(LogIndex(pending.first.0 - 1)))
    }

    fn is_own_vote_counted(&self) -> bool {
        membership::counts_as_voter(&self.members, &self.vm, self.store_id)
    }

    fn begin_write(&mut self, first: LogIndex) -> WriteNumber {
        let write = self.next_write;
        self.next_write += 1;
        self.writes.push_back(PendingWrite { write, first });
        write
    }

    /// Derives the members at the end of the log again after entries were replaced.
    fn recompute_members(&mut self) {
        let mut members = self.committed_members.clone();
        for entry in self.tail.between(self.commit, self.tail.last_index()) {
            membership::apply_command(&mut members, &entry.command);
        }
        self.members = members;
    }

    /// Appends entries after the last one and returns the write.
    fn append_entries(&mut self, entries: Vec<LogEntry>, actions: &mut Vec<Action>) {
        let Some(first) = entries.first().map(|entry| entry.index) else { return };
        for entry in &entries {
            membership::apply_command(&mut self.members, &entry.command);
            self.tail.push(entry.clone());
        }
        let write = self.begin_write(first);
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

    fn persist(&mut self, term: Term, voted_for: Option<VmId>, actions: &mut Vec<Action>) {
        self.term = term;
        self.voted_for = voted_for.clone();
        actions.push(Action::PersistVote(VoteRecord { term, voted_for }));
    }

    /// Becomes a follower, of a newer term if `term` is higher than the own one.
    fn follow(
        &mut self,
        term: Term,
        leader: Option<VmId>,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        if self.is_leader() {
            actions.push(Action::StepDown(self.term));
            self.timer_at = now;
        }
        self.role = Role::Follower;
        if term > self.term {
            self.persist(term, None, actions);
            self.acknowledgement = None;
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

/// Reacts to one input.
pub fn step(replica: &mut Replica, input: Input, now: Instant) -> Vec<Action> {
    let mut actions = Vec::new();
    match input {
        Input::Tick { random } => {
            leader::tick(replica, now, &mut actions);
            election::tick(replica, random, now, &mut actions);
            founding::tick(replica, now, &mut actions);
        }
        Input::Propose(command) => leader::propose(replica, command, now, &mut actions),
        Input::WriteCompleted(write) => {
            while replica.writes.front().is_some_and(|pending| pending.write <= write) {
                replica.writes.pop_front();
            }
            follower::stored(replica, &mut actions);
            leader::advance_commit(replica, now, &mut actions);
        }
        Input::Bootstrap { configuration } => founding::begin(replica, configuration),
        Input::Message { from, message } => match message {
            Message::VoteRequest(request) => {
                election::vote_request(replica, from, &request, now, &mut actions);
            }
            Message::VoteReply(reply) => {
                if founding::is_answer(replica, &reply) {
                    founding::answer(replica, from, &reply, &mut actions);
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
