//! The replica and its log on disk, without sockets and timers.
//!
//! A driver calls [`Node::handle`] with each input, sends the returned messages and applies the
//! returned entries. The process must exit when [`Node::handle`] returns an error.

use std::collections::VecDeque;
use std::time::Instant;

use anyhow::{Context, Result, ensure};
use celerygate_types::wire::{Configuration, InstallSnapshot, LogEntry, Message, SnapshotRecord};
use celerygate_types::{LogIndex, Term, VmId};

use crate::log::{Log, OpenedLog, payload_bytes};
use crate::replica::{Action, InitialState, Input, ProposeError, Replica, step};
use crate::storage::Storage;

/// Number of applied entries after which a snapshot is due. It is below the number of entries that
/// stay in memory, and a restart replays this many in milliseconds.
pub const SNAPSHOT_INTERVAL_ENTRIES: u64 = 500;

/// An operation that the driver must perform, in the given order.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a message; it may be lost.
    Send {
        /// The receiver.
        to: VmId,
        /// The message.
        message: Box<Message>,
    },
    /// Apply committed entries.
    Apply(Vec<LogEntry>),
    /// Replace the applied state.
    InstallSnapshot(Box<SnapshotRecord>),
    /// The proposed command was appended at this index. It is accepted once an entry with this
    /// index and term is applied, and lost once an entry with this index and another term is
    /// applied.
    Proposed {
        /// Index of the entry.
        index: LogIndex,
        /// Term of the entry.
        term: Term,
    },
    /// The proposed command was not appended.
    ProposalRejected(ProposeError),
    /// This VM leads the term. It may act as leader while [`Replica::has_lease`] returns true.
    BecameLeader(Term),
    /// This VM no longer leads.
    SteppedDown(Term),
}

/// A member of the control group.
pub struct Node {
    replica: Replica,
    log: Log,
    has_failed: bool,
}

/// An opened node and the state from which its driver continues.
pub struct OpenedNode {
    /// The node.
    pub node: Node,
    /// The stored snapshot; entries after it are returned in [`Output::Apply`] again once they are
    /// known to be committed.
    pub snapshot: Option<SnapshotRecord>,
}

impl Node {
    /// Opens a data folder. An empty folder gets the store id `new_store_id`. Both `new_store_id`
    /// and `random`, from which the first election timeout is derived, must be random.
    pub fn open(
        storage: Storage,
        vm: &VmId,
        new_store_id: u64,
        random: u64,
        now: Instant,
    ) -> Result<OpenedNode> {
        let opened_log = Log::open(storage, vm, new_store_id).context("open the data folder")?;
        Ok(Self::from_opened_log(opened_log, vm, random, now))
    }

    /// Creates a node from an opened log.
    pub fn from_opened_log(
        opened_log: OpenedLog,
        vm: &VmId,
        random: u64,
        now: Instant,
    ) -> OpenedNode {
        let OpenedLog { log, vote, snapshot, tail } = opened_log;
        let members = snapshot.as_ref().map(|record| record.configuration.members.clone());
        let initial = InitialState {
            vm: vm.clone(),
            store_id: log.store_id(),
            vote,
            members: members.unwrap_or_default(),
            tail,
            random,
            entry_bytes: payload_bytes::<LogEntry>,
        };
        let node = Self { replica: Replica::new(initial, now), log, has_failed: false };
        OpenedNode { node, snapshot }
    }

    /// Returns the random store id of the data folder.
    pub fn store_id(&self) -> u64 {
        self.log.store_id()
    }

    /// Returns the consensus state.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// Handles an input: stores what must be durable, then returns the outputs that depend on it.
    ///
    /// After an error the node refuses all further inputs, because the contents of the disk are
    /// unknown.
    pub fn handle(&mut self, input: Input, now: Instant) -> Result<Vec<Output>> {
        ensure!(!self.has_failed, "an earlier operation on the data folder has failed");
        self.process_input(input, now).inspect_err(|_| self.has_failed = true)
    }

    fn process_input(&mut self, input: Input, now: Instant) -> Result<Vec<Output>> {
        let mut outputs = Vec::new();
        let mut inputs = VecDeque::from([input]);
        while let Some(input) = inputs.pop_front() {
            for action in step(&mut self.replica, input, now) {
                match action {
                    Action::PersistVote(vote) => self.log.store_vote(&vote)?,
                    Action::PersistEntries { write, entries } => {
                        self.log.append(&entries)?;
                        inputs.push_back(Input::WriteCompleted(write));
                    }
                    Action::InstallSnapshot { write, snapshot } => {
                        self.log.install_snapshot(&snapshot)?;
                        inputs.push_back(Input::WriteCompleted(write));
                        outputs.push(Output::InstallSnapshot(snapshot));
                    }
                    Action::SendSnapshot { to, term, round } => {
                        outputs.extend(self.snapshot_message(to, term, round)?);
                    }
                    Action::Send { to, message } => outputs.push(Output::Send { to, message }),
                    Action::Apply(entries) => outputs.push(Output::Apply(entries)),
                    Action::Proposed { index, term } => {
                        outputs.push(Output::Proposed { index, term });
                    }
                    Action::ProposalRejected(err) => outputs.push(Output::ProposalRejected(err)),
                    Action::BecomeLeader(term) => outputs.push(Output::BecameLeader(term)),
                    Action::StepDown(term) => outputs.push(Output::SteppedDown(term)),
                }
            }
        }
        Ok(outputs)
    }

    fn snapshot_message(&mut self, to: VmId, term: Term, round: u64) -> Result<Option<Output>> {
        let record = self.log.read_snapshot()?;
        Ok(record.map(|SnapshotRecord { configuration, last_index, last_term }| {
            let message =
                InstallSnapshot { configuration, last_index, last_term, round, term }.into();
            Output::Send { to, message: Box::new(message) }
        }))
    }

    /// Returns whether a snapshot is due: [`SNAPSHOT_INTERVAL_ENTRIES`] entries follow the last
    /// one.
    pub fn is_snapshot_due(&self) -> bool {
        self.replica.commit_index().0 >= self.log.snapshot_index().0 + SNAPSHOT_INTERVAL_ENTRIES
    }

    /// Stores a snapshot of the state after all entries returned so far, and discards old entries.
    pub fn store_snapshot(&mut self, configuration: Configuration) -> Result<()> {
        ensure!(!self.has_failed, "an earlier operation on the data folder has failed");
        let last_index = self.replica.commit_index();
        if last_index <= self.log.snapshot_index() {
            return Ok(());
        }
        let last_term = self
            .replica
            .term_at(last_index)
            .context("the last committed entry is not in memory")?;
        let snapshot = SnapshotRecord { configuration, last_index, last_term };
        self.log.store_snapshot(&snapshot).inspect_err(|_| self.has_failed = true)?;
        self.replica.compact(last_index);
        Ok(())
    }
}
