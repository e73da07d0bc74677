//! Recent commands, retained to update daemons that are a few revisions behind.

use std::collections::VecDeque;

use celerygate_types::wire::{
    Command, Configuration, ConfigurationDelta, ConfigurationSnapshot, IntentRecord,
};
use celerygate_types::{Revision, Term};

use crate::state::{self, ApplyOutcome, BlocksHash};

/// Number of revisions that can be sent as deltas; a daemon further behind gets a snapshot.
pub const RETAINED_REVISIONS: u64 = 1_000;
/// Largest number of retained proposals. Bounds the memory for intents that are never confirmed.
const MAX_PROPOSALS: usize = 1_000;

/// Largest encoded size of the commands of one delta; a frame holds 1 MiB including its envelope.
pub const MAX_DELTA_BYTES: usize = 900 * 1024;

/// Update that a parent sends to a child.
#[derive(Clone, Debug, PartialEq)]
pub enum Update {
    /// The child has the parent's revision or a later one; there is nothing to send.
    UpToDate,
    /// The next commands after the child's revision, as many as fit in one frame.
    Delta(ConfigurationDelta),
    /// The whole configuration.
    Snapshot(Box<ConfigurationSnapshot>),
}

#[derive(Clone, Debug)]
struct RetainedCommand {
    /// Revision after the command.
    revision: Revision,
    /// Digest after the command.
    digest: u64,
    /// Encoded size of the command.
    bytes: usize,
    command: Command,
}

/// The recent commands and the digests of the revisions that they produced.
#[derive(Clone, Debug)]
pub struct RecentCommands {
    entries: VecDeque<RetainedCommand>,
    /// Revision and digest before the first retained command.
    base: (Revision, u64),
    /// Whether a proposal at the base revision is not among the retained commands.
    base_incomplete: bool,
    /// Number of proposals among the retained commands.
    proposal_count: usize,
    blocks_hash: BlocksHash,
}

impl RecentCommands {
    /// Returns an empty history that starts at a configuration.
    pub fn new(configuration: &Configuration) -> Self {
        let blocks_hash = state::blocks_hash(configuration);
        let base = (configuration.revision, state::digest_with(configuration, &blocks_hash));
        let unconfirmed = |record: &IntentRecord| record.confirmed_revision.is_none();
        let base_incomplete = configuration.intents.iter().any(unconfirmed);
        Self { entries: VecDeque::new(), base, base_incomplete, proposal_count: 0, blocks_hash }
    }

    /// Retains a command that has been applied to the configuration.
    ///
    /// Refused commands are omitted because they change nothing. Proposals do not raise the
    /// revision, but later confirms need them. They are sent to every daemon at or below their
    /// revision; applying a proposal twice changes nothing.
    pub fn push(
        &mut self,
        configuration: &Configuration,
        command: &Command,
        outcome: &ApplyOutcome,
    ) {
        let (revision, digest) = self.newest();
        let raises_revision = configuration.revision > revision;
        let is_proposed = matches!(outcome, ApplyOutcome::Proposed { .. });
        if !raises_revision && !is_proposed {
            return;
        }
        if matches!(command, Command::Bootstrap(_)) {
            // A bootstrap is as large as a snapshot, and daemons without a configuration get a
            // snapshot.
            *self = Self::new(configuration);
            return;
        }
        let digest = if raises_revision {
            state::digest_with(configuration, &self.blocks_hash)
        } else {
            digest
        };
        let revision = configuration.revision;
        let bytes = postcard::to_stdvec(command).map_or(usize::MAX, |encoded| encoded.len());
        self.entries.push_back(RetainedCommand {
            revision,
            digest,
            bytes,
            command: command.clone(),
        });
        self.proposal_count += usize::from(!raises_revision);
        while self.is_over_limit() {
            self.drop_oldest();
        }
    }

    /// Retains the commands of a delta that a relay has applied to the configuration `before`.
    /// After a snapshot, a relay starts again with `new`.
    pub fn push_delta(&mut self, before: &Configuration, delta: &ConfigurationDelta) {
        let mut configuration = before.clone();
        for command in &delta.commands {
            let outcome = state::apply(&mut configuration, command);
            self.push(&configuration, command, &outcome);
        }
    }

    /// Returns the latest revision and its digest.
    pub fn newest(&self) -> (Revision, u64) {
        self.entries.back().map_or(self.base, |entry| (entry.revision, entry.digest))
    }

    /// Selects the update for a child with the given revision and digest.
    pub fn update_for(
        &self,
        configuration: &Configuration,
        term: Term,
        revision: Revision,
        digest: u64,
    ) -> Update {
        let (newest, newest_digest) = self.newest();
        if revision > newest || (revision, digest) == (newest, newest_digest) {
            return Update::UpToDate;
        }
        let is_known_state = revision < newest && self.digest_at(revision) == Some(digest);
        if let Some(delta) = is_known_state.then(|| self.delta_after(revision, term)).flatten() {
            return Update::Delta(delta);
        }
        let configuration = configuration.clone();
        Update::Snapshot(Box::new(ConfigurationSnapshot { configuration, term }))
    }

    /// Collects the commands after a revision. Returns `None` if the commands up to the next
    /// revision do not fit in one delta.
    fn delta_after(&self, revision: Revision, term: Term) -> Option<ConfigurationDelta> {
        let mut bytes = 0_usize;
        let after = self.entries.iter().filter(|entry| {
            entry.revision > revision || (entry.revision == revision && is_proposal(entry))
        });
        let fitting: Vec<&RetainedCommand> = after
            .take_while(|entry| {
                bytes = bytes.saturating_add(entry.bytes);
                bytes <= MAX_DELTA_BYTES
            })
            .collect();
        let last = fitting.last().filter(|last| last.revision > revision)?;
        Some(ConfigurationDelta {
            digest: last.digest,
            from_revision: revision,
            term,
            to_revision: last.revision,
            commands: fitting.iter().map(|entry| entry.command.clone()).collect(),
        })
    }

    fn digest_at(&self, revision: Revision) -> Option<u64> {
        if revision == self.base.0 {
            return (!self.base_incomplete).then_some(self.base.1);
        }
        let index = self.entries.partition_point(|entry| entry.revision < revision);
        self.entries.get(index).filter(|entry| entry.revision == revision).map(|entry| entry.digest)
    }

    fn is_over_limit(&self) -> bool {
        let revisions = self.newest().0.saturating_sub(self.base.0);
        revisions.get() > RETAINED_REVISIONS || self.proposal_count > MAX_PROPOSALS
    }

    /// Drops the oldest command; daemons at earlier revisions get a snapshot from then on.
    fn drop_oldest(&mut self) {
        if let Some(first) = self.entries.pop_front() {
            self.proposal_count -= usize::from(is_proposal(&first));
            self.base_incomplete = is_proposal(&first);
            self.base = (first.revision, first.digest);
        }
    }
}

fn is_proposal(entry: &RetainedCommand) -> bool {
    matches!(entry.command, Command::Propose(_))
}
