//! The receiving side of deltas and snapshots.

use celerygate_types::wire::{Configuration, ConfigurationDelta, ConfigurationSnapshot};
use celerygate_types::{Revision, Term};

use crate::state;

/// Digest in the polls of a daemon that needs a snapshot.
pub const DIGEST_UNKNOWN: u64 = 0;

/// What a delta or a snapshot was worth.
#[derive(Clone, Debug, PartialEq)]
pub enum ReceiveOutcome {
    /// The configuration to use from now on.
    Applied(Box<Configuration>),
    /// Nothing new.
    AlreadyApplied,
    /// Starts at another revision than the own one; the next poll asks again.
    OtherBase(Revision),
    /// Does not lead to the sender's digest; the next polls state `DIGEST_UNKNOWN`.
    DigestDiffers,
    /// From an older term or an older revision.
    Older,
}

/// Takes a delta; it must start exactly at the own revision.
///
/// The changes are applied to a copy, so that requests never see a configuration whose digest has
/// not been compared.
pub fn receive_delta(
    configuration: &Configuration,
    latest_term: Term,
    delta: &ConfigurationDelta,
) -> ReceiveOutcome {
    let own = configuration.revision;
    if delta.term < latest_term || delta.to_revision < own {
        return ReceiveOutcome::Older;
    }
    if delta.to_revision == own {
        return ReceiveOutcome::AlreadyApplied;
    }
    if delta.from_revision != own {
        return ReceiveOutcome::OtherBase(own);
    }
    let mut next = configuration.clone();
    for command in &delta.commands {
        state::apply(&mut next, command);
    }
    if next.revision != delta.to_revision || state::digest(&next) != delta.digest {
        return ReceiveOutcome::DigestDiffers;
    }
    ReceiveOutcome::Applied(Box::new(next))
}

/// Takes a snapshot. One of the own revision replaces a configuration whose digest differs.
pub fn receive_snapshot(
    configuration: &Configuration,
    latest_term: Term,
    snapshot: ConfigurationSnapshot,
) -> ReceiveOutcome {
    let offered = &snapshot.configuration;
    if snapshot.term < latest_term || offered.revision < configuration.revision {
        return ReceiveOutcome::Older;
    }
    let same_revision = offered.revision == configuration.revision;
    if same_revision && state::digest(offered) == state::digest(configuration) {
        return ReceiveOutcome::AlreadyApplied;
    }
    ReceiveOutcome::Applied(Box::new(snapshot.configuration))
}
