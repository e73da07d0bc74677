//! Recent changes, kept to answer daemons that are a little behind.

use std::collections::VecDeque;

use celerygate_types::wire::{
    Command, Configuration, ConfigurationDelta, ConfigurationSnapshot, IntentRecord,
};
use celerygate_types::{Revision, Term};

use crate::state::{self, ApplyOutcome, BlocksHash};

/// Number of revisions that can be sent as changes; a daemon further behind gets a snapshot.
pub const RETAINED_REVISIONS: u64 = 1_000;
/// Largest number of kept proposals, so that intents that nobody confirms use bounded memory.
const MAX_PROPOSALS: usize = 1_000;

/// Largest size of the commands of one delta; a frame holds 1 MiB with its envelope.
pub const MAX_DELTA_BYTES: usize = 900 * 1024;

/// What a parent sends to a child.
#[derive(Clone, Debug, PartialEq)]
pub enum Update {
    /// The child has what the parent has, or more.
    UpToDate,
    /// The next changes after the child's revision, as many as one frame holds.
    Delta(ConfigurationDelta),
    /// Everything.
    Snapshot(Box<ConfigurationSnapshot>),
}

#[derive(Clone, Debug)]
struct Kept {
    /// Revision after the command.
    revision: Revision,
    /// Digest after the command.
    digest: u64,
    /// Encoded size of the command.
    bytes: usize,
    command: Command,
}

/// The recent commands and the digests of the revisions they made.
#[derive(Clone, Debug)]
pub struct RecentCommands {
    kept: VecDeque<Kept>,
    /// Revision and digest before the first kept command.
    base: (Revision, u64),
    /// Whether a proposal at the base revision is not among the kept commands.
    base_incomplete: bool,
    proposals: usize,
    blocks: BlocksHash,
}

impl RecentCommands {
    /// Returns an empty record that starts at a configuration.
    pub fn new(configuration: &Configuration) -> Self {
        let blocks = state::blocks_hash(configuration);
        let base = (configuration.revision, state::digest_with(configuration, &blocks));
        let unconfirmed = |record: &IntentRecord| record.confirmed_revision.is_none();
        let base_incomplete = configuration.intents.iter().any(unconfirmed);
        Self { kept: VecDeque::new(), base, base_incomplete, proposals: 0, blocks }
    }

    /// Keeps a command after it was applied to the configuration.
    ///
    /// Refused commands are left out because they change nothing. Proposals do not raise the
    /// revision but later confirms need them; they are sent to everyone at or below their revision,
    /// and applying one twice changes nothing.
    pub fn push(
        &mut self,
        configuration: &Configuration,
        command: &Command,
        applied: &ApplyOutcome,
    ) {
        let (revision, digest) = self.newest();
        let raised = configuration.revision > revision;
        let proposed = matches!(applied, ApplyOutcome::Proposed { .. });
        if !raised && !proposed {
            return;
        }
        if matches!(command, Command::Bootstrap(_)) {
            // As large as a snapshot, which daemons without a configuration get instead.
            *self = Self::new(configuration);
            return;
        }
        let digest = if raised { state::digest_with(configuration, &self.blocks) } else { digest };
        let revision = configuration.revision;
        let bytes = postcard::to_stdvec(command).map_or(usize::MAX, |encoded| encoded.len());
        self.kept.push_back(Kept { revision, digest, bytes, command: command.clone() });
        self.proposals += usize::from(!raised);
        while self.is_over_limit() {
            self.drop_first();
        }
    }

    /// Keeps the commands of a delta that a relay has applied to the given configuration. After a
    /// snapshot, a relay starts again with `new`.
    pub fn push_delta(&mut self, before: &Configuration, delta: &ConfigurationDelta) {
        let mut configuration = before.clone();
        for command in &delta.commands {
            let applied = state::apply(&mut configuration, command);
            self.push(&configuration, command, &applied);
        }
    }

    /// Returns the newest revision and its digest.
    pub fn newest(&self) -> (Revision, u64) {
        self.kept.back().map_or(self.base, |kept| (kept.revision, kept.digest))
    }

    /// Selects what a child with the given revision and digest is sent.
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
        let known = revision < newest && self.digest_at(revision) == Some(digest);
        if let Some(delta) = known.then(|| self.delta_after(revision, term)).flatten() {
            return Update::Delta(delta);
        }
        let configuration = configuration.clone();
        Update::Snapshot(Box::new(ConfigurationSnapshot { configuration, term }))
    }

    /// Collects the commands after a revision, none when the first change is too large.
    fn delta_after(&self, revision: Revision, term: Term) -> Option<ConfigurationDelta> {
        let mut bytes = 0_usize;
        let after = self.kept.iter().filter(|kept| {
            kept.revision > revision || (kept.revision == revision && is_proposal(kept))
        });
        let fitting: Vec<&Kept> = after
            .take_while(|kept| {
                bytes = bytes.saturating_add(kept.bytes);
                bytes <= MAX_DELTA_BYTES
            })
            .collect();
        let last = fitting.last().filter(|last| last.revision > revision)?;
        Some(ConfigurationDelta {
            digest: last.digest,
            from_revision: revision,
            term,
            to_revision: last.revision,
            commands: fitting.iter().map(|kept| kept.command.clone()).collect(),
        })
    }

    fn digest_at(&self, revision: Revision) -> Option<u64> {
        if revision == self.base.0 {
            return (!self.base_incomplete).then_some(self.base.1);
        }
        let index = self.kept.partition_point(|kept| kept.revision < revision);
        self.kept.get(index).filter(|kept| kept.revision == revision).map(|kept| kept.digest)
    }

    fn is_over_limit(&self) -> bool {
        let revisions = self.newest().0.saturating_sub(self.base.0);
        revisions.get() > RETAINED_REVISIONS || self.proposals > MAX_PROPOSALS
    }

    /// Drops the oldest command; daemons before it get a snapshot from then on.
    fn drop_first(&mut self) {
        if let Some(first) = self.kept.pop_front() {
            self.proposals -= usize::from(is_proposal(&first));
            self.base_incomplete = is_proposal(&first);
            self.base = (first.revision, first.digest);
        }
    }
}

fn is_proposal(kept: &Kept) -> bool {
    matches!(kept.command, Command::Propose(_))
}
